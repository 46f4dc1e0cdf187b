// Package list simulates the discovery service for rehearsals. Each proxy has an endpoint of its own, so that the judge
// learns which proxy was sent which state, and when. The package does not watch nodes: the rehearsal updates the list.
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

// Phases of a member, as on the wire.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Member is one node in the list, in the wire format of discovery.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"` // zone
	Flavor    string  `json:"flavor"`   // kind of machine
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`       // Ready, Draining or Gone
	Size      float64 `json:"size"`        // cores
	UpSinceMs int64   `json:"up_since_ms"` // Unix time in milliseconds, 0 for long ago
	revision  uint64  // of its last change
}

// answer is a complete list, or the changes since a revision.
type answer struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	stale    bool     // made by SetStale: proxies must ignore it
}

const (
	// heartbeat is the interval of the empty lines that a watch sends while nothing changes.
	heartbeat         = 2 * time.Second
	readHeaderTimeout = 5 * time.Second
	targetsPath       = "/api/targets"
)

// List is the simulated discovery service: its members, and the faults that are injected into it.
type List struct {
	now       func() time.Duration
	judge     *judge.Judge
	mu        sync.Mutex
	delay     time.Duration // from an update until proxies can see it
	down      bool          // calls are answered with 503, and watches end
	reset     bool          // calls and watches are reset
	stale     bool          // complete lists of a lower revision are sent
	names     []string      // ids by node
	members   []Member      // by node
	revision  uint64        // of the last change
	changed   chan struct{} // closed and replaced at each change of the list or of the faults
	endpoints []*Endpoint
	calls     int // received so far
}

// New returns a service with the given members, one per node, all of revision 1. Updates become visible after the delay.
func New(now func() time.Duration, j *judge.Judge, delay time.Duration, members []Member) *List {
	l := &List{now: now, judge: j, delay: delay, revision: 1, changed: make(chan struct{})}
	for _, m := range members {
		m.revision = 1
		l.members, l.names = append(l.members, m), append(l.names, m.ID)
	}
	return l
}

// Snapshot returns the complete list as JSON, for a proxy's configuration.
func (l *List) Snapshot() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, _ := json.Marshal(l.listSince(0)) // plain values: it can't fail
	return text
}

// listSince returns the changes after a revision, or the complete list if that is 0 or unknown. The caller must hold l.mu.
func (l *List) listSince(after uint64) answer {
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

// notifyWatches wakes all watches. The caller must hold l.mu.
func (l *List) notifyWatches() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Update changes a member's phase after the service's delay, and also its address and start time unless they are zero.
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

// SetDelay sets the delay of later updates.
func (l *List) SetDelay(delay time.Duration) { l.setBehavior(func() { l.delay = delay }) }

// SetDown makes the service answer calls with 503 and end watches, until it is called with false.
func (l *List) SetDown(down bool) { l.setBehavior(func() { l.down = down }) }

// SetReset makes the service reset the connections of calls and watches, until it is called with false.
func (l *List) SetReset(reset bool) { l.setBehavior(func() { l.reset = reset }) }

// SetStale makes watches send complete lists of a lower revision, until it is called with false.
func (l *List) SetStale(stale bool) { l.setBehavior(func() { l.stale = stale }) }

// setBehavior applies a change under the lock and wakes all watches.
func (l *List) setBehavior(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.notifyWatches()
}

// Calls returns the number of calls received.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Endpoint is the HTTP server through which one proxy reaches the service.
type Endpoint struct {
	Address  string // host:port
	list     *List
	proxy    judge.ProxyID
	listener net.Listener
	server   *http.Server
	closed   chan struct{} // ends the watches
	once     sync.Once     // closes it
}

// OpenEndpoint opens an endpoint for a proxy at an address; port 0 means any free port.
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

// Close stops accepting calls at once, and ends the open ones after a wait. It does not block.
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
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // 0 if missing: the complete list
	if r.URL.Query().Get("watch") != "1" {
		l.mu.Lock()
		a := l.listSince(0)
		l.mu.Unlock()
		e.write(w, a)
		return
	}
	l.judge.SetWatching(l.now(), e.proxy, true)
	defer func() { l.judge.SetWatching(l.now(), e.proxy, false) }()
	e.watch(w, r, after)
}

// watch sends the list after a revision, and then each change, until the call ends.
func (e *Endpoint) watch(w http.ResponseWriter, r *http.Request, after uint64) {
	l := e.list
	heartbeats := time.NewTicker(heartbeat)
	defer heartbeats.Stop()
	for first := true; ; first = false {
		l.mu.Lock()
		a, changed, down, reset, stale := l.listSince(after), l.changed, l.down, l.reset, l.stale
		if stale {
			a = l.listSince(0)
			a.Revision, a.stale = max(after, 2)-1, true
		}
		l.mu.Unlock()
		if reset {
			panic(http.ErrAbortHandler)
		}
		if down {
			return
		}
		if first || len(a.Members) > 0 {
			if !e.write(w, a) {
				return
			}
			after = a.Revision
		}
		if stale { // the watch ends after one stale list; the next one gets it again
			return
		}
		select {
		case <-changed:
		case <-heartbeats.C:
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

// write sends one list, and then reports to the judge what was sent. It returns false if the list could not be sent.
func (e *Endpoint) write(w http.ResponseWriter, a answer) bool {
	text, _ := json.Marshal(a) // plain values: it can't fail
	if _, err := w.Write(append(text, '\n')); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	if a.stale { // proxies must ignore a list of a lower revision
		return true
	}
	e.reportPublished(a)
	return true
}

// reportPublished reports to the judge which nodes are unavailable according to a list that was sent to the proxy.
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
