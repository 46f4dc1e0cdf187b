package aggregation

import (
	"slices"
	"strings"
	"time"
)

// peerSource has the region sums of one other aggregator.
type peerSource struct {
	peer        Peer
	known       bool
	incarnation Incarnation
	heardAt     time.Duration
	members     uint32
	heard       float64 // share of them, as the latest datagram says
	fading      uint64
	table       inbox[uint64]

	membersBefore uint32 // that it knew before it was started again
	restartedAt   time.Duration
}

// region chooses one source for the sums of a region. Two are never added up or mixed by key, so that what a member
// reports to both aggregators of its region counts once.
type region struct {
	name    string
	isOwn   bool // the aggregator itself is one of the sources
	sources []*peerSource
	inUse   AggregatorID
}

// receive takes a part of the peer's sums.
func (p *peerSource) receive(sum *RegionSum, heardAt time.Duration) (outcome Outcome, dropped int) {
	switch {
	case p.known && sum.Incarnation < p.incarnation:
		return Refused, 0
	case sum.Incarnation > p.incarnation:
		p.table.clear()
		p.incarnation = sum.Incarnation
		p.membersBefore, p.restartedAt = p.members, heardAt
	}
	p.known = true
	if sum.Number > uint64(p.table.highest) {
		p.heardAt = max(p.heardAt, heardAt)
		p.members, p.heard, p.fading = sum.Members, sum.Heard, sum.Fading
	}
	return p.table.receive(header{
		number:  uint32(sum.Number),
		since:   uint32(sum.Since),
		keys:    sum.Keys,
		quality: quality{asOf: heardAt - sum.Age, bound: sum.Slack + sum.Fading, heard: sum.Heard},
	}, sum.Entries)
}

// heardMembers returns how many members the received sums are from, each by the share of its keys.
func (p *peerSource) heardMembers() float64 {
	return float64(p.members) * p.table.worst().heard * p.table.complete()
}

// candidate returns how good the peer's sums are.
func (p *peerSource) candidate(now, freshness time.Duration) candidate {
	return candidate{
		id:     p.peer.ID,
		heard:  p.heardMembers(),
		silent: !p.known || isSilent(now-p.heardAt, freshness),
	}
}

// newRegions returns the regions of an aggregator and its peers, in order of their names.
func newRegions(config *AggregatorConfig, sources []*peerSource) []*region {
	regions := []*region{{name: config.Region, isOwn: true, inUse: config.ID}}
	for _, source := range sources {
		at := slices.IndexFunc(regions, func(r *region) bool { return r.name == source.peer.Region })
		if at < 0 {
			at = len(regions)
			regions = append(regions, &region{name: source.peer.Region})
		}
		regions[at].sources = append(regions[at].sources, source)
	}
	slices.SortFunc(regions, func(a, b *region) int { return strings.Compare(a.name, b.name) })
	return regions
}

// source returns the peer in use; nil if it is the aggregator itself, or none yet.
func (r *region) source() *peerSource {
	for _, source := range r.sources {
		if source.peer.ID == r.inUse {
			return source
		}
	}
	return nil
}

// usesOwn tells whether the aggregator's own sums are those that count.
func (r *region) usesOwn() bool { return r.isOwn && r.source() == nil }
