// Package list is a stand-in for discovery: each proxy has an address of its own to ask, so that it is known what
// each was told and when.
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

type answer struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	stale    bool
}

// heartbeat is how often a watch with no changes brings an empty line.
const heartbeat = 2 * time.Second

// List is the service: what it knows, and how it behaves.
type List struct {
	now       func() time.Duration
	judge     *judge.Judge
	mu        sync.Mutex
	delay     time.Duration // until a change shows
	down      bool          // calls end with 503, watches end
	reset     bool          // calls are reset
	stale     bool          // whole lists of a lower revision are told
	names     []string      // by node
	members   []Member      // the same
	revision  uint64
	changed   chan struct{} // closed at each change, and when the behaviour changes
	endpoints []*Endpoint
	calls     int
}

// New makes a service that knows the members, all as of revision 1.
func New(now func() time.Duration, j *judge.Judge, late time.Duration, members []Member) *List {
	l := &List{now: now, judge: j, delay: late, revision: 1, changed: make(chan struct{})}
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

// answer needs the lock.
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

func (l *List) notifyWatches() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Change has a member's phase, address or start show after the service's lateness.
func (l *List) Update(id judge.NodeID, phase, hostPort string, upSince time.Time) {
	l.mu.Lock()
	late := l.delay
	l.mu.Unlock()
	time.AfterFunc(late, func() {
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

// Late sets how late changes show from now on.
func (l *List) SetDelay(by time.Duration) { l.set(func() { l.delay = by }) }

// Down has calls end with 503 and watches end, until it is called with false.
func (l *List) SetDown(down bool) { l.set(func() { l.down = down }) }

// Cut has calls and watches be reset, until it is called with false.
func (l *List) SetReset(cut bool) { l.set(func() { l.reset = cut }) }

// Stale has it tell whole lists of a lower revision, until it is called with false.
func (l *List) SetStale(stale bool) { l.set(func() { l.stale = stale }) }

func (l *List) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.notifyWatches()
}

// Calls is how many calls came.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Door is the address at which one proxy asks.
type Endpoint struct {
	Address  string
	list     *List
	proxy    judge.ProxyID
	listener net.Listener
	server   *http.Server
	closed   chan struct{}
	once     sync.Once
}

// Open opens an address for a proxy, "" at the one it is given.
func (l *List) OpenEndpoint(proxy judge.ProxyID, address string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Endpoint{Address: listener.Addr().String(), list: l, proxy: proxy, listener: listener, closed: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go d.server.Serve(listener)
	l.mu.Lock()
	l.endpoints = append(l.endpoints, d)
	l.mu.Unlock()
	return d, nil
}

// Close takes no new call and ends the open ones after a wait.
func (d *Endpoint) Close(wait time.Duration) {
	d.once.Do(func() {
		d.listener.Close()
		time.AfterFunc(wait, func() {
			close(d.closed)
			d.server.Close()
		})
	})
}

// Close closes all doors.
func (l *List) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.endpoints {
		d.Close(0)
	}
}

func (d *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := d.list
	l.mu.Lock()
	l.calls++
	down, cut := l.down, l.reset
	l.mu.Unlock()
	l.judge.SetWatching(l.now(), d.proxy, false)
	switch {
	case cut:
		panic(http.ErrAbortHandler)
	case down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case r.URL.Path != "/api/targets":
		http.NotFound(w, r)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // without: the whole list
	if r.URL.Query().Get("watch") != "1" {
		l.mu.Lock()
		a := l.answer(0)
		l.mu.Unlock()
		d.write(w, a)
		return
	}
	l.judge.SetWatching(l.now(), d.proxy, true)
	defer func() { l.judge.SetWatching(l.now(), d.proxy, false) }()
	d.watch(w, r, after)
}

func (d *Endpoint) watch(w http.ResponseWriter, r *http.Request, after uint64) {
	l := d.list
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for isFirst := true; ; isFirst = false {
		l.mu.Lock()
		a, changed, down, cut, stale := l.answer(after), l.changed, l.down, l.reset, l.stale
		if stale {
			a = l.answer(0)
			a.Revision, a.stale = max(after, 2)-1, true
		}
		l.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if down {
			return
		}
		if isFirst || len(a.Members) > 0 {
			if !d.write(w, a) {
				return
			}
			after = a.Revision
		}
		if stale { // said once a call; asked again, it says so again
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
		case <-d.closed:
			return
		}
	}
}

// write writes one list, and then tells the judge what was told.
func (d *Endpoint) write(w http.ResponseWriter, a answer) bool {
	text, _ := json.Marshal(a) // plain values: it can't fail
	if _, err := w.Write(append(text, '\n')); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	if a.stale { // nobody is told anything by a list that is to be passed over
		return true
	}
	phases := map[string]string{}
	for _, m := range a.Members {
		phases[m.ID] = m.Phase
	}
	for i, name := range d.list.names {
		if phase, listed := phases[name]; listed && phase != Ready || a.Complete && !listed {
			d.list.judge.NodePublished(d.list.now(), d.proxy, judge.NodeID(i), true)
		}
	}
	return true
}
