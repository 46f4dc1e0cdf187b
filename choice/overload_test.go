package choice

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestOverload: from a day without end of drops, what finds all servers full is refused at once, with a
// time to come back, and not dialed.
func TestOverload(t *testing.T) {
	r := fleet(4)
	r.fill(20)
	r.now = sec
	for _, srv := range r.b.ready {
		r.b.RecordServerDelay(r.now, srv.ID, 400*ms)
	}
	for range 2 {
		if s := r.arrive(0, 99, 99, 0); s.dials != 0 || s.answer != "refused" || s.retryAfter <= 0 {
			t.Errorf("%d dials, %q, come back %v", s.dials, s.answer, s.retryAfter)
		}
		for _, srv := range r.b.ready {
			srv.unansweredDials, srv.avoidUntil = 1, time.Hour // and the same when none is trusted either
		}
	}
}

// TestGroupsLeaveWhole: from the same day, groups spread over many servers cost more than they carry.
func TestGroupsLeaveWhole(t *testing.T) {
	r := fleet(6)
	srv := r.b.ready[0]
	for id, k := SessionID(0), Key(1); id < 40; k++ {
		for n := id + 4; r.topServer(k) == srv && id < n; id++ {
			r.b.AdoptSession(0, Arrival{ID: id, Group: k}, srv.ID)
		}
	}
	r.b.relieveServer(srv, 20)
	left, parted := map[Key]int{}, 0
	for _, s := range srv.held {
		left[s.Group]++
	}
	for _, n := range left {
		parted += 4 - n
	}
	if len(srv.held) == 40 || parted > 3 {
		t.Errorf("%d sessions left, %d of groups that were parted", 40-len(srv.held), parted)
	}
}

// TestFlood: from overload under 71 and 735 proxies, where every client sent away went to the few servers
// that nobody had heard to be late, and made them late: it passes an unheard server as often as heard ones
// are late.
func TestFlood(t *testing.T) {
	for returned, want := range map[bool]float64{false: 1, true: 0.25} {
		r := fleet(60)
		r.now = sec
		for _, srv := range r.b.ready[:6] {
			srv.lateAt = r.now
		}
		dialed, at := 0.0, 0.0
		for k := Key(1); k <= 300; k++ {
			if top := r.topServer(k); top.lateAt == 0 {
				r.b.PlaceSession(r.now, Arrival{ID: SessionID(k), TimeLeft: sec, Client: k, Group: k, Reconnected: returned})
				at++
				dialed += float64(len(top.dialing))
				r.b.HandleDialEnd(r.now, SessionID(k), 0, top.ID, Cancelled, 0, true)
			}
		}
		if got := dialed / at; math.Abs(got-want) > 0.1 {
			t.Errorf("returned %v: %.2f are dialed to their top score, want %.2f", returned, got, want)
		}
	}
}

// TestWords: from 208 proxies that each found overloaded servers for themselves; about one of those that observe one
// publishes it, if that is allowed and worth its price. What others published holds as long as a report of the server's.
func TestWords(t *testing.T) {
	for want, rule := range []PeerReportSettings{{}, {Enabled: true, CostPerMessage: 0.1}, {Enabled: true}} {
		published := 0
		for seed := range int64(200) {
			r := fleet(9)
			r.b.peerReports, r.b.coldSettings.ProxyCount, r.b.rng = rule, 200, rand.New(rand.NewSource(seed))
			r.fill(9)
			r.b.RecordServerDelay(sec, r.topServer(1).ID, 200*ms)
			published += r.delayReports
		}
		if want = want / 2; published < want || published > 5*want {
			t.Errorf("%+v: %d of 200 proxies tell", rule, published)
		}
	}
	r := fleet(3)
	top := r.topServer(5)
	r.b.ReceiveOverload(sec, top.ID, 200*ms)
	r.b.ReceiveOverload(sec, 99, 200*ms) // which no list has named
	for r.now = 2 * sec; r.now < 4*sec; r.now += sec {
		if s := r.arrive(0, 5, 5, 0); s.dialing == 99 || (s.dialing == top.ID) != (r.now == 3*sec) {
			t.Errorf("at %v server %d is dialed", r.now, s.dialing)
		}
	}
}

// TestNearlyLate: from overload, a server whose messages take more than half their target takes nothing new.
func TestNearlyLate(t *testing.T) {
	for delay, want := range map[time.Duration]int{30 * ms: 1, 40 * ms: 0} {
		r := fleet(2)
		for _, srv := range r.b.ready {
			r.b.RecordServerDelay(0, srv.ID, delay)
		}
		if s := r.arrive(0, 1, 1, 0); s.dials != want {
			t.Errorf("%d dials to servers whose messages take %v of %v", s.dials, delay, r.b.minMessageTarget)
		}
	}
}

// TestBlind: from a shrunk fleet with many proxies, an overloaded server of which nothing more is received must not
// look idle. From 114 and 354 proxies that kept such servers overloaded by trying them: the smaller a proxy's share
// of the sessions, the longer it leaves such a server alone.
func TestBlind(t *testing.T) {
	for sessions, rest := range map[Key]time.Duration{0: 8 * sec, 19: 400 * ms, 1: 4 * sec} {
		r := fleet(2)
		r.fill(sessions)
		for _, srv := range r.b.ready {
			srv.effectiveSize = r.b.totalSize / 2
			srv.held, srv.lateAt = nil, sec
		}
		for want, at := range []time.Duration{sec + rest - 1, sec + rest} {
			r.now = at
			if s := r.arrive(0, 99, 99, 0); s.dials != want {
				t.Errorf("%d sessions: %d dials to a late server after %v", sessions, s.dials, at-sec)
			}
		}
	}
}

// TestSharedFault: from an incident with 379 proxies whose dials kept a store down that all servers ask, 28 dials for a
// session. Where nearly all fail, whatever the server, few go out, and each session is answered at once; with one
// server in six that fails, none is given up for it; when dials open again all go out soon.
func TestSharedFault(t *testing.T) {
	for bad, maxDials := range map[ServerID]int{0: 200, 1: 300, 6: 100} { // the servers that fail, dials for 200 sessions
		r := fleet(6)
		dials, refused, late := 0, 0, 0
		for step := range 400 {
			r.now += 100 * ms
			if step%20 == 0 {
				r.b.runRound()
			}
			s := r.arrive(0, Key(step), 0, 0)
			works := step >= 200
			for s.dialing != 0 {
				if dials++; s.dialing > bad || works {
					r.settle(s, Accepted)
				} else {
					r.settle(s, Failed)
				}
			}
			if step == 199 && dials > maxDials {
				t.Errorf("%d servers fail: %d dials for 200 sessions", bad, dials)
			}
			if !s.isOpen {
				refused++
				if s.answer != "refused" || s.retryAfter <= 0 {
					t.Errorf("answered %q, come back after %v", s.answer, s.retryAfter)
				}
				if step >= 280 {
					late++
				}
			} else {
				r.b.HandleDialEnd(r.now, s.id, DialNumber(s.dials-1), 1, Accepted, 0, true)
			}
		}
		if bad < 6 && refused > 0 || late > 0 || r.failure != "" {
			t.Errorf("%d servers fail: %d sessions given up, %d of them late; %s", bad, refused, late, r.failure)
		}
	}
}

// TestIdleClients: from a day of two proxies on which a cold server got 15 sessions in its window of budget 5, as their
// clients had last been told to ask for next to nothing: each counts as its listener's usual session at least.
func TestIdleClients(t *testing.T) {
	r := fleet(3)
	r.b.coldSettings.ProxyCount = 2
	for k := range Key(60) {
		s := r.arrive(0, k, 0, 0)
		r.settle(s, Accepted)
		r.b.RecordSessionLoad(0, s.id, 0, 1)
	}
	r.b.runRound()
	for k := range Key(600) {
		r.b.clientLoads[k] = 0.001
	}
	r.publish(ListDelta, []Entry{{ID: 100, Size: 2, Status: Ready, StartKnown: true, StartedAt: -2 * sec}})
	for k := range Key(600) {
		for s := r.arrive(0, k, 0, 0); s.dialing != 0; {
			r.settle(s, ServerFull)
		}
	}
	if n := float64(len(r.dialsTo[100])); n == 0 || n > 6 || r.failure != "" {
		t.Errorf("%v dials, %s", n, r.failure)
	}
}

// TestLimits: from days with lost proxies, a limit learnt in a short jam rises faster the longer it is quiet;
// from days with neighbours, it counts where nothing more is told.
func TestLimits(t *testing.T) {
	r := fleet(2)
	srv := r.b.ready[0]
	srv.loadLimit, srv.carriedLoad, srv.lateAt = 4, 5, sec
	if got := r.b.observedLoad(srv); got != 1.25 {
		t.Errorf("known load is %v, want 1.25", got)
	}
	for i, want := range []float64{4, 4.2, 4.62, 5.313} {
		r.b.now = sec + time.Duration(i)*roundInterval + 1
		r.b.runRound()
		if math.Abs(srv.loadLimit-want) > 1e-9 {
			t.Errorf("the limit is %v after %d quiet rounds, want %v", srv.loadLimit, i, want)
		}
	}
}

// TestFits: from overload under many proxies, a client whose load was noted is not sent where it would pass
// the limit.
func TestFits(t *testing.T) {
	for load, want := range map[float64]int{0.5: 1, 3: 0} {
		r := fleet(1)
		for client, load := range map[Key]float64{1: load, 2: 1} {
			s := r.arrive(0, client, 0, 0)
			r.settle(s, Accepted)
			r.b.RecordSessionLoad(0, s.id, 0, load)
			if client == 1 {
				r.b.HandleDialEnd(0, s.id, 0, 1, Accepted, 0, true)
			}
		}
		r.b.ready[0].loadLimit = 2
		if s := r.arrive(0, 1, 0, 0); s.dials != want {
			t.Errorf("a client of load %v gets %d dials, want %d", load, s.dials, want)
		}
	}
}
