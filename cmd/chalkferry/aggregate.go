package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

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
	log := zerolog.New(os.Stdout).Level(level).With().Timestamp().Logger()
	aggregator, err := sharing.StartAggregator(*config, log)
	if err != nil {
		return err
	}
	log.Info().Stringer("signal", <-ended).Msg("ending")
	aggregator.Close()
	return nil
}
