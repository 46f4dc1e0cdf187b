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

// echo sends back what comes, in lines, and notes how connections end.
type echo struct {
	mu     sync.Mutex
	opened int
	ends   []error
}

func (e *echo) OnOpen(*Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opened++
}

func (e *echo) OnTraffic(c *Conn) {
	if at := strings.LastIndexByte(string(c.Pending()), '\n'); at >= 0 {
		c.Write(c.Pending()[:at+1])
		c.Discard(at + 1)
	}
}

func (e *echo) OnBroken(*Conn, error) {}

func (e *echo) OnClose(_ *Conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = append(e.ends, err)
}

// started is a loop that runs until the test's end.
func started(t *testing.T, handler Handler) (l *Loop, address string) {
	t.Helper()
	l, err := Open("127.0.0.1:0", handler, nil)
	if err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(l.ListenerFD())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	t.Cleanup(func() {
		l.Stop()
		if err := <-ended; err != nil {
			t.Errorf("Run returns %v", err)
		}
	})
	return l, (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}).String()
}

// TestLines: whatever the pieces that lines come in, all comes back, also of a reader that lets much wait; and the end of a
// connection is told once.
func TestLines(t *testing.T) {
	handler := &echo{}
	_, address := started(t, handler)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	const lines = 40000
	line := strings.Repeat("x", 100) + "\n"
	go func() { // not read meanwhile at first, so that the loop has to wait for room
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
			t.Fatalf("line %d: %d bytes, %v", i, len(got), err)
		}
	}
	conn.Close()
	for range 200 {
		handler.mu.Lock()
		ends := len(handler.ends)
		handler.mu.Unlock()
		if ends > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if len(handler.ends) != 1 || !errors.Is(handler.ends[0], io.EOF) || handler.opened != 1 {
		t.Errorf("%d opened, ends %v", handler.opened, handler.ends)
	}
}

// TestEndedLoopWritesNothing: tasks for a loop that has ended are dropped; the number of its eventfd may be another file's
// by then, and nothing is written there.
func TestEndedLoopWritesNothing(t *testing.T) {
	l, err := Open("127.0.0.1:0", &echo{}, nil)
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
	if int(file.Fd()) != l.waker { // the numbers that the loop has closed are given anew
		if err := unix.Dup3(int(file.Fd()), l.waker, unix.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
		defer unix.Close(l.waker)
	}
	l.Execute(func() { t.Error("a task runs") })
	l.wakeAgain()
	if info, err := file.Stat(); err != nil || info.Size() != 0 {
		t.Errorf("%d bytes written, %v", info.Size(), err)
	}
}

// TestAdopt: a connection that was established elsewhere is served like one that was accepted, and the caller's may be
// closed; a listener's queue is told.
func TestAdopt(t *testing.T) {
	l, _ := started(t, &echo{})
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.SetDeadline(time.Now().Add(10 * time.Second))
	done := make(chan struct{})
	if err := l.Adopt(conn, "context", func() { close(done) }); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	<-done
	io.WriteString(other, "a line\n")
	if got, err := bufio.NewReader(other).ReadString('\n'); got != "a line\n" {
		t.Errorf("%q, %v", got, err)
	}
	ends, _ := net.Pipe()
	if err := l.Adopt(ends, nil, nil); failure.Classify(failure.HandOver, err) != failure.Permanent {
		t.Errorf("a connection without a descriptor: %v", err)
	}
}
