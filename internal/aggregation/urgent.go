package aggregation

import (
	"cmp"
	"container/heap"
	"slices"
)

// urgentKey is a key that changed by a share of what was last sent.
type urgentKey struct {
	share float64
	index uint32
}

// urgentHeap keeps the keys that changed by the largest shares; the smallest of them is the first.
type urgentHeap []urgentKey

func (h urgentHeap) Len() int           { return len(h) }
func (h urgentHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h urgentHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push and Pop are those of heap.Interface. Only the first key is ever replaced, so they are not called.
func (h *urgentHeap) Push(key any) { *h = append(*h, key.(urgentKey)) }
func (h *urgentHeap) Pop() any     { panic("aggregation: urgentHeap.Pop is not used") }

// compare orders by share; of equal ones the smaller index is the more urgent, so that the order is always the same.
func (k urgentKey) compare(o urgentKey) int {
	return cmp.Or(cmp.Compare(k.share, o.share), cmp.Compare(o.index, k.index))
}

// offer adds a key if there are less than most, or if it is more urgent than one of them, which it replaces.
func (h *urgentHeap) offer(key urgentKey, most int) {
	switch {
	case len(*h) < most:
		*h = append(*h, key)
		if len(*h) == most {
			heap.Init(h)
		}
	case most > 0 && key.compare((*h)[0]) > 0:
		(*h)[0] = key
		heap.Fix(h, 0)
	}
}

// descending sorts the keys, the most urgent first.
func (h *urgentHeap) descending() []urgentKey {
	slices.SortFunc(*h, func(a, b urgentKey) int { return b.compare(a) })
	return *h
}
