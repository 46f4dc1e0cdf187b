package aggregation

import "time"

// regionSums has the sums over the members of a region by the index of their keys. What fading members have (those no
// longer heard) is kept apart: the sum of value * weight over them, with weight = (end - now) / decay, is
// (sum(value * end) - now * sum(value)) / decay, so that it needs no pass over the members as time goes on. The
// products are taken modulo 2^64: the difference is right as long as it is below that itself, see maxMemberValue.
type regionSums struct {
	decayTicks int64
	fresh      []uint64
	fading     []uint64
	fadingEnds []uint64 // sum(value * end)
}

// maxMemberValue bounds a member's value: 2^32 * 2^16 ticks (maxDecay) * 2^15 members (maxMembersLimit) are 2^63.
const maxMemberValue = 1<<32 - 1

// maxSumValue bounds a sum: a float64 has it exactly.
const maxSumValue = 1 << 53

func ticks(at time.Duration) int64 { return int64(at / decayTick) }

func (s *regionSums) grow(index uint32) {
	for len(s.fresh) <= int(index) {
		s.fresh = append(s.fresh, 0)
		s.fading = append(s.fading, 0)
		s.fadingEnds = append(s.fadingEnds, 0)
	}
}

// changeFresh replaces the value of a member that counts in full.
func (s *regionSums) changeFresh(index uint32, before, after uint64) {
	s.grow(index)
	s.fresh[index] += after - before
}

// changeFading replaces the value of a member whose weight falls to 0 at the tick end.
func (s *regionSums) changeFading(index uint32, before, after uint64, end int64) {
	s.grow(index)
	s.fading[index] += after - before
	s.fadingEnds[index] += (after - before) * uint64(end)
}

// value returns a sum. No fading member's end may have passed.
func (s *regionSums) value(index uint32, now time.Duration) uint64 {
	if int(index) >= len(s.fresh) {
		return 0
	}
	value := s.fresh[index]
	if s.fading[index] == 0 {
		return value
	}
	scaled := s.fadingEnds[index] - s.fading[index]*uint64(ticks(now))
	decay := uint64(s.decayTicks)
	return value + (scaled+decay/2)/decay
}

// fadingValue returns what fading members have of a key, in full.
func (s *regionSums) fadingValue(index uint32) uint64 {
	if int(index) >= len(s.fading) {
		return 0
	}
	return s.fading[index]
}

// largestFading returns the largest fadingValue.
func (s *regionSums) largestFading() (largest uint64) {
	for _, value := range s.fading {
		largest = max(largest, value)
	}
	return largest
}
