package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"chalkferry/internal/sharing"
	"chalkferry/internal/standin/udplink"
)

const (
	aggregatorsPerRegion = 2
	aggregatorStart      = 10 * time.Second
	overtakenBy          = 300 * time.Millisecond // datagrams between aggregators, where they are reordered
)

// aggregator is a process of the command aggregate.
type aggregator struct {
	name    string
	region  int
	listen  string
	status  string
	file    string
	program string
	folder  string
	cmd     *exec.Cmd
}

// fleetOfAggregators are all of them, with a relay from each to each other where faults need one.
type fleetOfAggregators struct {
	each  []*aggregator
	links map[[2]int]*udplink.Link // from, to
}

// prepareAggregators names the aggregators and writes their files.
func prepareAggregators(p *Plan, program, folder string) (*fleetOfAggregators, error) {
	a := &fleetOfAggregators{links: map[[2]int]*udplink.Link{}}
	for i := range p.Regions * aggregatorsPerRegion {
		listen, err := freeUDPAddress()
		if err != nil {
			return nil, err
		}
		status, err := freeAddress()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("aggregator-%d", i)
		a.each = append(a.each, &aggregator{name: name, region: i / aggregatorsPerRegion, listen: listen, status: status,
			file: filepath.Join(folder, name+".toml"), program: program, folder: folder})
	}
	for i, each := range a.each {
		peers := make([]string, len(a.each))
		for j, peer := range a.each {
			peers[j] = peer.listen
			if i == j || len(p.Faults) == 0 {
				continue
			}
			link, err := udplink.Open("127.0.0.1:0", peer.listen, p.Seed+int64(i*len(a.each)+j))
			if err != nil {
				a.close()
				return nil, err
			}
			a.links[[2]int{i, j}] = link
			peers[j] = link.Address()
		}
		if err := os.WriteFile(each.file, a.configuration(i, peers), 0o600); err != nil {
			a.close()
			return nil, err
		}
	}
	return a, nil
}

// freeUDPAddress finds a port that nothing receives at, of an address that nothing else connects out from.
func freeUDPAddress() (string, error) {
	block := 192 + os.Getpid()%60
	conn, err := net.ListenPacket("udp4", fmt.Sprintf("127.%d.0.1:0", block))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

func (a *fleetOfAggregators) configuration(of int, peers []string) []byte {
	var b bytes.Buffer
	each := a.each[of]
	fmt.Fprintf(&b, "name = %q\nregion = %q\nlisten = %q\nstatus = %q\n", each.name, regionName(each.region), each.listen, each.status)
	for i, peer := range a.each {
		if i != of {
			fmt.Fprintf(&b, "[[peers]]\nname = %q\nregion = %q\naddress = %q\n", peer.name, regionName(peer.region), peers[i])
		}
	}
	return b.Bytes()
}

// of returns what a member of a region is configured with.
func (a *fleetOfAggregators) of(region int) (addresses []sharing.AggregatorAddress) {
	for _, each := range a.each {
		if each.region == region {
			addresses = append(addresses, sharing.AggregatorAddress{Name: each.name, Address: netip.MustParseAddrPort(each.listen)})
		}
	}
	return addresses
}

// memberFile is the file of serve --fleet of a real proxy.
func (a *fleetOfAggregators) memberFile(name string, region, zone int, status string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "name = %q\nregion = %q\nzone = %q\nlisten = %q\nstatus = %q\n", name, regionName(region), zoneName(zone), loopback, status)
	for _, each := range a.of(region) {
		fmt.Fprintf(&b, "[[aggregators]]\nname = %q\naddress = %q\n", each.Name, each.Address)
	}
	return b.Bytes()
}

func (a *aggregator) start() error {
	log, err := os.OpenFile(filepath.Join(a.folder, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	a.cmd = exec.Command(a.program, "aggregate", a.file)
	a.cmd.Stdout, a.cmd.Stderr = log, log
	a.cmd.Env = append(os.Environ(), "TMPDIR="+a.folder)
	isolate(a.cmd)
	if err := a.cmd.Start(); err != nil {
		a.cmd = nil
		return fmt.Errorf("%s: %w", a.name, err)
	}
	return nil
}

// kill ends it at once, frozen or not.
func (a *aggregator) kill() {
	if a.cmd == nil {
		return
	}
	a.cmd.Process.Kill()
	a.cmd.Wait()
	a.cmd = nil
}

func (a *fleetOfAggregators) start(ctx context.Context) error {
	for _, each := range a.each {
		if err := each.start(); err != nil {
			return err
		}
	}
	for _, each := range a.each {
		if err := each.ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until it answers.
func (a *aggregator) ready(ctx context.Context) error {
	var err error
	for limit := time.Now().Add(aggregatorStart); time.Now().Before(limit); {
		if _, err = a.readStatus(ctx); err == nil {
			return nil
		}
		if err := sleep(ctx, statusPeriod); err != nil {
			return err
		}
	}
	text, _ := os.ReadFile(filepath.Join(a.folder, a.name+".log")) // none: the error says enough
	return fmt.Errorf("%s: %w; it wrote: %s", a.name, err, text[max(0, len(text)-maxQuoted):])
}

func (a *fleetOfAggregators) close() {
	for _, each := range a.each {
		each.kill()
	}
	for _, link := range a.links {
		link.Close()
	}
}

func (a *aggregator) readStatus(ctx context.Context) (status sharing.AggregatorProcessStatus, err error) {
	return status, readJSON(ctx, a.status, &status)
}

func readJSON(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", address, answer.Status)
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

// aggregatorUsage is what one has used until now; it is not known of one that does not run.
type aggregatorUsage struct {
	known   bool
	at      time.Time
	process processUsage
	status  sharing.AggregatorProcessStatus
}

// usage reads processor time and memory next to the window that is measured, and the status, which costs the process
// something, on its other side.
func (a *fleetOfAggregators) usage(ctx context.Context, isBefore bool) []aggregatorUsage {
	usages := make([]aggregatorUsage, len(a.each))
	statuses := func() {
		for i, each := range a.each {
			status, err := each.readStatus(ctx)
			usages[i].status, usages[i].known = status, err == nil
		}
	}
	if isBefore {
		statuses()
	}
	for i, each := range a.each {
		usages[i].at = time.Now()
		if each.cmd == nil {
			continue
		}
		if process, err := procfs.NewProc(each.cmd.Process.Pid); err == nil {
			usages[i].process, _ = usageOf(process) // of one that has just ended: nothing
		}
	}
	if !isBefore {
		statuses()
	}
	for i := range usages {
		usages[i].known = usages[i].known && usages[i].process.resident > 0
	}
	return usages
}

// AggregatorReport is what one aggregator, a real process, has used and seen.
type AggregatorReport struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	RoleUsage            // bytes are UDP payload
	Members       int    `json:"members"`
	Fresh         int    `json:"fresh_members"`
	Keys          int    `json:"keys"`
	QueueFull     uint64 `json:"queue_full"`     // datagrams dropped by the process, since its start
	SocketDropped uint64 `json:"socket_dropped"` // and by the kernel
}

func (a *fleetOfAggregators) report(before, after []aggregatorUsage) (reports []AggregatorReport) {
	for i, each := range a.each {
		was, is := before[i], after[i]
		if !was.known || !is.known || was.status.Incarnation != is.status.Incarnation {
			continue // killed meanwhile
		}
		span := is.at.Sub(was.at).Seconds()
		from, to := was.status.Datagrams, is.status.Datagrams
		rate := func(was, is uint64) float64 { return float64(is-was) / span }
		reports = append(reports, AggregatorReport{Name: each.name, Region: regionName(each.region),
			RoleUsage: RoleUsage{CPUShare: (is.process.cpu - was.process.cpu) / span, MemoryMB: is.process.resident / (1 << 20),
				BytesIn: rate(from.ReceivedBytes, to.ReceivedBytes), BytesOut: rate(from.SentBytes, to.SentBytes),
				PacketsIn: rate(received(from), received(to)), PacketsOut: rate(from.Sent, to.Sent)},
			Members: is.status.Members.Known, Fresh: is.status.Members.Fresh, Keys: len(is.status.Sums),
			QueueFull: to.QueueFull, SocketDropped: to.SocketDropped})
	}
	return reports
}

// received is how many datagrams a process has read, whatever became of them.
func received(d sharing.Datagrams) uint64 {
	return d.Accepted + d.Duplicate + d.Obsolete + d.Refused + d.UnknownSender + d.NoRoom + d.TooLong + d.Malformed + d.OtherVersion + d.QueueFull
}

// impair changes the links between aggregators of different regions or, for a lossy network, of all.
func (a *fleetOfAggregators) impair(lost float64, isCut func(from, to int) bool) {
	for at, link := range a.links {
		from, to := a.each[at[0]], a.each[at[1]]
		late := time.Duration(0)
		if lost > 0 {
			late = overtakenBy
		}
		link.SetFaults(lost, lost, late)
		link.SetDown(isCut(from.region, to.region))
	}
}

func (a *aggregator) signal(signal syscall.Signal) error {
	if a.cmd == nil {
		return fmt.Errorf("%s does not run", a.name)
	}
	return a.cmd.Process.Signal(signal)
}
