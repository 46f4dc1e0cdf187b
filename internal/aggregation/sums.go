package aggregation

import "time"

// regionSums holds the sums over the members of a region, by the dictionary index of the key. The values of fading
// members (those no longer heard) are summed separately: the sum of value * weight over them, with weight = (end - now)
// / decay, is (sum(value * end) - now * sum(value)) / decay, which needs no pass over the members as time goes on.
// Times are in ticks of decayTick. The products are computed modulo 2^64: the difference is right as long as it is
// itself below 2^64, see maxMemberValue.
type regionSums struct {
	decayTicks        int64
	freshSums         []uint64
	fadingSums        []uint64
	fadingEndProducts []uint64 // sum(value * end), modulo 2^64
}

// maxMemberValue is the largest value of a member: 2^32 * 2^16 ticks (maxDecay) * 2^15 members (maxMembersLimit) =
// 2^63.
const maxMemberValue = 1<<32 - 1

// maxSumValue is the largest sum in a message: all integers up to it are exact as float64.
const maxSumValue = 1 << 53

// toTicks converts a time to ticks, rounded down.
func toTicks(duration time.Duration) int64 { return int64(duration / decayTick) }

func (s *regionSums) grow(index uint32) {
	for len(s.freshSums) <= int(index) {
		s.freshSums = append(s.freshSums, 0)
		s.fadingSums = append(s.fadingSums, 0)
		s.fadingEndProducts = append(s.fadingEndProducts, 0)
	}
}

// changeFresh replaces one member's value in the sums of the fresh members.
func (s *regionSums) changeFresh(index uint32, before, after uint64) {
	s.grow(index)
	s.freshSums[index] += after - before
}

// changeFading replaces one member's value in the sums of the fading members. The member's weight reaches 0 at endTick.
func (s *regionSums) changeFading(index uint32, before, after uint64, endTick int64) {
	s.grow(index)
	s.fadingSums[index] += after - before
	s.fadingEndProducts[index] += (after - before) * uint64(endTick)
}

// value returns the sum of a key, with fading members by their weight. The endTick of no fading member may have passed:
// such members must have been removed before.
func (s *regionSums) value(index uint32, now time.Duration) uint64 {
	if int(index) >= len(s.freshSums) {
		return 0
	}
	value := s.freshSums[index]
	if s.fadingSums[index] == 0 {
		return value
	}
	scaled := s.fadingEndProducts[index] - s.fadingSums[index]*uint64(toTicks(now))
	decay := uint64(s.decayTicks)
	return value + (scaled+decay/2)/decay
}

// fadingValue returns the sum of a key over the fading members, not scaled by their weight.
func (s *regionSums) fadingValue(index uint32) uint64 {
	if int(index) >= len(s.fadingSums) {
		return 0
	}
	return s.fadingSums[index]
}

// largestFadingValue returns the largest fadingValue.
func (s *regionSums) largestFadingValue() (largest uint64) {
	for _, value := range s.fadingSums {
		largest = max(largest, value)
	}
	return largest
}
