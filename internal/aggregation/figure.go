package aggregation

import "time"

// Figure is a sum over the fleet with bounds on its error and age. Value differs by at most Error from the sum of what
// the heard members held Age ago. Age counts from the receipt of datagrams and does not include their time on the
// network.
type Figure struct {
	Value float64
	Error float64
	Age   time.Duration // age of the oldest values that count
	Heard float64       // share of the known members, 0 to 1, that were heard within the freshness and fully received
}

// AggregatorStatus is the status of an aggregator as seen by a member or by another aggregator.
type AggregatorStatus struct {
	ID          AggregatorID
	Region      string
	Known       bool // a valid datagram of it was received
	Incarnation Incarnation
	Age         time.Duration // since the latest datagram; 0 if not Known
	InUse       bool          // its sums are the ones used
	Subscribed  bool          // the member asks it for digests; always false if seen by an aggregator
	Members     uint32        // members known to it
	Heard       float64       // share of them, 0 to 1, that were heard within the freshness and fully received
	Keys        int           // received keys with a value other than 0
	KeysSent    uint32        // number of such keys according to its datagrams
}

// MemberStatus is the status of a member as seen by an aggregator.
type MemberStatus struct {
	ID          MemberID
	Zone        string
	Incarnation Incarnation
	Number      uint64        // number of its latest report
	Age         time.Duration // time since that report
	Weight      float64       // 1: counts in full; 0: no longer counts
	Keys        int           // received keys with a value other than 0
	KeysSent    uint32        // number of such keys according to its reports
	Slack       uint64        // as in its latest report
	Subscribed  bool          // it asks this aggregator for digests
}

// Counters counts events since the start: datagrams by outcome, what was dropped, and stalls.
type Counters struct {
	DroppedEntries       uint64 // entries dropped because a table or the dictionary was full
	DroppedMemberReports uint64 // reports of new members beyond the limit on members
	Duplicate            uint64 // this and the next five: datagrams by outcome
	Obsolete             uint64
	Refused              uint64
	UnknownSender        uint64
	Malformed            uint64
	Accepted             uint64
	IncarnationChanges   uint64 // of a member: how often it took a larger incarnation because its own was refused
	Stalls               uint64 // detected pauses of the process, see stallDetector
}

// count increments the counter of an outcome and returns the outcome.
func (c *Counters) count(outcome Outcome) Outcome {
	switch outcome {
	case Accepted:
		c.Accepted++
	case Duplicate:
		c.Duplicate++
	case Obsolete:
		c.Obsolete++
	case Refused:
		c.Refused++
	case UnknownSender:
		c.UnknownSender++
	case NoRoom:
		c.DroppedMemberReports++
	case Malformed:
		c.Malformed++
	}
	return outcome
}
