// Package stall finds a process that holds up others which run in step with it, and reads what its threads do. It serves
// benchmarks that let many proxies run in turns: one proxy that neither waits nor ends stops all of them, and is killed by the
// benchmark before it can be inspected. It also finds threads that are ready to run and get no processor, which look the same
// from outside as a process that hangs. The package only reads procfs(5); what to do about a stall is left to the caller.
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

// Usage maps process ids to the processor time, user and system, that each process has used since its start.
type Usage map[int]time.Duration

// ReadUsage reads the processor time of root and its descendants, of those that have the given command name, see
// proc_pid_comm(5). Processes that end meanwhile are left out. The error is that of reading /proc.
func ReadUsage(root int, command string) (Usage, error) {
	stats, err := readStats()
	if err != nil {
		return nil, err
	}
	usage := Usage{}
	for pid, stat := range stats {
		if stat.Comm == command && isDescendant(stats, pid, root) {
			usage[pid] = time.Duration(stat.CPUTime() * float64(time.Second))
		}
	}
	return usage, nil
}

// Descendants returns the ids of the process root and of all its direct and indirect children. The error is that of reading
// /proc.
func Descendants(root int) (map[int]bool, error) {
	stats, err := readStats()
	if err != nil {
		return nil, err
	}
	descendants := map[int]bool{}
	for pid := range stats {
		if isDescendant(stats, pid, root) {
			descendants[pid] = true
		}
	}
	return descendants, nil
}

// readStats reads the state of all processes, by process id.
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

// isDescendant reports whether a process is root or a direct or indirect child of it.
func isDescendant(stats map[int]procfs.ProcStat, pid, root int) bool {
	for pid != 0 && pid != root {
		pid = stats[pid].PPID
	}
	return pid == root
}

// Stall describes how the processor time of an interval is distributed among processes that run in step.
type Stall struct {
	Busiest      int           // id of the process that used the most processor time
	BusiestUsed  time.Duration // processor time that it used in the interval
	OthersUsed   time.Duration // processor time of all others together
	ProcessCount int           // processes that lived through the whole interval
}

// Find compares the usage at the two ends of an interval. It reports a stall if all processes but the busiest one together used
// less processor time than idle. With fewer than minProcesses processes it reports none, as too few show nothing.
func Find(before, after Usage, idle time.Duration, minProcesses int) (stall Stall, isStalled bool) {
	for pid, usedAfter := range after {
		usedBefore, existedBefore := before[pid]
		if !existedBefore {
			continue
		}
		stall.ProcessCount++
		used := usedAfter - usedBefore
		stall.OthersUsed += used
		if used > stall.BusiestUsed || stall.Busiest == 0 {
			stall.Busiest, stall.BusiestUsed = pid, used
		}
	}
	stall.OthersUsed -= stall.BusiestUsed
	return stall, stall.ProcessCount >= minProcesses && stall.OthersUsed < idle
}

// Thread is the state of a thread.
type Thread struct {
	ID          int
	State       string        // a letter, see proc_pid_stat(5)
	Used        time.Duration // processor time, user and system
	WaitChannel string        // the kernel function in which it waits, "" if the kernel does not show it
	SystemCall  string        // its number and arguments, or "running", see proc_pid_syscall(5)
}

// ReadThreads reads the threads of a process, sorted by thread id. Threads that end meanwhile are left out. The error is that
// of reading /proc.
func ReadThreads(pid int) ([]Thread, error) {
	all, err := procfs.AllThreads(pid)
	if err != nil {
		return nil, err
	}
	var threads []Thread
	for _, thread := range all {
		stat, err := thread.Stat()
		if err != nil {
			continue
		}
		directory := fmt.Sprintf("/proc/%d/task/%d/", pid, thread.PID)
		threads = append(threads, Thread{ID: thread.PID, State: stat.State, Used: time.Duration(stat.CPUTime() * float64(time.Second)),
			WaitChannel: readLine(directory + "wchan"), SystemCall: readLine(directory + "syscall")})
	}
	sort.Slice(threads, func(i, j int) bool { return threads[i].ID < threads[j].ID })
	return threads, nil
}

// readLine returns the content of a file without surrounding white space, "" if it cannot be read.
func readLine(file string) string {
	text, _ := os.ReadFile(file) // fails if the thread has ended, or for lack of permission
	return strings.TrimSpace(string(text))
}

// Pattern describes what the threads of a process do, so that processes in the same state have the same pattern. It omits the
// arguments of system calls, which are addresses, and the number of threads in the same state.
func Pattern(threads []Thread) string {
	var parts []string
	for _, thread := range threads {
		call, _, _ := strings.Cut(thread.SystemCall, " ")
		parts = append(parts, strings.Join([]string{thread.State, thread.WaitChannel, call}, " "))
	}
	slices.Sort(parts)
	return strings.Join(slices.Compact(parts), ", ")
}

// Spins reports whether the busiest process has used at least the processor time busy. Only such a process holds up the others
// for certain: if all processes wait, they may wait for the benchmark itself to compute.
func (s Stall) Spins(busy time.Duration) bool { return s.BusiestUsed >= busy }
