package mill

// WorkerView is the part of a worker's state that a Placer uses.
type WorkerView struct {
	ID       string
	Rack     string
	Capacity Resources
	Free     Resources
}

// Placer scores workers for a task.
type Placer interface {
	// Score rates a worker for a task that needs the given resources; the highest score wins.
	Score(worker *WorkerView, demand Resources) float64
}

// Placers holds a constructor for each Placer by name.
var Placers Registry[func() Placer]
