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
// No window has more than the budget, and one member that needs much gets more than its part.
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
		spent := 0
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
						if i == 0 {
							spent++
						}
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
		if most := c.most(); most > eachPart*n {
			t.Errorf("seed %d: %d members, %d in a window of %d", seed, n, most, eachPart*n)
		}
		t.Logf("seed %d: %d members, the needy one spent %d, its part alone allows %d", seed, n, spent, int(120*sec/crowdWindow)*eachPart)
	}
}
