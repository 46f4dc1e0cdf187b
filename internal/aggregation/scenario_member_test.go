package aggregation

import (
	"testing"
	"time"
)

// TestTwoProcessesUnderOneName: of two processes of one member the later one counts, and only that; the other says that
// it is superseded.
func TestTwoProcessesUnderOneName(t *testing.T) {
	t.Parallel()
	keys := someKeys(5)
	s := calmFleet(t, layout{regions: 1, zones: 1, membersInZone: 4}, keys)
	first := s.members[0]
	second := s.addMember("region0", "zone0", 1000)
	second.config.ID, second.config.Incarnation = first.config.ID, first.config.Incarnation
	s.startMember(second)
	s.set(second, keys[0], 7)
	s.run(2*time.Second, nil)
	want := float64(s.truth(keys[0]) - first.own.value(keys[0]))
	s.run(30*time.Second, func() {
		for _, a := range s.aggregators {
			if f := a.Figure(s.now, keys[0]); f.Value != want || a.MemberCount(s.now) != 4 {
				t.Fatalf("%v: %+v of %d members, not %v", s.now, f, a.MemberCount(s.now), want)
			}
		}
	})
	if !first.Superseded() || second.Superseded() {
		t.Errorf("superseded: %v, %v", first.Superseded(), second.Superseded())
	}
}

// TestEarlierTimeAtRestart: a process that starts with an earlier time than the one before it, as the clock was set
// back, takes a larger incarnation and counts.
func TestEarlierTimeAtRestart(t *testing.T) {
	t.Parallel()
	keys := someKeys(5)
	s := calmFleet(t, layout{regions: 2, zones: 1, membersInZone: 3}, keys)
	m := s.members[0]
	before := m.config.Incarnation
	m.config.Incarnation -= 50
	s.startMember(m)
	s.set(m, keys[0], 7)
	s.settle(3*time.Second, keys)
	if m.Incarnation() != before+1 || m.Counters().Incarnation != 1 || m.Superseded() {
		t.Errorf("incarnation %d, %d before; %+v", m.Incarnation(), before, m.Counters())
	}
}

// TestEarlierTimeWhileCutOff: as before, but the process hears no aggregator for a minute after its start.
func TestEarlierTimeWhileCutOff(t *testing.T) {
	t.Parallel()
	keys := someKeys(5)
	s := calmFleet(t, layout{regions: 1, zones: 1, membersInZone: 3}, keys)
	m := s.members[0]
	m.config.Incarnation -= 50
	s.startMember(m)
	s.set(m, keys[0], 7)
	s.isCut = func(from, to *simulatedNode) bool { return from == &m.simulatedNode || to == &m.simulatedNode }
	s.run(time.Minute, nil)
	s.isCut = nil
	s.settle(3*time.Second, keys)
}

// TestClockSetBack: a time that goes back is taken for the latest one.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	keys := someKeys(5)
	s := calmFleet(t, layout{regions: 1, zones: 1, membersInZone: 3}, keys)
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
		t.Errorf("the member has %+v, %+v before", after, f)
	}
	if after := a.Figure(back, keys[0]); after.Value != g.Value || after.Age < 0 || after.Age > time.Second || after.Heard != 1 {
		t.Errorf("the aggregator has %+v, %+v before", after, g)
	}
	s.run(time.Second, s.staysExact(keys))
}

// TestMovesToAnotherZone: a member that starts again in another zone counts once.
func TestMovesToAnotherZone(t *testing.T) {
	t.Parallel()
	keys := someKeys(5)
	s := calmFleet(t, layout{regions: 2, zones: 2, membersInZone: 2}, keys)
	m := s.members[0]
	held := m.own.value(keys[0])
	s.stopMember(m)
	m.config.Zone = "zone1"
	s.startMember(m)
	s.set(m, keys[0], held)
	s.run(time.Second, func() { s.checkNoDoubleCount(keys[:1]) })
	s.checkExact(keys)
	if status := s.aggregators[0].Members(s.now)[0]; status.ID != m.config.ID || status.Zone != "zone1" {
		t.Errorf("%+v", status)
	}
	if n := s.aggregators[0].MemberCount(s.now); n != 4 {
		t.Errorf("%d members", n)
	}
}

// TestManyRestarts: 1,300 processes of 400 members start again within a minute. Nothing counts twice, no state grows, no
// node sends more, and all is exact soon after.
func TestManyRestarts(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 1, layout{regions: 2, zones: 1, membersInZone: 200})
	s.tick, s.report, s.exchange = 100*time.Millisecond, time.Second, 200*time.Millisecond
	s.digest, s.heartbeat = time.Second, time.Second
	keys := someKeys(3)
	s.fill(keys)
	s.settle(afterStart+2*time.Second, keys)
	s.sent = map[*simulatedNode]int{}
	const seconds, restarts = 60, 1300
	done := 0
	s.run(seconds*time.Second, func() {
		for ; done < restarts*int(s.now-s.aggregators[0].startedAt-afterStart)/int(seconds*time.Second) && done < restarts; done++ {
			m := s.members[s.random.Intn(len(s.members))]
			s.startMember(m)
			s.set(m, keys[0], uint64(s.random.Intn(100)))
		}
		if s.random.Intn(20) == 0 {
			s.checkSome(keys[:1])
		}
	})
	if done < restarts*9/10 {
		t.Fatalf("%d restarts", done)
	}
	for _, m := range s.members {
		if n := s.sent[&m.simulatedNode]; n > 2*(seconds+1) {
			t.Fatalf("%s sent %d datagrams", m.name, n)
		}
	}
	for _, a := range s.aggregators {
		if n := a.MemberCount(s.now); n != 200 || len(a.dictionary.index) != len(keys) || len(a.membership.forgotten.known) > 0 {
			t.Errorf("%s knows %d members, %d keys", a.name, n, len(a.dictionary.index))
		}
	}
	s.settle(5*time.Second, keys)
}

// checkSome is checkNoDoubleCount for a few nodes of a large fleet.
func (s *simulation) checkSome(keys []Key) {
	s.t.Helper()
	all := s.members
	from := s.random.Intn(len(all) - 3)
	some := &simulation{t: s.t, now: s.now, tick: s.tick, aggregators: s.aggregators, members: all}
	for _, key := range keys {
		for _, m := range all[from : from+3] {
			f := m.Figure(s.now, key)
			if bound := float64(some.largestSince(key, s.now-f.Age-4*s.tick)) + f.Error; f.Value > bound {
				s.t.Fatalf("%v: %s has %+v, above %v", s.now, m.name, f, bound)
			}
		}
	}
}

// TestDigestLostInPart: of each digest of several datagrams some are lost. Until the member has all keys its figures say
// so, none is beyond its bound, and all keys come in within five turns.
func TestDigestLostInPart(t *testing.T) {
	t.Parallel()
	keys := someKeys(300)
	s := newSimulation(t, 1, layout{regions: 2, zones: 1, membersInZone: 2})
	s.fill(keys)
	s.run(2*time.Second, nil)
	m := s.members[0]
	n := 0
	s.isCut = func(from, to *simulatedNode) bool {
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
	for m.inUse.table.complete() < 1 || m.inUse.table.highest == 0 || m.Figure(s.now, keys[0]).Heard < 0.9999 {
		s.step()
		s.checkNoDoubleCount(keys[:3])
		if f := m.Figure(s.now, keys[299]); f.Heard > 0 && f.Heard < 1 {
			isPartial = true
		}
		if s.now-start > afterStart+5*datagramsPerTurn*s.digest {
			t.Fatalf("not complete: %+v", m.Aggregators(s.now))
		}
	}
	if !isPartial {
		t.Error("no figure said that it was partial")
	}
	s.run(5*datagramsPerTurn*s.digest, nil)
	for _, key := range keys {
		if f := m.Figure(s.now, key); f.Value != float64(s.truth(key)) {
			t.Errorf("%v: %+v, not %d", key, f, s.truth(key))
		}
	}
}
