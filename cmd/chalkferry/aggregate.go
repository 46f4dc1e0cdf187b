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

type aggregateCmd struct {
	File  string `arg:"" name:"file" help:"The aggregator's TOML file."`
	Check bool   `help:"Read the file, say what is wrong with it, and end."`
	Level string `default:"info" enum:"debug,info,warn,error" help:"Least level of what is logged."`
}

// Run aggregates until the process is told to end.
func (c *aggregateCmd) Run() error {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
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
	signal.Ignore(syscall.SIGPIPE) // of a log whose reader has gone
	output := asynclog.New(os.Stdout)
	defer output.Close(logPatience)
	log := output.Logger(level)
	var aggregator *sharing.Aggregator
	err = failure.RetryFor(startPatience, failure.Listen, failure.NewLog(log), func() (err error) {
		aggregator, err = sharing.StartAggregator(*config, log)
		return err
	})
	if err != nil {
		return err
	}
	log.Info().Stringer("signal", <-ended).Msg("ending")
	aggregator.Close()
	return nil
}
