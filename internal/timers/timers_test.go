package timers

import (
	"math/rand"
	"testing"
	"testing/quick"
	"time"
)

// TestTimers runs random sequences of After, Stop and Run: each timer is called once, in order of time and not before
// it is due, and none is called after it was stopped.
func TestTimers(t *testing.T) {
	check := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		now, wakeAt := time.Duration(1), time.Duration(0) // wakeAt 0: no wake-up is requested
		timers := New(func() time.Duration { return now }, func(after time.Duration) { wakeAt = now + after })
		pending, created := map[*Timer]time.Duration{}, []*Timer(nil)
		lastDue, ok := time.Duration(0), true
		for range 300 {
			switch random.Intn(3) {
			case 0:
				dueAt := now + time.Duration(random.Int63n(50))
				var timer *Timer
				timer = timers.After(dueAt-now, func() {
					want, isPending := pending[timer]
					ok = ok && isPending && want <= now && want >= lastDue
					lastDue = want
					delete(pending, timer)
				})
				pending[timer] = dueAt
				created = append(created, timer)
			case 1:
				if len(created) > 0 { // also timers that were called or stopped before
					timer := created[random.Intn(len(created))]
					timers.Stop(timer)
					timers.Stop(timer)
					delete(pending, timer)
				}
			case 2:
				now += time.Duration(random.Int63n(30))
				if wakeAt != 0 && wakeAt <= now {
					wakeAt = 0
					timers.Run()
				}
				for _, dueAt := range pending {
					ok = ok && dueAt > now
				}
			}
		}
		return ok
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}
