package aggregation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/capacity/heap"
)

// Benchmarks for docs/CAPACITY.md: the time and memory that the sums over the fleet cost a member and an aggregator, by
// numbers of keys and members. They measure the logic without sockets. `chalkferry capacity fit` reads their output by
// the names of the benchmarks and of their units. A turn in a unit is one pass over all keys of a table.

const (
	slopeAggregator      = aggregation.AggregatorID(1)
	slopeOtherAggregator = aggregation.AggregatorID(2)
	slopeRegion          = "region-1"
	slopeZone            = "zone-01"
	slopeMaxKeys         = 32768
	slopeMemberKeys      = 2000 // keys of each member in the benchmarks that vary the number of members
	slopeValue           = 43   // sessions of one proxy on one of 2,000 servers
	slopeFleetValue      = 325_000
)

var slopeKeys = []int{500, 2000, 5000, 10000, 20000}

// slopeKey returns the key with index n, with an ID whose encoding is as long as that of a hashed name.
func slopeKey(n int) aggregation.Key {
	return aggregation.Key{Kind: aggregation.ByServer, ID: uint64(n+1) * 0x9e3779b97f4a7c15}
}

func slopeMember(b *testing.B, keys int) *aggregation.Member {
	m, err := aggregation.NewMember(0, aggregation.MemberConfig{ID: 1, Region: slopeRegion, Zone: slopeZone, Incarnation: 1,
		Aggregators: []aggregation.AggregatorID{slopeAggregator, slopeOtherAggregator}, MaxKeys: slopeMaxKeys, ChangeShare: 0.1,
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
		Peers: []aggregation.Peer{{ID: slopeOtherAggregator, Region: slopeRegion}}, MaxMembers: 6000, MaxKeys: slopeMaxKeys, MaxMemberKeys: slopeMaxKeys,
		ChangeShare: 0.1, Freshness: 5 * time.Second, Decay: 10 * time.Second})
	if err != nil {
		b.Fatal(err)
	}
	return a
}

// reportsOfTurn returns the reports of one turn: a member's reports until each of its keys was sent. They are created
// once and used for all members.
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

// aggregatorWithMembers returns an aggregator that has received all keys of a number of members.
func aggregatorWithMembers(b *testing.B, members, keys int, reports []aggregation.Report) *aggregation.Aggregator {
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

// newDigest returns a digest with consecutive keys of the fleet's sums, from firstKey on.
func newDigest(from aggregation.AggregatorID, number uint64, firstKey, entries, keys int) aggregation.Digest {
	d := aggregation.Digest{Aggregator: from, Region: slopeRegion, Incarnation: 1, Number: number, Since: 1, Heartbeat: number,
		Keys: uint32(keys), Regions: []aggregation.RegionState{{Region: slopeRegion, Source: from, Members: 2533, Heard: 1, Weight: 1}}}
	for n := range entries {
		key := slopeKey((firstKey + n) % keys)
		d.Entries = append(d.Entries, aggregation.Entry{Kind: key.Kind, ID: key.ID, Value: slopeFleetValue})
	}
	return d
}

// memberWithDigests returns a member with its own keys and as many sums of the fleet from each of both aggregators.
func memberWithDigests(b *testing.B, keys int) *aggregation.Member {
	const entries = 50
	m := slopeMember(b, keys)
	for _, from := range []aggregation.AggregatorID{slopeAggregator, slopeOtherAggregator} {
		for first, number := 0, uint64(1); first < keys; first, number = first+entries, number+1 {
			m.ReceiveDigest(0, newDigest(from, number, first, entries, keys))
		}
	}
	return m
}

func BenchmarkSlopeSumsMemberState(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			_, bytes := heap.Held(func() *aggregation.Member { return memberWithDigests(b, keys) })
			reportOnly(b, bytes, "held-B")
		})
	}
}

func BenchmarkSlopeSumsMemberReport(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			reports := reportsOfTurn(b, keys)
			text, err := cbor.Marshal(reports[0])
			if err != nil {
				b.Fatal(err)
			}
			m := memberWithDigests(b, keys)
			for b.Loop() {
				m.Report(0)
			}
			b.ReportMetric(float64(len(reports)), "reports/turn")
			b.ReportMetric(float64(len(text)), "report-B")
		})
	}
}

func BenchmarkSlopeSumsMemberDigest(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			const entries = 50
			m, number, first := memberWithDigests(b, keys), uint64(slopeMaxKeys), 0
			digest := newDigest(slopeAggregator, number, 0, entries, keys)
			for b.Loop() {
				number++
				first = (first + entries) % keys
				digest.Number, digest.Heartbeat = number, number
				for n := range digest.Entries {
					digest.Entries[n].ID = slopeKey((first + n) % keys).ID
				}
				if outcome := m.ReceiveDigest(0, digest); outcome != aggregation.Accepted {
					b.Fatal(outcome)
				}
			}
		})
	}
}

func BenchmarkSlopeSumsMemberFigure(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			m, n := memberWithDigests(b, keys), 0
			for b.Loop() {
				n++
				m.Figure(0, slopeKey(n%keys))
			}
		})
	}
}

var slopeMembers = []int{100, 300, 1000, 2533}

func BenchmarkSlopeSumsAggregatorState(b *testing.B) {
	reports := reportsOfTurn(b, slopeMemberKeys)
	for _, members := range slopeMembers {
		b.Run(fmt.Sprintf("counts=%d", members*slopeMemberKeys), func(b *testing.B) {
			_, bytes := heap.Held(func() *aggregation.Aggregator { return aggregatorWithMembers(b, members, slopeMemberKeys, reports) })
			reportOnly(b, bytes, "held-B")
		})
	}
}

// BenchmarkSlopeSumsAggregatorReport measures the receipt of a full report in which each value has changed.
func BenchmarkSlopeSumsAggregatorReport(b *testing.B) {
	reports := reportsOfTurn(b, slopeMemberKeys)
	for _, members := range slopeMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			a, n := aggregatorWithMembers(b, members, slopeMemberKeys, reports), 0
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

func BenchmarkSlopeSumsAggregatorDigest(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			a := aggregatorWithMembers(b, 10, keys, reportsOfTurn(b, keys))
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

func BenchmarkSlopeSumsAggregatorRegionSum(b *testing.B) {
	for _, keys := range slopeKeys {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			a := aggregatorWithMembers(b, 10, keys, reportsOfTurn(b, keys))
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

// reportOnly reports a metric that is not a time, and suppresses the time.
func reportOnly(b *testing.B, value float64, unit string) {
	for b.Loop() {
	}
	b.ReportMetric(0, "ns/op") // with 0 the testing package omits it
	b.ReportMetric(value, unit)
}
