package eventloop

import (
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

// maxBacklog is the length of the queue of connections that wait to be accepted. It is above the limit of every kernel
// (net.core.somaxconn), so that the kernel's limit applies.
const maxBacklog = 1<<16 - 1

// listener is the listening socket and the state of its back-off.
type listener struct {
	fd       int
	backOff  failure.BackOff // between calls of accept that fail
	isPaused bool            // accepting continues after a back-off
}

// listen opens a listening socket. Other processes may listen on the same port (SO_REUSEPORT), and accepted connections inherit
// TCP_NODELAY.
func listen(address string) (fd int, err error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return -1, err
	}
	socketAddress := &unix.SockaddrInet4{Port: resolved.Port}
	copy(socketAddress.Addr[:], resolved.IP.To4())
	if fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP); err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	err = errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1))
	if err == nil {
		err = os.NewSyscallError("bind", unix.Bind(fd, socketAddress))
	}
	if err == nil {
		err = os.NewSyscallError("listen", unix.Listen(fd, maxBacklog))
	}
	if err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// ListenerFD returns the listener's descriptor, for setting socket options. The caller must not close it.
func (l *Loop) ListenerFD() int { return l.listener.fd }

// HasQueuedConnections reports whether a connection waits to be accepted. It also returns true when poll(2) fails, as the state
// is then unknown.
func (l *Loop) HasQueuedConnections() bool {
	pollFDs := []unix.PollFd{{Fd: int32(l.listener.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(pollFDs, 0)
	return err != nil || n > 0
}

// maxAcceptsPerEvent is how many connections one event accepts at most, so that the events of other descriptors are not
// delayed.
const maxAcceptsPerEvent = 16

// maxConsecutiveAcceptFailures is how many failures in a row for lack of a resource are retried at once before accepting
// pauses. A pause after each failure would delay a burst of connections for longer than its clients wait.
const maxConsecutiveAcceptFailures = 4

// accept accepts queued connections. The poller is level-triggered and reports again while more are queued.
func (l *Loop) accept() {
	if l.listener.isPaused {
		l.unregisterListener()
		return
	}
	failures := 0
	for range maxAcceptsPerEvent {
		fd, err := acceptConnection(l.listener.fd)
		switch meaning := failure.Classify(failure.Accept, err); meaning {
		case failure.None:
			failures = 0
			l.listener.backOff.Reset()
			l.add(fd, nil)
		case failure.NotReady:
			return
		case failure.Exhausted:
			l.failures.Record(failure.Accept, err, meaning)
			if failures++; failures > maxConsecutiveAcceptFailures {
				l.pauseAccept()
				return
			}
		default: // discarded or interrupted: the next call may return the next connection in the queue
			l.failures.Record(failure.Accept, err, meaning)
		}
	}
}

// acceptConnection calls accept4(2) without asking for the peer's address. The wrapper of golang.org/x/sys asks for it, which
// needs more resources, and closes the connection when it does not get the address.
func acceptConnection(listener int) (fd int, err error) {
	accepted, _, errno := unix.Syscall6(unix.SYS_ACCEPT4, uintptr(listener), 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
	if errno != 0 {
		return -1, errno
	}
	return int(accepted), nil
}

// pauseAccept removes the listener from the poller for a back-off: its event would be reported again and again.
func (l *Loop) pauseAccept() {
	l.listener.isPaused = true
	l.unregisterListener()
	l.executeAfter(l.listener.backOff.Next(), l.resumeAccept)
}

// unregisterListener removes the listener from the poller. A failure is retried at the next event.
func (l *Loop) unregisterListener() {
	if err := l.poller.Delete(l.listener.fd); err != nil && !errors.Is(err, syscall.ENOENT) {
		l.failures.Record(failure.Register, err, failure.Classify(failure.Register, err))
	}
}

// resumeAccept registers the listener with the poller again, and retries until that succeeds.
func (l *Loop) resumeAccept() {
	l.listener.isPaused = false
	err := l.poller.AddRead(&netpoll.PollAttachment{FD: l.listener.fd}, false)
	if err != nil && !errors.Is(err, syscall.EEXIST) {
		l.failures.Record(failure.Register, err, failure.Classify(failure.Register, err))
		// even after a permanent failure: without the listener no client is served
		l.executeAfter(l.listener.backOff.Next(), l.resumeAccept)
	}
}

// errNoDescriptor is returned for a connection that is not backed by a descriptor of the kernel, such as a net.Pipe.
var errNoDescriptor = errors.New("the connection has no descriptor")

// duplicateDescriptor returns a new descriptor for an established connection.
func duplicateDescriptor(conn net.Conn) (fd int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return -1, errNoDescriptor
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return -1, err
	}
	controlErr := raw.Control(func(original uintptr) {
		fd, err = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0)
	})
	if controlErr != nil {
		return -1, controlErr
	}
	return fd, os.NewSyscallError("fcntl", err)
}
