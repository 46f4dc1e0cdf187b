package discovery

import "time"

// movedLimit is how long after SIGHUP has named another discovery service its pushed changes count as known.
const movedLimit = 4 * time.Second

// Lease is the time until which a proxy may use its list of servers to place new sessions: until then no change that it has not
// received counts as known to it. The limits are those of the protocol page and the page of the standing test. Events that prove
// what discovery had at a moment renew the lease. A call that waits for its turn, or was given up, does not: discovery could be
// reached. Times are spans on one monotonic clock. A Lease does not read the clock, and the zero value has expired at time 0.
type Lease struct {
	// pushed: a change counts as known as soon as discovery has it, unless discovery is down or an open watch has fallen silent.
	// Otherwise the proxy asks for the list, and a change counts as known StalenessLimit after discovery had it and could be
	// reached. The proxy must call often enough for its settings, whether or not its calls fail.
	pushed    bool
	expiresAt time.Duration
}

// NewLease returns the lease of a process that starts with a cached list and calls discovery at a time for the first time. Where
// lists are pushed, changes count as known from the first moment of the process, which is time 0.
func NewLease(pushed bool, firstCallAt time.Duration) Lease {
	l := Lease{pushed: pushed}
	if !pushed {
		l.expiresAt = firstCallAt + l.unwatched()
	}
	return l
}

// SetPushed sets for later events whether lists are pushed.
func (l *Lease) SetPushed(pushed bool) { l.pushed = pushed }

// unwatched is how long a proxy without a watch may use its list.
func (l *Lease) unwatched() time.Duration {
	if l.pushed {
		return 0
	}
	return StalenessLimit
}

// ExpiresAt returns the end of the lease.
func (l *Lease) ExpiresAt() time.Duration { return l.expiresAt }

// Received renews the lease after a list or a heartbeat that arrived on a watch at a time. While the watch is open, a change that
// it misses counts as known StalenessLimit later.
func (l *Lease) Received(at time.Duration) { l.expiresAt = max(l.expiresAt, at+StalenessLimit) }

// FoundDown renews the lease after a call that found discovery down at a time: until then nothing new was to be learnt.
func (l *Lease) FoundDown(at time.Duration) { l.expiresAt = max(l.expiresAt, at+l.unwatched()) }

// WatchEnded shortens the lease after the end of a watch that was open.
func (l *Lease) WatchEnded(at time.Duration) {
	l.expiresAt = min(l.expiresAt, at+l.unwatched())
}

// Moved shortens the lease after SIGHUP has named another discovery service.
func (l *Lease) Moved(at time.Duration) {
	limit := StalenessLimit
	if l.pushed {
		limit = movedLimit
	}
	l.expiresAt = min(l.expiresAt, at+limit)
}
