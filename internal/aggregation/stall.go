package aggregation

import "time"

// stallGuard finds that the process was stopped for a while (SIGSTOP, a frozen machine). What is received right after
// that waited in the socket, and is counted as received when the process was stopped, so that it does not pass for
// fresh. The callers of this package call it many times within the limit as long as they run.
type stallGuard struct {
	limit     time.Duration
	now       time.Duration
	stoppedAt time.Duration
	settledAt time.Duration
	stalls    uint64
}

// stallShare is the part of the freshness for which no call may come, or else the process was stopped.
const stallShare = 4

func newStallGuard(now, freshness time.Duration) stallGuard {
	return stallGuard{limit: freshness / stallShare, now: now, settledAt: now}
}

// advance takes the time of a call, and returns one that never goes back.
func (g *stallGuard) advance(now time.Duration) time.Duration {
	if now-g.now > g.limit {
		if g.now >= g.settledAt {
			g.stoppedAt = g.now
		}
		g.settledAt = now + g.limit
		g.stalls++
	}
	g.now = max(g.now, now)
	return g.now
}

// receivedAt returns as of when a datagram counts that is received now.
func (g *stallGuard) receivedAt() time.Duration {
	if g.now < g.settledAt {
		return g.stoppedAt
	}
	return g.now
}
