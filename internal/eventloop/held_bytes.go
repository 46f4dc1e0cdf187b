package eventloop

// heldBytes counts the bytes that all connections of a loop hold in this process: those received that their handlers have not
// discarded, and those written that the kernel has not taken.
type heldBytes struct {
	total           int
	max             int  // 0: no limit
	isReclaimQueued bool // a task of reclaim is queued
}

// SetMaxHeldBytes limits how many bytes all connections together hold in this process. Over the limit OnOverflow is called for the
// connection that holds most, until it is met. It must be called on the loop, or before Run.
func (l *Loop) SetMaxHeldBytes(bytes int) { l.held.max = bytes }

// HeldBytes returns how many bytes all connections hold in this process.
func (l *Loop) HeldBytes() int { return l.held.total }

// countHeld updates the loop's count after the connection's buffers have changed.
func (c *Conn) countHeld() {
	held := len(c.unsent)
	if !c.isBorrowed && !c.isClosed {
		held += len(c.pending)
	}
	h := &c.loop.held
	h.total += held - c.held
	c.held = held
	if h.max > 0 && h.total > h.max && !h.isReclaimQueued {
		h.isReclaimQueued = true
		c.loop.Execute(c.loop.reclaim) // the caller may be handling bytes of any connection
	}
}

// reclaim calls OnOverflow for the connections that hold most until the limit is met.
func (l *Loop) reclaim() {
	for l.held.total > l.held.max {
		largest := l.largestHolder()
		if largest == nil {
			break
		}
		l.handler.OnOverflow(largest)
	}
	l.held.isReclaimQueued = false
}

// largestHolder returns the connection that holds most bytes, nil if none holds any.
func (l *Loop) largestHolder() *Conn {
	var largest *Conn
	for _, c := range l.conns {
		if c.held > 0 && (largest == nil || c.held > largest.held || c.held == largest.held && c.fd < largest.fd) {
			largest = c
		}
	}
	return largest
}
