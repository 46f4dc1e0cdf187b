package choice

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestRamp: a server at a tenth of its span gets about the share that it can do, and its weight is the mean
// in the end.
func TestRamp(t *testing.T) {
	const n, keys = 150, 400000
	r := fleet(n)
	r.publish(ListDelta, []Entry{{ID: 500, Size: 4, Status: Ready, StartKnown: true, StartedAt: -2 * sec}})
	count := 0.0
	for k := range Key(keys) {
		if r.topServer(k).ID == 500 {
			count++
		}
	}
	if got, want := count/keys/(4/r.b.totalSize), 0.15+0.85*0.1; math.Abs(got-want) > want/4 {
		t.Errorf("the cold server gets %.3f of its share, want about %.3f", got, want)
	}
	r.b.now += someCold.RampDuration
	r.b.runRound()
	if srv := r.b.serverByID[500]; srv.weight != srv.baseWeight*srv.adaptFactor {
		t.Error("the server is still ramping after its span")
	}
}

// TestNoColdRule: without a cold rule, a server whose start is told as yet to come, by a clock ahead, is as others.
func TestNoColdRule(t *testing.T) {
	r := newRig(ColdSettings{ProxyCount: 3}, rand.New(rand.NewSource(1)))
	r.publish(ListFull, []Entry{{ID: 1, Size: 1, Status: Ready, StartKnown: true, StartedAt: sec}})
	if s := r.arrive(0, 1, 1, 0); s.dialing != 1 {
		t.Errorf("dialed %d", s.dialing)
	}
}

// TestColdFleet: from 300 proxies that share nothing. A hot group whose top score was a cold server came to all of
// them, each with a probability of its own, and together they sent it four times what it could do. However sessions
// come, and whatever their loads, no window passes the budget, of a small server or a large one; it is put to use
// all the same.
func TestColdFleet(t *testing.T) {
	const proxies, perProxy, servers, small, large, start = 300, 4, 40, 41, 42, 50 * sec
	listeners, loads := [perProxy]ListenerID{1, 0, 0, 0}, []float64{1, 4}
	rule, windows := someCold, 0
	rule.ProxyCount = proxies
	for _, c := range []struct {
		name  string
		keys  int64 // 1: one hot group
		late  int   // servers
		least int   // sessions for the larger one
		come  func(r *rand.Rand, step int) int
	}{
		{"steady", 1 << 40, 0, 4, func(r *rand.Rand, _ int) int { return (1 + r.Intn(60)) / 60 }},
		{"hot group", 1, 0, 4, func(r *rand.Rand, _ int) int { return (1 + r.Intn(20)) / 20 }},
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
				rule.ProxyIndex = i
				r := newRig(rule, rand.New(rand.NewSource(seed<<16+int64(i))))
				r.now = start
				r.publish(ListFull, list)
				for k := range perProxy { // one in four asks for four times as much
					s := r.arrive(listeners[k], Key(rng.Int63()), 0, 0)
					r.settle(s, Accepted)
					r.b.RecordSessionLoad(start, s.id, 0, loads[listeners[k]])
				}
				r.b.runRound()
				r.publish(ListDelta, []Entry{{ID: small, Size: 0.5, Status: Ready, StartKnown: true, StartedAt: start},
					{ID: large, Size: 8, Status: Ready, StartKnown: true, StartedAt: start}})
				rigs[i] = r
			}
			type sent struct {
				at   time.Duration
				load float64
			}
			dialsTo := map[ServerID][]sent{}
			for step := range int(rule.RampDuration / (100 * ms)) {
				now := start + time.Duration(step)*100*ms
				for _, r := range rigs {
					r.now, r.b.now = now, now
					for _, srv := range r.b.ready[:c.late] {
						srv.lateAt = now
					}
					if step%20 == 0 {
						r.b.runRound()
					}
					for range c.come(rng, step) {
						listener := listeners[rng.Intn(perProxy)]
						s := r.arrive(listener, Key(1+rng.Int63n(c.keys)), 0, 0)
						for s.dialing != 0 { // what the server refuses counts too
							if s.dialing >= small {
								dialsTo[s.dialing] = append(dialsTo[s.dialing], sent{now, loads[listener]})
							}
							r.settle(s, ServerFull)
						}
					}
				}
				for id, size := range map[ServerID]float64{small: 0.5, large: 8} {
					capacity := proxies * (loads[0]*3 + loads[1]) / servers * size / assumedLoad
					budget := rule.OverloadMultiple * rigs[0].b.capacityShare(rigs[0].b.serverByID[id]) * capacity * rule.OverloadWindow.Seconds() / rule.RampDuration.Seconds()
					load := 0.0
					for _, s := range dialsTo[id] {
						if s.at > now-rule.OverloadWindow {
							load += s.load
						}
					}
					if windows++; load > budget+loads[1] { // in whole sessions
						t.Fatalf("%s, seed %d: server %d was sent %v in the window that ends %v after its start, budget %.1f", c.name, seed,
							id, load, now-start, budget)
					}
				}
			}
			if n := len(dialsTo[large]); n < c.least {
				t.Errorf("%s, seed %d: the large cold server got %d dials, want %d", c.name, seed, n, c.least)
			}
		}
	}
	if windows < 4000 {
		t.Errorf("%d windows", windows)
	}
}

// TestGoes: connections take up to a third of a window to stand. What goes out in a cold server's frame, by whichever
// frame it was placed in, is this proxy's turn there at most; and in no window more further dials go out than the
// budget has.
func TestGoes(t *testing.T) {
	rule, firstLines := someCold, 0
	rule.ProxyCount = 6
	budget := RetryBudget{FreeRetries: 2, RetriesPerSession: 0.05, Window: 2 * sec}
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		rule.ProxyIndex = rng.Intn(rule.ProxyCount)
		r := newRig(rule, rng)
		r.cold = rule
		r.list(ListFull, 9)
		r.fill(60)
		r.b.runRound()
		r.b.Reconfigure(0, r.listeners, r.dials, budget, ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, rule, PeerReportSettings{})
		r.now = 4 * sec
		cold := Entry{ID: 10, Size: 8, Status: Ready, StartKnown: true, StartedAt: r.now}
		r.publish(ListDelta, []Entry{cold})
		var dialing []*clientSession
		connectedAt := map[SessionID]time.Duration{}
		furtherDials, arrivals := []time.Duration{}, []time.Duration{}
		interval, sent := 0, 0.0
		for r.now < cold.StartedAt+rule.RampDuration {
			r.now += 10 * ms
			if rng.Intn(3) == 0 {
				arrivals = append(arrivals, r.now)
				if s := r.arrive(0, Key(rng.Int63()), 0, 0); s.dialing != 0 {
					dialing, connectedAt[s.id] = append(dialing, s), r.now+time.Duration(rng.Int63n(int64(rule.OverloadWindow/3)))
				}
			}
			pending := dialing
			dialing = nil
			for _, s := range pending {
				if connectedAt[s.id] > r.now {
					dialing = append(dialing, s)
					continue
				}
				allowed, at := r.b.MaySend(r.now, s.id), r.b.serverByID[s.dialing]
				if allowed && s.dials > 1 {
					furtherDials = append(furtherDials, r.now)
					n, limit := inWindow(furtherDials, r.now-budget.Window), budget.FreeRetries+budget.RetriesPerSession*float64(inWindow(arrivals, r.now-budget.Window*5/4))
					if float64(n) > limit {
						t.Fatalf("seed %d: %d further dials within a window of %.1f", seed, n, limit)
					}
				}
				if allowed && at.ID == cold.ID {
					firstLines++
					if now := int((r.now - cold.StartedAt) / rule.OverloadWindow); now != interval {
						interval, sent = now, 0
					}
					r.b.updateSlotQuota(at)
					if sent += r.b.relativeLoad(r.b.sessions[s.id]); sent > at.slotQuota+1e-9 {
						t.Fatalf("seed %d: %v goes out in frame %d, whose turn is %v", seed, sent, interval, at.slotQuota)
					}
				}
				if r.settle(s, map[bool]Outcome{true: ServerFull, false: NotSent}[allowed]); s.dialing != 0 {
					dialing, connectedAt[s.id] = append(dialing, s), r.now+time.Duration(rng.Int63n(int64(rule.OverloadWindow/3)))
				}
			}
		}
	}
	if firstLines < 30 {
		t.Errorf("%d lines to cold servers", firstLines)
	}
}
