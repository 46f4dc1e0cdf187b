package aggregation

import (
	"container/list"
	"slices"
	"time"
)

// membership has the members of a region: those that count in full and those that fade, both in the order in which
// they were heard last, and the incarnations of those that were forgotten.
type membership struct {
	freshness  time.Duration
	decay      time.Duration
	max        int
	maxKeys    int
	dictionary *dictionary
	sums       regionSums
	members    map[MemberID]*memberRecord
	fresh      *list.List // of *memberRecord
	fading     *list.List
	forgotten  forgottenMembers
}

// memberRecord is what is known of a member.
type memberRecord struct {
	id          MemberID
	zone        string
	incarnation Incarnation
	subscribe   AggregatorID
	heardAt     time.Duration
	isFading    bool
	fadingEnd   int64 // tick at which a fading member's weight is 0
	element     *list.Element
	table       inbox[uint32]
}

func newMembership(config *AggregatorConfig, dictionary *dictionary) *membership {
	return &membership{
		freshness:  config.Freshness,
		decay:      config.Decay,
		max:        config.MaxMembers,
		maxKeys:    config.MaxMemberKeys,
		dictionary: dictionary,
		sums:       regionSums{decayTicks: ticks(config.Decay)},
		members:    map[MemberID]*memberRecord{},
		fresh:      list.New(),
		fading:     list.New(),
		forgotten:  newForgottenMembers(2 * config.MaxMembers),
	}
}

// advance fades and forgets the members that were not heard for long enough.
func (m *membership) advance(now time.Duration) {
	for first := m.fresh.Front(); first != nil; first = m.fresh.Front() {
		record := first.Value.(*memberRecord)
		if now-record.heardAt <= m.freshness {
			break
		}
		m.fade(record)
	}
	for first := m.fading.Front(); first != nil; first = m.fading.Front() {
		record := first.Value.(*memberRecord)
		if ticks(now) < record.fadingEnd {
			break
		}
		m.forget(record)
	}
}

// fade makes a member count less and less.
func (m *membership) fade(record *memberRecord) {
	record.isFading = true
	record.fadingEnd = ticks(record.heardAt+m.freshness) + m.sums.decayTicks
	for _, entry := range record.table.entries {
		m.sums.changeFresh(entry.index, uint64(entry.value), 0)
		m.sums.changeFading(entry.index, 0, uint64(entry.value), record.fadingEnd)
	}
	m.fresh.Remove(record.element)
	record.element = m.fading.PushBack(record)
}

// refresh makes a member count in full that was heard at a time that is not before any other's.
func (m *membership) refresh(record *memberRecord, heardAt time.Duration) {
	record.heardAt = max(record.heardAt, heardAt)
	if !record.isFading {
		m.fresh.MoveToBack(record.element)
		return
	}
	for _, entry := range record.table.entries {
		m.sums.changeFading(entry.index, uint64(entry.value), 0, record.fadingEnd)
		m.sums.changeFresh(entry.index, 0, uint64(entry.value))
	}
	record.isFading = false
	m.fading.Remove(record.element)
	record.element = m.fresh.PushBack(record)
}

func (m *membership) forget(record *memberRecord) {
	m.forgotten.add(record.id, lastReport{record.incarnation, record.table.highest})
	record.table.clear()
	m.fading.Remove(record.element)
	delete(m.members, record.id)
}

// find returns the record of the member that sent a report, and makes one if there is room and the report is later than
// what is remembered.
func (m *membership) find(report *Report, heardAt time.Duration) (*memberRecord, Outcome) {
	if record := m.members[report.Member]; record != nil {
		return record, Accepted
	}
	if last, known := m.forgotten.find(report.Member); known {
		switch {
		case report.Incarnation < last.incarnation:
			return nil, Refused
		case report.Incarnation == last.incarnation && report.Number <= uint64(last.number):
			return nil, Duplicate
		}
	}
	if len(m.members) >= m.max {
		return nil, NoRoom
	}
	m.forgotten.remove(report.Member)
	return m.add(report, heardAt), Accepted
}

func (m *membership) add(report *Report, heardAt time.Duration) *memberRecord {
	record := &memberRecord{id: report.Member, incarnation: report.Incarnation, heardAt: heardAt}
	record.table = inbox[uint32]{dictionary: m.dictionary, max: m.maxKeys}
	record.table.changed = func(index uint32, before, after uint32) {
		if record.isFading {
			m.sums.changeFading(index, uint64(before), uint64(after), record.fadingEnd)
		} else {
			m.sums.changeFresh(index, uint64(before), uint64(after))
		}
	}
	m.members[report.Member] = record
	record.element = m.fresh.PushBack(record)
	return record
}

// receive takes a report. It returns the incarnation that is known of the member if the report's is refused.
func (m *membership) receive(report *Report, heardAt time.Duration) (outcome Outcome, dropped int, known Incarnation) {
	record, outcome := m.find(report, heardAt)
	if record == nil {
		last, _ := m.forgotten.find(report.Member)
		return outcome, 0, last.incarnation
	}
	if report.Incarnation < record.incarnation {
		return Refused, 0, record.incarnation
	}
	if report.Incarnation > record.incarnation {
		record.table.clear()
		record.incarnation = report.Incarnation
	}
	if report.Number > uint64(record.table.highest) {
		m.refresh(record, heardAt)
		record.zone, record.subscribe = report.Zone, report.Subscribe
	}
	outcome, dropped = record.table.receive(header{
		number:  uint32(report.Number),
		since:   uint32(report.Since),
		keys:    report.Keys,
		quality: quality{asOf: heardAt, bound: report.Slack, heard: 1},
	}, report.Entries)
	return outcome, dropped, 0
}

// regionSummary is what the members' reports say together.
type regionSummary struct {
	members uint32
	heard   float64 // members, each by the share of its keys
	asOf    time.Duration
	slack   uint64
	fading  uint64
}

// share returns the share of the known members that was heard.
func (s regionSummary) share() float64 {
	if s.members == 0 {
		return 0
	}
	return min(1, s.heard/float64(s.members))
}

func (m *membership) summary(now time.Duration) regionSummary {
	summary := regionSummary{members: uint32(len(m.members)), asOf: now}
	for element := m.fresh.Front(); element != nil; element = element.Next() {
		record := element.Value.(*memberRecord)
		summary.add(record)
		summary.heard += record.table.complete()
	}
	for element := m.fading.Front(); element != nil; element = element.Next() {
		summary.add(element.Value.(*memberRecord))
	}
	if m.fading.Len() > 0 {
		summary.fading = m.sums.largestFading()
	}
	return summary
}

func (s *regionSummary) add(record *memberRecord) {
	worst := record.table.worst()
	s.asOf = min(s.asOf, worst.asOf)
	s.slack += worst.bound
}

// dropZeros makes room in the dictionary.
func (m *membership) dropZeros() {
	for _, members := range []*list.List{m.fresh, m.fading} {
		for element := members.Front(); element != nil; element = element.Next() {
			element.Value.(*memberRecord).table.dropZeros()
		}
	}
}

func (m *membership) statuses(now time.Duration, aggregator AggregatorID) []MemberStatus {
	statuses := make([]MemberStatus, 0, len(m.members))
	for _, members := range []*list.List{m.fresh, m.fading} {
		for element := members.Front(); element != nil; element = element.Next() {
			statuses = append(statuses, m.status(element.Value.(*memberRecord), now, aggregator))
		}
	}
	slices.SortFunc(statuses, func(a, b MemberStatus) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return statuses
}

func (m *membership) status(record *memberRecord, now time.Duration, aggregator AggregatorID) MemberStatus {
	age := now - record.heardAt
	return MemberStatus{
		ID:          record.id,
		Zone:        record.zone,
		Incarnation: record.incarnation,
		Number:      uint64(record.table.highest),
		Age:         age,
		Weight:      weight(age, m.freshness, m.decay),
		Keys:        record.table.nonzero,
		KeysSent:    record.table.keys,
		Slack:       record.table.quality.bound,
		Subscribed:  record.subscribe == aggregator,
	}
}
