// Package node is a stand-in push node: a model of what its machine can do, and a server that speaks the platform's
// lines and behaves as the model and the faults say.
package node

import (
	"fmt"
	"math"
	"time"
)

// Machine is what a node can do.
type Machine struct {
	Cores            float64
	Speed            float64       // of a core, against the yardstick's 1
	HandshakeWork    float64       // work of a new session, in core seconds of the yardstick
	GroupCost        float64       // of each group that the node holds any session of, in Mean
	MeanLoad         float64       // load of a usual session, in cores
	ColdFrom         float64       // share of its capacity at the start
	ColdSpan         time.Duration // until it is warm
	OverloadMultiple float64       // it falls over when asked for more than this times what it can do
	OverloadWindow   time.Duration // for so long while it is cold
	MaxSessions      int           // sessions that it holds
}

// Load is what one session asks of its node.
type Load struct {
	Cores float64
	Group string
}

// Model is a node's work: what is asked, what can be done, and what has piled up. It has no clock and does no I/O;
// times are spans since the run's start and never go back.
type Model struct {
	machine   Machine
	started   time.Duration
	warm      bool // from the start
	slow      float64
	now       time.Duration
	asked     float64 // cores
	groups    map[string]int
	held      int
	backlog   float64 // core seconds
	recent    float64 // cores: work of handshakes, and loads that were turned away, over about the last second
	overSince time.Duration
	over      bool
	fallen    string
}

// NewModel makes a node that starts now; a warm one has run for long.
func NewModel(m Machine, now time.Duration, warm bool) *Model {
	return &Model{machine: m, started: now, warm: warm, slow: 1, now: now, groups: map[string]int{}}
}

// Warmth is the share of its capacity that the node has.
func (m *Model) Warmth() float64 {
	if age := m.now - m.started; !m.warm && age < m.machine.ColdSpan {
		return m.machine.ColdFrom + (1-m.machine.ColdFrom)*float64(age)/float64(m.machine.ColdSpan)
	}
	return 1
}

// Capacity is what it can do at this moment, in cores of the yardstick.
func (m *Model) Capacity() float64 { return m.machine.Cores * m.machine.Speed * m.Warmth() / m.slow }

// Asked is what its sessions and groups ask for, in cores.
func (m *Model) Demand() float64 {
	return m.asked + float64(len(m.groups))*m.machine.GroupCost*m.machine.MeanLoad
}

// Held is how many sessions it has.
func (m *Model) Sessions() int { return m.held }

// Slow makes it slower by a factor; 1 is its usual speed.
func (m *Model) SetSlowdown(factor float64) { m.slow = factor }

// step bounds how far the model looks at once, so that a ramp is followed.
const step = 100 * time.Millisecond

// Advance brings the model to a moment.
func (m *Model) Advance(now time.Duration) {
	for m.now < now {
		dt := min(now-m.now, step)
		m.now += dt
		s := dt.Seconds()
		m.recent *= math.Exp(-s)
		m.backlog = max(m.backlog+(m.Demand()-m.Capacity())*s, 0)
		can := m.Capacity() * m.slow // a slow neighbour is no part of the rule
		isOver := m.Warmth() < 1 && m.Demand()+m.recent > m.machine.OverloadMultiple*can
		if isOver && !m.over {
			m.overSince = m.now
		}
		m.over = isOver
		if isOver && m.fallen == "" && m.now-m.overSince >= m.machine.OverloadWindow {
			m.fallen = fmt.Sprintf("asked for %.2f cores, over %.1f times the %.2f it could do, for %v",
				m.Demand()+m.recent, m.machine.OverloadMultiple, can, m.machine.OverloadWindow)
		}
	}
}

// Fallen is why the node has fallen over by now, "" where it has not.
func (m *Model) FailureReason() string { return m.fallen }

// Begin takes a session's handshake: its work piles up before it is answered.
func (m *Model) BeginHandshake() {
	m.backlog += m.machine.HandshakeWork
	m.recent += m.machine.HandshakeWork
}

// Refuse takes a session that is turned away: the cold rule counts what is sent, also what can't be taken.
func (m *Model) Refuse(l Load) { m.recent += l.Cores }

// Full tells whether it holds all that it can.
func (m *Model) Full() bool { return m.held >= m.machine.MaxSessions }

// Add takes a session that stands.
func (m *Model) Add(l Load) {
	m.held++
	m.asked += l.Cores
	if l.Group != "" {
		m.groups[l.Group]++
	}
}

// Remove gives it up.
func (m *Model) Remove(l Load) {
	m.held--
	m.asked = max(m.asked-l.Cores, 0)
	if m.groups[l.Group]--; m.groups[l.Group] <= 0 {
		delete(m.groups, l.Group)
	}
}

// Change gives a session another load.
func (m *Model) Change(from, to float64) { m.asked = max(m.asked-from+to, 0) }

// mostDelay bounds what a node that is far behind lets a message wait.
const maxDelay = 5 * time.Second

// Delay is how long a message that comes now waits: for what has piled up, and as in a queue that is served at
// random times, growing as load nears what can be done.
func (m *Model) Delay() time.Duration {
	can := m.Capacity()
	use := min(m.Demand()/can, 0.95)
	wait := m.backlog/can + messageWork/(m.machine.Speed/m.slow)*use/(1-use)
	return min(time.Duration(wait*float64(time.Second)), maxDelay)
}

// messageWork is a message's own work, in core seconds.
const messageWork = 0.0005
