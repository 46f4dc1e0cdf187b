package aggregation

import (
	"slices"
	"time"
)

// Figure returns the fleet's sum of one key. What the member itself has counts as far as the fleet's sums do not.
func (m *Member) Figure(now time.Duration, key Key) Figure {
	now = m.guard.advance(now)
	own := float64(m.own.value(key))
	source := m.inUse
	share := m.weight(source, now)
	if share == 0 || source.table.highest == 0 {
		return Figure{Value: own}
	}
	quality := source.table.worst()
	value := 0.0
	if index, known := source.table.dictionary.find(key); known {
		quality = source.table.qualityOf(index)
		value = float64(source.table.value(index))
	}
	figure := Figure{Value: value, Error: float64(quality.bound), Age: boundedAge(now - quality.asOf)}
	if share < 1 {
		figure.Value = share*value + (1-share)*own
		figure.Error += value
		return figure
	}
	figure.Heard = quality.heard * source.table.complete()
	return figure
}

// Keys returns the keys of the fleet's sums, and the member's own, in order.
func (m *Member) Keys() []Key {
	names := m.own.dictionary.keys
	keys := make([]Key, 0, len(m.own.order)+len(m.inUse.table.entries))
	for _, index := range m.own.order {
		keys = append(keys, names[index])
	}
	for _, entry := range m.inUse.table.entries {
		keys = append(keys, names[entry.index])
	}
	slices.SortFunc(keys, Key.Compare)
	return slices.Compact(keys)
}

// Aggregators returns what is known of the region's aggregators, in the order of the configuration.
func (m *Member) Aggregators(now time.Duration) []AggregatorStatus {
	now = m.guard.advance(now)
	statuses := make([]AggregatorStatus, 0, len(m.sources))
	for _, source := range m.sources {
		status := AggregatorStatus{ID: source.id, Region: m.config.Region, Known: source.known}
		status.Subscribed = source.id == m.subscription.current
		if source.known {
			status.Incarnation = source.incarnation
			status.Age = now - source.heardAt
			status.InUse = source == m.inUse
			status.Members = source.knownMembers()
			status.Heard = heardShare(source.regions)
			status.Keys, status.KeysSent = source.table.nonzero, source.table.keys
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Regions returns what the aggregator in use says of the regions, in order of their names.
func (m *Member) Regions(now time.Duration) []RegionState {
	now = m.guard.advance(now)
	states := slices.Clone(m.inUse.regions)
	share := m.weight(m.inUse, now)
	for i := range states {
		states[i].Age = boundedAge(states[i].Age + now - m.inUse.heardAt)
		states[i].Weight *= share
		if share < 1 {
			states[i].Heard = 0
		}
	}
	return states
}
