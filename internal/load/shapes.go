package load

import (
	"math"
	"math/rand"
	"slices"
	"time"
)

// The functions below draw times of arrival, in order, from a random source; the same source gives the same times.

// Poisson draws arrivals at random, with a rate a second that changes evenly from one figure to another.
func Poisson(rng *rand.Rand, from, to time.Duration, rate, toRate float64) []time.Duration {
	var times []time.Duration
	maxRate := max(rate, toRate)
	if maxRate <= 0 {
		return nil
	}
	// Thinning, after Lewis and Shedler.
	for next := from; ; {
		next += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if next >= to {
			return times
		}
		progress := float64(next-from) / float64(to-from)
		if rng.Float64()*maxRate < rate+(toRate-rate)*progress {
			times = append(times, next)
		}
	}
}

// Steady makes arrivals at even distances.
func Steady(from, to time.Duration, rate float64) []time.Duration {
	var times []time.Duration
	if rate <= 0 {
		return nil
	}
	for n := 0; ; n++ {
		at := from + time.Duration(float64(n)/rate*float64(time.Second))
		if at >= to {
			return times
		}
		times = append(times, at)
	}
}

// Steps draws arrivals at random, with a rate that changes from one figure to another in a number of equal steps.
func Steps(rng *rand.Rand, from, to time.Duration, rate, toRate float64, steps int) []time.Duration {
	var times []time.Duration
	for n := range steps {
		r := rate
		if steps > 1 {
			r += (toRate - rate) * float64(n) / float64(steps-1)
		}
		begin := from + (to-from)*time.Duration(n)/time.Duration(steps)
		times = append(times, Poisson(rng, begin, from+(to-from)*time.Duration(n+1)/time.Duration(steps), r, r)...)
	}
	return times
}

// Burst draws a crowd of n that arrives when something happens: many at once, then ever fewer. Half of them have arrived
// after the time half.
func Burst(rng *rand.Rand, at, half, end time.Duration, n int) []time.Duration {
	var times []time.Duration
	for range n {
		arrival := at + time.Duration(rng.ExpFloat64()/math.Ln2*float64(half))
		if arrival < end {
			times = append(times, arrival)
		}
	}
	slices.Sort(times)
	return times
}
