package jobs

// Learned is what leaders have learned from the runs that ended, which would take a new leader seconds to learn again. It
// replaces what was recorded about the same workers and queues.
type Learned struct {
	// Workers holds the speed of workers by their ids, and Queues the run times of queues by their names.
	Workers map[string]WorkerSpeed  `cbor:"1,keyasint,omitempty"`
	Queues  map[string]QueueHistory `cbor:"2,keyasint,omitempty"`
}

// WorkerSpeed is how fast a worker is.
type WorkerSpeed struct {
	// Slowness is the mean run time on the worker in thousandths of the usual one, and Runs the number of runs it rests on.
	Slowness int `cbor:"1,keyasint"`
	Runs     int `cbor:"2,keyasint"`
}

// QueueHistory is what is known of the run times of a queue's tasks.
type QueueHistory struct {
	// Sums are those of the regression of run times on estimates.
	Sums []float64 `cbor:"1,keyasint,omitempty"`
	// FailureRate is the share of runs that fail, and AllowedShare the share of workers that the advisor allows; each is in
	// thousandths, and 0 if it is not known.
	FailureRate  int `cbor:"2,keyasint,omitempty"`
	AllowedShare int `cbor:"3,keyasint,omitempty"`
}

// Learned returns what was recorded as learned. The caller must not modify it.
func (s *State) Learned() *Learned {
	return &s.stored.Learned
}

// recordLearned records what a leader has learned. Leaders decide what it is, so that all replicas record the same.
func (s *State) recordLearned(learned *Learned) Result {
	for id, speed := range learned.Workers {
		if s.stored.Learned.Workers == nil {
			s.stored.Learned.Workers = make(map[string]WorkerSpeed)
		}

		s.stored.Learned.Workers[id] = speed
	}

	for name, history := range learned.Queues {
		if s.stored.Learned.Queues == nil {
			s.stored.Learned.Queues = make(map[string]QueueHistory)
		}

		s.stored.Learned.Queues[name] = history
	}

	return ResultApplied
}

// forgetQueues drops what was learned about queues that the setup in force does not have.
func (s *State) forgetQueues() {
	for name := range s.stored.Learned.Queues {
		if _, ok := s.index.Queue(name); !ok {
			delete(s.stored.Learned.Queues, name)
		}
	}
}
