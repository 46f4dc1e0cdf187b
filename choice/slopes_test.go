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
func (f *quietFront) Refuse(SessionID, time.Duration)         {}
func (f *quietFront) Abort(SessionID)                         {}
func (f *quietFront) Move(SessionID)                          {}
func (f *quietFront) PublishOverload(ServerID, time.Duration) {}
func (f *quietFront) StartTimer(time.Duration, TimerToken)    {}
func (f *quietFront) SubscribeList()                          {}
func (f *quietFront) Log(string)                              {}

func slopeEntries(servers int) []Entry {
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{ID: ServerID(mixBits(uint64(i))), Size: float64(2 + i%3), Zone: ZoneID(i % 10), Status: Ready}
	}
	return entries
}

// balancerOf is a module with servers and open sessions, four to a group.
func balancerOf(servers, sessions int) (*Balancer, *quietFront) {
	front := &quietFront{}
	listeners := []Listener{{Name: "push", HandshakeTarget: sec, DialTimeout: 3 * sec, MessageTarget: sec, Utility: 1}}
	b := New(front, rand.New(rand.NewSource(1)), listeners, DialLimits{MaxDials: 3, MaxRetryAfter: sec}, RetryBudget{},
		ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, ColdSettings{}, PeerReportSettings{})
	b.ApplyList(0, ListFull, slopeEntries(servers))
	for id := range sessions {
		openSession(b, front, SessionID(id+1))
	}
	return b, front
}

func openSession(b *Balancer, front *quietFront, id SessionID) {
	openInGroup(b, front, id, Key(mixBits(uint64(id/4))))
}

func openInGroup(b *Balancer, front *quietFront, id SessionID, group Key) {
	a := Arrival{ID: id, TimeLeft: 3 * sec, Client: Key(id), Group: group}
	if err := b.PlaceSession(0, a); err != nil {
		panic(err) // ids are fresh
	}
	b.HandleOpened(0, id, front.server, 0, 0)
}

func closeSession(b *Balancer, front *quietFront, id SessionID) {
	b.HandleClientGone(0, id)
	b.HandleDialEnd(0, id, 0, front.server, Cancelled, 0, true)
}

func BenchmarkSlopeModuleListDelta(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, _ := balancerOf(n, 0)
			entry := slopeEntries(n)[:1]
			for b.Loop() {
				balancer.ApplyList(0, ListDelta, entry)
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
				balancer.ApplyList(0, ListFull, entries)
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
				balancer.HandleTimer(0, tokenRound)
			}
		})
	}
}

func BenchmarkSlopeModuleRoundBySessions(b *testing.B) {
	for _, n := range slopeSessions {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			balancer, _ := balancerOf(usualServers, n)
			for b.Loop() {
				balancer.HandleTimer(0, tokenRound)
			}
		})
	}
}

func BenchmarkSlopeModuleStateByServers(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer { balancer, _ := balancerOf(n, 0); return balancer })
			reportOnly(b, bytes, "held-B")
		})
	}
}

func BenchmarkSlopeModuleStateBySessions(b *testing.B) {
	for _, n := range slopeSessions {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer { balancer, _ := balancerOf(usualServers, n); return balancer })
			reportOnly(b, bytes, "held-B")
		})
	}
}

// BenchmarkSlopeModuleStateByGroups has as many sessions at each step.
func BenchmarkSlopeModuleStateByGroups(b *testing.B) {
	const sessions = 85500
	for _, groups := range []int{1000, 10000, 21375, 42750, 85500} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer {
				balancer, front := balancerOf(usualServers, 0)
				for id := range sessions {
					openInGroup(balancer, front, SessionID(id+1), Key(mixBits(uint64(id%groups))))
				}
				return balancer
			})
			reportOnly(b, bytes, "held-B")
		})
	}
}

// BenchmarkSlopeModuleSwitch is what other settings cost on the loop.
func BenchmarkSlopeModuleSwitch(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, _ := balancerOf(n, 0)
			listeners := []Listener{{Name: "push", HandshakeTarget: sec, DialTimeout: 3 * sec, MessageTarget: sec, Utility: 1}}
			for b.Loop() {
				balancer.Reconfigure(0, listeners, DialLimits{MaxDials: 3}, RetryBudget{}, ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec},
					ColdSettings{}, PeerReportSettings{})
			}
		})
	}
}

// BenchmarkSlopeModuleGone is what servers cost that have left the list, beside those of a usual one.
func BenchmarkSlopeModuleGone(b *testing.B) {
	for _, gone := range []int{1300, 3900, 13000, 39000} {
		b.Run(fmt.Sprintf("gone=%d", gone), func(b *testing.B) {
			all := slopeEntries(usualServers + gone)
			balancer, bytes := heap.Held(func() *Balancer {
				balancer, _ := balancerOf(0, 0)
				balancer.ApplyList(0, ListFull, all)
				balancer.ApplyList(0, ListFull, all[:usualServers])
				return balancer
			})
			for b.Loop() {
				balancer.ApplyList(0, ListDelta, all[:1])
			}
			b.ReportMetric(bytes, "held-B")
		})
	}
}

// The cold rule of the stand-in platform, and how many sessions a proxy has for each server at the expected size.
const (
	slopeColdSpan   = 20 * time.Second
	slopeColdWindow = 3 * time.Second
	manySessions    = 42.75 // 85,500 on 2,000 servers
	fewSessions     = 4.275 // on 20,000
)

func BenchmarkSlopeColdTurnsMany(b *testing.B) { slopeColdTurns(b, manySessions) }
func BenchmarkSlopeColdTurnsFew(b *testing.B)  { slopeColdTurns(b, fewSessions) }

// slopeColdTurns steps through the warming of servers that start at once, and tells when a proxy has its first turn at
// one and how much of its usual sessions its turns allow there. It needs no clock.
func slopeColdTurns(b *testing.B, sessionsEach float64) {
	const coldServers = 400
	for _, proxies := range []int{60, 300, 1000, 3000, 7600} {
		b.Run(fmt.Sprintf("proxies=%d", proxies), func(b *testing.B) {
			balancer, _ := balancerOf(0, 0)
			entries := slopeEntries(coldServers)
			for i := range entries {
				entries[i].Size, entries[i].StartKnown = 1, true
			}
			var first time.Duration
			allowed := 0.0
			for b.Loop() {
				first, allowed = 0, 0
				balancer.coldSettings = ColdSettings{RampDuration: slopeColdSpan, InitialShare: 0.2, OverloadMultiple: 3, OverloadWindow: slopeColdWindow, ProxyCount: proxies, ProxyIndex: proxies / 3}
				balancer.ApplyList(0, ListFull, entries)
				balancer.sustainedDensity = sessionsEach
				for _, srv := range balancer.servers {
					at, turns := coldTurns(balancer, srv)
					first, allowed = first+at, allowed+turns
				}
			}
			b.ReportMetric(first.Seconds()/coldServers, "first-s")
			b.ReportMetric(allowed/coldServers/sessionsEach, "allowed-share")
		})
	}
}

func coldTurns(b *Balancer, srv *server) (first time.Duration, turns float64) {
	first = slopeColdSpan // where there is none
	srv.quotaSlot = 0
	for at := time.Duration(0); at < slopeColdSpan; at += slopeColdWindow {
		b.now = at
		b.updateSlotQuota(srv)
		if turns += srv.slotQuota; srv.slotQuota > 0 {
			first = min(first, at)
		}
	}
	return first, turns
}

// BenchmarkSlopeDialBudget is what a budget of further dials costs by the sessions taken in its window.
func BenchmarkSlopeDialBudget(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 85500} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			balancer, bytes := heap.Held(func() *Balancer {
				balancer, _ := balancerOf(0, 0)
				balancer.retryBudget = RetryBudget{FreeRetries: 10, RetriesPerSession: 0.1, Window: time.Minute}
				for i := range n {
					balancer.arrivalTimes.add(time.Duration(i)*time.Minute/time.Duration(n), 0)
				}
				return balancer
			})
			balancer.now = time.Minute
			for b.Loop() {
				balancer.hasRetryBudget()
			}
			b.ReportMetric(bytes, "held-B")
		})
	}
}

// reportOnly reports a value that is not a time, and no time.
func reportOnly(b *testing.B, value float64, unit string) {
	for b.Loop() {
	}
	b.ReportMetric(0, "ns/op") // the testing package leaves it out then
	b.ReportMetric(value, unit)
}
