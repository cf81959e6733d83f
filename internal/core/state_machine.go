package core

import (
	"sync"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// stateMachine is the replicated state machine, with a lock for readers on other goroutines.
type stateMachine struct {
	mu    sync.RWMutex
	state *jobs.State
	// results are the results of the entry applied last, or nil if it could not be decoded.
	results []jobs.Result
}

var _ raft.StateMachine = (*stateMachine)(nil)

func newStateMachine() *stateMachine {
	return &stateMachine{state: jobs.NewState()}
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

	m.mu.Lock()
	defer m.mu.Unlock()

	m.results = make([]jobs.Result, len(batch.Commands))
	for i := range batch.Commands {
		m.results[i] = m.state.Apply(&batch.Commands[i])
	}
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

	return m.state.Load(data)
}

// view calls read with the state, which does not change during the call.
func (m *stateMachine) view(read func(state *jobs.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	read(m.state)
}
