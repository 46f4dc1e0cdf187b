package scale

import (
	"time"

	"chalkferry/internal/aggregation"
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
	Impair  *Impairment    `json:",omitempty"`
	Restart *Restart       `json:",omitempty"`
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
	ID          int
	Name        string
	Region      int
	Zone        int
	Aggregators []sharing.AggregatorAddress
	Mute        bool // broken on purpose: it never publishes anything
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

// AwaitChange waits until all members of a process know of a change, or for a time at most: until Revision of the list
// has come, and their sums lie within bounds.
type AwaitChange struct {
	Sums      []SumBound
	Revision  uint64
	SkipZones []int // whose members are not waited for
	Timeout   time.Duration
}

// SumBound is what the sum of a listener's name is to lie within.
type SumBound struct {
	Name    string
	AtLeast float64
	AtMost  float64
}

// Restart ends a share of the members of a process and starts each again at once, at times drawn within a span. It is
// answered before that is over.
type Restart struct {
	Share  float64
	Within time.Duration
	Seed   int64
	Keep   int // a member that is not restarted
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
	Error   string               `json:",omitempty"`
	Address string               `json:",omitempty"` // of ServeList
	Known   []int64              `json:",omitempty"` // of AwaitChange: Unix times in ns at which members knew, 0 for never
	Skipped int                  `json:",omitempty"` // members that were not waited for
	At      int64                `json:",omitempty"` // Unix time in ns at which the change was made
	Usage   *Usage               `json:",omitempty"`
	Sums    []aggregation.Figure `json:",omitempty"`
	Took    []time.Duration      `json:",omitempty"` // of ApplySettings: of each member
}

// Usage is what a process has used since its start, and what its members have sent and received.
type Usage struct {
	At       int64 // Unix time in ns
	CPU      time.Duration
	Resident uint64 // bytes
	Members  int
	Watching int // members whose list is up to date with a watch that has brought something
	Sharing  Traffic
	Restarts int     // of members
	Silent   int     // members that have not sent one datagram
	List     Traffic // of the stand-in discovery: TCP payload; Packets are reads and writes
	Ticks    int64   // of the generator's schedule
	Late     int64   // of them later than the bound
	LateP99  float64 // ms
	LateMax  float64 // ms
	TooLate  bool
}
