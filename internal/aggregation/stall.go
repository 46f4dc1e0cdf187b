package aggregation

import "time"

// stallDetector detects that the process was stopped for a while (SIGSTOP, a frozen machine), by a gap of more than
// maxCallGap between two calls. Datagrams received right after that had been waiting in the socket buffer; they count
// as received when the process was stopped, so that old values do not look fresh. Running callers call this package
// many times within maxCallGap.
type stallDetector struct {
	maxCallGap time.Duration
	latestTime time.Duration // largest time of any call
	stoppedAt  time.Duration // time of the last call before the latest stall
	backlogEnd time.Duration // until then, received datagrams count as received at stoppedAt
	stalls     uint64
}

// stallLimitDivisor: a stall is a time without calls of more than the freshness divided by this.
const stallLimitDivisor = 4

func newStallDetector(now, freshness time.Duration) stallDetector {
	return stallDetector{maxCallGap: freshness / stallLimitDivisor, latestTime: now, backlogEnd: now}
}

// advance processes the time of a call and returns a time that never goes back.
func (d *stallDetector) advance(now time.Duration) time.Duration {
	if now-d.latestTime > d.maxCallGap {
		if d.latestTime >= d.backlogEnd {
			d.stoppedAt = d.latestTime
		}
		d.backlogEnd = now + d.maxCallGap
		d.stalls++
	}
	d.latestTime = max(d.latestTime, now)
	return d.latestTime
}

// receiveTime returns the time at which a datagram received now counts as received.
func (d *stallDetector) receiveTime() time.Duration {
	if d.latestTime < d.backlogEnd {
		return d.stoppedAt
	}
	return d.latestTime
}
