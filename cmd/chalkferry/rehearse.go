package main

import (
	"context"
	"encoding/json"
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

type rehearseCmd struct {
	Scenario string      `arg:"" optional:"" default:"calm" help:"A built-in scenario's name, or a TOML file."`
	Proxy    string      `help:"The program under test; this one without."`
	Seed     int64       `help:"In place of the scenario's."`
	Length   strict.Span `help:"In place of the scenario's; faults must still lie within."`
	JSON     string      `name:"json" help:"A file for the whole report."`
	HTML     string      `name:"html" help:"A file for the report as a page with plots."`
	Trace    string      `help:"A trace to replay, in place of the scenario's arrivals." type:"existingfile"`
	Speed    float64     `default:"1" help:"How many times as fast the trace passes, 1 to 100."`
	Scale    float64     `default:"1" help:"How many times as many sessions the trace has."`
	Record   string      `help:"A file for a trace of what arrived."`
	Logs     string      `help:"A folder that keeps the proxies' logs."`
	Profiles string      `help:"A folder for profiles of the proxies' CPU."`
	Rate     float64     `help:"Sessions a second, in place of the scenario's arrivals."`
	Direct   bool        `help:"Clients connect to the nodes, with no proxy between: what a line's way costs without one."`
	Climb    float64     `help:"Raise the rate by this factor from run to run, until the p99 of the handshake has doubled."`
	Steps    int         `default:"20" help:"Of a climb, at most."`
	List     bool        `help:"Name the built-in scenarios and end."`
	Check    bool        `help:"Read the scenario, say what is wrong with it, and start nothing."`
}

func (c *rehearseCmd) Run() error {
	if c.List {
		for _, name := range rehearse.BuiltIn() {
			s, err := rehearse.Load(name)
			if err != nil {
				return err
			}
			fmt.Printf("%-16s %s\n", name, s.About)
		}
		return nil
	}
	s, err := rehearse.Load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		s.Seed = c.Seed
	}
	if c.Length > 0 {
		if err := s.Shorten(c.Length.D()); err != nil {
			return err
		}
	}
	if c.Trace != "" {
		if err := s.Replay(c.Trace, c.Speed, c.Scale); err != nil {
			return err
		}
	}
	if c.Rate > 0 {
		s.SetRate(c.Rate)
	}
	if c.Check {
		fmt.Println("the scenario is good")
		return nil
	}
	if c.Proxy == "" {
		if c.Proxy, err = os.Executable(); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Record != "" {
		if err := c.record(s); err != nil {
			return err
		}
	}
	if c.Profiles != "" {
		if c.Profiles, err = filepath.Abs(c.Profiles); err != nil {
			return err
		}
		if err := os.MkdirAll(c.Profiles, 0o755); err != nil {
			return err
		}
	}
	options := rehearse.Options{Proxy: c.Proxy, Progress: progress(), Logs: c.Logs, Profiles: c.Profiles, Direct: c.Direct}
	if c.Climb != 0 {
		return c.climb(ctx, s, options)
	}
	r, err := rehearse.Run(ctx, s, options)
	if err != nil {
		return err
	}
	return report(r, c.JSON, c.HTML)
}

// report shows what was seen, keeps it in the files that are named, and tells the verdict.
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
	fmt.Printf("carried %.0f sessions a second; %s\n", found.Carried, found.Why)
	if c.JSON != "" {
		text, err := json.MarshalIndent(found, "", " ")
		if err != nil {
			return err
		}
		return os.WriteFile(c.JSON, append(text, '\n'), 0o644)
	}
	return nil
}

// progress is where the line about a run's progress goes, nil where nobody would see it.
func progress() io.Writer {
	if isatty.IsTerminal(os.Stderr.Fd()) {
		return os.Stderr
	}
	return nil
}

// clearProgress makes room for what follows.
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
