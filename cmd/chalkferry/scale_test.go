package main

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/procfs"

	"chalkferry/internal/scale"
	"chalkferry/internal/strict"
)

// smallPlan is a run of some seconds; the verdict is by counts and bounds, never by how long things took.
func smallPlan(t *testing.T) *scale.Plan {
	t.Helper()
	p := scale.DefaultPlan()
	p.Hollow, p.Real, p.Servers, p.Keys, p.Workers = 200, 0, 100, 50, 2
	p.Ramp, p.Settle, p.For, p.Trials = strict.Span(time.Second), strict.Span(time.Minute), strict.Span(time.Second), 1
	p.LateBound = strict.Span(time.Hour) // a busy machine's lateness is judged by tests of its own
	p.Expect.Known99, p.Expect.CPUShare, p.Expect.SumError = 0, 0, 0.001
	return p
}

// scaled runs a plan by the test's own program, and checks that nothing is left behind.
func scaled(ctx context.Context, t *testing.T, p *scale.Plan) *scale.Report {
	t.Helper()
	if err := p.Check(&strict.File{Name: t.Name()}); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	t.Setenv("TMPDIR", folder)
	r, err := scale.Run(ctx, p, scale.Options{Program: self, WorkerArguments: []string{"scale-worker"}})
	if err != nil {
		t.Fatal(err)
	}
	if left, err := os.ReadDir(folder); err != nil || len(left) > 0 {
		t.Errorf("files are left: %v, %v", left, err)
	}
	for _, process := range children(t) {
		t.Errorf("process %d is left", process)
	}
	return r
}

// children are the processes that a scale run has started.
func children(t *testing.T) (pids []int) {
	t.Helper()
	all, err := procfs.AllProcs()
	if err != nil {
		t.Fatal(err)
	}
	for _, process := range all {
		stat, err := process.Stat()
		if err != nil || stat.PPID != os.Getpid() {
			continue
		}
		command, _ := process.CmdLine() // none: it has just ended
		if len(command) > 1 && slices.Contains([]string{"scale-worker", "aggregate", "serve"}, command[1]) {
			pids = append(pids, process.PID)
		}
	}
	return pids
}

// TestScaleRun: 200 hollow members beside three real proxies run, watch the list, agree on the sums and know of each
// change, within the bounds on memory and bytes.
func TestScaleRun(t *testing.T) {
	p := smallPlan(t)
	p.Real = 3
	r := scaled(t.Context(), t, p)
	s := r.Steps[0]
	for _, text := range s.Failed {
		t.Error(text)
	}
	t.Log(s.Phases)
	if s.Member.PacketsOut <= 0 || s.Member.MemoryBytes <= 0 || s.Lateness.Ticks == 0 || !s.Member.SlopeOverMembers {
		t.Errorf("not measured: %+v, lateness %+v", s.Member, s.Lateness)
	}
	if len(s.Aggregators) != 6 || s.RealProxy == nil || s.RealProxy.With != 3 || s.RealProxy.Without != 3 || s.RealProxy.Sessions == 0 {
		t.Errorf("%d aggregators, real proxies %+v", len(s.Aggregators), s.RealProxy)
	}
	if len(s.RealChanges) != 1 || s.RealChanges[0].Known != 3 || len(s.ListChanges) != 1 || s.ListChanges[0].Known != 200 {
		t.Errorf("real proxies knew as %v, the list as %v", s.RealChanges, s.ListChanges)
	}
}

// TestScaleRunFails: one member that reports nothing fails the run, by the sum that all have.
func TestScaleRunFails(t *testing.T) {
	p := smallPlan(t)
	p.Mute, p.Trials, p.Settle = []int{3}, 0, strict.Span(2*time.Second)
	r := scaled(t.Context(), t, p)
	if s := r.Steps[0]; r.OK() || s.Sum.Max > 1393 || !strings.Contains(strings.Join(s.Failed, "; "), "where 1400 is held") {
		t.Errorf("a member that reports nothing: %q, sums %+v", s.Failed, s.Sum)
	}
}

// TestScaleFaults: members are restarted, a zone is cut off and an aggregator is killed and started again; all sums are
// right afterwards.
func TestScaleFaults(t *testing.T) {
	p := smallPlan(t)
	p.Hollow, p.Trials = 30, 0
	for _, kind := range []scale.FaultKind{scale.FaultRestart, scale.FaultZoneCut, scale.FaultAggregatorKill} {
		fault, ok := p.DefaultFault(string(kind))
		if !ok {
			t.Fatal(kind)
		}
		fault.For = strict.Span(time.Second)
		if kind == scale.FaultRestart {
			fault.Share = 0.5
		}
		p.Faults = append(p.Faults, fault)
	}
	s := scaled(t.Context(), t, p).Steps[0]
	if len(s.Faults) != 3 {
		t.Fatalf("%d of 3 faults: %q", len(s.Faults), s.Failed)
	}
	for _, f := range s.Faults {
		if f.Recovery.Known != 30 {
			t.Errorf("%s: the sums of %d of 30 members are right after it", f.Kind, f.Recovery.Known)
		}
	}
	if n := s.Faults[0].Restarts; n < 3 || n > 27 {
		t.Errorf("%d of 30 members were restarted, half were to be", n)
	}
	if n := s.Faults[1].CutOff; n != 3 {
		t.Errorf("%d of 30 members were cut off in one zone of ten", n)
	}
	if n := len(s.Faults[2].Aggregators); n != 5 {
		t.Errorf("%d aggregators ran on beside the one that was killed", n)
	}
}

// TestScaleInterrupted: a run that is interrupted reports so, and leaves nothing.
func TestScaleInterrupted(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	p := smallPlan(t)
	p.Settle = strict.Span(time.Minute)
	if r := scaled(ctx, t, p); !r.Interrupted || r.OK() || r.Steps[0].Interrupted != "settles" {
		t.Errorf("interrupted %t, %+v", r.Interrupted, r.Steps[0])
	}
}

// TestScaleCheck: flags take the place of a scenario's values, and what does not fit is refused.
func TestScaleCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(file, []byte("hollow = 30\nkeys = 10\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := scaleCmd{Scenario: file, Real: -1, Trials: -1, Check: true}
	if err := c.Run(); err != nil {
		t.Error(err)
	}
	p, err := c.plan()
	if err != nil || p.Steps[0] != 30 || p.Keys != 10 {
		t.Errorf("%+v, %v", p, err)
	}
	c.Steps, c.Real, c.Zones = []int{40, 50}, 1, 5
	if p, err = c.plan(); err != nil || len(p.Steps) != 2 || p.Real != 1 || p.Zones != 5 || p.Keys != 10 {
		t.Errorf("%+v, %v", p, err)
	}
	c.Keys, c.Servers, c.Steps = 100000, 100000, []int{20000}
	if err := c.Run(); err == nil || !strings.Contains(err.Error(), scale.ErrMemory.Error()) {
		t.Errorf("too much memory: %v", err)
	}
	c.Regions = 0
	c.Fault = []string{"flood"}
	if err := c.Run(); err == nil || !strings.Contains(err.Error(), "there is no fault") {
		t.Errorf("a fault of no known kind: %v", err)
	}
	c.Regions, c.Fault = 9, nil
	if err := c.Run(); err == nil || !strings.Contains(err.Error(), "regions") {
		t.Errorf("nine regions: %v", err)
	}
}
