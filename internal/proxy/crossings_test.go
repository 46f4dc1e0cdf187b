package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/discovery"
)

// TestLeftWhileConnecting: a client leaves while the connection to its server is being established, which then succeeds. No
// byte of the session may reach the server, and all descriptors must be freed.
func TestLeftWhileConnecting(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			r, s := startTestProxy(t), startTestServer(t, nil)
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			held := r.holdConnects(false, false)
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, openLine())
			<-held.connected
			leave(d)
			r.waitFor("the proxy has noticed that the client left", func() bool { return r.p.table.SessionCount() == 0 })
			held.handOver <- true
			s.expectNoBytes(r, 1)
			r.expectIdle()
		})
	}
}

// TestLeftWhileStill: while the event loop is stalled, the connection to the server is established and the client leaves, in
// both orders, so that the loop gets the connection before it reads the client's end. No byte may reach the server.
func TestLeftWhileStill(t *testing.T) {
	for name, leave := range waysToLeave {
		for _, leftFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(name, leftFirst), func(t *testing.T) {
				r, s := startTestProxy(t), startTestServer(t, nil)
				r.applyList(1, serverEntry("s-1", s.address, "ready"))
				held := r.holdConnects(false, false)
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, openLine())
				<-held.connected
				release := r.stallLoop()
				if leftFirst {
					leave(d)
				}
				held.handOver <- true
				r.waitUntilHandedOver()
				if !leftFirst {
					leave(d)
				}
				release()
				s.expectNoBytes(r, 1)
				r.expectIdle()
			})
		}
	}
}

// TestSpeaksOutOfTurn: a client sends a second line before its answer and leaves, while the event loop is stalled. No byte may
// reach the server, and the client gets ERR.
func TestSpeaksOutOfTurn(t *testing.T) {
	r, s := startTestProxy(t), startTestServer(t, nil)
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	held := r.holdConnects(false, false)
	d := connect(t, r.address)
	fmt.Fprint(d.Conn, openLine())
	<-held.connected
	release := r.stallLoop()
	fmt.Fprint(d.Conn, "M 1\r\n")
	waysToLeave["fin"](d)
	held.handOver <- true
	r.waitUntilHandedOver()
	release()
	s.expectNoBytes(r, 1)
	d.expectLine("ERR\r\n")
	d.expectEnd(io.EOF)
	d.Close()
	r.expectIdle()
}

// TestLeftWithLineUnsent: the send buffer to the server is full when the first line is to be sent; the client leaves, and then
// the server reads again. Nothing of the line may follow.
func TestLeftWithLineUnsent(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			l, r := listenWithSmallBuffer(t), startTestProxy(t, `"dialTimeout":800`, `"dialTimeout":4000`)
			r.applyList(1, serverEntry("s-1", l.Addr().String(), "ready"))
			held := r.holdConnects(true, false)
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, strings.Replace(openLine(), "d=800", "d=4000", 1)) // filling the send buffer takes long on a busy machine
			<-held.connected
			held.handOver <- true
			r.waitFor("the line waits for the send buffer", func() bool {
				return r.p.table.SessionCount() == 1 && r.p.connector.ConnectCount() == 0
			})
			leave(d)
			r.waitFor("the proxy has noticed that the client left", func() bool { return r.p.table.SessionCount() == 0 })
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			received, err := io.ReadAll(conn)
			if rest := strings.Trim(string(received), "x"); rest != "" {
				t.Errorf("%q arrives after the client left, %v", rest, err)
			}
			if name != "fin" {
				r.expectIdle()
			}
		})
	}
}

// TestLeftWithLineHeld: the line is in the kernel's send buffer and can't be sent, as to a server that is cut off. The client
// leaves at once, or after the dial was abandoned and another one is outstanding. When the server becomes reachable again,
// nothing of the line may arrive.
func TestLeftWithLineHeld(t *testing.T) {
	for name, leave := range waysToLeave {
		for _, givenUp := range []bool{false, true} {
			t.Run(fmt.Sprint(name, givenUp), func(t *testing.T) {
				l, r := listenWithSmallBuffer(t), startTestProxy(t)
				lineReceived := make(chan bool, 1)
				s := startTestServer(t, func(*net.TCPConn, int, string) { lineReceived <- true })
				answering := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
				r.applyList(1, serverEntry("s-0", answering.address, "ready"))
				r.warmUp("UP 1\r\n")
				r.applyList(2, serverEntry("s-1", l.Addr().String(), "ready"))
				held := r.holdConnects(true, true)
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, openLine())
				<-held.connected
				held.handOver <- true
				r.waitFor("the line is in the send buffer", func() bool {
					return r.p.table.SessionCount() == 1 && r.p.connector.ConnectCount() == 0
				})
				if givenUp {
					held = r.holdConnects(false, false)
					close(held.handOver)
					r.applyList(3, serverEntry("s-1", l.Addr().String(), "ready"), serverEntry("s-2", s.address, "ready"))
					<-lineReceived
				}
				leave(d)
				r.waitFor("the proxy has noticed that the client left", func() bool { return r.p.table.SessionCount() == 0 })
				conn, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				received, err := io.ReadAll(conn)
				if rest := strings.Trim(string(received), "x"); rest != "" {
					t.Errorf("%q arrives after the client left, %v", rest, err)
				}
			})
		}
	}
}

// TestLeftAsked: the client leaves while its first line is sent and the server has not answered. The server must see the end at
// once and nothing more, and the session must be gone from the table.
func TestLeftAsked(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			lineReceived := make(chan bool, 4)
			r, s := startTestProxy(t), startTestServer(t, func(*net.TCPConn, int, string) { lineReceived <- true })
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, openLine())
			<-lineReceived
			leave(d)
			r.waitFor("the server sees the end", func() bool { _, _, allEnded := s.summary(); return allEnded })
			if text, firstLines, _ := s.summary(); firstLines != 1 || strings.Count(text, "\n") != 1 {
				t.Errorf("the server receives %q, want one line", text)
			}
			if name == "fin" { // by the protocol page a half-closed client has left; it gets only the end
				d.expectEnd(io.EOF)
				d.Close()
			}
			r.expectIdle()
		})
	}
}

// TestLeftBeforeUp: while the event loop is stalled, the server answers UP and then the waiting client leaves, in some cases
// after sending a line; the loop reads the UP first. The server must see the end and nothing more of the client.
func TestLeftBeforeUp(t *testing.T) {
	for name, leave := range waysToLeave {
		for _, line := range []string{"", "M 1\r\n"} {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				lineReceived, answerNow, answered := make(chan bool, 1), make(chan bool), make(chan bool)
				r, s := startTestProxy(t, "read_like", "non_idempotent"), startTestServer(t, func(conn *net.TCPConn, _ int, _ string) {
					lineReceived <- true
					<-answerNow
					fmt.Fprint(conn, "UP 1\r\n")
					close(answered)
				})
				r.applyList(1, serverEntry("s-1", s.address, "ready"))
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, openLine())
				<-lineReceived
				release := r.stallLoop()
				close(answerNow)
				<-answered
				fmt.Fprint(d.Conn, line)
				leave(d)
				time.Sleep(350 * time.Millisecond) // more than leaveGrace
				release()
				r.waitFor("the server sees the end", func() bool { _, _, allEnded := s.summary(); return allEnded })
				if text, _, _ := s.summary(); strings.Count(text, "\n") != 1 {
					t.Errorf("the server receives %q, want one line", text)
				}
				d.Close()
				r.expectIdle()
			})
		}
	}
}

// TestLeftBeforeItsHolder: a session that returns to the server that holds it waits for another try, and its client leaves.
// When the server is back, nothing may be sent to it.
func TestLeftBeforeItsHolder(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			r, s := startTestProxy(t), startTestServer(t, nil)
			unreachable := freeAddress(t)
			r.applyList(1, serverEntry("s-1", unreachable, "ready"))
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, "OPEN aa 1 c=chat,d=800,at=s-1\r\n")
			r.waitFor("the session waits for another try", func() bool {
				return r.p.table.SessionCount() == 1 && r.p.connector.ConnectCount() == 0
			})
			leave(d)
			r.waitFor("the proxy has noticed that the client left", func() bool { return r.p.table.SessionCount() == 0 })
			r.applyList(2, serverEntry("s-1", s.address, "ready"))
			time.Sleep(2 * r.p.settings.connectTimeout) // a further try would have started by now
			s.expectNoBytes(r, 0)
			if name == "fin" {
				d.expectEnd(io.EOF)
				d.Close()
			}
			r.expectIdle()
		})
	}
}

// TestLeaveByTheHundred: a hundred clients send their first line and leave at once while the event loop is stalled. No byte may
// reach the server.
func TestLeaveByTheHundred(t *testing.T) {
	r := startTestProxy(t)
	s := startTestServer(t, nil)
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	release := r.stallLoop()
	for i := range 100 {
		d := connect(t, r.address)
		fmt.Fprint(d.Conn, openLine())
		waysToLeave[[]string{"fin", "close", "rst"}[i%3]](d)
		defer d.Close()
	}
	leftAt := time.Now()
	time.Sleep(3 * leaveGrace) // the event loop is stalled for longer than leaveGrace
	release()
	r.waitFor("no session or connect is left", func() bool { return r.p.table.SessionCount() == 0 && r.p.connector.ConnectCount() == 0 })
	s.expectNoBytes(r, 0)
	if took := time.Since(leftAt); took > 5*time.Second {
		t.Errorf("all is done %v after the clients left, want at most 5 s", took)
	}
}

// TestEnds: SIGTERM comes twice with a reload between, in both modes and with several dial timeouts. Clients that wait for a
// hanging server, that connect later or that are in the accept queue must get an answer, and the process must end before it
// would be killed.
func TestEnds(t *testing.T) {
	for _, mode := range []string{"proxy", "pass"} {
		for _, timeout := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(mode, timeout), func(t *testing.T) {
				t.Parallel()
				hangs := fmt.Sprintf(`"dialTimeout":%d`, timeout/time.Millisecond)
				r := startTestProxy(t, `"proxy"`, fmt.Sprintf("%q", mode), `"dialTimeout":800`, hangs)
				s := startTestServer(t, func(*net.TCPConn, int, string) {}) // the server never answers
				r.applyList(1, serverEntry("s-1", s.address, "ready"))
				ask := func() clientConn {
					d := connect(t, r.address)
					fmt.Fprint(d.Conn, strings.Replace(openLine(), "800", fmt.Sprint(int(timeout/time.Millisecond)), 1))
					return d
				}
				waiting := ask()
				r.waitFor("the client waits", func() bool { return r.p.table.SessionCount() == 1 })
				leaveCalledAt, endedAfter := time.Now(), make(chan time.Duration, 1)
				go func() {
					if err := <-r.ended; err != nil {
						t.Error(err)
					}
					endedAfter <- time.Since(leaveCalledAt)
				}()
				r.p.Leave()
				if err := r.p.Reload([]byte(r.configText)); err != nil {
					t.Error(err)
				}
				r.p.Leave()
				time.Sleep(time.Until(leaveCalledAt.Add(arrivalsAfterTerm - 20*time.Millisecond)))
				arriving := ask() // new connections still arrive for this long
				for _, d := range []clientConn{waiting, arriving} {
					if got, err := d.ReadString('\n'); got != "ERR\r\n" && !strings.HasPrefix(got, "BUSY") {
						t.Errorf("the client gets %q, %v", got, err)
					}
				}
				killAfter := min(timeout, maxDialTimeout) + killMargin
				if took := <-endedAfter; took < arrivalsAfterTerm || took > killAfter {
					t.Errorf("Run ends after %v, want between arrivalsAfterTerm and the kill after %v", took, killAfter)
				}
			})
		}
	}
}

// TestQueuedAtTheEnd: the event loop is stalled while the proxy's last check before its end becomes due, or also endBeforeKill.
// Clients that are in the accept queue by then, with their line in the buffer or none, must get an answer.
func TestQueuedAtTheEnd(t *testing.T) {
	for _, test := range []struct {
		mode         string
		stalledUntil time.Duration // after Leave
	}{{"proxy", 1100 * time.Millisecond}, {"pass", 1100 * time.Millisecond}, {"proxy", 1250 * time.Millisecond}, {"pass", 1250 * time.Millisecond}} {
		t.Run(fmt.Sprint(test.mode, test.stalledUntil), func(t *testing.T) {
			t.Parallel()
			r := startTestProxy(t, `"proxy"`, fmt.Sprintf("%q", test.mode))
			s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			leaveCalledAt := time.Now()
			r.p.Leave()
			time.Sleep(time.Until(leaveCalledAt.Add(300 * time.Millisecond)))
			release := r.stallLoop()
			var asks []clientConn
			for range 5 {
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, openLine())
				asks = append(asks, d)
			}
			silent := connect(t, r.address)
			time.Sleep(time.Until(leaveCalledAt.Add(test.stalledUntil))) // all steps of the shutdown are due
			release()
			for _, d := range asks {
				if got, err := d.ReadString('\n'); got != "UP 1\r\n" && !strings.HasPrefix(got, "BUSY") {
					t.Errorf("the client gets %q, %v", got, err)
				}
			}
			silent.expectLine("BUSY\r\n")
			silent.expectEnd(io.EOF)
			select {
			case err := <-r.ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(5 * time.Second):
				t.Error("Run does not end")
			}
		})
	}
}

// TestNoneLetIn checks that after stopAccepting a connection from the accept queue is served and no further one is accepted.
func TestNoneLetIn(t *testing.T) {
	r := startTestProxy(t)
	s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	release := r.stallLoop()
	accepted := connect(t, r.address)
	r.p.stopAccepting()
	if conn, err := net.DialTimeout("tcp", r.address, 200*time.Millisecond); err == nil {
		conn.Close()
		t.Error("the kernel accepts another connection")
	}
	release()
	accepted.sendAndExpect(openLine(), "UP 1\r\n")
}

// TestStoppedLoop checks that a connect in progress leaves no goroutine waiting for an event loop that does not run.
func TestStoppedLoop(t *testing.T) {
	r := startTestProxy(t)
	s := startTestServer(t, nil)
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	held := r.holdConnects(false, false)
	d := connect(t, r.address)
	fmt.Fprint(d.Conn, openLine())
	<-held.connected
	release := r.stallLoop()
	held.handOver <- true // it is handed over to a stalled event loop
	r.waitUntilHandedOver()
	stack := make([]byte, 1<<20)
	for range 1000 {
		if stack = stack[:cap(stack)]; !strings.Contains(string(stack[:runtime.Stack(stack, true)]), "(*Connector).connect") {
			release()
			d.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the connect waits for an event loop that does not run")
	release()
	d.Close()
}

// TestDrainsUnderWay: a server starts to drain, or is listed with another address or start, after it was chosen and before the
// first line is sent. It must get nothing, and the session, which no other server can take, is refused.
func TestDrainsUnderWay(t *testing.T) {
	answerUp := func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") }
	for name, test := range map[string]struct {
		nextEntry func(original, other *testServer) string
		want      string
	}{
		"drains":          {func(original, _ *testServer) string { return serverEntry("s-1", original.address, "draining") }, "BUSY"},
		"another address": {func(_, other *testServer) string { return serverEntry("s-1", other.address, "ready") }, "BUSY"},
		"a later start": {func(original, _ *testServer) string {
			return strings.Replace(serverEntry("s-1", original.address, "ready"), `"size"`, `"up_since_ms":1700000000000,"size"`, 1)
		}, "BUSY"},
	} {
		t.Run(name, func(t *testing.T) {
			r, original, other := startTestProxy(t), startTestServer(t, answerUp), startTestServer(t, answerUp)
			r.applyList(1, serverEntry("s-1", original.address, "ready"))
			held := r.holdConnects(false, false)
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, openLine())
			<-held.connected
			r.applyList(2, test.nextEntry(original, other))
			close(held.handOver)
			got, err := d.ReadString('\n')
			if !strings.HasPrefix(got, test.want) {
				t.Errorf("the client gets %q, %v", got, err)
			}
			original.expectNoBytes(r, 1)
			d.Close()
			r.expectIdle()
		})
	}
}

// idempotencyCases are the idempotency settings, and whether a session is dialed again after a dial that the server may have
// executed.
var idempotencyCases = map[string]struct {
	setting  string
	mayRetry bool
}{
	"repeatable": {`"effect":"read_like"`, true},
	"referenced": {`"effect":"idempotency_key","group":"all","repeatWindow":60000`, true},
	"late":       {`"effect":"idempotency_key","group":"all","repeatWindow":0`, false},
	"once-only":  {`"effect":"non_idempotent"`, false},
}

// TestBrokenOff has the first server answer, break off or misbehave in many ways. By the protocol page that decides, for each
// idempotency setting, whether the session is sent again; it never is while a dial is outstanding.
func TestBrokenOff(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		conn.SetLinger(0)
		conn.Close()
	}
	say := func(text string) func(conn *net.TCPConn) {
		return func(conn *net.TCPConn) { fmt.Fprint(conn, text) }
	}
	inOrder := func(a, b func(conn *net.TCPConn)) func(conn *net.TCPConn) {
		return func(conn *net.TCPConn) { a(conn); b(conn) }
	}
	for name, test := range map[string]struct {
		serverAction func(conn *net.TCPConn)
		outcome      string // whether the server executed the session: "never", "may", or the answer that the client gets at once
	}{
		"reset":             {reset, "may"},
		"end":               {func(conn *net.TCPConn) { conn.Close() }, "may"},
		"error":             {say("ERR\r\n"), "may"},
		"full":              {say("BUSY\r\n"), "never"},
		"full, then bytes":  {say("BUSY\r\nUP 1\r\nM 7\r\n"), "never"},
		"full, then reset":  {inOrder(say("BUSY\r\n"), reset), "never"},
		"served, then more": {say("BYE\r\nUP 2\r\nBYE\r\n"), "BYE\r\n"},
		"served, reset":     {inOrder(say("BYE\r\n"), reset), "BYE\r\n"},
		"without end":       {say(strings.Repeat("U", 8000)), "may"},
		"unknown":           {say("WHAT\r\n"), "may"},
		"nothing":           {func(*net.TCPConn) {}, "may"},
		"half an answer":    {inOrder(say("UP"), reset), "may"},
	} {
		for effect, e := range idempotencyCases {
			t.Run(name+", "+effect, func(t *testing.T) {
				t.Parallel()
				r := startTestProxy(t, `"effect":"read_like"`, e.setting)
				s := startTestServer(t, func(conn *net.TCPConn, nth int, _ string) {
					if nth == 1 {
						test.serverAction(conn)
					} else {
						fmt.Fprint(conn, "UP 2\r\n")
					}
				})
				r.applyList(1, serverEntry("s-1", s.address, "ready"), serverEntry("s-2", s.address, "ready"))
				d := connect(t, r.address)
				startedAt := time.Now()
				fmt.Fprint(d.Conn, openLine())
				got, err := d.ReadString('\n')
				_, firstLines, _ := s.summary()
				retried := test.outcome == "never" || test.outcome == "may" && e.mayRetry
				switch {
				case strings.HasPrefix(test.outcome, "B"):
					if got != test.outcome || firstLines != 1 {
						t.Errorf("the client gets %q, %v after %d dials", got, err, firstLines)
					}
				case retried && (firstLines > 2 || (firstLines == 2) != (got == "UP 2\r\n") || test.outcome == "never" && firstLines != 2),
					!retried && (firstLines != 1 || got != map[bool]string{true: "BUSY\r\n", false: "ERR\r\n"}[effect == "late"]):
					t.Errorf("the client gets %q, %v after %d dials", got, err, firstLines)
				}
				if took := time.Since(startedAt); took > 1300*time.Millisecond { // by the standing page a later answer counts as lost
					t.Errorf("the client is answered after %v, want at most 1.3 s", took)
				}
				d.Close()
				r.expectIdle()
			})
		}
	}
}

// TestBrokenUnwritten: a connection ends, or is abandoned, before the last byte of the first line is written. It counts as a
// failed connect, so that even a session that must not run twice is sent elsewhere; when the server reads again, it must not
// get the line.
func TestBrokenUnwritten(t *testing.T) {
	for effect, e := range idempotencyCases {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprint(effect, resets), func(t *testing.T) {
				t.Parallel()
				r := startTestProxy(t, `"effect":"read_like"`, e.setting, `"dialTimeout":800`, `"dialTimeout":1600`)
				l := listenWithSmallBuffer(t)
				s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 2\r\n") })
				r.applyList(1, serverEntry("s-1", l.Addr().String(), "ready"))
				held := r.holdConnects(true, false)
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, strings.Replace(openLine(), "800", "1600", 1))
				startedAt := time.Now()
				<-held.connected
				held.handOver <- true
				r.waitFor("the line waits for the send buffer", func() bool { return r.p.connector.ConnectCount() == 0 })
				held = r.holdConnects(false, false)
				close(held.handOver)
				r.applyList(2, serverEntry("s-1", l.Addr().String(), "ready"), serverEntry("s-2", s.address, "ready"))
				conn, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if resets {
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				}
				got, err := d.ReadString('\n')
				if took := time.Since(startedAt); took > 2100*time.Millisecond {
					t.Errorf("the client gets %q after %v, want at most 2.1 s", got, took)
				}
				if got != "UP 2\r\n" && (resets || !strings.HasPrefix(got, "BUSY")) { // its time may have run out
					t.Errorf("the client gets %q, %v", got, err)
				}
				if !resets {
					received, _ := io.ReadAll(conn)
					if rest := strings.Trim(string(received), "x"); rest != "" {
						t.Errorf("the server receives %q of the abandoned line", rest)
					}
				}
			})
		}
	}
}

// TestBothDue: the server's answer and the dial timeout become due while the event loop is stalled. The client must get one
// answer and nothing after it, and there must be one dial.
func TestBothDue(t *testing.T) {
	for _, answer := range []string{"UP 1\r\n", "ERR\r\n", "BUSY\r\n", "BYE\r\n"} {
		t.Run(answer[:2], func(t *testing.T) {
			t.Parallel()
			lineReceived, answerNow := make(chan bool, 8), make(chan bool)
			r := startTestProxy(t, `"mostDials":3`, `"mostDials":1`, "read_like", "non_idempotent")
			s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) {
				lineReceived <- true
				<-answerNow
				fmt.Fprint(conn, answer, "UP 9\r\n")
			})
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, openLine())
			<-lineReceived
			release := r.stallLoop()
			close(answerNow)
			time.Sleep(900 * time.Millisecond) // past the dial timeout
			release()
			got, err := d.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if rest, _ := d.ReadString('\n'); rest != "" && (got != "UP 1\r\n" || rest != "UP 9\r\n") {
				t.Errorf("the client gets %q after %q", rest, got)
			}
			if _, firstLines, _ := s.summary(); firstLines != 1 {
				t.Errorf("%d dials, want 1", firstLines)
			}
		})
	}
}

// TestAnswerAfterAll checks that an answer that comes after its dial was abandoned, and a line after it, reach no client.
func TestAnswerAfterAll(t *testing.T) {
	r := startTestProxy(t)
	first := make(chan *net.TCPConn, 1)
	s := startTestServer(t, func(conn *net.TCPConn, nth int, _ string) {
		if nth == 1 {
			first <- conn
			return
		}
		fmt.Fprint(conn, "UP 2\r\n")
	})
	r.applyList(1, serverEntry("s-1", s.address, "ready"), serverEntry("s-2", s.address, "ready"))
	s.numberFirstLinesFrom(2)
	r.warmUp("UP 2\r\n")
	s.numberFirstLinesFrom(1)
	d := connect(t, r.address)
	fmt.Fprint(d.Conn, openLine())
	abandoned := <-first
	d.expectLine("UP 2\r\n")
	fmt.Fprint(abandoned, "UP 1\r\nM 8\r\n")
	fmt.Fprint(d.Conn, "M 1\r\n")
	d.Conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if more, err := d.ReadString('\n'); !errors.Is(err, errTimeout(err)) {
		t.Errorf("the client gets %q, %v after its answer, want nothing", more, err)
	}
}

func errTimeout(err error) error {
	if n, isNetError := err.(net.Error); isNetError && n.Timeout() {
		return err
	}
	return io.ErrNoProgress
}

// TestIdleAndLine: a client's timeout for the first line expires and the line arrives while the event loop is stalled. The
// client must get an answer and no reset, also after many PINGs or half a line.
func TestIdleAndLine(t *testing.T) {
	for name, before := range map[string]string{"": "", "pings": strings.Repeat("PING\r\n", 40), "half": "OPEN 77"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startTestProxy(t)
			s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, before)
			for range strings.Count(before, "PING") {
				d.expectLine("PONG\r\n")
			}
			r.waitFor("the connection is accepted", func() bool { return r.p.clients.IdleCount() == 1 })
			release := r.stallLoop()
			time.Sleep(r.p.settings.helloTimeout + 100*time.Millisecond)
			fmt.Fprint(d.Conn, strings.TrimPrefix(openLine(), before))
			release()
			if got, err := d.ReadString('\n'); err != nil || got != "BUSY\r\n" && got != "UP 1\r\n" && name != "half" {
				t.Errorf("the client gets %q, %v", got, err)
			} else if got != "UP 1\r\n" {
				d.expectEnd(io.EOF)
			}
		})
	}
}

// TestPings checks that a connection may send any number of PINGs and then ask for a session.
func TestPings(t *testing.T) {
	r := startTestProxy(t)
	s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	d := connect(t, r.address)
	for range 60 {
		d.sendAndExpect("PING\r\n", "PONG\r\n")
	}
	d.sendAndExpect(openLine(), "UP 1\r\n")
}

// TestPushed checks that with pushed lists a proxy that starts answers PING only once it has a list from discovery.
func TestPushed(t *testing.T) {
	r := startTestProxy(t, `"discovery":"ask"`, `"discovery":"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`)
	d := connect(t, r.address)
	fmt.Fprint(d.Conn, "PING\r\n")
	d.Conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := d.ReadString('\n'); err == nil {
		t.Errorf("the client gets %q before any list", got)
	}
	d.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	r.applyList(1, serverEntry("s-1", "127.0.0.1:1", "draining"))
	d.expectLine("PONG\r\n")
	connect(t, r.address).sendAndExpect("PING\r\n", "PONG\r\n")
	if again := r.p.settings.list.MaxRetryBackoff; again != 150*time.Millisecond {
		t.Errorf("the retry backoff of a failed watch is %v, want 150ms", again)
	}
}

// TestPushedAndSilent checks with long dial timeouts that a discovery service that accepts the call and stays silent does not
// keep a starting proxy from answering PING, and is called again soon after StalenessLimit at the latest.
func TestPushedAndSilent(t *testing.T) {
	discoveryAddress, calls := startManualDiscovery(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress, `"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`,
		`"dialTimeout":800`, `"dialTimeout":20000`)
	firstCallAt := (<-calls).receivedAt
	d := connect(t, r.address)
	fmt.Fprint(d.Conn, "PING\r\n")
	d.expectLine("PONG\r\n")
	if took := time.Since(firstCallAt); took > discovery.StalenessLimit*3/4 {
		t.Errorf("PING is answered after %v", took)
	}
	if took := (<-calls).receivedAt.Sub(firstCallAt); took > discovery.StalenessLimit*5/4 {
		t.Errorf("the second call comes after %v", took)
	}
}

// TestCrowdedOut: an idle connection is closed for want of descriptors while its line is in the kernel's buffer. The client
// must get BUSY.
func TestCrowdedOut(t *testing.T) {
	r := startTestProxy(t)
	d := connect(t, r.address)
	r.waitFor("the connection is accepted", func() bool { return r.p.clients.IdleCount() == 1 })
	release := r.stallLoop()
	fmt.Fprint(d.Conn, openLine())
	done := make(chan bool)
	r.p.execute(func() {
		r.p.connectionLimit.Acquire(250)
		r.p.connectionLimit.AddSpare(func() {})
		r.p.connectionLimit.EvictSpare()
		r.p.connectionLimit.Release(250)
		close(done)
	})
	release()
	<-done
	d.expectLine("BUSY\r\n")
	d.expectEnd(io.EOF)
}

// TestServerEndsIdle: a server ends an open session while a line of the client is on its way. The client's connection must end
// within a second, and its line goes to no other server.
func TestServerEndsIdle(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){"fin": func(c *net.TCPConn) { c.CloseWrite() }, "rst": func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}} {
		r := startTestProxy(t)
		conns := make(chan *net.TCPConn, 1)
		s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) {
			fmt.Fprint(conn, "UP 1\r\n")
			conns <- conn
		})
		r.applyList(1, serverEntry("s-1", s.address, "ready"))
		d := connect(t, r.address)
		d.sendAndExpect(openLine(), "UP 1\r\n")
		conn := <-conns
		release := r.stallLoop()
		fmt.Fprint(d.Conn, "M 1\r\n")
		end(conn)
		ended := time.Now()
		release()
		if _, err := d.ReadString('\n'); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) || time.Since(ended) > time.Second {
			t.Errorf("%s: the client gets %v after %v", name, err, time.Since(ended))
		}
		d.Close()
		r.expectIdle()
	}
}

// TestCrossingLines: UP comes together with further lines; then a line of the client, and a line, BYE, MOVE or half a line of
// the server, arrive at the same time as the session is moved. The client must get whole lines in order and nothing after the
// final one.
func TestCrossingLines(t *testing.T) {
	r := startTestProxy(t)
	conns := make(chan *net.TCPConn, 1)
	s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) {
		fmt.Fprint(conn, "UP 1\r\nM 1\r\nM 2\r\n")
		conns <- conn
	})
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	for _, crossing := range []string{"M 4\r\n", "BYE\r\n", "MOVE\r\n", "M 5\r"} {
		d := connect(t, r.address)
		d.sendAndExpect(openLine(), "UP 1\r\n")
		d.expectLine("M 1\r\n")
		d.expectLine("M 2\r\n")
		conn := <-conns
		release := r.stallLoop()
		fmt.Fprint(conn, crossing)
		fmt.Fprint(d.Conn, "M 3\r\n")
		moveRequested := make(chan bool)
		r.p.execute(func() {
			r.p.table.MoveSome(1)
			close(moveRequested)
		})
		release()
		<-moveRequested
		received, err := io.ReadAll(d.Reader)
		want := []string{"MOVE\r\n", crossing, crossing + "MOVE\r\n"}
		if got := string(received); err != nil || got != want[0] && got != want[1] && got != want[2] || strings.HasSuffix(got, "\r") {
			t.Errorf("server line %q and MOVE: the client gets %q, %v", crossing, got, err)
		}
		d.Close()
		r.expectIdle()
	}
}

// TestRenamed: listeners are renamed, removed and put before others by reloads, while a non-idempotent session is dialed and
// another one waits for the server that holds it. Each must keep the settings that it arrived under, and none may be sent a
// second time.
func TestRenamed(t *testing.T) {
	lineReceived := make(chan *net.TCPConn, 8)
	r := startTestProxy(t, "read_like", "non_idempotent")
	s := startTestServer(t, func(conn *net.TCPConn, nth int, _ string) { lineReceived <- conn })
	holder := freeAddress(t)
	r.applyList(1, serverEntry("s-1", s.address, "ready"), serverEntry("s-2", s.address, "ready"), serverEntry("s-9", holder, "draining"))
	d := connect(t, r.address)
	fmt.Fprint(d.Conn, openLine())
	conn := <-lineReceived
	resumes := connect(t, r.address)
	fmt.Fprint(resumes.Conn, "OPEN bb 1 c=chat,d=800,at=s-9\r\n")
	r.waitFor("the second session waits for its server", func() bool { return r.p.table.SessionCount() == 2 })
	renamed := strings.NewReplacer(`"listeners":[{"name":"chat"`,
		`"listeners":[{"name":"other","dialTimeout":5000,"effect":"read_like","utility":9},{"name":"talk"`, "non_idempotent", "read_like")
	for _, next := range []string{renamed.Replace(r.configText), r.configText, renamed.Replace(r.configText)} {
		if err := r.p.Reload([]byte(next)); err != nil {
			t.Fatal(err)
		}
	}
	conn.SetLinger(0)
	conn.Close()
	d.expectLine("ERR\r\n")
	if _, firstLines, _ := s.summary(); firstLines != 1 {
		t.Errorf("%d dials of a non-idempotent session", firstLines)
	}
	resumes.expectLine("ERR\r\n") // after the dial timeout of its original listener
	d.Close()
	resumes.Close()
	r.expectIdle()
}

// TestReloadsAtOnce reloads from three goroutines at once, with configurations that allow and forbid overload reports in turn.
func TestReloadsAtOnce(t *testing.T) {
	r := startTestProxy(t)
	peerAddress := freeAddress(t)
	allowed := strings.NewReplacer(`"mostDials":3`, `"mostDials":3,"peers":true`,
		`"limits"`, `"peer_listen":"`+peerAddress+`","limits"`).Replace(r.configText)
	refused := r.configText
	for i := range 6 {
		next := []string{allowed, refused}[i%2]
		results := make(chan error, 3)
		for range 3 {
			go func() { results <- r.p.Reload([]byte(next)) }()
		}
		for range 3 {
			if err := <-results; err != nil {
				t.Errorf("reload %d: %v", i, err)
			}
		}
		var peersOpen bool
		r.onLoop(func() { peersOpen = r.p.peers != nil })
		if peersOpen != (i%2 == 0) {
			t.Errorf("after reload %d the proxy listens for overload reports: %v", i, peersOpen)
		}
	}
}

// TestNamedFields checks that an invalid field is refused with its name, at the start and by Reload, which changes nothing.
func TestNamedFields(t *testing.T) {
	r := startTestProxy(t)
	s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	for field, wrong := range map[string][2]string{
		"listeners[0].dialTimeout":     {`"dialTimeout":800`, `"dialTimeout":-800`},
		"listeners[0].handshakeTarget": {`"handshakeTarget":200`, `"handshakeTarget":1e300`},
		"ceilings.connectTimeout":      {`"connectTimeout":100`, `"connectTimeout":-1`},
		"invariants.mustAskIn":         {`"mustAskIn":4000`, `"mustAskIn":-4`},
		"invariants.cold":              {`"cold":20000`, `"cold":-2`},
		"domain.messageAim[0]":         {`"messageAim":[100]`, `"messageAim":[-1]`},
		"listeners.dialTimeout":        {`"dialTimeout":800`, `"dialTimeout":"800"`},
		"discovery":                    {`"discovery":"ask"`, `"discovery":"tell"`},
		"tenants":                      {`"areas"`, `"tenants":[{"name":"a"},{"name":"a"}],"areas"`},
		"areas":                        {`["a"]`, `["a","a"]`},
		"effect":                       {"read_like", "any"},
	} {
		text := strings.Replace(r.configText, wrong[0], wrong[1], 1)
		_, err := New([]byte(text), zerolog.Nop())
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("New with an invalid %s returns %v", field, err)
		}
		if again := r.p.Reload([]byte(text)); again == nil || err != nil && again.Error() != err.Error() {
			t.Errorf("Reload with an invalid %s returns %v", field, again)
		}
	}
	r.onLoop(func() {
		if string(r.p.configText) != r.configText {
			t.Error("an invalid configuration has changed something")
		}
	})
	connect(t, r.address).sendAndExpect(openLine(), "UP 1\r\n")
}

// TestToldBeforeReady: SIGTERM and SIGHUP come before the event loop runs, and discovery is down. The process must end by
// itself.
func TestToldBeforeReady(t *testing.T) {
	for _, mode := range []string{"proxy", "pass"} {
		text := strings.Replace(fmt.Sprintf(configuration, freeAddress(t), freeAddress(t), 256), `"proxy"`, fmt.Sprintf("%q", mode), 1)
		p, err := New([]byte(text), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		reloaded := make(chan error, 1)
		go p.Leave()
		go func() { reloaded <- p.Reload([]byte(text)) }()
		ended := make(chan error, 1)
		go func() { ended <- p.Run() }()
		for _, done := range []chan error{reloaded, ended} {
			select {
			case err := <-done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(3 * time.Second):
				t.Fatal("Reload or Run does not return within 3 s")
			}
		}
	}
}

// TestStale checks that a list older than the current one changes nothing, and that the proxy asks for another one.
func TestStale(t *testing.T) {
	r := startTestProxy(t)
	s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.applyList(5, serverEntry("s-1", s.address, "ready"))
	r.lists <- fmt.Sprintf(`{"revision":3,"complete":true,"members":[%s]}`, serverEntry("s-1", s.address, "draining"))
	r.waitFor("the old list is refused", func() bool { return r.p.failedWatches == 1 })
	connect(t, r.address).sendAndExpect(openLine(), "UP 1\r\n")
	r.applyList(6, serverEntry("s-1", s.address, "draining"))
	connect(t, r.address).sendAndExpect(openLine(), "BUSY\r\n")
}

// TestSlowReader: a client reads slowly, or not at all, while its server sends more than the socket buffers hold and then the
// final line. Within the proxy's buffer limit the client gets everything in order; beyond it the session ends and its
// descriptors are freed.
func TestSlowReader(t *testing.T) {
	for name, test := range map[string]struct {
		lines int
		whole bool
	}{"within bounds": {100, true}, "beyond": {400 << 10 / 100, false}} {
		t.Run(name, func(t *testing.T) {
			r := startTestProxy(t)
			text := strings.Repeat(strings.Repeat("x", 98)+"\r\n", test.lines)
			s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) {
				fmt.Fprint(conn, "UP 1\r\n")
				for range 60 {
					fmt.Fprint(conn, text)
				}
				fmt.Fprint(conn, "BYE\r\n")
				conn.CloseWrite()
			})
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			conn, err := (&net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			}}).Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprint(conn, openLine())
			if test.whole {
				received, err := io.ReadAll(conn)
				if want := "UP 1\r\n" + strings.Repeat(text, 60) + "BYE\r\n"; string(received) != want || err != nil {
					t.Errorf("the client gets %d bytes of %d, or others, %v", len(received), len(want), err)
				}
			}
			r.expectIdle()
		})
	}
}

// TestSilentWatch: a watch goes silent, and the call that replaces it meets a discovery service that stays silent, or one that
// answers after a queue. By the standing page a missed change counts as known 6 s after the silence began, whatever the
// poll interval; a call that waits in a queue must not be abandoned.
func TestSilentWatch(t *testing.T) {
	for _, mustAskIn := range []string{`"mustAskIn":4000`, `"mustAskIn":120000`} {
		for name, queueTime := range map[string]time.Duration{"says nothing": 0, "serves others first": 2 * time.Second} {
			t.Run(fmt.Sprint(mustAskIn, " ", name), func(t *testing.T) {
				t.Parallel()
				discoveryAddress, calls := startManualDiscovery(t)
				r := startTestProxyWithDiscovery(t, discoveryAddress, `"mustAskIn":4000`, mustAskIn)
				(<-calls).sendFirstList(listWithOneServer(1, "127.0.0.1:1", "ready"))
				r.waitFor("the list is taken", func() bool { return r.p.revision == 1 })
				silentSince := time.Now()
				replacement := <-calls
				if queueTime == 0 {
					replacement = <-calls // the call before stays open
				} else {
					time.Sleep(queueTime)
				}
				replacement.sendFirstList(listWithOneServer(2, "127.0.0.1:1", "draining"))
				r.waitFor("the drain is known", func() bool { return r.p.revision == 2 })
				if took := time.Since(silentSince); took > discovery.StalenessLimit {
					t.Errorf("the drain is known %v after the silence began", took)
				}
			})
		}
	}
}

// TestOverbooked checks that a call that discovery answers only after a queue, later than a watch may be silent or a dial may
// take, is not abandoned for another one, which would wait at the end of the queue.
func TestOverbooked(t *testing.T) {
	for name, test := range map[string]struct {
		queueTime time.Duration
		set       []string
	}{
		"asked":  {3500 * time.Millisecond, []string{`"mustAskIn":4000`, `"mustAskIn":10000`}},
		"pushed": {3500 * time.Millisecond, []string{`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`, `"dialTimeout":800`, `"dialTimeout":300`}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discoveryAddress, calls := startManualDiscovery(t)
			r := startTestProxyWithDiscovery(t, discoveryAddress, test.set...)
			firstCall := <-calls
			time.Sleep(test.queueTime)
			firstCall.sendFirstList(listWithOneServer(1, "127.0.0.1:1", "ready"))
			r.waitFor("the list is taken", func() bool { return r.p.revision == 1 })
			if n := len(calls); n > 0 {
				t.Errorf("%d further calls, want none", n)
			}
		})
	}
}

// TestWatchCut checks that a watch that was reset is replaced before a change that it misses counts as known, whatever the poll
// interval.
func TestWatchCut(t *testing.T) {
	for _, mustAskIn := range []string{`"mustAskIn":4000`, `"mustAskIn":120000`} {
		t.Run(mustAskIn, func(t *testing.T) {
			t.Parallel()
			discoveryAddress, calls := startManualDiscovery(t)
			r := startTestProxyWithDiscovery(t, discoveryAddress, `"mustAskIn":4000`, mustAskIn)
			firstCall := <-calls
			firstCall.sendFirstList(listWithOneServer(1, "127.0.0.1:1", "ready"))
			r.waitFor("the list is taken", func() bool { return r.p.revision == 1 })
			firstCall.Conn.(*net.TCPConn).SetLinger(0)
			firstCall.Close()
			cut := time.Now()
			if replacement := <-calls; replacement.receivedAt.Sub(cut) > discovery.StalenessLimit/2 {
				t.Errorf("the watch is replaced after %v", replacement.receivedAt.Sub(cut))
			}
		})
	}
}

// TestWindowPasses: the first dial of a session with an idempotency key may have been executed, and the connection of the next
// dial is established only after the dedup window, by itself or because the event loop was stalled. No line may be sent on
// it, and the client gets the answer of a session that may not be sent again.
func TestWindowPasses(t *testing.T) {
	const window = 400 * time.Millisecond
	for group, want := range map[string]string{"all": "BUSY", "zone": "ERR\r\n"} {
		for _, stallLoop := range []bool{false, true} {
			t.Run(fmt.Sprint(group, stallLoop), func(t *testing.T) {
				t.Parallel()
				r := startTestProxy(t, `"effect":"read_like"`,
					fmt.Sprintf(`"effect":"idempotency_key","group":%q,"repeatWindow":%d`, group, window.Milliseconds()),
					`"dialTimeout":800`, `"dialTimeout":1600`)
				s := startTestServer(t, func(conn *net.TCPConn, nth int, _ string) {
					fmt.Fprint(conn, map[bool]string{true: "ERR\r\n", false: "UP 2\r\n"}[nth == 1])
				})
				r.applyList(1, serverEntry("s-1", s.address, "ready"), serverEntry("s-2", s.address, "ready"))
				s.numberFirstLinesFrom(2)
				r.warmUp("UP 2\r\n")
				s.numberFirstLinesFrom(1)
				held := r.holdConnects(false, false)
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, strings.Replace(openLine(), "800", "1600", 1))
				<-held.connected
				first := time.Now()
				held.handOver <- true
				<-held.connected // the second dial
				release := func() {}
				if stallLoop {
					release = r.stallLoop()
					held.handOver <- true
					r.waitUntilHandedOver()
				}
				time.Sleep(time.Until(first.Add(window + 100*time.Millisecond)))
				release()
				if !stallLoop {
					held.handOver <- true
				}
				got, err := d.ReadString('\n')
				if _, firstLines, _ := s.summary(); firstLines != 1 || !strings.HasPrefix(got, want) {
					t.Errorf("servers receive %d first lines, the client gets %q, %v", firstLines, got, err)
				}
				d.Close()
				r.expectIdle()
			})
		}
	}
}

// TestStartsAtAll checks that a proxy starts with a tiny dial timeout: that timeout must not limit the start, on a machine
// where hundreds of proxies start together.
func TestStartsAtAll(t *testing.T) {
	r := startTestProxy(t, `"dialTimeout":800`, `"dialTimeout":0.001`) // a proxy that can't start fails the test here
	r.expectIdle()
}

// TestTellsItsWait checks that a first line informs the server how long the proxy will wait from then on, without the time that
// the connection took to be established.
func TestTellsItsWait(t *testing.T) {
	const connectDelay = 500 * time.Millisecond
	lines := make(chan string, 1)
	r := startTestProxy(t, "read_like", "non_idempotent")
	s := startTestServer(t, func(conn *net.TCPConn, _ int, first string) {
		lines <- first
		fmt.Fprint(conn, "UP 1\r\n")
	})
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	held := r.holdConnects(false, false)
	d := connect(t, r.address)
	fmt.Fprint(d.Conn, openLine())
	<-held.connected
	time.Sleep(connectDelay)
	held.handOver <- true
	d.expectLine("UP 1\r\n")
	_, wait, _ := strings.Cut(<-lines, "d=")
	wait, _, _ = strings.Cut(wait, ",")
	if ms, err := strconv.Atoi(wait); err != nil || time.Duration(ms)*time.Millisecond > 800*time.Millisecond-connectDelay {
		t.Errorf("the first line has d=%s, %v", wait, err)
	}
}

// TestUpAndLimit: the connection is established and the dial timeout expires while the event loop is stalled. No line may be
// sent, and a non-idempotent session is refused with BUSY, as it can't have been executed.
func TestUpAndLimit(t *testing.T) {
	for range 3 { // either event may be handled first
		r, s := startTestProxy(t, "read_like", "non_idempotent"), startTestServer(t, nil)
		r.applyList(1, serverEntry("s-1", s.address, "ready"))
		held := r.holdConnects(false, false)
		d := connect(t, r.address)
		fmt.Fprint(d.Conn, openLine())
		<-held.connected
		release := r.stallLoop()
		held.handOver <- true
		r.waitUntilHandedOver()
		time.Sleep(900 * time.Millisecond)
		release()
		d.expectLine("BUSY\r\n")
		s.expectNoBytes(r, 1)
		d.Close()
		r.expectIdle()
	}
}

// TestMovedAfterFailures: a reload changes discovery's address while another call to the old address is due after several
// failures. The call to the new address must not be abandoned while it waits for its answer, and when it fails the next one
// comes soon: a change counts as known 4 s after SIGHUP, and failures at the old address must not lengthen the pause.
func TestMovedAfterFailures(t *testing.T) {
	t.Parallel()
	discoveryAddress, calls := startManualDiscovery(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress, `"mustAskIn":4000`, `"mustAskIn":10000`)
	for range 3 {
		(<-calls).Close()
	}
	r.waitFor("the failures are known", func() bool { return r.p.failedWatches == 3 })
	newAddress, newCalls := startManualDiscovery(t)
	if err := r.p.Reload([]byte(strings.Replace(r.configText, discoveryAddress, newAddress, 1))); err != nil {
		t.Fatal(err)
	}
	firstCall := <-newCalls
	time.Sleep(4500 * time.Millisecond) // less than half of mustAskIn; in nearly all draws the retry at the old address is due by then
	if n := len(newCalls); n > 0 {
		t.Errorf("%d further calls while one waits for its answer", n)
	}
	firstCall.Close()
	failed := time.Now()
	if again := <-newCalls; again.receivedAt.Sub(failed) > 1300*time.Millisecond {
		t.Errorf("the next call comes %v after the first failure", again.receivedAt.Sub(failed))
	}
	if n := len(calls); n > 0 {
		t.Errorf("%d calls to the old address", n)
	}
}

// TestForeignZones checks that a session with an idempotency key of scope "zone" is not sent again in another zone, also where
// the settings do not name the zones.
func TestForeignZones(t *testing.T) {
	entryInZone := func(zone, id, address string) string {
		return strings.Replace(serverEntry(id, address, "ready"), `"locality":"a"`, fmt.Sprintf(`"locality":%q`, zone), 1)
	}
	for _, zones := range [][2]string{{"a", "b"}, {"b", "c"}, {"a", ""}} {
		t.Run(zones[0]+" "+zones[1], func(t *testing.T) {
			t.Parallel()
			r := startTestProxy(t, `"effect":"read_like"`, `"effect":"idempotency_key","group":"zone","repeatWindow":60000`)
			s := startTestServer(t, func(conn *net.TCPConn, nth int, _ string) {
				fmt.Fprint(conn, map[bool]string{true: "UP 2\r\n", false: "ERR\r\n"}[nth < 100])
			})
			r.applyList(1, entryInZone(zones[0], "s-1", s.address), entryInZone(zones[1], "s-2", s.address))
			r.warmUp("UP 2\r\n")
			for nth := range 8 {
				s.numberFirstLinesFrom(100)
				d := connect(t, r.address)
				d.sendAndExpect(openLine(), "ERR\r\n")
				if _, firstLines, _ := s.summary(); firstLines != 100 {
					t.Errorf("session %d is dialed %d times, in two zones", nth, firstLines-99)
				}
				d.Close()
			}
		})
	}
}

// TestNamesOfSettings checks that clients name listeners and tenants as in the settings, in any script, and that unknown names
// and invalid characters are refused.
func TestNamesOfSettings(t *testing.T) {
	r := startTestProxy(t, `"name":"chat"`, `"name":"чат-β"`, `"areas"`, `"tenants":[{"name":"Luleå"}],"areas"`)
	s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	for line, want := range map[string]string{
		"OPEN 1a 2 c=чат-β,t=Luleå,d=800,g=3":     "UP 1\r\n",
		"OPEN 1b 2 c=чат,t=Luleå,d=800,g=3":       "ERR\r\n",
		"OPEN 1c 2 c=чат-β,t=Lulea,d=800,g=3":     "ERR\r\n",
		"OPEN å 2 c=чат-β,t=Luleå,d=800,g=3":      "ERR\r\n",
		"OPEN 1e å c=чат-β,t=Luleå,d=800,g=3":     "ERR\r\n",
		"OPEN 1f 2 c=чат-β,t=Luleå,d=800,g=å":     "ERR\r\n",
		"OPEN 1g 2 c=чат-β\x01,t=Luleå,d=800":     "ERR\r\n",
		"OPEN 1h 2 c=чат-β,t=Lule\xe5,d=800":      "ERR\r\n",
		"OPEN 1i 2 c=чат-β,t=Luleå,d=800,å=1":     "ERR\r\n",
		"OPEN 1j 2 c=чат-β,t=Luleå,d=800,h=1\x7f": "ERR\r\n",
	} {
		connect(t, r.address).sendAndExpect(line+"\r\n", want)
	}
}
