package aggregation

import (
	"slices"
	"time"
)

// maxAge is the largest age in a message; larger ones are malformed.
const maxAge = 365 * 24 * time.Hour

// clampAge limits an age to what a message may carry.
func clampAge(age time.Duration) time.Duration { return min(max(age, 0), maxAge) }

// chooseSources updates the source in use of each region, and returns the regions' states, sorted by name.
func (a *Aggregator) chooseSources(now time.Duration) []RegionState {
	summary := a.summary(now)
	states := make([]RegionState, 0, len(a.regions))
	for _, region := range a.regions {
		candidates := make([]candidate, 0, 1+len(region.sources))
		if region.isOwn {
			candidates = append(candidates, candidate{id: a.config.ID, heardMembers: summary.heardMembers})
		}
		for _, source := range region.sources {
			candidates = append(candidates, source.candidate(now, a.config.Freshness))
		}
		region.sourceInUse = chooseSource(region.sourceInUse, candidates)
		states = append(states, a.regionState(region, summary, now))
	}
	return states
}

// regionState returns the state of a region according to its source in use.
func (a *Aggregator) regionState(region *region, summary regionSummary, now time.Duration) RegionState {
	if region.usesOwnSums() {
		members := a.knownMembers(region, summary.members, now)
		return RegionState{
			Region:  region.name,
			Source:  a.config.ID,
			Members: members,
			Heard:   heardShareOf(summary.heardMembers, members),
			Weight:  1,
			Age:     clampAge(now - summary.asOf),
			Slack:   min(summary.slack, maxSumValue),
			Fading:  summary.fading,
		}
	}
	source := region.peerInUse()
	if source == nil {
		return RegionState{Region: region.name}
	}
	return a.peerState(region, source, now)
}

// peerState returns the state of a region whose sums come from a peer. While the peer's weight falls, no member counts
// as heard, and the largest value of its table adds to the error bound.
func (a *Aggregator) peerState(region *region, source *peerSource, now time.Duration) RegionState {
	state := RegionState{
		Region:  region.name,
		Source:  source.peer.ID,
		Members: a.knownMembers(region, source.members, now),
		Weight:  a.sourceWeight(source, now),
		Age:     clampAge(now - source.heardAt),
	}
	if state.Weight == 0 {
		return state
	}
	worst := source.table.worstQuality()
	state.Age = clampAge(now - worst.asOf)
	state.Fading = min(source.fading, worst.errorBound)
	state.Slack = min(worst.errorBound-state.Fading, maxSumValue)
	if state.Weight == 1 {
		state.Heard = heardShareOf(source.heardMembers(), state.Members)
		return state
	}
	state.Fading = min(state.Fading+source.table.largestValue(), maxSumValue)
	return state
}

// knownMembers returns the number of members of a region: the largest number known to any of its sources, or known to a
// source before a recent restart, as one source may not have heard of members that another knows.
func (a *Aggregator) knownMembers(region *region, members uint32, now time.Duration) uint32 {
	for _, source := range region.sources {
		if a.sourceWeight(source, now) > 0 {
			members = max(members, source.members)
		}
		if now-source.restartedAt <= a.config.Freshness+a.config.Decay {
			members = max(members, source.membersBeforeRestart)
		}
	}
	if region.isOwn {
		members = max(members, uint32(len(a.membership.members)))
	}
	return members
}

// heardShareOf returns the share of the known members that were heard, 0 to 1.
func heardShareOf(heardMembers float64, members uint32) float64 {
	if members == 0 {
		return 0
	}
	return min(1, heardMembers/float64(members))
}

// heardShare returns the share of all known members that were heard, 0 to 1. A region without known members was not
// heard, or its aggregators have just started: it is assumed to have as many members as the other regions have on
// average.
func heardShare(states []RegionState) float64 {
	heard, members, regions := 0.0, uint64(0), 0
	for _, state := range states {
		heard += state.Heard * float64(state.Members)
		members += uint64(state.Members)
		if state.Members > 0 {
			regions++
		}
	}
	if members == 0 {
		return 0
	}
	return min(1, heard/float64(members)) * float64(regions) / float64(len(states))
}

// summary returns the summary of the own region. An aggregator that has just started does not know its members yet:
// until it has run for the freshness, the number of heard members is scaled down in proportion to its running time.
func (a *Aggregator) summary(now time.Duration) regionSummary {
	summary := a.membership.summary(now)
	if running := now - a.startedAt; running < a.config.Freshness {
		summary.heardMembers *= float64(running) / float64(a.config.Freshness)
	}
	return summary
}

// Members returns the status of the members, sorted by ID.
func (a *Aggregator) Members(now time.Duration) []MemberStatus {
	now = a.advance(now)
	return a.membership.statuses(now, a.config.ID)
}

// MemberCount returns the number of known members, without the cost of Members.
func (a *Aggregator) MemberCount(now time.Duration) int {
	a.advance(now)
	return len(a.membership.members)
}

// Peers returns the status of the other aggregators, in configuration order.
func (a *Aggregator) Peers(now time.Duration) []AggregatorStatus {
	now = a.advance(now)
	a.chooseSources(now)
	statuses := make([]AggregatorStatus, 0, len(a.peers))
	for _, source := range a.peers {
		regionPosition := slices.IndexFunc(a.regions, func(r *region) bool { return r.sourceInUse == source.peer.ID })
		statuses = append(statuses, source.status(now, regionPosition >= 0))
	}
	return statuses
}

func (p *peerSource) status(now time.Duration, inUse bool) AggregatorStatus {
	status := AggregatorStatus{ID: p.peer.ID, Region: p.peer.Region, Known: p.known}
	if !p.known {
		return status
	}
	status.Incarnation = p.incarnation
	status.Age = now - p.heardAt
	status.InUse = inUse
	status.Members, status.Heard = p.members, p.heardShare
	status.Keys, status.KeysSent = p.table.nonzeroCount, p.table.senderKeys
	return status
}

// Figure returns the fleet's sum of one key.
func (a *Aggregator) Figure(now time.Duration, key Key) Figure {
	now = a.advance(now)
	states := a.chooseSources(now)
	figure := Figure{Heard: heardShare(states)}
	index, known := a.dictionary.find(key)
	for i, region := range a.regions {
		source := region.peerInUse()
		switch {
		case region.usesOwnSums():
			figure.Age = max(figure.Age, states[i].Age)
			figure.Error += float64(states[i].Slack)
			if known {
				figure.Value += float64(a.membership.sums.value(index, now))
				figure.Error += float64(a.membership.sums.fadingValue(index))
			}
		case source != nil && states[i].Weight > 0:
			figure.addPeerValue(source, index, known, states[i].Weight, now)
		}
	}
	return figure
}

// addPeerValue adds a peer's value of a key, scaled by its weight. If the weight is below 1, the unscaled value adds to
// the error.
func (f *Figure) addPeerValue(source *peerSource, index uint32, known bool, weight float64, now time.Duration) {
	quality := source.table.worstQuality()
	if known {
		quality = source.table.qualityOf(index)
		value := source.table.value(index)
		f.Value += float64(applyWeight(value, weight))
		if weight < 1 {
			f.Error += float64(value)
		}
	}
	f.Age = max(f.Age, clampAge(now-quality.asOf))
	f.Error += float64(quality.errorBound)
}

// Regions returns the state of all regions, sorted by name.
func (a *Aggregator) Regions(now time.Duration) []RegionState {
	return a.chooseSources(a.advance(now))
}
