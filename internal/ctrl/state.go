package ctrl

import (
	"fmt"
	"maps"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The bounds of what the state keeps for resends and for readers of the trail.
const (
	maxChanges = 8192
	maxAudit   = 16384
)

// outcome is the verdict on a change, kept for resends.
type outcome struct {
	ID      string
	Verdict Verdict
}

// State is the state machine of the control log.
type State struct {
	view    View
	made    map[string]Verdict
	order   []outcome
	holder  Change
	audit   []AuditRecord
	number  uint64
	chain   string
	verdict Verdict
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		view: View{Epochs: make(map[string]mill.Epoch)},
		made: make(map[string]Verdict),
	}
}

// Apply executes a committed command; its verdict is then returned by Verdict.
func (s *State) Apply(index uint64, data []byte) {
	var command Command

	if err := wire.Decode(data, &command); err != nil {
		s.verdict = Verdict{Reason: err.Error()}

		return
	}

	switch {
	case command.Change != nil:
		s.verdict = s.change(command.Change)
	case command.Epoch != nil:
		s.verdict = s.epoch(command.Epoch, command.UnixMilli)
	default:
		s.verdict = Verdict{Reason: "empty command"}
	}

	s.view.Revision = index
}

// Verdict returns the verdict on the last command applied.
func (s *State) Verdict() Verdict {
	return s.verdict
}

// View returns a copy that later commands do not change.
func (s *State) View() *View {
	view := s.view
	view.Epochs = maps.Clone(s.view.Epochs)

	return &view
}

// Audit returns up to limit records after a number.
func (s *State) Audit(after uint64, limit int) []AuditRecord {
	var found []AuditRecord

	for i := range s.audit {
		if s.audit[i].Number > after && len(found) < limit {
			found = append(found, s.audit[i])
		}
	}

	return found
}

func (s *State) change(change *Change) Verdict {
	if verdict, ok := s.made[change.ID]; ok {
		return verdict
	}

	verdict := s.judge(change)
	s.remember(outcome{ID: change.ID, Verdict: verdict})

	return verdict
}

// judge accepts exactly one change for each version.
func (s *State) judge(change *Change) Verdict {
	if change.Base != s.view.Version {
		return Verdict{
			Version: s.view.Version,
			Winner:  s.holder.ID,
			Who:     s.holder.Who,
			Reason:  fmt.Sprintf("made from version %d, in force is %d", change.Base, s.view.Version),
		}
	}

	next, kind, err := s.next(change)
	if err != nil {
		return Verdict{Version: s.view.Version, Reason: err.Error()}
	}

	s.accept(change, next, kind)

	return Verdict{Accepted: true, Version: s.view.Version}
}

// next returns the declarations that a change leads to.
func (s *State) next(change *Change) (*mill.Declarations, string, error) {
	if change.Declarations != nil {
		return change.Declarations, AuditApply, change.Declarations.Validate()
	}

	next := s.view.Declarations
	next.Preset = change.Preset

	return &next, AuditPreset, next.Validate()
}

func (s *State) accept(change *Change, next *mill.Declarations, kind string) {
	s.view.Declarations = *next
	s.view.Version++
	s.view.Digest = digest(next)
	s.holder = Change{ID: change.ID, Who: change.Who}

	s.record(AuditRecord{
		UnixMilli: change.UnixMilli,
		Kind:      kind,
		ID:        change.ID,
		Who:       change.Who,
		Why:       change.Why,
		From:      change.Base,
		To:        s.view.Version,
		Subject:   next.Preset,
		Digest:    s.view.Digest,
	})
}

func (s *State) remember(made outcome) {
	s.made[made.ID] = made.Verdict
	s.order = append(s.order, made)

	if len(s.order) > maxChanges {
		delete(s.made, s.order[0].ID)
		s.order = s.order[1:]
	}
}

// epoch accepts the epoch that follows the one in force. Its primary must have
// been a replica, and no more than one replica may be new.
func (s *State) epoch(next *mill.Epoch, at int64) Verdict {
	current := s.view.Epochs[next.Ledger]

	if current.Number == next.Number && sameEpoch(&current, next) {
		return Verdict{Accepted: true, Version: current.Number}
	}

	if next.Number != current.Number+1 {
		return Verdict{Version: current.Number, Reason: "another epoch was formed"}
	}

	if reason := checkEpoch(&current, next); reason != "" {
		return Verdict{Version: current.Number, Reason: reason}
	}

	s.view.Epochs[next.Ledger] = *next
	s.record(AuditRecord{
		UnixMilli: at,
		Kind:      AuditEpoch,
		Who:       next.Primary.VM,
		From:      current.Number,
		To:        next.Number,
		Subject:   next.Ledger,
		Digest:    digest(next),
	})

	return Verdict{Accepted: true, Version: next.Number}
}

func sameEpoch(a, b *mill.Epoch) bool {
	return digest(a) == digest(b)
}

func checkEpoch(current, next *mill.Epoch) string {
	if !next.Has(next.Primary.Identity) {
		return "the primary is not a replica"
	}

	if current.Number == 0 {
		return ""
	}

	if !current.Has(next.Primary.Identity) {
		return "the primary was not a replica before"
	}

	added := 0

	for _, member := range next.Replicas {
		if !current.Has(member.Identity) {
			added++
		}
	}

	if added > 1 || (added == 1 && next.Primary.Identity != current.Primary.Identity) {
		return "only the primary may add a replica, one at a time"
	}

	return ""
}

func (s *State) record(record AuditRecord) {
	s.number++
	record.Number = s.number
	record.Chain = record.Link(s.chain)
	s.chain = record.Chain
	s.audit = append(s.audit, record)

	if len(s.audit) > maxAudit {
		s.audit = s.audit[len(s.audit)-maxAudit:]
	}
}

// snapshot is the stored form of a State.
type snapshot struct {
	View   View
	Order  []outcome
	Holder Change
	Audit  []AuditRecord
	Number uint64
	Chain  string
}

// Save returns the stored form of the state.
func (s *State) Save() ([]byte, error) {
	return wire.Encode(&snapshot{
		View:   s.view,
		Order:  s.order,
		Holder: s.holder,
		Audit:  s.audit,
		Number: s.number,
		Chain:  s.chain,
	})
}

// Load replaces the state by a stored form.
func (s *State) Load(data []byte) error {
	var saved snapshot

	if err := wire.Decode(data, &saved); err != nil {
		return err
	}

	fresh := NewState()
	fresh.view = saved.View
	fresh.order = saved.Order
	fresh.holder = saved.Holder
	fresh.audit = saved.Audit
	fresh.number = saved.Number
	fresh.chain = saved.Chain

	if fresh.view.Epochs == nil {
		fresh.view.Epochs = make(map[string]mill.Epoch)
	}

	for _, made := range saved.Order {
		fresh.made[made.ID] = made.Verdict
	}

	*s = *fresh

	return nil
}
