// Package discovery follows the list of servers over HTTP.
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

// Heartbeat is how often a watch with no changes brings an empty line.
const Heartbeat = 2 * time.Second

// SilenceLimit is, by the protocol, how long after a watch has fallen silent what it misses counts as known.
const SilenceLimit = 6 * time.Second

const (
	silence      = Heartbeat * 3 / 2                // without a byte: the watch is dead
	opening      = (SilenceLimit - silence) * 5 / 6 // for the next one to begin; the rest is for one more, as that may say nothing either
	maxListBytes = 4 << 20
)

// What a watch may fail by that has others follow at once: until the next one begins, what has been missed is not known,
// and counts as told soon.
var (
	ErrSilent   = errors.New("the watch fell silent")
	ErrUnopened = errors.New("the watch in place of a silent one did not begin in time")
)

// ErrUnanswered is of any other call that had no answer for as long as it may wait.
var ErrUnanswered = errors.New("the watch did not begin in time")

// Server is one entry of the list.
type Server struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Model     string  `json:"flavor"`
	Cell      uint16  `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs float64 `json:"up_since_ms"`
}

// Phases of a server.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// List is one answer of discovery.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Servers  []Server `json:"members"`
}

// Parse reads one list. A single bad entry spoils it, as the rest can't be trusted then.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return List{}, fmt.Errorf("malformed list: %w", err)
	}
	seen := make(map[string]bool, len(list.Servers))
	for _, s := range list.Servers {
		if _, err := netip.ParseAddrPort(s.HostPort); err != nil && s.Phase != Gone {
			return List{}, fmt.Errorf("server %q has no address: %q", s.ID, s.HostPort)
		}
		switch {
		case s.ID == "" || seen[s.ID]:
			return List{}, fmt.Errorf("server %q is listed without an id or twice", s.ID)
		case s.Phase != Ready && s.Phase != Draining && s.Phase != Gone:
			return List{}, fmt.Errorf("server %q is in unknown phase %q", s.ID, s.Phase)
		case !(s.Size >= 0) || math.IsInf(s.Size, 0):
			return List{}, fmt.Errorf("server %q has size %v", s.ID, s.Size)
		case !(s.UpSinceMs >= 0 && s.UpSinceMs < 1e15):
			return List{}, fmt.Errorf("server %q started at %v", s.ID, s.UpSinceMs)
		}
		seen[s.ID] = true
	}
	return list, nil
}

// Watcher holds at most one watch.
type Watcher struct {
	address string
	client  *http.Client
	execute func(func()) // on the event loop
	list    func(List)
	failed  func(error)
	cancel  context.CancelCauseFunc
	answer  time.Duration // for a watch to begin
	watch   int
	conn    atomic.Pointer[watchConn] // of the watch that has begun, nil for none
}

// New makes a watcher that tells lists and failures on the event loop; answer is how long a watch may take to begin.
func New(address string, connect, answer time.Duration, execute func(func()), list func(List),
	failed func(error)) *Watcher {
	w := &Watcher{address: address, execute: execute, list: list, failed: failed}
	w.Change(connect, answer)
	return w
}

// Change sets other times for the watches to come.
func (w *Watcher) Change(connect, answer time.Duration) {
	w.answer = answer
	w.client = &http.Client{Transport: &http.Transport{DialContext: connector(connect),
		DisableKeepAlives: true, DisableCompression: true}}
}

// connector connects within a time. What fails for a moment is tried again: a call that fails is followed by a pause, in
// which changes count as told.
func connector(within time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		err = failure.Retry(ctx, failure.Connect, nil, func() (err error) {
			conn, err = new(net.Dialer).DialContext(ctx, network, address)
			return err
		})
		if err != nil {
			return nil, err
		}
		return &watchConn{Conn: conn}, nil
	}
}

// Watch starts a watch for what changed after a revision, in place of the one before.
func (w *Watcher) Watch(after uint64) {
	w.start(after, deadline{within: w.answer, missed: ErrUnanswered})
}

// Again does so for one that has fallen silent, and fails with ErrUnopened early enough for one more to begin before
// what is missed counts as told, however long a watch may take otherwise.
func (w *Watcher) Again(after uint64) {
	w.start(after, deadline{within: opening, body: true, missed: ErrUnopened})
}

// deadline is when a watch must have begun.
type deadline struct {
	within time.Duration
	body   bool  // by its first byte after the header: a heartbeat comes well within the opening
	missed error // what it fails with otherwise
}

// start starts a watch that fails unless it begins in time.
func (w *Watcher) start(after uint64, begin deadline) {
	if w.cancel != nil {
		w.cancel(nil)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	w.cancel = cancel
	w.watch++
	mine := w.watch
	tell := func(call func()) {
		w.execute(func() {
			if mine == w.watch { // words of an earlier watch no longer count
				call()
			}
		})
	}
	url := fmt.Sprintf("http://%s/api/targets?watch=1&after=%d", w.address, after)
	client := w.client
	go func() {
		defer cancel(nil)
		err := w.follow(ctx, cancel, client, url, begin, tell)
		if why := context.Cause(ctx); why != nil {
			err = why
		}
		tell(func() { w.failed(err) })
	}()
}

// Move names another address, for the watches to come.
func (w *Watcher) Move(address string) { w.address = address }

// IsDrained reports whether all that has come on the watch was read and handed to the event loop, as tasks that may still wait
// there. It is true where there is no watch.
func (w *Watcher) IsDrained() bool {
	conn := w.conn.Load()
	return conn == nil || conn.isDrained()
}

// Drop ends the watch at hand; nothing of it is told any more.
func (w *Watcher) Drop() {
	w.watch++
	if w.cancel != nil {
		w.cancel(nil)
	}
}

func (w *Watcher) follow(ctx context.Context, cancel context.CancelCauseFunc, client *http.Client, url string,
	begin deadline, tell func(func())) error {
	// Both guard against a machine that is cut off, or takes calls and says nothing.
	begins := time.AfterFunc(begin.within, func() { cancel(begin.missed) })
	defer begins.Stop()
	var conn *watchConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*watchConn)
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", answer.Status)
	}
	if !begin.body {
		begins.Stop()
	}
	w.conn.Store(conn)
	defer w.conn.CompareAndSwap(conn, nil)
	quiet := time.AfterFunc(silence, func() {
		if conn == nil || !conn.hasUnread() { // else this process stood still, and not the watch
			cancel(ErrSilent)
		}
	})
	defer quiet.Stop()
	body := &pulse{from: answer.Body, beat: func() {
		begins.Stop()
		quiet.Reset(silence)
	}}
	lists := json.NewDecoder(body) // an object may stand on one line or on many, or come in any pieces
	for {
		var text json.RawMessage
		if err := lists.Decode(&text); errors.Is(err, io.EOF) {
			return errors.New("the watch ended")
		} else if err != nil {
			return fmt.Errorf("the watch broke: %w", err)
		}
		body.read = 0
		list, err := Parse(text)
		if err != nil {
			return err
		}
		tell(func() { w.list(list) })
	}
}

// pulse tells of each read that brings something, and guards against a list without end.
type pulse struct {
	from io.Reader
	beat func()
	read int // since the last list
}

func (p *pulse) Read(to []byte) (int, error) {
	if p.read > maxListBytes {
		return 0, fmt.Errorf("a list of over %d bytes", maxListBytes)
	}
	n, err := p.from.Read(to)
	if n > 0 {
		p.read += n
		p.beat()
	}
	return n, err
}
