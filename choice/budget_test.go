package choice

import (
	"testing"
	"time"
)

// TestBudget: in three deployments the second dials of many sessions all went out at once, 15 in 2 s where 87 sessions
// allowed 14.4. A failed dial is retried only if the retry budget of the last window allows it, else the session is refused
// at once. Sessions that leave the window no longer add to the budget, and retries from before a change of settings are not
// known.
func TestBudget(t *testing.T) {
	r := newFleet(9)
	r.reconfigure(false, RetryBudget{FreeRetries: 1, RetriesPerSession: 0.1, Window: 2 * sec})
	r.now = sec
	for id := range SessionID(50) { // adopted sessions add nothing to the budget
		if err := r.balancer.AdoptSession(r.now, Arrival{ID: 1000 + id, TimeLeft: sec, Client: 99}, 1); err != nil {
			t.Fatal(err)
		}
	}
	retry := func(sessions Key) (retried int) {
		for key := range sessions {
			s := r.arrive(0, key+1, 0, 0)
			if r.endDial(s, ServerFull); s.dialing != 0 {
				retried++
			} else if s.answer != "refused" {
				t.Fatalf("session %d has the answer %q", s.id, s.answer)
			}
		}
		return retried
	}
	for i, step := range []struct {
		after    time.Duration
		sessions Key
		want     int
	}{
		{0, 5, 0},          // retries from before the change of settings are not known, so none is allowed for a window
		{1500 * ms, 20, 3}, // 1 and a tenth of 25 sessions
		{sec, 20, 2},       // 1 and a tenth of 40, with 3 made
		{1900 * ms, 10, 2}, // 1 and a tenth of 30, with 2 made: the first 25 sessions and their 3 retries have left the window
		{1200 * ms, 10, 1}, // 1 and a tenth of 20, with 2 made
		{100 * ms, 1, 0},   // 1 and a tenth of 21, with 3 made
	} {
		r.now += step.after
		if got := retry(step.sessions); got != step.want {
			t.Errorf("step %d: %d retries of %d sessions, want %d", i, got, step.sessions, step.want)
		}
	}
	if r.failure != "" {
		t.Error(r.failure)
	}
}

// TestLastDial: with a slow store behind the servers, dials were cut short to leave time for retries that the retry budget
// then forbade. A dial that can't be retried gets all the time.
func TestLastDial(t *testing.T) {
	for budget, want := range map[RetryBudget]time.Duration{
		{}:                                300 * ms,
		{Window: 2 * sec}:                 1200 * ms,
		{FreeRetries: 1, Window: 2 * sec}: 300 * ms,
	} {
		r := newFleet(9)
		r.reconfigure(false, budget)
		r.now += 3 * sec
		if s := r.arrive(0, 1, 0, 0); s.dialDeadline-s.dialedAt != want {
			t.Errorf("%+v: a dial of %v, want %v", budget, s.dialDeadline-s.dialedAt, want)
		}
	}
}
