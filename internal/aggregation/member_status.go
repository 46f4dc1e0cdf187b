package aggregation

import (
	"slices"
	"time"
)

// Figure returns the fleet's sum of one key. As the weight of the received sums falls, the member's own value replaces
// them, so a member without an aggregator returns its own value.
func (m *Member) Figure(now time.Duration, key Key) Figure {
	now = m.stallDetector.advance(now)
	own := float64(m.ownTable.value(key))
	source := m.sourceInUse
	weight := m.sourceWeight(source, now)
	if weight == 0 || source.table.latestNumber == 0 {
		return Figure{Value: own}
	}
	quality := source.table.worstQuality()
	value := 0.0
	if index, known := source.table.dictionary.find(key); known {
		quality = source.table.qualityOf(index)
		value = float64(source.table.value(index))
	}
	figure := Figure{Value: value, Error: float64(quality.errorBound), Age: clampAge(now - quality.asOf)}
	if weight < 1 {
		figure.Value = weight*value + (1-weight)*own
		figure.Error += value
		return figure
	}
	figure.Heard = quality.heardShare * source.table.receivedShare()
	return figure
}

// Keys returns the keys of the fleet's sums and of the member's own values, sorted.
func (m *Member) Keys() []Key {
	keyByIndex := m.ownTable.dictionary.keys
	keys := make([]Key, 0, len(m.ownTable.sortedIndexes)+len(m.sourceInUse.table.entries))
	for _, index := range m.ownTable.sortedIndexes {
		keys = append(keys, keyByIndex[index])
	}
	for _, entry := range m.sourceInUse.table.entries {
		keys = append(keys, keyByIndex[entry.index])
	}
	slices.SortFunc(keys, Key.Compare)
	return slices.Compact(keys)
}

// Aggregators returns the status of the region's aggregators, in configuration order.
func (m *Member) Aggregators(now time.Duration) []AggregatorStatus {
	now = m.stallDetector.advance(now)
	statuses := make([]AggregatorStatus, 0, len(m.digestSources))
	for _, source := range m.digestSources {
		status := AggregatorStatus{ID: source.id, Region: m.config.Region, Known: source.known}
		status.Subscribed = source.id == m.subscription.current
		if source.known {
			status.Incarnation = source.incarnation
			status.Age = now - source.heardAt
			status.InUse = source == m.sourceInUse
			status.Members = source.knownMembers()
			status.Heard = heardShare(source.regions)
			status.Keys, status.KeysSent = source.table.nonzeroCount, source.table.senderKeys
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Regions returns the states of the regions as sent by the aggregator in use, sorted by name. Ages and weights include
// the time since then; if that exceeds the freshness, Heard is 0.
func (m *Member) Regions(now time.Duration) []RegionState {
	now = m.stallDetector.advance(now)
	states := slices.Clone(m.sourceInUse.regions)
	weight := m.sourceWeight(m.sourceInUse, now)
	for i := range states {
		states[i].Age = clampAge(states[i].Age + now - m.sourceInUse.heardAt)
		states[i].Weight *= weight
		if weight < 1 {
			states[i].Heard = 0
		}
	}
	return states
}
