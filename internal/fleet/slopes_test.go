package fleet_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/capacity/heap"
	"chalkferry/internal/fleet"
	"chalkferry/internal/sharing"
)

// Benchmarks behind docs/CAPACITY.md: what the flat counts cost by members and keys. `chalkferry capacity fit` reads
// their output; the part of a name after the slash is the variable.

const (
	slopeKeys      = 500 // of each member, where members vary
	reportedCounts = 24  // in one report, as internal/sharing sends
)

var slopeMembers = []int{100, 300, 1000, 3000, 7600}

// heardFleet is a member's counts once it has heard everything from all others.
func heardFleet(members, keys int) *fleet.Counts {
	c, err := fleet.NewCounts(0, 0, members, 1, time.Hour, time.Hour, keys)
	if err != nil {
		panic(err) // constant arguments
	}
	for key := range uint64(keys) {
		c.Set(fleet.CountKey{Kind: fleet.ByServer, ID: key}, 1)
	}
	for of := 1; of < members; of++ {
		c.Hear(0, reportOf(of, 1, 0, keys))
	}
	return c
}

// reportOf is a member's report of its keys from one on.
func reportOf(member int, number uint64, from, keys int) fleet.Report {
	r := fleet.Report{Of: fleet.MemberID(member), Incarnation: 1, Number: number}
	for key := range keys {
		r.Counts = append(r.Counts, fleet.Count{Key: fleet.CountKey{Kind: fleet.ByServer, ID: uint64(from + key)}, Value: 1, Version: number})
	}
	return r
}

func BenchmarkSlopeFlatCountsState(b *testing.B) {
	for _, members := range slopeMembers {
		b.Run(fmt.Sprintf("counts=%d", members*slopeKeys), func(b *testing.B) {
			_, bytes := heap.Held(func() *fleet.Counts { return heardFleet(members, slopeKeys) })
			reportOnly(b, bytes, "held-B")
		})
	}
}

func BenchmarkSlopeFlatCountsFigure(b *testing.B) {
	for _, members := range slopeMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c, n := heardFleet(members, slopeKeys), uint64(0)
			for b.Loop() {
				c.Of(0, fleet.CountKey{Kind: fleet.ByServer, ID: n % slopeKeys})
				n++
			}
		})
	}
}

func BenchmarkSlopeFlatCountsReceive(b *testing.B) {
	for _, members := range slopeMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c, n := heardFleet(members, slopeKeys), 0
			r := reportOf(1, 2, 0, reportedCounts)
			for b.Loop() {
				n++
				r.Of = fleet.MemberID(1 + n%(members-1))
				r.Number = uint64(n + 2)
				for i := range r.Counts {
					r.Counts[i].Version = uint64(n + 2)
				}
				c.Hear(0, r)
			}
		})
	}
}

func BenchmarkSlopeFlatCountsTell(b *testing.B) {
	for _, keys := range []int{100, 500, 1000, 4096, 10000, 20000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			c := heardFleet(1, keys)
			b.ReportAllocs()
			for b.Loop() {
				c.Tell(reportedCounts)
			}
		})
	}
}

// BenchmarkSlopeFlatCountsReach counts how many datagrams a proxy sends until each other member has one of its own, and
// their bytes. The members are sockets of the test's own; the counting knows no time, so a busy machine does not matter.
func BenchmarkSlopeFlatCountsReach(b *testing.B) {
	for _, members := range []int{8, 64, 128, 256, 512} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			sent, bytes := 0, 0
			for b.Loop() {
				sent, bytes = untilAllHeard(b, members)
			}
			b.ReportMetric(0, "ns/op") // of no interest: it is the span between datagrams
			b.ReportMetric(float64(sent), "datagrams")
			b.ReportMetric(float64(bytes)/float64(sent), "B/datagram")
		})
	}
}

func untilAllHeard(b *testing.B, members int) (sent, bytes int) {
	addresses := make([]string, members)
	conns := make([]net.PacketConn, members)
	for i := range conns {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		conns[i], addresses[i] = conn, conn.LocalAddr().String()
	}
	conns[0].Close() // the proxy's own
	name := filepath.Join(b.TempDir(), "fleet.toml")
	text := fmt.Sprintf("me = 0\nmembers = [%q]\nevery = \"10ms\"\n", addresses)
	text = strings.ReplaceAll(strings.ReplaceAll(text, "[[", "["), "]]", "]")
	text = strings.ReplaceAll(text, "\" \"", "\", \"")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	terms, err := sharing.Read(name)
	if err != nil {
		b.Fatal(err)
	}
	end, err := sharing.Start(terms, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	defer end.Close()
	facts := make([]sharing.Fact, slopeKeys)
	for i := range facts {
		facts[i] = sharing.Fact{Kind: fleet.ByServer, Name: fmt.Sprint("server-", i), Held: 1}
	}
	end.Tell(facts)
	arrived := make(chan int, members)
	for _, conn := range conns[1:] {
		go func() {
			text := make([]byte, 2048)
			if n, _, err := conn.ReadFrom(text); err == nil { // the first only: then the member has heard
				arrived <- n
			}
		}()
	}
	for range members - 1 {
		bytes += <-arrived
		sent++
	}
	return sent, bytes
}

// reportOnly reports a value that is not a time, and no time.
func reportOnly(b *testing.B, value float64, unit string) {
	for b.Loop() {
	}
	b.ReportMetric(0, "ns/op") // the testing package leaves it out then
	b.ReportMetric(value, unit)
}
