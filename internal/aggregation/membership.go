package aggregation

import (
	"container/list"
	"slices"
	"time"
)

// membership holds the members of a region: the fresh ones, which count in full, and the fading ones, whose weight is
// falling. Both lists are ordered by the time of the latest report, oldest first. It also remembers the latest reports
// of members that were removed.
type membership struct {
	freshness     time.Duration
	decay         time.Duration
	maxMembers    int
	maxMemberKeys int // limit on the keys of each member
	dictionary    *dictionary
	sums          regionSums
	members       map[MemberID]*memberRecord
	fresh         *list.List // of *memberRecord
	fading        *list.List // of *memberRecord
	forgotten     forgottenMembers
}

// memberRecord is the state kept for one member.
type memberRecord struct {
	id            MemberID
	zone          string
	incarnation   Incarnation
	subscribedTo  AggregatorID
	heardAt       time.Duration // receipt of the report with the largest number
	isFading      bool
	fadingEndTick int64         // time, in ticks of decayTick, at which a fading member's weight reaches 0
	element       *list.Element // in membership.fresh or membership.fading
	table         receiveTable[uint32]
}

func newMembership(config *AggregatorConfig, dictionary *dictionary) *membership {
	return &membership{
		freshness:     config.Freshness,
		decay:         config.Decay,
		maxMembers:    config.MaxMembers,
		maxMemberKeys: config.MaxMemberKeys,
		dictionary:    dictionary,
		sums:          regionSums{decayTicks: toTicks(config.Decay)},
		members:       map[MemberID]*memberRecord{},
		fresh:         list.New(),
		fading:        list.New(),
		forgotten:     newForgottenMembers(2 * config.MaxMembers),
	}
}

// advance starts fading the members not heard for longer than the freshness, and removes those whose decay is over.
func (m *membership) advance(now time.Duration) {
	for first := m.fresh.Front(); first != nil; first = m.fresh.Front() {
		record := first.Value.(*memberRecord)
		if now-record.heardAt <= m.freshness {
			break
		}
		m.startFading(record)
	}
	for first := m.fading.Front(); first != nil; first = m.fading.Front() {
		record := first.Value.(*memberRecord)
		if toTicks(now) < record.fadingEndTick {
			break
		}
		m.forget(record)
	}
}

// startFading moves a member's values from the fresh to the fading sums.
func (m *membership) startFading(record *memberRecord) {
	record.isFading = true
	record.fadingEndTick = toTicks(record.heardAt+m.freshness) + m.sums.decayTicks
	for _, entry := range record.table.entries {
		m.sums.changeFresh(entry.index, uint64(entry.value), 0)
		m.sums.changeFading(entry.index, 0, uint64(entry.value), record.fadingEndTick)
	}
	m.fresh.Remove(record.element)
	record.element = m.fading.PushBack(record)
}

// markHeard records a report of a member and makes it count in full again if it was fading. heardAt must not be
// earlier than that of any other member, so that the list stays ordered.
func (m *membership) markHeard(record *memberRecord, heardAt time.Duration) {
	record.heardAt = max(record.heardAt, heardAt)
	if !record.isFading {
		m.fresh.MoveToBack(record.element)
		return
	}
	for _, entry := range record.table.entries {
		m.sums.changeFading(entry.index, uint64(entry.value), 0, record.fadingEndTick)
		m.sums.changeFresh(entry.index, 0, uint64(entry.value))
	}
	record.isFading = false
	m.fading.Remove(record.element)
	record.element = m.fresh.PushBack(record)
}

// forget removes a member whose weight reached 0, and remembers its latest report.
func (m *membership) forget(record *memberRecord) {
	m.forgotten.add(record.id, lastReport{record.incarnation, record.table.latestNumber})
	record.table.clear()
	m.fading.Remove(record.element)
	delete(m.members, record.id)
}

// findOrAdd returns the record of the member that sent a report. It adds one if there is room and if the report is
// later than the latest one remembered of a removed member; otherwise the record is nil and the outcome says why.
func (m *membership) findOrAdd(report *Report, heardAt time.Duration) (*memberRecord, Outcome) {
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
	if len(m.members) >= m.maxMembers {
		return nil, NoRoom
	}
	m.forgotten.remove(report.Member)
	return m.add(report, heardAt), Accepted
}

func (m *membership) add(report *Report, heardAt time.Duration) *memberRecord {
	record := &memberRecord{id: report.Member, incarnation: report.Incarnation, heardAt: heardAt}
	record.table = receiveTable[uint32]{dictionary: m.dictionary, maxKeys: m.maxMemberKeys}
	record.table.onChange = func(index uint32, before, after uint32) {
		if record.isFading {
			m.sums.changeFading(index, uint64(before), uint64(after), record.fadingEndTick)
		} else {
			m.sums.changeFresh(index, uint64(before), uint64(after))
		}
	}
	m.members[report.Member] = record
	record.element = m.fresh.PushBack(record)
	return record
}

// receive processes a report. It also returns how many entries were dropped for lack of room and, if the report is
// refused, the incarnation known of the member.
func (m *membership) receive(report *Report, heardAt time.Duration) (outcome Outcome, dropped int, knownIncarnation Incarnation) {
	record, outcome := m.findOrAdd(report, heardAt)
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
	if report.Number > uint64(record.table.latestNumber) {
		m.markHeard(record, heardAt)
		record.zone, record.subscribedTo = report.Zone, report.Subscribe
	}
	outcome, dropped = record.table.receive(tableHeader{
		number:      uint32(report.Number),
		since:       uint32(report.Since),
		nonzeroKeys: report.Keys,
		quality:     quality{asOf: heardAt, errorBound: report.Slack, heardShare: 1},
	}, report.Entries)
	return outcome, dropped, 0
}

// regionSummary combines the headers of all members' reports.
type regionSummary struct {
	members      uint32        // known members
	heardMembers float64       // fresh members, each counted as the share of its keys that were received
	asOf         time.Duration // time of the oldest values
	slack        uint64        // sum of the error bounds of the members' tables
	fading       uint64        // largest fadingValue of any key
}

// heardShare returns the share of the known members that were heard, 0 to 1.
func (s regionSummary) heardShare() float64 {
	if s.members == 0 {
		return 0
	}
	return min(1, s.heardMembers/float64(s.members))
}

// summary combines the members' headers. Fading members count in the age and the slack, but not as heard.
func (m *membership) summary(now time.Duration) regionSummary {
	summary := regionSummary{members: uint32(len(m.members)), asOf: now}
	for element := m.fresh.Front(); element != nil; element = element.Next() {
		record := element.Value.(*memberRecord)
		summary.addRecord(record)
		summary.heardMembers += record.table.receivedShare()
	}
	for element := m.fading.Front(); element != nil; element = element.Next() {
		summary.addRecord(element.Value.(*memberRecord))
	}
	if m.fading.Len() > 0 {
		summary.fading = m.sums.largestFadingValue()
	}
	return summary
}

func (s *regionSummary) addRecord(record *memberRecord) {
	worst := record.table.worstQuality()
	s.asOf = min(s.asOf, worst.asOf)
	s.slack += worst.errorBound
}

// dropZeros drops the keys with value 0 from all members' tables, to make room in the dictionary.
func (m *membership) dropZeros() {
	for _, members := range []*list.List{m.fresh, m.fading} {
		for element := members.Front(); element != nil; element = element.Next() {
			element.Value.(*memberRecord).table.dropZeros()
		}
	}
}

// statuses returns the status of all members, sorted by ID.
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
		Number:      uint64(record.table.latestNumber),
		Age:         age,
		Weight:      ageWeight(age, m.freshness, m.decay),
		Keys:        record.table.nonzeroCount,
		KeysSent:    record.table.senderKeys,
		Slack:       record.table.quality.errorBound,
		Subscribed:  record.subscribedTo == aggregator,
	}
}
