// Chalkferry is a balancer for long-lived connections.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// errVerdict ends a command with status 1 whose output has said all.
var errVerdict = errors.New("")

func main() {
	var commands struct {
		Serve    serveCmd    `cmd:"" help:"Run the proxy."`
		Check    checkCmd    `cmd:"" help:"Read a configuration and say what is wrong with it."`
		Rehearse rehearseCmd `cmd:"" help:"Rehearse a night: real proxies on a stand-in platform."`
		Compare  compareCmd  `cmd:"" help:"Rehearse by two builds in turn and say how they differ."`
		Load     loadCmd     `cmd:"" help:"Send sessions on a fixed schedule at any address."`
		Trace    traceCmd    `cmd:"" help:"Record, check, cut, scale and merge traces."`
		Count    countCmd    `cmd:"" help:"Add up the logs of a fleet, by second, by server and by list."`
		Fleet    fleetCmd    `cmd:"" help:"Ask a proxy what it believes of its fleet."`
		Store    storeCmd    `cmd:"" help:"Look into a store's folder."`
		Capacity capacityCmd `cmd:"" help:"Say what each role costs at a size of the fleet, from measured slopes."`
		Version  versionCmd  `cmd:"" help:"Print the version."`

		Aggregate aggregateCmd `cmd:"" help:"Run an aggregator: add up what the proxies of a region hold."`
		Scale     scaleCmd     `cmd:"" help:"Measure the control work of a large fleet: hollow members beside real proxies."`

		ScaleWorker scaleWorkerCmd `cmd:"" hidden:""`
	}
	ctx := kong.Parse(&commands, kong.Name("chalkferry"),
		kong.Description("A balancer for long-lived connections."))
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errVerdict) {
			fmt.Fprintln(os.Stderr, "chalkferry:", err)
		}
		os.Exit(1)
	}
}
