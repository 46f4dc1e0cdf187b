package rehearse

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/front"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/list"
	"chalkferry/internal/standin/node"
)

const (
	// buildSeedMask is combined with the scenario's seed, so that the platform is drawn independently of the schedule.
	buildSeedMask = 0x5e2d58d8b3bcdee
	nodesPerCell  = 4
	// nodesPerSubnet is the number of nodes with addresses in the same /24.
	nodesPerSubnet = 250
	// firstBlock is the lowest second octet of the loopback addresses that runs use, and blocks the number of such octets.
	firstBlock, blocks = 64, 128
	// runsPerProcess is the distance between the first blocks of processes with consecutive ids.
	runsPerProcess = 16
)

// runsStarted counts the runs of this process.
var runsStarted atomic.Int64

// addressBlock returns the second octet of a run's loopback addresses. Each run has addresses of its own, so that no other
// run takes the port of a node or a proxy while it is down.
func addressBlock() int {
	return firstBlock + (os.Getpid()*runsPerProcess+int(runsStarted.Add(1)))%blocks
}

// build creates the simulated platform and starts the proxies.
func (r *rehearsal) build(o Options) error {
	s := r.scenario
	places := r.placeNodes()
	r.judge = judge.New(leeway, s.Platform.DrainGrace.D(), s.Platform.MustAsk.D(), s.Proxies.PassThrough, places)
	r.front = front.New(s.Seed, r.now, s.Proxies.DetectionDelay.D())
	r.clients = client.New(s.Seed, r.now, r.judge, r.front, s.clientBehavior(), s.Window.D(), s.LateBound.D())
	r.clients.ProxyGone = func(id judge.ProxyID) bool { return r.processes[id].isDown() }
	block := addressBlock()
	members, err := r.startNodes(block)
	if err != nil {
		return err
	}
	r.list = list.New(r.now, r.judge, s.Platform.ListLate.D(), members)
	for i := s.Platform.Nodes; i < len(members); i++ {
		r.judge.NodeChanged(r.now(), judge.NodeID(i), true)
	}
	if o.Direct {
		r.connectDirectly()
		return nil
	}
	for i := range s.Proxies.Count {
		if err := r.addProxy(i, fmt.Sprintf("127.%d.255.%d", block, i+1), o); err != nil {
			return fmt.Errorf("proxy %d: %w", i, err)
		}
	}
	return nil
}

// placeNodes assigns the nodes, including the spare ones, to zones and cells.
func (r *rehearsal) placeNodes() []judge.Place {
	p := &r.scenario.Platform
	places := make([]judge.Place, p.Nodes+p.Spare)
	for i := range places {
		zone := p.Zones[i%len(p.Zones)]
		places[i] = judge.Place{Zone: zone, Cell: fmt.Sprint(i / nodesPerCell)}
		r.zones = append(r.zones, zone)
	}
	return places
}

// startNodes creates all nodes and starts those that are not spare. It returns the entries of all nodes in the list.
func (r *rehearsal) startNodes(block int) ([]list.Member, error) {
	s := r.scenario
	rng := rand.New(rand.NewSource(s.Seed ^ buildSeedMask))
	protocol := node.Protocol{
		ReportsLoad:   s.Platform.ReportsLoad,
		ReportsDelay:  s.Platform.ReportsDelay,
		AnswersProbes: s.Platform.Probes,
		PassThrough:   s.Proxies.PassThrough,
	}
	members := make([]list.Member, len(r.zones))
	for i := range members {
		m := s.Platform.drawMachine(rng)
		address := fmt.Sprintf("127.%d.%d.%d:0", block, i/nodesPerSubnet, i%nodesPerSubnet+1)
		each := node.New(judge.NodeID(i), address, m, protocol, s.Seed+int64(i), r.now, r.judge, r.clients.Plan, r.delistFailed)
		r.nodes = append(r.nodes, each)
		members[i] = list.Member{ID: fmt.Sprintf("push-%d", i), Locality: r.zones[i], Flavor: "stand-in",
			Cell: i / nodesPerCell, Phase: list.Ready, Size: m.Cores}
		if i >= s.Platform.Nodes {
			members[i].Phase = list.Gone
			continue
		}
		if err := each.Start(true); err != nil {
			return nil, fmt.Errorf("node %d: %w", i, err)
		}
		members[i].HostPort = each.Address
	}
	return members, nil
}

// drawMachine draws the machine of one node.
func (p *Platform) drawMachine(rng *rand.Rand) node.Machine {
	speed := p.Speed[0] + rng.Float64()*(p.Speed[1]-p.Speed[0])
	return node.Machine{
		Cores:            p.Cores[rng.Intn(len(p.Cores))],
		Speed:            speed,
		HandshakeWork:    p.HandshakeWork.D().Seconds(),
		GroupCost:        p.GroupCost,
		MeanLoad:         p.meanLoad(),
		ColdFrom:         p.ColdFrom,
		ColdSpan:         p.ColdSpan.D(),
		OverloadMultiple: p.FallMultiple,
		OverloadWindow:   p.FallWindow.D(),
		MaxSessions:      p.MaxSessions,
	}
}

// delistFailed removes a node that has failed from the list.
func (r *rehearsal) delistFailed(each *node.Node) { r.list.Update(each.ID, list.Gone, "", time.Time{}) }

// connectDirectly makes clients connect to the nodes instead of proxies.
func (r *rehearsal) connectDirectly() {
	for i, each := range r.nodes[:r.scenario.Platform.Nodes] {
		r.front.Add(each.Address, r.zones[i])
	}
	r.clients.ProxyGone = func(judge.ProxyID) bool { return false }
}

// addProxy starts a proxy with a discovery endpoint of its own.
func (r *rehearsal) addProxy(i int, ip string, o Options) error {
	s := r.scenario
	address, err := freeAddress(ip)
	if err != nil {
		return err
	}
	name := proxyName(judge.ProxyID(i))
	p := &process{
		binary:   o.Proxy,
		address:  address,
		folder:   filepath.Join(r.folder, fmt.Sprintf("p%d", i)),
		cpu:      r.binding.processorOf(i),
		memoryMB: s.Proxies.MemoryMB,
		sockets:  s.Proxies.Sockets,
	}
	if o.Profiles != "" {
		p.profile = filepath.Join(o.Profiles, name+".prof")
	}
	if o.Arguments != nil {
		p.arguments = o.Arguments(i)
	}
	if err := os.Mkdir(p.folder, 0o700); err != nil {
		return err
	}
	p.id = r.front.Add(address, s.Platform.Zones[i%len(s.Platform.Zones)])
	if p.endpoint, err = r.list.OpenEndpoint(p.id, "127.0.0.1:0"); err != nil {
		return err
	}
	p.config = proxyConfig{
		Name:      name,
		Listen:    address,
		Discovery: p.endpoint.Address,
		Limits:    limitsConfig{Cores: 1, MemoryMB: s.Proxies.MemoryMB, Sockets: s.Proxies.Sockets},
		Known:     r.list.Snapshot(),
		Settings:  s.settings(i),
	}
	r.processes = append(r.processes, p)
	return p.start()
}
