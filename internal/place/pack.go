package place

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// PackName is the name of Pack in a preset.
const PackName = "pack"

func init() {
	mill.Placers.Register(PackName, func() mill.Placer { return Pack{} })
}

// acceleratorWeight makes accelerators outweigh cores and memory.
const acceleratorWeight = 16

// Pack is a bin-packing policy: it fills workers one after another, and keeps tasks that need no
// accelerators off workers that have some.
type Pack struct{}

// Score is higher the less free capacity the worker would have left.
func (Pack) Score(worker *mill.WorkerView, demand mill.Resources) float64 {
	remaining := worker.Free.Sub(demand)
	score := -ratio(remaining.MilliCores, worker.Capacity.MilliCores) - ratio(remaining.MemoryMiB, worker.Capacity.MemoryMiB)

	if demand.Accelerators == 0 {
		return score - acceleratorWeight*float64(worker.Capacity.Accelerators)
	}

	return score - acceleratorWeight*ratio(remaining.Accelerators, worker.Capacity.Accelerators)
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}

	return float64(part) / float64(whole)
}
