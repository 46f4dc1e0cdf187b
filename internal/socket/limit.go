package socket

import "container/list"

// ConnectionLimit counts the descriptors that the process may still open, and knows the connections that may be given up when
// they run short: those that have asked for nothing, and those that have had their last line.
type ConnectionLimit struct {
	free, least int
	spare       list.List // of func(), the longest there first
}

const leastFree = 8 // one in so many is kept for those who come next

// NewConnectionLimit makes a limit of so many descriptors.
func NewConnectionLimit(max int) *ConnectionLimit {
	return &ConnectionLimit{free: max, least: max / leastFree}
}

// Take counts n descriptors as open.
func (l *ConnectionLimit) Take(n int) { l.free -= n }

// Give counts n descriptors as closed.
func (l *ConnectionLimit) Give(n int) { l.free += n }

// Free is how many may still be opened, below 0 when more are open than the limit allows.
func (l *ConnectionLimit) Free() int { return l.free }

// Spares is how many connections are spare.
func (l *ConnectionLimit) Spares() int { return l.spare.Len() }

// Spare names what gives a connection up.
func (l *ConnectionLimit) Spare(giveUp func()) *list.Element { return l.spare.PushBack(giveUp) }

// Keep takes that back; nil and one that was given up are fine.
func (l *ConnectionLimit) Keep(spare *list.Element) {
	if spare != nil {
		l.spare.Remove(spare)
	}
}

// Relieve gives up the connection that has been spare longest, if descriptors are short and it is not the only one.
// It guards against silent clients by the hundred: one goes for each that comes.
func (l *ConnectionLimit) Relieve() {
	if l.free < l.least && l.spare.Len() > 1 {
		l.spare.Remove(l.spare.Front()).(func())()
	}
}
