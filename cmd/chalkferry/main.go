// Chalkferry is a balancer (proxy) for long-lived connections, together with the tools to validate its configuration, to
// test and measure it with simulated clients and servers, and to inspect its logs, traces and stores. The commands are
// listed in main.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// errAlreadyReported makes a command exit with status 1 without a further message: its output has named the failure.
var errAlreadyReported = errors.New("")

func main() {
	var commands struct {
		Serve    serveCmd    `cmd:"" help:"Run the proxy."`
		Check    checkCmd    `cmd:"" help:"Validate configuration files."`
		Rehearse rehearseCmd `cmd:"" help:"Run a scenario: real proxies on a simulated platform."`
		Compare  compareCmd  `cmd:"" help:"Run a scenario with two builds in turn and print how the results differ."`
		Load     loadCmd     `cmd:"" help:"Send sessions on a fixed schedule to running proxies."`
		Trace    traceCmd    `cmd:"" help:"Record, check, cut, scale and merge traces."`
		Count    countCmd    `cmd:"" help:"Count the events in the logs of a fleet, by second, by server and by list."`
		Fleet    fleetCmd    `cmd:"" help:"Query a proxy or an aggregator about its fleet."`
		Store    storeCmd    `cmd:"" help:"Inspect a store's folder."`
		Capacity capacityCmd `cmd:"" help:"Compute the cost of each role at a size of the fleet, from measured slopes."`
		Version  versionCmd  `cmd:"" help:"Print the version."`

		Aggregate aggregateCmd `cmd:"" help:"Run an aggregator, which adds up the reports of a region's proxies."`
		Scale     scaleCmd     `cmd:"" help:"Measure the control traffic and CPU time of a large fleet, of hollow members and some real proxies."`

		ScaleWorker scaleWorkerCmd `cmd:"" hidden:""`
	}
	ctx := kong.Parse(&commands, kong.Name("chalkferry"),
		kong.Description("A balancer for long-lived connections."))
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errAlreadyReported) {
			fmt.Fprintln(os.Stderr, "chalkferry:", err)
		}
		os.Exit(1)
	}
}
