package node

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chalkferry/internal/standin/judge"
)

// Plan is what the simulation knows about a session and a proxy does not.
type Plan struct {
	Load Load
	// ChangeEvery is the mean time between changes of the session's load, 0 for no change.
	ChangeEvery time.Duration
	// Alive reports whether the session's client still exists and wants it; nil for an unknown session.
	Alive func() bool
}

// Protocol selects what a node sends beside its answers, and how sessions reach it.
type Protocol struct {
	ReportsLoad   bool // LOAD with a session's load, in microseconds of work per second
	ReportsDelay  bool // LOAD with the delay of messages, in milliseconds, once per second on one connection
	AnswersProbes bool // PING and STATS are answered
	PassThrough   bool // another proxy can resume the sessions of one that has stopped
}

const (
	// orphanTimeout is how long a node keeps a session that no proxy carries any more, as long as its client exists.
	orphanTimeout = 8 * time.Second
	// delayReportEvery is the interval between reports of the delay of messages.
	delayReportEvery = time.Second
	// acceptRetryDelay is the pause after an accept that failed because the process had no free file descriptor.
	acceptRetryDelay = 10 * time.Millisecond
	// beforeStart is earlier than any time of a run; the clock is negative before the start of the run.
	beforeStart = time.Duration(math.MinInt64)
)

// state is the state of a node's process and machine.
type state int

const (
	running  state = iota
	hung           // accepts connections and reads, but sends nothing except loads
	vanished       // the machine is unreachable: it sends nothing, and new connections are never established
	dead           // the process has ended
	failed         // overloaded while cold; stays down until it is started again
)

// transitions lists the states that may follow each state.
var transitions = [...][]state{
	running:  {hung, vanished, dead, failed},
	hung:     {running, vanished, dead, failed},
	vanished: {running, dead},
	dead:     {running},
	failed:   {dead}, // the platform removes it; Start may then start it again
}

// Node is one simulated push node.
type Node struct {
	ID      judge.NodeID
	Address string // host:port, the same after a restart

	now         func() time.Duration
	judge       *judge.Judge
	sessionPlan func(judge.SessionID) Plan
	machine     Machine
	protocol    Protocol
	onFailure   func(*Node)

	stalledUntil atomic.Int64 // until when sent lines are held back, in nanoseconds since the start of the run
	isolated     atomic.Bool  // everything that it sends is dropped

	mu                  sync.Mutex // guards all below
	state               state
	draining            bool
	model               *Model
	rand                *rand.Rand
	listener            net.Listener
	blackhole           *blackhole // replaces the listener while the machine has vanished, else nil
	conns               map[*conn]bool
	orphans             map[judge.SessionID]*conn // sessions whose proxy has gone and that may be resumed
	receiptsIssued      int
	startedAt           time.Duration
	delayReporter       *conn // the connection on which the delay of messages is reported, nil for none
	descriptorShortages int   // accepts that failed because the process had no free file descriptor
	acceptedSessions    int   // since the start of the run
}

// New returns a node that is not started yet. now is the time since the start of the run, the seed that of its random
// loads and faults. sessionPlan returns what the simulation knows about a session. onFailure is called after the node has
// failed because it was overloaded while cold.
func New(id judge.NodeID, address string, m Machine, protocol Protocol, seed int64, now func() time.Duration, j *judge.Judge,
	sessionPlan func(judge.SessionID) Plan, onFailure func(*Node)) *Node {
	n := &Node{
		ID:          id,
		Address:     address,
		now:         now,
		judge:       j,
		sessionPlan: sessionPlan,
		machine:     m,
		protocol:    protocol,
		onFailure:   onFailure,
		state:       dead,
		rand:        rand.New(rand.NewSource(seed)),
		conns:       map[*conn]bool{},
		orphans:     map[judge.SessionID]*conn{},
	}
	n.stalledUntil.Store(int64(beforeStart))
	return n
}

// enterState changes the node's state if the transition is allowed, and reports whether it is. No other function changes
// the state. The caller must hold n.mu.
func (n *Node) enterState(next state) bool {
	for _, allowed := range transitions[n.state] {
		if allowed == next {
			n.state = next
			return true
		}
	}
	return false
}

// isDown reports whether the node's process has ended. The caller must hold n.mu.
func (n *Node) isDown() bool { return n.state == dead || n.state == failed }

// Start starts the node, cold or warm. A node that is not down is left as it is.
func (n *Node) Start(warm bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == failed {
		n.enterState(dead)
	}
	if n.state != dead {
		return nil
	}
	if err := n.listen(); err != nil {
		return err
	}
	n.enterState(running)
	n.draining = false
	n.model = NewModel(n.machine, n.now(), warm)
	n.startedAt = n.now()
	return nil
}

// Close ends the node's process.
func (n *Node) Close() { n.Kill() }

// listen opens the listener and accepts connections in a new goroutine. The caller must hold n.mu.
func (n *Node) listen() error {
	l, err := net.Listen("tcp", n.Address)
	if err != nil {
		return err
	}
	n.listener, n.Address = l, l.Addr().String()
	go n.accept(l)
	return nil
}

// closeListener closes the listener, if there is one. The caller must hold n.mu.
func (n *Node) closeListener() {
	if n.listener != nil {
		n.listener.Close()
		n.listener = nil
	}
}

// accept accepts connections until the listener is closed.
func (n *Node) accept(l net.Listener) {
	for {
		netConn, err := l.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			n.mu.Lock()
			n.descriptorShortages++
			n.mu.Unlock()
			time.Sleep(acceptRetryDelay)
			continue
		case err != nil:
			return
		}
		c := &conn{node: n, conn: netConn, dial: -1, lastDue: beforeStart}
		n.mu.Lock()
		if n.isDown() || n.listener != l {
			n.mu.Unlock()
			reset(netConn)
			continue
		}
		n.conns[c] = true
		n.mu.Unlock()
		go c.read()
	}
}

// reset closes a connection with RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// Tick reports loads and delays and applies the cold rule. It should be called about ten times per second.
func (n *Node) Tick() {
	n.mu.Lock()
	if n.model == nil || n.isDown() {
		n.mu.Unlock()
		return
	}
	now := n.now()
	n.model.Advance(now)
	failure := n.model.FailureReason()
	if failure == "" && (n.state == running || n.state == hung) { // a hung node still reports loads
		n.reportDelay(now)
		n.changeLoads(now)
	}
	n.dropOrphans(now)
	n.mu.Unlock()
	if failure != "" {
		n.judge.NodeOverloaded(now, n.ID, failure)
		n.stop(failed)
		n.onFailure(n)
	}
}

// reportDelay sends the delay of messages if it is due. The caller must hold n.mu.
func (n *Node) reportDelay(now time.Duration) {
	c := n.delayReporter
	if !n.protocol.ReportsDelay || c == nil || now < c.nextDelayReport {
		return
	}
	c.nextDelayReport += delayReportEvery
	c.send(fmt.Sprintf("LOAD %d\r\n", n.model.Delay().Milliseconds()), 0)
}

// changeLoads draws a new load for each session whose load is due to change. The caller must hold n.mu.
func (n *Node) changeLoads(now time.Duration) {
	for c := range n.conns {
		if c.plan.ChangeEvery <= 0 || !c.established || now < c.nextLoadChange {
			continue
		}
		cores := c.baseCores * (0.5 + n.rand.ExpFloat64()/2)
		n.model.ChangeLoad(c.plan.Load.Cores, cores)
		c.plan.Load.Cores = cores
		c.nextLoadChange = now + time.Duration((0.5+n.rand.Float64())*float64(c.plan.ChangeEvery))
		c.reportLoad()
	}
}

// dropOrphans drops sessions that no proxy has resumed in time, or whose client has gone. The caller must hold n.mu.
func (n *Node) dropOrphans(now time.Duration) {
	for id, c := range n.orphans {
		if now > c.orphanUntil || !c.plan.Alive() {
			c.releaseLoad()
			delete(n.orphans, id)
		}
	}
}

// chooseDelayReporter picks a session on which the delay of messages is reported. The caller must hold n.mu.
func (n *Node) chooseDelayReporter(now time.Duration) {
	n.delayReporter = nil
	for c := range n.conns {
		if c.established && !c.muted {
			n.delayReporter, c.nextDelayReport = c, now+delayReportEvery
			return
		}
	}
}

// Stats is a snapshot of a node's statistics. Sessions, demand, capacity and delay are 0 while its process is down.
type Stats struct {
	Sessions            int
	Accepted            int           // sessions since the start of the run
	Demand              float64       // cores
	Capacity            float64       // cores
	Delay               time.Duration // of a message that arrives now
	DescriptorShortages int           // accepts that failed because the process had no free file descriptor
	Running             bool          // neither hung, vanished nor down
}

// Stats returns the node's current statistics.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Stats{DescriptorShortages: n.descriptorShortages, Running: n.state == running, Accepted: n.acceptedSessions}
	if n.model != nil && !n.isDown() {
		n.model.Advance(n.now())
		s.Sessions, s.Demand = n.model.Sessions(), n.model.Demand()
		s.Capacity, s.Delay = n.model.Capacity(), n.model.Delay()
	}
	return s
}

// StartedAt returns when the node was last started, as a duration since the start of the run.
func (n *Node) StartedAt() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}
