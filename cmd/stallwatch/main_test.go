package main

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/stall"
)

// roleVariable is the environment variable that selects what a process of this test's own program does: one of the roles of
// TestMain, or a list of roles for which it starts a child each.
const roleVariable = "STALLWATCH_TEST_ROLE"

const (
	idleFor     = 3 * time.Second
	spinFor     = time.Minute // much longer than the time until stallwatch ends the process
	workingSpin = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	switch role := os.Getenv(roleVariable); role {
	case "":
		os.Exit(m.Run())
	case "idle":
		time.Sleep(idleFor)
	case "read": // blocks in the read of a pipe that nobody writes to
		pipe := make([]int, 2)
		unix.Pipe(pipe)
		go unix.Read(pipe[0], make([]byte, 1))
		time.Sleep(idleFor)
	case "spin":
		spin(spinFor)
	case "work":
		spin(workingSpin)
	default:
		os.Exit(runChildren(strings.Fields(role)))
	}
}

// spin uses the processor for a time.
func spin(duration time.Duration) {
	for start := time.Now(); time.Since(start) < duration; {
	}
}

// runChildren starts a child process for each role, waits for them, and returns the last exit code that was not 0.
func runChildren(roles []string) (exitCode int) {
	var children []*exec.Cmd
	for _, role := range roles {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), roleVariable+"="+role)
		if err := child.Start(); err != nil {
			return 1
		}
		children = append(children, child)
	}
	for _, child := range children {
		var exit *exec.ExitError
		if errors.As(child.Wait(), &exit) {
			exitCode = exit.ExitCode()
		}
	}
	return exitCode
}

// TestWatch guards against a watch that signals a healthy process: only a process that spins while the others wait gets
// SIGQUIT.
func TestWatch(t *testing.T) {
	const exitedBySIGQUIT = 2
	for name, test := range map[string]struct {
		roles      string
		exitCode   int
		isReported bool
		isSignaled bool
	}{
		"one spins":            {"idle spin idle", exitedBySIGQUIT, true, true},
		"all work":             {"work work work", 0, false, false},
		"all wait":             {"idle idle idle", 0, true, false},
		"one waits for a pipe": {"idle read idle", 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(roleVariable, test.roles)
			var report strings.Builder
			o := &options{Name: "stallwatch.test", Every: 100 * time.Millisecond, Span: time.Second, Idle: 60 * time.Millisecond,
				MinProcesses: 3, Command: []string{os.Args[0]}}
			exitCode, err := o.run(&report)
			if err != nil || exitCode != test.exitCode {
				t.Errorf("exit code %d, want %d, error %v", exitCode, test.exitCode, err)
			}
			isReported := strings.Contains(report.String(), "STALL")
			isSignaled := strings.Contains(report.String(), "SIGQUIT to thread")
			if isReported != test.isReported || isSignaled != test.isSignaled {
				t.Errorf("stall reported: %v, want %v; signalled: %v, want %v; report %q", isReported, test.isReported, isSignaled, test.isSignaled, report.String())
			}
		})
	}
}

// TestReportStarved checks that a thread of the run that got no processor is printed, with the threads that are ready beside
// it, and that threads of other processes are not reported.
func TestReportStarved(t *testing.T) {
	const noProcess = 1 << 30
	own := stall.Schedule{ThreadKey: stall.ThreadKey{Process: os.Getpid(), Thread: os.Getpid()}, Command: "starves", Processor: 1}
	beside := stall.Schedule{ThreadKey: stall.ThreadKey{Process: os.Getppid(), Thread: os.Getppid()}, Command: "runs", Processor: 1}
	before := stall.Runnable{own.ThreadKey: own, beside.ThreadKey: beside}
	ran := beside
	ran.Slices++
	now := stall.Runnable{own.ThreadKey: own, ran.ThreadKey: ran}
	for _, test := range []struct {
		root      int
		isStarved bool
	}{{os.Getppid(), true}, {noProcess, false}} {
		var report strings.Builder
		w := &watch{options: &options{Span: time.Second}, root: test.root, report: &report}
		isStarved, err := w.reportStarved(before, now)
		if err != nil || isStarved != test.isStarved {
			t.Errorf("starved: %v, want %v, error %v", isStarved, test.isStarved, err)
		}
		for _, part := range []string{"STARVED: 1 threads", "(starves) on processor 1", "(runs) on processor 1"} {
			if strings.Contains(report.String(), part) != test.isStarved {
				t.Errorf("report has %q: %v, want %v; report %s", part, !test.isStarved, test.isStarved, report.String())
			}
		}
	}
}
