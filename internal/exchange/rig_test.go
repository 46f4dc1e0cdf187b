package exchange

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"chalkferry/choice"
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

// awaitNothing is an AwaitList whose list is always current.
func awaitNothing(_ bool, callback func()) (cancel func()) {
	callback()
	return func() {}
}

func newRig(servers int) *rig {
	r := &rig{}
	r.Table = NewTable(r, func() time.Duration { return r.now }, func(call func()) { r.deferred = append(r.deferred, call) },
		func(after time.Duration, call func()) { r.timers = append(r.timers, testTimer{r.now + after, call}) },
		awaitNothing, 50*ms, silenceLimit, NewDelayTracker(33*ms, sec, true, true))
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
