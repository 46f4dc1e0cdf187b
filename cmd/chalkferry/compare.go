package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chalkferry/internal/rehearse"
)

// compareCmd runs a scenario with two builds in pairs of runs and prints the ratios of the results.
type compareCmd struct {
	runFlags
	A        string `arg:"" type:"existingfile" help:"The baseline program."`
	B        string `arg:"" type:"existingfile" help:"The program to compare with the baseline."`
	Scenario string `arg:"" optional:"" default:"calm" help:"Name of a built-in scenario, or a TOML file."`
	Pairs    int    `default:"5" help:"Number of pairs of runs, at least 2."`
	JSON     string `name:"json" help:"Write the ratios to this JSON file."`
}

func (c *compareCmd) Run() error {
	if c.Pairs < 2 {
		return fmt.Errorf("--pairs is %d; the spread between pairs needs at least 2", c.Pairs)
	}
	s, err := rehearse.Load(c.Scenario)
	if err != nil {
		return err
	}
	if err := c.runFlags.apply(s); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	comparison, err := rehearse.Compare(ctx, s, c.A, c.B, c.Pairs, progressWriter())
	if err != nil {
		return err
	}
	clearProgress()
	comparison.Print(os.Stdout)
	if c.JSON != "" {
		if err := comparison.WriteJSON(c.JSON); err != nil {
			return err
		}
	}
	if len(comparison.Failed) > 0 {
		return errAlreadyReported
	}
	return nil
}
