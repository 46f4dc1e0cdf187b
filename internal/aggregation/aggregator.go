package aggregation

import (
	"slices"
	"time"
)

// Aggregator sums the values that the members of its region report, and adds the sums over the other regions as
// received from their aggregators.
type Aggregator struct {
	config          AggregatorConfig
	startedAt       time.Duration
	stallDetector   stallDetector
	dictionary      *dictionary
	membership      *membership
	peers           []*peerSource // in configuration order
	regions         []*region     // sorted by name
	regionTable     *sendTable    // sums over the own region
	fleetTable      *sendTable    // sums over all regions
	fleetSums       []uint64      // scratch buffer, by dictionary index
	latestHeartbeat uint64
	zerosDroppedAt  time.Duration // when keys with value 0 were last dropped because the dictionary was full
	counters        Counters
}

// NewAggregator returns an aggregator that knows no member. It returns a *ConfigError if the configuration is invalid.
func NewAggregator(now time.Duration, config AggregatorConfig) (*Aggregator, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	dictionary := newDictionary(config.MaxKeys)
	a := &Aggregator{
		config:         config,
		startedAt:      now,
		stallDetector:  newStallDetector(now, config.Freshness),
		dictionary:     dictionary,
		membership:     newMembership(&config, dictionary),
		regionTable:    newSendTable(dictionary, config.MaxKeys, config.ChangeShare),
		fleetTable:     newSendTable(dictionary, config.MaxKeys, config.ChangeShare),
		zerosDroppedAt: now,
	}
	for _, peer := range config.Peers {
		table := receiveTable[uint64]{dictionary: dictionary, maxKeys: config.MaxKeys}
		a.peers = append(a.peers, &peerSource{peer: peer, table: table})
	}
	a.regions = newRegions(&config, a.peers)
	return a, nil
}

// advance processes the time of a call: it updates the members' weights and, if the dictionary is full, drops keys with
// value 0 at most once per freshness period. It returns a time that never goes back.
func (a *Aggregator) advance(now time.Duration) time.Duration {
	now = a.stallDetector.advance(now)
	a.membership.advance(now)
	if len(a.dictionary.indexes) >= a.dictionary.maxKeys && now-a.zerosDroppedAt >= a.config.Freshness {
		a.zerosDroppedAt = now
		a.dropZeros()
	}
	return now
}

// dropZeros drops the keys with value 0 from all tables, to make room in the dictionary.
func (a *Aggregator) dropZeros() {
	a.membership.dropZeros()
	for _, peer := range a.peers {
		peer.table.dropZeros()
	}
	a.regionTable.removeZeros()
	a.fleetTable.removeZeros()
}

// ReceiveReport processes a report. A refusal, if not nil, is to be sent to the sender of the report.
func (a *Aggregator) ReceiveReport(now time.Duration, report Report) (Outcome, *Refusal) {
	a.advance(now)
	if !validReport(&report) {
		return a.counters.count(Malformed), nil
	}
	outcome, dropped, knownIncarnation := a.membership.receive(&report, a.stallDetector.receiveTime())
	a.counters.DroppedEntries += uint64(dropped)
	if outcome != Refused {
		return a.counters.count(outcome), nil
	}
	return a.counters.count(outcome), &Refusal{Aggregator: a.config.ID, Member: report.Member, Incarnation: knownIncarnation}
}

// ReceiveRegionSum processes a datagram of another aggregator's region sums.
func (a *Aggregator) ReceiveRegionSum(now time.Duration, sum RegionSum) Outcome {
	a.advance(now)
	peer := a.findPeer(sum.Aggregator)
	switch {
	case peer == nil || peer.peer.Region != sum.Region:
		return a.counters.count(UnknownSender)
	case !validRegionSum(&sum):
		return a.counters.count(Malformed)
	}
	outcome, dropped := peer.receive(&sum, a.stallDetector.receiveTime())
	a.counters.DroppedEntries += uint64(dropped)
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

// RegionSum returns the next datagram of the own region's sums, the same for all peers. The caller calls it at a
// constant rate.
func (a *Aggregator) RegionSum(now time.Duration) RegionSum {
	now = a.advance(now)
	for index := range uint32(a.dictionary.indexLimit()) {
		a.regionTable.setIndex(index, a.membership.sums.value(index, now))
	}
	batch := a.regionTable.nextBatch(regionSumBudget(a.config.Region))
	summary := a.summary(now)
	return RegionSum{
		Aggregator:  a.config.ID,
		Region:      a.config.Region,
		Incarnation: a.config.Incarnation,
		Number:      batch.number,
		Since:       batch.since,
		Members:     summary.members,
		Heard:       summary.heardShare(),
		Age:         clampAge(now - summary.asOf),
		Slack:       min(summary.slack+batch.slack, maxSumValue),
		Fading:      summary.fading,
		Keys:        batch.keys,
		Entries:     batch.entries,
	}
}

// Digest returns the next datagram of the fleet's sums, the same for all subscribed members. The caller calls it at a
// constant rate.
func (a *Aggregator) Digest(now time.Duration) Digest {
	now = a.advance(now)
	digest := a.newDigestHeader(now)
	a.sumFleet(now)
	for index, value := range a.fleetSums {
		a.fleetTable.setIndex(uint32(index), value)
	}
	batch := a.fleetTable.nextBatch(digestBudget(a.config.Region, digest.Regions))
	digest.Number, digest.Since = batch.number, batch.since
	digest.Keys, digest.Slack, digest.Entries = batch.keys, batch.slack, batch.entries
	return digest
}

// Heartbeat returns a digest without entries, for all members whether they subscribe or not.
func (a *Aggregator) Heartbeat(now time.Duration) Digest {
	heartbeat := a.newDigestHeader(a.advance(now))
	heartbeat.Number = uint64(a.fleetTable.latestNumber)
	heartbeat.Since = uint64(a.fleetTable.turnStarts[retainedTurns])
	heartbeat.Keys, heartbeat.Slack = a.fleetTable.nonzeroKeysAndSlack()
	return heartbeat
}

// newDigestHeader returns the fields that digests and heartbeats have in common, and chooses the regions' sources.
func (a *Aggregator) newDigestHeader(now time.Duration) Digest {
	a.latestHeartbeat++
	return Digest{
		Aggregator:  a.config.ID,
		Region:      a.config.Region,
		Incarnation: a.config.Incarnation,
		Heartbeat:   a.latestHeartbeat,
		Regions:     a.chooseSources(now),
	}
}

// sumFleet fills fleetSums with the sums over one source of each region.
func (a *Aggregator) sumFleet(now time.Duration) {
	a.fleetSums = slices.Grow(a.fleetSums[:0], a.dictionary.indexLimit())[:a.dictionary.indexLimit()]
	clear(a.fleetSums)
	for _, region := range a.regions {
		if region.usesOwnSums() {
			a.addOwnSums(now)
		} else if source := region.peerInUse(); source != nil {
			a.addPeerSums(source, now)
		}
	}
}

func (a *Aggregator) addOwnSums(now time.Duration) {
	for index := range a.fleetSums {
		a.fleetSums[index] += a.membership.sums.value(uint32(index), now)
	}
}

// addPeerSums adds a peer's sums to fleetSums, scaled by the peer's weight.
func (a *Aggregator) addPeerSums(source *peerSource, now time.Duration) {
	weight := a.sourceWeight(source, now)
	if weight == 0 {
		return
	}
	for _, entry := range source.table.entries {
		a.fleetSums[entry.index] += applyWeight(entry.value, weight)
	}
}

// sourceWeight returns the weight of a peer's sums by their age; 0 if it was never heard.
func (a *Aggregator) sourceWeight(source *peerSource, now time.Duration) float64 {
	if !source.known {
		return 0
	}
	return ageWeight(now-source.heardAt, a.config.Freshness, a.config.Decay)
}

// Subscribed reports whether a member that is still known asked this aggregator for digests.
func (a *Aggregator) Subscribed(now time.Duration, id MemberID) bool {
	a.advance(now)
	record := a.membership.members[id]
	return record != nil && record.subscribedTo == a.config.ID
}

// KnownMember reports whether a member still counts, in full or in part.
func (a *Aggregator) KnownMember(now time.Duration, id MemberID) bool {
	a.advance(now)
	return a.membership.members[id] != nil
}

// Keys returns the keys of the fleet's sums, sorted.
func (a *Aggregator) Keys() []Key { return a.dictionary.sortedKeys() }

// Counters returns the counts since the start.
func (a *Aggregator) Counters() Counters {
	counters := a.counters
	counters.Stalls = a.stallDetector.stalls
	return counters
}
