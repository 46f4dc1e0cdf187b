package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chalkferry/internal/rehearse"
)

// compareCmd runs a scenario with two builds in pairs.
type compareCmd struct {
	runFlags
	A        string `arg:"" type:"existingfile" help:"The build that is compared with."`
	B        string `arg:"" type:"existingfile" help:"The build that is looked at."`
	Scenario string `arg:"" optional:"" default:"calm" help:"A built-in scenario's name, or a TOML file."`
	Pairs    int    `default:"5" help:"How many pairs of runs, 2 or more."`
	JSON     string `name:"json" help:"A file for the ratios."`
}

func (c *compareCmd) Run() error {
	if c.Pairs < 2 {
		return fmt.Errorf("%d pairs have no spread; at least 2 are needed", c.Pairs)
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
	found, err := rehearse.Compare(ctx, s, c.A, c.B, c.Pairs, progress())
	if err != nil {
		return err
	}
	clearProgress()
	found.Print(os.Stdout)
	if c.JSON != "" {
		if err := found.WriteJSON(c.JSON); err != nil {
			return err
		}
	}
	if len(found.Failed) > 0 {
		return errVerdict
	}
	return nil
}
