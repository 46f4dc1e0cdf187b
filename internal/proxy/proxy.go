// Package proxy runs the module on sockets: one event loop with everything that decides, and what must not
// block it beside it.
package proxy

import (
	"fmt"
	"math/rand"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
	"chalkferry/internal/clients"
	"chalkferry/internal/discovery"
	"chalkferry/internal/eventloop"
	"chalkferry/internal/exchange"
	"chalkferry/internal/failure"
	"chalkferry/internal/peers"
	"chalkferry/internal/servers"
	"chalkferry/internal/sharing"
	"chalkferry/internal/socket"
	"chalkferry/internal/start"
	"chalkferry/internal/timers"
)

const (
	memoryShare    = 0.75    // of the limit, for what the runtime counts
	keptSockets    = 32      // for discovery, the loop and what the runtime opens
	maxUnsentBytes = 1 << 18 // bytes for one slow reader
	noteSpan       = time.Second
	sweeps         = 10 // in a note's span
)

// startPatience is how long calls of the start that fail for a moment are made again.
const startPatience = 10 * time.Second

// stopPatience is how long the event loop may take to end.
const stopPatience = time.Second

// Proxy is one proxy.
type Proxy struct {
	log             zerolog.Logger
	failures        *failure.Log
	start           time.Time
	loop            *eventloop.Loop
	depth           int
	waiting         []func()
	timers          *timers.Timers
	alarm           *time.Timer
	connectionLimit *socket.ConnectionLimit
	balancer        *choice.Balancer
	ready           chan struct{} // closed once the loop runs
	begin           func()        // startBalancer with what the configuration says
	table           *exchange.Table
	clients         *clients.Clients
	connector       *servers.Connector
	watcher         *discovery.Watcher
	directory       *directory
	revision        uint64
	failed          int // watches in a row
	peers           *peers.Conn
	share           func([]sharing.SessionCount) // nil where nothing is shared
	phase           phase
	lastEvent       time.Duration   // when the event at hand began
	standstill      standstill      // the last one
	came            bool            // a client has connected since the last look at what is left
	endsBy          time.Duration   // once nothing new is taken: how long last lines have
	reloading       chan struct{}   // holds the one configuration that is being taken over
	left            chan struct{}   // closed when the process is to end with its connections as they are
	at              start.Addresses // by the configuration as read last
	limits          start.Limits    // the same
	terms           *terms          // the same
	text            []byte          // that configuration
	settings        []byte          // and its settings
}

// New makes a proxy from the text of its configuration.
func New(text []byte, log zerolog.Logger) (*Proxy, error) {
	c, err := readStartConfig(text)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		log:       log,
		failures:  failure.NewLog(log),
		start:     time.Now(),
		at:        c.addresses,
		limits:    c.limits,
		terms:     c.terms,
		text:      text,
		settings:  c.settings,
		revision:  c.known.Revision,
		ready:     make(chan struct{}),
		left:      make(chan struct{}),
		reloading: make(chan struct{}, 1),
	}
	p.connectParts()
	p.begin = func() { p.startBalancer(c.seed, c.known) }
	return p, nil
}

// startConfig is a configuration as it is read at the start.
type startConfig struct {
	addresses start.Addresses
	limits    start.Limits
	settings  []byte
	terms     *terms
	seed      int64
	known     discovery.List // the servers as held last
}

func readStartConfig(text []byte) (*startConfig, error) {
	c := &startConfig{}
	knownText, settings, err := start.File(text, &c.addresses, &c.limits, &c.seed)
	if err != nil {
		return nil, err
	}
	c.settings = settings
	if c.terms, err = read(settings); err != nil {
		return nil, err
	}
	if c.known, err = parseKnown(knownText); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return c, nil
}

// parseKnown reads the list of servers as held last, which stands for a complete one; without any it is empty.
func parseKnown(text []byte) (discovery.List, error) {
	var known discovery.List
	if len(text) > 0 {
		var err error
		if known, err = discovery.Parse(text); err != nil {
			return known, err
		}
	}
	known.Complete = true
	return known, nil
}

// connectParts makes all that runs on the event loop, but for the balancer, whose clock starts with the loop.
func (p *Proxy) connectParts() {
	t := p.terms
	p.timers = timers.New(p.now, p.wake)
	p.connectionLimit = socket.NewConnectionLimit(p.limits.Sockets - keptSockets)
	p.directory = newDirectory(t.zones, startClock{began: p.start, now: p.now, wall: time.Now}, t.list.OnlyDrainsExclude, t.models)
	p.connector = servers.NewConnector(p.execute, p.connectionLimit, p.take, t.connect, p.failures)
	dialer := servers.New(p.connector, p.directory, p.timers, p.connectionLimit, p.now, p.whenListIsKnown, p.log)
	after := func(d time.Duration, call func()) { p.timers.After(d, call) }
	delays := exchange.NewDelays(t.mark, noteSpan, t.tellsLoad, t.tellsDelay)
	p.table = exchange.NewTable(dialer, p.now, p.later, after, t.connect, t.still, delays)
	p.clients = clients.New(p.table, p.timers, p.connectionLimit, p.now, t.hello, p.directory.holder, t.listenerIDs,
		t.tenantIDs, t.groups, p.log)
	p.watcher = discovery.New(p.at.Discovery, t.ask, t.answer, p.execute, p.listed, p.watchFailed)
}

// prepare opens what the event loop does not.
func (p *Proxy) prepare() (err error) {
	p.limitMemory(p.limits)
	err = failure.RetryFor(startPatience, failure.Listen, p.failures, func() (err error) {
		p.peers, err = p.listenPeers(p.at, p.terms)
		return err
	})
	if err != nil {
		return err
	}
	return failure.RetryFor(startPatience, failure.Listen, p.failures, func() (err error) {
		p.loop, err = eventloop.Open(p.at.Listen, p, p.failures)
		return err
	})
}

// startBalancer makes the balancer and begins what is done again and again, once the event loop runs.
func (p *Proxy) startBalancer(seed int64, known discovery.List) {
	t := p.terms
	p.balancer = choice.New(front{p.table, p}, rand.New(rand.NewSource(seed)), t.listeners, t.dials, t.budget,
		t.list, t.cold, t.words)
	p.table.Serve(p.balancer)
	if t.pushed {
		p.clients.DelayPings()
		p.timers.After(discovery.StalenessLimit/2, p.clients.AnswerPings) // a discovery that says nothing must not keep it out
	}
	p.balancer.ApplyList(p.now(), choice.ListCached, p.directory.entriesOf(known))
	p.sweep()
	if p.share != nil {
		p.shareHeld()
	}
}

// By the protocol page.
const (
	lineSpan          = 2 * time.Second        // clients of open sessions send a line so often
	maxDialTimeout    = 3 * time.Second        // a kill follows no sooner after SIGTERM than that or the longest dial timeout,
	killMargin        = 700 * time.Millisecond // and this
	arrivalsAfterTerm = 400 * time.Millisecond // after SIGTERM, new connections
)

const (
	maxSilence   = lineSpan / 2       // a session that brings nothing back must be ended or moved in seven seconds
	maxHelloWait = maxDialTimeout / 2 // a client that asks for nothing
)

func (p *Proxy) limitMemory(limits start.Limits) {
	debug.SetMemoryLimit(int64(memoryShare * float64(limits.MemoryMB) * (1 << 20)))
	// One more than the cores: while the loop waits in the kernel, connects and discovery go on.
	runtime.GOMAXPROCS(max(int(limits.Cores), 1) + 1)
}

// Run serves until the process is told to leave and has nothing left to do.
func (p *Proxy) Run() error {
	if err := p.prepare(); err != nil {
		return err
	}
	p.connector.Loop = p.loop
	p.loop.Execute(p.serve)
	served := make(chan error, 1)
	go func() { served <- p.loop.Run() }()
	select {
	case err := <-served:
		return err
	case <-p.left:
		return nil
	}
}

// serve begins to serve, on the event loop.
func (p *Proxy) serve() {
	p.enter()
	defer p.leave()
	p.begin()
	close(p.ready)
	p.log.Info().Str("listen", p.at.Listen).Int("sockets", p.connectionLimit.Free()).Msg("serving")
}

// stopLoop ends the event loop and what is open there.
func (p *Proxy) stopLoop() {
	p.loop.Stop()
	select {
	case <-p.loop.Done():
	case <-time.After(stopPatience):
		p.log.Warn().Msg("the event loop has not stopped in time")
	}
}

func (p *Proxy) now() time.Duration { return time.Since(p.start) }

// linger is how long a connection with a last line waits for its peer's end.
func (p *Proxy) linger() time.Duration { return p.terms.patience / 2 }

// The event loop.

func (p *Proxy) enter() {
	if p.depth == 0 {
		p.noteEvent()
	}
	p.depth++
}

// leave calls what had to wait for the end of the event.
func (p *Proxy) leave() {
	for p.depth == 1 && len(p.waiting) > 0 {
		call := p.waiting[0]
		p.waiting = p.waiting[1:]
		call()
	}
	p.depth--
}

// later calls back at the end of the event at hand.
func (p *Proxy) later(call func()) { p.waiting = append(p.waiting, call) }

// execute calls back on the loop, from anywhere.
func (p *Proxy) execute(call func()) {
	p.loop.Execute(func() {
		p.enter()
		defer p.leave()
		call()
	})
}

// wake asks for a run of the timers.
func (p *Proxy) wake(after time.Duration) {
	if p.alarm == nil {
		p.alarm = time.AfterFunc(after, func() { p.execute(p.timers.Run) })
		return
	}
	p.alarm.Reset(after)
}

// sweep looks after sessions that wait for messages.
func (p *Proxy) sweep() {
	p.table.Sweep(sweepEvery)
	p.timers.After(sweepEvery, p.sweep)
}

// front is what the module asks of the proxy.
type front struct {
	*exchange.Table
	p *Proxy
}

func (f front) PublishOverload(at choice.ServerID, delay time.Duration) {
	if f.p.peers != nil {
		f.p.peers.Send(benchwire.AppendWord(nil, at, delay))
	}
}

func (f front) StartTimer(after time.Duration, token choice.TimerToken) {
	f.p.timers.After(after, func() { f.p.balancer.HandleTimer(f.p.now(), token) })
}

func (f front) SubscribeList() { f.p.watcher.Watch(f.p.revision) }

func (f front) Log(text string) { f.p.log.Info().Str("from", "choice").Msg(f.p.directory.named(text)) }
