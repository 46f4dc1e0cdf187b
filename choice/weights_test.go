package choice

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestSharesFollowSizes: Ross's recursion stays exact for large fleets.
func TestSharesFollowSizes(t *testing.T) {
	for n, keys := range map[int]Key{9: 200000, 150: 100000, 1000: 40000} {
		r := fleet(n)
		large, want := 0.0, 0.0
		for k := Key(1); k <= keys; k++ {
			if r.topServer(k).Size > 2 {
				large++
			}
		}
		for _, srv := range r.b.ready {
			if srv.Size > 2 {
				want += srv.Size / r.b.totalSize
			}
		}
		if got := large / float64(keys); math.Abs(got-want) > 0.01 {
			t.Errorf("of %d servers the larger ones have a share of %.3f and get %.3f", n, want, got)
		}
	}
}

func TestLoweringMovesOnlyFromTheLowered(t *testing.T) {
	r := fleet(8)
	var before [20000]*server
	for k := range before {
		before[k] = r.topServer(Key(k))
	}
	for i, srv := range r.b.ready {
		srv.addLoadSample([]float64{3, 3, 0, 0, 0, 0, 0, 0}[i])
	}
	r.b.adaptWeights()
	r.b.updateWeights()
	moved := 0
	for k, was := range before {
		if is := r.topServer(Key(k)); is != was && was.adaptFactor < 1 && is.adaptFactor == 1 {
			moved++
		} else if is != was {
			t.Fatalf("key %d moves from %d to %d", k, was.ID, is.ID)
		}
	}
	if moved == 0 {
		t.Error("no key moved")
	}
}

// TestAdapt works the multiplier out by hand, below and above full load, and for a lone server.
func TestAdapt(t *testing.T) {
	for _, c := range []struct{ loads, want []float64 }{
		{[]float64{0.9, 0.1, 0.1, 0.1}, []float64{math.Sqrt(0.65 / 0.9), 1, 1, 1}},
		{[]float64{0.95, 0.8, 0.1, 0.1}, []float64{math.Sqrt(0.74375 / 0.8), math.Sqrt(0.74375 / 0.8), 1, 1}},
		{[]float64{0.5, 1.9, 1.9, 1.9}, []float64{math.Sqrt(1.275 / 0.5), 1, 1, 1}},
		{[]float64{0.5, 0.5, 0.5, 0.5}, []float64{1, 1, 1, 1}},
		{[]float64{0.99}, []float64{1}},
	} {
		r := newRig(someCold, rand.New(rand.NewSource(1)))
		r.list(ListFull, len(c.loads))
		for i, srv := range r.b.ready {
			srv.addLoadSample(c.loads[i])
		}
		r.b.adaptWeights()
		for i, srv := range r.b.ready {
			if math.Abs(srv.adaptFactor-c.want[i]) > 1e-9 {
				t.Errorf("loads %v: server %d has %v, want %v", c.loads, i, srv.adaptFactor, c.want[i])
			}
		}
	}
}

// TestDepth: from releases and overload, a group keeps to its best few scores, a hot one to as many as it
// would fill. From 200 proxies: one session among six is no hot group. From overload at 0.7 of the fleet, where
// each server more that held of a group made more late: it goes less deep the more are.
func TestDepth(t *testing.T) {
	type groups struct{ servers, others, ours, late, want int }
	for _, c := range []groups{{20, 190, 10, 0, 4}, {20, 10, 10, 0, 12}, {57, 5, 1, 0, 4}, {20, 190, 10, 10, 3}, {20, 10, 10, 10, 8},
		{20, 190, 10, 20, 3}} {
		r := fleet(c.servers)
		for i := range c.others + c.ours {
			r.b.AdoptSession(0, Arrival{ID: SessionID(i), Group: Key(7 + max(0, i-c.ours+1))}, ServerID(1+i%c.servers))
		}
		r.now, r.b.now = sec, sec
		for _, srv := range r.b.ready[:c.late] {
			srv.lateAt = sec
		}
		if got := r.b.candidateCount(&session{Arrival: Arrival{Group: 7}}); got != c.want {
			t.Errorf("%+v: the group may go down %d scores", c, got)
		}
	}
}

// TestParts sends a group's clients through proxies that hold nothing else. Where these are several times the
// servers, and the servers many, its sessions stand at two servers in like parts, the same for all proxies; else at one.
func TestParts(t *testing.T) {
	const clients = 600
	for _, c := range []struct{ proxies, servers, places int }{{3, 24, 1}, {24, 24, 1}, {71, 24, 1}, {72, 24, 2}, {300, 24, 2},
		{300, 12, 1}} {
		at := map[ServerID]int{}
		for k := range Key(clients) {
			cold := someCold
			cold.ProxyCount = c.proxies
			r := newRig(cold, rand.New(rand.NewSource(int64(k))))
			r.list(ListFull, c.servers)
			at[r.arrive(0, k+1, 9, 0).dialing]++
		}
		if len(at) != c.places {
			t.Errorf("%d proxies, %d servers: the group has the servers %v", c.proxies, c.servers, at)
		}
		for id, n := range at {
			if n < clients/c.places*3/4 {
				t.Errorf("%d proxies, %d servers: %d of %d sessions at server %d", c.proxies, c.servers, n, clients, id)
			}
		}
	}
}

// TestModels: from fleets whose listed sizes tell nothing of speed. Where servers of one model are late its share of the
// keys falls, and shares stay whole; both late alike teaches nothing, and however long it lasts a part stays.
func TestModels(t *testing.T) {
	for _, c := range []struct {
		late        []ServerID // in each round: 1 is of the larger model, 2 of the smaller
		rounds      int
		least, most float64 // share of the smaller
	}{{[]ServerID{1}, 4, 0.4, 0.7}, {[]ServerID{2}, 4, 0.1, 0.3}, {[]ServerID{1, 2}, 10, 0.33, 0.34}, {[]ServerID{1}, 5000, 0.88, 0.9}} {
		r := fleet(20)
		for i := range 200 {
			r.b.AdoptSession(0, Arrival{ID: SessionID(i), Client: Key(i)}, ServerID(1+i%20))
		}
		for range c.rounds {
			r.now += roundInterval
			for _, id := range c.late {
				r.b.RecordServerDelay(r.now, id, 101*ms)
			}
			r.b.HandleTimer(r.now, tokenRound)
		}
		one, two := 10*r.b.fleetShare(r.b.serverByID[1]), 10*r.b.fleetShare(r.b.serverByID[2])
		if two < c.least || two > c.most || math.Abs(one+two-1) > 1e-9 || r.failure != "" {
			t.Errorf("%v late: shares of %.3f and %.3f; %s", c.late, one, two, r.failure)
		}
	}
}

// TestThinPart: from days with 30 to 260 proxies, a server stays late for as long as each proxy holds one
// session there, more than its part of the excess. All together they must move about the excess at once.
func TestThinPart(t *testing.T) {
	const proxies = 400
	for growth, want := range map[time.Duration]float64{100 * ms: 0.18, 300 * ms: 0.46, 900 * ms: 0.68} {
		moved := 0
		for seed := range int64(proxies) {
			r := newRig(someCold, rand.New(rand.NewSource(seed)))
			r.list(ListFull, 9)
			s := r.arrive(0, 1, 1, 0)
			to := s.dialing
			r.settle(s, Accepted)
			r.b.RecordServerDelay(sec, to, someListeners[0].MessageTarget/3+growth)
			if s.clientGone {
				moved++
			}
		}
		if got := float64(moved) / proxies; math.Abs(got-want) > 0.06 {
			t.Errorf("delay up by %v in a second: %.2f of the sessions move, want %.2f", growth, got, want)
		}
	}
}

// BenchmarkPick: its growth with the fleet and the lack of allocations matter, not its times.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 136} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := fleet(n)
			r.fill(Key(n))
			s := &session{}
			b.ReportAllocs()
			for i := range b.N {
				s.Group = Key(i)
				r.b.selectServer(s)
			}
		})
	}
}
