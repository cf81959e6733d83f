package place

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// SpreadName is the name of Spread in a preset.
const SpreadName = "spread"

func init() {
	mill.Placers.Register(SpreadName, func() mill.Placer { return Spread{} })
}

// Spread distributes tasks so that every worker keeps as much free capacity as possible. Tasks that use
// more than they declare then interfere least with each other.
type Spread struct{}

// Score is the negative of Pack's: it is higher the more free capacity the worker would have left, and for
// tasks that need no accelerators, highest for the workers with the most accelerators.
func (Spread) Score(worker *mill.WorkerView, demand mill.Resources) float64 {
	return -Pack{}.Score(worker, demand)
}
