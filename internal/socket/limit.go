package socket

import "container/list"

// ConnectionLimit counts the descriptors that the process may still open, and knows the connections that may be given up when
// they run short: those that have asked for nothing, and those that have had their last line.
type ConnectionLimit struct {
	free, minFree int
	spares        list.List // of func(), the longest there first
}

const minFreeDivisor = 8 // one in so many is kept for those who come next

// NewConnectionLimit makes a limit of so many descriptors.
func NewConnectionLimit(max int) *ConnectionLimit {
	return &ConnectionLimit{free: max, minFree: max / minFreeDivisor}
}

// Acquire counts n descriptors as open.
func (l *ConnectionLimit) Acquire(n int) { l.free -= n }

// Release counts n descriptors as closed.
func (l *ConnectionLimit) Release(n int) { l.free += n }

// Free is how many may still be opened, below 0 when more are open than the limit allows.
func (l *ConnectionLimit) Free() int { return l.free }

// SpareCount is how many connections are spare.
func (l *ConnectionLimit) SpareCount() int { return l.spares.Len() }

// AddSpare names what gives a connection up.
func (l *ConnectionLimit) AddSpare(giveUp func()) *list.Element { return l.spares.PushBack(giveUp) }

// RemoveSpare takes that back; nil and one that was given up are fine.
func (l *ConnectionLimit) RemoveSpare(spare *list.Element) {
	if spare != nil {
		l.spares.Remove(spare)
	}
}

// EvictSpare gives up the connection that has been spare longest, if descriptors are short and it is not the only one.
// It guards against silent clients by the hundred: one goes for each that comes.
func (l *ConnectionLimit) EvictSpare() {
	if l.free < l.minFree && l.spares.Len() > 1 {
		l.spares.Remove(l.spares.Front()).(func())()
	}
}
