package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkferry/internal/sharing"
	"chalkferry/internal/standin/udplink"
)

// running is one proxy or aggregator as a process of its own.
type running struct {
	args   []string
	listen string // of a proxy's clients
	shares string // UDP
	status string
	cmd    *exec.Cmd
	log    logBuffer
}

// logBuffer has a process's output, and may be read while that runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (p *running) start(t *testing.T, binary string) {
	t.Helper()
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

func (p *running) kill() {
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// open asks for sessions and keeps them.
func (p *running) open(t *testing.T, n int, name string) (conns []net.Conn) {
	t.Helper()
	for i := range n {
		var up string
		for try := range 100 { // until it serves
			conn, err := net.Dial("tcp", p.listen)
			if err == nil {
				conn.SetDeadline(time.Now().Add(2 * time.Second))
				fmt.Fprintf(conn, "OPEN %s%04x%04x 00000000000000%02x c=chat,d=800\r\n", name, i, try, i)
				up, _ = bufio.NewReader(conn).ReadString('\n')
				if strings.HasPrefix(up, "UP ") {
					conns = append(conns, conn)
					t.Cleanup(func() { conn.Close() }) // and it is held until then
					break
				}
				conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !strings.HasPrefix(up, "UP ") {
			t.Fatalf("session %d is answered %q\n%s", i, up, p.log.String())
		}
	}
	return conns
}

// home has no other sockets than this test's, so that nobody takes a port between its choice and its use.
const home = "127.91.7.1"

// given are the addresses that free has returned: the kernel may choose one again that nobody listens at yet.
var given sync.Map

// free is an address that nobody has and that was not returned before.
func free(t *testing.T, network string) string {
	t.Helper()
	for {
		address := unusedAddress(t, network)
		if _, isGiven := given.LoadOrStore(network+" "+address, true); !isGiven {
			return address
		}
	}
}

func unusedAddress(t *testing.T, network string) string {
	t.Helper()
	if network == "udp4" {
		c, err := net.ListenPacket(network, home+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen(network, home+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serveConns listens until the test ends, and has each connection handled and then closed.
func serveConns(t *testing.T, handle func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// platform is one server, and the list that names it.
func platform(t *testing.T) (discovery string) {
	server := serveConns(t, func(conn net.Conn) {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			if strings.HasPrefix(lines.Text(), "OPEN ") {
				fmt.Fprint(conn, "UP one\r\n")
			}
		}
	})
	list := fmt.Sprintf(`{"revision":1,"complete":true,"members":[{"id":"one","host_port":%q,"locality":"a","phase":"ready","size":1}]}`, server)
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	go http.Serve(door, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for fmt.Fprintln(w, list); r.URL.Query().Get("watch") == "1" && r.Context().Err() == nil; fmt.Fprintln(w) {
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
		}
	}))
	return door.Addr().String()
}

// build compiles the program as it ships.
func build(t *testing.T, binary string) {
	t.Helper()
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

// Aggregators of a test's fleet: two regions, two in each.
const (
	westA = iota
	westB
	eastA
	eastB
	aggregatorCount
)

var (
	aggregatorNames   = [aggregatorCount]string{"west-a", "west-b", "east-a", "east-b"}
	aggregatorRegions = [aggregatorCount]string{"west", "west", "east", "east"}
	// proxyRegions has proxies 0 and 1 in one region and 2 in the other.
	proxyRegions = [...]string{"west", "west", "east"}
)

const proxyCount = len(proxyRegions)

// The times of a test's fleet.
const (
	testFreshness = 2 * time.Second
	testDecay     = time.Second
	testSettings  = "freshness = \"2s\"\ndecay = \"1s\"\n"
	settleLimit   = 20 * time.Second // generous: nothing is judged by how fast it was
)

// link joins a proxy and an aggregator, by one way in each direction. The aggregator sees the proxy at the address of
// the link's socket and answers there.
type link struct {
	up, down *udplink.Link

	mu       sync.Mutex
	recorded [][]byte // the proxy's latest datagrams
}

const recordedReports = 64

func openLink(t *testing.T, proxy, aggregator string, seed int64) *link {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	l := &link{up: openWay(t, socket.LocalAddr().String(), seed), down: openWay(t, proxy, seed+1)}
	down, err := net.ResolveUDPAddr("udp4", l.down.Address())
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(aggregator)
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, from, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if from == to {
				socket.WriteToUDP(buffer[:n], down) // may be lost like any
			} else {
				l.record(buffer[:n])
				socket.WriteToUDPAddrPort(buffer[:n], to)
			}
		}
	}()
	return l
}

func openWay(t *testing.T, to string, seed int64) *udplink.Link {
	t.Helper()
	w, err := udplink.Open("127.0.0.1:0", to, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func (l *link) record(datagram []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorded = append(l.recorded, bytes.Clone(datagram))
	l.recorded = l.recorded[max(0, len(l.recorded)-recordedReports):]
}

// replay sends the proxy's latest datagrams once more, as if they were new.
func (l *link) replay() {
	l.mu.Lock()
	datagrams := slices.Clone(l.recorded)
	l.mu.Unlock()
	for _, datagram := range datagrams {
		l.up.Send(datagram)
	}
}

func (l *link) cut(isCut bool) {
	l.up.SetDown(isCut)
	l.down.SetDown(isCut)
}

// testFleet is three proxies and four aggregators as processes, with links of the test's own between them.
type testFleet struct {
	t           *testing.T
	binary      string
	folder      string
	aggregators [aggregatorCount]*running
	proxies     [proxyCount]*running
	links       [proxyCount][aggregatorCount]*link              // nil to the other region
	exchanges   [aggregatorCount][aggregatorCount]*udplink.Link // from, to
}

func newTestFleet(t *testing.T, binary string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, binary: binary, folder: t.TempDir()}
	for i := range f.aggregators {
		f.aggregators[i] = &running{shares: free(t, "udp4"), status: free(t, "tcp4")}
	}
	for i := range f.proxies {
		f.proxies[i] = &running{listen: free(t, "tcp4"), shares: free(t, "udp4"), status: free(t, "tcp4")}
	}
	f.openExchanges()
	f.openLinks()
	for i := range f.aggregators {
		f.startAggregator(i)
	}
	discovery := platform(t)
	for i := range f.proxies {
		f.startProxy(i, discovery)
	}
	return f
}

func (f *testFleet) openExchanges() {
	for from := range f.aggregators {
		for to := range f.aggregators {
			if from != to {
				f.exchanges[from][to] = openWay(f.t, f.aggregators[to].shares, int64(100+10*from+to))
			}
		}
	}
}

func (f *testFleet) openLinks() {
	for i, proxy := range f.proxies {
		for j, aggregator := range f.aggregators {
			if proxyRegions[i] == aggregatorRegions[j] {
				f.links[i][j] = openLink(f.t, proxy.shares, aggregator.shares, int64(20*i+2*j))
			}
		}
	}
}

// startAggregator writes an aggregator's file and starts it.
func (f *testFleet) startAggregator(i int) {
	f.t.Helper()
	a := f.aggregators[i]
	text := fmt.Sprintf("name = %q\nregion = %q\nlisten = %q\nstatus = %q\n", aggregatorNames[i], aggregatorRegions[i], a.shares, a.status)
	text += testSettings + "digest_interval = \"50ms\"\nexchange_interval = \"25ms\"\nheartbeat_interval = \"200ms\"\n"
	for j := range f.aggregators {
		if j != i {
			text += fmt.Sprintf("[[peers]]\nname = %q\nregion = %q\naddress = %q\n", aggregatorNames[j], aggregatorRegions[j], f.exchanges[i][j].Address())
		}
	}
	file := f.write(aggregatorNames[i]+".toml", text)
	a.args = []string{"aggregate", file}
	a.start(f.t, f.binary)
	f.t.Cleanup(a.kill)
}

// startProxy writes a proxy's files and starts it.
func (f *testFleet) startProxy(i int, discovery string) {
	f.t.Helper()
	p := f.proxies[i]
	var aggregators []string
	for j, l := range f.links[i] {
		if l != nil {
			aggregators = append(aggregators, fmt.Sprintf("{name = %q, address = %q}", aggregatorNames[j], l.up.Address()))
		}
	}
	text := fmt.Sprintf("name = \"proxy-%d\"\nregion = %q\nzone = \"%s-1\"\nlisten = %q\nstatus = %q\naggregators = [%s]\n", i,
		proxyRegions[i], proxyRegions[i], p.shares, p.status, strings.Join(aggregators, ", "))
	text += testSettings + "report_interval = \"50ms\"\n"
	config := f.write(fmt.Sprintf("proxy-%d.json", i), fmt.Sprintf(configuration, p.listen, discovery))
	p.args = []string{"serve", config, "--fleet", f.write(fmt.Sprintf("proxy-%d.toml", i), text)}
	p.start(f.t, f.binary)
	f.t.Cleanup(p.kill)
}

func (f *testFleet) write(name, text string) string {
	f.t.Helper()
	file := filepath.Join(f.folder, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// eachWay calls back with every way there is.
func (f *testFleet) eachWay(call func(*udplink.Link)) {
	for i := range f.links {
		for _, l := range f.links[i] {
			if l != nil {
				call(l.up)
				call(l.down)
			}
		}
	}
	for from := range f.exchanges {
		for _, w := range f.exchanges[from] {
			if w != nil {
				call(w)
			}
		}
	}
}

// cutProxy cuts a proxy from all aggregators, or heals that.
func (f *testFleet) cutProxy(i int, isCut bool) {
	for _, l := range f.links[i] {
		if l != nil {
			l.cut(isCut)
		}
	}
}

// cutRegions cuts the regions from each other, or heals that.
func (f *testFleet) cutRegions(isCut bool) {
	for from := range f.exchanges {
		for to, w := range f.exchanges[from] {
			if w != nil && aggregatorRegions[from] != aggregatorRegions[to] {
				w.SetDown(isCut)
			}
		}
	}
}

// memberStatus asks a proxy by the command, as an operator does.
func (f *testFleet) memberStatus(i int) (s sharing.MemberStatus, ok bool) {
	ok = f.readStatus(f.proxies[i].status, &s)
	return s, ok
}

func (f *testFleet) aggregatorStatus(i int) (s sharing.AggregatorProcessStatus, ok bool) {
	ok = f.readStatus(f.aggregators[i].status, &s)
	return s, ok
}

func (f *testFleet) readStatus(address string, into any) bool {
	out, err := exec.Command(f.binary, "fleet", "status", "--json", address).Output()
	return err == nil && json.Unmarshal(out, into) == nil
}

// chat is the sum of the sessions of the one listener.
func chat(sums []sharing.SumStatus) sharing.SumStatus {
	at := slices.IndexFunc(sums, func(s sharing.SumStatus) bool { return s.Kind == "listener" && s.Name == "chat" })
	if at < 0 {
		return sharing.SumStatus{}
	}
	return sums[at]
}

// belief is what a proxy says of the sessions of the one listener; a value of -1 means that it does not answer.
func (f *testFleet) belief(i int) sharing.SumStatus {
	s, ok := f.memberStatus(i)
	if !ok {
		return sharing.SumStatus{Value: -1}
	}
	return chat(s.Sums)
}

// expect waits until the proxies have the sum.
func (f *testFleet) expect(what string, want float64, proxies ...int) {
	f.t.Helper()
	f.expectBelief(what, func(s sharing.SumStatus) bool { return s.Value == want }, want, proxies)
}

// expectWhole waits until the proxies have the sum, exactly and from all members.
func (f *testFleet) expectWhole(what string, want float64, proxies ...int) {
	f.t.Helper()
	f.expectBelief(what, func(s sharing.SumStatus) bool { return s.Value == want && s.Error == 0 && s.Heard == 1 }, want, proxies)
}

// expectPart waits until the proxies have the sum of what they still hear, and say that it is not from all members.
func (f *testFleet) expectPart(what string, want float64, proxies ...int) {
	f.t.Helper()
	f.expectBelief(what, func(s sharing.SumStatus) bool { return s.Value == want && s.Heard < 1 }, want, proxies)
}

func (f *testFleet) expectBelief(what string, isRight func(sharing.SumStatus) bool, want float64, proxies []int) {
	f.t.Helper()
	for until := time.Now().Add(settleLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(proxies, func(i int) bool { return !isRight(f.belief(i)) }) {
			return
		}
	}
	for _, i := range proxies {
		s, _ := f.memberStatus(i)
		f.t.Errorf("%s: proxy %d has %+v, not %v: %+v", what, i, chat(s.Sums), want, s)
	}
	f.logAggregators()
}

func (f *testFleet) logAggregators() {
	for i := range f.aggregators {
		if s, ok := f.aggregatorStatus(i); ok {
			f.t.Logf("%s: %+v", aggregatorNames[i], s)
		}
	}
}

// hold looks at the proxies for a while, in which the truth does not change: no figure that says that it is from all
// members may be off by more than its error, and none may ever be above the truth by more than that.
func (f *testFleet) hold(what string, truth float64, span time.Duration, proxies ...int) {
	f.t.Helper()
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, i := range proxies {
			s := f.belief(i)
			if s.Value < 0 || s.Error < 0 || s.Value > truth+s.Error || s.Heard == 1 && s.Value < truth-s.Error {
				f.t.Errorf("%s: proxy %d has %+v, the truth is %v", what, i, s, truth)
				return
			}
		}
	}
}
