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

// traceCmd records and edits traces.
type traceCmd struct {
	Record traceRecordCmd `cmd:"" help:"Make a trace of a proxy's log."`
	Check  traceCheckCmd  `cmd:"" help:"Read traces and say what is wrong with them, or what they hold."`
	Cut    traceCutCmd    `cmd:"" help:"Keep what arrives within a span."`
	Scale  traceScaleCmd  `cmd:"" help:"Make it of more or fewer sessions, or faster."`
	Merge  traceMergeCmd  `cmd:"" help:"Lay traces over one another."`
}

// traceRecordCmd makes a trace of proxies' logs.
type traceRecordCmd struct {
	Log []string `arg:"" type:"existingfile" help:"Logs of proxies, of one clock."`
	Out string   `short:"o" help:"A file for the trace; standard output without."`
}

func (c *traceRecordCmd) Run() error {
	var all [][]trace.Session
	var starts []time.Time
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
			all, starts = append(all, sessions), append(starts, start)
		}
	}
	for i := range all {
		all[i] = trace.Shift(all[i], starts[i].Sub(slices.MinFunc(starts, time.Time.Compare)))
	}
	sessions := trace.Merge(all...)
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

// traceCutCmd keeps a span of a trace.
type traceCutCmd struct {
	File string      `arg:"" type:"existingfile"`
	From strict.Span `help:"Since the trace's start." default:"0s"`
	To   strict.Span `help:"Since the trace's start." required:""`
	Out  string      `short:"o" help:"A file for the trace; standard output without."`
}

func (c *traceCutCmd) Run() error {
	if c.From < 0 || c.To <= c.From {
		return fmt.Errorf("nothing lies between %v and %v", c.From, c.To)
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
	Factor float64     `default:"1" help:"How many times as many sessions."`
	Speed  float64     `default:"1" help:"How many times as fast, 1 to 100."`
	Spread strict.Span `default:"1s" help:"How much later copies may come."`
	Seed   int64       `default:"1"`
	Out    string      `short:"o" help:"A file for the trace; standard output without."`
}

func (c *traceScaleCmd) Run() error {
	if c.Factor <= 0 || c.Speed < 1 || c.Speed > 100 {
		return fmt.Errorf("a factor above 0 and a speed of 1 to 100 are wanted, not %g and %g", c.Factor, c.Speed)
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
	Out  string   `short:"o" help:"A file for the trace; standard output without."`
}

func (c *traceMergeCmd) Run() error {
	var all [][]trace.Session
	for _, name := range c.File {
		sessions, err := readTrace(name)
		if err != nil {
			return err
		}
		all = append(all, sessions)
	}
	return writeTrace(c.Out, strings.Join(c.File, " and "), trace.Merge(all...))
}

// readTrace reads a trace from a file.
func readTrace(name string) ([]trace.Session, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return trace.Read(name, bufio.NewReader(file))
}

// writeTrace writes a trace to a file, or to standard output.
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
