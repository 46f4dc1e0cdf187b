package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"chalkferry/internal/aggregation"
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

func (r *run) startAggregators(ctx context.Context) (err error) {
	if r.aggregators, err = prepareAggregators(r.plan, r.options.Program, r.folder); err != nil {
		return err
	}
	return r.aggregators.start(ctx)
}

func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settle waits until the sums of all members are right, or for as long as the plan has it.
func (r *run) settle(ctx context.Context) (err error) {
	r.report.Filled, err = r.awaitSums(ctx, r.plan.Settle.D())
	return err
}

func (r *run) startProcesses(ctx context.Context) (err error) {
	command := append([]string{r.options.Program}, r.options.Worker...)
	list, err := startChild(command, r.folder, "list")
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.list = list
	r.mu.Unlock()
	reply, err := r.list.ask(Request{Serve: &ServeList{Servers: r.plan.Servers, Zones: r.plan.Zones}})
	if err != nil {
		return err
	}
	r.address = reply.Address
	r.sizes = r.plan.split(r.hollow)
	next := 0
	for i, size := range r.sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c, err := startChild(command, r.folder, fmt.Sprintf("worker-%d", i))
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.workers = append(r.workers, c)
		r.mu.Unlock()
		r.first = append(r.first, next)
		next += size
	}
	return nil
}

func (r *run) startMembers(context.Context) error {
	base, err := r.measure()
	if err != nil {
		return err
	}
	specs := r.memberSpecs()
	settings, err := memberSettings(r.hollow, r.plan.Zones)
	if err != nil {
		return err
	}
	began := time.Now()
	_, err = askAll(r.workers, func(i int) Request {
		return Request{Start: &StartMembers{Members: specs[r.first[i] : r.first[i]+r.sizes[i]], Keys: r.plan.Keys, Servers: r.plan.Servers,
			Seed: r.plan.Seed, Ramp: r.plan.Ramp.D(), Discovery: r.address, Revision: r.revision, Settings: settings,
			LateBound: r.plan.LateBound.D()}}
	})
	if err != nil {
		return err
	}
	r.report.StartedIn = seconds(time.Since(began))
	r.report.base = base
	return nil
}

// memberSpecs places the hollow members.
func (r *run) memberSpecs() []MemberSpec {
	specs := make([]MemberSpec, r.hollow)
	for i := range specs {
		zone := r.plan.zoneOf(i)
		region := r.plan.regionOf(zone)
		specs[i] = MemberSpec{ID: i, Name: fmt.Sprintf("hollow-%d", i), Region: region, Zone: zone, Aggregators: r.aggregators.of(region)}
	}
	for _, id := range r.plan.Mute {
		specs[id].Mute = true
	}
	return specs
}

// freeAddress finds a port that nothing listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (r *run) startReal(ctx context.Context) (err error) {
	if r.plan.Real == 0 {
		return nil
	}
	var files, statuses []string
	for i := range r.plan.Real {
		status, err := freeAddress()
		if err != nil {
			return err
		}
		zone := r.plan.zoneOf(i)
		file := filepath.Join(r.folder, fmt.Sprintf("real-%d.toml", i))
		text := r.aggregators.memberFile(fmt.Sprintf("real-%d", i), r.plan.regionOf(zone), zone, status)
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		files, statuses = append(files, file), append(statuses, status)
	}
	r.real, err = startReal(ctx, r.options.Program, files, statuses, r.plan.Seed)
	return err
}

// endReal ends the real proxies and takes what their clients saw.
func (r *run) endReal(context.Context) error {
	if r.real == nil {
		return nil
	}
	report, err := r.real.stop()
	r.real = nil
	if err != nil {
		return err
	}
	r.report.RealProxy.Sessions = report.Sessions
	r.report.RealProxy.RulesBroken = len(report.Rules)
	return nil
}

// memberSettings is a proxy's settings text, of the size that real ones have.
func memberSettings(members, zones int) ([]byte, error) {
	areas := make([]string, zones)
	for i := range areas {
		areas[i] = zoneName(i)
	}
	listener := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "dialTimeout": 800, "handshakeTarget": 200, "effect": effect, "utility": 1}
	}
	return json.Marshal(map[string]any{"areas": areas, "discovery": "ask", "groupSize": members, "me": 0,
		"ceilings":   map[string]any{"connectTimeout": 150, "connIdle": 10000, "mostDials": 4, "probes": true},
		"domain":     map[string]any{"mode": "proxy", "messageAim": []int{100, 100}, "tellsLoad": true},
		"invariants": map[string]any{"mustAskIn": 4000, "cold": 15000, "coldFrom": 0.2, "fallMultiple": 3, "tipAfter": 3000},
		"listeners":  []map[string]any{listener("chat", "read_like"), listener("feed", "non_idempotent")},
		"tenants":    []map[string]any{{"name": "north"}, {"name": "south"}}})
}

func (r *run) measure() ([]*Usage, error) {
	replies, err := askAll(append([]*child{r.list}, r.workers...), func(int) Request { return Request{Measure: &Measure{}} })
	if err != nil {
		return nil, err
	}
	usages := make([]*Usage, len(replies))
	for i, reply := range replies {
		if usages[i] = reply.Usage; usages[i] == nil {
			return nil, errors.New("a process did not say what it uses")
		}
	}
	return usages, nil
}

// measureAll measures list service, workers and aggregators on one side of a window.
func (r *run) measureAll(ctx context.Context, isBefore bool) ([]*Usage, []aggregatorUsage, error) {
	var aggregators []aggregatorUsage
	if isBefore {
		aggregators = r.aggregators.usage(ctx, true)
	}
	usages, err := r.measure()
	if !isBefore {
		aggregators = r.aggregators.usage(ctx, false)
	}
	return usages, aggregators, err
}

func (r *run) measureCalm(ctx context.Context) error {
	before, aggregatorsBefore, err := r.measureAll(ctx, true)
	if err != nil {
		return err
	}
	realBefore, err := r.measureReal()
	if err != nil {
		return err
	}
	if err := sleep(ctx, r.plan.For.D()); err != nil {
		return err
	}
	realAfter, err := r.measureReal()
	if err != nil {
		return err
	}
	after, aggregatorsAfter, err := r.measureAll(ctx, false)
	if err != nil {
		return err
	}
	if r.real != nil {
		r.report.RealProxy = &RealUsage{}
		r.report.RealProxy.measure(realBefore, realAfter)
	}
	r.report.calm(before, after)
	r.report.Aggregators = r.aggregators.report(aggregatorsBefore, aggregatorsAfter)
	r.report.Sum, err = r.readSums()
	return err
}

func (r *run) readSums() (Sums, error) {
	replies, err := askAll(r.workers, func(int) Request { return Request{Sums: &ReadSums{}} })
	if err != nil {
		return Sums{}, err
	}
	var sums []aggregation.Figure
	for _, reply := range replies {
		sums = append(sums, reply.Sums...)
	}
	return newSums(sums, float64(r.hollow)*commonHeld), nil
}

func (r *run) measureReal() (realUsage, error) {
	if r.real == nil {
		return realUsage{}, nil
	}
	return r.real.usage()
}

// workerOf returns the process that has a member.
func (r *run) workerOf(member int) *child {
	at := 0
	for i, first := range r.first {
		if member >= first {
			at = i
		}
	}
	return r.workers[at]
}

// await makes a change and has all workers wait until their members know of it, real proxies too where it is a sum's.
func (r *run) await(ctx context.Context, request AwaitChange, change func() (at int64, err error)) (hollow, real Spread, skipped int, err error) {
	at, err := change()
	if err != nil {
		return hollow, real, 0, err
	}
	knownReal := make(chan []int64, 1)
	go func() {
		if r.real == nil || request.Revision > 0 { // real ones watch a list of their own
			knownReal <- nil
			return
		}
		knownReal <- r.real.await(ctx, request.Sums, request.Timeout)
	}()
	replies, err := askAll(r.workers, func(int) Request { return Request{Await: &request} })
	real = newSpread(at, <-knownReal)
	if err != nil {
		return hollow, real, 0, err
	}
	var known []int64
	for _, reply := range replies {
		known = append(known, reply.Known...)
		skipped += reply.Skipped
	}
	return newSpread(at, known), real, skipped, nil
}

// Changes of the marked count: each makes its sum so many times what it was, far beyond the share that aggregators send
// at once. Half of the members that held some of it before may just be starting again.
const (
	firstMark     = 10
	markGrowth    = 3
	seenFromShare = 0.4 // of the growth, for the change to be known
)

// changeCount has a member hold more of the marked count, and waits until all members that are not skipped know.
func (r *run) changeCount(ctx context.Context, marker int, skipZones []int, timeout time.Duration) (hollow, real Spread, skipped int, err error) {
	was := r.marked
	grows := uint32(firstMark)
	if was > 0 {
		grows = (markGrowth - 1) * was
	}
	r.marked += grows
	r.marks[marker] += grows
	bound := SumBound{Name: markedName, AtLeast: float64(was) + seenFromShare*float64(grows), AtMost: math.MaxFloat64}
	return r.await(ctx, AwaitChange{Sums: []SumBound{bound}, SkipZones: skipZones, Timeout: timeout}, func() (int64, error) {
		reply, err := r.workerOf(marker).ask(Request{Publish: &PublishMark{Member: marker, Value: r.marks[marker]}})
		return reply.At, err
	})
}

func (r *run) changeCounts(ctx context.Context) error {
	marker := r.markerBeside(Fault{})
	for range r.plan.Trials {
		spread, real, _, err := r.changeCount(ctx, marker, nil, r.plan.Timeout.D())
		if err != nil {
			return err
		}
		r.report.CountChanges = append(r.report.CountChanges, spread)
		if r.real != nil {
			r.report.RealChanges = append(r.report.RealChanges, real)
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) changeList(ctx context.Context) error {
	for n := range r.plan.Trials {
		r.revision++
		phase := "draining"
		if n%2 == 1 {
			phase = "ready"
		}
		spread, _, _, err := r.await(ctx, AwaitChange{Revision: r.revision, Timeout: r.plan.Timeout.D()}, func() (int64, error) {
			reply, err := r.list.ask(Request{Change: &ChangeList{Server: 0, Phase: phase}})
			return reply.At, err
		})
		if err != nil {
			return err
		}
		r.report.ListChanges = append(r.report.ListChanges, spread)
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) applySettings(context.Context) error {
	settings, err := memberSettings(r.hollow, r.plan.Zones)
	if err != nil {
		return err
	}
	replies, err := askAll(r.workers, func(int) Request { return Request{Apply: &ApplySettings{Settings: settings}} })
	if err != nil {
		return err
	}
	var all time.Duration
	for _, reply := range replies {
		for _, took := range reply.Took {
			all += took
		}
	}
	r.report.SettingsMicroseconds = float64(all.Nanoseconds()) / 1e3 / float64(r.hollow)
	return nil
}

func (r *run) measureLateness(context.Context) error {
	usages, err := r.measure()
	if err != nil {
		return err
	}
	r.report.lateness(usages[1:])
	return nil
}

func seconds(span time.Duration) float64 { return span.Round(time.Millisecond).Seconds() }
