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

// commit is set by a build with -ldflags "-X main.commit=...": go build stamps no commit into a program that is built in
// a git worktree.
var commit string

type scaleCmd struct {
	Scenario string      `arg:"" optional:"" help:"A TOML file; the default run without. Flags take precedence." type:"existingfile"`
	Hollow   int         `help:"Members without clients and servers."`
	Steps    []int       `help:"Numbers of hollow members, one run after the other."`
	Real     int         `default:"-1" help:"Proxies with all parts."`
	Regions  int         `help:"Regions of the fleet."`
	Zones    int         `help:"Zones of the fleet."`
	Servers  int         `help:"Servers in the list."`
	Keys     int         `help:"Counts that each member holds."`
	Workers  int         `help:"Processes that hold the hollow members."`
	Settle   strict.Span `help:"At most, until all sums are right, before the first measurement."`
	For      strict.Span `name:"for" help:"How long to measure without changes."`
	Trials   int         `default:"-1" help:"Changes of a count, and of the list."`
	Timeout  strict.Span `help:"For a change to be known to all."`
	Fault    []string    `help:"Kinds of faults, one after the other, in place of the scenario's."`
	Ramp     strict.Span `help:"In which the members start."`
	Seed     int64       `help:"Of what is drawn."`
	JSON     string      `name:"json" help:"A file for the whole report."`
	Check    bool        `help:"Say what is wrong with the scenario and what it would take, and start nothing."`
}

// scaleWorkerCmd is a child process of scale.
type scaleWorkerCmd struct{}

func (c *scaleWorkerCmd) Run() error { return scale.RunWorker(os.Stdin, os.Stdout) }

func (c *scaleCmd) Run() error {
	p, err := c.plan()
	if err != nil {
		return err
	}
	if c.Check {
		return c.check(p)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := scale.Run(ctx, p, scale.Options{Program: program, WorkerArguments: []string{"scale-worker"}, Commit: commit, Progress: progress()})
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
		return errVerdict
	}
	return nil
}

// plan reads the scenario and puts the flags in place of its values.
func (c *scaleCmd) plan() (*scale.Plan, error) {
	p := scale.DefaultPlan()
	if c.Scenario != "" {
		var err error
		if p, err = scale.LoadPlan(c.Scenario); err != nil {
			return nil, err
		}
	}
	for _, flag := range []struct {
		value int
		to    *int
	}{{c.Hollow, &p.Hollow}, {c.Regions, &p.Regions}, {c.Zones, &p.Zones}, {c.Servers, &p.Servers}, {c.Keys, &p.Keys}, {c.Workers, &p.Workers}} {
		if flag.value != 0 {
			*flag.to = flag.value
		}
	}
	for _, flag := range []struct {
		value strict.Span
		to    *strict.Span
	}{{c.Ramp, &p.Ramp}, {c.Settle, &p.Settle}, {c.For, &p.For}, {c.Timeout, &p.Timeout}} {
		if flag.value != 0 {
			*flag.to = flag.value
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

func (c *scaleCmd) check(p *scale.Plan) error {
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
