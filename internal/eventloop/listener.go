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

// maxBacklog is above every kernel's own limit, so that that one holds.
const maxBacklog = 1<<16 - 1

// listener is the listening socket, and the pauses between calls that fail.
type listener struct {
	fd       int
	pause    failure.BackOff
	isPaused bool // accepting goes on after a back-off
}

// listen opens a listening socket. Its port can be shared by processes, and its connections send small writes at once.
func listen(address string) (fd int, err error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return -1, err
	}
	at := &unix.SockaddrInet4{Port: resolved.Port}
	copy(at.Addr[:], resolved.IP.To4())
	if fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP); err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	err = errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1))
	if err == nil {
		err = os.NewSyscallError("bind", unix.Bind(fd, at))
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

// ListenerFD is the listener's descriptor, for options of its socket. It must not be closed.
func (l *Loop) ListenerFD() int { return l.listener.fd }

// HasWaiting reports whether a connection waits to be accepted, or the kernel did not say.
func (l *Loop) HasWaiting() bool {
	poll := []unix.PollFd{{Fd: int32(l.listener.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(poll, 0)
	return err != nil || n > 0
}

// maxAccepts is how many connections are accepted in one event, so that others have their turn.
const maxAccepts = 16

// maxAcceptFailures is how many failures in a row for want of a resource are followed by another call at once. Pauses after
// each would hold up a crowd for longer than its clients wait.
const maxAcceptFailures = 4

// accept takes connections from the queue. Another event comes while there are more.
func (l *Loop) accept() {
	if l.listener.isPaused {
		l.removeListener()
		return
	}
	failures := 0
	for range maxAccepts {
		fd, err := acceptConnection(l.listener.fd)
		switch meaning := failure.Classify(failure.Accept, err); meaning {
		case failure.None:
			failures = 0
			l.listener.pause.Reset()
			l.add(fd, nil)
		case failure.NotReady:
			return
		case failure.Exhausted:
			l.failures.Note(failure.Accept, err, meaning)
			if failures++; failures > maxAcceptFailures {
				l.pauseAccept()
				return
			}
		default: // the next call is for the next connection
			l.failures.Note(failure.Accept, err, meaning)
		}
	}
}

// acceptConnection is accept4(2) without the peer's address: the wrapper of x/sys asks for more to return that, and closes
// the connection when it does not get it.
func acceptConnection(listener int) (fd int, err error) {
	accepted, _, errno := unix.Syscall6(unix.SYS_ACCEPT4, uintptr(listener), 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
	if errno != 0 {
		return -1, errno
	}
	return int(accepted), nil
}

// pauseAccept leaves the listener alone for a moment: its event would come again and again.
func (l *Loop) pauseAccept() {
	l.listener.isPaused = true
	l.removeListener()
	l.after(l.listener.pause.Next(), l.resumeAccept)
}

// removeListener takes the listener from the poller. If that fails it is tried again at the next event.
func (l *Loop) removeListener() {
	if err := l.poller.Delete(l.listener.fd); err != nil && !errors.Is(err, syscall.ENOENT) {
		l.failures.Note(failure.Register, err, failure.Classify(failure.Register, err))
	}
}

func (l *Loop) resumeAccept() {
	l.listener.isPaused = false
	err := l.poller.AddRead(&netpoll.PollAttachment{FD: l.listener.fd}, false)
	if err != nil && !errors.Is(err, syscall.EEXIST) {
		l.failures.Note(failure.Register, err, failure.Classify(failure.Register, err))
		l.after(l.listener.pause.Next(), l.resumeAccept) // whatever it means: without it no client is ever served again
	}
}

// errNoDescriptor is of a connection that is not a socket of this machine.
var errNoDescriptor = errors.New("the connection has no descriptor")

// duplicate returns a descriptor of its own for an established connection.
func duplicate(conn net.Conn) (fd int, err error) {
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
