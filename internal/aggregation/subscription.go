package aggregation

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// digestSource holds the digests received from one aggregator.
type digestSource struct {
	id          AggregatorID
	known       bool // a valid datagram of it was received
	incarnation Incarnation
	heartbeat   uint64        // largest Heartbeat received
	heardAt     time.Duration // receipt of the datagram with that Heartbeat
	regions     []RegionState // according to that datagram
	table       receiveTable[uint64]
}

// receive processes a digest or heartbeat. A later incarnation replaces all that was received before.
func (s *digestSource) receive(digest *Digest, heardAt time.Duration) (outcome Outcome, dropped int) {
	switch {
	case s.known && digest.Incarnation < s.incarnation:
		return Refused, 0
	case digest.Incarnation > s.incarnation:
		s.table.clear()
		s.incarnation, s.heartbeat = digest.Incarnation, 0
	}
	s.known = true
	isNew := digest.Heartbeat > s.heartbeat
	if isNew {
		s.heartbeat = digest.Heartbeat
		s.heardAt = max(s.heardAt, heardAt)
		s.regions = digest.Regions
	}
	outcome, dropped = s.table.receive(tableHeader{
		number:      uint32(digest.Number),
		since:       uint32(digest.Since),
		nonzeroKeys: digest.Keys,
		quality:     digestQuality(digest, heardAt),
		isEmpty:     len(digest.Entries) == 0,
	}, digest.Entries)
	if isNew {
		outcome = Accepted
	}
	return outcome, dropped
}

// digestQuality returns the quality of the sums in a digest.
func digestQuality(digest *Digest, heardAt time.Duration) quality {
	return quality{
		asOf:       heardAt - oldestCountedAge(digest.Regions),
		errorBound: digestErrorBound(digest),
		heardShare: heardShare(digest.Regions),
	}
}

// oldestCountedAge returns the largest age among the regions with a weight above 0.
func oldestCountedAge(states []RegionState) (age time.Duration) {
	for _, state := range states {
		if state.Weight > 0 {
			age = max(age, state.Age)
		}
	}
	return age
}

// digestErrorBound returns the bound on the errors of a digest's sums.
func digestErrorBound(digest *Digest) uint64 {
	bound := digest.Slack
	for _, state := range digest.Regions {
		bound += state.Slack + state.Fading
	}
	return bound
}

// heardMembers returns the number of members that the aggregator's sums cover, in all regions.
func (s *digestSource) heardMembers() (heard float64) {
	for _, state := range s.regions {
		heard += state.Heard * float64(state.Members)
	}
	return heard
}

// knownMembers returns the number of members that the aggregator knows, in all regions.
func (s *digestSource) knownMembers() (members uint32) {
	for _, state := range s.regions {
		members += state.Members
	}
	return members
}

// subscription selects the aggregator that a member asks for digests. The preferred one is chosen by rendezvous
// hashing, so that members spread over the aggregators. If another has to replace it, the member returns to the
// preferred one once that has been about as good for the freshness plus the decay.
type subscription struct {
	preferred              AggregatorID
	current                AggregatorID
	startedAt              time.Duration
	preferredEligibleSince time.Duration // valid while preferredEligible
	preferredEligible      bool          // another is current, and the preferred one is not silent and about as good
}

func newSubscription(now time.Duration, member MemberID, aggregators []AggregatorID) subscription {
	preferred := chooseByRendezvousHash(member, aggregators)
	return subscription{preferred: preferred, current: preferred, startedAt: now}
}

// chooseByRendezvousHash returns the aggregator with the largest hash of member and aggregator; of equal ones the one
// with the lower ID.
func chooseByRendezvousHash(member MemberID, aggregators []AggregatorID) (chosen AggregatorID) {
	largest := uint64(0)
	for _, id := range aggregators {
		var text [16]byte
		binary.BigEndian.PutUint64(text[:8], uint64(member))
		binary.BigEndian.PutUint64(text[8:], uint64(id))
		sum := sha256.Sum256(text[:])
		hash := binary.BigEndian.Uint64(sum[:8])
		if chosen == 0 || hash > largest || hash == largest && id < chosen {
			chosen, largest = id, hash
		}
	}
	return chosen
}

// update changes the current aggregator if it is silent or another one has more heard members.
func (s *subscription) update(now time.Duration, sources []*digestSource, freshness, decay time.Duration) {
	if !isSilent(now-s.startedAt, freshness) {
		return // an aggregator may not have been able to send a datagram yet
	}
	candidates := make([]candidate, 0, len(sources))
	var preferred, current candidate
	for _, source := range sources {
		c := candidate{
			id:           source.id,
			heardMembers: source.heardMembers(),
			silent:       !source.known || isSilent(now-source.heardAt, freshness),
		}
		candidates = append(candidates, c)
		if c.id == s.preferred {
			preferred = c
		}
	}
	s.current = chooseSource(s.current, candidates)
	for _, c := range candidates {
		if c.id == s.current {
			current = c
		}
	}
	preferredIsEligible := s.current != s.preferred && !preferred.silent &&
		preferred.effectiveMembers()*switchRatio >= current.effectiveMembers()
	if !preferredIsEligible {
		s.preferredEligible = false
		return
	}
	if !s.preferredEligible {
		s.preferredEligible, s.preferredEligibleSince = true, now
	}
	if now-s.preferredEligibleSince >= freshness+decay {
		s.current, s.preferredEligible = s.preferred, false
	}
}
