package core

import (
	"sync"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// machine is the state machine of the group, guarded for readers on other goroutines.
type machine struct {
	mu      sync.RWMutex
	state   *jobs.State
	results []jobs.Result
}

var _ raft.StateMachine = (*machine)(nil)

func newMachine() *machine {
	return &machine{state: jobs.NewState()}
}

// Apply executes the commands of one entry.
func (m *machine) Apply(index uint64, data []byte) {
	var batch jobs.Batch

	if err := wire.Decode(data, &batch); err != nil {
		// Every server reads the same bytes, so all pass over the same entry.
		log.Error().Err(err).Uint64("index", index).Msg("an entry of the log cannot be read")

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

// Save returns the stored form of the state.
func (m *machine) Save() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	return m.state.Save()
}

// Load replaces the state by a stored form.
func (m *machine) Load(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.state.Load(data)
}

// view calls a function with the state, which does not change meanwhile.
func (m *machine) view(read func(state *jobs.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	read(m.state)
}
