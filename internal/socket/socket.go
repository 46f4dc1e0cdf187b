// Package socket is what the sides of a session have in common: one connection on the event loop that hands
// on whole lines and ends as it is told.
package socket

import (
	"container/list"
	"errors"
	"io"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"chalkferry/internal/timers"
)

// End is how a connection ended.
type End int

const (
	Finished End = iota // in good order
	Reset
)

func (e End) String() string {
	if e == Finished {
		return "fin"
	}
	return "reset"
}

// Owner is the side that a connection belongs to.
type Owner interface {
	// Read takes whole lines off the buffer and returns how many bytes they are.
	Read(buf []byte) int
	// Ended tells that the other end has ended the connection. It is not called for what the owner ended.
	Ended(how End)
}

type state int

const (
	open      state = iota
	finishing       // all is said; the other end's goodbye is awaited
	closed
)

// Conn is one connection.
type Conn struct {
	conn   gnet.Conn
	owner  Owner
	room   *Room
	timers *timers.Timers
	later  func(func())  // calls back once the event at hand is through
	linger time.Duration // for the other end's goodbye
	most   int           // bytes waiting to be written
	state  state
	last   *timers.Timer
	spare  *list.Element
	unread int   // bytes that have come since the goodbye
	unsent int   // bytes of what was written last that this machine never took, once the connection has ended
	err    error // with which the connection ended, nil where it ended in good order or by its owner
}

// New takes over a connection, for which the room was taken already.
func New(conn gnet.Conn, owner Owner, room *Room, t *timers.Timers, later func(func()), linger time.Duration,
	most int) *Conn {
	return &Conn{conn: conn, owner: owner, room: room, timers: t, later: later, linger: linger, most: most}
}

// Traffic hands on what has come.
func (c *Conn) Traffic() {
	n := c.conn.InboundBuffered()
	if n == 0 || c.state == closed {
		return
	}
	if c.state == open {
		buf, err := c.conn.Peek(n)
		if err != nil {
			return
		}
		n = c.owner.Read(buf)
	}
	if n > 0 && c.state != closed {
		c.conn.Discard(n)
	}
	if c.state == finishing {
		if c.unread += n; c.unread > c.most { // guards against one that sends on and on
			c.Reset()
		}
	}
}

// Err is the error with which the connection ended, nil where it ended in good order or by its owner. The source is the
// kernel's answer to a read or write.
func (c *Conn) Err() error { return c.err }

// Again reads once more what the owner has left in the buffer.
func (c *Conn) Again() { c.Traffic() }

// Write sends whole lines. A reader too slow to take them is cut off: what waits for it must not grow.
func (c *Conn) Write(lines []byte) {
	if c.state != open {
		return
	}
	if c.conn.OutboundBuffered()+len(lines) > c.most {
		c.Reset()
		c.later(func() { c.owner.Ended(Reset) })
		return
	}
	if n, err := c.conn.Write(lines); err != nil && n == 0 {
		c.unsent = len(lines)
	}
}

// Unsent is how many bytes of what was written this machine has not taken yet: the other end can't have them. After
// the end of the connection it is how many it never took.
func (c *Conn) Unsent() int {
	if c.state == closed {
		return c.unsent
	}
	return c.conn.OutboundBuffered()
}

// Peer is what the other end has done that the event loop has not read yet.
type Peer int

const (
	Waits  Peer = iota // nothing
	Speaks             // something has come
	Left               // it has ended the connection
)

// Peer asks the machine, which knows of a goodbye before the loop does: the loop may have stood still, or have more
// to read than one turn takes.
func (c *Conn) Peer() Peer {
	if c.state != open {
		return Left
	}
	var first [1]byte
	switch n, _, err := unix.Recvfrom(c.conn.Fd(), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
	case err == nil && n > 0:
		return Speaks
	case err == nil, err == unix.ECONNRESET, err == unix.EPIPE, err == unix.ETIMEDOUT:
		return Left
	}
	return Waits
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
	c.spare = c.room.Spare(c.Reset)
	c.last = c.timers.After(c.linger, c.Reset)
	c.sayGoodbye()
}

func (c *Conn) sayGoodbye() {
	switch {
	case c.state != finishing:
	case c.conn.OutboundBuffered() > 0:
		c.timers.After(c.linger/16, c.sayGoodbye)
	default:
		if unix.Shutdown(c.conn.Fd(), unix.SHUT_WR) != nil {
			c.Reset()
		}
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
	var away [4 << 10]byte
	for read := 0; read < c.most; { // guards against one that sends on and on
		n, err := unix.Read(c.conn.Fd(), away[:])
		if err != nil || n == 0 {
			break
		}
		read += n
	}
	c.close()
}

// Reset cuts the connection off.
func (c *Conn) Reset() {
	if c.state == closed {
		return
	}
	c.conn.SetLinger(0)
	c.close()
}

// Cut cuts the connection off and has nothing of what waits to be written go out any more: the event loop writes
// what it can before it closes, and a line given up could still be completed.
func (c *Conn) Cut() {
	if c.state != closed && c.conn.OutboundBuffered() > 0 {
		unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
	}
	c.Reset()
}

// EndAs ends the connection as the other side's was ended.
func (c *Conn) EndAs(how End) {
	if how == Reset {
		c.Reset()
	} else {
		c.Finish(nil)
	}
}

func (c *Conn) close() {
	conn := c.conn
	c.unsent = conn.OutboundBuffered()
	c.leave()
	conn.EventLoop().Close(conn)
}

func (c *Conn) leave() {
	c.state = closed
	c.timers.Stop(c.last)
	c.room.Keep(c.spare)
	c.room.Give(1)
}

// Closed tells that the event loop has closed the connection. It may come in the midst of a write, so the
// owner is told later.
func (c *Conn) Closed(err error) {
	was := c.state
	if was == closed {
		return
	}
	c.unsent = c.conn.OutboundBuffered()
	c.leave()
	if was == open {
		how := Reset
		if errors.Is(err, io.EOF) {
			how = Finished
		} else {
			c.err = err
		}
		c.later(func() { c.owner.Ended(how) })
	}
}

// Room counts the descriptors that the process may still open, and knows the connections that may be given up when
// they run short: those that have asked for nothing, and those that have had their last line.
type Room struct {
	free, least int
	spare       list.List // of func(), the longest there first
}

const leastFree = 8 // one in so many is kept for those who come next

func NewRoom(most int) *Room { return &Room{free: most, least: most / leastFree} }

func (r *Room) Take(n int) { r.free -= n }
func (r *Room) Give(n int) { r.free += n }
func (r *Room) Free() int  { return r.free }

// Spares is how many connections are spare.
func (r *Room) Spares() int { return r.spare.Len() }

// Spare names what gives a connection up.
func (r *Room) Spare(giveUp func()) *list.Element { return r.spare.PushBack(giveUp) }

// Keep takes that back; nil and one that was given up are fine.
func (r *Room) Keep(spare *list.Element) {
	if spare != nil {
		r.spare.Remove(spare)
	}
}

// Relieve gives up the connection that has been spare longest, if descriptors are short and it is not the only one.
// It guards against silent clients by the hundred: one goes for each that comes.
func (r *Room) Relieve() {
	if r.free < r.least && r.spare.Len() > 1 {
		r.spare.Remove(r.spare.Front()).(func())()
	}
}
