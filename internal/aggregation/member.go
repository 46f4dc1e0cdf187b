package aggregation

import "time"

// Member is a proxy's part: it reports its own values, and has the fleet's sums from the aggregator it subscribes to.
type Member struct {
	config MemberConfig
	drops  Counters
}

// NewMember returns a member that has no values yet.
func NewMember(now time.Duration, config MemberConfig) (*Member, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Member{config: config}, nil
}

// Set sets one of the member's own values. One that falls to 0 goes once that was sent. It returns false if there is
// no room for the key: that is counted.
func (m *Member) Set(key Key, value uint64) bool { return true }

// Report returns the next report, to be sent to all aggregators of the region, at a constant rate.
func (m *Member) Report(now time.Duration) Report { return Report{Member: m.config.ID} }

// ReceiveDigest takes a digest or heartbeat.
func (m *Member) ReceiveDigest(now time.Duration, digest Digest) Outcome { return UnknownSender }

// ReceiveRefusal takes the answer to a report of an earlier incarnation than the aggregator knows.
func (m *Member) ReceiveRefusal(now time.Duration, refusal Refusal) Outcome { return UnknownSender }

// Figure returns the fleet's sum of one key.
func (m *Member) Figure(now time.Duration, key Key) Figure { return Figure{} }

// Keys returns the keys of the fleet's sums, and the member's own, in order.
func (m *Member) Keys() []Key { return nil }

// Aggregators returns what is known of the region's aggregators, in the order of the configuration.
func (m *Member) Aggregators(now time.Duration) []AggregatorStatus { return nil }

// Regions returns what the aggregator in use says of the regions, in order of their names.
func (m *Member) Regions(now time.Duration) []RegionState { return nil }

// Incarnation returns the incarnation that the reports have.
func (m *Member) Incarnation() Incarnation { return m.config.Incarnation }

// Superseded tells that an aggregator refuses this process, as a later one reports under the same name.
func (m *Member) Superseded() bool { return false }

// Counters returns what became of the datagrams and what was dropped.
func (m *Member) Counters() Counters { return m.drops }
