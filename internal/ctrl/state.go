package ctrl

import (
	"fmt"
	"maps"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Limits of the verdicts retained for resent changes and of the audit records retained for readers.
const (
	maxVerdicts     = 8192
	maxAuditRecords = 16384
)

// changeVerdict is the verdict on a change, retained in case the change is resent.
type changeVerdict struct {
	ID      string
	Verdict Verdict
}

// State is the state machine of the control log.
type State struct {
	view View
	// verdicts holds the verdicts on changes by id, and recentVerdicts the same ones, oldest first.
	verdicts       map[string]Verdict
	recentVerdicts []changeVerdict
	// lastAccepted is the change that created the current version; only ID and Who are set.
	lastAccepted Change
	audit        []AuditRecord
	// auditNumber and auditChain are those of the last audit record.
	auditNumber uint64
	auditChain  string
	verdict     Verdict
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		view:     View{Epochs: make(map[string]mill.Epoch)},
		verdicts: make(map[string]Verdict),
	}
}

// Apply applies a committed command. Verdict then returns its verdict.
func (s *State) Apply(index uint64, data []byte) {
	var command Command

	if err := wire.Decode(data, &command); err != nil {
		s.verdict = Verdict{Reason: err.Error()}

		return
	}

	switch {
	case command.Change != nil:
		s.verdict = s.applyChange(command.Change)
	case command.Epoch != nil:
		s.verdict = s.applyEpoch(command.Epoch, command.UnixMilli)
	default:
		s.verdict = Verdict{Reason: "empty command"}
	}

	s.view.Revision = index
}

// Verdict returns the verdict on the command applied last.
func (s *State) Verdict() Verdict {
	return s.verdict
}

// View returns a copy of the view that later commands do not change.
func (s *State) View() *View {
	view := s.view
	view.Epochs = maps.Clone(s.view.Epochs)

	return &view
}

// Audit returns up to limit records with numbers above after.
func (s *State) Audit(after uint64, limit int) []AuditRecord {
	var found []AuditRecord

	for i := range s.audit {
		if s.audit[i].Number > after && len(found) < limit {
			found = append(found, s.audit[i])
		}
	}

	return found
}

func (s *State) applyChange(change *Change) Verdict {
	if verdict, ok := s.verdicts[change.ID]; ok {
		return verdict
	}

	verdict := s.decide(change)
	s.recordVerdict(changeVerdict{ID: change.ID, Verdict: verdict})

	return verdict
}

// decide accepts exactly one change per version: the first one that is valid and based on it.
func (s *State) decide(change *Change) Verdict {
	if change.Base != s.view.Version {
		return Verdict{
			Version: s.view.Version,
			Winner:  s.lastAccepted.ID,
			Who:     s.lastAccepted.Who,
			Reason:  fmt.Sprintf("made from version %d, in force is %d", change.Base, s.view.Version),
		}
	}

	next, kind, err := s.nextDeclarations(change)
	if err != nil {
		return Verdict{Version: s.view.Version, Reason: err.Error()}
	}

	s.accept(change, next, kind)

	return Verdict{Accepted: true, Version: s.view.Version}
}

// nextDeclarations returns the declarations that a change leads to.
func (s *State) nextDeclarations(change *Change) (*mill.Declarations, string, error) {
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
	s.lastAccepted = Change{ID: change.ID, Who: change.Who}

	s.appendAudit(AuditRecord{
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

func (s *State) recordVerdict(change changeVerdict) {
	s.verdicts[change.ID] = change.Verdict
	s.recentVerdicts = append(s.recentVerdicts, change)

	if len(s.recentVerdicts) > maxVerdicts {
		delete(s.verdicts, s.recentVerdicts[0].ID)
		s.recentVerdicts = s.recentVerdicts[1:]
	}
}

// applyEpoch accepts an epoch that directly follows the current one. Its primary must have been a
// replica in the current one, and only an unchanged primary may add a replica, one at a time.
func (s *State) applyEpoch(next *mill.Epoch, unixMilli int64) Verdict {
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
	s.appendAudit(AuditRecord{
		UnixMilli: unixMilli,
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

// checkEpoch returns the reason to refuse the next epoch, or "" to accept it.
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

func (s *State) appendAudit(record AuditRecord) {
	s.auditNumber++
	record.Number = s.auditNumber
	record.Chain = record.ChainHash(s.auditChain)
	s.auditChain = record.Chain
	s.audit = append(s.audit, record)

	if len(s.audit) > maxAuditRecords {
		s.audit = s.audit[len(s.audit)-maxAuditRecords:]
	}
}

// snapshot is the encoded form of a State.
type snapshot struct {
	View         View
	Verdicts     []changeVerdict `cbor:"Order"`
	LastAccepted Change          `cbor:"Holder"`
	Audit        []AuditRecord
	Number       uint64
	Chain        string
}

// Save serializes the state for a snapshot.
func (s *State) Save() ([]byte, error) {
	return wire.Encode(&snapshot{
		View:         s.view,
		Verdicts:     s.recentVerdicts,
		LastAccepted: s.lastAccepted,
		Audit:        s.audit,
		Number:       s.auditNumber,
		Chain:        s.auditChain,
	})
}

// Load replaces the state with that of a snapshot.
func (s *State) Load(data []byte) error {
	var saved snapshot

	if err := wire.Decode(data, &saved); err != nil {
		return err
	}

	fresh := NewState()
	fresh.view = saved.View
	fresh.recentVerdicts = saved.Verdicts
	fresh.lastAccepted = saved.LastAccepted
	fresh.audit = saved.Audit
	fresh.auditNumber = saved.Number
	fresh.auditChain = saved.Chain

	if fresh.view.Epochs == nil {
		fresh.view.Epochs = make(map[string]mill.Epoch)
	}

	for _, change := range saved.Verdicts {
		fresh.verdicts[change.ID] = change.Verdict
	}

	*s = *fresh

	return nil
}
