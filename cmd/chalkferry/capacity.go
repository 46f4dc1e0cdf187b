package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"chalkferry/internal/capacity"
)

type capacityCmd struct {
	Table capacityTableCmd `cmd:"" default:"withargs" help:"Print what each role costs at a size, as markdown."`
	Fit   capacityFitCmd   `cmd:"" help:"Fit slopes to measured steps and put them into a slopes file."`
}

type capacityTableCmd struct {
	Size   string `arg:"" help:"The size, a TOML file; docs/capacity/size.toml is the operators'." type:"existingfile"`
	Slopes string `help:"The slopes that runs have measured; slopes.json beside the size without."`
	Page   string `help:"A page: renew the part between its markers, and print nothing." type:"existingfile"`
}

func (c *capacityTableCmd) Run() error {
	size, err := capacity.ReadSize(c.Size)
	if err != nil {
		return err
	}
	if c.Slopes == "" {
		c.Slopes = filepath.Join(filepath.Dir(c.Size), "slopes.json")
	}
	slopes, err := capacity.ReadSlopes(c.Slopes)
	if err != nil {
		return err
	}
	if c.Page != "" {
		return capacity.UpdatePage(c.Page, size, slopes)
	}
	return capacity.Table(os.Stdout, size, slopes)
}

type capacityFitCmd struct {
	Output    string   `short:"o" required:"" help:"The slopes file; slopes of other names stay in it."`
	Command   string   `help:"The command whose output is read, as another would run it. A scale run's report names it."`
	Commit    string   `help:"The commit that was measured. A scale run's report names it."`
	Date      string   `help:"The day of the run; today without."`
	Machine   string   `help:"The machine; what the output says without."`
	Note      string   `help:"What is to be known of the run."`
	Sessions  []string `help:"Reports of rehearsals with one proxy in which the sessions vary, in place of benchmarks on standard input." type:"existingfile"`
	Messages  []string `help:"The same with the messages varied." type:"existingfile"`
	Scale     string   `help:"The report of a scale run." type:"existingfile"`
	Benchmark string   `help:"A file with the output of go test -bench; standard input without." type:"existingfile"`
}

func (c *capacityFitCmd) Run() error {
	if c.Date == "" {
		c.Date = time.Now().UTC().Format(time.DateOnly)
	}
	origin := capacity.Origin{Command: c.Command, Commit: c.Commit, Date: c.Date, Machine: c.Machine, Note: c.Note}
	fitted, err := c.read(origin)
	if err != nil {
		return err
	}
	if len(fitted) == 0 {
		return errors.New("no slopes in the output")
	}
	slopes, err := capacity.ReadSlopes(c.Output)
	if err != nil {
		return err
	}
	for _, s := range fitted {
		slopes.Put(s)
	}
	return slopes.Write(c.Output)
}

func (c *capacityFitCmd) read(origin capacity.Origin) ([]*capacity.Slope, error) {
	if c.Scale != "" {
		return capacity.FromScaleRun(c.Scale, c.Machine, c.Note)
	}
	if c.Command == "" || c.Commit == "" {
		return nil, errors.New("--command and --commit are needed: no figure stands without its run")
	}
	if len(c.Sessions)+len(c.Messages) > 0 {
		return capacity.FromRehearsals(c.Sessions, c.Messages, origin)
	}
	var output io.Reader = os.Stdin
	if c.Benchmark != "" {
		file, err := os.Open(c.Benchmark)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		output = file
	}
	return capacity.FromBenchmarks(output, origin)
}
