package exchange

import (
	"fmt"
	"slices"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/line"
)

type state int

const (
	placing  state = iota // the Balancer chooses a server; no dial is under way
	resuming              // dials the server that already holds the session; the Balancer learns of it once it is open
	dialing               // a dial of the Balancer's is under way
	open                  // lines are relayed
	ended
)

// allowedTransitions lists, for each state, the states that may follow it.
var allowedTransitions = [...][]state{
	placing:  {dialing, ended},
	resuming: {open, ended},
	dialing:  {placing, open, ended},
	open:     {ended},
	ended:    {},
}

// Session is one session, from its OPEN line to its end. Times are those of Table.now.
type Session struct {
	table         *Table
	arrival       choice.Arrival
	openLine      line.Open     // parsed from openText
	openText      []byte        // the OPEN line as the client sent it, without its line end
	deadline      time.Duration // until which the client waits for an answer
	state         state
	client        Client
	server        Server          // of the dial under way or the open connection; nil if there is none
	serverID      choice.ServerID // last dialed
	dialCount     int             // dials of the Balancer so far; 1 once a resumed session is open
	dialedAt      time.Duration   // start of the last dial; 0 for a resumed session
	unanswered    int             // client's lines without an answer
	waitingSince  time.Duration   // when the client last began to wait: its first unanswered line or the last partial answer
	loadReports   loadReports     // LOAD lines on this connection
	isHeld        bool            // placing, and the Balancer does not know of it yet: the list of servers may be out of date
	cancelHold    func()          // ends the wait for the list while isHeld
	isMoving      bool            // open, with a call of continueMove under way
	openIndex     int             // position in Table.openSessions
	awaitingIndex int             // position in Table.awaiting
}

// ID returns the id that the client gave the session.
func (s *Session) ID() string { return string(s.openLine.ID) }

// OpenLine returns the OPEN line as the client sent it.
func (s *Session) OpenLine() *line.Open { return &s.openLine }

// IsResuming reports whether the session is dialing the server that already holds it. That server may be draining by now.
func (s *Session) IsResuming() bool { return s.state == resuming }

// FailureLine returns the last line to the client of a session that fails before it is open: BUSY if no dial was started, so
// that a retry is harmless, and ERR if the session may have run.
func (s *Session) FailureLine() []byte {
	if s.dialCount > 0 || s.state == resuming {
		return []byte("ERR\r\n")
	}
	return line.FormatBusy(0)
}

// enter changes the session's state and keeps the table's lists of open sessions in step. After StartSession has set the initial
// state, nothing else changes it.
func (s *Session) enter(next state) {
	if !slices.Contains(allowedTransitions[s.state], next) {
		panic(fmt.Sprintf("session %d: invalid transition from state %d to state %d", s.arrival.ID, s.state, next))
	}
	t := s.table
	if s.state == open {
		s.setUnanswered(0)
		last := len(t.openSessions) - 1
		t.openSessions[s.openIndex] = t.openSessions[last]
		t.openSessions[s.openIndex].openIndex = s.openIndex
		t.openSessions[last] = nil
		t.openSessions = t.openSessions[:last]
		if t.openPerServer[s.serverID]--; t.openPerServer[s.serverID] == 0 {
			delete(t.openPerServer, s.serverID)
		}
	}
	s.state = next
	switch next {
	case open:
		s.openIndex = len(t.openSessions)
		t.openSessions = append(t.openSessions, s)
		t.openPerServer[s.serverID]++
	case ended:
		s.endHold()
		delete(t.sessions, s.arrival.ID)
	}
}

// setUnanswered sets the number of unanswered lines and keeps Table.awaiting in step. Nothing else changes that number.
func (s *Session) setUnanswered(n int) {
	t := s.table
	switch {
	case s.unanswered == 0 && n > 0:
		s.awaitingIndex = len(t.awaiting)
		t.awaiting = append(t.awaiting, s)
	case s.unanswered > 0 && n == 0:
		last := len(t.awaiting) - 1
		t.awaiting[s.awaitingIndex] = t.awaiting[last]
		t.awaiting[s.awaitingIndex].awaitingIndex = s.awaitingIndex
		t.awaiting[last] = nil
		t.awaiting = t.awaiting[:last]
	}
	s.unanswered = n
}

// dialHolder dials the server that already holds the session, or aborts the session if its deadline has passed.
func (s *Session) dialHolder() {
	left := s.deadline - s.table.now()
	if s.state != resuming {
		return
	}
	if left <= 0 {
		s.enter(ended)
		s.client.Finish([]byte("ERR\r\n"), "not-resumed")
		return
	}
	if s.startDial(s.serverID, left); s.server == nil {
		s.scheduleResume()
	}
}

// scheduleResume has the holder dialed again after a pause, or has the session aborted if its deadline has passed.
func (s *Session) scheduleResume() {
	if left := s.deadline - s.table.now(); left > 0 {
		s.table.startTimer(min(s.table.resumeInterval, left), s.dialHolder)
	} else {
		s.dialHolder()
	}
}

// startDial starts a dial, or leaves s.server nil if none can be started. None is started for a client that has already left
// according to the kernel, which the event loop may not have read yet if it was held up; such a session is ended once the
// current event is handled.
func (s *Session) startDial(server choice.ServerID, timeout time.Duration) {
	if s.client.HasStoppedWaiting() {
		s.server = nil
		s.table.runAfterEvent(func() { s.EnsureClientWaiting() })
		return
	}
	s.server = s.table.dialer.Dial(server, timeout, s)
}

// EnsureClientWaiting reports whether the client still waits for its answer. If not, the session has ended when it returns.
func (s *Session) EnsureClientWaiting() bool { return s.client.EnsureWaiting() }

// FirstLine returns the OPEN line for a server: as the client sent it, with the time left replaced by the time for which this
// proxy still waits for the server's answer.
func (s *Session) FirstLine(timeLeft time.Duration) []byte {
	return s.openLine.AppendOpen(nil, s.openText, timeLeft)
}

// MaySendFirstLine reports whether the first line may still be sent to the server, now that the connection is established.
func (s *Session) MaySendFirstLine() bool {
	return s.state != dialing || s.table.balancer.MaySend(s.table.now(), s.arrival.ID)
}

// reportDialEnd reports to the Balancer how the session's last dial, or the open session, ended.
func (s *Session) reportDialEnd(outcome choice.Outcome, isOver bool) {
	t := s.table
	t.balancer.HandleDialEnd(t.now(), s.arrival.ID, choice.DialNumber(s.dialCount-1), s.serverID, outcome, t.now()-s.dialedAt, isOver)
}
