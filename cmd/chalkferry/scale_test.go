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

// smallPlan returns the plan of a run of some seconds with 200 hollow members. Its verdict depends on counts and on bounds of
// memory and bytes, not on how long something took, since the machine may be busy.
func smallPlan(t *testing.T) *scale.Plan {
	t.Helper()
	p := scale.DefaultPlan()
	p.Hollow, p.Real, p.Servers, p.Keys, p.Workers = 200, 0, 100, 50, 2
	p.Ramp, p.Settle, p.For, p.Trials = strict.Span(time.Second), strict.Span(time.Minute), strict.Span(time.Second), 1
	p.LateBound = strict.Span(time.Hour) // other tests check the lateness
	p.Expect.Known99, p.Expect.CPUShare, p.Expect.SumError = 0, 0, 0.001
	return p
}

// runScale runs a plan with this test's program as the child processes, and checks that no files or processes are left.
func runScale(ctx context.Context, t *testing.T, p *scale.Plan) *scale.Report {
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
		t.Errorf("temporary files are left: %v, %v", left, err)
	}
	for _, process := range scaleProcesses(t) {
		t.Errorf("process %d still runs", process)
	}
	return r
}

// scaleProcesses returns the running child processes that a scale run has started.
func scaleProcesses(t *testing.T) (pids []int) {
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
		command, _ := process.CmdLine() // empty if the process has just ended
		if len(command) > 1 && slices.Contains([]string{"scale-worker", "aggregate", "serve"}, command[1]) {
			pids = append(pids, process.PID)
		}
	}
	return pids
}

// TestScaleRun runs 200 hollow members and three real proxies. It checks that they follow the list, agree on the sums, learn of
// each change and stay within the bounds on memory and bytes.
func TestScaleRun(t *testing.T) {
	p := smallPlan(t)
	p.Real = 3
	r := runScale(t.Context(), t, p)
	s := r.Steps[0]
	for _, text := range s.Failed {
		t.Error(text)
	}
	t.Log(s.Phases)
	if s.Member.PacketsOut <= 0 || s.Member.MemoryBytes <= 0 || s.Lateness.Ticks == 0 || !s.Member.SlopeOverMembers {
		t.Errorf("not measured: %+v, lateness %+v", s.Member, s.Lateness)
	}
	if len(s.Aggregators) != 6 || s.RealProxy == nil || s.RealProxy.With != 3 || s.RealProxy.Without != 3 || s.RealProxy.Sessions == 0 {
		t.Errorf("%d aggregators, want 6; real proxies %+v", len(s.Aggregators), s.RealProxy)
	}
	if len(s.RealChanges) != 1 || s.RealChanges[0].Known != 3 || len(s.ListChanges) != 1 || s.ListChanges[0].Known != 200 {
		t.Errorf("changes at real proxies %v, want one known to 3; changes of the list %v, want one known to 200", s.RealChanges, s.ListChanges)
	}
}

// TestScaleRunFails checks that a single member that reports nothing fails the run, as the sum of all members is too low.
func TestScaleRunFails(t *testing.T) {
	p := smallPlan(t)
	p.Mute, p.Trials, p.Settle = []int{3}, 0, strict.Span(2*time.Second)
	r := runScale(t.Context(), t, p)
	if s := r.Steps[0]; r.OK() || s.Sum.Max > 1393 || !strings.Contains(strings.Join(s.Failed, "; "), "where 1400 is held") {
		t.Errorf("run with a member that reports nothing: failures %q, sums %+v", s.Failed, s.Sum)
	}
}

// TestScaleFaults restarts half of the members, cuts off a zone, and kills and restarts an aggregator. It checks that all sums
// are right after each.
func TestScaleFaults(t *testing.T) {
	p := smallPlan(t)
	p.Hollow, p.Trials = 30, 0
	for _, kind := range []scale.FaultKind{scale.FaultRestart, scale.FaultZoneCut, scale.FaultAggregatorKill} {
		fault, ok := p.DefaultFault(string(kind))
		if !ok {
			t.Fatalf("no fault %q in the plan", kind)
		}
		fault.For = strict.Span(time.Second)
		if kind == scale.FaultRestart {
			fault.Share = 0.5
		}
		p.Faults = append(p.Faults, fault)
	}
	s := runScale(t.Context(), t, p).Steps[0]
	if len(s.Faults) != 3 {
		t.Fatalf("%d of 3 faults were run: %q", len(s.Faults), s.Failed)
	}
	for _, f := range s.Faults {
		if f.Recovery.Known != 30 {
			t.Errorf("%s: the sums of %d of 30 members are right after it", f.Kind, f.Recovery.Known)
		}
	}
	if n := s.Faults[0].Restarts; n < 3 || n > 27 {
		t.Errorf("%d of 30 members were restarted, want about half", n)
	}
	if n := s.Faults[1].CutOff; n != 3 {
		t.Errorf("%d of 30 members in ten zones were cut off with one zone, want 3", n)
	}
	if n := len(s.Faults[2].Aggregators); n != 5 {
		t.Errorf("%d aggregators kept running while one was killed, want 5", n)
	}
}

// TestScaleInterrupted checks that an interrupted run reports it, and leaves no files or processes.
func TestScaleInterrupted(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	p := smallPlan(t)
	p.Settle = strict.Span(time.Minute)
	if r := runScale(ctx, t, p); !r.Interrupted || r.OK() || r.Steps[0].Interrupted != "settles" {
		t.Errorf("interrupted %t, first step %+v", r.Interrupted, r.Steps[0])
	}
}

// TestScaleCheck checks that flags override a scenario's values, and that a plan that does not fit on the machine, an unknown
// fault and a value out of range are refused.
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
		t.Errorf("unknown kind of fault: %v", err)
	}
	c.Regions, c.Fault = 9, nil
	if err := c.Run(); err == nil || !strings.Contains(err.Error(), "regions") {
		t.Errorf("nine regions: %v", err)
	}
}
