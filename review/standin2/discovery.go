package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one entry of the list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
	revision  uint64
}

// list is one message of discovery.
type list struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the service with the list of servers.
type discovery struct {
	play    *play
	address string
	// callTime is how long discovery works on a call; it works through calls in turn.
	callTime time.Duration
	// callTimeout is how long a call may take in all; then it is answered 503.
	callTimeout time.Duration
	turn        chan struct{} // holds one token: whoever has it is served; goroutines get it in the order in which they ask

	mu       sync.Mutex
	revision uint64
	members  []member
	down     bool          // calls are answered 503 at once, and watches end
	silences int           // how often all open watches fell silent
	changed  chan struct{} // closed and replaced at each change
}

// newDiscovery starts the service at a free loopback address. All members have revision 10.
func (p *play) newDiscovery(callTime, callTimeout time.Duration, members []member) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{play: p, address: listener.Addr().String(), callTime: callTime, callTimeout: callTimeout, revision: 10,
		turn: make(chan struct{}, 1), changed: make(chan struct{})}
	d.turn <- struct{}{}
	for _, m := range members {
		m.revision = d.revision
		d.members = append(d.members, m)
	}
	go http.Serve(listener, d)
	return d, nil
}

// since returns the changes after a revision, or the whole list.
func (d *discovery) since(after uint64) list {
	l := list{Revision: d.revision, Complete: after == 0 || after > d.revision, Members: []member{}}
	for _, m := range d.members {
		if l.Complete && m.Phase != "gone" || !l.Complete && m.revision > after {
			l.Members = append(l.Members, m)
		}
	}
	return l
}

// known returns the whole list as a proxy has it now.
func (d *discovery) known() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0)
}

// set changes a member's phase.
func (d *discovery) set(id, phase string) {
	d.change(func() {
		d.revision++
		for i := range d.members {
			if d.members[i].ID == id {
				d.members[i].Phase, d.members[i].revision = phase, d.revision
			}
		}
		d.play.logf("discovery: revision %d, %s is %s", d.revision, id, phase)
	})
}

// setDown has the service go down, or come back.
func (d *discovery) setDown(down bool) {
	d.change(func() {
		d.down = down
		d.play.logf("discovery: down %v", down)
	})
}

// silence has all open watches fall silent, after a last empty line.
func (d *discovery) silence() {
	d.change(func() {
		d.silences++
		d.play.logf("discovery: the open watches fall silent")
	})
}

func (d *discovery) change(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply()
	close(d.changed)
	d.changed = make(chan struct{})
}

// heartbeat is the interval of empty lines on a watch without changes.
const heartbeat = 2 * time.Second

// serveInTurn waits for a call's turn and works on it. It returns false if the call fails: it takes too long, or discovery is down.
func (d *discovery) serveInTurn(r *http.Request) bool {
	timeout := time.After(d.callTimeout)
	isDown := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.down
	}
	if isDown() {
		return false
	}
	select {
	case <-d.turn:
		defer func() { d.turn <- struct{}{} }()
	case <-timeout:
		return false
	case <-r.Context().Done():
		return false
	}
	select {
	case <-time.After(d.callTime):
		return !isDown()
	case <-timeout:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	who := r.RemoteAddr
	calledAt := d.play.now()
	d.play.logf("discovery: call %s of %s", r.URL.RequestURI(), who)
	fail := func() {
		if r.Context().Err() != nil {
			d.play.logf("discovery: %s has given its call up after %.3f s", who, (d.play.now() - calledAt).Seconds())
			return
		}
		d.play.logf("discovery: 503 to %s after %.3f s", who, (d.play.now() - calledAt).Seconds())
		http.Error(w, "not now", http.StatusServiceUnavailable)
	}
	if !d.serveInTurn(r) {
		fail()
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	d.mu.Lock()
	silences := d.silences
	d.mu.Unlock()
	isWatch := r.URL.Query().Get("watch") == "1"
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		l, down, changed, isSilent := d.since(after), d.down, d.changed, d.silences > silences
		d.mu.Unlock()
		if isSilent {
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			d.play.logf("discovery: %s has given its silent watch up", who)
			return
		}
		if down {
			return
		}
		if first || len(l.Members) > 0 {
			text, _ := json.Marshal(l) // plain values: it can't fail
			if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			d.play.logf("discovery: revision %d is written to %s", l.Revision, who)
			after = l.Revision
		}
		if !isWatch {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}
