package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"chalkferry/internal/asynclog"
	"chalkferry/internal/failure"
	"chalkferry/internal/sharing"
)

// aggregateCmd runs an aggregator, which adds up the reports of a region's proxies.
type aggregateCmd struct {
	File  string `arg:"" name:"file" help:"Configuration of the aggregator, a TOML file."`
	Check bool   `help:"Validate the file and exit."`
	Level string `default:"info" enum:"debug,info,warn,error" help:"Lowest level that is logged."`
}

// Run runs the aggregator until SIGTERM or SIGINT.
func (c *aggregateCmd) Run() error {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	config, err := sharing.ReadAggregator(c.File)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("the aggregator's file is good")
		return nil
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // a log whose reader has closed the pipe must not end the process
	output := asynclog.New(os.Stdout)
	defer output.Close(logFlushTimeout)
	log := output.Logger(level)
	var aggregator *sharing.Aggregator
	err = failure.RetryFor(startRetryLimit, failure.Listen, failure.NewLog(log), func() (err error) {
		aggregator, err = sharing.StartAggregator(*config, log)
		return err
	})
	if err != nil {
		return err
	}
	log.Info().Stringer("signal", <-terminate).Msg("ending")
	aggregator.Close()
	return nil
}
