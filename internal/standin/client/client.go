// Package client simulates the platform's clients: they request sessions, retry, reconnect after a migration or a broken
// connection, and send a line at intervals. It reports what they see to the judge and to recorders of latencies. It
// draws no workload: who arrives when, and with which load, is the caller's.
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

// Behavior is what all clients of a platform have in common.
type Behavior struct {
	Retries      int           // after a refusal, a failure or a connection that ended before the answer
	Backoff      time.Duration // before a retry, doubled each time
	RejoinMin    time.Duration // after a migration or a broken connection
	RejoinMax    time.Duration
	MessageEvery time.Duration // 0: none
	PassThrough  bool          // sessions pass through proxies and outlive them
}

// Request is what one client asks for.
type Request struct {
	ArrivesAt       time.Duration // since the run's start
	Listener        string
	Tenant          string
	Zone            string
	Key             string
	Group           string
	Terms           judge.Terms
	Lifetime        time.Duration
	Load            node.Load
	LoadChangeEvery time.Duration // on average; 0 for never
	Returned        bool          // the client had a session before
}

// Counts are how sessions and attempts ended. The names in JSON are those of the reports.
type Counts struct {
	Sessions           int64 `json:"sessions"` // that clients requested
	Attempts           int64 `json:"tries"`
	Accepted           int64 `json:"accepted"`
	Refused            int64 `json:"refused"`
	Failed             int64 `json:"torn_down"`
	ConnectionLost     int64 `json:"broken"`     // ended without an answer, as the proxy died
	Unanswered         int64 `json:"unanswered"` // given up at the dial timeout
	NoProxy            int64 `json:"no_proxy"`   // nobody to connect to, or it refused the connection
	Interrupted        int64 `json:"stopped"`    // waited for an answer when the run ended
	Migrated           int64 `json:"moved"`
	CutOff             int64 `json:"cut_off"` // established sessions that ended without a line
	Resumed            int64 `json:"passed"`  // that continued by another proxy
	Completed          int64 `json:"completed"`
	Served             int64 `json:"served"`   // sessions that were accepted at least once
	GivenUp            int64 `json:"given_up"` // after the last retry
	NoSocket           int64 `json:"no_socket"`
	Messages           int64 `json:"messages"`
	MessagesUnanswered int64 `json:"messages_unanswered"`
}

// Clients are all clients of a run.
type Clients struct {
	now      func() time.Duration
	judge    *judge.Judge
	front    *front.Front
	behavior Behavior
	Connects *load.Recorder // handshakes, from the intended time to UP
	Messages *load.Recorder // lines, from the intended time to the echo
	Lateness *load.Lateness
	// ProxyGone reports whether a proxy was killed or is leaving; it must be set where sessions pass through.
	ProxyGone func(judge.ProxyID) bool

	mu          sync.Mutex // guards all below
	rand        *rand.Rand
	counts      Counts
	established int
	nextID      uint64
	idSalt      uint64
	plans       map[judge.SessionID]*plan
	disconnects map[*session]func()
}

// plan is what the nodes have to know of a session.
type plan struct {
	load            node.Load
	loadChangeEvery time.Duration
}

// New makes the clients of a run.
func New(seed int64, now func() time.Duration, j *judge.Judge, f *front.Front, b Behavior, window, lateBound time.Duration) *Clients {
	rng := rand.New(rand.NewSource(seed))
	return &Clients{
		now:         now,
		judge:       j,
		front:       f,
		behavior:    b,
		rand:        rng,
		idSalt:      rng.Uint64(),
		Connects:    load.NewRecorder(window),
		Messages:    load.NewRecorder(window),
		Lateness:    load.NewLateness(lateBound),
		plans:       map[judge.SessionID]*plan{},
		disconnects: map[*session]func(){},
	}
}

// Plan is what a node has to know of a session.
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

// Counts returns how sessions ended so far.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Open is how many sessions are established.
func (c *Clients) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.established
}

// Drop makes a share of the connected clients disconnect at once; they reconnect after a wait.
func (c *Clients) Drop(share float64) {
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

// Run is one client, from its first attempt to its end. It returns when the client has what it wants, has given up, or
// the context ends.
func (c *Clients) Run(ctx context.Context, r Request) {
	c.count(&c.counts.Sessions)
	s := &session{clients: c, request: r, lifeLeft: r.Lifetime, returned: r.Returned}
	intended, retries, backoff := r.ArrivesAt, 0, c.behavior.Backoff
	for ctx.Err() == nil {
		result, retryAfter := s.attempt(ctx, intended)
		var wait time.Duration
		switch result {
		case done, interrupted:
			return
		case rejoin:
			wait = c.between(c.behavior.RejoinMin, c.behavior.RejoinMax)
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

// count adds one to a counter.
func (c *Clients) count(counter *int64) {
	c.mu.Lock()
	*counter++
	c.mu.Unlock()
}

// between draws a duration.
func (c *Clients) between(low, high time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return low + time.Duration(c.rand.Float64()*float64(high-low))
}
