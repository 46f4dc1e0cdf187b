package start

import (
	"fmt"
	"strings"
	"testing"

	"chalkferry/choice"
)

// Benchmarks for docs/CAPACITY.md: the cost of parsing settings by number of listeners. `chalkferry capacity fit` reads their
// output.

// slopeSettings is a text of settings with that many listeners.
func slopeSettings(listeners int) []byte {
	var text strings.Builder
	text.WriteString(`{"discovery":"ask","groupSize":7600,"ceilings":{"mostDials":3},"domain":{"messageAim":[]},`)
	text.WriteString(`"invariants":{"mustAskIn":4000,"cold":20000,"coldFrom":0.2,"fallMultiple":3,"tipAfter":3000},"listeners":[`)
	for i := range listeners {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"listener-%05d","dialTimeout":800,"handshakeTarget":200,"effect":"read_like","utility":1}`, i)
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

func BenchmarkSlopeSettings(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("listeners=%d", n), func(b *testing.B) {
			text := slopeSettings(n)
			for b.Loop() {
				var (
					listeners   []choice.Listener
					dials       choice.DialLimits
					budget      choice.RetryBudget
					list        choice.ListSettings
					cold        choice.ColdSettings
					peerReports choice.PeerReportSettings
				)
				if err := ParseBalancer(text, &listeners, &dials, &budget, &list, &cold, &peerReports); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
		})
	}
}
