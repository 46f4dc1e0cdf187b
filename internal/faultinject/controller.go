package faultinject

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Controller decides the outcome of intercepted calls, for all processes that were started with its Environment.
type Controller struct {
	plan     Plan
	listener net.Listener
	serving  sync.WaitGroup

	mu        sync.Mutex
	processes int64          // number of processes that have connected; seeds the draws of each
	failures  map[string]int // number of injected failures by the fault's String
	errs      []error
}

// New starts a controller, which runs until Close.
func New(plan Plan) (*Controller, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Controller{plan: plan, listener: listener, failures: map[string]int{}}
	go c.accept()
	return c, nil
}

// Environment returns the value of ControllerVariable for the processes.
func (c *Controller) Environment() string {
	text := c.listener.Addr().String()
	for _, call := range c.plan.calls() {
		text += fmt.Sprintf(" %d", call)
	}
	return text
}

// Close accepts no more processes and waits for the connected ones to end; it does not end them.
func (c *Controller) Close() {
	c.listener.Close()
	c.serving.Wait()
}

// Failures returns how often each fault of the plan was injected, by the fault's String.
func (c *Controller) Failures() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	failures := map[string]int{}
	for fault, n := range c.failures {
		failures[fault] = n
	}
	return failures
}

// Errors returns the errors of the controller itself. A run with any is not valid.
func (c *Controller) Errors() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.errs
}

// accept serves each process that connects, until the listener is closed.
func (c *Controller) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.serving.Go(func() {
			defer conn.Close()
			if err := c.serve(conn); err != nil {
				c.mu.Lock()
				c.errs = append(c.errs, err)
				c.mu.Unlock()
			}
		})
	}
}

// serve decides the calls of one process until it ends.
func (c *Controller) serve(conn net.Conn) error {
	var message [8]byte
	if _, err := io.ReadFull(conn, message[:]); err != nil {
		return nil // the process ended before it installed its filter
	}
	pid := int(binary.LittleEndian.Uint32(message[:]))
	pidfd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return err
	}
	p := &process{controller: c, pid: pid, pidfd: pidfd}
	defer unix.Close(pidfd)
	if p.notifications, err = unix.PidfdGetfd(pidfd, int(binary.LittleEndian.Uint32(message[4:])), 0); err != nil {
		return err
	}
	defer unix.Close(p.notifications)
	c.mu.Lock()
	c.processes++
	p.progress = newProgress(c.plan, c.processes)
	c.mu.Unlock()
	if _, err := conn.Write(message[:1]); err != nil {
		return nil
	}
	return p.run()
}

// countFailure counts an injected failure.
func (c *Controller) countFailure(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures[f.String()]++
}

// notification is struct seccomp_notif of linux/seccomp.h; call, arch, ip and args are its struct seccomp_data.
type notification struct {
	id    uint64
	pid   uint32
	flags uint32
	call  int32
	arch  uint32
	ip    uint64
	args  [6]uint64
}

// response is struct seccomp_notif_resp of linux/seccomp.h.
type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// standardOutput is the descriptor of standard output.
const standardOutput = 1

// continueCall is SECCOMP_USER_NOTIF_FLAG_CONTINUE: the kernel carries the call out.
const continueCall = 1

// process is one process under fault injection.
type process struct {
	controller    *Controller
	pid           int
	pidfd         int       // descriptor that refers to the process
	notifications int       // duplicate of the process's seccomp listener
	progress      *progress // of the plan in this process
}

// run answers the notifications of the process until it ends.
func (p *process) run() error {
	poll := []unix.PollFd{{Fd: int32(p.notifications), Events: unix.POLLIN}}
	for {
		if _, err := unix.Poll(poll, -1); err == unix.EINTR {
			continue
		} else if err != nil {
			return err
		}
		if poll[0].Revents&unix.POLLIN == 0 { // hang-up: no process has the filter any more
			return nil
		}
		var n notification
		if errno := p.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)); errno == unix.EINTR || errno == unix.ENOENT {
			continue
		} else if errno != 0 {
			return errno
		}
		r := p.decide(&n)
		if errno := p.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)); errno != 0 && errno != unix.ENOENT &&
			errno != unix.EINPROGRESS {
			return errno // ENOENT and EINPROGRESS are no errors: the process was killed meanwhile, or the call is answered already
		}
	}
}

// ioctl issues a request on the seccomp listener.
func (p *process) ioctl(request uintptr, argument unsafe.Pointer) unix.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(p.notifications), request, uintptr(argument))
	return errno
}

// decide returns the outcome of one call. A partial transfer that can't be done has the call continue as a whole.
func (p *process) decide(n *notification) response {
	r := response{id: n.id, flags: continueCall}
	fault, shouldFail := p.progress.nextFault(uintptr(n.call), func(t Target) bool { return p.matches(t, n) })
	if !shouldFail {
		return r
	}
	if fault.Errno != Partial {
		p.controller.countFailure(fault)
		return response{id: n.id, error: -int32(fault.Errno)}
	}
	if done := p.transferPart(n); done > 0 {
		p.controller.countFailure(fault)
		return response{id: n.id, value: int64(done)}
	}
	return r
}

// matches reports whether the call's descriptor or path is of a target.
func (p *process) matches(t Target, n *notification) bool {
	switch t {
	case AnyTarget:
		return true
	case OpenedConfig:
		return strings.HasSuffix(p.readString(n.args[1]), "config.json")
	}
	fd := n.args[0]
	if t == StandardOutput {
		return fd == standardOutput
	}
	if n.call == unix.SYS_EPOLL_CTL {
		fd = n.args[2]
	}
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", p.pid, fd))
	if err != nil {
		return false
	}
	isEventFD := strings.HasPrefix(name, "anon_inode:[eventfd")
	switch t {
	case Socket:
		return strings.HasPrefix(name, "socket:")
	case EventFD:
		return isEventFD
	default:
		return !isEventFD
	}
}

// readString reads a NUL-terminated string, or the start of one, from the process's memory.
func (p *process) readString(address uint64) string {
	var buffer [256]byte
	for size := len(buffer); size > 0; size /= 2 { // a read past the end of the string's mapping fails: retry with fewer bytes
		n, err := unix.ProcessVMReadv(p.pid, []unix.Iovec{{Base: &buffer[0], Len: uint64(size)}},
			[]unix.RemoteIovec{{Base: uintptr(address), Len: size}}, 0)
		if err == nil && n > 0 {
			text, _, _ := strings.Cut(string(buffer[:n]), "\x00")
			return text
		}
	}
	return ""
}

// maxPartialBytes is the most bytes of a partial transfer.
const maxPartialBytes = 16

// transferPart carries out half of a read or write, at most maxPartialBytes, in place of the process. It returns the
// number of bytes, 0 if nothing could be transferred.
func (p *process) transferPart(n *notification) int {
	size := min(int(n.args[2])/2, maxPartialBytes)
	if size == 0 {
		return 0
	}
	fd, err := unix.PidfdGetfd(p.pidfd, int(n.args[0]), 0)
	if err != nil {
		return 0
	}
	defer unix.Close(fd)
	buffer := make([]byte, size)
	local := []unix.Iovec{{Base: &buffer[0], Len: uint64(size)}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.args[1]), Len: size}}
	if n.call == unix.SYS_WRITE {
		if _, err := unix.ProcessVMReadv(p.pid, local, remote, 0); err != nil {
			return 0
		}
		done, _, errno := unix.Syscall6(unix.SYS_SENDTO, uintptr(fd), uintptr(unsafe.Pointer(&buffer[0])), uintptr(size),
			unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, 0, 0)
		if errno != 0 {
			return 0
		}
		return int(done)
	}
	done, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
	if err != nil || done <= 0 {
		return 0
	}
	remote[0].Len, local[0].Len = done, uint64(done)
	if _, err := unix.ProcessVMWritev(p.pid, local, remote, 0); err != nil {
		return 0
	}
	return done
}
