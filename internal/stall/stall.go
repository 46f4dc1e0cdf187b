// Package stall finds a process that holds up others which run in step with it, and says what its threads do. It is for a bench
// that lets many proxies run by turns: one that neither waits nor ends stops them all, and is killed before it can be looked at.
// It also finds threads that are ready to run and get no processor, which look like one that hangs. The package only reads
// procfs(5); what is done about a stall is its user's.
package stall

import (
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/prometheus/procfs"
)

// Usage is the processor time that each process has used, by its id.
type Usage map[int]time.Duration

// ReadUsage reads the processor time of the descendants of a process that have a command name, see proc_pid_comm(5). Processes
// that end meanwhile are left out. The error is that of reading /proc.
func ReadUsage(root int, command string) (Usage, error) {
	stats, err := readStats()
	if err != nil {
		return nil, err
	}
	usage := Usage{}
	for pid, stat := range stats {
		if stat.Comm == command && descends(stats, pid, root) {
			usage[pid] = time.Duration(stat.CPUTime() * float64(time.Second))
		}
	}
	return usage, nil
}

// Descendants returns the ids of the processes that are children of root, or of one that is. The error is that of reading /proc.
func Descendants(root int) (map[int]bool, error) {
	stats, err := readStats()
	if err != nil {
		return nil, err
	}
	descendants := map[int]bool{}
	for pid := range stats {
		if descends(stats, pid, root) {
			descendants[pid] = true
		}
	}
	return descendants, nil
}

// readStats reads the state of all processes, by their ids.
func readStats() (map[int]procfs.ProcStat, error) {
	processes, err := procfs.AllProcs()
	if err != nil {
		return nil, err
	}
	stats := map[int]procfs.ProcStat{}
	for _, process := range processes {
		if stat, err := process.Stat(); err == nil {
			stats[process.PID] = stat
		}
	}
	return stats, nil
}

// descends reports whether a process is a child of root, or of one that is.
func descends(stats map[int]procfs.ProcStat, pid, root int) bool {
	for pid != 0 && pid != root {
		pid = stats[pid].PPID
	}
	return pid == root
}

// Stall is a span in which all processes but one stood still.
type Stall struct {
	Busiest      int           // the process that used the most processor time
	BusiestUsed  time.Duration // by it
	OthersUsed   time.Duration // by all others together
	ProcessCount int           // of those that lived through the span
}

// Find compares the usage at the two ends of a span. It reports a stall if all processes but the busiest one used less than
// idle together. Fewer processes than minProcesses show nothing.
func Find(before, after Usage, idle time.Duration, minProcesses int) (found Stall, isStalled bool) {
	for pid, usedAfter := range after {
		usedBefore, wasThere := before[pid]
		if !wasThere {
			continue
		}
		found.ProcessCount++
		used := usedAfter - usedBefore
		found.OthersUsed += used
		if used > found.BusiestUsed || found.Busiest == 0 {
			found.Busiest, found.BusiestUsed = pid, used
		}
	}
	found.OthersUsed -= found.BusiestUsed
	return found, found.ProcessCount >= minProcesses && found.OthersUsed < idle
}

// Thread is the state of one thread.
type Thread struct {
	ID          int
	State       string // a letter, see proc_pid_stat(5)
	Used        time.Duration
	WaitChannel string // where in the kernel it waits, "" where that is not shown
	SystemCall  string // its number and arguments, or "running", see proc_pid_syscall(5)
}

// ReadThreads reads the threads of a process, by their ids. The error is that of reading /proc; threads that end meanwhile are
// left out.
func ReadThreads(pid int) ([]Thread, error) {
	all, err := procfs.AllThreads(pid)
	if err != nil {
		return nil, err
	}
	var threads []Thread
	for _, one := range all {
		stat, err := one.Stat()
		if err != nil {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/task/%d/", pid, one.PID)
		threads = append(threads, Thread{ID: one.PID, State: stat.State, Used: time.Duration(stat.CPUTime() * float64(time.Second)),
			WaitChannel: readLine(folder + "wchan"), SystemCall: readLine(folder + "syscall")})
	}
	sort.Slice(threads, func(i, j int) bool { return threads[i].ID < threads[j].ID })
	return threads, nil
}

func readLine(file string) string {
	text, _ := os.ReadFile(file) // "" for a thread that has ended, or one that must not be read
	return strings.TrimSpace(string(text))
}

// Pattern is what a process's threads do, in a form that is the same for processes that do the same: addresses are left out, and
// how many threads do it.
func Pattern(threads []Thread) string {
	var parts []string
	for _, thread := range threads {
		call, _, _ := strings.Cut(thread.SystemCall, " ")
		parts = append(parts, strings.Join([]string{thread.State, thread.WaitChannel, call}, " "))
	}
	slices.Sort(parts)
	return strings.Join(slices.Compact(parts), ", ")
}

// Spins reports whether the busiest process has used as much as busy. Only such a one holds up the others for certain: where all
// wait, the bench itself may reckon.
func (s Stall) Spins(busy time.Duration) bool { return s.BusiestUsed >= busy }
