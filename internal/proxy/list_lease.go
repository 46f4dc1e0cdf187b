package proxy

import (
	"errors"
	"time"

	"chalkferry/internal/discovery"
)

const (
	// limitSlack is by how much the protocol page extends each time limit for proxies on sockets.
	limitSlack = 50 * time.Millisecond
	// maxTransit is how long a first line may take to its server.
	maxTransit = 50 * time.Millisecond
	// maxPongDelay is how long a proxy that has no list yet holds back PONG, where lists are pushed. Nine in ten proxies that start
	// have to be ready after 10 s, after 6 s on short days.
	maxPongDelay = discovery.StalenessLimit * 2 / 3
)

// isListCurrent reports whether a new session may be placed now: everything that discovery sent has been read, and no server can
// have drained for longer than the drain grace without this proxy's knowledge.
func (p *Proxy) isListCurrent() bool { return p.isListRead() && p.now() < p.sendDeadline() }

// sendDeadline is until when first lines of new sessions may be written while nothing renews the lease of the list.
func (p *Proxy) sendDeadline() time.Duration {
	return p.lease.ExpiresAt() + p.settings.drainGrace + limitSlack - maxWriteDelay - maxTransit
}

// awaitList calls back once the list has been read, and for a session that is new to the servers once it is current; at once if it
// is. It implements exchange.AwaitList.
func (p *Proxy) awaitList(isNew bool, callback func()) (cancel func()) {
	if p.isListRead() && (!isNew || p.isListCurrent()) {
		callback()
		return func() {}
	}
	p.logStaleList()
	return p.listGate.add(gatedCall{isNew: isNew, callback: callback})
}

// handleListConfirmed renews the lease after a list or a heartbeat on the watch.
func (p *Proxy) handleListConfirmed(received discovery.Reception) {
	p.lease.Received(p.arrivalTime(received))
	p.handleLeaseRenewed("received")
}

// renewAfterFailure applies the failure of a watch to the lease.
func (p *Proxy) renewAfterFailure(err error) {
	var down *discovery.DownError
	switch {
	case errors.As(err, &down):
		p.lease.FoundDown(down.At.Sub(p.startedAt))
		p.handleLeaseRenewed("discovery-down")
	case errors.Is(err, discovery.ErrWatchEnded):
		p.lease.WatchEnded(p.now() - p.recentStandstill())
	}
}

// handleLeaseRenewed lets sessions go on that waited for a current list, and has the proxy take part in the rotation of the load
// balancer in front of it, once the event is handled: by then a list that came with it is applied. reason is what renewed the lease.
func (p *Proxy) handleLeaseRenewed(reason string) {
	p.afterEvent(func() {
		p.clients.AnswerPings()
		p.listGate.release(p.isListRead, p.isListCurrent)
		if p.isListCurrent() {
			p.logCurrentList(reason)
		}
	})
}

// arrivalTime is the earliest time at which data can have arrived. If it was read at the end of a standstill, it can have come at
// any time in it.
func (p *Proxy) arrivalTime(received discovery.Reception) time.Duration {
	began, ended := received.Began.Sub(p.startedAt), received.Ended.Sub(p.startedAt)
	s := &p.standstill
	if began < s.ended && ended >= s.began {
		return max(began, s.began)
	}
	return ended
}

// staleListReport is the state of the log lines on a list that may be out of date.
type staleListReport struct {
	isOpen   bool          // the first line has been written, the last one has not
	openedAt time.Duration // when the first line was written, since the start; 0 if never
}

// logStaleList writes a log line for the first session that has to wait for a current list, at most one in reportInterval.
func (p *Proxy) logStaleList() {
	r := &p.staleListReport
	if r.isOpen || p.isListRead() && p.isListCurrent() || r.openedAt != 0 && p.now()-r.openedAt < reportInterval {
		return
	}
	r.isOpen, r.openedAt = true, p.now()
	p.log.Warn().Dur("ms_since_lease", p.now()-p.lease.ExpiresAt()).Bool("read", p.isListRead()).Int("failed_watches", p.failedWatches).
		AnErr("cause", p.watchErr).Msg("the list of servers may be out of date: new sessions wait")
}

// logCurrentList writes a log line once the list is current again, with the numbers of sessions and dials that waited: those that
// went on, and those that were given up, as they were refused or their clients left.
func (p *Proxy) logCurrentList(reason string) {
	r := &p.staleListReport
	if !r.isOpen {
		return
	}
	r.isOpen = false
	released, canceled := p.listGate.takeCounts()
	p.log.Info().Str("reason", reason).Dur("ms", p.now()-r.openedAt).Int("released", released).Int("given_up", canceled).
		Msg("the list of servers is current again")
}
