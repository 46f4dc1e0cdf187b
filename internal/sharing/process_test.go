package sharing

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
)

// waitLimit is long, so that tests don't fail because the machine is slow.
const waitLimit = 20 * time.Second

// eventually waits until a condition is true, and fails the test after waitLimit.
func eventually(t *testing.T, name string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitLimit, name)
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startTestAggregator starts an aggregator without peers and with short intervals.
func startTestAggregator(t *testing.T, change func(*AggregatorConfig)) *Aggregator {
	t.Helper()
	config := DefaultAggregatorConfig()
	config.Name, config.Region, config.Listen, config.Status = "west-a", "west", loopback, loopback
	config.DigestInterval, config.ExchangeInterval = 30*time.Millisecond, 20*time.Millisecond
	config.HeartbeatInterval, config.Freshness, config.Decay = 50*time.Millisecond, 2*time.Second, time.Second
	if change != nil {
		change(&config)
	}
	a, err := StartAggregator(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// startTestMember starts a member that reports to one aggregator, with short intervals.
func startTestMember(t *testing.T, name string, a *Aggregator) *Member {
	t.Helper()
	config := DefaultMemberConfig()
	config.Name, config.Region, config.Zone, config.Listen, config.Status = name, "west", "west-1", loopback, loopback
	config.Aggregators = []AggregatorAddress{{Name: a.config.Name, Address: a.endpoint.address()}}
	config.ReportInterval, config.Freshness, config.Decay = 20*time.Millisecond, 2*time.Second, time.Second
	m, err := StartMember(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// sumOf returns the sum with a name, or one with the value -1 if there is none.
func sumOf(sums []SumStatus, name string) SumStatus {
	for _, sum := range sums {
		if sum.Name == name {
			return sum
		}
	}
	return SumStatus{Value: -1}
}

// TestSums: both members get the sums of what the two of them publish, and a name that a member no longer publishes does
// not count any more.
func TestSums(t *testing.T) {
	a := startTestAggregator(t, nil)
	first, second := startTestMember(t, "first", a), startTestMember(t, "second", a)
	first.Publish([]SessionCount{{aggregation.ByServer, "s1", 3}, {aggregation.ByTenant, "t1", 1}, {aggregation.ByListener, "l1", 3}})
	second.Publish([]SessionCount{{aggregation.ByServer, "s1", 4}, {aggregation.ByTenant, "t1", 2}})
	hasSum := func(m *Member, name string, want float64) func() bool {
		return func() bool {
			s, ok := m.Status()
			sum := sumOf(s.Sums, name)
			return ok && sum.Value == want && sum.Error == 0 && sum.Heard == 1
		}
	}
	eventually(t, "the sum of a server at the first member", hasSum(first, "s1", 7))
	eventually(t, "the sum of a server at the second member", hasSum(second, "s1", 7))
	eventually(t, "the sum of a tenant at the second member", hasSum(second, "t1", 3))
	second.Publish([]SessionCount{{aggregation.ByTenant, "t1", 5}})
	eventually(t, "the sum of a server that one member no longer publishes", hasSum(second, "s1", 3))
	eventually(t, "the sum of a tenant at the first member", hasSum(first, "t1", 6))
}

// TestLimits: members and keys above the limits of an aggregator are dropped, counted and shown in the status. Sums with
// dropped keys don't claim that all members are heard.
func TestLimits(t *testing.T) {
	a := startTestAggregator(t, func(c *AggregatorConfig) { c.MaxMembers, c.MaxMemberKeys, c.MaxKeys = 2, 3, 4 })
	first := startTestMember(t, "first", a)
	first.Publish([]SessionCount{{aggregation.ByServer, "s1", 1}, {aggregation.ByServer, "s2", 1}, {aggregation.ByServer, "s3", 1},
		{aggregation.ByServer, "s4", 1}, {aggregation.ByServer, "s5", 1}})
	second := startTestMember(t, "second", a)
	second.Publish([]SessionCount{{aggregation.ByTenant, "t1", 1}, {aggregation.ByTenant, "t2", 1}})
	eventually(t, "two members", func() bool { s, _ := a.Status(); return s.Members.Known == 2 && s.Members.Fresh == 2 })
	startTestMember(t, "third", a)
	eventually(t, "dropped at the limits", func() bool {
		s, _ := a.Status()
		return s.Datagrams.NoRoom > 0 && s.Dropped.Members == s.Datagrams.NoRoom && s.Dropped.Keys > 0
	})
	s, _ := a.Status()
	if s.Members.Known != 2 || len(s.Members.Each) != 2 || len(s.Sums) > 4 {
		t.Errorf("%d members and %d keys, above the limits", s.Members.Known, len(s.Sums))
	}
	for _, m := range s.Members.Each {
		if m.Keys > 3 || m.Keys >= int(m.KeysSent) && m.KeysSent > 3 {
			t.Errorf("a member with %d of %d keys", m.Keys, m.KeysSent)
		}
	}
	if s.Limits != (LimitsStatus{Members: 2, MemberKeys: 3, Keys: 4}) {
		t.Errorf("limits %+v", s.Limits)
	}
	member, _ := first.Status() // its keys are not fully received, so the sum must not claim that all members are heard
	if sum := sumOf(member.Sums, "s1"); sum.Heard >= 1 {
		t.Errorf("a sum with keys dropped: %+v", sum)
	}
}

// TestConstantRate: a member sends reports at its interval, however often Publish is called, and Publish does not block.
func TestConstantRate(t *testing.T) {
	a := startTestAggregator(t, nil)
	m := startTestMember(t, "first", a)
	startedAt := time.Now()
	published := 0
	for time.Since(startedAt) < 500*time.Millisecond {
		m.Publish([]SessionCount{{aggregation.ByServer, "s1", uint32(published)}})
		published++
	}
	s, _ := m.Status()
	most := uint64(time.Since(startedAt)/m.config.ReportInterval) + 2
	if s.Datagrams.Sent == 0 || s.Datagrams.Sent > most {
		t.Errorf("%d datagrams sent, want 1 to %d, after %d publications", s.Datagrams.Sent, most, published)
	}
}

// TestClose: Close of a member and of an aggregator ends all goroutines and closes the sockets.
func TestClose(t *testing.T) {
	http.DefaultClient.CloseIdleConnections()
	before := runtime.NumGoroutine()
	config := DefaultAggregatorConfig()
	config.Name, config.Region, config.Listen, config.Status = "west-a", "west", loopback, loopback
	a, err := StartAggregator(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	member := DefaultMemberConfig()
	member.Name, member.Region, member.Zone, member.Listen, member.Status = "first", "west", "west-1", loopback, loopback
	member.Aggregators = []AggregatorAddress{{Name: "west-a", Address: a.endpoint.address()}}
	m, err := StartMember(member, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	m.Close()
	if _, ok := m.Status(); ok {
		t.Error("a closed member has a status")
	}
	if _, ok := a.Status(); ok {
		t.Error("a closed aggregator has a status")
	}
	m.Publish(nil) // must not block
	m.Publish(nil)
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
	for _, end := range []*endpoint{a.endpoint, m.endpoint} {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(end.address()))
		if err != nil {
			t.Errorf("the address is still in use: %v", err)
			continue
		}
		conn.Close()
	}
}

// TestStartErrors: an invalid configuration or an address in use is an error, and no goroutine is left.
func TestStartErrors(t *testing.T) {
	usedUDP, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	defer usedUDP.Close()
	busy := usedUDP.LocalAddr().(*net.UDPAddr).AddrPort()
	usedTCP, err := net.Listen("tcp4", loopback.String())
	if err != nil {
		t.Fatal(err)
	}
	defer usedTCP.Close()
	busyStatus := usedTCP.Addr().(*net.TCPAddr).AddrPort()
	before := runtime.NumGoroutine()
	for _, change := range []func(*MemberConfig){
		func(c *MemberConfig) { c.Name = "" },
		func(c *MemberConfig) { c.Listen = busy },
		func(c *MemberConfig) { c.Status = busyStatus },
	} {
		config := benchmarkMember()
		config.Aggregators[0].Address, config.Listen = busy, loopback
		change(&config)
		if _, err := StartMember(config, zerolog.Nop()); err == nil {
			t.Errorf("no error from StartMember with %+v", config)
		}
	}
	for _, change := range []func(*AggregatorConfig){
		func(c *AggregatorConfig) { c.Region = "" },
		func(c *AggregatorConfig) { c.Listen = busy },
		func(c *AggregatorConfig) { c.Status = busyStatus },
	} {
		config := DefaultAggregatorConfig()
		config.Name, config.Region, config.Listen = "west-a", "west", loopback
		change(&config)
		if _, err := StartAggregator(config, zerolog.Nop()); err == nil {
			t.Errorf("no error from StartAggregator with %+v", config)
		}
	}
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
}

// TestQueueFull: messages that arrive while the receive queue is full are dropped and counted.
func TestQueueFull(t *testing.T) {
	end, err := listen(loopback, 1, newDropLog(zerolog.Nop(), time.Second))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); end.read() }()
	datagram := must(encode(smallMessages()[0]))
	for range 10 {
		end.send(datagram, end.address())
	}
	end.send([]byte("nonsense"), end.address())
	eventually(t, "all are read", func() bool { return end.counters.malformed.Load() == 1 })
	if d := end.counters.snapshot(); d.Sent != 11 || d.SentBytes != uint64(10*len(datagram)+len("nonsense")) || d.ReceivedBytes != d.SentBytes {
		t.Errorf("counters %+v", d)
	}
	if dropped := end.counters.queueFull.Load(); dropped != 9 || len(end.received) != 1 {
		t.Errorf("%d dropped and %d in the queue, want 9 and 1", dropped, len(end.received))
	}
	end.conn.Close()
	<-done
}

// TestSocketDropped: datagrams that the kernel drops because nobody reads the socket are counted.
func TestSocketDropped(t *testing.T) {
	end, err := listen(loopback, 1, newDropLog(zerolog.Nop(), time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer end.conn.Close()
	if err := end.setBuffers(4096); err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		end.send(make([]byte, maxDatagramBytes), end.address())
	}
	if dropped, buffer := end.socketState(); dropped == 0 || dropped >= 1000 || buffer < 4096 {
		t.Errorf("%d dropped, receive buffer of %d bytes", dropped, buffer)
	}
}

// TestWarnings: of the datagrams dropped within the log interval, one per reason is logged.
func TestWarnings(t *testing.T) {
	var log bytes.Buffer
	w := newDropLog(zerolog.New(&log), time.Hour)
	for range 1000 {
		w.logDropped(errTooLong.Error(), loopback, errTooLong)
		w.logDropped(errUnknownSender.Error(), loopback, nil)
	}
	if lines := strings.Count(log.String(), "\n"); lines != 2 {
		t.Errorf("%d lines logged, want 2: %s", lines, log.String())
	}
}

// TestStatusServer: both kinds of status are served as JSON, and WriteStatus writes them as text.
func TestStatusServer(t *testing.T) {
	a := startTestAggregator(t, nil)
	m := startTestMember(t, "first", a)
	m.Publish([]SessionCount{{aggregation.ByServer, "s1", 3}})
	eventually(t, "a sum", func() bool { s, _ := m.Status(); return sumOf(s.Sums, "s1").Heard == 1 })
	for address, wantTexts := range map[string][]string{
		m.StatusAddress(): {"member first in west, zone west-1", "aggregator west-a", "region \"west\"", "s1", "100% of members heard", "datagrams sent"},
		a.StatusAddress(): {"aggregator west-a in west", "members: 1 known, 1 fresh, at most 6000", "subscribed", "region \"west\"", "socket buffer"},
	} {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || !json.Valid(text) {
			t.Fatalf("%s: %v", text, err)
		}
		var out bytes.Buffer
		if err := WriteStatus(&out, text); err != nil {
			t.Error(err)
		}
		for _, want := range wantTexts {
			if !strings.Contains(out.String(), want) {
				t.Errorf("no %q in\n%s", want, out.String())
			}
		}
	}
	for _, text := range []string{"", "{}", "[]", `{"role":"cook"}`} {
		if err := WriteStatus(io.Discard, []byte(text)); err == nil {
			t.Errorf("%q is accepted as a status", text)
		}
	}
}

// TestPublishedCounts: a name that is no longer published is set to 0 once, and names above the limit are removed.
func TestPublishedCounts(t *testing.T) {
	set := newPublishedCounts(10)
	values := map[string]uint64{}
	calls := 0
	publish := func(counts ...SessionCount) {
		set.publish(counts, func(k aggregation.Key, value uint64) {
			calls++
			values[k.String()] = value
		})
	}
	one := keyOf(aggregation.ByServer, "one")
	publish(SessionCount{aggregation.ByServer, "one", 3})
	if values[one.String()] != 3 || set.name(one) != "one" {
		t.Errorf("values %v, name %q", values, set.name(one))
	}
	publish()
	publish()
	if values[one.String()] != 0 || calls != 2 || set.name(one) != "one" {
		t.Errorf("values %v after %d calls, name %q", values, calls, set.name(one))
	}
	for i := range 100 {
		publish(SessionCount{aggregation.ByServer, fmt.Sprint("s", i), 1})
	}
	if len(set.names) > 11 {
		t.Errorf("%d names stored, want at most 11", len(set.names))
	}
	if unknown := keyOf(aggregation.ByTenant, "no"); set.name(unknown) != unknown.String() {
		t.Errorf("name of an unknown key: %q", set.name(unknown))
	}
}
