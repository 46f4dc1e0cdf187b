// Package judge holds what passed on a platform's sockets against its four rules: no session lost, no effect twice,
// drains kept, no cold server pushed over. It has no clock and does no I/O: every call says when it happened, as a
// span since the start of the run. Calls may come from any goroutine.
//
// The two ends of a session are seen by two readers, so what happened at one may be told after what happened at the
// other. Whatever hangs on such an order is judged after the leeway, in Check.
package judge

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

type (
	// SessionID is the id that a client gave in its first line.
	SessionID string
	// NodeID is a node's place in the platform, from 0.
	NodeID int
	// ProxyID is a proxy's place, from 0.
	ProxyID int
	// Dial is one first line that came whole at a node.
	Dial int
)

// Rule is one of the four.
type Rule string

const (
	SessionLost        Rule = "session lost"
	DuplicateEffect    Rule = "effect twice"
	DrainIgnored       Rule = "drain not kept"
	ColdNodeOverloaded Rule = "cold server pushed over"
)

// Answer is a final answer that a client was given.
type Answer string

const (
	Accepted Answer = "accepted"
	Refused  Answer = "refused"
	Failed   Answer = "torn-down"
)

// Effect says what a second run of a session would do.
type Effect string

const (
	Repeatable Effect = "repeatable"
	Referenced Effect = "referenced"
	OnceOnly   Effect = "once-only"
)

// Kind is what the rules need to know of a session's listener.
type Terms struct {
	DialTimeout  time.Duration // the dial timeout
	Effect       Effect
	RepeatWindow time.Duration // of a referenced session's repeats
	Group        string        // "all", "zone" or "cell": who drops its repeats
}

// Breach is one broken rule.
type Violation struct {
	Rule    Rule      `json:"rule"`
	Session SessionID `json:"session,omitempty"`
	Node    NodeID    `json:"node"`  // -1 where none is concerned
	Proxy   ProxyID   `json:"proxy"` // -1 where none is concerned
	AtMs    float64   `json:"at_ms"` // since the run's start
	Text    string    `json:"text"`
}

func (b Violation) String() string {
	text := fmt.Sprintf("%.0f ms: %s", b.AtMs, b.Rule)
	if b.Session != "" {
		text += fmt.Sprintf(", session %s", b.Session)
	}
	if b.Node >= 0 {
		text += fmt.Sprintf(", node %d", b.Node)
	}
	if b.Proxy >= 0 {
		text += fmt.Sprintf(", proxy %d", b.Proxy)
	}
	return text + ": " + b.Text
}

type dial struct {
	node    NodeID
	arrived time.Duration
	mayRun  bool
	out     bool
	ended   time.Duration
	asked   func() bool // tells whether its connection has ended though that is not read yet; may be nil
}

type session struct {
	id       SessionID
	proxy    ProxyID
	kind     Terms
	taken    time.Duration
	answer   Answer
	dials    []*dial
	receipts []string
	open     bool
	wentAt   time.Duration // when its server ended it, 0 while it has not
	over     bool          // at the client
}

// Place is what a node's membership of groups is told by.
type Place struct{ Zone, Cell string }

type listed struct {
	off     bool // draining or gone
	changed time.Duration
	told    map[ProxyID]time.Duration
}

type proxy struct {
	dead, leaving bool
	watching      bool
	asked         time.Duration
}

// Judge keeps what is needed to judge the sessions that are not over yet.
type Judge struct {
	mu       sync.Mutex
	leeway   time.Duration
	grace    time.Duration // for dials after a drain was told
	mustAsk  time.Duration // a proxy that neither watches nor asks counts as told after this
	passes   bool          // whether sessions pass through and outlive a proxy
	places   []Place
	sessions map[SessionID]*session
	nodes    map[NodeID]*listed
	proxies  map[ProxyID]*proxy
	pending  []pending
	breaches []Violation
	counted  map[Rule]int
	clients  bool // only they are seen
}

type pending struct {
	due   time.Duration
	judge func(now time.Duration)
}

// mostKept bounds the list of breaches; all are counted.
const mostKept = 200

// New makes a judge. Each limit of time is longer by the leeway.
func New(leeway, grace, mustAsk time.Duration, passes bool, places []Place) *Judge {
	return &Judge{leeway: leeway, grace: grace, mustAsk: mustAsk, passes: passes, places: places,
		sessions: map[SessionID]*session{}, nodes: map[NodeID]*listed{}, proxies: map[ProxyID]*proxy{},
		counted: map[Rule]int{}}
}

// SeesClientsOnly tells that the servers are no stand-ins: what they made and ended is not known.
func (j *Judge) ObserveClientsOnly() { j.clients = true }

func (j *Judge) breach(now time.Duration, rule Rule, id SessionID, node NodeID, proxy ProxyID, format string, args ...any) {
	j.counted[rule]++
	if len(j.breaches) < mostKept {
		j.breaches = append(j.breaches, Violation{rule, id, node, proxy, float64(now) / float64(time.Millisecond),
			fmt.Sprintf(format, args...)})
	}
}

func (j *Judge) after(due time.Duration, call func(now time.Duration)) {
	j.pending = append(j.pending, pending{due, call})
}

// lock is for calls that may have to judge what has become due.
func (j *Judge) lock() func() {
	j.mu.Lock()
	return j.mu.Unlock
}

func (j *Judge) proxyOf(id ProxyID) *proxy {
	p := j.proxies[id]
	if p == nil {
		p = &proxy{}
		j.proxies[id] = p
	}
	return p
}

// Taken tells that a first line's last byte was written to a connection that the proxy's machine had accepted.
func (j *Judge) Requested(now time.Duration, id SessionID, at ProxyID, kind Terms) {
	defer j.lock()()
	was := j.sessions[id]
	s := &session{id: id, proxy: at, kind: kind, taken: now}
	if was != nil { // taken over in the middle: what its holder made for it still counts
		s.receipts = was.receipts
	}
	j.sessions[id] = s
}

// Answered tells the first line that came back on a session's connection, with the receipt of an accepted one.
func (j *Judge) Answered(now time.Duration, id SessionID, answer Answer, receipt string) {
	defer j.lock()()
	s := j.sessions[id]
	if s == nil {
		return
	}
	if s.answer != "" {
		j.breach(now, SessionLost, id, -1, s.proxy, "%s after it was %s", answer, s.answer)
		return
	}
	s.answer = answer
	if took := now - s.taken; took > s.kind.DialTimeout+j.leeway {
		j.breach(now, SessionLost, id, -1, s.proxy, "%s after %v, its dial timeout is %v", answer, took.Round(time.Millisecond),
			s.kind.DialTimeout)
	}
	switch answer {
	case Accepted:
		s.open = true
		if !j.clients && !slices.Contains(s.receipts, receipt) {
			j.breach(now, SessionLost, id, -1, s.proxy, "accepted with receipt %q, which no server made for it", receipt)
		}
	case Refused:
		if s.kind.Effect != OnceOnly {
			break
		}
		for _, d := range s.dials {
			if d.mayRun {
				j.breach(now, DuplicateEffect, id, d.node, s.proxy, "refused, though a dial of this once-only session may have run")
				break
			}
		}
	}
}

// Extra tells that something came after a refusal or a teardown.
func (j *Judge) UnexpectedLine(now time.Duration, id SessionID, text string) {
	defer j.lock()()
	if s := j.sessions[id]; s != nil && !s.over {
		j.breach(now, SessionLost, id, -1, s.proxy, "%q came after it was %s", text, s.answer)
	}
}

// Unanswered tells that a client waited for its dial timeout and the leeway, and nothing came.
func (j *Judge) Unanswered(now time.Duration, id SessionID) {
	defer j.lock()()
	if s := j.sessions[id]; s != nil && s.answer == "" && !j.proxyOf(s.proxy).dead {
		j.breach(now, SessionLost, id, -1, s.proxy, "no answer within its dial timeout of %v", s.kind.DialTimeout)
	}
	j.forget(now, id)
}

// Left tells that the client ended the session itself, or was told to move.
func (j *Judge) ClientLeft(now time.Duration, id SessionID) {
	defer j.lock()()
	j.forget(now, id)
}

// Broke tells that a session's connection ended with neither an answer, a move nor a goodbye.
func (j *Judge) ConnectionLost(now time.Duration, id SessionID) {
	defer j.lock()()
	s := j.sessions[id]
	if s == nil {
		return
	}
	s.over = true
	switch {
	case s.answer == "":
		j.after(now+j.leeway, func(due time.Duration) {
			if !j.proxyOf(s.proxy).dead {
				j.breach(now, SessionLost, id, -1, s.proxy, "its connection ended without an answer")
			}
			j.drop(s)
		})
	case s.open:
		j.after(now+j.leeway, func(due time.Duration) {
			if p := j.proxyOf(s.proxy); !j.clients && s.wentAt == 0 && !p.dead && !(p.leaving && j.passes) {
				j.breach(now, SessionLost, id, -1, s.proxy, "cut off without MOVE while its server held it")
			}
			j.drop(s)
		})
	default:
		j.forget(now, id)
	}
}

func (j *Judge) forget(now time.Duration, id SessionID) {
	if s := j.sessions[id]; s != nil {
		s.over = true
		// Its last dial is still to end; a new one after that would be out with no client.
		j.after(now+time.Second, func(time.Duration) { j.drop(s) })
	}
}

func (j *Judge) drop(s *session) {
	if j.sessions[s.id] == s {
		delete(j.sessions, s.id)
	}
}

// Held tells that a line took long on its way through the proxy; over a second loses the session.
func (j *Judge) LineDelayed(now time.Duration, id SessionID, took time.Duration) {
	if took <= time.Second+j.leeway {
		return
	}
	defer j.lock()()
	if s := j.sessions[id]; s != nil && !s.over && !j.proxyOf(s.proxy).dead {
		j.breach(now, SessionLost, id, -1, s.proxy, "a line was held back for %v", took.Round(time.Millisecond))
	}
}

// Silent tells that a client's line has been out for so long while the session stood; past seven seconds its proxy
// should have ended or moved it.
func (j *Judge) Unresponsive(now time.Duration, id SessionID, out time.Duration) {
	if out <= mostSilent+j.leeway {
		return
	}
	defer j.lock()()
	if s := j.sessions[id]; s != nil && !s.over && s.open && !j.proxyOf(s.proxy).dead {
		j.breach(now, SessionLost, id, -1, s.proxy, "nothing came back for %v and it was neither ended nor moved", out.Round(time.Millisecond))
		s.over = true
	}
}

// mostSilent is how long a session may bring nothing back.
const mostSilent = 7 * time.Second

// Arrived tells that a session's first line came whole at a node, its first byte at first. The dial's number is for
// the other calls; it is -1 for a session that the judge does not know.
func (j *Judge) DialArrived(now, first time.Duration, id SessionID, at NodeID, resumed bool) Dial {
	defer j.lock()()
	s := j.sessions[id]
	if s == nil {
		return -1
	}
	d := &dial{node: at, arrived: now, mayRun: true, out: true}
	for _, earlier := range s.dials {
		if earlier.out && earlier.asked != nil && earlier.asked() { // guards against readers that a busy machine holds up
			earlier.out, earlier.ended = false, now
		}
		if earlier.out {
			j.after(now+j.leeway, func(due time.Duration) {
				if earlier.out || earlier.ended > now+j.leeway {
					j.breach(now, DuplicateEffect, id, at, s.proxy, "dialled while its dial to node %d, %v before, was out", earlier.node,
						(now - earlier.arrived).Round(time.Millisecond))
				}
			})
		}
	}
	j.again(now, s, d)
	s.dials = append(s.dials, d)
	if told, known := j.toldAt(now, s.proxy, at); known && !resumed && first > told+j.grace+j.leeway {
		j.breach(now, DrainIgnored, id, at, s.proxy, "dialled %v after the proxy was told of the drain, the grace is %v",
			(first - told).Round(time.Millisecond), j.grace)
	}
	return Dial(len(s.dials) - 1)
}

// Asked names what tells whether a dial's connection has ended, as the machine knows it: the node may not have come to
// read that yet. It must neither block nor call the judge.
func (j *Judge) SetDialProbe(id SessionID, n Dial, ended func() bool) {
	defer j.lock()()
	if d := j.dial(id, n); d != nil {
		d.asked = ended
	}
}

// again holds a further dial against what the earlier ones may have done.
func (j *Judge) again(now time.Duration, s *session, d *dial) {
	for _, earlier := range s.dials {
		if !earlier.mayRun {
			continue
		}
		switch s.kind.Effect {
		case OnceOnly:
			j.breach(now, DuplicateEffect, s.id, d.node, s.proxy, "once-only, dialled again though its dial to node %d may have run", earlier.node)
		case Referenced:
			a, b := j.places[earlier.node], j.places[d.node]
			if s.kind.Group == "zone" && a.Zone != b.Zone || s.kind.Group == "cell" && a.Cell != b.Cell {
				j.breach(now, DuplicateEffect, s.id, d.node, s.proxy, "referenced, repeated outside the %s of node %d", s.kind.Group, earlier.node)
			} else if now-earlier.arrived > s.kind.RepeatWindow+j.leeway {
				j.breach(now, DuplicateEffect, s.id, d.node, s.proxy, "referenced, repeated after %v, its window is %v",
					(now - earlier.arrived).Round(time.Millisecond), s.kind.RepeatWindow)
			}
		default:
			continue
		}
		return
	}
}

// TurnedAway tells that the node answered BUSY: the dial has never run.
func (j *Judge) DialRefused(id SessionID, n Dial) {
	defer j.lock()()
	if d := j.dial(id, n); d != nil {
		d.mayRun, d.out = false, false
	}
}

// Made tells the receipt that a node made for a session.
func (j *Judge) ReceiptIssued(id SessionID, receipt string) {
	defer j.lock()()
	if s := j.sessions[id]; s != nil {
		s.receipts = append(s.receipts, receipt)
	}
}

// DialEnded tells that a dial's connection has ended, or the proxy its sending on it.
func (j *Judge) DialEnded(now time.Duration, id SessionID, n Dial) {
	defer j.lock()()
	if d := j.dial(id, n); d != nil && d.out {
		d.out, d.ended = false, now
	}
}

func (j *Judge) dial(id SessionID, n Dial) *dial {
	if s := j.sessions[id]; s != nil && n >= 0 && int(n) < len(s.dials) {
		return s.dials[n]
	}
	return nil
}

// ServerEnded tells that a session's server has ended it, is about to, or has stopped answering it for good.
// closed says that its connection has ended, which the client must learn within a second.
func (j *Judge) ServerEnded(now time.Duration, id SessionID, closed bool) {
	defer j.lock()()
	s := j.sessions[id]
	if s == nil || s.wentAt != 0 {
		return
	}
	s.wentAt = max(now, 1)
	if closed {
		j.after(now+time.Second+j.leeway, func(due time.Duration) {
			if s.open && !s.over && j.sessions[id] == s && !j.proxyOf(s.proxy).dead {
				j.breach(due, SessionLost, id, -1, s.proxy, "its server ended it a second ago and its client was not told")
			}
		})
	}
}

// Changed tells that a node has begun to drain or is gone (off), or is ready again.
func (j *Judge) NodeChanged(now time.Duration, at NodeID, off bool) {
	defer j.lock()()
	if n := j.nodes[at]; n == nil || n.off != off {
		j.nodes[at] = &listed{off: off, changed: now, told: map[ProxyID]time.Duration{}}
	}
}

// Told tells that discovery has written the node's state to a proxy.
func (j *Judge) NodePublished(now time.Duration, to ProxyID, at NodeID, off bool) {
	defer j.lock()()
	if n := j.nodes[at]; n != nil && n.off == off {
		if _, known := n.told[to]; !known {
			n.told[to] = now
		}
	}
}

// Watching tells that a proxy asks discovery, or that its watch has begun or ended.
func (j *Judge) SetWatching(now time.Duration, id ProxyID, watching bool) {
	defer j.lock()()
	p := j.proxyOf(id)
	p.watching, p.asked = watching, now
}

// toldAt is when a proxy was told that a node takes nothing new.
func (j *Judge) toldAt(now time.Duration, by ProxyID, at NodeID) (time.Duration, bool) {
	n := j.nodes[at]
	if n == nil || !n.off {
		return 0, false
	}
	if told, known := n.told[by]; known {
		return told, true
	}
	if p := j.proxyOf(by); !p.watching && j.mustAsk > 0 {
		if told := max(n.changed, p.asked) + j.mustAsk; told < now {
			return told, true
		}
	}
	return 0, false
}

// ProxyDies tells that a proxy is about to be killed or was found dead: what it held is the clients' to retry.
func (j *Judge) ProxyDied(id ProxyID) {
	defer j.lock()()
	j.proxyOf(id).dead = true
}

// ProxyLeaves tells that a proxy is about to get SIGTERM.
func (j *Judge) ProxyLeaving(id ProxyID) {
	defer j.lock()()
	j.proxyOf(id).leaving = true
}

// ProxyStarts tells that a proxy is started again. It knows nothing of what an earlier one was told.
func (j *Judge) ProxyStarted(now time.Duration, id ProxyID) {
	defer j.lock()()
	for _, s := range j.sessions { // those of the one before are not this one's to answer
		if s.proxy == id {
			s.proxy = -1
		}
	}
	j.proxies[-1] = &proxy{dead: true}
	j.proxies[id] = &proxy{asked: now}
	for _, n := range j.nodes {
		delete(n.told, id)
	}
}

// FellOver tells that a node that had just started was sent too much for too long.
func (j *Judge) NodeOverloaded(now time.Duration, at NodeID, text string) {
	defer j.lock()()
	j.breach(now, ColdNodeOverloaded, "", at, -1, "%s", text)
}

// Check judges what has become due.
func (j *Judge) Check(now time.Duration) {
	defer j.lock()()
	due := j.pending
	j.pending = nil
	for _, p := range due {
		if p.due > now {
			j.pending = append(j.pending, p)
		} else {
			p.judge(now)
		}
	}
}

// Breaches are the broken rules so far, the first of them in detail, and how often each was broken.
func (j *Judge) Violations() ([]Violation, map[Rule]int) {
	defer j.lock()()
	counted := map[Rule]int{}
	for rule, n := range j.counted {
		counted[rule] = n
	}
	return slices.Clone(j.breaches), counted
}
