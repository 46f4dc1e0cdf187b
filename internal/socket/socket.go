// Package socket is the connection type shared by the client and server sides of sessions: one connection on the event loop, with
// bounded buffers and with the ways to end it that the sides need. It also counts the descriptors of the process, see
// ConnectionLimit. It does not interpret lines; that is up to the Owner of a connection.
package socket

import (
	"container/list"
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/eventloop"
	"chalkferry/internal/failure"
	"chalkferry/internal/timers"
)

// End is how a connection ended.
type End int

const (
	Finished End = iota // gracefully, with a FIN
	Reset               // with a RST, or after an error
	Broken              // by the network: the other end has not ended the connection, and may still be there
)

// String returns the name of the end in logs.
func (e End) String() string {
	return [...]string{Finished: "fin", Reset: "reset", Broken: "broken"}[e]
}

// Owner is the client or server side that a connection belongs to. Its methods are called on the event loop.
type Owner interface {
	// Read handles the whole lines in the buffer and returns their size in bytes.
	Read(buf []byte) int
	// HandleEnd is called when the other end has ended the connection, or when the network has broken it. A Broken connection
	// still takes a last line, which arrives if the failure has passed, and the owner must end it. HandleEnd is not called for a
	// connection that the owner has ended.
	HandleEnd(how End)
	// HandleOverflow is called when more bytes would wait to be sent than may, as the other end reads too slowly, or when this
	// connection holds most of the bytes of all, and they are too many. What is written from then on is dropped, so the owner must
	// end the connection. If it does not do so at once, it may be called again, and must then.
	HandleOverflow()
}

type state int

const (
	open      state = iota
	finishing       // the last line is written; waits for the other end to close
	closed
)

// Conn is one connection. It is used on the event loop only.
type Conn struct {
	conn          *eventloop.Conn
	owner         Owner
	limit         *ConnectionLimit
	timers        *timers.Timers
	runAfterEvent func(func())  // calls back once the current event is handled
	lingerTimeout time.Duration // how long a finishing connection waits for the other end to close
	maxBuffered   int           // bytes that may wait to be sent, or be discarded after the last line
	state         state
	lingerTimer   *timers.Timer // while finishing
	spareEntry    *list.Element // in the limit, while finishing
	hasOverflowed bool          // HandleOverflow was called, or is about to be; nothing more is written
	discarded     int           // bytes received while finishing
	unsent        int           // once closed: bytes written that the kernel never took
	err           error         // with which the connection ended; nil if it ended gracefully or was ended by the owner
}

// New takes over a connection that is already counted in the limit. runAfterEvent calls back once the current event is handled.
// lingerTimeout bounds the wait for the other end's close after a last line; maxBuffered bounds the bytes that wait to be sent.
func New(conn *eventloop.Conn, owner Owner, limit *ConnectionLimit, t *timers.Timers, runAfterEvent func(func()), lingerTimeout time.Duration,
	maxBuffered int) *Conn {
	return &Conn{conn: conn, owner: owner, limit: limit, timers: t, runAfterEvent: runAfterEvent, lingerTimeout: lingerTimeout, maxBuffered: maxBuffered}
}

// HandleTraffic passes received bytes on to the owner, or discards them while the connection is finishing.
func (c *Conn) HandleTraffic() {
	n := len(c.conn.Pending())
	if n == 0 || c.state == closed {
		return
	}
	if c.state == open {
		n = c.owner.Read(c.conn.Pending())
	}
	if n > 0 && c.state != closed {
		c.conn.Discard(n)
	}
	if c.state == finishing {
		if c.discarded += n; c.discarded > c.maxBuffered { // the other end keeps sending instead of closing
			c.Reset()
		}
	}
}

// Err returns the error of the read or write that ended the connection, or nil if it ended gracefully or was ended by its owner.
func (c *Conn) Err() error { return c.err }

// ReadAgain passes the bytes that the owner has left in the buffer to it once more.
func (c *Conn) ReadAgain() { c.HandleTraffic() }

// ReadAvailable passes bytes to the owner that have been received but not been read by the event loop yet, and returns their
// number. It must not be called while the owner handles a call of Read.
func (c *Conn) ReadAvailable() (size int, result eventloop.ReadResult) {
	if c.state != open {
		return 0, eventloop.ReadEnded
	}
	size, result = c.conn.ReadAvailable()
	switch {
	case c.state != open: // ended by its owner
		result = eventloop.ReadEnded
	case result == eventloop.ReadAll && c.PeerState() == PeerSent: // the last read found nothing, though bytes wait
		result = eventloop.ReadSome
	}
	return size, result
}

// PendingSize returns how many bytes have been read that the owner has left in the buffer.
func (c *Conn) PendingSize() int { return len(c.conn.Pending()) }

// Write sends whole lines. If the other end reads too slowly, so that more than maxBuffered bytes would wait, it drops them, and has
// the owner end the connection once the current event is handled.
func (c *Conn) Write(lines []byte) {
	if c.state != open || c.hasOverflowed {
		return
	}
	if c.conn.Unsent()+len(lines) > c.maxBuffered {
		c.hasOverflowed = true
		c.runAfterEvent(c.overflow)
		return
	}
	c.conn.Write(lines)
}

// overflow has the owner end the connection.
func (c *Conn) overflow() {
	if c.state == open {
		c.hasOverflowed = true
		c.owner.HandleOverflow()
	}
}

// Evict brings the connection closer to its end, as all connections together hold too many bytes and this one most: an open one is
// ended by its owner, any other is closed.
func (c *Conn) Evict() {
	if c.state == open {
		c.overflow()
		return
	}
	c.Reset()
}

// Unsent returns how many of the bytes written the kernel has not taken yet, so that the other end can't have received them. Once
// the connection is closed, it returns how many the kernel never took.
func (c *Conn) Unsent() int {
	if c.state == closed {
		return c.unsent
	}
	return c.conn.Unsent()
}

// PeerState is what the other end has done since the event loop last read the connection.
type PeerState int

const (
	PeerWaiting    PeerState = iota // nothing
	PeerSent                        // it has sent something
	PeerLeft                        // it has ended the connection
	PeerPathFailed                  // nothing, but the network has broken the connection
)

// maxAttempts bounds how often a system call is made again at once after a temporary failure.
const maxAttempts = 100

// PeerState asks the kernel what the other end has done. The kernel may know of a close before the event loop does: the loop may
// have been held up, or have more to read than it does in one round. An ended connection counts as PeerLeft.
func (c *Conn) PeerState() PeerState {
	if c.state != open {
		return PeerLeft
	}
	var firstByte [1]byte
	for range maxAttempts {
		n, _, err := unix.Recvfrom(c.conn.FD(), firstByte[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch failure.Classify(failure.Read, err) {
		case failure.None:
			if n > 0 {
				return PeerSent
			}
			return PeerLeft
		case failure.NotReady:
			return PeerWaiting
		case failure.Interrupted, failure.Exhausted: // no answer yet: ask again
		case failure.Broken:
			return PeerPathFailed
		default:
			return PeerLeft
		}
	}
	return PeerWaiting
}

// Finish sends a last line, if any, and closes the connection gracefully. Closing it while received bytes are unread would send a
// RST, and the other end might lose the last line; so only sending is shut down, and the other end's close is awaited for a while.
func (c *Conn) Finish(lastLine []byte) {
	if c.state != open {
		return
	}
	if len(lastLine) > 0 {
		c.conn.Write(lastLine)
	}
	if c.state != open { // closed by a write that failed
		return
	}
	c.state = finishing
	c.spareEntry = c.limit.AddSpare(c.Reset)
	c.lingerTimer = c.timers.After(c.lingerTimeout, c.Reset)
	c.shutdownWrite()
}

// shutdownChecks is how often within lingerTimeout shutdownWrite checks whether the last line is written.
const shutdownChecks = 16

// shutdownWrite shuts down sending (FIN) once everything is written. After a temporary failure it tries again sooner than the next
// check.
func (c *Conn) shutdownWrite() {
	if c.state != finishing {
		return
	}
	if c.conn.Unsent() > 0 {
		c.timers.After(c.lingerTimeout/shutdownChecks, c.shutdownWrite)
		return
	}
	err := unix.Shutdown(c.conn.FD(), unix.SHUT_WR)
	switch meaning := failure.Classify(failure.Option, err); {
	case meaning == failure.None:
	case meaning.IsTemporary():
		c.timers.After(c.lingerTimeout/shutdownChecks/shutdownChecks, c.shutdownWrite)
	default:
		c.Reset()
	}
}

// Drop sends a last line and closes the descriptor at once. Bytes received by then are read and discarded first: closing with
// unread bytes would send a RST, and the other end would lose the line. Bytes that arrive later may still have that effect.
func (c *Conn) Drop(lastLine []byte) {
	if c.state != open {
		return
	}
	c.conn.Write(lastLine)
	if c.state != open { // closed by a write that failed
		return
	}
	c.discardReceived()
	c.close()
}

// discardReceived reads the bytes received so far and discards them.
func (c *Conn) discardReceived() {
	var buffer [4 << 10]byte
	interrupts := 0
	for read := 0; read < c.maxBuffered; { // bounded, as the other end may keep sending
		n, err := unix.Read(c.conn.FD(), buffer[:])
		if failure.Classify(failure.Read, err) == failure.Interrupted && interrupts < maxAttempts {
			interrupts++
			continue
		}
		if err != nil || n == 0 {
			return
		}
		read += n
	}
}

// Reset closes the connection with a RST. Bytes that wait to be sent are dropped.
func (c *Conn) Reset() {
	if c.state == closed {
		return
	}
	noLinger := unix.Linger{Onoff: 1} // with a linger time of 0, close sends a RST
	for range maxAttempts {
		err := unix.SetsockoptLinger(c.conn.FD(), unix.SOL_SOCKET, unix.SO_LINGER, &noLinger)
		if !failure.Classify(failure.Option, err).IsTemporary() {
			break
		}
	}
	c.close()
}

// EndAs ends the connection the same way as the connection on the session's other side ended, without a last line.
func (c *Conn) EndAs(how End) {
	if how == Finished {
		c.Finish(nil)
	} else {
		c.Reset()
	}
}

// close closes the descriptor.
func (c *Conn) close() {
	c.unsent = c.conn.Unsent()
	c.release()
	c.conn.Close()
}

// release sets the state to closed and gives back the timer and the descriptor's place in the limit.
func (c *Conn) release() {
	c.state = closed
	c.timers.Stop(c.lingerTimer)
	c.limit.RemoveSpare(c.spareEntry)
	c.limit.Release(1)
}

// HandleClose handles that the event loop closes the connection. It may be called in the middle of a write, so the owner is
// notified once the current event is handled.
func (c *Conn) HandleClose(err error) {
	previous := c.state
	if previous == closed {
		return
	}
	c.unsent = c.conn.Unsent()
	c.release()
	if previous == open {
		how := Reset
		if errors.Is(err, io.EOF) {
			how = Finished
		} else {
			c.err = err
		}
		c.runAfterEvent(func() { c.owner.HandleEnd(how) })
	}
}

// HandleBroken handles that the network has broken the connection, though the other end has not ended it. A finishing connection is
// left alone: its last line may still arrive, and lingerTimeout bounds its time.
func (c *Conn) HandleBroken(err error) {
	if c.state != open {
		return
	}
	c.err = err
	c.runAfterEvent(func() {
		if c.state == open {
			c.owner.HandleEnd(Broken)
		}
	})
}
