package choice

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestRamp: a server at a tenth of its ramp gets about its capacity share of the keys that it would get when warm. After
// the ramp it has its usual weight.
func TestRamp(t *testing.T) {
	const servers, keys = 150, 400000
	r := newFleet(servers)
	r.publish(ListDelta, []Entry{{ID: 500, Size: 4, Status: Ready, StartKnown: true, StartedAt: -2 * sec}})
	count := 0.0
	for key := range Key(keys) {
		if r.topServer(key).ID == 500 {
			count++
		}
	}
	if got, want := count/keys/(4/r.balancer.totalSize), 0.15+0.85*0.1; math.Abs(got-want) > want/4 {
		t.Errorf("the cold server gets %.3f of its share, want about %.3f", got, want)
	}
	r.balancer.now += testCold.RampDuration
	r.balancer.runRound()
	if srv := r.balancer.serverByID[500]; srv.weight != srv.baseWeight*srv.adaptFactor {
		t.Error("the server does not have its usual weight after its ramp")
	}
}

// TestNoColdRule: without cold settings, a server is dialed like any other even if its start lies in the future, as the
// list's clock may be ahead.
func TestNoColdRule(t *testing.T) {
	r := newRig(ColdSettings{ProxyCount: 3}, rand.New(rand.NewSource(1)))
	r.publish(ListFull, []Entry{{ID: 1, Size: 1, Status: Ready, StartKnown: true, StartedAt: sec}})
	if s := r.arrive(0, 1, 1, 0); s.dialing != 1 {
		t.Errorf("server %d is dialed, want 1", s.dialing)
	}
}

// TestColdFleet: 300 proxies share nothing. When the top score of a hot group was a cold server, each proxy sent it
// sessions with a probability of its own, and together they sent four times what it could take. However sessions arrive and
// whatever their loads, no overload window may hold more than a cold server can take, be it small or large, and it must get
// sessions all the same.
func TestColdFleet(t *testing.T) {
	const proxies, sessionsEach, servers, small, large, startedAt = 300, 4, 40, 41, 42, 50 * sec
	listeners, loads := [sessionsEach]ListenerID{1, 0, 0, 0}, []float64{1, 4}
	cold, windows := testCold, 0
	cold.ProxyCount = proxies
	for _, c := range []struct {
		name        string
		keys        int64                              // 1: one hot group
		lateServers int                                // of the warm ones
		minDials    int                                // to the large cold server
		arrivals    func(rng *rand.Rand, step int) int // at one proxy in one step
	}{
		{"steady", 1 << 40, 0, 4, func(rng *rand.Rand, _ int) int { return (1 + rng.Intn(60)) / 60 }},
		{"hot group", 1, 0, 4, func(rng *rand.Rand, _ int) int { return (1 + rng.Intn(20)) / 20 }},
		{"storm", 1 << 40, 30, 20, func(*rand.Rand, int) int { return 1 }},
		{"wave", 3, 30, 1, func(_ *rand.Rand, step int) int { return 3 * max(0, 1-step%70) }},
	} {
		for seed := range int64(3) {
			rng := rand.New(rand.NewSource(seed))
			list := make([]Entry, servers, servers+2)
			for id := range list {
				list[id] = Entry{ID: ServerID(id + 1), Size: 1, Status: Ready}
			}
			rigs := make([]*rig, proxies)
			for i := range rigs {
				cold.ProxyIndex = i
				r := newRig(cold, rand.New(rand.NewSource(seed<<16+int64(i))))
				r.now = startedAt
				r.publish(ListFull, list)
				for i := range sessionsEach { // one in four has four times the load
					s := r.arrive(listeners[i], Key(rng.Int63()), 0, 0)
					r.endDial(s, Accepted)
					r.balancer.RecordSessionLoad(startedAt, s.id, 0, loads[listeners[i]])
				}
				r.balancer.runRound()
				r.publish(ListDelta, []Entry{
					{ID: small, Size: 0.5, Status: Ready, StartKnown: true, StartedAt: startedAt},
					{ID: large, Size: 8, Status: Ready, StartKnown: true, StartedAt: startedAt}})
				rigs[i] = r
			}
			type coldDial struct {
				at   time.Duration
				load float64
			}
			dialsTo := map[ServerID][]coldDial{}
			for step := range int(cold.RampDuration / (100 * ms)) {
				now := startedAt + time.Duration(step)*100*ms
				for _, r := range rigs {
					r.now, r.balancer.now = now, now
					for _, srv := range r.balancer.ready[:c.lateServers] {
						srv.lateAt = now
					}
					if step%20 == 0 {
						r.balancer.runRound()
					}
					for range c.arrivals(rng, step) {
						listener := listeners[rng.Intn(sessionsEach)]
						s := r.arrive(listener, Key(1+rng.Int63n(c.keys)), 0, 0)
						for s.dialing != 0 { // sessions that the server refuses count too
							if s.dialing >= small {
								dialsTo[s.dialing] = append(dialsTo[s.dialing], coldDial{now, loads[listener]})
							}
							r.endDial(s, ServerFull)
						}
					}
				}
				for id, size := range map[ServerID]float64{small: 0.5, large: 8} {
					capacity := proxies * (loads[0]*3 + loads[1]) / servers * size / assumedLoad
					allowed := cold.OverloadMultiple * rigs[0].balancer.capacityShare(rigs[0].balancer.serverByID[id]) * capacity *
						cold.OverloadWindow.Seconds() / cold.RampDuration.Seconds()
					load := 0.0
					for _, s := range dialsTo[id] {
						if s.at > now-cold.OverloadWindow {
							load += s.load
						}
					}
					if windows++; load > allowed+loads[1] { // the last session may exceed it
						t.Fatalf("%s, seed %d: server %d was sent a load of %v in the window that ends %v after its start, allowed %.1f",
							c.name, seed, id, load, now-startedAt, allowed)
					}
				}
			}
			if n := len(dialsTo[large]); n < c.minDials {
				t.Errorf("%s, seed %d: the large cold server got %d dials, want %d", c.name, seed, n, c.minDials)
			}
		}
	}
	if windows < 4000 {
		t.Errorf("only %d windows checked", windows)
	}
}

// TestMaySend: a dial is counted when it goes out, but sent only when its connection is established, here up to a third of
// an overload window later. So dials of one slot could add to those of the next, and retries could exceed a later window's
// budget. The load sent in a cold server's slot, whichever slot the dial was placed in, is at most this proxy's quota for
// the slot. In no window more retries are sent than the retry budget allows.
func TestMaySend(t *testing.T) {
	cold, sentDials := testCold, 0
	cold.ProxyCount = 6
	budget := RetryBudget{FreeRetries: 2, RetriesPerSession: 0.05, Window: 2 * sec}
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		cold.ProxyIndex = rng.Intn(cold.ProxyCount)
		r := newRig(cold, rng)
		r.coldSettings = cold
		r.publishServers(ListFull, 9)
		r.openSessions(60)
		r.balancer.runRound()
		r.balancer.Reconfigure(0, r.listeners, r.dialLimits, budget,
			ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, cold, PeerReportSettings{})
		r.now = 4 * sec
		coldServer := Entry{ID: 10, Size: 8, Status: Ready, StartKnown: true, StartedAt: r.now}
		r.publish(ListDelta, []Entry{coldServer})
		var dialing []*clientSession
		connectedAt := map[SessionID]time.Duration{}
		retryTimes, arrivals := []time.Duration{}, []time.Duration{}
		slot, sent := 0, 0.0
		for r.now < coldServer.StartedAt+cold.RampDuration {
			r.now += 10 * ms
			if rng.Intn(3) == 0 {
				arrivals = append(arrivals, r.now)
				if s := r.arrive(0, Key(rng.Int63()), 0, 0); s.dialing != 0 {
					dialing, connectedAt[s.id] = append(dialing, s), r.now+time.Duration(rng.Int63n(int64(cold.OverloadWindow/3)))
				}
			}
			due := dialing
			dialing = nil
			for _, s := range due {
				if connectedAt[s.id] > r.now {
					dialing = append(dialing, s)
					continue
				}
				allowed, server := r.balancer.MaySend(r.now, s.id), r.balancer.serverByID[s.dialing]
				if allowed && s.dials > 1 {
					retryTimes = append(retryTimes, r.now)
					retries, limit := countAfter(retryTimes, r.now-budget.Window),
						budget.FreeRetries+budget.RetriesPerSession*float64(countAfter(arrivals, r.now-budget.Window*5/4))
					if float64(retries) > limit {
						t.Fatalf("seed %d: %d retries in a window that allows %.1f", seed, retries, limit)
					}
				}
				if allowed && server.ID == coldServer.ID {
					sentDials++
					if now := int((r.now - coldServer.StartedAt) / cold.OverloadWindow); now != slot {
						slot, sent = now, 0
					}
					r.balancer.updateSlotQuota(server)
					if sent += r.balancer.relativeLoad(r.balancer.sessions[s.id]); sent > server.slotQuota+1e-9 {
						t.Fatalf("seed %d: a load of %v is sent in slot %d, whose quota is %v", seed, sent, slot, server.slotQuota)
					}
				}
				if r.endDial(s, map[bool]Outcome{true: ServerFull, false: NotSent}[allowed]); s.dialing != 0 {
					dialing, connectedAt[s.id] = append(dialing, s), r.now+time.Duration(rng.Int63n(int64(cold.OverloadWindow/3)))
				}
			}
		}
	}
	if sentDials < 30 {
		t.Errorf("only %d dials to the cold server", sentDials)
	}
}
