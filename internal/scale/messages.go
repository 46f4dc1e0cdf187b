package scale

import (
	"time"

	"chalkferry/internal/sharing"
)

// Request is what the coordinator asks of a child process. Exactly one field is set. Requests and replies are JSON
// values on the child's standard input and output, one reply for each request, in order.
type Request struct {
	Start   *StartMembers  `json:",omitempty"`
	Serve   *ServeList     `json:",omitempty"`
	Publish *PublishMark   `json:",omitempty"`
	Await   *AwaitChange   `json:",omitempty"`
	Change  *ChangeList    `json:",omitempty"`
	Apply   *ApplySettings `json:",omitempty"`
	Measure *Measure       `json:",omitempty"`
	Sums    *ReadSums      `json:",omitempty"`
}

// StartMembers starts hollow members, spread over a time.
type StartMembers struct {
	Members   []MemberSpec
	Keys      int
	Servers   int
	Seed      int64
	Ramp      time.Duration
	Discovery string // address
	Revision  uint64 // of the list that members have at their start
	Settings  []byte
	LateBound time.Duration
}

// MemberSpec is one hollow member.
type MemberSpec struct {
	ID    int
	Fleet string // path of the file of the sharing part
	Mute  bool   // broken on purpose: it never publishes anything
}

// ServeList starts the stand-in discovery service.
type ServeList struct {
	Servers int
	Zones   int
}

// PublishMark has one member publish another value of the marked key.
type PublishMark struct {
	Member int
	Value  uint32
}

// AwaitChange waits until all members of a process know of a change, or for a time at most. A change of a count is
// known once the figure of the marked key is Threshold or more; a change of the list once Revision has come.
type AwaitChange struct {
	Threshold float64
	Revision  uint64
	Timeout   time.Duration
}

// ChangeList has one server change its phase.
type ChangeList struct {
	Server int
	Phase  string
}

// ApplySettings has all members read settings.
type ApplySettings struct {
	Settings []byte
}

// Measure asks for what the process has used until now.
type Measure struct{}

// ReadSums asks each member for its figure of the count that all hold.
type ReadSums struct{}

// Reply answers one request. Error is set where it could not be done.
type Reply struct {
	Error   string          `json:",omitempty"`
	Address string          `json:",omitempty"` // of ServeList
	Known   []int64         `json:",omitempty"` // of AwaitChange: Unix times in ns at which members knew, 0 for never
	At      int64           `json:",omitempty"` // Unix time in ns at which the change was made
	Usage   *Usage          `json:",omitempty"`
	Sums    []sharedFigure  `json:",omitempty"`
	Took    []time.Duration `json:",omitempty"` // of ApplySettings: of each member
}

// Usage is what a process has used since its start, and what its members have sent and received.
type Usage struct {
	At       int64 // Unix time in ns
	CPU      time.Duration
	Resident uint64 // bytes
	Members  int
	Watching int // members whose list is up to date with a watch that has brought something
	Sharing  sharing.Traffic
	Silent   int             // members that have not sent one datagram
	List     sharing.Traffic // of the stand-in discovery: TCP payload; Packets are reads and writes
	Ticks    int64           // of the generator's schedule
	Late     int64           // of them later than the bound
	LateP99  float64         // ms
	LateMax  float64         // ms
	TooLate  bool
}

// sharedFigure is a sum over the fleet as one member believes it.
type sharedFigure struct {
	Value float64
	Error float64
	Age   time.Duration
	Heard float64
}
