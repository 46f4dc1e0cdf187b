package choice

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// coldDial is one dial to a cold server.
type coldDial struct {
	at   time.Duration
	load float64 // of the session, in cores
}

// TestColdServersInBurst: 20 to 30 proxies that share nothing, with a few servers, get bursts of sessions. A new server,
// small or large, and one that comes back cold must get from all proxies together no more than the settings allow in any
// overload window: N sessions of mean load, and at most one session beyond. A server tolerates 2*sqrt(N)+2 more, to allow
// for chance, of which the Balancer needs none. With seven in ten proxies killed and started again and again, the sum stays
// within that tolerance. All the same the cold servers must get sessions.
func TestColdServersInBurst(t *testing.T) {
	const (
		seeds        = 12
		startedAt    = 50 * sec
		step         = 100 * ms
		small        = ServerID(101)
		large        = ServerID(102)
		restarted    = ServerID(1)
		sessionsEach = 6 // sessions that each proxy holds at the start
		killedOfTen  = 7 // of ten proxies, every three seconds of the runs with restarts
	)
	listeners, loads := [2]ListenerID{0, 1}, [2]float64{1, 2}
	windows, dialedServers := 0, 0
	for run := range int64(2 * seeds) {
		seed, restarts := run/2, run%2 == 1
		rng := rand.New(rand.NewSource(seed))
		proxies, servers := 20+rng.Intn(11), 4+rng.Intn(9)
		sizes := map[ServerID]float64{small: 0.5, large: 4, restarted: 1}
		list := make([]Entry, servers)
		for i := range list {
			list[i] = Entry{ID: ServerID(i + 1), Size: 1, Status: Ready}
		}
		entryOf := func(id ServerID) Entry {
			return Entry{ID: id, Size: sizes[id], Status: Ready, StartKnown: true, StartedAt: startedAt}
		}
		cold := testCold
		cold.ProxyCount = proxies
		rigs, held := make([]*rig, proxies), 0.0
		for index := range rigs {
			cold.ProxyIndex = index
			r := newRig(cold, rand.New(rand.NewSource(seed<<16+int64(index))))
			r.now = startedAt
			r.publish(ListFull, list)
			for range sessionsEach {
				listener := rng.Intn(len(listeners))
				s := r.arrive(listeners[listener], Key(rng.Int63()), 0, 0)
				r.endDial(s, Accepted)
				r.balancer.RecordSessionLoad(startedAt, s.id, 0, loads[listener])
				held += loads[listener]
			}
			r.balancer.runRound()
			r.publish(ListDelta, []Entry{entryOf(small), entryOf(large), entryOf(restarted)})
			rigs[index] = r
		}
		mean := held / float64(proxies*sessionsEach)
		dialsTo := map[ServerID][]coldDial{}
		for stepNumber := range int(cold.RampDuration / step) {
			now := startedAt + time.Duration(stepNumber)*step
			if restarts && stepNumber > 0 && stepNumber%30 == 0 {
				for index := range rigs {
					if rng.Intn(10) < killedOfTen {
						cold.ProxyIndex = index
						rigs[index] = newRig(cold, rand.New(rand.NewSource(seed<<16+int64(stepNumber*proxies+index))))
						rigs[index].now, rigs[index].balancer.now = now, now
						rigs[index].publish(ListFull, append(slices.Clone(list[1:]), entryOf(small), entryOf(large), entryOf(restarted)))
					}
				}
			}
			burst := 1 + 4*(stepNumber/20%2) // half the bound on a proxy's arrivals in a step; changes every two seconds
			for _, r := range rigs {
				r.now, r.balancer.now = now, now
				if stepNumber%20 == 0 {
					r.balancer.runRound()
				}
				for range rng.Intn(2 * burst) {
					listener := rng.Intn(len(listeners))
					s := r.arrive(listeners[listener], Key(1+rng.Int63n(50)), 0, 0)
					for s.dialing != 0 { // sessions that a server refuses count too
						if _, isCold := sizes[s.dialing]; isCold {
							dialsTo[s.dialing] = append(dialsTo[s.dialing], coldDial{now, loads[listener]})
						}
						r.endDial(s, ServerFull)
					}
				}
			}
			for id, size := range sizes {
				capacity := held / float64(servers) * size / assumedLoad
				allowed := cold.OverloadMultiple * rigs[0].balancer.capacityShare(rigs[0].balancer.serverByID[id]) * capacity *
					cold.OverloadWindow.Seconds() / cold.RampDuration.Seconds() / mean
				sentLoad := 0.0
				for _, s := range dialsTo[id] {
					if s.at > now-cold.OverloadWindow {
						sentLoad += s.load / mean
					}
				}
				overloadedAt := allowed + 2*math.Sqrt(allowed) + 2
				limit := allowed + loads[1]/mean
				if restarts { // a killed proxy may have used a quota that its successor has again
					limit = overloadedAt
				}
				if windows++; sentLoad > limit {
					t.Fatalf("seed %d, restarts %v, %d proxies, %d servers: server %d got %.1f in the window that ends %v after its start, "+
						"N is %.1f, and it fails at %.1f", seed, restarts, proxies, servers, id, sentLoad, now-startedAt, allowed, overloadedAt)
				}
			}
		}
		for id := range sizes {
			dialedServers += min(len(dialsTo[id]), 1)
		}
	}
	if windows < 1000 || dialedServers < 4*seeds {
		t.Errorf("%d windows checked, %d of %d cold servers were dialed", windows, dialedServers, 6*seeds)
	}
}
