package choice

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"chalkferry/internal/capacity/heap"
)

// Benchmarks behind docs/CAPACITY.md: the costs of a Balancer by servers, sessions and groups. `chalkferry capacity fit`
// reads their output. The part of a name after the slash is the variable.

var (
	slopeServers  = []int{100, 1000, 3000, 10000, 20000, 50000}
	slopeSessions = []int{1000, 5000, 20000, 50000, 85500}
)

const defaultServers = 2000 // while the number of sessions varies

// nullFront ignores all calls but Dial, of which it keeps the last server and the number.
type nullFront struct {
	lastServer ServerID
	dials      int
}

func (f *nullFront) Dial(_ SessionID, to ServerID, _ time.Duration) {
	f.lastServer, f.dials = to, f.dials+1
}
func (f *nullFront) Refuse(SessionID, time.Duration)         {}
func (f *nullFront) Abort(SessionID)                         {}
func (f *nullFront) Move(SessionID)                          {}
func (f *nullFront) PublishOverload(ServerID, time.Duration) {}
func (f *nullFront) StartTimer(time.Duration, TimerToken)    {}
func (f *nullFront) SubscribeList()                          {}
func (f *nullFront) Log(string)                              {}

// slopeEntries returns the entries of so many ready servers.
func slopeEntries(servers int) []Entry {
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{ID: ServerID(mixBits(uint64(i))), Size: float64(2 + i%3), Zone: ZoneID(i % 10), Status: Ready}
	}
	return entries
}

// newBenchBalancer returns a Balancer with servers and open sessions, four in each group.
func newBenchBalancer(servers, sessions int) (*Balancer, *nullFront) {
	front := &nullFront{}
	listeners := []Listener{{Name: "push", HandshakeTarget: sec, DialTimeout: 3 * sec, MessageTarget: sec, Utility: 1}}
	b := New(front, rand.New(rand.NewSource(1)), listeners, DialLimits{MaxDials: 3, MaxRetryAfter: sec}, RetryBudget{},
		ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, ColdSettings{}, PeerReportSettings{})
	b.ApplyList(0, ListFull, slopeEntries(servers))
	for id := range sessions {
		openSession(b, front, SessionID(id+1))
	}
	return b, front
}

// openSession opens a session, four consecutive ids in one group.
func openSession(b *Balancer, front *nullFront, id SessionID) {
	openInGroup(b, front, id, Key(mixBits(uint64(id/4))))
}

func openInGroup(b *Balancer, front *nullFront, id SessionID, group Key) {
	arrival := Arrival{ID: id, TimeLeft: 3 * sec, Client: Key(id), Group: group}
	if err := b.PlaceSession(0, arrival); err != nil {
		panic(err) // ids are new
	}
	b.HandleOpened(0, id, front.lastServer, 0, 0)
}

// closeSession ends an open session.
func closeSession(b *Balancer, front *nullFront, id SessionID) {
	b.HandleClientGone(0, id)
	b.HandleDialEnd(0, id, 0, front.lastServer, Cancelled, 0, true)
}

func BenchmarkSlopeModuleListDelta(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, _ := newBenchBalancer(n, 0)
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
			balancer, _ := newBenchBalancer(n, 0)
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
			balancer, front := newBenchBalancer(n, 0)
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
			balancer, _ := newBenchBalancer(n, 0)
			for b.Loop() {
				balancer.HandleTimer(0, tokenRound)
			}
		})
	}
}

func BenchmarkSlopeModuleRoundBySessions(b *testing.B) {
	for _, n := range slopeSessions {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			balancer, _ := newBenchBalancer(defaultServers, n)
			for b.Loop() {
				balancer.HandleTimer(0, tokenRound)
			}
		})
	}
}

func BenchmarkSlopeModuleStateByServers(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer { balancer, _ := newBenchBalancer(n, 0); return balancer })
			reportOnly(b, bytes, "held-B")
		})
	}
}

func BenchmarkSlopeModuleStateBySessions(b *testing.B) {
	for _, n := range slopeSessions {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer { balancer, _ := newBenchBalancer(defaultServers, n); return balancer })
			reportOnly(b, bytes, "held-B")
		})
	}
}

// BenchmarkSlopeModuleStateByGroups has the same number of sessions at each step.
func BenchmarkSlopeModuleStateByGroups(b *testing.B) {
	const sessions = 85500
	for _, groups := range []int{1000, 10000, 21375, 42750, 85500} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			_, bytes := heap.Held(func() *Balancer {
				balancer, front := newBenchBalancer(defaultServers, 0)
				for id := range sessions {
					openInGroup(balancer, front, SessionID(id+1), Key(mixBits(uint64(id%groups))))
				}
				return balancer
			})
			reportOnly(b, bytes, "held-B")
		})
	}
}

// BenchmarkSlopeModuleSwitch measures a change of settings, which blocks the event loop.
func BenchmarkSlopeModuleSwitch(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, _ := newBenchBalancer(n, 0)
			listeners := []Listener{{Name: "push", HandshakeTarget: sec, DialTimeout: 3 * sec, MessageTarget: sec, Utility: 1}}
			for b.Loop() {
				balancer.Reconfigure(0, listeners, DialLimits{MaxDials: 3}, RetryBudget{},
					ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, ColdSettings{}, PeerReportSettings{})
			}
		})
	}
}

// BenchmarkSlopeModuleGone measures the cost of servers that have left the list, beside the default number of servers.
func BenchmarkSlopeModuleGone(b *testing.B) {
	for _, gone := range []int{1300, 3900, 13000, 39000} {
		b.Run(fmt.Sprintf("gone=%d", gone), func(b *testing.B) {
			all := slopeEntries(defaultServers + gone)
			balancer, bytes := heap.Held(func() *Balancer {
				balancer, _ := newBenchBalancer(0, 0)
				balancer.ApplyList(0, ListFull, all)
				balancer.ApplyList(0, ListFull, all[:defaultServers])
				return balancer
			})
			for b.Loop() {
				balancer.ApplyList(0, ListDelta, all[:1])
			}
			b.ReportMetric(bytes, "held-B")
		})
	}
}

// Cold settings of the stand-in platform, and how many sessions a proxy has for each server at the expected fleet size.
const (
	slopeRampDuration   = 20 * time.Second
	slopeOverloadWindow = 3 * time.Second
	manySessions        = 42.75 // 85,500 sessions on 2,000 servers
	fewSessions         = 4.275 // the same on 20,000 servers
)

func BenchmarkSlopeColdTurnsMany(b *testing.B) { slopeColdQuota(b, manySessions) }
func BenchmarkSlopeColdTurnsFew(b *testing.B)  { slopeColdQuota(b, fewSessions) }

// slopeColdQuota steps through the ramps of servers that start at once. It reports when a proxy has its first quota for
// one, and all its quotas there as a share of the sessions that it has for a server. It needs no clock.
func slopeColdQuota(b *testing.B, sessionsPerServer float64) {
	const coldServers = 400
	for _, proxies := range []int{60, 300, 1000, 3000, 7600} {
		b.Run(fmt.Sprintf("proxies=%d", proxies), func(b *testing.B) {
			balancer, _ := newBenchBalancer(0, 0)
			entries := slopeEntries(coldServers)
			for i := range entries {
				entries[i].Size, entries[i].StartKnown = 1, true
			}
			var firstQuotaAt time.Duration
			quotaTotal := 0.0
			for b.Loop() {
				firstQuotaAt, quotaTotal = 0, 0
				balancer.coldSettings = ColdSettings{RampDuration: slopeRampDuration, InitialShare: 0.2, OverloadMultiple: 3,
					OverloadWindow: slopeOverloadWindow, ProxyCount: proxies, ProxyIndex: proxies / 3}
				balancer.ApplyList(0, ListFull, entries)
				balancer.sustainedDensity = sessionsPerServer
				for _, srv := range balancer.servers {
					start, quota := coldQuota(balancer, srv)
					firstQuotaAt, quotaTotal = firstQuotaAt+start, quotaTotal+quota
				}
			}
			b.ReportMetric(firstQuotaAt.Seconds()/coldServers, "first-s")
			b.ReportMetric(quotaTotal/coldServers/sessionsPerServer, "allowed-share")
		})
	}
}

// coldQuota returns when the proxy has its first quota for a cold server that starts at 0, and the sum of its quotas there.
func coldQuota(b *Balancer, srv *server) (firstAt time.Duration, quota float64) {
	firstAt = slopeRampDuration // if there is none
	srv.quotaSlot = 0
	for instant := time.Duration(0); instant < slopeRampDuration; instant += slopeOverloadWindow {
		b.now = instant
		b.updateSlotQuota(srv)
		if quota += srv.slotQuota; srv.slotQuota > 0 {
			firstAt = min(firstAt, instant)
		}
	}
	return firstAt, quota
}

// BenchmarkSlopeDialBudget measures a check of the retry budget by the sessions that arrived in its window.
func BenchmarkSlopeDialBudget(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 85500} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			balancer, bytes := heap.Held(func() *Balancer {
				balancer, _ := newBenchBalancer(0, 0)
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
	b.ReportMetric(0, "ns/op") // which makes the testing package leave it out
	b.ReportMetric(value, unit)
}
