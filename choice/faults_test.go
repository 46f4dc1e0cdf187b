package choice

import (
	"testing"
	"time"
)

// TestDropped: a session that breaks off alone says nothing of its server; a good part of them at once, or one at a
// server known to be loaded, does.
func TestDropped(t *testing.T) {
	for _, c := range []struct {
		broken int
		every  time.Duration
		delay  time.Duration
		late   bool
	}{{1, 0, 0, false}, {6, 1100 * ms, 0, false}, {6, 100 * ms, 0, true}, {1, 0, 80 * ms, true}} {
		r := fleet(3)
		r.now = sec
		r.fill(60)
		srv := r.b.ready[0]
		if c.delay > 0 {
			r.b.RecordServerDelay(r.now, srv.ID, c.delay)
		}
		for i := 0; i < c.broken; i++ {
			r.now += c.every
			s := srv.held[0]
			r.b.HandleDialEnd(r.now, s.ID, DialNumber(s.dials-1), srv.ID, ConnectionLost, 0, true)
		}
		if late := srv.loadLimit > 0; late != c.late {
			t.Errorf("%+v: late %v with %d held", c, late, len(srv.held))
		}
	}
}

// TestHang: a server that passes probes and the list but answers no dial is left alone, longer each time, and
// then tried with one dial at a time; its sessions leave with the word of the delay.
func TestHang(t *testing.T) {
	r := fleet(6)
	r.fill(60)
	hung := r.topServer(1)
	before := len(hung.held)
	r.b.RecordServerDelay(r.now, hung.ID, time.Minute)
	if left := len(hung.held); left > before/2 {
		t.Errorf("the hung server still holds %d of %d sessions", left, before)
	}
	hung.lateAt, hung.delayReportedAt = 0, -time.Minute
	for tries := range 3 {
		r.dialsTo[hung.ID], hung.loadLimit = nil, 0
		for k := Key(1); k <= 60; k++ {
			r.arrive(0, k, k, 0)
		}
		if n := len(r.dialsTo[hung.ID]); n != 1 && (tries > 0 || n == 0) {
			t.Errorf("the hung server was tried with %d dials at once", n)
		}
		for _, s := range r.order {
			if s.dialing == hung.ID {
				r.settle(s, TimedOut)
			}
		}
		if r.now = hung.avoidUntil; r.now < time.Duration(tries+1)*r.b.maxDialTimeout {
			t.Errorf("the hung server is tried again at %v", r.now)
		}
	}
}

// TestGhosts: from lists that name servers which do not exist: whether such a one refuses, stays silent or answers with
// errors, sessions soon pass it by.
func TestGhosts(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, Unreachable, ServerFull} {
		r := fleet(6)
		if outcome == ServerFull { // which after errors proves that it is there
			r.topServer(1).failedDials = 2
		}
		r.b.recentOpened = 99
		ghost, tries := r.topServer(1), 0
		for range 30 {
			r.now += 50 * ms
			s := r.arrive(0, 1, 1, 0)
			for s.dialing != 0 {
				if s.dialing == ghost.ID {
					tries++
					r.settle(s, outcome)
				} else {
					r.settle(s, Accepted)
					break
				}
			}
		}
		if tries == 0 || (tries > 2) != (outcome == ServerFull) {
			t.Errorf("outcome %d: tried %d times by 30 sessions in a second and a half", outcome, tries)
		}
	}
}
