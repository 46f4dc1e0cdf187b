package judge

import "time"

// dial is one connection of a proxy to a node on behalf of a session.
type dial struct {
	node       NodeID
	arrived    time.Duration
	mayHaveRun bool
	open       bool
	ended      time.Duration
	probe      func() bool // whether its connection has ended though the node has not read that yet; may be nil
}

// unknownDial is that of a session which the judge does not know.
const unknownDial Dial = -1

// DialArrived reports that a session's first line arrived whole at a node, its first byte at firstByte. The returned
// index identifies the dial in later calls. A resumed session is exempt from drains.
func (j *Judge) DialArrived(now, firstByte time.Duration, id SessionID, node NodeID, resumed bool) Dial {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.sessions[id]
	if s == nil {
		return unknownDial
	}
	d := &dial{node: node, arrived: now, mayHaveRun: true, open: true}
	for _, earlier := range s.dials {
		j.checkOverlap(now, s, earlier, node)
	}
	j.checkRepeat(now, s, d)
	s.dials = append(s.dials, d)
	published, known := j.drainKnownAt(now, s.proxy, node)
	if known && !resumed && firstByte > published+j.drainGrace+j.leeway {
		j.report(now, DrainIgnored, id, node, s.proxy, "dialled %v after the proxy was told of the drain, the grace is %v",
			(firstByte - published).Round(time.Millisecond), j.drainGrace)
	}
	return Dial(len(s.dials) - 1)
}

// checkOverlap reports an earlier dial that was still open when the next one arrived. It needs the lock.
func (j *Judge) checkOverlap(now time.Duration, s *session, earlier *dial, next NodeID) {
	if earlier.open && earlier.probe != nil && earlier.probe() { // guards against readers that a busy machine holds up
		earlier.open, earlier.ended = false, now
	}
	if !earlier.open {
		return
	}
	j.after(now+j.leeway, func(time.Duration) {
		if earlier.open || earlier.ended > now+j.leeway {
			j.report(now, DuplicateEffect, s.id, next, s.proxy, "dialled while its dial to node %d, %v before, was out",
				earlier.node, (now - earlier.arrived).Round(time.Millisecond))
		}
	})
}

// checkRepeat checks a further dial against what the first of the earlier ones that matters may have done. It needs the
// lock.
func (j *Judge) checkRepeat(now time.Duration, s *session, d *dial) {
	for _, earlier := range s.dials {
		if !earlier.mayHaveRun {
			continue
		}
		switch s.terms.Effect {
		case OnceOnly:
			j.report(now, DuplicateEffect, s.id, d.node, s.proxy,
				"once-only, dialled again though its dial to node %d may have run", earlier.node)
			return
		case Referenced:
			j.checkReferenced(now, s, earlier, d)
			return
		}
	}
}

// checkReferenced reports a repeat that the new node does not recognise. It needs the lock.
func (j *Judge) checkReferenced(now time.Duration, s *session, earlier, d *dial) {
	was, is := j.places[earlier.node], j.places[d.node]
	group := s.terms.Group
	if group == "zone" && was.Zone != is.Zone || group == "cell" && was.Cell != is.Cell {
		j.report(now, DuplicateEffect, s.id, d.node, s.proxy, "referenced, repeated outside the %s of node %d", group,
			earlier.node)
		return
	}
	if age := now - earlier.arrived; age > s.terms.RepeatWindow+j.leeway {
		j.report(now, DuplicateEffect, s.id, d.node, s.proxy, "referenced, repeated after %v, its window is %v",
			age.Round(time.Millisecond), s.terms.RepeatWindow)
	}
}

// SetDialProbe names what knows whether a dial's connection has ended, as the machine sees it: the node may not have
// read that yet. It must neither block nor call the judge.
func (j *Judge) SetDialProbe(id SessionID, n Dial, ended func() bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.dial(id, n); d != nil {
		d.probe = ended
	}
}

// DialRefused reports that the node answered BUSY: the dial has never run.
func (j *Judge) DialRefused(id SessionID, n Dial) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.dial(id, n); d != nil {
		d.mayHaveRun, d.open = false, false
	}
}

// ReceiptIssued reports the receipt that a node issued for a session.
func (j *Judge) ReceiptIssued(id SessionID, receipt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.sessions[id]; s != nil {
		s.receipts = append(s.receipts, receipt)
	}
}

// DialEnded reports that a dial's connection has ended, or that the proxy has shut down its sending side.
func (j *Judge) DialEnded(now time.Duration, id SessionID, n Dial) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.dial(id, n); d != nil && d.open {
		d.open, d.ended = false, now
	}
}

// dial needs the lock.
func (j *Judge) dial(id SessionID, n Dial) *dial {
	if s := j.sessions[id]; s != nil && n >= 0 && int(n) < len(s.dials) {
		return s.dials[n]
	}
	return nil
}
