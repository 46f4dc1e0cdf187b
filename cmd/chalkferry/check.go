package main

import (
	"fmt"

	"github.com/rs/zerolog"

	"chalkferry/internal/proxy"
	"chalkferry/internal/sharing"
)

type checkCmd struct {
	File       string `arg:"" optional:"" name:"configuration" env:"RELAY_CONFIG" help:"The configuration, a JSON file."`
	Fleet      string `help:"The TOML file of serve --fleet, read as well."`
	Aggregator string `help:"The TOML file of the command aggregate; the configuration may be left out with it."`
}

// Run reads the files as a start would, and starts nothing.
func (c *checkCmd) Run() error {
	if c.Aggregator != "" {
		if _, err := sharing.ReadAggregator(c.Aggregator); err != nil {
			return err
		}
		fmt.Println("the aggregator's file is good")
		if c.File == "" && c.Fleet == "" {
			return nil
		}
	}
	text, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	if _, err := proxy.New(text, zerolog.Nop()); err != nil {
		return err
	}
	if c.Fleet != "" {
		if _, err := sharing.ReadMember(c.Fleet); err != nil {
			return err
		}
	}
	fmt.Println("the configuration is good")
	return nil
}
