package exchange

import (
	"slices"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
)

// Table holds all sessions of a proxy. It implements the part of choice.Front that concerns sessions.
type Table struct {
	balancer       *choice.Balancer
	dialer         Dialer
	now            func() time.Duration              // time since the start
	runAfterEvent  func(func())                      // calls back once the current event is handled
	startTimer     func(time.Duration, func())       // calls back on the event loop
	awaitList      AwaitList                         // for sessions to be placed
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
// event is handled, startTimer after a time, awaitList once the list of servers is current; resumeInterval is the pause between two
// dials of a session that is resumed, and silenceLimit the time after which a server that answers nobody loses its sessions.
func NewTable(dialer Dialer, now func() time.Duration, runAfterEvent func(func()), startTimer func(time.Duration, func()),
	awaitList AwaitList, resumeInterval, silenceLimit time.Duration, delays *DelayTracker) *Table {
	return &Table{dialer: dialer, now: now, runAfterEvent: runAfterEvent, startTimer: startTimer, awaitList: awaitList, resumeInterval: resumeInterval, silenceLimit: silenceLimit,
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
	if session.NeedsCurrentList() {
		session.placeWhenListCurrent()
	} else {
		session.place()
	}
	return session
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

// SessionCount returns the number of sessions that have not ended.
func (t *Table) SessionCount() int { return len(t.sessions) }

// OpenCount returns the number of open sessions.
func (t *Table) OpenCount() int { return len(t.openSessions) }

// ForEachOpen calls visit for each open session with its server and its OPEN line.
func (t *Table) ForEachOpen(visit func(server choice.ServerID, openLine *line.Open)) {
	for _, session := range t.openSessions {
		visit(session.serverID, &session.openLine)
	}
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
