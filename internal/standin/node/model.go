// Package node simulates a push node: a model of its machine's capacity and load, and a TCP server that speaks the
// platform's line protocol with the delays of the model and the injected faults. It reports arriving dials and ended
// sessions to the judge; it does not decide which rules were broken.
package node

import (
	"fmt"
	"math"
	"time"
)

// Machine describes a node's capacity and costs. Work is measured in core seconds, that is seconds of a reference core.
type Machine struct {
	Cores            float64
	Speed            float64       // of a core, relative to the reference core
	HandshakeWork    float64       // work of a new session, in core seconds
	GroupCost        float64       // of each group with a session on the node, as a multiple of MeanLoad
	MeanLoad         float64       // load of an average session, in cores
	ColdFrom         float64       // share of full capacity at the start, 0 to 1
	ColdSpan         time.Duration // after which it has full capacity; until then capacity grows linearly
	OverloadMultiple float64       // while cold it fails when its demand exceeds this multiple of its capacity
	OverloadWindow   time.Duration // without a break for this long
	MaxSessions      int           // beyond which it refuses sessions
}

// Load is the demand of one session on its node.
type Load struct {
	Cores float64
	Group string // "" for none
}

const (
	// maxAdvanceStep bounds one step of the simulation, so that the growth of a cold node's capacity is followed.
	maxAdvanceStep = 100 * time.Millisecond
	// maxDelay bounds the simulated delay of a message on an overloaded node.
	maxDelay = 5 * time.Second
	// maxUtilization bounds the utilization in the queueing formula, which is undefined at 1.
	maxUtilization = 0.95
	// messageWork is the work of one message, in core seconds.
	messageWork = 0.0005
)

// Model simulates a node's demand, capacity and backlog of work. It has no clock and does no I/O; times are durations
// since the start of the run and never decrease. It is not safe for concurrent use.
type Model struct {
	machine         Machine
	startedAt       time.Duration
	startedWarm     bool // full capacity from the start
	slowdown        float64
	now             time.Duration
	sessionDemand   float64 // cores
	groups          map[string]int
	sessions        int
	backlog         float64 // work that is not done yet, in core seconds
	recentDemand    float64 // cores: work of handshakes and refused loads, decaying with a time constant of one second
	overloaded      bool    // demand is over the limit of the cold rule
	overloadedSince time.Duration
	failureReason   string // "" unless it has failed
}

// NewModel returns the model of a node that starts now; a warm one has full capacity at once.
func NewModel(m Machine, now time.Duration, warm bool) *Model {
	return &Model{machine: m, startedAt: now, startedWarm: warm, slowdown: 1, now: now, groups: map[string]int{}}
}

// Warmth returns the share of full capacity that the node has, 1 once it is warm.
func (m *Model) Warmth() float64 {
	if age := m.now - m.startedAt; !m.startedWarm && age < m.machine.ColdSpan {
		return m.machine.ColdFrom + (1-m.machine.ColdFrom)*float64(age)/float64(m.machine.ColdSpan)
	}
	return 1
}

// Capacity returns the node's current capacity, in reference cores.
func (m *Model) Capacity() float64 {
	return m.machine.Cores * m.machine.Speed * m.Warmth() / m.slowdown
}

// Demand returns the demand of the node's sessions and groups, in cores.
func (m *Model) Demand() float64 {
	return m.sessionDemand + float64(len(m.groups))*m.machine.GroupCost*m.machine.MeanLoad
}

// Sessions returns the number of sessions on the node.
func (m *Model) Sessions() int { return m.sessions }

// SetSlowdown divides the node's speed by a factor; 1 restores its usual speed.
func (m *Model) SetSlowdown(factor float64) { m.slowdown = factor }

// Advance simulates the time up to now.
func (m *Model) Advance(now time.Duration) {
	for m.now < now {
		step := min(now-m.now, maxAdvanceStep)
		m.now += step
		seconds := step.Seconds()
		m.recentDemand *= math.Exp(-seconds)
		m.backlog = max(m.backlog+(m.Demand()-m.Capacity())*seconds, 0)
		m.checkOverload()
	}
}

// checkOverload applies the cold rule: a node that is still cold fails once demand has exceeded the allowed multiple of
// its capacity for the whole window.
func (m *Model) checkOverload() {
	capacity := m.Capacity() * m.slowdown // the cold rule ignores a slowdown, which stands for a noisy neighbour
	demand := m.Demand() + m.recentDemand
	overloaded := m.Warmth() < 1 && demand > m.machine.OverloadMultiple*capacity
	if overloaded && !m.overloaded {
		m.overloadedSince = m.now
	}
	m.overloaded = overloaded
	if overloaded && m.failureReason == "" && m.now-m.overloadedSince >= m.machine.OverloadWindow {
		m.failureReason = fmt.Sprintf("asked for %.2f cores, over %.1f times the %.2f it could do, for %v",
			demand, m.machine.OverloadMultiple, capacity, m.machine.OverloadWindow)
	}
}

// FailureReason describes the overload that made the node fail, "" if it has not failed.
func (m *Model) FailureReason() string { return m.failureReason }

// AddHandshake adds the work of a session's handshake to the backlog, before the session is answered.
func (m *Model) AddHandshake() {
	m.backlog += m.machine.HandshakeWork
	m.recentDemand += m.machine.HandshakeWork
}

// AddRefused counts the load of a refused session: the cold rule counts all load that the node is sent, not only what it
// accepts.
func (m *Model) AddRefused(l Load) { m.recentDemand += l.Cores }

// IsFull reports whether the node holds as many sessions as it can.
func (m *Model) IsFull() bool { return m.sessions >= m.machine.MaxSessions }

// Add adds the load of an established session.
func (m *Model) Add(l Load) {
	m.sessions++
	m.sessionDemand += l.Cores
	if l.Group != "" {
		m.groups[l.Group]++
	}
}

// Remove removes the load of a session.
func (m *Model) Remove(l Load) {
	m.sessions--
	m.sessionDemand = max(m.sessionDemand-l.Cores, 0)
	if m.groups[l.Group]--; m.groups[l.Group] <= 0 {
		delete(m.groups, l.Group)
	}
}

// ChangeLoad replaces the load of a session.
func (m *Model) ChangeLoad(oldCores, newCores float64) {
	m.sessionDemand = max(m.sessionDemand-oldCores+newCores, 0)
}

// Delay returns how long a message that arrives now waits: the time to work off the backlog, and the mean wait of an M/M/1
// queue, which grows as demand approaches capacity.
func (m *Model) Delay() time.Duration {
	capacity := m.Capacity()
	utilization := min(m.Demand()/capacity, maxUtilization)
	queueing := messageWork / (m.machine.Speed / m.slowdown) * utilization / (1 - utilization)
	seconds := m.backlog/capacity + queueing
	return min(time.Duration(seconds*float64(time.Second)), maxDelay)
}
