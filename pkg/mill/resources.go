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

// Add returns the sum of both amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + other.MilliCores,
		MemoryMiB:    r.MemoryMiB + other.MemoryMiB,
		Accelerators: r.Accelerators + other.Accelerators,
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
