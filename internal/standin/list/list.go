// Package list simulates discovery for rehearsals. Each proxy has an endpoint of its own, so that the judge learns which
// proxy was sent which state, and when. It does not watch nodes: the rehearsal updates the list.
package list

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chalkferry/internal/standin/judge"
)

// Phases of a member.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Member is one entry, in discovery's form.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"` // ready, draining or gone
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"` // Unix time, 0 for long ago
	revision  uint64
}

// answer is one list, whole or of the changes since a revision.
type answer struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	stale    bool
}

const (
	// heartbeat is how often a watch with no changes sends an empty line.
	heartbeat         = 2 * time.Second
	readHeaderTimeout = 5 * time.Second
	targetsPath       = "/api/targets"
)

// List is the service: what it knows, and how it behaves.
type List struct {
	now       func() time.Duration
	judge     *judge.Judge
	mu        sync.Mutex
	delay     time.Duration // until a change shows
	down      bool          // calls end with 503, watches end
	reset     bool          // calls are reset
	stale     bool          // whole lists of a lower revision are sent
	names     []string      // by node
	members   []Member      // by node
	revision  uint64
	changed   chan struct{} // closed at each change, and when the behaviour changes
	endpoints []*Endpoint
	calls     int
}

// New makes a service that knows the members, all as of revision 1.
func New(now func() time.Duration, j *judge.Judge, delay time.Duration, members []Member) *List {
	l := &List{now: now, judge: j, delay: delay, revision: 1, changed: make(chan struct{})}
	for _, m := range members {
		m.revision = 1
		l.members, l.names = append(l.members, m), append(l.names, m.ID)
	}
	return l
}

// Snapshot is the list as a proxy's configuration has it.
func (l *List) Snapshot() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, _ := json.Marshal(l.answer(0)) // plain values: it can't fail
	return text
}

// answer is the list to a proxy that knows a revision, 0 for none. It needs the lock.
func (l *List) answer(after uint64) answer {
	a := answer{Revision: l.revision, Complete: after == 0 || after > l.revision, Members: []Member{}}
	for _, m := range l.members {
		if m.Phase == Gone && a.Complete {
			continue
		}
		if a.Complete || m.revision > after {
			a.Members = append(a.Members, m)
		}
	}
	return a
}

// notifyWatches needs the lock.
func (l *List) notifyWatches() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Update changes a member's phase, and its address and start where they are given, after the service's delay.
func (l *List) Update(id judge.NodeID, phase, hostPort string, upSince time.Time) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.revision++
		m := &l.members[id]
		m.Phase, m.revision = phase, l.revision
		if hostPort != "" {
			m.HostPort = hostPort
		}
		if !upSince.IsZero() {
			m.UpSinceMs = upSince.UnixMilli()
		}
		l.judge.NodeChanged(l.now(), id, phase != Ready)
		l.notifyWatches()
	})
}

// SetDelay sets how late changes show from now on.
func (l *List) SetDelay(delay time.Duration) { l.set(func() { l.delay = delay }) }

// SetDown makes calls end with 503 and watches end, until it is called with false.
func (l *List) SetDown(down bool) { l.set(func() { l.down = down }) }

// SetReset makes calls and watches be reset, until it is called with false.
func (l *List) SetReset(reset bool) { l.set(func() { l.reset = reset }) }

// SetStale makes it send whole lists of a lower revision, until it is called with false.
func (l *List) SetStale(stale bool) { l.set(func() { l.stale = stale }) }

func (l *List) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.notifyWatches()
}

// Calls is how many calls were received.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Endpoint is the address at which one proxy asks.
type Endpoint struct {
	Address  string
	list     *List
	proxy    judge.ProxyID
	listener net.Listener
	server   *http.Server
	closed   chan struct{}
	once     sync.Once
}

// OpenEndpoint opens an endpoint for a proxy; a port of 0 is any.
func (l *List) OpenEndpoint(proxy judge.ProxyID, address string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Address: listener.Addr().String(), list: l, proxy: proxy, listener: listener, closed: make(chan struct{})}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	go e.server.Serve(listener)
	l.mu.Lock()
	l.endpoints = append(l.endpoints, e)
	l.mu.Unlock()
	return e, nil
}

// Close accepts no new call and ends the open ones after a wait.
func (e *Endpoint) Close(wait time.Duration) {
	e.once.Do(func() {
		e.listener.Close()
		time.AfterFunc(wait, func() {
			close(e.closed)
			e.server.Close()
		})
	})
}

// Close closes all endpoints.
func (l *List) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.endpoints {
		e.Close(0)
	}
}

func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := e.list
	l.mu.Lock()
	l.calls++
	down, reset := l.down, l.reset
	l.mu.Unlock()
	l.judge.SetWatching(l.now(), e.proxy, false)
	switch {
	case reset:
		panic(http.ErrAbortHandler)
	case down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case r.URL.Path != targetsPath:
		http.NotFound(w, r)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // without: the whole list
	if r.URL.Query().Get("watch") != "1" {
		l.mu.Lock()
		a := l.answer(0)
		l.mu.Unlock()
		e.write(w, a)
		return
	}
	l.judge.SetWatching(l.now(), e.proxy, true)
	defer func() { l.judge.SetWatching(l.now(), e.proxy, false) }()
	e.watch(w, r, after)
}

func (e *Endpoint) watch(w http.ResponseWriter, r *http.Request, after uint64) {
	l := e.list
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for isFirst := true; ; isFirst = false {
		l.mu.Lock()
		a, changed, down, reset, stale := l.answer(after), l.changed, l.down, l.reset, l.stale
		if stale {
			a = l.answer(0)
			a.Revision, a.stale = max(after, 2)-1, true
		}
		l.mu.Unlock()
		if reset {
			panic(http.ErrAbortHandler)
		}
		if down {
			return
		}
		if isFirst || len(a.Members) > 0 {
			if !e.write(w, a) {
				return
			}
			after = a.Revision
		}
		if stale { // one list a call; the next call gets it again
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := fmt.Fprintln(w); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		case <-e.closed:
			return
		}
	}
}

// write sends one list, and then reports to the judge what was sent.
func (e *Endpoint) write(w http.ResponseWriter, a answer) bool {
	text, _ := json.Marshal(a) // plain values: it can't fail
	if _, err := w.Write(append(text, '\n')); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	if a.stale { // a list of a lower revision is to be ignored
		return true
	}
	e.reportPublished(a)
	return true
}

// reportPublished reports to the judge which nodes the proxy now knows to be unavailable.
func (e *Endpoint) reportPublished(a answer) {
	phases := map[string]string{}
	for _, m := range a.Members {
		phases[m.ID] = m.Phase
	}
	for i, name := range e.list.names {
		if phase, listed := phases[name]; listed && phase != Ready || a.Complete && !listed {
			e.list.judge.NodePublished(e.list.now(), e.proxy, judge.NodeID(i), true)
		}
	}
}
