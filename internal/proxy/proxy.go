// Package proxy runs the balancer of package choice on real sockets. It owns the event loop and everything that lives on
// it (timers, connections, sessions, the directory of servers), and starts the work that would block the loop beside it:
// connects to servers, the watch of the list of servers, and messages between proxies. It also reloads the configuration
// (SIGHUP) and ends the process in an orderly way (SIGTERM). Which server a session goes to is decided in package choice.
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
	memoryLimitShare     = 0.75        // fraction of the memory limit that the Go runtime may use; the rest is for what it does not count
	programBytes         = 16 << 20    // of the program and its libraries in memory, which the Go runtime does not count
	minRuntimeDivisor    = 4           // of the memory limit, the part that the Go runtime gets in any case
	bufferedBytesDivisor = 32          // of the memory limit, the part that buffers of connections may take
	reservedSockets      = 32          // file descriptors kept back for discovery, the event loop and the Go runtime
	maxUnsentBytes       = 1 << 18     // bytes buffered for one connection whose peer reads slowly
	reportInterval       = time.Second // between publications of the session tally; also between reports of one server's slow messages
	sweepsPerReport      = 10          // session sweeps per reportInterval
)

// startRetryLimit is how long temporary failures to open a socket are retried at the start.
const startRetryLimit = 10 * time.Second

// stopTimeout is how long stopLoop waits for the event loop to end.
const stopTimeout = time.Second

// Proxy is one proxy. Once the event loop runs, fields that change are used on the loop only.
type Proxy struct {
	log               zerolog.Logger
	failures          *failure.Log
	startedAt         time.Time
	loop              *eventloop.Loop
	eventDepth        int      // nested events in progress
	deferredCalls     []func() // to run at the end of the current event
	timers            *timers.Timers
	wakeTimer         *time.Timer // runs timers when the next one is due
	connectionLimit   *socket.ConnectionLimit
	balancer          *choice.Balancer
	ready             chan struct{} // closed once the event loop runs and the balancer exists
	beginBalancing    func()        // startBalancer with the seed and the cached list of the configuration
	table             *exchange.Table
	clients           *clients.Clients
	connector         *servers.Connector
	watcher           *discovery.Watcher
	directory         *directory
	revision          uint64          // of the current list of servers
	failedWatches     int             // watches of the list that failed in a row
	watchErr          error           // of the last one of them
	lease             discovery.Lease // of the current list of servers
	listGate          listGate        // sessions and dials that wait for the list
	staleListReport   staleListReport
	peers             *peers.Conn
	publishFacts      func([]sharing.SessionCount) // nil if the tally of sessions is not published
	phase             phase
	lastEventAt       time.Duration    // when the current event began, since the start
	standstill        standstill       // the latest one
	connectionArrived bool             // a client has connected since the last check in endWhenIdle
	closingDeadline   time.Duration    // in phase closing: until when final lines may still be sent
	reloading         chan struct{}    // semaphore of one: a reload is in progress
	exitNow           chan struct{}    // closed when Run is to return with the open connections left as they are
	addresses         start.Addresses  // of the current configuration
	limits            start.Limits     // of the current configuration
	settings          *runtimeSettings // of the current configuration
	configText        []byte           // the current configuration
	settingsText      []byte           // the "settings" part of configText
}

// New makes a proxy from the text of its configuration. It opens no sockets; Run does.
func New(configText []byte, log zerolog.Logger) (*Proxy, error) {
	config, err := readStartConfig(configText)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		log:          log,
		failures:     failure.NewLog(log),
		startedAt:    time.Now(),
		addresses:    config.addresses,
		limits:       config.limits,
		settings:     config.settings,
		configText:   configText,
		settingsText: config.settingsText,
		revision:     config.known.Revision,
		ready:        make(chan struct{}),
		exitNow:      make(chan struct{}),
		reloading:    make(chan struct{}, 1),
	}
	p.buildComponents()
	p.beginBalancing = func() { p.startBalancer(config.seed, config.known) }
	return p, nil
}

// startConfig is a parsed configuration file.
type startConfig struct {
	addresses    start.Addresses
	limits       start.Limits
	settingsText []byte
	settings     *runtimeSettings
	seed         int64
	known        discovery.List // the list of servers that was cached when the file was written
}

func readStartConfig(configText []byte) (*startConfig, error) {
	config := &startConfig{}
	knownText, settingsText, err := start.ParseFile(configText, &config.addresses, &config.limits, &config.seed)
	if err != nil {
		return nil, err
	}
	config.settingsText = settingsText
	if config.settings, err = parseSettings(settingsText); err != nil {
		return nil, err
	}
	if config.known, err = parseKnown(knownText); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return config, nil
}

// parseKnown parses the cached list of servers. The list counts as complete; without text it is empty.
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

// buildComponents makes everything that runs on the event loop except the balancer, which startBalancer makes once the
// loop runs.
func (p *Proxy) buildComponents() {
	settings := p.settings
	p.timers = timers.New(p.now, p.scheduleTimers)
	p.connectionLimit = socket.NewConnectionLimit(p.limits.Sockets - reservedSockets)
	p.directory = newDirectory(settings.zones, startClock{processStart: p.startedAt, sinceStart: p.now, wallClock: time.Now},
		settings.list.OnlyDrainsExclude, settings.learnModels)
	p.connector = servers.NewConnector(p.execute, p.connectionLimit, p.take, settings.connectTimeout, p.failures)
	dialer := servers.New(p.connector, p.directory, p.timers, p.connectionLimit, p.now, p.awaitList, p.log)
	after := func(delay time.Duration, callback func()) { p.timers.After(delay, callback) }
	delays := exchange.NewDelayTracker(settings.slowMessageThreshold, reportInterval, settings.serversReportLoad, settings.serversReportDelay)
	p.table = exchange.NewTable(dialer, p.now, p.afterEvent, after, p.awaitList, settings.connectTimeout, settings.serverSilenceLimit, delays)
	p.clients = clients.New(p.table, p.timers, p.connectionLimit, p.now, settings.helloTimeout, p.directory.listedID,
		settings.listenerIDs, settings.tenantIDs, settings.hasGroups, p.log)
	p.watcher = discovery.New(p.addresses.Discovery, settings.discoveryConnectTimeout, settings.watchAnswerTimeout, p.execute,
		p.applyList, p.handleWatchFailure)
	p.watcher.OnConfirmed = p.handleListConfirmed
}

// openListeners sets the memory limit and opens the socket for peer messages and the event loop with the listener for
// clients. Temporary failures are retried for startRetryLimit.
func (p *Proxy) openListeners() (err error) {
	p.limitMemory(p.limits)
	err = failure.RetryFor(startRetryLimit, failure.Listen, p.failures, func() (err error) {
		p.peers, err = p.listenPeers(p.addresses, p.settings)
		return err
	})
	if err != nil {
		return err
	}
	return failure.RetryFor(startRetryLimit, failure.Listen, p.failures, func() (err error) {
		if p.loop, err = eventloop.Open(p.addresses.Listen, p, p.failures); err == nil {
			p.loop.SetMaxBufferedBytes(maxBufferedBytes(p.limits))
		}
		return err
	})
}

// maxBufferedBytes is how many bytes the connections may hold in buffers. Buffers that grow and shrink cost several times their size
// until the next garbage collection.
func maxBufferedBytes(limits start.Limits) int { return limits.MemoryMB << 20 / bufferedBytesDivisor }

// startBalancer makes the balancer, gives it the cached list of servers and starts the periodic work. It runs on the event
// loop.
func (p *Proxy) startBalancer(seed int64, known discovery.List) {
	t := p.settings
	p.balancer = choice.New(balancerFront{p.table, p}, rand.New(rand.NewSource(seed)), t.listeners, t.dials, t.budget,
		t.list, t.cold, t.peerReports)
	p.table.SetBalancer(p.balancer)
	p.lease = discovery.NewLease(t.leasePushed, p.now())
	if t.listPushed {
		p.clients.HoldPings()
		// A discovery service that stays silent must not keep the proxy out of rotation.
		p.timers.After(maxPongDelay, p.clients.AnswerPings)
	}
	p.balancer.ApplyList(p.now(), choice.ListCached, p.directory.entriesOf(known))
	p.sweepSessions()
	if p.publishFacts != nil {
		p.startTally()
	}
}

// Times that the protocol page fixes.
const (
	clientLineInterval = 2 * time.Second        // clients of open sessions send a line at this interval
	maxDialTimeout     = 3 * time.Second        // SIGKILL follows SIGTERM after at least this or the longest dial timeout, if less,
	killMargin         = 700 * time.Millisecond // plus this margin
	arrivalsAfterTerm  = 400 * time.Millisecond // new connections may still arrive for this long after SIGTERM
)

const (
	maxServerSilence = clientLineInterval / 2 // a session whose server is silent must be ended or moved within 7 s
	maxHelloWait     = maxDialTimeout / 2     // for a client that connects and does not ask for a session
)

// limitMemory sets the Go runtime's memory limit and GOMAXPROCS for the whole process.
func (p *Proxy) limitMemory(limits start.Limits) {
	debug.SetMemoryLimit(runtimeMemoryLimit(limits))
	// One more than the cores: while the event loop blocks in the kernel, connects and discovery continue.
	runtime.GOMAXPROCS(max(int(limits.Cores), 1) + 1)
}

// runtimeMemoryLimit is how many bytes the Go runtime may use: a share of the limit, or less where the program itself takes more of
// it than the rest.
func runtimeMemoryLimit(limits start.Limits) int64 {
	limit := int64(limits.MemoryMB) << 20
	return min(int64(memoryLimitShare*float64(limit)), max(limit-programBytes, limit/minRuntimeDivisor))
}

// Run opens the sockets and serves until Leave was called and nothing is left to do. It returns an error if a socket
// can't be opened or the event loop fails.
func (p *Proxy) Run() error {
	if err := p.openListeners(); err != nil {
		return err
	}
	p.connector.Loop = p.loop
	p.loop.Execute(p.serve)
	served := make(chan error, 1)
	go func() { served <- p.loop.Run() }()
	select {
	case err := <-served:
		return err
	case <-p.exitNow:
		return nil
	}
}

// serve is the first call on the event loop: it starts the balancer and reports the proxy as ready.
func (p *Proxy) serve() {
	p.beginEvent()
	defer p.endEvent()
	p.beginBalancing()
	close(p.ready)
	p.log.Info().Str("listen", p.addresses.Listen).Int("sockets", p.connectionLimit.Free()).Msg("serving")
}

// stopLoop ends the event loop with all its connections, and waits at most stopTimeout for it.
func (p *Proxy) stopLoop() {
	p.loop.Stop()
	select {
	case <-p.loop.Done():
	case <-time.After(stopTimeout):
		p.log.Warn().Msg("the event loop has not stopped in time")
	}
}

// now is the time since the proxy was made, by the monotonic clock.
func (p *Proxy) now() time.Duration { return time.Since(p.startedAt) }

// lingerTimeout is how long a connection whose final line was sent waits for its peer to close.
func (p *Proxy) lingerTimeout() time.Duration { return p.settings.longestDialTimeout / 2 }

// beginEvent must be called at the start of each event on the loop, and endEvent at its end. Events may nest.
func (p *Proxy) beginEvent() {
	if p.eventDepth == 0 {
		p.detectStandstill()
	}
	p.eventDepth++
}

// endEvent runs the calls that afterEvent has deferred, at the end of the outermost event.
func (p *Proxy) endEvent() {
	for p.eventDepth == 1 && len(p.deferredCalls) > 0 {
		callback := p.deferredCalls[0]
		p.deferredCalls = p.deferredCalls[1:]
		callback()
	}
	p.eventDepth--
}

// afterEvent defers a call to the end of the current event.
func (p *Proxy) afterEvent(callback func()) { p.deferredCalls = append(p.deferredCalls, callback) }

// execute runs a call on the event loop as an event of its own; it may be called from any goroutine and does not wait.
func (p *Proxy) execute(callback func()) {
	p.loop.Execute(func() {
		p.beginEvent()
		defer p.endEvent()
		callback()
	})
}

// scheduleTimers has the timers run on the event loop after a delay; an earlier request is replaced.
func (p *Proxy) scheduleTimers(delay time.Duration) {
	if p.wakeTimer == nil {
		p.wakeTimer = time.AfterFunc(delay, func() { p.execute(p.timers.Run) })
		return
	}
	p.wakeTimer.Reset(delay)
}

// sweepSessions checks sessions that wait for a message from their server, once per sweepInterval.
func (p *Proxy) sweepSessions() {
	p.table.Sweep(sweepInterval)
	p.timers.After(sweepInterval, p.sweepSessions)
}

// balancerFront implements choice.Front, what the balancer calls: dials and answers by the table of sessions, the rest by
// the proxy.
type balancerFront struct {
	*exchange.Table
	proxy *Proxy
}

func (f balancerFront) PublishOverload(server choice.ServerID, delay time.Duration) {
	if f.proxy.peers != nil {
		f.proxy.peers.Send(benchwire.AppendDelayReport(nil, server, delay))
	}
}

func (f balancerFront) StartTimer(delay time.Duration, token choice.TimerToken) {
	f.proxy.timers.After(delay, func() { f.proxy.balancer.HandleTimer(f.proxy.now(), token) })
}

func (f balancerFront) SubscribeList() { f.proxy.watcher.Watch(f.proxy.revision) }

func (f balancerFront) Log(text string) {
	f.proxy.log.Info().Str("from", "choice").Msg(f.proxy.directory.nameServers(text))
}
