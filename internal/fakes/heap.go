package fakes

import "runtime"

// LiveHeap runs the garbage collector and returns the size of the live heap in bytes.
func LiveHeap() uint64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}
