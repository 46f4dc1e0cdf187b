package proxy

import "time"

const (
	// sweepInterval is the time between two sweeps of the sessions; the sweeps also bound the time between two events.
	sweepInterval = reportInterval / sweepsPerReport
	// maxWriteDelay is how long, by the protocol page, a proxy may be delayed between reading its clock and writing.
	maxWriteDelay = 150 * time.Millisecond
	// standstillThreshold is the time between two events from which the event loop counts as having stood still: a sweep is
	// due every sweepInterval.
	standstillThreshold = sweepInterval + maxWriteDelay
	// After a standstill the watch of the list is checked every watchCheckInterval until all that was sent is read, for
	// watchReadTimeout at most: a discovery service that sends without end must not hold up all sessions. Sessions have
	// their own limits besides.
	watchCheckInterval = time.Millisecond
	watchReadTimeout   = time.Second
)

// standstill is a period in which the event loop did not run: the process was stopped, or the machine gave it no processor
// time. What arrived meanwhile is read by several goroutines in any order, so that a session could be placed by a list that
// was replaced long before.
type standstill struct {
	began, ended time.Duration

	hasUnreadList bool // what discovery sent meanwhile may not have been applied yet
}

// detectStandstill is called at the start of each event and detects a standstill that ended with it.
func (p *Proxy) detectStandstill() {
	now := p.now()
	previous := p.lastEventAt
	p.lastEventAt = now
	if previous == 0 || now-previous < standstillThreshold {
		return
	}
	s := &p.standstill
	s.began, s.ended = previous, now
	p.log.Warn().Dur("ms", now-previous).Msg("the event loop stood still")
	if !s.hasUnreadList {
		s.hasUnreadList = true
		p.awaitListRead(now + watchReadTimeout)
	}
}

// awaitListRead checks until the deadline whether all that discovery sent has been read, then lets sessions go on.
func (p *Proxy) awaitListRead(deadline time.Duration) {
	if p.watcher.IsDrained() || p.now() >= deadline {
		p.execute(p.resumeAfterList) // queued behind the lists that were already handed to the loop
		return
	}
	p.timers.After(watchCheckInterval, func() { p.awaitListRead(deadline) })
}

// resumeAfterList lets the sessions go on that waited for the list to be read.
func (p *Proxy) resumeAfterList() {
	p.standstill.hasUnreadList = false
	p.listGate.release(p.isListRead, p.isListCurrent)
	if p.isListCurrent() {
		p.logCurrentList("read")
	}
}

// isListRead reports whether all that discovery sent during a standstill has been applied.
func (p *Proxy) isListRead() bool { return !p.standstill.hasUnreadList }

// recentStandstill is the time since the beginning of a standstill that ended at most sweepInterval ago, else 0. A signal
// that is handled now may have been sent when the standstill began.
func (p *Proxy) recentStandstill() time.Duration {
	s := &p.standstill
	if s.ended == 0 || p.now()-s.ended > sweepInterval {
		return 0
	}
	return p.now() - s.began
}
