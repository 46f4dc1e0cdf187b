package node

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkferry/internal/standin/judge"
)

const ms = time.Millisecond

var machine = Machine{Cores: 2, Speed: 1, HandshakeWork: 0.002, GroupCost: 2, MeanLoad: 0.1, ColdFrom: 0.2,
	ColdSpan: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second, MaxSessions: 100}

// Whatever comes and goes, what is asked is the sum of what is held, work piles up only beyond what can be done, and
// delays follow it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel(machine, 0, rapid.Bool().Draw(t, "warm"))
		now := time.Duration(0)
		var held []Load
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l := Load{rapid.Float64Range(0, 0.5).Draw(t, "load"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "group")}
				m.BeginHandshake()
				m.Add(l)
				held = append(held, l)
			case 1:
				if len(held) > 0 {
					m.Remove(held[0])
					held = held[1:]
				}
			case 2:
				m.SetSlowdown(rapid.Float64Range(1, 4).Draw(t, "slow"))
			}
			was := m.backlog
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * ms
			m.Advance(now)
			asked, groups := 0.0, map[string]bool{}
			for _, l := range held {
				asked += l.Cores
				if l.Group != "" {
					groups[l.Group] = true
				}
			}
			asked += float64(len(groups)) * machine.GroupCost * machine.MeanLoad
			if math.Abs(asked-m.Demand()) > 1e-9 || m.Sessions() != len(held) {
				t.Fatalf("asked %v for %v, held %d of %d", m.Demand(), asked, m.Sessions(), len(held))
			}
			if m.Demand() < machine.Cores*machine.ColdFrom/4 && m.backlog > was {
				t.Fatalf("work piles up from %v to %v", was, m.backlog)
			}
			if m.Delay() < 0 || m.Delay() > maxDelay || m.Warmth() < machine.ColdFrom || m.Warmth() > 1 {
				t.Fatalf("delay %v, warmth %v", m.Delay(), m.Warmth())
			}
		}
	})
}

// A cold node falls over when it is sent too much for the whole window, and only then.
func TestFallsOver(t *testing.T) {
	for _, c := range []struct {
		load float64
		d    time.Duration
		warm bool
		want bool
	}{{2, 1500 * ms, false, true}, {2, 800 * ms, false, false}, {1, 1500 * ms, false, false}, {2, 1500 * ms, true, false}} {
		m := NewModel(machine, 0, c.warm)
		m.Add(Load{Cores: c.load})
		m.Advance(c.d)
		m.Remove(Load{Cores: c.load})
		m.Advance(5 * time.Second)
		if why := m.FailureReason(); (why != "") != c.want {
			t.Errorf("%+v: %q", c, why)
		}
	}
}

type session struct {
	net.Conn
	lines *bufio.Reader
}

func (s session) expect(t *testing.T, want string) {
	t.Helper()
	s.SetReadDeadline(time.Now().Add(2 * time.Second))
	if got, err := s.lines.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
		t.Fatalf("%q, %v, want %q", got, err, want)
	}
}

// quiet checks that nothing comes, and that the connection stays.
func (s session) expectSilence(t *testing.T) {
	t.Helper()
	s.SetReadDeadline(time.Now().Add(150 * ms))
	var timeout net.Error
	if got, err := s.lines.ReadString('\n'); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("%q, %v, want silence", got, err)
	}
}

// What each fault does is seen by one that is connected, and by one that connects.
func TestFaults(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	j := judge.New(50*ms, 0, 0, false, []judge.Place{{}})
	n := New(0, "127.0.0.1:0", machine, Protocol{ReportsLoad: true}, 1, now, j,
		func(judge.SessionID) Plan { return Plan{Load: Load{Cores: 0.01}} }, func(*Node) {})
	if err := n.Start(true); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	ids := 0
	connect := func() (session, error) {
		c, err := net.DialTimeout("tcp", n.Address, 200*ms)
		if err != nil {
			return session{}, err
		}
		t.Cleanup(func() { c.Close() })
		ids++
		fmt.Fprintf(c, "OPEN %d 7 c=page,d=500\r\n", ids)
		return session{c, bufio.NewReader(c)}, nil
	}
	up := func() session {
		t.Helper()
		s, err := connect()
		if err != nil {
			t.Fatal(err)
		}
		s.expect(t, "UP ")
		s.expect(t, "LOAD ")
		fmt.Fprint(s, "M 1\r\n")
		s.expect(t, "M 1")
		return s
	}
	s := up()

	n.Hang()
	fmt.Fprint(s, "M 2\r\n")
	s.expectSilence(t)
	if other, err := connect(); err != nil {
		t.Error("one that hangs takes connections: ", err)
	} else {
		other.expectSilence(t)
	}
	n.Recover()
	fmt.Fprint(s, "M 3\r\n")
	s.expect(t, "M 3")

	before := time.Now()
	n.Stall(200 * ms)
	fmt.Fprint(s, "M 4\r\n")
	s.expect(t, "M 4")
	if took := time.Since(before); took < 190*ms {
		t.Errorf("a line in a stall of 200 ms took %v", took)
	}

	n.HalfOpen(1)
	fmt.Fprint(s, "M 5\r\n")
	s.expectSilence(t)
	s = up() // others are well

	if err := n.Vanish(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(s, "M 6\r\n")
	s.expectSilence(t)
	if _, err := connect(); err == nil {
		t.Error("a connection to a machine that vanished came up")
	}
	if err := n.Return(); err != nil {
		t.Fatal(err)
	}
	s.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := s.lines.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after its return: %v, want a reset", err)
	}
	s = up()

	n.Kill()
	s.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := s.lines.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("killed: %v, want a reset", err)
	}
	if _, err := connect(); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("killed: %v, want a refusal", err)
	}
	if err := n.Start(false); err != nil {
		t.Fatal(err)
	}
	s = up()

	go n.Drain(t.Context(), 100*ms, true)
	s.expect(t, "MOVE")
	late, err := connect()
	if err != nil {
		t.Fatal(err)
	}
	late.expect(t, "BUSY")
}

// A process that is killed, or asked for a session that another connection is just beginning, while first lines come
// on many connections. The race detector is the judge of what a connection says of itself; what is seen from outside
// is that each ends with its process, and that the next one takes sessions as if nothing had been.
func TestKilledUnderLines(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	j := judge.New(50*ms, 0, 0, false, []judge.Place{{}})
	n := New(0, "127.0.0.1:0", machine, Protocol{PassThrough: true}, 1, now, j,
		func(judge.SessionID) Plan {
			return Plan{Load: Load{Cores: 0.001}, Alive: func() bool { return false }}
		}, func(*Node) {})
	t.Cleanup(n.Close)
	for round := range 10 {
		if err := n.Start(true); err != nil {
			t.Fatal(err)
		}
		var all []session
		for range 32 {
			c, err := net.Dial("tcp", n.Address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			all = append(all, session{c, bufio.NewReader(c)})
		}
		for i, s := range all {
			flow := ""
			if i%4 == 3 {
				flow = ",mid=1"
			}
			fmt.Fprintf(s, "OPEN %d 7 c=page,d=500%s\r\n", 100*round+i/2, flow)
			if i == len(all)*3/4 {
				go n.Kill()
			}
		}
		for i, s := range all {
			s.SetReadDeadline(time.Now().Add(2 * time.Second))
			for {
				_, err := s.lines.ReadString('\n')
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatalf("connection %d of round %d outlived its process", i, round)
				}
				if err != nil {
					break
				}
			}
		}
		if f := n.Stats(); f.Sessions != 0 || f.Running {
			t.Fatalf("killed, it holds %d, up %v", f.Sessions, f.Running)
		}
	}
}

// TestEndUnread: a proxy ends a dial and makes the next one, while the first one's node, held up, has not read the end: no
// two dials were out. One that is not ended is found all the same.
func TestEndUnread(t *testing.T) {
	for _, how := range []string{"reset", "fin", "not at all"} {
		t.Run(how, func(t *testing.T) {
			began := time.Now()
			now := func() time.Duration { return time.Since(began) }
			j := judge.New(50*ms, 0, 0, false, []judge.Place{{}, {}})
			plans := func(judge.SessionID) Plan { return Plan{Load: Load{Cores: 0.01}} }
			held := make(chan bool)
			var nodes [2]*Node
			var holds atomic.Bool
			for i := range nodes {
				clock := now
				if i == 0 {
					clock = func() time.Duration {
						if holds.Load() {
							<-held
						}
						return now()
					}
				}
				nodes[i] = New(judge.NodeID(i), "127.0.0.1:0", machine, Protocol{}, 1, clock, j, plans, func(*Node) {})
				if err := nodes[i].Start(true); err != nil {
					t.Fatal(err)
				}
			}
			defer func() {
				close(held)
				nodes[0].Close()
				nodes[1].Close()
			}()
			j.Requested(now(), "9", 0, judge.Terms{DialTimeout: time.Second})
			dial := func(n *Node) (net.Conn, session) {
				c, err := net.Dial("tcp", n.Address)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprint(c, "OPEN 9 7 c=page,d=500\r\n")
				s := session{c, bufio.NewReader(c)}
				s.expect(t, "UP ")
				return c, s
			}
			first, _ := dial(nodes[0])
			holds.Store(true)
			switch how {
			case "reset":
				first.(*net.TCPConn).SetLinger(0)
				first.Close()
			case "fin":
				first.(*net.TCPConn).CloseWrite()
			}
			second, _ := dial(nodes[1])
			defer first.Close()
			defer second.Close()
			j.Check(now() + time.Second)
			if _, counted := j.Violations(); (counted[judge.DuplicateEffect] > 0) != (how == "not at all") {
				t.Errorf("broken: %v", counted)
			}
		})
	}
}
