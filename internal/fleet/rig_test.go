package fleet

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

const sec = time.Second

// world is three members, the words between them, and what takes effect, as the judge sees it.
type world struct {
	now     time.Duration
	members []*Budget
	words   []Word
	halves  []half          // spends that have not taken effect
	effects []time.Duration // units, in the order of time
	left    [5]int          // how many more askings, ticks, doubled words, restarts, returns there may be
	trace   []string
}

const (
	asksLeft = iota
	ticksLeft
	doublesLeft
	restartsLeft
	returnsLeft
)

type half struct {
	by MemberID
	at time.Duration // takes effect by then, or not at all
}

const (
	worldWindow = 2 * sec
	worldTerm   = 2 * sec
	worldEffect = sec
	worldAmount = 3
)

// fault is what a known-bad member does.
type fault int

const (
	sound        fault = iota
	ignoresTerm        // spends what it borrowed long after
	spendsAtOnce       // right after a restart
	addsBack           // takes its part back when the term ends, what the borrower spent being in the window still
)

func member(now time.Duration, me MemberID, incarnation Incarnation, f fault) *Budget {
	term, began := worldTerm, now
	switch {
	case f == ignoresTerm && me == 0:
		term *= 10
	case f == spendsAtOnce:
		began -= 100 * sec
	}
	b, err := NewBudget(began, me, worldAmount, incarnation, worldAmount, worldWindow, term, worldEffect, 0)
	if err != nil {
		panic(err)
	}
	if f == addsBack && me == 1 {
		b.refrain = worldTerm
	}
	return b
}

func newWorld(f fault) *world {
	w := &world{now: 100 * sec, left: [...]int{1, 6, 1, 1, 1}}
	for me := range MemberID(worldAmount) {
		w.members = append(w.members, member(0, me, 1, f))
	}
	return w
}

func (w *world) clone(step string) *world {
	next := *w
	next.members = nil
	for _, b := range w.members {
		c := *b
		c.own.spends = slices.Clone(b.own.spends)
		c.leases = slices.Clone(b.leases)
		for i := range c.leases {
			c.leases[i].spent.spends = slices.Clone(c.leases[i].spent.spends)
		}
		next.members = append(next.members, &c)
	}
	next.words, next.halves = slices.Clone(w.words), slices.Clone(w.halves)
	next.effects = slices.Clone(w.effects)
	next.trace = append(slices.Clip(w.trace), step)
	return &next
}

// broken tells whether a window that ends with the last effect has more than the budget.
func (w *world) broken() bool {
	n := 0
	for _, at := range w.effects {
		if at >= w.now-worldWindow {
			n++
		}
	}
	return n > worldAmount
}

// steps calls back with each world that may follow.
func (w *world) steps(f fault, each func(*world)) {
	if w.left[ticksLeft] > 0 {
		next := w.clone("tick")
		next.left[ticksLeft]--
		next.now += sec
		next.halves = slices.DeleteFunc(next.halves, func(h half) bool { return h.at < next.now })
		next.effects = slices.DeleteFunc(next.effects, func(at time.Duration) bool { return at < next.now-worldWindow })
		each(next)
	}
	for i, b := range w.members {
		me := MemberID(i)
		if b.Free(w.now) > 0 && len(w.halves) == 0 {
			next := w.clone(fmt.Sprint(me, " spends and is held up"))
			if by, ok := next.members[i].Spend(w.now, 1); ok {
				next.halves = append(next.halves, half{me, by})
				each(next)
			}
		}
		if b.Free(w.now) > 0 {
			next := w.clone(fmt.Sprint(me, " spends"))
			if _, ok := next.members[i].Spend(w.now, 1); ok {
				next.effects = append(next.effects, w.now)
				each(next)
			}
		}
		if w.left[asksLeft] > 0 && me != 2 { // the third has no other part than the first two
			next := w.clone(fmt.Sprint(me, " asks"))
			next.left[asksLeft]--
			if word, ok := next.members[i].Borrow(w.now, 1-me, 1); ok {
				next.words = append(next.words, word)
				each(next)
			}
		}
		if w.left[restartsLeft] > 0 && me != 2 {
			next := w.clone(fmt.Sprint(me, " restarts"))
			next.left[restartsLeft]--
			next.members[i] = member(w.now, me, 2, f)
			next.halves = slices.DeleteFunc(next.halves, func(h half) bool { return h.by == me })
			each(next)
		}
		if w.left[returnsLeft] > 0 && b.Borrowed(w.now) > 0 {
			next := w.clone(fmt.Sprint(me, " gives back"))
			next.left[returnsLeft]--
			next.words = append(next.words, next.members[i].Return(w.now)...)
			each(next)
		}
	}
	for i := range w.halves {
		next := w.clone(fmt.Sprint(w.halves[i].by, " takes effect"))
		next.halves = slices.Delete(next.halves, i, i+1)
		next.effects = append(next.effects, w.now)
		each(next)
	}
	for i, word := range w.words {
		for _, doubled := range []bool{false, true} {
			if doubled && w.left[doublesLeft] == 0 {
				continue
			}
			next := w.clone(fmt.Sprint("word ", word.Kind, " comes, again ", doubled))
			if doubled {
				next.left[doublesLeft]--
			} else {
				next.words = slices.Delete(next.words, i, i+1)
			}
			if answer, ok := next.members[word.To].Hear(w.now, word); ok {
				next.words = append(next.words, answer)
			}
			each(next)
		}
		next := w.clone(fmt.Sprint("word ", word.Kind, " is lost"))
		next.words = slices.Delete(next.words, i, i+1)
		each(next)
	}
}

// key is what tells worlds apart, with times as ages.
func (w *world) key() string {
	var k []byte
	put := func(values ...int64) {
		for _, v := range values {
			k = binary.AppendVarint(k, v)
		}
	}
	age := func(at time.Duration) int64 { return int64(max((at-w.now)/sec, -9)) }
	ledgers := func(l ledger) {
		put(int64(len(l.spends)))
		for _, s := range l.spends {
			put(age(s.at), int64(s.amount))
		}
	}
	for _, b := range w.members {
		b.Free(w.now) // forgets what is over
		b.own.since(w.now - b.span)
		put(int64(b.incarnation), int64(b.asks), age(b.quiet))
		ledgers(b.own)
		put(int64(len(b.leases)))
		for _, l := range b.leases {
			put(int64(l.id.Borrower), int64(l.id.Incarnation), int64(l.id.Number), int64(l.state), age(l.until))
			ledgers(l.spent)
		}
	}
	put(int64(len(w.words)))
	for _, word := range w.words {
		put(int64(word.Kind), int64(word.To), int64(word.Lease.Borrower), int64(word.Lease.Incarnation))
	}
	put(int64(len(w.halves)))
	for _, h := range w.halves {
		put(int64(h.by), age(h.at))
	}
	for _, at := range w.effects {
		put(age(at))
	}
	for _, n := range w.left {
		put(int64(n))
	}
	return string(k)
}

// crowd is a fleet on true time, with clocks that run at rates of their own and a network that loses, doubles, delays
// and parts.
type crowd struct {
	now     time.Duration
	members []*Budget
	rates   []float64
	ahead   []time.Duration // of each clock at the start
	frozen  []time.Duration // until then
	posts   []post
	effects []time.Duration
	cut     int // members below it hear none from it on
}

type post struct {
	at   time.Duration
	word Word
}

const (
	crowdWindow = 3 * sec
	crowdTerm   = 2 * sec
	crowdEffect = 200 * time.Millisecond
	crowdDrift  = 0.02
	eachPart    = 2
)

func (c *crowd) clock(i int) time.Duration {
	return c.ahead[i] + time.Duration(float64(c.now)*c.rates[i])
}

func (c *crowd) start(i int, incarnation Incarnation) {
	var err error
	if c.members[i], err = NewBudget(c.clock(i), MemberID(i), len(c.members), incarnation,
		Amount(eachPart*len(c.members)), crowdWindow, crowdTerm, crowdEffect, crowdDrift); err != nil {
		panic(err)
	}
}

// most is the most that took effect in any window.
func (c *crowd) most() (most int) {
	slices.Sort(c.effects)
	for i, first := 0, 0; i < len(c.effects); i++ {
		for c.effects[first] < c.effects[i]-crowdWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
