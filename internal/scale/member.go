package scale

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/aggregation"
	"chalkferry/internal/discovery"
	"chalkferry/internal/sharing"
	"chalkferry/internal/start"
)

const (
	publishInterval = time.Second            // the same as a proxy's
	connectTimeout  = 2 * time.Second        // of a watch of the server list
	answerTimeout   = 10 * time.Second       // of a watch of the server list
	minRewatch      = 100 * time.Millisecond // shortest wait after a watch that failed
	maxRewatch      = time.Second            // longest wait after a watch that failed
)

// Names of the counts that the run checks. They are counts by listener, so that they can't clash with the names of servers.
const (
	markedName = "scale-marked" // marked count: raised in trials and during faults, each time by one member
	commonName = "scale-common" // common count: published by all members with the same value
	commonHeld = 7              // sessions of the common count that each member publishes
)

// member is one hollow member.
type member struct {
	spec        MemberSpec
	link        *link
	sharedState sharedState
	watcher     *discovery.Watcher
	mark        atomic.Uint32                          // sessions of the marked count that it publishes, 0 for none
	servers     atomic.Pointer[[]sharing.SessionCount] // counts that were published last, without the marked one
	done        chan struct{}                          // closed by close
	closeOnce   sync.Once

	mu       sync.Mutex // stands for the event loop of a proxy: one call at a time
	closed   bool
	revision uint64 // of the server list
	lists    int    // number of lists and changes received
}

// startMember starts a member's parts in the order of a proxy: settings, shared state, server list.
func startMember(spec MemberSpec, request *StartMembers, n *network) (*member, error) {
	if err := readSettings(request.Settings); err != nil {
		return nil, err
	}
	m := &member{spec: spec, link: &link{network: n, zone: spec.Zone}, revision: request.Revision, done: make(chan struct{})}
	var err error
	if m.sharedState, err = startSharedState(&spec, m.link); err != nil {
		return nil, err
	}
	m.watcher = discovery.New(request.Discovery, connectTimeout, answerTimeout, m.execute, m.listReceived, m.watchFailed)
	m.execute(func() { m.watcher.Watch(m.revision) })
	return m, nil
}

// execute runs a call on the member's event loop, unless the member is closed.
func (m *member) execute(call func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		call()
	}
}

// listReceived handles a list or change of the list.
func (m *member) listReceived(list discovery.List) {
	m.revision = max(m.revision, list.Revision)
	m.lists++
}

// watchFailed starts the watch again after a random wait, so that members don't reconnect all at once.
func (m *member) watchFailed(error) {
	wait := minRewatch + time.Duration(rand.Int63n(int64(maxRewatch-minRewatch)))
	time.AfterFunc(wait, func() { m.execute(func() { m.watcher.Watch(m.revision) }) })
}

// list returns the revision of the server list, and whether the watch has received anything yet.
func (m *member) list() (revision uint64, watching bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.lists > 0
}

// publish hands the member's counts to its shared state: those of servers, the common one, and the marked one if it has any.
func (m *member) publish(servers []sharing.SessionCount) {
	if m.spec.Mute {
		return
	}
	m.servers.Store(&servers)
	mark := m.mark.Load()
	if mark == 0 {
		m.sharedState.Publish(servers)
		return
	}
	facts := make([]sharing.SessionCount, len(servers), len(servers)+1)
	copy(facts, servers)
	m.sharedState.Publish(append(facts, sharing.SessionCount{Kind: aggregation.ByListener, Name: markedName, Sessions: mark}))
}

// publishMark changes the marked count and publishes it at once, with the other counts as published last.
func (m *member) publishMark(value uint32) {
	m.mark.Store(value)
	if servers := m.servers.Load(); servers != nil {
		m.publish(*servers)
	}
}

// close stops the watch and the shared state. It may be called more than once.
func (m *member) close() {
	m.execute(func() {
		m.closed = true
		m.watcher.Stop()
	})
	m.closeOnce.Do(func() {
		close(m.done)
		m.sharedState.Close()
	})
}

// readSettings parses settings as a proxy does at its start and at SIGHUP, and drops the result.
func readSettings(settings []byte) error {
	var (
		listeners   []choice.Listener
		dials       choice.DialLimits
		budget      choice.RetryBudget
		list        choice.ListSettings
		cold        choice.ColdSettings
		peerReports choice.PeerReportSettings
		connect     time.Duration

		passes, groups      bool
		load, delay, models bool
	)
	if err := start.ParseBalancer(settings, &listeners, &dials, &budget, &list, &cold, &peerReports); err != nil {
		return err
	}
	err := start.ParseNames(settings, map[string]choice.ListenerID{}, map[string]choice.TenantID{}, map[string]choice.ZoneID{})
	if err != nil {
		return err
	}
	if err := start.ParseConnections(settings, &connect, &passes, &groups); err != nil {
		return err
	}
	return start.ParseServerReports(settings, &load, &delay, &models)
}
