package affinity

import (
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// own is how this process's threads are bound, for all its runs together.
var own = ownThreads{avoided: map[int]int{}}

type ownThreads struct {
	mu       sync.Mutex
	original unix.CPUSet // before the first processor was avoided
	avoided  map[int]int // by processor, by how many runs
}

// allowed are the processors that this process may use, those included that it avoids by itself.
func (o *ownThreads) allowed() (unix.CPUSet, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.avoided) > 0 {
		return o.original, nil
	}
	var set unix.CPUSet
	err := unix.SchedGetaffinity(0, &set)
	return set, err
}

// avoid keeps all threads off some processors, until release is called with the same.
func (o *ownThreads) avoid(processors []int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.avoided) == 0 {
		if err := unix.SchedGetaffinity(0, &o.original); err != nil {
			return err
		}
	}
	for _, processor := range processors {
		o.avoided[processor]++
	}
	o.bind()
	return nil
}

func (o *ownThreads) release(processors []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, processor := range processors {
		if o.avoided[processor]--; o.avoided[processor] <= 0 {
			delete(o.avoided, processor)
		}
	}
	o.bind()
}

// bind binds all threads to what is not avoided, or to all where nothing else is left. It needs the lock.
func (o *ownThreads) bind() {
	rest := o.original
	for processor := range o.avoided {
		rest.Clear(processor)
	}
	if rest.Count() == 0 {
		rest = o.original
	}
	bindThreads(os.Getpid(), &rest)
}

// bindThreads binds the threads of a process. Those that end meanwhile need no binding, and those that start inherit it.
func bindThreads(pid int, set *unix.CPUSet) {
	threads, _ := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/task")
	for _, thread := range threads {
		if id, err := strconv.Atoi(thread.Name()); err == nil {
			unix.SchedSetaffinity(id, set)
		}
	}
}

// StartOn starts a command bound to a processor: a process inherits the binding of the thread that starts it.
func StartOn(command *exec.Cmd, processor int) error {
	own.mu.Lock()
	defer own.mu.Unlock()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	only.Set(processor)
	if err := unix.SchedSetaffinity(0, &only); err != nil {
		return err
	}
	defer unix.SchedSetaffinity(0, &before)
	return command.Start()
}

// bindPasses is how often a group is gone through: a thread may start by one that is not unbound yet.
const bindPasses = 3

// bindGroup binds all processes of a process group. The error is that of reading /proc.
func bindGroup(group int, set *unix.CPUSet) error {
	for range bindPasses {
		processes, err := procfs.AllProcs()
		if err != nil {
			return err
		}
		for _, process := range processes {
			if id, err := unix.Getpgid(process.PID); err == nil && id == group {
				bindThreads(process.PID, set)
			}
		}
	}
	return nil
}
