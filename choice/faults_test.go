package choice

import (
	"testing"
	"time"
)

// TestDropped: a single broken connection says nothing about its server. Many at once, or one at a server known to be
// loaded, make it late.
func TestDropped(t *testing.T) {
	for _, c := range []struct {
		drops    int
		interval time.Duration
		delay    time.Duration
		late     bool
	}{{1, 0, 0, false}, {6, 1100 * ms, 0, false}, {6, 100 * ms, 0, true}, {1, 0, 80 * ms, true}} {
		r := newFleet(3)
		r.now = sec
		r.openSessions(60)
		srv := r.balancer.ready[0]
		if c.delay > 0 {
			r.balancer.RecordServerDelay(r.now, srv.ID, c.delay)
		}
		for i := 0; i < c.drops; i++ {
			r.now += c.interval
			s := srv.held[0]
			r.balancer.HandleDialEnd(r.now, s.ID, DialNumber(s.dials-1), srv.ID, ConnectionLost, 0, true)
		}
		if late := srv.loadLimit > 0; late != c.late {
			t.Errorf("%+v: late %v with %d held", c, late, len(srv.held))
		}
	}
}

// TestHang: a server that stays in the list but answers no dial is avoided, longer each time, and then tried with one dial
// at a time. Its sessions are moved when a delay is reported.
func TestHang(t *testing.T) {
	r := newFleet(6)
	r.openSessions(60)
	hung := r.topServer(1)
	before := len(hung.held)
	r.balancer.RecordServerDelay(r.now, hung.ID, time.Minute)
	if remaining := len(hung.held); remaining > before/2 {
		t.Errorf("the hung server still holds %d of %d sessions", remaining, before)
	}
	hung.lateAt, hung.delayReportedAt = 0, -time.Minute
	for round := range 3 {
		r.dialsTo[hung.ID], hung.loadLimit = nil, 0
		for key := Key(1); key <= 60; key++ {
			r.arrive(0, key, key, 0)
		}
		if dials := len(r.dialsTo[hung.ID]); dials != 1 && (round > 0 || dials == 0) {
			t.Errorf("the hung server was tried with %d dials at once", dials)
		}
		for _, s := range r.arrived {
			if s.dialing == hung.ID {
				r.endDial(s, TimedOut)
			}
		}
		if r.now = hung.avoidUntil; r.now < time.Duration(round+1)*r.balancer.maxDialTimeout {
			t.Errorf("the hung server is tried again at %v", r.now)
		}
	}
}

// TestNonexistentServers: lists may name servers that do not exist. Whether connections to one are refused, time out or are
// answered with errors, sessions soon avoid it. A server that answers that it is full exists, and is still tried.
func TestNonexistentServers(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, Unreachable, ServerFull} {
		r := newFleet(6)
		if outcome == ServerFull { // even after errors, this proves that the server exists
			r.topServer(1).failedDials = 2
		}
		r.balancer.recentOpened = 99
		missing, tries := r.topServer(1), 0
		for range 30 {
			r.now += 50 * ms
			s := r.arrive(0, 1, 1, 0)
			for s.dialing != 0 {
				if s.dialing == missing.ID {
					tries++
					r.endDial(s, outcome)
				} else {
					r.endDial(s, Accepted)
					break
				}
			}
		}
		if tries == 0 || (tries > 2) != (outcome == ServerFull) {
			t.Errorf("outcome %d: tried %d times by 30 sessions in 1.5 s", outcome, tries)
		}
	}
}
