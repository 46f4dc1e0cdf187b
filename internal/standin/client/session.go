package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"chalkferry/internal/standin/judge"
)

const (
	// answerLeeway is how much longer than its dial timeout a client listens, so that late answers are seen and reported.
	answerLeeway = 60 * time.Millisecond
	// connectRetryDelay is the pause between two attempts to reach a proxy.
	connectRetryDelay = 20 * time.Millisecond
	// afterAnswerWait is how long a client listens after a refusal or a failure for further lines, which are violations.
	afterAnswerWait = 100 * time.Millisecond
	// readBufferSize is that of one connection, in bytes.
	readBufferSize = 512
)

// session is the session of one client, over all its connections.
type session struct {
	clients       *Clients
	request       Request
	remainingLife time.Duration
	id            judge.SessionID // of the current attempt
	returned      bool            // the client had a session before
	served        bool            // it was accepted at least once
}

// outcome is how an attempt or an established session ended.
type outcome int

const (
	done        outcome = iota // its lifetime is over, or its server has ended it
	retry                      // it was not accepted
	rejoin                     // it was migrated, disconnected or cut off
	interrupted                // the run is over
)

// attempt requests the session once, through a proxy picked by the front, and runs it if it is accepted. intended is the
// scheduled time of the attempt. retryAfter is the wait that a refusal asks for, 0 if it names none.
func (s *session) attempt(ctx context.Context, intended time.Duration) (result outcome, retryAfter time.Duration) {
	c := s.clients
	c.count(&c.counts.Attempts)
	s.assignID()
	defer s.forget()
	deadline := c.now() + s.request.Terms.DialTimeout
	c.Lateness.Record(c.now() - intended)
	conn, proxy, ok := s.connect(ctx, deadline)
	if !ok {
		return retry, 0
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) })
	defer stop()
	if !s.sendRequest(conn, proxy, false) {
		c.count(&c.counts.ConnectionLost)
		return retry, 0
	}
	lines := bufio.NewReaderSize(conn, readBufferSize)
	conn.SetReadDeadline(time.Now().Add(s.request.Terms.DialTimeout + answerLeeway))
	answer, err := lines.ReadString('\n')
	now := c.now()
	if err != nil {
		return s.recordNoAnswer(ctx, now, err), 0
	}
	verb, rest, _ := strings.Cut(strings.TrimRight(answer, "\r\n"), " ")
	switch verb {
	case "UP":
		s.recordAccepted(now, intended, rest)
		return s.runEstablished(ctx, conn, lines, proxy), 0
	case "BUSY":
		c.judge.Answered(now, s.id, judge.Refused, "")
		c.count(&c.counts.Refused)
		s.checkNoFurtherLine(conn, lines)
		ms, _ := strconv.ParseInt(rest, 10, 64) // 0 if the refusal names no wait
		return retry, time.Duration(ms) * time.Millisecond
	default:
		c.judge.Answered(now, s.id, judge.Failed, "")
		c.count(&c.counts.Failed)
		s.checkNoFurtherLine(conn, lines)
		return retry, 0
	}
}

// recordNoAnswer counts and reports an attempt that ended without an answer.
func (s *session) recordNoAnswer(ctx context.Context, now time.Duration, err error) outcome {
	c := s.clients
	switch {
	case ctx.Err() != nil:
		c.judge.ClientLeft(now, s.id)
		c.count(&c.counts.Interrupted)
		return interrupted
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.judge.Unanswered(now, s.id)
		c.count(&c.counts.Unanswered)
	default:
		c.judge.ConnectionLost(now, s.id)
		c.count(&c.counts.ConnectionLost)
	}
	return retry
}

// recordAccepted counts and reports an attempt that was accepted.
func (s *session) recordAccepted(now, intended time.Duration, receipt string) {
	c := s.clients
	c.judge.Answered(now, s.id, judge.Accepted, receipt)
	c.Handshakes.Record(intended, now-intended)
	c.count(&c.counts.Accepted)
	if !s.served {
		s.served = true
		c.count(&c.counts.Served)
	}
}

// assignID gives the session a new id for its next attempt.
func (s *session) assignID() {
	c := s.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	s.id = judge.SessionID(fmt.Sprintf("%016x", (c.idSalt+c.nextID)*0x9e3779b97f4a7c15)) // an odd factor keeps ids distinct
	c.plans[s.id] = &plan{s.request.Load, s.request.LoadChangeEvery}
}

// forget removes the plan of the current attempt, so that nodes see that its client has gone.
func (s *session) forget() {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	delete(s.clients.plans, s.id)
}

// connect connects to a proxy before the deadline, with retries. ok is false if no proxy could be reached in time.
func (s *session) connect(ctx context.Context, deadline time.Duration) (net.Conn, judge.ProxyID, bool) {
	c := s.clients
	for ctx.Err() == nil {
		timeLeft := deadline - c.now()
		if timeLeft <= 0 {
			break
		}
		if id, address, ok := c.front.Pick(s.request.Zone); ok {
			dialer := net.Dialer{Timeout: timeLeft}
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err == nil {
				return conn, id, true
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
				c.count(&c.counts.NoSocket)
				return nil, 0, false
			}
		}
		select {
		case <-time.After(connectRetryDelay):
		case <-ctx.Done():
		}
	}
	c.count(&c.counts.NoProxy)
	return nil, 0, false
}

// sendRequest sends the first line. midFlow says that it resumes an established session. It reports whether the line was
// written.
func (s *session) sendRequest(conn net.Conn, proxy judge.ProxyID, midFlow bool) bool {
	c := s.clients
	c.judge.Requested(c.now(), s.id, proxy, s.request.Terms)
	if _, err := io.WriteString(conn, s.firstLine(midFlow)); err != nil {
		c.judge.ClientLeft(c.now(), s.id) // the line was not written completely
		return false
	}
	return true
}

// firstLine returns the line with which the session is requested.
func (s *session) firstLine(midFlow bool) string {
	r := s.request
	text := fmt.Sprintf("OPEN %s %s c=%s", s.id, r.Key, r.Listener)
	if r.Tenant != "" {
		text += ",t=" + r.Tenant
	}
	text += fmt.Sprintf(",d=%d", r.Terms.DialTimeout.Milliseconds())
	if r.Group != "" {
		text += ",g=" + r.Group
	}
	if s.returned {
		text += ",again=1"
	}
	if midFlow {
		text += ",mid=1"
	}
	return text + "\r\n"
}

// checkNoFurtherLine reports a line that arrives after a refusal or a failure.
func (s *session) checkNoFurtherLine(conn net.Conn, lines *bufio.Reader) {
	conn.SetReadDeadline(time.Now().Add(afterAnswerWait))
	if text, _ := lines.ReadString('\n'); text != "" { // the end of the connection and silence are both correct
		s.clients.judge.UnexpectedLine(s.clients.now(), s.id, text)
	}
	s.clients.judge.ClientLeft(s.clients.now(), s.id)
}
