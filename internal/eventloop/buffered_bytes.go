package eventloop

// bufferedBytes counts the bytes that all connections of a loop hold in this process: those received that their handlers have not
// discarded, and those written that the kernel has not taken.
type bufferedBytes struct {
	total           int
	max             int  // 0: no limit
	isReclaimQueued bool // a task of reclaim is queued
}

// SetMaxBufferedBytes limits how many bytes all connections together hold in this process. Over the limit OnOverflow is called for the
// connection that holds most, until it is met. It must be called on the loop, or before Run.
func (l *Loop) SetMaxBufferedBytes(bytes int) { l.buffered.max = bytes }

// BufferedBytes returns how many bytes all connections hold in this process.
func (l *Loop) BufferedBytes() int { return l.buffered.total }

// countBuffered updates the loop's count after the connection's buffers have changed.
func (c *Conn) countBuffered() {
	buffered := len(c.unsent)
	if !c.isBorrowed && !c.isClosed {
		buffered += len(c.pending)
	}
	b := &c.loop.buffered
	b.total += buffered - c.buffered
	c.buffered = buffered
	if b.max > 0 && b.total > b.max && !b.isReclaimQueued {
		b.isReclaimQueued = true
		c.loop.Execute(c.loop.reclaim) // the caller may be handling bytes of any connection
	}
}

// reclaim calls OnOverflow for the connections that hold most until the limit is met.
func (l *Loop) reclaim() {
	for l.buffered.total > l.buffered.max {
		largest := l.largestHolder()
		if largest == nil {
			break
		}
		l.handler.OnOverflow(largest)
	}
	l.buffered.isReclaimQueued = false
}

// largestHolder returns the connection that holds most bytes, nil if none holds any.
func (l *Loop) largestHolder() *Conn {
	var largest *Conn
	for _, c := range l.conns {
		if c.buffered > 0 && (largest == nil || c.buffered > largest.buffered || c.buffered == largest.buffered && c.fd < largest.fd) {
			largest = c
		}
	}
	return largest
}
