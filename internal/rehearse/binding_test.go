package rehearse

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/affinity"
	"chalkferry/internal/affinity/affinitytest"
)

func smallScenario(t *testing.T, length string) *Scenario {
	t.Helper()
	s, err := Parse("small.toml", fmt.Appendf(nil, smallScenarioTemplate, length, "", "repeatable", ""))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// proxyPIDs returns the ids of the processes that run as proxies for this test.
func proxyPIDs(t *testing.T) (pids []int) {
	t.Helper()
	commands, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range commands {
		text, _ := os.ReadFile(file) // empty if the process has ended
		if strings.Contains(string(text), "/"+t.Name()) && strings.Contains(string(text), "\x00serve\x00") {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(file)))
			pids = append(pids, pid)
		}
	}
	return pids
}

// waitForProxies waits until count proxies of this test are running and returns their process ids.
func waitForProxies(t *testing.T, count int) []int {
	t.Helper()
	for deadline := time.Now().Add(maxStartTime); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if pids := proxyPIDs(t); len(pids) == count {
			return pids
		}
	}
	t.Fatalf("%d proxies are running, want %d", len(proxyPIDs(t)), count)
	return nil
}

// boundProcessor returns the processor that a process is bound to, anyCPU if it may use several.
func boundProcessor(t *testing.T, pid int) int {
	t.Helper()
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(pid, &set); err != nil {
		t.Fatal(err)
	}
	for processor := range 64 * len(set) {
		if set.IsSet(processor) && set.Count() == 1 {
			return processor
		}
	}
	return anyCPU
}

// TestRehearsalsBesideOneAnother: two concurrent rehearsals must not bind their proxies to the same processor.
func TestRehearsalsBesideOneAnother(t *testing.T) {
	reports := make(chan *Report, 2)
	for range cap(reports) {
		go func() { reports <- runWithTestProxy(t, context.Background(), smallScenario(t, "3s"), "correct") }()
	}
	usedProcessors := map[int]bool{}
	for _, pid := range waitForProxies(t, cap(reports)) {
		processor := boundProcessor(t, pid)
		if processor != anyCPU && usedProcessors[processor] {
			t.Errorf("two proxies are bound to processor %d", processor)
		}
		usedProcessors[processor] = true
	}
	for range cap(reports) {
		if r := <-reports; len(r.Failed) > 0 {
			t.Error(r.Failed)
		}
	}
}

// bindForeignProcess binds a process that is no descendant of this one to a processor until the test ends.
func bindForeignProcess(t *testing.T, processor int) {
	t.Helper()
	affinitytest.ForeignProcess(t, func(shell *exec.Cmd) error { return affinity.StartOn(shell, processor) })
}

// TestNoProcessorIsFree: if foreign processes are bound to all processors, a rehearsal must leave its proxies unbound and
// report that.
func TestNoProcessorIsFree(t *testing.T) {
	var own unix.CPUSet
	if err := unix.SchedGetaffinity(0, &own); err != nil {
		t.Fatal(err)
	}
	for processor := range 64 * len(own) {
		if own.IsSet(processor) {
			bindForeignProcess(t, processor)
		}
	}
	report := make(chan *Report, 1)
	go func() { report <- runWithTestProxy(t, context.Background(), smallScenario(t, "2s"), "correct") }()
	if processor := boundProcessor(t, waitForProxies(t, 1)[0]); processor != anyCPU {
		t.Errorf("the proxy is bound to processor %d, to which a foreign process is bound", processor)
	}
	if r := <-report; !strings.Contains(r.Unbound, "bound to it") || len(r.Failed) > 0 {
		t.Errorf("reason for unbound proxies %q, failures %v", r.Unbound, r.Failed)
	}
}

// TestGivesWay: once a foreign process is bound to its proxy's processor, a rehearsal must unbind the proxy and report that.
func TestGivesWay(t *testing.T) {
	report := make(chan *Report, 1)
	go func() { report <- runWithTestProxy(t, context.Background(), smallScenario(t, "4s"), "correct") }()
	pid := waitForProxies(t, 1)[0]
	processor := boundProcessor(t, pid)
	if processor == anyCPU {
		t.Fatalf("the proxy is not bound: %q", (<-report).Unbound)
	}
	bindForeignProcess(t, processor)
	r := <-report
	if !strings.Contains(r.Unbound, fmt.Sprintf("processor %d has process", processor)) || len(r.Failed) > 0 {
		t.Errorf("reason for unbound proxies %q, failures %v", r.Unbound, r.Failed)
	}
}
