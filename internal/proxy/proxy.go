// Package proxy runs the module on sockets: one event loop with everything that decides, and what must not
// block it beside it.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
	"chalkferry/internal/clients"
	"chalkferry/internal/discovery"
	"chalkferry/internal/exchange"
	"chalkferry/internal/peers"
	"chalkferry/internal/servers"
	"chalkferry/internal/sharing"
	"chalkferry/internal/socket"
	"chalkferry/internal/start"
	"chalkferry/internal/timers"
)

const (
	memoryShare = 0.75    // of the limit, for what the runtime counts
	keptSockets = 32      // for discovery, the loop and what the runtime opens
	mostWaiting = 1 << 18 // bytes for one slow reader
	noteSpan    = time.Second
	sweeps      = 10 // in a note's span
)

// The proxy connects to its own listener at its start. A listener that can't be reached so often is none.
const (
	ownConnectAttempts = 40
	ownConnectPause    = 50 * time.Millisecond // after one that failed
	ownConnectWait     = time.Second           // for the loop to run, after one that succeeded
)

// Proxy is one proxy.
type Proxy struct {
	gnet.BuiltinEventEngine
	log       zerolog.Logger
	start     time.Time
	engine    gnet.Engine
	loop      gnet.EventLoop
	depth     int
	waiting   []func()
	timers    *timers.Timers
	alarm     *time.Timer
	room      *socket.Room
	balancer  *choice.Balancer
	ready     chan struct{} // closed once the loop runs
	begin     func()        // startBalancer with what the configuration says
	table     *exchange.Table
	clients   *clients.Clients
	connector *servers.Connector
	watcher   *discovery.Watcher
	directory *directory
	revision  uint64
	failures  int
	peers     *peers.Peers
	share     func([]sharing.Fact) // nil where nothing is shared
	phase     phase
	came      bool            // a client has connected since the last look at what is left
	endsBy    time.Duration   // once nothing new is taken: how long last lines have
	reloading chan struct{}   // holds the one configuration that is being taken over
	left      chan struct{}   // closed when the process is to end with its connections as they are
	at        start.Addresses // by the configuration as read last
	limits    start.Limits    // the same
	terms     *terms          // the same
	text      []byte          // that configuration
	settings  []byte          // and its settings

	dialOwn     func(network, address string) (net.Conn, error) // net.Dial; a test may put its own here before Run
	unreachable chan error                                      // why the proxy's own listener can't be reached
}

// New makes a proxy from the text of its configuration.
func New(text []byte, log zerolog.Logger) (*Proxy, error) {
	c, err := readStartConfig(text)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		log:         log,
		start:       time.Now(),
		at:          c.addresses,
		limits:      c.limits,
		terms:       c.terms,
		text:        text,
		settings:    c.settings,
		revision:    c.known.Revision,
		ready:       make(chan struct{}),
		left:        make(chan struct{}),
		reloading:   make(chan struct{}, 1),
		dialOwn:     net.Dial,
		unreachable: make(chan error, 1),
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
	p.room = socket.NewRoom(p.limits.Sockets - keptSockets)
	p.directory = newDirectory(t.zones, p.start, t.list.DrainsBindAlone, t.models)
	p.connector = servers.NewConnector(p.execute, p.timers, p.room, p.take, t.connect)
	dialer := servers.New(p.connector, p.directory, p.timers, p.room, p.now, p.log)
	after := func(d time.Duration, call func()) { p.timers.After(d, call) }
	delays := exchange.NewDelays(t.mark, noteSpan, t.tellsLoad, t.tellsDelay)
	p.table = exchange.NewTable(dialer, p.now, p.later, after, t.connect, t.still, delays)
	p.clients = clients.New(p.table, p.timers, p.room, p.now, t.hello, p.directory.holder, t.listenerIDs,
		t.tenantIDs, t.groups, p.log)
	p.watcher = discovery.New(p.at.Discovery, t.ask, t.answer, p.execute, p.listed, p.watchFailed)
}

// prepare opens what the event loop does not.
func (p *Proxy) prepare() (err error) {
	p.limitMemory(p.limits)
	p.peers, err = p.hear(p.at, p.terms)
	return err
}

// startBalancer makes the balancer and begins what is done again and again, once the event loop runs.
func (p *Proxy) startBalancer(seed int64, known discovery.List) {
	t := p.terms
	p.balancer = choice.New(front{p.table, p}, rand.New(rand.NewSource(seed)), t.listeners, t.dials, t.budget,
		t.list, t.cold, t.words)
	p.table.Serve(p.balancer)
	if t.pushed {
		p.clients.HoldPings()
		p.timers.After(discovery.Told/2, p.clients.AnswerPings) // a discovery that says nothing must not keep it out
	}
	p.balancer.List(p.now(), choice.ListCached, p.directory.entriesOf(known))
	p.sweep()
	if p.share != nil {
		p.tellFleet()
	}
}

// By the protocol page.
const (
	lineSpan    = 2 * time.Second        // clients of open sessions send a line so often
	mostPatient = 3 * time.Second        // a kill follows no sooner after SIGTERM than that or the longest dial timeout,
	killMargin  = 700 * time.Millisecond // and this
	stillComes  = 400 * time.Millisecond // after SIGTERM, new connections
)

const (
	mostStill = lineSpan / 2    // a session that brings nothing back must be ended or moved in seven seconds
	mostHello = mostPatient / 2 // a client that asks for nothing
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
	served := make(chan error, 1)
	go func() {
		served <- gnet.Run(p, "tcp://"+p.at.Listen, gnet.WithNumEventLoop(1), gnet.WithReusePort(true),
			gnet.WithReadBufferCap(64<<10), gnet.WithWriteBufferCap(8<<10), gnet.WithLogger(engineLog{p.log}))
	}()
	select {
	case err := <-served:
		return err
	case err := <-p.unreachable:
		p.stopEngine()
		return err
	case <-p.left:
		return nil
	}
}

// stopEngine ends the event loop and what is open there.
func (p *Proxy) stopEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.engine.Stop(ctx); err != nil {
		p.log.Warn().Err(err).Msg("the event loop has not stopped in time")
	}
}

func (p *Proxy) now() time.Duration { return time.Since(p.start) }

// linger is how long a connection with a last line waits for its peer's end.
func (p *Proxy) linger() time.Duration { return p.terms.patience / 2 }

// The event loop.

func (p *Proxy) OnBoot(engine gnet.Engine) gnet.Action {
	p.engine = engine
	address := p.at.Listen
	go func() {
		if err := p.reachLoop(address); err != nil {
			p.unreachable <- err
		}
	}()
	return gnet.None
}

// reachLoop connects to the proxy's own listener until the event loop runs, as the first connection brings the loop's
// handle. A connect has no time limit: only this process's own time counts here. One that fails is no error if the loop
// runs by then: the proxy may have accepted that connection and closed it before the connecting side looked at it. One
// that succeeds may have gone to another process that still listens at the address, as the port can be shared, so that
// further ones follow.
func (p *Proxy) reachLoop(address string) error {
	failures := 0
	for {
		pause := ownConnectWait
		conn, err := p.dialOwn("tcp", address)
		if err == nil {
			conn.Close()
		} else {
			pause = ownConnectPause
			failures++
		}
		if failures == ownConnectAttempts {
			return fmt.Errorf("the proxy can't reach its own listener: %w", err)
		}
		select {
		case <-p.ready:
			return nil
		case <-time.After(pause):
		}
	}
}

func (p *Proxy) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if p.loop == nil {
		p.loop = conn.EventLoop()
		p.connector.Loop = p.loop
		p.enter()
		p.begin()
		p.leave()
		close(p.ready)
		p.log.Info().Str("listen", p.at.Listen).Int("sockets", p.room.Free()).Msg("serving")
	}
	p.enter()
	defer p.leave()
	if opener, ok := conn.Context().(servers.Opener); ok {
		opener.Open(conn)
		return nil, gnet.None
	}
	p.came = true
	client := p.clients.New()
	c := p.take(conn, client)
	client.Serve(c)
	client.Admit()
	return nil, gnet.None
}

func (p *Proxy) take(conn gnet.Conn, owner socket.Owner) *socket.Conn {
	p.room.Take(1)
	c := socket.New(conn, owner, p.room, p.timers, p.later, p.linger(), mostWaiting)
	conn.SetContext(c)
	return c
}

func (p *Proxy) OnTraffic(conn gnet.Conn) gnet.Action {
	p.enter()
	defer p.leave()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.Traffic()
	}
	return gnet.None
}

func (p *Proxy) OnClose(conn gnet.Conn, err error) gnet.Action {
	p.enter()
	defer p.leave()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.Closed(err)
	}
	return gnet.None
}

func (p *Proxy) enter() { p.depth++ }

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
	p.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		p.enter()
		defer p.leave()
		call()
		return nil
	}))
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
	p.table.Sweep(noteSpan / sweeps)
	p.timers.After(noteSpan/sweeps, p.sweep)
}

// The list of servers.

func (p *Proxy) listed(list discovery.List) {
	if list.Revision < p.revision {
		p.watcher.Drop()
		p.watchFailed(fmt.Errorf("revision %d after %d", list.Revision, p.revision))
		return
	}
	p.revision = list.Revision
	p.failures = 0
	defer p.clients.AnswerPings()
	kind := choice.ListDelta
	if list.Complete {
		kind = choice.ListFull
	}
	p.balancer.List(p.now(), kind, p.directory.entriesOf(list))
	p.directory.eachGone(p.table.Forget)
	ready, draining := p.directory.count()
	p.log.Info().Uint64("revision", list.Revision).Bool("complete", list.Complete).Int("entries", len(list.Servers)).
		Int("ready", ready).Int("draining", draining).Msg("list")
}

// watchFailed leaves the last list standing; the module asks again. In place of a watch that has fallen silent another
// begins at once, and one more if that says nothing either: what they miss is told to be known soon, by a clock of its
// own that no pause between calls heeds.
func (p *Proxy) watchFailed(err error) {
	p.failures++
	p.log.Warn().Err(err).Int("failures", p.failures).Msg("the watch of the list failed")
	switch {
	case errors.Is(err, discovery.ErrSilent):
		p.watcher.Again(p.revision)
	case errors.Is(err, discovery.ErrUnopened):
		p.watcher.Watch(p.revision)
	case errors.Is(err, discovery.ErrUnanswered): // it has waited long enough
		p.balancer.Afresh(p.now())
	default:
		p.balancer.List(p.now(), choice.ListFailed, nil)
	}
	p.clients.AnswerPings() // nothing more is known to wait for
}

// hear opens the end for words of other proxies, where they may tell one another something.
func (p *Proxy) hear(at start.Addresses, t *terms) (*peers.Peers, error) {
	if !t.words.Allowed || at.PeerListen == "" {
		return nil, nil
	}
	end, err := peers.Listen(at.PeerListen, at.PeersAll, at.Peers, p.heard)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return end, nil
}

// heard takes another proxy's word, off the loop.
func (p *Proxy) heard(word []byte) {
	<-p.ready
	at, delay, err := benchwire.Word(word)
	if err != nil {
		p.log.Warn().Err(err).Msg("a word from another proxy is ignored")
		return
	}
	p.execute(func() { p.balancer.Told(p.now(), at, delay) })
}

// front is what the module asks of the proxy.
type front struct {
	*exchange.Table
	p *Proxy
}

func (f front) Tell(at choice.ServerID, delay time.Duration) {
	if f.p.peers != nil {
		f.p.peers.Tell(benchwire.AppendWord(nil, at, delay))
	}
}

func (f front) Timer(after time.Duration, token choice.Token) {
	f.p.timers.After(after, func() { f.p.balancer.Tick(f.p.now(), token) })
}

func (f front) Watch() { f.p.watcher.Watch(f.p.revision) }

func (f front) Log(text string) { f.p.log.Info().Str("from", "choice").Msg(f.p.directory.named(text)) }

// engineLog hands the event loop's own words to the log.
type engineLog struct{ zerolog.Logger }

func (l engineLog) Debugf(format string, args ...any) { l.Debug().Msgf(format, args...) }
func (l engineLog) Infof(format string, args ...any)  { l.Debug().Msgf(format, args...) }
func (l engineLog) Warnf(format string, args ...any)  { l.Warn().Msgf(format, args...) }
func (l engineLog) Errorf(format string, args ...any) { l.Error().Msgf(format, args...) }
func (l engineLog) Fatalf(format string, args ...any) { l.Error().Msgf(format, args...) }
