package node

import (
	"net"
	"time"
)

// writeTimeout bounds a write to a proxy that does not read.
const writeTimeout = time.Second

// minTimerDelay is the shortest delay for which a timer is set; a line that is due sooner is written at once.
const minTimerDelay = time.Millisecond

// queuedLine is a line that is written when it is due.
type queuedLine struct {
	due    time.Duration // since the start of the run
	text   string
	isLast bool // the sending side is closed after it
}

func (c *conn) send(text string, wait time.Duration)     { c.enqueue(text, wait, false) }
func (c *conn) sendLast(text string, wait time.Duration) { c.enqueue(text, wait, true) }

// enqueue sends a line after a delay, and after all lines that are queued already.
func (c *conn) enqueue(text string, wait time.Duration, isLast bool) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	now := c.node.now()
	due := max(now+wait, c.lastDue, time.Duration(c.node.stalledUntil.Load()))
	c.lastDue = due
	c.queue = append(c.queue, queuedLine{due, text, isLast})
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	if due-now < minTimerDelay {
		c.flush(due)
	} else {
		time.AfterFunc(due-now, c.flushDue)
	}
}

// flushDue flushes when a timer fires.
func (c *conn) flushDue() {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	c.flush(c.node.now())
}

// flush writes the lines that are due and sets a timer for the rest. The caller must hold c.outMu.
func (c *conn) flush(now time.Duration) {
	if c.node.isolated.Load() {
		c.queue, c.flushScheduled = nil, false
		return
	}
	if until := time.Duration(c.node.stalledUntil.Load()); until > now {
		time.AfterFunc(until-now, c.flushDue)
		return
	}
	for len(c.queue) > 0 && c.queue[0].due <= now {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.conn.Write([]byte(next.text)) // the reader sees any failure
		if next.isLast {
			c.conn.(*net.TCPConn).CloseWrite()
			c.queue = nil
		}
	}
	if c.flushScheduled = len(c.queue) > 0; c.flushScheduled {
		time.AfterFunc(c.queue[0].due-now, c.flushDue)
	}
}
