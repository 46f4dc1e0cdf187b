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

// Under random sequences of sessions and slowdowns, demand is the sum of the loads held, the backlog grows only when demand
// exceeds capacity, and delay and warmth stay within their bounds.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel(machine, 0, rapid.Bool().Draw(t, "warm"))
		now := time.Duration(0)
		var loads []Load
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l := Load{rapid.Float64Range(0, 0.5).Draw(t, "load"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "group")}
				m.AddHandshake()
				m.Add(l)
				loads = append(loads, l)
			case 1:
				if len(loads) > 0 {
					m.Remove(loads[0])
					loads = loads[1:]
				}
			case 2:
				m.SetSlowdown(rapid.Float64Range(1, 4).Draw(t, "slow"))
			}
			backlogBefore := m.backlog
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * ms
			m.Advance(now)
			wantDemand, groups := 0.0, map[string]bool{}
			for _, l := range loads {
				wantDemand += l.Cores
				if l.Group != "" {
					groups[l.Group] = true
				}
			}
			wantDemand += float64(len(groups)) * machine.GroupCost * machine.MeanLoad
			if math.Abs(wantDemand-m.Demand()) > 1e-9 || m.Sessions() != len(loads) {
				t.Fatalf("demand %v, want %v; %d sessions, want %d", m.Demand(), wantDemand, m.Sessions(), len(loads))
			}
			if m.Demand() < machine.Cores*machine.ColdFrom/4 && m.backlog > backlogBefore {
				t.Fatalf("backlog grew from %v to %v, though demand is below capacity", backlogBefore, m.backlog)
			}
			if m.Delay() < 0 || m.Delay() > maxDelay || m.Warmth() < machine.ColdFrom || m.Warmth() > 1 {
				t.Fatalf("delay %v or warmth %v out of bounds", m.Delay(), m.Warmth())
			}
		}
	})
}

// Only a cold node that is overloaded for the whole window fails.
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
			t.Errorf("%+v: failure reason %q", c, why)
		}
	}
}

// session is a connection to a node as a proxy has it.
type session struct {
	net.Conn
	lines *bufio.Reader
}

// expect checks that the next line begins with a text.
func (s session) expect(t *testing.T, want string) {
	t.Helper()
	s.SetReadDeadline(time.Now().Add(2 * time.Second))
	if got, err := s.lines.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
		t.Fatalf("received %q, %v, want %q", got, err, want)
	}
}

// expectSilence checks that no line arrives and that the connection stays open.
func (s session) expectSilence(t *testing.T) {
	t.Helper()
	s.SetReadDeadline(time.Now().Add(150 * ms))
	var timeout net.Error
	if got, err := s.lines.ReadString('\n'); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("received %q, %v, want silence", got, err)
	}
}

// Each fault has its effect both on an open connection and on a new one.
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
	openSession := func() session {
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
	s := openSession()

	n.Hang()
	fmt.Fprint(s, "M 2\r\n")
	s.expectSilence(t)
	if other, err := connect(); err != nil {
		t.Error("connection to a hung node: ", err)
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
		t.Errorf("line sent in a stall of 200 ms came back after %v", took)
	}

	n.HalfOpen(1)
	fmt.Fprint(s, "M 5\r\n")
	s.expectSilence(t)
	s = openSession() // other sessions still work

	if err := n.Vanish(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(s, "M 6\r\n")
	s.expectSilence(t)
	if _, err := connect(); err == nil {
		t.Error("connection to a vanished machine was established")
	}
	if err := n.Restore(); err != nil {
		t.Fatal(err)
	}
	s.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := s.lines.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("open connection after the machine came back: %v, want a reset", err)
	}
	s = openSession()

	n.Kill()
	s.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := s.lines.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("open connection to a killed node: %v, want a reset", err)
	}
	if _, err := connect(); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("new connection to a killed node: %v, want a refusal", err)
	}
	if err := n.Start(false); err != nil {
		t.Fatal(err)
	}
	s = openSession()

	go n.Drain(t.Context(), 100*ms, true)
	s.expect(t, "MOVE")
	late, err := connect()
	if err != nil {
		t.Fatal(err)
	}
	late.expect(t, "BUSY")
}

// A node is killed, or asked to resume a session that another connection is just opening, while first lines arrive on many
// connections. Run with -race, this guards against data races on a connection's fields. Without it, it checks that each
// connection ends with the node's process, and that the restarted node works as before.
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
					t.Fatalf("connection %d of round %d is still open after its node was killed", i, round)
				}
				if err != nil {
					break
				}
			}
		}
		if stats := n.Stats(); stats.Sessions != 0 || stats.Running {
			t.Fatalf("killed node has %d sessions, running %v", stats.Sessions, stats.Running)
		}
	}
}

// TestEndUnread: a proxy ends a dial and makes the next one before the first node, which is held up, has read the end. The
// judge must not report two open dials then, but must report them if the first dial was not ended.
func TestEndUnread(t *testing.T) {
	for _, ending := range []string{"reset", "fin", "not at all"} {
		t.Run(ending, func(t *testing.T) {
			began := time.Now()
			now := func() time.Duration { return time.Since(began) }
			j := judge.New(50*ms, 0, 0, false, []judge.Place{{}, {}})
			plans := func(judge.SessionID) Plan { return Plan{Load: Load{Cores: 0.01}} }
			release := make(chan bool)
			var nodes [2]*Node
			var blocksClock atomic.Bool
			for i := range nodes {
				clock := now
				if i == 0 {
					clock = func() time.Duration {
						if blocksClock.Load() {
							<-release
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
				close(release)
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
			blocksClock.Store(true)
			switch ending {
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
			if _, counted := j.Violations(); (counted[judge.DuplicateEffect] > 0) != (ending == "not at all") {
				t.Errorf("first dial ended by %s: violations %v", ending, counted)
			}
		})
	}
}
