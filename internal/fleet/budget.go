// Package fleet decides what the proxies of one fleet share: spending budgets, parts of which members lend each other
// under leases (Budget), and reports on the health of servers (HealthReports). It is pure logic without I/O, clock,
// goroutines, randomness or dependence on map order, and is not safe for concurrent use. The caller owns the sockets:
// it passes the current time by a clock that keeps running while the process is frozen and while the machine sleeps
// (CLOCK_BOOTTIME), and carries the messages, which may be lost, delayed, duplicated and reordered.
//
// docs/fleet.md has the argument for the bound of a budget. In short: a lender does not spend what it lent until the
// borrower's term, the time until an effect and the window have passed by every clock within the configured drift.
package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// MemberID is the index of a configured proxy, from 0.
type MemberID int

// Incarnation distinguishes the processes of one member: each start of a member has a larger one than all before.
type Incarnation uint64

// Amount is counted in the units of a budget: dials, or thousandths of a usual session's load.
type Amount int64

// LeaseID identifies one request for a lease. It is unique over all processes of the fleet and never reused.
type LeaseID struct {
	Borrower    MemberID
	Incarnation Incarnation
	Number      uint32 // of the request, counted by the borrower's process from 1
}

// MessageKind is the type of a Message.
type MessageKind uint8

const (
	Request MessageKind = iota + 1 // borrower to lender: asks for up to the amount
	Grant                          // lender to borrower: lends the amount, for a term from the time of the request
	Release                        // borrower to lender: nothing more will be spent under the lease
)

// Message is sent by one proxy to another about one lease.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	Lease    LeaseID
	Amount   Amount
}

type leaseState int

const (
	leaseRequested leaseState = iota // at the borrower: not answered yet
	leaseHeld                        // at the borrower: it may spend the amount
	leaseLent                        // at the lender: it must not spend the amount
	leaseReleased                    // at the lender: released, but the borrower's spending is still in the window
	leaseEnded                       // at either side: to be removed
)

var allowedTransitions = [...][]leaseState{
	leaseRequested: {leaseHeld, leaseEnded},
	leaseHeld:      {leaseEnded},
	leaseLent:      {leaseReleased, leaseEnded},
	leaseReleased:  {leaseEnded},
	leaseEnded:     {},
}

// lease is the borrower's or the lender's record of a lease.
type lease struct {
	id        LeaseID
	peer      MemberID // the other side
	amount    Amount
	state     leaseState
	expiresAt time.Duration // when the lease ends unless its state changes before
	spent     ledger        // spending under the lease; only the borrower's record has any
}

// transitionTo changes the state of a lease. Every change after its creation goes through it; one that is not in
// allowedTransitions panics.
func (l *lease) transitionTo(next leaseState, expiresAt time.Duration) {
	if !slices.Contains(allowedTransitions[l.state], next) {
		panic(fmt.Sprintf("lease %v: invalid transition from state %d to %d", l.id, l.state, next))
	}
	l.state, l.expiresAt = next, expiresAt
}

// Budget is one process's share of a budget that all members have in common: in any window, all of them together
// spend no more than the budget's amount, whichever of them can reach each other. Each member owns an equal share and
// can always spend what it has not lent of it. It borrows from the shares of others for a term, during which the
// lender does not spend what it lent.
type Budget struct {
	self          MemberID
	memberCount   int
	incarnation   Incarnation
	share         Amount        // owned by this member
	spendWindow   time.Duration // how long an amount counts as spent, from the call of Spend
	term          time.Duration // of a lease, from when it was requested
	reserveTime   time.Duration // how long a lender does not spend what it lent, from when it lends
	effectTimeout time.Duration // within which a spend takes effect
	readyAt       time.Duration // nothing is spent, lent or requested before
	ownSpending   ledger        // from the own share
	leases        []lease       // in the order of creation
	requestCount  uint32
}

// NewBudget returns a process's share of a budget of amount per window. Other members' clocks run faster or slower
// than true time by the share drift at most, 0 to below 0.1. What is spent takes effect (a dial's first byte is sent)
// within effect of the call that allows it, or not at all. All members must use the same amount, window, term, effect
// and drift. As the process does not know what the previous process of this member spent or lent, it spends, lends
// and requests nothing until that can no longer matter, see StartupWait. An invalid argument is an error.
func NewBudget(now time.Duration, self MemberID, memberCount int, incarnation Incarnation, amount Amount,
	window, term, effect time.Duration, drift float64) (*Budget, error) {
	switch {
	case memberCount < 1 || self < 0 || int(self) >= memberCount:
		return nil, fmt.Errorf("member %d of %d", self, memberCount)
	case amount < 0:
		return nil, fmt.Errorf("a budget of %d", amount)
	case window <= 0 || term <= 0 || effect < 0:
		return nil, fmt.Errorf("a window of %v, a term of %v, an effect within %v", window, term, effect)
	case !(drift >= 0 && drift < 0.1):
		return nil, fmt.Errorf("clocks off by %v", drift)
	}
	b := &Budget{self: self, memberCount: memberCount, incarnation: incarnation, share: amount / Amount(memberCount),
		term: term, effectTimeout: scale(effect, 1-drift)}
	b.spendWindow = scale(window+effect, 1+drift)
	b.reserveTime = scale(scale(term, 1/(1-drift))+window+effect, 1+drift)
	b.readyAt = now + b.reserveTime
	return b, nil
}

// scale multiplies a duration and rounds it up to a nanosecond.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(math.Ceil(float64(duration) * factor))
}

// StartupWait returns how much longer this process spends, lends and requests nothing after its start.
func (b *Budget) StartupWait(now time.Duration) time.Duration { return max(b.readyAt-now, 0) }

// Available returns the amount that can be spent now, from the own share and from leases.
func (b *Budget) Available(now time.Duration) Amount {
	b.removeExpired(now)
	if now < b.readyAt {
		return 0
	}
	available := max(b.ownAvailable(now), 0)
	for i := range b.leases {
		if l := &b.leases[i]; l.state == leaseHeld {
			available += l.available(now, b.spendWindow)
		}
	}
	return available
}

// Spend takes the whole amount or nothing. It takes from leases first, the one that ends soonest before others, as
// what is left of a lease at its end is lost. What is spent must take effect by the returned deadline or not at all:
// this guards against a process that is frozen between this call and the action that it allows.
func (b *Budget) Spend(now time.Duration, amount Amount) (deadline time.Duration, ok bool) {
	if amount < 0 || b.Available(now) < amount {
		return 0, false
	}
	for remaining := amount; remaining > 0; {
		var source *lease
		for i := range b.leases {
			l := &b.leases[i]
			if l.state == leaseHeld && l.available(now, b.spendWindow) > 0 &&
				(source == nil || l.expiresAt < source.expiresAt) {
				source = l
			}
		}
		if source == nil {
			b.ownSpending.add(now, remaining)
			break
		}
		taken := min(remaining, source.available(now, b.spendWindow))
		source.spent.add(now, taken)
		remaining -= taken
	}
	return now + b.effectTimeout, true
}

// Borrow returns the request to a member for a lease of up to amount. The term begins with this call, so that the
// lease ends at the borrower before the lender uses the amount again, without a common clock. A grant that arrives
// after the term is of no use.
func (b *Budget) Borrow(now time.Duration, lender MemberID, amount Amount) (request Message, ok bool) {
	b.removeExpired(now)
	if now < b.readyAt || amount <= 0 || lender == b.self || lender < 0 || int(lender) >= b.memberCount {
		return Message{}, false
	}
	b.requestCount++
	id := LeaseID{b.self, b.incarnation, b.requestCount}
	b.leases = append(b.leases, lease{id: id, peer: lender, amount: amount, state: leaseRequested,
		expiresAt: now + b.term})
	return Message{Request, b.self, lender, id, amount}, true
}

// Receive handles a message and returns the reply if there is one. Messages to other members, from a member that
// can't have sent them, and those that match no lease are ignored.
func (b *Budget) Receive(now time.Duration, m Message) (reply Message, ok bool) {
	b.removeExpired(now)
	if m.To != b.self || m.From == b.self || m.From < 0 || int(m.From) >= b.memberCount || m.Amount < 0 {
		return Message{}, false
	}
	index := slices.IndexFunc(b.leases, func(l lease) bool { return l.id == m.Lease && l.peer == m.From })
	switch {
	case m.Kind == Request && m.Lease.Borrower == m.From:
		if index < 0 {
			return b.lend(now, m)
		}
		if l := &b.leases[index]; l.state == leaseLent { // the request was duplicated: its grant may have been lost
			return Message{Grant, b.self, m.From, m.Lease, l.amount}, true
		}
	case m.Kind == Grant && index >= 0 && b.leases[index].state == leaseRequested:
		l := &b.leases[index]
		l.amount = min(l.amount, m.Amount)
		l.transitionTo(leaseHeld, l.expiresAt)
	case m.Kind == Release && index >= 0 && b.leases[index].state == leaseLent && m.Lease.Borrower == m.From:
		l := &b.leases[index]
		l.transitionTo(leaseReleased, min(l.expiresAt, now+b.spendWindow))
	}
	return Message{}, false
}

// lend grants up to the requested amount from the own share, as far as it is neither lent nor spent within the window.
// Borrowed amounts are never lent on.
func (b *Budget) lend(now time.Duration, request Message) (grant Message, ok bool) {
	amount := min(request.Amount, b.ownAvailable(now))
	if now < b.readyAt || amount <= 0 {
		return Message{}, false
	}
	b.leases = append(b.leases, lease{id: request.Lease, peer: request.From, amount: amount, state: leaseLent,
		expiresAt: now + b.reserveTime})
	return Message{Grant, b.self, request.From, request.Lease, amount}, true
}

// ReleaseAll ends all leases that this process holds and returns the messages that notify the lenders. If a message is
// lost, the lender waits until its record of the lease expires.
func (b *Budget) ReleaseAll(now time.Duration) (messages []Message) {
	b.removeExpired(now)
	for i := range b.leases {
		if l := &b.leases[i]; l.state == leaseHeld {
			messages = append(messages, Message{Release, b.self, l.peer, l.id, l.amount})
			l.transitionTo(leaseEnded, now)
		}
	}
	return messages
}

// Lent returns how much of this process's share is lent or, after a release, still reserved.
func (b *Budget) Lent(now time.Duration) Amount {
	return b.sumInState(now, leaseLent) + b.sumInState(now, leaseReleased)
}

// Borrowed returns how much this process holds of other members' shares.
func (b *Budget) Borrowed(now time.Duration) Amount { return b.sumInState(now, leaseHeld) }

func (b *Budget) sumInState(now time.Duration, state leaseState) (sum Amount) {
	b.removeExpired(now)
	for _, l := range b.leases {
		if l.state == state {
			sum += l.amount
		}
	}
	return sum
}

// ownAvailable returns what is neither spent nor lent of the own share.
func (b *Budget) ownAvailable(now time.Duration) Amount {
	available := b.share - b.ownSpending.sumSince(now-b.spendWindow)
	for _, l := range b.leases {
		if l.state == leaseLent || l.state == leaseReleased {
			available -= l.amount
		}
	}
	return available
}

// available returns what the borrower has not spent of a lease within the window.
func (l *lease) available(now, window time.Duration) Amount {
	return l.amount - l.spent.sumSince(now-window)
}

// removeExpired ends the leases whose time has come, and removes those that have ended.
func (b *Budget) removeExpired(now time.Duration) {
	for i := range b.leases {
		if l := &b.leases[i]; l.state != leaseEnded && now >= l.expiresAt {
			l.transitionTo(leaseEnded, now)
		}
	}
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.state == leaseEnded })
}

// ledger records spending in chronological order.
type ledger struct{ spends []spend }

type spend struct {
	spentAt time.Duration
	amount  Amount
}

func (l *ledger) add(spentAt time.Duration, amount Amount) {
	l.spends = append(l.spends, spend{spentAt, amount})
}

// sumSince returns what was spent from start on, and removes the records of what was spent before.
func (l *ledger) sumSince(start time.Duration) (sum Amount) {
	first := slices.IndexFunc(l.spends, func(s spend) bool { return s.spentAt >= start })
	if first < 0 {
		first = len(l.spends)
	}
	l.spends = l.spends[:copy(l.spends, l.spends[first:])]
	for _, s := range l.spends {
		sum += s.amount
	}
	return sum
}
