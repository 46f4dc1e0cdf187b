package node

import (
	"net"
	"time"
)

// writeTimeout bounds a write to a proxy that does not read.
const writeTimeout = time.Second

// minTimerDelay is the shortest wait for which a timer is set; a line that is due sooner is written at once.
const minTimerDelay = time.Millisecond

// queuedLine is a line that waits until it is due.
type queuedLine struct {
	due    time.Duration
	text   string
	isLast bool
}

func (c *conn) send(text string, wait time.Duration)     { c.enqueue(text, wait, false) }
func (c *conn) sendLast(text string, wait time.Duration) { c.enqueue(text, wait, true) }

// enqueue sends a line after a wait, and not before the lines that are queued already.
func (c *conn) enqueue(text string, wait time.Duration, isLast bool) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	now := c.node.now()
	due := max(now+wait, c.lastDue, time.Duration(c.node.pausedUntil.Load()))
	c.lastDue = due
	c.queue = append(c.queue, queuedLine{due, text, isLast})
	if c.waiting {
		return
	}
	c.waiting = true
	if due-now < minTimerDelay {
		c.flush(due)
	} else {
		time.AfterFunc(due-now, c.flushDue)
	}
}

func (c *conn) flushDue() {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	c.flush(c.node.now())
}

// flush writes the lines that are due and sets a timer for the rest. It needs the lock of the output.
func (c *conn) flush(now time.Duration) {
	if c.node.cutOff.Load() {
		c.queue, c.waiting = nil, false
		return
	}
	if until := time.Duration(c.node.pausedUntil.Load()); until > now {
		time.AfterFunc(until-now, c.flushDue)
		return
	}
	for len(c.queue) > 0 && c.queue[0].due <= now {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.conn.Write([]byte(next.text)) // a failure shows at the reader
		if next.isLast {
			c.conn.(*net.TCPConn).CloseWrite()
			c.queue = nil
		}
	}
	if c.waiting = len(c.queue) > 0; c.waiting {
		time.AfterFunc(c.queue[0].due-now, c.flushDue)
	}
}
