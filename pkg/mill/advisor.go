package mill

import (
	"context"
	"time"
)

// Ticket authorizes one worker to run the tasks of one step for a limited time.
type Ticket struct {
	Worker string
	Text   string
}

// Advice is an advisor's reply: tickets for those of the queried workers that may run a step.
type Advice struct {
	Tickets []Ticket
	// Validity is how long the tickets are valid, counted from the advisor's reply; 0 if it did not say.
	Validity time.Duration
}

// Advisor decides which workers the policy of a queue allows for a step.
type Advisor interface {
	// Advise returns ErrFull when too many requests are outstanding, and ErrUnavailable when there is no reply.
	Advise(ctx context.Context, step StepID, workers []string) (*Advice, error)
}
