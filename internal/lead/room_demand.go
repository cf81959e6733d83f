package lead

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// roomDemand is what a step without advice needs of a worker.
type roomDemand struct {
	service      string
	label        string
	perTask      mill.Resources
	maxPerWorker int
}

func (c *candidate) roomDemand() roomDemand {
	return roomDemand{
		service: c.queue.Service, label: c.step.Label, perTask: c.step.Reserves(), maxPerWorker: c.step.MaxPerWorker,
	}
}
