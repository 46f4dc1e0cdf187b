// Package heap measures what a value keeps alive on the Go heap. It is for the benchmarks behind docs/CAPACITY.md; it
// tells nothing of stacks, of the kernel's buffers, or of what the runtime keeps beside live objects.
package heap

import "runtime"

// Held builds a value and returns it with the bytes by which the live heap grew, 0 at least.
func Held[T any](build func() T) (value T, bytes float64) {
	before := live()
	value = build()
	after := live()
	runtime.KeepAlive(value)
	return value, max(0, float64(after)-float64(before))
}

// live is the heap that is reachable. Two collections, as the first leaves what finalizers and pools still hold.
func live() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
