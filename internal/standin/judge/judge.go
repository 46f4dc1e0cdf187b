// Package judge checks what passed on a platform's sockets against the four rules that a proxy keeps: no session lost,
// no effect applied twice, drains respected, no cold node overloaded. The simulated clients, nodes and discovery report
// to it what they see; a rehearsal reads the violations.
//
// It has no clock and does no I/O: every call says when it happened, as a duration since the start of the run. Calls may
// come from any goroutine. The two ends of a session are observed by two readers, so an event at one end may be reported
// after a later event at the other. Whatever depends on such an order is decided after the leeway, in Check. The package
// does not measure latency, and a violation does not end the run.
package judge

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// SessionID is the id that a client gave in its first line.
	SessionID string
	// NodeID is a node's index in the platform, from 0.
	NodeID int
	// ProxyID is a proxy's index, from 0.
	ProxyID int
	// Dial is the index of one first line that arrived whole at a node, among those of its session.
	Dial int
)

// No node or proxy is concerned by a violation.
const (
	noNode  NodeID  = -1
	noProxy ProxyID = -1
)

// Place is where a node runs, which decides who recognises its repeated sessions.
type Place struct{ Zone, Cell string }

// Judge holds what is needed to check the sessions that are not over yet.
type Judge struct {
	mu           sync.Mutex
	leeway       time.Duration
	drainGrace   time.Duration // for dials after a drain was published
	pollInterval time.Duration // a proxy that neither watches nor polls is taken to know a change after this
	passThrough  bool          // sessions pass through proxies and outlive them
	clientsOnly  bool          // only clients are observed
	places       []Place
	sessions     map[SessionID]*session
	nodes        map[NodeID]*nodeState
	proxies      map[ProxyID]*proxy
	pending      []pendingCheck
	violations   []Violation
	counts       map[Rule]int
}

// pendingCheck is a decision that waits for reports which may still come.
type pendingCheck struct {
	due   time.Duration
	check func(now time.Duration)
}

// New makes a judge. Each limit of time is extended by the leeway.
func New(leeway, drainGrace, pollInterval time.Duration, passThrough bool, places []Place) *Judge {
	return &Judge{
		leeway:       leeway,
		drainGrace:   drainGrace,
		pollInterval: pollInterval,
		passThrough:  passThrough,
		places:       places,
		sessions:     map[SessionID]*session{},
		nodes:        map[NodeID]*nodeState{},
		proxies:      map[ProxyID]*proxy{},
		counts:       map[Rule]int{},
	}
}

// ObserveClientsOnly says that the servers are not simulated: which receipts they issued, and when they ended a session,
// is unknown.
func (j *Judge) ObserveClientsOnly() { j.clientsOnly = true }

// NodeOverloaded reports that a node that had just started was sent too much for too long.
func (j *Judge) NodeOverloaded(now time.Duration, node NodeID, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report(now, ColdNodeOverloaded, "", node, noProxy, "%s", reason)
}

// Check decides whatever has become due.
func (j *Judge) Check(now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pending := j.pending
	j.pending = nil
	for _, p := range pending {
		if p.due > now {
			j.pending = append(j.pending, p)
		} else {
			p.check(now)
		}
	}
}

// Violations returns the violations so far, the first of them in detail, and how often each rule was broken.
func (j *Judge) Violations() ([]Violation, map[Rule]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations), maps.Clone(j.counts)
}

// report records a violation. It needs the lock.
func (j *Judge) report(now time.Duration, rule Rule, id SessionID, node NodeID, proxy ProxyID, format string, args ...any) {
	j.counts[rule]++
	if len(j.violations) >= maxViolations {
		return
	}
	j.violations = append(j.violations, Violation{
		Rule:    rule,
		Session: id,
		Node:    node,
		Proxy:   proxy,
		AtMs:    float64(now) / float64(time.Millisecond),
		Text:    fmt.Sprintf(format, args...),
	})
}

// after schedules a decision for the first Check at or after a time. It needs the lock.
func (j *Judge) after(due time.Duration, check func(now time.Duration)) {
	j.pending = append(j.pending, pendingCheck{due, check})
}
