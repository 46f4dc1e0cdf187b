package aggregation

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"
)

// Steps of the variables of the benchmarks. The largest are those of an aggregator's share of 7,600 members, and of
// 10,000 servers among the keys.
var (
	keySteps    = []int{100, 1000, 3000, 10_000}
	memberSteps = []int{100, 500, 2533}
	memberKeys  = []int{100, 1000}
)

// heapBytes returns the bytes in use after a collection.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func slopeMember(b testing.TB, id MemberID) *Member {
	b.Helper()
	m, err := NewMember(0, MemberConfig{
		ID: id, Region: "region0", Zone: "zone0", Incarnation: 1, Aggregators: []AggregatorID{1, 2}, MaxKeys: 16_384,
		ChangeShare: 0.1, Freshness: testFreshness, Decay: testDecay,
	})
	if err != nil {
		b.Fatal(err)
	}
	return m
}

func slopeAggregator(b testing.TB, id AggregatorID) *Aggregator {
	b.Helper()
	var peers []Peer
	for i := range AggregatorID(6) {
		if i+1 != id {
			peers = append(peers, Peer{i + 1, fmt.Sprint("region", i/2)})
		}
	}
	a, err := NewAggregator(0, AggregatorConfig{
		ID: id, Region: fmt.Sprint("region", (id-1)/2), Incarnation: 1, Peers: peers,
		MaxMembers: 6000, MaxKeys: 32_768, MaxMemberKeys: 16_384,
		ChangeShare: 0.1, Freshness: testFreshness, Decay: testDecay,
	})
	if err != nil {
		b.Fatal(err)
	}
	return a
}

// slopeKeys are like names of servers: their IDs are hashes.
func slopeKeys(n int) (keys []Key) {
	random := rand.New(rand.NewSource(1))
	for range n {
		keys = append(keys, Key{ByServer, random.Uint64()})
	}
	return keys
}

func fillMember(m *Member, keys []Key, random *rand.Rand) {
	for _, key := range keys {
		m.Set(key, uint64(1+random.Intn(40)))
	}
}

// fillAggregator lets members report all their keys.
func fillAggregator(b testing.TB, a *Aggregator, members int, keys []Key) {
	b.Helper()
	random := rand.New(rand.NewSource(2))
	for id := range members {
		m := slopeMember(b, MemberID(id))
		fillMember(m, keys, random)
		for m.own.turn < 2 {
			a.ReceiveReport(0, m.Report(0))
		}
	}
}

// fillDigests lets a member have all sums of an aggregator.
func fillDigests(m *Member, a *Aggregator) {
	source := m.source(a.config.ID)
	for source.table.highest == 0 || source.table.complete() < 1 {
		m.ReceiveDigest(0, a.Digest(0))
	}
}

// TestMemberMemory: a member with 10,000 own keys and 10,000 sums of the fleet takes less than 2 MB: of the same keys from
// both aggregators, as while it changes from one to the other, and of other keys from one.
func TestMemberMemory(t *testing.T) {
	keys := slopeKeys(20_000)
	for _, fleet := range []struct {
		keys        []Key
		aggregators AggregatorID
	}{{keys[:10_000], 2}, {keys[10_000:], 1}} {
		var aggregators []*Aggregator
		for id := range fleet.aggregators {
			a := slopeAggregator(t, id+1)
			fillAggregator(t, a, 1, fleet.keys)
			a.Digest(0) // its own tables are not the member's
			aggregators = append(aggregators, a)
		}
		before := heapBytes()
		m := slopeMember(t, 7)
		fillMember(m, keys[:10_000], rand.New(rand.NewSource(3)))
		m.Report(0)
		for _, a := range aggregators {
			fillDigests(m, a)
		}
		used := heapBytes() - before
		t.Logf("%.0f bytes", used)
		if used > 2_000_000 {
			t.Errorf("a member takes %.0f bytes", used)
		}
		runtime.KeepAlive(m)
		runtime.KeepAlive(aggregators)
	}
}

// BenchmarkSlopeMemberMemory: bytes of a member with as many own keys as fleet sums.
func BenchmarkSlopeMemberMemory(b *testing.B) {
	for _, n := range keySteps {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			keys := slopeKeys(n)
			a := slopeAggregator(b, 1)
			fillAggregator(b, a, 1, keys)
			a.Digest(0) // its own tables are not the member's
			for b.Loop() {
				before := heapBytes()
				m := slopeMember(b, 7)
				fillMember(m, keys, rand.New(rand.NewSource(3)))
				m.Report(0)
				fillDigests(m, a)
				b.ReportMetric(heapBytes()-before, "B/member")
				runtime.KeepAlive(m)
			}
			runtime.KeepAlive(a)
		})
	}
}

// BenchmarkSlopeMemberReport: one report of a member of whose keys one in a hundred changed.
func BenchmarkSlopeMemberReport(b *testing.B) {
	for _, n := range keySteps {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			random := rand.New(rand.NewSource(3))
			keys := slopeKeys(n)
			m := slopeMember(b, 7)
			fillMember(m, keys, random)
			entries := 0
			for b.Loop() {
				for range 1 + n/100 {
					m.Set(keys[random.Intn(n)], uint64(random.Intn(40)))
				}
				entries += len(m.Report(0).Entries)
			}
			b.ReportMetric(float64(entries)/float64(b.N), "entries/report")
		})
	}
}

// BenchmarkSlopeMemberDigest: one digest received by a member.
func BenchmarkSlopeMemberDigest(b *testing.B) {
	for _, n := range keySteps {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			keys := slopeKeys(n)
			a := slopeAggregator(b, 1)
			fillAggregator(b, a, 1, keys)
			m := slopeMember(b, 7)
			fillDigests(m, a)
			for b.Loop() {
				b.StopTimer()
				digest := a.Digest(0)
				b.StartTimer()
				m.ReceiveDigest(0, digest)
			}
		})
	}
}

// BenchmarkSlopeAggregatorMemory: bytes of an aggregator by members and their keys.
func BenchmarkSlopeAggregatorMemory(b *testing.B) {
	for _, members := range memberSteps {
		for _, n := range memberKeys {
			b.Run(fmt.Sprintf("members=%d/keys=%d", members, n), func(b *testing.B) {
				keys := slopeKeys(n)
				for b.Loop() {
					before := heapBytes()
					a := slopeAggregator(b, 1)
					fillAggregator(b, a, members, keys)
					used := heapBytes() - before
					b.ReportMetric(used, "B/aggregator")
					b.ReportMetric(used/float64(members*n), "B/entry")
					runtime.KeepAlive(a)
				}
			})
		}
	}
}

// BenchmarkSlopeAggregatorReport: one report received by an aggregator, of members that take turns.
func BenchmarkSlopeAggregatorReport(b *testing.B) {
	for _, members := range memberSteps {
		for _, n := range append(memberKeys, 10_000) {
			if members*n > 6_000_000 {
				continue
			}
			b.Run(fmt.Sprintf("members=%d/keys=%d", members, n), func(b *testing.B) {
				random := rand.New(rand.NewSource(3))
				keys := slopeKeys(n)
				a := slopeAggregator(b, 1)
				fillAggregator(b, a, members, keys)
				sender := slopeMember(b, 0)
				fillMember(sender, keys, random)
				number := uint64(10_000)
				at := 0
				for b.Loop() {
					b.StopTimer()
					if at%members == 0 {
						sender.Set(keys[random.Intn(n)], uint64(random.Intn(40)))
						sender.Report(0)
					}
					report := sender.Report(0)
					number++
					report.Member, report.Number, report.Since = MemberID(at%members), number, 0
					at++
					b.StartTimer()
					if outcome, _ := a.ReceiveReport(0, report); outcome != Accepted {
						b.Fatal(outcome)
					}
				}
			})
		}
	}
}

// BenchmarkSlopeRegionSum: one datagram of an aggregator's region sums, while one key in a hundred changes.
func BenchmarkSlopeRegionSum(b *testing.B) {
	benchmarkSums(b, func(a *Aggregator) int { return len(a.RegionSum(0).Entries) })
}

// BenchmarkSlopeDigest: one digest of an aggregator, while one key in a hundred changes.
func BenchmarkSlopeDigest(b *testing.B) {
	benchmarkSums(b, func(a *Aggregator) int { return len(a.Digest(0).Entries) })
}

func benchmarkSums(b *testing.B, send func(*Aggregator) int) {
	for _, members := range []int{10, 2533} {
		for _, n := range keySteps {
			if members*n > 3_000_000 {
				continue
			}
			b.Run(fmt.Sprintf("members=%d/keys=%d", members, n), func(b *testing.B) {
				random := rand.New(rand.NewSource(3))
				keys := slopeKeys(n)
				a := slopeAggregator(b, 1)
				fillAggregator(b, a, members, keys)
				sums := a.membership.sums
				entries := 0
				for b.Loop() {
					for range 1 + n/100 {
						index := uint32(random.Intn(n))
						sums.changeFresh(index, 0, uint64(random.Intn(3)))
					}
					entries += send(a)
				}
				b.ReportMetric(float64(entries)/float64(b.N), "entries/datagram")
			})
		}
	}
}

// BenchmarkSlopeReceiveRegionSum: one datagram of another aggregator's region sums.
func BenchmarkSlopeReceiveRegionSum(b *testing.B) {
	for _, n := range keySteps {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			keys := slopeKeys(n)
			sender, receiver := slopeAggregator(b, 3), slopeAggregator(b, 1)
			fillAggregator(b, sender, 1, keys)
			for b.Loop() {
				b.StopTimer()
				sum := sender.RegionSum(0)
				b.StartTimer()
				if outcome := receiver.ReceiveRegionSum(0, sum); outcome != Accepted {
					b.Fatal(outcome)
				}
			}
		})
	}
}

// BenchmarkSlopeFading: a member that is no longer heard begins to fade, and counts again.
func BenchmarkSlopeFading(b *testing.B) {
	for _, n := range keySteps {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			a := slopeAggregator(b, 1)
			fillAggregator(b, a, 1, slopeKeys(n))
			record := a.membership.members[0]
			for b.Loop() {
				a.membership.fade(record)
				a.membership.refresh(record, time.Second)
			}
		})
	}
}
