// Package node simulates a push node: a model of what its machine can do, and a server that speaks the platform's lines
// and behaves as the model and the injected faults say. It reports to the judge what arrives and what it ends; it does
// not decide which rules were broken.
package node

import (
	"fmt"
	"math"
	"time"
)

// Machine is what a node can do. Work is measured in seconds of a reference core.
type Machine struct {
	Cores            float64
	Speed            float64       // of a core, relative to the reference core
	HandshakeWork    float64       // work of a new session, in core seconds
	GroupCost        float64       // of each group that the node holds any session of, in MeanLoad
	MeanLoad         float64       // load of an average session, in cores
	ColdFrom         float64       // share of its capacity at the start
	ColdSpan         time.Duration // until it is warm
	OverloadMultiple float64       // it fails when its demand exceeds this times its capacity
	OverloadWindow   time.Duration // for so long while it is cold
	MaxSessions      int
}

// Load is what one session demands of its node.
type Load struct {
	Cores float64
	Group string
}

const (
	// maxAdvance bounds how far the model looks at once, so that a ramp is followed.
	maxAdvance = 100 * time.Millisecond
	// maxDelay bounds what a node that is far behind lets a message wait.
	maxDelay = 5 * time.Second
	// maxUtilization bounds the utilization in the queueing formula, which has no value at 1.
	maxUtilization = 0.95
	// messageWork is a message's own work, in core seconds.
	messageWork = 0.0005
)

// Model is a node's work: demand, capacity and backlog. It has no clock and does no I/O; times are durations since the
// run's start and never go back.
type Model struct {
	machine       Machine
	started       time.Duration
	warm          bool // from the start
	slowdown      float64
	now           time.Duration
	sessionDemand float64 // cores
	groups        map[string]int
	sessions      int
	backlog       float64 // core seconds
	recentDemand  float64 // cores: work of handshakes, and loads that were refused, over about the last second
	overloaded    bool
	overloadStart time.Duration
	failureReason string
}

// NewModel makes a node that starts now; a warm one has run for long.
func NewModel(m Machine, now time.Duration, warm bool) *Model {
	return &Model{machine: m, started: now, warm: warm, slowdown: 1, now: now, groups: map[string]int{}}
}

// Warmth is the share of its full capacity that the node has.
func (m *Model) Warmth() float64 {
	if age := m.now - m.started; !m.warm && age < m.machine.ColdSpan {
		return m.machine.ColdFrom + (1-m.machine.ColdFrom)*float64(age)/float64(m.machine.ColdSpan)
	}
	return 1
}

// Capacity is what it can do at this moment, in reference cores.
func (m *Model) Capacity() float64 {
	return m.machine.Cores * m.machine.Speed * m.Warmth() / m.slowdown
}

// Demand is what its sessions and groups ask for, in cores.
func (m *Model) Demand() float64 {
	return m.sessionDemand + float64(len(m.groups))*m.machine.GroupCost*m.machine.MeanLoad
}

// Sessions is how many sessions it holds.
func (m *Model) Sessions() int { return m.sessions }

// SetSlowdown makes it slower by a factor; 1 is its usual speed.
func (m *Model) SetSlowdown(factor float64) { m.slowdown = factor }

// Advance brings the model to a moment.
func (m *Model) Advance(now time.Duration) {
	for m.now < now {
		step := min(now-m.now, maxAdvance)
		m.now += step
		seconds := step.Seconds()
		m.recentDemand *= math.Exp(-seconds)
		m.backlog = max(m.backlog+(m.Demand()-m.Capacity())*seconds, 0)
		m.checkOverload()
	}
}

// checkOverload applies the cold rule.
func (m *Model) checkOverload() {
	capacity := m.Capacity() * m.slowdown // a slow neighbour does not count
	demand := m.Demand() + m.recentDemand
	overloaded := m.Warmth() < 1 && demand > m.machine.OverloadMultiple*capacity
	if overloaded && !m.overloaded {
		m.overloadStart = m.now
	}
	m.overloaded = overloaded
	if overloaded && m.failureReason == "" && m.now-m.overloadStart >= m.machine.OverloadWindow {
		m.failureReason = fmt.Sprintf("asked for %.2f cores, over %.1f times the %.2f it could do, for %v",
			demand, m.machine.OverloadMultiple, capacity, m.machine.OverloadWindow)
	}
}

// FailureReason is why the node has failed by overload, "" where it has not.
func (m *Model) FailureReason() string { return m.failureReason }

// BeginHandshake takes a session's handshake: its work joins the backlog before it is answered.
func (m *Model) BeginHandshake() {
	m.backlog += m.machine.HandshakeWork
	m.recentDemand += m.machine.HandshakeWork
}

// Refuse counts a session that is refused: the cold rule counts what is sent, also what can't be accepted.
func (m *Model) Refuse(l Load) { m.recentDemand += l.Cores }

// Full reports whether it holds as many sessions as it can.
func (m *Model) Full() bool { return m.sessions >= m.machine.MaxSessions }

// Add takes an established session.
func (m *Model) Add(l Load) {
	m.sessions++
	m.sessionDemand += l.Cores
	if l.Group != "" {
		m.groups[l.Group]++
	}
}

// Remove releases a session.
func (m *Model) Remove(l Load) {
	m.sessions--
	m.sessionDemand = max(m.sessionDemand-l.Cores, 0)
	if m.groups[l.Group]--; m.groups[l.Group] <= 0 {
		delete(m.groups, l.Group)
	}
}

// Change gives a session another load.
func (m *Model) Change(from, to float64) { m.sessionDemand = max(m.sessionDemand-from+to, 0) }

// Delay is how long a message that arrives now waits: for the backlog, and as in a queue with random service times,
// growing as demand nears capacity.
func (m *Model) Delay() time.Duration {
	capacity := m.Capacity()
	utilization := min(m.Demand()/capacity, maxUtilization)
	queueing := messageWork / (m.machine.Speed / m.slowdown) * utilization / (1 - utilization)
	seconds := m.backlog/capacity + queueing
	return min(time.Duration(seconds*float64(time.Second)), maxDelay)
}
