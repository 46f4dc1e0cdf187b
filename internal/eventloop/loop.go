// Package eventloop runs connections on one goroutine: it accepts them, reads and writes them, and runs tasks that other
// goroutines hand to it. It waits by gnet's poller; all other calls are made here, and what a failed one means is decided by
// package failure alone. A failure that passes ends neither the loop nor a connection. Protocols and timers are its users'.
//
// gnet's own engine is not used, as it ends the loop on an accept4 that fails with ENFILE, closes a connection whose read or
// write is interrupted, drops one that epoll_ctl has no memory for, and never wakes again after an eventfd write that failed.
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

// readBufferBytes is the most that one read takes from a connection.
const readBufferBytes = 64 << 10

// Handler is told what happens to connections, on the event loop.
type Handler interface {
	// OnOpen is called once for each connection, before all else.
	OnOpen(c *Conn)
	// OnTraffic is called when something has come, which c.Pending returns.
	OnTraffic(c *Conn)
	// OnBroken is called when a read or write failed though the other end has ended nothing. The connection is still open:
	// a last line may reach an end that is well, and a connection that is gone is closed by the next call on it.
	OnBroken(c *Conn, err error)
	// OnClose is called when the other end has ended the connection, with io.EOF, or with the error of a failed call. It may
	// come in the midst of a write. It is not called for what Conn.Close closes.
	OnClose(c *Conn, err error)
}

// Loop is one event loop with one listener.
type Loop struct {
	handler  Handler
	failures *failure.Log
	poller   *netpoll.Poller
	listener listener
	waker    int // an eventfd
	conns    map[int]*Conn
	buffer   []byte
	done     chan struct{}

	isStopping  bool // set on the loop
	strayEvents int  // since the last event of a connection

	mu       sync.Mutex // guards all below, and the waker's descriptor
	tasks    []func()
	isWoken  bool // the waker was written since the tasks were taken last, or will be
	isClosed bool
}

// Open makes a loop with a listener at a TCP address, IPv4. Nothing is accepted before Run.
func Open(address string, handler Handler, failures *failure.Log) (*Loop, error) {
	l := &Loop{handler: handler, failures: failures, waker: -1, conns: map[int]*Conn{}, buffer: make([]byte, readBufferBytes),
		done: make(chan struct{})}
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
	if l.waker, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return err
	}
	if err := l.registerWaker(); err != nil {
		return err
	}
	return l.poller.AddRead(&netpoll.PollAttachment{FD: l.listener.fd}, false)
}

// registerWaker has each write to the waker reported once (edge-triggered), and not for as long as it could be read: a read that
// fails would be made again without a pause.
func (l *Loop) registerWaker() error {
	return l.poller.AddRead(&netpoll.PollAttachment{FD: l.waker}, true)
}

// release closes what the loop has opened.
func (l *Loop) release() {
	for _, c := range l.conns {
		if len(c.out) > 0 {
			unix.Write(c.fd, c.out) // what the kernel takes at once may still arrive
		}
		c.Close()
	}
	if l.listener.fd >= 0 {
		unix.Close(l.listener.fd)
	}
	l.closeWaker()
	if l.poller != nil {
		l.poller.Close()
	}
}

// closeWaker closes the waker; its number may soon be another descriptor's, which must not be written.
func (l *Loop) closeWaker() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosed, l.tasks = true, nil
	if l.waker >= 0 {
		unix.Close(l.waker)
	}
}

// Run serves until Stop is called.
func (l *Loop) Run() error {
	defer close(l.done)
	defer l.release()
	err := l.poller.Polling(l.event)
	if errors.Is(err, gneterrors.ErrEngineShutdown) {
		return nil
	}
	return err
}

// Stop ends Run; Done tells when it has ended.
func (l *Loop) Stop() {
	l.Execute(func() { l.isStopping = true })
}

// Done is closed once Run has ended and all is closed.
func (l *Loop) Done() <-chan struct{} { return l.done }

// event handles one event of the poller. An error would end the poller's loop, so there is none but at the end.
func (l *Loop) event(fd int, events netpoll.IOEvent, _ netpoll.IOFlags) error {
	c := l.conns[fd]
	if c != nil {
		l.strayEvents = 0
	}
	switch {
	case c != nil:
		c.event(events)
	case fd == l.listener.fd:
		l.accept()
	case fd == l.waker:
		l.runTasks()
	default:
		l.removeStray(fd)
	}
	if l.isStopping {
		return gneterrors.ErrEngineShutdown
	}
	return nil
}

// errStray is of an event of a descriptor that is no connection of the loop.
var errStray = errors.New("an event of a descriptor that is not the loop's")

// removeStray takes a descriptor from the poller that nobody handles: its event would come again and again. One may be left
// by an earlier call that failed, or by a duplicate of a descriptor that was closed. An event of a connection that was closed
// a moment ago has nothing to be taken, which is no failure unless it comes again and again.
func (l *Loop) removeStray(fd int) {
	l.strayEvents++
	if err := l.poller.Delete(fd); err == nil || l.strayEvents > maxEmptyEvents {
		l.failures.Note(failure.Register, errors.Join(errStray, err), failure.Discarded)
	}
}

// Execute runs a task on the loop, from any goroutine; tasks run in order. A task for a loop that has ended is dropped.
func (l *Loop) Execute(task func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return
	}
	l.tasks = append(l.tasks, task)
	if !l.isWoken {
		l.isWoken = true
		l.wake()
	}
}

// wakePause is the time to the next write to the waker after one that failed.
const wakePause = time.Millisecond

// wake writes to the waker until that succeeds: nobody else will, as long as isWoken is set. It needs the lock.
func (l *Loop) wake() {
	one := [8]byte{1}
	_, err := unix.Write(l.waker, one[:])
	for range maxInterrupts {
		if failure.Classify(failure.Wake, err) != failure.Interrupted {
			break
		}
		_, err = unix.Write(l.waker, one[:])
	}
	if meaning := failure.Classify(failure.Wake, err); meaning != failure.None {
		l.failures.Note(failure.Wake, err, meaning)
		time.AfterFunc(wakePause, l.wakeAgain) // not here: this may be the loop's own goroutine
	}
}

// wakeAgain does so unless the loop has taken the tasks, or has ended.
func (l *Loop) wakeAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isWoken && !l.isClosed {
		l.wake()
	}
}

func (l *Loop) runTasks() {
	var count [8]byte
	unix.Read(l.waker, count[:]) // one that fails costs nothing: the next write is reported all the same
	l.mu.Lock()
	tasks := l.tasks
	l.tasks, l.isWoken = nil, false
	l.mu.Unlock()
	for _, task := range tasks {
		task()
	}
}

// after runs a task on the loop after a pause.
func (l *Loop) after(pause time.Duration, task func()) {
	time.AfterFunc(pause, func() { l.Execute(task) })
}

// Adopt hands a connection that was established elsewhere over to the loop, from any goroutine. The loop has a descriptor of
// its own; the caller still has to close conn. done is called on the loop after the handler's OnOpen.
func (l *Loop) Adopt(conn net.Conn, context any, done func()) error {
	fd, err := duplicate(conn)
	if err != nil {
		return err
	}
	l.Execute(func() {
		l.add(fd, context)
		done()
	})
	return nil
}

// add takes a connection over, on the loop.
func (l *Loop) add(fd int, context any) {
	c := &Conn{loop: l, fd: fd, attachment: netpoll.PollAttachment{FD: fd}, context: context}
	l.conns[fd] = c
	c.updateInterest()
	if !c.isClosed {
		l.handler.OnOpen(c)
	}
}
