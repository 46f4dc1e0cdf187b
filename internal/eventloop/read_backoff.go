package eventloop

import "chalkferry/internal/failure"

// maxConsecutiveEmptyEvents is how many events in a row may find nothing to read before their descriptor is suspended. A few
// are normal: an event can be out of date by the time that it is handled.
const maxConsecutiveEmptyEvents = 4

// readBackOff is the state of a connection that is removed from the poller for a back-off. The poller is level-triggered and
// reports an error or a hang-up whether or not it was asked for, so a descriptor whose condition is not cleared by a read would
// be reported again at once, without end.
type readBackOff struct {
	consecutiveEmptyEvents int // events in a row whose read found nothing
	delay                  failure.BackOff
	isActive               bool // removed from the poller until the delay has passed
}

// reset is called after a successful read.
func (r *readBackOff) reset() {
	r.consecutiveEmptyEvents = 0
	r.delay.Reset()
}

// recordEmptyRead counts an event whose read found nothing, and suspends the connection after too many in a row.
func (c *Conn) recordEmptyRead(err error) {
	if c.readBackOff.consecutiveEmptyEvents++; c.readBackOff.consecutiveEmptyEvents > maxConsecutiveEmptyEvents {
		c.loop.failures.Record(failure.Read, err, failure.NotReady)
		c.suspendEvents()
	}
}

// suspendEvents removes the connection from the poller for a back-off. Writes continue meanwhile as long as the kernel accepts
// them at once.
func (c *Conn) suspendEvents() {
	if c.isClosed || c.readBackOff.isActive || !c.isRegistered {
		return
	}
	if err := c.loop.poller.Delete(c.fd); err != nil {
		c.loop.failures.Record(failure.Register, err, failure.Classify(failure.Register, err))
		return // tried again at the next event
	}
	c.isRegistered, c.readBackOff.isActive = false, true
	c.loop.executeAfter(c.readBackOff.delay.Next(), func() {
		c.readBackOff.isActive = false
		c.updateInterest()
	})
}
