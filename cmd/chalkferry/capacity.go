package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"chalkferry/internal/capacity"
)

// capacityCmd computes the resources of a fleet of some size from measured slopes. A slope is a cost per unit of load.
type capacityCmd struct {
	Table capacityTableCmd `cmd:"" default:"withargs" help:"Print the cost of each role at a size, as Markdown."`
	Fit   capacityFitCmd   `cmd:"" help:"Fit slopes to measured steps and store them in a slopes file."`
}

// capacityTableCmd prints the cost of each role.
type capacityTableCmd struct {
	Size   string `arg:"" help:"The size, a TOML file; operators use docs/capacity/size.toml." type:"existingfile"`
	Slopes string `help:"File of the measured slopes; by default slopes.json in the folder of the size."`
	Page   string `help:"A Markdown page: update the part between its markers instead of printing." type:"existingfile"`
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

// capacityFitCmd fits slopes to the output of a measuring run.
type capacityFitCmd struct {
	Output    string   `short:"o" required:"" help:"The slopes file to update; slopes of other names are kept."`
	Command   string   `help:"The command that produced the output, such that others can repeat it. Not needed with --scale, whose report names it."`
	Commit    string   `help:"The commit that was measured. Not needed with --scale, whose report names it."`
	Date      string   `help:"The day of the run, YYYY-MM-DD; by default today (UTC)."`
	Machine   string   `help:"The machine; by default as named in the output."`
	Note      string   `help:"A remark about the run, stored with the slopes."`
	Sessions  []string `help:"Reports of rehearsals with one proxy that differ in the rate of sessions, instead of benchmarks on standard input." type:"existingfile"`
	Messages  []string `help:"Reports of rehearsals with one proxy that differ in the rate of messages." type:"existingfile"`
	Scale     string   `help:"The report of a scale run." type:"existingfile"`
	Benchmark string   `help:"A file with the output of go test -bench; by default standard input." type:"existingfile"`
}

func (c *capacityFitCmd) Run() error {
	if c.Date == "" {
		c.Date = time.Now().UTC().Format(time.DateOnly)
	}
	origin := capacity.Origin{Command: c.Command, Commit: c.Commit, Date: c.Date, Machine: c.Machine, Note: c.Note}
	fitted, err := c.fit(origin)
	if err != nil {
		return err
	}
	if len(fitted) == 0 {
		return errors.New("the output contains no slopes")
	}
	slopes, err := capacity.ReadSlopes(c.Output)
	if err != nil {
		return err
	}
	for _, slope := range fitted {
		slopes.Put(slope)
	}
	return slopes.Write(c.Output)
}

// fit fits slopes to the output that the flags name.
func (c *capacityFitCmd) fit(origin capacity.Origin) ([]*capacity.Slope, error) {
	if c.Scale != "" {
		return capacity.FromScaleRun(c.Scale, c.Machine, c.Note)
	}
	if c.Command == "" || c.Commit == "" {
		return nil, errors.New("--command and --commit are required: each slope is stored with the run that produced it")
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
