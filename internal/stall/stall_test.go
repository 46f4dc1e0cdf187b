package stall

import (
	"os"
	"testing"
	"time"
)

// TestFind checks that an interval in which only one process works is a stall, and one in which others work too, or with too
// few processes, is not.
func TestFind(t *testing.T) {
	const second = time.Second
	before := Usage{1: second, 2: second, 3: second, 4: second}
	for name, test := range map[string]struct {
		after     Usage
		isStalled bool
		busiest   int
	}{
		"one spins":           {Usage{1: second, 2: 4 * second, 3: second, 4: second}, true, 2},
		"all stand still":     {before, true, 0},
		"two work":            {Usage{1: second, 2: 4 * second, 3: 2 * second, 4: second}, false, 2},
		"the rest has ended":  {Usage{2: 4 * second}, false, 2},
		"the rest is as new":  {Usage{2: 4 * second, 5: 0, 6: 0, 7: 0}, false, 2},
		"one more has joined": {Usage{1: second, 2: 4 * second, 3: second, 4: second, 5: second}, true, 2},
	} {
		found, isStalled := Find(before, test.after, 60*time.Millisecond, 4)
		if isStalled != test.isStalled || test.busiest != 0 && found.Busiest != test.busiest {
			t.Errorf("%s: found %+v, stalled %v", name, found, isStalled)
		}
	}
}

// TestSpins checks that a process counts as spinning only if it used the processor time given.
func TestSpins(t *testing.T) {
	if !(Stall{BusiestUsed: 2 * time.Second}).Spins(time.Second) || (Stall{BusiestUsed: time.Millisecond}).Spins(time.Second) {
		t.Error("a process that spins is not distinguished from one that waits")
	}
}

// TestPattern checks that processes have the same pattern whatever the number of threads in the same state, and another one if
// a thread waits elsewhere.
func TestPattern(t *testing.T) {
	futex := Thread{State: "S", WaitChannel: "futex_do_wait", SystemCall: "202 0x1 0x80"}
	other := Thread{State: "S", WaitChannel: "futex_do_wait", SystemCall: "202 0x2 0x0"}
	disk := Thread{State: "D", WaitChannel: "io_schedule", SystemCall: "0 0x3"}
	if Pattern([]Thread{futex}) != Pattern([]Thread{other, futex, other}) {
		t.Error("the pattern depends on the number of threads in the same state")
	}
	if Pattern([]Thread{futex}) == Pattern([]Thread{futex, disk}) {
		t.Error("the pattern omits a thread that waits for a disk")
	}
}

// TestReadThreads checks that the threads and the usage of the test process are read.
func TestReadThreads(t *testing.T) {
	threads, err := ReadThreads(os.Getpid())
	if err != nil || len(threads) == 0 {
		t.Fatalf("threads %v, error %v", threads, err)
	}
	if Pattern(threads) == "" || threads[0].State == "" {
		t.Errorf("a thread has no state: %+v", threads)
	}
	if _, err := ReadUsage(os.Getpid(), "no such name"); err != nil {
		t.Error(err)
	}
}
