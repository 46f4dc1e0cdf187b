package eventloop

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

// echoHandler sends back all complete lines, and records how connections end.
type echoHandler struct {
	mu          sync.Mutex
	opened      int
	closeErrors []error
}

func (e *echoHandler) OnOpen(*Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opened++
}

func (e *echoHandler) OnTraffic(c *Conn) {
	if lineEnd := strings.LastIndexByte(string(c.Pending()), '\n'); lineEnd >= 0 {
		c.Write(c.Pending()[:lineEnd+1])
		c.Discard(lineEnd + 1)
	}
}

func (e *echoHandler) OnBroken(*Conn, error) {}

func (e *echoHandler) OnOverflow(c *Conn) { c.Close() }

func (e *echoHandler) OnClose(_ *Conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeErrors = append(e.closeErrors, err)
}

// startLoop returns a running loop and its listener's address. The loop is stopped at the end of the test.
func startLoop(t *testing.T, handler Handler) (l *Loop, address string) {
	t.Helper()
	l, err := Open("127.0.0.1:0", handler, nil)
	if err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(l.ListenerFD())
	if err != nil {
		t.Fatal(err)
	}
	runResult := make(chan error, 1)
	go func() { runResult <- l.Run() }()
	t.Cleanup(func() {
		l.Stop()
		if err := <-runResult; err != nil {
			t.Errorf("Run returned %v", err)
		}
	})
	return l, (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}).String()
}

// TestLines checks that lines are returned whole however they are split into packets, also while the client does not read and
// the loop has to buffer, and that OnClose is called once with io.EOF.
func TestLines(t *testing.T) {
	handler := &echoHandler{}
	_, address := startLoop(t, handler)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	const lines = 40000
	line := strings.Repeat("x", 100) + "\n"
	go func() { // nothing is read at first, so that the loop has to wait until the socket buffer has room
		text := strings.Repeat(line, lines)
		for len(text) > 0 {
			n := min(len(text), 77777)
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	time.Sleep(100 * time.Millisecond)
	reader := bufio.NewReader(conn)
	for i := range lines {
		if got, err := reader.ReadString('\n'); got != line {
			t.Fatalf("line %d: got %d bytes, error %v", i, len(got), err)
		}
	}
	conn.Close()
	for range 200 {
		handler.mu.Lock()
		closeCount := len(handler.closeErrors)
		handler.mu.Unlock()
		if closeCount > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if len(handler.closeErrors) != 1 || !errors.Is(handler.closeErrors[0], io.EOF) || handler.opened != 1 {
		t.Errorf("%d connections opened and OnClose called with %v, want 1 and one io.EOF", handler.opened, handler.closeErrors)
	}
}

// TestEndedLoopWritesNothing checks that a loop that has ended drops tasks without a write to its eventfd: another file may
// have the descriptor's number by then.
func TestEndedLoopWritesNothing(t *testing.T) {
	l, err := Open("127.0.0.1:0", &echoHandler{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	l.Stop()
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if int(file.Fd()) != l.wakeFD { // make the number refer to the file if the kernel has not reused it by itself
		if err := unix.Dup3(int(file.Fd()), l.wakeFD, unix.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
		defer unix.Close(l.wakeFD)
	}
	l.Execute(func() { t.Error("a task ran after the loop had ended") })
	l.retryWake()
	if info, err := file.Stat(); err != nil || info.Size() != 0 {
		t.Errorf("%d bytes written to the file that has the eventfd's old number, error %v", info.Size(), err)
	}
}

// TestAdopt checks that a connection that was established elsewhere is served like an accepted one, also after the caller has
// closed its own, and that one without a descriptor is refused.
func TestAdopt(t *testing.T) {
	l, _ := startLoop(t, &echoHandler{})
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	peer.SetDeadline(time.Now().Add(10 * time.Second))
	done := make(chan struct{})
	if err := l.Adopt(conn, "context", func() { close(done) }); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	<-done
	io.WriteString(peer, "a line\n")
	if got, err := bufio.NewReader(peer).ReadString('\n'); got != "a line\n" {
		t.Errorf("echo is %q, error %v", got, err)
	}
	pipe, _ := net.Pipe()
	if err := l.Adopt(pipe, nil, nil); failure.Classify(failure.HandOver, err) != failure.Permanent {
		t.Errorf("a connection without a descriptor: error %v, want a permanent one", err)
	}
}
