package choice

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestOverload: when all servers were full and sessions were dialed all the same, servers dropped sessions without end. A
// session that finds all servers full is refused at once, with a time for its retry, and not dialed.
func TestOverload(t *testing.T) {
	r := newFleet(4)
	r.openSessions(20)
	r.now = sec
	for _, srv := range r.balancer.ready {
		r.balancer.RecordServerDelay(r.now, srv.ID, 400*ms)
	}
	for range 2 {
		if s := r.arrive(0, 99, 99, 0); s.dials != 0 || s.answer != "refused" || s.retryAfter <= 0 {
			t.Errorf("%d dials, answer %q, retry after %v", s.dials, s.answer, s.retryAfter)
		}
		for _, srv := range r.balancer.ready {
			srv.unansweredDials, srv.avoidUntil = 1, time.Hour // the same must hold if no server is trusted either
		}
	}
}

// TestGroupsLeaveWhole: a group that is spread over many servers costs more load than moving its sessions saves. When
// sessions are moved off a server, their groups leave whole.
func TestGroupsLeaveWhole(t *testing.T) {
	r := newFleet(6)
	srv := r.balancer.ready[0]
	for id, key := SessionID(0), Key(1); id < 40; key++ {
		for end := id + 4; r.topServer(key) == srv && id < end; id++ {
			r.balancer.AdoptSession(0, Arrival{ID: id, Group: key}, srv.ID)
		}
	}
	r.balancer.relieveServer(srv, 20)
	remaining, moved := map[Key]int{}, 0 // moved sessions of groups that did not leave whole
	for _, s := range srv.held {
		remaining[s.Group]++
	}
	for _, count := range remaining {
		moved += 4 - count
	}
	if len(srv.held) == 40 || moved > 3 {
		t.Errorf("%d sessions moved, %d of them of groups that did not leave whole", 40-len(srv.held), moved)
	}
}

// TestReconnectingClients: in overload under 71 and 735 proxies, every client that was moved went to the few servers that
// no proxy had observed to be late, and made them late. A client that reconnects skips a server that its proxy does not
// observe, with the probability that an observed one is late.
func TestReconnectingClients(t *testing.T) {
	for reconnected, want := range map[bool]float64{false: 1, true: 0.25} {
		r := newFleet(60)
		r.now = sec
		for _, srv := range r.balancer.ready[:6] {
			srv.lateAt = r.now
		}
		dialed, arrivals := 0.0, 0.0
		for key := Key(1); key <= 300; key++ {
			if top := r.topServer(key); top.lateAt == 0 {
				r.balancer.PlaceSession(r.now, Arrival{ID: SessionID(key), TimeLeft: sec, Client: key, Group: key, Reconnected: reconnected})
				arrivals++
				dialed += float64(len(top.dialing))
				r.balancer.HandleDialEnd(r.now, SessionID(key), 0, top.ID, Cancelled, 0, true)
			}
		}
		if got := dialed / arrivals; math.Abs(got-want) > 0.1 {
			t.Errorf("reconnected %v: a share of %.2f is dialed to the top score, want %.2f", reconnected, got, want)
		}
	}
}

// TestOverloadReports: 208 proxies each had to find out about overloaded servers for themselves. About one of the proxies
// that observe a late server publishes a report, if reports are enabled and worth their cost. A report from another proxy
// counts for as long as one of the server's own.
func TestOverloadReports(t *testing.T) {
	for want, settings := range []PeerReportSettings{{}, {Enabled: true, CostPerMessage: 0.1}, {Enabled: true}} {
		published := 0
		for seed := range int64(200) {
			r := newFleet(9)
			r.balancer.peerReports, r.balancer.coldSettings.ProxyCount, r.balancer.rng = settings, 200, rand.New(rand.NewSource(seed))
			r.openSessions(9)
			r.balancer.RecordServerDelay(sec, r.topServer(1).ID, 200*ms)
			published += r.overloadReports
		}
		if want = want / 2; published < want || published > 5*want {
			t.Errorf("%+v: %d of 200 proxies publish a report", settings, published)
		}
	}
	r := newFleet(3)
	top := r.topServer(5)
	r.balancer.ReceiveOverload(sec, top.ID, 200*ms)
	r.balancer.ReceiveOverload(sec, 99, 200*ms) // which no list has named
	for r.now = 2 * sec; r.now < 4*sec; r.now += sec {
		if s := r.arrive(0, 5, 5, 0); s.dialing == 99 || (s.dialing == top.ID) != (r.now == 3*sec) {
			t.Errorf("at %v server %d is dialed", r.now, s.dialing)
		}
	}
}

// TestNearlyLate: in overload, a server whose messages take more than a third of their target gets nothing new.
func TestNearlyLate(t *testing.T) {
	for delay, want := range map[time.Duration]int{30 * ms: 1, 40 * ms: 0} {
		r := newFleet(2)
		for _, srv := range r.balancer.ready {
			r.balancer.RecordServerDelay(0, srv.ID, delay)
		}
		if s := r.arrive(0, 1, 1, 0); s.dials != want {
			t.Errorf("%d dials to servers whose messages take %v with a target of %v, want %d", s.dials, delay,
				r.balancer.minMessageTarget, want)
		}
	}
}

// TestLateServerPause: an overloaded server of which a proxy no longer observes anything must not look idle to it. 114 and
// 354 proxies kept such servers overloaded by trying them again and again. The smaller a proxy's share of the sessions, the
// longer it pauses.
func TestLateServerPause(t *testing.T) {
	for sessions, pause := range map[Key]time.Duration{0: 8 * sec, 19: 400 * ms, 1: 4 * sec} {
		r := newFleet(2)
		r.openSessions(sessions)
		for _, srv := range r.balancer.ready {
			srv.effectiveSize = r.balancer.totalSize / 2
			srv.held, srv.lateAt = nil, sec
		}
		for want, instant := range []time.Duration{sec + pause - 1, sec + pause} {
			r.now = instant
			if s := r.arrive(0, 99, 99, 0); s.dials != want {
				t.Errorf("%d sessions: %d dials to a late server after %v", sessions, s.dials, instant-sec)
			}
		}
	}
}

// TestSharedFault: 379 proxies kept a store down that all servers ask, with 28 dials for each session. If nearly all dials
// fail, whatever the server, few go out, and each session is answered at once. If one server in six fails, no session is
// refused for it. When dials succeed again, soon all go out.
func TestSharedFault(t *testing.T) {
	// By the number of servers that fail, the most dials for 200 sessions.
	for failing, maxDials := range map[ServerID]int{0: 200, 1: 300, 6: 100} {
		r := newFleet(6)
		dials, refused, refusedLate := 0, 0, 0
		for step := range 400 {
			r.now += 100 * ms
			if step%20 == 0 {
				r.balancer.runRound()
			}
			s := r.arrive(0, Key(step), 0, 0)
			recovered := step >= 200
			for s.dialing != 0 {
				if dials++; s.dialing > failing || recovered {
					r.endDial(s, Accepted)
				} else {
					r.endDial(s, Failed)
				}
			}
			if step == 199 && dials > maxDials {
				t.Errorf("%d servers fail: %d dials for 200 sessions", failing, dials)
			}
			if !s.isOpen {
				refused++
				if s.answer != "refused" || s.retryAfter <= 0 {
					t.Errorf("answer %q, retry after %v", s.answer, s.retryAfter)
				}
				if step >= 280 {
					refusedLate++
				}
			} else {
				r.balancer.HandleDialEnd(r.now, s.id, DialNumber(s.dials-1), 1, Accepted, 0, true)
			}
		}
		if failing < 6 && refused > 0 || refusedLate > 0 || r.failure != "" {
			t.Errorf("%d servers fail: %d sessions refused, %d of them long after the recovery; %s",
				failing, refused, refusedLate, r.failure)
		}
	}
}

// TestIdleClients: with two proxies, a cold server got 15 sessions in an overload window that allowed 5, as the last
// reports of the sessions' clients showed next to no load. Each session counts as much as an average one of its listener at
// least.
func TestIdleClients(t *testing.T) {
	r := newFleet(3)
	r.balancer.coldSettings.ProxyCount = 2
	for key := range Key(60) {
		s := r.arrive(0, key, 0, 0)
		r.endDial(s, Accepted)
		r.balancer.RecordSessionLoad(0, s.id, 0, 1)
	}
	r.balancer.runRound()
	for key := range Key(600) {
		r.balancer.clientLoads[key] = 0.001
	}
	r.publish(ListDelta, []Entry{{ID: 100, Size: 2, Status: Ready, StartKnown: true, StartedAt: -2 * sec}})
	for key := range Key(600) {
		for s := r.arrive(0, key, 0, 0); s.dialing != 0; {
			r.endDial(s, ServerFull)
		}
	}
	if dials := float64(len(r.dialsTo[100])); dials == 0 || dials > 6 || r.failure != "" {
		t.Errorf("%v dials to the cold server, want 1 to 6; %s", dials, r.failure)
	}
}

// TestLoadLimitRecovers: when proxies were lost, limits learnt in a short jam kept the others from taking over their
// sessions. A limit rises faster the longer the server has been in time. It counts as long as the server reports nothing
// else.
func TestLoadLimitRecovers(t *testing.T) {
	r := newFleet(2)
	srv := r.balancer.ready[0]
	srv.loadLimit, srv.carriedLoad, srv.lateAt = 4, 5, sec
	if got := r.balancer.observedLoad(srv); got != 1.25 {
		t.Errorf("observed load is %v, want 1.25", got)
	}
	for i, want := range []float64{4, 4.2, 4.62, 5.313} {
		r.balancer.now = sec + time.Duration(i)*roundInterval + 1
		r.balancer.runRound()
		if math.Abs(srv.loadLimit-want) > 1e-9 {
			t.Errorf("the limit is %v after %d rounds in time, want %v", srv.loadLimit, i, want)
		}
	}
}

// TestHasRoom: in overload under many proxies, a session whose client's load is known is not sent to a server whose load
// limit it would exceed.
func TestHasRoom(t *testing.T) {
	for load, want := range map[float64]int{0.5: 1, 3: 0} {
		r := newFleet(1)
		for client, load := range map[Key]float64{1: load, 2: 1} {
			s := r.arrive(0, client, 0, 0)
			r.endDial(s, Accepted)
			r.balancer.RecordSessionLoad(0, s.id, 0, load)
			if client == 1 {
				r.balancer.HandleDialEnd(0, s.id, 0, 1, Accepted, 0, true)
			}
		}
		r.balancer.ready[0].loadLimit = 2
		if s := r.arrive(0, 1, 0, 0); s.dials != want {
			t.Errorf("a client of load %v gets %d dials, want %d", load, s.dials, want)
		}
	}
}
