package aggregation

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// digestSource has the digests of one aggregator.
type digestSource struct {
	id          AggregatorID
	known       bool
	incarnation Incarnation
	heartbeat   uint64
	heardAt     time.Duration
	regions     []RegionState
	table       inbox[uint64]
}

// receive takes a digest or heartbeat.
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
	outcome, dropped = s.table.receive(header{
		number:  uint32(digest.Number),
		since:   uint32(digest.Since),
		keys:    digest.Keys,
		quality: digestQuality(digest, heardAt),
		isEmpty: len(digest.Entries) == 0,
	}, digest.Entries)
	if isNew {
		outcome = Accepted
	}
	return outcome, dropped
}

// digestQuality returns how good the sums of a digest are.
func digestQuality(digest *Digest, heardAt time.Duration) quality {
	return quality{
		asOf:  heardAt - countedAge(digest.Regions),
		bound: errorBound(digest),
		heard: heardShare(digest.Regions),
	}
}

// countedAge returns the largest age of the regions that count.
func countedAge(states []RegionState) (age time.Duration) {
	for _, state := range states {
		if state.Weight > 0 {
			age = max(age, state.Age)
		}
	}
	return age
}

// errorBound returns the bound on the errors of a digest's sums.
func errorBound(digest *Digest) uint64 {
	bound := digest.Slack
	for _, state := range digest.Regions {
		bound += state.Slack + state.Fading
	}
	return bound
}

// heardMembers returns how many members the aggregator's sums are from, each by the share of its keys.
func (s *digestSource) heardMembers() (heard float64) {
	for _, state := range s.regions {
		heard += state.Heard * float64(state.Members)
	}
	return heard
}

// knownMembers returns how many members the aggregator knows in all regions.
func (s *digestSource) knownMembers() (members uint32) {
	for _, state := range s.regions {
		members += state.Members
	}
	return members
}

// subscription chooses the aggregator that a member has its digests from. Members choose at first by a hash, so that
// they spread over the aggregators, and go back to that choice once it was as good as the other for a while.
type subscription struct {
	preferred   AggregatorID
	current     AggregatorID
	startedAt   time.Duration
	asGoodSince time.Duration // the preferred one, while another is current; see isGood
	isGood      bool
}

func newSubscription(now time.Duration, member MemberID, aggregators []AggregatorID) subscription {
	preferred := rendezvous(member, aggregators)
	return subscription{preferred: preferred, current: preferred, startedAt: now}
}

// rendezvous returns the aggregator of the largest hash with the member.
func rendezvous(member MemberID, aggregators []AggregatorID) (chosen AggregatorID) {
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

// update changes the current aggregator if it is silent or another was heard from more.
func (s *subscription) update(now time.Duration, sources []*digestSource, freshness, decay time.Duration) {
	if !isSilent(now-s.startedAt, freshness) {
		return // none could be heard so far
	}
	candidates := make([]candidate, 0, len(sources))
	var preferred, current candidate
	for _, source := range sources {
		c := candidate{
			id:     source.id,
			heard:  source.heardMembers(),
			silent: !source.known || isSilent(now-source.heardAt, freshness),
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
	asGood := s.current != s.preferred && !preferred.silent &&
		preferred.effective()*switchMargin >= current.effective()
	if !asGood {
		s.isGood = false
		return
	}
	if !s.isGood {
		s.isGood, s.asGoodSince = true, now
	}
	if now-s.asGoodSince >= freshness+decay {
		s.current, s.isGood = s.preferred, false
	}
}
