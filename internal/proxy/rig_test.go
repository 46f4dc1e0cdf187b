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

// serve is a server of the test's own: it shows first lines, greets, echoes lines, and ends as a line asks it to.
func serve(t *testing.T, first ...func(words []string)) string {
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
						for _, see := range first {
							see(strings.Fields(text))
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

// list is a discovery of the test's own, with one watch after another.
func list(t *testing.T, lines <-chan string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// desk is a discovery whose calls the test answers itself, as it likes.
func desk(t *testing.T) (at string, calls chan call) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = make(chan call, 64)
	var taken []net.Conn // kept until the test's end: one that nothing holds is closed when its memory is collected
	var mu sync.Mutex
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range taken {
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
			taken = append(taken, conn)
			mu.Unlock()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					calls <- call{conn, time.Now()}
				}
			}()
		}
	}()
	return l.Addr().String(), calls
}

// call is one of them.
type call struct {
	net.Conn
	at time.Time
}

// opens begins a watch with a first list.
func (c call) opens(list string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
}

// free is an address that nothing else takes before the proxy does: on 127.0.0.1 any connection out may get the port.
func free(t *testing.T) string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+os.Getpid()>>16&63, os.Getpid()>>8&255, 1+os.Getpid()&127))
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		address := l.Addr().String()
		if _, taken := handedOut.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// handedOut has each address that free has returned: proxies share ports, so that two of tests beside one another would
// both listen at one that is returned twice, and take each other's connections.
var handedOut sync.Map

// run starts a proxy with a list that names one server.
func run(t *testing.T, sockets int) (p *Proxy, at string, lists chan string) {
	p, at, lists, _ = runAs(t, "proxy", sockets)
	return
}

func runAs(t *testing.T, mode string, sockets int, first ...func([]string)) (p *Proxy, at string, lists chan string, ended chan error) {
	lists = make(chan string, 8)
	at = free(t)
	text := strings.Replace(fmt.Sprintf(configuration, at, list(t, lists), sockets), `"proxy"`, fmt.Sprintf("%q", mode), 1)
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
	lists <- entry(1, serve(t, first...), "ready")
	for range 500 {
		ready := make(chan int, 1)
		p.execute(func() { ready <- int(p.revision) })
		if <-ready == 1 {
			return p, at, lists, ended
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the list is not taken")
	return
}

func entry(revision int, at, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"s-1","host_port":%q,"locality":"a",`+
		`"phase":%q,"size":1}]}`, revision, at, phase)
}

// dialog is a client's connection.
type dialog struct {
	net.Conn
	*bufio.Reader
	t *testing.T
}

func connect(t *testing.T, at string) dialog {
	conn, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return dialog{conn, bufio.NewReader(conn), t}
}

func (d dialog) Read(p []byte) (int, error) { return d.Reader.Read(p) }

func (d dialog) say(text, want string) {
	d.t.Helper()
	fmt.Fprint(d.Conn, text)
	d.hear(want)
}

func (d dialog) hear(want string) {
	d.t.Helper()
	if got, err := d.ReadString('\n'); got != want {
		d.t.Fatalf("%q, %v, want %q", got, err, want)
	}
}

// ends checks that nothing more comes but the end.
func (d dialog) ends(want error) {
	d.t.Helper()
	if n, err := d.Reader.Read(make([]byte, 1)); n > 0 || !errors.Is(err, want) {
		d.t.Fatalf("%d bytes, %v, want %v", n, err, want)
	}
}

var sessions atomic.Int64

// opening asks for a session with a new id.
func opening() string {
	return fmt.Sprintf("OPEN %x 2 c=chat,d=800,g=3\r\n", sessions.Add(1))
}

// on calls on the proxy's loop and returns once that is through.
func (r *rig) on(call func()) {
	done := make(chan struct{})
	r.p.execute(func() {
		defer close(done)
		call()
	})
	<-done
}

// rig is a proxy with servers, a list and the way to them under the test's control.
type rig struct {
	*testing.T
	p               *Proxy
	at              string
	lists           chan string
	ended           chan error
	freeConnections int
	text            string // of its configuration
}

// rigged starts a proxy by the usual configuration with some parts replaced; the list names nothing yet.
func rigged(t *testing.T, replace ...string) *rig {
	lists := make(chan string, 8)
	r := riggedAt(t, list(t, lists), replace...)
	r.lists = lists
	return r
}

// riggedAt is the same with a discovery of its own.
func riggedAt(t *testing.T, discovery string, replace ...string) *rig {
	r := &rig{T: t, at: free(t), ended: make(chan error, 1)}
	r.text = strings.NewReplacer(replace...).Replace(fmt.Sprintf(configuration, r.at, discovery, 256))
	var err error
	if r.p, err = New([]byte(r.text), zerolog.Nop()); err != nil {
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
	r.until("the proxy's own first connection has ended", func() bool {
		r.freeConnections = r.p.connectionLimit.Free()
		return r.freeConnections == r.p.limits.Sockets-keptSockets
	})
	return r
}

// until waits for what the loop is to come to.
func (r *rig) until(what string, is func() bool) {
	r.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var got bool
		if r.on(func() { got = is() }); got {
			return
		}
	}
	r.Fatalf("in vain: %s", what)
}

// listed tells servers and waits until the proxy has them.
func (r *rig) listed(revision int, entries ...string) {
	r.Helper()
	r.lists <- fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(entries, ","))
	r.until("the list is taken", func() bool { return int(r.p.revision) == revision })
}

func member(id, at, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","phase":%q,"size":1}`, id, at, phase)
}

// over checks that no session is left, that nothing is under way and that each descriptor has been given back.
func (r *rig) over() {
	r.Helper()
	r.until("sessions, connects and descriptors are given back", func() bool {
		return r.p.table.Len() == 0 && r.p.connector.Out() == 0 && r.p.connectionLimit.Free() == r.freeConnections
	})
}

// served has a dozen sessions come and go: where most dials come to something, one that does not is followed by another.
func (r *rig) served(up string) {
	r.Helper()
	for range 12 {
		d := connect(r.T, r.at)
		d.say(opening(), up)
		d.Close()
	}
	r.over()
}

// stall has the loop stand still until it is released.
func (r *rig) stall() (release func()) {
	stands, goes := make(chan bool), make(chan bool)
	r.p.execute(func() {
		stands <- true
		<-goes
	})
	<-stands
	return func() { close(goes) }
}

// way holds connects after they stand and before the loop has them.
type way struct {
	reached, open chan bool
}

// way holds them; filled so that this machine takes nothing more for them, or, deep, takes it and can't send it.
func (r *rig) way(filled, deep bool) *way {
	w := &way{reached: make(chan bool, 64), open: make(chan bool)}
	r.on(func() {
		r.p.connector.Dial = func(_ context.Context, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address) // it may stand at the very moment that it is given up
			if err == nil && filled {
				conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
				for size := 1 << 16; size > 0; { // until this machine takes nothing more, not a byte
					conn.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
					if n, _ := conn.Write(bytes.Repeat([]byte{'x'}, size)); n < size {
						size /= 16
					}
				}
				err = conn.SetWriteDeadline(time.Time{})
				if deep {
					conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
				}
			}
			w.reached <- true
			<-w.open
			return conn, err
		}
	})
	return w
}

// slowConnects has connections stand up to so late, until it is taken back.
func (r *rig) slowConnects(seed int64, most time.Duration) (takeBack func()) {
	chance := rand.New(rand.NewSource(seed))
	var mu sync.Mutex
	var usual func(context.Context, string) (net.Conn, error)
	r.on(func() {
		usual = r.p.connector.Dial
		r.p.connector.Dial = func(_ context.Context, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			mu.Lock()
			late := time.Duration(chance.Int63n(int64(most)))
			mu.Unlock()
			time.Sleep(late)
			return conn, err
		}
	})
	return func() { r.on(func() { r.p.connector.Dial = usual }) }
}

// post is a server that keeps all bytes that reach it, and lets the test say what it does on a first line.
type post struct {
	at     string
	does   func(conn *net.TCPConn, nth int, first string)
	gone   func(conn net.Conn) // nil, or called at the end of each connection that asked
	mu     sync.Mutex
	seen   map[net.Conn]*bytes.Buffer
	firsts int
	ends   int
}

func posted(t *testing.T, does func(conn *net.TCPConn, nth int, first string)) *post {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &post{at: l.Addr().String(), does: does, seen: map[net.Conn]*bytes.Buffer{}}
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

func (s *post) read(conn *net.TCPConn) {
	defer conn.Close()
	kept := &bytes.Buffer{}
	s.mu.Lock()
	s.seen[conn] = kept
	s.mu.Unlock()
	buf, asked := make([]byte, 64<<10), false
	for {
		n, err := conn.Read(buf)
		s.mu.Lock()
		kept.Write(buf[:n])
		first, nth := "", 0
		if i := bytes.IndexByte(kept.Bytes(), '\n'); i >= 0 && !asked {
			asked = true
			s.firsts++
			first, nth = kept.String()[:i], s.firsts
		}
		if err != nil {
			s.ends++
		}
		s.mu.Unlock()
		if nth > 0 && s.does != nil {
			s.does(conn, nth, first)
		}
		if err != nil {
			if asked && s.gone != nil {
				s.gone(conn)
			}
			return
		}
	}
}

// from numbers the first lines to come.
func (s *post) from(nth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firsts = nth - 1
}

// got is what has reached the server but for the filling, how many first lines, and whether all connections ended.
func (s *post) got() (text string, firsts int, allEnded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kept := range s.seen {
		text += strings.Trim(kept.String(), "x")
	}
	return text, s.firsts, s.ends == len(s.seen)
}

// nothing waits until each connection has ended, when no byte can come any more, and checks that none has come.
func (s *post) nothing(r *rig, connections int) {
	r.Helper()
	r.until("the server's connections end", func() bool {
		_, _, all := s.got()
		s.mu.Lock()
		defer s.mu.Unlock()
		return all && len(s.seen) >= connections
	})
	if text, _, _ := s.got(); text != "" {
		r.Errorf("of a client that has left reaches the server: %q", text)
	}
}

// narrow is a server's listener that accepts when the test does, and takes little before anyone reads.
func narrow(t *testing.T) net.Listener {
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

// leaves are the ways in which a client goes.
var leaves = map[string]func(d dialog){
	"fin":   func(d dialog) { d.Conn.(*net.TCPConn).CloseWrite() },
	"close": func(d dialog) { d.Conn.Close() },
	"rst": func(d dialog) {
		d.Conn.(*net.TCPConn).SetLinger(0)
		d.Conn.Close()
	},
}

// handedOver waits until a connect that was begun has handed its connection over to the loop, which stands still.
func (r *rig) handedOver() {
	r.Helper()
	stack := make([]byte, 1<<20)
	for range 2000 {
		text := string(stack[:runtime.Stack(stack, true)])
		if !strings.Contains(text, "(*Connector).establish") {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.Fatal("no connection is handed over")
}
