// Package judge checks the events on a simulated platform's sockets against the four rules that a proxy must keep: no
// session is lost, no session takes effect twice, drains are respected, and no cold node is overloaded. The simulated
// clients, nodes and discovery report events to it; the rehearsal reads the violations.
//
// The package has no clock and does no I/O: each call states when its event happened, as a duration since the start of
// the run. Calls may come from any goroutine. The two ends of a session are observed by different goroutines, so an event
// at one end may be reported after a later event at the other. Decisions that depend on the order of such events are made
// in Check, once the leeway has passed. The package does not measure latency, and a violation does not end the run.
package judge

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// SessionID is the id that a client sent in the first line of its connection.
	SessionID string
	// NodeID is a node's zero-based index in the platform.
	NodeID int
	// ProxyID is a proxy's zero-based index.
	ProxyID int
	// DialIndex is the zero-based index of a dial among those of its session. Only a complete first line that arrived
	// at a node counts as a dial.
	DialIndex int
)

// Values of a violation that concerns no particular node or proxy.
const (
	noNode  NodeID  = -1
	noProxy ProxyID = -1
)

// Place is where a node runs. It decides which nodes recognise each other's referenced sessions.
type Place struct{ Zone, Cell string }

// Judge checks the rules. It keeps the state of sessions that are not over yet, and the violations found so far.
type Judge struct {
	mu                     sync.Mutex
	leeway                 time.Duration // added to each time limit, for delays of the observers
	drainGrace             time.Duration // for which a proxy may still dial a node after it was sent the drain
	maxPollInterval        time.Duration // after which a proxy that does not watch should have learnt of a change; 0: not checked
	sessionsOutliveProxies bool          // another proxy can carry on the sessions of one that has stopped
	clientsOnly            bool          // nodes are not simulated, so nothing is reported about them
	places                 []Place       // by node
	sessions               map[SessionID]*session
	nodes                  map[NodeID]*nodeState
	proxies                map[ProxyID]*proxy
	pending                []pendingCheck
	violations             []Violation
	counts                 map[Rule]int
}

// pendingCheck is a decision that is put off, as events before dueAt may still be reported.
type pendingCheck struct {
	dueAt time.Duration
	check func(now time.Duration)
}

// New returns a judge for nodes at the given places. The leeway is added to each time limit. Proxies may dial a draining
// node for drainGrace after they were sent the drain, and must poll discovery every pollInterval unless they watch it.
// passThrough says that sessions pass through proxies and outlive them.
func New(leeway, drainGrace, pollInterval time.Duration, passThrough bool, places []Place) *Judge {
	return &Judge{
		leeway:                 leeway,
		drainGrace:             drainGrace,
		maxPollInterval:        pollInterval,
		sessionsOutliveProxies: passThrough,
		places:                 places,
		sessions:               map[SessionID]*session{},
		nodes:                  map[NodeID]*nodeState{},
		proxies:                map[ProxyID]*proxy{},
		counts:                 map[Rule]int{},
	}
}

// ObserveClientsOnly turns off the checks that need reports from nodes, for runs against nodes that are not simulated:
// the receipts that they issue and the times at which they end sessions are unknown. It must be called before the run.
func (j *Judge) ObserveClientsOnly() { j.clientsOnly = true }

// NodeOverloaded reports that a cold node was sent too much load for too long.
func (j *Judge) NodeOverloaded(now time.Duration, node NodeID, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report(now, ColdNodeOverloaded, "", node, noProxy, "%s", reason)
}

// Check makes the pending decisions that are due.
func (j *Judge) Check(now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pending := j.pending
	j.pending = nil
	for _, p := range pending {
		if p.dueAt > now {
			j.pending = append(j.pending, p)
		} else {
			p.check(now)
		}
	}
}

// Violations returns the first maxViolations violations in detail, and the number of all violations by rule.
func (j *Judge) Violations() ([]Violation, map[Rule]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations), maps.Clone(j.counts)
}

// report records a violation. The caller must hold j.mu.
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

// schedule puts off a decision to the first Check at or after due. The caller must hold j.mu.
func (j *Judge) schedule(due time.Duration, check func(now time.Duration)) {
	j.pending = append(j.pending, pendingCheck{due, check})
}
