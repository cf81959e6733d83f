package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// loadQueue is a queue with the jobs that arrive on it.
type loadQueue struct {
	mill.Queue

	perSecond float64
	// steps and width are the mean number of steps, and of tasks in each.
	steps, width float64
	runTime      time.Duration
	perTask      mill.Resources
	gang         bool
	// stays is how long a long-running job runs; 0 for others.
	stays time.Duration
	// allowedPercent of the workers get a ticket.
	allowedPercent uint32
	// estimateError is by which share the estimated run times are off.
	estimateError float64
	// inTime and late count the jobs that completed within their objective and after it.
	inTime, late int
}

// loadQueues returns the queues of the large deployment.
func loadQueues() []*loadQueue {
	advice := func(decide, perWorker time.Duration) *mill.AdvicePolicy {
		return &mill.AdvicePolicy{Decide: decide, PerWorker: perWorker, Validity: 2 * time.Second}
	}

	return []*loadQueue{
		{
			Queue: mill.Queue{
				Name: "lookup", Service: "small", MaxAttempts: 3, Stretch: 1.5, Objective: 300 * time.Millisecond,
				Advice: advice(23*time.Millisecond, 330*time.Microsecond),
			},
			perSecond: 45.3, steps: 1.5, width: 13, runTime: 880 * time.Millisecond, allowedPercent: 70, estimateError: 0.2,
			perTask: mill.Resources{MilliCores: 4200, MemoryMiB: 12000},
		},
		{
			Queue: mill.Queue{
				Name: "contract", Service: "small", Priority: 2, MaxAttempts: 4, Stretch: 4, Objective: 3 * time.Second,
				Advice: advice(140*time.Millisecond, 2*time.Millisecond),
			},
			perSecond: 4.18, steps: 2, width: 36, runTime: 4500 * time.Millisecond, allowedPercent: 45, estimateError: 0.9,
			perTask: mill.Resources{MilliCores: 4500, MemoryMiB: 17000},
		},
		{
			Queue: mill.Queue{
				Name: "scan", Service: "large", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Objective: 1200 * time.Millisecond,
				Advice: advice(490*time.Millisecond, 7*time.Millisecond),
			},
			perSecond: 7.98, steps: 1, width: 8, runTime: 3600 * time.Millisecond, gang: true, allowedPercent: 30, estimateError: 0.9,
			perTask: mill.Resources{MilliCores: 31000, MemoryMiB: 90000, Accelerators: 4},
		},
		{
			Queue: mill.Queue{
				Name: "watch", Service: "small", Priority: 1, MaxAttempts: 4, Stretch: 2.2, Objective: 2500 * time.Millisecond,
				Advice: advice(420*time.Millisecond, 6*time.Millisecond),
			},
			perSecond: 0.349, steps: 1, width: 30, runTime: 500 * time.Millisecond, stays: 25 * time.Second, allowedPercent: 30,
			perTask: mill.Resources{MilliCores: 4500, MemoryMiB: 13000},
		},
		{
			Queue: mill.Queue{
				Name: "estimate", Service: "large", Priority: 2, MaxAttempts: 4, Stretch: 4, Objective: 3 * time.Second,
				Advice: advice(160*time.Millisecond, 2300*time.Microsecond),
			},
			perSecond: 7.22, steps: 1, width: 40, runTime: 2400 * time.Millisecond, allowedPercent: 45, estimateError: 0.5,
			perTask: mill.Resources{MilliCores: 5600, MemoryMiB: 23000, Accelerators: 1},
		},
	}
}
