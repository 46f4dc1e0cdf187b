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

// maxInterruptRetries is how often an interrupted call (EINTR) is repeated at once; after that it is treated like one that
// lacks a resource, with a back-off.
const maxInterruptRetries = 100

// Conn is a connection of a Loop. All methods must be called on the loop.
type Conn struct {
	loop        *Loop
	fd          int
	attachment  netpoll.PollAttachment
	context     any
	pending     []byte          // received bytes that the handler has not discarded
	isBorrowed  bool            // pending points into the loop's read buffer, which the next read overwrites
	unsent      []byte          // bytes accepted by Write that the kernel has not taken yet
	unsentAtEnd int             // once closed: how many they were
	buffered    int             // bytes counted in the loop's bufferedBytes
	writeError  error           // with which a write has found the connection ended; it is about to be closed
	backOff     failure.BackOff // of failed writes and of failed registrations with the poller
	readBackOff readBackOff

	isRegistered  bool // with the poller
	wantsWrite    bool // whether the poller was last set to report that the socket is writable
	isWritePaused bool // a write waits for the end of a back-off
	isClosed      bool
}

// FD returns the connection's descriptor, for setting socket options. The caller must not close it.
func (c *Conn) FD() int { return c.fd }

// Context returns the value of the last SetContext, or the one given to Loop.Adopt.
func (c *Conn) Context() any { return c.context }

// SetContext stores a value for the handler.
func (c *Conn) SetContext(context any) { c.context = context }

// Pending returns the received bytes that were not discarded. The slice is valid until the handler returns.
func (c *Conn) Pending() []byte { return c.pending }

// Discard drops the first n bytes of Pending.
func (c *Conn) Discard(n int) {
	c.pending = c.pending[n:]
	c.countBuffered()
}

// Unsent returns how many bytes given to Write are still buffered in this process. It stays valid after the connection has
// ended.
func (c *Conn) Unsent() int {
	if c.isClosed {
		return c.unsentAtEnd
	}
	return len(c.unsent)
}

// Close closes the connection at once and drops unsent bytes. It does not call the handler.
func (c *Conn) Close() {
	if c.isClosed {
		return
	}
	c.isClosed, c.unsentAtEnd, c.unsent = true, len(c.unsent), nil
	c.countBuffered()
	delete(c.loop.conns, c.fd)
	if c.isRegistered {
		c.loop.poller.Delete(c.fd) // unix.Close alone would not remove it if the descriptor was duplicated
	}
	unix.Close(c.fd) // Linux releases the descriptor even when close returns an error
}

// fail calls the handler's OnClose with the error and closes the connection. The error of a write that failed before takes
// precedence: the kernel reports a reset once, and the end of the stream from then on.
func (c *Conn) fail(err error) {
	if c.isClosed {
		return
	}
	if c.writeError != nil {
		err = c.writeError
	}
	c.loop.handler.OnClose(c, err)
	c.Close()
}

// maxFinalReads is how many calls of ReadAvailable are made at most for a connection that a write has found ended.
const maxFinalReads = 16

// failAfterReading has the connection fail once the bytes are handled that the peer had sent before it ended the connection. They
// are read in a task of their own: the caller of Write may be handling bytes of this connection.
func (c *Conn) failAfterReading(err error) {
	c.writeError = err
	c.loop.Execute(func() {
		for range maxFinalReads {
			if _, result := c.ReadAvailable(); result != ReadSome {
				break
			}
		}
		c.fail(err)
	})
}

// handleEvents handles the events that the poller reports for the connection.
func (c *Conn) handleEvents(events netpoll.IOEvent) {
	if events&(netpoll.WriteEvents|netpoll.ErrEvents) != 0 && !c.isWritePaused {
		c.flush()
	}
	if events&(netpoll.ReadEvents|netpoll.ErrEvents) != 0 && !c.isClosed {
		c.read(events&netpoll.ErrEvents != 0)
	}
}

// read makes one read and handles its result. The poller is level-triggered and reports again while more data waits. isError
// says that the event reports an error or a hang-up.
func (c *Conn) read(isError bool) {
	kept := c.moveKept()
	data, err := c.readSocket(c.loop.buffer[kept : kept+maxReadBytes])
	if failure.Classify(failure.Read, err) == failure.NotReady {
		if isError {
			c.failOnSocketError()
		}
		c.recordEmptyRead(err)
		return
	}
	c.handleReadResult(data, err)
}

// handleReadResult acts on the result of a read that found the socket ready: no data and no error is the end of the stream.
func (c *Conn) handleReadResult(data []byte, err error) {
	switch meaning := failure.Classify(failure.Read, err); meaning {
	case failure.None:
		if len(data) == 0 {
			c.fail(io.EOF)
			return
		}
		c.readBackOff.reset()
		c.deliver(data)
	case failure.Interrupted, failure.Exhausted:
		c.loop.failures.Record(failure.Read, err, meaning)
		c.suspendEvents()
	case failure.Broken:
		c.loop.failures.Record(failure.Read, err, meaning)
		c.loop.handler.OnBroken(c, os.NewSyscallError("read", err))
		c.suspendEvents() // for an owner that keeps the connection open and waits for the peer
	default:
		c.fail(os.NewSyscallError("read", err))
	}
}

// ReadResult is what a call of Conn.ReadAvailable has come to.
type ReadResult int

const (
	ReadAll   ReadResult = iota // nothing more has been received, or nothing more will be
	ReadSome                    // more may have been received
	ReadEnded                   // the connection has ended
)

// maxAvailableReads is how many reads one call of ReadAvailable makes at most. With the limit of availableBufferBytes it keeps a peer
// that sends without end from holding the loop up.
const maxAvailableReads = 4

// ReadAvailable reads the bytes that have been received but not been reported by the poller yet, and handles them as those of an
// event. It returns their number. It must not be called while the handler uses Pending of this connection.
func (c *Conn) ReadAvailable() (size int, result ReadResult) {
	for reads := 0; reads < maxAvailableReads && size < availableBufferBytes && !c.isClosed; reads++ {
		data, err := c.readSocket(c.loop.availableBuffer)
		meaning := failure.Classify(failure.Read, err)
		if meaning == failure.NotReady {
			return size, ReadAll
		}
		size += len(data)
		c.handleReadResult(data, err)
		if meaning == failure.Broken {
			return size, ReadAll
		}
	}
	if c.isClosed {
		return size, ReadEnded
	}
	return size, ReadSome
}

// readSocket reads into the buffer and repeats an interrupted read. It returns the part of the buffer that was filled.
func (c *Conn) readSocket(buffer []byte) (data []byte, err error) {
	n := 0
	for range maxInterruptRetries {
		if n, err = unix.Read(c.fd, buffer); failure.Classify(failure.Read, err) != failure.Interrupted {
			break
		}
	}
	return buffer[:max(n, 0)], err
}

// moveKept copies the bytes that the handler has left before into the loop's buffer, if they fit, so that a read can append to
// them. It returns their number.
func (c *Conn) moveKept() int {
	if len(c.pending) > maxKeptBytes {
		return 0
	}
	return copy(c.loop.buffer, c.pending)
}

// deliver passes received bytes to the handler, behind those that it has left before. Bytes that the handler does not discard are
// copied out of the loop's buffer and kept.
func (c *Conn) deliver(data []byte) {
	kept := c.pending
	switch {
	case len(kept) == 0:
		c.pending, c.isBorrowed = data, true
	case c.isBehindKept(data):
		c.pending, c.isBorrowed = c.loop.buffer[:len(kept)+len(data)], true
	default:
		c.pending = append(c.pending, data...)
	}
	c.loop.handler.OnTraffic(c)
	switch {
	case len(c.pending) == 0:
		c.pending = nil
	case c.isBorrowed:
		c.pending = append(kept[:0], c.pending...)
	}
	c.isBorrowed = false
	c.countBuffered()
}

// isBehindKept reports whether data was read into the loop's buffer behind a copy of the bytes that were kept.
func (c *Conn) isBehindKept(data []byte) bool {
	kept := len(c.pending)
	return kept > 0 && kept <= maxKeptBytes && len(data) > 0 && &data[0] == &c.loop.buffer[kept]
}

// failOnSocketError closes the connection if its socket has a pending error (SO_ERROR) that a read did not return.
func (c *Conn) failOnSocketError() {
	errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		c.fail(os.NewSyscallError("poll", syscall.Errno(errno)))
	}
}

// Write sends bytes, at once or as soon as the kernel accepts them. If the peer has closed the connection or a write fails for
// good, what the peer had sent is handled, the handler's OnClose is called and the connection is closed, in a later task.
func (c *Conn) Write(data []byte) {
	if c.isClosed {
		return
	}
	defer c.countBuffered()
	if len(c.unsent) > 0 {
		c.unsent = append(c.unsent, data...)
		return
	}
	n, err := c.writeSocket(data)
	c.unsent = append(c.unsent, data[n:]...)
	c.handleWriteResult(err)
}

// flush writes unsent bytes.
func (c *Conn) flush() {
	if c.isClosed || len(c.unsent) == 0 || c.writeError != nil {
		return
	}
	defer c.countBuffered()
	n, err := c.writeSocket(c.unsent)
	if c.unsent = c.unsent[n:]; len(c.unsent) == 0 {
		c.unsent = nil
	}
	c.handleWriteResult(err)
}

// writeSocket writes until all bytes are written or a call fails, and returns how many were written.
func (c *Conn) writeSocket(data []byte) (written int, err error) {
	interrupts := 0
	for written < len(data) {
		n, err := unix.Write(c.fd, data[written:])
		written += max(n, 0)
		if failure.Classify(failure.Write, err) == failure.Interrupted && interrupts < maxInterruptRetries {
			interrupts++
			continue
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// handleWriteResult acts on the error of a write, nil for none.
func (c *Conn) handleWriteResult(err error) {
	meaning := failure.Classify(failure.Write, err)
	switch meaning {
	case failure.None:
		c.backOff.Reset()
	case failure.NotReady:
	case failure.Interrupted, failure.Exhausted:
		c.loop.failures.Record(failure.Write, err, meaning)
		c.flushLater()
	case failure.Broken:
		c.loop.failures.Record(failure.Write, err, meaning)
		c.flushLater()
		c.loop.handler.OnBroken(c, os.NewSyscallError("write", err))
	default:
		c.failAfterReading(os.NewSyscallError("write", err))
		return
	}
	c.updateInterest()
}

// flushLater writes again after a back-off. Until then the poller is not asked for write events: the socket may well be
// writable, and the events would come without a pause.
func (c *Conn) flushLater() {
	if c.isWritePaused {
		return
	}
	c.isWritePaused = true
	c.loop.executeAfter(c.backOff.Next(), func() {
		c.isWritePaused = false
		c.flush()
	})
}

// updateInterest sets the events that the poller reports: read events always, and write events while unsent bytes wait.
func (c *Conn) updateInterest() {
	wantsWrite := len(c.unsent) > 0 && !c.isWritePaused
	if c.isClosed || c.readBackOff.isActive || c.isRegistered && wantsWrite == c.wantsWrite {
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
	case meaning.IsTemporary():
		c.loop.failures.Record(failure.Register, err, meaning)
		c.loop.executeAfter(c.backOff.Next(), c.updateInterest)
	default:
		c.loop.failures.Record(failure.Register, err, meaning)
		c.fail(err)
	}
}

// register adds the connection to the poller, or changes the events for which it is registered.
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
