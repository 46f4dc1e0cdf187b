package faultinject

import (
	"fmt"
	"math/rand"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Target is the kind of descriptor that a fault is limited to.
type Target int

// Targets.
const (
	AnyTarget      Target = iota // any descriptor or none
	Socket                       // TCP and UDP sockets
	EventFD                      // eventfds, which wake event loops
	NotEventFD                   // any descriptor but eventfds
	OpenedConfig                 // openat of a path that ends in config.json, the proxy's configuration
	StandardOutput               // standard output
)

// Partial takes the place of an errno: the call succeeds but transfers only a part of its bytes.
const Partial unix.Errno = 0

// Fault makes matching calls of one system call fail.
type Fault struct {
	Call   uintptr       // unix.SYS_*
	Target Target        // calls of other targets don't match
	Errno  unix.Errno    // error of the failing calls; Partial for a short read or write
	Every  int           // mean number of matching calls from one failure to the next
	Run    int           // number of matching calls in a row that fail at each failure, 0 for 1
	From   time.Duration // start of the fault, since the controller met the process
	To     time.Duration // end of the fault, since the controller met the process; 0 for none
	Max    int           // most failures in a process, 0 for any number
}

// String returns the fault as failing tests print it; it also identifies the fault in Controller.Failures.
func (f Fault) String() string {
	name := callNames[f.Call]
	if name == "" {
		name = fmt.Sprint(f.Call)
	}
	how := "partial"
	if f.Errno != Partial {
		how = unix.ErrnoName(f.Errno)
	}
	return fmt.Sprintf("%s=%s target %d every %d run %d from %v to %v max %d", name, how, f.Target, f.Every, f.Run, f.From,
		f.To, f.Max)
}

// callNames are the names of the system calls that plans of this project use.
var callNames = map[uintptr]string{
	unix.SYS_ACCEPT4: "accept4", unix.SYS_READ: "read", unix.SYS_WRITE: "write", unix.SYS_EPOLL_CTL: "epoll_ctl",
	unix.SYS_EPOLL_PWAIT: "epoll_pwait", EpollWait: "epoll_wait", unix.SYS_SOCKET: "socket",
	unix.SYS_CONNECT: "connect", unix.SYS_FCNTL: "fcntl", unix.SYS_GETPEERNAME: "getpeername",
	unix.SYS_SETSOCKOPT: "setsockopt", unix.SYS_SHUTDOWN: "shutdown", unix.SYS_RECVFROM: "recvfrom",
	unix.SYS_OPENAT: "openat", unix.SYS_BIND: "bind", unix.SYS_LISTEN: "listen", unix.SYS_EVENTFD2: "eventfd2",
	unix.SYS_EPOLL_CREATE1: "epoll_create1", unix.SYS_GETSOCKOPT: "getsockopt", unix.SYS_CLOSE: "close",
	unix.SYS_FSYNC: "fsync", unix.SYS_GETSOCKNAME: "getsockname", unix.SYS_NANOSLEEP: "nanosleep", unix.SYS_MADVISE: "madvise",
}

// Plan is the list of faults of each process of a run. The same seed gives the same draws; which call gets which draw depends
// on the timing of the processes.
type Plan struct {
	Seed   int64
	Faults []Fault
}

// String returns the plan as failing tests print it.
func (p Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "plan seed %d", p.Seed)
	for _, f := range p.Faults {
		text.WriteString("\n\t" + f.String())
	}
	return text.String()
}

// calls returns the system calls that the plan names, each once.
func (p Plan) calls() []uintptr {
	var calls []uintptr
	seen := map[uintptr]bool{}
	for _, f := range p.Faults {
		if !seen[f.Call] {
			seen[f.Call] = true
			calls = append(calls, f.Call)
		}
	}
	return calls
}

// progress is the state of a plan in one process.
type progress struct {
	plan   Plan
	random *rand.Rand
	start  time.Time    // when the controller met the process
	states []faultState // by index of the fault
}

// faultState is the state of one fault in one process.
type faultState struct {
	remaining int // failures in a row still to come
	failures  int
}

// newProgress returns the state of a plan in the process with a number, from 1, that sets its draws.
func newProgress(plan Plan, process int64) *progress {
	return &progress{plan: plan, random: rand.New(rand.NewSource(plan.Seed + process)), start: time.Now(),
		states: make([]faultState, len(plan.Faults))}
}

// nextFault returns the fault that fails a call, false for none. matches reports whether a fault's target fits the call. The
// first fault of the plan that applies is taken.
func (p *progress) nextFault(call uintptr, matches func(Target) bool) (fault Fault, shouldFail bool) {
	elapsed := time.Since(p.start)
	for i, f := range p.plan.Faults {
		state := &p.states[i]
		if f.Call != call || elapsed < f.From || f.To > 0 && elapsed > f.To || f.Max > 0 && state.failures >= f.Max ||
			!matches(f.Target) {
			continue
		}
		if state.remaining == 0 && p.random.Intn(max(f.Every, 1)) == 0 {
			state.remaining = max(f.Run, 1)
		}
		if state.remaining > 0 {
			state.remaining--
			state.failures++
			return f, true
		}
	}
	return Fault{}, false
}
