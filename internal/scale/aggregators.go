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
	// aggregatorsPerRegion is the number of aggregators that the members of a region send to.
	aggregatorsPerRegion = 2
	// aggregatorStartTimeout is how long an aggregator may take until it answers at its status address.
	aggregatorStartTimeout = 10 * time.Second
	aggregatorReorderDelay = 300 * time.Millisecond // largest delay of datagrams that are reordered between aggregators

	// Aggregators listen in one of the networks 127.192.0.0/16 to 127.251.0.0/16.
	firstLoopbackBlock = 192
	loopbackBlocks     = 60
)

// aggregator is one process of the command aggregate.
type aggregator struct {
	name    string
	region  int       // index
	listen  string    // UDP address
	status  string    // address of its status over HTTP
	file    string    // path of its configuration
	program string    // path of the chalkferry binary
	folder  string    // of its log
	cmd     *exec.Cmd // nil while it does not run
}

// aggregatorFleet holds all aggregators. If the plan has faults, datagrams from each to each other pass a relay that can
// drop, duplicate, delay and block them.
type aggregatorFleet struct {
	processes []*aggregator
	links     map[[2]int]*udplink.Link // relays, by the indexes of sender and receiver
}

// prepareAggregators assigns names and addresses, opens the relays and writes the configuration files. Nothing is started.
func prepareAggregators(p *Plan, program, folder string) (*aggregatorFleet, error) {
	a := &aggregatorFleet{links: map[[2]int]*udplink.Link{}}
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
		a.processes = append(a.processes, &aggregator{name: name, region: i / aggregatorsPerRegion, listen: listen, status: status,
			file: filepath.Join(folder, name+".toml"), program: program, folder: folder})
	}
	for i, aggregator := range a.processes {
		peers := make([]string, len(a.processes))
		for j, peer := range a.processes {
			peers[j] = peer.listen
			if i == j || len(p.Faults) == 0 {
				continue
			}
			link, err := udplink.Open("127.0.0.1:0", peer.listen, p.Seed+int64(i*len(a.processes)+j))
			if err != nil {
				a.close()
				return nil, err
			}
			a.links[[2]int{i, j}] = link
			peers[j] = link.Address()
		}
		if err := os.WriteFile(aggregator.file, a.configuration(i, peers), 0o600); err != nil {
			a.close()
			return nil, err
		}
	}
	return a, nil
}

// freeUDPAddress finds a free UDP port on a loopback address that differs from 127.0.0.1 and depends on the process ID, so
// that no outgoing socket of the run takes the port before the aggregator binds it.
func freeUDPAddress() (string, error) {
	block := firstLoopbackBlock + os.Getpid()%loopbackBlocks
	conn, err := net.ListenPacket("udp4", fmt.Sprintf("127.%d.0.1:0", block))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// configuration returns the TOML file of one aggregator; peers are the addresses at which it reaches the others.
func (a *aggregatorFleet) configuration(index int, peers []string) []byte {
	var b bytes.Buffer
	aggregator := a.processes[index]
	fmt.Fprintf(&b, "name = %q\nregion = %q\nlisten = %q\nstatus = %q\n", aggregator.name, regionName(aggregator.region), aggregator.listen, aggregator.status)
	for i, peer := range a.processes {
		if i != index {
			fmt.Fprintf(&b, "[[peers]]\nname = %q\nregion = %q\naddress = %q\n", peer.name, regionName(peer.region), peers[i])
		}
	}
	return b.Bytes()
}

// addressesIn returns the aggregators that a member of a region is configured with.
func (a *aggregatorFleet) addressesIn(region int) (addresses []sharing.AggregatorAddress) {
	for _, aggregator := range a.processes {
		if aggregator.region == region {
			addresses = append(addresses, sharing.AggregatorAddress{Name: aggregator.name, Address: netip.MustParseAddrPort(aggregator.listen)})
		}
	}
	return addresses
}

// memberFile returns the TOML file that a real proxy gets by serve --fleet.
func (a *aggregatorFleet) memberFile(name string, region, zone int, status string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "name = %q\nregion = %q\nzone = %q\nlisten = %q\nstatus = %q\n", name, regionName(region), zoneName(zone), loopback, status)
	for _, aggregator := range a.addressesIn(region) {
		fmt.Fprintf(&b, "[[aggregators]]\nname = %q\naddress = %q\n", aggregator.Name, aggregator.Address)
	}
	return b.Bytes()
}

// start starts the process with its output appended to a log file.
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

// kill sends SIGKILL, which also ends a stopped process, and waits for the exit.
func (a *aggregator) kill() {
	if a.cmd == nil {
		return
	}
	a.cmd.Process.Kill()
	a.cmd.Wait()
	a.cmd = nil
}

// start starts all aggregators and waits until each answers.
func (a *aggregatorFleet) start(ctx context.Context) error {
	for _, aggregator := range a.processes {
		if err := aggregator.start(); err != nil {
			return err
		}
	}
	for _, aggregator := range a.processes {
		if err := aggregator.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until the aggregator answers its status address. The error quotes the end of its log.
func (a *aggregator) waitReady(ctx context.Context) error {
	var err error
	for deadline := time.Now().Add(aggregatorStartTimeout); time.Now().Before(deadline); {
		if _, err = a.readStatus(ctx); err == nil {
			return nil
		}
		if err := sleep(ctx, statusPollInterval); err != nil {
			return err
		}
	}
	text, _ := os.ReadFile(filepath.Join(a.folder, a.name+".log")) // without a log the error alone is returned
	return fmt.Errorf("%s: %w; it wrote: %s", a.name, err, text[max(0, len(text)-maxQuoted):])
}

func (a *aggregatorFleet) close() {
	for _, aggregator := range a.processes {
		aggregator.kill()
	}
	for _, link := range a.links {
		link.Close()
	}
}

func (a *aggregator) readStatus(ctx context.Context) (status sharing.AggregatorProcessStatus, err error) {
	return status, readJSON(ctx, a.status, &status)
}

// readJSON fetches a status page and decodes it.
func readJSON(ctx context.Context, address string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", address, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(target)
}

// aggregatorUsage is the cumulative usage of one aggregator. known is false if it does not run or does not answer.
type aggregatorUsage struct {
	known   bool
	at      time.Time
	process processUsage
	status  sharing.AggregatorProcessStatus
}

// measure reads each aggregator's usage before or after a measured interval. Processor time and memory are read next to the
// interval and the status on the far side, because answering for its status costs the aggregator processor time.
func (a *aggregatorFleet) measure(ctx context.Context, isBefore bool) []aggregatorUsage {
	usages := make([]aggregatorUsage, len(a.processes))
	statuses := func() {
		for i, aggregator := range a.processes {
			status, err := aggregator.readStatus(ctx)
			usages[i].status, usages[i].known = status, err == nil
		}
	}
	if isBefore {
		statuses()
	}
	for i, aggregator := range a.processes {
		usages[i].at = time.Now()
		if aggregator.cmd == nil {
			continue
		}
		if process, err := procfs.NewProc(aggregator.cmd.Process.Pid); err == nil {
			usages[i].process, _ = usageOf(process) // zero for a process that has just ended
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

// AggregatorReport is the usage of one aggregator, which is a real process, over a measured interval.
type AggregatorReport struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	RoleUsage            // bytes are UDP payload
	Members       int    `json:"members"`        // members known at the end
	Fresh         int    `json:"fresh_members"`  // members whose state is recent
	Keys          int    `json:"keys"`           // number of sums that it holds
	QueueFull     uint64 `json:"queue_full"`     // datagrams that the process has dropped since its start
	SocketDropped uint64 `json:"socket_dropped"` // datagrams that the kernel has dropped since its start
}

// report returns the usage between two measurements, without aggregators that were restarted in between or did not answer.
func (a *aggregatorFleet) report(before, after []aggregatorUsage) (reports []AggregatorReport) {
	for i, aggregator := range a.processes {
		first, last := before[i], after[i]
		if !first.known || !last.known || first.status.Incarnation != last.status.Incarnation {
			continue // did not run throughout the interval
		}
		span := last.at.Sub(first.at).Seconds()
		from, to := first.status.Datagrams, last.status.Datagrams
		rate := func(first, last uint64) float64 { return float64(last-first) / span }
		reports = append(reports, AggregatorReport{Name: aggregator.name, Region: regionName(aggregator.region),
			RoleUsage: RoleUsage{CPUShare: (last.process.cpu - first.process.cpu) / span, MemoryMB: last.process.resident / (1 << 20),
				BytesIn: rate(from.ReceivedBytes, to.ReceivedBytes), BytesOut: rate(from.SentBytes, to.SentBytes),
				PacketsIn: rate(received(from), received(to)), PacketsOut: rate(from.Sent, to.Sent)},
			Members: last.status.Members.Known, Fresh: last.status.Members.Fresh, Keys: len(last.status.Sums),
			QueueFull: to.QueueFull, SocketDropped: to.SocketDropped})
	}
	return reports
}

// received returns how many datagrams a process has read, including those that it discarded.
func received(d sharing.Datagrams) uint64 {
	return d.Accepted + d.Duplicate + d.Obsolete + d.Refused + d.UnknownSender + d.NoRoom + d.TooLong + d.Malformed + d.OtherVersion + d.QueueFull
}

// setImpairment changes the relays. lost is the share of datagrams that are lost, and the share that are duplicated; above 0,
// datagrams are delayed at random as well. isCut reports whether datagrams from one region to another are blocked.
func (a *aggregatorFleet) setImpairment(lost float64, isCut func(from, to int) bool) {
	for pair, link := range a.links {
		from, to := a.processes[pair[0]], a.processes[pair[1]]
		late := time.Duration(0)
		if lost > 0 {
			late = aggregatorReorderDelay
		}
		link.SetFaults(lost, lost, late)
		link.SetDown(isCut(from.region, to.region))
	}
}

// signal sends a signal to the process.
func (a *aggregator) signal(signal syscall.Signal) error {
	if a.cmd == nil {
		return fmt.Errorf("%s does not run", a.name)
	}
	return a.cmd.Process.Signal(signal)
}
