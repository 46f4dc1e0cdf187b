// Package eventloop runs TCP connections on one goroutine: it accepts, reads and writes them, and runs tasks that other
// goroutines submit. It waits with gnet's epoll poller and makes all other system calls itself. Package failure decides what a
// failed call means; a temporary failure ends neither the loop nor a connection. Protocols and timeouts are left to the users
// of the package.
//
// The package does not use gnet's own engine, which ends the loop when accept4 fails with ENFILE, closes a connection whose
// read or write is interrupted by a signal, drops a connection when epoll_ctl fails for lack of memory, and does not wake again
// after a failed write to its eventfd.
package eventloop

import (
	"errors"
	"net"
	"sync"
	"time"

	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

const (
	// maxReadBytes is the most that one event takes from a connection: what remains is reported again, behind the events of other
	// connections. It bounds what a peer that sends without end costs the others in one round, and holds two lines of the protocol.
	maxReadBytes = 8 << 10
	// maxKeptBytes is up to how many bytes that a handler leaves are joined with the next read in the loop's buffer: a line.
	maxKeptBytes = 4 << 10
	// availableBufferBytes is the most that one read of Conn.ReadAvailable takes.
	availableBufferBytes = 64 << 10
)

// Handler receives the events of connections. All methods are called on the event loop.
type Handler interface {
	// OnOpen is called once for each connection, before all other methods.
	OnOpen(c *Conn)
	// OnTraffic is called when data has arrived; Conn.Pending returns it.
	OnTraffic(c *Conn)
	// OnBroken is called when a read or write failed because the network path has failed, though the peer has not closed the
	// connection. The connection stays open: the peer may still be running and receive a last line. If the connection is really
	// gone, the next call on it closes it.
	OnBroken(c *Conn, err error)
	// OnClose is called when the peer has closed the connection, with io.EOF, or with the error of a failed call. It may be
	// called during Conn.Write and Conn.ReadAvailable. It is not called for a connection that Conn.Close closes.
	OnClose(c *Conn, err error)
	// OnOverflow is called when all connections together hold more bytes than the loop's limit, for the one that holds most. The
	// handler must bring it closer to its close with each call, as it is called again while the limit is exceeded.
	OnOverflow(c *Conn)
}

// Loop is an event loop with one listener.
type Loop struct {
	handler  Handler
	failures *failure.Log
	poller   *netpoll.Poller
	listener listener
	wakeFD   int           // an eventfd; a write to it wakes the loop to run tasks
	conns    map[int]*Conn // by descriptor
	buffer   []byte        // shared by all reads of poller events, maxKeptBytes + maxReadBytes long
	// availableBuffer is shared by all calls of Conn.ReadAvailable, availableBufferBytes long. Such a call may come while an event's
	// bytes in buffer are still in use.
	availableBuffer []byte
	done            chan struct{} // closed once Run has ended

	buffered bufferedBytes // read and written on the loop only, as are the next two

	isStopping               bool
	consecutiveUnknownEvents int // events of unknown descriptors since the last event of a connection

	mu            sync.Mutex // guards the fields below and the descriptor in wakeFD
	tasks         []func()
	isWakePending bool // wakeFD was written since the loop last took the tasks, or the write is being retried
	isClosed      bool
}

// Open creates a loop with a listener at an IPv4 TCP address. No connection is accepted before Run. The loop records failed
// system calls in failures, which may be nil.
func Open(address string, handler Handler, failures *failure.Log) (*Loop, error) {
	l := &Loop{handler: handler, failures: failures, wakeFD: -1, conns: map[int]*Conn{}, buffer: make([]byte, maxKeptBytes+maxReadBytes),
		availableBuffer: make([]byte, availableBufferBytes), done: make(chan struct{})}
	if err := l.open(address); err != nil {
		l.release()
		return nil, err
	}
	return l, nil
}

func (l *Loop) open(address string) error {
	var err error
	if l.listener.fd, err = listen(address); err != nil {
		return err
	}
	if l.poller, err = netpoll.OpenPoller(); err != nil {
		return err
	}
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return err
	}
	if err := l.registerWakeFD(); err != nil {
		return err
	}
	return l.poller.AddRead(&netpoll.PollAttachment{FD: l.listener.fd}, false)
}

// registerWakeFD registers wakeFD with edge-triggered events, so that each write to it is reported once. With level-triggered
// events, a read that fails would be repeated without a pause.
func (l *Loop) registerWakeFD() error {
	return l.poller.AddRead(&netpoll.PollAttachment{FD: l.wakeFD}, true)
}

// release closes all connections and descriptors of the loop.
func (l *Loop) release() {
	for _, c := range l.conns {
		if len(c.unsent) > 0 {
			unix.Write(c.fd, c.unsent) // best effort: sends what fits into the socket buffer
		}
		c.Close()
	}
	if l.listener.fd >= 0 {
		unix.Close(l.listener.fd)
	}
	l.closeWakeFD()
	if l.poller != nil {
		l.poller.Close()
	}
}

// closeWakeFD closes wakeFD and drops the tasks. No write may follow: the kernel may reuse the descriptor's number for another
// file.
func (l *Loop) closeWakeFD() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosed, l.tasks = true, nil
	if l.wakeFD >= 0 {
		unix.Close(l.wakeFD)
	}
}

// Run serves until Stop is called, then closes everything that the loop has opened. It returns the error of a poller that has
// failed.
func (l *Loop) Run() error {
	defer close(l.done)
	defer l.release()
	err := l.poller.Polling(l.handleEvent)
	if errors.Is(err, gneterrors.ErrEngineShutdown) {
		return nil
	}
	return err
}

// Stop makes Run return. It does not wait; Done reports the end.
func (l *Loop) Stop() {
	l.Execute(func() { l.isStopping = true })
}

// Done returns a channel that is closed once Run has ended and all descriptors are closed.
func (l *Loop) Done() <-chan struct{} { return l.done }

// handleEvent handles one event of the poller. The poller's loop ends when it returns an error, so it returns one only to stop.
func (l *Loop) handleEvent(fd int, events netpoll.IOEvent, _ netpoll.IOFlags) error {
	c := l.conns[fd]
	if c != nil {
		l.consecutiveUnknownEvents = 0
	}
	switch {
	case c != nil:
		c.handleEvents(events)
	case fd == l.listener.fd:
		l.accept()
	case fd == l.wakeFD:
		l.runTasks()
	default:
		l.unregisterUnknown(fd)
	}
	if l.isStopping {
		return gneterrors.ErrEngineShutdown
	}
	return nil
}

// errUnknownDescriptor is recorded for an event of a descriptor that is not a connection of the loop.
var errUnknownDescriptor = errors.New("an event of a descriptor that is not the loop's")

// unregisterUnknown removes a descriptor without a handler from the poller, which would report it again and again. One may be
// left over from an earlier call that failed, or from a duplicate of a descriptor that was closed. An event of a connection
// that was closed a moment ago finds nothing to remove; this is recorded as a failure only if it happens more than
// maxConsecutiveEmptyEvents times in a row.
func (l *Loop) unregisterUnknown(fd int) {
	l.consecutiveUnknownEvents++
	if err := l.poller.Delete(fd); err == nil || l.consecutiveUnknownEvents > maxConsecutiveEmptyEvents {
		l.failures.Record(failure.Register, errors.Join(errUnknownDescriptor, err), failure.Discarded)
	}
}

// Execute submits a task to the loop; any goroutine may call it, and it does not wait. Tasks run in the order of submission. A
// task for a loop that has ended is dropped.
func (l *Loop) Execute(task func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return
	}
	l.tasks = append(l.tasks, task)
	if !l.isWakePending {
		l.isWakePending = true
		l.wake()
	}
}

// wakeRetryDelay is the delay before a failed write to wakeFD is repeated.
const wakeRetryDelay = time.Millisecond

// wake writes to wakeFD, and retries until a write succeeds: no other caller writes while isWakePending is set. The caller must
// hold mu.
func (l *Loop) wake() {
	one := [8]byte{1}
	_, err := unix.Write(l.wakeFD, one[:])
	for range maxInterruptRetries {
		if failure.Classify(failure.Wake, err) != failure.Interrupted {
			break
		}
		_, err = unix.Write(l.wakeFD, one[:])
	}
	if meaning := failure.Classify(failure.Wake, err); meaning != failure.None {
		l.failures.Record(failure.Wake, err, meaning)
		time.AfterFunc(wakeRetryDelay, l.retryWake) // no wait here: this may be the loop's own goroutine
	}
}

// retryWake repeats a failed wake unless the loop has taken the tasks meanwhile, or has ended.
func (l *Loop) retryWake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isWakePending && !l.isClosed {
		l.wake()
	}
}

// runTasks clears wakeFD and runs all submitted tasks.
func (l *Loop) runTasks() {
	var count [8]byte
	unix.Read(l.wakeFD, count[:]) // a failure does no harm: edge-triggered, the next write is reported all the same
	l.mu.Lock()
	tasks := l.tasks
	l.tasks, l.isWakePending = nil, false
	l.mu.Unlock()
	for _, task := range tasks {
		task()
	}
}

// executeAfter runs a task on the loop after a delay.
func (l *Loop) executeAfter(delay time.Duration, task func()) {
	time.AfterFunc(delay, func() { l.Execute(task) })
}

// Adopt gives the loop a connection that was established elsewhere; any goroutine may call it. The loop uses a duplicate of the
// descriptor, so the caller still has to close conn. context becomes the Conn's context. onAdopted is called on the loop after
// the handler's OnOpen. The error is that of duplicating the descriptor.
func (l *Loop) Adopt(conn net.Conn, context any, onAdopted func()) error {
	fd, err := duplicateDescriptor(conn)
	if err != nil {
		return err
	}
	l.Execute(func() {
		l.add(fd, context)
		onAdopted()
	})
	return nil
}

// add starts to serve a descriptor as a connection. It is called on the loop.
func (l *Loop) add(fd int, context any) {
	c := &Conn{loop: l, fd: fd, attachment: netpoll.PollAttachment{FD: fd}, context: context}
	l.conns[fd] = c
	c.updateInterest()
	if !c.isClosed {
		l.handler.OnOpen(c)
	}
}
