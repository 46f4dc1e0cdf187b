package eventloop

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

// keepBrokenHandler is an echoHandler that keeps connections open after OnBroken, and counts its calls.
type keepBrokenHandler struct {
	echoHandler
	brokenCalls atomic.Int64
}

func (h *keepBrokenHandler) OnBroken(*Conn, error) { h.brokenCalls.Add(1) }

// TestFailedReadRests guards against a loop that spins on an error that no read clears, such as that of a pipe without a
// reader.
func TestFailedReadRests(t *testing.T) {
	const observed = 500 * time.Millisecond
	handler := &keepBrokenHandler{}
	l, address := startLoop(t, handler)
	pipe := make([]int, 2)
	if err := unix.Pipe2(pipe, unix.O_NONBLOCK|unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	unix.Close(pipe[0])
	l.Execute(func() { l.add(pipe[1], nil) })
	time.Sleep(observed)
	// one call for each longest back-off, and more at the start, where back-offs are shorter
	maxCalls := int64(observed/(10*time.Millisecond)) + 20
	if n := handler.brokenCalls.Load(); n == 0 || n > maxCalls {
		t.Errorf("OnBroken was called %d times in %v, want 1 to %d", n, observed, maxCalls)
	}
	checkEcho(t, address)
}

// TestStrayDescriptor guards against a loop that spins on a registered descriptor whose events have no handler.
func TestStrayDescriptor(t *testing.T) {
	failures := failure.NewLog(zerolog.Nop())
	l, err := Open("127.0.0.1:0", &echoHandler{}, failures)
	if err != nil {
		t.Fatal(err)
	}
	unknownFD, err := unix.Eventfd(1, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(unknownFD)
	if err := l.poller.AddRead(&netpoll.PollAttachment{FD: unknownFD}, false); err != nil {
		t.Fatal(err)
	}
	runResult := make(chan error, 1)
	go func() { runResult <- l.Run() }()
	time.Sleep(100 * time.Millisecond)
	if n := failures.Count(failure.Register, 0); n != 1 {
		t.Errorf("%d events of unknown descriptors recorded, want 1", n)
	}
	l.Stop()
	if err := <-runResult; err != nil {
		t.Error(err)
	}
}

// TestWakerNotDrained guards against a loop that spins on an eventfd whose reads do not drain it.
func TestWakerNotDrained(t *testing.T) {
	const (
		observed = 200 * time.Millisecond
		tasks    = 3
		maxReads = 3 * tasks // one for each task, and some at the start
	)
	l, err := Open("127.0.0.1:0", &echoHandler{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(l.wakeFD)
	// with EFD_SEMAPHORE a read takes 1 off the count instead of resetting it
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC|unix.EFD_SEMAPHORE); err != nil {
		t.Fatal(err)
	}
	undrained := [8]byte{4: 1} // 1 << 32
	unix.Write(l.wakeFD, undrained[:])
	if err := l.registerWakeFD(); err != nil {
		t.Fatal(err)
	}
	before := eventfdCount(t, l.wakeFD)
	runResult := make(chan error, 1)
	go func() { runResult <- l.Run() }()
	for range tasks {
		ran := make(chan struct{})
		l.Execute(func() { close(ran) })
		<-ran
	}
	time.Sleep(observed)
	if reads := before + tasks - eventfdCount(t, l.wakeFD); reads > maxReads {
		t.Errorf("%d reads of the eventfd, want at most %d", reads, maxReads)
	}
	l.Stop()
	if err := <-runResult; err != nil {
		t.Error(err)
	}
}

// eventfdCount returns the count of an eventfd, see proc_pid_fdinfo(5).
func eventfdCount(t *testing.T, fd int) (count int64) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/self/fdinfo/%d", fd))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if hex, isCount := strings.CutPrefix(line, "eventfd-count:"); isCount {
			if count, err = strconv.ParseInt(strings.TrimSpace(hex), 16, 64); err != nil {
				t.Fatal(err)
			}
		}
	}
	return count
}

// checkEcho checks that a new connection is served.
func checkEcho(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, "a line\n")
	if got, err := bufio.NewReader(conn).ReadString('\n'); got != "a line\n" {
		t.Errorf("echo is %q, error %v", got, err)
	}
}
