package aggregation

import (
	"testing"
	"time"
)

// TestTwoProcessesUnderOneName: of two processes with the same member ID only the later one counts. The other reports
// that it is superseded.
func TestTwoProcessesUnderOneName(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 1, zones: 1, membersInZone: 4}, keys)
	first := s.members[0]
	second := s.addMember("region0", "zone0", 1000)
	second.config.ID, second.config.Incarnation = first.config.ID, first.config.Incarnation
	s.startMember(second)
	s.set(second, keys[0], 7)
	s.run(2*time.Second, nil)
	wantSum := float64(s.expectedSum(keys[0]) - first.ownTable.value(keys[0]))
	s.run(30*time.Second, func() {
		for _, a := range s.aggregators {
			if f := a.Figure(s.now, keys[0]); f.Value != wantSum || a.MemberCount(s.now) != 4 {
				t.Fatalf("%v: %+v of %d members, want value %v of 4 members", s.now, f, a.MemberCount(s.now), wantSum)
			}
		}
	})
	if !first.Superseded() || second.Superseded() {
		t.Errorf("superseded: first %v, want true; second %v, want false", first.Superseded(), second.Superseded())
	}
}

// TestEarlierTimeAtRestart: a process whose incarnation is earlier than that of its predecessor, because the clock was
// set back, takes a larger one and counts.
func TestEarlierTimeAtRestart(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 1, membersInZone: 3}, keys)
	m := s.members[0]
	before := m.config.Incarnation
	m.config.Incarnation -= 50
	s.startMember(m)
	s.set(m, keys[0], 7)
	s.runUntilExact(3*time.Second, keys)
	if m.Incarnation() != before+1 || m.Counters().IncarnationChanges != 1 || m.Superseded() {
		t.Errorf("incarnation %d, that of the predecessor %d; %+v", m.Incarnation(), before, m.Counters())
	}
}

// TestEarlierTimeWhileCutOff: like TestEarlierTimeAtRestart, but the process receives no datagram from any
// aggregator for a minute after its start.
func TestEarlierTimeWhileCutOff(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 1, zones: 1, membersInZone: 3}, keys)
	m := s.members[0]
	m.config.Incarnation -= 50
	s.startMember(m)
	s.set(m, keys[0], 7)
	s.isPartitioned = func(from, to *simulatedNode) bool { return from == &m.simulatedNode || to == &m.simulatedNode }
	s.run(time.Minute, nil)
	s.isPartitioned = nil
	s.runUntilExact(3*time.Second, keys)
}

// TestClockSetBack: a time earlier than the latest one is treated as the latest one.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 1, zones: 1, membersInZone: 3}, keys)
	m, a := s.members[0], s.aggregators[0]
	s.run(time.Second, nil)
	back := s.now - 30*time.Minute
	f, g := m.Figure(s.now, keys[0]), a.Figure(s.now, keys[0])
	report := m.Report(back)
	if outcome, _ := a.ReceiveReport(back, report); outcome != Accepted {
		t.Errorf("the report is %v", outcome)
	}
	m.ReceiveDigest(back, a.Digest(back))
	if after := m.Figure(back, keys[0]); after.Value != f.Value || after.Age < 0 || after.Age > time.Second || after.Heard != 1 {
		t.Errorf("the member returns %+v, before %+v", after, f)
	}
	if after := a.Figure(back, keys[0]); after.Value != g.Value || after.Age < 0 || after.Age > time.Second || after.Heard != 1 {
		t.Errorf("the aggregator returns %+v, before %+v", after, g)
	}
	s.run(time.Second, s.checkExactByKey(keys))
	if n := m.Counters().Stalls + a.Counters().Stalls; n != 0 {
		t.Errorf("%d stalls counted, want 0", n)
	}
}

// TestMovesToAnotherZone: a member that restarts in another zone of its region counts once.
func TestMovesToAnotherZone(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 2, membersInZone: 2}, keys)
	m := s.members[0]
	held := m.ownTable.value(keys[0])
	s.stopMember(m)
	m.config.Zone = "zone1"
	s.startMember(m)
	s.set(m, keys[0], held)
	s.run(time.Second, func() { s.checkNoDoubleCount(keys[:1]) })
	s.checkExact(keys)
	if status := s.aggregators[0].Members(s.now)[0]; status.ID != m.config.ID || status.Zone != "zone1" {
		t.Errorf("status %+v, want zone1", status)
	}
	if n := s.aggregators[0].MemberCount(s.now); n != 4 {
		t.Errorf("%d members, want 4", n)
	}
}

// TestManyRestarts: with 1,300 restarts of 400 members within a minute nothing counts twice, no state grows, no node
// sends more, and all figures are exact soon after.
func TestManyRestarts(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 1, fleetLayout{regions: 2, zones: 1, membersInZone: 200})
	s.tick, s.reportInterval, s.exchangeInterval = 100*time.Millisecond, time.Second, 200*time.Millisecond
	s.digestInterval, s.heartbeatInterval = time.Second, time.Second
	keys := testKeys(3)
	s.setRandomValues(keys)
	s.runUntilExact(timeToExactAfterStart+2*time.Second, keys)
	s.sentDatagrams = map[*simulatedNode]int{}
	const seconds, restarts = 60, 1300
	restarted := 0
	s.run(seconds*time.Second, func() {
		for ; restarted < restarts*int(s.now-s.aggregators[0].startedAt-timeToExactAfterStart)/int(seconds*time.Second) && restarted < restarts; restarted++ {
			m := s.members[s.random.Intn(len(s.members))]
			s.startMember(m)
			s.set(m, keys[0], uint64(s.random.Intn(100)))
		}
		if s.random.Intn(20) == 0 {
			s.checkSampledMembers(keys[:1])
		}
	})
	if restarted < restarts*9/10 {
		t.Fatalf("only %d restarts", restarted)
	}
	for _, m := range s.members {
		if n := s.sentDatagrams[&m.simulatedNode]; n > 2*(seconds+1) {
			t.Fatalf("%s sent too many datagrams: %d", m.name, n)
		}
	}
	for _, a := range s.aggregators {
		if n := a.MemberCount(s.now); n != 200 || len(a.dictionary.indexes) != len(keys) || len(a.membership.forgotten.elements) > 0 {
			t.Errorf("%s knows %d members, want 200, and %d keys, or remembers removed members", a.name, n, len(a.dictionary.indexes))
		}
	}
	s.runUntilExact(5*time.Second, keys)
}

// checkSampledMembers checks the upper bound of checkNoDoubleCount on three random members of a large fleet.
func (s *simulation) checkSampledMembers(keys []Key) {
	s.t.Helper()
	members := s.members
	first := s.random.Intn(len(members) - 3)
	view := &simulation{t: s.t, now: s.now, tick: s.tick, aggregators: s.aggregators, members: members}
	for _, key := range keys {
		for _, m := range members[first : first+3] {
			f := m.Figure(s.now, key)
			if bound := float64(view.sumOfLargestSince(key, s.now-f.Age-4*s.tick)) + f.Error; f.Value > bound {
				s.t.Fatalf("%v: %s: figure %+v is above the bound %v", s.now, m.name, f, bound)
			}
		}
	}
}

// TestDigestLostInPart: a member loses about one in three datagrams while the digest table takes several. Until it
// has all keys, its figures say so and stay within their bounds. All keys arrive within five turns.
func TestDigestLostInPart(t *testing.T) {
	t.Parallel()
	keys := testKeys(300)
	s := newSimulation(t, 1, fleetLayout{regions: 2, zones: 1, membersInZone: 2})
	s.setRandomValues(keys)
	s.run(2*time.Second, nil)
	m := s.members[0]
	n := 0
	s.isPartitioned = func(from, to *simulatedNode) bool {
		n++
		return to == &m.simulatedNode && n%3 == 0
	}
	s.startMember(m)
	for _, key := range keys {
		s.set(m, key, 5)
	}
	isPartial := false
	start := s.now
	const datagramsPerTurn = 6
	for m.sourceInUse.table.receivedShare() < 1 || m.sourceInUse.table.latestNumber == 0 || m.Figure(s.now, keys[0]).Heard < 0.9999 {
		s.step()
		s.checkNoDoubleCount(keys[:3])
		if f := m.Figure(s.now, keys[299]); f.Heard > 0 && f.Heard < 1 {
			isPartial = true
		}
		if s.now-start > timeToExactAfterStart+5*datagramsPerTurn*s.digestInterval {
			t.Fatalf("keys are missing: %+v", m.Aggregators(s.now))
		}
	}
	if !isPartial {
		t.Error("no figure had a heard share between 0 and 1")
	}
	s.run(5*datagramsPerTurn*s.digestInterval, nil)
	for _, key := range keys {
		if f := m.Figure(s.now, key); f.Value != float64(s.expectedSum(key)) {
			t.Errorf("key %v: %+v, want %d", key, f, s.expectedSum(key))
		}
	}
}
