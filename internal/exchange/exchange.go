// Package exchange holds the sessions of one proxy and connects the two sides of each. It turns what the client and server
// sides read into calls of choice.Balancer, carries out the Balancer's decisions (Dial, Refuse, Abort, Move), relays lines
// between the sides, and derives loads and message delays from the lines that pass. It does no I/O and decides no placement:
// sockets belong to packages clients and servers, decisions to package choice. Everything runs on the event loop.
package exchange

import (
	"fmt"
	"slices"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
)

// Client is the client's side of a session.
type Client interface {
	// Write sends whole lines.
	Write(lines []byte)
	// StartRelay has the client side relay lines from now on: the session is open.
	StartRelay()
	// Finish sends a last line and closes the connection gracefully. The reason goes into the log.
	Finish(lastLine []byte, reason string)
	// End ends the connection without a last line.
	End(how socket.End, reason string)
	// EnsureWaiting reports whether the client still waits for its answer. If it has left, or has sent something before its
	// answer, which the event loop need not have read yet, the call ends the session.
	EnsureWaiting() bool
	// HasStoppedWaiting reports the opposite of EnsureWaiting, without side effects.
	HasStoppedWaiting() bool
}

// Server is the server's side of one dial.
type Server interface {
	// Write sends whole lines.
	Write(lines []byte)
	// RelayAvailable relays the whole lines that the server of an open session has sent but that have not been read yet. If the
	// last line announces the end of the session, it ends the session. It must not be called while a line is being handled.
	RelayAvailable() RelayResult
	// End ends the dial or the open connection. The reason goes into the log.
	End(how socket.End, reason string)
}

// RelayResult is what a call of Server.RelayAvailable has come to.
type RelayResult int

const (
	RelayedAll  RelayResult = iota // no further line has come
	RelayedSome                    // more lines may have come
	RelayEnded                     // the server has ended the session; HandleServerEnd was called, or is about to be
)

// Dialer starts dials.
type Dialer interface {
	// Dial connects to the server and sends it the session's first line. It times out if the server has not answered within
	// the timeout. It returns nil if the server's address is unknown or no descriptor is free.
	Dial(server choice.ServerID, timeout time.Duration, session *Session) Server
}

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
	isMoving      bool            // open, with a call of continueMove under way
	openIndex     int             // position in Table.openSessions
	awaitingIndex int             // position in Table.awaiting
}

// Table holds all sessions of a proxy. It implements the part of choice.Front that concerns sessions.
type Table struct {
	balancer       *choice.Balancer
	dialer         Dialer
	now            func() time.Duration              // time since the start
	runAfterEvent  func(func())                      // calls back once the current event is handled
	startTimer     func(time.Duration, func())       // calls back on the event loop
	resumeInterval time.Duration                     // between two dials of a session that is resumed
	delays         *DelayTracker                     // of messages
	silenceLimit   time.Duration                     // a server that answers nobody for this long loses its sessions
	lastAnswerAt   map[choice.ServerID]time.Duration // when the server last answered any session
	sessions       map[choice.SessionID]*Session
	openSessions   []*Session              // in no particular order
	awaiting       []*Session              // open sessions with an unanswered line: few, however many are open
	openPerServer  map[choice.ServerID]int // number of open sessions
	sweep          sweepState
	suspectedAt    map[choice.ServerID]time.Duration // when the server last left one session or dial unanswered
	lastID         choice.SessionID
}

// NewTable makes an empty table. SetBalancer must be called before any other method. runAfterEvent calls back once the current
// event is handled, startTimer after a time; resumeInterval is the pause between two dials of a session that is resumed, and
// silenceLimit the time after which a server that answers nobody loses its sessions.
func NewTable(dialer Dialer, now func() time.Duration, runAfterEvent func(func()), startTimer func(time.Duration, func()),
	resumeInterval, silenceLimit time.Duration, delays *DelayTracker) *Table {
	return &Table{dialer: dialer, now: now, runAfterEvent: runAfterEvent, startTimer: startTimer, resumeInterval: resumeInterval, silenceLimit: silenceLimit,
		openPerServer: map[choice.ServerID]int{}, lastAnswerAt: map[choice.ServerID]time.Duration{}, suspectedAt: map[choice.ServerID]time.Duration{},
		sweep: sweepState{servers: map[choice.ServerID]serverSilence{}}, delays: delays, sessions: map[choice.SessionID]*Session{}}
}

// SetBalancer sets the Balancer that places the sessions.
func (t *Table) SetBalancer(b *choice.Balancer) { t.balancer, t.delays.balancer = b, b }

// Reconfigure applies new settings; each session keeps the listener settings that it arrived under. The parameters are those
// of NewTable and NewDelayTracker.
func (t *Table) Reconfigure(resumeInterval, silenceLimit, reportThreshold time.Duration, reportsLoad, reportsDelay bool) {
	t.resumeInterval, t.silenceLimit = resumeInterval, silenceLimit
	t.delays.reconfigure(reportThreshold, reportsLoad, reportsDelay)
}

// ForgetServer drops what is recorded of a server that has left the list, unless it holds open sessions.
func (t *Table) ForgetServer(server choice.ServerID) {
	if t.openPerServer[server] == 0 {
		delete(t.lastAnswerAt, server)
		delete(t.suspectedAt, server)
		delete(t.delays.lastReports, server)
		delete(t.delays.reportPhases, server)
	}
}

// AbortPending gives a final answer to all sessions that are not open, as the process is about to end. A session without a
// dial is refused; the answer to any other leaves open whether it has run.
func (t *Table) AbortPending() {
	for _, session := range t.sessions { // the order doesn't matter: sessions are independent
		if session.state == open {
			continue
		}
		lastLine := session.FailureLine()
		session.HandleClientEnd(socket.Reset)
		session.client.Finish(lastLine, "proxy-leaves")
	}
}

// FailureLine returns the last line to the client of a session that fails before it is open: BUSY if no dial was started, so
// that a retry is harmless, and ERR if the session may have run.
func (s *Session) FailureLine() []byte {
	if s.dialCount > 0 || s.state == resuming {
		return []byte("ERR\r\n")
	}
	return line.FormatBusy(0)
}

// SessionCount returns the number of sessions that have not ended.
func (t *Table) SessionCount() int { return len(t.sessions) }

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

// StartSession adds a session, given the text of its OPEN line, and has it placed. A holder other than 0 is the server that
// already holds the session: it is dialed without the Balancer. The text is copied, as the session outlives the buffer that it
// was read into.
func (t *Table) StartSession(client Client, arrival choice.Arrival, openText []byte, holder choice.ServerID) *Session {
	t.lastID++
	arrival.ID = t.lastID
	session := &Session{table: t, arrival: arrival, openText: slices.Clone(openText), client: client, deadline: t.now() + arrival.TimeLeft}
	session.openLine, _ = line.ParseOpen(session.openText)
	t.sessions[arrival.ID] = session
	if holder != 0 { // the Balancer adopts the session later, when other settings may apply, so the present ones are kept
		session.arrival.Settings = t.balancer.SessionSettings(arrival.Listener)
		session.state, session.serverID = resuming, holder
		session.dialHolder()
		return session
	}
	if err := t.balancer.PlaceSession(t.now(), arrival); err != nil { // only a bug in this program makes it fail
		session.enter(ended)
		client.Finish([]byte("ERR\r\n"), "module")
	}
	return session
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

// Decisions of the Balancer: methods of choice.Front.

// Dial implements choice.Front. A dial that can't be started fails as NotSent once the current event is handled.
func (t *Table) Dial(id choice.SessionID, server choice.ServerID, timeout time.Duration) {
	session := t.sessions[id]
	session.enter(dialing)
	session.serverID, session.dialedAt = server, t.now()
	session.dialCount++
	if session.startDial(server, timeout); session.server == nil {
		t.runAfterEvent(func() { session.HandleDialFailure(choice.NotSent) })
	}
}

// Refuse implements choice.Front: it sends BUSY to the client.
func (t *Table) Refuse(id choice.SessionID, retryAfter time.Duration) {
	t.finish(id, line.FormatBusy(retryAfter), "refused")
}

// Abort implements choice.Front: it sends ERR to the client.
func (t *Table) Abort(id choice.SessionID) { t.finish(id, []byte("ERR\r\n"), "torn-down") }

// finish ends a session with a last line to its client.
func (t *Table) finish(id choice.SessionID, lastLine []byte, reason string) {
	if session := t.sessions[id]; session != nil {
		session.enter(ended)
		session.client.Finish(lastLine, reason)
	}
}

// Move implements choice.Front: it sends MOVE to the client of an open session.
func (t *Table) Move(id choice.SessionID) {
	if session := t.sessions[id]; session != nil {
		session.startMove("moved")
	}
}

// reportDialEnd reports to the Balancer how the session's last dial, or the open session, ended.
func (s *Session) reportDialEnd(outcome choice.Outcome, isOver bool) {
	t := s.table
	t.balancer.HandleDialEnd(t.now(), s.arrival.ID, choice.DialNumber(s.dialCount-1), s.serverID, outcome, t.now()-s.dialedAt, isOver)
}

// Events of the client's side.

// RelayFromClient passes whole lines on to the server of an open session; n is their number.
func (s *Session) RelayFromClient(lines []byte, n int) {
	if s.state != open {
		return
	}
	if s.unanswered == 0 {
		s.waitingSince = s.table.now()
	}
	s.setUnanswered(s.unanswered + n)
	s.server.Write(lines)
}

// HandleClientEnd ends the session, and its dial or server connection, after its client has gone.
func (s *Session) HandleClientEnd(how socket.End) {
	previous := s.state
	if previous == ended {
		return
	}
	s.enter(ended)
	if previous != open {
		how = socket.Reset // a first line still in this machine's send buffer must not reach the server after the client has left
	}
	if previous != resuming {
		s.table.balancer.HandleClientGone(s.table.now(), s.arrival.ID)
	}
	if previous != placing && s.server != nil {
		s.server.End(how, "client-left")
	}
	if previous == dialing || previous == open {
		s.reportDialEnd(choice.Cancelled, true)
	}
}

// HandleClientBroken moves an open session whose client connection was broken by the network. The client has not ended it, and
// reconnects if it is still there.
func (s *Session) HandleClientBroken() {
	if s.state == open {
		s.startMove("client-broken")
	}
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

// ForEachOpen calls visit for each open session with its server and its OPEN line.
func (t *Table) ForEachOpen(visit func(server choice.ServerID, openLine *line.Open)) {
	for _, session := range t.openSessions {
		visit(session.serverID, &session.openLine)
	}
}

// OpenCount returns the number of open sessions.
func (t *Table) OpenCount() int { return len(t.openSessions) }

// ID returns the id that the client gave the session.
func (s *Session) ID() string { return string(s.openLine.ID) }

// OpenLine returns the OPEN line as the client sent it.
func (s *Session) OpenLine() *line.Open { return &s.openLine }

// IsResuming reports whether the session is dialing the server that already holds it. That server may be draining by now.
func (s *Session) IsResuming() bool { return s.state == resuming }
