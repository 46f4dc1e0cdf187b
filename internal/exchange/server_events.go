package exchange

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/socket"
)

// Events of the server's side.

// HandleOpened opens the session and passes the server's UP line on, unless the client no longer waits: what the client sent
// before its answer would otherwise be read as a line of an open session and be relayed to the server.
func (s *Session) HandleOpened(upLine []byte) {
	t := s.table
	t.lastAnswerAt[s.serverID] = t.now()
	if s.state != ended && !s.EnsureClientWaiting() {
		return // EnsureClientWaiting has ended the session
	}
	switch s.state {
	case dialing:
		s.enter(open)
		t.balancer.HandleOpened(t.now(), s.arrival.ID, s.serverID, choice.DialNumber(s.dialCount-1), t.now()-s.dialedAt)
	case resuming:
		s.enter(open)
		s.dialCount = 1
		if err := t.balancer.AdoptSession(t.now(), s.arrival, s.serverID); err != nil { // the server may have left the list meanwhile
			s.enter(ended)
			s.server.End(socket.Finished, "not-resumed")
			s.client.Finish([]byte("ERR\r\n"), "not-resumed")
			return
		}
	default:
		return
	}
	s.client.Write(upLine)
	s.client.StartRelay()
}

// HandleDialFailure handles a dial that ended without opening the session: the Balancer decides on the next dial; a session
// that is resumed dials its holder again after a pause.
func (s *Session) HandleDialFailure(outcome choice.Outcome) {
	if outcome == choice.TimedOut || outcome == choice.Unreachable {
		s.table.suspectedAt[s.serverID] = s.table.now()
	}
	switch s.state {
	case dialing:
		s.server = nil
		s.enter(placing)
		s.reportDialEnd(outcome, false)
	case resuming:
		s.server = nil
		s.scheduleResume()
	}
}

// HandleEndBeforeOpen handles a server's BYE in place of UP: the server accepted the session and ended it at once. The BYE
// line is passed on.
func (s *Session) HandleEndBeforeOpen(byeLine []byte) {
	if previous := s.state; previous == dialing || previous == resuming {
		s.enter(ended)
		s.client.Finish(byeLine, "ended")
		if previous == dialing {
			s.reportDialEnd(choice.Accepted, true)
		}
	}
}

// RelayFromServer passes whole lines on to the client of an open session. answers is how many of them answer a client's line:
// LOAD, BYE and MOVE don't, and a server that hangs may go on sending LOAD.
func (s *Session) RelayFromServer(lines []byte, answers int) {
	if answers > 0 {
		s.table.lastAnswerAt[s.serverID] = s.table.now()
	}
	if s.state != open {
		return
	}
	s.client.Write(lines)
	if answers > 0 && s.unanswered > 0 {
		s.table.delays.RecordAnswer(s.table.now(), s.serverID, s.table.now()-s.waitingSince)
		if s.setUnanswered(max(s.unanswered-answers, 0)); s.unanswered > 0 {
			s.waitingSince = s.table.now()
		}
	}
}

// HandleLoadReport records the number of a LOAD line, which is the session's load in microseconds of work per second or the
// server's message delay in milliseconds; see DelayTracker.isDelay.
func (s *Session) HandleLoadReport(level float64) {
	t := s.table
	if s.state != open {
		return
	}
	isDelay, isPhaseNew := t.delays.isDelay(t.now(), s.serverID, &s.loadReports, level)
	if isPhaseNew { // the previous number was a delay as well, so the load before it holds
		s.loadReports.last = s.loadReports.previous
		s.recordLoad(s.loadReports.last)
	}
	if isDelay {
		t.balancer.RecordServerDelay(t.now(), s.serverID, time.Duration(level*float64(time.Millisecond)))
		return
	}
	if delay, mayBe := t.delays.mayBeDelay(&s.loadReports, level); mayBe {
		t.balancer.RecordServerDelay(t.now(), s.serverID, delay)
	}
	s.loadReports = loadReports{s.loadReports.count + 1, t.now(), level, s.loadReports.last}
	s.recordLoad(level)
}

// recordLoad passes a load on to the Balancer, converted from microseconds of work per second to cores.
func (s *Session) recordLoad(level float64) {
	s.table.balancer.RecordSessionLoad(s.table.now(), s.arrival.ID, choice.DialNumber(s.dialCount-1), level/1e6)
}

// HandleServerOverflow moves an open session whose client sends faster than its server reads. Lines that this proxy can't hold are
// lost, so the session can't go on. Called while the session is being moved, it ends the wait for the server's lines.
func (s *Session) HandleServerOverflow() {
	if s.state == open && s.isMoving {
		s.finishMove("overflow")
		return
	}
	s.startMove("overflow")
}

// HandleServerEnd ends an open session, and the client's connection, after the server has ended it or its connection broke.
func (s *Session) HandleServerEnd(outcome choice.Outcome, how socket.End, reason string) {
	if s.state != open {
		return
	}
	s.enter(ended)
	if how == socket.Broken { // the server may still hold the session, so the client is asked to reconnect rather than cut off
		s.client.Finish([]byte("MOVE\r\n"), reason)
	} else {
		s.client.End(how, reason)
	}
	if outcome == choice.Cancelled { // the server sent MOVE: it drains
		s.table.balancer.HandleDrainNotice(s.table.now(), s.serverID)
	}
	s.reportDialEnd(outcome, true)
}
