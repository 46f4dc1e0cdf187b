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

// Plan is what the platform knows of a session that a proxy does not.
type Plan struct {
	Load Load
	// ChangeEvery is how often the session's load changes, 0 never.
	ChangeEvery time.Duration
	// Alive reports whether the session's client is there and wants it; nil for one that nobody knows.
	Alive func() bool
}

// Protocol is what a node sends beside its answers, and how sessions reach it.
type Protocol struct {
	ReportsLoad   bool // LOAD with a session's load, in microseconds of work a second
	ReportsDelay  bool // LOAD with the delay of messages, in milliseconds, once a second on one connection
	AnswersProbes bool // PING and STATS are answered
	PassThrough   bool // sessions pass through proxies and outlive them
}

const (
	// orphanTimeout is how long a node holds a session that no proxy carries any more, while its client is there.
	orphanTimeout = 8 * time.Second
	// delayReportEvery is how often the delay of messages is reported.
	delayReportEvery = time.Second
	// acceptRetryDelay is the pause after an accept that failed for want of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// longAgo is before any run's start; the clock is below 0 until then.
	longAgo = time.Duration(math.MinInt64)
)

// state is a node's condition as a process and a machine.
type state int

const (
	running  state = iota
	hung           // accepts and reads, and sends nothing but loads
	vanished       // sends nothing, ends nothing; new connections are never established
	dead           // the process is gone
	failed         // overloaded while cold; stays down
)

// transitions are the states that may follow each one.
var transitions = [...][]state{
	running:  {hung, vanished, dead, failed},
	hung:     {running, vanished, dead, failed},
	vanished: {running, dead},
	dead:     {running},
	failed:   {dead}, // removed by the platform
}

// Node is one simulated push node.
type Node struct {
	ID      judge.NodeID
	Address string // host:port, the same after a restart

	now       func() time.Duration
	judge     *judge.Judge
	plans     func(judge.SessionID) Plan
	machine   Machine
	protocol  Protocol
	onFailure func(*Node)

	pausedUntil atomic.Int64 // a duration since the run's start
	cutOff      atomic.Bool  // nothing that it sends gets out

	mu                  sync.Mutex // guards all below
	state               state
	draining            bool
	model               *Model
	rand                *rand.Rand
	listener            net.Listener
	blackhole           *blackhole // in place of the listener of a vanished machine, nil without
	conns               map[*conn]bool
	orphans             map[judge.SessionID]*conn // sessions whose proxy is gone
	receipts            int
	started             time.Duration
	delayReporter       *conn // on which the delay of messages is reported
	descriptorShortages int   // accepts that failed for want of descriptors
	accepted            int   // sessions
}

// New makes a node that has run for long; Start begins to listen. onFailure is called when the node is overloaded while
// cold.
func New(id judge.NodeID, address string, m Machine, protocol Protocol, seed int64, now func() time.Duration, j *judge.Judge,
	plans func(judge.SessionID) Plan, onFailure func(*Node)) *Node {
	n := &Node{
		ID:        id,
		Address:   address,
		now:       now,
		judge:     j,
		plans:     plans,
		machine:   m,
		protocol:  protocol,
		onFailure: onFailure,
		state:     dead,
		rand:      rand.New(rand.NewSource(seed)),
		conns:     map[*conn]bool{},
		orphans:   map[judge.SessionID]*conn{},
	}
	n.pausedUntil.Store(int64(longAgo))
	return n
}

// enter is the one place where a node changes its state. It needs the lock.
func (n *Node) enter(next state) bool {
	for _, allowed := range transitions[n.state] {
		if allowed == next {
			n.state = next
			return true
		}
	}
	return false
}

// isDown reports whether there is no process. It needs the lock.
func (n *Node) isDown() bool { return n.state == dead || n.state == failed }

// Start begins to listen, cold or warm. A node that runs is left as it is.
func (n *Node) Start(warm bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == failed {
		n.enter(dead)
	}
	if n.state != dead {
		return nil
	}
	if err := n.listen(); err != nil {
		return err
	}
	n.enter(running)
	n.draining = false
	n.model = NewModel(n.machine, n.now(), warm)
	n.started = n.now()
	return nil
}

// Close ends the node for good.
func (n *Node) Close() { n.Kill() }

// listen needs the lock.
func (n *Node) listen() error {
	l, err := net.Listen("tcp", n.Address)
	if err != nil {
		return err
	}
	n.listener, n.Address = l, l.Addr().String()
	go n.accept(l)
	return nil
}

// closeListener needs the lock.
func (n *Node) closeListener() {
	if n.listener != nil {
		n.listener.Close()
		n.listener = nil
	}
}

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
		c := &conn{node: n, conn: netConn, dial: -1, lastDue: longAgo}
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

// Tick reports loads and delays and applies the cold rule; it is to be called about ten times a second.
func (n *Node) Tick() {
	n.mu.Lock()
	if n.model == nil || n.isDown() {
		n.mu.Unlock()
		return
	}
	now := n.now()
	n.model.Advance(now)
	failure := n.model.FailureReason()
	if failure == "" && (n.state == running || n.state == hung) { // one that hangs still reports loads
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

// reportDelay needs the lock.
func (n *Node) reportDelay(now time.Duration) {
	c := n.delayReporter
	if !n.protocol.ReportsDelay || c == nil || now < c.nextDelayReport {
		return
	}
	c.nextDelayReport += delayReportEvery
	c.send(fmt.Sprintf("LOAD %d\r\n", n.model.Delay().Milliseconds()), 0)
}

// changeLoads gives the sessions whose time has come another load. It needs the lock.
func (n *Node) changeLoads(now time.Duration) {
	for c := range n.conns {
		if c.plan.ChangeEvery <= 0 || !c.established || now < c.nextLoadChange {
			continue
		}
		cores := c.baseCores * (0.5 + n.rand.ExpFloat64()/2)
		n.model.Change(c.plan.Load.Cores, cores)
		c.plan.Load.Cores = cores
		c.nextLoadChange = now + time.Duration((0.5+n.rand.Float64())*float64(c.plan.ChangeEvery))
		c.reportLoad()
	}
}

// dropOrphans gives up sessions that no proxy has resumed in time, or whose client is gone. It needs the lock.
func (n *Node) dropOrphans(now time.Duration) {
	for id, c := range n.orphans {
		if now > c.orphanUntil || !c.plan.Alive() {
			c.release()
			delete(n.orphans, id)
		}
	}
}

// chooseDelayReporter picks a session on which the delay of messages is reported. It needs the lock.
func (n *Node) chooseDelayReporter(now time.Duration) {
	n.delayReporter = nil
	for c := range n.conns {
		if c.established && !c.mute {
			n.delayReporter, c.nextDelayReport = c, now+delayReportEvery
			return
		}
	}
}

// Stats are a node's figures at a moment.
type Stats struct {
	Sessions            int
	Accepted            int     // sessions since the run's start
	Demand              float64 // cores
	Capacity            float64 // cores
	Delay               time.Duration
	DescriptorShortages int // accepts that failed for want of descriptors
	Running             bool
}

// Stats returns the node's figures.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Stats{DescriptorShortages: n.descriptorShortages, Running: n.state == running, Accepted: n.accepted}
	if n.model != nil && !n.isDown() {
		n.model.Advance(n.now())
		s.Sessions, s.Demand = n.model.Sessions(), n.model.Demand()
		s.Capacity, s.Delay = n.model.Capacity(), n.model.Delay()
	}
	return s
}

// StartedAt is when the node last started.
func (n *Node) StartedAt() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}
