package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const configuration = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":64,"sockets":%d},
"settings":{"areas":["a"],"discovery":"ask","groupSize":1,
"ceilings":{"connectTimeout":100,"connIdle":10000,"mostDials":3},
"domain":{"mode":"proxy","groups":true,"messageAim":[100],"tellsDelay":true},
"invariants":{"mustAskIn":4000,"cold":20000,"coldFrom":0.2,"fallMultiple":3,"tipAfter":3000},
"listeners":[{"name":"chat","dialTimeout":800,"handshakeTarget":200,"effect":"read_like","utility":1}]}}`

// startEchoServer starts a server that passes the fields of each first line to onFirstLine, answers UP, echoes lines, and ends
// the connection on BYE (after answering it) or CUT (with a reset). It returns the server's address.
func startEchoServer(t *testing.T, onFirstLine ...func(fields []string)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					switch text := lines.Text(); {
					case strings.HasPrefix(text, "OPEN"):
						for _, inspect := range onFirstLine {
							inspect(strings.Fields(text))
						}
						fmt.Fprint(conn, "UP 1\r\n")
					case text == "BYE":
						fmt.Fprint(conn, "BYE\r\n")
						return
					case text == "CUT":
						conn.(*net.TCPConn).SetLinger(0)
						return
					default:
						fmt.Fprint(conn, text, "\r\n")
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// startDiscovery starts a discovery service that sends the lines of a channel on the current watch; an empty line ends the
// watch. It returns the service's address.
func startDiscovery(t *testing.T, lines <-chan string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case line := <-lines:
				if line == "" {
					return
				}
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// startManualDiscovery starts a discovery service whose calls the test answers itself.
func startManualDiscovery(t *testing.T) (address string, calls chan discoveryCall) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = make(chan discoveryCall, 64)
	var accepted []net.Conn // kept until the end of the test: an unreferenced connection is closed by its finalizer
	var mu sync.Mutex
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range accepted {
			conn.Close()
		}
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, conn)
			mu.Unlock()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					calls <- discoveryCall{conn, time.Now()}
				}
			}()
		}
	}()
	return l.Addr().String(), calls
}

// discoveryCall is one call to startManualDiscovery's service, and when its request was read.
type discoveryCall struct {
	net.Conn
	receivedAt time.Time
}

// sendFirstList answers the call with a watch that begins with a list.
func (c discoveryCall) sendFirstList(list string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
}

// freeAddress returns an address that nothing else takes before the proxy does. It is not on 127.0.0.1, where any outgoing
// connection may get the port.
func freeAddress(t *testing.T) string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+os.Getpid()>>16&63, os.Getpid()>>8&255, 1+os.Getpid()&127))
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		address := l.Addr().String()
		if _, taken := usedAddresses.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// usedAddresses has each address that freeAddress has returned. Proxies share ports: two parallel tests with the same address
// would both listen there and take each other's connections.
var usedAddresses sync.Map

// startProxy starts a proxy in mode "proxy" with a list that names one echo server.
func startProxy(t *testing.T, sockets int) (p *Proxy, address string, lists chan string) {
	p, address, lists, _ = startProxyInMode(t, "proxy", sockets)
	return
}

// startProxyInMode is startProxy with another mode; ended gets the result of Run.
func startProxyInMode(t *testing.T, mode string, sockets int, onFirstLine ...func([]string)) (p *Proxy, address string,
	lists chan string, ended chan error) {
	lists = make(chan string, 8)
	address = freeAddress(t)
	text := strings.Replace(fmt.Sprintf(configuration, address, startDiscovery(t, lists), sockets), `"proxy"`, fmt.Sprintf("%q", mode), 1)
	p, err := New([]byte(text), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- p.Run() }()
	select {
	case <-p.ready:
	case err := <-ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.stopLoop()
	})
	lists <- listWithOneServer(1, startEchoServer(t, onFirstLine...), "ready")
	for range 500 {
		ready := make(chan int, 1)
		p.execute(func() { ready <- int(p.revision) })
		if <-ready == 1 {
			return p, address, lists, ended
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the list is not applied")
	return
}

// listWithOneServer is a complete list with one server, s-1.
func listWithOneServer(revision int, address, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"s-1","host_port":%q,"locality":"a",`+
		`"phase":%q,"size":1}]}`, revision, address, phase)
}

// clientConn is a client's connection to the proxy.
type clientConn struct {
	net.Conn
	*bufio.Reader
	t *testing.T
}

// connect opens a client connection with a deadline of 10 s for all reads and writes.
func connect(t *testing.T, address string) clientConn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return clientConn{conn, bufio.NewReader(conn), t}
}

func (d clientConn) Read(p []byte) (int, error) { return d.Reader.Read(p) }

// sendAndExpect sends text and checks the next line that comes.
func (d clientConn) sendAndExpect(text, want string) {
	d.t.Helper()
	fmt.Fprint(d.Conn, text)
	d.expectLine(want)
}

// expectLine checks the next line that comes.
func (d clientConn) expectLine(want string) {
	d.t.Helper()
	if got, err := d.ReadString('\n'); got != want {
		d.t.Fatalf("got %q, %v, want %q", got, err, want)
	}
}

// expectEnd checks that the connection ends with this error and no further byte.
func (d clientConn) expectEnd(want error) {
	d.t.Helper()
	if n, err := d.Reader.Read(make([]byte, 1)); n > 0 || !errors.Is(err, want) {
		d.t.Fatalf("got %d bytes, %v, want none and %v", n, err, want)
	}
}

// sessionCount numbers the sessions of all tests, so that each has an ID of its own.
var sessionCount atomic.Int64

// openLine is the first line of a session with a new ID.
func openLine() string {
	return fmt.Sprintf("OPEN %x 2 c=chat,d=800,g=3\r\n", sessionCount.Add(1))
}

// onLoop runs a call on the proxy's event loop and waits for its end.
func (r *testProxy) onLoop(callback func()) {
	done := make(chan struct{})
	r.p.execute(func() {
		defer close(done)
		callback()
	})
	<-done
}

// testProxy is a proxy whose servers, list and connects are under the test's control.
type testProxy struct {
	*testing.T
	p               *Proxy
	address         string
	lists           chan string
	ended           chan error
	freeConnections int
	configText      string // of the configuration it started with
}

// startTestProxy starts a proxy from the usual configuration with some parts replaced (pairs of old and new text). Its list is
// empty.
func startTestProxy(t *testing.T, replace ...string) *testProxy {
	lists := make(chan string, 8)
	r := startTestProxyWithDiscovery(t, startDiscovery(t, lists), replace...)
	r.lists = lists
	return r
}

// startTestProxyWithDiscovery is the same with the address of another discovery service.
func startTestProxyWithDiscovery(t *testing.T, discovery string, replace ...string) *testProxy {
	r := &testProxy{T: t, address: freeAddress(t), ended: make(chan error, 1)}
	r.configText = strings.NewReplacer(replace...).Replace(fmt.Sprintf(configuration, r.address, discovery, 256))
	var err error
	if r.p, err = New([]byte(r.configText), zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	go func() { r.ended <- r.p.Run() }()
	select {
	case <-r.p.ready:
	case err := <-r.ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.p.stopLoop()
	})
	r.waitFor("all descriptors are free after the start", func() bool {
		r.freeConnections = r.p.connectionLimit.Free()
		return r.freeConnections == r.p.limits.Sockets-reservedSockets
	})
	return r
}

// waitFor waits up to 8 s for a condition, which it evaluates on the event loop.
func (r *testProxy) waitFor(what string, condition func() bool) {
	r.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var met bool
		if r.onLoop(func() { met = condition() }); met {
			return
		}
	}
	r.Fatalf("not within 8 s: %s", what)
}

// applyList sends a complete list and waits until the proxy has applied it.
func (r *testProxy) applyList(revision int, entries ...string) {
	r.Helper()
	r.lists <- fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(entries, ","))
	r.waitFor("the list is applied", func() bool { return int(r.p.revision) == revision })
}

// serverEntry is a server's entry in a list.
func serverEntry(id, address, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","phase":%q,"size":1}`, id, address, phase)
}

// expectIdle waits until no session and no connect is left and all descriptors are free.
func (r *testProxy) expectIdle() {
	r.Helper()
	r.waitFor("no session or connect is left and all descriptors are free", func() bool {
		return r.p.table.SessionCount() == 0 && r.p.connector.ConnectCount() == 0 && r.p.connectionLimit.Free() == r.freeConnections
	})
}

// warmUp opens and closes a dozen sessions, which get this answer. The balancer follows a failed dial by another one only where
// most dials succeed.
func (r *testProxy) warmUp(answer string) {
	r.Helper()
	for range 12 {
		d := connect(r.T, r.address)
		d.sendAndExpect(openLine(), answer)
		d.Close()
	}
	r.expectIdle()
}

// stallLoop blocks the event loop until release is called.
func (r *testProxy) stallLoop() (release func()) {
	stalled, resume := make(chan bool), make(chan bool)
	r.p.execute(func() {
		stalled <- true
		<-resume
	})
	<-stalled
	return func() { close(resume) }
}

// heldConnects controls connections that are established but not handed to the event loop yet: each is signaled on connected
// and handed over after a send on handOver (or its close).
type heldConnects struct {
	connected, handOver chan bool
}

// holdConnects holds all further connects. With fillSendBuffer the send buffer of each connection is filled, so that the kernel
// accepts no more bytes for it; with roomForLine it is enlarged afterwards, so that the kernel accepts a line but can't send
// it.
func (r *testProxy) holdConnects(fillSendBuffer, roomForLine bool) *heldConnects {
	held := &heldConnects{connected: make(chan bool, 64), handOver: make(chan bool)}
	r.onLoop(func() {
		r.p.connector.Dial = func(_ context.Context, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address) // without the context: it may be established at the very moment that it is abandoned
			if err == nil && fillSendBuffer {
				conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
				for size := 1 << 16; size > 0; { // until the kernel accepts not a single byte more
					conn.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
					if n, _ := conn.Write(bytes.Repeat([]byte{'x'}, size)); n < size {
						size /= 16
					}
				}
				err = conn.SetWriteDeadline(time.Time{})
				if roomForLine {
					conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
				}
			}
			held.connected <- true
			<-held.handOver
			return conn, err
		}
	})
	return held
}

// delayConnects delays each established connection by a random time below maxDelay, until restore is called.
func (r *testProxy) delayConnects(seed int64, maxDelay time.Duration) (restore func()) {
	random := rand.New(rand.NewSource(seed))
	var mu sync.Mutex
	var originalDial func(context.Context, string) (net.Conn, error)
	r.onLoop(func() {
		originalDial = r.p.connector.Dial
		r.p.connector.Dial = func(_ context.Context, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			mu.Lock()
			delay := time.Duration(random.Int63n(int64(maxDelay)))
			mu.Unlock()
			time.Sleep(delay)
			return conn, err
		}
	})
	return func() { r.onLoop(func() { r.p.connector.Dial = originalDial }) }
}

// testServer is a server that records all bytes it receives. The test decides what it does on a first line.
type testServer struct {
	address          string
	onFirstLine      func(conn *net.TCPConn, nth int, first string)
	onEnd            func(conn net.Conn) // if not nil, called at the end of each connection that sent a first line
	mu               sync.Mutex
	received         map[net.Conn]*bytes.Buffer
	firstLines       int
	endedConnections int
}

func startTestServer(t *testing.T, onFirstLine func(conn *net.TCPConn, nth int, first string)) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &testServer{address: l.Addr().String(), onFirstLine: onFirstLine, received: map[net.Conn]*bytes.Buffer{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.read(conn.(*net.TCPConn))
		}
	}()
	return s
}

func (s *testServer) read(conn *net.TCPConn) {
	defer conn.Close()
	received := &bytes.Buffer{}
	s.mu.Lock()
	s.received[conn] = received
	s.mu.Unlock()
	buf, hadFirstLine := make([]byte, 64<<10), false
	for {
		n, err := conn.Read(buf)
		s.mu.Lock()
		received.Write(buf[:n])
		first, nth := "", 0
		if i := bytes.IndexByte(received.Bytes(), '\n'); i >= 0 && !hadFirstLine {
			hadFirstLine = true
			s.firstLines++
			first, nth = received.String()[:i], s.firstLines
		}
		if err != nil {
			s.endedConnections++
		}
		s.mu.Unlock()
		if nth > 0 && s.onFirstLine != nil {
			s.onFirstLine(conn, nth, first)
		}
		if err != nil {
			if hadFirstLine && s.onEnd != nil {
				s.onEnd(conn)
			}
			return
		}
	}
}

// numberFirstLinesFrom sets the number of the next first line.
func (s *testServer) numberFirstLinesFrom(nth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstLines = nth - 1
}

// summary returns what the server has received without the bytes that filled the send buffer, the number of first lines, and
// whether all connections have ended.
func (s *testServer) summary() (text string, firstLines int, allEnded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, received := range s.received {
		text += strings.Trim(received.String(), "x")
	}
	return text, s.firstLines, s.endedConnections == len(s.received)
}

// expectNoBytes waits until at least that many connections have come and all have ended, and checks that nothing was received.
func (s *testServer) expectNoBytes(r *testProxy, connections int) {
	r.Helper()
	r.waitFor("the server's connections end", func() bool {
		_, _, allEnded := s.summary()
		s.mu.Lock()
		defer s.mu.Unlock()
		return allEnded && len(s.received) >= connections
	})
	if text, _, _ := s.summary(); text != "" {
		r.Errorf("the server receives %q of a client that has left", text)
	}
}

// listenWithSmallBuffer opens a listener that the test accepts from, with a small receive buffer.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// waysToLeave are the ways in which a client ends its connection.
var waysToLeave = map[string]func(d clientConn){
	"fin":   func(d clientConn) { d.Conn.(*net.TCPConn).CloseWrite() },
	"close": func(d clientConn) { d.Conn.Close() },
	"rst": func(d clientConn) {
		d.Conn.(*net.TCPConn).SetLinger(0)
		d.Conn.Close()
	},
}

// waitUntilHandedOver waits until a connect in progress has queued its connection for the stalled event loop.
func (r *testProxy) waitUntilHandedOver() {
	r.Helper()
	stack := make([]byte, 1<<20)
	for range 2000 {
		text := string(stack[:runtime.Stack(stack, true)])
		if !strings.Contains(text, "(*Connector).establish") {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.Fatal("the connection is not handed over")
}
