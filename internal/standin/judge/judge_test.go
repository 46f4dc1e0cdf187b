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

// newTestJudge returns a judge for three nodes: two in zone a, one in zone b, each in a cell of its own.
func newTestJudge() *Judge {
	return New(leeway, time.Second, 4*time.Second, false, []Place{{"a", "1"}, {"a", "2"}, {"b", "3"}})
}

// Each violation is reported with its session, and the same sequence of events without the fault is not reported.
func TestBroken(t *testing.T) {
	repeatable := Terms{DialTimeout: time.Second, Effect: Repeatable}
	once := Terms{DialTimeout: time.Second, Effect: OnceOnly}
	zone := Terms{DialTimeout: time.Second, Effect: Referenced, Group: "zone", RepeatWindow: 300 * ms}
	for _, c := range []struct {
		name string
		rule Rule
		run  func(j *Judge, broken bool)
	}{
		{"late answer", SessionLost, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, repeatable)
			j.Answered(choose(broken, 1060*ms, 1040*ms), "s", Refused, "")
		}},
		{"no answer", SessionLost, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, repeatable)
			if !broken {
				j.ProxyDied(0)
			}
			j.Unanswered(1060*ms, "s")
		}},
		{"broken before the answer", SessionLost, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, repeatable)
			j.ConnectionLost(100*ms, "s")
			if !broken { // reported after the loss, as two goroutines observe the two events
				j.ProxyDied(0)
			}
		}},
		{"two answers", SessionLost, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, repeatable)
			j.Answered(10*ms, "s", Refused, "")
			if broken {
				j.Answered(20*ms, "s", Failed, "")
			}
		}},
		{"receipt that no node issued", SessionLost, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, repeatable)
			j.DialArrived(5*ms, 5*ms, "s", 0, false)
			j.ReceiptIssued("s", "r1")
			j.Answered(10*ms, "s", Accepted, choose(broken, "r2", "r1"))
		}},
		{"cut off", SessionLost, func(j *Judge, broken bool) {
			openSession(j, "s")
			j.ConnectionLost(100*ms, "s")
			if !broken {
				j.ServerEnded(120*ms, "s", true)
			}
		}},
		{"end not passed on", SessionLost, func(j *Judge, broken bool) {
			openSession(j, "s")
			j.ServerEnded(100*ms, "s", true)
			if !broken {
				j.ClientLeft(900*ms, "s")
			}
		}},
		{"end not passed on as the proxy leaves", SessionLost, func(j *Judge, broken bool) {
			openSession(j, "s")
			j.ServerEnded(100*ms, "s", true)
			if !broken { // the client saw its connection end with its proxy, and resumes the session through another
				j.ClientRerouted("s")
			}
		}},
		{"two open dials", DuplicateEffect, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, repeatable)
			d := j.DialArrived(5*ms, 5*ms, "s", 0, false)
			j.DialArrived(50*ms, 50*ms, "s", 1, false)
			j.DialEnded(choose(broken, 120*ms, 60*ms), "s", d) // an end that is reported within the leeway is no violation
		}},
		{"once-only dialled again", DuplicateEffect, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, once)
			d := j.DialArrived(5*ms, 5*ms, "s", 0, false)
			if !broken {
				j.DialRefused("s", d)
			}
			j.DialEnded(10*ms, "s", d)
			j.DialArrived(50*ms, 50*ms, "s", 1, false)
		}},
		{"once-only refused", DuplicateEffect, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, once)
			d := j.DialArrived(5*ms, 5*ms, "s", 0, false)
			j.DialEnded(10*ms, "s", d)
			j.Answered(20*ms, "s", choose(broken, Refused, Failed), "")
		}},
		{"referenced elsewhere", DuplicateEffect, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, zone)
			d := j.DialArrived(5*ms, 5*ms, "s", 0, false)
			j.DialEnded(10*ms, "s", d)
			j.DialArrived(50*ms, 50*ms, "s", choose(broken, NodeID(2), 1), false)
		}},
		{"referenced too late", DuplicateEffect, func(j *Judge, broken bool) {
			j.Requested(0, "s", 0, zone)
			d := j.DialArrived(5*ms, 5*ms, "s", 0, false)
			j.DialEnded(10*ms, "s", d)
			at := choose(broken, 400*ms, 200*ms)
			j.DialArrived(at, at, "s", 1, false)
		}},
		{"dial after a drain", DrainIgnored, func(j *Judge, broken bool) {
			j.NodeChanged(0, 1, true)
			j.NodePublished(500*ms, 0, 1, true)
			j.Requested(1400*ms, "s", 0, repeatable)
			at := choose(broken, 1600*ms, 1540*ms)
			j.DialArrived(at, at, "s", 1, false)
		}},
		{"dial by a proxy that does not poll", DrainIgnored, func(j *Judge, broken bool) {
			j.SetWatching(0, 0, !broken)
			j.NodeChanged(100*ms, 1, true)
			j.Requested(5100*ms, "s", 0, repeatable)
			j.DialArrived(5200*ms, 5200*ms, "s", 1, false)
		}},
		{"cold node", ColdNodeOverloaded, func(j *Judge, broken bool) {
			if broken {
				j.NodeOverloaded(time.Second, 1, "too much")
			}
		}},
	} {
		for _, broken := range []bool{true, false} {
			j := newTestJudge()
			c.run(j, broken)
			j.Check(time.Hour)
			violations, counts := j.Violations()
			switch {
			case !broken && len(violations) > 0:
				t.Errorf("%s, rule kept: violations %v, want none", c.name, violations)
			case broken && (len(violations) != 1 || violations[0].Rule != c.rule || counts[c.rule] != 1):
				t.Errorf("%s, rule broken: violations %v, want one of %q", c.name, violations, c.rule)
			case broken && c.rule != ColdNodeOverloaded && !strings.Contains(violations[0].String(), "session s"):
				t.Errorf("%s: violation does not name its session: %s", c.name, violations[0])
			}
		}
	}
}

func choose[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

func openSession(j *Judge, id SessionID) {
	j.Requested(0, id, 0, Terms{DialTimeout: time.Second, Effect: Repeatable})
	j.DialArrived(5*ms, 5*ms, id, 0, false)
	j.ReceiptIssued(id, "r")
	j.Answered(10*ms, id, Accepted, "r")
}

// Random runs that keep all rules, with ends of dials reported early or late, give no violation, and the judge keeps no
// session or pending check afterwards.
func TestOrderly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newTestJudge()
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 20).Draw(t, "sessions") {
			id := SessionID(rune('a' + n))
			terms := Terms{DialTimeout: time.Second, Effect: rapid.SampledFrom([]Effect{Repeatable, OnceOnly, Referenced}).Draw(t, "effect"),
				Group: "all", RepeatWindow: time.Minute}
			j.Requested(now, id, 0, terms)
			for range rapid.IntRange(0, 3).Draw(t, "dials") {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * ms
				d := j.DialArrived(now, now, id, NodeID(rapid.IntRange(0, 2).Draw(t, "node")), false)
				j.DialRefused(id, d)
				j.DialEnded(now+time.Duration(rapid.IntRange(0, 40).Draw(t, "seen"))*ms, id, d)
			}
			if rapid.Bool().Draw(t, "accepted") {
				j.DialArrived(now+100*ms, now+100*ms, id, 0, false)
				j.ReceiptIssued(id, "r")
				j.Answered(now+110*ms, id, Accepted, "r")
				j.ClientLeft(now+200*ms, id)
			} else {
				j.Answered(now+110*ms, id, Refused, "")
				j.ClientLeft(now+120*ms, id)
			}
		}
		j.Check(now + time.Hour)
		if violations, _ := j.Violations(); len(violations) > 0 || len(j.sessions) > 0 || len(j.pending) > 0 {
			t.Fatalf("violations %v, %d sessions and %d pending checks left, want none", violations, len(j.sessions), len(j.pending))
		}
	})
}
