package stall

import (
	"os"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestStarved: a thread that is ready for a whole span without a time slice is starved; one that ran, slept or is new is not.
func TestStarved(t *testing.T) {
	starving := Schedule{ThreadKey: ThreadKey{1, 1}, Ran: time.Millisecond, Slices: 2}
	ran, spun, isNew := starving, starving, starving
	ran.Thread, spun.Thread, isNew.Thread = 2, 3, 4
	before := Runnable{starving.ThreadKey: starving, ran.ThreadKey: ran, spun.ThreadKey: spun, {1, 5}: {ThreadKey: ThreadKey{1, 5}}}
	ran.Slices++ // it had a slice, or slept
	spun.Ran += time.Second
	after := Runnable{starving.ThreadKey: starving, ran.ThreadKey: ran, spun.ThreadKey: spun, isNew.ThreadKey: isNew}
	if starved := Starved(before, after); len(starved) != 1 || starved[0] != starving {
		t.Errorf("%v", starved)
	}
}

// TestReadRunnable: a thread that runs is read with its processor, policy and time, and the processors that it may use.
func TestReadRunnable(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	key := ThreadKey{os.Getpid(), unix.Gettid()}
	runnable, err := ReadRunnable()
	if err != nil {
		t.Fatal(err)
	}
	schedule, isThere := runnable[key]
	if !isThere || schedule.Command == "" || schedule.Ran == 0 || schedule.Slices == 0 {
		t.Errorf("%v, %v", schedule, isThere)
	}
	allowed, err := AllowedProcessors(key)
	var own unix.CPUSet
	unix.SchedGetaffinity(0, &own)
	if err != nil || len(allowed) != own.Count() {
		t.Errorf("%v, %v", allowed, err)
	}
	var isThereToo bool
	for _, each := range runnable.OnProcessor(schedule.Processor) {
		isThereToo = isThereToo || each == schedule
	}
	if !isThereToo {
		t.Errorf("%v is not on its processor", schedule)
	}
}
