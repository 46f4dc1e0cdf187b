package aggregation

import "time"

// Figure is a sum over the fleet, and how good it is. Value differs from what the heard members held Age ago by at
// most Error. Age counts from when datagrams came in: the time that they spent on the network is not in it.
type Figure struct {
	Value float64
	Error float64
	Age   time.Duration // of the oldest part that counts
	Heard float64       // share of the known members that is fresh and fully received
}

// AggregatorStatus is what a member knows of an aggregator, or an aggregator of another one.
type AggregatorStatus struct {
	ID          AggregatorID
	Region      string
	Known       bool // a datagram of it was accepted
	Incarnation Incarnation
	Age         time.Duration // since the latest datagram; 0 if not Known
	InUse       bool          // its sums are those that count
	Subscribed  bool          // of a member: the digests are asked of it
	Members     uint32        // known members that its sums are about
	Heard       float64       // share of them that is fresh and fully received
	Keys        int           // keys received
	KeysSent    uint32        // keys that it says it has
}

// MemberStatus is what an aggregator knows of a member.
type MemberStatus struct {
	ID          MemberID
	Zone        string
	Incarnation Incarnation
	Number      uint64        // of its latest report
	Age         time.Duration // since that
	Weight      float64       // 1: counts in full
	Keys        int           // keys received
	KeysSent    uint32        // keys that it says it has
	Slack       uint64
	Subscribed  bool
}

// Counters count what was dropped since the start.
type Counters struct {
	Keys        uint64 // entries of keys for which there was no room
	Members     uint64 // reports of members for which there was no room
	Duplicate   uint64 // datagrams by outcome
	Obsolete    uint64
	Refused     uint64
	Unknown     uint64
	Malformed   uint64
	Accepted    uint64
	Incarnation uint64 // of a member: how often it took a larger incarnation than it was started with
	Stalls      uint64 // how often the process was found to have been stopped for a while
}

func (c *Counters) count(o Outcome) Outcome {
	switch o {
	case Accepted:
		c.Accepted++
	case Duplicate:
		c.Duplicate++
	case Obsolete:
		c.Obsolete++
	case Refused:
		c.Refused++
	case UnknownSender:
		c.Unknown++
	case NoRoom:
		c.Members++
	case Malformed:
		c.Malformed++
	}
	return o
}
