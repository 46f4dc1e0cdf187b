// Stallwatch runs a benchmark that lets many proxies run in step, and watches the proxies from outside. When all but one of
// them have been idle for some seconds, it prints the state of their threads. If that one process spins, stallwatch sends it
// SIGQUIT, so that it prints its goroutines and ends: the state can only be inspected while the stall lasts. If all processes
// wait, none is signalled, as they may wait for the benchmark itself to compute. Stallwatch also prints the threads of the run,
// of any command, that are ready to run and get no processor, and what else is ready on the same processors.
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

// options are the command-line flags and arguments.
type options struct {
	Name         string        `default:"chalkferry" help:"The command name of the processes to watch."`
	Every        time.Duration `default:"1s" help:"The time between two samples."`
	Span         time.Duration `default:"3s" help:"How long all but one process must be idle to count as a stall."`
	Idle         time.Duration `default:"60ms" help:"The processor time in the span, of these processes together, below which they count as idle."`
	MinProcesses int           `default:"20" help:"The number of processes below which no stall is reported."`
	Command      []string      `arg:"" passthrough:"" help:"The command to run, with its arguments."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Run a benchmark of many proxies and report the one that holds up the others."))
	code, err := o.run(os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stallwatch:", err)
	}
	os.Exit(code)
}

// run runs the command to its end, watches it meanwhile, and returns its exit code. It writes what it finds to report.
func (o *options) run(report io.Writer) (exitCode int, err error) {
	command := exec.Command(o.Command[0], o.Command[1:]...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	if err := command.Start(); err != nil {
		return 1, err
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	w := &watch{options: o, root: command.Process.Pid, report: report}
	ticker := time.NewTicker(o.Every)
	defer ticker.Stop()
	for {
		select {
		case err := <-exited:
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				return exit.ExitCode(), nil
			}
			return 0, err
		case <-ticker.C:
			if err := w.sample(); err != nil {
				fmt.Fprintln(report, "stallwatch:", err)
			}
		}
	}
}

// minSpinShare is the share of the span for which a process must have used the processor to count as spinning.
const minSpinShare = 0.5

// watch holds the samples of a run.
type watch struct {
	*options
	root      int // process id of the command
	report    io.Writer
	snapshots []snapshot // of the last span, oldest first; nil after a report
}

// snapshot is the state of the watched processes at one moment.
type snapshot struct {
	takenAt  time.Time
	usage    stall.Usage
	runnable stall.Runnable
}

// sample takes a snapshot, compares it with the one taken a span ago, and reports a stall or threads without a processor.
func (w *watch) sample() error {
	usage, err := stall.ReadUsage(w.root, w.Name)
	if err != nil {
		return err
	}
	runnable, err := stall.ReadRunnable()
	if err != nil {
		return err
	}
	now := time.Now()
	w.snapshots = append(w.snapshots, snapshot{now, usage, runnable})
	if now.Sub(w.snapshots[0].takenAt) < w.Span {
		return nil
	}
	before := w.snapshots[0]
	w.snapshots = w.snapshots[1:]
	isStarved, err := w.reportStarved(before.runnable, runnable)
	if err != nil {
		return err
	}
	stalled, isStalled := stall.Find(before.usage, usage, w.Idle, w.MinProcesses)
	if isStarved || isStalled {
		w.snapshots = nil // so that the next report comes after a whole span at the earliest
	}
	if !isStalled {
		return nil
	}
	return w.reportStall(stalled, usage)
}

// reportStall prints what the processes do, with those in the same state grouped and the threads of each one that is alone in
// its state. It sends SIGQUIT to a process that spins, so that it prints its goroutines.
func (w *watch) reportStall(stalled stall.Stall, usage stall.Usage) error {
	fmt.Fprintf(w.report, "STALL: %d processes; %d has used %v of the last %v, the others %v\n", stalled.ProcessCount, stalled.Busiest,
		stalled.BusiestUsed, w.Span, stalled.OthersUsed)
	threadsByProcess, processesByPattern := map[int][]stall.Thread{}, map[string][]int{}
	for pid := range usage {
		threads, err := stall.ReadThreads(pid)
		if err != nil {
			continue // the process has ended
		}
		threadsByProcess[pid] = threads
		processesByPattern[stall.Pattern(threads)] = append(processesByPattern[stall.Pattern(threads)], pid)
	}
	for pattern, pids := range processesByPattern {
		fmt.Fprintf(w.report, "%d of them: %s\n", len(pids), pattern)
		if len(pids) == 1 {
			w.printThreads(pids[0], threadsByProcess[pids[0]])
		}
	}
	if !stalled.Spins(time.Duration(minSpinShare * float64(w.Span))) {
		return nil
	}
	pid := stalled.Busiest
	w.printThreads(pid, threadsByProcess[pid])
	thread := w.busiestThread(pid, threadsByProcess[pid])
	fmt.Fprintf(w.report, "SIGQUIT to thread %d of process %d\n", thread, pid)
	return unix.Tgkill(pid, thread, unix.SIGQUIT)
}

// printThreads prints a line for each thread.
func (w *watch) printThreads(pid int, threads []stall.Thread) {
	for _, thread := range threads {
		fmt.Fprintf(w.report, "process %d %+v\n", pid, thread)
	}
}

// busiestThread reads the threads again after one sampling interval and returns the id of the one that has used the most
// processor time since. The signal has to be handled by that thread: where one thread of a process runs at a time, no other
// thread gets to run.
func (w *watch) busiestThread(pid int, before []stall.Thread) (id int) {
	time.Sleep(w.Every)
	usedBefore := map[int]time.Duration{}
	for _, thread := range before {
		usedBefore[thread.ID] = thread.Used
	}
	current, _ := stall.ReadThreads(pid)
	id, mostUsed := pid, time.Duration(0)
	for _, thread := range current {
		if used := thread.Used - usedBefore[thread.ID]; used > mostUsed {
			id, mostUsed = thread.ID, used
		}
	}
	return id
}
