package eventloop

import (
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

// maxInterrupts is how often one call is made again at once; then it waits like one for which a resource is short.
const maxInterrupts = 100

// Conn is one connection. All is called on the loop.
type Conn struct {
	loop       *Loop
	fd         int
	attachment netpoll.PollAttachment
	context    any
	pending    []byte // what has come and was not discarded
	isBorrowed bool   // pending lies in the loop's buffer
	out        []byte // what waits to be written
	pause      failure.BackOff
	rest       rest

	isRegistered bool // with the poller
	wantsWrite   bool // as the poller has it
	isPaused     bool // a write waits for the end of a back-off
	isClosed     bool
}

// FD is the connection's descriptor, for options of its socket. It must not be closed.
func (c *Conn) FD() int { return c.fd }

// Context is what SetContext set last, or what the connection was adopted with.
func (c *Conn) Context() any { return c.context }

// SetContext keeps a value for the handler.
func (c *Conn) SetContext(context any) { c.context = context }

// Pending returns what has come and was not discarded. It is good until the handler returns.
func (c *Conn) Pending() []byte { return c.pending }

// Discard drops the first n bytes of Pending.
func (c *Conn) Discard(n int) { c.pending = c.pending[n:] }

// Unsent is how many bytes of what was written wait in this process, also after the connection has ended.
func (c *Conn) Unsent() int { return len(c.out) }

// Close closes the connection at once; what still waits to be written is not.
func (c *Conn) Close() {
	if c.isClosed {
		return
	}
	c.isClosed = true
	delete(c.loop.conns, c.fd)
	if c.isRegistered {
		c.loop.poller.Delete(c.fd) // closing does it, too, unless the descriptor was duplicated
	}
	unix.Close(c.fd) // the descriptor is free whatever it returns
}

// fail closes the connection and tells the handler.
func (c *Conn) fail(err error) {
	if c.isClosed {
		return
	}
	c.loop.handler.OnClose(c, err)
	c.Close()
}

// event handles what the poller says.
func (c *Conn) event(events netpoll.IOEvent) {
	if events&(netpoll.WriteEvents|netpoll.ErrEvents) != 0 && !c.isPaused {
		c.flush()
	}
	if events&(netpoll.ReadEvents|netpoll.ErrEvents) != 0 && !c.isClosed {
		c.read(events&netpoll.ErrEvents != 0)
	}
}

// read takes what has come, once. Another event comes while there is more.
func (c *Conn) read(isError bool) {
	n, err := c.readSocket()
	switch meaning := failure.Classify(failure.Read, err); meaning {
	case failure.None:
		if n == 0 {
			c.fail(io.EOF)
			return
		}
		c.rest.reset()
		c.received(c.loop.buffer[:n])
	case failure.NotReady:
		if isError {
			c.checkError()
		}
		c.readNothing(err)
	case failure.Interrupted, failure.Exhausted:
		c.loop.failures.Note(failure.Read, err, meaning)
		c.restFromEvents()
	case failure.Broken:
		c.loop.failures.Note(failure.Read, err, meaning)
		c.loop.handler.OnBroken(c, os.NewSyscallError("read", err))
		c.restFromEvents() // where the owner still waits for the other end
	default:
		c.fail(os.NewSyscallError("read", err))
	}
}

func (c *Conn) readSocket() (n int, err error) {
	for range maxInterrupts {
		if n, err = unix.Read(c.fd, c.loop.buffer); failure.Classify(failure.Read, err) != failure.Interrupted {
			break
		}
	}
	return n, err
}

// received hands on what has come; what the handler leaves is kept.
func (c *Conn) received(bytes []byte) {
	if len(c.pending) == 0 {
		c.pending, c.isBorrowed = bytes, true
	} else {
		c.pending = append(c.pending, bytes...)
	}
	c.loop.handler.OnTraffic(c)
	switch {
	case len(c.pending) == 0:
		c.pending = nil
	case c.isBorrowed:
		c.pending = append([]byte(nil), c.pending...)
	}
	c.isBorrowed = false
}

// checkError looks for the error of an event that a read did not return.
func (c *Conn) checkError() {
	errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		c.fail(os.NewSyscallError("poll", syscall.Errno(errno)))
	}
}

// Write sends bytes, at once or once the kernel takes them; a connection that fails is closed, and its handler told.
func (c *Conn) Write(bytes []byte) {
	if c.isClosed {
		return
	}
	if len(c.out) > 0 {
		c.out = append(c.out, bytes...)
		return
	}
	n, err := c.writeSocket(bytes)
	c.out = append(c.out, bytes[n:]...)
	c.wrote(err)
}

// flush writes what waits.
func (c *Conn) flush() {
	if c.isClosed || len(c.out) == 0 {
		return
	}
	n, err := c.writeSocket(c.out)
	if c.out = c.out[n:]; len(c.out) == 0 {
		c.out = nil
	}
	c.wrote(err)
}

// writeSocket writes until all is written or a call fails, and returns how much was.
func (c *Conn) writeSocket(bytes []byte) (written int, err error) {
	interrupts := 0
	for written < len(bytes) {
		n, err := unix.Write(c.fd, bytes[written:])
		written += max(n, 0)
		if failure.Classify(failure.Write, err) == failure.Interrupted && interrupts < maxInterrupts {
			interrupts++
			continue
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// wrote goes on after a write, by its error.
func (c *Conn) wrote(err error) {
	meaning := failure.Classify(failure.Write, err)
	switch meaning {
	case failure.None:
		c.pause.Reset()
	case failure.NotReady:
	case failure.Interrupted, failure.Exhausted:
		c.loop.failures.Note(failure.Write, err, meaning)
		c.flushLater()
	case failure.Broken:
		c.loop.failures.Note(failure.Write, err, meaning)
		c.flushLater()
		c.loop.handler.OnBroken(c, os.NewSyscallError("write", err))
	default:
		c.fail(os.NewSyscallError("write", err))
		return
	}
	c.updateInterest()
}

// flushLater writes again after a back-off. Until then the poller is not asked: the connection may well be writable.
func (c *Conn) flushLater() {
	if c.isPaused {
		return
	}
	c.isPaused = true
	c.loop.after(c.pause.Next(), func() {
		c.isPaused = false
		c.flush()
	})
}

// updateInterest tells the poller what to wait for: input always, and output while something waits to be written.
func (c *Conn) updateInterest() {
	wantsWrite := len(c.out) > 0 && !c.isPaused
	if c.isClosed || c.rest.isActive || c.isRegistered && wantsWrite == c.wantsWrite {
		return
	}
	err := c.register(wantsWrite)
	if errors.Is(err, syscall.EEXIST) {
		c.isRegistered = true
		err = c.register(wantsWrite)
	}
	switch meaning := failure.Classify(failure.Register, err); {
	case meaning == failure.None:
		c.isRegistered, c.wantsWrite = true, wantsWrite
	case meaning.Passes():
		c.loop.failures.Note(failure.Register, err, meaning)
		c.loop.after(c.pause.Next(), c.updateInterest)
	default:
		c.loop.failures.Note(failure.Register, err, meaning)
		c.fail(err)
	}
}

func (c *Conn) register(wantsWrite bool) error {
	switch {
	case !c.isRegistered && wantsWrite:
		return c.loop.poller.AddReadWrite(&c.attachment, false)
	case !c.isRegistered:
		return c.loop.poller.AddRead(&c.attachment, false)
	case wantsWrite:
		return c.loop.poller.ModReadWrite(&c.attachment, false)
	default:
		return c.loop.poller.ModRead(&c.attachment, false)
	}
}
