package fakes

import "runtime"

// Heap returns the bytes of the live heap, for measurements of memory.
func Heap() uint64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}
