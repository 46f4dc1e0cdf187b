package aggregation

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const (
	testFreshness = 5 * time.Second
	testDecay     = 10 * time.Second
)

// simulation runs a fleet on a simulated clock and over a simulated network that loses, duplicates and delays
// datagrams.
type simulation struct {
	t                 testing.TB
	random            *rand.Rand
	now               time.Duration
	tick              time.Duration
	reportInterval    time.Duration
	exchangeInterval  time.Duration
	digestInterval    time.Duration
	heartbeatInterval time.Duration
	aggregators       []*simulatedAggregator
	members           []*simulatedMember
	packets           []packet
	faults            networkFaults
	isPartitioned     func(from, to *simulatedNode) bool // may be nil
	sentDatagrams     map[*simulatedNode]int             // by sender
	recorded          []packet                           // delivered datagrams, for replays
	recordsForReplay  bool
}

// networkFaults configures the faults of the simulated network. Loss and duplication are probabilities for each
// datagram.
type networkFaults struct {
	loss, duplication float64
	maxDelay          time.Duration // each datagram is delayed by a random time below it
}

type simulatedNode struct {
	name   string
	region string
	zone   string
	up     bool
	frozen bool
	starts int
	queued []packet // datagrams that arrived while it was frozen
}

type simulatedAggregator struct {
	simulatedNode
	*Aggregator
	config AggregatorConfig
}

type simulatedMember struct {
	simulatedNode
	*Member
	config       MemberConfig
	reportOffset time.Duration
	history      map[Key][]timedValue
	heldValues   map[heldValue]bool

	lastUnknownAt time.Duration // latest time at which no aggregator knew it
}

// heldValue is a value that a member held under an incarnation.
type heldValue struct {
	incarnation Incarnation
	key         Key
	value       uint64
}

// timedValue is a value that was held from a time on.
type timedValue struct {
	at    time.Duration
	value uint64
}

type packet struct {
	deliverAt time.Duration
	from, to  *simulatedNode
	toStarts  int // value of to.starts at the delivery
	deliver   func()
}

// fleetLayout is the size of a simulated fleet. Each region has two aggregators.
type fleetLayout struct {
	regions, zones, membersInZone int
	maxKeys                       int
}

func newSimulation(t testing.TB, seed int64, layout fleetLayout) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewSource(seed)),
		now: time.Hour, tick: 20 * time.Millisecond,
		reportInterval: 400 * time.Millisecond, exchangeInterval: 100 * time.Millisecond,
		digestInterval: 180 * time.Millisecond, heartbeatInterval: time.Second,
		sentDatagrams: map[*simulatedNode]int{},
	}
	if layout.maxKeys == 0 {
		layout.maxKeys = 1000
	}
	var allAggregators []Peer
	for i := range 2 * layout.regions {
		allAggregators = append(allAggregators, Peer{AggregatorID(i + 1), fmt.Sprint("region", i/2)})
	}
	for _, self := range allAggregators {
		config := AggregatorConfig{
			ID: self.ID, Region: self.Region, Incarnation: 1, MaxMembers: 1000, MaxKeys: layout.maxKeys,
			MaxMemberKeys: layout.maxKeys, ChangeShare: 0.1, Freshness: testFreshness, Decay: testDecay,
			Peers: slices.DeleteFunc(slices.Clone(allAggregators), func(p Peer) bool { return p.ID == self.ID }),
		}
		node := simulatedNode{name: fmt.Sprint("aggregator", self.ID), region: self.Region}
		a := &simulatedAggregator{simulatedNode: node, config: config}
		s.aggregators = append(s.aggregators, a)
		s.startAggregator(a)
	}
	for region := range layout.regions {
		for zone := range layout.zones {
			for range layout.membersInZone {
				s.addMember(fmt.Sprint("region", region), fmt.Sprint("zone", zone), layout.maxKeys)
			}
		}
	}
	return s
}

func (s *simulation) addMember(region, zone string, maxKeys int) *simulatedMember {
	config := MemberConfig{
		ID: MemberID(1000 + len(s.members)), Region: region, Zone: zone, MaxKeys: maxKeys,
		ChangeShare: 0.1, Freshness: testFreshness, Decay: testDecay, Incarnation: 100,
	}
	for _, a := range s.aggregators {
		if a.config.Region == region {
			config.Aggregators = append(config.Aggregators, a.config.ID)
		}
	}
	m := &simulatedMember{
		simulatedNode: simulatedNode{name: fmt.Sprint("member", config.ID), region: region, zone: zone},
		config:        config, history: map[Key][]timedValue{}, heldValues: map[heldValue]bool{},
		reportOffset: time.Duration(s.random.Int63n(int64(s.reportInterval))),
	}
	s.members = append(s.members, m)
	s.startMember(m)
	return m
}

func (s *simulation) startAggregator(a *simulatedAggregator) {
	var err error
	if a.Aggregator, err = NewAggregator(s.now, a.config); err != nil {
		s.t.Fatal(err)
	}
	a.config.Incarnation++
	a.starts++
	a.up, a.frozen, a.queued = true, false, nil
}

// startMember starts a new process of a member, without values.
func (s *simulation) startMember(m *simulatedMember) {
	var err error
	m.config.Incarnation++
	if m.Member, err = NewMember(s.now, m.config); err != nil {
		s.t.Fatal(err)
	}
	m.starts++
	m.up, m.frozen, m.queued = true, false, nil
	s.recordValuesLost(m)
}

func (s *simulation) stopMember(m *simulatedMember) {
	m.up = false
	s.recordValuesLost(m)
}

func (s *simulation) recordValuesLost(m *simulatedMember) {
	for key := range m.history {
		s.recordValue(m, key, 0)
	}
}

func (s *simulation) recordValue(m *simulatedMember, key Key, value uint64) {
	m.history[key] = append(m.history[key], timedValue{s.now, value})
	m.heldValues[heldValue{m.Incarnation(), key, value}] = true
}

func (s *simulation) set(m *simulatedMember, key Key, value uint64) {
	if m.Set(key, value) {
		s.recordValue(m, key, value)
	}
}

// expectedSum returns the exact sum of a key over all members that are up.
func (s *simulation) expectedSum(key Key) (sum uint64) {
	for _, m := range s.members {
		if history := m.history[key]; len(history) > 0 {
			sum += history[len(history)-1].value
		}
	}
	return sum
}

// sumOfLargestSince returns the sum of the largest values that each member held of a key since a time.
func (s *simulation) sumOfLargestSince(key Key, since time.Duration) (sum uint64) {
	for _, m := range s.members {
		largest := uint64(0)
		history := m.history[key]
		for i := len(history) - 1; i >= 0; i-- {
			largest = max(largest, history[i].value)
			if history[i].at <= since {
				break
			}
		}
		sum += largest
	}
	return sum
}

// sumOfSmallestSince returns the sum of the smallest values that each member held of a key since a time. It leaves out
// members that were frozen or cut off for so long that no aggregator knew them at some time since then.
func (s *simulation) sumOfSmallestSince(key Key, since time.Duration) (sum uint64) {
	for _, m := range s.members {
		history := m.history[key]
		if len(history) == 0 || m.lastUnknownAt >= since {
			continue
		}
		smallest := history[len(history)-1].value
		for i := len(history) - 1; i >= 0; i-- {
			smallest = min(smallest, history[i].value)
			if history[i].at <= since {
				break
			}
		}
		sum += smallest
	}
	return sum
}

// isKnownToAnAggregator reports whether a running aggregator knows a member.
func (s *simulation) isKnownToAnAggregator(m *simulatedMember) bool {
	return slices.ContainsFunc(s.aggregators, func(a *simulatedAggregator) bool {
		return a.up && a.membership.members[m.config.ID] != nil
	})
}

// send puts a datagram on the network, unless it is lost.
func (s *simulation) send(from, to *simulatedNode, deliver func()) {
	s.sentDatagrams[from]++
	p := packet{from: from, to: to, deliver: deliver}
	if s.isPartitioned != nil && s.isPartitioned(from, to) || s.random.Float64() < s.faults.loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.faults.duplication {
		copies = 2
	}
	for range copies {
		p.deliverAt = s.now
		if s.faults.maxDelay > 0 {
			p.deliverAt += time.Duration(s.random.Int63n(int64(s.faults.maxDelay)))
		}
		s.packets = append(s.packets, p)
	}
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now += s.tick
	s.deliverDue()
	for _, m := range s.members {
		if !s.isKnownToAnAggregator(m) {
			m.lastUnknownAt = s.now
		}
	}
	for _, a := range s.aggregators {
		if a.up && !a.frozen {
			s.sendAggregator(a)
		}
	}
	for _, m := range s.members {
		if m.up && !m.frozen && s.isDue(s.reportInterval, m.reportOffset) {
			s.sendReport(m)
		}
	}
}

func (s *simulation) deliverDue() {
	due := s.packets
	s.packets = nil
	for _, p := range due {
		switch {
		case p.deliverAt > s.now:
			s.packets = append(s.packets, p)
		case !p.to.up:
		case p.to.frozen:
			if len(p.to.queued) < 100 {
				p.to.queued = append(p.to.queued, p)
			}
		default:
			p.deliver()
			s.recordForReplay(p)
		}
	}
}

// recordForReplay records one in 20 delivered datagrams for replays.
func (s *simulation) recordForReplay(p packet) {
	if s.recordsForReplay && s.random.Intn(20) == 0 {
		p.toStarts = p.to.starts
		s.recorded = append(s.recorded, p)
	}
}

// isDue reports whether a multiple of the interval, shifted by the offset, falls into the current tick.
func (s *simulation) isDue(interval, offset time.Duration) bool {
	return (s.now-offset)/interval != (s.now-s.tick-offset)/interval
}

func (s *simulation) sendAggregator(a *simulatedAggregator) {
	if s.isDue(s.exchangeInterval, 0) {
		sum := a.RegionSum(s.now)
		for _, peer := range s.aggregators {
			if peer != a {
				s.send(&a.simulatedNode, &peer.simulatedNode, func() { peer.ReceiveRegionSum(s.now, sum) })
			}
		}
	}
	isDigest, isHeartbeat := s.isDue(s.digestInterval, 0), s.isDue(s.heartbeatInterval, 0)
	var digest, heartbeat Digest
	if isDigest {
		digest = a.Digest(s.now)
	}
	if isHeartbeat {
		heartbeat = a.Heartbeat(s.now)
	}
	for _, m := range s.members {
		if isDigest && a.Subscribed(s.now, m.config.ID) {
			s.send(&a.simulatedNode, &m.simulatedNode, func() { m.ReceiveDigest(s.now, digest) })
		}
		if isHeartbeat && a.KnownMember(s.now, m.config.ID) {
			s.send(&a.simulatedNode, &m.simulatedNode, func() { m.ReceiveDigest(s.now, heartbeat) })
		}
	}
}

func (s *simulation) sendReport(m *simulatedMember) {
	report := m.Report(s.now)
	for _, a := range s.aggregators {
		if a.config.Region != m.config.Region {
			continue
		}
		s.send(&m.simulatedNode, &a.simulatedNode, func() {
			if _, refusal := a.ReceiveReport(s.now, report); refusal != nil {
				s.send(&a.simulatedNode, &m.simulatedNode, func() { m.ReceiveRefusal(s.now, *refusal) })
			}
		})
	}
}

// unfreeze resumes a frozen node, which first receives the datagrams queued for it.
func (s *simulation) unfreeze(n *simulatedNode) {
	n.frozen = false
	for _, p := range n.queued {
		p.deliver()
	}
	n.queued = nil
}

// run advances the simulation by a duration. It calls check after each step, if not nil.
func (s *simulation) run(duration time.Duration, check func()) {
	for end := s.now + duration; s.now < end; {
		s.step()
		if check != nil {
			check()
		}
	}
}

// checkNoDoubleCount fails the test if any figure exceeds, by more than its error, the sum of the members' largest
// values within its age, or if all members were heard and it is below the sum of their smallest values by more than its
// error. The margin allows for the network delay of up to three hops, which ages do not include.
func (s *simulation) checkNoDoubleCount(keys []Key) {
	s.t.Helper()
	margin := 3 * (s.faults.maxDelay + s.tick)
	check := func(name string, key Key, figure Figure) {
		highest := float64(s.sumOfLargestSince(key, s.now-figure.Age-margin)) + figure.Error
		if figure.Value > highest+1e-6 {
			s.t.Fatalf("%v: %s: figure %+v of key %v is above the bound %v", s.now, name, figure, key, highest)
		}
		lowest := float64(s.sumOfSmallestSince(key, s.now-figure.Age-margin)) - figure.Error
		if figure.Heard > 0.9999 && figure.Value < lowest-1e-6 {
			s.t.Fatalf("%v: %s: figure %+v of key %v is below the bound %v", s.now, name, figure, key, lowest)
		}
	}
	for _, key := range keys {
		for _, a := range s.aggregators {
			if a.up && !a.frozen {
				check(a.name, key, a.Figure(s.now, key))
			}
		}
		for _, m := range s.members {
			if m.up && !m.frozen {
				check(m.name, key, m.Figure(s.now, key))
			}
		}
	}
}

// checkTables fails the test if an aggregator holds a value of a member that the member's process never had.
func (s *simulation) checkTables(a *simulatedAggregator) {
	for _, m := range s.members {
		record := a.membership.members[m.config.ID]
		if record == nil {
			continue
		}
		for _, entry := range record.table.entries {
			key := a.dictionary.keys[entry.index]
			if entry.value != 0 && !m.heldValues[heldValue{record.incarnation, key, uint64(entry.value)}] {
				s.t.Fatalf("%v: %s holds %d of key %v from %s, which never had that value", s.now, a.name, entry.value, key, m.name)
			}
		}
	}
}

// isExact reports whether all figures of all nodes that are up are exact.
func (s *simulation) isExact(keys []Key) bool { return s.firstInexact(keys) == "" }

// firstInexact describes a figure that is not exact; "" if there is none.
func (s *simulation) firstInexact(keys []Key) string {
	for _, key := range keys {
		want := float64(s.expectedSum(key))
		for _, a := range s.aggregators {
			if f := a.Figure(s.now, key); a.up && (f.Value != want || f.Error != 0 || f.Heard < 0.9999) {
				return fmt.Sprintf("%s: figure %+v of key %v, want %v", a.name, f, key, want)
			}
		}
		for _, m := range s.members {
			if !m.up {
				continue
			}
			if f := m.Figure(s.now, key); f.Value != want || f.Error != 0 || f.Heard < 0.9999 {
				return fmt.Sprintf("%s: figure %+v of key %v, want %v", m.name, f, key, want)
			}
		}
	}
	return ""
}

// checkExact fails the test if a figure of a node that is up is not exact now.
func (s *simulation) checkExact(keys []Key) {
	s.t.Helper()
	if inexact := s.firstInexact(keys); inexact != "" {
		s.t.Fatalf("%v: %s", s.now, inexact)
	}
}

// checkExactByKey returns a check for run, which checks one key per step, round-robin, for exactness.
func (s *simulation) checkExactByKey(keys []Key) func() {
	steps := 0
	return func() {
		s.t.Helper()
		steps++
		s.checkExact(keys[steps%len(keys):][:1])
	}
}

// runUntilExact runs the simulation until all figures are exact and returns how long that took. It fails the test after
// the limit.
func (s *simulation) runUntilExact(limit time.Duration, keys []Key) time.Duration {
	s.t.Helper()
	start := s.now
	for !s.isExact(keys) {
		if s.now-start > limit {
			s.t.Fatalf("not exact within %v: %s", limit, s.firstInexact(keys))
		}
		s.step()
	}
	return s.now - start
}

func entry(kind Kind, id, value uint64) Entry { return Entry{Kind: kind, ID: id, Value: value} }

func testKeys(n int) (keys []Key) {
	for i := range n {
		keys = append(keys, Key{Kind(1 + i%3), uint64(i) * 1_000_003})
	}
	return keys
}

// setRandomValues sets random values of all keys on each member.
func (s *simulation) setRandomValues(keys []Key) {
	for _, m := range s.members {
		for _, key := range keys {
			s.set(m, key, uint64(1+s.random.Intn(100)))
		}
	}
}
