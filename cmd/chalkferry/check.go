package main

import (
	"fmt"

	"github.com/rs/zerolog"

	"chalkferry/internal/proxy"
	"chalkferry/internal/sharing"
)

// checkCmd validates configuration files.
type checkCmd struct {
	File       string `arg:"" optional:"" name:"configuration" env:"RELAY_CONFIG" help:"Configuration of the proxy, a JSON file."`
	Fleet      string `help:"The TOML file of serve --fleet, validated as well."`
	Aggregator string `help:"The TOML file of the aggregate command. With it the configuration may be left out."`
}

// Run reads the files as serve and aggregate do, without starting anything.
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
