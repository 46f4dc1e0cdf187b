package exchange

import (
	"math/rand"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
)

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
