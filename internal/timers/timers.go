// Package timers keeps the timers of one event loop in a heap, so that the loop needs a single wake-up call for all of
// them. It does not read the clock or wait itself: the loop passes functions for both.
package timers

import (
	"container/heap"
	"time"
)

// Timer is one pending call.
type Timer struct {
	dueAt     time.Duration
	sequence  uint64 // order of creation; decides between timers that are due at the same time
	heapIndex int    // -1 once the timer is no longer in the heap
	callback  func()
}

// Timers are the timers of one event loop. All methods must be called on that loop.
type Timers struct {
	now          func() time.Duration
	wake         func(after time.Duration) // requests a call of Run after a duration
	wakeAt       time.Duration             // time of the earliest requested call of Run; 0 if none is requested
	lastSequence uint64
	heap         timerHeap
}

// New returns an empty set of timers. now returns the current time of the loop's clock. wake must cause a call of Run on
// the loop after the given duration.
func New(now func() time.Duration, wake func(after time.Duration)) *Timers {
	return &Timers{now: now, wake: wake}
}

// After schedules a call on the loop after a duration. The call is never made from within After itself, nor from the
// call of Run that After is called in.
func (t *Timers) After(after time.Duration, callback func()) *Timer {
	t.lastSequence++
	timer := &Timer{dueAt: t.now() + max(after, 0), sequence: t.lastSequence, callback: callback}
	heap.Push(&t.heap, timer)
	t.requestWake()
	return timer
}

// Stop cancels a timer. It does nothing if the timer is nil, was called or was stopped before.
func (t *Timers) Stop(timer *Timer) {
	if timer != nil && timer.heapIndex >= 0 {
		heap.Remove(&t.heap, timer.heapIndex)
	}
}

// Run calls the timers that are due, in the order of their times, and requests the next call of Run.
func (t *Timers) Run() {
	t.wakeAt = 0
	now, last := t.now(), t.lastSequence
	for len(t.heap) > 0 && t.heap[0].dueAt <= now && t.heap[0].sequence <= last {
		heap.Pop(&t.heap).(*Timer).callback()
	}
	t.requestWake()
}

// requestWake requests a call of Run for the earliest timer, unless one is requested for that time or before.
func (t *Timers) requestWake() {
	if len(t.heap) > 0 && (t.wakeAt == 0 || t.heap[0].dueAt < t.wakeAt) {
		t.wakeAt = t.heap[0].dueAt
		t.wake(max(t.heap[0].dueAt-t.now(), 0))
	}
}

// timerHeap implements heap.Interface, with the timer that is due next at the root.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.heapIndex = len(*h)
	*h = append(*h, timer)
}
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	timer.heapIndex = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return timer
}
