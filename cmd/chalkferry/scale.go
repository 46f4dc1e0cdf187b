package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"chalkferry/internal/scale"
	"chalkferry/internal/strict"
)

// commit is the commit that a report of a scale run names. It is set by a build with -ldflags "-X main.commit=...", because
// go build records no commit in a program that is built in a git worktree.
var commit string

// scaleCmd measures the control work of a fleet. Hollow members take part in the fleet without clients and servers; many
// of them share one process.
type scaleCmd struct {
	Scenario string      `arg:"" optional:"" help:"Scenario, a TOML file; by default a built-in one. Flags take precedence over its values." type:"existingfile"`
	Hollow   int         `help:"Number of hollow members, which have no clients and servers."`
	Steps    []int       `help:"Numbers of hollow members of several runs, one after the other."`
	Real     int         `default:"-1" help:"Number of real proxies."`
	Regions  int         `help:"Number of regions of the fleet."`
	Zones    int         `help:"Number of zones of the fleet."`
	Servers  int         `help:"Number of servers in the list."`
	Keys     int         `help:"Number of counts that each member reports."`
	Workers  int         `help:"Number of processes that run the hollow members."`
	Settle   strict.Span `help:"Longest wait, before the first measurement, until all sums are right."`
	For      strict.Span `name:"for" help:"How long to measure without changes."`
	Trials   int         `default:"-1" help:"Number of changes of a count, and as many of the list, to measure."`
	Timeout  strict.Span `help:"Longest wait until a change is known to all members."`
	Fault    []string    `help:"Kinds of faults to inject one after the other, instead of the scenario's."`
	Ramp     strict.Span `help:"Time over which the starts of the members are spread."`
	Seed     int64       `help:"Random seed."`
	JSON     string      `name:"json" help:"Write the whole report to this JSON file."`
	Check    bool        `help:"Validate the scenario, print the resources that it needs, and exit."`
}

// scaleWorkerCmd runs hollow members in a child process of the scale command, controlled over standard input and output.
type scaleWorkerCmd struct{}

func (c *scaleWorkerCmd) Run() error { return scale.RunWorker(os.Stdin, os.Stdout) }

func (c *scaleCmd) Run() error {
	p, err := c.plan()
	if err != nil {
		return err
	}
	if c.Check {
		return c.printNeeds(p)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := scale.Run(ctx, p, scale.Options{Program: program, WorkerArguments: []string{"scale-worker"}, Commit: commit, Progress: progressWriter()})
	clearProgress()
	if err != nil {
		return err
	}
	r.Print(os.Stdout)
	if c.JSON != "" {
		if err := r.WriteJSON(c.JSON); err != nil {
			return err
		}
	}
	if !r.OK() {
		return errAlreadyReported
	}
	return nil
}

// plan reads the scenario and overrides its values with the flags that are set.
func (c *scaleCmd) plan() (*scale.Plan, error) {
	p := scale.DefaultPlan()
	if c.Scenario != "" {
		var err error
		if p, err = scale.LoadPlan(c.Scenario); err != nil {
			return nil, err
		}
	}
	for _, flag := range []struct {
		value  int
		target *int
	}{{c.Hollow, &p.Hollow}, {c.Regions, &p.Regions}, {c.Zones, &p.Zones}, {c.Servers, &p.Servers}, {c.Keys, &p.Keys}, {c.Workers, &p.Workers}} {
		if flag.value != 0 {
			*flag.target = flag.value
		}
	}
	for _, flag := range []struct {
		value  strict.Span
		target *strict.Span
	}{{c.Ramp, &p.Ramp}, {c.Settle, &p.Settle}, {c.For, &p.For}, {c.Timeout, &p.Timeout}} {
		if flag.value != 0 {
			*flag.target = flag.value
		}
	}
	if c.Hollow != 0 {
		p.Steps = []int{c.Hollow}
	}
	if len(c.Steps) > 0 {
		p.Steps = c.Steps
	}
	if c.Real >= 0 {
		p.Real = c.Real
	}
	if c.Trials >= 0 {
		p.Trials = c.Trials
	}
	if c.Seed != 0 {
		p.Seed = c.Seed
	}
	if len(c.Fault) > 0 {
		p.Faults = nil
	}
	for _, kind := range c.Fault {
		fault, ok := p.DefaultFault(kind)
		if !ok {
			return nil, fmt.Errorf("there is no fault %q, but %s", kind, strings.Join(scale.FaultKinds(), ", "))
		}
		p.Faults = append(p.Faults, fault)
	}
	return p, p.Check(&strict.File{Name: p.Name})
}

// printNeeds prints the resources that each run needs. It returns an error if a run does not fit on this machine.
func (c *scaleCmd) printNeeds(p *scale.Plan) error {
	machine, err := scale.ThisMachine()
	if err != nil {
		return err
	}
	for _, hollow := range p.Steps {
		if err := p.CheckResources(hollow, machine); err != nil {
			return err
		}
		need := p.EstimateResources(hollow)
		fmt.Printf("%d hollow members: some %d MB, %d processes, %d descriptors in the largest\n", hollow, need.Memory>>20, need.Processes, need.Descriptors)
	}
	fmt.Println("the scenario is good")
	return nil
}
