package exchange

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
)

const (
	ms           = time.Millisecond
	sec          = time.Second
	silenceLimit = 300 * ms
)

// rig runs a Table with a Balancer on a simulated clock, plays the client and server sides, and checks what both see.
type rig struct {
	*Table
	balancer      *choice.Balancer
	now           time.Duration
	deferred      []func() // calls of runAfterEvent
	timers        []testTimer
	clients       []*client
	dials         []*dial
	noDescriptors bool   // dials can't be started
	fault         string // the first one found
}

// testTimer is a call that is due at a time of the rig's clock.
type testTimer struct {
	at   time.Duration
	call func()
}

// client is the client's side of a session.
type client struct {
	rig           *rig
	session       *Session
	deadline      time.Duration
	isOpen, ended bool
	lastLine      string
	received      string
	reason        string
}

// dial is the server's side of a session.
type dial struct {
	rig       *rig
	session   *Session
	server    choice.ServerID
	firstLine string
	deadline  time.Duration
	isOpen    bool
	ended     bool
	reason    string
	written   string
	sent      string   // all lines of the server after UP
	unread    []string // of them, those that the proxy has not read; each is what one read takes
}

func (r *rig) fail(format string, args ...any) {
	if r.fault == "" {
		r.fault = fmt.Sprintf("at %v: ", r.now) + fmt.Sprintf(format, args...)
	}
}

func (c *client) Write(lines []byte) {
	if c.ended {
		c.rig.fail("client that has ended gets %q", lines)
	}
	if !strings.HasSuffix(string(lines), "\r\n") {
		c.rig.fail("client gets a partial line: %q", lines)
	}
	c.received += string(lines)
}

func (c *client) StartRelay() { c.isOpen = true }

func (c *client) EnsureWaiting() bool     { return !c.ended }
func (c *client) HasStoppedWaiting() bool { return c.ended }

func (c *client) Finish(lastLine []byte, reason string) {
	c.Write(lastLine)
	c.lastLine = string(lastLine)
	if (c.lastLine == "MOVE\r\n") != c.isOpen {
		c.rig.fail("client gets %q; its session is open: %v", lastLine, c.isOpen)
	}
	c.End(socket.Finished, reason)
}

func (c *client) End(_ socket.End, reason string) {
	if c.ended {
		c.rig.fail("client ends twice, the second time with reason %s", reason)
	}
	c.ended, c.reason = true, reason
}

func (d *dial) Write(lines []byte) {
	if d.ended || !d.isOpen {
		d.rig.fail("server without an open session gets %q", lines)
	}
	d.written += string(lines)
}

func (d *dial) End(_ socket.End, reason string) { d.ended, d.reason = true, reason }

// RelayAvailable reads once. The server's BYE ends the session.
func (d *dial) RelayAvailable() RelayResult {
	if d.ended || !d.isOpen {
		d.rig.fail("server without an open session is read")
	}
	if len(d.unread) == 0 {
		return RelayedAll
	}
	lines := d.unread[0]
	d.unread = d.unread[1:]
	d.session.RelayFromServer([]byte(lines), strings.Count(lines, "M "))
	switch {
	case strings.HasSuffix(lines, "BYE\r\n"):
		d.ended = true
		d.session.HandleServerEnd(choice.Accepted, socket.Finished, "ended")
		return RelayEnded
	case len(d.unread) > 0:
		return RelayedSome
	}
	return RelayedAll
}

// send has the server send lines, which the proxy reads at once.
func (d *dial) send(lines string) {
	d.sent += lines
	d.rig.runEvent(func() { d.session.RelayFromServer([]byte(lines), strings.Count(lines, "M ")) })
}

// sendUnread has the server send lines that the proxy does not read until it has to.
func (d *dial) sendUnread(lines string) {
	d.sent += lines
	d.unread = append(d.unread, lines)
}

// read has the proxy read what the server has sent.
func (d *dial) read() {
	for !d.ended && len(d.unread) > 0 {
		d.rig.runEvent(func() { d.RelayAvailable() })
	}
}

func (r *rig) Dial(server choice.ServerID, timeout time.Duration, session *Session) Server {
	if r.noDescriptors {
		return nil
	}
	for _, d := range r.dials {
		if d.session == session && !d.ended {
			r.fail("two dials of one session are under way")
		}
	}
	d := &dial{rig: r, session: session, server: server, firstLine: string(session.FirstLine(timeout)), deadline: r.now + timeout}
	r.dials = append(r.dials, d)
	return d
}

// testFront is the choice.Front of the Balancer.
type testFront struct {
	*Table
	rig *rig
}

func (f testFront) PublishOverload(choice.ServerID, time.Duration) {}
func (f testFront) SubscribeList()                                 {}
func (f testFront) Log(string)                                     {}
func (f testFront) StartTimer(after time.Duration, token choice.TimerToken) {
	f.rig.timers = append(f.rig.timers, testTimer{f.rig.now + after, func() { f.rig.balancer.HandleTimer(f.rig.now, token) }})
}

func newRig(servers int) *rig {
	r := &rig{}
	r.Table = NewTable(r, func() time.Duration { return r.now }, func(call func()) { r.deferred = append(r.deferred, call) },
		func(after time.Duration, call func()) { r.timers = append(r.timers, testTimer{r.now + after, call}) },
		50*ms, silenceLimit, NewDelayTracker(33*ms, sec, true, true))
	r.balancer = choice.New(testFront{r.Table, r}, rand.New(rand.NewSource(1)),
		[]choice.Listener{{HandshakeTarget: 300 * ms, DialTimeout: 1200 * ms, MessageTarget: 100 * ms, Utility: 1}},
		choice.DialLimits{MaxDials: 3}, choice.RetryBudget{}, choice.ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec},
		choice.ColdSettings{RampDuration: 20 * sec, InitialShare: 0.2, OverloadMultiple: 3, OverloadWindow: 3 * sec, ProxyCount: 3},
		choice.PeerReportSettings{})
	r.SetBalancer(r.balancer)
	entries := []choice.Entry{}
	for id := range servers {
		entries = append(entries, choice.Entry{ID: choice.ServerID(id + 1), Size: 1, Status: choice.Ready})
	}
	r.balancer.ApplyList(0, choice.ListFull, entries)
	return r
}

// runEvent calls a function as one event of the loop, then everything that it deferred until after the event.
func (r *rig) runEvent(call func()) {
	call()
	for len(r.deferred) > 0 {
		call, r.deferred = r.deferred[0], r.deferred[1:]
		call()
	}
}

func (r *rig) sweep() { r.Sweep(100 * ms) }

// advance moves the clock, runs the timers that are due and times out dials.
func (r *rig) advance(duration time.Duration) {
	r.now += duration
	for {
		i := slices.IndexFunc(r.timers, func(a testTimer) bool { return a.at <= r.now })
		if i < 0 {
			break
		}
		call := r.timers[i].call
		r.timers = slices.Delete(r.timers, i, i+1)
		r.runEvent(call)
	}
	for _, d := range r.dials {
		if !d.ended && !d.isOpen && d.deadline <= r.now {
			r.failDial(d, choice.TimedOut)
		}
	}
}

// failDial ends a dial without opening its session.
func (r *rig) failDial(d *dial, outcome choice.Outcome) {
	d.ended = true
	r.runEvent(func() { d.session.HandleDialFailure(outcome) })
}

// startSession has a new client ask for a session; a holder other than 0 already holds it.
func (r *rig) startSession(holder choice.ServerID) *client {
	text := fmt.Sprintf("OPEN s%d %x c=x,d=1200,g=7", len(r.clients), len(r.clients)+1)
	if holder != 0 {
		text += ",at=held"
	}
	c := &client{rig: r, deadline: r.now + 1200*ms}
	r.clients = append(r.clients, c)
	r.runEvent(func() {
		c.session = r.StartSession(c, choice.Arrival{TimeLeft: 1200 * ms, Client: choice.Key(len(r.clients))}, []byte(text), holder)
	})
	return c
}

// openDial has the dial's server answer with UP.
func (r *rig) openDial(d *dial) {
	d.isOpen = true
	r.runEvent(func() { d.session.HandleOpened([]byte("UP 1\r\n")) })
}

// newOpenSession returns the client and the dial of a new open session.
func (r *rig) newOpenSession() (*client, *dial) {
	c := r.startSession(0)
	d := r.dials[len(r.dials)-1]
	r.openDial(d)
	return c, d
}

// checkInvariants checks that no session is lost or answered late, that both sides of a session end together, and that the
// table's indexes of open sessions agree with the sessions.
func (r *rig) checkInvariants() {
	awaiting, openPerServer := 0, map[choice.ServerID]int{}
	for _, session := range r.Table.openSessions {
		openPerServer[session.serverID]++
		if session.unanswered > 0 {
			awaiting++
			if r.awaiting[session.awaitingIndex] != session {
				r.fail("session %s is not at its index in the awaiting list", session.ID())
			}
		}
	}
	if awaiting != len(r.awaiting) || !maps.Equal(openPerServer, r.openPerServer) {
		r.fail("%d sessions await an answer, %d are listed; open per server: %v, listed %v", awaiting, len(r.awaiting), openPerServer, r.openPerServer)
	}
	for i, c := range r.clients {
		n := 0
		for _, d := range r.dials {
			if d.session == c.session && !d.ended {
				n++
			}
		}
		switch {
		case c.ended && n > 0:
			r.fail("session %d has ended with reason %s, but its dial has not", i, c.reason)
		case !c.ended && !c.isOpen && r.now > c.deadline:
			r.fail("session %d has no answer by its deadline %v: state %d, %q", i, c.deadline, c.session.state, c.session.openText)
		case !c.ended && c.isOpen && n != 1:
			r.fail("session %d is open on %d connections", i, n)
		case c.ended && c.lastLine == "" && c.reason != "client-left" && !c.isOpen:
			r.fail("session %d has ended with reason %s and no answer", i, c.reason)
		case c.lastLine == "MOVE\r\n":
			r.checkMoved(c)
		}
	}
}

// checkMoved checks that the client of a session that the proxy has moved got all lines of its server, and MOVE behind them.
func (r *rig) checkMoved(c *client) {
	for _, d := range r.dials {
		if want := "UP 1\r\n" + d.sent + "MOVE\r\n"; d.session == c.session && d.isOpen && (c.received != want || strings.Contains(want, "BYE")) {
			r.fail("session %s: moved with reason %s, its client gets %q, want %q", c.session.ID(), c.reason, c.received, want)
		}
	}
}

// TestRules plays random events of clients, servers and time, and checks the invariants after each step.
func TestRules(t *testing.T) {
	check := func(seed int64) bool {
		chance := rand.New(rand.NewSource(seed))
		r := newRig(1 + chance.Intn(4))
		for range 400 {
			r.advance(time.Duration(chance.Int63n(int64(60 * ms))))
			r.noDescriptors = chance.Intn(20) == 0
			if len(r.dials) > 0 {
				d := r.dials[max(len(r.dials)-1-chance.Intn(8), 0)]
				switch what := chance.Intn(10); {
				case d.ended:
				case !d.isOpen && what < 4:
					r.openDial(d)
				case !d.isOpen && what < 6:
					r.failDial(d, choice.Outcome(2+chance.Intn(6)))
				case !d.isOpen && what == 6:
					d.ended = true
					r.runEvent(func() { d.session.HandleEndBeforeOpen([]byte("BYE\r\n")) })
				case d.isOpen && what < 4:
					d.read()
					if !d.ended {
						d.send("M 1\r\nLOAD 1\r\n")
					}
				case d.isOpen && what == 4 && len(d.unread) < 2 && !strings.Contains(d.sent, "BYE"):
					d.sendUnread([]string{"M 2\r\n", "M 2\r\nLOAD 1\r\n", "M 2\r\nBYE\r\n"}[chance.Intn(3)])
				case d.isOpen && what == 5:
					d.ended = true
					r.runEvent(func() { d.session.HandleServerEnd(choice.Outcome(1+chance.Intn(7)), socket.Reset, "broken") })
				case d.isOpen:
					r.runEvent(func() { d.session.HandleLoadReport(float64(chance.Intn(5000))) })
				}
			}
			if len(r.clients) > 0 {
				c := r.clients[max(len(r.clients)-1-chance.Intn(8), 0)]
				switch what := chance.Intn(10); {
				case c.ended:
				case what == 0:
					c.ended, c.reason = true, "client-left"
					r.runEvent(func() { c.session.HandleClientEnd(socket.Reset) })
				case c.isOpen && what < 6:
					r.runEvent(func() { c.session.RelayFromClient([]byte("M 1\r\n"), 1) })
				}
			}
			switch chance.Intn(8) {
			case 0, 1:
				r.startSession(choice.ServerID(max(chance.Intn(8)-6, 0)))
			case 2:
				r.runEvent(r.sweep)
			case 3:
				r.runEvent(func() { r.MoveSome(chance.Intn(2)) })
			}
			r.checkInvariants()
		}
		r.advance(2 * sec)
		r.checkInvariants()
		if r.fault != "" {
			t.Logf("seed %d: %s", seed, r.fault)
		}
		return r.fault == ""
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 100, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// TestFirstLine checks that a server gets the OPEN line unchanged except for the time left, which is that of its dial.
func TestFirstLine(t *testing.T) {
	r := newRig(2)
	r.startSession(0)
	if want := "OPEN s0 1 c=x,d=400,g=7\r\n"; r.dials[0].firstLine != want {
		t.Errorf("%q, want %q", r.dials[0].firstLine, want)
	}
	r.failDial(r.dials[0], choice.ServerFull)
	o, err := line.ParseOpen([]byte(strings.TrimSpace(r.dials[1].firstLine)))
	if err != nil || o.Remaining != r.dials[1].deadline || r.dials[1].server == r.dials[0].server {
		t.Errorf("second dial sends %q to server %d, the first went to server %d", r.dials[1].firstLine, r.dials[1].server, r.dials[0].server)
	}
}

// TestStill checks that all sessions are moved off a server if two of them have unanswered lines and the server has answered
// nobody since, or one of them if a dial to the server has failed since its last answer. Otherwise a single unanswered line moves
// only its own session, later; a server that answers others keeps their sessions and does not count as late.
func TestStill(t *testing.T) {
	for i, c := range []struct {
		lines       int           // unanswered, each of another session
		dialFails   bool          // a dial to the server fails
		answers     bool          // the server answers another session
		stays       bool          // the other sessions stay
		reason      string        // of the first session's end
		after       time.Duration // from the first line to that end
		takesOthers bool          // the server gets new sessions afterwards
	}{{1, false, true, true, "silent", singleSilenceFactor * silenceLimit, true}, {1, false, false, true, "silent", singleSilenceFactor * silenceLimit, true},
		{1, true, true, true, "silent", singleSilenceFactor * silenceLimit, true}, {1, true, false, false, "still", silenceLimit, false},
		{2, false, false, false, "still", silenceLimit, false}, {2, false, false, false, "still", silenceLimit, false}} {
		r := newRig(1)
		r.now = sec
		var clients [3]*client
		var dials [3]*dial
		for i := range clients {
			clients[i], dials[i] = r.newOpenSession()
		}
		for i := range c.lines {
			r.runEvent(func() { clients[i].session.RelayFromClient([]byte("M 1\r\n"), 1) })
		}
		if c.dialFails {
			r.startSession(0)
			r.advance(ms)
			r.failDial(r.dials[len(r.dials)-1], choice.Unreachable)
		}
		for first := clients[0]; !first.ended; r.runEvent(r.sweep) {
			r.advance(50 * ms)
			switch {
			case c.answers:
				r.runEvent(func() { dials[2].session.RelayFromServer([]byte("M 1\r\n"), 1) })
			case i%2 == 1: // a server that hangs may go on sending its load
				r.runEvent(func() { dials[2].session.RelayFromServer([]byte("LOAD 7\r\n"), 0) })
			}
			if waited := r.now - sec; waited > c.after+100*ms {
				t.Fatalf("%+v: the first session is still open after %v", c, waited)
			}
		}
		waited := r.now - sec
		if clients[0].lastLine != "MOVE\r\n" || clients[0].reason != c.reason || waited < c.after || clients[2].ended == c.stays || r.fault != "" {
			t.Errorf("%+v: ended after %v with reason %q, others moved: %v; %s", c, waited, clients[0].reason, clients[2].ended, r.fault)
		}
		if c.lines == 1 && !c.answers && !c.dialFails {
			r.advance(2 * sec) // by then the recorded delay, just below the message target, no longer counts
		}
		if isTaken := r.startSession(0).lastLine != "BUSY\r\n"; isTaken != c.takesOthers {
			t.Errorf("%+v: a new session is sent to the server: %v", c, isTaken)
		}
	}
}

// TestOwnPause checks that servers don't count as silent for the time in which the proxy itself was held up.
func TestOwnPause(t *testing.T) {
	r := newRig(1)
	r.now = sec
	c, d := r.newOpenSession()
	r.runEvent(r.sweep)
	r.runEvent(func() { c.session.RelayFromClient([]byte("M 1\r\n"), 1) })
	r.advance(2 * sec)
	r.runEvent(r.sweep)
	if c.ended || d.ended {
		t.Fatalf("the session has ended with reason %q", c.reason)
	}
	r.advance(100 * ms)
	r.runEvent(r.sweep)
	if c.reason != "still" {
		t.Errorf("reason %q, want still: the server answers nobody", c.reason)
	}
}

// TestIsDelay checks that numbers one report interval apart are taken for delays and all others for loads, also where a delay
// comes first.
func TestIsDelay(t *testing.T) {
	d := NewDelayTracker(33*ms, sec, true, true)
	var reports loadReports
	for i, c := range []struct {
		at    time.Duration
		level float64
		want  bool
	}{
		{300 * ms, 1788, false}, {1980 * ms, 150, false}, {2980 * ms, 336, true}, {3500 * ms, 40000, false},
		{3985 * ms, 571, true}, {4980 * ms, 50000, false}, {5500 * ms, 700, false}, {8978 * ms, 20, true},
	} {
		isDelay, _ := d.isDelay(c.at, 1, &reports, c.level)
		if isDelay != c.want {
			t.Errorf("number %d, %v at %v: taken for a delay: %v", i, c.level, c.at, isDelay)
		}
		if !isDelay {
			reports = loadReports{reports.count + 1, c.at, c.level, reports.last}
		}
	}
	for level, want := range map[float64]time.Duration{20: 0, 60: 60 * ms, 150: 98 * ms, 300: 0} {
		if delay, mayBe := d.mayBeDelay(&loadReports{count: 1}, level); mayBe != (want > 0) || mayBe && delay != want {
			t.Errorf("%v may be a delay: %v, of %v", level, mayBe, delay)
		}
	}
	if isDelay, _ := NewDelayTracker(33*ms, sec, false, true).isDelay(0, 1, &loadReports{}, 50); !isDelay {
		t.Error("a number is taken for a load though servers report only delays")
	}
	if isDelay, _ := d.isDelay(9*sec, 2, &loadReports{count: 2, lastAt: 8 * sec, last: 30000}, 1100); isDelay {
		t.Error("a load one second after another is taken for a delay")
	}
}

// TestResume checks that a session that a server already holds is dialed there repeatedly until it is open.
func TestResume(t *testing.T) {
	r := newRig(2)
	c := r.startSession(2)
	r.failDial(r.dials[0], choice.Unreachable)
	r.advance(60 * ms)
	if len(r.dials) != 2 || r.dials[1].server != 2 {
		t.Fatalf("%d dials, want 2, the second one to server 2", len(r.dials))
	}
	r.openDial(r.dials[1])
	if !c.isOpen || c.received != "UP 1\r\n" || r.OpenCount() != 1 {
		t.Errorf("session is open: %v, its client got %q", c.isOpen, c.received)
	}
}

// TestDrainTold checks that a server's MOVE is reported to the Balancer as a drain, so that the client does not come back to it.
func TestDrainTold(t *testing.T) {
	r := newRig(2)
	_, d := r.newOpenSession()
	r.runEvent(func() { d.session.HandleServerEnd(choice.Cancelled, socket.Finished, "sent-away") })
	for range 20 {
		if _, next := r.newOpenSession(); next.server == d.server || r.fault != "" {
			t.Fatalf("server %d was dialed, though server %d drains; %s", next.server, d.server, r.fault)
		}
	}
}

// TestLineThatMovesItsSession guards against lines that are lost because they move the session that they belong to, by the delay
// of an answer or by a LOAD line.
func TestLineThatMovesItsSession(t *testing.T) {
	const sessions, messageTime = 20, 290 * ms // three times the message target, below silenceLimit
	for name, load := range map[string]float64{"the answer": 0, "LOAD behind the answer": 900} {
		r := newRig(1)
		r.delays.reconfigure(33*ms, false, true)
		r.now = sec
		for range sessions {
			c, _ := r.newOpenSession()
			r.runEvent(func() { c.session.RelayFromClient([]byte("M 1\r\n"), 1) })
		}
		r.advance(messageTime)
		for _, d := range r.dials {
			if d.ended {
				continue // moved by the line of another session
			}
			d.sent = "M 1\r\n"
			r.runEvent(func() {
				if load > 0 {
					d.sent += "LOAD 900\r\n"
					d.session.HandleLoadReport(load)
				}
				d.session.RelayFromServer([]byte(d.sent), 1)
			})
		}
		r.checkInvariants()
		if r.fault != "" || r.OpenCount() == sessions {
			t.Errorf("%s: %d of %d sessions are still open; %s", name, r.OpenCount(), sessions, r.fault)
		}
	}
}

// TestUnreadLinesOfMovedSession guards against lines that are lost because the proxy has not read them when it moves their session,
// and against a MOVE behind the server's BYE.
func TestUnreadLinesOfMovedSession(t *testing.T) {
	moves := map[string]func(r *rig, c *client){
		"the Balancer":       func(r *rig, c *client) { r.Move(c.session.arrival.ID) },
		"the proxy leaves":   func(r *rig, _ *client) { r.MoveSome(1) },
		"the proxy ends":     func(r *rig, _ *client) { r.MoveAll() },
		"the server hangs":   func(r *rig, c *client) { r.abandonServer(c.session.serverID, sec) },
		"the client's break": func(_ *rig, c *client) { c.session.HandleClientBroken() },
	}
	for name, move := range moves {
		for _, lines := range []string{"", "M 1\r\n", "M 1\r\nBYE\r\n"} {
			r := newRig(1)
			c, d := r.newOpenSession()
			if lines != "" {
				d.sendUnread(lines)
			}
			r.runEvent(func() {
				move(r, c)
				move(r, c)
			})
			r.checkInvariants()
			isServed := strings.HasSuffix(lines, "BYE\r\n")
			want := "UP 1\r\n" + lines
			if !isServed {
				want += "MOVE\r\n"
			}
			if c.received != want || !c.ended || r.OpenCount() != 0 || r.fault != "" {
				t.Errorf("%s, %q unread: the client gets %q, has ended: %v; %s", name, lines, c.received, c.ended, r.fault)
			}
		}
	}
}

// TestEndlessServerIsMoved guards against a move that is held up by a server that sends without end.
func TestEndlessServerIsMoved(t *testing.T) {
	r := newRig(1)
	c, d := r.newOpenSession()
	for range 1000 {
		d.sendUnread("M 1\r\n")
	}
	r.runEvent(func() { r.MoveSome(1) })
	if c.ended {
		t.Fatal("the session is moved though more lines have come")
	}
	for waited := time.Duration(0); !c.ended; waited += ms {
		if waited > maxMoveDelay+ms {
			t.Fatalf("the session is still open after %v", waited)
		}
		r.advance(ms)
	}
	if c.lastLine != "MOVE\r\n" {
		t.Errorf("the client's last line is %q", c.lastLine)
	}
}

// TestForget checks that what is recorded of a server that has left the list is dropped, unless it holds sessions.
func TestForget(t *testing.T) {
	r := newRig(2)
	for _, server := range []choice.ServerID{7, 8} {
		r.lastAnswerAt[server], r.suspectedAt[server], r.delays.lastReports[server], r.delays.reportPhases[server] = sec, sec, delayReport{}, sec
	}
	r.openPerServer[8] = 1
	r.ForgetServer(7)
	r.ForgetServer(8)
	for server, want := range map[choice.ServerID]bool{7: false, 8: true} {
		_, hasAnswer := r.lastAnswerAt[server]
		_, isSuspected := r.suspectedAt[server]
		_, hasReport := r.delays.lastReports[server]
		_, hasPhase := r.delays.reportPhases[server]
		if hasAnswer != want || isSuspected != want || hasReport != want || hasPhase != want {
			t.Errorf("server %d: answer %v, suspicion %v, report %v, phase %v are kept, want %v", server, hasAnswer, isSuspected, hasReport, hasPhase, want)
		}
	}
}
