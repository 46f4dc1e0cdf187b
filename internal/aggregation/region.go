package aggregation

import (
	"slices"
	"strings"
	"time"
)

// peerSource holds the region sums received from one other aggregator.
type peerSource struct {
	peer        Peer
	known       bool // a valid datagram of it was received
	incarnation Incarnation
	heardAt     time.Duration // receipt of the datagram with the largest number
	members     uint32        // known members of its region, according to that datagram
	heardShare  float64       // share of them that were heard, according to the latest datagram
	fading      uint64        // Fading of the latest datagram
	table       receiveTable[uint64]

	membersBeforeRestart uint32        // members it knew before its latest restart
	restartedAt          time.Duration // when that restart was noticed
}

// region selects one source for the sums of a region. The sums of two sources are never added or mixed by key, so that
// what a member reports to both aggregators of its region counts once.
type region struct {
	name        string
	isOwn       bool // this aggregator's own sums are one of the candidates
	sources     []*peerSource
	sourceInUse AggregatorID
}

// receive processes a datagram of the peer's sums. A later incarnation replaces all that was received before.
func (p *peerSource) receive(sum *RegionSum, heardAt time.Duration) (outcome Outcome, dropped int) {
	switch {
	case p.known && sum.Incarnation < p.incarnation:
		return Refused, 0
	case sum.Incarnation > p.incarnation:
		p.table.clear()
		p.incarnation = sum.Incarnation
		p.membersBeforeRestart, p.restartedAt = p.members, heardAt
	}
	p.known = true
	if sum.Number > uint64(p.table.latestNumber) {
		p.heardAt = max(p.heardAt, heardAt)
		p.members, p.heardShare, p.fading = sum.Members, sum.Heard, sum.Fading
	}
	return p.table.receive(tableHeader{
		number:      uint32(sum.Number),
		since:       uint32(sum.Since),
		nonzeroKeys: sum.Keys,
		quality:     quality{asOf: heardAt - sum.Age, errorBound: sum.Slack + sum.Fading, heardShare: sum.Heard},
	}, sum.Entries)
}

// heardMembers returns the number of members that the received sums cover, scaled by the share of the keys received.
func (p *peerSource) heardMembers() float64 {
	return float64(p.members) * p.table.worstQuality().heardShare * p.table.receivedShare()
}

// candidate returns the peer's sums as a candidate for the region's source.
func (p *peerSource) candidate(now, freshness time.Duration) candidate {
	return candidate{
		id:           p.peer.ID,
		heardMembers: p.heardMembers(),
		silent:       !p.known || isSilent(now-p.heardAt, freshness),
	}
}

// newRegions returns the regions of an aggregator and its peers, sorted by name.
func newRegions(config *AggregatorConfig, sources []*peerSource) []*region {
	regions := []*region{{name: config.Region, isOwn: true, sourceInUse: config.ID}}
	for _, source := range sources {
		position := slices.IndexFunc(regions, func(r *region) bool { return r.name == source.peer.Region })
		if position < 0 {
			position = len(regions)
			regions = append(regions, &region{name: source.peer.Region})
		}
		regions[position].sources = append(regions[position].sources, source)
	}
	slices.SortFunc(regions, func(a, b *region) int { return strings.Compare(a.name, b.name) })
	return regions
}

// peerInUse returns the peer whose sums are used; nil if this aggregator's own are used, or none yet.
func (r *region) peerInUse() *peerSource {
	for _, source := range r.sources {
		if source.peer.ID == r.sourceInUse {
			return source
		}
	}
	return nil
}

// usesOwnSums reports whether this aggregator's own sums are used for the region.
func (r *region) usesOwnSums() bool { return r.isOwn && r.peerInUse() == nil }
