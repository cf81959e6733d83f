package ledger

import (
	"maps"
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// State is the state of a ledger after its committed commands.
type State struct {
	intents   *intents
	jobs      *jobs
	scheduler string
	term      uint64
	// renewals counts how often the active scheduler has renewed its lease.
	renewals uint64
}

// NewState returns an empty state.
func NewState() *State {
	return &State{intents: newIntents(), jobs: newJobs()}
}

// Apply executes a committed command. It is deterministic: the same commands in
// the same order give the same state.
func (s *State) Apply(index uint64, command *Command) Result {
	switch {
	case command.Begin != nil:
		return s.intents.begin(command.Begin)
	case command.Finish != nil:
		return s.intents.finish(command.Finish)
	case command.Void != nil:
		return s.intents.void(command.Void)
	case command.Abandon != nil:
		return s.intents.abandon(command.Abandon)
	case command.Submit != nil:
		return s.jobs.submit(index, command.Submit)
	case command.Cancel != nil:
		return s.jobs.cancel(index, command.Cancel)
	case command.Lead != nil:
		return s.lead(command.Lead)
	default:
		return s.applyScheduling(index, command)
	}
}

// applyScheduling rejects commands of a scheduler that is no longer active.
func (s *State) applyScheduling(index uint64, command *Command) Result {
	switch {
	case command.Enroll != nil && command.Enroll.Term == s.term:
		return s.jobs.enroll(command.Enroll)
	case command.Assign != nil && command.Assign.Term == s.term:
		return s.jobs.assign(index, command.Assign)
	case command.Complete != nil && command.Complete.Term == s.term:
		return s.jobs.complete(index, command.Complete)
	default:
		return Result{Status: StatusStale, Term: s.term}
	}
}

func (s *State) lead(command *Lead) Result {
	if command.Holder == s.scheduler && command.Term == s.term {
		s.renewals++

		return Result{Status: StatusOK, Term: s.term}
	}

	if command.Term != s.term+1 {
		return Result{Status: StatusStale, Term: s.term}
	}

	s.scheduler = command.Holder
	s.term = command.Term

	return Result{Status: StatusOK, Term: s.term}
}

// Find returns the job with the id.
func (s *State) Find(id string) (mill.Job, bool) {
	record, ok := s.jobs.byID[id]
	if !ok {
		return mill.Job{}, false
	}

	return cloneJob(&record.Job), true
}

// Changes returns about limit jobs changed after an index, and the index up to
// which they are complete; commit is the commit index of the state.
func (s *State) Changes(since uint64, limit int, commit uint64) ([]mill.Job, uint64) {
	return s.jobs.since(since, limit, commit)
}

// Leader returns the active scheduler, its term and the number of lease renewals.
func (s *State) Leader() (holder string, term, renewals uint64) {
	return s.scheduler, s.term, s.renewals
}

// Intent returns the intent for the key.
func (s *State) Intent(key string) (Intent, bool) {
	intent, ok := s.intents.byKey[key]
	if !ok {
		return Intent{}, false
	}

	return *intent, true
}

// snapshot is the serialized form of a State.
type snapshot struct {
	Intents []Intent
	Jobs    []savedJob
	Done    []string
	Workers map[string]worker
	Leader  string
	Term    uint64
	Renewed uint64
}

// savedJob is the serialized form of a jobRecord.
type savedJob struct {
	Job   mill.Job
	Index uint64
}

// Save serializes the state for a snapshot.
func (s *State) Save() ([]byte, error) {
	saved := snapshot{
		Intents: s.intents.save(),
		Workers: make(map[string]worker, len(s.jobs.workers)),
		Leader:  s.scheduler,
		Term:    s.term,
		Renewed: s.renewals,
	}

	for element := s.jobs.changed.Front(); element != nil; element = element.Next() {
		record := element.Value.(*jobRecord)
		saved.Jobs = append(saved.Jobs, savedJob{Job: record.Job, Index: record.Index})
	}

	for element := s.jobs.finished.Front(); element != nil; element = element.Next() {
		saved.Done = append(saved.Done, element.Value.(string))
	}

	for name, known := range s.jobs.workers {
		saved.Workers[name] = *known
	}

	return wire.Encode(&saved)
}

// LoadState returns the state that Save serialized.
func LoadState(data []byte) (*State, error) {
	var saved snapshot

	if err := wire.Decode(data, &saved); err != nil {
		return nil, err
	}

	s := NewState()
	s.scheduler = saved.Leader
	s.term = saved.Term
	s.renewals = saved.Renewed
	s.intents.load(saved.Intents)

	for i := range saved.Jobs {
		record := &jobRecord{Job: saved.Jobs[i].Job, Index: saved.Jobs[i].Index}
		record.element = s.jobs.changed.PushBack(record)
		s.jobs.byID[record.Job.ID] = record
	}

	for _, id := range saved.Done {
		s.jobs.finished.PushBack(id)
	}

	for _, name := range slices.Sorted(maps.Keys(saved.Workers)) {
		known := saved.Workers[name]
		s.jobs.workers[name] = &known
	}

	return s, nil
}
