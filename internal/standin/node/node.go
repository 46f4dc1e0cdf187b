package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/line"
	"chalkferry/internal/standin/judge"
)

// Plan is what the platform knows of a session that a proxy does not.
type Plan struct {
	Load Load
	// ChangeEvery is how often the session's load changes, 0 never.
	ChangeEvery time.Duration
	// Alive tells that the session's client is there and wants it; nil for one that nobody knows.
	Alive func() bool
}

// keep is how long a node holds a session whose packets come by no proxy any more, while its client is there.
const keep = 8 * time.Second

// Talk is what a node says beside its answers.
type Protocol struct {
	ReportsLoad   bool // LOAD with a session's load, in microseconds of work a second
	ReportsDelay  bool // LOAD with the delay of messages, in milliseconds, once a second on one connection
	AnswersProbes bool // PING and STATS are answered
	PassThrough   bool // sessions pass through proxies and outlive them
}

// standing is a node's state.
type standing int

const (
	running  standing = iota
	hung              // takes and reads, and says nothing
	vanished          // says nothing, ends nothing; new connections never come up
	dead              // the process is gone
	fallen            // pushed over while cold; stays down
)

var mayBecome = [...][]standing{
	running:  {hung, vanished, dead, fallen},
	hung:     {running, vanished, dead, fallen},
	vanished: {running, dead},
	dead:     {running},
	fallen:   {dead}, // taken away
}

// Node is one stand-in push node.
type Node struct {
	ID      judge.NodeID
	Address string // host:port, the same after a restart

	now     func() time.Duration
	judge   *judge.Judge
	plans   func(judge.SessionID) Plan
	machine Machine
	talk    Protocol
	onFall  func(*Node)

	mu       sync.Mutex
	standing standing
	draining bool
	model    *Model
	rand     *rand.Rand
	listener net.Listener
	hole     int // descriptor of a listener that lets nothing up, -1 without
	fillers  []net.Conn
	conns    map[*conn]bool
	kept     map[judge.SessionID]*conn // their proxy is gone
	pausedTo atomic.Int64              // a span since the run's start
	cutOff   atomic.Bool               // nothing that it says comes out
	receipts int
	started  time.Duration
	beat     *conn
	shortOf  int // accepts that failed for want of descriptors
	total    int // sessions that stood
}

// New makes a node that has run for long; Start begins to listen.
func New(id judge.NodeID, address string, m Machine, talk Protocol, seed int64, now func() time.Duration, j *judge.Judge,
	plans func(judge.SessionID) Plan, onFall func(*Node)) *Node {
	n := &Node{ID: id, Address: address, now: now, judge: j, plans: plans, machine: m, talk: talk, onFall: onFall,
		standing: dead, rand: rand.New(rand.NewSource(seed)), hole: -1, conns: map[*conn]bool{},
		kept: map[judge.SessionID]*conn{}}
	n.pausedTo.Store(int64(longAgo))
	return n
}

// longAgo is before any run's start; the clock is below 0 until then.
const longAgo = time.Duration(math.MinInt64)

// enter is the one place where a node changes its standing. It needs the lock.
func (n *Node) enter(next standing) bool {
	for _, may := range mayBecome[n.standing] {
		if may == next {
			n.standing = next
			return true
		}
	}
	return false
}

// Start begins to listen, cold or warm. A node that runs is left as it is.
func (n *Node) Start(warm bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.standing == fallen {
		n.enter(dead)
	}
	if n.standing != dead {
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

func (n *Node) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			n.mu.Lock()
			n.shortOf++
			n.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		case err != nil:
			return
		}
		s := &conn{node: n, conn: c, dial: -1, dueLast: longAgo}
		n.mu.Lock()
		if n.standing == dead || n.standing == fallen || n.listener != l {
			n.mu.Unlock()
			reset(c)
			continue
		}
		n.conns[s] = true
		n.mu.Unlock()
		go s.read()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// The faults.

// Hang makes the node take and read, and say nothing. Its process runs.
func (n *Node) Hang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.enter(hung) {
		n.fallSilent()
	}
}

// fallSilent tells the judge that no session is answered any more. It needs the lock.
func (n *Node) fallSilent() {
	for c := range n.conns {
		if c.stands {
			n.judge.ServerEnded(n.now(), c.id, false)
		}
	}
}

// Recover ends a hang.
func (n *Node) Recover() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.standing == hung {
		n.enter(running)
	}
}

// Slow makes the node slower by a factor, 1 as usual.
func (n *Node) SetSlowdown(factor float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model != nil {
		n.model.Advance(n.now())
		n.model.SetSlowdown(factor)
	}
}

// Stall stops all that the node says for a while; it goes on where it was.
func (n *Node) Stall(d time.Duration) {
	n.pausedTo.Store(max(n.pausedTo.Load(), int64(n.now()+d)))
}

// Kill ends the process: connections are reset, new ones refused.
func (n *Node) Kill() { n.fall(dead) }

func (n *Node) fall(next standing) {
	n.mu.Lock()
	if !n.enter(next) {
		n.mu.Unlock()
		return
	}
	n.closeListener()
	n.closeHole()
	n.cutOff.Store(false)
	gone := n.conns
	n.conns, n.beat = map[*conn]bool{}, nil
	clear(n.kept)
	for c := range gone {
		c.gone(true)
	}
	n.mu.Unlock()
	for c := range gone {
		reset(c.conn)
	}
}

func (n *Node) closeListener() {
	if n.listener != nil {
		n.listener.Close()
		n.listener = nil
	}
}

// Vanish cuts the node's machine off: what is open stays open and silent, new connections never come up.
func (n *Node) Vanish() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.enter(vanished) {
		return nil
	}
	n.cutOff.Store(true)
	n.fallSilent()
	n.closeListener()
	return n.openHole()
}

// openHole listens with no room for further connections, so that the kernel passes them over as a cut line would.
func (n *Node) openHole() error {
	at, err := net.ResolveTCPAddr("tcp4", n.Address)
	if err != nil {
		return err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return err
	}
	to := &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, to); err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		unix.Close(fd)
		return err
	}
	n.hole = fd
	for range 2 { // the queue of no length takes one; the second fills what is left, if anything
		if c, err := net.DialTimeout("tcp", n.Address, 20*time.Millisecond); err == nil {
			n.fillers = append(n.fillers, c)
		}
	}
	return nil
}

func (n *Node) closeHole() {
	if n.hole < 0 {
		return
	}
	unix.Close(n.hole)
	n.hole = -1
	for _, c := range n.fillers {
		c.Close()
	}
	n.fillers = nil
}

// Return brings a vanished machine back: it resets what it does not know any more, and starts cold.
func (n *Node) Return() error {
	n.mu.Lock()
	was := n.standing
	n.mu.Unlock()
	if was != vanished {
		return nil
	}
	n.Kill()
	return n.Start(false)
}

// HalfOpen makes a share of the open sessions carry nothing any more, though the node is well.
func (n *Node) HalfOpen(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.stands && n.rand.Float64() < share {
			c.mute = true
			n.judge.ServerEnded(n.now(), c.id, false)
		}
	}
}

// Drain has the node turn away what is new; over the span it sends its sessions away, all at its end if at once.
func (n *Node) Drain(ctx context.Context, over time.Duration, atOnce bool) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	const steps = 20
	for i := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(over / steps):
		}
		if last := i == steps-1; last || !atOnce {
			n.sendAway(1 / float64(steps-i))
		}
	}
}

func (n *Node) sendAway(share float64) {
	n.mu.Lock()
	var leave []*conn
	for c := range n.conns {
		if c.stands && !c.mute && n.standing == running && n.rand.Float64() < share {
			leave = append(leave, c)
		}
	}
	n.mu.Unlock()
	for _, c := range leave {
		c.end("MOVE\r\n")
	}
}

// Close ends the node for good.
func (n *Node) Close() { n.Kill() }

// Tick tells loads and delays and looks after the cold rule; it is to come about ten times a second.
func (n *Node) Tick() {
	n.mu.Lock()
	if n.model == nil || n.standing == dead || n.standing == fallen {
		n.mu.Unlock()
		return
	}
	now := n.now()
	n.model.Advance(now)
	why := n.model.FailureReason()
	if why == "" {
		n.tell(now)
	}
	for id, c := range n.kept {
		if now > c.keptTo || !c.plan.Alive() {
			c.leave()
			delete(n.kept, id)
		}
	}
	n.mu.Unlock()
	if why != "" {
		n.judge.NodeOverloaded(now, n.ID, why)
		n.fall(fallen)
		n.onFall(n)
	}
}

// tell needs the lock.
func (n *Node) tell(now time.Duration) {
	if n.standing != running && n.standing != hung { // one that hangs still tells loads
		return
	}
	if n.talk.ReportsDelay && n.beat != nil && now >= n.beat.beatAt {
		n.beat.beatAt += time.Second
		n.beat.say(fmt.Sprintf("LOAD %d\r\n", n.model.Delay().Milliseconds()), 0)
	}
	for c := range n.conns {
		if c.plan.ChangeEvery > 0 && c.stands && now >= c.changeAt {
			to := c.base * (0.5 + n.rand.ExpFloat64()/2)
			n.model.Change(c.plan.Load.Cores, to)
			c.plan.Load.Cores = to
			c.changeAt = now + time.Duration((0.5+n.rand.Float64())*float64(c.plan.ChangeEvery))
			c.tellLoad()
		}
	}
}

// Figures are a node's state at a moment.
type Stats struct {
	Sessions            int
	Accepted            int
	Demand              float64 // cores
	Capacity            float64 // cores
	Delay               time.Duration
	DescriptorShortages int // accepts that failed for want of descriptors
	Running             bool
}

// Figures tells how the node stands.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := Stats{DescriptorShortages: n.shortOf, Running: n.standing == running, Accepted: n.total}
	if n.model != nil && n.standing != dead && n.standing != fallen {
		n.model.Advance(n.now())
		f.Sessions, f.Demand, f.Capacity, f.Delay = n.model.Sessions(), n.model.Demand(), n.model.Capacity(), n.model.Delay()
	}
	return f
}

// StartedAt is when the node last started.
func (n *Node) StartedAt() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// conn is one connection from a proxy.
type conn struct {
	node     *Node
	conn     net.Conn
	id       judge.SessionID // set by its reader with the node's lock, as all up to keptTo
	dial     judge.Dial
	plan     Plan
	base     float64
	stands   bool
	mute     bool
	changeAt time.Duration
	beatAt   time.Duration
	keptTo   time.Duration

	out     sync.Mutex // orders what is said
	dueLast time.Duration
	queue   []due
	waiting bool
}

type due struct {
	at   time.Duration
	text string
	last bool
}

// read takes lines until the proxy ends its sending.
func (c *conn) read() {
	n := c.node
	lines := bufio.NewReaderSize(c.conn, 1<<10)
	first := time.Duration(-1)
	for {
		if first < 0 {
			if _, err := lines.Peek(1); err != nil {
				break
			}
			first = n.now()
		}
		text, err := lines.ReadString('\n')
		if err != nil {
			break
		}
		text = strings.TrimRight(text, "\r\n")
		n.mu.Lock()
		silent := c.mute || n.standing == vanished
		n.mu.Unlock()
		switch {
		case strings.HasPrefix(text, "OPEN "):
			if c.id == "" {
				c.open([]byte(text), first)
			}
		case silent:
		case c.id == "":
			c.probe(text)
		default:
			c.line(text)
		}
		if c.id == "" {
			first = -1
		}
	}
	now := n.now()
	if c.id != "" {
		n.judge.DialEnded(now, c.id, c.dial)
	}
	n.mu.Lock()
	if c.stands && n.talk.PassThrough && c.plan.Alive != nil && c.plan.Alive() && n.conns[c] {
		n.kept[c.id], c.keptTo = c, now+keep
	} else {
		c.leave()
	}
	delete(n.conns, c)
	if n.beat == c {
		n.nextBeat(now)
	}
	n.mu.Unlock()
	c.out.Lock()
	pendingLast := c.waiting
	c.out.Unlock()
	if !pendingLast {
		c.conn.Close()
	} else {
		time.AfterFunc(time.Second, func() { c.conn.Close() })
	}
}

// leave takes the session off the model. It needs the node's lock.
func (c *conn) leave() {
	if c.stands {
		c.stands = false
		if c.node.model != nil {
			c.node.model.Advance(c.node.now())
			c.node.model.Remove(c.plan.Load)
		}
	}
}

// nextBeat needs the lock.
func (n *Node) nextBeat(now time.Duration) {
	n.beat = nil
	for c := range n.conns {
		if c.stands && !c.mute {
			n.beat, c.beatAt = c, now+time.Second
			return
		}
	}
}

func (c *conn) probe(text string) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.standing != running {
		return
	}
	switch {
	case !n.talk.AnswersProbes:
		c.say("NO\r\n", 0)
	case text == "PING":
		c.say("PONG\r\n", n.model.Delay())
	case text == "STATS":
		n.model.Advance(n.now())
		c.say(fmt.Sprintf("STATS x0=%.4f\r\n", n.model.Demand()/n.model.Capacity()), n.model.Delay())
	default:
		c.say("SYNTAX\r\n", 0)
	}
}

// open takes a first line.
func (c *conn) open(text []byte, first time.Duration) {
	n := c.node
	o, err := line.ParseOpen(text)
	if err != nil {
		c.say("SYNTAX\r\n", 0)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.conns[c] { // the process was killed before it could take the line
		return
	}
	now := n.now()
	c.id = judge.SessionID(o.ID)
	c.dial = n.judge.DialArrived(now, first, c.id, n.ID, o.At != nil || o.MidFlow)
	n.judge.SetDialProbe(c.id, c.dial, c.endUnread)
	if n.standing != running {
		return
	}
	n.model.Advance(now)
	if o.MidFlow {
		c.takeOver(now)
		return
	}
	n.model.BeginHandshake()
	wait := n.model.Delay()
	c.plan = n.plans(c.id)
	if n.draining || n.model.Full() || wait >= o.Left {
		if !n.draining {
			n.model.Refuse(c.plan.Load)
		}
		n.judge.DialRefused(c.id, c.dial)
		c.sayLast("BUSY\r\n", min(wait, o.Left/2))
		return
	}
	c.stand(now)
	n.total++
	n.receipts++
	receipt := fmt.Sprintf("n%d.%d", n.ID, n.receipts)
	n.judge.ReceiptIssued(c.id, receipt)
	c.say("UP "+receipt+"\r\n", wait)
	c.tellLoad()
}

// endUnread tells whether the proxy has ended the connection, or its sending on it, and that is still to be read.
func (c *conn) endUnread() (is bool) {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		is = n == 0 && err == nil || err != nil && err != unix.EAGAIN
	})
	return is || err != nil
}

// stand needs the node's lock.
func (c *conn) stand(now time.Duration) {
	n := c.node
	c.base = c.plan.Load.Cores
	c.stands = true
	c.changeAt = now + c.plan.ChangeEvery
	n.model.Add(c.plan.Load)
	if n.beat == nil {
		n.beat, c.beatAt = c, now+time.Second
	}
}

// takeOver goes on with a session whose packets come by another proxy now. A node that does not hold it resets.
func (c *conn) takeOver(now time.Duration) {
	n := c.node
	held := n.kept[c.id]
	for other := range n.conns { // its proxy may be there still
		if other != c && other.id == c.id && other.stands {
			held = other
		}
	}
	if held != nil {
		delete(n.kept, c.id)
		c.plan = held.plan
		held.leave()
		held.mute = true
		c.stand(now)
		receipt := fmt.Sprintf("n%d.again", n.ID)
		n.judge.ReceiptIssued(c.id, receipt)
		c.say("UP "+receipt+"\r\n", n.model.Delay())
		return
	}
	go reset(c.conn)
}

func (c *conn) tellLoad() {
	if c.node.talk.ReportsLoad && !c.mute {
		c.say("LOAD "+strconv.FormatInt(int64(c.plan.Load.Cores*1e6), 10)+"\r\n", 0)
	}
}

// line answers one of the client's, which tells when it was sent: "M NUMBER MICROSECONDS".
func (c *conn) line(text string) {
	n := c.node
	now := n.now()
	if words := strings.Fields(text); len(words) == 3 {
		if us, err := strconv.ParseInt(words[2], 10, 64); err == nil {
			n.judge.LineDelayed(now, c.id, now-time.Duration(us)*time.Microsecond)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.standing != running || !c.stands {
		return
	}
	n.model.Advance(now)
	c.say(text+"\r\n", n.model.Delay())
}

// end sends a last line and ends the session in good order.
func (c *conn) end(last string) {
	c.node.judge.ServerEnded(c.node.now(), c.id, true)
	c.node.mu.Lock()
	c.leave()
	c.node.mu.Unlock()
	c.sayLast(last, 0)
}

// gone tells the judge that the node ends the session without a word. It needs the node's lock.
func (c *conn) gone(closed bool) {
	if c.id != "" {
		c.node.judge.ServerEnded(c.node.now(), c.id, closed)
		c.node.judge.DialEnded(c.node.now(), c.id, c.dial)
	}
}

func (c *conn) say(text string, wait time.Duration)     { c.enqueue(text, wait, false) }
func (c *conn) sayLast(text string, wait time.Duration) { c.enqueue(text, wait, true) }

// enqueue says a text after a wait, and not before what was to be said earlier.
func (c *conn) enqueue(text string, wait time.Duration, last bool) {
	c.out.Lock()
	defer c.out.Unlock()
	now := c.node.now()
	at := max(now+wait, c.dueLast, time.Duration(c.node.pausedTo.Load()))
	c.dueLast = at
	c.queue = append(c.queue, due{at, text, last})
	if !c.waiting {
		c.waiting = true
		if at-now < time.Millisecond {
			c.flush(at)
		} else {
			time.AfterFunc(at-now, c.run)
		}
	}
}

func (c *conn) run() {
	c.out.Lock()
	defer c.out.Unlock()
	c.flush(c.node.now())
}

// flush writes what is due and waits for the rest.
func (c *conn) flush(now time.Duration) {
	if c.node.cutOff.Load() {
		c.queue, c.waiting = nil, false
		return
	}
	if until := time.Duration(c.node.pausedTo.Load()); until > now {
		time.AfterFunc(until-now, c.run)
		return
	}
	for len(c.queue) > 0 && c.queue[0].at <= now {
		d := c.queue[0]
		c.queue = c.queue[1:]
		c.conn.SetWriteDeadline(time.Now().Add(time.Second))
		c.conn.Write([]byte(d.text))
		if d.last {
			c.conn.(*net.TCPConn).CloseWrite()
			c.queue = nil
		}
	}
	if c.waiting = len(c.queue) > 0; c.waiting {
		time.AfterFunc(c.queue[0].at-now, c.run)
	}
}
