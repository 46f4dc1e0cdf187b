package proxy

import (
	"bufio"
	"fmt"
	"math"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/choice"
	"chalkferry/internal/capacity/heap"
	"chalkferry/internal/discovery"
	"chalkferry/internal/exchange"
	"chalkferry/internal/sharing"
	"chalkferry/internal/socket"
	"chalkferry/internal/timers"
)

// Benchmarks for docs/CAPACITY.md: the cost of the list on a proxy, its settings, and the tally of its open sessions.
// `chalkferry capacity fit` reads their output.

const (
	slopeTallyServers = 500 // servers that the sessions are spread over
	slopeTenants      = 64
)

var slopeServers = []int{100, 1000, 3000, 10000, 20000}

func slopeList(servers int) discovery.List {
	list := discovery.List{Revision: 1, Complete: true}
	for i := range servers {
		list.Servers = append(list.Servers, discovery.Server{ID: fmt.Sprintf("push-%05d.zone-%d", i, i%10),
			HostPort: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("zone-%d", i%10), Model: "m2",
			Phase: discovery.Ready, Size: 16, UpSinceMs: 1796169145525})
	}
	return list
}

func slopeDirectory(list discovery.List) *directory {
	d := newDirectory(nil, startClockAt(time.Now()), false, false)
	d.entriesOf(list)
	return d
}

// BenchmarkSlopeDirectoryDelta measures what a change of one server costs outside the balancer: converting the entry, visiting
// the servers that have gone, and the counts for the log.
func BenchmarkSlopeDirectoryDelta(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := slopeDirectory(slopeList(n))
			delta := discovery.List{Revision: 2, Servers: slopeList(1).Servers}
			for b.Loop() {
				d.entriesOf(delta)
				d.eachGone(func(choice.ServerID) {})
				d.countByStatus()
			}
		})
	}
}

// BenchmarkSlopeDirectoryWholeList measures the same for a complete list, and the memory that the directory holds.
func BenchmarkSlopeDirectoryWholeList(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			list := slopeList(n)
			d, held := heap.Held(func() *directory { return slopeDirectory(list) })
			for b.Loop() {
				d.entriesOf(list)
				d.eachGone(func(choice.ServerID) {})
				d.countByStatus()
			}
			b.ReportMetric(held, "held-B")
		})
	}
}

// BenchmarkSlopeConfiguration measures parsing a configuration, as after SIGHUP, by the number of servers in its cached list.
func BenchmarkSlopeConfiguration(b *testing.B) {
	for _, n := range slopeServers {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			text := slopeConfiguration(n)
			for b.Loop() {
				if _, err := New(text, zerolog.Nop()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
		})
	}
}

// slopeConfiguration is the text of a configuration with that many servers in its cached list.
func slopeConfiguration(servers int) []byte {
	text := fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:2", 4096)
	var known strings.Builder
	for i, s := range slopeList(servers).Servers {
		if i > 0 {
			known.WriteByte(',')
		}
		fmt.Fprintf(&known, `{"id":%q,"host_port":%q,"locality":%q,"flavor":"m2","cell":1,"phase":"ready","size":16,"up_since_ms":1796169145525}`, s.ID, s.HostPort, s.Zone)
	}
	return []byte(strings.Replace(text, `"limits":`, `"known":{"revision":1,"complete":true,"members":[`+known.String()+`]},"limits":`, 1))
}

// silentPeer is a client or a server that accepts everything and sends nothing.
type silentPeer struct{}

func (silentPeer) Write([]byte)            {}
func (silentPeer) StartRelay()             {}
func (silentPeer) Finish([]byte, string)   {}
func (silentPeer) End(socket.End, string)  {}
func (silentPeer) EnsureWaiting() bool     { return true }
func (silentPeer) HasStoppedWaiting() bool { return false }

func (silentPeer) RelayAvailable() exchange.RelayResult { return exchange.RelayedAll }

// instantDialer records the latest dial, which the test then completes itself.
type instantDialer struct{ latest *exchange.Session }

func (d *instantDialer) Dial(_ choice.ServerID, _ time.Duration, ex *exchange.Session) exchange.Server {
	d.latest = ex
	return silentPeer{}
}

// slopeProxy is a proxy with that many open sessions and without sockets.
func slopeProxy(b *testing.B, servers, sessions int) *Proxy {
	p, err := New(slopeConfiguration(servers), zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	dialer := &instantDialer{}
	clock := func() time.Duration { return 0 }
	p.timers = timers.New(clock, func(time.Duration) {})
	awaitNothing := func(_ bool, callback func()) func() {
		callback()
		return func() {}
	}
	p.table = exchange.NewTable(dialer, clock, func(func()) {}, func(time.Duration, func()) {}, awaitNothing, time.Second, time.Second,
		exchange.NewDelayTracker(time.Second, reportInterval, false, false))
	p.balancer = choice.New(slopeFront{balancerFront{p.table, p}}, rand.New(rand.NewSource(1)), p.settings.listeners, p.settings.dials, p.settings.budget,
		p.settings.list, p.settings.cold, p.settings.peerReports)
	p.table.SetBalancer(p.balancer)
	p.balancer.ApplyList(0, choice.ListFull, p.directory.entriesOf(slopeList(servers)))
	for i := range sessions {
		text := fmt.Appendf(nil, "OPEN s%d k%d c=chat,t=topic-%d,d=800", i, i, i%slopeTenants)
		p.table.StartSession(silentPeer{}, choice.Arrival{Client: choice.Key(i + 1), Group: choice.Key(i/4 + 1), TimeLeft: time.Second}, text, 0)
		dialer.latest.HandleOpened([]byte("UP 1\r\n"))
	}
	if p.table.OpenCount() != sessions {
		b.Fatalf("%d of %d sessions are open", p.table.OpenCount(), sessions)
	}
	return p
}

// slopeFront is the proxy's balancerFront without the watch and the timers, which would need the event loop.
type slopeFront struct{ balancerFront }

func (slopeFront) SubscribeList()                              {}
func (slopeFront) StartTimer(time.Duration, choice.TimerToken) {}

var slopeOpen = []int{1000, 5000, 20000, 50000, 85500}

// BenchmarkSlopeTallyWalk measures the tally of open sessions that a proxy with Share takes every reportInterval, when no
// session has come or gone.
func BenchmarkSlopeTallyWalk(b *testing.B) {
	for _, n := range slopeOpen {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			p, facts := slopeProxy(b, slopeTallyServers, n), 0
			p.Share(func(held []sharing.SessionCount) { facts = len(held) })
			tally, held := heap.Held(func() *sharing.Tally {
				tally := sharing.NewTally()
				walkTally(p, tally)
				return tally
			})
			for b.Loop() {
				walkTally(p, tally)
			}
			b.ReportMetric(float64(facts), "facts")
			b.ReportMetric(held, "held-B")
		})
	}
}

// BenchmarkSlopeTallyFirstWalk measures the same with all sessions new, as after the start or after many clients connected.
func BenchmarkSlopeTallyFirstWalk(b *testing.B) {
	for _, n := range slopeOpen {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			p := slopeProxy(b, slopeTallyServers, n)
			p.Share(func([]sharing.SessionCount) {})
			for b.Loop() {
				walkTally(p, sharing.NewTally())
			}
		})
	}
}

// walkTally takes one tally and discards the timer for the next one.
func walkTally(p *Proxy, tally *sharing.Tally) {
	p.timers = timers.New(p.now, func(time.Duration) {})
	p.publishTally(tally)
}

// BenchmarkSlopeDirectoryGone measures the cost of servers that have left the list, whose names the directory keeps.
func BenchmarkSlopeDirectoryGone(b *testing.B) {
	for _, gone := range []int{1300, 3900, 13000, 39000} {
		b.Run(fmt.Sprintf("gone=%d", gone), func(b *testing.B) {
			all := slopeList(listedBesideGone + gone)
			listed := discovery.List{Revision: 2, Complete: true, Servers: all.Servers[:listedBesideGone]}
			d, held := heap.Held(func() *directory {
				d := slopeDirectory(all)
				d.entriesOf(listed)
				return d
			})
			delta := discovery.List{Revision: 3, Servers: all.Servers[:1]}
			for b.Loop() {
				d.entriesOf(delta)
				d.eachGone(func(choice.ServerID) {})
				d.countByStatus()
			}
			b.ReportMetric(held, "held-B")
		})
	}
}

// listedBesideGone is how many servers are still listed beside those that have gone.
const listedBesideGone = 2000

// countingLog counts the bytes that a proxy logs.
type countingLog struct{ bytes atomic.Int64 }

func (l *countingLog) Write(text []byte) (int, error) {
	l.bytes.Add(int64(len(text)))
	return len(text), nil
}

// runProxyForSlopes runs a complete proxy on loopback with one server that accepts sessions and echoes lines. The proxy has its
// list when this returns.
func runProxyForSlopes(b *testing.B, log *countingLog) (address string) {
	processors, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1) // a proxy sets both for the whole process
	b.Cleanup(func() {
		runtime.GOMAXPROCS(processors)
		debug.SetMemoryLimit(memory)
	})
	server, listener := listenForSlopes(b), listenForSlopes(b)
	address = listener.Addr().String()
	listener.Close() // the proxy listens there
	go serveLinesForSlopes(server)
	list := fmt.Sprintf(`{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":%q,"locality":"a","phase":"ready","size":1}]}`, server.Addr())
	discoveryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	p, err := New(fmt.Appendf(nil, configuration, address, discoveryServer.Listener.Addr(), 4096), zerolog.New(log))
	if err != nil {
		b.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Run() }()
	<-p.ready
	b.Cleanup(func() {
		p.stopLoop()
		<-ended
		discoveryServer.CloseClientConnections()
		discoveryServer.Close()
		server.Close()
	})
	for known := uint64(0); known == 0; time.Sleep(time.Millisecond) {
		revision := make(chan uint64)
		p.execute(func() { revision <- p.revision })
		known = <-revision
	}
	return address
}

func listenForSlopes(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// serveLinesForSlopes answers OPEN with UP, closes after BYE, and echoes all other lines.
func serveLinesForSlopes(server net.Listener) {
	for {
		conn, err := server.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			lines := bufio.NewScanner(conn)
			for lines.Scan() {
				switch text := lines.Text(); {
				case strings.HasPrefix(text, "OPEN"):
					fmt.Fprint(conn, "UP 1\r\n")
				case text == "BYE":
					fmt.Fprint(conn, "BYE\r\n")
					return
				default:
					fmt.Fprint(conn, text, "\r\n")
				}
			}
		}()
	}
}

// sendLines sends lines on a new connection and waits for the answer to each.
func sendLines(b *testing.B, address string, lines ...string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for _, line := range lines {
		fmt.Fprint(conn, line, "\r\n")
		if _, err := answers.ReadString('\n'); err != nil {
			b.Fatal(err)
		}
	}
}

// processTime is the processor time that this process has used, user and system.
func processTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		panic(err) // constant arguments
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkSlopeProbes measures the processor time of that many health probes, each a connection with a PING. Both ends are in
// this process, so the proxy's own part is less.
func BenchmarkSlopeProbes(b *testing.B) {
	for _, n := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("probes=%d", n), func(b *testing.B) {
			address := runProxyForSlopes(b, &countingLog{})
			leastTime := time.Duration(math.MaxInt64)
			for b.Loop() {
				before := processTime()
				for range n {
					sendLines(b, address, "PING")
				}
				leastTime = min(leastTime, processTime()-before)
			}
			b.ReportMetric(0, "ns/op") // 0 has the testing package omit this metric
			b.ReportMetric(float64(leastTime.Nanoseconds()), "cpu-ns")
		})
	}
}

// BenchmarkSlopeSessionLog measures how many bytes a proxy logs, at its usual level, for that many sessions that begin and end.
func BenchmarkSlopeSessionLog(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			log := &countingLog{}
			address := runProxyForSlopes(b, log)
			for b.Loop() {
				log.bytes.Store(0)
				for i := range n {
					sendLines(b, address, fmt.Sprintf("OPEN s%08d k%08d c=chat,d=800,g=%d", i, i, i/4), "BYE")
				}
				waitForLines(log)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(log.bytes.Load()), "log-B")
		})
	}
}

// waitForLines waits until nothing is logged for 50 ms: a session's line is written only once both connections are closed.
func waitForLines(log *countingLog) {
	for last := int64(-1); last != log.bytes.Load(); time.Sleep(50 * time.Millisecond) {
		last = log.bytes.Load()
	}
}
