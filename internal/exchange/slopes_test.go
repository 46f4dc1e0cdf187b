package exchange

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/capacity/heap"
	"chalkferry/internal/socket"
)

// Benchmarks behind docs/CAPACITY.md: what open sessions cost beside their sockets, the table's part and the module's.
// `chalkferry capacity fit` reads their output.

const slopeServers = 500

// idleSide is a client or a server that takes all and keeps nothing.
type idleSide struct{}

func (idleSide) Write([]byte)           {}
func (idleSide) Up()                    {}
func (idleSide) Answer([]byte, string)  {}
func (idleSide) End(socket.End, string) {}
func (idleSide) Waits() bool            { return true }
func (idleSide) Gone() bool             { return false }

// idleDialer keeps the latest dial for the test to bring it up.
type idleDialer struct{ latest *Exchange }

func (d *idleDialer) Dial(_ choice.ServerID, _ time.Duration, ex *Exchange) Server {
	d.latest = ex
	return idleSide{}
}

// slopeTable is a table with open sessions and no sockets.
func slopeTable(b *testing.B, sessions int) *Table {
	dialer := &idleDialer{}
	t := NewTable(dialer, func() time.Duration { return 0 }, func(func()) {}, func(time.Duration, func()) {}, sec, sec,
		NewDelays(sec, sec, false, false))
	listeners := []choice.Listener{{Name: "push", HandshakeTarget: sec, DialTimeout: 3 * sec, Utility: 1}}
	balancer := choice.New(slopeFront{t}, rand.New(rand.NewSource(1)), listeners, choice.DialLimits{MaxDials: 3}, choice.RetryBudget{},
		choice.ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, choice.ColdSettings{}, choice.PeerReportSettings{})
	t.Serve(balancer)
	entries := make([]choice.Entry, slopeServers)
	for i := range entries {
		entries[i] = choice.Entry{ID: choice.ServerID(i + 1), Size: 1, Status: choice.Ready}
	}
	balancer.ApplyList(0, choice.ListFull, entries)
	for i := range sessions {
		text := fmt.Appendf(nil, "OPEN s%08d k%08d c=push,t=topic-%d,d=3000,g=%d", i, i, i%64, i/4)
		t.Begin(idleSide{}, choice.Arrival{Client: choice.Key(i + 1), Group: choice.Key(i/4 + 1), TimeLeft: 3 * sec}, text, 0)
		dialer.latest.Opened([]byte("UP 1\r\n"))
	}
	if t.Open() != sessions {
		b.Fatalf("%d of %d sessions are open", t.Open(), sessions)
	}
	return t
}

// slopeFront takes what the module says beside its dials.
type slopeFront struct{ *Table }

func (slopeFront) PublishOverload(choice.ServerID, time.Duration) {}
func (slopeFront) SubscribeList()                                 {}
func (slopeFront) StartTimer(time.Duration, choice.TimerToken)    {}
func (slopeFront) Log(string)                                     {}

func BenchmarkSlopeTableState(b *testing.B) {
	for _, n := range []int{1000, 5000, 20000, 50000, 85500} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Table { return slopeTable(b, n) })
			for b.Loop() {
			}
			b.ReportMetric(0, "ns/op") // the testing package leaves it out then
			b.ReportMetric(bytes, "held-B")
		})
	}
}

// BenchmarkSlopeTableSweep is the look at sessions that wait for a message, ten times a second; all of them have one
// line out.
func BenchmarkSlopeTableSweep(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 85500} {
		b.Run(fmt.Sprintf("asking=%d", n), func(b *testing.B) {
			t := slopeTable(b, n)
			for _, ex := range t.open {
				ex.FromClient([]byte("M 1\r\n"), 1)
			}
			for b.Loop() {
				t.Sweep(sec / 10)
			}
		})
	}
}
