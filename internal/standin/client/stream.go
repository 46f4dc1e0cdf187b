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

// minUnanswered is how long ago a line must have been sent to count as unanswered when its session ends.
const minUnanswered = 50 * time.Millisecond

// ending is the reason why a connection of an established session ended.
type ending int

const (
	lifeOver     ending = iota // the session's lifetime is over
	disconnected               // the client dropped the connection
	runOver                    // the rehearsal ended
	serverClosed               // BYE came last
	migrated                   // MOVE came last
	cutOff                     // the connection ended without either
)

// unansweredLines holds the times of the lines of a connection that were sent and not echoed yet, oldest first.
type unansweredLines struct {
	mu       sync.Mutex
	intended []time.Duration // when each was scheduled
	sent     []time.Duration // when each was sent
	closed   bool            // later echoes are ignored
}

// push adds a line that is about to be sent. It returns for how long the oldest line has been unanswered, 0 for none.
func (o *unansweredLines) push(intended, now time.Duration) (oldest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.sent) > 0 {
		oldest = now - o.sent[0]
	}
	o.intended, o.sent = append(o.intended, intended), append(o.sent, now)
	return oldest
}

// popOldest removes the oldest line and returns its scheduled time. ok is false if there is none.
func (o *unansweredLines) popOldest() (intended time.Duration, ok bool) {
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
func (o *unansweredLines) close() (intended, sent []time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	return o.intended, o.sent
}

// runEstablished runs an accepted session until its end, over all proxies through which it is resumed.
func (s *session) runEstablished(ctx context.Context, conn net.Conn, lines *bufio.Reader, proxy judge.ProxyID) outcome {
	c := s.clients
	establishedAt := c.now()
	dropped, unregister := s.register()
	defer func() {
		unregister()
		s.remainingLife -= c.now() - establishedAt
	}()
	for {
		cause := s.exchange(ctx, conn, lines, dropped, establishedAt)
		now := c.now()
		switch cause {
		case lifeOver, disconnected, runOver: // the client ends it
			s.forget()
			c.judge.ClientLeft(now, s.id)
			conn.Close()
			return s.clientEnded(cause)
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

// clientEnded returns the outcome of a session that its client ended.
func (s *session) clientEnded(cause ending) outcome {
	switch cause {
	case lifeOver:
		s.clients.count(&s.clients.counts.Completed)
		return done
	case disconnected:
		return rejoin
	}
	return interrupted
}

// register counts the session as established and makes it known to DisconnectShare, which closes the dropped channel.
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

// exchange sends lines and reads the answers on one connection until either side ends it. A session is established at
// establishedAt and lives for remainingLife from then.
func (s *session) exchange(ctx context.Context, conn net.Conn, lines *bufio.Reader, dropped <-chan struct{}, establishedAt time.Duration) ending {
	c := s.clients
	unanswered := &unansweredLines{}
	readerDone := make(chan ending, 1)
	go func() { readerDone <- s.readAnswers(lines, unanswered) }()
	conn.SetReadDeadline(time.Time{})
	cause := s.sendLines(ctx, conn, unanswered, readerDone, dropped, establishedAt)
	intended, sent := unanswered.close()
	now := c.now()
	for i := range intended { // recorded with the time so far as a lower bound
		if now-sent[i] > minUnanswered {
			c.Messages.Record(intended[i], now-intended[i])
			c.count(&c.counts.MessagesUnanswered)
		}
	}
	return cause
}

// sendLines sends a line at intervals until the session ends.
func (s *session) sendLines(ctx context.Context, conn net.Conn, unanswered *unansweredLines, readerDone <-chan ending,
	dropped <-chan struct{}, establishedAt time.Duration) ending {
	c := s.clients
	interval := c.behavior.MessageEvery
	life := time.NewTimer(s.remainingLife - (c.now() - establishedAt))
	defer life.Stop()
	next := c.now() + c.randomDuration(0, interval)
	due := time.NewTimer(next - c.now())
	if interval <= 0 {
		due.Stop()
	}
	defer due.Stop()
	for n := 0; ; {
		select {
		case cause := <-readerDone:
			if cause == cutOff && ctx.Err() != nil { // the end of the run stopped the reader, not the proxy
				return runOver
			}
			return cause
		case <-life.C:
			return lifeOver
		case <-dropped:
			return disconnected
		case <-ctx.Done():
			return runOver
		case <-due.C:
			s.sendLine(conn, unanswered, n, next)
			n++
			next += interval
			due.Reset(next - c.now())
		}
	}
}

// sendLine sends line number n of a connection, which was scheduled for intended.
func (s *session) sendLine(conn net.Conn, unanswered *unansweredLines, n int, intended time.Duration) {
	c := s.clients
	now := c.now()
	c.Lateness.Record(now - intended)
	if oldest := unanswered.push(intended, now); oldest > 0 {
		c.judge.Unresponsive(now, s.id, oldest)
	}
	c.count(&c.counts.Messages)
	fmt.Fprintf(conn, "M %d %d\r\n", n, now.Microseconds()) // the reader sees any failure
}

// readAnswers reads until the connection ends. The last line says how the session ended.
func (s *session) readAnswers(lines *bufio.Reader, unanswered *unansweredLines) ending {
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
			if intended, ok := unanswered.popOldest(); ok {
				c.Messages.Record(intended, now-intended)
			}
		case text == "BYE\r\n":
			last = serverClosed
		case text == "MOVE\r\n":
			last = migrated
		}
	}
}

// resumeResult is the result of an attempt to resume a session through another proxy.
type resumeResult struct {
	requested bool          // the first line was sent to the other proxy
	lines     *bufio.Reader // of the new connection, nil if the session does not continue
}

// resume continues a session through another proxy, once the front has had time to detect that the previous one has
// gone. The connection is nil if the session does not continue.
func (s *session) resume(ctx context.Context) (net.Conn, resumeResult) {
	c := s.clients
	select {
	case <-time.After(c.front.DetectionDelay()):
	case <-ctx.Done():
		return nil, resumeResult{}
	}
	conn, proxy, ok := s.connect(ctx, c.now()+s.request.Terms.DialTimeout)
	if !ok {
		return nil, resumeResult{}
	}
	if !s.sendRequest(conn, proxy, true) {
		conn.Close()
		return nil, resumeResult{}
	}
	lines := bufio.NewReaderSize(conn, readBufferSize)
	conn.SetReadDeadline(time.Now().Add(s.request.Terms.DialTimeout + answerLeeway))
	text, err := lines.ReadString('\n')
	now := c.now()
	receipt, isUp := strings.CutPrefix(strings.TrimRight(text, "\r\n"), "UP ")
	switch {
	case err == nil && isUp:
		c.judge.Answered(now, s.id, judge.Accepted, receipt)
		return conn, resumeResult{requested: true, lines: lines}
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
	return nil, resumeResult{requested: true}
}
