package rehearse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/front"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/list"
	"chalkferry/internal/standin/node"
	"chalkferry/internal/trace"
)

// night is one run of a scenario.
type night struct {
	scenario  *Scenario
	start     atomic.Int64 // Unix time in nanoseconds
	judge     *judge.Judge
	nodes     []*node.Node
	zones     []string // of each node
	list      *list.List
	front     *front.Front
	clients   *client.Clients
	processes []*process
	bad       badClients
	folder    string
	samples   []Sample
	mu        sync.Mutex
	trouble   []string // of the rehearsal itself
	added     int
	openAtEnd int
	running   sync.WaitGroup // faults
}

// nights counts those of this process.
var nights atomic.Int64

// leeway is what the rules' limits are longer by.
const leeway = 50 * time.Millisecond

const (
	tick       = 100 * time.Millisecond
	sampleSpan = 250 * time.Millisecond
	mostStart  = 20 * time.Second
)

// Options say how a run is done.
type Options struct {
	Proxy    string    // the program that serves
	Progress io.Writer // a line that is written over, nil for none
	Logs     string    // a folder that keeps the proxies' logs, "" for none
	Profiles string    // a folder for profiles of the proxies' CPU, "" for none
	Direct   bool      // clients connect to the nodes, with no proxy between

	Arguments func(proxy int) []string // further ones of each proxy's command, nil for none
}

// Run runs a scenario to its end, or to the context's, and reports what was seen. An error tells that nothing could be
// rehearsed; broken rules and lateness are in the report.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	sessions, err := s.Schedule()
	if err != nil {
		return nil, err
	}
	if len(sessions) == 0 {
		return nil, fmt.Errorf("%s: not one session arrives", s.Name)
	}
	n := &night{scenario: s}
	if n.folder, err = os.MkdirTemp("", "chalkferry-rehearsal-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(n.folder)
	n.start.Store(time.Now().Add(mostStart * 2).UnixNano())
	defer n.close()
	if err := n.build(o); err != nil {
		return nil, err
	}
	if s.Proxies.Pin {
		var taken []int
		for _, p := range n.processes {
			taken = append(taken, p.cpu)
		}
		release, err := keepOff(taken)
		if err != nil {
			return nil, err
		}
		defer release()
	}
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.front.Run(stop)
	if err := n.ready(stop); err != nil {
		return nil, err
	}
	n.start.Store(time.Now().Add(2 * tick).UnixNano())
	n.play(ctx, sessions, o.Progress)
	for _, p := range n.processes {
		p.sample()
	}
	r := n.report(len(sessions), ctx.Err() != nil)
	if o.Profiles != "" { // they are written as a proxy ends in good order
		n.endInOrder()
	}
	if o.Logs != "" {
		r.Trouble = append(r.Trouble, n.keepLogs(o.Logs)...)
	}
	return r, nil
}

func (n *night) now() time.Duration { return time.Duration(time.Now().UnixNano() - n.start.Load()) }

// build makes the stand-ins and starts the proxies.
func (n *night) build(o Options) error {
	s := n.scenario
	rng := rand.New(rand.NewSource(s.Seed ^ 0x5e2d58d8b3bcdee))
	total := s.Platform.Nodes + s.Platform.Spare
	places := make([]judge.Place, total)
	for i := range places {
		zone := s.Platform.Zones[i%len(s.Platform.Zones)]
		places[i] = judge.Place{Zone: zone, Cell: fmt.Sprint(i / 4)}
		n.zones = append(n.zones, zone)
	}
	n.judge = judge.New(leeway, s.Platform.DrainGrace.D(), s.Platform.MustAsk.D(), s.Proxies.Passes, places)
	n.front = front.New(s.Seed, n.now, s.Proxies.Notice.D())
	n.clients = client.New(s.Seed, n.now, n.judge, n.front, s.manners(), s.Window.D(), s.LateBound.D())
	n.clients.ProxyGone = func(id judge.ProxyID) bool { return n.processes[id].gone() }
	members := make([]list.Member, total)
	// Addresses of its own, so that a node or a proxy that starts again finds its port free.
	block := 64 + (os.Getpid()*16+int(nights.Add(1)))%128
	usual := 1 / s.Platform.SessionsPerCore
	for i := range total {
		speed := s.Platform.Speed[0] + rng.Float64()*(s.Platform.Speed[1]-s.Platform.Speed[0])
		m := node.Machine{Cores: s.Platform.Cores[rng.Intn(len(s.Platform.Cores))], Speed: speed,
			Handshake: s.Platform.HandshakeWork.D().Seconds(), GroupCost: s.Platform.GroupCost, Mean: usual,
			ColdFrom: s.Platform.ColdFrom, ColdSpan: s.Platform.ColdSpan.D(), Multiple: s.Platform.FallMultiple,
			Window: s.Platform.FallWindow.D(), Most: s.Platform.MostSessions}
		address := fmt.Sprintf("127.%d.%d.%d:0", block, i/250, i%250+1)
		each := node.New(judge.NodeID(i), address, m, node.Talk{Loads: s.Platform.TellsLoad, Delays: s.Platform.TellsDelay,
			Probes: s.Platform.Probes, Passes: s.Proxies.Passes}, s.Seed+int64(i), n.now, n.judge, n.clients.Plan, n.fell)
		n.nodes = append(n.nodes, each)
		members[i] = list.Member{ID: fmt.Sprintf("push-%d", i), Locality: n.zones[i], Flavor: "stand-in", Cell: i / 4,
			Phase: "ready", Size: m.Cores}
		if i >= s.Platform.Nodes {
			members[i].Phase = "gone"
			continue
		}
		if err := each.Start(true); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
		members[i].HostPort = each.Address
	}
	n.list = list.New(n.now, n.judge, s.Platform.ListLate.D(), members)
	for i := s.Platform.Nodes; i < total; i++ {
		n.judge.Changed(n.now(), judge.NodeID(i), true)
	}
	if o.Direct {
		for i, each := range n.nodes[:s.Platform.Nodes] {
			n.front.Add(each.Address, n.zones[i])
		}
		n.clients.ProxyGone = func(judge.ProxyID) bool { return false }
		return nil
	}
	for i := range s.Proxies.Count {
		if err := n.addProxy(i, fmt.Sprintf("127.%d.255.%d", block, i+1), o); err != nil {
			return fmt.Errorf("proxy %d: %w", i, err)
		}
	}
	return nil
}

func (n *night) addProxy(i int, ip string, o Options) error {
	s := n.scenario
	address, err := freeAddress(ip)
	if err != nil {
		return err
	}
	p := &process{binary: o.Proxy, address: address, folder: filepath.Join(n.folder, fmt.Sprintf("p%d", i)), cpu: -1,
		memory: s.Proxies.MemoryMB, sockets: s.Proxies.Sockets}
	if o.Profiles != "" {
		p.profile = filepath.Join(o.Profiles, fmt.Sprintf("n%d.prof", i))
	}
	if o.Arguments != nil {
		p.arguments = o.Arguments(i)
	}
	if s.Proxies.Pin {
		p.cpu = runtime.NumCPU() - 1 - i%runtime.NumCPU()
	}
	if err := os.Mkdir(p.folder, 0o700); err != nil {
		return err
	}
	p.id = n.front.Add(address, s.Platform.Zones[i%len(s.Platform.Zones)])
	if p.door, err = n.list.Open(p.id, "127.0.0.1:0"); err != nil {
		return err
	}
	p.config = map[string]any{"name": fmt.Sprintf("n%d", i), "listen": address, "discovery": p.door.Address,
		"limits":   map[string]any{"cores": 1, "memory_mb": s.Proxies.MemoryMB, "sockets": s.Proxies.Sockets},
		"known":    n.list.Known(),
		"settings": s.settings(i)}
	n.processes = append(n.processes, p)
	return p.start()
}

// settings are what a proxy is told of the platform.
func (s *Scenario) settings(me int) map[string]any {
	ms := func(d interface{ D() time.Duration }) float64 { return float64(d.D()) / float64(time.Millisecond) }
	effects := map[string]string{"repeatable": "read_like", "referenced": "idempotency_key", "once-only": "non_idempotent"}
	var listeners, tenants []map[string]any
	var targets []float64
	for _, l := range s.Listeners {
		listeners = append(listeners, map[string]any{"name": l.Name, "dialTimeout": ms(l.DialTimeout),
			"handshakeTarget": ms(l.HandshakeTarget), "repeatWindow": ms(l.RepeatWindow), "effect": effects[l.Effect],
			"group": l.Group, "utility": l.Utility})
		targets = append(targets, ms(l.MessageTarget))
	}
	for _, title := range s.Clients.Titles {
		tenants = append(tenants, map[string]any{"name": title})
	}
	mode := "proxy"
	if s.Proxies.Passes {
		mode = "pass"
	}
	p := &s.Platform
	return map[string]any{"areas": p.Zones, "discovery": "ask", "groupSize": s.Proxies.Count, "me": me,
		"ceilings": map[string]any{"connectTimeout": 150, "connIdle": 10000, "mostDials": s.Proxies.Dials, "probes": p.Probes},
		"domain": map[string]any{"mode": mode, "groups": s.Clients.Groups > 0, "messageAim": targets,
			"tellsLoad": p.TellsLoad, "tellsDelay": p.TellsDelay},
		"invariants": map[string]any{"mustAskIn": ms(p.MustAsk), "cold": ms(p.ColdSpan), "coldFrom": p.ColdFrom,
			"fallMultiple": p.FallMultiple, "tipAfter": ms(p.FallWindow)},
		"listeners": listeners, "tenants": tenants}
}

// ready waits until the front has taken all proxies in.
func (n *night) ready(ctx context.Context) error {
	for limit := time.Now().Add(mostStart); ; {
		for i, p := range n.processes {
			if p.gone() {
				return fmt.Errorf("proxy %d does not serve: %s", i, n.lastWords(p))
			}
		}
		all := n.front.Len()
		if n.front.Ready() == all {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d proxies are ready after %v", n.front.Ready(), all, mostStart)
		}
		select {
		case <-time.After(tick):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lastWords is the end of a proxy's log.
func (n *night) lastWords(p *process) string {
	text, err := os.ReadFile(filepath.Join(p.folder, "log"))
	if err != nil {
		return err.Error()
	}
	const most = 300
	return string(text[max(0, len(text)-most):])
}

// play runs the night itself.
func (n *night) play(ctx context.Context, sessions []trace.Session, progress io.Writer) {
	s := n.scenario
	whole, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	n.timeline(whole)
	var watch sync.WaitGroup
	watching, stopWatching := context.WithCancel(context.Background())
	watch.Go(func() { n.watch(watching, len(sessions), progress) })

	times := make([]time.Duration, len(sessions))
	for i, each := range sessions {
		times[i] = each.Arrives()
	}
	var out sync.WaitGroup
	usual := 1 / s.Platform.SessionsPerCore
	out.Add(len(times))
	called := load.Run(whole, n.now, times, func(i int) {
		defer out.Done()
		w := sessions[i]
		l := s.Listeners[s.listener(w.Listener)]
		timeout := l.DialTimeout.D()
		if w.Wait > 0 {
			timeout = time.Duration(w.Wait * float64(time.Millisecond))
		}
		n.clients.Run(whole, client.Want{At: times[i], Listener: w.Listener, Title: w.Title, Zone: w.Zone, Key: w.Key,
			Group: w.Group, Life: time.Duration(w.Life * float64(time.Millisecond)), Returned: w.Returned,
			Kind: judge.Kind{Timeout: timeout, Effect: judge.Effect(l.Effect), Window: l.RepeatWindow.D(), Group: l.Group},
			Load: node.Load{Cores: w.Load * usual, Group: w.Group}, Changes: s.Clients.LoadChanges.D()})
	})
	out.Add(called - len(times))
	select {
	case <-time.After(max(s.Length.D()+s.Settle.D()-n.now(), 0)):
	case <-ctx.Done():
	}
	n.openAtEnd = n.clients.Open()
	cancelAll()
	out.Wait()
	n.running.Wait()
	time.Sleep(2 * leeway)
	n.judge.Check(n.now() + time.Hour) // what is still pending has had its time, or is over
	stopWatching()
	watch.Wait()
}

// watch looks after nodes, rules and processes while the night lasts.
func (n *night) watch(ctx context.Context, sessions int, progress io.Writer) {
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	sampled := n.now()
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		for _, each := range n.nodes {
			each.Tick()
		}
		n.judge.Check(n.now())
		if n.now()-sampled < sampleSpan {
			continue
		}
		sampled = n.now()
		for i, p := range n.processes {
			p.sample()
			if p.crashedNow() {
				n.judge.ProxyDies(judge.ProxyID(i))
			}
		}
		sample := n.sampleNow()
		n.mu.Lock()
		n.samples = append(n.samples, sample)
		n.mu.Unlock()
		if progress != nil {
			c := n.clients.Counts()
			_, broken := n.judge.Breaches()
			rules := 0
			for _, times := range broken {
				rules += times
			}
			fmt.Fprintf(progress, "\r%s  %4.1f of %.1f s  sessions %d of %d  open %d  refused %d  rules broken %d \x1b[K", n.scenario.Name,
				n.now().Seconds(), (n.scenario.Length + n.scenario.Settle).D().Seconds(), c.Sessions, sessions, sample.Open, c.Refused, rules)
		}
	}
}

func (p *process) crashedNow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == crashed
}

func (n *night) sampleNow() Sample {
	s := Sample{AtMs: float64(n.now().Milliseconds()), Open: n.clients.Open()}
	for _, each := range n.nodes {
		f := each.Figures()
		s.Held = append(s.Held, f.Held)
		if f.Capacity > 0 {
			s.MostLoad = max(s.MostLoad, f.Asked/f.Capacity)
		}
	}
	for _, p := range n.processes {
		p.mu.Lock()
		s.FDs = append(s.FDs, p.fds)
		s.RSSMB = append(s.RSSMB, float64(p.rss)/(1<<20))
		p.mu.Unlock()
	}
	return s
}

// fell takes a node that was pushed over off the list.
func (n *night) fell(each *node.Node) { n.list.Change(each.ID, "gone", "", time.Time{}) }

// close ends all that a night has started.
func (n *night) close() {
	for i, p := range n.processes {
		n.judge.ProxyDies(judge.ProxyID(i))
		p.kill()
	}
	if n.list != nil {
		n.list.Close()
	}
	for _, each := range n.nodes {
		each.Close()
	}
}

func (n *night) say(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.trouble = append(n.trouble, fmt.Sprintf(format, args...))
}

// endInOrder has all proxies leave, and waits for them.
func (n *night) endInOrder() {
	ctx, cancel := context.WithTimeout(context.Background(), mostStart)
	defer cancel()
	for _, p := range n.processes {
		p.signal(syscall.SIGTERM, true)
	}
	for _, p := range n.processes {
		p.ended(ctx)
	}
}

// keepLogs copies the proxies' logs to a folder.
func (n *night) keepLogs(to string) (trouble []string) {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return []string{err.Error()}
	}
	for i, p := range n.processes {
		text, err := os.ReadFile(filepath.Join(p.folder, "log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, fmt.Sprintf("n%d.log", i)), text, 0o644)
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			trouble = append(trouble, err.Error())
		}
	}
	return trouble
}
