<<<<<<< HEAD
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

func slopeMember(b *testing.B, id MemberID) *Member {
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

func slopeAggregator(b *testing.B, id AggregatorID) *Aggregator {
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
=======
package aggregation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/capacity/heap"
)

// Benchmarks behind docs/CAPACITY.md: what the sums over the fleet cost a member and an aggregator, by keys and members.
// They measure the logic; sockets are not in them. `chalkferry capacity fit` reads their output.

const (
	slopeAggregator = aggregation.AggregatorID(1)
	slopePair       = aggregation.AggregatorID(2)
	slopeRegion     = "region-1"
	slopeZone       = "zone-01"
	slopeMaxKeys    = 32768
	slopeMemberKeys = 2000 // of each member, where members vary
	slopeValue      = 43   // sessions of a proxy on one of 2,000 servers
	slopeFleetValue = 325_000
)

var slopeKeys = []int{500, 2000, 5000, 10000, 20000}

// slopeKey is a key with an ID as long as that of a hashed name.
func slopeKey(n int) aggregation.Key {
	return aggregation.Key{Kind: aggregation.ByServer, ID: uint64(n+1) * 0x9e3779b97f4a7c15}
}

func slopeMember(b *testing.B, keys int) *aggregation.Member {
	m, err := aggregation.NewMember(0, aggregation.MemberConfig{ID: 1, Region: slopeRegion, Zone: slopeZone, Incarnation: 1,
		Aggregators: []aggregation.AggregatorID{slopeAggregator, slopePair}, MaxKeys: slopeMaxKeys, ChangeShare: 0.1,
		Freshness: 5 * time.Second, Decay: 10 * time.Second})
	if err != nil {
		b.Fatal(err)
	}
	for n := range keys {
		m.Set(slopeKey(n), slopeValue)
	}
	return m
}

func newSlopeAggregator(b *testing.B) *aggregation.Aggregator {
	a, err := aggregation.NewAggregator(0, aggregation.AggregatorConfig{ID: slopeAggregator, Region: slopeRegion, Incarnation: 1,
		Peers: []aggregation.Peer{{ID: slopePair, Region: slopeRegion}}, MaxMembers: 6000, MaxKeys: slopeMaxKeys, MaxMemberKeys: slopeMaxKeys,
		ChangeShare: 0.1, Freshness: 5 * time.Second, Decay: 10 * time.Second})
>>>>>>> main
	if err != nil {
		b.Fatal(err)
	}
	return a
}

<<<<<<< HEAD
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
func fillAggregator(b *testing.B, a *Aggregator, members int, keys []Key) {
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
	for a.fleetTable.turn < 3 {
		m.ReceiveDigest(0, a.Digest(0))
	}
}

// BenchmarkSlopeMemberMemory: bytes of a member with as many own keys as fleet sums.
func BenchmarkSlopeMemberMemory(b *testing.B) {
	for _, n := range keySteps {
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			keys := slopeKeys(n)
			a := slopeAggregator(b, 1)
			fillAggregator(b, a, 1, keys)
			for b.Loop() {
				before := heapBytes()
				m := slopeMember(b, 7)
				fillMember(m, keys, rand.New(rand.NewSource(3)))
				m.Report(0)
				fillDigests(m, a)
				b.ReportMetric(heapBytes()-before, "B/member")
				runtime.KeepAlive(m)
				a.fleetTable.turn = 0
			}
			runtime.KeepAlive(a)
=======
// reportsOfTurn are a member's reports until each of its keys has been sent, made once for all members.
func reportsOfTurn(b *testing.B, keys int) (reports []aggregation.Report) {
	m, sent := slopeMember(b, keys), map[aggregation.Key]bool{}
	for len(sent) < keys {
		r := m.Report(0)
		reports = append(reports, r)
		for _, entry := range r.Entries {
			sent[entry.Key()] = true
		}
	}
	return reports
}

// aggregatorOf has heard all keys of so many members.
func aggregatorOf(b *testing.B, members, keys int, reports []aggregation.Report) *aggregation.Aggregator {
	a := newSlopeAggregator(b)
	for id := range members {
		for _, r := range reports {
			r.Member = aggregation.MemberID(id + 1)
			if outcome, _ := a.ReceiveReport(0, r); outcome != aggregation.Accepted {
				b.Fatal(outcome)
			}
		}
	}
	return a
}

// digestOf has entries of the fleet's sums from a key on.
func digestOf(from aggregation.AggregatorID, number uint64, firstKey, entries, keys int) aggregation.Digest {
	d := aggregation.Digest{Aggregator: from, Region: slopeRegion, Incarnation: 1, Number: number, Since: 1, Heartbeat: number,
		Keys: uint32(keys), Regions: []aggregation.RegionState{{Region: slopeRegion, Source: from, Members: 2533, Heard: 1, Weight: 1}}}
	for n := range entries {
		key := slopeKey((firstKey + n) % keys)
		d.Entries = append(d.Entries, aggregation.Entry{Kind: key.Kind, ID: key.ID, Value: slopeFleetValue})
	}
	return d
}

// informedMember has its own keys and as many sums of the fleet from both aggregators.
func informedMember(b *testing.B, keys int) *aggregation.Member {
	const entries = 50
	m := slopeMember(b, keys)
	for _, from := range []aggregation.AggregatorID{slopeAggregator, slopePair} {
		for first, number := 0, uint64(1); first < keys; first, number = first+entries, number+1 {
			m.ReceiveDigest(0, digestOf(from, number, first, entries, keys))
		}
	}
	return m
}

func BenchmarkSlopeMemberState(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			_, bytes := heap.Held(func() *aggregation.Member { return informedMember(b, keys) })
			reportOnly(b, bytes, "held-B")
>>>>>>> main
		})
	}
}

<<<<<<< HEAD
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
=======
func BenchmarkSlopeMemberReport(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			reports := reportsOfTurn(b, keys)
			text, err := cbor.Marshal(reports[0])
			if err != nil {
				b.Fatal(err)
			}
			m := informedMember(b, keys)
			for b.Loop() {
				m.Report(0)
			}
			b.ReportMetric(float64(len(reports)), "reports/turn")
			b.ReportMetric(float64(len(text)), "report-B")
>>>>>>> main
		})
	}
}

<<<<<<< HEAD
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
=======
func BenchmarkSlopeMemberDigest(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			const entries = 50
			m, number, first := informedMember(b, keys), uint64(slopeMaxKeys), 0
			digest := digestOf(slopeAggregator, number, 0, entries, keys)
			for b.Loop() {
				number++
				first = (first + entries) % keys
				digest.Number, digest.Heartbeat = number, number
				for n := range digest.Entries {
					digest.Entries[n].ID = slopeKey((first + n) % keys).ID
				}
				if outcome := m.ReceiveDigest(0, digest); outcome != aggregation.Accepted {
>>>>>>> main
					b.Fatal(outcome)
				}
			}
		})
	}
}

<<<<<<< HEAD
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
=======
func BenchmarkSlopeMemberFigure(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			m, n := informedMember(b, keys), 0
			for b.Loop() {
				n++
				m.Figure(0, slopeKey(n%keys))
>>>>>>> main
			}
		})
	}
}
<<<<<<< HEAD
=======

var slopeMembers = []int{100, 300, 1000, 2533}

func BenchmarkSlopeAggregatorState(b *testing.B) {
	reports := reportsOfTurn(b, slopeMemberKeys)
	for _, members := range slopeMembers {
		b.Run(fmt.Sprintf("counts=%d", members*slopeMemberKeys), func(b *testing.B) {
			_, bytes := heap.Held(func() *aggregation.Aggregator { return aggregatorOf(b, members, slopeMemberKeys, reports) })
			reportOnly(b, bytes, "held-B")
		})
	}
}

// BenchmarkSlopeAggregatorReport takes one report of a full datagram in which each value has changed.
func BenchmarkSlopeAggregatorReport(b *testing.B) {
	reports := reportsOfTurn(b, slopeMemberKeys)
	for _, members := range slopeMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			a, n := aggregatorOf(b, members, slopeMemberKeys, reports), 0
			number := uint64(len(reports))
			report := reports[0]
			report.Entries = append([]aggregation.Entry{}, report.Entries...)
			for b.Loop() {
				if n%members == 0 {
					number++
				}
				report.Member, report.Number = aggregation.MemberID(1+n%members), number
				for i := range report.Entries {
					report.Entries[i].Value = number % 100
				}
				if outcome, _ := a.ReceiveReport(0, report); outcome != aggregation.Accepted {
					b.Fatal(outcome)
				}
				n++
			}
		})
	}
}

func BenchmarkSlopeAggregatorDigest(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			a := aggregatorOf(b, 10, keys, reportsOfTurn(b, keys))
			turn, sent := 0, map[aggregation.Key]bool{}
			for ; len(sent) < keys; turn++ {
				for _, entry := range a.Digest(0).Entries {
					sent[entry.Key()] = true
				}
			}
			for b.Loop() {
				a.Digest(0)
			}
			text, err := cbor.Marshal(a.Digest(0))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(turn), "digests/turn")
			b.ReportMetric(float64(len(text)), "digest-B")
		})
	}
}

func BenchmarkSlopeAggregatorRegionSum(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			a := aggregatorOf(b, 10, keys, reportsOfTurn(b, keys))
			turn, sent := 0, map[aggregation.Key]bool{}
			for ; len(sent) < keys; turn++ {
				for _, entry := range a.RegionSum(0).Entries {
					sent[entry.Key()] = true
				}
			}
			for b.Loop() {
				a.RegionSum(0)
			}
			b.ReportMetric(float64(turn), "sums/turn")
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
>>>>>>> main
