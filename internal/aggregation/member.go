package aggregation

import (
	"slices"
	"time"
)

// Member is a proxy's part: it reports its own values, and has the fleet's sums from the aggregator it subscribes to.
type Member struct {
	config       MemberConfig
	guard        stallGuard
	own          *outbox
	sources      []*digestSource // in the order of the configuration
	subscription subscription
	inUse        *digestSource // whose sums the figures are
	contacted    bool          // an aggregator was heard
	contactedAt  time.Duration // at first
	superseded   bool
	counters     Counters
}

// NewMember returns a member that has no values yet.
func NewMember(now time.Duration, config MemberConfig) (*Member, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.Aggregators = slices.Clone(config.Aggregators)
	dictionary := newDictionary(config.MaxKeys * (1 + len(config.Aggregators))) // as many as all tables may have
	m := &Member{
		config: config,
		guard:  newStallGuard(now, config.Freshness),
		own:    newOutbox(dictionary, config.MaxKeys, config.ChangeShare),
	}
	for _, id := range config.Aggregators {
		table := inbox[uint64]{dictionary: dictionary, max: config.MaxKeys}
		m.sources = append(m.sources, &digestSource{id: id, table: table})
	}
	m.subscription = newSubscription(now, config.ID, config.Aggregators)
	m.inUse = m.source(m.subscription.current)
	return m, nil
}

// Set sets one of the member's own values. One that falls to 0 goes once that was sent. It returns false if there is
// no room for the key: that is counted. Values above 2^32-1 are taken for that.
func (m *Member) Set(key Key, value uint64) bool {
	if key.Kind < ByServer || key.Kind > ByListener || !m.own.set(key, min(value, maxMemberValue)) {
		m.counters.Keys++
		return false
	}
	return true
}

// Report returns the next report, to be sent to all aggregators of the region, at a constant rate.
func (m *Member) Report(now time.Duration) Report {
	now = m.guard.advance(now)
	m.subscription.update(now, m.sources, m.config.Freshness, m.config.Decay)
	m.chooseTable(now)
	batch := m.own.next(reportBudget(m.config.Zone))
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

// ReceiveDigest takes a digest or heartbeat.
func (m *Member) ReceiveDigest(now time.Duration, digest Digest) Outcome {
	now = m.guard.advance(now)
	source := m.source(digest.Aggregator)
	switch {
	case source == nil || digest.Region != m.config.Region:
		return m.counters.count(UnknownSender)
	case !validDigest(&digest):
		return m.counters.count(Malformed)
	}
	outcome, dropped := source.receive(&digest, m.guard.receivedAt())
	m.counters.Keys += uint64(dropped)
	if outcome == Accepted {
		m.contact(now)
		m.chooseTable(now)
	}
	return m.counters.count(outcome)
}

// ReceiveRefusal takes the answer to a report of an earlier incarnation than the aggregator knows. A process that was
// just started takes a later one: its clock was set back. Another is superseded by a later process of its name, and
// says so.
func (m *Member) ReceiveRefusal(now time.Duration, refusal Refusal) Outcome {
	now = m.guard.advance(now)
	switch {
	case m.source(refusal.Aggregator) == nil || refusal.Member != m.config.ID:
		return m.counters.count(UnknownSender)
	case refusal.Incarnation+1 == 0:
		return m.counters.count(Malformed)
	case refusal.Incarnation <= m.config.Incarnation:
		return m.counters.count(Obsolete)
	}
	m.contact(now)
	if now-m.contactedAt > m.config.Freshness {
		m.superseded = true
		return m.counters.count(Accepted)
	}
	m.config.Incarnation = refusal.Incarnation + 1
	m.own.restart()
	m.counters.Incarnation++
	return m.counters.count(Accepted)
}

// contact notes when an aggregator was heard for the first time.
func (m *Member) contact(now time.Duration) {
	if !m.contacted {
		m.contacted, m.contactedAt = true, now
	}
}

func (m *Member) source(id AggregatorID) *digestSource {
	for _, source := range m.sources {
		if source.id == id {
			return source
		}
	}
	return nil
}

// chooseTable goes over to the table of the subscribed aggregator once it has as much as the one in use.
func (m *Member) chooseTable(now time.Duration) {
	subscribed := m.source(m.subscription.current)
	if subscribed == m.inUse {
		return
	}
	if m.quality(subscribed, now)*switchMargin >= m.quality(m.inUse, now) {
		m.inUse = subscribed
	}
}

// quality returns how many members a table's sums are from, each by the share of its keys.
func (m *Member) quality(source *digestSource, now time.Duration) float64 {
	return m.weight(source, now) * source.heardMembers() * source.table.complete()
}

func (m *Member) weight(source *digestSource, now time.Duration) float64 {
	if !source.known {
		return 0
	}
	return weight(now-source.heardAt, m.config.Freshness, m.config.Decay)
}

// Incarnation returns the incarnation that the reports have.
func (m *Member) Incarnation() Incarnation { return m.config.Incarnation }

// Superseded tells that an aggregator refuses this process, as a later one reports under the same name.
func (m *Member) Superseded() bool { return m.superseded }

// Counters returns what became of the datagrams and what was dropped.
func (m *Member) Counters() Counters {
	counters := m.counters
	counters.Stalls = m.guard.stalls
	return counters
}
