package judge

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	leeway = 50 * ms
)

func fresh() *Judge {
	return New(leeway, time.Second, 4*time.Second, false, []Place{{"a", "1"}, {"a", "2"}, {"b", "3"}})
}

// Each rule broken on purpose is found, with the session, and the same without the fault is not.
func TestBroken(t *testing.T) {
	repeatable := Kind{Timeout: time.Second, Effect: Repeatable}
	once := Kind{Timeout: time.Second, Effect: OnceOnly}
	zone := Kind{Timeout: time.Second, Effect: Referenced, Group: "zone", Window: 300 * ms}
	for _, c := range []struct {
		name string
		rule Rule
		run  func(j *Judge, broken bool)
	}{
		{"late answer", Lost, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, repeatable)
			j.Answered(pick(broken, 1060*ms, 1040*ms), "s", Refused, "")
		}},
		{"no answer", Lost, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, repeatable)
			if !broken {
				j.ProxyDies(0)
			}
			j.Unanswered(1060*ms, "s")
		}},
		{"broken before the answer", Lost, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, repeatable)
			j.Broke(100*ms, "s")
			if !broken { // told after the break, as the two are seen by two readers
				j.ProxyDies(0)
			}
		}},
		{"two answers", Lost, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, repeatable)
			j.Answered(10*ms, "s", Refused, "")
			if broken {
				j.Answered(20*ms, "s", TornDown, "")
			}
		}},
		{"made-up receipt", Lost, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, repeatable)
			j.Arrived(5*ms, 5*ms, "s", 0, false)
			j.Made("s", "r1")
			j.Answered(10*ms, "s", Accepted, pick(broken, "r2", "r1"))
		}},
		{"cut off", Lost, func(j *Judge, broken bool) {
			open(j, "s")
			j.Broke(100*ms, "s")
			if !broken {
				j.ServerEnded(120*ms, "s", true)
			}
		}},
		{"end not passed on", Lost, func(j *Judge, broken bool) {
			open(j, "s")
			j.ServerEnded(100*ms, "s", true)
			if !broken {
				j.Left(900*ms, "s")
			}
		}},
		{"two dials out", Twice, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, repeatable)
			d := j.Arrived(5*ms, 5*ms, "s", 0, false)
			j.Arrived(50*ms, 50*ms, "s", 1, false)
			j.DialEnded(pick(broken, 120*ms, 60*ms), "s", d) // seen a little late is no fault
		}},
		{"once-only dialled again", Twice, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, once)
			d := j.Arrived(5*ms, 5*ms, "s", 0, false)
			if !broken {
				j.TurnedAway("s", d)
			}
			j.DialEnded(10*ms, "s", d)
			j.Arrived(50*ms, 50*ms, "s", 1, false)
		}},
		{"once-only refused", Twice, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, once)
			d := j.Arrived(5*ms, 5*ms, "s", 0, false)
			j.DialEnded(10*ms, "s", d)
			j.Answered(20*ms, "s", pick(broken, Refused, TornDown), "")
		}},
		{"referenced elsewhere", Twice, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, zone)
			d := j.Arrived(5*ms, 5*ms, "s", 0, false)
			j.DialEnded(10*ms, "s", d)
			j.Arrived(50*ms, 50*ms, "s", pick(broken, NodeID(2), 1), false)
		}},
		{"referenced too late", Twice, func(j *Judge, broken bool) {
			j.Taken(0, "s", 0, zone)
			d := j.Arrived(5*ms, 5*ms, "s", 0, false)
			j.DialEnded(10*ms, "s", d)
			at := pick(broken, 400*ms, 200*ms)
			j.Arrived(at, at, "s", 1, false)
		}},
		{"dial after a drain", Drain, func(j *Judge, broken bool) {
			j.Changed(0, 1, true)
			j.Told(500*ms, 0, 1, true)
			j.Taken(1400*ms, "s", 0, repeatable)
			at := pick(broken, 1600*ms, 1540*ms)
			j.Arrived(at, at, "s", 1, false)
		}},
		{"dial by one that does not ask", Drain, func(j *Judge, broken bool) {
			j.Watching(0, 0, !broken)
			j.Changed(100*ms, 1, true)
			j.Taken(5100*ms, "s", 0, repeatable)
			j.Arrived(5200*ms, 5200*ms, "s", 1, false)
		}},
		{"cold node", Cold, func(j *Judge, broken bool) {
			if broken {
				j.FellOver(time.Second, 1, "too much")
			}
		}},
	} {
		for _, broken := range []bool{true, false} {
			j := fresh()
			c.run(j, broken)
			j.Check(time.Hour)
			found, counted := j.Breaches()
			switch {
			case !broken && len(found) > 0:
				t.Errorf("%s, kept: %v", c.name, found)
			case broken && (len(found) != 1 || found[0].Rule != c.rule || counted[c.rule] != 1):
				t.Errorf("%s, broken: %v", c.name, found)
			case broken && c.rule != Cold && !strings.Contains(found[0].String(), "session s"):
				t.Errorf("%s: %s names no session", c.name, found[0])
			}
		}
	}
}

func pick[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

func open(j *Judge, id SessionID) {
	j.Taken(0, id, 0, Kind{Timeout: time.Second, Effect: Repeatable})
	j.Arrived(5*ms, 5*ms, id, 0, false)
	j.Made(id, "r")
	j.Answered(10*ms, id, Accepted, "r")
}

// Random orderly runs, with the two ends of each session told in either order, break nothing and leave nothing behind.
func TestOrderly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := fresh()
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 20).Draw(t, "sessions") {
			id := SessionID(rune('a' + n))
			kind := Kind{Timeout: time.Second, Effect: rapid.SampledFrom([]Effect{Repeatable, OnceOnly, Referenced}).Draw(t, "effect"),
				Group: "all", Window: time.Minute}
			j.Taken(now, id, 0, kind)
			for range rapid.IntRange(0, 3).Draw(t, "dials") {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * ms
				d := j.Arrived(now, now, id, NodeID(rapid.IntRange(0, 2).Draw(t, "node")), false)
				j.TurnedAway(id, d)
				j.DialEnded(now+time.Duration(rapid.IntRange(0, 40).Draw(t, "seen"))*ms, id, d)
			}
			if rapid.Bool().Draw(t, "accepted") {
				j.Arrived(now+100*ms, now+100*ms, id, 0, false)
				j.Made(id, "r")
				j.Answered(now+110*ms, id, Accepted, "r")
				j.Left(now+200*ms, id)
			} else {
				j.Answered(now+110*ms, id, Refused, "")
				j.Left(now+120*ms, id)
			}
		}
		j.Check(now + time.Hour)
		if found, _ := j.Breaches(); len(found) > 0 || len(j.sessions) > 0 || len(j.pending) > 0 {
			t.Fatal(found, len(j.sessions), len(j.pending))
		}
	})
}
