package aggregation

import (
	"cmp"
	"container/heap"
	"slices"
)

// urgentKey is a candidate for being sent before its turn. changeShare is its change divided by the value last sent.
type urgentKey struct {
	changeShare float64
	index       uint32
}

// urgentHeap keeps the keys with the largest change shares, as a min-heap: the least urgent key is the first.
type urgentHeap []urgentKey

func (h urgentHeap) Len() int           { return len(h) }
func (h urgentHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h urgentHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push and Pop complete heap.Interface. They are not called: offer only replaces the first key.
func (h *urgentHeap) Push(key any) { *h = append(*h, key.(urgentKey)) }
func (h *urgentHeap) Pop() any     { panic("aggregation: urgentHeap.Pop is not used") }

// compare orders by change share; of equal ones the smaller index is the more urgent, so that the order is
// deterministic.
func (k urgentKey) compare(other urgentKey) int {
	return cmp.Or(cmp.Compare(k.changeShare, other.changeShare), cmp.Compare(other.index, k.index))
}

// offer adds a key if there are fewer than maxKeys; otherwise the key replaces the least urgent one if it is more
// urgent.
func (h *urgentHeap) offer(key urgentKey, maxKeys int) {
	switch {
	case len(*h) < maxKeys:
		*h = append(*h, key)
		if len(*h) == maxKeys {
			heap.Init(h)
		}
	case maxKeys > 0 && key.compare((*h)[0]) > 0:
		(*h)[0] = key
		heap.Fix(h, 0)
	}
}

// sortDescending sorts the keys by urgency, the most urgent first. The result is no longer a heap.
func (h *urgentHeap) sortDescending() []urgentKey {
	slices.SortFunc(*h, func(a, b urgentKey) int { return b.compare(a) })
	return *h
}
