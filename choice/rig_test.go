package choice

import (
	"fmt"
	"math"
	"math/rand"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// rig is a Front that checks the rules at each call, by its own account of sessions, servers and dials.
type rig struct {
	b               *Balancer
	now             time.Duration
	failure         string
	sessions        map[SessionID]*clientSession
	order           []*clientSession
	listed          map[ServerID]Entry
	dialsTo         map[ServerID][]time.Duration
	coldDials       map[ServerID][]time.Duration // since the server's last start that the list showed
	peakDensity     float64                      // the most sessions for each unit of size so far
	timers          []timer
	lastTimer       time.Duration
	lastToken       TimerToken
	watches         int
	delayReports    int
	maxServers      int  // servers in a list
	drainsBindAlone bool // drains alone bind
	listeners       []Listener
	dials           DialLimits
	budget          RetryBudget
	arrivals        []time.Duration
	furtherDials    []time.Duration // dials beyond each session's first
	cold            ColdSettings
	next            SessionID
}

// timer is a call of Tick that the module asked for.
type timer struct {
	due   time.Duration
	token TimerToken
}

// clientSession is a session as its client and the network see it.
type clientSession struct {
	id       SessionID
	listener Listener
	arrived  time.Duration
	deadline time.Duration
	DialLimits
	dials       int
	dialing     ServerID // 0: no dial is out; ids start at 1
	outUntil    time.Duration
	outSince    time.Duration
	answer      string
	retryAfter  time.Duration
	isOpen      bool
	clientGone  bool
	mayHaveRun  bool
	firstServer ServerID
	firstDialAt time.Duration
}

// fleet is a rig with a list of n servers.
func fleet(n int) *rig {
	r := newRig(someCold, rand.New(rand.NewSource(1)))
	r.list(ListFull, n)
	return r
}

// newRig is a rig without a list.
func newRig(cold ColdSettings, rng *rand.Rand) *rig {
	r := &rig{maxServers: 9, listeners: someListeners, dials: DialLimits{MaxDials: 4, MaxRetryAfter: 2 * sec}, cold: cold, sessions: map[SessionID]*clientSession{}, listed: map[ServerID]Entry{},
		dialsTo: map[ServerID][]time.Duration{}, coldDials: map[ServerID][]time.Duration{}}
	r.b = New(r, rng, someListeners, DialLimits{MaxDials: 4, MaxRetryAfter: 2 * sec}, RetryBudget{},
		ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, cold, PeerReportSettings{})
	return r
}

// fail keeps the first violation.
func (r *rig) fail(format string, args ...any) {
	if r.failure == "" {
		r.failure = fmt.Sprintf("at %v: ", r.now) + fmt.Sprintf(format, args...)
	}
}

func (r *rig) Dial(id SessionID, to ServerID, limit time.Duration) {
	r.dialsTo[to] = append(r.dialsTo[to], r.now)
	s := r.sessions[id]
	if s == nil {
		return
	}
	e, known := r.listed[to]
	l, repeats := s.listener, s.mayHaveRun && s.listener.Idempotency == IdempotencyKeyed
	switch {
	case s.answer != "" || s.isOpen || s.clientGone:
		r.fail("session %d is dialed after its end", id)
	case s.dialing != 0:
		r.fail("session %d has two dials out", id)
	case s.dials >= s.MaxDials:
		r.fail("session %d has too many dials", id)
	case limit <= 0 || r.now+limit > s.deadline:
		r.fail("session %d: dial of %v with %v left", id, limit, s.deadline-r.now)
	case !known || e.Status == Draining || e.Status == Gone && !r.drainsBindAlone:
		r.fail("session %d is dialed to server %d, which is not ready", id, to)
	case s.mayHaveRun && l.Idempotency == NonIdempotent:
		r.fail("once-only session %d is dialed twice", id)
	case repeats && r.now-s.firstDialAt > l.DedupWindow:
		r.fail("referenced session %d is repeated too late", id)
	case repeats && l.DedupScope == DedupZone && e.Zone != r.listed[s.firstServer].Zone,
		repeats && l.DedupScope == DedupCell && e.Cell != r.listed[s.firstServer].Cell:
		r.fail("referenced session %d leaves its group", id)
	}
	r.checkColdBudget(to, e)
	if s.dials > 0 {
		r.furtherDials = append(r.furtherDials, r.now)
		r.checkBudget(id)
	}
	s.dialing, s.outSince, s.outUntil = to, r.now, r.now+limit
	s.dials++
}

// checkColdBudget checks the window that ends now against this proxy's share of the budget, in whole dials.
func (r *rig) checkColdBudget(to ServerID, e Entry) {
	age := r.now - e.StartedAt
	if !e.StartKnown || age >= r.cold.RampDuration {
		return
	}
	warmth := r.cold.InitialShare + (1-r.cold.InitialShare)*max(age, 0).Seconds()/r.cold.RampDuration.Seconds()
	window := r.cold.OverloadWindow.Seconds() / r.cold.RampDuration.Seconds()
	capacity := max(2*r.peakDensity, 1/r.totalSize()) * e.Size / assumedLoad // where half of the fleet holds all
	share := warmth * r.cold.OverloadMultiple * window * capacity
	r.coldDials[to] = append(r.coldDials[to], r.now)
	if n := inWindow(r.coldDials[to], r.now-r.cold.OverloadWindow); float64(n) > math.Ceil(share)+2 { // in whole slots of two windows
		r.fail("cold server %d gets %d dials in a window of budget %.2f", to, n, share)
	}
}

// checkBudget checks the window that ends now, which holds the present dial.
func (r *rig) checkBudget(id SessionID) {
	windowStart := r.now - r.budget.Window
	allowed := r.budget.FreeRetries + r.budget.RetriesPerSession*float64(inWindow(r.arrivals, windowStart))
	if n := inWindow(r.furtherDials, windowStart); r.budget.Window > 0 && float64(n) > allowed {
		r.fail("session %d is dialed again as number %d of %.2f in %v", id, n, allowed, r.budget.Window)
	}
}

// inWindow counts the dials after a time.
func inWindow(dials []time.Duration, after time.Duration) (n int) {
	for _, at := range dials {
		if at > after {
			n++
		}
	}
	return n
}

// notePeak updates the peak of sessions for each unit of size.
func (r *rig) notePeak() {
	sizes, live := r.totalSize(), 0.0
	for _, s := range r.order {
		if s.isOpen || s.dialing != 0 {
			live++
		}
	}
	if sizes > 0 {
		r.peakDensity = max(r.peakDensity, live/sizes)
	}
}

// totalSize is that of the ready servers.
func (r *rig) totalSize() (sum float64) {
	for _, e := range r.listed {
		if e.Status == Ready {
			sum += e.Size
		}
	}
	return sum
}

// end gives a session its final answer.
func (r *rig) end(id SessionID, answer string) *clientSession {
	s := r.sessions[id]
	if s == nil {
		return &clientSession{}
	}
	if s.answer != "" || s.isOpen || s.clientGone || s.dialing != 0 {
		r.fail("session %d is %s, though %q or a dial is out", id, answer, s.answer)
	}
	s.answer = answer
	return s
}

func (r *rig) Refuse(id SessionID, retryAfter time.Duration) {
	s := r.end(id, "refused")
	s.retryAfter = retryAfter
	if l := s.listener; retryAfter > s.MaxRetryAfter || s.MaxRetryAfter > 0 && retryAfter <= 0 {
		r.fail("session %d is to come back after %v", id, retryAfter)
	} else if s.mayHaveRun && (l.Idempotency == NonIdempotent || l.Idempotency == IdempotencyKeyed && l.DedupScope != DedupAll) {
		r.fail("session %d is refused though it may have run", id)
	}
}

func (r *rig) Abort(id SessionID) { r.end(id, "torn down") }

func (r *rig) Move(id SessionID) {
	if s := r.sessions[id]; s != nil {
		if !s.isOpen {
			r.fail("session %d is moved before it is open", id)
		}
		s.isOpen, s.clientGone = false, true
	}
}

func (r *rig) StartTimer(after time.Duration, token TimerToken) {
	r.lastTimer, r.lastToken = after, token
	r.timers = append(r.timers, timer{r.now + after, token})
}

func (r *rig) PublishOverload(ServerID, time.Duration) { r.delayReports++ }
func (r *rig) SubscribeList()                          { r.watches++ }
func (r *rig) Log(string)                              {}

// list publishes servers 1 to n, of sizes 2 and 4, each size of a model of its own.
func (r *rig) list(kind ListKind, n int) {
	entries := []Entry{}
	for i := 1; i <= n; i++ {
		entries = append(entries, Entry{ID: ServerID(i), Size: float64(2 + i%2*2), Zone: ZoneID(i % 3),
			Cell: CellID(i % 4), Model: ModelID(3 * (i % 2)), Status: Ready})
	}
	r.publish(kind, entries)
}

// publish hands a list to the module.
func (r *rig) publish(kind ListKind, entries []Entry) {
	if kind == ListFull || kind == ListCached {
		for id, e := range r.listed {
			e.Status = Gone
			r.listed[id] = e
		}
	}
	for _, e := range entries {
		was := r.listed[e.ID] // Gone if unknown
		if e.StartKnown && (!was.StartKnown || was.StartedAt < e.StartedAt || was.Status == Gone) {
			delete(r.coldDials, e.ID)
		}
		r.listed[e.ID] = e
	}
	r.b.ApplyList(r.now, kind, entries)
}

// switchSettings switches to the settings of another deployment, or back, with a budget of dials or without.
func (r *rig) switchSettings(other bool, budget RetryBudget) {
	r.budget = budget
	r.listeners, r.cold, r.dials = someListeners, someCold, DialLimits{MaxDials: 4, MaxRetryAfter: 2 * sec}
	if other {
		r.listeners, r.cold, r.dials = otherListeners, otherCold, DialLimits{MaxDials: 2}
	}
	r.b.Reconfigure(r.now, r.listeners, r.dials, budget, ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, r.cold, PeerReportSettings{Enabled: other})
}

func anyServer(*Balancer, *session, *server) bool { return true }

// topServer is the one with the highest score for a key.
func (r *rig) topServer(key Key) *server {
	return r.b.pick(&session{placementKey: key}, anyServer)
}

// arrive hands a new session to the module; a time left of 0 stands for the dial timeout.
func (r *rig) arrive(listener ListenerID, client, group Key, left time.Duration) *clientSession {
	r.next++
	l := r.listeners[listener]
	if left == 0 {
		left = l.DialTimeout
	}
	s := &clientSession{id: r.next, listener: l, arrived: r.now, deadline: r.now + left, DialLimits: r.dials}
	r.sessions[s.id] = s
	r.order = append(r.order, s)
	r.arrivals = append(r.arrivals, r.now)
	a := Arrival{ID: s.id, Listener: listener, TimeLeft: left, Client: client, Group: group}
	if err := r.b.PlaceSession(r.now, a); err != nil {
		r.fail("%v", err)
	}
	return s
}

// fill establishes n sessions, each of a group of its own.
func (r *rig) fill(n Key) {
	for k := Key(1); k <= n; k++ {
		r.settle(r.arrive(0, k, k, 0), Accepted)
	}
}

// settle ends a session's dial.
func (r *rig) settle(s *clientSession, outcome Outcome) {
	to, no := s.dialing, DialNumber(s.dials-1)
	s.dialing = 0
	if outcome == Accepted {
		s.isOpen = !s.clientGone
		r.b.HandleOpened(r.now, s.id, to, no, r.now-s.outSince)
		return
	}
	if !outcome.ProvesNotRun() && !s.mayHaveRun {
		s.mayHaveRun, s.firstServer, s.firstDialAt = true, to, s.outSince
	}
	r.b.HandleDialEnd(r.now, s.id, no, to, outcome, r.now-s.outSince, s.clientGone)
}
