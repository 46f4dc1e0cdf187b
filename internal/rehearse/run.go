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
	// leeway is what the rules' limits are extended by.
	leeway         = 50 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
	sampleInterval = 250 * time.Millisecond
	maxStartTime   = 20 * time.Second
)

// rehearsal is one run of a scenario.
type rehearsal struct {
	scenario      *Scenario
	startedAt     atomic.Int64 // Unix time in nanoseconds
	judge         *judge.Judge
	nodes         []*node.Node
	zones         []string // of each node
	list          *list.List
	front         *front.Front
	clients       *client.Clients
	processes     []*process
	binding       binding
	badClients    badClients
	folder        string
	openAtEnd     int
	faultsRunning sync.WaitGroup

	mu            sync.Mutex // guards all below
	samples       []Sample
	runErrors     []string // of the rehearsal itself
	addedNodes    int      // spare nodes that were started
	unboundReason string   // why proxies that were to be bound to processors are not, "" where they are
}

// Options say how a run is done.
type Options struct {
	Proxy    string    // the program that serves
	Progress io.Writer // for a line that is overwritten, nil for none
	Logs     string    // a folder that keeps the proxies' logs, "" for none
	Profiles string    // a folder for profiles of the proxies' CPU, "" for none
	Direct   bool      // clients connect to the nodes, with no proxy between

	Arguments func(proxy int) []string // further ones of each proxy's command, nil for none
}

// Run runs a scenario to its end, or to the context's, and reports what was seen. An error says that nothing could be
// rehearsed; broken rules and lateness are in the report.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	sessions, err := s.Schedule()
	if err != nil {
		return nil, err
	}
	if len(sessions) == 0 {
		return nil, fmt.Errorf("%s: not one session arrives", s.Name)
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
	whileRunning, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.front.Run(whileRunning)
	if err := r.waitReady(whileRunning); err != nil {
		return nil, err
	}
	r.setStart(2 * tickInterval)
	r.runSessions(ctx, sessions, o.Progress)
	for _, p := range r.processes {
		p.sample()
	}
	report := r.report(len(sessions), ctx.Err() != nil)
	if o.Profiles != "" { // they are written as a proxy ends in good order
		r.stopAllProxies()
	}
	if o.Logs != "" {
		report.RunErrors = append(report.RunErrors, r.keepLogs(o.Logs)...)
	}
	return report, nil
}

// now is the time since the run's start, below 0 before.
func (r *rehearsal) now() time.Duration {
	return time.Duration(time.Now().UnixNano() - r.startedAt.Load())
}

// setStart sets the run's start.
func (r *rehearsal) setStart(d time.Duration) { r.startedAt.Store(time.Now().Add(d).UnixNano()) }

// waitReady waits until the front has taken all proxies in.
func (r *rehearsal) waitReady(ctx context.Context) error {
	for limit := time.Now().Add(maxStartTime); ; {
		for i, p := range r.processes {
			if p.isDown() {
				return fmt.Errorf("proxy %d does not serve: %s", i, p.logTail())
			}
		}
		total := r.front.Len()
		if r.front.ReadyCount() == total {
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

// runSessions sends the sessions and injects the faults, and returns when the run is over and all of it has ended.
func (r *rehearsal) runSessions(ctx context.Context, sessions []trace.Session, progress io.Writer) {
	running, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	r.startFaults(running)
	var monitor sync.WaitGroup
	monitored, stopMonitor := context.WithCancel(context.Background())
	monitor.Go(func() { r.monitor(monitored, len(sessions), progress) })

	clientsDone := r.sendSessions(running, sessions)
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
	r.judge.Check(r.now() + time.Hour) // what is still pending has had its time, or is over
	stopMonitor()
	monitor.Wait()
}

// sendSessions runs a client for each session at its time. It returns after the last one's, with what waits for them.
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

// request is what the client of a scheduled session asks for.
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

// close ends all that a run has started.
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

// addRunError notes a failure of the rehearsal itself.
func (r *rehearsal) addRunError(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runErrors = append(r.runErrors, fmt.Sprintf(format, args...))
}
