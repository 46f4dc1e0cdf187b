package aggregation

import (
	"slices"
	"time"
)

// Aggregator adds up what the members of its region report, and takes the sums of the other regions from their
// aggregators.
type Aggregator struct {
	config      AggregatorConfig
	startedAt   time.Duration
	guard       stallGuard
	dictionary  *dictionary
	membership  *membership
	peers       []*peerSource // in the order of the configuration
	regions     []*region     // in the order of their names
	regionTable *outbox       // sums over the own region
	fleetTable  *outbox       // sums over all regions
	fleetSums   []uint64      // scratch space, by index of the dictionary
	heartbeat   uint64
	sweptAt     time.Duration // when the dictionary was full last and room was made
	counters    Counters
}

// NewAggregator returns an aggregator that knows no member.
func NewAggregator(now time.Duration, config AggregatorConfig) (*Aggregator, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	dictionary := newDictionary(config.MaxKeys)
	a := &Aggregator{
		config:      config,
		startedAt:   now,
		guard:       newStallGuard(now, config.Freshness),
		dictionary:  dictionary,
		membership:  newMembership(&config, dictionary),
		regionTable: newOutbox(dictionary, config.MaxKeys, config.ChangeShare),
		fleetTable:  newOutbox(dictionary, config.MaxKeys, config.ChangeShare),
		sweptAt:     now,
	}
	for _, peer := range config.Peers {
		table := inbox[uint64]{dictionary: dictionary, max: config.MaxKeys}
		a.peers = append(a.peers, &peerSource{peer: peer, table: table})
	}
	a.regions = newRegions(&config, a.peers)
	return a, nil
}

// advance takes the time of a call, and does what is due by then.
func (a *Aggregator) advance(now time.Duration) time.Duration {
	now = a.guard.advance(now)
	a.membership.advance(now)
	if len(a.dictionary.index) >= a.dictionary.max && now-a.sweptAt >= a.config.Freshness {
		a.sweptAt = now
		a.dropZeros()
	}
	return now
}

// dropZeros makes room in the dictionary: keys that are 0 go first.
func (a *Aggregator) dropZeros() {
	a.membership.dropZeros()
	for _, peer := range a.peers {
		peer.table.dropZeros()
	}
	a.regionTable.removeZeros()
	a.fleetTable.removeZeros()
}

// ReceiveReport takes a report. The refusal, if there is one, is to be sent to where the report came from.
func (a *Aggregator) ReceiveReport(now time.Duration, report Report) (Outcome, *Refusal) {
	a.advance(now)
	if !validReport(&report) {
		return a.counters.count(Malformed), nil
	}
	outcome, dropped, known := a.membership.receive(&report, a.guard.receivedAt())
	a.counters.Keys += uint64(dropped)
	if outcome != Refused {
		return a.counters.count(outcome), nil
	}
	return a.counters.count(outcome), &Refusal{Aggregator: a.config.ID, Member: report.Member, Incarnation: known}
}

// ReceiveRegionSum takes a part of another aggregator's region sum.
func (a *Aggregator) ReceiveRegionSum(now time.Duration, sum RegionSum) Outcome {
	a.advance(now)
	peer := a.findPeer(sum.Aggregator)
	switch {
	case peer == nil || peer.peer.Region != sum.Region:
		return a.counters.count(UnknownSender)
	case !validRegionSum(&sum):
		return a.counters.count(Malformed)
	}
	outcome, dropped := peer.receive(&sum, a.guard.receivedAt())
	a.counters.Keys += uint64(dropped)
	return a.counters.count(outcome)
}

func (a *Aggregator) findPeer(id AggregatorID) *peerSource {
	for _, peer := range a.peers {
		if peer.peer.ID == id {
			return peer
		}
	}
	return nil
}

// RegionSum returns the next datagram of the own region's sums, the same for all peers. It is called at a constant
// rate.
func (a *Aggregator) RegionSum(now time.Duration) RegionSum {
	now = a.advance(now)
	for index := range uint32(a.dictionary.size()) {
		a.regionTable.setIndex(index, a.membership.sums.value(index, now))
	}
	batch := a.regionTable.next(regionSumBudget(a.config.Region))
	summary := a.summary(now)
	return RegionSum{
		Aggregator:  a.config.ID,
		Region:      a.config.Region,
		Incarnation: a.config.Incarnation,
		Number:      batch.number,
		Since:       batch.since,
		Members:     summary.members,
		Heard:       summary.share(),
		Age:         boundedAge(now - summary.asOf),
		Slack:       min(summary.slack+batch.slack, maxSumValue),
		Fading:      summary.fading,
		Keys:        batch.keys,
		Entries:     batch.entries,
	}
}

// Digest returns the next datagram of the fleet's sums, the same for all subscribed members. It is called at a constant
// rate.
func (a *Aggregator) Digest(now time.Duration) Digest {
	now = a.advance(now)
	digest := a.digestHead(now)
	a.addUpFleet(now)
	for index, value := range a.fleetSums {
		a.fleetTable.setIndex(uint32(index), value)
	}
	batch := a.fleetTable.next(digestBudget(a.config.Region, digest.Regions))
	digest.Number, digest.Since = batch.number, batch.since
	digest.Keys, digest.Slack, digest.Entries = batch.keys, batch.slack, batch.entries
	return digest
}

// Heartbeat returns the head of a digest without entries, for all members.
func (a *Aggregator) Heartbeat(now time.Duration) Digest {
	heartbeat := a.digestHead(a.advance(now))
	heartbeat.Number = uint64(a.fleetTable.number)
	heartbeat.Since = uint64(a.fleetTable.turnStarts[turnsKept])
	heartbeat.Keys, heartbeat.Slack = a.fleetTable.unsent()
	return heartbeat
}

// digestHead returns what a digest and a heartbeat have in common.
func (a *Aggregator) digestHead(now time.Duration) Digest {
	a.heartbeat++
	return Digest{
		Aggregator:  a.config.ID,
		Region:      a.config.Region,
		Incarnation: a.config.Incarnation,
		Heartbeat:   a.heartbeat,
		Regions:     a.chooseSources(now),
	}
}

// addUpFleet adds up one source of each region.
func (a *Aggregator) addUpFleet(now time.Duration) {
	a.fleetSums = slices.Grow(a.fleetSums[:0], a.dictionary.size())[:a.dictionary.size()]
	clear(a.fleetSums)
	for _, region := range a.regions {
		if region.usesOwn() {
			a.addOwnSums(now)
		} else if source := region.source(); source != nil {
			a.addPeerSums(source, now)
		}
	}
}

func (a *Aggregator) addOwnSums(now time.Duration) {
	for index := range a.fleetSums {
		a.fleetSums[index] += a.membership.sums.value(uint32(index), now)
	}
}

func (a *Aggregator) addPeerSums(source *peerSource, now time.Duration) {
	share := a.weight(source, now)
	if share == 0 {
		return
	}
	for _, entry := range source.table.entries {
		a.fleetSums[entry.index] += weighted(entry.value, share)
	}
}

func (a *Aggregator) weight(source *peerSource, now time.Duration) float64 {
	if !source.known {
		return 0
	}
	return weight(now-source.heardAt, a.config.Freshness, a.config.Decay)
}

// Subscribed tells whether a member that is still known asked this aggregator for digests.
func (a *Aggregator) Subscribed(now time.Duration, id MemberID) bool {
	a.advance(now)
	record := a.membership.members[id]
	return record != nil && record.subscribe == a.config.ID
}

// KnownMember tells whether a member counts, in full or in part.
func (a *Aggregator) KnownMember(now time.Duration, id MemberID) bool {
	a.advance(now)
	return a.membership.members[id] != nil
}

// Keys returns the keys of the fleet's sums, in order.
func (a *Aggregator) Keys() []Key { return a.dictionary.sorted() }

// Counters returns what became of the datagrams and what was dropped.
func (a *Aggregator) Counters() Counters {
	counters := a.counters
	counters.Stalls = a.guard.stalls
	return counters
}
