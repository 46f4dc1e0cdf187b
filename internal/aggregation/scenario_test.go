package aggregation

import (
	"testing"
	"time"
)

// TestCalm: all figures are the truth soon after the start, and follow a change.
func TestCalm(t *testing.T) {
	s := newSimulation(t, 1, layout{regions: 3, zones: 2, membersInZone: 3})
	keys := someKeys(20)
	s.fill(keys)
	t.Log("after the start:", s.settle(4*time.Second, keys))
	s.set(s.members[4], keys[3], 100000)
	t.Log("after a change:", s.settle(2*time.Second, keys))
}
