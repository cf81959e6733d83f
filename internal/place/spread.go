package place

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// SpreadName is the name of Spread in a preset.
const SpreadName = "spread"

func init() {
	mill.Placers.Register(SpreadName, func() mill.Placer { return Spread{} })
}

// Spread leaves every worker as much room as it can, so that tasks whose
// declared sizes are too small disturb each other least.
type Spread struct{}

// Score is higher the more the worker has left.
func (Spread) Score(worker *mill.WorkerView, each mill.Resources) float64 {
	return -Pack{}.Score(worker, each)
}
