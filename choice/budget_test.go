package choice

import (
	"testing"
	"time"
)

// TestBudget: from the first scores of three deployments, where every second dial of many sessions went out at once
// (15 in 2 s where 87 sessions allowed 14.4): what fails is dialed again only as the budget of the last window allows,
// else it is refused at once. Sessions that leave the window take their part along, and a switch knows nothing before.
func TestBudget(t *testing.T) {
	r := fleet(9)
	r.switchSettings(false, RetryBudget{FreeRetries: 1, RetriesPerSession: 0.1, Window: 2 * sec})
	r.now = sec
	for id := range SessionID(50) { // held from before, not taken
		if err := r.b.AdoptSession(r.now, Arrival{ID: 1000 + id, TimeLeft: sec, Client: 99}, 1); err != nil {
			t.Fatal(err)
		}
	}
	again := func(sessions Key) (dialed int) {
		for k := range sessions {
			s := r.arrive(0, k+1, 0, 0)
			if r.settle(s, ServerFull); s.dialing != 0 {
				dialed++
			} else if s.answer != "refused" {
				t.Fatalf("session %d has the answer %q", s.id, s.answer)
			}
		}
		return dialed
	}
	for i, c := range []struct {
		after    time.Duration
		sessions Key
		want     int
	}{
		{0, 5, 0},          // dials from before the switch are not known; sessions held are not taken
		{1500 * ms, 20, 3}, // 1 and a tenth of 25
		{sec, 20, 2},       // of 40
		{1900 * ms, 10, 2}, // of 30, with 2 made; the first 20 have gone, and their 3
		{1200 * ms, 10, 1}, // of 20, with 2 made
		{100 * ms, 1, 0},   // of 21, with 3 made
	} {
		r.now += c.after
		if got := again(c.sessions); got != c.want {
			t.Errorf("step %d: %d further dials of %d sessions, not %d", i, got, c.sessions, c.want)
		}
	}
	if r.failure != "" {
		t.Error(r.failure)
	}
}

// TestLastDial: from days with a slow store, where a dial was cut short for others that the budget then forbade.
func TestLastDial(t *testing.T) {
	for budget, want := range map[RetryBudget]time.Duration{{}: 300 * ms, {Window: 2 * sec}: 1200 * ms, {FreeRetries: 1, Window: 2 * sec}: 300 * ms} {
		r := fleet(9)
		r.switchSettings(false, budget)
		r.now += 3 * sec
		if s := r.arrive(0, 1, 0, 0); s.outUntil-s.outSince != want {
			t.Errorf("%+v: a dial of %v", budget, s.outUntil-s.outSince)
		}
	}
}
