package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"sync"
	"time"
)

// Options configure how a run is done.
type Options struct {
	Program         string    // path of this program, which is started again for each child process
	WorkerArguments []string  // arguments of the hidden subcommand that calls RunWorker
	Commit          string    // that the program was built from; "" for the one that the build has stamped into it
	Progress        io.Writer // gets a status line that overwrites itself; nil for none
}

// Run runs all steps of a plan. It returns an error if a step can't be run or measured; figures that miss the
// expectations are in the report. A run that is interrupted reports the steps until then.
func Run(ctx context.Context, p *Plan, o Options) (*Report, error) {
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	for _, hollow := range p.Steps {
		if err := p.CheckResources(hollow, machine); err != nil {
			return nil, err
		}
	}
	r := newReport(p, o.Commit)
	for _, hollow := range p.Steps {
		step, err := runStep(ctx, p, o, hollow)
		if step != nil {
			r.Steps = append(r.Steps, step)
		}
		switch {
		case ctx.Err() != nil:
			r.Interrupted = true
			r.fitSteps()
			return r, nil
		case err != nil:
			return nil, err
		}
	}
	r.fitSteps()
	return r, nil
}

// stepRun is the state of one step while it runs.
type stepRun struct {
	plan         *Plan
	options      Options
	hollow       int    // number of hollow members
	folder       string // temporary files and logs, deleted at the end
	rng          *rand.Rand
	mu           sync.Mutex // guards list and workers, which interrupt reads
	list         *child     // holds the stand-in discovery service
	workers      []*child
	sizes        []int          // number of members of each worker
	firstMembers []int          // ID of the first member of each worker
	listAddress  string         // of the stand-in discovery service
	revision     uint64         // of the server list
	marks        map[int]uint32 // what each member publishes of the marked count, by ID
	marked       uint32         // sum of the marked count
	report       *StepReport

	aggregators *aggregatorFleet
	real        *realProxies // nil if the plan has none
}

// runStep runs all phases of a step. On an error the report holds what was measured until then.
func runStep(ctx context.Context, p *Plan, o Options, hollow int) (report *StepReport, err error) {
	r := &stepRun{plan: p, options: o, hollow: hollow, rng: rand.New(rand.NewSource(p.Seed)), revision: firstRevision, marks: map[int]uint32{},
		report: &StepReport{Hollow: hollow, Real: p.Real, Estimate: p.EstimateResources(hollow)}}
	if r.folder, err = os.MkdirTemp("", "chalkferry-scale-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.folder)
	defer r.stop()
	stopped := context.AfterFunc(ctx, r.interrupt)
	defer stopped()
	for _, phase := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"starts processes", r.startProcesses},
		{"starts aggregators", r.startAggregators},
		{"starts members", r.startMembers},
		{"starts real proxies", r.startRealProxies},
		{"settles", r.settle},
		{"measures without changes", r.measureWithoutChanges},
		{"changes counts", r.changeCounts},
		{"changes the list", r.changeList},
		{"reads settings", r.applySettings},
		{"has faults", r.runFaults},
		{"ends real proxies", r.stopRealProxies},
		{"looks at its own lateness", r.measureLateness},
	} {
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, "\r%s  %d hollow members  %s \x1b[K", p.Name, hollow, phase.name)
		}
		began := time.Now()
		err := phase.do(ctx)
		r.report.Phases = append(r.report.Phases, Phase{phase.name, seconds(time.Since(began))})
		if err != nil {
			if ctx.Err() != nil {
				r.report.Interrupted = phase.name
			}
			return r.report, err
		}
	}
	r.report.checkExpectations(p)
	return r.report, nil
}

// interrupt kills the child processes, so that each request that waits for a reply fails.
func (r *stepRun) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.workers {
		c.cmd.Process.Kill()
	}
	if r.list != nil {
		r.list.cmd.Process.Kill()
	}
}

// stop ends all processes of the step.
func (r *stepRun) stop() {
	done := make(chan struct{})
	for _, c := range r.workers {
		go func() { c.stop(); done <- struct{}{} }()
	}
	for range r.workers {
		<-done
	}
	if r.real != nil {
		r.real.stop()
	}
	if r.list != nil {
		r.list.stop()
	}
	if r.aggregators != nil {
		r.aggregators.close()
	}
}

// sleep waits for a duration, or returns the context's error.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// seconds returns a duration in seconds, rounded to milliseconds.
func seconds(span time.Duration) float64 { return span.Round(time.Millisecond).Seconds() }
