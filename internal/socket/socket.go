// Package socket is what the sides of a session have in common: one connection on the event loop that hands
// on whole lines and ends as it is told.
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
	Finished End = iota // in good order
	Reset
	Broken // by the network: the other end has ended nothing, and may be well
)

func (e End) String() string {
	return [...]string{Finished: "fin", Reset: "reset", Broken: "broken"}[e]
}

// Owner is the side that a connection belongs to.
type Owner interface {
	// Read takes whole lines off the buffer and returns how many bytes they are.
	Read(buf []byte) int
	// HandleEnd tells that the other end has ended the connection, or that it is broken. One that is broken still takes a last
	// line, which arrives if the failure has passed, and must be ended by the owner. It is not called for what the owner
	// ended.
	HandleEnd(how End)
}

type state int

const (
	open      state = iota
	finishing       // all is written; the other end's close is awaited
	closed
)

// Conn is one connection.
type Conn struct {
	conn          *eventloop.Conn
	owner         Owner
	limit         *ConnectionLimit
	timers        *timers.Timers
	runAfterEvent func(func())  // calls back once the event at hand is through
	lingerTimeout time.Duration // for the other end's close
	maxBuffered   int           // bytes waiting to be written
	state         state
	lingerTimer   *timers.Timer
	spareEntry    *list.Element
	discarded     int   // bytes that have come since the goodbye
	unsent        int   // bytes of what was written last that this machine never took, once the connection has ended
	err           error // with which the connection ended, nil where it ended in good order or by its owner
}

// New takes over a connection, which counts in the limit already.
func New(conn *eventloop.Conn, owner Owner, limit *ConnectionLimit, t *timers.Timers, later func(func()), linger time.Duration,
	most int) *Conn {
	return &Conn{conn: conn, owner: owner, limit: limit, timers: t, runAfterEvent: later, lingerTimeout: linger, maxBuffered: most}
}

// HandleTraffic hands on what has come.
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
		if c.discarded += n; c.discarded > c.maxBuffered { // guards against one that sends on and on
			c.Reset()
		}
	}
}

// Err is the error with which the connection ended, nil where it ended in good order or by its owner. The source is the
// kernel's answer to a read or write.
func (c *Conn) Err() error { return c.err }

// ReadAgain reads once more what the owner has left in the buffer.
func (c *Conn) ReadAgain() { c.HandleTraffic() }

// Write sends whole lines. A reader too slow to take them is cut off: what waits for it must not grow.
func (c *Conn) Write(lines []byte) {
	if c.state != open {
		return
	}
	if c.conn.Unsent()+len(lines) > c.maxBuffered {
		c.Reset()
		c.runAfterEvent(func() { c.owner.HandleEnd(Reset) })
		return
	}
	c.conn.Write(lines)
}

// Unsent is how many bytes of what was written this machine has not taken yet: the other end can't have them. After
// the end of the connection it is how many it never took.
func (c *Conn) Unsent() int {
	if c.state == closed {
		return c.unsent
	}
	return c.conn.Unsent()
}

// PeerState is what the other end has done that the event loop has not read yet.
type PeerState int

const (
	PeerWaiting    PeerState = iota // nothing
	PeerSent                        // something has come
	PeerLeft                        // it has ended the connection
	PeerPathFailed                  // nothing, but the connection is broken
)

// maxAttempts is how often Peer asks when the call fails for a moment.
const maxAttempts = 100

// PeerState asks the kernel, which knows of a close before the loop does: the loop may have been held up, or have more to read
// than one round takes.
func (c *Conn) PeerState() PeerState {
	if c.state != open {
		return PeerLeft
	}
	var first [1]byte
	for range maxAttempts {
		n, _, err := unix.Recvfrom(c.conn.FD(), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch failure.Classify(failure.Read, err) {
		case failure.None:
			if n > 0 {
				return PeerSent
			}
			return PeerLeft
		case failure.NotReady:
			return PeerWaiting
		case failure.Interrupted, failure.Exhausted: // nothing is known yet
		case failure.Broken:
			return PeerPathFailed
		default:
			return PeerLeft
		}
	}
	return PeerWaiting
}

// Finish sends a last line, if any, and ends the connection in good order. Closing while something unread has
// come would reset it, and the other end might lose the last line, so its goodbye is awaited for a while.
func (c *Conn) Finish(lines []byte) {
	if c.state != open {
		return
	}
	if len(lines) > 0 {
		c.conn.Write(lines)
	}
	if c.state != open { // the write may have failed
		return
	}
	c.state = finishing
	c.spareEntry = c.limit.AddSpare(c.Reset)
	c.lingerTimer = c.timers.After(c.lingerTimeout, c.Reset)
	c.shutdownWrite()
}

// shutdownChecks is how often, in the time for the other end's close, it is looked whether the last line is written.
const shutdownChecks = 16

// shutdownWrite ends this end's sending once all is written.
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

// Drop sends a last line and gives the descriptor back at once. What has come by then is read away, as closing would
// reset the connection over it and the other end lose the line; what comes later may still cost it that.
func (c *Conn) Drop(lines []byte) {
	if c.state != open {
		return
	}
	c.conn.Write(lines)
	if c.state != open { // the write may have failed
		return
	}
	c.discardReceived()
	c.close()
}

// discardReceived reads what has come and drops it.
func (c *Conn) discardReceived() {
	var away [4 << 10]byte
	interrupts := 0
	for read := 0; read < c.maxBuffered; { // guards against one that sends on and on
		n, err := unix.Read(c.conn.FD(), away[:])
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

// Reset cuts the connection off. Nothing of what waits to be written goes out any more.
func (c *Conn) Reset() {
	if c.state == closed {
		return
	}
	none := unix.Linger{Onoff: 1}
	for range maxAttempts {
		err := unix.SetsockoptLinger(c.conn.FD(), unix.SOL_SOCKET, unix.SO_LINGER, &none)
		if !failure.Classify(failure.Option, err).IsTemporary() {
			break
		}
	}
	c.close()
}

// EndAs ends the connection as the other side's was ended.
func (c *Conn) EndAs(how End) {
	if how == Finished {
		c.Finish(nil)
	} else {
		c.Reset()
	}
}

func (c *Conn) close() {
	c.unsent = c.conn.Unsent()
	c.release()
	c.conn.Close()
}

func (c *Conn) release() {
	c.state = closed
	c.timers.Stop(c.lingerTimer)
	c.limit.RemoveSpare(c.spareEntry)
	c.limit.Release(1)
}

// HandleClose tells that the event loop closes the connection. It may come in the midst of a write, so the owner is told later.
func (c *Conn) HandleClose(err error) {
	was := c.state
	if was == closed {
		return
	}
	c.unsent = c.conn.Unsent()
	c.release()
	if was == open {
		how := Reset
		if errors.Is(err, io.EOF) {
			how = Finished
		} else {
			c.err = err
		}
		c.runAfterEvent(func() { c.owner.HandleEnd(how) })
	}
}

// HandleBroken tells that the connection is broken though the other end has ended nothing. One that is finishing goes on: its last
// line may still arrive, and its time is limited.
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
