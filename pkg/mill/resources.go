package mill

// Resources is an amount of each resource that a worker offers.
type Resources struct {
	MilliCores   int64 `json:"milliCores"`
	MemoryMiB    int64 `json:"memoryMiB"`
	Accelerators int64 `json:"accelerators"`
}

// Fits reports whether r is within free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores &&
		r.MemoryMiB <= free.MemoryMiB &&
		r.Accelerators <= free.Accelerators
}

// TimesIn returns how many times r fits into a capacity, or 0 if r is empty.
func (r Resources) TimesIn(capacity Resources) int {
	times := int64(0)

	for _, dimension := range [][2]int64{
		{r.MilliCores, capacity.MilliCores}, {r.MemoryMiB, capacity.MemoryMiB}, {r.Accelerators, capacity.Accelerators},
	} {
		if demand, whole := dimension[0], dimension[1]; demand > 0 && (times == 0 || whole/demand < times) {
			if times = whole / demand; times == 0 {
				return 0
			}
		}
	}

	return int(times)
}

// Add returns the sum of both amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + other.MilliCores,
		MemoryMiB:    r.MemoryMiB + other.MemoryMiB,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Times returns the resources of n times as much.
func (r Resources) Times(n int) Resources {
	return Resources{
		MilliCores: int64(n) * r.MilliCores, MemoryMiB: int64(n) * r.MemoryMiB, Accelerators: int64(n) * r.Accelerators,
	}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - other.MilliCores,
		MemoryMiB:    r.MemoryMiB - other.MemoryMiB,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Valid reports whether no dimension is negative and at least one is positive.
func (r Resources) Valid() bool {
	if r.MilliCores < 0 || r.MemoryMiB < 0 || r.Accelerators < 0 {
		return false
	}

	return r.MilliCores+r.MemoryMiB+r.Accelerators > 0
}
