package choice

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// coldSend is one dial to a cold server.
type coldSend struct {
	at   time.Duration
	load float64
}

// TestColdThrong: twenty to thirty processes that share nothing, with a few servers, under a burst: a new server, small or
// large, and one that comes back cold get from all of them together no more than the settings allow, N, in any window, in
// whole sessions. Beyond that 2 x root of N + 2 sessions of mean load would be left to chance; the module needs none of it.
// With seven in ten killed and started anew again and again, the sum stays within that, too. They are put to use all the same.
func TestColdThrong(t *testing.T) {
	const (
		seeds   = 12
		start   = 50 * sec
		tick    = 100 * ms
		fresh   = ServerID(101)
		large   = ServerID(102)
		back    = ServerID(1)
		perNode = 6 // sessions held at each process before
		killed  = 7 // of ten processes, every three seconds of the runs with restarts
	)
	listeners, loads := [2]ListenerID{0, 1}, [2]float64{1, 2}
	windows, used := 0, 0
	for run := range int64(2 * seeds) {
		seed, restarts := run/2, run%2 == 1
		chance := rand.New(rand.NewSource(seed))
		processes, servers := 20+chance.Intn(11), 4+chance.Intn(9)
		sizes := map[ServerID]float64{fresh: 0.5, large: 4, back: 1}
		list := make([]Entry, servers)
		for i := range list {
			list[i] = Entry{ID: ServerID(i + 1), Size: 1, Status: Ready}
		}
		cold := func(id ServerID) Entry {
			return Entry{ID: id, Size: sizes[id], Status: Ready, StartKnown: true, StartedAt: start}
		}
		rule := someCold
		rule.ProxyCount = processes
		rigs, held := make([]*rig, processes), 0.0
		for me := range rigs {
			rule.ProxyIndex = me
			r := newRig(rule, rand.New(rand.NewSource(seed<<16+int64(me))))
			r.now = start
			r.publish(ListFull, list)
			for range perNode {
				kind := chance.Intn(len(listeners))
				s := r.arrive(listeners[kind], Key(chance.Int63()), 0, 0)
				r.settle(s, Accepted)
				r.b.RecordSessionLoad(start, s.id, 0, loads[kind])
				held += loads[kind]
			}
			r.b.runRound()
			r.publish(ListDelta, []Entry{cold(fresh), cold(large), cold(back)})
			rigs[me] = r
		}
		mean := held / float64(processes*perNode)
		sends := map[ServerID][]coldSend{}
		for step := range int(rule.RampDuration / tick) {
			now := start + time.Duration(step)*tick
			if restarts && step > 0 && step%30 == 0 {
				for me := range rigs {
					if chance.Intn(10) < killed {
						rule.ProxyIndex = me
						rigs[me] = newRig(rule, rand.New(rand.NewSource(seed<<16+int64(step*processes+me))))
						rigs[me].now, rigs[me].b.now = now, now
						rigs[me].publish(ListFull, append(slices.Clone(list[1:]), cold(fresh), cold(large), cold(back)))
					}
				}
			}
			burst := 1 + 4*(step/20%2) // sessions at each process, in turns of two seconds
			for _, r := range rigs {
				r.now, r.b.now = now, now
				if step%20 == 0 {
					r.b.runRound()
				}
				for range chance.Intn(2 * burst) {
					kind := chance.Intn(len(listeners))
					s := r.arrive(listeners[kind], Key(1+chance.Int63n(50)), 0, 0)
					for s.dialing != 0 { // what a server turns away pushes too
						if _, is := sizes[s.dialing]; is {
							sends[s.dialing] = append(sends[s.dialing], coldSend{now, loads[kind]})
						}
						r.settle(s, ServerFull)
					}
				}
			}
			for id, size := range sizes {
				able := held / float64(servers) * size / assumedLoad
				allowed := rule.OverloadMultiple * rigs[0].b.capacityShare(rigs[0].b.serverByID[id]) * able * rule.OverloadWindow.Seconds() / rule.RampDuration.Seconds() / mean
				got := 0.0
				for _, s := range sends[id] {
					if s.at > now-rule.OverloadWindow {
						got += s.load / mean
					}
				}
				falls := allowed + 2*math.Sqrt(allowed) + 2
				most := allowed + loads[1]/mean
				if restarts { // those killed may have had a turn that those in their place have again
					most = falls
				}
				if windows++; got > most {
					t.Fatalf("seed %d, restarts %v, %d processes, %d servers: server %d got %.1f in the window that ends %v after its start, "+
						"N is %.1f, and %.1f at which it falls", seed, restarts, processes, servers, id, got, now-start, allowed, falls)
				}
			}
		}
		for id := range sizes {
			used += min(len(sends[id]), 1)
		}
	}
	if windows < 1000 || used < 4*seeds {
		t.Errorf("%d windows, %d of %d cold servers are used", windows, used, 6*seeds)
	}
}
