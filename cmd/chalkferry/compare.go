package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chalkferry/internal/rehearse"
	"chalkferry/internal/strict"
)

type compareCmd struct {
	A        string      `arg:"" type:"existingfile" help:"The build that is compared with."`
	B        string      `arg:"" type:"existingfile" help:"The build that is looked at."`
	Scenario string      `arg:"" optional:"" default:"calm" help:"A built-in scenario's name, or a TOML file."`
	Pairs    int         `default:"5" help:"How many pairs of runs, 2 or more."`
	Length   strict.Span `help:"In place of the scenario's."`
	Rate     float64     `help:"Sessions a second, in place of the scenario's arrivals."`
	JSON     string      `name:"json" help:"A file for the ratios."`
}

func (c *compareCmd) Run() error {
	if c.Pairs < 2 {
		return fmt.Errorf("%d pairs have no spread; at least 2 are needed", c.Pairs)
	}
	s, err := rehearse.Load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Length > 0 {
		if err := s.Shorten(c.Length.D()); err != nil {
			return err
		}
	}
	if c.Rate > 0 {
		s.SetRate(c.Rate)
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
		text, err := json.MarshalIndent(found, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if len(found.Failed) > 0 {
		return errVerdict
	}
	return nil
}
