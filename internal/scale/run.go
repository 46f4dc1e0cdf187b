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

// Options say how a run is done.
type Options struct {
	Program  string    // this program, started again for each child process
	Worker   []string  // arguments of its hidden subcommand
	Commit   string    // that the program was built from, "" for what the build has stamped into it
	Progress io.Writer // a line that is written over, nil for none
}

// Run runs all steps of a plan. An error tells that nothing could be measured; what was measured and found wrong is
// in the report. A run that is interrupted reports the steps until then.
func Run(ctx context.Context, p *Plan, o Options) (*Report, error) {
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	for _, hollow := range p.Steps {
		if err := p.Fits(hollow, machine); err != nil {
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
			r.finish()
			return r, nil
		case err != nil:
			return nil, err
		}
	}
	r.finish()
	return r, nil
}

// run is one step while it goes on.
type run struct {
	plan     *Plan
	options  Options
	hollow   int
	folder   string
	rng      *rand.Rand
	mu       sync.Mutex // of the processes' names: an interrupt ends those that are there
	list     *child
	workers  []*child
	sizes    []int
	first    []int // member of each worker
	address  string
	revision uint64
	marks    map[int]uint32 // what members hold of the marked count
	marked   uint32         // the sum of it
	report   *StepReport

	aggregators *fleetOfAggregators
	real        *realProxies // nil without
}

func runStep(ctx context.Context, p *Plan, o Options, hollow int) (report *StepReport, err error) {
	r := &run{plan: p, options: o, hollow: hollow, rng: rand.New(rand.NewSource(p.Seed)), revision: firstRevision, marks: map[int]uint32{},
		report: &StepReport{Hollow: hollow, Real: p.Real, Estimate: p.Need(hollow)}}
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
		{"starts real proxies", r.startReal},
		{"settles", r.settle},
		{"measures without changes", r.measureCalm},
		{"changes counts", r.changeCounts},
		{"changes the list", r.changeList},
		{"reads settings", r.applySettings},
		{"has faults", r.runFaults},
		{"ends real proxies", r.endReal},
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
	r.report.judge(p)
	return r.report, nil
}

// interrupt ends all child processes, so that whoever waits for a reply gets an error.
func (r *run) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.workers {
		c.cmd.Process.Kill()
	}
	if r.list != nil {
		r.list.cmd.Process.Kill()
	}
}

func (r *run) stop() {
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

func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func seconds(span time.Duration) float64 { return span.Round(time.Millisecond).Seconds() }
