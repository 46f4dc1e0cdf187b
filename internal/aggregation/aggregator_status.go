package aggregation

import (
	"slices"
	"time"
)

// maxAge bounds the ages in messages.
const maxAge = 365 * 24 * time.Hour

func boundedAge(age time.Duration) time.Duration { return min(max(age, 0), maxAge) }

// chooseSources chooses the source of each region, and returns the regions' states.
func (a *Aggregator) chooseSources(now time.Duration) []RegionState {
	summary := a.summary(now)
	states := make([]RegionState, 0, len(a.regions))
	for _, region := range a.regions {
		candidates := make([]candidate, 0, 1+len(region.sources))
		if region.isOwn {
			candidates = append(candidates, candidate{id: a.config.ID, heard: summary.heard})
		}
		for _, source := range region.sources {
			candidates = append(candidates, source.candidate(now, a.config.Freshness))
		}
		region.inUse = chooseSource(region.inUse, candidates)
		states = append(states, a.regionState(region, summary, now))
	}
	return states
}

// regionState returns the state of a region by its source in use.
func (a *Aggregator) regionState(region *region, summary regionSummary, now time.Duration) RegionState {
	if region.usesOwn() {
		members := a.knownMembers(region, summary.members, now)
		return RegionState{
			Region:  region.name,
			Source:  a.config.ID,
			Members: members,
			Heard:   shareOf(summary.heard, members),
			Weight:  1,
			Age:     boundedAge(now - summary.asOf),
			Slack:   min(summary.slack, maxSumValue),
			Fading:  summary.fading,
		}
	}
	source := region.source()
	if source == nil {
		return RegionState{Region: region.name}
	}
	return a.peerState(region, source, now)
}

func (a *Aggregator) peerState(region *region, source *peerSource, now time.Duration) RegionState {
	state := RegionState{
		Region:  region.name,
		Source:  source.peer.ID,
		Members: a.knownMembers(region, source.members, now),
		Weight:  a.weight(source, now),
		Age:     boundedAge(now - source.heardAt),
	}
	if state.Weight == 0 {
		return state
	}
	worst := source.table.worst()
	state.Age = boundedAge(now - worst.asOf)
	state.Fading = min(source.fading, worst.bound)
	state.Slack = min(worst.bound-state.Fading, maxSumValue)
	if state.Weight == 1 {
		state.Heard = shareOf(source.heardMembers(), state.Members)
		return state
	}
	state.Fading = min(state.Fading+source.table.largest(), maxSumValue)
	return state
}

// knownMembers returns how many members a region has: one source may not have heard of some that another knows, or
// knew before it was started again.
func (a *Aggregator) knownMembers(region *region, members uint32, now time.Duration) uint32 {
	for _, source := range region.sources {
		if a.weight(source, now) > 0 {
			members = max(members, source.members)
		}
		if now-source.restartedAt <= a.config.Freshness+a.config.Decay {
			members = max(members, source.membersBefore)
		}
	}
	if region.isOwn {
		members = max(members, uint32(len(a.membership.members)))
	}
	return members
}

func shareOf(heard float64, members uint32) float64 {
	if members == 0 {
		return 0
	}
	return min(1, heard/float64(members))
}

// heardShare returns the share of all known members that was heard. A region of which no member is known was not heard,
// or its aggregators have just started: it is taken to have as many as the others.
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

// summary returns what the members' reports say together. An aggregator that has just started does not know its members
// yet: until it has run for the freshness, what it heard counts for less.
func (a *Aggregator) summary(now time.Duration) regionSummary {
	summary := a.membership.summary(now)
	if running := now - a.startedAt; running < a.config.Freshness {
		summary.heard *= float64(running) / float64(a.config.Freshness)
	}
	return summary
}

// Members returns what is known of the members, in order of their IDs.
func (a *Aggregator) Members(now time.Duration) []MemberStatus {
	now = a.advance(now)
	return a.membership.statuses(now, a.config.ID)
}

// MemberCount returns how many members are known, without the cost of Members.
func (a *Aggregator) MemberCount(now time.Duration) int {
	a.advance(now)
	return len(a.membership.members)
}

// Peers returns what is known of the other aggregators, in the order of the configuration.
func (a *Aggregator) Peers(now time.Duration) []AggregatorStatus {
	now = a.advance(now)
	a.chooseSources(now)
	statuses := make([]AggregatorStatus, 0, len(a.peers))
	for _, source := range a.peers {
		at := slices.IndexFunc(a.regions, func(r *region) bool { return r.inUse == source.peer.ID })
		statuses = append(statuses, source.status(now, at >= 0))
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
	status.Members, status.Heard = p.members, p.heard
	status.Keys, status.KeysSent = p.table.nonzero, p.table.keys
	return status
}

// Figure returns the fleet's sum of one key.
func (a *Aggregator) Figure(now time.Duration, key Key) Figure {
	now = a.advance(now)
	states := a.chooseSources(now)
	figure := Figure{Heard: heardShare(states)}
	index, known := a.dictionary.find(key)
	for i, region := range a.regions {
		source := region.source()
		switch {
		case region.usesOwn():
			figure.Age = max(figure.Age, states[i].Age)
			figure.Error += float64(states[i].Slack)
			if known {
				figure.Value += float64(a.membership.sums.value(index, now))
				figure.Error += float64(a.membership.sums.fadingValue(index))
			}
		case source != nil && states[i].Weight > 0:
			figure.addPeer(source, index, known, states[i].Weight, now)
		}
	}
	return figure
}

func (f *Figure) addPeer(source *peerSource, index uint32, known bool, share float64, now time.Duration) {
	quality := source.table.worst()
	if known {
		quality = source.table.qualityOf(index)
		value := source.table.value(index)
		f.Value += float64(weighted(value, share))
		if share < 1 {
			f.Error += float64(value)
		}
	}
	f.Age = max(f.Age, boundedAge(now-quality.asOf))
	f.Error += float64(quality.bound)
}

// Regions returns the state of all regions, in order of their names.
func (a *Aggregator) Regions(now time.Duration) []RegionState {
	return a.chooseSources(a.advance(now))
}
