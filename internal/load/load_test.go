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

// stallingServer simulates a server on a virtual clock. It serves calls one after another, each in a millisecond, and starts
// none from stallStart to stallEnd.
type stallingServer struct {
	nextFree, stallStart, stallEnd time.Duration
}

// serve returns when a call that arrives at a time is done.
func (s *stallingServer) serve(arrival time.Duration) (done time.Duration) {
	start := max(arrival, s.nextFree)
	if start >= s.stallStart && start < s.stallEnd {
		start = s.stallEnd
	}
	s.nextFree = start + ms
	return s.nextFree
}

// TestStallIsSeen checks that a stall of 200 ms shows up in the p99 of each window that it affects if latencies are measured
// from the schedule. For comparison, a generator that waits for each answer and measures from the actual send hides it.
func TestStallIsSeen(t *testing.T) {
	const interval, windowLength = 4 * ms, 100 * ms
	s := stallingServer{stallStart: 500 * ms, stallEnd: 700 * ms}
	openLoop := NewRecorder(windowLength)
	for _, sentAt := range Steady(0, 2*time.Second, float64(time.Second/interval)) {
		openLoop.Record(sentAt, s.serve(sentAt)-sentAt)
	}
	s = stallingServer{stallStart: 500 * ms, stallEnd: 700 * ms}
	closedLoop := NewRecorder(windowLength)
	for sentAt := time.Duration(0); sentAt < 2*time.Second; {
		done := s.serve(sentAt)
		closedLoop.Record(sentAt, done-sentAt)
		sentAt = max(sentAt+interval, done)
	}
	for i, w := range openLoop.Windows() {
		// The stall ends at 700 ms. About 50 calls have queued up by then; the server works them off at 1 ms each while
		// a new one arrives every 4 ms. So calls of windows 5 and 6 wait for the stall's end, those of 7 for the queue.
		if stalled := i >= 5 && i <= 7; stalled != (w.P99 > 20) {
			t.Errorf("window from %v ms: p99 is %v ms, want over 20 ms: %v", w.FromMs, w.P99, stalled)
		}
	}
	if summary := openLoop.Summary(); summary.P90 < 50 || summary.Max < 195 {
		t.Errorf("the open loop doesn't show the stall: %+v", summary)
	}
	if summary := closedLoop.Summary(); summary.P99 > 5 {
		t.Errorf("the closed loop is expected to hide the stall, but shows %+v", summary)
	}
}

// TestLateIsSaid checks that a generator that falls behind its schedule reports it.
func TestLateIsSaid(t *testing.T) {
	for _, c := range []struct {
		late, total int // sends
		tooMany     bool
	}{{0, 1000, false}, {5, 1000, false}, {20, 1000, true}} {
		l := NewLateness(10 * ms)
		for i := range c.total {
			delay := ms
			if i < c.late {
				delay = 50 * ms
			}
			l.Record(delay)
		}
		if late, tooMany, all := l.Result(); int(late) != c.late || tooMany != c.tooMany || all.N != int64(c.total) {
			t.Errorf("%+v: Result is %d, %v, %+v", c, late, tooMany, all)
		}
	}
}

// TestRunDoesNotWait checks that Run makes all calls of a schedule although none of them returns, and stops when its context
// ends.
func TestRunDoesNotWait(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	schedule := Steady(0, 100*ms, 1000)
	release := make(chan struct{})
	var mu sync.Mutex
	called := 0 // guarded by mu
	n := Run(context.Background(), now, schedule, func(int) {
		mu.Lock()
		called++
		mu.Unlock()
		<-release
	})
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(ms) {
		mu.Lock()
		all := called == len(schedule)
		mu.Unlock()
		if all {
			break
		}
	}
	close(release)
	if n != len(schedule) || called != n {
		t.Fatalf("Run returns %d and made %d calls, want %d", n, called, len(schedule))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if n := Run(ctx, now, []time.Duration{time.Hour}, func(int) {}); n != 0 {
		t.Fatalf("Run started %d calls after its context had ended", n)
	}
}

// TestShapes checks of every shape of schedule that it is sorted, within its time, the same for the same seed, and of about
// the requested size.
func TestShapes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64().Draw(t, "seed")
		rate := rapid.Float64Range(20, 200).Draw(t, "rate")
		const start, end = 2 * time.Second, 12 * time.Second
		shapes := map[string]func(rng *rand.Rand) []time.Duration{
			"poisson": func(rng *rand.Rand) []time.Duration { return Poisson(rng, start, end, rate, rate) },
			"ramp":    func(rng *rand.Rand) []time.Duration { return Poisson(rng, start, end, 0, 2*rate) },
			"steady":  func(*rand.Rand) []time.Duration { return Steady(start, end, rate) },
			"steps":   func(rng *rand.Rand) []time.Duration { return Steps(rng, start, end, rate/2, rate*3/2, 5) },
			"burst":   func(rng *rand.Rand) []time.Duration { return Burst(rng, start, time.Second, end, int(10*rate)) },
		}
		for name, shape := range shapes {
			first, second := shape(rand.New(rand.NewSource(seed))), shape(rand.New(rand.NewSource(seed)))
			if !reflect.DeepEqual(first, second) {
				t.Fatalf("%s: one seed gives two different schedules", name)
			}
			if !slices.IsSorted(first) || len(first) > 0 && (first[0] < start || first[len(first)-1] >= end) {
				t.Fatalf("%s: not sorted, or not within its time", name)
			}
			if want := 10 * rate; float64(len(first)) < 0.6*want || float64(len(first)) > 1.4*want {
				t.Fatalf("%s: %d arrivals, want about %v", name, len(first), want)
			}
		}
	})
}
