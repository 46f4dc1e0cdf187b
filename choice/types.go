package choice

import "time"

type (
	SessionID  uint32
	ServerID   uint32
	DialNo     uint16
	ListenerID uint16
	TenantID   uint32
	ZoneID     uint16
	CellID     uint16
	ModelID    uint16
	Token      uint32
	// Key is a client key or a group key; 0 stands for none.
	Key uint64
)

// Front is what the module asks of the world around it. All calls take effect at once and return
// without calling the module back.
type Front interface {
	// Dial starts the session's next dial, numbered from 0, and gives it limit to be answered.
	Dial(id SessionID, to ServerID, limit time.Duration)
	// Refuse is a final answer: trying again is harmless, best after comeBack (0: no advice).
	Refuse(id SessionID, comeBack time.Duration)
	// TearDown is a final answer that promises nothing.
	TearDown(id SessionID)
	// Move ends an open session in good order; its client comes again.
	Move(id SessionID)
	// Tell sends word of a server's message delay to all other proxies; it may be lost.
	Tell(at ServerID, delay time.Duration)
	// Timer asks for a call of Tick with the token.
	Timer(after time.Duration, token Token)
	// Watch opens the subscription to the list of servers.
	Watch()
	Log(line string)
}

// Effect says what a second run of a session's work would do.
type Effect int

const (
	Repeatable Effect = iota
	Referenced
	OnceOnly
)

// Group names the servers that drop repeats of a referenced session.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Listener is one kind of session.
type Listener struct {
	Name            string // the same before and after a change of settings
	HandshakeTarget time.Duration
	DialTimeout     time.Duration
	MessageTarget   time.Duration // 0 where messages have none
	Effect          Effect
	Group           Group
	RepeatWindow    time.Duration
	Utility         float64
}

// DialLimits are the bounds on dials and on advice to clients.
type DialLimits struct {
	MostDials   int
	MaxComeBack time.Duration // 0 where clients take no advice
}

// DialBudget bounds a proxy's dials beyond each session's first: in any window no more than a few, and a share of
// the sessions that it took in that window, refused ones too. No bound with a window of 0.
type DialBudget struct {
	Free   float64       // dials
	Share  float64       // dials for each session taken
	Window time.Duration // in which both are counted
}

// ListRules say how the list of servers is followed. Dials to a server stop as soon as its drain is told.
type ListRules struct {
	MustWatch bool          // the list comes only to those who asked
	MustAskIn time.Duration // without a subscription, ask at least this often
	// AskAgainIn: of calls that fail, the next comes after twice this at the latest; 0: by MustAskIn.
	AskAgainIn time.Duration
	// DrainsBindAlone: what is listed as gone, or left out, without having drained may still be dialed.
	DrainsBindAlone bool
}

// ColdRule is the budget of a server that has just started.
type ColdRule struct {
	Span     time.Duration // warm after this at the latest
	From     float64       // share of its capacity at the start
	Multiple float64       // falls over when sent more than this times its present capacity
	Window   time.Duration // for this long
	Proxies  int           // as many as are configured
	Me       int           // this proxy's number among them, from 0
}

// WordRule says whether proxies may tell one another of late servers.
type WordRule struct {
	Allowed bool
	Price   float64 // of one word to one proxy, as a share of what a session is worth
}

// Standing is a server's state in the list.
type Standing int

const (
	Gone Standing = iota
	Ready
	Draining
)

// ListKind says how to read the entries of the list.
type ListKind int

const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Entry is one line of the list of servers.
type Entry struct {
	ID       ServerID
	Size     float64
	Zone     ZoneID
	Cell     CellID
	Model    ModelID
	Standing Standing
	Started  bool // whether Since is known
	Since    time.Duration
}

// Arrival is a session that asks to be placed.
type Arrival struct {
	ID       SessionID
	Listener ListenerID
	Tenant   TenantID
	Left     time.Duration
	Load     float64 // in cores; 0 if not told
	Group    Key
	Client   Key
	MidFlow  bool
	Returned bool
	Under    Under
}

// Under are the terms that a session came under, kept for one that the module is told of later, perhaps after a
// Switch. The zero Under stands for the terms of the session's listener now.
type Under struct{ terms *terms }

// Outcome is how a dial ended.
type Outcome int

const (
	Accepted Outcome = iota + 1
	Failed
	Full
	Unanswered
	Unreachable
	Broken
	Cancelled
	NotSent
)

// ProvesNotRun reports whether the outcome shows that the dial never ran.
func (o Outcome) ProvesNotRun() bool { return o == Full || o == Unreachable || o == NotSent }
