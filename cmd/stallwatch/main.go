// Stallwatch runs a bench that lets many proxies run in step, and watches them from outside. When all but one of them stand
// still for some seconds it prints the state of their threads, and asks one that spins for its goroutines (SIGQUIT, which ends
// it): a stall is evidence only while it lasts. Where all wait nobody is signalled: the bench itself may reckon. It also prints
// the threads of the run, of any command, that are ready to run and get no processor, and what else is ready there.
//
//	stallwatch lbreal score SITE --quick --env GOTRACEBACK=system --logs DIR --why TEXT
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sys/unix"

	"chalkferry/internal/stall"
)

type options struct {
	Name         string        `default:"chalkferry" help:"The command name of the processes that are watched."`
	Every        time.Duration `default:"1s" help:"The time between two looks."`
	Span         time.Duration `default:"3s" help:"How long all but one process must stand still."`
	Idle         time.Duration `default:"60ms" help:"The processor time in the span below which they count as standing still, together."`
	MinProcesses int           `default:"20" help:"The number of processes below which nothing is said."`
	Command      []string      `arg:"" passthrough:"" help:"The command to run, with its arguments."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Run a bench of many proxies and say which one holds up the others."))
	code, err := o.run(os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stallwatch:", err)
	}
	os.Exit(code)
}

// run runs the command to its end, and returns its exit code.
func (o *options) run(report io.Writer) (exitCode int, err error) {
	command := exec.Command(o.Command[0], o.Command[1:]...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	if err := command.Start(); err != nil {
		return 1, err
	}
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	w := &watch{options: o, root: command.Process.Pid, report: report}
	ticker := time.NewTicker(o.Every)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				return exit.ExitCode(), nil
			}
			return 0, err
		case <-ticker.C:
			if err := w.look(); err != nil {
				fmt.Fprintln(report, "stallwatch:", err)
			}
		}
	}
}

// busyShare is the part of the span for which a process that spins has used the processor at least.
const busyShare = 0.5

// watch is what has been seen of a run.
type watch struct {
	*options
	root   int
	report io.Writer
	seen   []sample // of the last span, oldest first
}

type sample struct {
	at       time.Time
	usage    stall.Usage
	runnable stall.Runnable
}

// look compares the processes with what they were a span ago.
func (w *watch) look() error {
	usage, err := stall.ReadUsage(w.root, w.Name)
	if err != nil {
		return err
	}
	runnable, err := stall.ReadRunnable()
	if err != nil {
		return err
	}
	now := time.Now()
	w.seen = append(w.seen, sample{now, usage, runnable})
	if now.Sub(w.seen[0].at) < w.Span {
		return nil
	}
	before := w.seen[0]
	w.seen = w.seen[1:]
	isStarved, err := w.reportStarved(before.runnable, runnable)
	if err != nil {
		return err
	}
	found, isStalled := stall.Find(before.usage, usage, w.Idle, w.MinProcesses)
	if isStarved || isStalled {
		w.seen = nil // the next report is a span away at least
	}
	if !isStalled {
		return nil
	}
	return w.reportStall(found, usage)
}

// reportStall prints what all processes do, those that do the same as one, and asks one that spins for its goroutines.
func (w *watch) reportStall(found stall.Stall, usage stall.Usage) error {
	fmt.Fprintf(w.report, "STALL: %d processes; %d has used %v of the last %v, the others %v\n", found.ProcessCount, found.Busiest,
		found.BusiestUsed, w.Span, found.OthersUsed)
	threads, alike := map[int][]stall.Thread{}, map[string][]int{}
	for pid := range usage {
		of, err := stall.ReadThreads(pid)
		if err != nil {
			continue // it has ended
		}
		threads[pid] = of
		alike[stall.Pattern(of)] = append(alike[stall.Pattern(of)], pid)
	}
	for pattern, pids := range alike {
		fmt.Fprintf(w.report, "%d of them: %s\n", len(pids), pattern)
		if len(pids) == 1 {
			w.printThreads(pids[0], threads[pids[0]])
		}
	}
	if !found.Spins(time.Duration(busyShare * float64(w.Span))) {
		return nil
	}
	pid := found.Busiest
	w.printThreads(pid, threads[pid])
	thread := w.busiestThread(pid, threads[pid])
	fmt.Fprintf(w.report, "SIGQUIT to thread %d of process %d\n", thread, pid)
	return unix.Tgkill(pid, thread, unix.SIGQUIT)
}

func (w *watch) printThreads(pid int, threads []stall.Thread) {
	for _, thread := range threads {
		fmt.Fprintf(w.report, "process %d %+v\n", pid, thread)
	}
}

// busiestThread looks at the threads once more, a moment later, and returns the one that has used the most since. The signal
// has to be handled there: where one thread runs at a time, no other one does.
func (w *watch) busiestThread(pid int, before []stall.Thread) (id int) {
	time.Sleep(w.Every)
	used := map[int]time.Duration{}
	for _, thread := range before {
		used[thread.ID] = thread.Used
	}
	now, _ := stall.ReadThreads(pid)
	id, most := pid, time.Duration(0)
	for _, thread := range now {
		if more := thread.Used - used[thread.ID]; more > most {
			id, most = thread.ID, more
		}
	}
	return id
}
