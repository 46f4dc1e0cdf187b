package aggregation

import (
	"cmp"
	"fmt"
	"time"
)

// Kind says what a value counts.
type Kind uint8

const (
	ByServer   Kind = iota + 1 // sessions held on a server
	ByTenant                   // sessions of a tenant
	ByListener                 // sessions accepted on a listener
)

// Key names one value.
type Key struct {
	Kind Kind
	ID   uint64
}

func (k Key) String() string { return fmt.Sprintf("%d/%016x", k.Kind, k.ID) }

// Compare orders keys by kind and then by ID.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.ID, o.ID))
}

// MemberID names a proxy; it stays the same when the process starts again.
type MemberID uint64

// AggregatorID names an aggregator. 0 is none.
type AggregatorID uint64

// Incarnation tells the processes of one member or aggregator apart: the larger one is the later. It is the time of
// the start in nanoseconds.
type Incarnation uint64

// Entry is the value of one key.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint64
	Value uint64
}

// Key returns the key of the entry.
func (e Entry) Key() Key { return Key{Kind: e.Kind, ID: e.ID} }

// Report is one datagram of a member to both aggregators of its region.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Member      MemberID
	Incarnation Incarnation
	Number      uint64 // grows by one with each report
	Since       uint64 // each key the member has was sent by a report of this number or a later one
	Zone        string
	Keys        uint32       // how many of the member's keys are not 0
	Slack       uint64       // largest difference between a value and what was last sent of it
	Subscribe   AggregatorID // the aggregator that is to send digests; 0: none
	Entries     []Entry
}

// RegionSum is one datagram of an aggregator to all others: a part of the sums over its region.
type RegionSum struct {
	_           struct{} `cbor:",toarray"`
	Aggregator  AggregatorID
	Region      string
	Incarnation Incarnation
	Number      uint64
	Since       uint64
	Members     uint32        // known members of the region
	Heard       float64       // share of them that is fresh and fully received
	Age         time.Duration // of the oldest part of the sums
	Slack       uint64        // sum of the members' Slack, plus that of this datagram's own table
	Fading      uint64        // largest part of a value that members hold which are no longer heard
	Keys        uint32
	Entries     []Entry
}

// RegionState says where a region's sums come from and how good they are.
type RegionState struct {
	_       struct{} `cbor:",toarray"`
	Region  string
	Source  AggregatorID // 0: none yet
	Members uint32       // known members
	Heard   float64      // share of them that is fresh and fully received
	Weight  float64      // 1: its sums count in full; less: it is no longer heard; 0: they count no more
	Age     time.Duration
	Slack   uint64 // bound on the error by what was not sent
	Fading  uint64 // bound on the error by members or a region that are no longer heard
}

// Digest is one datagram of an aggregator to the members that subscribe to it: a part of the sums over the fleet. One
// without entries is a heartbeat: it repeats the Number of the latest digest.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	Aggregator  AggregatorID
	Region      string
	Incarnation Incarnation
	Number      uint64
	Since       uint64
	Heartbeat   uint64 // grows by one with each digest and heartbeat
	Keys        uint32
	Slack       uint64 // of the digest's own table; the regions' comes on top of it
	Regions     []RegionState
	Entries     []Entry
}

// Refusal answers a report of an earlier incarnation than the one that is known.
type Refusal struct {
	_           struct{} `cbor:",toarray"`
	Aggregator  AggregatorID
	Member      MemberID
	Incarnation Incarnation // the one that is known
}

// MaxDatagramBytes is the largest size of an encoded message with its envelope.
const MaxDatagramBytes = 1200

// Bounds on the strings of a message, so that its size is bounded.
const (
	MaxNameBytes = 32 // of a zone's or region's name
	MaxRegions   = 8  // that a digest describes
)

// EntrySize returns the bytes that an entry takes in CBOR.
func EntrySize(e Entry) int {
	return 1 + uintSize(uint64(e.Kind)) + uintSize(e.ID) + uintSize(e.Value)
}

func uintSize(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}

// Outcome says what became of a received datagram.
type Outcome uint8

const (
	Accepted      Outcome = iota + 1
	Duplicate             // its number is not new and it changed nothing
	Obsolete              // it is older than what its sender says is still valid
	Refused               // it is of an earlier incarnation than the one that is known
	UnknownSender         // no such aggregator, or of another region or member than it says
	NoRoom                // one more member than there may be
	Malformed             // its fields contradict each other or the bounds
)

var outcomeNames = [...]string{
	Accepted: "accepted", Duplicate: "duplicate", Obsolete: "obsolete", Refused: "refused",
	UnknownSender: "unknown sender", NoRoom: "no room", Malformed: "malformed",
}

func (o Outcome) String() string {
	if o == 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("Outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}
