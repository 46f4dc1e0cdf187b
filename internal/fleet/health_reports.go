package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// ServerID is a server's ID in the list of servers.
type ServerID uint64

// Condition is the state of a server that a member reports.
type Condition uint8

const (
	Slow Condition = iota + 1
	Failing
	Full
	Redirecting // it sends clients to other servers
	Draining    // once reported, it holds until the server starts again
)

// StartTime distinguishes the starts of a server. It is the start time in the list, in any unit; later starts have
// larger values.
type StartTime int64

// HealthReport is one member's report on one start of a server.
type HealthReport struct {
	Server      ServerID
	Start       StartTime
	Condition   Condition
	Reporter    MemberID
	Incarnation Incarnation   // of the reporter
	Sessions    uint32        // number of sessions on which the condition was observed
	Sequence    uint64        // of the process's reports; one replaces all before it on the same server and condition
	Age         time.Duration // since the observation
	Withdrawn   bool          // the reporter no longer observes the condition
}

// Assessment combines the reports of all members on one condition of a server.
type Assessment struct {
	Confidence float64       // 0 to 1; 1 once enough members report the condition
	Reporters  int           // number of members whose report counts in full or in part
	Age        time.Duration // of the latest report; the lifetime of reports if none counts, 0 for a drain
}

// HealthReports collects the reports of all members. No single member can close a server for the whole fleet: one
// report counts in part, the more the fewer members hold sessions at the server, and its weight falls with its age.
type HealthReports struct {
	self             MemberID
	memberCount      int
	incarnation      Incarnation
	lifetime         time.Duration // the age at which a report no longer counts
	quorumShare      float64       // of the members with sessions at a server, for full confidence
	maxReports       int
	lastSequence     uint64           // of this process's own reports
	reports          []storedReport   // all but drains, sorted by server, condition and reporter
	drains           []storedReport   // the first one on each draining server
	servers          []serverStart    // the listed servers, sorted by ID
	senders          []sequenceWindow // by MemberID
	retransmitCursor int              // index of the latest report that Retransmit returned, in reports followed by drains
}

// sequenceWindow rejects replayed reports of one member: those with a sequence number that is too old to count,
// whatever age the message states.
type sequenceWindow struct {
	incarnation       Incarnation
	expired           uint64 // reports up to this number arrived over a lifetime ago, or were sent before one that did
	previous, highest uint64 // the highest sequence number received up to rotatedAt, and up to now
	rotatedAt         time.Duration
}

// storedReport is a report with the time of its observation, so that its age need not be updated.
type storedReport struct {
	HealthReport
	observedAt time.Duration // by this process's clock
}

// serverStart is the latest start of a listed server.
type serverStart struct {
	id    ServerID
	start StartTime
}

// NewHealthReports returns an empty collection for one process. The weight of a report falls linearly to 0 over
// lifetime. Confidence is full once the share quorumShare (over 0, up to 1) of the members that hold sessions at a
// server report the condition, and at least two members unless the fleet has only one. At most maxReports are stored:
// further ones are dropped until others have expired. An invalid argument is an error.
func NewHealthReports(self MemberID, memberCount int, incarnation Incarnation, lifetime time.Duration,
	quorumShare float64, maxReports int) (*HealthReports, error) {
	switch {
	case memberCount < 1 || self < 0 || int(self) >= memberCount:
		return nil, fmt.Errorf("member %d of %d", self, memberCount)
	case lifetime <= 0 || !(quorumShare > 0 && quorumShare <= 1) || maxReports < 1:
		return nil, fmt.Errorf("lifetime %v, quorum share %v, at most %d reports", lifetime, quorumShare, maxReports)
	}
	h := &HealthReports{self: self, memberCount: memberCount, incarnation: incarnation, lifetime: lifetime,
		quorumShare: quorumShare, maxReports: maxReports, senders: make([]sequenceWindow, memberCount)}
	return h, nil
}

// SetServerStart records the start of a server as the list has it. A later start discards all reports on earlier ones.
func (h *HealthReports) SetServerStart(server ServerID, start StartTime) {
	index, known := h.findServer(server)
	switch {
	case !known:
		h.servers = slices.Insert(h.servers, index, serverStart{id: server, start: start})
	case start > h.servers[index].start:
		h.servers[index] = serverStart{id: server, start: start}
	default:
		return
	}
	h.removeReports(func(r storedReport) bool { return r.Server == server && r.Start < start })
}

// RemoveServer discards all state of a server that is no longer in the list.
func (h *HealthReports) RemoveServer(server ServerID) {
	if index, known := h.findServer(server); known {
		h.servers = slices.Delete(h.servers, index, index+1)
	}
	h.removeReports(func(r storedReport) bool { return r.Server == server })
}

// removeReports removes the reports, drains among them, for which isRemoved is true.
func (h *HealthReports) removeReports(isRemoved func(storedReport) bool) {
	h.reports = slices.DeleteFunc(h.reports, isRemoved)
	h.drains = slices.DeleteFunc(h.drains, isRemoved)
}

// Observe stores what this process itself observed, or withdraws it, and returns the report to send to other members.
// ok is false if the server is not listed or the report is not stored.
func (h *HealthReports) Observe(now time.Duration, server ServerID, condition Condition, sessions uint32,
	withdrawn bool) (report HealthReport, ok bool) {
	index, known := h.findServer(server)
	if !known || condition < Slow || condition > Draining {
		return HealthReport{}, false
	}
	h.lastSequence++
	report = HealthReport{Server: server, Start: h.servers[index].start, Condition: condition, Reporter: h.self,
		Incarnation: h.incarnation, Sessions: sessions, Sequence: h.lastSequence, Withdrawn: withdrawn && condition != Draining}
	if condition == Draining {
		return report, h.storeDrain(now, report)
	}
	return report, h.store(now, report)
}

// Receive handles another member's report, which came from that member or was passed on by a third. It returns whether
// the report was new. A report on a start that the list does not have yet is ignored; it is stored when it arrives again
// after the list has the start.
func (h *HealthReports) Receive(now time.Duration, report HealthReport) (isNew bool) {
	if report.Reporter < 0 || int(report.Reporter) >= h.memberCount || report.Age < 0 ||
		report.Condition < Slow || report.Condition > Draining {
		return false
	}
	index, known := h.findServer(report.Server)
	if !known || report.Start != h.servers[index].start {
		return false
	}
	sender := &h.senders[report.Reporter]
	if report.Reporter == h.self || report.Incarnation < sender.incarnation { // of a previous process; only a drain still holds
		return report.Condition == Draining && h.storeDrain(now, report)
	}
	if report.Incarnation > sender.incarnation { // the reports of the previous process no longer count, except drains
		*sender = sequenceWindow{incarnation: report.Incarnation, rotatedAt: now}
		h.reports = slices.DeleteFunc(h.reports, func(r storedReport) bool {
			return r.Reporter == report.Reporter && r.Incarnation < report.Incarnation
		})
	}
	if now-sender.rotatedAt >= h.lifetime {
		sender.expired, sender.previous, sender.rotatedAt = sender.previous, sender.highest, now
	}
	sender.highest = max(sender.highest, report.Sequence)
	if report.Condition == Draining {
		return h.storeDrain(now, report)
	}
	return report.Sequence > sender.expired && h.store(now, report)
}

// storeDrain adds the first drain report on a listed server. It returns false if there is one already.
func (h *HealthReports) storeDrain(now time.Duration, report HealthReport) bool {
	if h.isDraining(report.Server) {
		return false
	}
	h.drains = append(h.drains, storedReport{report, now - report.Age})
	return true
}

// isDraining reports whether a drain of the server's latest start was reported.
func (h *HealthReports) isDraining(server ServerID) bool {
	return slices.ContainsFunc(h.drains, func(r storedReport) bool { return r.Server == server })
}

// store adds a report on a listed server, or replaces an older one of the same reporter. It returns false if the
// report is not new, has expired, or does not fit. Drains are stored by storeDrain.
func (h *HealthReports) store(now time.Duration, report HealthReport) bool {
	if report.Age >= h.lifetime {
		return false
	}
	index, known := slices.BinarySearchFunc(h.reports, report, func(stored storedReport, report HealthReport) int {
		return cmp.Or(cmp.Compare(stored.Server, report.Server), cmp.Compare(stored.Condition, report.Condition),
			cmp.Compare(stored.Reporter, report.Reporter))
	})
	switch {
	case known && report.Sequence <= h.reports[index].Sequence:
		return false
	case known:
		h.reports[index] = storedReport{report, now - report.Age}
		return true
	case len(h.reports) >= h.maxReports:
		if h.removeExpired(now); len(h.reports) >= h.maxReports {
			return false
		}
		return h.store(now, report)
	}
	h.reports = slices.Insert(h.reports, index, storedReport{report, now - report.Age})
	return true
}

// Assess combines the reports on a condition of a server. holders is how many members have sessions there, as far as
// is known. This process's own report counts like any other; the caller may weigh its own observations separately.
func (h *HealthReports) Assess(now time.Duration, server ServerID, condition Condition, holders int) (a Assessment) {
	if condition == Draining && h.isDraining(server) {
		return Assessment{Confidence: 1}
	}
	needed := max(h.quorumShare*float64(holders), 2)
	if h.memberCount == 1 {
		needed = 1
	}
	a.Age = h.lifetime
	for i := range h.reports {
		r := &h.reports[i]
		if age := now - r.observedAt; r.Server == server && r.Condition == condition && !r.Withdrawn && age < h.lifetime {
			a.Reporters++
			a.Confidence += (1 - float64(age)/float64(h.lifetime)) / needed
			a.Age = min(a.Age, age)
		}
	}
	a.Confidence = min(a.Confidence, 1)
	return a
}

// Retransmit returns up to count stored reports, own and others', each with its age, for sending again, as any message
// may be lost. Successive calls go round all stored reports, drains among them.
func (h *HealthReports) Retransmit(now time.Duration, count int) (reports []HealthReport) {
	h.removeExpired(now)
	total := len(h.reports) + len(h.drains)
	for range min(count, total) {
		h.retransmitCursor = (h.retransmitCursor + 1) % total
		stored := h.storedAt(h.retransmitCursor)
		report := stored.HealthReport
		report.Age = now - stored.observedAt
		reports = append(reports, report)
	}
	return reports
}

// storedAt returns the report at an index in reports followed by drains.
func (h *HealthReports) storedAt(index int) storedReport {
	if index < len(h.reports) {
		return h.reports[index]
	}
	return h.drains[index-len(h.reports)]
}

// removeExpired removes the reports that no longer count. A withdrawn report is stored as long as others, so that an
// older one that arrives again is not taken for new.
func (h *HealthReports) removeExpired(now time.Duration) {
	h.reports = slices.DeleteFunc(h.reports, func(r storedReport) bool { return now-r.observedAt >= h.lifetime })
}

// findServer returns the index of a listed server, or where it would be inserted.
func (h *HealthReports) findServer(server ServerID) (index int, known bool) {
	return slices.BinarySearchFunc(h.servers, server, func(s serverStart, id ServerID) int { return cmp.Compare(s.id, id) })
}
