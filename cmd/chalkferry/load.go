package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chalkferry/internal/rehearse"
)

// loadCmd sends sessions at proxies that run already.
type loadCmd struct {
	runFlags
	traceFlags
	Address  []string `arg:"" help:"Where proxies listen."`
	Scenario string   `default:"calm" help:"Whose listeners, clients and arrivals are taken; the faults are not."`
	JSON     string   `name:"json" help:"A file for the whole report."`
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
	r, err := rehearse.GenerateLoad(ctx, s, c.Address, progress())
	if err != nil {
		return err
	}
	return report(r, c.JSON, "")
}
