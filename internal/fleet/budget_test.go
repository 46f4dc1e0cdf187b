package fleet

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"
)

// explore plays all interleavings up to a depth and returns a way to a broken window, or none, and how many worlds
// there were.
func explore(f fault, depth int) (way []string, worlds int) {
	seen := map[string]bool{}
	level := []*world{newWorld(f)}
	for range depth {
		var next []*world
		for _, w := range level {
			w.steps(f, func(to *world) {
				if way == nil && to.broken() {
					way = to.trace
				}
				if key := to.key(); !seen[key] {
					seen[key] = true
					next = append(next, to)
				}
			})
			if way != nil {
				return way, len(seen)
			}
		}
		level = next
	}
	return nil, len(seen)
}

// TestAllInterleavings plays three members with one asking, one doubled word, one restart and one return through
// all orders of asking, hearing, losing, doubling, spending, taking effect late, expiring, restarting.
func TestAllInterleavings(t *testing.T) {
	depth := 11
	way, worlds := explore(sound, depth)
	if way != nil {
		t.Fatalf("passes the budget: %s", strings.Join(way, "; "))
	}
	if worlds < 10000 {
		t.Errorf("only %d worlds", worlds)
	}
	t.Logf("%d worlds to depth %d", worlds, depth)
}

// TestFindsFaults shows that the search finds what it is for.
func TestFindsFaults(t *testing.T) {
	for f, name := range map[fault]string{ignoresTerm: "a borrower that ignores its term",
		spendsAtOnce: "a member that spends right after its restart", addsBack: "a lender that adds its part back at once"} {
		if way, worlds := explore(f, 14); way == nil {
			t.Errorf("%s is not found in %d worlds", name, worlds)
		} else {
			t.Logf("%s, %d worlds: %s", name, worlds, strings.Join(way, "; "))
		}
	}
}

// TestFleets drives fleets by chance on true time: clocks off by the stated bound, words lost, doubled, late by up to
// two terms, both sides of a cut, members frozen between what they may spend and its effect, restarts in the middle.
// No window has more than the budget.
func TestFleets(t *testing.T) {
	for seed := range int64(40) {
		chance := rand.New(rand.NewSource(seed))
		n := 2 + chance.Intn(9)
		c := &crowd{members: make([]*Budget, n), frozen: make([]time.Duration, n)}
		for range n {
			c.rates = append(c.rates, 1+crowdDrift*(2*chance.Float64()-1))
			c.ahead = append(c.ahead, time.Duration(chance.Int63n(int64(1000*sec))))
		}
		for i := range n {
			c.start(i, 1)
		}
		for c.now < 120*sec {
			c.now += time.Duration(chance.Int63n(int64(50 * time.Millisecond)))
			i := chance.Intn(n)
			if chance.Intn(2) == 0 {
				i = 0 // which needs much
			}
			if c.frozen[i] > c.now {
				continue
			}
			b, clock := c.members[i], c.clock(i)
			post := func(word Word) {
				if chance.Intn(5) > 0 && (int(word.To) < c.cut) == (int(word.From) < c.cut) {
					for range 1 + chance.Intn(2) {
						c.posts = append(c.posts, post{c.now + time.Duration(chance.Int63n(int64(2*crowdTerm>>chance.Intn(8)))), word})
					}
				}
			}
			switch k := chance.Intn(40); {
			case k < 20:
				if by, ok := b.Spend(clock, 1); ok {
					at := c.now + time.Duration(chance.Int63n(int64(2*crowdEffect)))
					if chance.Intn(20) == 0 { // held up between
						c.frozen[i] = c.now + time.Duration(chance.Int63n(int64(5*sec)))
						at = max(at, c.frozen[i])
					}
					if c.ahead[i]+time.Duration(float64(at)*c.rates[i]) <= by { // else it must not
						c.effects = append(c.effects, at)
					}
				}
			case k < 30:
				if word, ok := b.Borrow(clock, MemberID(chance.Intn(n)), Amount(1+chance.Intn(2))); ok {
					post(word)
				}
			case k == 30:
				for _, word := range b.Return(clock) {
					post(word)
				}
			case k == 31 && chance.Intn(20) == 0:
				c.start(i, b.incarnation+1)
			case k == 32 && chance.Intn(20) == 0:
				c.cut = chance.Intn(n)
			}
			for j := 0; j < len(c.posts); j++ {
				p := c.posts[j]
				to := int(p.word.To)
				if p.at > c.now || c.frozen[to] > c.now {
					continue
				}
				c.posts = slices.Delete(c.posts, j, j+1)
				j--
				if answer, ok := c.members[to].Hear(c.clock(to), p.word); ok {
					post(answer)
				}
			}
		}
		if most := c.most(); most > eachPart*n || most <= eachPart {
			t.Errorf("seed %d: %d members, %d in a window of %d", seed, n, most, eachPart*n)
		}
	}
}

// TestLends: a member that needs all it can get, among others that need nothing, gets their parts for as much of the
// time as the term is of the time that lenders refrain; alone, cut off, it has its own part and no less.
func TestLends(t *testing.T) {
	const members, minutes = 4, 10
	for _, c := range []struct {
		term        time.Duration
		cut         bool
		least, most float64 // share of the budget
	}{
		{2 * sec, true, 0.22, 0.25}, {2 * sec, false, 0.6, 1}, {10 * sec, false, 0.8, 1}, {60 * sec, false, 0.8, 1},
	} {
		var fleet []*Budget
		for me := range MemberID(members) {
			b, err := NewBudget(0, me, members, 1, members*eachPart, crowdWindow, c.term, crowdEffect, crowdDrift)
			if err != nil {
				t.Fatal(err)
			}
			fleet = append(fleet, b)
		}
		began, spent := 2*fleet[0].refrain, Amount(0)
		for now := began; now < began+minutes*time.Minute; now += sec / 10 {
			for of := range MemberID(members) {
				if word, ok := fleet[0].Borrow(now, of, eachPart); ok && !c.cut {
					if answer, ok := fleet[of].Hear(now, word); ok {
						fleet[0].Hear(now, answer)
					}
				}
			}
			free := fleet[0].Free(now)
			if _, ok := fleet[0].Spend(now, free); ok {
				spent += free
			}
		}
		whole := float64(members*eachPart) * float64(minutes*time.Minute) / float64(crowdWindow)
		if share := float64(spent) / whole; share < c.least || share > c.most {
			t.Errorf("term %v, cut %v: %.3f of the budget", c.term, c.cut, share)
		} else {
			t.Logf("term %v, cut %v: %.3f of the budget", c.term, c.cut, share)
		}
	}
}

// TestLentOn: a member that has spent its own part, and holds another's, lends nothing, however much it may spend.
func TestLentOn(t *testing.T) {
	now := 100 * sec
	var fleet []*Budget
	for me := range MemberID(worldAmount) {
		fleet = append(fleet, member(0, me, 1, sound))
	}
	word, _ := fleet[0].Borrow(now, 1, 1)
	answer, ok := fleet[1].Hear(now, word)
	if !ok {
		t.Fatal("nothing is lent")
	}
	fleet[0].own.add(now, 1)
	fleet[0].Hear(now, answer)
	word, _ = fleet[2].Borrow(now, 0, 1)
	if answer, ok := fleet[0].Hear(now, word); ok || fleet[0].Free(now) != 1 {
		t.Errorf("lends on %+v, with %d free", answer, fleet[0].Free(now))
	}
	if answer, ok := fleet[1].Hear(now, Word{Ask, 2, 1, LeaseID{2, 1, 9}, 1}); ok {
		t.Errorf("lends the same again: %+v", answer)
	}
}

// TestPassedOver: words that fit nothing change nothing and are not answered.
func TestPassedOver(t *testing.T) {
	b := member(0, 0, 7, sound)
	now := 100 * sec
	mine, theirs := LeaseID{0, 7, 1}, LeaseID{1, 3, 1}
	ask, ok := b.Borrow(now, 1, 1)
	if !ok || ask.Lease != mine {
		t.Fatalf("asked with %+v", ask)
	}
	for _, w := range []Word{
		{},
		{Kind: 9, From: 1, Lease: theirs, Amount: 1},
		{Ask, 1, 2, theirs, 1},                // for another
		{Ask, 0, 0, mine, 1},                  // from itself
		{Ask, 7, 0, theirs, 1},                // from no member
		{Ask, 2, 0, theirs, 1},                // with another's lease
		{Ask, 1, 0, theirs, -1},               // for less than nothing
		{Grant, 2, 0, mine, 1},                // from one that was not asked
		{Grant, 1, 0, LeaseID{0, 6, 1}, 1},    // to the process before
		{GiveBack, 1, 0, theirs, 1},           // of what was never lent
		{GiveBack, 1, 0, mine, 1},             // by the lender
		{Grant, 1, 0, LeaseID{0, 7, 2}, 1000}, // not asked for yet
	} {
		if answer, ok := b.Hear(now, w); ok || b.Free(now) != 1 || b.Lent(now) != 0 || b.Borrowed(now) != 0 {
			t.Errorf("%+v: answered %+v, %d free", w, answer, b.Free(now))
		}
	}
	if b.Hear(now, Word{Grant, 1, 0, mine, 1000}); b.Borrowed(now) != 1 {
		t.Errorf("borrowed %d of the 1 that it asked for", b.Borrowed(now))
	}
	for what, err := range map[string]error{
		"no members":  second(NewBudget(0, 0, 0, 1, 1, sec, sec, 0, 0)),
		"a stranger":  second(NewBudget(0, 3, 3, 1, 1, sec, sec, 0, 0)),
		"no window":   second(NewBudget(0, 0, 3, 1, 1, 0, sec, 0, 0)),
		"no term":     second(NewBudget(0, 0, 3, 1, 1, sec, 0, 0, 0)),
		"less than 0": second(NewBudget(0, 0, 3, 1, -1, sec, sec, 0, 0)),
		"bad clocks":  second(NewBudget(0, 0, 3, 1, 1, sec, sec, 0, 0.1)),
	} {
		if err == nil {
			t.Errorf("%s: taken", what)
		}
	}
}

func second(_ *Budget, err error) error { return err }
