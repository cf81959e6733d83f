package mill

import "time"

// Candidate is the part of an upstream's state that a Router uses.
type Candidate struct {
	ID       string
	Busy     int
	Slots    int
	MeanTime time.Duration
}

// Router chooses the upstream for a request.
type Router interface {
	// Choose returns the index of a candidate with a free slot, or -1.
	Choose(candidates []Candidate, random uint64) int
}

// Routers holds a constructor for each Router by name.
var Routers Registry[func() Router]
