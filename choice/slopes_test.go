package choice

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"chalkferry/internal/capacity/heap"
)

// Benchmarks behind docs/CAPACITY.md: what the module costs by servers, sessions and groups. `chalkferry capacity fit`
// reads their output; the part of a name after the slash is the variable.

var (
	slopeServers  = []int{100, 1000, 3000, 10000, 20000, 50000}
	slopeSessions = []int{1000, 5000, 20000, 50000, 85500}
)

const usualServers = 2000 // where sessions vary

// quietFront takes the module's calls and does nothing but keep the latest dial.
type quietFront struct {
	server ServerID
	dials  int
}

func (f *quietFront) Dial(_ SessionID, to ServerID, _ time.Duration) {
	f.server, f.dials = to, f.dials+1
}
func (f *quietFront) Refuse(SessionID, time.Duration) {}
func (f *quietFront) TearDown(SessionID)              {}
func (f *quietFront) Move(SessionID)                  {}
func (f *quietFront) Tell(ServerID, time.Duration)    {}
func (f *quietFront) Timer(time.Duration, Token)      {}
func (f *quietFront) Watch()                          {}
func (f *quietFront) Log(string)                      {}

func slopeEntries(servers int) []Entry {
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{ID: ServerID(mix(uint64(i))), Size: float64(2 + i%3), Zone: ZoneID(i % 10), Standing: Ready}
	}
	return entries
}

// balancerOf is a module with servers and open sessions, four to a group.
func balancerOf(servers, sessions int) (*Balancer, *quietFront) {
	front := &quietFront{}
	listeners := []Listener{{Name: "push", HandshakeTarget: sec, DialTimeout: 3 * sec, MessageTarget: sec, Utility: 1}}
	b := New(front, rand.New(rand.NewSource(1)), listeners, DialLimits{MostDials: 3, MaxComeBack: sec}, DialBudget{},
		ListRules{MustWatch: true, MustAskIn: 10 * sec}, ColdRule{}, WordRule{})
	b.List(0, ListFull, slopeEntries(servers))
	for id := range sessions {
		openSession(b, front, SessionID(id+1))
	}
	return b, front
}

func openSession(b *Balancer, front *quietFront, id SessionID) {
	a := Arrival{ID: id, Left: 3 * sec, Client: Key(id), Group: Key(mix(uint64(id / 4)))}
	if err := b.Arrive(0, a); err != nil {
		panic(err) // ids are fresh
	}
	b.Opened(0, id, front.server, 0, 0)
}

func closeSession(b *Balancer, front *quietFront, id SessionID) {
	b.Left(0, id)
	b.Settled(0, id, 0, front.server, Cancelled, 0, true)
}

func BenchmarkSlopeModuleListDelta(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, _ := balancerOf(n, 0)
			entry := slopeEntries(n)[:1]
			for b.Loop() {
				balancer.List(0, ListDelta, entry)
			}
		})
	}
}

func BenchmarkSlopeModuleWholeList(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, _ := balancerOf(n, 0)
			entries := slopeEntries(n)
			for b.Loop() {
				balancer.List(0, ListFull, entries)
			}
		})
	}
}

func BenchmarkSlopeModuleSession(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, front := balancerOf(n, 0)
			id := SessionID(0)
			for b.Loop() {
				id++
				openSession(balancer, front, id)
				closeSession(balancer, front, id)
			}
		})
	}
}

func BenchmarkSlopeModuleRoundByServers(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, _ := balancerOf(n, 0)
			for b.Loop() {
				balancer.Tick(0, tokenRound)
			}
		})
	}
}

func BenchmarkSlopeModuleRoundBySessions(b *testing.B) {
	for _, n := range slopeSessions {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			balancer, _ := balancerOf(usualServers, n)
			for b.Loop() {
				balancer.Tick(0, tokenRound)
			}
		})
	}
}

func BenchmarkSlopeModuleStateByServers(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer { balancer, _ := balancerOf(n, 0); return balancer })
			for b.Loop() {
			}
			b.ReportMetric(bytes, "held-B")
		})
	}
}

func BenchmarkSlopeModuleStateBySessions(b *testing.B) {
	for _, n := range slopeSessions {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer { balancer, _ := balancerOf(usualServers, n); return balancer })
			for b.Loop() {
			}
			b.ReportMetric(bytes, "held-B")
		})
	}
}
