package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"chalkferry/internal/standin/judge"
)

// minUnanswered is how long a line must have been out to count as unanswered when its session ends.
const minUnanswered = 50 * time.Millisecond

// ending is why the lines of a connection stopped.
type ending int

const (
	lifeOver     ending = iota // the client's own end
	disconnected               // the client dropped the connection
	runOver                    // the rehearsal ended
	serverClosed               // BYE came last
	migrated                   // MOVE came last
	cutOff                     // the connection ended without either
)

// outstanding are the lines that nothing has come back for.
type outstanding struct {
	mu       sync.Mutex
	intended []time.Duration // when each was to be sent
	sent     []time.Duration // and when it was
	closed   bool
}

// add notes a line that is about to be sent. It returns for how long the oldest has been out, 0 without one.
func (o *outstanding) add(intended, now time.Duration) (oldest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.sent) > 0 {
		oldest = now - o.sent[0]
	}
	o.intended, o.sent = append(o.intended, intended), append(o.sent, now)
	return oldest
}

// answered takes the oldest line off.
func (o *outstanding) answered() (intended time.Duration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.intended) == 0 {
		return 0, false
	}
	intended = o.intended[0]
	o.intended, o.sent = o.intended[1:], o.sent[1:]
	return intended, true
}

// close returns the lines that were never answered.
func (o *outstanding) close() (intended, sent []time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	return o.intended, o.sent
}

// runEstablished runs the session while it is open, over all the proxies that carry it.
func (s *session) runEstablished(ctx context.Context, conn net.Conn, lines *bufio.Reader, proxy judge.ProxyID) outcome {
	c := s.clients
	began := c.now()
	dropped, unregister := s.register()
	defer func() {
		unregister()
		s.lifeLeft -= c.now() - began
	}()
	for {
		why := s.exchange(ctx, conn, lines, dropped, began)
		now := c.now()
		switch why {
		case lifeOver, disconnected, runOver: // the client ends it
			s.forget()
			c.judge.ClientLeft(now, s.id)
			conn.Close()
			return s.clientEnded(why)
		case serverClosed:
			c.judge.ClientLeft(now, s.id)
			c.count(&c.counts.Completed)
			return done
		case migrated:
			c.judge.ClientLeft(now, s.id)
			c.count(&c.counts.Migrated)
			return rejoin
		}
		if c.behavior.PassThrough && c.ProxyGone(proxy) {
			c.judge.ClientRerouted(s.id)
			next, resumed := s.resume(ctx)
			if next != nil {
				conn.Close()
				defer next.Close()
				conn, lines = next, resumed.lines
				c.count(&c.counts.Resumed)
				continue
			}
			if resumed.requested {
				c.count(&c.counts.CutOff)
				return rejoin
			}
		}
		c.judge.ConnectionLost(now, s.id)
		c.count(&c.counts.CutOff)
		return rejoin
	}
}

// clientEnded is the outcome of a session that its client ended.
func (s *session) clientEnded(why ending) outcome {
	switch why {
	case lifeOver:
		s.clients.count(&s.clients.counts.Completed)
		return done
	case disconnected:
		return rejoin
	}
	return interrupted
}

// register counts the session as established and lets Drop disconnect it.
func (s *session) register() (dropped <-chan struct{}, unregister func()) {
	c := s.clients
	signal := make(chan struct{})
	var once sync.Once
	c.mu.Lock()
	c.established++
	c.disconnects[s] = func() { once.Do(func() { close(signal) }) }
	c.mu.Unlock()
	return signal, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.established--
		delete(c.disconnects, s)
	}
}

// exchange sends lines and reads the answers on one connection until either side ends it.
func (s *session) exchange(ctx context.Context, conn net.Conn, lines *bufio.Reader, dropped <-chan struct{}, began time.Duration) ending {
	c := s.clients
	out := &outstanding{}
	read := make(chan ending, 1)
	go func() { read <- s.readAnswers(lines, out) }()
	conn.SetReadDeadline(time.Time{})
	why := s.sendLines(ctx, conn, out, read, dropped, began)
	intended, sent := out.close()
	now := c.now()
	for i := range intended { // what never came back took at least so long, unless it was just sent
		if now-sent[i] > minUnanswered {
			c.Messages.Record(intended[i], now-intended[i])
			c.count(&c.counts.MessagesUnanswered)
		}
	}
	return why
}

// sendLines sends a line at intervals until the session ends.
func (s *session) sendLines(ctx context.Context, conn net.Conn, out *outstanding, read <-chan ending,
	dropped <-chan struct{}, began time.Duration) ending {
	c := s.clients
	every := c.behavior.MessageEvery
	life := time.NewTimer(s.lifeLeft - (c.now() - began))
	defer life.Stop()
	next := c.now() + c.between(0, every)
	due := time.NewTimer(next - c.now())
	if every <= 0 {
		due.Stop()
	}
	defer due.Stop()
	for n := 0; ; {
		select {
		case why := <-read:
			if why == cutOff && ctx.Err() != nil { // the run's end has stopped the reader, not the proxy
				return runOver
			}
			return why
		case <-life.C:
			return lifeOver
		case <-dropped:
			return disconnected
		case <-ctx.Done():
			return runOver
		case <-due.C:
			s.sendLine(conn, out, n, next)
			n++
			next += every
			due.Reset(next - c.now())
		}
	}
}

func (s *session) sendLine(conn net.Conn, out *outstanding, n int, intended time.Duration) {
	c := s.clients
	now := c.now()
	c.Lateness.Record(now - intended)
	if oldest := out.add(intended, now); oldest > 0 {
		c.judge.Unresponsive(now, s.id, oldest)
	}
	c.count(&c.counts.Messages)
	fmt.Fprintf(conn, "M %d %d\r\n", n, now.Microseconds()) // a failure shows at the reader
}

// readAnswers reads until the connection ends, and returns what its last line made of the session.
func (s *session) readAnswers(lines *bufio.Reader, out *outstanding) ending {
	c := s.clients
	last := cutOff
	for {
		text, err := lines.ReadString('\n')
		if err != nil {
			return last
		}
		last = cutOff
		switch {
		case strings.HasPrefix(text, "M "):
			now := c.now()
			if intended, ok := out.answered(); ok {
				c.Messages.Record(intended, now-intended)
			}
		case text == "BYE\r\n":
			last = serverClosed
		case text == "MOVE\r\n":
			last = migrated
		}
	}
}

// resumption is what became of an attempt to resume a session by another proxy.
type resumption struct {
	requested bool          // the other proxy's machine took the first line
	lines     *bufio.Reader // of the connection, where the server that holds the session answered
}

// resume sends a session's packets through another proxy, once the front has noticed that its own is gone. The
// connection is nil where the session does not continue.
func (s *session) resume(ctx context.Context) (net.Conn, resumption) {
	c := s.clients
	select {
	case <-time.After(c.front.DetectionDelay()):
	case <-ctx.Done():
		return nil, resumption{}
	}
	conn, proxy, ok := s.connect(ctx, c.now()+s.request.Terms.DialTimeout)
	if !ok {
		return nil, resumption{}
	}
	if !s.sendRequest(conn, proxy, true) {
		conn.Close()
		return nil, resumption{}
	}
	lines := bufio.NewReaderSize(conn, readBufferSize)
	conn.SetReadDeadline(time.Now().Add(s.request.Terms.DialTimeout + answerLeeway))
	text, err := lines.ReadString('\n')
	now := c.now()
	receipt, isUp := strings.CutPrefix(strings.TrimRight(text, "\r\n"), "UP ")
	switch {
	case err == nil && isUp:
		c.judge.Answered(now, s.id, judge.Accepted, receipt)
		return conn, resumption{requested: true, lines: lines}
	case err == nil && strings.HasPrefix(text, "BUSY"):
		c.judge.Answered(now, s.id, judge.Refused, "")
	case err == nil:
		c.judge.Answered(now, s.id, judge.Failed, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.judge.Unanswered(now, s.id)
	default:
		c.judge.ConnectionLost(now, s.id)
	}
	conn.Close()
	c.judge.ClientLeft(now, s.id)
	return nil, resumption{requested: true}
}
