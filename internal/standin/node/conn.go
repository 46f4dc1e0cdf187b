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
	// readBufferSize is that of one connection, in bytes.
	readBufferSize = 1 << 10
	// closeDelay is how long a connection with queued lines stays open after the proxy has closed its sending side.
	closeDelay = time.Second
)

// conn is one connection from a proxy.
type conn struct {
	node *Node
	conn net.Conn

	// Written by the reader while it holds the node's mu. Times are durations since the start of the run.
	id              judge.SessionID // "" before the first line
	dial            judge.DialIndex
	plan            Plan
	baseCores       float64 // the session's load at its start, around which later loads are drawn
	established     bool    // the session is counted in the model
	muted           bool    // the node sends nothing more for the session: half-open, or resumed on another connection
	nextLoadChange  time.Duration
	nextDelayReport time.Duration
	orphanUntil     time.Duration // when the session is given up unless another proxy resumes it

	outMu          sync.Mutex    // orders sent lines; guards all below
	lastDue        time.Duration // of the line that was queued last
	queue          []queuedLine
	flushScheduled bool // lines are queued, and a timer will flush them
}

// read handles lines until the proxy closes its sending side.
func (c *conn) read() {
	c.readLines()
	c.handleEnd()
}

// readLines handles lines until a read fails.
func (c *conn) readLines() {
	n := c.node
	lines := bufio.NewReaderSize(c.conn, readBufferSize)
	firstByte := time.Duration(-1) // when the first byte of the current line arrived, -1 before
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

// handle handles one line.
func (c *conn) handle(text string, firstByte time.Duration) {
	c.node.mu.Lock()
	silent := c.muted || c.node.state == vanished
	c.node.mu.Unlock()
	switch {
	case strings.HasPrefix(text, "OPEN "):
		if c.id == "" {
			c.handleOpen([]byte(text), firstByte)
		}
	case silent:
	case c.id == "":
		c.answerProbe(text)
	default:
		c.echo(text)
	}
}

// handleEnd removes the connection from the node after the proxy has closed its sending side. The session of a connection
// that passes through the proxy is kept as an orphan, for another proxy to resume.
func (c *conn) handleEnd() {
	n := c.node
	now := n.now()
	if c.id != "" {
		n.judge.DialEnded(now, c.id, c.dial)
	}
	n.mu.Lock()
	if c.established && n.protocol.PassThrough && c.plan.Alive != nil && c.plan.Alive() && n.conns[c] {
		n.orphans[c.id], c.orphanUntil = c, now+orphanTimeout
	} else {
		c.releaseLoad()
	}
	delete(n.conns, c)
	if n.delayReporter == c {
		n.chooseDelayReporter(now)
	}
	n.mu.Unlock()
	c.outMu.Lock()
	pending := c.flushScheduled
	c.outMu.Unlock()
	if pending {
		time.AfterFunc(closeDelay, func() { c.conn.Close() })
	} else {
		c.conn.Close()
	}
}

// releaseLoad removes the session's load from the model. The caller must hold the node's mu.
func (c *conn) releaseLoad() {
	if !c.established {
		return
	}
	c.established = false
	if model := c.node.model; model != nil {
		model.Advance(c.node.now())
		model.Remove(c.plan.Load)
	}
}

// answerProbe answers a line on a connection without a session, which is taken for a health probe.
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

// handleOpen handles the first line of a session.
func (c *conn) handleOpen(text []byte, firstByte time.Duration) {
	n := c.node
	request, err := line.ParseOpen(text)
	if err != nil {
		c.send("SYNTAX\r\n", 0)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.conns[c] { // the node was killed before it could read the line
		return
	}
	now := n.now()
	c.id = judge.SessionID(request.ID)
	c.dial = n.judge.DialArrived(now, firstByte, c.id, n.ID, request.Holder != nil || request.MidFlow)
	n.judge.SetDialProbe(c.id, c.dial, c.hasUnreadEnd)
	if n.state != running {
		return
	}
	n.model.Advance(now)
	if request.MidFlow {
		c.resumeSession(now)
		return
	}
	c.acceptSession(now, request.Remaining)
}

// acceptSession accepts a session, or refuses it with BUSY if the node drains, is full, or would answer too late for the
// time left. The caller must hold the node's mu.
func (c *conn) acceptSession(now, timeLeft time.Duration) {
	n := c.node
	n.model.AddHandshake()
	wait := n.model.Delay()
	c.plan = n.sessionPlan(c.id)
	if n.draining || n.model.IsFull() || wait >= timeLeft {
		if !n.draining {
			n.model.AddRefused(c.plan.Load)
		}
		n.judge.DialRefused(c.id, c.dial)
		c.sendLast("BUSY\r\n", min(wait, timeLeft/2))
		return
	}
	c.establish(now)
	n.acceptedSessions++
	n.receiptsIssued++
	receipt := fmt.Sprintf("n%d.%d", n.ID, n.receiptsIssued)
	n.judge.ReceiptIssued(c.id, receipt)
	c.send("UP "+receipt+"\r\n", wait)
	c.reportLoad()
}

// hasUnreadEnd reports whether the kernel has received the proxy's FIN or RST, which the reader has yet to read.
func (c *conn) hasUnreadEnd() (ended bool) {
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

// establish adds the session to the model. The caller must hold the node's mu.
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

// resumeSession continues a session that arrives through another proxy. A node that does not hold the session resets the
// connection, as a kernel does for an unknown TCP connection. The caller must hold the node's mu.
func (c *conn) resumeSession(now time.Duration) {
	n := c.node
	holder := n.orphans[c.id]
	for other := range n.conns { // the connection by its previous proxy may still be open
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
	holder.releaseLoad()
	holder.muted = true
	c.establish(now)
	receipt := fmt.Sprintf("n%d.again", n.ID)
	n.judge.ReceiptIssued(c.id, receipt)
	c.send("UP "+receipt+"\r\n", n.model.Delay())
}

// reportLoad sends the session's load in millionths of a core. The caller must hold the node's mu.
func (c *conn) reportLoad() {
	if c.node.protocol.ReportsLoad && !c.muted {
		c.send("LOAD "+strconv.FormatInt(int64(c.plan.Load.Cores*1e6), 10)+"\r\n", 0)
	}
}

// echo sends a client's line back after the node's delay. The line states when it was sent, in microseconds since the
// start of the run: "M NUMBER MICROSECONDS".
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

// endSession sends a last line and closes the session cleanly.
func (c *conn) endSession(lastLine string) {
	c.node.judge.ServerEnded(c.node.now(), c.id, true)
	c.node.mu.Lock()
	c.releaseLoad()
	c.node.mu.Unlock()
	c.sendLast(lastLine, 0)
}

// reportReset reports to the judge that the node resets the session's connection. The caller must hold the node's mu.
func (c *conn) reportReset() {
	if c.id != "" {
		c.node.judge.ServerEnded(c.node.now(), c.id, true)
		c.node.judge.DialEnded(c.node.now(), c.id, c.dial)
	}
}
