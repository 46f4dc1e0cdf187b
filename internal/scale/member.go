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
	publishInterval = time.Second // as a proxy does
	connectTimeout  = 2 * time.Second
	answerTimeout   = 10 * time.Second
	minRewatch      = 100 * time.Millisecond // after a watch that failed
	maxRewatch      = time.Second
)

// Names of the counts that the run looks at. Both are kept apart from the names of servers.
const (
	markedName = "scale-marked" // held by one member, changed in trials
	commonName = "scale-common" // held by all members alike
	commonHeld = 7
)

// member is one hollow member.
type member struct {
	spec    MemberSpec
	link    *link
	sharer  sharer
	watcher *discovery.Watcher
	mark    atomic.Uint32
	servers atomic.Pointer[[]sharing.SessionCount] // as published last
	ended   chan struct{}                          // closed by close
	ends    sync.Once

	mu       sync.Mutex // the member's event loop: one call at a time
	closed   bool
	revision uint64
	lists    int
}

// startMember starts the member's parts. The order is that of a proxy: settings, shared state, list.
func startMember(spec MemberSpec, request *StartMembers, n *network) (*member, error) {
	if err := readSettings(request.Settings); err != nil {
		return nil, err
	}
	m := &member{spec: spec, link: &link{network: n, zone: spec.Zone}, revision: request.Revision, ended: make(chan struct{})}
	var err error
	if m.sharer, err = startSharer(&spec, m.link); err != nil {
		return nil, err
	}
	m.watcher = discovery.New(request.Discovery, connectTimeout, answerTimeout, m.execute, m.listed, m.watchFailed)
	m.execute(func() { m.watcher.Watch(m.revision) })
	return m, nil
}

func (m *member) execute(call func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		call()
	}
}

func (m *member) listed(list discovery.List) {
	m.revision = max(m.revision, list.Revision)
	m.lists++
}

func (m *member) watchFailed(error) {
	wait := minRewatch + time.Duration(rand.Int63n(int64(maxRewatch-minRewatch)))
	time.AfterFunc(wait, func() { m.execute(func() { m.watcher.Watch(m.revision) }) })
}

// list returns the revision of the list, and whether the watch has brought anything yet.
func (m *member) list() (revision uint64, watching bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.lists > 0
}

// publish hands over what the member holds: the counts of servers, and its own of the two names.
func (m *member) publish(servers []sharing.SessionCount) {
	if m.spec.Mute {
		return
	}
	m.servers.Store(&servers)
	mark := m.mark.Load()
	if mark == 0 {
		m.sharer.Publish(servers)
		return
	}
	facts := make([]sharing.SessionCount, len(servers), len(servers)+1)
	copy(facts, servers)
	m.sharer.Publish(append(facts, sharing.SessionCount{Kind: aggregation.ByListener, Name: markedName, Sessions: mark}))
}

// publishMark publishes another value of the marked count at once, beside what was published last.
func (m *member) publishMark(value uint32) {
	m.mark.Store(value)
	if servers := m.servers.Load(); servers != nil {
		m.publish(*servers)
	}
}

func (m *member) close() {
	m.execute(func() {
		m.closed = true
		m.watcher.Stop()
	})
	m.ends.Do(func() {
		close(m.ended)
		m.sharer.Close()
	})
}

// readSettings reads settings as a proxy does at its start and at SIGHUP.
func readSettings(settings []byte) error {
	var (
		listeners []choice.Listener
		dials     choice.DialLimits
		budget    choice.RetryBudget
		list      choice.ListSettings
		cold      choice.ColdSettings
		words     choice.PeerReportSettings
		connect   time.Duration

		passes, groups      bool
		load, delay, models bool
	)
	if err := start.ParseBalancer(settings, &listeners, &dials, &budget, &list, &cold, &words); err != nil {
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
