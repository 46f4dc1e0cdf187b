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

const waitLimit = 20 * time.Second // generous: nothing is judged by how fast it was

// eventually waits for a condition.
func eventually(t *testing.T, what string, isSo func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if isSo() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitLimit, what)
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// quickAggregator is an aggregator of one region, alone, with short intervals.
func quickAggregator(t *testing.T, change func(*AggregatorConfig)) *Aggregator {
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

// quickMember is a member of an aggregator, with short intervals.
func quickMember(t *testing.T, name string, a *Aggregator) *Member {
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

func sumOf(sums []SumStatus, name string) SumStatus {
	for _, sum := range sums {
		if sum.Name == name {
			return sum
		}
	}
	return SumStatus{Value: -1}
}

// TestSums: what two members publish adds up at both, and what one does not publish any more is gone.
func TestSums(t *testing.T) {
	a := quickAggregator(t, nil)
	first, second := quickMember(t, "first", a), quickMember(t, "second", a)
	first.Publish([]Fact{{aggregation.ByServer, "s1", 3}, {aggregation.ByTenant, "t1", 1}, {aggregation.ByListener, "l1", 3}})
	second.Publish([]Fact{{aggregation.ByServer, "s1", 4}, {aggregation.ByTenant, "t1", 2}})
	holds := func(m *Member, name string, want float64) func() bool {
		return func() bool {
			s, ok := m.Status()
			sum := sumOf(s.Sums, name)
			return ok && sum.Value == want && sum.Error == 0 && sum.Heard == 1
		}
	}
	eventually(t, "the sum of a server", holds(first, "s1", 7))
	eventually(t, "the sum of a server", holds(second, "s1", 7))
	eventually(t, "the sum of a tenant", holds(second, "t1", 3))
	second.Publish([]Fact{{aggregation.ByTenant, "t1", 5}})
	eventually(t, "the sum of a server that one has left", holds(second, "s1", 3))
	eventually(t, "the sum of a tenant", holds(first, "t1", 6))
}

// TestLimits: what does not fit the limits of an aggregator is dropped, counted and shown, and the rest stays right.
func TestLimits(t *testing.T) {
	a := quickAggregator(t, func(c *AggregatorConfig) { c.MaxMembers, c.MaxMemberKeys, c.MaxKeys = 2, 3, 4 })
	first := quickMember(t, "first", a)
	first.Publish([]Fact{{aggregation.ByServer, "s1", 1}, {aggregation.ByServer, "s2", 1}, {aggregation.ByServer, "s3", 1},
		{aggregation.ByServer, "s4", 1}, {aggregation.ByServer, "s5", 1}})
	second := quickMember(t, "second", a)
	second.Publish([]Fact{{aggregation.ByTenant, "t1", 1}, {aggregation.ByTenant, "t2", 1}})
	eventually(t, "two members", func() bool { s, _ := a.Status(); return s.Members.Known == 2 && s.Members.Fresh == 2 })
	quickMember(t, "third", a)
	eventually(t, "dropped at the limits", func() bool {
		s, _ := a.Status()
		return s.Datagrams.NoRoom > 0 && s.Dropped.Members == s.Datagrams.NoRoom && s.Dropped.Keys > 0
	})
	s, _ := a.Status()
	if s.Members.Known != 2 || len(s.Members.Each) != 2 || len(s.Sums) > 4 {
		t.Errorf("%d members and %d keys", s.Members.Known, len(s.Sums))
	}
	for _, m := range s.Members.Each {
		if m.Keys > 3 || m.Keys >= int(m.KeysSent) && m.KeysSent > 3 {
			t.Errorf("a member of %d keys out of %d", m.Keys, m.KeysSent)
		}
	}
	if s.Limits != (LimitsStatus{Members: 2, MemberKeys: 3, Keys: 4}) {
		t.Errorf("limits %+v", s.Limits)
	}
	member, _ := first.Status() // not fully received, so it does not say that all are heard
	if sum := sumOf(member.Sums, "s1"); sum.Heard >= 1 {
		t.Errorf("a sum with keys dropped: %+v", sum)
	}
}

// TestConstantRate: a member sends at its interval and no faster, however often something is published, and Publish
// does not wait.
func TestConstantRate(t *testing.T) {
	a := quickAggregator(t, nil)
	m := quickMember(t, "first", a)
	began := time.Now()
	published := 0
	for time.Since(began) < 500*time.Millisecond {
		m.Publish([]Fact{{aggregation.ByServer, "s1", uint32(published)}})
		published++
	}
	s, _ := m.Status()
	most := uint64(time.Since(began)/m.config.ReportInterval) + 2
	if s.Datagrams.Sent == 0 || s.Datagrams.Sent > most {
		t.Errorf("%d datagrams sent, at most %d are to be, in %d publications", s.Datagrams.Sent, most, published)
	}
}

// TestClose: a member and an aggregator that were closed leave no goroutine and no socket.
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
	m.Publish(nil) // must not wait
	m.Publish(nil)
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
	for _, end := range []*endpoint{a.endpoint, m.endpoint} {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(end.address()))
		if err != nil {
			t.Errorf("the address is in use: %v", err)
			continue
		}
		conn.Close()
	}
}

// TestStartErrors: what can't start returns an error and leaves nothing.
func TestStartErrors(t *testing.T) {
	taken, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	busy := taken.LocalAddr().(*net.UDPAddr).AddrPort()
	door, err := net.Listen("tcp4", loopback.String())
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close()
	busyStatus := door.Addr().(*net.TCPAddr).AddrPort()
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
			t.Errorf("a member starts with %+v", config)
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
			t.Errorf("an aggregator starts with %+v", config)
		}
	}
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
}

// TestQueueFull: messages that nobody takes are dropped and counted, and cost no more than the queue.
func TestQueueFull(t *testing.T) {
	end, err := listen(loopback, 1, newWarnings(zerolog.Nop(), time.Second))
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
		t.Errorf("counted %+v", d)
	}
	if dropped := end.counters.queueFull.Load(); dropped != 9 || len(end.received) != 1 {
		t.Errorf("%d dropped, %d wait", dropped, len(end.received))
	}
	end.conn.Close()
	<-done
}

// TestSocketDropped: what the kernel drops, as nobody reads the socket, is told.
func TestSocketDropped(t *testing.T) {
	end, err := listen(loopback, 1, newWarnings(zerolog.Nop(), time.Second))
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
		t.Errorf("%d dropped, a buffer of %d", dropped, buffer)
	}
}

// TestWarnings: one dropped datagram of each reason is logged in a span.
func TestWarnings(t *testing.T) {
	var log bytes.Buffer
	w := newWarnings(zerolog.New(&log), time.Hour)
	for range 1000 {
		w.dropped(errTooLong.Error(), loopback, errTooLong)
		w.dropped(errUnknownSender.Error(), loopback, nil)
	}
	if lines := strings.Count(log.String(), "\n"); lines != 2 {
		t.Errorf("%d lines: %s", lines, log.String())
	}
}

// TestStatusServer: the status is JSON of either kind, and is written for a reader at a terminal.
func TestStatusServer(t *testing.T) {
	a := quickAggregator(t, nil)
	m := quickMember(t, "first", a)
	m.Publish([]Fact{{aggregation.ByServer, "s1", 3}})
	eventually(t, "a sum", func() bool { s, _ := m.Status(); return sumOf(s.Sums, "s1").Heard == 1 })
	for address, wants := range map[string][]string{
		m.StatusAddress(): {"member first in west, zone west-1", "aggregator west-a", "region \"west\"", "s1", "100% of members heard", "datagrams sent"},
		a.StatusAddress(): {"aggregator west-a in west", "members: 1 known, 1 fresh, at most 6000", "subscribed", "region \"west\"", "socket buffer"},
	} {
		answer, err := http.Get("http://" + address + "/")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil || !json.Valid(text) {
			t.Fatalf("%s: %v", text, err)
		}
		var out bytes.Buffer
		if err := WriteStatus(&out, text); err != nil {
			t.Error(err)
		}
		for _, want := range wants {
			if !strings.Contains(out.String(), want) {
				t.Errorf("no %q in\n%s", want, out.String())
			}
		}
	}
	for _, text := range []string{"", "{}", "[]", `{"role":"cook"}`} {
		if err := WriteStatus(io.Discard, []byte(text)); err == nil {
			t.Errorf("%q is taken for a status", text)
		}
	}
}

// TestFactSet: names that are not published any more are set to 0 once, and no more are kept than may be.
func TestFactSet(t *testing.T) {
	set := newFactSet(10)
	values := map[string]uint64{}
	calls := 0
	publish := func(facts ...Fact) {
		set.publish(facts, func(k aggregation.Key, value uint64) {
			calls++
			values[k.String()] = value
		})
	}
	one := key(aggregation.ByServer, "one")
	publish(Fact{aggregation.ByServer, "one", 3})
	if values[one.String()] != 3 || set.name(one) != "one" {
		t.Errorf("%v, %q", values, set.name(one))
	}
	publish()
	publish()
	if values[one.String()] != 0 || calls != 2 || set.name(one) != "one" {
		t.Errorf("%v after %d calls, %q", values, calls, set.name(one))
	}
	for i := range 100 {
		publish(Fact{aggregation.ByServer, fmt.Sprint("s", i), 1})
	}
	if len(set.names) > 11 {
		t.Errorf("%d names are kept", len(set.names))
	}
	if unknown := key(aggregation.ByTenant, "no"); set.name(unknown) != unknown.String() {
		t.Errorf("an unknown key is %q", set.name(unknown))
	}
}
