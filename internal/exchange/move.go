package exchange

import (
	"slices"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/socket"
)

// A session is moved by MOVE to its client, behind all lines that its server sent before: those in the buffer that is being
// handled, and those that this process has not read yet.

const (
	// maxMoveDelay is how long a server that sends without end, or reads that fail, may hold a move up: far less than the second for
	// which a line may be held back.
	maxMoveDelay = 250 * time.Millisecond
	// moveRetryInterval is the time between two reads of a server that had sent more than one read takes.
	moveRetryInterval = 2 * time.Millisecond
)

// startMove has an open session moved. The caller may be handling a line of this or another session, or the Balancer may be in
// the middle of a call of Move; so the move is made once the current event is handled.
func (s *Session) startMove(reason string) {
	if s.state != open || s.isMoving {
		return
	}
	s.isMoving = true
	deadline := s.table.now() + maxMoveDelay
	s.table.runAfterEvent(func() { s.continueMove(reason, deadline) })
}

// continueMove relays what the server has sent, and then ends the session with MOVE to its client, unless the server has ended it.
// While the server may have sent more, and until the deadline, it tries again.
func (s *Session) continueMove(reason string, deadline time.Duration) {
	if s.state != open {
		return
	}
	relayed := s.server.RelayAvailable()
	switch {
	case s.state != open || relayed == RelayEnded:
	case relayed == RelayedSome && s.table.now() < deadline:
		s.table.startTimer(moveRetryInterval, func() { s.continueMove(reason, deadline) })
	default:
		s.finishMove(reason)
	}
}

// finishMove closes an open session gracefully and asks its client to reconnect.
func (s *Session) finishMove(reason string) {
	s.enter(ended)
	s.client.Finish([]byte("MOVE\r\n"), reason)
	s.server.End(socket.Finished, reason)
	s.reportDialEnd(choice.Cancelled, true)
}

// leaveReason is the reason in the log for sessions that are moved because the process is about to end.
const leaveReason = "proxy-leaves"

// MoveSome moves up to n open sessions, as the proxy is about to stop.
func (t *Table) MoveSome(n int) {
	for i := len(t.openSessions) - 1; i >= 0 && n > 0; i-- {
		if session := t.openSessions[i]; !session.isMoving {
			session.startMove(leaveReason)
			n--
		}
	}
}

// MoveAll moves all open sessions by the end of the current event, as the process is about to end. It must not be called while a
// line is being handled.
func (t *Table) MoveAll() {
	for _, session := range slices.Clone(t.openSessions) {
		session.continueMove(leaveReason, t.now())
	}
}
