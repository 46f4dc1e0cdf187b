package aggregation

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"
)

// Values of the benchmarks' parameters. The largest number of members is an aggregator's share of 7,600, the largest
// number of keys is that of a fleet with 10,000 servers.
var (
	keyCounts     = []int{100, 1000, 3000, 10_000}
	memberCounts  = []int{100, 500, 2533}
	keysPerMember = []int{100, 1000}
)

// heapBytesInUse returns the heap bytes in use after a garbage collection.
func heapBytesInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func newBenchmarkMember(b testing.TB, id MemberID) *Member {
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

func newBenchmarkAggregator(b testing.TB, id AggregatorID) *Aggregator {
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

// benchmarkKeys returns keys with random IDs, like those of servers, whose IDs are hashes of their names.
func benchmarkKeys(n int) (keys []Key) {
	random := rand.New(rand.NewSource(1))
	for range n {
		keys = append(keys, Key{ByServer, random.Uint64()})
	}
	return keys
}

func setRandomMemberValues(m *Member, keys []Key, random *rand.Rand) {
	for _, key := range keys {
		m.Set(key, uint64(1+random.Intn(40)))
	}
}

// reportAllKeys makes members report all their keys to an aggregator.
func reportAllKeys(b testing.TB, a *Aggregator, members int, keys []Key) {
	b.Helper()
	random := rand.New(rand.NewSource(2))
	for id := range members {
		m := newBenchmarkMember(b, MemberID(id))
		setRandomMemberValues(m, keys, random)
		for m.ownTable.turn < 2 {
			a.ReceiveReport(0, m.Report(0))
		}
	}
}

// receiveAllDigests sends a member digests of an aggregator until it has all its sums.
func receiveAllDigests(m *Member, a *Aggregator) {
	source := m.source(a.config.ID)
	for source.table.latestNumber == 0 || source.table.receivedShare() < 1 {
		m.ReceiveDigest(0, a.Digest(0))
	}
}

// TestMemberMemory: a member with 10,000 own keys and 10,000 sums of the fleet takes less than 2 MB, both with sums of
// the same keys from both aggregators, as while it switches between them, and with sums of other keys from one
// aggregator.
func TestMemberMemory(t *testing.T) {
	keys := benchmarkKeys(20_000)
	for _, fleet := range []struct {
		keys        []Key
		aggregators AggregatorID
	}{{keys[:10_000], 2}, {keys[10_000:], 1}} {
		var aggregators []*Aggregator
		for id := range fleet.aggregators {
			a := newBenchmarkAggregator(t, id+1)
			reportAllKeys(t, a, 1, fleet.keys)
			a.Digest(0) // allocates the aggregator's tables before the measurement
			aggregators = append(aggregators, a)
		}
		before := heapBytesInUse()
		m := newBenchmarkMember(t, 7)
		setRandomMemberValues(m, keys[:10_000], rand.New(rand.NewSource(3)))
		m.Report(0)
		for _, a := range aggregators {
			receiveAllDigests(m, a)
		}
		usedBytes := heapBytesInUse() - before
		t.Logf("%.0f bytes", usedBytes)
		if usedBytes > 2_000_000 {
			t.Errorf("a member takes %.0f bytes", usedBytes)
		}
		runtime.KeepAlive(m)
		runtime.KeepAlive(aggregators)
	}
}

// BenchmarkSlopeMemberMemory measures the heap bytes of a member with as many own keys as fleet sums.
func BenchmarkSlopeMemberMemory(b *testing.B) {
	for _, n := range keyCounts {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			keys := benchmarkKeys(n)
			a := newBenchmarkAggregator(b, 1)
			reportAllKeys(b, a, 1, keys)
			a.Digest(0) // allocates the aggregator's tables before the measurement
			for b.Loop() {
				before := heapBytesInUse()
				m := newBenchmarkMember(b, 7)
				setRandomMemberValues(m, keys, rand.New(rand.NewSource(3)))
				m.Report(0)
				receiveAllDigests(m, a)
				b.ReportMetric(heapBytesInUse()-before, "B/member")
				runtime.KeepAlive(m)
			}
			runtime.KeepAlive(a)
		})
	}
}

// BenchmarkSlopeMemberReport measures one report of a member with one changed key in a hundred.
func BenchmarkSlopeMemberReport(b *testing.B) {
	for _, n := range keyCounts {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			random := rand.New(rand.NewSource(3))
			keys := benchmarkKeys(n)
			m := newBenchmarkMember(b, 7)
			setRandomMemberValues(m, keys, random)
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

// BenchmarkSlopeMemberDigest measures the receipt of one digest by a member.
func BenchmarkSlopeMemberDigest(b *testing.B) {
	for _, n := range keyCounts {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			keys := benchmarkKeys(n)
			a := newBenchmarkAggregator(b, 1)
			reportAllKeys(b, a, 1, keys)
			m := newBenchmarkMember(b, 7)
			receiveAllDigests(m, a)
			for b.Loop() {
				b.StopTimer()
				digest := a.Digest(0)
				b.StartTimer()
				m.ReceiveDigest(0, digest)
			}
		})
	}
}

// BenchmarkSlopeAggregatorMemory measures the heap bytes of an aggregator by numbers of members and of their keys.
func BenchmarkSlopeAggregatorMemory(b *testing.B) {
	for _, members := range memberCounts {
		for _, n := range keysPerMember {
			b.Run(fmt.Sprintf("members=%d/keys=%d", members, n), func(b *testing.B) {
				keys := benchmarkKeys(n)
				for b.Loop() {
					before := heapBytesInUse()
					a := newBenchmarkAggregator(b, 1)
					reportAllKeys(b, a, members, keys)
					used := heapBytesInUse() - before
					b.ReportMetric(used, "B/aggregator")
					b.ReportMetric(used/float64(members*n), "B/entry")
					runtime.KeepAlive(a)
				}
			})
		}
	}
}

// BenchmarkSlopeAggregatorReport measures the receipt of one report by an aggregator, from the members round-robin.
func BenchmarkSlopeAggregatorReport(b *testing.B) {
	for _, members := range memberCounts {
		for _, n := range append(keysPerMember, 10_000) {
			if members*n > 6_000_000 {
				continue
			}
			b.Run(fmt.Sprintf("members=%d/keys=%d", members, n), func(b *testing.B) {
				random := rand.New(rand.NewSource(3))
				keys := benchmarkKeys(n)
				a := newBenchmarkAggregator(b, 1)
				reportAllKeys(b, a, members, keys)
				sender := newBenchmarkMember(b, 0)
				setRandomMemberValues(sender, keys, random)
				number := uint64(10_000)
				reported := 0
				for b.Loop() {
					b.StopTimer()
					if reported%members == 0 {
						sender.Set(keys[random.Intn(n)], uint64(random.Intn(40)))
						sender.Report(0)
					}
					report := sender.Report(0)
					number++
					report.Member, report.Number, report.Since = MemberID(reported%members), number, 0
					reported++
					b.StartTimer()
					if outcome, _ := a.ReceiveReport(0, report); outcome != Accepted {
						b.Fatal(outcome)
					}
				}
			})
		}
	}
}

// BenchmarkSlopeRegionSum measures one datagram of an aggregator's region sums with one changed key in a hundred.
func BenchmarkSlopeRegionSum(b *testing.B) {
	benchmarkSendSums(b, func(a *Aggregator) int { return len(a.RegionSum(0).Entries) })
}

// BenchmarkSlopeDigest measures one digest of an aggregator with one changed key in a hundred.
func BenchmarkSlopeDigest(b *testing.B) {
	benchmarkSendSums(b, func(a *Aggregator) int { return len(a.Digest(0).Entries) })
}

func benchmarkSendSums(b *testing.B, send func(*Aggregator) int) {
	for _, members := range []int{10, 2533} {
		for _, n := range keyCounts {
			if members*n > 3_000_000 {
				continue
			}
			b.Run(fmt.Sprintf("members=%d/keys=%d", members, n), func(b *testing.B) {
				random := rand.New(rand.NewSource(3))
				keys := benchmarkKeys(n)
				a := newBenchmarkAggregator(b, 1)
				reportAllKeys(b, a, members, keys)
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

// BenchmarkSlopeReceiveRegionSum measures the receipt of one datagram of another aggregator's region sums.
func BenchmarkSlopeReceiveRegionSum(b *testing.B) {
	for _, n := range keyCounts {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			keys := benchmarkKeys(n)
			sender, receiver := newBenchmarkAggregator(b, 3), newBenchmarkAggregator(b, 1)
			reportAllKeys(b, sender, 1, keys)
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

// BenchmarkSlopeFading measures moving a member's values to the fading sums and back.
func BenchmarkSlopeFading(b *testing.B) {
	for _, n := range keyCounts {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			a := newBenchmarkAggregator(b, 1)
			reportAllKeys(b, a, 1, benchmarkKeys(n))
			record := a.membership.members[0]
			for b.Loop() {
				a.membership.startFading(record)
				a.membership.markHeard(record, time.Second)
			}
		})
	}
}
