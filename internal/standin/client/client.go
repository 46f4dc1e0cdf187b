// Package client simulates the platform's clients: they request sessions, retry, reconnect after a migration or a broken
// connection, and send a line at intervals. It reports what they see to the judge and to latency recorders. It does not
// generate the workload: the caller decides which client arrives when, and with which load.
package client

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/standin/front"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/node"
)

// Behavior is the behavior that all clients of a platform share.
type Behavior struct {
	Retries      int           // after a refusal, a failure or a connection that ended before the answer
	Backoff      time.Duration // before the first retry, doubled each time
	RejoinMin    time.Duration // shortest wait before a reconnect after a migration or a broken connection
	RejoinMax    time.Duration // longest
	MessageEvery time.Duration // interval between a session's lines, 0 for no lines
	PassThrough  bool          // another proxy can resume the sessions of one that has stopped
}

// Request describes one client and the session that it requests. The strings are sent in the first line.
type Request struct {
	ArrivesAt       time.Duration // since the start of the run
	Listener        string
	Tenant          string
	Zone            string
	Key             string
	Group           string
	Terms           judge.Terms
	Lifetime        time.Duration
	Load            node.Load
	LoadChangeEvery time.Duration // on average; 0 for no changes
	Returned        bool          // the client had a session before
}

// Counts are the numbers of sessions and attempts by how they ended. The JSON names are those of the reports.
type Counts struct {
	Sessions           int64 `json:"sessions"` // requested by clients
	Attempts           int64 `json:"tries"`
	Accepted           int64 `json:"accepted"`
	Refused            int64 `json:"refused"`
	Failed             int64 `json:"torn_down"`
	ConnectionLost     int64 `json:"broken"`     // the connection ended without an answer
	Unanswered         int64 `json:"unanswered"` // no answer within the dial timeout
	NoProxy            int64 `json:"no_proxy"`   // no proxy was available, or none accepted the connection
	Interrupted        int64 `json:"stopped"`    // the run ended before the answer
	Migrated           int64 `json:"moved"`      // sessions ended with MOVE
	CutOff             int64 `json:"cut_off"`    // established sessions whose connection ended without MOVE or BYE
	Resumed            int64 `json:"passed"`     // times that a session was resumed through another proxy
	Completed          int64 `json:"completed"`  // sessions ended by their client or with BYE
	Served             int64 `json:"served"`     // sessions that were accepted at least once
	GivenUp            int64 `json:"given_up"`   // sessions that were not accepted at the last retry
	NoSocket           int64 `json:"no_socket"`  // no file descriptor or local port was free
	Messages           int64 `json:"messages"`   // lines sent
	MessagesUnanswered int64 `json:"messages_unanswered"`
}

// Clients runs all clients of a run. It is safe for concurrent use.
type Clients struct {
	now        func() time.Duration
	judge      *judge.Judge
	front      *front.Front
	behavior   Behavior
	Handshakes *load.Recorder // handshakes, from the scheduled time to UP
	Messages   *load.Recorder // lines, from the scheduled time to the echo
	Lateness   *load.Lateness // of attempts and lines against their scheduled times
	// ProxyGone reports whether a proxy was killed or is leaving. It must be set if sessions pass through proxies.
	ProxyGone func(judge.ProxyID) bool

	mu          sync.Mutex // guards all below
	rand        *rand.Rand
	counts      Counts
	established int // sessions that are open now
	nextID      uint64
	idSalt      uint64 // makes the ids of different seeds differ
	plans       map[judge.SessionID]*plan
	disconnects map[*session]func() // drops the connection of an established session
}

// plan is the part of a session that nodes need to know.
type plan struct {
	load            node.Load
	loadChangeEvery time.Duration
}

// New returns the clients of a run. now is the time since its start, window the length of the windows by which latencies
// are recorded, and lateBound the delay beyond which a send counts as late.
func New(seed int64, now func() time.Duration, j *judge.Judge, f *front.Front, b Behavior, window, lateBound time.Duration) *Clients {
	rng := rand.New(rand.NewSource(seed))
	return &Clients{
		now:         now,
		judge:       j,
		front:       f,
		behavior:    b,
		rand:        rng,
		idSalt:      rng.Uint64(),
		Handshakes:  load.NewRecorder(window),
		Messages:    load.NewRecorder(window),
		Lateness:    load.NewLateness(lateBound),
		plans:       map[judge.SessionID]*plan{},
		disconnects: map[*session]func(){},
	}
}

// Plan returns what a node needs to know about a session. For an unknown session it is an empty plan that is not alive.
func (c *Clients) Plan(id judge.SessionID) node.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plans[id]
	if p == nil {
		return node.Plan{Alive: func() bool { return false }}
	}
	alive := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.plans[id] == p
	}
	return node.Plan{Load: p.load, ChangeEvery: p.loadChangeEvery, Alive: alive}
}

// Counts returns the counts so far.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// OpenSessions returns the number of established sessions.
func (c *Clients) OpenSessions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.established
}

// DisconnectShare makes a random share of the connected clients (0 to 1) disconnect at once; they reconnect after a wait.
func (c *Clients) DisconnectShare(share float64) {
	c.mu.Lock()
	var chosen []func()
	for _, disconnect := range c.disconnects {
		if c.rand.Float64() < share {
			chosen = append(chosen, disconnect)
		}
	}
	c.mu.Unlock()
	for _, disconnect := range chosen {
		disconnect()
	}
}

// Run runs one client. It returns when the client's session is over, the client has given up, or the context ends.
func (c *Clients) Run(ctx context.Context, r Request) {
	c.count(&c.counts.Sessions)
	s := &session{clients: c, request: r, remainingLife: r.Lifetime, returned: r.Returned}
	intended, retries, backoff := r.ArrivesAt, 0, c.behavior.Backoff
	for ctx.Err() == nil {
		result, retryAfter := s.attempt(ctx, intended)
		var wait time.Duration
		switch result {
		case done, interrupted:
			return
		case rejoin:
			wait = c.randomDuration(c.behavior.RejoinMin, c.behavior.RejoinMax)
			s.returned, retries, backoff = true, 0, c.behavior.Backoff
		case retry:
			if retries++; retries > c.behavior.Retries {
				c.count(&c.counts.GivenUp)
				return
			}
			wait = max(backoff, retryAfter)
			backoff *= 2
		}
		intended = c.now() + wait
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// count increments a counter under the lock.
func (c *Clients) count(counter *int64) {
	c.mu.Lock()
	*counter++
	c.mu.Unlock()
}

// randomDuration draws a duration between low and high.
func (c *Clients) randomDuration(low, high time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return low + time.Duration(c.rand.Float64()*float64(high-low))
}
