package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"os"
	"slices"
	"strings"
	"time"

	"chalkferry/internal/strict"
	"chalkferry/internal/trace"
)

// traceCmd groups the commands for traces, which are recorded arrivals of sessions.
type traceCmd struct {
	Record traceRecordCmd `cmd:"" help:"Make a trace from proxies' logs."`
	Check  traceCheckCmd  `cmd:"" help:"Validate traces and print a summary of each."`
	Cut    traceCutCmd    `cmd:"" help:"Keep the sessions that arrive within a span of time."`
	Scale  traceScaleCmd  `cmd:"" help:"Change the number of sessions, or the speed."`
	Merge  traceMergeCmd  `cmd:"" help:"Combine traces into one, each from its start."`
}

// traceRecordCmd makes a trace from proxies' logs.
type traceRecordCmd struct {
	Log []string `arg:"" type:"existingfile" help:"Logs of proxies. Their clocks must agree."`
	Out string   `short:"o" help:"A file for the trace; by default standard output."`
}

func (c *traceRecordCmd) Run() error {
	var traces [][]trace.Session // of each log with sessions
	var starts []time.Time       // of the traces
	skipped := 0
	for _, name := range c.Log {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		sessions, start, skippedLines, err := trace.FromLog(name, file)
		file.Close()
		if err != nil {
			return err
		}
		skipped += skippedLines
		if len(sessions) > 0 {
			traces, starts = append(traces, sessions), append(starts, start)
		}
	}
	for i := range traces {
		traces[i] = trace.Shift(traces[i], starts[i].Sub(slices.MinFunc(starts, time.Time.Compare)))
	}
	sessions := trace.Merge(traces...)
	fmt.Fprintf(os.Stderr, "%d sessions; %d lines are no session's\n", len(sessions), skipped)
	return writeTrace(c.Out, "log "+strings.Join(c.Log, " "), sessions)
}

// traceCheckCmd reads traces and summarizes them.
type traceCheckCmd struct {
	File []string `arg:"" type:"existingfile"`
}

func (c *traceCheckCmd) Run() error {
	for _, name := range c.File {
		sessions, err := readTrace(name)
		if err != nil {
			return err
		}
		listeners, clients, span := map[string]int{}, map[string]bool{}, time.Duration(0)
		for _, s := range sessions {
			listeners[s.Listener]++
			clients[s.Key] = true
			span = s.ArrivesAt()
		}
		fmt.Printf("%s: %d sessions of %d clients over %v, by listener %v\n", name, len(sessions), len(clients), span.Round(time.Millisecond), listeners)
	}
	return nil
}

// traceCutCmd keeps the sessions of a trace that arrive within a span of time.
type traceCutCmd struct {
	File string      `arg:"" type:"existingfile"`
	From strict.Span `help:"Start of the span, since the start of the trace." default:"0s"`
	To   strict.Span `help:"End of the span, since the start of the trace." required:""`
	Out  string      `short:"o" help:"A file for the trace; by default standard output."`
}

func (c *traceCutCmd) Run() error {
	if c.From < 0 || c.To <= c.From {
		return fmt.Errorf("the span from %v to %v is empty or begins before the trace", c.From, c.To)
	}
	sessions, err := readTrace(c.File)
	if err != nil {
		return err
	}
	return writeTrace(c.Out, fmt.Sprintf("%s from %v to %v", c.File, c.From, c.To), trace.Cut(sessions, c.From.D(), c.To.D()))
}

// traceScaleCmd changes the number of sessions or the speed.
type traceScaleCmd struct {
	File   string      `arg:"" type:"existingfile"`
	Factor float64     `default:"1" help:"Factor by which the number of sessions is multiplied."`
	Speed  float64     `default:"1" help:"Factor by which arrivals are sped up, 1 to 100."`
	Spread strict.Span `default:"1s" help:"Longest time by which the copy of a session arrives after it."`
	Seed   int64       `default:"1" help:"Random seed."`
	Out    string      `short:"o" help:"A file for the trace; by default standard output."`
}

func (c *traceScaleCmd) Run() error {
	if c.Factor <= 0 || c.Speed < 1 || c.Speed > 100 {
		return fmt.Errorf("the factor must be above 0 and the speed 1 to 100, not %g and %g", c.Factor, c.Speed)
	}
	sessions, err := readTrace(c.File)
	if err != nil {
		return err
	}
	if c.Factor != 1 {
		sessions = trace.Scale(sessions, c.Factor, c.Spread.D(), rand.New(rand.NewSource(c.Seed)))
	}
	return writeTrace(c.Out, fmt.Sprintf("%s times %g at speed %g", c.File, c.Factor, c.Speed), trace.Speed(sessions, c.Speed))
}

// traceMergeCmd combines traces.
type traceMergeCmd struct {
	File []string `arg:"" type:"existingfile"`
	Out  string   `short:"o" help:"A file for the trace; by default standard output."`
}

func (c *traceMergeCmd) Run() error {
	var traces [][]trace.Session
	for _, name := range c.File {
		sessions, err := readTrace(name)
		if err != nil {
			return err
		}
		traces = append(traces, sessions)
	}
	return writeTrace(c.Out, strings.Join(c.File, " and "), trace.Merge(traces...))
}

// readTrace reads a trace from a file. Errors in it name the line.
func readTrace(name string) ([]trace.Session, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return trace.Read(name, bufio.NewReader(file))
}

// writeTrace writes a trace to a file, or to standard output if the name is empty. source describes where the trace comes
// from.
func writeTrace(name, source string, sessions []trace.Session) error {
	if name == "" {
		return trace.Write(io.Writer(os.Stdout), source, sessions)
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := trace.Write(file, source, sessions); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
