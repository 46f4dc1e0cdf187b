package aggregation

import "time"

// switchMargin is by how much more another source must have been heard from to replace the one in use.
const switchMargin = 1.02

// candidate is a source that could be used.
type candidate struct {
	id     AggregatorID
	heard  float64 // members, each by the share of its keys
	silent bool
}

func (c candidate) effective() float64 {
	if c.silent {
		return 0
	}
	return c.heard
}

// chooseSource returns the candidate that was heard from most; of equal ones that with the lower id. The one in use is
// kept unless another is better by the margin. 0 is none.
func chooseSource(inUse AggregatorID, candidates []candidate) AggregatorID {
	var best, current candidate
	for _, c := range candidates {
		if c.id == inUse {
			current = c
		}
		if !c.silent && c.isBetter(best) {
			best = c
		}
	}
	if inUse == 0 || best.effective() > current.effective()*switchMargin {
		return best.id
	}
	return inUse
}

func (c candidate) isBetter(other candidate) bool {
	if other.id == 0 || c.heard != other.heard {
		return other.id == 0 || c.heard > other.heard
	}
	return c.id < other.id
}

// weight returns how much counts of what was heard so long ago.
func weight(age, freshness, decay time.Duration) float64 {
	if age <= freshness {
		return 1
	}
	return max(0, 1-float64(age-freshness)/float64(decay))
}

// isSilent tells whether a source that was heard so long ago is to be replaced by another.
func isSilent(age, freshness time.Duration) bool { return age > freshness/2 }

// weighted returns a part of a value.
func weighted(value uint64, weight float64) uint64 {
	if weight >= 1 {
		return value
	}
	return uint64(float64(value)*weight + 0.5)
}
