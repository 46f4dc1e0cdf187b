package choice

import (
	"testing"
	"time"
)

// TestReconfigure: a session from before a change of settings keeps its number of dials, later ones have the new one, and
// what was learnt stays. The proxy has a quota for a cold server in every slot. If the cold settings change it sends
// nothing there for an overload window, else it goes on.
func TestReconfigure(t *testing.T) {
	for _, other := range []bool{false, true} {
		r, dialsBefore, maxDials := newFleet(6), 0, 4
		r.openSessions(300)
		r.balancer.RecordSessionLoad(0, 1, 0, 0.5)
		r.updatePeakDensity()
		r.balancer.runRound()
		r.publish(ListDelta, []Entry{{ID: 9, Size: 4, Status: Ready, StartKnown: true, StartedAt: 0}})
		for key := range Key(400) {
			r.now += 50 * ms
			s := r.arrive(1, key, 0, 0)
			if key == 100 {
				r.balancer.models[0].speed, r.balancer.ready[0].loadLimit = 0.8, 3
				r.reconfigure(other, RetryBudget{})
			}
			for s.dialing != 0 {
				r.endDial(s, ServerFull)
			}
			load := r.balancer.listeners[map[bool]int{true: 1}[other && key >= 100]].averageLoad.value
			if s.dials != maxDials || load != 0.5 ||
				key == 100 && (r.balancer.models[0].speed != 0.8 || r.balancer.ready[0].loadLimit != 3) {
				t.Fatalf("other settings %v: session %d has %d dials, want %d; or something learnt is lost", other, key, s.dials, maxDials)
			}
			if key == 100 {
				dialsBefore, maxDials = len(r.dialsTo[9]), r.dialLimits.MaxDials
			}
		}
		after := r.dialsTo[9][dialsBefore:]
		if waited := after[0]-101*50*ms >= testCold.OverloadWindow; dialsBefore == 0 || waited != other || r.failure != "" {
			t.Errorf("other settings %v: %d dials to the cold server before, then at %v; %s", other, dialsBefore, after, r.failure)
		}
	}
}

// TestSessionSettings: a session that is adopted after a change of settings keeps those that it arrived under, though its
// listener no longer exists. Without them it gets the present settings of its listener.
func TestSessionSettings(t *testing.T) {
	r := newFleet(3)
	earlier := r.balancer.SessionSettings(0)
	changed := append([]Listener(nil), r.listeners...)
	changed[0].Name, changed[0].Idempotency, changed[0].DialTimeout = "other", NonIdempotent, changed[0].DialTimeout+sec
	r.balancer.Reconfigure(r.now, changed, r.dialLimits, RetryBudget{},
		ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, r.coldSettings, PeerReportSettings{})
	for id, settings := range map[SessionID]SessionSettings{1001: earlier, 1002: {}} {
		if err := r.balancer.AdoptSession(r.now, Arrival{ID: id, TimeLeft: sec, Settings: settings}, 1); err != nil {
			t.Fatal(err)
		}
		if got, want := r.balancer.sessions[id].Name == "other", settings == (SessionSettings{}); got != want {
			t.Errorf("session %d has the settings %+v", id, *r.balancer.sessions[id].listenerSettings)
		}
	}
}

// TestFleetSizes: with no server a session is refused. With one or thousands it is dialed, even if no server is trusted, as
// the fault may be the proxy's own. Choosing a server allocates no memory: with 900 servers, proxies could not keep up.
func TestFleetSizes(t *testing.T) {
	for servers, want := range map[int]int{0: 0, 1: 1, 5000: 1} {
		r := newFleet(servers)
		for range 2 {
			if s := r.arrive(0, 5, 5, 0); s.dials != want || (want == 0) != (s.answer == "refused") {
				t.Errorf("%d servers: %d dials, %q", servers, s.dials, s.answer)
			}
			for _, srv := range r.balancer.ready {
				srv.unansweredDials, srv.avoidUntil = 3, time.Hour
			}
		}
		r.now += roundInterval
		r.balancer.HandleTimer(r.now, tokenRound)
		s := &session{Arrival: Arrival{Group: 5}}
		if allocations := testing.AllocsPerRun(100, func() { r.balancer.selectServer(s) }); allocations != 0 {
			t.Errorf("%d servers: %v allocations for each choice", servers, allocations)
		}
	}
}
