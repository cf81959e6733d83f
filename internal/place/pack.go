package place

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// PackName is the name of Pack in a preset.
const PackName = "pack"

func init() {
	mill.Placers.Register(PackName, func() mill.Placer { return Pack{} })
}

// acceleratorWeight makes a free accelerator count for more than all else.
const acceleratorWeight = 16

// Pack fills workers up, and keeps tasks without accelerators off the workers
// that have some.
type Pack struct{}

// Score is higher the less the worker has left.
func (Pack) Score(worker *mill.WorkerView, each mill.Resources) float64 {
	left := worker.Free.Sub(each)
	score := -share(left.MilliCores, worker.Capacity.MilliCores) - share(left.MemoryMiB, worker.Capacity.MemoryMiB)

	if each.Accelerators == 0 {
		return score - acceleratorWeight*float64(worker.Capacity.Accelerators)
	}

	return score - acceleratorWeight*share(left.Accelerators, worker.Capacity.Accelerators)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}

	return float64(part) / float64(whole)
}
