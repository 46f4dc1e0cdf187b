package eventloop

import "chalkferry/internal/failure"

// maxEmptyEvents is how many events in a row may bring nothing before their descriptor rests. One may: an event can be out of
// date by the time that it is handled.
const maxEmptyEvents = 4

// rest is the state of a connection that is taken from the poller for a back-off. The poller is level-triggered and reports an
// error or a hang-up whatever it was asked for, so that a descriptor whose event is not cleared by a read would be reported again
// at once, without end.
type rest struct {
	emptyEvents int // in a row
	pause       failure.BackOff
	isActive    bool
}

func (r *rest) reset() {
	r.emptyEvents = 0
	r.pause.Reset()
}

// readNothing counts an event whose read found nothing, and lets the connection rest after some in a row.
func (c *Conn) readNothing(err error) {
	if c.rest.emptyEvents++; c.rest.emptyEvents > maxEmptyEvents {
		c.loop.failures.Note(failure.Read, err, failure.NotReady)
		c.restFromEvents()
	}
}

// restFromEvents takes the connection from the poller for a back-off. Writes go on meanwhile, as long as the kernel takes them
// at once.
func (c *Conn) restFromEvents() {
	if c.isClosed || c.rest.isActive || !c.isRegistered {
		return
	}
	if err := c.loop.poller.Delete(c.fd); err != nil {
		c.loop.failures.Note(failure.Register, err, failure.Classify(failure.Register, err))
		return // it rests after its next event
	}
	c.isRegistered, c.rest.isActive = false, true
	c.loop.after(c.rest.pause.Next(), func() {
		c.rest.isActive = false
		c.updateInterest()
	})
}
