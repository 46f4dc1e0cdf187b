package choice

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestSharesFollowSizes: servers get keys in proportion to their sizes. Ross's recursion must stay exact for large fleets.
func TestSharesFollowSizes(t *testing.T) {
	for servers, keys := range map[int]Key{9: 200000, 150: 100000, 1000: 40000} {
		r := newFleet(servers)
		large, want := 0.0, 0.0
		for key := Key(1); key <= keys; key++ {
			if r.topServer(key).Size > 2 {
				large++
			}
		}
		for _, srv := range r.balancer.ready {
			if srv.Size > 2 {
				want += srv.Size / r.balancer.totalSize
			}
		}
		if got := large / float64(keys); math.Abs(got-want) > 0.01 {
			t.Errorf("of %d servers the larger ones have a share of %.3f and get %.3f", servers, want, got)
		}
	}
}

// TestLoweringMovesOnlyFromTheLowered: when weights are lowered, keys move only from servers of lowered weight to others.
func TestLoweringMovesOnlyFromTheLowered(t *testing.T) {
	r := newFleet(8)
	var before [20000]*server
	for key := range before {
		before[key] = r.topServer(Key(key))
	}
	for i, srv := range r.balancer.ready {
		srv.addLoadSample([]float64{3, 3, 0, 0, 0, 0, 0, 0}[i])
	}
	r.balancer.adaptWeights()
	r.balancer.updateWeights()
	moved := 0
	for key, old := range before {
		if now := r.topServer(Key(key)); now != old && old.adaptFactor < 1 && now.adaptFactor == 1 {
			moved++
		} else if now != old {
			t.Fatalf("key %d moves from %d to %d", key, old.ID, now.ID)
		}
	}
	if moved == 0 {
		t.Error("no key moved")
	}
}

// TestAdapt: adaptWeights must change the weights of servers beyond the threshold only, and by the right factor. It is
// compared with factors worked out by hand, below and above full load, and for a single server.
func TestAdapt(t *testing.T) {
	for _, c := range []struct{ loads, want []float64 }{
		{[]float64{0.9, 0.1, 0.1, 0.1}, []float64{math.Sqrt(0.65 / 0.9), 1, 1, 1}},
		{[]float64{0.95, 0.8, 0.1, 0.1}, []float64{math.Sqrt(0.74375 / 0.8), math.Sqrt(0.74375 / 0.8), 1, 1}},
		{[]float64{0.5, 1.9, 1.9, 1.9}, []float64{math.Sqrt(1.275 / 0.5), 1, 1, 1}},
		{[]float64{0.5, 0.5, 0.5, 0.5}, []float64{1, 1, 1, 1}},
		{[]float64{0.99}, []float64{1}},
	} {
		r := newRig(testCold, rand.New(rand.NewSource(1)))
		r.publishServers(ListFull, len(c.loads))
		for i, srv := range r.balancer.ready {
			srv.addLoadSample(c.loads[i])
		}
		r.balancer.adaptWeights()
		for i, srv := range r.balancer.ready {
			if math.Abs(srv.adaptFactor-c.want[i]) > 1e-9 {
				t.Errorf("loads %v: server %d has the factor %v, want %v", c.loads, i, srv.adaptFactor, c.want[i])
			}
		}
	}
}

// TestCandidateCount: a group keeps to the few servers of its highest scores, a hot one to as many as it would fill. One
// session among six is no hot group, as a proxy among 200 has so few. In overload at 0.7 of the fleet, each further server
// that held sessions of a group made more servers late, so a group has fewer candidates the more servers are late.
func TestCandidateCount(t *testing.T) {
	type testCase struct{ servers, others, ours, late, want int }
	for _, c := range []testCase{
		{20, 190, 10, 0, 4}, {20, 10, 10, 0, 12}, {57, 5, 1, 0, 4},
		{20, 190, 10, 10, 3}, {20, 10, 10, 10, 8}, {20, 190, 10, 20, 3},
	} {
		r := newFleet(c.servers)
		for i := range c.others + c.ours {
			r.balancer.AdoptSession(0, Arrival{ID: SessionID(i), Group: Key(7 + max(0, i-c.ours+1))}, ServerID(1+i%c.servers))
		}
		r.now, r.balancer.now = sec, sec
		for _, srv := range r.balancer.ready[:c.late] {
			srv.lateAt = sec
		}
		if got := r.balancer.candidateCount(&session{Arrival: Arrival{Group: 7}}); got != c.want {
			t.Errorf("%+v: the group has %d candidates", c, got)
		}
	}
}

// TestSplitGroup places a group's clients by proxies that hold nothing else. If there are several times as many proxies as
// servers, and many servers, its sessions go to two servers in about equal parts, the same for all proxies; else to one.
func TestSplitGroup(t *testing.T) {
	const clients = 600
	for _, c := range []struct{ proxies, servers, wantServers int }{{3, 24, 1}, {24, 24, 1}, {71, 24, 1}, {72, 24, 2}, {300, 24, 2},
		{300, 12, 1}} {
		sessionsAt := map[ServerID]int{}
		for key := range Key(clients) {
			cold := testCold
			cold.ProxyCount = c.proxies
			r := newRig(cold, rand.New(rand.NewSource(int64(key))))
			r.publishServers(ListFull, c.servers)
			sessionsAt[r.arrive(0, key+1, 9, 0).dialing]++
		}
		if len(sessionsAt) != c.wantServers {
			t.Errorf("%d proxies, %d servers: the group is placed at %v, want %d servers", c.proxies, c.servers, sessionsAt, c.wantServers)
		}
		for id, n := range sessionsAt {
			if n < clients/c.wantServers*3/4 {
				t.Errorf("%d proxies, %d servers: %d of %d sessions at server %d", c.proxies, c.servers, n, clients, id)
			}
		}
	}
}

// TestModels: listed sizes may say nothing of speed. If servers of one model are late, its share of the keys falls, and the
// shares still add up to 1. If both models are late equally often, nothing changes. However long one is late, a part of its
// share stays.
func TestModels(t *testing.T) {
	for _, c := range []struct {
		late               []ServerID // in each round: 1 is of the larger model, 2 of the smaller
		rounds             int
		minShare, maxShare float64 // bounds on the smaller model's share of the fleet
	}{
		{[]ServerID{1}, 4, 0.4, 0.7},
		{[]ServerID{2}, 4, 0.1, 0.3},
		{[]ServerID{1, 2}, 10, 0.33, 0.34},
		{[]ServerID{1}, 5000, 0.88, 0.9},
	} {
		r := newFleet(20)
		for i := range 200 {
			r.balancer.AdoptSession(0, Arrival{ID: SessionID(i), Client: Key(i)}, ServerID(1+i%20))
		}
		for range c.rounds {
			r.now += roundInterval
			for _, id := range c.late {
				r.balancer.RecordServerDelay(r.now, id, 101*ms)
			}
			r.balancer.HandleTimer(r.now, tokenRound)
		}
		firstShare, secondShare := 10*r.balancer.fleetShare(r.balancer.serverByID[1]),
			10*r.balancer.fleetShare(r.balancer.serverByID[2])
		if secondShare < c.minShare || secondShare > c.maxShare || math.Abs(firstShare+secondShare-1) > 1e-9 || r.failure != "" {
			t.Errorf("%v late: shares of %.3f and %.3f; %s", c.late, firstShare, secondShare, r.failure)
		}
	}
}

// TestManyProxiesMoveExcess: with 30 to 260 proxies, a server stayed late as long as each proxy held one session there,
// which is more than its part of the excess. All proxies together must move about the excess at once.
func TestManyProxiesMoveExcess(t *testing.T) {
	const proxies = 400
	for growth, want := range map[time.Duration]float64{100 * ms: 0.18, 300 * ms: 0.46, 900 * ms: 0.68} {
		moved := 0
		for seed := range int64(proxies) {
			r := newRig(testCold, rand.New(rand.NewSource(seed)))
			r.publishServers(ListFull, 9)
			s := r.arrive(0, 1, 1, 0)
			server := s.dialing
			r.endDial(s, Accepted)
			r.balancer.RecordServerDelay(sec, server, testListeners[0].MessageTarget/3+growth)
			if s.clientGone {
				moved++
			}
		}
		if got := float64(moved) / proxies; math.Abs(got-want) > 0.06 {
			t.Errorf("delay up by %v in a second: a share of %.2f of the sessions is moved, want %.2f", growth, got, want)
		}
	}
}

// BenchmarkPick measures the choice of a server by the size of the fleet. What matters is how the time grows, and that
// nothing is allocated.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 136} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newFleet(n)
			r.openSessions(Key(n))
			s := &session{}
			b.ReportAllocs()
			for i := range b.N {
				s.Group = Key(i)
				r.balancer.selectServer(s)
			}
		})
	}
}
