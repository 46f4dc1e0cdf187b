package socket

import "container/list"

// ConnectionLimit counts the descriptors that the process may still open, and lists the spare connections, which may be closed
// when descriptors run short: those that have not asked for a session, and those that have been sent their last line.
type ConnectionLimit struct {
	free    int       // descriptors
	minFree int       // with fewer free descriptors, spare connections are closed
	spares  list.List // of func(), which closes the connection; the one that has been spare longest comes first
}

// minFreeDivisor is the share of descriptors, one in so many, that is kept free for new connections.
const minFreeDivisor = 8

// NewConnectionLimit makes a limit of maxDescriptors.
func NewConnectionLimit(maxDescriptors int) *ConnectionLimit {
	return &ConnectionLimit{free: maxDescriptors, minFree: maxDescriptors / minFreeDivisor}
}

// Acquire counts n descriptors as open.
func (l *ConnectionLimit) Acquire(n int) { l.free -= n }

// Release counts n descriptors as closed.
func (l *ConnectionLimit) Release(n int) { l.free += n }

// Free returns how many descriptors may still be opened. It is negative while more are open than the limit allows.
func (l *ConnectionLimit) Free() int { return l.free }

// SpareCount returns the number of spare connections.
func (l *ConnectionLimit) SpareCount() int { return l.spares.Len() }

// AddSpare adds a spare connection, given a function that closes it.
func (l *ConnectionLimit) AddSpare(closeConn func()) *list.Element {
	return l.spares.PushBack(closeConn)
}

// RemoveSpare removes a spare connection. It does nothing for nil or a connection that was evicted.
func (l *ConnectionLimit) RemoveSpare(entry *list.Element) {
	if entry != nil {
		l.spares.Remove(entry)
	}
}

// EvictSpare closes the connection that has been spare longest, if descriptors run short and it is not the only one. It is called
// for each new connection, so that hundreds of clients that connect and send nothing can't use up the descriptors.
func (l *ConnectionLimit) EvictSpare() {
	if l.free < l.minFree && l.spares.Len() > 1 {
		l.spares.Remove(l.spares.Front()).(func())()
	}
}
