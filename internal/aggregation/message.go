package aggregation

import (
	"cmp"
	"fmt"
	"time"
)

// Kind is the dimension by which sessions are counted.
type Kind uint8

const (
	ByServer   Kind = iota + 1 // sessions held on a server
	ByTenant                   // sessions of a tenant
	ByListener                 // sessions accepted on a listener
)

// Key identifies one counted value. ID identifies the server, tenant or listener.
type Key struct {
	Kind Kind
	ID   uint64
}

// String returns the kind in decimal and the ID in hexadecimal.
func (k Key) String() string { return fmt.Sprintf("%d/%016x", k.Kind, k.ID) }

// Compare orders keys by kind and then by ID.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.ID, other.ID))
}

// MemberID identifies a proxy; it stays the same across restarts.
type MemberID uint64

// AggregatorID identifies an aggregator. 0 means none.
type AggregatorID uint64

// Incarnation distinguishes the successive processes of one member or aggregator: a later process has a larger one. It
// is the start time in nanoseconds.
type Incarnation uint64

// Entry is the value of one key in a message. It is encoded as a CBOR array, as all messages are, so the order of the
// fields is the wire format.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	ID    uint64
	Value uint64
}

// Key returns the key of the entry.
func (e Entry) Key() Key { return Key{Kind: e.Kind, ID: e.ID} }

// Report is one datagram of a member to the aggregators of its region: some of its own values.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Member      MemberID
	Incarnation Incarnation
	Number      uint64 // increases by one with each report
	Since       uint64 // every key was last sent in this or a later report; older entries are obsolete
	Zone        string
	Keys        uint32       // number of the member's keys with a value other than 0
	Slack       uint64       // largest difference between a value and the last value sent for its key
	Subscribe   AggregatorID // the aggregator asked to send digests; 0: none
	Entries     []Entry
}

// RegionSum is one datagram of an aggregator to all others: some of the sums over its region. Number, Since and Keys
// are as in Report.
type RegionSum struct {
	_           struct{} `cbor:",toarray"`
	Aggregator  AggregatorID
	Region      string
	Incarnation Incarnation
	Number      uint64
	Since       uint64
	Members     uint32        // known members of the region
	Heard       float64       // share of them, 0 to 1, that were heard within the freshness and fully received
	Age         time.Duration // age of the oldest values in the sums
	Slack       uint64        // sum of the members' Slack, plus the slack of the sender's own table
	Fading      uint64        // largest part of any sum that comes from members that are no longer heard
	Keys        uint32
	Entries     []Entry
}

// RegionState describes the source and the quality of a region's sums.
type RegionState struct {
	_       struct{} `cbor:",toarray"`
	Region  string
	Source  AggregatorID  // aggregator whose sums are used; 0: none yet
	Members uint32        // known members
	Heard   float64       // share of them, 0 to 1, that were heard within the freshness and fully received
	Weight  float64       // 1: the sums count in full; less: the source is no longer heard; 0: they no longer count
	Age     time.Duration // age of the oldest values in the sums
	Slack   uint64        // bound on the error from changes that were not sent
	Fading  uint64        // bound on the error from members or a region no longer heard
}

// Digest is one datagram of an aggregator to the members that subscribe to it: some of the sums over the fleet. Number,
// Since and Keys are as in Report. A digest without entries is a heartbeat: it repeats the Number of the latest digest.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	Aggregator  AggregatorID
	Region      string
	Incarnation Incarnation
	Number      uint64
	Since       uint64
	Heartbeat   uint64 // increases by one with each digest and heartbeat
	Keys        uint32
	Slack       uint64 // slack of the digest's own table; the Slack of each region adds to it
	Regions     []RegionState
	Entries     []Entry
}

// Refusal is the reply to a report whose incarnation is earlier than the one known for the member.
type Refusal struct {
	_           struct{} `cbor:",toarray"`
	Aggregator  AggregatorID
	Member      MemberID
	Incarnation Incarnation // the known one
}

// MaxDatagramBytes is the maximum size of an encoded message including its envelope.
const MaxDatagramBytes = 1200

// Limits on the variable parts of a message, which bound its size.
const (
	MaxNameBytes = 32 // length of a zone's or region's name
	MaxRegions   = 8  // regions that a digest describes
)

// EntrySize returns the size of an entry in CBOR, in bytes.
func EntrySize(e Entry) int {
	return 1 + uintSize(uint64(e.Kind)) + uintSize(e.ID) + uintSize(e.Value)
}

// uintSize returns the size of an unsigned integer in CBOR, in bytes.
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

// Outcome is the result of receiving a datagram.
type Outcome uint8

const (
	Accepted      Outcome = iota + 1
	Duplicate             // its number is not above the largest one received, and it changed nothing
	Obsolete              // its number is below Since of a datagram received before
	Refused               // its incarnation is earlier than the known one
	UnknownSender         // the aggregator is not configured or is in another region, or the datagram is for another member
	NoRoom                // the member is new and the limit on members is reached
	Malformed             // its fields are inconsistent or out of bounds
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
