package ctrl

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberrymill/cranberrymill/internal/place"
	_ "github.com/cranberrymill/cranberrymill/internal/route"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 600)
}

// stateModel is a state with the results that a test expects of it.
type stateModel struct {
	state    *State
	index    uint64
	version  uint64
	preset   string
	verdicts map[string]Verdict
	accepted int
	epochs   map[string]mill.Epoch
}

func (m *stateModel) apply(t *rapid.T, command *Command) Verdict {
	data, err := wire.Encode(command)
	assert.NilError(t, err)

	m.index++
	m.state.Apply(m.index, data)

	return m.state.Verdict()
}

// TestFuzzOneChangeAVersion proposes competing changes of one version and resends changes as after a
// lost reply. It checks that each version has one change, that a resent change gets its first verdict,
// that no change is reverted and that the audit trail is complete.
func TestFuzzOneChangeAVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateModel{state: NewState(), verdicts: make(map[string]Verdict), epochs: make(map[string]mill.Epoch)}

		t.Repeat(map[string]func(*rapid.T){
			"apply":  func(t *rapid.T) { m.change(t, drawDeclarations(t)) },
			"switch": func(t *rapid.T) { m.change(t, nil) },
			"epoch":  m.epoch,
			"reload": m.reload,
			"":       m.check,
		})
	})
}

func drawDeclarations(t *rapid.T) *mill.Declarations {
	routers := []string{"leastWait", "roundRobin", "leastWait", "nonsense"}

	return &mill.Declarations{
		Presets: []mill.Preset{
			{Name: "ordinary", Router: rapid.SampledFrom(routers).Draw(t, "router"), Placer: "pack"},
			{Name: "peak", Router: "leastWait", Placer: "spread"},
		},
		Preset: rapid.SampledFrom([]string{"", "ordinary", "peak", "missing"}).Draw(t, "preset"),
	}
}

func (m *stateModel) change(t *rapid.T, declarations *mill.Declarations) {
	change := &Change{
		ID:           fmt.Sprint("id", rapid.IntRange(1, 30).Draw(t, "id")),
		Base:         m.version - min(m.version, uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind"))),
		Declarations: declarations,
	}

	if declarations == nil {
		change.Preset = rapid.SampledFrom([]string{"ordinary", "peak", "missing"}).Draw(t, "preset")
	}

	verdict := m.apply(t, &Command{Change: change})

	if first, ok := m.verdicts[change.ID]; ok {
		assert.DeepEqual(t, verdict, first)

		return
	}

	m.verdicts[change.ID] = verdict

	if !verdict.Accepted {
		return
	}

	assert.Equal(t, change.Base, m.version)
	assert.Equal(t, verdict.Version, m.version+1)

	m.version++
	m.accepted++
	m.preset = change.Preset

	if declarations != nil {
		m.preset = declarations.Preset
	}
}

func (m *stateModel) epoch(t *rapid.T) {
	ledger := rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "ledger")
	current := m.epochs[ledger]
	member := mill.Member{Identity: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"), Durable: true}

	var next mill.Epoch

	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		next = current.With(member)
	case 1:
		next = current.Without(member.Identity)
	case 2:
		next = current.WithPrimary(member)
	default:
		next = mill.Epoch{Number: current.Number + 1, Primary: member, Replicas: []mill.Member{member}}
	}

	next.Ledger = ledger
	verdict := m.apply(t, &Command{Epoch: &next})

	if !verdict.Accepted {
		return
	}

	// The new primary must hold everything committed before, so it must have been a replica.
	assert.Assert(t, current.Number == 0 || current.Has(next.Primary.Identity))
	assert.Assert(t, next.Has(next.Primary.Identity))

	m.epochs[ledger] = next
}

func (m *stateModel) reload(t *rapid.T) {
	data, err := m.state.Save()
	assert.NilError(t, err)

	m.state = NewState()
	assert.NilError(t, m.state.Load(data))
}

func (m *stateModel) check(t *rapid.T) {
	view := m.state.View()
	assert.Equal(t, view.Version, m.version)
	assert.Equal(t, view.Declarations.Preset, m.preset)

	for ledger, epoch := range m.epochs {
		assert.DeepEqual(t, view.Epoch(ledger), epoch)
	}

	records := m.state.Audit(0, maxAuditRecords)
	assert.Equal(t, VerifyAudit("", records), uint64(0))

	changes := 0

	for i := range records {
		if records[i].Kind != AuditEpoch {
			changes++
			assert.Equal(t, records[i].To, uint64(changes))
		}
	}

	assert.Equal(t, changes, m.accepted)
}

// TestTamperedTrailIsDetected modifies one audit record and expects VerifyAudit to return its number.
func TestTamperedTrailIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateModel{state: NewState(), verdicts: make(map[string]Verdict), epochs: make(map[string]mill.Epoch)}

		for i := range 10 {
			declarations := &mill.Declarations{Services: []mill.ServiceDeclaration{{Name: fmt.Sprint("s", i)}}}
			m.apply(t, &Command{Change: &Change{ID: fmt.Sprint(i), Base: uint64(i), Who: "ana", Declarations: declarations}})
		}

		records := m.state.Audit(0, maxAuditRecords)
		assert.Equal(t, len(records), 10)

		at := rapid.IntRange(0, 9).Draw(t, "at")

		switch rapid.IntRange(0, 3).Draw(t, "field") {
		case 0:
			records[at].Who = "somebody else"
		case 1:
			records[at].Digest = "0"
		case 2:
			records[at].UnixMilli++
		default:
			records[at].Chain = records[at].Chain[1:] + "0"
		}

		assert.Equal(t, VerifyAudit("", records), uint64(at+1))
	})
}

// TestFuzzWatcherNeverGoesBack passes views to a watcher in any order, as servers that lag behind would
// send them, and expects it to keep the newest.
func TestFuzzWatcherNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWatcher(nil, nil)
		highest := uint64(0)

		for _, revision := range rapid.SliceOfN(rapid.Uint64Range(0, 50), 1, 30).Draw(t, "revisions") {
			w.publish(&View{Revision: revision, Version: revision / 2})

			highest = max(highest, revision)
			assert.Equal(t, w.View().Revision, highest)
		}
	})
}
