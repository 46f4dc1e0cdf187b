package stall

import (
	"os"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestStarved checks that a thread that is ready for a whole interval without a time slice is starved, and that one that ran,
// slept or is new is not.
func TestStarved(t *testing.T) {
	starving := Schedule{ThreadKey: ThreadKey{1, 1}, Ran: time.Millisecond, Slices: 2}
	ran, stillRunning, newThread := starving, starving, starving
	ran.Thread, stillRunning.Thread, newThread.Thread = 2, 3, 4
	before := Runnable{starving.ThreadKey: starving, ran.ThreadKey: ran, stillRunning.ThreadKey: stillRunning, {1, 5}: {ThreadKey: ThreadKey{1, 5}}}
	ran.Slices++ // it had a time slice, or slept and ran again
	stillRunning.Ran += time.Second
	after := Runnable{starving.ThreadKey: starving, ran.ThreadKey: ran, stillRunning.ThreadKey: stillRunning, newThread.ThreadKey: newThread}
	if starved := Starved(before, after); len(starved) != 1 || starved[0] != starving {
		t.Errorf("starved threads are %v, want only %v", starved, starving)
	}
}

// TestReadRunnable checks that the running thread of the test is read with its processor, policy and time, and the processors
// that it may use.
func TestReadRunnable(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	key := ThreadKey{os.Getpid(), unix.Gettid()}
	runnable, err := ReadRunnable()
	if err != nil {
		t.Fatal(err)
	}
	schedule, isRunnable := runnable[key]
	if !isRunnable || schedule.Command == "" || schedule.Ran == 0 || schedule.Slices == 0 {
		t.Errorf("schedule %v, runnable %v", schedule, isRunnable)
	}
	allowed, err := AllowedProcessors(key)
	var own unix.CPUSet
	unix.SchedGetaffinity(0, &own)
	if err != nil || len(allowed) != own.Count() {
		t.Errorf("allowed processors %v, want %d of them, error %v", allowed, own.Count(), err)
	}
	var isOnProcessor bool
	for _, queued := range runnable.OnProcessor(schedule.Processor) {
		isOnProcessor = isOnProcessor || queued == schedule
	}
	if !isOnProcessor {
		t.Errorf("%v is missing from OnProcessor", schedule)
	}
}
