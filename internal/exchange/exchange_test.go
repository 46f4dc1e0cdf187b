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
	ms       = time.Millisecond
	sec      = time.Second
	stillFor = 300 * ms
)

// rig runs a table with the module and checks what both sides see.
type rig struct {
	*Table
	b       *choice.Balancer
	now     time.Duration
	waiting []func()
	due     []alarm
	clients []*client
	dials   []*dial
	noRoom  bool
	fault   string
}

type alarm struct {
	at   time.Duration
	call func()
}

type client struct {
	r        *rig
	ex       *Exchange
	until    time.Duration
	up, over bool
	answer   string
	seen     string
	reason   string
}

type dial struct {
	r       *rig
	ex      *Exchange
	at      choice.ServerID
	first   string
	until   time.Duration
	up      bool
	over    bool
	reason  string
	written string
}

func (r *rig) fail(format string, args ...any) {
	if r.fault == "" {
		r.fault = fmt.Sprintf("at %v: ", r.now) + fmt.Sprintf(format, args...)
	}
}

func (c *client) Write(lines []byte) {
	if c.over {
		c.r.fail("a client that is gone gets %q", lines)
	}
	if !strings.HasSuffix(string(lines), "\r\n") {
		c.r.fail("a client gets a part of a line: %q", lines)
	}
	c.seen += string(lines)
}

func (c *client) Up() { c.up = true }

func (c *client) Waits() bool { return !c.over }
func (c *client) Gone() bool  { return c.over }

func (c *client) Answer(last []byte, reason string) {
	c.Write(last)
	c.answer = string(last)
	if (c.answer == "MOVE\r\n") != c.up {
		c.r.fail("%q to a client, up is %v", last, c.up)
	}
	c.End(socket.Finished, reason)
}

func (c *client) End(_ socket.End, reason string) {
	if c.over {
		c.r.fail("a client ends twice, now as %s", reason)
	}
	c.over, c.reason = true, reason
}

func (d *dial) Write(lines []byte) {
	if d.over || !d.up {
		d.r.fail("a server that is not up gets %q", lines)
	}
	d.written += string(lines)
}

func (d *dial) End(_ socket.End, reason string) { d.over, d.reason = true, reason }

func (r *rig) Dial(at choice.ServerID, limit time.Duration, ex *Exchange) Server {
	if r.noRoom {
		return nil
	}
	for _, d := range r.dials {
		if d.ex == ex && !d.over {
			r.fail("two dials of one session are out")
		}
	}
	d := &dial{r: r, ex: ex, at: at, first: string(ex.FirstLine(limit)), until: r.now + limit}
	r.dials = append(r.dials, d)
	return d
}

// front is the module's view.
type front struct {
	*Table
	r *rig
}

func (f front) PublishOverload(choice.ServerID, time.Duration) {}
func (f front) SubscribeList()                                 {}
func (f front) Log(string)                                     {}
func (f front) StartTimer(after time.Duration, token choice.TimerToken) {
	f.r.due = append(f.r.due, alarm{f.r.now + after, func() { f.r.b.HandleTimer(f.r.now, token) }})
}

func newRig(servers int) *rig {
	r := &rig{}
	r.Table = NewTable(r, func() time.Duration { return r.now }, func(call func()) { r.waiting = append(r.waiting, call) },
		func(after time.Duration, call func()) { r.due = append(r.due, alarm{r.now + after, call}) },
		50*ms, stillFor, NewDelays(33*ms, sec, true, true))
	r.b = choice.New(front{r.Table, r}, rand.New(rand.NewSource(1)),
		[]choice.Listener{{HandshakeTarget: 300 * ms, DialTimeout: 1200 * ms, MessageTarget: 100 * ms, Utility: 1}},
		choice.DialLimits{MaxDials: 3}, choice.RetryBudget{}, choice.ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec},
		choice.ColdSettings{RampDuration: 20 * sec, InitialShare: 0.2, OverloadMultiple: 3, OverloadWindow: 3 * sec, ProxyCount: 3},
		choice.PeerReportSettings{})
	r.Serve(r.b)
	entries := []choice.Entry{}
	for id := range servers {
		entries = append(entries, choice.Entry{ID: choice.ServerID(id + 1), Size: 1, Status: choice.Ready})
	}
	r.b.ApplyList(0, choice.ListFull, entries)
	return r
}

// do does one thing and all that had to wait for its end.
func (r *rig) do(call func()) {
	call()
	for len(r.waiting) > 0 {
		call, r.waiting = r.waiting[0], r.waiting[1:]
		call()
	}
}

func (r *rig) sweep() { r.Sweep(100 * ms) }

// pass lets time pass.
func (r *rig) pass(span time.Duration) {
	r.now += span
	for {
		i := slices.IndexFunc(r.due, func(a alarm) bool { return a.at <= r.now })
		if i < 0 {
			break
		}
		call := r.due[i].call
		r.due = slices.Delete(r.due, i, i+1)
		r.do(call)
	}
	for _, d := range r.dials {
		if !d.over && !d.up && d.until <= r.now {
			r.end(d, choice.TimedOut)
		}
	}
}

func (r *rig) end(d *dial, outcome choice.Outcome) {
	d.over = true
	r.do(func() { d.ex.Failed(outcome) })
}

func (r *rig) open(holder choice.ServerID) *client {
	text := fmt.Sprintf("OPEN s%d %x c=x,d=1200,g=7", len(r.clients), len(r.clients)+1)
	if holder != 0 {
		text += ",at=held"
	}
	c := &client{r: r, until: r.now + 1200*ms}
	r.clients = append(r.clients, c)
	r.do(func() {
		c.ex = r.Begin(c, choice.Arrival{TimeLeft: 1200 * ms, Client: choice.Key(len(r.clients))}, []byte(text), holder)
	})
	return c
}

func (r *rig) up(d *dial) {
	d.up = true
	r.do(func() { d.ex.Opened([]byte("UP 1\r\n")) })
}

// opened is a session that stands, and its dial.
func (r *rig) opened() (*client, *dial) {
	c := r.open(0)
	d := r.dials[len(r.dials)-1]
	r.up(d)
	return c, d
}

// check holds that no session is lost or answered late, that both sides end together, and that what is kept of the
// open sessions beside them is what they say.
func (r *rig) check() {
	asking, held := 0, map[choice.ServerID]int{}
	for _, ex := range r.Table.open {
		held[ex.at]++
		if ex.asks > 0 {
			asking++
			if r.asking[ex.askSlot] != ex {
				r.fail("session %s is not where it says among those that ask", ex.Name())
			}
		}
	}
	if asking != len(r.asking) || !maps.Equal(held, r.held) {
		r.fail("%d sessions ask, %d are kept; %v are held, %v are kept", asking, len(r.asking), held, r.held)
	}
	for i, c := range r.clients {
		n := 0
		for _, d := range r.dials {
			if d.ex == c.ex && !d.over {
				n++
			}
		}
		switch {
		case c.over && n > 0:
			r.fail("session %d has ended as %s, its dial is out", i, c.reason)
		case !c.over && !c.up && r.now > c.until:
			r.fail("session %d has no answer by %v, state %d, %q", i, c.until, c.ex.state, c.ex.text)
		case !c.over && c.up && n != 1:
			r.fail("session %d is up on %d connections", i, n)
		case c.over && c.answer == "" && c.reason != "client-left" && !c.up:
			r.fail("session %d has ended as %s without an answer", i, c.reason)
		}
	}
}

func TestRules(t *testing.T) {
	check := func(seed int64) bool {
		chance := rand.New(rand.NewSource(seed))
		r := newRig(1 + chance.Intn(4))
		for range 400 {
			r.pass(time.Duration(chance.Int63n(int64(60 * ms))))
			r.noRoom = chance.Intn(20) == 0
			if len(r.dials) > 0 {
				d := r.dials[max(len(r.dials)-1-chance.Intn(8), 0)]
				switch what := chance.Intn(10); {
				case d.over:
				case !d.up && what < 4:
					r.up(d)
				case !d.up && what < 6:
					r.end(d, choice.Outcome(2+chance.Intn(6)))
				case !d.up && what == 6:
					d.over = true
					r.do(func() { d.ex.Ended([]byte("BYE\r\n")) })
				case d.up && what < 5:
					r.do(func() { d.ex.FromServer([]byte("M 1\r\nLOAD 1\r\n"), 1) })
				case d.up && what == 5:
					d.over = true
					r.do(func() { d.ex.ServerEnded(choice.Outcome(1+chance.Intn(7)), socket.Reset, "broken") })
				case d.up:
					r.do(func() { d.ex.NoteLoad(float64(chance.Intn(5000))) })
				}
			}
			if len(r.clients) > 0 {
				c := r.clients[max(len(r.clients)-1-chance.Intn(8), 0)]
				switch what := chance.Intn(10); {
				case c.over:
				case what == 0:
					c.over, c.reason = true, "client-left"
					r.do(func() { c.ex.ClientEnded(socket.Reset) })
				case c.up && what < 6:
					r.do(func() { c.ex.FromClient([]byte("M 1\r\n"), 1) })
				}
			}
			switch chance.Intn(8) {
			case 0, 1:
				r.open(choice.ServerID(max(chance.Intn(8)-6, 0)))
			case 2:
				r.do(r.sweep)
			case 3:
				r.do(func() { r.MoveSome(chance.Intn(2)) })
			}
			r.check()
		}
		r.pass(2 * sec)
		r.check()
		if r.fault != "" {
			t.Logf("seed %d: %s", seed, r.fault)
		}
		return r.fault == ""
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 100, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// TestFirstLine: a server sees the line unchanged but for the time that its dial has.
func TestFirstLine(t *testing.T) {
	r := newRig(2)
	r.open(0)
	if want := "OPEN s0 1 c=x,d=400,g=7\r\n"; r.dials[0].first != want {
		t.Errorf("%q, want %q", r.dials[0].first, want)
	}
	r.end(r.dials[0], choice.ServerFull)
	o, err := line.ParseOpen([]byte(strings.TrimSpace(r.dials[1].first)))
	if err != nil || o.Remaining != r.dials[1].until || r.dials[1].at == r.dials[0].at {
		t.Errorf("%q to server %d after %d", r.dials[1].first, r.dials[1].at, r.dials[0].at)
	}
}

// TestStill: all sessions leave a server at which two lines are out and that has said nothing to anyone since; one
// line alone moves its own session, later, unless a dial has failed there since it spoke, and a server that speaks keeps the others and is not taken for late.
func TestStill(t *testing.T) {
	for i, c := range []struct {
		lines    int
		failed   bool // and a dial there has failed
		speaks   bool
		stays    bool
		reason   string
		after    time.Duration
		comeBack bool
	}{{1, false, true, true, "silent", aloneFactor * stillFor, true}, {1, false, false, true, "silent", aloneFactor * stillFor, true},
		{1, true, true, true, "silent", aloneFactor * stillFor, true}, {1, true, false, false, "still", stillFor, false},
		{2, false, false, false, "still", stillFor, false}, {2, false, false, false, "still", stillFor, false}} {
		r := newRig(1)
		r.now = sec
		var clients [3]*client
		var dials [3]*dial
		for i := range clients {
			clients[i], dials[i] = r.opened()
		}
		for i := range c.lines {
			r.do(func() { clients[i].ex.FromClient([]byte("M 1\r\n"), 1) })
		}
		if c.failed {
			r.open(0)
			r.pass(ms)
			r.end(r.dials[len(r.dials)-1], choice.Unreachable)
		}
		for first := clients[0]; !first.over; r.do(r.sweep) {
			r.pass(50 * ms)
			switch {
			case c.speaks:
				r.do(func() { dials[2].ex.FromServer([]byte("M 1\r\n"), 1) })
			case i%2 == 1: // what a server that hangs still says
				r.do(func() { dials[2].ex.FromServer([]byte("LOAD 7\r\n"), 0) })
			}
			if waited := r.now - sec; waited > c.after+100*ms {
				t.Fatalf("%+v: nothing after %v", c, waited)
			}
		}
		waited := r.now - sec
		if clients[0].answer != "MOVE\r\n" || clients[0].reason != c.reason || waited < c.after || clients[2].over == c.stays || r.fault != "" {
			t.Errorf("%+v: after %v %q, the others leave %v; %s", c, waited, clients[0].reason, clients[2].over, r.fault)
		}
		if c.lines == 1 && !c.speaks && !c.failed {
			r.pass(2 * sec) // by then what was nearly late is forgotten
		}
		if back := r.open(0).answer != "BUSY\r\n"; back != c.comeBack {
			t.Errorf("%+v: a client comes back to the server %v", c, back)
		}
	}
}

// TestOwnPause: after a pause of the proxy itself its servers are not taken for still.
func TestOwnPause(t *testing.T) {
	r := newRig(1)
	r.now = sec
	c, d := r.opened()
	r.do(r.sweep)
	r.do(func() { c.ex.FromClient([]byte("M 1\r\n"), 1) })
	r.pass(2 * sec)
	r.do(r.sweep)
	if c.over || d.over {
		t.Fatalf("the session is left as %q", c.reason)
	}
	r.pass(100 * ms)
	r.do(r.sweep)
	if c.reason != "still" {
		t.Errorf("%q, though the server says nothing", c.reason)
	}
}

// TestBeat: numbers in a beat are delays, others loads, also where a delay comes first.
func TestBeat(t *testing.T) {
	d := NewDelays(33*ms, sec, true, true)
	var l levels
	for i, c := range []struct {
		at    time.Duration
		level float64
		want  bool
	}{
		{300 * ms, 1788, false}, {1980 * ms, 150, false}, {2980 * ms, 336, true}, {3500 * ms, 40000, false},
		{3985 * ms, 571, true}, {4980 * ms, 50000, false}, {5500 * ms, 700, false}, {8978 * ms, 20, true},
	} {
		is, _ := d.isDelay(c.at, 1, &l, c.level)
		if is != c.want {
			t.Errorf("number %d, %v at %v: a delay is %v", i, c.level, c.at, is)
		}
		if !is {
			l = levels{l.n + 1, c.at, c.level, l.load}
		}
	}
	for level, want := range map[float64]time.Duration{20: 0, 60: 60 * ms, 150: 98 * ms, 300: 0} {
		if wait, may := d.mayBe(&levels{n: 1}, level); may != (want > 0) || may && wait != want {
			t.Errorf("%v may be a delay is %v, %v", level, may, wait)
		}
	}
	if is, _ := NewDelays(33*ms, sec, false, true).isDelay(0, 1, &levels{}, 50); !is {
		t.Error("a number is a load where only delays are told")
	}
	if is, _ := d.isDelay(9*sec, 2, &levels{n: 2, at: 8 * sec, load: 30000}, 1100); is {
		t.Error("a load a second after another is a delay")
	}
}

// TestResume: a session that was open before goes back to its holder, again and again until it stands.
func TestResume(t *testing.T) {
	r := newRig(2)
	c := r.open(2)
	r.end(r.dials[0], choice.Unreachable)
	r.pass(60 * ms)
	if len(r.dials) != 2 || r.dials[1].at != 2 {
		t.Fatalf("%d dials", len(r.dials))
	}
	r.up(r.dials[1])
	if !c.up || c.seen != "UP 1\r\n" || r.Open() != 1 {
		t.Errorf("up is %v, seen is %q", c.up, c.seen)
	}
}

// TestDrainTold: a server's own MOVE tells the module, so that the client does not come back there.
func TestDrainTold(t *testing.T) {
	r := newRig(2)
	_, d := r.opened()
	r.do(func() { d.ex.ServerEnded(choice.Cancelled, socket.Finished, "sent-away") })
	for range 20 {
		if _, next := r.opened(); next.at == d.at || r.fault != "" {
			t.Fatalf("dialed to server %d, which drains; %s", next.at, r.fault)
		}
	}
}

// TestForget: what is known of a server that has left the list goes with it, unless sessions are there.
func TestForget(t *testing.T) {
	r := newRig(2)
	for _, at := range []choice.ServerID{7, 8} {
		r.heard[at], r.suspect[at], r.delays.servers[at], r.delays.beats[at] = sec, sec, noted{}, sec
	}
	r.held[8] = 1
	r.Forget(7)
	r.Forget(8)
	for at, want := range map[choice.ServerID]bool{7: false, 8: true} {
		_, heard := r.heard[at]
		_, suspect := r.suspect[at]
		_, of := r.delays.servers[at]
		_, beats := r.delays.beats[at]
		if heard != want || suspect != want || of != want || beats != want {
			t.Errorf("of server %d: %v %v %v %v, want %v", at, heard, suspect, of, beats, want)
		}
	}
}
