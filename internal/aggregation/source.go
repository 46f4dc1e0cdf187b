package aggregation

import "time"

// switchRatio is how many times as many heard members another source must have to replace the one in use. It prevents
// switching to and fro between sources that are about equal.
const switchRatio = 1.02

// candidate is a source of sums that could be used.
type candidate struct {
	id           AggregatorID
	heardMembers float64 // each counted as the share of its keys that were received
	silent       bool
}

// effectiveMembers returns the number of heard members; 0 if the source is silent.
func (c candidate) effectiveMembers() float64 {
	if c.silent {
		return 0
	}
	return c.heardMembers
}

// chooseSource returns the candidate with the most heard members; of equal ones the one with the lower ID. The source
// in use is kept unless another exceeds it by switchRatio. 0 means none.
func chooseSource(inUse AggregatorID, candidates []candidate) AggregatorID {
	var best, current candidate
	for _, c := range candidates {
		if c.id == inUse {
			current = c
		}
		if !c.silent && c.isBetterThan(best) {
			best = c
		}
	}
	if inUse == 0 || best.effectiveMembers() > current.effectiveMembers()*switchRatio {
		return best.id
	}
	return inUse
}

// isBetterThan reports whether a candidate has more heard members than the other, or as many and a lower ID. The zero
// candidate is worse than any other.
func (c candidate) isBetterThan(other candidate) bool {
	if other.id == 0 || c.heardMembers != other.heardMembers {
		return other.id == 0 || c.heardMembers > other.heardMembers
	}
	return c.id < other.id
}

// ageWeight returns the weight, 1 to 0, of values that were received that long ago.
func ageWeight(age, freshness, decay time.Duration) float64 {
	if age <= freshness {
		return 1
	}
	return max(0, 1-float64(age-freshness)/float64(decay))
}

// isSilent reports whether a source that was last heard that long ago is to be replaced by another.
func isSilent(age, freshness time.Duration) bool { return age > freshness/2 }

// applyWeight returns a value scaled by a weight, rounded to the nearest integer.
func applyWeight(value uint64, weight float64) uint64 {
	if weight >= 1 {
		return value
	}
	return uint64(float64(value)*weight + 0.5)
}
