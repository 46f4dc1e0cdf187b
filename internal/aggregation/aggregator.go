package aggregation

import "time"

// Aggregator adds up what the members of its region report, and takes the sums of the other regions from their
// aggregators.
type Aggregator struct {
	config AggregatorConfig
	drops  Counters
}

// NewAggregator returns an aggregator that knows no member.
func NewAggregator(now time.Duration, config AggregatorConfig) (*Aggregator, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Aggregator{config: config}, nil
}

// ReceiveReport takes a report. The refusal, if there is one, is to be sent to where the report came from.
func (a *Aggregator) ReceiveReport(now time.Duration, report Report) (Outcome, *Refusal) {
	return Malformed, nil
}

// ReceiveRegionSum takes a part of another aggregator's region sum.
func (a *Aggregator) ReceiveRegionSum(now time.Duration, sum RegionSum) Outcome { return UnknownSender }

// RegionSum returns the next datagram of the own region's sums, the same for all peers.
func (a *Aggregator) RegionSum(now time.Duration) RegionSum { return RegionSum{} }

// Digest returns the next datagram of the fleet's sums, the same for all subscribed members.
func (a *Aggregator) Digest(now time.Duration) Digest { return Digest{} }

// Heartbeat returns the head of a digest without entries, for all members.
func (a *Aggregator) Heartbeat(now time.Duration) Digest { return Digest{} }

// Subscribed tells whether a member that is still known asked this aggregator for digests.
func (a *Aggregator) Subscribed(now time.Duration, id MemberID) bool { return false }

// KnownMember tells whether a member counts, in full or in part.
func (a *Aggregator) KnownMember(now time.Duration, id MemberID) bool { return false }

// Members returns what is known of the members, in order of their IDs.
func (a *Aggregator) Members(now time.Duration) []MemberStatus { return nil }

// MemberCount returns how many members are known, without the cost of Members.
func (a *Aggregator) MemberCount(now time.Duration) int { return 0 }

// Peers returns what is known of the other aggregators, in the order of the configuration.
func (a *Aggregator) Peers(now time.Duration) []AggregatorStatus { return nil }

// Figure returns the fleet's sum of one key.
func (a *Aggregator) Figure(now time.Duration, key Key) Figure { return Figure{} }

// Keys returns the keys of the fleet's sums, in order.
func (a *Aggregator) Keys() []Key { return nil }

// Regions returns the state of all regions, in order of their names.
func (a *Aggregator) Regions(now time.Duration) []RegionState { return nil }

// Counters returns what became of the datagrams and what was dropped.
func (a *Aggregator) Counters() Counters { return a.drops }
