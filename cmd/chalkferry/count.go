package main

import (
	"os"
	"path/filepath"
	"strings"

	"chalkferry/internal/counts"
)

// countCmd counts the events in the logs of a fleet, by second, by server and by list of servers.
type countCmd struct {
	Log []string `arg:"" type:"existingfile" help:"Logs of the proxies of one fleet, one file for each proxy. Their clocks must agree."`
}

func (c *countCmd) Run() error {
	fleet := counts.New()
	for _, name := range c.Log {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = fleet.Add(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), file)
		file.Close()
		if err != nil {
			return err
		}
	}
	fleet.Write(os.Stdout)
	return nil
}
