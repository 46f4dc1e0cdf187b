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

// ownThreads is the binding of this process's threads, shared by all reservations of the process.
var ownThreads = threadBinding{avoided: map[int]int{}}

// threadBinding keeps the threads of this process off the processors that are avoided.
type threadBinding struct {
	mu       sync.Mutex
	original unix.CPUSet // the processors allowed before the first one was avoided
	avoided  map[int]int // by processor, the number of callers of avoid that have not released it
}

// allowed returns the processors that this process may use, including those that it avoids of its own accord.
func (b *threadBinding) allowed() (unix.CPUSet, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.avoided) > 0 {
		return b.original, nil
	}
	var set unix.CPUSet
	err := unix.SchedGetaffinity(0, &set)
	return set, err
}

// avoid keeps all threads off the given processors until release is called with the same ones.
func (b *threadBinding) avoid(processors []int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.avoided) == 0 {
		if err := unix.SchedGetaffinity(0, &b.original); err != nil {
			return err
		}
	}
	for _, processor := range processors {
		b.avoided[processor]++
	}
	b.bind()
	return nil
}

// release undoes one call of avoid with the same processors.
func (b *threadBinding) release(processors []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, processor := range processors {
		if b.avoided[processor]--; b.avoided[processor] <= 0 {
			delete(b.avoided, processor)
		}
	}
	b.bind()
}

// bind binds all threads to the processors that are not avoided, or to all original ones if none would be left. The caller must
// hold mu.
func (b *threadBinding) bind() {
	remaining := b.original
	for processor := range b.avoided {
		remaining.Clear(processor)
	}
	if remaining.Count() == 0 {
		remaining = b.original
	}
	bindThreads(os.Getpid(), &remaining)
}

// bindThreads binds the threads of a process to a set of processors. Threads that end meanwhile need no binding, and new ones
// inherit it.
func bindThreads(pid int, set *unix.CPUSet) {
	threads, _ := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/task")
	for _, thread := range threads {
		if id, err := strconv.Atoi(thread.Name()); err == nil {
			unix.SchedSetaffinity(id, set)
		}
	}
}

// StartOn starts a command bound to one processor. A process inherits the binding of the thread that starts it, so the calling
// thread is bound for the duration of the call.
func StartOn(command *exec.Cmd, processor int) error {
	ownThreads.mu.Lock()
	defer ownThreads.mu.Unlock()
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

// bindPasses is how often bindGroup goes through a process group, because a thread that is not bound yet may start another one
// meanwhile.
const bindPasses = 3

// bindGroup binds all processes of a process group to a set of processors. The error is that of reading /proc.
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
