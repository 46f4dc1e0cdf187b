// Package discovery watches the list of servers that the discovery service serves over HTTP. It keeps at most one
// streaming request (a watch) open, parses and validates each list on it, and hands lists and failures to the proxy's
// event loop. It doesn't keep the servers and doesn't decide when to retry: its user starts the next watch.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"chalkferry/internal/failure"
)

// Heartbeat is the interval at which discovery sends an empty line on a watch that has no changes.
const Heartbeat = 2 * time.Second

// StalenessLimit is the protocol's bound on the age of the proxy's list: a change counts as known to the proxy this long
// after its watch stopped receiving data, whether or not a new watch has started by then.
const StalenessLimit = 6 * time.Second

const (
	// heartbeatTimeout is the time without a received byte after which a watch counts as dead.
	heartbeatTimeout = Heartbeat * 3 / 2
	// replacementTimeout is how long the watch that replaces a dead one may take to start. What remains of StalenessLimit
	// is for one more watch, as discovery may not answer the replacement either.
	replacementTimeout = (StalenessLimit - heartbeatTimeout) * 5 / 6
	// maxListBytes bounds the encoded size of one list, and so the memory that a faulty discovery can take up.
	maxListBytes = 4 << 20
)

// Failures after which the caller starts the next watch without a pause: changes that were missed stay unknown until that
// watch starts, and count as known to the proxy once StalenessLimit has passed.
var (
	// ErrHeartbeatTimeout is the failure of a watch that received no byte for longer than a heartbeat may take.
	ErrHeartbeatTimeout = errors.New("the watch fell silent")
	// ErrReplacementTimeout is the failure of a watch of ReplaceSilent that did not start in time.
	ErrReplacementTimeout = errors.New("the watch in place of a silent one did not begin in time")
)

// ErrStartTimeout is the failure of a watch of Watch that did not start within the start timeout.
var ErrStartTimeout = errors.New("the watch did not begin in time")

// Server is one entry of the list.
type Server struct {
	ID        string  `json:"id"`          // unique within the list
	HostPort  string  `json:"host_port"`   // IP address and port; may be empty for a server that is gone
	Zone      string  `json:"locality"`    // availability zone
	Model     string  `json:"flavor"`      // hardware model
	Cell      uint16  `json:"cell"`        // cell number; the servers of a cell may share the detection of repeated sessions
	Phase     string  `json:"phase"`       // Ready, Draining or Gone
	Size      float64 `json:"size"`        // capacity relative to other servers; 0 if unknown
	UpSinceMs float64 `json:"up_since_ms"` // start time in Unix milliseconds; 0 if unknown
}

// Values of Server.Phase.
const (
	Ready    = "ready"    // accepts new sessions
	Draining = "draining" // keeps its sessions and accepts no new ones
	Gone     = "gone"     // has left service
)

// List is one message of discovery: the complete list of servers, or the entries that changed.
type List struct {
	Revision uint64   `json:"revision"` // of the list after this message; it never decreases
	Complete bool     `json:"complete"` // whether servers that are not in Servers are gone
	Servers  []Server `json:"members"`
}

// Parse decodes and validates one list. A single invalid entry makes it fail, as the other entries can't be trusted then.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return List{}, fmt.Errorf("malformed list: %w", err)
	}
	seen := make(map[string]bool, len(list.Servers))
	for _, s := range list.Servers {
		if _, err := netip.ParseAddrPort(s.HostPort); err != nil && s.Phase != Gone {
			return List{}, fmt.Errorf("server %q has an invalid address %q", s.ID, s.HostPort)
		}
		switch {
		case s.ID == "" || seen[s.ID]:
			return List{}, fmt.Errorf("server %q has an empty or duplicate id", s.ID)
		case s.Phase != Ready && s.Phase != Draining && s.Phase != Gone:
			return List{}, fmt.Errorf("server %q has unknown phase %q", s.ID, s.Phase)
		case !(s.Size >= 0) || math.IsInf(s.Size, 0):
			return List{}, fmt.Errorf("server %q has invalid size %v", s.ID, s.Size)
		case !(s.UpSinceMs >= 0 && s.UpSinceMs < 1e15):
			return List{}, fmt.Errorf("server %q started at %v", s.ID, s.UpSinceMs)
		}
		seen[s.ID] = true
	}
	return list, nil
}

// Watcher keeps at most one watch open and reports its lists and its failure on the event loop. Its methods must be called
// on that loop, except IsDrained.
type Watcher struct {
	// OnConfirmed, if not nil, is called on the event loop for each list, before it is reported, and for each heartbeat: discovery
	// had sent all that it had when they arrived. It must be set before the first watch.
	OnConfirmed  func(Reception)
	address      string // host and port of discovery
	client       *http.Client
	execute      func(func()) // schedules a call on the event loop
	onList       func(List)
	onFailure    func(error)
	cancel       context.CancelCauseFunc   // ends the current watch; nil before the first one
	startTimeout time.Duration             // for a watch to be answered
	watchNumber  int                       // of the current watch; calls from watches with another number are dropped
	activeConn   atomic.Pointer[watchConn] // of the watch that has started, nil for none
}

// New returns a watcher of the discovery service at address that has no watch yet. It calls onList and onFailure on the
// event loop, by way of execute. connectTimeout bounds the connection attempts of a watch, startTimeout the time until
// discovery answers it.
func New(address string, connectTimeout, startTimeout time.Duration, execute func(func()), onList func(List),
	onFailure func(error)) *Watcher {
	w := &Watcher{address: address, execute: execute, onList: onList, onFailure: onFailure}
	w.SetTimeouts(connectTimeout, startTimeout)
	return w
}

// SetTimeouts changes the timeouts of the watches started from now on.
func (w *Watcher) SetTimeouts(connectTimeout, startTimeout time.Duration) {
	w.startTimeout = startTimeout
	w.client = &http.Client{Transport: &http.Transport{DialContext: dialer(connectTimeout),
		DisableKeepAlives: true, DisableCompression: true}}
}

// dialer returns a dial function with a timeout. It retries transient failures within that timeout: a watch that fails is
// followed by a pause, and during the pause changes count as known to the proxy.
func dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var attemptedAt time.Time
		err = failure.Retry(ctx, failure.Connect, nil, func() (err error) {
			attemptedAt = time.Now()
			conn, err = new(net.Dialer).DialContext(ctx, network, address)
			return err
		})
		if err != nil {
			return nil, connectFailure(err, attemptedAt)
		}
		return &watchConn{Conn: conn, connectedAt: time.Now()}, nil
	}
}

// Watch starts a watch for the changes after a revision and ends the current watch. It fails with ErrStartTimeout if
// discovery doesn't answer within the start timeout.
func (w *Watcher) Watch(after uint64) {
	w.startWatch(after, startDeadline{timeout: w.startTimeout, timeoutErr: ErrStartTimeout})
}

// ReplaceSilent starts a watch in place of one that failed with ErrHeartbeatTimeout. Whatever the start timeout, it fails
// with ErrReplacementTimeout early enough for one more watch to start before StalenessLimit has passed.
func (w *Watcher) ReplaceSilent(after uint64) {
	w.startWatch(after, startDeadline{timeout: replacementTimeout, needsBody: true, timeoutErr: ErrReplacementTimeout})
}

// startDeadline says by when a watch must have started.
type startDeadline struct {
	timeout time.Duration
	// needsBody requires a byte of the body, not only the response header. A heartbeat is due well within replacementTimeout.
	needsBody  bool
	timeoutErr error // the failure of a watch that misses the deadline
}

// startWatch replaces the current watch with one for the changes after a revision, which fails unless it starts in time.
func (w *Watcher) startWatch(after uint64, deadline startDeadline) {
	if w.cancel != nil {
		w.cancel(nil)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	w.cancel = cancel
	w.watchNumber++
	number := w.watchNumber
	executeIfCurrent := func(call func()) {
		w.execute(func() {
			if number == w.watchNumber { // lists and failures of replaced or stopped watches are dropped
				call()
			}
		})
	}
	url := fmt.Sprintf("http://%s/api/targets?watch=1&after=%d", w.address, after)
	client := w.client
	go func() {
		defer cancel(nil)
		err := w.receiveLists(ctx, cancel, client, url, deadline, executeIfCurrent)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		executeIfCurrent(func() { w.onFailure(err) })
	}()
}

// SetAddress sets the address of discovery for the watches started from now on.
func (w *Watcher) SetAddress(address string) { w.address = address }

// IsDrained reports whether all data received on the watch was read and handed to the event loop, where calls for it may
// still be queued. It is true if there is no watch. It may be called from any goroutine.
func (w *Watcher) IsDrained() bool {
	conn := w.activeConn.Load()
	return conn == nil || conn.isDrained()
}

// Stop ends the current watch, if any. None of its lists and failures are reported any more.
func (w *Watcher) Stop() {
	w.watchNumber++
	if w.cancel != nil {
		w.cancel(nil)
	}
}

// receiveLists sends the request of a watch and reports each list that arrives until the watch fails. It always returns
// an error; if it cancelled the context itself, the failure is the context's cause instead.
func (w *Watcher) receiveLists(ctx context.Context, cancel context.CancelCauseFunc, client *http.Client, url string,
	deadline startDeadline, executeIfCurrent func(func())) error {
	// startTimer and silenceTimer guard against a machine that is cut off, or that accepts requests and sends nothing.
	startTimer := time.AfterFunc(deadline.timeout, func() { cancel(deadline.timeoutErr) })
	defer startTimer.Stop()
	var conn *watchConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*watchConn)
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return callFailure(err, conn)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return callFailure(fmt.Errorf("discovery answers %s", response.Status), conn)
	}
	if !deadline.needsBody {
		startTimer.Stop()
	}
	w.activeConn.Store(conn)
	defer w.activeConn.CompareAndSwap(conn, nil)
	silenceTimer := time.AfterFunc(heartbeatTimeout, func() {
		// With unread data it is this process that stood still, and not discovery.
		if conn == nil || !conn.hasUnread() {
			cancel(ErrHeartbeatTimeout)
		}
	})
	defer silenceTimer.Stop()
	confirm := func(received Reception) {
		if w.OnConfirmed != nil {
			w.OnConfirmed(received)
		}
	}
	body := &listReader{source: response.Body, onData: func() {
		startTimer.Stop()
		silenceTimer.Reset(heartbeatTimeout)
	}, onHeartbeat: func() {
		received := conn.lastReception()
		executeIfCurrent(func() { confirm(received) })
	}}
	decoder := json.NewDecoder(body) // accepts a list on one line or on several, in pieces of any size
	for {
		var text json.RawMessage
		if err := decoder.Decode(&text); errors.Is(err, io.EOF) {
			return ErrWatchEnded
		} else if err != nil {
			return fmt.Errorf("%w: %w", ErrWatchEnded, err)
		}
		body.beginList(decoder.Buffered())
		list, err := Parse(text)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrWatchEnded, err)
		}
		received := conn.lastReception()
		executeIfCurrent(func() {
			confirm(received)
			w.onList(list)
		})
	}
}
