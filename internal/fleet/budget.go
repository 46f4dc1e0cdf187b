// Package fleet decides what the proxies of one fleet share. It has no I/O, clock, goroutine, chance or map order:
// whoever owns the sockets calls it, one call at a time, with the time by a clock that goes on while the process is
// frozen and while the machine sleeps (CLOCK_BOOTTIME), and carries its words, which may be lost, late, doubled and
// out of order. docs/fleet.md has the argument for its bound.
package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// MemberID numbers the configured proxies from 0.
type MemberID int

// Incarnation tells the processes of one member apart: each start has a larger one than all before.
type Incarnation uint64

// Amount is counted in the units of a budget: dials, or thousandths of a usual session's load.
type Amount int64

// LeaseID names one asking for one lease. No process uses one twice, and no two processes use the same.
type LeaseID struct {
	Borrower    MemberID
	Incarnation Incarnation
	Number      uint32
}

// Kind says what a word asks or tells.
type Kind uint8

const (
	Ask      Kind = iota + 1 // the borrower: lend me up to so much
	Grant                    // the lender: so much, for a term from when it was asked for
	GiveBack                 // the borrower: nothing more will be spent of it
)

// Word goes from one proxy to another about one lease.
type Word struct {
	Kind     Kind
	From, To MemberID
	Lease    LeaseID
	Amount   Amount
}

type state int

const (
	asked   state = iota // the borrower's: no answer yet
	held                 // the borrower's: it may spend
	lent                 // the lender's: it must not spend
	resting              // the lender's: given back, what the borrower spent is still in the window
	over                 // either's: forgotten
)

var mayEnter = [...][]state{
	asked:   {held, over},
	held:    {over},
	lent:    {resting, over},
	resting: {over},
	over:    {},
}

// lease is either side's record of one.
type lease struct {
	id     LeaseID
	other  MemberID
	amount Amount
	state  state
	until  time.Duration // the present state lasts no longer
	spent  ledger        // the borrower's
}

// enter is the one place where a lease changes its state.
func (l *lease) enter(next state, until time.Duration) {
	if !slices.Contains(mayEnter[l.state], next) {
		panic(fmt.Sprintf("lease %v goes from state %d to %d", l.id, l.state, next))
	}
	l.state, l.until = next, until
}

// Budget is one process's part in one budget that all members share: in any window all of them together spend no
// more than its amount, whoever hears whom. Each member owns one part of as many as are configured, and always may
// spend what it has not lent of that. It borrows others' parts for a term, which they refrain from.
type Budget struct {
	me          MemberID
	members     int
	incarnation Incarnation
	part        Amount
	span        time.Duration // in which spending is counted
	term        time.Duration // of a lease, from when it was asked for
	refrain     time.Duration // of a lender, from when it lends
	effect      time.Duration // what is spent takes effect by then
	quiet       time.Duration // until then nothing is spent, lent or asked for
	own         ledger
	leases      []lease // in the order in which they began
	asks        uint32
}

// NewBudget makes a process's part in a budget of an amount in any window. Others' clocks may run faster or slower
// than true time by the share drift at most, 0 to below 0.1, and what is spent takes effect (a dial's first byte is
// sent) within the span effect of the call that allows it, or not at all. Members must agree on all of this. The
// process does not know what was spent or lent under its name before, so it keeps quiet until that can no longer
// matter. The error tells which argument can't be.
func NewBudget(now time.Duration, me MemberID, members int, incarnation Incarnation, amount Amount,
	window, term, effect time.Duration, drift float64) (*Budget, error) {
	switch {
	case members < 1 || me < 0 || int(me) >= members:
		return nil, fmt.Errorf("member %d of %d", me, members)
	case amount < 0:
		return nil, fmt.Errorf("a budget of %d", amount)
	case window <= 0 || term <= 0 || effect < 0:
		return nil, fmt.Errorf("a window of %v, a term of %v, an effect within %v", window, term, effect)
	case !(drift >= 0 && drift < 0.1):
		return nil, fmt.Errorf("clocks off by %v", drift)
	}
	b := &Budget{me: me, members: members, incarnation: incarnation, part: amount / Amount(members),
		term: term, effect: scaled(effect, 1-drift)}
	b.span = scaled(window+effect, 1+drift)
	b.refrain = scaled(scaled(term, 1/(1-drift))+window+effect, 1+drift)
	b.quiet = now + b.refrain
	return b, nil
}

func scaled(span time.Duration, by float64) time.Duration {
	return time.Duration(math.Ceil(float64(span) * by))
}

// Quiet is how much longer this process keeps quiet after its start.
func (b *Budget) Quiet(now time.Duration) time.Duration { return max(b.quiet-now, 0) }

// Free is what could be spent now.
func (b *Budget) Free(now time.Duration) Amount {
	b.forget(now)
	if now < b.quiet {
		return 0
	}
	free := max(b.ownFree(now), 0)
	for i := range b.leases {
		if l := &b.leases[i]; l.state == held {
			free += l.free(now, b.span)
		}
	}
	return free
}

// Spend takes an amount, whole or not at all: from leases first, those that end soonest before others, as what is
// left of them is lost. What it allows must take effect by the returned time, or not at all: that guards against
// a process that is frozen between this call and what it does.
func (b *Budget) Spend(now time.Duration, amount Amount) (by time.Duration, ok bool) {
	if amount < 0 || b.Free(now) < amount {
		return 0, false
	}
	for rest := amount; rest > 0; {
		var from *lease
		for i := range b.leases {
			l := &b.leases[i]
			if l.state == held && l.free(now, b.span) > 0 && (from == nil || l.until < from.until) {
				from = l
			}
		}
		if from == nil {
			b.own.add(now, rest)
			break
		}
		take := min(rest, from.free(now, b.span))
		from.spent.add(now, take)
		rest -= take
	}
	return now + b.effect, true
}

// Borrow asks a member for up to an amount. The lease's term begins with this call, so that it ends here before the
// lender takes its part back, without a common clock. An answer that comes after it is of no use.
func (b *Budget) Borrow(now time.Duration, of MemberID, amount Amount) (word Word, ok bool) {
	b.forget(now)
	if now < b.quiet || amount <= 0 || of == b.me || of < 0 || int(of) >= b.members {
		return Word{}, false
	}
	b.asks++
	id := LeaseID{b.me, b.incarnation, b.asks}
	b.leases = append(b.leases, lease{id: id, other: of, amount: amount, state: asked, until: now + b.term})
	return Word{Ask, b.me, of, id, amount}, true
}

// Hear takes a word, and returns the answer if there is one. Words for others, from those it can't come from, and
// those that fit no lease are passed over.
func (b *Budget) Hear(now time.Duration, w Word) (answer Word, ok bool) {
	b.forget(now)
	if w.To != b.me || w.From == b.me || w.From < 0 || int(w.From) >= b.members || w.Amount < 0 {
		return Word{}, false
	}
	at := slices.IndexFunc(b.leases, func(l lease) bool { return l.id == w.Lease && l.other == w.From })
	switch {
	case w.Kind == Ask && w.Lease.Borrower == w.From:
		if at < 0 {
			return b.lend(now, w)
		}
		if l := &b.leases[at]; l.state == lent { // the word came twice, or its answer was lost
			return Word{Grant, b.me, w.From, w.Lease, l.amount}, true
		}
	case w.Kind == Grant && at >= 0 && b.leases[at].state == asked:
		l := &b.leases[at]
		l.amount = min(l.amount, w.Amount)
		l.enter(held, l.until)
	case w.Kind == GiveBack && at >= 0 && b.leases[at].state == lent && w.Lease.Borrower == w.From:
		l := &b.leases[at]
		l.enter(resting, min(l.until, now+b.span))
	}
	return Word{}, false
}

// lend gives what this process neither needs now nor spent within the window. Only its own part: what is borrowed
// is never lent on.
func (b *Budget) lend(now time.Duration, w Word) (answer Word, ok bool) {
	amount := min(w.Amount, b.ownFree(now))
	if now < b.quiet || amount <= 0 {
		return Word{}, false
	}
	b.leases = append(b.leases, lease{id: w.Lease, other: w.From, amount: amount, state: lent, until: now + b.refrain})
	return Word{Grant, b.me, w.From, w.Lease, amount}, true
}

// Return ends the leases of which nothing is needed any more. Its words may be lost: then the lender waits longer.
func (b *Budget) Return(now time.Duration) (words []Word) {
	b.forget(now)
	for i := range b.leases {
		if l := &b.leases[i]; l.state == held {
			words = append(words, Word{GiveBack, b.me, l.other, l.id, l.amount})
			l.enter(over, now)
		}
	}
	return words
}

// Lent is what others have of this process's part, and Borrowed what it has of theirs.
func (b *Budget) Lent(now time.Duration) Amount     { return b.sum(now, lent) + b.sum(now, resting) }
func (b *Budget) Borrowed(now time.Duration) Amount { return b.sum(now, held) }

func (b *Budget) sum(now time.Duration, in state) (sum Amount) {
	b.forget(now)
	for _, l := range b.leases {
		if l.state == in {
			sum += l.amount
		}
	}
	return sum
}

// ownFree is what is left of the own part.
func (b *Budget) ownFree(now time.Duration) Amount {
	free := b.part - b.own.since(now-b.span)
	for _, l := range b.leases {
		if l.state == lent || l.state == resting {
			free -= l.amount
		}
	}
	return free
}

func (l *lease) free(now, span time.Duration) Amount { return l.amount - l.spent.since(now-span) }

// forget ends what has lasted its time.
func (b *Budget) forget(now time.Duration) {
	for i := range b.leases {
		if l := &b.leases[i]; l.state != over && now >= l.until {
			l.enter(over, now)
		}
	}
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.state == over })
}

// ledger has what was spent, in the order of time.
type ledger struct{ spends []spend }

type spend struct {
	at     time.Duration
	amount Amount
}

func (l *ledger) add(at time.Duration, amount Amount) {
	l.spends = append(l.spends, spend{at, amount})
}

// since adds up what was spent from then on, and forgets what was spent before.
func (l *ledger) since(then time.Duration) (sum Amount) {
	keep := slices.IndexFunc(l.spends, func(s spend) bool { return s.at >= then })
	if keep < 0 {
		keep = len(l.spends)
	}
	l.spends = l.spends[:copy(l.spends, l.spends[keep:])]
	for _, s := range l.spends {
		sum += s.amount
	}
	return sum
}
