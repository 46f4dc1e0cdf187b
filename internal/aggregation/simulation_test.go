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

// simulation drives a fleet by a clock of its own, over a network that loses, doubles and delays.
type simulation struct {
	t           testing.TB
	random      *rand.Rand
	now         time.Duration
	tick        time.Duration
	report      time.Duration
	exchange    time.Duration
	digest      time.Duration
	heartbeat   time.Duration
	aggregators []*simulatedAggregator
	members     []*simulatedMember
	packets     []packet
	faults      faults
	isCut       func(from, to *simulatedNode) bool // may be nil
	sent        map[*simulatedNode]int             // datagrams
	replayable  []packet                           // datagrams of before
	keepsOld    bool
}

// faults of the network while they last.
type faults struct {
	loss, doubling float64
	delay          time.Duration // at most
}

type simulatedNode struct {
	name    string
	region  string
	zone    string
	up      bool
	frozen  bool
	starts  int
	waiting []packet // that came while it was frozen
}

type simulatedAggregator struct {
	simulatedNode
	*Aggregator
	config AggregatorConfig
}

type simulatedMember struct {
	simulatedNode
	*Member
	config  MemberConfig
	offset  time.Duration
	history map[Key][]change
	had     map[past]bool

	unknownAt time.Duration // the last time at which no aggregator knew it
}

// past is a value that a process of a member had.
type past struct {
	incarnation Incarnation
	key         Key
	value       uint64
}

// change is a value from a time on.
type change struct {
	at    time.Duration
	value uint64
}

type packet struct {
	at       time.Duration
	from, to *simulatedNode
	toStart  int // which start of the receiver took it
	deliver  func()
}

// layout says how many of what a simulation has.
type layout struct {
	regions, zones, membersInZone int
	maxKeys                       int
}

func newSimulation(t testing.TB, seed int64, l layout) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewSource(seed)),
		now: time.Hour, tick: 20 * time.Millisecond,
		report: 400 * time.Millisecond, exchange: 100 * time.Millisecond,
		digest: 180 * time.Millisecond, heartbeat: time.Second,
		sent: map[*simulatedNode]int{},
	}
	if l.maxKeys == 0 {
		l.maxKeys = 1000
	}
	var all []Peer
	for i := range 2 * l.regions {
		all = append(all, Peer{AggregatorID(i + 1), fmt.Sprint("region", i/2)})
	}
	for _, self := range all {
		config := AggregatorConfig{
			ID: self.ID, Region: self.Region, Incarnation: 1, MaxMembers: 1000, MaxKeys: l.maxKeys,
			MaxMemberKeys: l.maxKeys, ChangeShare: 0.1, Freshness: testFreshness, Decay: testDecay,
			Peers: slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p.ID == self.ID }),
		}
		node := simulatedNode{name: fmt.Sprint("aggregator", self.ID), region: self.Region}
		a := &simulatedAggregator{simulatedNode: node, config: config}
		s.aggregators = append(s.aggregators, a)
		s.startAggregator(a)
	}
	for region := range l.regions {
		for zone := range l.zones {
			for range l.membersInZone {
				s.addMember(fmt.Sprint("region", region), fmt.Sprint("zone", zone), l.maxKeys)
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
		config:        config, history: map[Key][]change{}, had: map[past]bool{},
		offset: time.Duration(s.random.Int63n(int64(s.report))),
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
	a.up, a.frozen, a.waiting = true, false, nil
}

// startMember starts a process that holds nothing.
func (s *simulation) startMember(m *simulatedMember) {
	var err error
	m.config.Incarnation++
	if m.Member, err = NewMember(s.now, m.config); err != nil {
		s.t.Fatal(err)
	}
	m.starts++
	m.up, m.frozen, m.waiting = true, false, nil
	s.loseValues(m)
}

func (s *simulation) stopMember(m *simulatedMember) {
	m.up = false
	s.loseValues(m)
}

func (s *simulation) loseValues(m *simulatedMember) {
	for key := range m.history {
		s.note(m, key, 0)
	}
}

func (s *simulation) note(m *simulatedMember, key Key, value uint64) {
	m.history[key] = append(m.history[key], change{s.now, value})
	m.had[past{m.Incarnation(), key, value}] = true
}

func (s *simulation) set(m *simulatedMember, key Key, value uint64) {
	if m.Set(key, value) {
		s.note(m, key, value)
	}
}

// truth is what all members that are up hold of a key.
func (s *simulation) truth(key Key) (sum uint64) {
	for _, m := range s.members {
		if h := m.history[key]; len(h) > 0 {
			sum += h[len(h)-1].value
		}
	}
	return sum
}

// largestSince adds up the largest value that each member had of a key since a time.
func (s *simulation) largestSince(key Key, since time.Duration) (sum uint64) {
	for _, m := range s.members {
		largest := uint64(0)
		h := m.history[key]
		for i := len(h) - 1; i >= 0; i-- {
			largest = max(largest, h[i].value)
			if h[i].at <= since {
				break
			}
		}
		sum += largest
	}
	return sum
}

// smallestSince adds up the smallest value that each member had of a key since a time. A member that was frozen or cut
// off for so long that all had forgotten it was not among the known ones.
func (s *simulation) smallestSince(key Key, since time.Duration) (sum uint64) {
	for _, m := range s.members {
		h := m.history[key]
		if len(h) == 0 || m.unknownAt >= since {
			continue
		}
		smallest := h[len(h)-1].value
		for i := len(h) - 1; i >= 0; i-- {
			smallest = min(smallest, h[i].value)
			if h[i].at <= since {
				break
			}
		}
		sum += smallest
	}
	return sum
}

// isKnown tells whether some aggregator knows a member.
func (s *simulation) isKnown(m *simulatedMember) bool {
	return slices.ContainsFunc(s.aggregators, func(a *simulatedAggregator) bool {
		return a.up && a.membership.members[m.config.ID] != nil
	})
}

// send puts a datagram on its way.
func (s *simulation) send(from, to *simulatedNode, deliver func()) {
	s.sent[from]++
	p := packet{from: from, to: to, deliver: deliver}
	if s.isCut != nil && s.isCut(from, to) || s.random.Float64() < s.faults.loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.faults.doubling {
		copies = 2
	}
	for range copies {
		p.at = s.now
		if s.faults.delay > 0 {
			p.at += time.Duration(s.random.Int63n(int64(s.faults.delay)))
		}
		s.packets = append(s.packets, p)
	}
}

// step goes on by one tick.
func (s *simulation) step() {
	s.now += s.tick
	s.deliverDue()
	for _, m := range s.members {
		if !s.isKnown(m) {
			m.unknownAt = s.now
		}
	}
	for _, a := range s.aggregators {
		if a.up && !a.frozen {
			s.sendAggregator(a)
		}
	}
	for _, m := range s.members {
		if m.up && !m.frozen && s.due(s.report, m.offset) {
			s.sendReport(m)
		}
	}
}

func (s *simulation) deliverDue() {
	due := s.packets
	s.packets = nil
	for _, p := range due {
		switch {
		case p.at > s.now:
			s.packets = append(s.packets, p)
		case !p.to.up:
		case p.to.frozen:
			if len(p.to.waiting) < 100 {
				p.to.waiting = append(p.to.waiting, p)
			}
		default:
			p.deliver()
			s.keep(p)
		}
	}
}

// keep keeps some of the delivered datagrams for a replay.
func (s *simulation) keep(p packet) {
	if s.keepsOld && s.random.Intn(20) == 0 {
		p.toStart = p.to.starts
		s.replayable = append(s.replayable, p)
	}
}

// due tells whether a tick has a multiple of the interval in it.
func (s *simulation) due(interval, offset time.Duration) bool {
	return (s.now-offset)/interval != (s.now-s.tick-offset)/interval
}

func (s *simulation) sendAggregator(a *simulatedAggregator) {
	if s.due(s.exchange, 0) {
		sum := a.RegionSum(s.now)
		for _, peer := range s.aggregators {
			if peer != a {
				s.send(&a.simulatedNode, &peer.simulatedNode, func() { peer.ReceiveRegionSum(s.now, sum) })
			}
		}
	}
	isDigest, isHeartbeat := s.due(s.digest, 0), s.due(s.heartbeat, 0)
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

// thaw lets a frozen node go on with what waited for it.
func (s *simulation) thaw(n *simulatedNode) {
	n.frozen = false
	for _, p := range n.waiting {
		p.deliver()
	}
	n.waiting = nil
}

// run goes on for a span. After each step it calls check, which may be nil.
func (s *simulation) run(span time.Duration, check func()) {
	for end := s.now + span; s.now < end; {
		s.step()
		if check != nil {
			check()
		}
	}
}

// checkNoDoubleCount fails the test if any figure is above what members have held since its age and its error, or below
// it though all were heard. Datagrams of up to three hops may have been on their way for the delay each, which ages do
// not count.
func (s *simulation) checkNoDoubleCount(keys []Key) {
	s.t.Helper()
	margin := 3 * (s.faults.delay + s.tick)
	check := func(name string, key Key, f Figure) {
		bound := float64(s.largestSince(key, s.now-f.Age-margin)) + f.Error
		if f.Value > bound+1e-6 {
			s.t.Fatalf("%v: %s has %+v of %v, above %v", s.now, name, f, key, bound)
		}
		least := float64(s.smallestSince(key, s.now-f.Age-margin)) - f.Error
		if f.Heard > 0.9999 && f.Value < least-1e-6 {
			s.t.Fatalf("%v: %s has %+v of %v, below %v", s.now, name, f, key, least)
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

// checkTables fails the test if an aggregator has of a member what that process of it never had.
func (s *simulation) checkTables(a *simulatedAggregator) {
	for _, m := range s.members {
		record := a.membership.members[m.config.ID]
		if record == nil {
			continue
		}
		for _, entry := range record.table.entries {
			key := a.dictionary.keys[entry.index]
			if entry.value != 0 && !m.had[past{record.incarnation, key, uint64(entry.value)}] {
				s.t.Fatalf("%v: %s has %d of %v by %s, which that never had", s.now, a.name, entry.value, key, m.name)
			}
		}
	}
}

// exact tells whether all figures of all nodes that are up are the truth.
func (s *simulation) exact(keys []Key) bool { return s.inexact(keys) == "" }

// inexact names a figure that is not the truth.
func (s *simulation) inexact(keys []Key) string {
	for _, key := range keys {
		truth := float64(s.truth(key))
		for _, a := range s.aggregators {
			if f := a.Figure(s.now, key); a.up && (f.Value != truth || f.Error != 0 || f.Heard < 0.9999) {
				return fmt.Sprintf("%s has %+v of %v, not %v", a.name, f, key, truth)
			}
		}
		for _, m := range s.members {
			if !m.up {
				continue
			}
			if f := m.Figure(s.now, key); f.Value != truth || f.Error != 0 || f.Heard < 0.9999 {
				return fmt.Sprintf("%s has %+v of %v, not %v", m.name, f, key, truth)
			}
		}
	}
	return ""
}

// checkExact fails the test if a figure of a node that is up is not the truth at this moment.
func (s *simulation) checkExact(keys []Key) {
	s.t.Helper()
	if inexact := s.inexact(keys); inexact != "" {
		s.t.Fatalf("%v: %s", s.now, inexact)
	}
}

// staysExact returns a check for run: each step has one of the keys in turn.
func (s *simulation) staysExact(keys []Key) func() {
	steps := 0
	return func() {
		s.t.Helper()
		steps++
		s.checkExact(keys[steps%len(keys):][:1])
	}
}

// settle goes on until all figures are exact, and fails the test if they are not within a span.
func (s *simulation) settle(within time.Duration, keys []Key) time.Duration {
	s.t.Helper()
	start := s.now
	for !s.exact(keys) {
		if s.now-start > within {
			s.t.Fatalf("not exact within %v: %s", within, s.inexact(keys))
		}
		s.step()
	}
	return s.now - start
}

func entry(kind Kind, id, value uint64) Entry { return Entry{Kind: kind, ID: id, Value: value} }

func someKeys(n int) (keys []Key) {
	for i := range n {
		keys = append(keys, Key{Kind(1 + i%3), uint64(i) * 1_000_003})
	}
	return keys
}

// fill gives each member values of all keys.
func (s *simulation) fill(keys []Key) {
	for _, m := range s.members {
		for _, key := range keys {
			s.set(m, key, uint64(1+s.random.Intn(100)))
		}
	}
}
