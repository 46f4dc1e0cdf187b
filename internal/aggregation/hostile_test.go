package aggregation

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestStranger: datagrams that name an unknown aggregator, a wrong region or another member change nothing.
func TestStranger(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 1, membersInZone: 2}, keys)
	a, m := s.aggregators[0], s.members[0]
	big := []Entry{{Kind: keys[0].Kind, ID: keys[0].ID, Value: 1 << 40}}
	for name, sum := range map[string]RegionSum{
		"unknown aggregator": {Aggregator: 77, Region: "region0", Incarnation: 99, Number: 9000, Members: 9, Heard: 1, Entries: big},
		"other region":       {Aggregator: 3, Region: "region0", Incarnation: 99, Number: 9000, Members: 9, Heard: 1, Entries: big},
		"itself":             {Aggregator: 1, Region: "region0", Incarnation: 99, Number: 9000, Members: 9, Heard: 1, Entries: big},
	} {
		if outcome := a.ReceiveRegionSum(s.now, sum); outcome != UnknownSender {
			t.Errorf("%s: %v", name, outcome)
		}
	}
	for name, digest := range map[string]Digest{
		"unknown aggregator": {Aggregator: 77, Region: "region0", Incarnation: 99, Number: 9000, Heartbeat: 9000, Entries: big},
		"other region":       {Aggregator: 1, Region: "region1", Incarnation: 99, Number: 9000, Heartbeat: 9000, Entries: big},
		"other region's":     {Aggregator: 3, Region: "region1", Incarnation: 99, Number: 9000, Heartbeat: 9000, Entries: big},
	} {
		if outcome := m.ReceiveDigest(s.now, digest); outcome != UnknownSender {
			t.Errorf("%s: %v", name, outcome)
		}
	}
	for name, refusal := range map[string]Refusal{
		"unknown aggregator": {Aggregator: 77, Member: m.config.ID, Incarnation: 1 << 40},
		"other member":       {Aggregator: 1, Member: 1, Incarnation: 1 << 40},
	} {
		if outcome := m.ReceiveRefusal(s.now, refusal); outcome != UnknownSender {
			t.Errorf("%s: %v", name, outcome)
		}
	}
	if n := a.Counters().UnknownSender + m.Counters().UnknownSender; n != 8 {
		t.Errorf("%d datagrams of unknown senders counted, want 8", n)
	}
	s.checkExact(keys)
}

// TestMalformed: datagrams with invalid fields change nothing.
func TestMalformed(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 1, membersInZone: 2}, keys)
	a, m := s.aggregators[0], s.members[0]
	for name, invalidate := range map[string]func(*Report){
		"no number":      func(r *Report) { r.Number = 0 },
		"long number":    func(r *Report) { r.Number = 1 << 32 },
		"since":          func(r *Report) { r.Since = r.Number + 1 },
		"no incarnation": func(r *Report) { r.Incarnation = 0 },
		"long zone":      func(r *Report) { r.Zone = string(make([]byte, MaxNameBytes+1)) },
		"slack":          func(r *Report) { r.Slack = math.MaxUint64 },
		"kind":           func(r *Report) { r.Entries[0].Kind = 4 },
		"no kind":        func(r *Report) { r.Entries[0].Kind = 0 },
		"value":          func(r *Report) { r.Entries[0].Value = 1 << 32 },
		"many entries":   func(r *Report) { r.Entries = make([]Entry, MaxDatagramBytes) },
	} {
		report := Report{Member: 5, Incarnation: 1, Number: 7, Since: 3, Zone: "z", Keys: 1, Entries: []Entry{entry(1, 1, 1)}}
		invalidate(&report)
		if outcome, _ := a.ReceiveReport(s.now, report); outcome != Malformed {
			t.Errorf("report, %s: %v", name, outcome)
		}
	}
	for name, invalidate := range map[string]func(*RegionSum){
		"heard": func(r *RegionSum) { r.Heard = 1.1 },
		"NaN":   func(r *RegionSum) { r.Heard = math.NaN() },
		"age":   func(r *RegionSum) { r.Age = -1 },
		"old":   func(r *RegionSum) { r.Age = math.MaxInt64 },
		"slack": func(r *RegionSum) { r.Slack = math.MaxUint64 },
		"value": func(r *RegionSum) { r.Entries[0].Value = math.MaxUint64 },
	} {
		sum := RegionSum{Aggregator: 3, Region: "region1", Incarnation: 9, Number: 7, Entries: []Entry{entry(1, 1, 1)}}
		invalidate(&sum)
		if outcome := a.ReceiveRegionSum(s.now, sum); outcome != Malformed {
			t.Errorf("region sum, %s: %v", name, outcome)
		}
	}
	for name, invalidate := range map[string]func(*Digest){
		"regions":      func(d *Digest) { d.Regions = make([]RegionState, MaxRegions+1) },
		"region":       func(d *Digest) { d.Regions = []RegionState{{Region: ""}} },
		"share":        func(d *Digest) { d.Regions = []RegionState{{Region: "r", Weight: math.Inf(1)}} },
		"no heartbeat": func(d *Digest) { d.Heartbeat = 0 },
		"no number":    func(d *Digest) { d.Number = 0 },
	} {
		digest := Digest{Aggregator: 1, Region: "region0", Incarnation: 9, Number: 7, Heartbeat: 1, Entries: []Entry{entry(1, 1, 1)}}
		invalidate(&digest)
		if outcome := m.ReceiveDigest(s.now, digest); outcome != Malformed {
			t.Errorf("digest, %s: %v", name, outcome)
		}
	}
	if outcome := m.ReceiveRefusal(s.now, Refusal{Aggregator: 1, Member: m.config.ID, Incarnation: math.MaxUint64}); outcome != Malformed {
		t.Errorf("refusal: %v", outcome)
	}
	s.checkExact(keys)
}

// TestReplayedFromYesterday: replayed reports neither keep a dead member known, nor bring it back after it was removed,
// nor count in addition to those of its next process.
func TestReplayedFromYesterday(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 1, zones: 1, membersInZone: 3}, keys)
	m, a := s.members[0], s.aggregators[0]
	var oldReports []Report
	for range 20 {
		s.run(s.reportInterval, nil)
		report := m.Report(s.now)
		oldReports = append(oldReports, report)
		a.ReceiveReport(s.now, report)
		s.aggregators[1].ReceiveReport(s.now, report)
	}
	s.stopMember(m)
	replay := func() {
		for _, report := range oldReports {
			if outcome, _ := a.ReceiveReport(s.now, report); outcome == Accepted {
				t.Fatalf("%v: a replayed report is %v", s.now, outcome)
			}
		}
	}
	s.run(testFreshness+testDecay+time.Second, replay)
	if a.KnownMember(s.now, m.config.ID) {
		t.Error("replays keep a dead member known")
	}
	s.checkExact(keys)
	s.now += 24 * time.Hour
	s.run(timeToExactAfterStart+testFreshness, nil)
	replay()
	s.checkExact(keys)
	s.startMember(m)
	s.set(m, keys[0], 3)
	s.runUntilExact(3*time.Second, keys)
	replay()
	s.run(time.Second, func() {
		replay()
		s.checkExact(keys[:1])
	})
	if a.Counters().Refused == 0 || a.Counters().Duplicate+a.Counters().Obsolete == 0 {
		t.Errorf("no refused or no duplicate reports counted: %+v", a.Counters())
	}
}

// TestReplayedSums: replayed region sums and digests do not keep a dead aggregator's sums in use.
func TestReplayedSums(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 1, membersInZone: 3}, keys)
	dead, peer, m := s.aggregators[0], s.aggregators[2], s.members[0]
	var sums []RegionSum
	var digests []Digest
	for range 10 {
		s.run(s.digestInterval, nil)
		sum, digest := dead.RegionSum(s.now), dead.Digest(s.now)
		peer.ReceiveRegionSum(s.now, sum)
		m.ReceiveDigest(s.now, digest)
		sums, digests = append(sums, sum), append(digests, digest, dead.Heartbeat(s.now))
		m.ReceiveDigest(s.now, digests[len(digests)-1])
	}
	dead.up, s.aggregators[1].up = false, false
	s.run(testFreshness+testDecay+time.Second, func() {
		peer.ReceiveRegionSum(s.now, sums[s.random.Intn(len(sums))])
		if outcome := m.ReceiveDigest(s.now, digests[s.random.Intn(len(digests))]); outcome == Accepted {
			t.Fatalf("%v: a replayed digest is %v", s.now, outcome)
		}
	})
	if state := peer.Regions(s.now)[0]; state.Weight != 0 {
		t.Errorf("replays keep a region's sums in use: %+v", state)
	}
	if f := m.Figure(s.now, keys[0]); f.Value != float64(m.ownTable.value(keys[0])) || f.Heard != 0 {
		t.Errorf("replays keep an aggregator's sums in use: %+v", f)
	}
}

// TestTenThousandASecond: under 10,000 reports of random members a second the state stays bounded, the values of the
// known members stay exact and dropped entries are counted. Once the reports end, a new member is accepted.
func TestTenThousandASecond(t *testing.T) {
	t.Parallel()
	keys := testKeys(5)
	s := newExactFleet(t, fleetLayout{regions: 2, zones: 1, membersInZone: 3, maxKeys: 200}, keys)
	random := rand.New(rand.NewSource(9))
	a := s.aggregators[0]
	s.run(3*time.Second, func() {
		for range int(s.tick / (100 * time.Microsecond)) {
			a.ReceiveReport(s.now, Report{
				Member: MemberID(random.Uint64()), Incarnation: 1 + Incarnation(random.Intn(9)),
				Number: 1 + uint64(random.Intn(9)), Zone: "z", Keys: 1,
				Entries: []Entry{entry(ByServer, random.Uint64(), uint64(random.Intn(9)))},
			})
		}
		for _, m := range s.members[:3] {
			status := a.membership.members[m.config.ID]
			if status == nil || status.table.receivedShare() < 1 {
				t.Fatalf("%v: %s was displaced", s.now, m.name)
			}
		}
	})
	if n := a.MemberCount(s.now); n > a.config.MaxMembers {
		t.Errorf("%d members, at most %d are allowed", n, a.config.MaxMembers)
	}
	if n := len(a.dictionary.keys); n > a.config.MaxKeys {
		t.Errorf("%d keys, at most %d are allowed", n, a.config.MaxKeys)
	}
	for _, key := range keys {
		if f := a.Figure(s.now, key); f.Value != float64(s.expectedSum(key)) {
			t.Errorf("key %v: %+v, want %d", key, f, s.expectedSum(key))
		}
	}
	counters := a.Counters()
	if counters.DroppedMemberReports < 25_000 || counters.DroppedEntries < 500 {
		t.Errorf("too few dropped reports or entries counted: %+v", counters)
	}
	s.run(testFreshness+testDecay+2*time.Second, nil)
	if n := a.membership.forgotten.order.Len(); n > 2*a.config.MaxMembers {
		t.Errorf("%d forgotten members, at most twice MaxMembers are allowed", n)
	}
	m := s.addMember("region0", "zone0", 200)
	s.set(m, Key{ByTenant, 99}, 5)
	s.runUntilExact(timeToExactAfterStart, append(keys, Key{ByTenant, 99}))
}
