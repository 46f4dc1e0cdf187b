package fleet

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

const sec = time.Second

// modelState is one state of the exhaustive search: three members, the messages in transit, and the spending that has
// taken effect, by true time.
type modelState struct {
	now       time.Duration
	members   []*Budget
	messages  []Message
	pending   []pendingEffect // spending that has not taken effect
	effects   []time.Duration // when each unit took effect, in chronological order
	remaining [5]int          // how many more requests, ticks, duplicated messages, restarts and releases there may be
	trace     []string        // the steps from the initial state
}

// Indices of modelState.remaining.
const (
	requestsLeft = iota
	ticksLeft
	duplicatesLeft
	restartsLeft
	releasesLeft
)

// pendingEffect is a unit that was spent and takes effect by its deadline or not at all.
type pendingEffect struct {
	member   MemberID
	deadline time.Duration
}

const (
	modelWindow = 2 * sec
	modelTerm   = 2 * sec
	modelEffect = sec
	modelAmount = 3 // units, and members: each owns one unit
)

// fault is what a deliberately faulty member does.
type fault int

const (
	noFault             fault = iota
	ignoresTerm               // spends what it borrowed long after the term
	skipsStartupWait          // spends right after a restart
	reclaimsAtEndOfTerm       // uses its share again when the term ends, with the borrower's spending still in the window
)

func newMember(now time.Duration, self MemberID, incarnation Incarnation, f fault) *Budget {
	term, startedAt := modelTerm, now
	switch {
	case f == ignoresTerm && self == 0:
		term *= 10
	case f == skipsStartupWait:
		startedAt -= 100 * sec
	}
	b, err := NewBudget(startedAt, self, modelAmount, incarnation, modelAmount, modelWindow, term, modelEffect, 0)
	if err != nil {
		panic(err)
	}
	if f == reclaimsAtEndOfTerm && self == 1 {
		b.reserveTime = modelTerm
	}
	return b
}

func newModelState(f fault) *modelState {
	s := &modelState{now: 100 * sec, remaining: [...]int{1, 6, 1, 1, 1}}
	for self := range MemberID(modelAmount) {
		s.members = append(s.members, newMember(0, self, 1, f))
	}
	return s
}

// clone returns a deep copy with a step added to its trace.
func (s *modelState) clone(step string) *modelState {
	next := *s
	next.members = nil
	for _, b := range s.members {
		c := *b
		c.ownSpending.spends = slices.Clone(b.ownSpending.spends)
		c.leases = slices.Clone(b.leases)
		for i := range c.leases {
			c.leases[i].spent.spends = slices.Clone(c.leases[i].spent.spends)
		}
		next.members = append(next.members, &c)
	}
	next.messages, next.pending = slices.Clone(s.messages), slices.Clone(s.pending)
	next.effects = slices.Clone(s.effects)
	next.trace = append(slices.Clip(s.trace), step)
	return &next
}

// exceedsBudget returns whether more than the budget took effect in the window that ends with the latest effect.
func (s *modelState) exceedsBudget() bool {
	n := 0
	for _, effectAt := range s.effects {
		if effectAt >= s.now-modelWindow {
			n++
		}
	}
	return n > modelAmount
}

// forEachSuccessor calls visit with each state that one step leads to.
func (s *modelState) forEachSuccessor(f fault, visit func(*modelState)) {
	if s.remaining[ticksLeft] > 0 {
		next := s.clone("tick")
		next.remaining[ticksLeft]--
		next.now += sec
		next.pending = slices.DeleteFunc(next.pending, func(p pendingEffect) bool { return p.deadline < next.now })
		next.effects = slices.DeleteFunc(next.effects, func(effectAt time.Duration) bool { return effectAt < next.now-modelWindow })
		visit(next)
	}
	for i, b := range s.members {
		self := MemberID(i)
		if b.Available(s.now) > 0 && len(s.pending) == 0 {
			next := s.clone(fmt.Sprint(self, " spends, effect delayed"))
			if deadline, ok := next.members[i].Spend(s.now, 1); ok {
				next.pending = append(next.pending, pendingEffect{self, deadline})
				visit(next)
			}
		}
		if b.Available(s.now) > 0 {
			next := s.clone(fmt.Sprint(self, " spends"))
			if _, ok := next.members[i].Spend(s.now, 1); ok {
				next.effects = append(next.effects, s.now)
				visit(next)
			}
		}
		if s.remaining[requestsLeft] > 0 && self != 2 { // a request by the third member would be symmetric to the others
			next := s.clone(fmt.Sprint(self, " requests"))
			next.remaining[requestsLeft]--
			if request, ok := next.members[i].Borrow(s.now, 1-self, 1); ok {
				next.messages = append(next.messages, request)
				visit(next)
			}
		}
		if s.remaining[restartsLeft] > 0 && self != 2 {
			next := s.clone(fmt.Sprint(self, " restarts"))
			next.remaining[restartsLeft]--
			next.members[i] = newMember(s.now, self, 2, f)
			next.pending = slices.DeleteFunc(next.pending, func(p pendingEffect) bool { return p.member == self })
			visit(next)
		}
		if s.remaining[releasesLeft] > 0 && b.Borrowed(s.now) > 0 {
			next := s.clone(fmt.Sprint(self, " releases"))
			next.remaining[releasesLeft]--
			next.messages = append(next.messages, next.members[i].ReleaseAll(s.now)...)
			visit(next)
		}
	}
	for i := range s.pending {
		next := s.clone(fmt.Sprint("spending of ", s.pending[i].member, " takes effect"))
		next.pending = slices.Delete(next.pending, i, i+1)
		next.effects = append(next.effects, s.now)
		visit(next)
	}
	for i, message := range s.messages {
		for _, duplicated := range []bool{false, true} {
			if duplicated && s.remaining[duplicatesLeft] == 0 {
				continue
			}
			next := s.clone(fmt.Sprint("message of kind ", message.Kind, " arrives, duplicated: ", duplicated))
			if duplicated {
				next.remaining[duplicatesLeft]--
			} else {
				next.messages = slices.Delete(next.messages, i, i+1)
			}
			if reply, ok := next.members[message.To].Receive(s.now, message); ok {
				next.messages = append(next.messages, reply)
			}
			visit(next)
		}
		next := s.clone(fmt.Sprint("message of kind ", message.Kind, " is lost"))
		next.messages = slices.Delete(next.messages, i, i+1)
		visit(next)
	}
}

// key identifies a state. Times are encoded relative to now, so that states that differ only by time are equal.
func (s *modelState) key() string {
	var k []byte
	put := func(values ...int64) {
		for _, v := range values {
			k = binary.AppendVarint(k, v)
		}
	}
	relative := func(instant time.Duration) int64 { return int64(max((instant-s.now)/sec, -9)) }
	putLedger := func(l ledger) {
		put(int64(len(l.spends)))
		for _, spent := range l.spends {
			put(relative(spent.spentAt), int64(spent.amount))
		}
	}
	for _, b := range s.members {
		b.Available(s.now) // removes expired leases and spending
		b.ownSpending.sumSince(s.now - b.spendWindow)
		put(int64(b.incarnation), int64(b.requestCount), relative(b.readyAt))
		putLedger(b.ownSpending)
		put(int64(len(b.leases)))
		for _, l := range b.leases {
			put(int64(l.id.Borrower), int64(l.id.Incarnation), int64(l.id.Number), int64(l.state), relative(l.expiresAt))
			putLedger(l.spent)
		}
	}
	put(int64(len(s.messages)))
	for _, message := range s.messages {
		put(int64(message.Kind), int64(message.To), int64(message.Lease.Borrower), int64(message.Lease.Incarnation))
	}
	put(int64(len(s.pending)))
	for _, p := range s.pending {
		put(int64(p.member), relative(p.deadline))
	}
	for _, effectAt := range s.effects {
		put(relative(effectAt))
	}
	for _, n := range s.remaining {
		put(int64(n))
	}
	return string(k)
}

// simulation is a fleet in simulated true time. Each member's clock runs at its own rate, and the network loses,
// duplicates, delays and partitions.
type simulation struct {
	now          time.Duration
	members      []*Budget
	clockRates   []float64
	clockOffsets []time.Duration // of each clock at true time 0
	frozenUntil  []time.Duration
	deliveries   []delivery
	effects      []time.Duration // when each unit took effect, by true time
	partition    int             // members below this index and the others don't reach each other
}

// delivery is a message in transit.
type delivery struct {
	arrivesAt time.Duration // by true time
	message   Message
}

const (
	simulationWindow = 3 * sec
	simulationTerm   = 2 * sec
	simulationEffect = 200 * time.Millisecond
	simulationDrift  = 0.02
	unitsPerMember   = 2
)

// clock returns the current time by a member's clock.
func (s *simulation) clock(i int) time.Duration {
	return s.clockOffsets[i] + time.Duration(float64(s.now)*s.clockRates[i])
}

func (s *simulation) start(i int, incarnation Incarnation) {
	var err error
	if s.members[i], err = NewBudget(s.clock(i), MemberID(i), len(s.members), incarnation,
		Amount(unitsPerMember*len(s.members)), simulationWindow, simulationTerm, simulationEffect, simulationDrift); err != nil {
		panic(err)
	}
}

// maxInWindow returns the largest number of units that took effect in any window.
func (s *simulation) maxInWindow() (largest int) {
	slices.Sort(s.effects)
	for i, first := 0, 0; i < len(s.effects); i++ {
		for s.effects[first] < s.effects[i]-simulationWindow {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}
