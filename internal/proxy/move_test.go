package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/eventloop"
	"chalkferry/internal/servers"
)

// movingServer is a server that answers UP. The test has it write on the connection of each session.
type movingServer struct {
	*testServer
	conns chan *net.TCPConn // of the sessions, in the order in which they were opened
}

// startMovingServer starts a server and has the proxy list it.
func startMovingServer(r *testProxy) *movingServer {
	s := &movingServer{conns: make(chan *net.TCPConn, 64)}
	s.testServer = startTestServer(r.T, func(conn *net.TCPConn, _ int, _ string) {
		fmt.Fprint(conn, "UP 1\r\n")
		s.conns <- conn
	})
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	return s
}

// open opens a session and returns its client and its connection at the server.
func (s *movingServer) open(r *testProxy) (clientConn, *net.TCPConn) {
	r.Helper()
	client := connect(r.T, r.address)
	client.sendAndExpect(openLine(), "UP 1\r\n")
	return client, <-s.conns
}

// moveAfter stalls the event loop while write writes on the servers' connections, and then moves all open sessions before the loop
// has read any of it.
func (r *testProxy) moveAfter(write func()) {
	r.Helper()
	stalled, resume := make(chan bool), make(chan bool)
	r.p.execute(func() {
		stalled <- true
		<-resume
		r.p.table.MoveSome(r.p.table.OpenCount())
	})
	<-stalled
	write()
	close(resume)
}

// expectAll checks everything that comes until the connection ends gracefully.
func (d clientConn) expectAll(what, want string) {
	d.t.Helper()
	if got, err := io.ReadAll(d.Reader); string(got) != want || err != nil {
		d.t.Errorf("%s: the client gets %q, %v, want %q", what, got, err, want)
	}
}

// TestLinesUnreadAtMove guards against lines of a server that are lost because the proxy moves the session before it has read them.
func TestLinesUnreadAtMove(t *testing.T) {
	r := startTestProxy(t)
	s := startMovingServer(r)
	long := strings.Repeat(strings.Repeat("x", 98)+"\r\n", 1500) // more than one read takes
	for lines, want := range map[string]string{
		"":                       "MOVE\r\n",
		"M 1\r\nM 2\r\n":         "M 1\r\nM 2\r\nMOVE\r\n",
		"M 1\r\nLOAD 7\r\n":      "M 1\r\nLOAD 7\r\nMOVE\r\n",
		"M 1\r\nM 2\r":           "M 1\r\nMOVE\r\n",
		"M 1\r\nBYE\r\n":         "M 1\r\nBYE\r\n",
		"M 1\r\nMOVE\r\n":        "M 1\r\nMOVE\r\n",
		"M 1\r\nBYE\r\nM 2\r\n":  "M 1\r\nBYE\r\nM 2\r\nMOVE\r\n",
		"M 1\r\nBYE\r\nM 2\r":    "M 1\r\nBYE\r\n",
		long + "M 1\r\nBYE\r\n":  long + "M 1\r\nBYE\r\n",
		long + "M 1\r\nLOAD 1\r": long + "M 1\r\nMOVE\r\n",
	} {
		client, server := s.open(r)
		r.moveAfter(func() { fmt.Fprint(server, lines) })
		client.expectAll(fmt.Sprintf("%.40q", lines), want)
		client.Close()
		r.expectIdle()
	}
}

// TestServerEndsUnreadAtMove guards against lines that are lost where the server has ended its connection before the move.
func TestServerEndsUnreadAtMove(t *testing.T) {
	for _, lines := range []string{"M 1\r\nBYE\r\n", "M 1\r\nMOVE\r\n", "M 1\r\n"} {
		r := startTestProxy(t)
		client, server := startMovingServer(r).open(r)
		r.moveAfter(func() {
			fmt.Fprint(server, lines)
			server.CloseWrite()
		})
		client.expectAll("the end", lines)
		client.Close()
		r.expectIdle()
	}
}

// TestAnswersThatMoveSessions guards against lines that are lost because an answer or a LOAD line in the same round of the event
// loop has the proxy move sessions of their server.
func TestAnswersThatMoveSessions(t *testing.T) {
	const sessions, messageTime = 8, 300 * time.Millisecond // three times the message target
	for name, lines := range map[string]string{"answer": "M 1\r\n", "answer, LOAD": "M 1\r\nLOAD 400\r\n", "answer, BYE": "M 1\r\nBYE\r\n",
		"LOAD, answer, BYE": "LOAD 400\r\nM 1\r\nBYE\r\n"} {
		t.Run(name, func(t *testing.T) {
			r := startTestProxy(t)
			s := startMovingServer(r)
			var clients [sessions]clientConn
			var servers [sessions]*net.TCPConn
			for i := range clients {
				clients[i], servers[i] = s.open(r)
			}
			for _, client := range clients {
				fmt.Fprint(client.Conn, "M 1\r\n")
			}
			r.waitFor("the server has got all lines", func() bool {
				text, _, _ := s.summary()
				return strings.Count(text, "M 1\r\n") == sessions
			})
			release := r.stallLoop() // a sweep would move sessions before their answers come
			time.Sleep(messageTime)
			for _, server := range servers {
				fmt.Fprint(server, lines)
				if strings.HasSuffix(lines, "BYE\r\n") {
					server.CloseWrite()
				}
			}
			release()
			moved := 0
			for _, client := range clients {
				client.SetReadDeadline(time.Now().Add(300 * time.Millisecond)) // those that are not moved stay open
				got, _ := io.ReadAll(client.Reader)
				text, isMoved := strings.CutSuffix(string(got), "MOVE\r\n")
				if isMoved {
					moved++
				}
				if text != lines || isMoved && strings.HasSuffix(lines, "BYE\r\n") {
					t.Errorf("the server writes %q, the client gets %q", lines, got)
				}
			}
			if moved == 0 && !strings.HasSuffix(lines, "BYE\r\n") {
				t.Error("no session was moved")
			}
		})
	}
}

// TestLinesBeforeMalformed guards against whole lines that are lost because a malformed one behind them ends the session.
func TestLinesBeforeMalformed(t *testing.T) {
	malformed := strings.Repeat("x", 5<<10)
	t.Run("of the server", func(t *testing.T) {
		r := startTestProxy(t)
		s := startMovingServer(r)
		client, server := s.open(r)
		release := r.stallLoop()
		fmt.Fprint(server, "M 1\r\nM 2\r\n", malformed)
		release()
		client.expectLine("M 1\r\n")
		client.expectLine("M 2\r\n")
		r.expectIdle()
	})
	t.Run("behind BYE", func(t *testing.T) {
		r := startTestProxy(t)
		client, server := startMovingServer(r).open(r)
		release := r.stallLoop()
		fmt.Fprint(server, "M 1\r\nBYE\r\n", malformed)
		release()
		client.expectAll("malformed", "M 1\r\nBYE\r\n")
		client.Close()
		r.expectIdle()
	})
	t.Run("of the client", func(t *testing.T) {
		r := startTestProxy(t)
		s := startMovingServer(r)
		client, _ := s.open(r)
		release := r.stallLoop()
		fmt.Fprint(client.Conn, "M 1\r\nM 2\r\n", malformed)
		release()
		client.expectAll("malformed", "ERR\r\n")
		client.Close()
		r.expectIdle()
		if text, _, _ := s.summary(); !strings.HasSuffix(text, "\r\nM 1\r\nM 2\r\n") {
			t.Errorf("the server gets %q", text)
		}
	})
}

// connRecorder is a Loop that records the connections to servers.
type connRecorder struct {
	servers.Loop
	latest *eventloop.Conn // used on the event loop only
}

// Adopt implements servers.Loop.
func (c *connRecorder) Adopt(conn net.Conn, context any, done func()) error {
	return c.Loop.Adopt(conn, recordedOpener{context.(servers.Opener), c}, done)
}

// recordedOpener is an Opener whose connection is recorded.
type recordedOpener struct {
	servers.Opener
	recorder *connRecorder
}

// Open implements servers.Opener.
func (o recordedOpener) Open(conn *eventloop.Conn) {
	o.recorder.latest = conn
	o.Opener.Open(conn)
}

// TestLinesBeforeBreak guards against lines of a server that are lost because a write finds the network path to it broken before
// the proxy has read them.
func TestLinesBeforeBreak(t *testing.T) {
	for lines, want := range map[string]string{"M 1\r\n": "M 1\r\nMOVE\r\n", "M 1\r\nBYE\r\n": "M 1\r\nBYE\r\n", "M 1\r\nM 2\r": "M 1\r\nMOVE\r\n"} {
		r := startTestProxy(t)
		recorder := &connRecorder{Loop: r.p.connector.Loop}
		r.onLoop(func() { r.p.connector.Loop = recorder })
		client, server := startMovingServer(r).open(r)
		r.onLoop(func() {
			fmt.Fprint(server, lines)
			r.p.OnBroken(recorder.latest, unix.EHOSTUNREACH)
		})
		client.expectAll(fmt.Sprintf("%q", lines), want)
		client.Close()
		r.expectIdle()
	}
}

// TestLinesBeforeFailedWrite guards against lines that are lost because a write finds that their sender has ended the connection
// before the proxy has read them.
func TestLinesBeforeFailedWrite(t *testing.T) {
	const settle = 20 * time.Millisecond // until the event loop has handled what was written before
	t.Run("of the server", func(t *testing.T) {
		r := startTestProxy(t)
		listener := listenWithSmallBuffer(t)
		r.applyList(1, serverEntry("s-1", listener.Addr().String(), "ready"))
		client := connect(r.T, r.address)
		fmt.Fprint(client.Conn, openLine())
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		server.Read(make([]byte, 100))
		fmt.Fprint(server, "UP 1\r\n")
		client.expectLine("UP 1\r\n")
		fmt.Fprint(client.Conn, "M 1\r\n") // the server does not read it, so that its close is a reset
		time.Sleep(settle)
		release := r.stallLoop()
		fmt.Fprint(client.Conn, "M 2\r\n") // the first event that the loop handles
		time.Sleep(settle)
		fmt.Fprint(server, "M 1\r\nBYE\r\n")
		server.Close()
		time.Sleep(settle)
		release()
		client.expectLine("M 1\r\n")
		client.expectLine("BYE\r\n")
		r.expectIdle()
	})
	t.Run("of the client", func(t *testing.T) {
		r := startTestProxy(t)
		s := startMovingServer(r)
		client, server := s.open(r)
		fmt.Fprint(server, "M 1\r\n") // the client does not read it, so that its close is a reset
		time.Sleep(settle)
		release := r.stallLoop()
		fmt.Fprint(server, "M 2\r\n") // the first event that the loop handles
		time.Sleep(settle)
		fmt.Fprint(client.Conn, "M 7\r\nM 8\r\n")
		client.Close()
		time.Sleep(settle)
		release()
		r.expectIdle()
		if text, _, _ := s.summary(); !strings.HasSuffix(text, "\r\nM 7\r\nM 8\r\n") {
			t.Errorf("the server gets %q", text)
		}
	})
}
