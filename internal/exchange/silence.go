package exchange

import (
	"time"

	"chalkferry/choice"
)

// sweepState is what Table.Sweep keeps between calls.
type sweepState struct {
	sweptAt time.Duration                     // start of the last sweep
	waiting []*Session                        // sessions that the current sweep looks at
	servers map[choice.ServerID]serverSilence // of the servers of those sessions
}

// serverSilence counts the sessions of a server, and those of them whose lines have been out since before the server last
// answered anyone.
type serverSilence struct {
	open   int // open sessions
	late   int // of them, with a line out for longer than DelayTracker.reportThreshold
	silent int // of them, with a line out for Table.silenceLimit or longer
}

// singleSilenceFactor times Table.silenceLimit is how long a line must be out before its session is moved even if no other session
// of the server is silent.
const singleSilenceFactor = 3

// Sweep looks for open sessions whose lines are not answered, and is called once per interval. Two or more silent sessions of a
// server that answers nobody show that the server hangs or is cut off: all its sessions are moved. A single one may be a
// connection that no longer carries data while its server is fine: the delay recorded for it stays below the message target, and
// it is moved only after a longer time. After that, the next silent session of the server is enough to move all, unless the
// server has answered anyone since. A sweep that comes late shows that this process was held up: answers of servers may be unread
// then, so it does nothing.
func (t *Table) Sweep(interval time.Duration) {
	now := t.now()
	isLate := now-t.sweep.sweptAt > 2*interval
	t.sweep.sweptAt = now
	if isLate {
		return
	}
	t.sweep.waiting = append(t.sweep.waiting[:0], t.awaiting...)
	t.countSilentSessions(now)
	for _, session := range t.sweep.waiting {
		if session.unanswered > 0 && !session.isMoving { // it may be moved with the others of its server
			t.checkSilentSession(session)
		}
	}
	clear(t.sweep.waiting)
}

// countSilentSessions counts, by server, the sessions whose lines are not answered.
func (t *Table) countSilentSessions(now time.Duration) {
	clear(t.sweep.servers)
	for _, session := range t.sweep.waiting {
		server := t.sweep.servers[session.serverID]
		server.open = t.openPerServer[session.serverID]
		if waited := now - session.waitingSince; !t.hasAnswered(session) {
			if waited > t.delays.reportThreshold {
				server.late++
			}
			if waited >= t.silenceLimit {
				server.silent++
			}
		}
		t.sweep.servers[session.serverID] = server
	}
}

// hasAnswered reports whether the session's server has answered any session since this session's client began to wait.
func (t *Table) hasAnswered(session *Session) bool {
	return t.lastAnswerAt[session.serverID] > session.waitingSince
}

// checkSilentSession moves a session whose line is not answered, alone or with all others of its server, or records the delay.
func (t *Table) checkSilentSession(session *Session) {
	waited, server, hasAnswered := t.now()-session.waitingSince, t.sweep.servers[session.serverID], t.hasAnswered(session)
	isLong := waited >= singleSilenceFactor*t.silenceLimit
	isSuspect := t.suspectedAt[session.serverID] > t.lastAnswerAt[session.serverID]
	switch {
	case !hasAnswered && (server.silent > 1 || server.silent == 1 && isSuspect || server.open == 1 && isLong):
		t.abandonServer(session.serverID, waited)
	case isLong:
		t.suspectedAt[session.serverID] = t.now()
		session.startMove("silent")
	case !hasAnswered && server.late > 1:
		t.delays.RecordWaiting(t.now(), session.serverID, waited)
	case !hasAnswered:
		t.delays.RecordWaiting(t.now(), session.serverID, min(waited, t.delays.maxInTimeDelay()))
	}
}

// abandonServer moves all sessions off a server that hangs or is cut off. The Balancer would move them off bit by bit, as off an
// overloaded server, but an overloaded one still answers some of its sessions. The delay is recorded once the sessions are gone:
// it keeps their clients from coming back to the server, and the Balancer does not learn a capacity limit from it.
func (t *Table) abandonServer(server choice.ServerID, waited time.Duration) {
	for _, session := range t.openSessions {
		if session.serverID == server {
			session.startMove("still")
		}
	}
	t.runAfterEvent(func() { t.balancer.RecordServerDelay(t.now(), server, waited) })
}
