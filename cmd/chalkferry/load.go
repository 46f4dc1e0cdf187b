package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chalkferry/internal/rehearse"
)

// loadCmd sends sessions to proxies that are already running, on a fixed schedule.
type loadCmd struct {
	runFlags
	traceFlags
	Address  []string `arg:"" help:"Addresses at which the proxies listen."`
	Scenario string   `default:"calm" help:"Scenario whose listeners, clients and arrivals are used. Its faults are not injected."`
	JSON     string   `name:"json" help:"Write the whole report to this JSON file."`
}

func (c *loadCmd) Run() error {
	s, err := rehearse.Load(c.Scenario)
	if err != nil {
		return err
	}
	s.Faults = nil
	if err := c.runFlags.apply(s); err != nil {
		return err
	}
	if err := c.traceFlags.apply(s); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := rehearse.GenerateLoad(ctx, s, c.Address, progressWriter())
	if err != nil {
		return err
	}
	return printReport(r, c.JSON, "")
}
