// Package client is a stand-in for the platform's clients: they ask for sessions, retry, come again after a move or a
// break, and send a line every so often. It tells the judge what they see.
package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/standin/front"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/node"
)

// Manners are what all clients of a platform do alike.
type Behavior struct {
	Retries      int           // after a refusal, a teardown or a break before the answer
	Backoff      time.Duration // before a retry, doubled each time
	RejoinMin    time.Duration // after a move or a break
	RejoinMax    time.Duration
	MessageEvery time.Duration // 0: none
	PassThrough  bool          // sessions pass through proxies and outlive them
}

// Want is what one client asks for.
type Request struct {
	ArrivesAt       time.Duration // since the run's start
	Listener        string
	Tenant          string
	Zone            string
	Key             string
	Group           string
	Terms           judge.Terms
	Lifetime        time.Duration
	Load            node.Load
	LoadChangeEvery time.Duration // of its load, on average; 0 for none
	Returned        bool
}

// Counts are how sessions and dials ended.
type Counts struct {
	Sessions           int64 `json:"sessions"` // that clients wanted
	Attempts           int64 `json:"tries"`
	Accepted           int64 `json:"accepted"`
	Refused            int64 `json:"refused"`
	Failed             int64 `json:"torn_down"`
	ConnectionLost     int64 `json:"broken"`     // connections that ended without an answer, as the proxy died
	Unanswered         int64 `json:"unanswered"` // given up at the dial timeout
	NoProxy            int64 `json:"no_proxy"`   // nobody to connect to, or it refused the connection
	Interrupted        int64 `json:"stopped"`    // waited for an answer when the run ended
	Migrated           int64 `json:"moved"`
	CutOff             int64 `json:"cut_off"` // open sessions that ended without a word
	Resumed            int64 `json:"passed"`  // that went on by another proxy
	Completed          int64 `json:"completed"`
	Served             int64 `json:"served"`   // sessions that were accepted at least once
	GivenUp            int64 `json:"given_up"` // after the last retry
	NoSocket           int64 `json:"no_socket"`
	Messages           int64 `json:"messages"`
	MessagesUnanswered int64 `json:"messages_unanswered"`
}

// Clients are all clients of a run.
type Clients struct {
	now      func() time.Duration
	judge    *judge.Judge
	front    *front.Front
	manners  Behavior
	Connects *load.Recorder // handshakes, from the intended time to UP
	Messages *load.Recorder // lines, from the intended time to the echo
	Lateness *load.Lateness
	// ProxyGone tells whether a proxy was killed or is leaving; it must be set where sessions pass through.
	ProxyGone func(judge.ProxyID) bool

	mu     sync.Mutex
	rand   *rand.Rand
	counts Counts
	open   int
	nextID uint64
	salt   uint64
	plans  map[judge.SessionID]*plan
	drops  map[*session]func()
}

type plan struct {
	load    node.Load
	changes time.Duration
}

// New makes the clients of a run.
func New(seed int64, now func() time.Duration, j *judge.Judge, f *front.Front, m Behavior, window, lateBound time.Duration) *Clients {
	rng := rand.New(rand.NewSource(seed))
	return &Clients{now: now, judge: j, front: f, manners: m, rand: rng, salt: rng.Uint64(),
		Connects: load.NewRecorder(window), Messages: load.NewRecorder(window), Lateness: load.NewLateness(lateBound),
		plans: map[judge.SessionID]*plan{}, drops: map[*session]func(){}}
}

// Plan is what a node has to know of a session.
func (c *Clients) Plan(id judge.SessionID) node.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plans[id]
	if p == nil {
		return node.Plan{Alive: func() bool { return false }}
	}
	return node.Plan{Load: p.load, ChangeEvery: p.changes, Alive: func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.plans[id] == p
	}}
}

// Counts tells how sessions ended so far.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Open is how many sessions stand.
func (c *Clients) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *Clients) count(n *int64) {
	c.mu.Lock()
	*n++
	c.mu.Unlock()
}

func (c *Clients) between(least, most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return least + time.Duration(c.rand.Float64()*float64(most-least))
}

// Drop has a share of the clients that are connected drop at once; they come again after a wait.
func (c *Clients) Drop(share float64) {
	c.mu.Lock()
	var drops []func()
	for _, drop := range c.drops {
		if c.rand.Float64() < share {
			drops = append(drops, drop)
		}
	}
	c.mu.Unlock()
	for _, drop := range drops {
		drop()
	}
}

// session is what one client wants, over all its connections.
type session struct {
	clients *Clients
	want    Request
	left    time.Duration // of its life
	id      judge.SessionID
	again   bool
	served  bool
}

// outcome is how a try, or an open session, ended.
type outcome int

const (
	done    outcome = iota // its life is over, or its server has ended it
	retry                  // it was not accepted
	rejoin                 // it was moved, dropped or cut off
	stopped                // the run is over
)

// Run is one client, from its first try to its end. It returns when the client has what it wants, has given up, or
// the context ends.
func (c *Clients) Run(ctx context.Context, w Request) {
	c.count(&c.counts.Sessions)
	s := &session{clients: c, want: w, left: w.Lifetime, again: w.Returned}
	intended, retries, backoff := w.ArrivesAt, 0, c.manners.Backoff
	for ctx.Err() == nil {
		how, comeBack := s.try(ctx, intended)
		var wait time.Duration
		switch how {
		case done, stopped:
			return
		case rejoin:
			wait = c.between(c.manners.RejoinMin, c.manners.RejoinMax)
			s.again, retries, backoff = true, 0, c.manners.Backoff
		case retry:
			if retries++; retries > c.manners.Retries {
				c.count(&c.counts.GivenUp)
				return
			}
			wait = max(backoff, comeBack)
			backoff *= 2
		}
		intended = c.now() + wait
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// try asks once, by a proxy that the front names.
func (s *session) try(ctx context.Context, intended time.Duration) (outcome, time.Duration) {
	c := s.clients
	c.count(&c.counts.Attempts)
	s.name()
	defer s.forget()
	limit := c.now() + s.want.Terms.DialTimeout
	c.Lateness.Record(c.now() - intended)
	conn, at, ok := s.connect(ctx, limit)
	if !ok {
		return retry, 0
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) })
	defer stop()
	if !s.ask(conn, at, false) {
		c.count(&c.counts.ConnectionLost)
		return retry, 0
	}
	lines := bufio.NewReaderSize(conn, 512)
	conn.SetReadDeadline(time.Now().Add(s.want.Terms.DialTimeout + leeway))
	answer, err := lines.ReadString('\n')
	now := c.now()
	switch verb, rest, _ := strings.Cut(strings.TrimRight(answer, "\r\n"), " "); {
	case ctx.Err() != nil && err != nil:
		c.judge.ClientLeft(now, s.id)
		c.count(&c.counts.Interrupted)
		return stopped, 0
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.judge.Unanswered(now, s.id)
		c.count(&c.counts.Unanswered)
		return retry, 0
	case err != nil:
		c.judge.ConnectionLost(now, s.id)
		c.count(&c.counts.ConnectionLost)
		return retry, 0
	case verb == "UP":
		c.judge.Answered(now, s.id, judge.Accepted, rest)
		c.Connects.Record(intended, now-intended)
		c.count(&c.counts.Accepted)
		if !s.served {
			s.served = true
			c.count(&c.counts.Served)
		}
		return s.stand(ctx, conn, lines, at), 0
	case verb == "BUSY":
		c.judge.Answered(now, s.id, judge.Refused, "")
		c.count(&c.counts.Refused)
		s.afterwards(conn, lines)
		ms, _ := strconv.ParseInt(rest, 10, 64) // without one: 0
		return retry, time.Duration(ms) * time.Millisecond
	default:
		c.judge.Answered(now, s.id, judge.Failed, "")
		c.count(&c.counts.Failed)
		s.afterwards(conn, lines)
		return retry, 0
	}
}

// leeway is how much longer than its dial timeout a client listens, to see an answer that comes late.
const leeway = 60 * time.Millisecond

// name gives the session a new id for its next connection.
func (s *session) name() {
	c := s.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	s.id = judge.SessionID(fmt.Sprintf("%016x", (c.salt+c.nextID)*0x9e3779b97f4a7c15)) // odd: no two are alike
	c.plans[s.id] = &plan{s.want.Load, s.want.LoadChangeEvery}
}

// forget tells nodes that the client has gone.
func (s *session) forget() {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	delete(s.clients.plans, s.id)
}

// connect reaches a proxy before the limit.
func (s *session) connect(ctx context.Context, limit time.Duration) (net.Conn, judge.ProxyID, bool) {
	c := s.clients
	for ctx.Err() == nil {
		left := limit - c.now()
		if left <= 0 {
			break
		}
		if id, address, ok := c.front.Pick(s.want.Zone); ok {
			dialer := net.Dialer{Timeout: left}
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
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	c.count(&c.counts.NoProxy)
	return nil, 0, false
}

// ask sends the first line.
func (s *session) ask(conn net.Conn, at judge.ProxyID, midFlow bool) bool {
	w, c := s.want, s.clients
	text := fmt.Sprintf("OPEN %s %s c=%s", s.id, w.Key, w.Listener)
	if w.Tenant != "" {
		text += ",t=" + w.Tenant
	}
	text += fmt.Sprintf(",d=%d", w.Terms.DialTimeout.Milliseconds())
	if w.Group != "" {
		text += ",g=" + w.Group
	}
	if s.again {
		text += ",again=1"
	}
	if midFlow {
		text += ",mid=1"
	}
	c.judge.Requested(c.now(), s.id, at, w.Terms)
	if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
		c.judge.ClientLeft(c.now(), s.id) // its last byte was not taken
		return false
	}
	return true
}

// afterwards sees to it that nothing comes after a refusal or a teardown.
func (s *session) afterwards(conn net.Conn, lines *bufio.Reader) {
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if text, _ := lines.ReadString('\n'); text != "" { // its end, or nothing, is as it should be
		s.clients.judge.UnexpectedLine(s.clients.now(), s.id, text)
	}
	s.clients.judge.ClientLeft(s.clients.now(), s.id)
}

// flow is the lines of one open session.
type flow struct {
	mu   sync.Mutex
	out  []time.Duration // when each line that nothing has come back for was to be sent
	sent []time.Duration // and when it was
	gone bool
}

// stand is the session while it is open.
func (s *session) stand(ctx context.Context, conn net.Conn, lines *bufio.Reader, at judge.ProxyID) (how outcome) {
	c := s.clients
	began := c.now()
	dropped := make(chan struct{})
	var once sync.Once
	c.mu.Lock()
	c.open++
	c.drops[s] = func() { once.Do(func() { close(dropped) }) }
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.open--
		delete(c.drops, s)
		c.mu.Unlock()
		s.left -= c.now() - began
	}()
	for {
		f := &flow{}
		read := make(chan string, 1)
		go func() { read <- s.listen(lines, f) }()
		conn.SetReadDeadline(time.Time{})
		ended, reason := s.talk(ctx, conn, f, read, dropped, began)
		f.mu.Lock()
		f.gone = true
		unheard, sent := f.out, f.sent
		f.mu.Unlock()
		now := c.now()
		for i, at := range unheard { // what never came back took at least so long, unless it was just sent
			if now-sent[i] > 50*time.Millisecond {
				c.Messages.Record(at, now-at)
				c.count(&c.counts.MessagesUnanswered)
			}
		}
		if !ended { // the client ends it, for one reason or another
			s.forget()
			c.judge.ClientLeft(now, s.id)
			conn.Close()
			switch reason {
			case "life":
				c.count(&c.counts.Completed)
				return done
			case "dropped":
				return rejoin
			}
			return stopped
		}
		switch reason {
		case "BYE":
			c.judge.ClientLeft(now, s.id)
			c.count(&c.counts.Completed)
			return done
		case "MOVE":
			c.judge.ClientLeft(now, s.id)
			c.count(&c.counts.Migrated)
			return rejoin
		}
		if c.manners.PassThrough && c.ProxyGone(at) {
			next, reader, taken, on := s.passOn(ctx)
			if on {
				conn.Close()
				conn, lines = next, reader
				defer next.Close()
				c.count(&c.counts.Resumed)
				continue
			}
			if taken {
				c.count(&c.counts.CutOff)
				return rejoin
			}
		}
		c.judge.ConnectionLost(now, s.id)
		c.count(&c.counts.CutOff)
		return rejoin
	}
}

// talk sends lines until the session ends; ended tells that the other side did, and reason how.
func (s *session) talk(ctx context.Context, conn net.Conn, f *flow, read <-chan string, dropped <-chan struct{},
	began time.Duration) (ended bool, reason string) {
	c := s.clients
	every := c.manners.MessageEvery
	life := time.NewTimer(s.left - (c.now() - began))
	defer life.Stop()
	next := c.now() + c.between(0, every)
	beat := time.NewTimer(next - c.now())
	if every <= 0 {
		beat.Stop()
	}
	defer beat.Stop()
	for n := 0; ; {
		select {
		case text := <-read:
			if text == "" && ctx.Err() != nil { // the run's end has stopped the reader, not the proxy
				return false, "stopped"
			}
			return true, text
		case <-life.C:
			return false, "life"
		case <-dropped:
			return false, "dropped"
		case <-ctx.Done():
			return false, "stopped"
		case <-beat.C:
			now := c.now()
			c.Lateness.Record(now - next)
			f.mu.Lock()
			if len(f.sent) > 0 {
				c.judge.Unresponsive(now, s.id, now-f.sent[0])
			}
			f.out, f.sent = append(f.out, next), append(f.sent, now)
			f.mu.Unlock()
			c.count(&c.counts.Messages)
			fmt.Fprintf(conn, "M %d %d\r\n", n, now.Microseconds()) // a failure shows at the reader
			n++
			next += every
			beat.Reset(next - c.now())
		}
	}
}

// listen takes what comes until its end, and tells the last word: BYE, MOVE or "" for none.
func (s *session) listen(lines *bufio.Reader, f *flow) string {
	c := s.clients
	last := ""
	for {
		text, err := lines.ReadString('\n')
		if err != nil {
			return last
		}
		switch last = ""; {
		case strings.HasPrefix(text, "M "):
			now := c.now()
			f.mu.Lock()
			if !f.gone && len(f.out) > 0 {
				c.Messages.Record(f.out[0], now-f.out[0])
				f.out, f.sent = f.out[1:], f.sent[1:]
			}
			f.mu.Unlock()
		case text == "BYE\r\n":
			last = "BYE"
		case text == "MOVE\r\n":
			last = "MOVE"
		}
	}
}

// passOn sends a session's packets through another proxy, once the front has noticed that its own is gone. It tells
// whether they were taken there, and by the server that holds the session.
func (s *session) passOn(ctx context.Context) (conn net.Conn, lines *bufio.Reader, taken, on bool) {
	c := s.clients
	select {
	case <-time.After(c.front.DetectionDelay()):
	case <-ctx.Done():
		return nil, nil, false, false
	}
	conn, at, ok := s.connect(ctx, c.now()+s.want.Terms.DialTimeout)
	if !ok || !s.ask(conn, at, true) {
		return nil, nil, false, false
	}
	lines = bufio.NewReaderSize(conn, 512)
	conn.SetReadDeadline(time.Now().Add(s.want.Terms.DialTimeout + leeway))
	text, err := lines.ReadString('\n')
	now := c.now()
	switch rest, up := strings.CutPrefix(strings.TrimRight(text, "\r\n"), "UP "); {
	case err == nil && up:
		c.judge.Answered(now, s.id, judge.Accepted, rest)
		return conn, lines, true, true
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
	return nil, nil, true, false
}
