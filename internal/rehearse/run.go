package rehearse

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/front"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/list"
	"chalkferry/internal/standin/node"
	"chalkferry/internal/trace"
)

const (
	// leeway is added to the time limits of the rules, for delays of the observers.
	leeway         = 50 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
	sampleInterval = 250 * time.Millisecond
	maxStartTime   = 20 * time.Second
)

// rehearsal is one run of a scenario.
type rehearsal struct {
	scenario      *Scenario
	startedAt     atomic.Int64 // start of the schedule, Unix time in nanoseconds
	judge         *judge.Judge
	nodes         []*node.Node
	zones         []string // of each node
	list          *list.List
	front         *front.Front
	clients       *client.Clients
	processes     []*process
	binding       binding
	badClients    badClients
	folder        string         // temporary, with a subfolder for each proxy
	openAtEnd     int            // sessions that are open when the run ends
	faultsRunning sync.WaitGroup // and bad clients

	mu            sync.Mutex // guards all below
	samples       []Sample
	runErrors     []string // failures of the rehearsal itself
	addedNodes    int      // spare nodes that were started
	unboundReason string   // why proxies that should be bound to processors are not, "" if they are
}

// Options are the options of a run that are not part of the scenario.
type Options struct {
	Proxy    string    // path of the proxy program
	Progress io.Writer // for a progress line that is overwritten, nil for none
	Logs     string    // folder to which the proxies' logs are copied, "" for none
	Profiles string    // folder for CPU profiles of the proxies, "" for none
	Direct   bool      // clients connect to the nodes without proxies

	Arguments func(proxy int) []string // additional arguments of each proxy's command, nil for none
}

// Run runs a scenario until its end, or until the context ends, and returns the report. An error means that the run could
// not be started; broken rules and a late load generator are part of the report.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	sessions, err := s.Schedule()
	if err != nil {
		return nil, err
	}
	if len(sessions) == 0 {
		return nil, fmt.Errorf("%s: no session is scheduled", s.Name)
	}
	r := &rehearsal{scenario: s}
	if r.folder, err = os.MkdirTemp("", "chalkferry-rehearsal-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.folder)
	if s.Proxies.Pin && !o.Direct {
		release, err := r.bindProxies()
		if err != nil {
			return nil, err
		}
		defer release()
	}
	r.setStart(2 * maxStartTime)
	defer r.close()
	if err := r.build(o); err != nil {
		return nil, err
	}
	frontCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.front.Run(frontCtx)
	if err := r.waitReady(frontCtx); err != nil {
		return nil, err
	}
	r.setStart(2 * tickInterval)
	r.runSessions(ctx, sessions, o.Progress)
	for _, p := range r.processes {
		p.sample()
	}
	report := r.report(len(sessions), ctx.Err() != nil)
	if o.Profiles != "" { // a proxy writes its profile when it exits cleanly
		r.stopAllProxies()
	}
	if o.Logs != "" {
		report.RunErrors = append(report.RunErrors, r.keepLogs(o.Logs)...)
	}
	return report, nil
}

// now returns the time since the start of the run, which is negative before it.
func (r *rehearsal) now() time.Duration {
	return time.Duration(time.Now().UnixNano() - r.startedAt.Load())
}

// setStart sets the start of the run to d from now.
func (r *rehearsal) setStart(d time.Duration) { r.startedAt.Store(time.Now().Add(d).UnixNano()) }

// waitReady waits until the front has found all proxies ready.
func (r *rehearsal) waitReady(ctx context.Context) error {
	for limit := time.Now().Add(maxStartTime); ; {
		for i, p := range r.processes {
			if p.isDown() {
				return fmt.Errorf("proxy %d does not serve: %s", i, p.logTail())
			}
		}
		total := r.front.Len()
		if r.front.ReadyCount() == total {
			for _, p := range r.processes {
				p.setListening()
			}
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d proxies are ready after %v", r.front.ReadyCount(), total, maxStartTime)
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runSessions sends the sessions and injects the faults. It returns when the run is over and all its clients and faults
// have ended.
func (r *rehearsal) runSessions(ctx context.Context, sessions []trace.Session, progress io.Writer) {
	runCtx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	r.startFaults(runCtx)
	var monitor sync.WaitGroup
	monitorCtx, stopMonitor := context.WithCancel(context.Background())
	monitor.Go(func() { r.monitor(monitorCtx, len(sessions), progress) })

	clientsDone := r.sendSessions(runCtx, sessions)
	length := r.scenario.Length.D() + r.scenario.Settle.D()
	select {
	case <-time.After(max(length-r.now(), 0)):
	case <-ctx.Done():
	}
	r.openAtEnd = r.clients.OpenSessions()
	cancelAll()
	clientsDone.Wait()
	r.faultsRunning.Wait()
	time.Sleep(2 * leeway)
	r.judge.Check(r.now() + time.Hour) // makes all pending decisions: whatever could still be reported has ended
	stopMonitor()
	monitor.Wait()
}

// sendSessions starts a client for each session at its time. It returns once the last one is started, with a wait group
// for the clients that still run.
func (r *rehearsal) sendSessions(ctx context.Context, sessions []trace.Session) *sync.WaitGroup {
	times := make([]time.Duration, len(sessions))
	for i, each := range sessions {
		times[i] = each.ArrivesAt()
	}
	var clients sync.WaitGroup
	clients.Add(len(times))
	started := load.Run(ctx, r.now, times, func(i int) {
		defer clients.Done()
		r.clients.Run(ctx, r.scenario.request(sessions[i]))
	})
	clients.Add(started - len(times))
	return &clients
}

// request returns the client request for a scheduled session.
func (s *Scenario) request(session trace.Session) client.Request {
	l := s.Listeners[s.listenerIndex(session.Listener)]
	timeout := l.DialTimeout.D()
	if session.DialTimeoutMs > 0 {
		timeout = fromMillis(session.DialTimeoutMs)
	}
	return client.Request{
		ArrivesAt: session.ArrivesAt(),
		Listener:  session.Listener,
		Tenant:    session.Tenant,
		Zone:      session.Zone,
		Key:       session.Key,
		Group:     session.Group,
		Terms: judge.Terms{
			DialTimeout:  timeout,
			Effect:       judge.Effect(l.Effect),
			RepeatWindow: l.RepeatWindow.D(),
			Group:        l.Group,
		},
		Lifetime:        fromMillis(session.LifetimeMs),
		Load:            node.Load{Cores: session.Load * s.Platform.meanLoad(), Group: session.Group},
		LoadChangeEvery: s.Clients.LoadChanges.D(),
		Returned:        session.Returned,
	}
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// close ends everything that the run has started.
func (r *rehearsal) close() {
	for i, p := range r.processes {
		r.judge.ProxyDied(judge.ProxyID(i))
		p.kill()
	}
	if r.list != nil {
		r.list.Close()
	}
	for _, each := range r.nodes {
		each.Close()
	}
}

// addRunError records a failure of the rehearsal itself, which makes the run fail.
func (r *rehearsal) addRunError(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runErrors = append(r.runErrors, fmt.Sprintf(format, args...))
}
