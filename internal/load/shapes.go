package load

import (
	"math"
	"math/rand"
	"slices"
	"time"
)

// The functions in this file generate schedules: arrival times in ascending order, each at or after start and before end.
// Rates are in arrivals per second. The same state of the random source gives the same schedule.

// Poisson generates a Poisson process whose rate changes linearly from startRate to endRate.
func Poisson(rng *rand.Rand, start, end time.Duration, startRate, endRate float64) []time.Duration {
	var times []time.Duration
	maxRate := max(startRate, endRate)
	if maxRate <= 0 {
		return nil
	}
	// Thinning, after Lewis and Shedler: candidates arrive at maxRate and are accepted in proportion to the current rate.
	for next := start; ; {
		next += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if next >= end {
			return times
		}
		progress := float64(next-start) / float64(end-start)
		if rng.Float64()*maxRate < startRate+(endRate-startRate)*progress {
			times = append(times, next)
		}
	}
}

// Steady generates arrivals at equal intervals.
func Steady(start, end time.Duration, rate float64) []time.Duration {
	var times []time.Duration
	if rate <= 0 {
		return nil
	}
	for n := 0; ; n++ {
		arrival := start + time.Duration(float64(n)/rate*float64(time.Second))
		if arrival >= end {
			return times
		}
		times = append(times, arrival)
	}
}

// Steps generates Poisson processes one after another, in steps of equal length. Their rates rise or fall by equal amounts
// from startRate in the first step to endRate in the last one.
func Steps(rng *rand.Rand, start, end time.Duration, startRate, endRate float64, steps int) []time.Duration {
	var times []time.Duration
	for n := range steps {
		rate := startRate
		if steps > 1 {
			rate += (endRate - startRate) * float64(n) / float64(steps-1)
		}
		stepStart := start + (end-start)*time.Duration(n)/time.Duration(steps)
		times = append(times, Poisson(rng, stepStart, start+(end-start)*time.Duration(n+1)/time.Duration(steps), rate, rate)...)
	}
	return times
}

// Burst generates the arrivals of n clients that react to one event at start: their rate decays exponentially, with half of
// them expected by halfTime after start. Those that would arrive at end or later are left out.
func Burst(rng *rand.Rand, start, halfTime, end time.Duration, n int) []time.Duration {
	var times []time.Duration
	for range n {
		arrival := start + time.Duration(rng.ExpFloat64()/math.Ln2*float64(halfTime))
		if arrival < end {
			times = append(times, arrival)
		}
	}
	slices.Sort(times)
	return times
}
