package aggregation

import (
	"slices"
	"time"
)

// Member is the state of one proxy: its own values, which it reports, and the fleet's sums as received from the
// aggregators of its region.
type Member struct {
	config             MemberConfig
	stallDetector      stallDetector
	ownTable           *sendTable
	digestSources      []*digestSource // in configuration order
	subscription       subscription
	sourceInUse        *digestSource // the source whose sums Figure returns
	hasHeardAggregator bool          // a datagram of an aggregator was accepted
	firstHeardAt       time.Duration // when the first one was
	superseded         bool
	counters           Counters
}

// NewMember returns a member without values. It returns a *ConfigError if the configuration is invalid.
func NewMember(now time.Duration, config MemberConfig) (*Member, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.Aggregators = slices.Clone(config.Aggregators)
	dictionary := newDictionary(config.MaxKeys * (1 + len(config.Aggregators))) // room for the keys of all tables
	m := &Member{
		config:        config,
		stallDetector: newStallDetector(now, config.Freshness),
		ownTable:      newSendTable(dictionary, config.MaxKeys, config.ChangeShare),
	}
	for _, id := range config.Aggregators {
		table := receiveTable[uint64]{dictionary: dictionary, maxKeys: config.MaxKeys}
		m.digestSources = append(m.digestSources, &digestSource{id: id, table: table})
	}
	m.subscription = newSubscription(now, config.ID, config.Aggregators)
	m.sourceInUse = m.source(m.subscription.current)
	return m, nil
}

// Set sets one of the member's own values; values above 2^32-1 are set to 2^32-1. A key that falls to 0 is removed once
// the 0 has been sent. Set returns false, and counts a dropped entry, if the kind is invalid or the table is full.
func (m *Member) Set(key Key, value uint64) bool {
	if key.Kind < ByServer || key.Kind > ByListener || !m.ownTable.set(key, min(value, maxMemberValue)) {
		m.counters.DroppedEntries++
		return false
	}
	return true
}

// Report returns the next report, to be sent to all aggregators of the region. The caller calls it at a constant rate.
func (m *Member) Report(now time.Duration) Report {
	now = m.stallDetector.advance(now)
	m.subscription.update(now, m.digestSources, m.config.Freshness, m.config.Decay)
	m.updateSourceInUse(now)
	batch := m.ownTable.nextBatch(reportBudget(m.config.Zone))
	return Report{
		Member:      m.config.ID,
		Incarnation: m.config.Incarnation,
		Number:      batch.number,
		Since:       batch.since,
		Zone:        m.config.Zone,
		Keys:        batch.keys,
		Slack:       batch.slack,
		Subscribe:   m.subscription.current,
		Entries:     batch.entries,
	}
}

// ReceiveDigest processes a digest or heartbeat.
func (m *Member) ReceiveDigest(now time.Duration, digest Digest) Outcome {
	now = m.stallDetector.advance(now)
	source := m.source(digest.Aggregator)
	switch {
	case source == nil || digest.Region != m.config.Region:
		return m.counters.count(UnknownSender)
	case !validDigest(&digest):
		return m.counters.count(Malformed)
	}
	outcome, dropped := source.receive(&digest, m.stallDetector.receiveTime())
	m.counters.DroppedEntries += uint64(dropped)
	if outcome == Accepted {
		m.recordFirstContact(now)
		m.updateSourceInUse(now)
	}
	return m.counters.count(outcome)
}

// ReceiveRefusal processes the reply to a report whose incarnation is earlier than the one the aggregator knows. If
// that happens within the freshness after the first contact with an aggregator, the clock was set back before the
// process started, and the member takes a later incarnation. Otherwise a later process with the same ID is running, and
// this one is marked as superseded.
func (m *Member) ReceiveRefusal(now time.Duration, refusal Refusal) Outcome {
	now = m.stallDetector.advance(now)
	switch {
	case m.source(refusal.Aggregator) == nil || refusal.Member != m.config.ID:
		return m.counters.count(UnknownSender)
	case refusal.Incarnation+1 == 0:
		return m.counters.count(Malformed)
	case refusal.Incarnation <= m.config.Incarnation:
		return m.counters.count(Obsolete)
	}
	m.recordFirstContact(now)
	if now-m.firstHeardAt > m.config.Freshness {
		m.superseded = true
		return m.counters.count(Accepted)
	}
	m.config.Incarnation = refusal.Incarnation + 1
	m.ownTable.markAllUnsent()
	m.counters.IncarnationChanges++
	return m.counters.count(Accepted)
}

// recordFirstContact records when a datagram of an aggregator was first accepted.
func (m *Member) recordFirstContact(now time.Duration) {
	if !m.hasHeardAggregator {
		m.hasHeardAggregator, m.firstHeardAt = true, now
	}
}

func (m *Member) source(id AggregatorID) *digestSource {
	for _, source := range m.digestSources {
		if source.id == id {
			return source
		}
	}
	return nil
}

// updateSourceInUse switches to the digests of the subscribed aggregator once they cover as many members, within
// switchRatio, as those in use.
func (m *Member) updateSourceInUse(now time.Duration) {
	subscribed := m.source(m.subscription.current)
	if subscribed == m.sourceInUse {
		return
	}
	if m.weightedHeardMembers(subscribed, now)*switchRatio >= m.weightedHeardMembers(m.sourceInUse, now) {
		m.sourceInUse = subscribed
	}
}

// weightedHeardMembers returns the number of members that a source's sums cover, scaled by the source's weight and by
// the share of its keys that were received.
func (m *Member) weightedHeardMembers(source *digestSource, now time.Duration) float64 {
	return m.sourceWeight(source, now) * source.heardMembers() * source.table.receivedShare()
}

// sourceWeight returns the weight of a source by its age; 0 if it was never heard.
func (m *Member) sourceWeight(source *digestSource, now time.Duration) float64 {
	if !source.known {
		return 0
	}
	return ageWeight(now-source.heardAt, m.config.Freshness, m.config.Decay)
}

// Incarnation returns the incarnation in the reports, which may be later than the configured one.
func (m *Member) Incarnation() Incarnation { return m.config.Incarnation }

// Superseded reports whether an aggregator refused this process because a later one reports under the same ID.
func (m *Member) Superseded() bool { return m.superseded }

// Counters returns the counts since the start.
func (m *Member) Counters() Counters {
	counters := m.counters
	counters.Stalls = m.stallDetector.stalls
	return counters
}
