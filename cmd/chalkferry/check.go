package main

import (
	"fmt"

	"github.com/rs/zerolog"

	"chalkferry/internal/proxy"
	"chalkferry/internal/sharing"
)

type checkCmd struct {
	File  string `arg:"" optional:"" name:"configuration" env:"RELAY_CONFIG" help:"The configuration, a JSON file."`
	Fleet string `help:"The TOML file of serve --fleet, read as well."`
}

func (c *checkCmd) Run() error {
	text, err := read(c.File)
	if err != nil {
		return err
	}
	if _, err := proxy.New(text, zerolog.Nop()); err != nil {
		return err
	}
	if c.Fleet != "" {
		if _, err := sharing.Read(c.Fleet); err != nil {
			return err
		}
	}
	fmt.Println("the configuration is good")
	return nil
}
