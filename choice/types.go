package choice

import "time"

type (
	SessionID  uint32
	ServerID   uint32
	DialNumber uint16 // numbers the dials of one session, from 0
	ListenerID uint16 // index of the listener in the settings
	TenantID   uint32
	ZoneID     uint16
	CellID     uint16
	ModelID    uint16 // hardware model of a server
	TimerToken uint32 // identifies a timer
	// Key is the hash of a client's or a group's name, by which sessions are placed; 0 if there is none.
	Key uint64
)

// Front carries out what the Balancer decides. Its owner implements it over real sockets and timers, or in a simulation.
// Each call takes effect at once and returns without calling the Balancer back.
type Front interface {
	// Dial starts the session's next dial, numbered from 0, which ends with TimedOut if the server has not answered
	// within the timeout.
	Dial(id SessionID, server ServerID, timeout time.Duration)
	// Refuse is a final answer to the client: the session did no harm and may be tried again, best after retryAfter
	// (0: no advice).
	Refuse(id SessionID, retryAfter time.Duration)
	// Abort is a final answer to the client which leaves open whether the session has run.
	Abort(id SessionID)
	// Move closes an open session in good order and asks its client to reconnect.
	Move(id SessionID)
	// PublishOverload sends an overload report to all other proxies: the server, and how long its messages take. The
	// report may be lost.
	PublishOverload(server ServerID, delay time.Duration)
	// StartTimer asks for a call of Balancer.HandleTimer with the token, once.
	StartTimer(after time.Duration, token TimerToken)
	// SubscribeList opens the subscription to the list of servers, in place of an earlier one.
	SubscribeList()
	// Log writes a line for operators.
	Log(line string)
}

// Idempotency says whether a session may run more than once.
type Idempotency int

const (
	// Idempotent sessions do no harm if they run again.
	Idempotent Idempotency = iota
	// IdempotencyKeyed sessions carry a key by which the servers of a DedupScope drop repeats, within a DedupWindow.
	IdempotencyKeyed
	// NonIdempotent sessions must not be sent again once they may have run.
	NonIdempotent
)

// DedupScope is the set of servers that share the keys of IdempotencyKeyed sessions, so that any of them drops a repeat.
type DedupScope int

const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // the servers of one zone
	DedupCell                   // the servers of one cell
)

// Listener holds the settings of one kind of session.
type Listener struct {
	Name            string        // identifies the listener across a change of settings
	HandshakeTarget time.Duration // within which a session should be answered
	DialTimeout     time.Duration // the longest that a client waits for an answer
	MessageTarget   time.Duration // within which a message of an open session should be answered; 0: no target
	Idempotency     Idempotency
	DedupScope      DedupScope    // of IdempotencyKeyed sessions
	DedupWindow     time.Duration // from the first dial that may have run a session, within which repeats are dropped
	Utility         float64       // worth of a session, relative to those of other listeners
}

// DialLimits bound a session's dials and the advice to clients.
type DialLimits struct {
	MaxDials      int           // for each session, the first included
	MaxRetryAfter time.Duration // of a Refuse; 0 if clients take no advice
}

// RetryBudget bounds all retries of a proxy, which are the dials beyond each session's first. Within any Window there are
// at most FreeRetries plus RetriesPerSession for each session that arrived in that window, refused ones included. With a
// Window of 0 there is no bound.
type RetryBudget struct {
	FreeRetries       float64 // dials
	RetriesPerSession float64 // dials for each session
	Window            time.Duration
}

// ListSettings say how the list of servers is followed. In any case dials to a server stop as soon as the list shows it as
// Draining.
type ListSettings struct {
	// NeedsSubscription is set if the list comes only to proxies that subscribed.
	NeedsSubscription bool
	// MaxPollInterval is the longest time between two attempts to subscribe while no subscription is open.
	MaxPollInterval time.Duration
	// MaxRetryBackoff is the longest pause after a failed attempt to subscribe, before jitter, which up to doubles it.
	// 0: a quarter of MaxPollInterval.
	MaxRetryBackoff time.Duration
	// OnlyDrainsExclude is set if only a drain excludes a server from dials: one that the list shows as Gone, or leaves
	// out, without having drained may still be dialed.
	OnlyDrainsExclude bool
}

// ColdSettings describe servers that have just started, and so how much all proxies together may send to one. A cold server
// fails if within any OverloadWindow it is sent more sessions than OverloadMultiple * OverloadWindow / RampDuration times
// as many as it can carry at present, that is OverloadMultiple times what it would get in the window if this many sessions
// came evenly over a ramp. This present capacity grows from InitialShare of the full one to all of it.
type ColdSettings struct {
	RampDuration     time.Duration // after a start; the server is warm after this at the latest; 0: servers start warm
	InitialShare     float64       // share of its full capacity that a server has at its start, above 0, up to 1
	OverloadMultiple float64       // of an even arrival, see above
	OverloadWindow   time.Duration
	ProxyCount       int // proxies in the settings
	ProxyIndex       int // this proxy's number among them, from 0
}

// PeerReportSettings say whether proxies may send overload reports to one another.
type PeerReportSettings struct {
	Enabled        bool
	CostPerMessage float64 // of a report to one other proxy, as a share of the worth of a session
}

// ServerStatus is a server's state in the list.
type ServerStatus int

const (
	Gone     ServerStatus = iota // not in the list
	Ready                        // takes new sessions
	Draining                     // takes no new sessions and is about to stop
)

// ListKind says how to read the entries of a list.
type ListKind int

const (
	ListDelta  ListKind = iota // the entries that changed
	ListFull                   // all entries
	ListCached                 // all entries, of a stored copy: does not show that a subscription is open
	ListFailed                 // no entries: the subscription failed
)

// Entry is the entry of one server in the list.
type Entry struct {
	ID ServerID
	// Size is the listed capacity, in the same unit for all servers, such as cores. It does not say how fast these cores
	// are. 0 if the list does not say; it counts as 1 then.
	Size       float64
	Zone       ZoneID
	Cell       CellID
	Model      ModelID
	Status     ServerStatus
	StartKnown bool          // whether StartedAt is known
	StartedAt  time.Duration // the server's start, in time since New; may be negative
}

// Arrival is a session that asks to be placed.
type Arrival struct {
	ID          SessionID
	Listener    ListenerID
	Tenant      TenantID      // no decision depends on it
	TimeLeft    time.Duration // until the client must have its answer
	Load        float64       // cores that the session keeps busy; 0 if unknown
	Group       Key           // sessions of one group are cheaper on the same server; 0 if none
	Client      Key
	MidFlow     bool            // the session is open at some server already, and only that one can continue it
	Reconnected bool            // the client comes back after a Move or a broken connection
	Settings    SessionSettings // zero: those of the session's listener at present
}

// SessionSettings are a listener's settings at one moment. A session keeps those that it arrived under. A caller that hands
// a session to the Balancer later, perhaps after a Reconfigure, takes them from Balancer.SessionSettings when the session
// arrives. The zero value stands for the present settings of the session's listener.
type SessionSettings struct{ listener *listenerSettings }

// Outcome is how a dial ended, or the session that it opened.
type Outcome int

const (
	Accepted       Outcome = iota + 1 // the server took the session, which has ended in good order
	Failed                            // the server answered with an error, or with something malformed
	ServerFull                        // the server answered that it takes no more
	TimedOut                          // the server got the dial and did not answer in time
	Unreachable                       // the server did not get the dial
	ConnectionLost                    // the connection broke after the server may have got the dial
	Cancelled                         // the client left, or the server or the proxy moved the session
	NotSent                           // the proxy sent nothing, for a reason that is not the server's
)

// ProvesNotRun reports whether the outcome proves that the server did not run the session.
func (o Outcome) ProvesNotRun() bool { return o == ServerFull || o == Unreachable || o == NotSent }
