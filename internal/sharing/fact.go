package sharing

import (
	"hash/fnv"

	"chalkferry/internal/aggregation"
)

// Fact is how many sessions a proxy holds of one name.
type Fact struct {
	Kind aggregation.Kind
	Name string
	Held uint32
}

// key of a name is the same at all proxies.
func key(kind aggregation.Kind, name string) aggregation.Key {
	return aggregation.Key{Kind: kind, ID: hash(name)}
}

// hash of a name of a key, member or aggregator. It is never 0, which stands for none.
func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // returns no error
	return max(h.Sum64(), 1)
}

// factSet remembers what was published last, so that a name that is no longer held is published as 0, and the status
// has the names of the keys.
type factSet struct {
	names      map[aggregation.Key]*publishedName
	generation uint64 // grows with each publication
	maxNames   int
}

type publishedName struct {
	name       string
	generation uint64 // of the latest publication with it
	held       bool   // its value is not 0
}

func newFactSet(maxNames int) *factSet {
	return &factSet{names: map[aggregation.Key]*publishedName{}, maxNames: maxNames}
}

// publish calls set for each fact, and with 0 for each name that was held before and is not any more.
func (s *factSet) publish(facts []Fact, set func(aggregation.Key, uint64)) {
	s.generation++
	for _, fact := range facts {
		k := key(fact.Kind, fact.Name)
		known := s.names[k]
		if known == nil {
			known = &publishedName{name: fact.Name}
			s.names[k] = known
		}
		known.generation, known.held = s.generation, fact.Held > 0
		set(k, uint64(fact.Held))
	}
	for k, known := range s.names { // each key stands for itself, in any order
		if known.generation == s.generation {
			continue
		}
		if known.held {
			known.held = false
			set(k, 0)
		}
		if len(s.names) > s.maxNames {
			delete(s.names, k) // the status has its number then
		}
	}
}

// name returns what a key stands for, or its number where this process has not published it lately.
func (s *factSet) name(k aggregation.Key) string {
	if known := s.names[k]; known != nil {
		return known.name
	}
	return k.String()
}
