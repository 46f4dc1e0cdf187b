package stall

import (
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// stateRunnable is the state of a thread that runs on a processor or is ready to, see proc_pid_stat(5).
const stateRunnable = "R"

// ThreadKey identifies a thread by its process id and thread id.
type ThreadKey struct{ Process, Thread int }

// Schedule is the scheduler's account of a runnable thread since its start. The kernel adds a wait to Waited only when the
// thread runs again, so a thread that gets no processor is recognised by a count of time slices that does not change, and not
// by Waited. Source: the kernel's Documentation/scheduler/sched-stats.rst.
type Schedule struct {
	ThreadKey
	Command   string        // command name of the thread
	Processor int           // number of the processor on whose run queue the thread is
	Policy    int           // unix.SCHED_*
	Nice      int           // -20 to 19, lower values get more processor time
	Ran       time.Duration // time on a processor
	Waited    time.Duration // time on a run queue before its time slices so far
	Slices    uint64        // number of time slices
}

// Runnable holds the runnable threads of the machine at one moment.
type Runnable map[ThreadKey]Schedule

// ReadRunnable reads the runnable threads of all processes. Threads that end meanwhile are left out. The error is that of
// reading /proc.
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

// readSchedule reads a thread's schedule; isRunnable is false if the thread is not runnable or has ended.
func readSchedule(pid int, thread procfs.Proc) (schedule Schedule, isRunnable bool) {
	stat, err := thread.Stat()
	if err != nil || stat.State != stateRunnable {
		return Schedule{}, false
	}
	schedstat, err := thread.Schedstat()
	if err != nil {
		return Schedule{}, false
	}
	return Schedule{
		ThreadKey: ThreadKey{Process: pid, Thread: thread.PID},
		Command:   stat.Comm,
		Processor: int(stat.Processor),
		Policy:    int(stat.Policy),
		Nice:      stat.Nice,
		Ran:       time.Duration(schedstat.RunningNanoseconds),
		Waited:    time.Duration(schedstat.WaitingNanoseconds),
		Slices:    schedstat.RunTimeslices,
	}, true
}

// Starved returns the threads that were runnable at both ends of an interval and got no processor in it, sorted by thread id.
func Starved(before, after Runnable) []Schedule {
	var starved []Schedule
	for key, current := range after {
		previous, wasRunnable := before[key]
		if wasRunnable && previous.Slices == current.Slices && previous.Ran == current.Ran {
			starved = append(starved, current)
		}
	}
	slices.SortFunc(starved, func(a, b Schedule) int { return a.Thread - b.Thread })
	return starved
}

// OnProcessor returns the runnable threads on the run queue of a processor, sorted by thread id.
func (r Runnable) OnProcessor(processor int) []Schedule {
	var queued []Schedule
	for _, schedule := range r {
		if schedule.Processor == processor {
			queued = append(queued, schedule)
		}
	}
	slices.SortFunc(queued, func(a, b Schedule) int { return a.Thread - b.Thread })
	return queued
}

// AllowedProcessors returns the numbers of the processors that a thread may use, see CPU affinity in sched(7). It fails if the
// thread has ended or /proc cannot be read.
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

// policyNames maps scheduling policies to the names that sched(7) derives from them.
var policyNames = map[int]string{unix.SCHED_NORMAL: "other", unix.SCHED_FIFO: "fifo", unix.SCHED_RR: "rr", unix.SCHED_BATCH: "batch",
	unix.SCHED_IDLE: "idle", unix.SCHED_DEADLINE: "deadline"}

// String describes the thread in one line, without the processors that it may use.
func (s Schedule) String() string {
	return fmt.Sprintf("process %d thread %d (%s) on processor %d, %s nice %d, ran %v, waited %v, %d slices", s.Process, s.Thread, s.Command,
		s.Processor, policyNames[s.Policy], s.Nice, s.Ran, s.Waited, s.Slices)
}
