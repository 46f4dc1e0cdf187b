package eventloop

import (
	"bufio"
	"io"
	"net"
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

// TestFailedReadRests: an error that no read takes away is reported by the poller for as long as the descriptor is open. Here it
// is a pipe whose reader has gone: EPOLLERR stays, and read(2) fails with EBADF each time. Its events come a hundred times a
// second at most, as the back-off allows, and other connections are served meanwhile. Before the mend they came without a pause.
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

// TestStrayDescriptor: a descriptor that is registered though nobody handles its events, as a registration that could not be
// taken back is, is removed and counted. Before the mend its event came without a pause.
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
