package discovery

import (
	"encoding/json"
	"fmt"
	"testing"

	"chalkferry/internal/capacity/heap"
)

// Benchmarks behind docs/CAPACITY.md: the cost of parsing a complete list, by its number of servers. `chalkferry capacity
// fit` reads their output.

// slopeServers are the list sizes, in servers.
var slopeServers = []int{100, 1000, 3000, 10000, 20000}

// encodeCompleteList returns the JSON text of a complete list, with names and addresses of typical length.
func encodeCompleteList(servers int) []byte {
	list := List{Revision: 1 << 40, Complete: true}
	for i := range servers {
		list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("push-%05d.zone-%d", i, i%10),
			HostPort: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("zone-%d", i%10), Model: "m2",
			Cell: uint16(i % 100), Phase: Ready, Size: 16, UpSinceMs: 1796169145525})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // can't happen: the list holds plain values only
	}
	return text
}

func BenchmarkSlopeListParse(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			text := encodeCompleteList(n)
			b.ReportAllocs()
			_, held := heap.Held(func() List {
				list, err := Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				return list
			})
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "list-B")
			b.ReportMetric(held, "held-B")
		})
	}
}
