package exchange

import (
	"time"

	"chalkferry/choice"
)

// silences is what sweeps of a table keep.
type silences struct {
	sweptAt time.Duration
	waiting []*Exchange // that the sweep at hand looks at
	servers map[choice.ServerID]silentServer
}

// silentServer is what a sweep finds of a server that has answered nobody since some lines went out.
type silentServer struct {
	held   int // sessions there
	late   int // of them, with a line out for longer than the mark
	silent int // for longer than a server may say nothing
}

// aloneFactor is how many times as long a line must be out to show something by itself.
const aloneFactor = 3

// Sweep looks for sessions that nothing comes back for. Two or more of a server that says nothing to anyone show that
// it hangs or is cut off. One alone may be a connection that carries nothing any more while its server is well: it
// counts for less, and is moved once it is out for longer; the next silence there counts in full, unless the server
// has spoken since. A sweep is to come every so often. One that comes late
// shows that this process stood still: what servers have said meanwhile is not read yet.
func (t *Table) Sweep(every time.Duration) {
	now := t.now()
	isLate := now-t.silences.sweptAt > 2*every
	t.silences.sweptAt = now
	if isLate {
		return
	}
	t.silences.waiting = append(t.silences.waiting[:0], t.asking...)
	t.findSilentServers(now)
	for _, ex := range t.silences.waiting {
		if ex.state == open && ex.asks > 0 { // it may have been moved with others
			t.sweepSession(ex)
		}
	}
	clear(t.silences.waiting)
}

// findSilentServers counts, by server, the sessions that nothing comes back for.
func (t *Table) findSilentServers(now time.Duration) {
	clear(t.silences.servers)
	for _, ex := range t.silences.waiting {
		server := t.silences.servers[ex.at]
		server.held = t.held[ex.at]
		if waited := now - ex.askedAt; !t.hasAnswered(ex) {
			if waited > t.delays.mark {
				server.late++
			}
			if waited >= t.stillFor {
				server.silent++
			}
		}
		t.silences.servers[ex.at] = server
	}
}

// hasAnswered reports whether the server of a session has answered anyone since the session's client waits.
func (t *Table) hasAnswered(ex *Exchange) bool { return t.heard[ex.at] > ex.askedAt }

// sweepSession acts on one session that nothing comes back for.
func (t *Table) sweepSession(ex *Exchange) {
	waited, server, hasAnswered := t.now()-ex.askedAt, t.silences.servers[ex.at], t.hasAnswered(ex)
	isLong := waited >= aloneFactor*t.stillFor
	isSuspect := t.suspect[ex.at] > t.heard[ex.at]
	switch {
	case !hasAnswered && (server.silent > 1 || server.silent == 1 && isSuspect || server.held == 1 && isLong):
		t.abandon(ex.at, waited)
	case isLong:
		t.suspect[ex.at] = t.now()
		ex.move(choice.Cancelled, "silent")
	case !hasAnswered && server.late > 1:
		t.delays.Waiting(t.now(), ex.at, waited)
	case !hasAnswered:
		t.delays.Waiting(t.now(), ex.at, min(waited, t.delays.nearlyLate()))
	}
}

// abandon moves all sessions off a server that is silent: it hangs, or its machine is cut off. The module would
// relieve it bit by bit, as of one that is overloaded, but a server that serves some of its sessions says so. It is
// notified of the delay once they are gone, so that their clients don't come back there and no limit is learnt.
func (t *Table) abandon(at choice.ServerID, waited time.Duration) {
	for i := len(t.open) - 1; i >= 0; i-- {
		if ex := t.open[i]; ex.at == at {
			ex.move(choice.Cancelled, "still")
		}
	}
	t.later(func() { t.balancer.RecordServerDelay(t.now(), at, waited) })
}
