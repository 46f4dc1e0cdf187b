package stall

import (
	"os"
	"testing"
	"time"
)

// TestFind: a span in which only one process works is a stall; one in which others work too, or with few processes, is none.
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
			t.Errorf("%s: %+v, %v", name, found, isStalled)
		}
	}
}

// TestSuspect: the process that spins, else the one that waits elsewhere than all others; where all wait alike, none.
func TestSuspect(t *testing.T) {
	alike := map[int]string{1: "S futex", 2: "S futex", 3: "S futex"}
	odd := map[int]string{1: "S futex", 2: "D io", 3: "S futex"}
	for name, test := range map[string]struct {
		found    Stall
		patterns map[int]string
		pid      int
		isKnown  bool
	}{
		"it spins":           {Stall{Busiest: 3, BusiestUsed: 2 * time.Second}, odd, 3, true},
		"it waits elsewhere": {Stall{Busiest: 3, BusiestUsed: time.Millisecond}, odd, 2, true},
		"all wait alike":     {Stall{Busiest: 3, BusiestUsed: time.Millisecond}, alike, 0, false},
	} {
		if pid, isKnown := Suspect(test.found, time.Second, test.patterns); pid != test.pid || isKnown != test.isKnown {
			t.Errorf("%s: %d, %v", name, pid, isKnown)
		}
	}
}

// TestReadThreads: this process's own threads are read, the one that reads among them.
func TestReadThreads(t *testing.T) {
	threads, err := ReadThreads(os.Getpid())
	if err != nil || len(threads) == 0 {
		t.Fatalf("%v, %v", threads, err)
	}
	if Pattern(threads) == "" || threads[0].State == "" {
		t.Errorf("%+v", threads)
	}
	if _, err := ReadUsage(os.Getpid(), "no such name"); err != nil {
		t.Error(err)
	}
}
