package load

import (
	"context"
	"math/rand"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// stalls is a server on a clock of the test's own: it serves one call after another, each in a millisecond, and
// stalls for a while.
type stalls struct {
	free, from, to time.Duration
}

func (s *stalls) call(at time.Duration) (done time.Duration) {
	begin := max(at, s.free)
	if begin >= s.from && begin < s.to {
		begin = s.to
	}
	s.free = begin + ms
	return s.free
}

// A server that stalls for 200 ms is seen in the p99 of each window that the stall reaches into when latencies
// are counted from the schedule. A generator that waits for each answer, and counts from when it sends, hides it.
func TestStallIsSeen(t *testing.T) {
	const every, span = 4 * ms, 100 * ms
	s := stalls{from: 500 * ms, to: 700 * ms}
	open := NewRecorder(span)
	for _, at := range Steady(0, 2*time.Second, float64(time.Second/every)) {
		open.Record(at, s.call(at)-at)
	}
	s = stalls{from: 500 * ms, to: 700 * ms}
	waiting := NewRecorder(span)
	for at := time.Duration(0); at < 2*time.Second; {
		done := s.call(at)
		waiting.Record(at, done-at)
		at = max(at+every, done)
	}
	for i, w := range open.Windows() {
		// The stall lasts to 700 ms; what piled up is served at a millisecond each, beside what comes every four.
		// What came 1 ms before the stall's end had 50 before it, so windows 5 and 6 wait for it, and 7 for the rest.
		if stalled := i >= 5 && i <= 7; stalled != (w.P99 > 20) {
			t.Errorf("window from %v ms: p99 %v ms", w.FromMs, w.P99)
		}
	}
	if f := open.Summary(); f.P90 < 50 || f.Max < 195 {
		t.Errorf("the open loop shows %+v", f)
	}
	if f := waiting.Summary(); f.P99 > 5 {
		t.Errorf("the waiting generator was to hide the stall, it shows %+v", f)
	}
}

// A generator that is slower than its schedule says so.
func TestLateIsSaid(t *testing.T) {
	for _, c := range []struct {
		late, of int
		want     bool
	}{{0, 1000, false}, {5, 1000, false}, {20, 1000, true}} {
		l := NewLateness(10 * ms)
		for i := range c.of {
			by := ms
			if i < c.late {
				by = 50 * ms
			}
			l.Record(by)
		}
		if n, tooMany, all := l.Result(); int(n) != c.late || tooMany != c.want || all.N != int64(c.of) {
			t.Errorf("%+v: %d, %v, %+v", c, n, tooMany, all)
		}
	}
}

// Run calls all of a schedule whatever the calls do, in order, and stops with its context.
func TestRunDoesNotWait(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	schedule := Steady(0, 100*ms, 1000)
	stuck := make(chan struct{})
	var mu sync.Mutex
	called := 0
	n := Run(context.Background(), now, schedule, func(int) {
		mu.Lock()
		called++
		mu.Unlock()
		<-stuck
	})
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(ms) {
		mu.Lock()
		all := called == len(schedule)
		mu.Unlock()
		if all {
			break
		}
	}
	close(stuck)
	if n != len(schedule) || called != n {
		t.Fatalf("%d of %d, %d ran", n, len(schedule), called)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if n := Run(ctx, now, []time.Duration{time.Hour}, func(int) {}); n != 0 {
		t.Fatal(n)
	}
}

// Every shape is in order, within its time, the same for the same seed, and of about the size that it was asked for.
func TestShapes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64().Draw(t, "seed")
		rate := rapid.Float64Range(20, 200).Draw(t, "rate")
		const from, to = 2 * time.Second, 12 * time.Second
		shapes := map[string]func(rng *rand.Rand) []time.Duration{
			"poisson": func(rng *rand.Rand) []time.Duration { return Poisson(rng, from, to, rate, rate) },
			"ramp":    func(rng *rand.Rand) []time.Duration { return Poisson(rng, from, to, 0, 2*rate) },
			"steady":  func(*rand.Rand) []time.Duration { return Steady(from, to, rate) },
			"steps":   func(rng *rand.Rand) []time.Duration { return Steps(rng, from, to, rate/2, rate*3/2, 5) },
			"burst":   func(rng *rand.Rand) []time.Duration { return Burst(rng, from, time.Second, to, int(10*rate)) },
		}
		for name, shape := range shapes {
			a, b := shape(rand.New(rand.NewSource(seed))), shape(rand.New(rand.NewSource(seed)))
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("%s: two schedules of one seed", name)
			}
			if !slices.IsSorted(a) || len(a) > 0 && (a[0] < from || a[len(a)-1] >= to) {
				t.Fatalf("%s: out of order or of its time", name)
			}
			if want := 10 * rate; float64(len(a)) < 0.6*want || float64(len(a)) > 1.4*want {
				t.Fatalf("%s: %d, wanted about %v", name, len(a), want)
			}
		}
	})
}
