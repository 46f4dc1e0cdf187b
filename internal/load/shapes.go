package load

import (
	"math"
	"math/rand"
	"slices"
	"time"
)

// A shape makes the times at which something arrives, in order, from a source of chance; the same source gives the
// same times.

// Poisson arrives at random with a rate a second that goes evenly from one figure to another.
func Poisson(rng *rand.Rand, from, to time.Duration, rate, toRate float64) []time.Duration {
	var times []time.Duration
	most := max(rate, toRate)
	if most <= 0 {
		return nil
	}
	// Thinning, after Lewis and Shedler.
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / most * float64(time.Second))
		if at >= to {
			return times
		}
		part := float64(at-from) / float64(to-from)
		if rng.Float64()*most < rate+(toRate-rate)*part {
			times = append(times, at)
		}
	}
}

// Steady arrives at even distances.
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

// Steps arrives at random with a rate that goes from one figure to another in so many equal steps.
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

// Burst is a crowd of n that comes when something happens: at once in part, then ever fewer. Half of them are there
// after the span.
func Burst(rng *rand.Rand, at, half, end time.Duration, n int) []time.Duration {
	var times []time.Duration
	for range n {
		t := at + time.Duration(rng.ExpFloat64()/math.Ln2*float64(half))
		if t < end {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	return times
}
