package scale

import (
	"time"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/sharing"
)

// Request is sent by the coordinator to a child process; exactly one field is set. Requests and replies are JSON values on
// the child's standard input and output, with one reply for each request, in order.
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

// StartMembers starts hollow members, spread over Ramp. The reply is sent after the last start.
type StartMembers struct {
	Members   []MemberSpec
	Keys      int   // number of counts that each member publishes
	Servers   int   // number of servers in the list
	Seed      int64 // of the drawn sets of servers
	Ramp      time.Duration
	Discovery string        // address of the discovery service
	Revision  uint64        // of the server list that members start with
	Settings  []byte        // JSON text that each member parses at its start
	LateBound time.Duration // delay above which a tick counts as late
}

// MemberSpec configures one hollow member. Region and Zone are indexes.
type MemberSpec struct {
	ID          int
	Name        string
	Region      int
	Zone        int
	Aggregators []sharing.AggregatorAddress
	Mute        bool // never publishes anything, so that the sums are wrong
}

// ServeList starts the stand-in discovery service with a number of servers, spread over a number of zones.
type ServeList struct {
	Servers int
	Zones   int
}

// PublishMark has a member publish a new value of the marked count at once.
type PublishMark struct {
	Member int // ID
	Value  uint32
}

// AwaitChange waits, for Timeout at most, until all members of the process know of a change: their server list has reached
// Revision (if it is above 0), and their sums lie within the bounds.
type AwaitChange struct {
	Sums      []SumBound
	Revision  uint64
	SkipZones []int // zones whose members are not waited for
	Timeout   time.Duration
}

// SumBound is a range, both ends included, for the sum of a count by listener.
type SumBound struct {
	Name    string
	AtLeast float64
	AtMost  float64
}

// Restart restarts a share of the process's members, each at a random time within a span. The reply is sent before the
// restarts are done.
type Restart struct {
	Share  float64       // probability for each member
	Within time.Duration // span over which the restarts are spread
	Seed   int64         // of the choice and the times
	Keep   int           // ID of a member that is not restarted
}

// ChangeList changes the phase of one server in the list.
type ChangeList struct {
	Server int // index
	Phase  string
}

// ApplySettings has all members parse settings.
type ApplySettings struct {
	Settings []byte
}

// Measure asks for the process's usage since its start.
type Measure struct{}

// ReadSums asks for the sum of the common count at each member.
type ReadSums struct{}

// Reply answers one request. Error is set if the request failed.
type Reply struct {
	Error   string               `json:",omitempty"`
	Address string               `json:",omitempty"` // of ServeList: where the service listens
	Known   []int64              `json:",omitempty"` // of AwaitChange: for each member the Unix time in ns at which it was seen to know, 0 for never
	Skipped int                  `json:",omitempty"` // of AwaitChange: members that were not waited for
	At      int64                `json:",omitempty"` // Unix time in ns at which the change was made
	Usage   *Usage               `json:",omitempty"` // of Measure
	Sums    []aggregation.Figure `json:",omitempty"` // of ReadSums: one for each member
	Took    []time.Duration      `json:",omitempty"` // of ApplySettings: time per member
}

// Usage is the cumulative usage of a process since its start, and the traffic of its members.
type Usage struct {
	At       int64         // Unix time in ns
	CPU      time.Duration // user and system time
	Resident uint64        // bytes of resident memory
	Members  int           // members that run
	Watching int           // members whose watch of the server list has received something
	Sharing  Traffic       // of the members' shared state: UDP payload
	Restarts int           // of members, since the start
	Silent   int           // members that have not sent a datagram
	List     Traffic       // of the discovery service: TCP payload; packets are reads and writes
	Ticks    int64         // of the generator's schedule
	Late     int64         // ticks that were later than the bound
	LateP99  float64       // 99th percentile of the ticks' delays, ms
	LateMax  float64       // ms
	TooLate  bool          // so many ticks were late that the measurement does not count
}
