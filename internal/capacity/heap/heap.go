// Package heap measures how much memory a value keeps alive on the Go heap, for the benchmarks behind docs/CAPACITY.md. It does
// not count stacks, kernel buffers, or what the runtime uses besides live objects.
package heap

import "runtime"

// Held calls build and returns its value with the number of bytes by which the live heap grew, 0 at least. It runs the garbage
// collector.
func Held[T any](build func() T) (value T, bytes float64) {
	before := liveBytes()
	value = build()
	after := liveBytes()
	runtime.KeepAlive(value)
	return value, max(0, float64(after)-float64(before))
}

// liveBytes returns the size of the reachable heap. It collects twice, as the first collection leaves what finalizers and pools
// still hold.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
