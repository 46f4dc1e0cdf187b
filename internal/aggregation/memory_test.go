package aggregation

import (
	"runtime"
	"testing"
)

// TestAggregatorMemory: an aggregator takes less than 16 bytes for each key of each member.
func TestAggregatorMemory(t *testing.T) {
	const members, keys = 200, 1000
	names := slopeKeys(keys)
	before := heapBytes()
	a := slopeAggregator(t, 1)
	fillAggregator(t, a, members, names)
	used := (heapBytes() - before) / (members * keys)
	t.Logf("%.1f bytes", used)
	if used > 16 {
		t.Errorf("%.1f bytes for each key of each member", used)
	}
	runtime.KeepAlive(a)
	runtime.KeepAlive(names)
}
