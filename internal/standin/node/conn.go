package node

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/line"
	"chalkferry/internal/standin/judge"
)

const (
	readBufferSize = 1 << 10
	// closeDelay is how long a connection whose last line is still queued stays open after the proxy's end.
	closeDelay = time.Second
)

// conn is one connection from a proxy.
type conn struct {
	node *Node
	conn net.Conn

	// Written by the reader with the node's lock.
	id              judge.SessionID // "" until its first line
	dial            judge.Dial
	plan            Plan
	baseCores       float64
	established     bool
	mute            bool
	nextLoadChange  time.Duration
	nextDelayReport time.Duration
	orphanUntil     time.Duration

	outMu   sync.Mutex // orders what is sent, guards all below
	lastDue time.Duration
	queue   []queuedLine
	waiting bool
}

// read handles lines until the proxy ends its sending.
func (c *conn) read() {
	c.readLines()
	c.ended()
}

func (c *conn) readLines() {
	n := c.node
	lines := bufio.NewReaderSize(c.conn, readBufferSize)
	firstByte := time.Duration(-1) // of the line that is read, -1 before
	for {
		if firstByte < 0 {
			if _, err := lines.Peek(1); err != nil {
				return
			}
			firstByte = n.now()
		}
		text, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		c.handle(strings.TrimRight(text, "\r\n"), firstByte)
		if c.id == "" {
			firstByte = -1
		}
	}
}

// handle answers one line.
func (c *conn) handle(text string, firstByte time.Duration) {
	c.node.mu.Lock()
	silent := c.mute || c.node.state == vanished
	c.node.mu.Unlock()
	switch {
	case strings.HasPrefix(text, "OPEN "):
		if c.id == "" {
			c.open([]byte(text), firstByte)
		}
	case silent:
	case c.id == "":
		c.answerProbe(text)
	default:
		c.echo(text)
	}
}

// ended takes the connection off the node once the proxy has ended its sending.
func (c *conn) ended() {
	n := c.node
	now := n.now()
	if c.id != "" {
		n.judge.DialEnded(now, c.id, c.dial)
	}
	n.mu.Lock()
	if c.established && n.protocol.PassThrough && c.plan.Alive != nil && c.plan.Alive() && n.conns[c] {
		n.orphans[c.id], c.orphanUntil = c, now+orphanTimeout
	} else {
		c.release()
	}
	delete(n.conns, c)
	if n.delayReporter == c {
		n.chooseDelayReporter(now)
	}
	n.mu.Unlock()
	c.outMu.Lock()
	pending := c.waiting
	c.outMu.Unlock()
	if pending {
		time.AfterFunc(closeDelay, func() { c.conn.Close() })
	} else {
		c.conn.Close()
	}
}

// release takes the session off the model. It needs the node's lock.
func (c *conn) release() {
	if !c.established {
		return
	}
	c.established = false
	if model := c.node.model; model != nil {
		model.Advance(c.node.now())
		model.Remove(c.plan.Load)
	}
}

func (c *conn) answerProbe(text string) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != running {
		return
	}
	switch {
	case !n.protocol.AnswersProbes:
		c.send("NO\r\n", 0)
	case text == "PING":
		c.send("PONG\r\n", n.model.Delay())
	case text == "STATS":
		n.model.Advance(n.now())
		c.send(fmt.Sprintf("STATS x0=%.4f\r\n", n.model.Demand()/n.model.Capacity()), n.model.Delay())
	default:
		c.send("SYNTAX\r\n", 0)
	}
}

// open handles a first line.
func (c *conn) open(text []byte, firstByte time.Duration) {
	n := c.node
	first, err := line.ParseOpen(text)
	if err != nil {
		c.send("SYNTAX\r\n", 0)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.conns[c] { // the process was killed before it could read the line
		return
	}
	now := n.now()
	c.id = judge.SessionID(first.ID)
	c.dial = n.judge.DialArrived(now, firstByte, c.id, n.ID, first.Holder != nil || first.MidFlow)
	n.judge.SetDialProbe(c.id, c.dial, c.endUnread)
	if n.state != running {
		return
	}
	n.model.Advance(now)
	if first.MidFlow {
		c.resume(now)
		return
	}
	c.accept(now, first.Remaining)
}

// accept begins a session, or refuses it. It needs the node's lock.
func (c *conn) accept(now, timeLeft time.Duration) {
	n := c.node
	n.model.BeginHandshake()
	wait := n.model.Delay()
	c.plan = n.plans(c.id)
	if n.draining || n.model.Full() || wait >= timeLeft {
		if !n.draining {
			n.model.Refuse(c.plan.Load)
		}
		n.judge.DialRefused(c.id, c.dial)
		c.sendLast("BUSY\r\n", min(wait, timeLeft/2))
		return
	}
	c.establish(now)
	n.accepted++
	n.receipts++
	receipt := fmt.Sprintf("n%d.%d", n.ID, n.receipts)
	n.judge.ReceiptIssued(c.id, receipt)
	c.send("UP "+receipt+"\r\n", wait)
	c.reportLoad()
}

// endUnread reports whether the proxy has ended the connection, or its sending on it, and that is still to be read.
func (c *conn) endUnread() (ended bool) {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var firstByte [1]byte
		n, _, err := unix.Recvfrom(int(fd), firstByte[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != unix.EAGAIN
	})
	return ended || err != nil
}

// establish adds the session to the model. It needs the node's lock.
func (c *conn) establish(now time.Duration) {
	n := c.node
	c.baseCores = c.plan.Load.Cores
	c.established = true
	c.nextLoadChange = now + c.plan.ChangeEvery
	n.model.Add(c.plan.Load)
	if n.delayReporter == nil {
		n.delayReporter, c.nextDelayReport = c, now+delayReportEvery
	}
}

// resume continues a session whose packets come by another proxy now. A node that does not hold it resets. It needs the
// node's lock.
func (c *conn) resume(now time.Duration) {
	n := c.node
	holder := n.orphans[c.id]
	for other := range n.conns { // its proxy may be there still
		if other != c && other.id == c.id && other.established {
			holder = other
		}
	}
	if holder == nil {
		go reset(c.conn)
		return
	}
	delete(n.orphans, c.id)
	c.plan = holder.plan
	holder.release()
	holder.mute = true
	c.establish(now)
	receipt := fmt.Sprintf("n%d.again", n.ID)
	n.judge.ReceiptIssued(c.id, receipt)
	c.send("UP "+receipt+"\r\n", n.model.Delay())
}

// reportLoad sends the session's load. It needs the node's lock.
func (c *conn) reportLoad() {
	if c.node.protocol.ReportsLoad && !c.mute {
		c.send("LOAD "+strconv.FormatInt(int64(c.plan.Load.Cores*1e6), 10)+"\r\n", 0)
	}
}

// echo answers one of the client's lines, which says when it was sent: "M NUMBER MICROSECONDS".
func (c *conn) echo(text string) {
	n := c.node
	now := n.now()
	if fields := strings.Fields(text); len(fields) == 3 {
		if sentMicros, err := strconv.ParseInt(fields[2], 10, 64); err == nil {
			n.judge.LineDelayed(now, c.id, now-time.Duration(sentMicros)*time.Microsecond)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != running || !c.established {
		return
	}
	n.model.Advance(now)
	c.send(text+"\r\n", n.model.Delay())
}

// end sends a last line and ends the session in good order.
func (c *conn) end(lastLine string) {
	c.node.judge.ServerEnded(c.node.now(), c.id, true)
	c.node.mu.Lock()
	c.release()
	c.node.mu.Unlock()
	c.sendLast(lastLine, 0)
}

// reportKilled tells the judge that the node ends the session without a line. It needs the node's lock.
func (c *conn) reportKilled() {
	if c.id != "" {
		c.node.judge.ServerEnded(c.node.now(), c.id, true)
		c.node.judge.DialEnded(c.node.now(), c.id, c.dial)
	}
}
