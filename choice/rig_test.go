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

// rig is a Front that checks the Balancer's promises at each call, by its own account of sessions, servers and dials.
type rig struct {
	balancer          *Balancer
	now               time.Duration // simulated time since New
	failure           string        // the first violation
	sessions          map[SessionID]*clientSession
	arrived           []*clientSession // all sessions, by arrival
	listed            map[ServerID]Entry
	dialsTo           map[ServerID][]time.Duration // when each server was dialed
	coldDials         map[ServerID][]time.Duration // the same, since the server's last start that the list showed
	peakDensity       float64                      // the most sessions for each unit of size so far
	timers            []timer                      // running
	lastTimer         time.Duration                // delay of the timer started last
	lastToken         TimerToken                   // its token
	subscriptions     int                          // calls of SubscribeList
	overloadReports   int                          // calls of PublishOverload
	maxServers        int                          // servers in a random list
	onlyDrainsExclude bool                         // as in ListSettings
	listeners         []Listener
	dialLimits        DialLimits
	retryBudget       RetryBudget
	arrivalTimes      []time.Duration // of all sessions
	retryTimes        []time.Duration // of dials beyond each session's first
	coldSettings      ColdSettings
	lastID            SessionID
}

// timer is a call of HandleTimer that the Balancer asked for.
type timer struct {
	due   time.Duration
	token TimerToken
}

// clientSession is a session as its client and the network see it.
type clientSession struct {
	id       SessionID
	listener Listener
	arrived  time.Duration
	deadline time.Duration // for the client's answer
	DialLimits
	dials        int           // so far
	dialing      ServerID      // 0: no dial is out; ids start at 1
	dialDeadline time.Duration // of the last dial
	dialedAt     time.Duration // of the last dial
	answer       string        // final answer other than an open session: "refused" or "aborted"; "": none
	retryAfter   time.Duration // advice with "refused"
	isOpen       bool
	clientGone   bool
	mayHaveRun   bool          // some dial may have run the session
	firstServer  ServerID      // of the first such dial
	firstDialAt  time.Duration // of the first such dial
}

// newFleet returns a rig with a list of so many ready servers.
func newFleet(servers int) *rig {
	r := newRig(testCold, rand.New(rand.NewSource(1)))
	r.publishServers(ListFull, servers)
	return r
}

// newRig returns a rig without a list.
func newRig(cold ColdSettings, rng *rand.Rand) *rig {
	r := &rig{maxServers: 9, listeners: testListeners, dialLimits: DialLimits{MaxDials: 4, MaxRetryAfter: 2 * sec},
		coldSettings: cold, sessions: map[SessionID]*clientSession{}, listed: map[ServerID]Entry{},
		dialsTo: map[ServerID][]time.Duration{}, coldDials: map[ServerID][]time.Duration{}}
	r.balancer = New(r, rng, testListeners, DialLimits{MaxDials: 4, MaxRetryAfter: 2 * sec}, RetryBudget{},
		ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, cold, PeerReportSettings{})
	return r
}

// fail records a violation, if it is the first.
func (r *rig) fail(format string, args ...any) {
	if r.failure == "" {
		r.failure = fmt.Sprintf("at %v: ", r.now) + fmt.Sprintf(format, args...)
	}
}

// Dial checks the rules for dials.
func (r *rig) Dial(id SessionID, server ServerID, timeout time.Duration) {
	r.dialsTo[server] = append(r.dialsTo[server], r.now)
	s := r.sessions[id]
	if s == nil {
		return
	}
	entry, known := r.listed[server]
	listener, repeats := s.listener, s.mayHaveRun && s.listener.Idempotency == IdempotencyKeyed
	switch {
	case s.answer != "" || s.isOpen || s.clientGone:
		r.fail("session %d is dialed though it is open or has ended", id)
	case s.dialing != 0:
		r.fail("session %d has two dials out", id)
	case s.dials >= s.MaxDials:
		r.fail("session %d has more dials than allowed", id)
	case timeout <= 0 || r.now+timeout > s.deadline:
		r.fail("session %d: dial of %v with %v left", id, timeout, s.deadline-r.now)
	case !known || entry.Status == Draining || entry.Status == Gone && !r.onlyDrainsExclude:
		r.fail("session %d is dialed to server %d, which the list does not allow", id, server)
	case s.mayHaveRun && listener.Idempotency == NonIdempotent:
		r.fail("non-idempotent session %d is dialed again though it may have run", id)
	case repeats && r.now-s.firstDialAt > listener.DedupWindow:
		r.fail("session %d with an idempotency key is repeated after its dedup window", id)
	case repeats && listener.DedupScope == DedupZone && entry.Zone != r.listed[s.firstServer].Zone,
		repeats && listener.DedupScope == DedupCell && entry.Cell != r.listed[s.firstServer].Cell:
		r.fail("session %d with an idempotency key is repeated outside its dedup scope", id)
	}
	r.checkColdLimit(server, entry)
	if s.dials > 0 {
		r.retryTimes = append(r.retryTimes, r.now)
		r.checkRetryBudget(id)
	}
	s.dialing, s.dialedAt, s.dialDeadline = server, r.now, r.now+timeout
	s.dials++
}

// checkColdLimit checks the overload window that ends now against this proxy's part of what a cold server can take, in
// whole dials.
func (r *rig) checkColdLimit(server ServerID, entry Entry) {
	age := r.now - entry.StartedAt
	if !entry.StartKnown || age >= r.coldSettings.RampDuration {
		return
	}
	capacityShare := r.coldSettings.InitialShare +
		(1-r.coldSettings.InitialShare)*max(age, 0).Seconds()/r.coldSettings.RampDuration.Seconds()
	windowShare := r.coldSettings.OverloadWindow.Seconds() / r.coldSettings.RampDuration.Seconds()
	capacity := max(2*r.peakDensity, 1/r.totalSize()) * entry.Size / assumedLoad // 2: half of the fleet may hold all sessions
	allowed := capacityShare * r.coldSettings.OverloadMultiple * windowShare * capacity
	r.coldDials[server] = append(r.coldDials[server], r.now)
	if dials := countAfter(r.coldDials[server], r.now-r.coldSettings.OverloadWindow); float64(dials) > math.Ceil(allowed)+2 {
		// 2: a window overlaps two slots, each of whole dials.
		r.fail("cold server %d gets %d dials in an overload window that allows %.2f", server, dials, allowed)
	}
}

// checkRetryBudget checks the window that ends now, including the present dial.
func (r *rig) checkRetryBudget(id SessionID) {
	windowStart := r.now - r.retryBudget.Window
	allowed := r.retryBudget.FreeRetries + r.retryBudget.RetriesPerSession*float64(countAfter(r.arrivalTimes, windowStart))
	if retries := countAfter(r.retryTimes, windowStart); r.retryBudget.Window > 0 && float64(retries) > allowed {
		r.fail("session %d is retry number %d, of %.2f allowed in %v", id, retries, allowed, r.retryBudget.Window)
	}
}

// countAfter counts the instants after another.
func countAfter(instants []time.Duration, after time.Duration) (n int) {
	for _, instant := range instants {
		if instant > after {
			n++
		}
	}
	return n
}

// updatePeakDensity updates the most sessions for each unit of size so far.
func (r *rig) updatePeakDensity() {
	totalSize, live := r.totalSize(), 0.0
	for _, s := range r.arrived {
		if s.isOpen || s.dialing != 0 {
			live++
		}
	}
	if totalSize > 0 {
		r.peakDensity = max(r.peakDensity, live/totalSize)
	}
}

// totalSize returns the sum of the ready servers' sizes.
func (r *rig) totalSize() (sum float64) {
	for _, entry := range r.listed {
		if entry.Status == Ready {
			sum += entry.Size
		}
	}
	return sum
}

// finish gives a session its final answer and returns it.
func (r *rig) finish(id SessionID, answer string) *clientSession {
	s := r.sessions[id]
	if s == nil {
		return &clientSession{}
	}
	if s.answer != "" || s.isOpen || s.clientGone || s.dialing != 0 {
		r.fail("session %d is %s, though it has the answer %q, is open, has left or has a dial out", id, answer, s.answer)
	}
	s.answer = answer
	return s
}

// Refuse checks the advice, and that the session can have done no harm.
func (r *rig) Refuse(id SessionID, retryAfter time.Duration) {
	s := r.finish(id, "refused")
	s.retryAfter = retryAfter
	if listener := s.listener; retryAfter > s.MaxRetryAfter || s.MaxRetryAfter > 0 && retryAfter <= 0 {
		r.fail("session %d is to be retried after %v", id, retryAfter)
	} else if s.mayHaveRun && (listener.Idempotency == NonIdempotent ||
		listener.Idempotency == IdempotencyKeyed && listener.DedupScope != DedupAll) {
		r.fail("session %d is refused though it may have run", id)
	}
}

func (r *rig) Abort(id SessionID) { r.finish(id, "aborted") }

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

func (r *rig) PublishOverload(ServerID, time.Duration) { r.overloadReports++ }
func (r *rig) SubscribeList()                          { r.subscriptions++ }
func (r *rig) Log(string)                              {}

// publishServers publishes a list of so many ready servers, with ids from 1, of sizes 2 and 4, each size of its own model.
func (r *rig) publishServers(kind ListKind, servers int) {
	entries := []Entry{}
	for i := 1; i <= servers; i++ {
		entries = append(entries, Entry{ID: ServerID(i), Size: float64(2 + i%2*2), Zone: ZoneID(i % 3),
			Cell: CellID(i % 4), Model: ModelID(3 * (i % 2)), Status: Ready})
	}
	r.publish(kind, entries)
}

// publish hands a list to the Balancer.
func (r *rig) publish(kind ListKind, entries []Entry) {
	if kind == ListFull || kind == ListCached {
		for id, entry := range r.listed {
			entry.Status = Gone
			r.listed[id] = entry
		}
	}
	for _, entry := range entries {
		previous := r.listed[entry.ID] // the zero entry, which is Gone, if unknown
		if entry.StartKnown && (!previous.StartKnown || previous.StartedAt < entry.StartedAt || previous.Status == Gone) {
			delete(r.coldDials, entry.ID)
		}
		r.listed[entry.ID] = entry
	}
	r.balancer.ApplyList(r.now, kind, entries)
}

// reconfigure changes to the other settings, or back to the first, with the given retry budget.
func (r *rig) reconfigure(other bool, retryBudget RetryBudget) {
	r.retryBudget = retryBudget
	r.listeners, r.coldSettings, r.dialLimits = testListeners, testCold, DialLimits{MaxDials: 4, MaxRetryAfter: 2 * sec}
	if other {
		r.listeners, r.coldSettings, r.dialLimits = otherListeners, otherCold, DialLimits{MaxDials: 2}
	}
	r.balancer.Reconfigure(r.now, r.listeners, r.dialLimits, retryBudget,
		ListSettings{NeedsSubscription: true, MaxPollInterval: 10 * sec}, r.coldSettings, PeerReportSettings{Enabled: other})
}

// anyServer lets every server pass.
func anyServer(*Balancer, *session, *server) bool { return true }

// topServer returns the server with the highest score for a key.
func (r *rig) topServer(key Key) *server {
	return r.balancer.pick(&session{placementKey: key}, anyServer)
}

// arrive hands a new session to the Balancer. A timeLeft of 0 stands for the listener's dial timeout.
func (r *rig) arrive(listener ListenerID, client, group Key, timeLeft time.Duration) *clientSession {
	r.lastID++
	settings := r.listeners[listener]
	if timeLeft == 0 {
		timeLeft = settings.DialTimeout
	}
	s := &clientSession{id: r.lastID, listener: settings, arrived: r.now, deadline: r.now + timeLeft, DialLimits: r.dialLimits}
	r.sessions[s.id] = s
	r.arrived = append(r.arrived, s)
	r.arrivalTimes = append(r.arrivalTimes, r.now)
	arrival := Arrival{ID: s.id, Listener: listener, TimeLeft: timeLeft, Client: client, Group: group}
	if err := r.balancer.PlaceSession(r.now, arrival); err != nil {
		r.fail("%v", err)
	}
	return s
}

// openSessions opens so many sessions, with client and group keys from 1, each in a group of its own.
func (r *rig) openSessions(count Key) {
	for key := Key(1); key <= count; key++ {
		r.endDial(r.arrive(0, key, key, 0), Accepted)
	}
}

// endDial reports the outcome of a session's dial to the Balancer.
func (r *rig) endDial(s *clientSession, outcome Outcome) {
	server, dial := s.dialing, DialNumber(s.dials-1)
	s.dialing = 0
	if outcome == Accepted {
		s.isOpen = !s.clientGone
		r.balancer.HandleOpened(r.now, s.id, server, dial, r.now-s.dialedAt)
		return
	}
	if !outcome.ProvesNotRun() && !s.mayHaveRun {
		s.mayHaveRun, s.firstServer, s.firstDialAt = true, server, s.dialedAt
	}
	r.balancer.HandleDialEnd(r.now, s.id, dial, server, outcome, r.now-s.dialedAt, s.clientGone)
}
