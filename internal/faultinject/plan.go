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
	AnyTarget    Target = iota
	Socket              // TCP and UDP sockets
	EventFD             // eventfds: of event loops
	NotEventFD          // anything but eventfds
	OpenedConfig        // for openat: the proxy's configuration
	Output              // standard output
)

// Partial stands in place of an errno: the call transfers only a part of its bytes.
const Partial unix.Errno = 0

// Fault makes one system call fail.
type Fault struct {
	Call   uintptr // unix.SYS_*
	Target Target
	Errno  unix.Errno    // Partial for a short read or write
	Every  int           // the mean number of matching calls from one failure to the next
	Run    int           // how many matching calls in a row then fail, 0 for 1
	From   time.Duration // since the process's start
	To     time.Duration // 0 for no end
	Max    int           // failures in all, 0 for any number
}

// String names the fault as a failing test prints it.
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

var callNames = map[uintptr]string{
	unix.SYS_ACCEPT4: "accept4", unix.SYS_READ: "read", unix.SYS_WRITE: "write", unix.SYS_EPOLL_CTL: "epoll_ctl",
	unix.SYS_EPOLL_PWAIT: "epoll_pwait", unix.SYS_EPOLL_WAIT: "epoll_wait", unix.SYS_SOCKET: "socket",
	unix.SYS_CONNECT: "connect", unix.SYS_FCNTL: "fcntl", unix.SYS_GETPEERNAME: "getpeername",
	unix.SYS_SETSOCKOPT: "setsockopt", unix.SYS_SHUTDOWN: "shutdown", unix.SYS_RECVFROM: "recvfrom",
	unix.SYS_OPENAT: "openat", unix.SYS_BIND: "bind", unix.SYS_LISTEN: "listen", unix.SYS_EVENTFD2: "eventfd2",
	unix.SYS_EPOLL_CREATE1: "epoll_create1", unix.SYS_GETSOCKOPT: "getsockopt", unix.SYS_CLOSE: "close",
	unix.SYS_FSYNC: "fsync", unix.SYS_GETSOCKNAME: "getsockname", unix.SYS_NANOSLEEP: "nanosleep", unix.SYS_MADVISE: "madvise",
}

// Plan is what fails in each process of a run. The same seed draws the same choices; which call meets which choice depends
// on the processes' timing.
type Plan struct {
	Seed   int64
	Faults []Fault
}

func (p Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "plan seed %d", p.Seed)
	for _, f := range p.Faults {
		text.WriteString("\n\t" + f.String())
	}
	return text.String()
}

// calls are the system calls that the plan names, each once.
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

// progress is how far one process is in its plan.
type progress struct {
	plan   Plan
	random *rand.Rand
	start  time.Time
	states []faultState
}

type faultState struct {
	running  int // failures in a row still to come
	failures int
}

func newProgress(plan Plan, process int64) *progress {
	return &progress{plan: plan, random: rand.New(rand.NewSource(plan.Seed + process)), start: time.Now(),
		states: make([]faultState, len(plan.Faults))}
}

// next decides what becomes of one call; matches says whether a fault's target fits it.
func (p *progress) next(call uintptr, matches func(Target) bool) (fault Fault, fails bool) {
	since := time.Since(p.start)
	for i, f := range p.plan.Faults {
		state := &p.states[i]
		if f.Call != call || since < f.From || f.To > 0 && since > f.To || f.Max > 0 && state.failures >= f.Max ||
			!matches(f.Target) {
			continue
		}
		if state.running == 0 && p.random.Intn(max(f.Every, 1)) == 0 {
			state.running = max(f.Run, 1)
		}
		if state.running > 0 {
			state.running--
			state.failures++
			return f, true
		}
	}
	return Fault{}, false
}
