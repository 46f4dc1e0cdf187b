package judge

import "time"

// dial is one connection from a proxy to a node on behalf of a session. Times are durations since the start of the run.
type dial struct {
	node       NodeID
	arrivedAt  time.Duration
	mayHaveRun bool // the node may have run the session; false once it has answered BUSY
	open       bool
	endedAt    time.Duration
	hasEnded   func() bool // reports an end of the connection that the node has not read yet; may be nil
}

// noDial is the index that is returned for a session unknown to the judge.
const noDial DialIndex = -1

// DialArrived reports that a session's complete first line arrived at a node; firstByte is when its first byte arrived.
// The returned index identifies the dial in later calls. The drain rule does not apply to resumed sessions.
func (j *Judge) DialArrived(now, firstByte time.Duration, id SessionID, node NodeID, resumed bool) DialIndex {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.sessions[id]
	if s == nil {
		return noDial
	}
	d := &dial{node: node, arrivedAt: now, mayHaveRun: true, open: true}
	for _, earlier := range s.dials {
		j.checkOverlap(now, s, earlier, node)
	}
	j.checkRepeat(now, s, d)
	s.dials = append(s.dials, d)
	learnedAt, known := j.drainLearnedAt(now, s.proxy, node)
	if known && !resumed && firstByte > learnedAt+j.drainGrace+j.leeway {
		j.report(now, DrainIgnored, id, node, s.proxy, "dialled %v after the proxy was notified of the drain, the grace is %v",
			(firstByte - learnedAt).Round(time.Millisecond), j.drainGrace)
	}
	return DialIndex(len(s.dials) - 1)
}

// checkOverlap reports an earlier dial that was still open when the next one arrived. The caller must hold j.mu.
func (j *Judge) checkOverlap(now time.Duration, s *session, earlier *dial, nextNode NodeID) {
	if earlier.open && earlier.hasEnded != nil && earlier.hasEnded() { // on a busy machine the node's reader may lag behind
		earlier.open, earlier.endedAt = false, now
	}
	if !earlier.open {
		return
	}
	j.schedule(now+j.leeway, func(time.Duration) {
		if earlier.open || earlier.endedAt > now+j.leeway {
			j.report(now, DuplicateEffect, s.id, nextNode, s.proxy, "dialled while its dial to node %d, %v before, was out",
				earlier.node, (now - earlier.arrivedAt).Round(time.Millisecond))
		}
	})
}

// checkRepeat checks whether a further dial could repeat the effect of an earlier dial that may have run; the first such
// dial decides. The caller must hold j.mu.
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

// checkReferenced reports a repeat that the new node can't recognise as one: it is outside the group that shares
// references, or comes after the repeat window. The caller must hold j.mu.
func (j *Judge) checkReferenced(now time.Duration, s *session, earlier, d *dial) {
	earlierPlace, newPlace := j.places[earlier.node], j.places[d.node]
	group := s.terms.Group
	if group == "zone" && earlierPlace.Zone != newPlace.Zone || group == "cell" && earlierPlace.Cell != newPlace.Cell {
		j.report(now, DuplicateEffect, s.id, d.node, s.proxy, "referenced, repeated outside the %s of node %d", group,
			earlier.node)
		return
	}
	if age := now - earlier.arrivedAt; age > s.terms.RepeatWindow+j.leeway {
		j.report(now, DuplicateEffect, s.id, d.node, s.proxy, "referenced, repeated after %v, its window is %v",
			age.Round(time.Millisecond), s.terms.RepeatWindow)
	}
}

// SetDialProbe sets the function that reports whether the kernel has already received the end of a dial's connection,
// which the node may not have read yet. The function must neither block nor call the judge.
func (j *Judge) SetDialProbe(id SessionID, index DialIndex, hasEnded func() bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.dial(id, index); d != nil {
		d.hasEnded = hasEnded
	}
}

// DialRefused reports that the node answered BUSY, so the session was not run there.
func (j *Judge) DialRefused(id SessionID, index DialIndex) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.dial(id, index); d != nil {
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

// DialEnded reports that a dial's connection has ended, or that the proxy has closed its sending side.
func (j *Judge) DialEnded(now time.Duration, id SessionID, index DialIndex) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.dial(id, index); d != nil && d.open {
		d.open, d.endedAt = false, now
	}
}

// dial returns a session's dial by index, or nil if there is none. The caller must hold j.mu.
func (j *Judge) dial(id SessionID, index DialIndex) *dial {
	if s := j.sessions[id]; s != nil && index >= 0 && int(index) < len(s.dials) {
		return s.dials[index]
	}
	return nil
}
