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

// patient is an echo that keeps connections that are broken.
type patient struct {
	echo
	broken atomic.Int64
}

func (p *patient) OnBroken(*Conn, error) { p.broken.Add(1) }

// TestFailedReadRests guards against a loop that spins on an error which no read takes away, such as that of a pipe without a reader.
func TestFailedReadRests(t *testing.T) {
	const watched = 500 * time.Millisecond
	handler := &patient{}
	l, address := started(t, handler)
	ends := make([]int, 2)
	if err := unix.Pipe2(ends, unix.O_NONBLOCK|unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	unix.Close(ends[0])
	l.Execute(func() { l.add(ends[1], nil) })
	time.Sleep(watched)
	most := int64(watched/(10*time.Millisecond)) + 20 // the first pauses are shorter
	if n := handler.broken.Load(); n == 0 || n > most {
		t.Errorf("%d events in %v, at most %d", n, watched, most)
	}
	echoes(t, address)
}

// TestStrayDescriptor guards against a loop that spins on a registered descriptor whose events nobody handles.
func TestStrayDescriptor(t *testing.T) {
	failures := failure.NewLog(zerolog.Nop())
	l, err := Open("127.0.0.1:0", &echo{}, failures)
	if err != nil {
		t.Fatal(err)
	}
	stray, err := unix.Eventfd(1, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(stray)
	if err := l.poller.AddRead(&netpoll.PollAttachment{FD: stray}, false); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	time.Sleep(100 * time.Millisecond)
	if n := failures.Count(failure.Register, 0); n != 1 {
		t.Errorf("%d stray events", n)
	}
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestWakerNotDrained guards against a loop that spins on an eventfd whose reads do not drain it.
func TestWakerNotDrained(t *testing.T) {
	const (
		watched  = 200 * time.Millisecond
		tasks    = 3
		maxReads = 3 * tasks // one a task, and some for the start
	)
	l, err := Open("127.0.0.1:0", &echo{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(l.waker)
	if l.waker, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC|unix.EFD_SEMAPHORE); err != nil { // a read takes off one
		t.Fatal(err)
	}
	undrained := [8]byte{4: 1} // 1 << 32
	unix.Write(l.waker, undrained[:])
	if err := l.registerWaker(); err != nil {
		t.Fatal(err)
	}
	before := eventfdCount(t, l.waker)
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	for range tasks {
		ran := make(chan struct{})
		l.Execute(func() { close(ran) })
		<-ran
	}
	time.Sleep(watched)
	if reads := before + tasks - eventfdCount(t, l.waker); reads > maxReads {
		t.Errorf("%d reads, at most %d are to be made", reads, maxReads)
	}
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// eventfdCount is the count of an eventfd, see proc_pid_fdinfo(5).
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

// echoes checks that a new connection is served.
func echoes(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, "a line\n")
	if got, err := bufio.NewReader(conn).ReadString('\n'); got != "a line\n" {
		t.Errorf("%q, %v", got, err)
	}
}
