package mill

import (
	"context"
	"time"
)

// Ticket allows one worker to run the tasks of one step for a while.
type Ticket struct {
	Worker string
	Text   string
}

// Advice is an advisor's answer: the workers that may run a step, of those asked about.
type Advice struct {
	Tickets []Ticket
	// Validity is how long the tickets hold from when the advisor answered; 0 when it did not say.
	Validity time.Duration
}

// Advisor tells which workers the policy of a queue allows for a step.
type Advisor interface {
	// Advise returns ErrFull when too many questions wait, ErrUnavailable without an answer.
	Advise(ctx context.Context, step StepID, workers []string) (*Advice, error)
}
