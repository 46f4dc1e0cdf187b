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

// runFlags override a scenario's length and arrivals.
type runFlags struct {
	Length strict.Span `help:"Length of the run, instead of the scenario's. All faults must lie within it."`
	Rate   float64     `help:"Sessions a second, instead of the scenario's arrivals."`
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

// traceFlags replace a scenario's arrivals with a trace. They take precedence over runFlags.Rate.
type traceFlags struct {
	Trace string  `help:"A trace to replay, instead of the scenario's arrivals." type:"existingfile"`
	Speed float64 `default:"1" help:"Factor by which the trace is replayed faster, 1 to 100."`
	Scale float64 `default:"1" help:"Factor by which the number of the trace's sessions is multiplied."`
}

func (f traceFlags) apply(s *rehearse.Scenario) error {
	if f.Trace == "" {
		return nil
	}
	return s.Replay(f.Trace, f.Speed, f.Scale)
}

// rehearseCmd runs a scenario: real proxies with simulated clients, servers and discovery.
type rehearseCmd struct {
	runFlags
	traceFlags
	Scenario string  `arg:"" optional:"" default:"calm" help:"Name of a built-in scenario, or a TOML file."`
	Proxy    string  `help:"The program under test; by default this one."`
	Seed     int64   `help:"Random seed, instead of the scenario's."`
	JSON     string  `name:"json" help:"Write the whole report to this JSON file."`
	HTML     string  `name:"html" help:"Write the report with plots to this HTML file."`
	Record   string  `help:"Write a trace of the scheduled arrivals to this file."`
	Logs     string  `help:"Folder in which the proxies' logs are kept."`
	Profiles string  `help:"Folder for CPU profiles of the proxies."`
	Direct   bool    `help:"Connect the clients to the nodes directly, without a proxy, as a baseline for latency."`
	Climb    float64 `help:"Search the capacity: raise the rate by this factor from run to run until the p99 of the handshake has doubled."`
	Steps    int     `default:"20" help:"Maximum number of runs with --climb."`
	List     bool    `help:"List the built-in scenarios and exit."`
	Check    bool    `help:"Validate the scenario and exit."`
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
	return printReport(r, c.JSON, c.HTML)
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

// options returns the options of the run and creates the folder for profiles. The proxy defaults to this program.
func (c *rehearseCmd) options() (rehearse.Options, error) {
	o := rehearse.Options{Proxy: c.Proxy, Progress: progressWriter(), Logs: c.Logs, Profiles: c.Profiles, Direct: c.Direct}
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

// printReport prints a report and writes it to the named files, "" for none. It returns errAlreadyReported if the run failed.
func printReport(r *rehearse.Report, jsonFile, htmlFile string) error {
	clearProgress()
	r.Print(os.Stdout)
	if jsonFile != "" {
		if err := r.WriteJSON(jsonFile); err != nil {
			return err
		}
	}
	if htmlFile != "" {
		if err := r.WriteHTML(htmlFile); err != nil {
			return err
		}
	}
	if !r.OK() {
		return errAlreadyReported
	}
	return nil
}

// climb runs the scenario at increasing rates until the proxies' capacity is reached, and prints that.
func (c *rehearseCmd) climb(ctx context.Context, s *rehearse.Scenario, o rehearse.Options) error {
	if c.Climb <= 1 || c.Rate <= 0 {
		return fmt.Errorf("--climb needs a factor above 1 and a --rate to start from")
	}
	o.Progress = nil
	capacity, err := rehearse.FindCapacity(ctx, s, o, c.Rate, c.Climb, c.Steps, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Printf("carried %.0f sessions a second; %s\n", capacity.MaxRate, capacity.StopReason)
	if c.JSON != "" {
		return capacity.WriteJSON(c.JSON)
	}
	return nil
}

// progressWriter returns the writer for the line that shows a run's progress, nil if standard error is no terminal.
func progressWriter() io.Writer {
	if isatty.IsTerminal(os.Stderr.Fd()) {
		return os.Stderr
	}
	return nil
}

// clearProgress erases the line that shows a run's progress.
func clearProgress() {
	if terminal := progressWriter(); terminal != nil {
		fmt.Fprint(terminal, "\r\x1b[K")
	}
}

// record writes the scheduled sessions to a trace.
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
