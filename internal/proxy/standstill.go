package proxy

import "time"

const (
	sweepEvery = noteSpan / sweeps
	// allowedDelay is how long, by the protocol page, a proxy may be held up between reading its clock and writing.
	allowedDelay = 150 * time.Millisecond
	// standstillLimit is the time between two events from which on the loop has stood still: a sweep is due more often.
	standstillLimit = sweepEvery + allowedDelay
	// drainCheckEvery is how often the watch of the list is looked at after a standstill, and drainPatience how long: a discovery
	// that sends without end must not hold up all sessions. Each has its own limit besides.
	drainCheckEvery = time.Millisecond
	drainPatience   = time.Second
)

// standstill is a span in which the event loop did not run: the process was stopped, or the machine gave it no processor. What
// has come meanwhile is read by several goroutines in any order, so that a request could be placed by a list that has been
// replaced long ago.
type standstill struct {
	began, ended time.Duration

	isListOld bool // what discovery has sent meanwhile may not be known yet
	waiting   []func()
}

// noteEvent is called at the start of each event, and finds out about a standstill before it.
func (p *Proxy) noteEvent() {
	now := p.now()
	before := p.lastEvent
	p.lastEvent = now
	if before == 0 || now-before < standstillLimit {
		return
	}
	s := &p.standstill
	s.began, s.ended = before, now
	p.log.Warn().Dur("ms", now-before).Msg("the event loop stood still")
	if !s.isListOld {
		s.isListOld = true
		p.awaitList(now + drainPatience)
	}
}

// awaitList looks whether all that discovery has sent is read, until then or the limit.
func (p *Proxy) awaitList(limit time.Duration) {
	if p.watcher.IsDrained() || p.now() >= limit {
		p.loop.Execute(p.listIsKnown) // behind the lists that were handed over before
		return
	}
	p.timers.After(drainCheckEvery, func() { p.awaitList(limit) })
}

// listIsKnown goes on with what has waited for the list.
func (p *Proxy) listIsKnown() {
	p.enter()
	defer p.leave()
	s := &p.standstill
	s.isListOld = false
	waiting := s.waiting
	s.waiting = nil
	for _, call := range waiting {
		call()
	}
}

// whenListIsKnown calls back once what discovery has sent in a standstill is known, and at once where there was none.
func (p *Proxy) whenListIsKnown(call func()) {
	if p.standstill.isListOld {
		p.standstill.waiting = append(p.standstill.waiting, call)
		return
	}
	call()
}

// standstillJustNow is how long the loop has stood still, if that ended a moment ago, else 0. A signal that is handled now may
// have been sent as it began.
func (p *Proxy) standstillJustNow() time.Duration {
	s := &p.standstill
	if s.ended == 0 || p.now()-s.ended > sweepEvery {
		return 0
	}
	return p.now() - s.began
}
