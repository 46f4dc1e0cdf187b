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

// stateZombie is the state of a process that has ended and was not waited for, see proc_pid_stat(5).
const stateZombie = "Z"

// boundProcess is a process, not a descendant of this one, that may use only some of the processors that this process may use.
type boundProcess struct {
	id         int
	command    string      // command name, see proc_pid_comm(5)
	processors unix.CPUSet // the processors that it may use
}

// String describes the process as the reason why a processor is not free.
func (b *boundProcess) String() string {
	return fmt.Sprintf("has process %d (%s) bound to it", b.id, b.command)
}

// boundProcesses returns the processes that may use only some of the allowed processors, judged by their first threads. This
// process, its descendants and the kernel's own threads are left out. The error is that of reading /proc.
func boundProcesses(allowed *unix.CPUSet) ([]boundProcess, error) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil, err
	}
	var bound []boundProcess
	for _, entry := range entries {
		id, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue // not a process
		}
		process := boundProcess{id: id}
		if err := unix.SchedGetaffinity(id, &process.processors); err != nil || !containsSome(&process.processors, allowed) {
			continue // the process has ended, or may use all allowed processors or none of them
		}
		if process.readCommand() {
			bound = append(bound, process)
		}
	}
	return bound, nil
}

// containsSome reports whether a set contains some of the allowed processors but not all.
func containsSome(set, allowed *unix.CPUSet) bool {
	common := 0
	for processor := range maxProcessors {
		if set.IsSet(processor) && allowed.IsSet(processor) {
			common++
		}
	}
	return common > 0 && common < allowed.Count()
}

// readCommand reads the process's command name. It returns false for a process that has ended, a kernel thread, this process
// and its descendants.
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
	return b.id != os.Getpid() && !isSelfOrDescendant(stat.PPID)
}

// isSelfOrDescendant reports whether a process id is that of this process or of one of its descendants.
func isSelfOrDescendant(id int) bool {
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
