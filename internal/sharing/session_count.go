package sharing

import (
	"hash/fnv"

	"chalkferry/internal/aggregation"
)

// SessionCount is the number of sessions that a proxy holds for one server, listener or tenant.
type SessionCount struct {
	Kind     aggregation.Kind
	Name     string
	Sessions uint32
}

// keyOf returns the key of a name, which is the same at all proxies.
func keyOf(kind aggregation.Kind, name string) aggregation.Key {
	return aggregation.Key{Kind: kind, ID: hash(name)}
}

// hash returns the ID of a key, member or aggregator by its name. It is never 0, which means none.
func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // returns no error
	return max(h.Sum64(), 1)
}

// publishedCounts remembers the names of the latest publications, so that a name that is not published any more is set
// to 0, and so that the status can show names instead of hashes.
type publishedCounts struct {
	names      map[aggregation.Key]*publishedName
	generation uint64 // grows with each publication
	maxNames   int    // names without sessions are removed above it
}

type publishedName struct {
	name       string
	generation uint64 // of the latest publication that had the name
	isHeld     bool   // the value set last is not 0
}

func newPublishedCounts(maxNames int) *publishedCounts {
	return &publishedCounts{names: map[aggregation.Key]*publishedName{}, maxNames: maxNames}
}

// publish calls set for each count, and with 0 for each name that had sessions in the publication before and is not in
// this one.
func (s *publishedCounts) publish(counts []SessionCount, set func(aggregation.Key, uint64)) {
	s.generation++
	for _, count := range counts {
		k := keyOf(count.Kind, count.Name)
		known := s.names[k]
		if known == nil {
			known = &publishedName{name: count.Name}
			s.names[k] = known
		}
		known.generation, known.isHeld = s.generation, count.Sessions > 0
		set(k, uint64(count.Sessions))
	}
	for k, known := range s.names { // the order does not matter
		if known.generation == s.generation {
			continue
		}
		if known.isHeld {
			known.isHeld = false
			set(k, 0)
		}
		if len(s.names) > s.maxNames {
			delete(s.names, k) // the status shows the key's hash from now on
		}
	}
}

// name returns the name of a key, or its hash as text if this process has not published the name recently.
func (s *publishedCounts) name(k aggregation.Key) string {
	if known := s.names[k]; known != nil {
		return known.name
	}
	return k.String()
}
