package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/mattn/go-isatty"

	"chalkferry/internal/rehearse"
	"chalkferry/internal/strict"
	"chalkferry/internal/trace"
)

// runFlags change a scenario's length and arrivals.
type runFlags struct {
	Length strict.Span `help:"In place of the scenario's; faults must still lie within."`
	Rate   float64     `help:"Sessions a second, in place of the scenario's arrivals."`
}

func (f runFlags) apply(s *rehearse.Scenario) error {
	if f.Length > 0 {
		if err := s.Shorten(f.Length.D()); err != nil {
			return err
		}
	}
	if f.Rate > 0 {
		s.SetRate(f.Rate)
	}
	return nil
}

// traceFlags replace a scenario's arrivals by a trace. They take precedence over a rate.
type traceFlags struct {
	Trace string  `help:"A trace to replay, in place of the scenario's arrivals." type:"existingfile"`
	Speed float64 `default:"1" help:"How many times as fast the trace passes, 1 to 100."`
	Scale float64 `default:"1" help:"How many times as many sessions the trace has."`
}

func (f traceFlags) apply(s *rehearse.Scenario) error {
	if f.Trace == "" {
		return nil
	}
	return s.Replay(f.Trace, f.Speed, f.Scale)
}

// rehearseCmd runs a scenario on the simulated platform.
type rehearseCmd struct {
	runFlags
	traceFlags
	Scenario string  `arg:"" optional:"" default:"calm" help:"A built-in scenario's name, or a TOML file."`
	Proxy    string  `help:"The program under test; this one without."`
	Seed     int64   `help:"In place of the scenario's."`
	JSON     string  `name:"json" help:"A file for the whole report."`
	HTML     string  `name:"html" help:"A file for the report as a page with plots."`
	Record   string  `help:"A file for a trace of what arrived."`
	Logs     string  `help:"A folder that keeps the proxies' logs."`
	Profiles string  `help:"A folder for profiles of the proxies' CPU."`
	Direct   bool    `help:"Clients connect to the nodes, with no proxy between: what a line's way costs without one."`
	Climb    float64 `help:"Raise the rate by this factor from run to run, until the p99 of the handshake has doubled."`
	Steps    int     `default:"20" help:"Of a climb, at most."`
	List     bool    `help:"Name the built-in scenarios and end."`
	Check    bool    `help:"Read the scenario, say what is wrong with it, and start nothing."`
}

func (c *rehearseCmd) Run() error {
	if c.List {
		return listScenarios()
	}
	s, err := c.scenario()
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("the scenario is good")
		return nil
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Record != "" {
		if err := c.record(s); err != nil {
			return err
		}
	}
	if c.Climb != 0 {
		return c.climb(ctx, s, options)
	}
	r, err := rehearse.Run(ctx, s, options)
	if err != nil {
		return err
	}
	return report(r, c.JSON, c.HTML)
}

func listScenarios() error {
	for _, name := range rehearse.BuiltIn() {
		s, err := rehearse.Load(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-16s %s\n", name, s.About)
	}
	return nil
}

// scenario loads the scenario and applies the flags to it.
func (c *rehearseCmd) scenario() (*rehearse.Scenario, error) {
	s, err := rehearse.Load(c.Scenario)
	if err != nil {
		return nil, err
	}
	if c.Seed != 0 {
		s.Seed = c.Seed
	}
	if err := c.runFlags.apply(s); err != nil {
		return nil, err
	}
	return s, c.traceFlags.apply(s)
}

// options are those of the run, with this program as the proxy where none is named.
func (c *rehearseCmd) options() (rehearse.Options, error) {
	o := rehearse.Options{Proxy: c.Proxy, Progress: progress(), Logs: c.Logs, Profiles: c.Profiles, Direct: c.Direct}
	if o.Proxy == "" {
		self, err := os.Executable()
		if err != nil {
			return o, err
		}
		o.Proxy = self
	}
	if o.Profiles != "" {
		absolute, err := filepath.Abs(o.Profiles)
		if err != nil {
			return o, err
		}
		o.Profiles = absolute
		if err := os.MkdirAll(absolute, 0o755); err != nil {
			return o, err
		}
	}
	return o, nil
}

// report prints a report, writes it to the files that are named, and returns the verdict.
func report(r *rehearse.Report, json, html string) error {
	clearProgress()
	r.Print(os.Stdout)
	if json != "" {
		if err := r.WriteJSON(json); err != nil {
			return err
		}
	}
	if html != "" {
		if err := r.WriteHTML(html); err != nil {
			return err
		}
	}
	if !r.OK() {
		return errVerdict
	}
	return nil
}

func (c *rehearseCmd) climb(ctx context.Context, s *rehearse.Scenario, o rehearse.Options) error {
	if c.Climb <= 1 || c.Rate <= 0 {
		return fmt.Errorf("a climb needs a factor above 1 and a --rate to begin with")
	}
	o.Progress = nil
	found, err := rehearse.FindCapacity(ctx, s, o, c.Rate, c.Climb, c.Steps, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Printf("carried %.0f sessions a second; %s\n", found.MaxRate, found.StopReason)
	if c.JSON != "" {
		return found.WriteJSON(c.JSON)
	}
	return nil
}

// progress is where the line about a run's progress goes, nil where there is no terminal.
func progress() io.Writer {
	if isatty.IsTerminal(os.Stderr.Fd()) {
		return os.Stderr
	}
	return nil
}

// clearProgress clears that line.
func clearProgress() {
	if to := progress(); to != nil {
		fmt.Fprint(to, "\r\x1b[K")
	}
}

func (c *rehearseCmd) record(s *rehearse.Scenario) error {
	sessions, err := s.Schedule()
	if err != nil {
		return err
	}
	file, err := os.Create(c.Record)
	if err != nil {
		return err
	}
	if err := trace.Write(file, "rehearsal of "+s.Name, sessions); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
