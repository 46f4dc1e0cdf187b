package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chalkferry/internal/rehearse"
	"chalkferry/internal/strict"
)

type loadCmd struct {
	Address  []string    `arg:"" help:"Where proxies listen."`
	Scenario string      `default:"calm" help:"Whose listeners, clients and arrivals are taken; the faults are not."`
	Rate     float64     `help:"Sessions a second, in place of the scenario's arrivals."`
	Length   strict.Span `help:"In place of the scenario's."`
	Trace    string      `help:"A trace to replay, in place of the scenario's arrivals." type:"existingfile"`
	Speed    float64     `default:"1" help:"How many times as fast the trace passes, 1 to 100."`
	Scale    float64     `default:"1" help:"How many times as many sessions the trace has."`
	JSON     string      `name:"json" help:"A file for the whole report."`
}

func (c *loadCmd) Run() error {
	s, err := rehearse.Load(c.Scenario)
	if err != nil {
		return err
	}
	s.Faults = nil
	if c.Length > 0 {
		if err := s.Shorten(c.Length.D()); err != nil {
			return err
		}
	}
	if c.Rate > 0 {
		s.SetRate(c.Rate)
	}
	if c.Trace != "" {
		if err := s.Replay(c.Trace, c.Speed, c.Scale); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := rehearse.GenerateLoad(ctx, s, c.Address, progress())
	if err != nil {
		return err
	}
	return report(r, c.JSON, "")
}
