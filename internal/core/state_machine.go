package core

import (
	"sync"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// stateMachine is the replicated state machine, with a lock for readers on other goroutines.
type stateMachine struct {
	mu    sync.RWMutex
	state *jobs.State
	// results are the results of the entry applied last, or nil if it could not be decoded.
	results []jobs.Result
	// leading reports whether this process leads.
	leading func() bool
	metrics outcomeMetrics
	// readSetup reads an operator's document; nil if it cannot be read.
	readSetup func(document []byte) (*mill.Setup, error)
}

var _ raft.StateMachine = (*stateMachine)(nil)

func newStateMachine(leading func() bool, scope tally.Scope) *stateMachine {
	return &stateMachine{state: jobs.NewState(), leading: leading, metrics: newOutcomeMetrics(scope)}
}

// Apply executes the commands of one log entry.
func (m *stateMachine) Apply(index uint64, data []byte) {
	var batch jobs.Batch

	if err := wire.Decode(data, &batch); err != nil {
		// Every replica reads the same bytes, so all skip the same entry.
		log.Error().Err(err).Uint64("index", index).Msg("cannot decode log entry, skipping it")

		m.results = nil

		return
	}

	m.reportOutcomes(index, m.execute(batch.Commands))
}

// execute executes commands and returns the outcomes of jobs that they decided.
func (m *stateMachine) execute(commands []jobs.Command) []jobs.Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.results = make([]jobs.Result, len(commands))
	for i := range commands {
		if commands[i].Setup != nil {
			commands[i].Setup = m.withTenants(commands[i].Setup)
		}

		m.results[i] = m.state.Apply(&commands[i])
	}

	return m.state.TakeOutcomes()
}

// reportOutcomes logs the outcomes that a log entry has decided. Each replica decides by itself, so all of them log the
// failed jobs; the others are logged by the leader alone.
func (m *stateMachine) reportOutcomes(index uint64, outcomes []jobs.Outcome) {
	if len(outcomes) == 0 {
		return
	}

	leading := m.leading()

	for i := range outcomes {
		if leading {
			m.metrics.count(&outcomes[i])
		}

		if leading || outcomes[i].State == mill.JobFailed {
			logOutcome(index, &outcomes[i], leading)
		}
	}
}

func logOutcome(index uint64, o *jobs.Outcome, leading bool) {
	entry := log.Info().Str("job", o.Job).Str("queue", o.Queue).Str("outcome", string(o.State)).Str("reason", string(o.Reason))

	if o.Decider.Run > 0 {
		entry = entry.Str("task", o.Decider.Task.String()).Int("run", o.Decider.Run).Int("attempts", o.Attempts).
			Int("maxAttempts", o.MaxAttempts).Ints("failures", o.Failures)
	}

	entry.Uint64("index", index).Bool("leading", leading).Msg("job ended")
}

// Save returns a snapshot of the state.
func (m *stateMachine) Save() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	return m.state.Save()
}

// Load replaces the state with a snapshot.
func (m *stateMachine) Load(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if err := m.state.Load(data); err != nil {
		return err
	}

	if setup := m.state.Setup(); setup != nil {
		m.state.AmendSetup(m.withTenants(setup))
	}

	return nil
}

// withTenants returns a setup with the tenants of its document. An earlier build knows no tenants: what it commits, or
// saves in a snapshot, has them in the document alone. All replicas of this build read the same document, and nothing that
// a log entry decides depends on tenants.
func (m *stateMachine) withTenants(setup *mill.Setup) *mill.Setup {
	if m.readSetup == nil || len(setup.Tenants) > 0 {
		return setup
	}

	read, err := m.readSetup(setup.Document)

	switch {
	case err != nil:
		log.Warn().Err(err).Uint64("version", setup.Version).Msg("document of the setup cannot be read for its tenants")
	case read.Version == setup.Version && len(read.Tenants) > 0:
		amended := *setup
		amended.Queues, amended.Tenants = read.Queues, read.Tenants

		return &amended
	default:
	}

	return setup
}

// view calls read with the state, which does not change during the call.
func (m *stateMachine) view(read func(state *jobs.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	read(m.state)
}
