package list

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chalkferry/internal/standin/judge"
)

// Benchmarks for docs/CAPACITY.md: the cost of one change to the discovery service for each proxy that watches. They
// measure this simulated service, as the operators' discovery is not part of this repository. `chalkferry capacity fit`
// reads their output.

func benchmarkList(servers int) *List {
	members := make([]Member, servers)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("push-%05d.zone-%d", i, i%10), HostPort: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Locality: fmt.Sprintf("zone-%d", i%10), Flavor: "m2", Cell: i % 100, Phase: "ready", Size: 16, UpSinceMs: 1796169145525}
	}
	l := New(func() time.Duration { return 0 }, judge.New(0, time.Second, time.Hour, false, nil), 0, members)
	l.revision = 2
	l.members[0].revision = 2
	return l
}

func BenchmarkSlopeDiscoveryDelta(b *testing.B)     { benchmarkAnswers(b, 1) }
func BenchmarkSlopeDiscoveryWholeList(b *testing.B) { benchmarkAnswers(b, 0) }

// benchmarkAnswers measures the encoding of an answer to a proxy that knows the list as of revision after; 0 stands for
// the complete list.
func benchmarkAnswers(b *testing.B, after uint64) {
	for _, n := range []int{100, 1000, 3000, 10000, 20000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			l, bytes := benchmarkList(n), 0
			for b.Loop() {
				text, err := json.Marshal(l.listSince(after))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(text)
			}
			b.ReportMetric(float64(bytes), "answer-B")
		})
	}
}
