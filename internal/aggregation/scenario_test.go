package aggregation

import (
	"math"
	"testing"
	"time"
)

// timeToExactAfterStart is how long after a start a fleet's figures are exact: for the freshness an aggregator does not
// assume that it knows all its members.
const timeToExactAfterStart = testFreshness + time.Second

func newExactFleet(t *testing.T, layout fleetLayout, keys []Key) *simulation {
	t.Helper()
	s := newSimulation(t, 1, layout)
	s.setRandomValues(keys)
	s.runUntilExact(timeToExactAfterStart, keys)
	return s
}

// TestCalm: without faults all figures are exact soon after the start, follow changes, and stay exact.
func TestCalm(t *testing.T) {
	t.Parallel()
	keys := testKeys(20)
	s := newExactFleet(t, fleetLayout{regions: 3, zones: 2, membersInZone: 3}, keys)
	s.set(s.members[4], keys[3], 100000)
	t.Log("a change after", s.runUntilExact(time.Second, keys))
	s.set(s.members[4], keys[3], 0)
	t.Log("a fall to 0 after", s.runUntilExact(time.Second, keys))
	s.run(20*time.Second, s.checkExactByKey(keys))
}

// TestOneAggregatorKilled: when one aggregator of a region dies, no figure changes, and changes soon arrive by the
// other one.
func TestOneAggregatorKilled(t *testing.T) {
	t.Parallel()
	keys := testKeys(20)
	for killed := range 2 {
		s := newExactFleet(t, fleetLayout{regions: 3, zones: 2, membersInZone: 3}, keys)
		s.aggregators[killed].up = false
		s.run(testFreshness/2+2*time.Second, s.checkExactByKey(keys))
		s.set(s.members[0], keys[3], 100000)
		s.runUntilExact(time.Second, keys)
		s.run(15*time.Second, s.checkExactByKey(keys))
	}
}

// TestBothAggregatorsKilled: without its aggregators, a region's part of the other regions' figures falls to 0 over
// freshness and decay, within their stated errors. The region's own members return their own values. All figures are
// exact again soon after both aggregators were restarted without state.
func TestBothAggregatorsKilled(t *testing.T) {
	t.Parallel()
	keys := testKeys(20)
	s := newExactFleet(t, fleetLayout{regions: 3, zones: 2, membersInZone: 3}, keys)
	fleetSum := float64(s.expectedSum(keys[0]))
	regionPart := 0.0
	for _, m := range s.members[:6] {
		regionPart += float64(m.history[keys[0]][0].value)
	}
	s.aggregators[0].up, s.aggregators[1].up = false, false
	other := s.members[6]
	previousValue := fleetSum
	s.run(testFreshness+testDecay+time.Second, func() {
		f := other.Figure(s.now, keys[0])
		if f.Value > previousValue+1 || f.Value < fleetSum-regionPart || math.Abs(f.Value-(fleetSum-regionPart)) > f.Error && math.Abs(f.Value-fleetSum) > f.Error {
			t.Fatalf("%v: %+v, fleet sum %v, without the region %v", s.now, f, fleetSum, fleetSum-regionPart)
		}
		previousValue = f.Value
	})
	if f := other.Figure(s.now, keys[0]); f.Value != fleetSum-regionPart || f.Error != 0 || math.Abs(f.Heard-2./3) > 0.001 {
		t.Errorf("fleet sum %v, without the region %v, figure %+v", fleetSum, fleetSum-regionPart, f)
	}
	state := other.Regions(s.now)[0]
	if state.Region != "region0" || state.Members != 6 || state.Weight != 0 || state.Heard != 0 || state.Age < testFreshness+testDecay {
		t.Errorf("state of the region: %+v", state)
	}
	own := float64(s.members[0].history[keys[0]][0].value)
	if f := s.members[0].Figure(s.now, keys[0]); f.Value != own || f.Heard != 0 {
		t.Errorf("a member without aggregators returns %+v, want its own value %v", f, own)
	}
	s.startAggregator(s.aggregators[0])
	s.startAggregator(s.aggregators[1])
	s.runUntilExact(timeToExactAfterStart, keys)
}

// TestRestartedEmpty: while a restarted aggregator has no state, all nodes use the other aggregator of its region, and
// none uses it before it has heard as many members. Members that preferred it return to it later.
func TestRestartedEmpty(t *testing.T) {
	t.Parallel()
	keys := testKeys(150)
	s := newExactFleet(t, fleetLayout{regions: 3, zones: 2, membersInZone: 3}, keys)
	s.tick = 50 * time.Millisecond
	restarted := s.aggregators[0]
	if state := s.aggregators[2].Regions(s.now)[0]; state.Source != restarted.config.ID {
		t.Fatalf("the test restarts %s, but the source in use is %d", restarted.name, state.Source)
	}
	subscribers := s.countSubscribers(restarted)
	if subscribers == 0 {
		t.Fatalf("no member subscribes to %s", restarted.name)
	}
	s.startAggregator(restarted)
	inUseAgain := false
	s.run(testFreshness+testDecay+20*time.Second, func() {
		heard := restarted.regionHeardShare(s.now)
		// Its digests may be used earlier: it takes its own region's sums from the other aggregator until then.
		digestHeard := heardShare(restarted.Regions(s.now))
		for _, m := range s.members[:6] {
			hasHeartbeat := s.now-restarted.startedAt > s.heartbeatInterval+s.reportInterval+2*s.tick // the member has received its first heartbeat
			if m.subscription.current == restarted.config.ID && digestHeard < 0.95 && hasHeartbeat {
				t.Fatalf("%v: %s subscribes to an aggregator with a heard share of %v", s.now, m.name, digestHeard)
			}
		}
		for _, a := range s.aggregators[1:] {
			if f := a.Figure(s.now, keys[0]); f.Value != float64(s.expectedSum(keys[0])) {
				t.Fatalf("%v: %s: figure %+v, want %v", s.now, a.name, f, s.expectedSum(keys[0]))
			}
			isInUse := a.Regions(s.now)[0].Source == restarted.config.ID
			inUseAgain = inUseAgain || isInUse && heard > 0.99
			// Peers notice the restart with the first datagram; until then they use the sums that it sent before.
			if isInUse && heard < 0.95 && s.now-restarted.startedAt > 2*s.exchangeInterval {
				t.Fatalf("%v: %s uses an aggregator with a heard share of %v", s.now, a.name, heard)
			}
		}
		for _, m := range s.members {
			if f := m.Figure(s.now, keys[0]); f.Value != float64(s.expectedSum(keys[0])) {
				t.Fatalf("%v: %s: figure %+v, want %v", s.now, m.name, f, s.expectedSum(keys[0]))
			}
		}
	})
	if n := s.countSubscribers(restarted); n != subscribers {
		t.Errorf("%d members subscribe to it, %d before", n, subscribers)
	}
	s.aggregators[1].up = false
	s.run(testFreshness/2+time.Second, nil)
	s.checkExact(keys)
}

func (s *simulation) countSubscribers(a *simulatedAggregator) (n int) {
	for _, m := range s.members {
		if m.Member.subscription.current == a.config.ID {
			n++
		}
	}
	return n
}

// regionHeardShare returns the share of its known members that an aggregator heard.
func (a *simulatedAggregator) regionHeardShare(now time.Duration) float64 {
	return a.summary(now).heardShare()
}

// TestFrozen: an aggregator is frozen for 10 s and continues with old sums and queued reports. No node counts them: all
// use the other aggregator of the region, and this one only after it has received new reports from the members.
func TestFrozen(t *testing.T) {
	t.Parallel()
	keys := testKeys(20)
	s := newExactFleet(t, fleetLayout{regions: 3, zones: 2, membersInZone: 3}, keys)
	s.tick = 50 * time.Millisecond
	frozen := s.aggregators[0]
	frozen.frozen = true
	s.run(time.Second, nil)
	for _, m := range s.members {
		s.set(m, keys[0], 1)
	}
	s.run(3*time.Second, func() { s.checkNoDoubleCount(keys[:1]) })
	checkOthersExact := func() {
		t.Helper()
		for _, a := range s.aggregators[1:] {
			if f := a.Figure(s.now, keys[0]); f.Value != float64(len(s.members)) {
				t.Fatalf("%v: %s: wrong figure %+v", s.now, a.name, f)
			}
		}
		for _, m := range s.members {
			if f := m.Figure(s.now, keys[0]); f.Value != float64(len(s.members)) {
				t.Fatalf("%v: %s: wrong figure %+v", s.now, m.name, f)
			}
		}
	}
	s.run(6*time.Second, checkOthersExact)
	s.unfreeze(&frozen.simulatedNode)
	if f := frozen.Figure(s.now, keys[0]); f.Age < 9*time.Second || f.Heard > 0.7 {
		t.Errorf("after the freeze it returns %+v", f)
	}
	s.run(30*time.Second, func() {
		checkOthersExact()
		s.checkNoDoubleCount(keys[:1])
	})
	s.checkExact(keys)
	if frozen.Counters().Stalls != 1 {
		t.Errorf("%d stalls counted, want 1", frozen.Counters().Stalls)
	}
}

// TestFrozenAlone: like TestFrozen, but the other aggregator of the region is dead. The old sums expire by their age.
func TestFrozenAlone(t *testing.T) {
	t.Parallel()
	keys := testKeys(20)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 2, membersInZone: 3}, keys)
	s.aggregators[1].up = false
	s.run(4*time.Second, nil)
	s.aggregators[0].frozen = true
	s.run(time.Second, nil)
	for _, m := range s.members {
		s.set(m, keys[0], 1)
	}
	s.run(9*time.Second, func() { s.checkNoDoubleCount(keys[:1]) })
	s.unfreeze(&s.aggregators[0].simulatedNode)
	s.run(5*time.Second, func() { s.checkNoDoubleCount(keys[:1]) })
	s.checkExact(keys)
}

// TestTwoDisagree: two aggregators of a region receive reports from different members. Figures come from one of them
// and are never mixed; they come from the one that receives from more members if the ratio exceeds switchRatio.
func TestTwoDisagree(t *testing.T) {
	t.Parallel()
	keys := testKeys(20)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 1, membersInZone: 6}, keys)
	isLinkBetween := func(n int, a *simulatedAggregator, from, to *simulatedNode) bool {
		return from == &s.members[n].simulatedNode && to == &a.simulatedNode
	}
	s.isPartitioned = func(from, to *simulatedNode) bool {
		return isLinkBetween(0, s.aggregators[0], from, to) || isLinkBetween(1, s.aggregators[1], from, to) ||
			isLinkBetween(2, s.aggregators[1], from, to)
	}
	s.run(testFreshness+testDecay+5*time.Second, nil)
	for _, key := range keys {
		sum := s.expectedSum(key)
		without0 := float64(sum - s.members[0].ownTable.value(key))
		for _, a := range s.aggregators {
			if f := a.Figure(s.now, key); f.Value != without0 || a.Regions(s.now)[0].Source != 1 {
				t.Errorf("%s: figure %+v, want %v", a.name, f, without0)
			}
		}
		for _, m := range s.members {
			if f := m.Figure(s.now, key); f.Value != without0 {
				t.Errorf("%s: figure %+v, want %v", m.name, f, without0)
			}
		}
	}
}

// TestRegionCutOff: a region is partitioned from the others for an hour. Figures and states show it, no node sends more
// datagrams in any second than before, and all figures are exact soon after the partition ends.
func TestRegionCutOff(t *testing.T) {
	t.Parallel()
	keys := testKeys(10)
	s := newSimulation(t, 1, fleetLayout{regions: 3, zones: 1, membersInZone: 2})
	s.tick, s.reportInterval, s.exchangeInterval = 500*time.Millisecond, time.Second, time.Second
	s.digestInterval, s.heartbeatInterval = time.Second, time.Second
	s.setRandomValues(keys)
	s.runUntilExact(timeToExactAfterStart+3*time.Second, keys)
	maxPerSecond := map[*simulatedNode]int{}
	runSecond := func() {
		s.sentDatagrams = map[*simulatedNode]int{}
		s.run(time.Second, nil)
	}
	for range 4 {
		runSecond()
		for node, n := range s.sentDatagrams {
			maxPerSecond[node] = max(maxPerSecond[node], n)
		}
	}
	checkedSecond := func() {
		runSecond()
		for node, n := range s.sentDatagrams {
			if n > maxPerSecond[node] {
				t.Fatalf("%v: %s sent %d datagrams in a second, %d before", s.now, node.name, n, maxPerSecond[node])
			}
		}
	}
	s.isPartitioned = func(from, to *simulatedNode) bool {
		return from.region != to.region && (from.region == "region0" || to.region == "region0")
	}
	for range 3600 {
		checkedSecond()
	}
	s.set(s.members[0], keys[0], 70)
	s.set(s.members[5], keys[0], 80)
	for range 3 {
		checkedSecond()
	}
	s.checkPartitionedSums(keys)
	s.isPartitioned = nil
	start := s.now
	for !s.isExact(keys) {
		checkedSecond()
		if s.now-start > 5*(s.exchangeInterval+s.digestInterval) {
			t.Fatalf("not exact %v after the partition ended: %s", s.now-start, s.firstInexact(keys))
		}
	}
	for range 20 {
		checkedSecond()
		s.checkExact(keys)
	}
}

// checkPartitionedSums fails the test unless region 0 on the one side and the other regions on the other side each have
// the sums over their own side only.
func (s *simulation) checkPartitionedSums(keys []Key) {
	s.t.Helper()
	partitionSum := func(key Key, region string) (sum float64) {
		for _, m := range s.members {
			if (m.region == "region0") == (region == "region0") {
				sum += float64(m.ownTable.value(key))
			}
		}
		return sum
	}
	for _, m := range s.members {
		heardShare := 2. / 3
		if m.region == "region0" {
			heardShare = 1. / 3
		}
		for _, key := range keys {
			f := m.Figure(s.now, key)
			if f.Value != partitionSum(key, m.region) || math.Abs(f.Heard-heardShare) > 0.001 || f.Age > testFreshness {
				s.t.Errorf("%s: figure %+v of key %v, want %v", m.name, f, key, partitionSum(key, m.region))
			}
		}
		for _, state := range m.Regions(s.now) {
			isOther := (state.Region == "region0") != (m.region == "region0")
			if isOther && (state.Age < 3600*time.Second || state.Weight != 0 || state.Heard != 0 || state.Members != 2) {
				s.t.Errorf("%s: %+v", m.name, state)
			}
		}
	}
}

// TestHeardByOneOnly: a member heard by only one of the two aggregators of a region counts once. If the difference is
// within switchRatio, the aggregator without the member may stay in use, and the figures state the share that was
// heard.
func TestHeardByOneOnly(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 2, membersInZone: 3}, keys)
	s.isPartitioned = func(from, to *simulatedNode) bool {
		return from == &s.members[0].simulatedNode && to == &s.aggregators[0].simulatedNode
	}
	s.run(40*time.Second, func() { s.checkNoDoubleCount(keys[:1]) })
	s.checkExact(keys)

	s = newExactFleet(t, fleetLayout{regions: 1, zones: 1, membersInZone: 60}, keys)
	s.isPartitioned = func(from, to *simulatedNode) bool {
		return from == &s.members[0].simulatedNode && to == &s.aggregators[0].simulatedNode
	}
	s.run(testFreshness+testDecay+5*time.Second, nil)
	f := s.aggregators[0].Figure(s.now, keys[0])
	sumWithoutMember := float64(s.expectedSum(keys[0]) - s.members[0].ownTable.value(keys[0]))
	if f.Value != sumWithoutMember || math.Abs(f.Heard-59./60) > 0.001 {
		t.Errorf("difference within switchRatio: %+v, want %v", f, sumWithoutMember)
	}
}

// TestZoneLost: the values of the members of a lost zone count in full for the freshness; then they fall to 0 over the
// decay.
func TestZoneLost(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 2, membersInZone: 3}, keys)
	fleetSum := float64(s.expectedSum(keys[0]))
	zonePart := 0.0
	for _, m := range s.members[:3] {
		zonePart += float64(m.ownTable.value(keys[0]))
		m.up = false
	}
	start := s.now
	other := s.members[11]
	s.run(testFreshness+testDecay+2*time.Second, func() {
		f := other.Figure(s.now, keys[0])
		// The lost members sent their last reports up to one interval earlier, and the two further hops take up to one
		// interval each.
		maxDelay := s.reportInterval + s.exchangeInterval + s.digestInterval + 3*s.tick
		elapsed := s.now - start
		atMost := fleetSum - zonePart + zonePart*ageWeight(elapsed-maxDelay, testFreshness, testDecay) + 2
		atLeast := fleetSum - zonePart + zonePart*ageWeight(elapsed+s.reportInterval, testFreshness, testDecay) - 2
		if f.Value > atMost || f.Value < atLeast || f.Value+f.Error < fleetSum-1 && elapsed < testFreshness {
			t.Fatalf("after %v: %+v, want a value from %v to %v", elapsed, f, atLeast, atMost)
		}
		if elapsed > testFreshness+maxDelay && elapsed < testFreshness+testDecay-s.reportInterval {
			if math.Abs(f.Heard-9./12) > 0.001 || f.Value-(fleetSum-zonePart) > f.Error {
				t.Fatalf("after %v: %+v, sum without the zone %v", elapsed, f, fleetSum-zonePart)
			}
		}
	})
	for _, m := range s.members[:3] {
		s.stopMember(m)
	}
	s.checkExact(keys)
}
