package choice

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// TestAskAgain: a failed subscription is asked for again, later each time.
func TestAskAgain(t *testing.T) {
	r := fleet(0)
	var waits [3]time.Duration
	for i := range waits {
		r.b.ApplyList(r.now, ListFailed, nil)
		waits[i], r.watches = r.lastTimer, 0
		r.b.HandleTimer(r.now, r.lastToken)
		if r.watches != 1 {
			t.Fatal("did not ask again")
		}
	}
	if waits[2] < 2*waits[0] || waits[2] > 10*sec {
		t.Errorf("waits %v", waits)
	}
}

// TestOneAsk: from 80 proxies, where each call that failed left two timers behind and calls doubled until
// discovery took none: however calls end, the list is asked for once at a time and no sooner than said.
func TestOneAsk(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	r := fleet(1)
	for r.b.ApplyList(0, ListFailed, nil); r.now < 3000*sec && r.watches < 5000; {
		next := slices.MinFunc(r.timers, func(a, c timer) int { return cmp.Compare(a.due, c.due) })
		r.timers = slices.DeleteFunc(r.timers, func(t timer) bool { return t == next })
		r.now = next.due
		was := r.watches
		if r.b.HandleTimer(r.now, next.token); r.watches > was && rng.Intn(4) > 0 {
			r.b.ApplyList(r.now, ListFailed, nil) // else nothing is ever heard of it
		}
	}
	if r.watches < 300 || r.watches > 1500 {
		t.Errorf("asked %d times in %v", r.watches, r.now)
	}
}

// TestLyingList: from lists that called all servers gone while they served, and older ones that came again. Where
// drains alone bind, what was named is still dialed; a drain that was told stays, whatever list comes, until the
// server has started anew; elsewhere a server that is gone gets nothing.
func TestLyingList(t *testing.T) {
	for _, alone := range []bool{false, true} {
		r := fleet(2)
		r.b.listSettings.OnlyDrainsExclude, r.drainsBindAlone = alone, alone
		entry := func(id ServerID, standing ServerStatus, since time.Duration) Entry {
			return Entry{ID: id, Size: 1, Status: standing, StartKnown: since != 0, StartedAt: since}
		}
		for i, c := range []struct {
			kind    ListKind
			entries []Entry
			ready   int // servers that get sessions
			gone    int // the same where drains alone bind
		}{
			{ListFull, nil, 0, 2},
			{ListFull, []Entry{entry(1, Ready, 0), entry(2, Ready, 0)}, 2, 2},
			{ListDelta, []Entry{entry(1, Gone, 0)}, 1, 2},
			{ListDelta, []Entry{entry(2, Draining, 0)}, 0, 1},
			{ListDelta, []Entry{entry(2, Gone, 0)}, 0, 1},
			{ListFull, []Entry{entry(1, Ready, 0), entry(2, Ready, 0)}, 1, 1}, // an older one
			{ListCached, nil, 0, 1},
			{ListFull, []Entry{entry(2, Ready, -time.Hour)}, 1, 2}, // it has started anew, if long ago
		} {
			r.publish(c.kind, c.entries)
			dialed := map[ServerID]bool{}
			for k := range Key(60) {
				for s := r.arrive(0, k+1, k+1, 0); s.dialing != 0; r.settle(s, Cancelled) {
					dialed[s.dialing] = true
				}
			}
			if want := map[bool]int{false: c.ready, true: c.gone}[alone]; len(dialed) != want || r.failure != "" {
				t.Errorf("drains alone %v, list %d: %d servers are dialed, want %d; %s", alone, i, len(dialed), want, r.failure)
			}
		}
	}
}

// TestSentAway: from herd+vast, a server that sends a session away gets nothing new while the list still has it
// ready, though it opens what comes; once it has started anew it does.
func TestSentAway(t *testing.T) {
	r := fleet(2)
	for r.b.HandleDrainNotice(0, 1); r.now < 10*sec; r.now += sec {
		if s := r.arrive(0, Key(r.now), 0, 0); s.dialing == 1 {
			t.Fatalf("dialed at %v", r.now)
		}
	}
	r.b.HandleDrainNotice(r.now, 1)
	r.publish(ListDelta, []Entry{{ID: 1, Status: Ready, StartKnown: true, StartedAt: r.now - sec}})
	if !r.b.isTrusted(r.b.serverByID[1]) {
		t.Error("not trusted after its start")
	}
}

// TestDraining: sessions leave a server that drains, part by part, before it stops; those elsewhere stay.
func TestDraining(t *testing.T) {
	r := fleet(3)
	r.fill(30)
	held := func(id ServerID) int { return len(r.b.serverByID[id].held) }
	before, others := held(1), held(2)+held(3)
	r.publish(ListDelta, []Entry{{ID: 1, Size: 4, Status: Draining}})
	for round := 1; round <= 12; round++ {
		r.now += roundInterval
		r.b.HandleTimer(r.now, tokenRound)
		if n := held(1); round == 1 && (n == 0 || n > before*2/3) || round == 12 && n > 0 {
			t.Errorf("%d of %d sessions are left after round %d", n, before, round)
		}
	}
	if now := held(2) + held(3); before < 6 || now != others || r.failure != "" {
		t.Errorf("%d sessions before, elsewhere %d of %d; %s", before, now, others, r.failure)
	}
}
