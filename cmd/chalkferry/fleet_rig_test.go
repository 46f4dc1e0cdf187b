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

// fleetProcess is one proxy or aggregator of a test's fleet, as a process of its own.
type fleetProcess struct {
	args   []string
	listen string // address for clients; proxies only
	shares string // UDP address for the fleet's datagrams
	status string // address of the status
	cmd    *exec.Cmd
	log    logBuffer
}

// logBuffer collects a process's output. It may be read while the process runs.
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

func (p *fleetProcess) start(t *testing.T, binary string) {
	t.Helper()
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

// kill kills the process, also a stopped one, and waits for its end.
func (p *fleetProcess) kill() {
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// open opens n sessions, which stay open until the test ends. The first 8 digits of their ids are idPrefix.
func (p *fleetProcess) open(t *testing.T, n int, idPrefix string) (conns []net.Conn) {
	t.Helper()
	for i := range n {
		var answer string
		for try := range 100 { // until the proxy serves
			conn, err := net.Dial("tcp", p.listen)
			if err == nil {
				conn.SetDeadline(time.Now().Add(2 * time.Second))
				fmt.Fprintf(conn, "OPEN %s%04x%04x 00000000000000%02x c=chat,d=800\r\n", idPrefix, i, try, i)
				answer, _ = bufio.NewReader(conn).ReadString('\n')
				if strings.HasPrefix(answer, "UP ") {
					conns = append(conns, conn)
					t.Cleanup(func() { conn.Close() }) // also keeps the connection referenced, and so open, until then
					break
				}
				conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !strings.HasPrefix(answer, "UP ") {
			t.Fatalf("session %d is answered %q\n%s", i, answer, p.log.String())
		}
	}
	return conns
}

// loopbackAddress is used by these tests only, so that nothing else takes a port between its choice and its use.
const loopbackAddress = "127.91.7.1"

// returnedAddresses holds the addresses that unusedAddress has returned: while nothing listens at one, the kernel may choose
// it again.
var returnedAddresses sync.Map

// unusedAddress returns an address that is not in use and was not returned before.
func unusedAddress(t *testing.T, network string) string {
	t.Helper()
	for {
		address := kernelChosenAddress(t, network)
		if _, wasReturned := returnedAddresses.LoadOrStore(network+" "+address, true); !wasReturned {
			return address
		}
	}
}

// kernelChosenAddress has the kernel choose a port and releases it again.
func kernelChosenAddress(t *testing.T, network string) string {
	t.Helper()
	if network == "udp4" {
		c, err := net.ListenPacket(network, loopbackAddress+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen(network, loopbackAddress+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serveConns accepts TCP connections until the test ends. Each has its own call of handle and is closed after it.
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

// startPlatform starts one server, which accepts every session, and a discovery service that lists it. It returns the
// address of the discovery service.
func startPlatform(t *testing.T) (discovery string) {
	server := serveConns(t, func(conn net.Conn) {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			if strings.HasPrefix(lines.Text(), "OPEN ") {
				fmt.Fprint(conn, "UP one\r\n")
			}
		}
	})
	list := fmt.Sprintf(`{"revision":1,"complete":true,"members":[{"id":"one","host_port":%q,"locality":"a","phase":"ready","size":1}]}`, server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for fmt.Fprintln(w, list); r.URL.Query().Get("watch") == "1" && r.Context().Err() == nil; fmt.Fprintln(w) {
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
		}
	}))
	return listener.Addr().String()
}

// buildProgram compiles the program under test, without the test's own code.
func buildProgram(t *testing.T, binary string) {
	t.Helper()
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

// Indexes of the aggregators of a test's fleet, two in each of two regions.
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
	// proxyRegions are the regions of the proxies by their index: 0 and 1 share one.
	proxyRegions = [...]string{"west", "west", "east"}
)

const proxyCount = len(proxyRegions)

// Settings of a test's fleet. testSettings has the first two times as text of a TOML file.
const (
	testFreshness = 2 * time.Second
	testDecay     = time.Second
	testSettings  = "freshness = \"2s\"\ndecay = \"1s\"\n"
	settleLimit   = 20 * time.Second // long, since the tests do not check how fast sums settle
)

// proxyLink connects a proxy and an aggregator by one simulated network link in each direction. The aggregator sees the
// proxy at the address of the link's socket and answers there.
type proxyLink struct {
	up, down *udplink.Link

	mu       sync.Mutex
	recorded [][]byte // the proxy's latest datagrams
}

// recordedReports is how many of a proxy's latest datagrams are kept for a replay.
const recordedReports = 64

// openProxyLink starts a link between the UDP addresses of a proxy and an aggregator.
func openProxyLink(t *testing.T, proxy, aggregator string, seed int64) *proxyLink {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	l := &proxyLink{up: openLink(t, socket.LocalAddr().String(), seed), down: openLink(t, proxy, seed+1)}
	down, err := net.ResolveUDPAddr("udp4", l.down.Address())
	if err != nil {
		t.Fatal(err)
	}
	aggregatorAddress := netip.MustParseAddrPort(aggregator)
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, from, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if from == aggregatorAddress {
				socket.WriteToUDP(buffer[:n], down) // an error counts as a lost datagram
			} else {
				l.record(buffer[:n])
				socket.WriteToUDPAddrPort(buffer[:n], aggregatorAddress)
			}
		}
	}()
	return l
}

// openLink opens a simulated network link to an address and closes it at the end of the test.
func openLink(t *testing.T, to string, seed int64) *udplink.Link {
	t.Helper()
	link, err := udplink.Open("127.0.0.1:0", to, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

func (l *proxyLink) record(datagram []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorded = append(l.recorded, bytes.Clone(datagram))
	l.recorded = l.recorded[max(0, len(l.recorded)-recordedReports):]
}

// replay sends the proxy's latest datagrams once more.
func (l *proxyLink) replay() {
	l.mu.Lock()
	datagrams := slices.Clone(l.recorded)
	l.mu.Unlock()
	for _, datagram := range datagrams {
		l.up.Send(datagram)
	}
}

// cut drops all datagrams in both directions, or relays them again.
func (l *proxyLink) cut(isCut bool) {
	l.up.SetDown(isCut)
	l.down.SetDown(isCut)
}

// testFleet runs three proxies and four aggregators as processes, with simulated network links between them.
type testFleet struct {
	t           *testing.T
	binary      string
	folder      string
	aggregators [aggregatorCount]*fleetProcess
	proxies     [proxyCount]*fleetProcess
	links       [proxyCount][aggregatorCount]*proxyLink         // nil if the aggregator is in the other region
	exchanges   [aggregatorCount][aggregatorCount]*udplink.Link // from, to
}

func newTestFleet(t *testing.T, binary string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, binary: binary, folder: t.TempDir()}
	for i := range f.aggregators {
		f.aggregators[i] = &fleetProcess{shares: unusedAddress(t, "udp4"), status: unusedAddress(t, "tcp4")}
	}
	for i := range f.proxies {
		f.proxies[i] = &fleetProcess{listen: unusedAddress(t, "tcp4"), shares: unusedAddress(t, "udp4"), status: unusedAddress(t, "tcp4")}
	}
	f.openExchanges()
	f.openLinks()
	for i := range f.aggregators {
		f.startAggregator(i)
	}
	discovery := startPlatform(t)
	for i := range f.proxies {
		f.startProxy(i, discovery)
	}
	return f
}

func (f *testFleet) openExchanges() {
	for from := range f.aggregators {
		for to := range f.aggregators {
			if from != to {
				f.exchanges[from][to] = openLink(f.t, f.aggregators[to].shares, int64(100+10*from+to))
			}
		}
	}
}

func (f *testFleet) openLinks() {
	for i, proxy := range f.proxies {
		for j, aggregator := range f.aggregators {
			if proxyRegions[i] == aggregatorRegions[j] {
				f.links[i][j] = openProxyLink(f.t, proxy.shares, aggregator.shares, int64(20*i+2*j))
			}
		}
	}
}

// startAggregator writes an aggregator's TOML file and starts the process.
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

// startProxy writes a proxy's configuration and member file and starts the process.
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

// write writes a file in the fleet's folder and returns its path.
func (f *testFleet) write(name, text string) string {
	f.t.Helper()
	file := filepath.Join(f.folder, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// forEachLink calls a function with each simulated network link of the fleet.
func (f *testFleet) forEachLink(call func(*udplink.Link)) {
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

// cutProxy cuts a proxy off from all aggregators, or connects it again.
func (f *testFleet) cutProxy(i int, isCut bool) {
	for _, l := range f.links[i] {
		if l != nil {
			l.cut(isCut)
		}
	}
}

// cutRegions cuts the regions off from each other, or connects them again.
func (f *testFleet) cutRegions(isCut bool) {
	for from := range f.exchanges {
		for to, w := range f.exchanges[from] {
			if w != nil && aggregatorRegions[from] != aggregatorRegions[to] {
				w.SetDown(isCut)
			}
		}
	}
}

// memberStatus queries a proxy by the command fleet status, as an operator does.
func (f *testFleet) memberStatus(i int) (s sharing.MemberStatus, ok bool) {
	ok = f.readStatus(f.proxies[i].status, &s)
	return s, ok
}

// aggregatorStatus queries an aggregator in the same way.
func (f *testFleet) aggregatorStatus(i int) (s sharing.AggregatorProcessStatus, ok bool) {
	ok = f.readStatus(f.aggregators[i].status, &s)
	return s, ok
}

func (f *testFleet) readStatus(address string, into any) bool {
	out, err := exec.Command(f.binary, "fleet", "status", "--json", address).Output()
	return err == nil && json.Unmarshal(out, into) == nil
}

// findChat returns the sum of the sessions of the listener "chat", the only one; zero if there is none.
func findChat(sums []sharing.SumStatus) sharing.SumStatus {
	i := slices.IndexFunc(sums, func(s sharing.SumStatus) bool { return s.Kind == "listener" && s.Name == "chat" })
	if i < 0 {
		return sharing.SumStatus{}
	}
	return sums[i]
}

// chatSum returns a proxy's sum of the sessions of the listener "chat", with Value -1 if the proxy does not answer.
func (f *testFleet) chatSum(i int) sharing.SumStatus {
	s, ok := f.memberStatus(i)
	if !ok {
		return sharing.SumStatus{Value: -1}
	}
	return findChat(s.Sums)
}

// expect waits until the proxies have the sum. After settleLimit the test fails.
func (f *testFleet) expect(what string, want float64, proxies ...int) {
	f.t.Helper()
	f.expectSum(what, func(s sharing.SumStatus) bool { return s.Value == want }, want, proxies)
}

// expectWhole waits until the proxies have the sum without error and from all members.
func (f *testFleet) expectWhole(what string, want float64, proxies ...int) {
	f.t.Helper()
	f.expectSum(what, func(s sharing.SumStatus) bool { return s.Value == want && s.Error == 0 && s.Heard == 1 }, want, proxies)
}

// expectPart waits until the proxies have the sum of the members whose reports still arrive, and report that some are missing.
func (f *testFleet) expectPart(what string, want float64, proxies ...int) {
	f.t.Helper()
	f.expectSum(what, func(s sharing.SumStatus) bool { return s.Value == want && s.Heard < 1 }, want, proxies)
}

func (f *testFleet) expectSum(what string, isRight func(sharing.SumStatus) bool, want float64, proxies []int) {
	f.t.Helper()
	for until := time.Now().Add(settleLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(proxies, func(i int) bool { return !isRight(f.chatSum(i)) }) {
			return
		}
	}
	for _, i := range proxies {
		s, _ := f.memberStatus(i)
		f.t.Errorf("%s: proxy %d has %+v, want %v; status %+v", what, i, findChat(s.Sums), want, s)
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

// hold checks the sums of the proxies for a while, in which the true sum does not change: one that covers all members must
// not differ from it by more than its error, and no sum may exceed it by more than its error.
func (f *testFleet) hold(what string, trueSum float64, span time.Duration, proxies ...int) {
	f.t.Helper()
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, i := range proxies {
			s := f.chatSum(i)
			if s.Value < 0 || s.Error < 0 || s.Value > trueSum+s.Error || s.Heard == 1 && s.Value < trueSum-s.Error {
				f.t.Errorf("%s: proxy %d has %+v, the true sum is %v", what, i, s, trueSum)
				return
			}
		}
	}
}
