package fleet

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"
)

// explore searches all states up to a number of steps, breadth first. It returns the steps to a state that exceeds the
// budget, or nil, and the number of distinct states.
func explore(f fault, depth int) (violation []string, states int) {
	seen := map[string]bool{}
	level := []*modelState{newModelState(f)}
	for range depth {
		var next []*modelState
		for _, s := range level {
			s.forEachSuccessor(f, func(successor *modelState) {
				if violation == nil && successor.exceedsBudget() {
					violation = successor.trace
				}
				if key := successor.key(); !seen[key] {
					seen[key] = true
					next = append(next, successor)
				}
			})
			if violation != nil {
				return violation, len(seen)
			}
		}
		level = next
	}
	return nil, len(seen)
}

// TestAllInterleavings searches all orders of request, receipt, loss, duplication, spending, delayed effect, expiry
// and restart, for three members with one request, one duplicated message, one restart and one release.
func TestAllInterleavings(t *testing.T) {
	depth := 11
	violation, states := explore(noFault, depth)
	if violation != nil {
		t.Fatalf("the budget is exceeded by: %s", strings.Join(violation, "; "))
	}
	if states < 10000 {
		t.Errorf("only %d states", states)
	}
	t.Logf("%d states to depth %d", states, depth)
}

// TestFindsFaults checks that the search of TestAllInterleavings finds members with known faults.
func TestFindsFaults(t *testing.T) {
	for f, name := range map[fault]string{ignoresTerm: "a borrower that ignores its term",
		skipsStartupWait: "a member that spends right after its restart", reclaimsAtEndOfTerm: "a lender that uses its share again at the end of the term"} {
		if violation, states := explore(f, 14); violation == nil {
			t.Errorf("%s is not found in %d states", name, states)
		} else {
			t.Logf("%s, %d states: %s", name, states, strings.Join(violation, "; "))
		}
	}
}

// TestFleets simulates random fleets in true time: clocks that drift within the configured bound, messages that are
// lost, duplicated and delayed by up to two terms, partitions, members that freeze between spending and its effect,
// and restarts. No window may exceed the budget.
func TestFleets(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		n := 2 + random.Intn(9)
		s := &simulation{members: make([]*Budget, n), frozenUntil: make([]time.Duration, n)}
		for range n {
			s.clockRates = append(s.clockRates, 1+simulationDrift*(2*random.Float64()-1))
			s.clockOffsets = append(s.clockOffsets, time.Duration(random.Int63n(int64(1000*sec))))
		}
		for i := range n {
			s.start(i, 1)
		}
		for s.now < 120*sec {
			s.now += time.Duration(random.Int63n(int64(50 * time.Millisecond)))
			i := random.Intn(n)
			if random.Intn(2) == 0 {
				i = 0 // this member needs more than its share
			}
			if s.frozenUntil[i] > s.now {
				continue
			}
			b, clock := s.members[i], s.clock(i)
			send := func(message Message) {
				if random.Intn(5) > 0 && (int(message.To) < s.partition) == (int(message.From) < s.partition) {
					for range 1 + random.Intn(2) {
						s.deliveries = append(s.deliveries, delivery{s.now + time.Duration(random.Int63n(int64(2*simulationTerm>>random.Intn(8)))), message})
					}
				}
			}
			switch action := random.Intn(40); {
			case action < 20:
				if deadline, ok := b.Spend(clock, 1); ok {
					effectAt := s.now + time.Duration(random.Int63n(int64(2*simulationEffect)))
					if random.Intn(20) == 0 { // freezes between spending and its effect
						s.frozenUntil[i] = s.now + time.Duration(random.Int63n(int64(5*sec)))
						effectAt = max(effectAt, s.frozenUntil[i])
					}
					if s.clockOffsets[i]+time.Duration(float64(effectAt)*s.clockRates[i]) <= deadline { // else it must have no effect
						s.effects = append(s.effects, effectAt)
					}
				}
			case action < 30:
				if request, ok := b.Borrow(clock, MemberID(random.Intn(n)), Amount(1+random.Intn(2))); ok {
					send(request)
				}
			case action == 30:
				for _, message := range b.ReleaseAll(clock) {
					send(message)
				}
			case action == 31 && random.Intn(20) == 0:
				s.start(i, b.incarnation+1)
			case action == 32 && random.Intn(20) == 0:
				s.partition = random.Intn(n)
			}
			for j := 0; j < len(s.deliveries); j++ {
				d := s.deliveries[j]
				to := int(d.message.To)
				if d.arrivesAt > s.now || s.frozenUntil[to] > s.now {
					continue
				}
				s.deliveries = slices.Delete(s.deliveries, j, j+1)
				j--
				if reply, ok := s.members[to].Receive(s.clock(to), d.message); ok {
					send(reply)
				}
			}
		}
		// The lower bound guards against a simulation that hardly spends anything.
		if largest := s.maxInWindow(); largest > unitsPerMember*n || largest <= unitsPerMember {
			t.Errorf("seed %d: %d members, %d units in a window, budget %d", seed, n, largest, unitsPerMember*n)
		}
	}
}

// TestLends: a member that needs all it can get, among others that need nothing, can use their shares for as large a
// part of the time as the term is of the lender's reserve time. When cut off from the others it has its own share.
func TestLends(t *testing.T) {
	const members, minutes = 4, 10
	for _, c := range []struct {
		term        time.Duration
		isCutOff    bool
		least, most float64 // share of the budget that the member can spend
	}{
		{2 * sec, true, 0.22, 0.25}, {2 * sec, false, 0.6, 1}, {10 * sec, false, 0.8, 1}, {60 * sec, false, 0.8, 1},
	} {
		var fleet []*Budget
		for self := range MemberID(members) {
			b, err := NewBudget(0, self, members, 1, members*unitsPerMember, simulationWindow, c.term, simulationEffect, simulationDrift)
			if err != nil {
				t.Fatal(err)
			}
			fleet = append(fleet, b)
		}
		startedAt, spent := 2*fleet[0].reserveTime, Amount(0)
		for now := startedAt; now < startedAt+minutes*time.Minute; now += sec / 10 {
			for lender := range MemberID(members) {
				if request, ok := fleet[0].Borrow(now, lender, unitsPerMember); ok && !c.isCutOff {
					if grant, ok := fleet[lender].Receive(now, request); ok {
						fleet[0].Receive(now, grant)
					}
				}
			}
			available := fleet[0].Available(now)
			if _, ok := fleet[0].Spend(now, available); ok {
				spent += available
			}
		}
		budget := float64(members*unitsPerMember) * float64(minutes*time.Minute) / float64(simulationWindow)
		if share := float64(spent) / budget; share < c.least || share > c.most {
			t.Errorf("term %v, cut off %v: %.3f of the budget", c.term, c.isCutOff, share)
		} else {
			t.Logf("term %v, cut off %v: %.3f of the budget", c.term, c.isCutOff, share)
		}
	}
}

// TestLentOn: a member that has spent its own share and holds a lease can still spend, but lends nothing, and a lender
// does not lend the same amount to two members.
func TestLentOn(t *testing.T) {
	now := 100 * sec
	var fleet []*Budget
	for self := range MemberID(modelAmount) {
		fleet = append(fleet, newMember(0, self, 1, noFault))
	}
	request, _ := fleet[0].Borrow(now, 1, 1)
	grant, ok := fleet[1].Receive(now, request)
	if !ok {
		t.Fatal("the request is not granted")
	}
	fleet[0].ownSpending.add(now, 1)
	fleet[0].Receive(now, grant)
	request, _ = fleet[2].Borrow(now, 0, 1)
	if reply, ok := fleet[0].Receive(now, request); ok || fleet[0].Available(now) != 1 {
		t.Errorf("borrowed amount lent on with %+v, %d available", reply, fleet[0].Available(now))
	}
	if reply, ok := fleet[1].Receive(now, Message{Request, 2, 1, LeaseID{2, 1, 9}, 1}); ok {
		t.Errorf("the same amount lent twice: %+v", reply)
	}
}

// TestInvalidMessages: messages that don't match the state are not answered and change nothing, a grant gives no more than
// was requested, and NewBudget refuses invalid arguments.
func TestInvalidMessages(t *testing.T) {
	b := newMember(0, 0, 7, noFault)
	now := 100 * sec
	ownLease, otherLease := LeaseID{0, 7, 1}, LeaseID{1, 3, 1}
	request, ok := b.Borrow(now, 1, 1)
	if !ok || request.Lease != ownLease {
		t.Fatalf("request %+v", request)
	}
	for _, m := range []Message{
		{},
		{Kind: 9, From: 1, Lease: otherLease, Amount: 1},
		{Request, 1, 2, otherLease, 1},        // to another member
		{Request, 0, 0, ownLease, 1},          // from itself
		{Request, 7, 0, otherLease, 1},        // from an ID that no member has
		{Request, 2, 0, otherLease, 1},        // with a third member's lease
		{Request, 1, 0, otherLease, -1},       // for a negative amount
		{Grant, 2, 0, ownLease, 1},            // from a member that was not asked
		{Grant, 1, 0, LeaseID{0, 6, 1}, 1},    // to the previous process
		{Release, 1, 0, otherLease, 1},        // of a lease that was never granted
		{Release, 1, 0, ownLease, 1},          // by the lender
		{Grant, 1, 0, LeaseID{0, 7, 2}, 1000}, // of a lease that was not requested yet
	} {
		if reply, ok := b.Receive(now, m); ok || b.Available(now) != 1 || b.Lent(now) != 0 || b.Borrowed(now) != 0 {
			t.Errorf("%+v: replied %+v, %d available", m, reply, b.Available(now))
		}
	}
	if b.Receive(now, Message{Grant, 1, 0, ownLease, 1000}); b.Borrowed(now) != 1 {
		t.Errorf("borrowed %d, requested 1", b.Borrowed(now))
	}
	for name, err := range map[string]error{
		"no members":      errorOf(NewBudget(0, 0, 0, 1, 1, sec, sec, 0, 0)),
		"unknown member":  errorOf(NewBudget(0, 3, 3, 1, 1, sec, sec, 0, 0)),
		"no window":       errorOf(NewBudget(0, 0, 3, 1, 1, 0, sec, 0, 0)),
		"no term":         errorOf(NewBudget(0, 0, 3, 1, 1, sec, 0, 0, 0)),
		"negative amount": errorOf(NewBudget(0, 0, 3, 1, -1, sec, sec, 0, 0)),
		"drift too large": errorOf(NewBudget(0, 0, 3, 1, 1, sec, sec, 0, 0.1)),
	} {
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func errorOf(_ *Budget, err error) error { return err }
