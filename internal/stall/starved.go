package stall

import (
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// stateRunnable is the state of a thread that has a processor or is ready for one, see proc_pid_stat(5).
const stateRunnable = "R"

// ThreadKey names a thread.
type ThreadKey struct{ Process, Thread int }

// Schedule is what the scheduler has given a runnable thread so far. The kernel counts a wait only when the thread runs again, so
// one that gets no processor is known by its time slices, which do not change, and not by Waited. Source: the kernel's
// Documentation/scheduler/sched-stats.rst.
type Schedule struct {
	ThreadKey
	Command   string // of the thread
	Processor int    // the one that it is queued at
	Policy    int    // unix.SCHED_*
	Nice      int
	Ran       time.Duration
	Waited    time.Duration
	Slices    uint64
}

// Runnable is the runnable threads of the machine at a moment.
type Runnable map[ThreadKey]Schedule

// ReadRunnable reads them. The error is that of reading /proc; threads that end meanwhile are left out.
func ReadRunnable() (Runnable, error) {
	processes, err := procfs.AllProcs()
	if err != nil {
		return nil, err
	}
	runnable := Runnable{}
	for _, process := range processes {
		threads, err := procfs.AllThreads(process.PID)
		if err != nil {
			continue
		}
		for _, thread := range threads {
			if schedule, isRunnable := readSchedule(process.PID, thread); isRunnable {
				runnable[schedule.ThreadKey] = schedule
			}
		}
	}
	return runnable, nil
}

// readSchedule reads a thread's schedule if it is runnable.
func readSchedule(pid int, thread procfs.Proc) (schedule Schedule, isRunnable bool) {
	stat, err := thread.Stat()
	if err != nil || stat.State != stateRunnable {
		return Schedule{}, false
	}
	given, err := thread.Schedstat()
	if err != nil {
		return Schedule{}, false
	}
	return Schedule{
		ThreadKey: ThreadKey{Process: pid, Thread: thread.PID},
		Command:   stat.Comm,
		Processor: int(stat.Processor),
		Policy:    int(stat.Policy),
		Nice:      stat.Nice,
		Ran:       time.Duration(given.RunningNanoseconds),
		Waited:    time.Duration(given.WaitingNanoseconds),
		Slices:    given.RunTimeslices,
	}, true
}

// Starved returns the threads that were runnable at both ends of a span and got no processor in it, by their ids.
func Starved(before, after Runnable) []Schedule {
	var starved []Schedule
	for key, now := range after {
		then, wasRunnable := before[key]
		if wasRunnable && then.Slices == now.Slices && then.Ran == now.Ran {
			starved = append(starved, now)
		}
	}
	slices.SortFunc(starved, func(a, b Schedule) int { return a.Thread - b.Thread })
	return starved
}

// OnProcessor returns the runnable threads that are queued at a processor, by their ids.
func (r Runnable) OnProcessor(processor int) []Schedule {
	var there []Schedule
	for _, schedule := range r {
		if schedule.Processor == processor {
			there = append(there, schedule)
		}
	}
	slices.SortFunc(there, func(a, b Schedule) int { return a.Thread - b.Thread })
	return there
}

// AllowedProcessors reads which processors a thread may use, see CPU affinity in sched(7). The error is that of reading /proc.
func AllowedProcessors(key ThreadKey) ([]uint64, error) {
	threads, err := procfs.AllThreads(key.Process)
	if err != nil {
		return nil, err
	}
	for _, thread := range threads {
		if thread.PID != key.Thread {
			continue
		}
		status, err := thread.NewStatus()
		return status.CpusAllowedList, err
	}
	return nil, fmt.Errorf("process %d has no thread %d", key.Process, key.Thread)
}

// policyNames are those of sched(7).
var policyNames = map[int]string{unix.SCHED_NORMAL: "other", unix.SCHED_FIFO: "fifo", unix.SCHED_RR: "rr", unix.SCHED_BATCH: "batch",
	unix.SCHED_IDLE: "idle", unix.SCHED_DEADLINE: "deadline"}

// String is one line without the processors that it may use.
func (s Schedule) String() string {
	return fmt.Sprintf("process %d thread %d (%s) on processor %d, %s nice %d, ran %v, waited %v, %d slices", s.Process, s.Thread, s.Command,
		s.Processor, policyNames[s.Policy], s.Nice, s.Ran, s.Waited, s.Slices)
}
