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

// roleVariable says what a process of this test's own program does.
const roleVariable = "STALLWATCH_TEST_ROLE"

const (
	idleFor     = 3 * time.Second
	spinFor     = time.Minute // much longer than the test lets it
	workingSpin = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	switch role := os.Getenv(roleVariable); role {
	case "":
		os.Exit(m.Run())
	case "idle":
		time.Sleep(idleFor)
	case "read": // of a pipe that nobody writes to
		ends := make([]int, 2)
		unix.Pipe(ends)
		go unix.Read(ends[0], make([]byte, 1))
		time.Sleep(idleFor)
	case "spin":
		spin(spinFor)
	case "work":
		spin(workingSpin)
	default:
		os.Exit(runChildren(strings.Fields(role)))
	}
}

func spin(length time.Duration) {
	for began := time.Now(); time.Since(began) < length; {
	}
}

// runChildren starts a child for each role and returns the last exit code that was not 0.
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

// TestWatch guards against a watch that signals a healthy process: only one that spins while the others wait is asked for its goroutines.
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
				t.Errorf("exit code %d, %v", exitCode, err)
			}
			isReported := strings.Contains(report.String(), "STALL")
			isSignaled := strings.Contains(report.String(), "SIGQUIT to thread")
			if isReported != test.isReported || isSignaled != test.isSignaled {
				t.Errorf("reported: %q", report.String())
			}
		})
	}
}

// TestReportStarved: a thread of the run that got no processor is printed, and what is ready beside it; others' are not reported.
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
			t.Errorf("%v, %v", isStarved, err)
		}
		for _, part := range []string{"STARVED: 1 threads", "(starves) on processor 1", "(runs) on processor 1"} {
			if strings.Contains(report.String(), part) != test.isStarved {
				t.Errorf("%q: %s", part, report.String())
			}
		}
	}
}
