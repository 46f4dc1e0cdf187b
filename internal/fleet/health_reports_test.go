package fleet

import (
	"math"
	"testing"
	"time"
)

// newReportCollections returns one collection for each of count members, all of which have server 7 listed.
func newReportCollections(t *testing.T, count int) (collections []*HealthReports) {
	for self := range MemberID(count) {
		h, err := NewHealthReports(self, count, 1, 10*sec, 0.3, 50)
		if err != nil {
			t.Fatal(err)
		}
		h.SetServerStart(7, 1)
		collections = append(collections, h)
	}
	return collections
}

// TestQuorum: a single member whose reports are all wrong does not close a server for others, but the quorum share
// of independent members does. Reports on different conditions are assessed separately. A report loses weight with its
// age, and a withdrawn one counts no more at once, even if its older version arrives again.
func TestQuorum(t *testing.T) {
	all := newReportCollections(t, 10)
	receiver := all[9]
	expectConfidence := func(name string, now time.Duration, want float64) {
		t.Helper()
		if a := receiver.Assess(now, 7, Slow, 10); math.Abs(a.Confidence-want) > 1e-9 {
			t.Errorf("%s: assessment %+v, want confidence %v", name, a, want)
		}
	}
	var reports []HealthReport
	for i, h := range all[:3] {
		report, ok := h.Observe(0, 7, Slow, 4, false)
		if !ok {
			t.Fatalf("member %d returns no report", i)
		}
		reports = append(reports, report)
	}
	for range 20 { // repeats must not add weight
		receiver.Receive(0, reports[0])
	}
	expectConfidence("one reporter of ten", 0, 1.0/3)
	receiver.Receive(0, reports[1])
	receiver.Receive(0, reports[2])
	expectConfidence("three reporters", 0, 1)
	expectConfidence("three reporters at half of the lifetime", 5*sec, 0.5)
	withdrawal, _ := all[0].Observe(sec, 7, Slow, 4, true)
	receiver.Receive(sec, withdrawal)
	receiver.Receive(sec, reports[0])
	expectConfidence("one report withdrawn, its old version received again", sec, 2*0.9/3)
	expectConfidence("all expired", 11*sec, 0)
	if a := receiver.Assess(0, 7, Failing, 10); a.Confidence != 0 || a.Reporters != 0 {
		t.Errorf("assessment of a condition that nobody reported: %+v", a)
	}
}

// TestStarts: a report counts only for the server start that it is on, whenever it arrives. A drain holds for its
// start and can't be withdrawn. A report on a start that is not listed yet is ignored.
func TestStarts(t *testing.T) {
	all := newReportCollections(t, 4)
	a, b := all[0], all[1]
	slow, _ := a.Observe(0, 7, Slow, 1, false)
	drain, _ := a.Observe(0, 7, Draining, 1, false)
	b.Receive(0, slow)
	b.Receive(0, drain)
	if got := b.Assess(sec, 7, Draining, 4); got.Confidence != 1 {
		t.Errorf("after another member's drain report: %+v", got)
	}
	withdrawnDrain, _ := a.Observe(sec, 7, Draining, 1, true)
	b.Receive(sec, withdrawnDrain)
	b.SetServerStart(7, 1)
	if got := b.Assess(100*sec, 7, Draining, 4); got.Confidence != 1 {
		t.Errorf("after the drain was withdrawn: %+v", got)
	}
	b.SetServerStart(7, 2)
	for _, report := range []HealthReport{slow, drain, withdrawnDrain} {
		if b.Receive(2*sec, report) {
			t.Errorf("a report on the previous start is accepted: %+v", report)
		}
	}
	if slow, draining := b.Assess(2*sec, 7, Slow, 4), b.Assess(2*sec, 7, Draining, 4); slow.Confidence != 0 || draining.Confidence != 0 {
		t.Errorf("reports on the previous start count for the new one: %+v, %+v", slow, draining)
	}
	all[2].SetServerStart(7, 2)
	early, _ := all[2].Observe(2*sec, 7, Slow, 1, false)
	if all[3].Receive(2*sec, early) {
		t.Error("a report on a start that is not listed yet is accepted")
	}
	if all[3].SetServerStart(7, 2); !all[3].Receive(2*sec, early) {
		t.Error("the same report is ignored once the start is listed")
	}
	b.RemoveServer(7)
	if b.Receive(2*sec, early) {
		t.Error("a report on a removed server is accepted")
	}
}

// TestExpiredReports: an expired report that is replayed as new, and reports of a member's previous process, don't count.
// Any number of reports takes no more memory than the configured maximum.
func TestExpiredReports(t *testing.T) {
	all := newReportCollections(t, 4)
	a, b := all[0], all[1]
	expired, _ := a.Observe(0, 7, Slow, 1, false)
	b.Receive(0, expired)
	for now := sec; now < 40*sec; now += sec {
		report, _ := a.Observe(now, 7, Full, 1, false)
		b.Receive(now, report)
	}
	if b.Receive(40*sec, expired) || b.Assess(40*sec, 7, Slow, 2).Confidence != 0 {
		t.Error("a replayed expired report counts")
	}
	restarted, _ := NewHealthReports(0, 4, 2, 10*sec, 0.3, 50)
	restarted.SetServerStart(7, 1)
	report, _ := restarted.Observe(40*sec, 7, Failing, 1, false)
	b.Receive(40*sec, report)
	if b.Assess(40*sec, 7, Full, 2).Confidence != 0 {
		t.Error("reports of the previous process still count after a restart")
	}
	if fromPrevious, _ := a.Observe(40*sec, 7, Full, 1, false); b.Receive(40*sec, fromPrevious) {
		t.Error("a report of the previous process is accepted after a restart")
	}
	for server := ServerID(100); server < 1100; server++ {
		b.SetServerStart(server, 1)
		b.Receive(41*sec, HealthReport{Server: server, Start: 1, Condition: Slow, Reporter: 2, Incarnation: 1, Sequence: uint64(server)})
	}
	if len(b.reports) != 50 {
		t.Errorf("%d reports stored, want 50", len(b.reports))
	}
	if reports := b.Retransmit(41*sec, 20); len(reports) != 20 || reports[0].Age < 0 {
		t.Errorf("%d reports retransmitted, want 20", len(reports))
	}
	for _, report := range []HealthReport{{}, {Server: 7, Start: 1, Condition: Slow, Reporter: 4}, {Server: 7, Start: 1, Condition: Slow, Reporter: 1},
		{Server: 7, Start: 1, Condition: 9, Reporter: 2}, {Server: 7, Start: 1, Condition: Slow, Reporter: 2, Incarnation: 1, Sequence: 2000, Age: -1}} {
		if b.Receive(41*sec, report) {
			t.Errorf("invalid report %+v is accepted", report)
		}
	}
}

// TestLostDrainReport: a drain report that is lost on its way arrives when the reporter sends its reports again.
func TestLostDrainReport(t *testing.T) {
	all := newReportCollections(t, 2)
	reporter, receiver := all[0], all[1]
	if _, ok := reporter.Observe(0, 7, Draining, 1, false); !ok { // its message is lost
		t.Fatal("the observation returns no report")
	}
	for _, report := range reporter.Retransmit(sec, 10) {
		receiver.Receive(sec, report)
	}
	if a := receiver.Assess(sec, 7, Draining, 2); a.Confidence != 1 {
		t.Errorf("after the reporter sent all its reports again: %+v, want confidence 1", a)
	}
}

// TestDrainOfPreviousProcess guards against a drain that is lost to all who missed its report once the reporter has started again.
func TestDrainOfPreviousProcess(t *testing.T) {
	all := newReportCollections(t, 3)
	witness, receiver := all[1], all[2]
	drain, _ := all[0].Observe(0, 7, Draining, 1, false)
	witness.Receive(0, drain)
	restarted, err := NewHealthReports(0, 3, 2, 10*sec, 0.3, 50)
	if err != nil {
		t.Fatal(err)
	}
	restarted.SetServerStart(7, 1)
	slow, _ := restarted.Observe(sec, 7, Slow, 1, false)
	receiver.Receive(sec, slow)
	for round := range 4 { // one report a call, so that the cursor passes drains too
		for _, report := range witness.Retransmit(20*sec+time.Duration(round)*sec, 1) {
			restarted.Receive(20*sec, report)
			receiver.Receive(20*sec, report)
		}
	}
	for name, h := range map[string]*HealthReports{"the restarted reporter": restarted, "a member that knows of its restart": receiver} {
		if a := h.Assess(20*sec, 7, Draining, 3); a.Confidence != 1 {
			t.Errorf("%s: %+v, want confidence 1", name, a)
		}
	}
	if reports := receiver.Retransmit(25*sec, 10); len(reports) != 1 || reports[0].Condition != Draining || reports[0].Age != 25*sec {
		t.Errorf("passed on: %+v, want the drain with its age", reports)
	}
	receiver.SetServerStart(7, 2)
	if reports := receiver.Retransmit(26*sec, 10); len(reports) != 0 {
		t.Errorf("after the server's next start %+v is sent again", reports)
	}
}
