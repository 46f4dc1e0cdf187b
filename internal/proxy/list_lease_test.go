package proxy

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkferry/internal/discovery"
)

// sessionProbe opens a session each probeInterval while it runs, and records what comes of them.
type sessionProbe struct {
	stopped chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	answers []probeAnswer
}

// probeAnswer is the final answer of one session, "" if none came before the client's time was up, and when it came.
type probeAnswer struct {
	text string
	at   time.Time
}

const (
	probeInterval = 50 * time.Millisecond
	// probeTimeout is how long a client of startProbe waits for its answer: the d of openLine.
	probeTimeout = 800 * time.Millisecond
	// answerSlack is what a late client, on a busy machine, may add to the time of its answer.
	answerSlack = 500 * time.Millisecond
)

// startProbe opens sessions until the test ends or stop is called.
func startProbe(t *testing.T, address string) *sessionProbe {
	p := &sessionProbe{stopped: make(chan struct{})}
	p.running.Go(func() {
		for {
			select {
			case <-p.stopped:
				return
			case <-time.After(probeInterval):
				p.running.Go(func() { p.openSession(address) })
			}
		}
	})
	t.Cleanup(p.stop)
	return p
}

func (p *sessionProbe) openSession(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // the proxy has ended
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(probeTimeout + answerSlack))
	fmt.Fprint(conn, openLine())
	buf := make([]byte, 64)
	n, _ := conn.Read(buf)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, probeAnswer{string(buf[:n]), time.Now()})
}

// stop ends the probe and waits for the answers of its sessions. It may be called more than once.
func (p *sessionProbe) stop() {
	select {
	case <-p.stopped:
	default:
		close(p.stopped)
	}
	p.running.Wait()
}

// expect checks that sessions were answered between two times, each with a line of the given verb.
func (p *sessionProbe) expect(t *testing.T, verb string, from, until time.Time) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, answer := range p.answers {
		if answer.text == "" {
			t.Error("a client has got no answer in time")
		}
		if answer.at.Before(from) || answer.at.After(until) {
			continue
		}
		count++
		if !strings.HasPrefix(answer.text, verb) {
			t.Errorf("%v before the end of the span a client gets %q, want %s", until.Sub(answer.at), answer.text, verb)
		}
	}
	if count == 0 {
		t.Errorf("no session is answered in a span of %v", until.Sub(from))
	}
}

// firstLineTimes records when a server receives first lines.
type firstLineTimes struct {
	mu    sync.Mutex
	times []time.Time
}

// startRecordingServer starts an echo server that records the times of its first lines.
func startRecordingServer(t *testing.T) (address string, received *firstLineTimes) {
	received = &firstLineTimes{}
	return startEchoServer(t, func([]string) {
		received.mu.Lock()
		defer received.mu.Unlock()
		received.times = append(received.times, time.Now())
	}), received
}

// countAfter returns how many first lines came after a time.
func (f *firstLineTimes) countAfter(instant time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, each := range f.times {
		if each.After(instant) {
			count++
		}
	}
	return count
}

// heartbeatUntil sends an empty line on a watch every discovery.Heartbeat, until the channel is closed.
func (c discoveryCall) heartbeatUntil(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(discovery.Heartbeat):
			fmt.Fprint(c, "1\r\n\n\r\n")
		}
	}
}

// TestNoSendsBySilentWatch guards against sends by a list that may be out of date: the watch has fallen silent, and the calls in
// its place wait for their turn for longer than discovery.StalenessLimit (review/8).
func TestNoSendsBySilentWatch(t *testing.T) {
	t.Parallel()
	discoveryAddress, calls := startManualDiscovery(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress, `"mustAskIn":4000`, `"mustAskIn":120000`)
	server, received := startRecordingServer(t)
	(<-calls).sendFirstList(listWithOneServer(1, server, "ready"))
	silentSince := time.Now()
	r.waitFor("the list is known", func() bool { return r.p.revision == 1 })
	probe := startProbe(t, r.address)
	limit := silentSince.Add(discovery.StalenessLimit + limitSlack)
	time.Sleep(time.Until(limit.Add(1500 * time.Millisecond)))
	if n := received.countAfter(limit); n > 0 {
		t.Errorf("%d first lines are sent over %v after the watch fell silent", n, discovery.StalenessLimit)
	}
	var pending discoveryCall
	for len(calls) > 0 {
		pending = <-calls
	}
	renewed := time.Now()
	pending.sendFirstList(listWithOneServer(2, server, "ready"))
	r.waitFor("the next list is known", func() bool { return r.p.revision == 2 })
	time.Sleep(time.Second)
	probe.stop()
	probe.expect(t, "UP", silentSince, silentSince.Add(5*time.Second))
	probe.expect(t, "BUSY", limit.Add(probeTimeout), renewed)
	probe.expect(t, "UP", renewed.Add(answerSlack), time.Now())
}

// TestNoSendsBeforePushedList guards against a proxy that, where lists are pushed, starts to take sessions by its cached list as
// soon as its call to discovery has failed after a wait (review/6).
func TestNoSendsBeforePushedList(t *testing.T) {
	t.Parallel()
	discoveryAddress, calls := startManualDiscovery(t)
	server, received := startRecordingServer(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress, `"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`,
		`"seed"`, `"known":`+listWithOneServer(1, server, "ready")+`,"seed"`)
	started := time.Now()
	waiting := <-calls
	time.Sleep(time.Second)
	probe := startProbe(t, r.address)
	ping := connect(t, r.address)
	fmt.Fprint(ping.Conn, "PING\r\n")
	fmt.Fprint(waiting, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	next := <-calls
	time.Sleep(time.Second)
	if n := received.countAfter(started); n > 0 {
		t.Errorf("%d first lines are sent before a list has come", n)
	}
	ping.Conn.SetReadDeadline(time.Now())
	if got, err := ping.ReadString('\n'); err == nil {
		t.Errorf("PING is answered with %q before a list has come", got)
	}
	ping.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	next.sendFirstList(listWithOneServer(2, server, "ready"))
	listSentAt := time.Now()
	ping.expectLine("PONG\r\n")
	time.Sleep(time.Second)
	probe.stop()
	probe.expect(t, "BUSY", started, listSentAt)
	probe.expect(t, "UP", listSentAt.Add(answerSlack), time.Now())
}

// TestSendsWhileDiscoveryIsDown guards against refusals while discovery fails each call at once, and against sends by the old list
// once calls wait for their turn instead (review/7).
func TestSendsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(c discoveryCall){"resets": failedCalls[0], "answers 503": failedCalls[1]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discoveryAddress, calls := startManualDiscovery(t)
			server, received := startRecordingServer(t)
			r := startTestProxyWithDiscovery(t, discoveryAddress)
			watch := <-calls
			watch.sendFirstList(listWithOneServer(1, server, "ready"))
			r.waitFor("the list is known", func() bool { return r.p.revision == 1 })
			probe := startProbe(t, r.address)
			began := time.Now()
			watch.Close()
			backAt := began.Add(discovery.StalenessLimit + 2*time.Second)
			for time.Now().Before(backAt) {
				select {
				case c := <-calls:
					fail(c)
				case <-time.After(time.Until(backAt)):
				}
			}
			backAt = time.Now()
			limit := backAt.Add(discovery.StalenessLimit + limitSlack)
			for end := limit.Add(1500 * time.Millisecond); time.Now().Before(end); {
				select {
				case c := <-calls: // it waits for its turn in vain
					time.AfterFunc(time.Second, func() { failedCalls[1](c) })
				case <-time.After(time.Until(end)):
				}
			}
			probe.stop()
			if n := received.countAfter(limit); n > 0 {
				t.Errorf("%d first lines are sent over %v after discovery's return", n, discovery.StalenessLimit)
			}
			probe.expect(t, "UP", began, backAt)
			probe.expect(t, "BUSY", limit.Add(probeTimeout), time.Now())
		})
	}
}

// TestSendsWhileWatchIsQuiet checks that heartbeats alone keep the list current.
func TestSendsWhileWatchIsQuiet(t *testing.T) {
	t.Parallel()
	discoveryAddress, calls := startManualDiscovery(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress)
	server, _ := startRecordingServer(t)
	watch := <-calls
	watch.sendFirstList(listWithOneServer(1, server, "ready"))
	r.waitFor("the list is known", func() bool { return r.p.revision == 1 })
	began := time.Now()
	go watch.heartbeatUntil(r.Context().Done())
	probe := startProbe(t, r.address)
	time.Sleep(2 * discovery.StalenessLimit)
	probe.stop()
	probe.expect(t, "UP", began, time.Now())
}

// pushedWithGrace are the settings of pushed lists with a drain grace of drainGrace.
var pushedWithGrace = []string{`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`}

// drainGrace is the grace of pushedWithGrace.
const drainGrace = 300 * time.Millisecond

// TestPushedWhileDiscoveryIsDown checks that where lists are pushed a proxy that starts while discovery is down serves sessions by
// its cached list. It guards against sends by that list after discovery's return, as soon as a call waits for its turn.
func TestPushedWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	discoveryAddress, calls := startManualDiscovery(t)
	server, received := startRecordingServer(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress, append(pushedWithGrace,
		`"seed"`, `"known":`+listWithOneServer(1, server, "ready")+`,"seed"`)...)
	failedCalls[1](<-calls)
	connect(t, r.address).sendAndExpect("PING\r\n", "PONG\r\n")
	began := time.Now()
	probe := startProbe(t, r.address)
	for time.Since(began) < 2*time.Second {
		failedCalls[1](<-calls)
	}
	lastFailure := time.Now()
	time.Sleep(time.Second)
	probe.stop()
	if n := received.countAfter(lastFailure.Add(drainGrace + limitSlack)); n > 0 {
		t.Errorf("%d first lines are sent while a call waits for its turn", n)
	}
	probe.expect(t, "UP", began, lastFailure)
	probe.expect(t, "BUSY", lastFailure.Add(drainGrace+probeTimeout/2), time.Now())
}

// TestPushedWatchReset guards against sends by an old list where lists are pushed and the watch is reset: what discovery has
// counts as known whether or not a watch is open.
func TestPushedWatchReset(t *testing.T) {
	t.Parallel()
	discoveryAddress, calls := startManualDiscovery(t)
	server, received := startRecordingServer(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress, pushedWithGrace...)
	watch := <-calls
	watch.sendFirstList(listWithOneServer(1, server, "ready"))
	r.waitFor("the list is known", func() bool { return r.p.revision == 1 })
	began := time.Now()
	probe := startProbe(t, r.address)
	time.Sleep(time.Second)
	failedCalls[0](watch)
	resetAt := time.Now()
	time.Sleep(time.Second)
	if n := received.countAfter(resetAt.Add(drainGrace + limitSlack)); n > 0 {
		t.Errorf("%d first lines are sent while no watch is open", n)
	}
	renewed := time.Now()
	(<-calls).sendFirstList(listWithOneServer(2, server, "ready"))
	time.Sleep(time.Second)
	probe.stop()
	probe.expect(t, "UP", began, resetAt)
	probe.expect(t, "UP", renewed.Add(answerSlack), time.Now())
}

// expireLease ends the lease of the proxy's list at once, and keeps lists and heartbeats from renewing it.
func (r *testProxy) expireLease() {
	r.onLoop(func() {
		r.p.watcher.Stop()
		r.p.lease = discovery.Lease{}
	})
}

// renewLease renews the lease as a heartbeat does.
func (r *testProxy) renewLease() {
	r.onLoop(func() { r.p.handleListConfirmed(discovery.Reception{Began: time.Now(), Ended: time.Now()}) })
}

// TestLeaseEndsDuringConnect guards against a first line on a connection that is established only after the end of the lease. It
// waits for the next list, and the client gets an answer in time if none comes; the server is not blamed.
func TestLeaseEndsDuringConnect(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		t.Run(fmt.Sprint(renewed), func(t *testing.T) {
			t.Parallel()
			r := startTestProxy(t, "read_like", "non_idempotent")
			s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			held := r.holdConnects(false, false)
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, openLine())
			<-held.connected
			r.expireLease()
			held.handOver <- true
			r.waitFor("the dial waits", func() bool { return r.p.listGate.waiting.Len() == 1 })
			close(held.handOver)
			time.Sleep(100 * time.Millisecond)
			if text, _, _ := s.summary(); text != "" {
				t.Errorf("the server receives %q after the end of the lease", text)
			}
			if renewed {
				r.renewLease()
				d.expectLine("UP 1\r\n")
			} else {
				d.expectLine("BUSY\r\n")
				r.renewLease()
				connect(t, r.address).sendAndExpect(openLine(), "UP 1\r\n")
			}
			r.waitFor("nothing waits", func() bool { return r.p.listGate.waiting.Len() == 0 })
		})
	}
}

// TestSessionsWithoutLease checks which sessions are served without a current list: those that a server holds already. Of the
// others none is, and those whose clients leave are forgotten.
func TestSessionsWithoutLease(t *testing.T) {
	r := startTestProxy(t)
	r.applyList(1, serverEntry("s-1", startEchoServer(t), "ready"))
	r.expireLease()
	for _, established := range []string{",at=s-1", ",mid=1"} {
		d := connect(t, r.address)
		d.sendAndExpect(strings.Replace(openLine(), "\r\n", established+"\r\n", 1), "UP 1\r\n")
		d.Close()
	}
	var leaving []clientConn
	for range 10 {
		d := connect(t, r.address)
		fmt.Fprint(d.Conn, openLine())
		leaving = append(leaving, d)
	}
	r.waitFor("the sessions wait", func() bool { return r.p.listGate.waiting.Len() == len(leaving) })
	for _, d := range leaving {
		d.Close()
	}
	r.waitFor("the sessions are forgotten", func() bool { return r.p.listGate.waiting.Len() == 0 })
	connect(t, r.address).sendAndExpect(openLine(), "BUSY\r\n")
	r.expectIdle()
}

// TestArrivalTime checks when data counts as having arrived that was read at the end of a standstill: at the earliest time.
func TestArrivalTime(t *testing.T) {
	p := &Proxy{startedAt: time.Now(), standstill: standstill{began: 10 * time.Second, ended: 13 * time.Second}}
	at := func(seconds float64) time.Time { return p.startedAt.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct{ began, ended, want float64 }{
		"before it":             {8, 9, 9},
		"through it":            {9, 13, 10},
		"begun in it":           {11, 13, 11},
		"begun after it":        {13.5, 14, 14},
		"ended as it begins":    {8, 10, 10},
		"begun before, ends in": {9, 12, 10},
	} {
		if got := p.arrivalTime(discovery.Reception{Began: at(test.began), Ended: at(test.ended)}); got != at(test.want).Sub(p.startedAt) {
			t.Errorf("%s: data arrived at %v, want %v s", name, got, test.want)
		}
	}
}
