package choice

import (
	"testing"
	"time"
)

// TestSwitch: a session from before keeps its dials, later ones have the new; what was learnt stays. A proxy alone has a turn at
// a cold server in every frame: after other rules it sends none there for a window by both, after the same it goes on.
func TestSwitch(t *testing.T) {
	for _, other := range []bool{false, true} {
		r, before, most := fleet(6), 0, 4
		r.fill(300)
		r.b.RecordSessionLoad(0, 1, 0, 0.5)
		r.notePeak()
		r.b.runRound()
		r.publish(ListDelta, []Entry{{ID: 9, Size: 4, Status: Ready, StartKnown: true, StartedAt: 0}})
		for k := range Key(400) {
			r.now += 50 * ms
			s := r.arrive(1, k, 0, 0)
			if k == 100 {
				r.b.models[0].speed, r.b.ready[0].loadLimit = 0.8, 3
				r.switchSettings(other, RetryBudget{})
			}
			for s.dialing != 0 {
				r.settle(s, ServerFull)
			}
			load := r.b.listeners[map[bool]int{true: 1}[other && k >= 100]].averageLoad.value
			if s.dials != most || load != 0.5 || k == 100 && (r.b.models[0].speed != 0.8 || r.b.ready[0].loadLimit != 3) {
				t.Fatalf("other %v: session %d has %d dials, want %d; or something learnt is lost", other, k, s.dials, most)
			}
			if k == 100 {
				before, most = len(r.dialsTo[9]), r.dials.MaxDials
			}
		}
		after := r.dialsTo[9][before:]
		if waits := after[0]-101*50*ms >= someCold.OverloadWindow; before == 0 || waits != other || r.failure != "" {
			t.Errorf("other %v: %d dials before, then at %v; %s", other, before, after, r.failure)
		}
	}
}

// TestUnder: a session that the module is told of after a Switch keeps the terms that it came under, though its
// listener is no more; without them it comes under its listener's now.
func TestUnder(t *testing.T) {
	r := fleet(3)
	was := r.b.SessionSettings(0)
	once := append([]Listener(nil), r.listeners...)
	once[0].Name, once[0].Idempotency, once[0].DialTimeout = "other", NonIdempotent, once[0].DialTimeout+sec
	r.b.Reconfigure(r.now, once, r.dials, RetryBudget{}, ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, r.cold, PeerReportSettings{})
	for id, under := range map[SessionID]SessionSettings{1001: was, 1002: {}} {
		if err := r.b.AdoptSession(r.now, Arrival{ID: id, TimeLeft: sec, Settings: under}, 1); err != nil {
			t.Fatal(err)
		}
		if got, want := r.b.sessions[id].Name == "other", under == (SessionSettings{}); got != want {
			t.Errorf("session %d comes under %+v", id, *r.b.sessions[id].listenerSettings)
		}
	}
}

// TestFleets: with no server a session is refused, with one or thousands it is dialed, also where none is
// left to trust, as the fault may be the proxy's own; from a fleet of 900 servers on which the proxies ran
// late, a pick and its next scores take no memory.
func TestFleets(t *testing.T) {
	for n, want := range map[int]int{0: 0, 1: 1, 5000: 1} {
		r := fleet(n)
		for range 2 {
			if s := r.arrive(0, 5, 5, 0); s.dials != want || (want == 0) != (s.answer == "refused") {
				t.Errorf("%d servers: %d dials, %q", n, s.dials, s.answer)
			}
			for _, srv := range r.b.ready {
				srv.unansweredDials, srv.avoidUntil = 3, time.Hour
			}
		}
		r.now += roundInterval
		r.b.HandleTimer(r.now, tokenRound)
		s := &session{Arrival: Arrival{Group: 5}}
		if a := testing.AllocsPerRun(100, func() { r.b.selectServer(s) }); a != 0 {
			t.Errorf("%d servers: %v allocations a pick", n, a)
		}
	}
}
