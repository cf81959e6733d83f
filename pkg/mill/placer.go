package mill

// WorkerView is what a Placer sees of one worker.
type WorkerView struct {
	ID       string
	Rack     string
	Capacity Resources
	Free     Resources
}

// Placer scores workers for a task.
type Placer interface {
	// Score returns a value for running an amount on a worker; the highest wins.
	Score(worker *WorkerView, each Resources) float64
}

// Placers holds a constructor for each Placer by name.
var Placers Registry[func() Placer]
