package choice

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// TestSubscribeBackoff: after each failure the Balancer subscribes again, after a longer pause each time.
func TestSubscribeBackoff(t *testing.T) {
	r := newFleet(0)
	var pauses [3]time.Duration
	for i := range pauses {
		r.balancer.ApplyList(r.now, ListFailed, nil)
		pauses[i], r.subscriptions = r.lastTimer, 0
		r.balancer.HandleTimer(r.now, r.lastToken)
		if r.subscriptions != 1 {
			t.Fatal("did not subscribe again")
		}
	}
	if pauses[2] < 2*pauses[0] || pauses[2] > 10*sec {
		t.Errorf("pauses of %v", pauses)
	}
}

// TestOneSubscribeTimer: with 80 proxies, each failed call left two timers behind, and calls doubled until discovery
// accepted none. However calls end, there is one call at a time, and none earlier than its pause.
func TestOneSubscribeTimer(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	r := newFleet(1)
	for r.balancer.ApplyList(0, ListFailed, nil); r.now < 3000*sec && r.subscriptions < 5000; {
		next := slices.MinFunc(r.timers, func(a, c timer) int { return cmp.Compare(a.due, c.due) })
		r.timers = slices.DeleteFunc(r.timers, func(t timer) bool { return t == next })
		r.now = next.due
		before := r.subscriptions
		if r.balancer.HandleTimer(r.now, next.token); r.subscriptions > before && rng.Intn(4) > 0 {
			r.balancer.ApplyList(r.now, ListFailed, nil) // else the call is never answered
		}
	}
	if r.subscriptions < 300 || r.subscriptions > 1500 {
		t.Errorf("%d subscriptions in %v", r.subscriptions, r.now)
	}
}

// TestUnreliableList: lists have shown all servers as gone while they served, and older lists have been delivered again.
// With OnlyDrainsExclude, servers that were once listed are still dialed; without it, one that is gone gets nothing. In
// both cases a server that was shown draining gets nothing until it has started again, whatever lists follow.
func TestUnreliableList(t *testing.T) {
	for _, onlyDrains := range []bool{false, true} {
		r := newFleet(2)
		r.balancer.listSettings.OnlyDrainsExclude, r.onlyDrainsExclude = onlyDrains, onlyDrains
		entry := func(id ServerID, status ServerStatus, startedAt time.Duration) Entry {
			return Entry{ID: id, Size: 1, Status: status, StartKnown: startedAt != 0, StartedAt: startedAt}
		}
		for i, step := range []struct {
			kind           ListKind
			entries        []Entry
			want           int // servers that are dialed
			wantOnlyDrains int // the same with OnlyDrainsExclude
		}{
			{ListFull, nil, 0, 2},
			{ListFull, []Entry{entry(1, Ready, 0), entry(2, Ready, 0)}, 2, 2},
			{ListDelta, []Entry{entry(1, Gone, 0)}, 1, 2},
			{ListDelta, []Entry{entry(2, Draining, 0)}, 0, 1},
			{ListDelta, []Entry{entry(2, Gone, 0)}, 0, 1},
			{ListFull, []Entry{entry(1, Ready, 0), entry(2, Ready, 0)}, 1, 1}, // an older list
			{ListCached, nil, 0, 1},
			{ListFull, []Entry{entry(2, Ready, -time.Hour)}, 1, 2}, // started again after the drain, whose start is not known
		} {
			r.publish(step.kind, step.entries)
			dialed := map[ServerID]bool{}
			for key := range Key(60) {
				for s := r.arrive(0, key+1, key+1, 0); s.dialing != 0; r.endDial(s, Cancelled) {
					dialed[s.dialing] = true
				}
			}
			if want := map[bool]int{false: step.want, true: step.wantOnlyDrains}[onlyDrains]; len(dialed) != want || r.failure != "" {
				t.Errorf("OnlyDrainsExclude %v, list %d: %d servers are dialed, want %d; %s", onlyDrains, i, len(dialed), want, r.failure)
			}
		}
	}
}

// TestDrainNotice: a server that moves a session away gets nothing new for a while, though the list still shows it as ready
// and it would accept sessions. Once it has started again it does.
func TestDrainNotice(t *testing.T) {
	r := newFleet(2)
	for r.balancer.HandleDrainNotice(0, 1); r.now < 10*sec; r.now += sec {
		if s := r.arrive(0, Key(r.now), 0, 0); s.dialing == 1 {
			t.Fatalf("the draining server is dialed at %v", r.now)
		}
	}
	r.balancer.HandleDrainNotice(r.now, 1)
	r.publish(ListDelta, []Entry{{ID: 1, Status: Ready, StartKnown: true, StartedAt: r.now - sec}})
	if !r.balancer.isTrusted(r.balancer.serverByID[1]) {
		t.Error("not trusted after its start")
	}
}

// TestDraining: sessions are moved off a draining server round by round before it stops. Those at other servers stay.
func TestDraining(t *testing.T) {
	r := newFleet(3)
	r.openSessions(30)
	held := func(id ServerID) int { return len(r.balancer.serverByID[id].held) }
	before, others := held(1), held(2)+held(3)
	r.publish(ListDelta, []Entry{{ID: 1, Size: 4, Status: Draining}})
	for round := 1; round <= 12; round++ {
		r.now += roundInterval
		r.balancer.HandleTimer(r.now, tokenRound)
		if n := held(1); round == 1 && (n == 0 || n > before*2/3) || round == 12 && n > 0 {
			t.Errorf("%d of %d sessions are left after round %d", n, before, round)
		}
	}
	if now := held(2) + held(3); before < 6 || now != others || r.failure != "" {
		t.Errorf("%d sessions before, elsewhere %d of %d; %s", before, now, others, r.failure)
	}
}
