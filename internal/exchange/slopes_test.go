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

// Benchmarks behind docs/CAPACITY.md: memory and time that open sessions cost in the Table and the Balancer, without sockets.
// `chalkferry capacity fit` reads their output.

const slopeServers = 500 // in the list

// idleSide is a client's or server's side that discards everything.
type idleSide struct{}

func (idleSide) Write([]byte)            {}
func (idleSide) StartRelay()             {}
func (idleSide) Finish([]byte, string)   {}
func (idleSide) End(socket.End, string)  {}
func (idleSide) EnsureWaiting() bool     { return true }
func (idleSide) HasStoppedWaiting() bool { return false }

func (idleSide) RelayAvailable() RelayResult { return RelayedAll }

// idleDialer keeps the session of the latest dial, for the benchmark to open it.
type idleDialer struct{ latest *Session }

func (d *idleDialer) Dial(_ choice.ServerID, _ time.Duration, session *Session) Server {
	d.latest = session
	return idleSide{}
}

// slopeTable returns a table with a number of open sessions and no sockets.
func slopeTable(b *testing.B, sessions int) *Table {
	dialer := &idleDialer{}
	t := NewTable(dialer, func() time.Duration { return 0 }, func(func()) {}, func(time.Duration, func()) {}, awaitNothing, sec, sec,
		NewDelayTracker(sec, sec, false, false))
	listeners := []choice.Listener{{Name: "push", HandshakeTarget: sec, DialTimeout: 3 * sec, Utility: 1}}
	balancer := choice.New(slopeFront{t}, rand.New(rand.NewSource(1)), listeners, choice.DialLimits{MaxDials: 3}, choice.RetryBudget{},
		choice.ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, choice.ColdSettings{}, choice.PeerReportSettings{})
	t.SetBalancer(balancer)
	entries := make([]choice.Entry, slopeServers)
	for i := range entries {
		entries[i] = choice.Entry{ID: choice.ServerID(i + 1), Size: 1, Status: choice.Ready}
	}
	balancer.ApplyList(0, choice.ListFull, entries)
	for i := range sessions {
		text := fmt.Appendf(nil, "OPEN s%08d k%08d c=push,t=topic-%d,d=3000,g=%d", i, i, i%64, i/4)
		t.StartSession(idleSide{}, choice.Arrival{Client: choice.Key(i + 1), Group: choice.Key(i/4 + 1), TimeLeft: 3 * sec}, text, 0)
		dialer.latest.HandleOpened([]byte("UP 1\r\n"))
	}
	if t.OpenCount() != sessions {
		b.Fatalf("%d of %d sessions are open", t.OpenCount(), sessions)
	}
	return t
}

// slopeFront is the choice.Front of the Balancer; it ignores what is not about sessions.
type slopeFront struct{ *Table }

func (slopeFront) PublishOverload(choice.ServerID, time.Duration) {}
func (slopeFront) SubscribeList()                                 {}
func (slopeFront) StartTimer(time.Duration, choice.TimerToken)    {}
func (slopeFront) Log(string)                                     {}

// BenchmarkSlopeTableState reports the memory that open sessions take, in bytes.
func BenchmarkSlopeTableState(b *testing.B) {
	for _, n := range []int{1000, 5000, 20000, 50000, 85500} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			_, bytes := heap.Held(func() *Table { return slopeTable(b, n) })
			for b.Loop() {
			}
			b.ReportMetric(0, "ns/op") // with 0, the testing package leaves the metric out
			b.ReportMetric(bytes, "held-B")
		})
	}
}

// BenchmarkSlopeTableSweep times one Sweep, which a proxy runs ten times per second, with one unanswered line in each session.
func BenchmarkSlopeTableSweep(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 85500} {
		b.Run(fmt.Sprintf("asking=%d", n), func(b *testing.B) {
			t := slopeTable(b, n)
			for _, session := range t.openSessions {
				session.RelayFromClient([]byte("M 1\r\n"), 1)
			}
			for b.Loop() {
				t.Sweep(sec / 10)
			}
		})
	}
}
