package aggregation

import (
	"runtime"
	"testing"
)

// TestAggregatorMemory: an aggregator takes at most 16 heap bytes per key and member.
func TestAggregatorMemory(t *testing.T) {
	const members, keyCount = 200, 1000
	keys := benchmarkKeys(keyCount)
	before := heapBytesInUse()
	a := newBenchmarkAggregator(t, 1)
	reportAllKeys(t, a, members, keys)
	bytesPerEntry := (heapBytesInUse() - before) / (members * keyCount)
	t.Logf("%.1f bytes", bytesPerEntry)
	if bytesPerEntry > 16 {
		t.Errorf("%.1f bytes per key and member, at most 16 are allowed", bytesPerEntry)
	}
	runtime.KeepAlive(a)
	runtime.KeepAlive(keys)
}
