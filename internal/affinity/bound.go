package affinity

import (
	"fmt"
	"os"
	"strconv"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// flagKernelThread is PF_KTHREAD of the kernel's include/linux/sched.h, in the flags of proc_pid_stat(5).
const flagKernelThread = 0x200000

// stateZombie is the state of a process that has ended, see proc_pid_stat(5).
const stateZombie = "Z"

// boundProcess is a process of others that may use only some of the processors that this one may use.
type boundProcess struct {
	id         int
	command    string
	processors unix.CPUSet
}

func (b *boundProcess) String() string {
	return fmt.Sprintf("has process %d (%s) bound to it", b.id, b.command)
}

// boundProcesses reads the processes that are bound to some of the allowed processors, by their first threads, but for this
// process, its descendants and the kernel's own threads. The error is that of reading /proc.
func boundProcesses(allowed *unix.CPUSet) ([]boundProcess, error) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil, err
	}
	var bound []boundProcess
	for _, entry := range entries {
		id, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue // no process
		}
		process := boundProcess{id: id}
		if err := unix.SchedGetaffinity(id, &process.processors); err != nil || !isPart(&process.processors, allowed) {
			continue // it has ended, or may use all that are allowed here
		}
		if process.readCommand() {
			bound = append(bound, process)
		}
	}
	return bound, nil
}

// isPart reports whether a set has some of the allowed processors and not all.
func isPart(set, allowed *unix.CPUSet) bool {
	both := 0
	for processor := range maxProcessors {
		if set.IsSet(processor) && allowed.IsSet(processor) {
			both++
		}
	}
	return both > 0 && both < allowed.Count()
}

// readCommand reads the process's name, and reports whether it is another's: not of the kernel, this process or a descendant.
func (b *boundProcess) readCommand() bool {
	process, err := procfs.NewProc(b.id)
	if err != nil {
		return false
	}
	stat, err := process.Stat()
	if err != nil || stat.Flags&flagKernelThread != 0 || stat.State == stateZombie {
		return false
	}
	b.command = stat.Comm
	return b.id != os.Getpid() && !isDescendant(stat.PPID)
}

// isDescendant reports whether this process is one, by its id, or an ancestor of it.
func isDescendant(id int) bool {
	for id > 1 && id != os.Getpid() {
		process, err := procfs.NewProc(id)
		if err != nil {
			return false
		}
		stat, err := process.Stat()
		if err != nil {
			return false
		}
		id = stat.PPID
	}
	return id == os.Getpid()
}

// holderOf returns the first process that is bound to a processor, nil for none.
func holderOf(bound []boundProcess, processor int) *boundProcess {
	for i := range bound {
		if bound[i].processors.IsSet(processor) {
			return &bound[i]
		}
	}
	return nil
}
