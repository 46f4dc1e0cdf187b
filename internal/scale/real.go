package scale

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/prometheus/procfs"
	"gonum.org/v1/gonum/stat"

	"chalkferry/internal/rehearse"
)

//go:embed real.toml
var realScenario string

const (
	realLength   = 30 * time.Minute // longer than any step; the step's end ends it
	realStart    = 30 * time.Second
	statusWait   = 2 * time.Second
	statusPeriod = 200 * time.Millisecond
	fleetFlag    = "--fleet"
)

// realProxies are processes of serve with all parts on the stand-in platform: so many share state with the hollow
// members, and as many, under the same load, do not.
type realProxies struct {
	program  string
	files    []string // of those that share
	statuses []string // addresses of theirs
	cancel   context.CancelFunc
	done     chan struct{}
	report   *rehearse.Report
	err      error
}

// startReal starts twice as many proxies as share state.
func startReal(ctx context.Context, program string, files, statuses []string, seed int64) (*realProxies, error) {
	text := fmt.Sprintf("seed = %d\nlength = %q\n%s\n[proxies]\ncount = %d\npin = false\n", seed, realLength, realScenario, 2*len(files))
	scenario, err := rehearse.Parse("real.toml", []byte(text))
	if err != nil {
		return nil, err
	}
	p := &realProxies{program: program, files: files, statuses: statuses, done: make(chan struct{})}
	ctx, p.cancel = context.WithCancel(ctx)
	options := rehearse.Options{Proxy: program, Arguments: func(proxy int) []string {
		if proxy < len(files) {
			return []string{fleetFlag, files[proxy]}
		}
		return nil
	}}
	go func() {
		defer close(p.done)
		p.report, p.err = rehearse.Run(ctx, scenario, options)
	}()
	return p, p.ready(ctx)
}

// ready waits until all run and the sharing ones answer.
func (p *realProxies) ready(ctx context.Context) error {
	for limit := time.Now().Add(realStart); time.Now().Before(limit); {
		select {
		case <-p.done:
			return fmt.Errorf("the real proxies: %w", p.err)
		case <-time.After(statusPeriod):
		case <-ctx.Done():
			return ctx.Err()
		}
		on, off, err := p.processes()
		if err != nil {
			return err
		}
		if len(on) == len(p.files) && len(off) == len(p.files) && !slices.ContainsFunc(p.statuses, func(address string) bool {
			_, err := readStatus(ctx, address)
			return err != nil
		}) {
			return nil
		}
	}
	return fmt.Errorf("the real proxies are not ready after %v", realStart)
}

// processes returns the proxies' processes, those that share state and the others.
func (p *realProxies) processes() (on, off []procfs.Proc, err error) {
	all, err := procfs.AllProcs()
	if err != nil {
		return nil, nil, err
	}
	for _, process := range all {
		info, err := process.Stat()
		if err != nil || info.PPID != os.Getpid() {
			continue // gone meanwhile, or none of ours
		}
		command, err := process.CmdLine()
		if err != nil || len(command) < 2 || command[1] != "serve" {
			continue
		}
		if slices.Contains(command, fleetFlag) {
			on = append(on, process)
		} else {
			off = append(off, process)
		}
	}
	return on, off, nil
}

// realUsage is what processes have used, in order.
type realUsage struct {
	at      time.Time
	on, off []processUsage
}

type processUsage struct {
	cpu      float64 // seconds
	resident float64 // bytes
}

func (p *realProxies) usage() (u realUsage, err error) {
	on, off, err := p.processes()
	if err != nil {
		return u, err
	}
	u.at = time.Now()
	for _, group := range []struct {
		from []procfs.Proc
		to   *[]processUsage
	}{{on, &u.on}, {off, &u.off}} {
		for _, process := range group.from {
			used, err := usageOf(process)
			if err != nil {
				return u, err
			}
			*group.to = append(*group.to, used)
		}
	}
	if len(u.on) != len(p.files) || len(u.off) != len(p.files) {
		return u, fmt.Errorf("%d and %d real proxies run, %d each were started", len(u.on), len(u.off), len(p.files))
	}
	return u, nil
}

func usageOf(process procfs.Proc) (processUsage, error) {
	info, err := process.Stat()
	if err != nil {
		return processUsage{}, err
	}
	return processUsage{cpu: info.CPUTime(), resident: float64(info.ResidentMemory())}, nil
}

// RealUsage is what sharing state costs a real proxy: the difference between the means of those with and those without
// it, under the same load.
type RealUsage struct {
	With        int     `json:"with_shared_state"`
	Without     int     `json:"without"`
	CPUWith     float64 `json:"cpu_share_with"`
	CPUWithout  float64 `json:"cpu_share_without"`
	CPUShare    float64 `json:"cpu_share"` // the difference
	MBWith      float64 `json:"memory_mb_with"`
	MBWithout   float64 `json:"memory_mb_without"`
	MemoryMB    float64 `json:"memory_mb"`  // the difference
	CPUSpread   float64 `json:"cpu_spread"` // largest less smallest of the ones without
	Sessions    int64   `json:"sessions"`
	RulesBroken int     `json:"rules_broken"` // by all of them, under their load
}

func (u *RealUsage) measure(before, after realUsage) {
	span := after.at.Sub(before.at).Seconds()
	shares := func(was, is []processUsage) (cpu, memory []float64) {
		for i := range is {
			cpu = append(cpu, (is[i].cpu-was[i].cpu)/span)
			memory = append(memory, is[i].resident/(1<<20))
		}
		return cpu, memory
	}
	cpuOn, memoryOn := shares(before.on, after.on)
	cpuOff, memoryOff := shares(before.off, after.off)
	u.With, u.Without = len(cpuOn), len(cpuOff)
	u.CPUWith, u.CPUWithout = stat.Mean(cpuOn, nil), stat.Mean(cpuOff, nil)
	u.MBWith, u.MBWithout = stat.Mean(memoryOn, nil), stat.Mean(memoryOff, nil)
	u.CPUShare, u.MemoryMB = u.CPUWith-u.CPUWithout, u.MBWith-u.MBWithout
	u.CPUSpread = slices.Max(cpuOff) - slices.Min(cpuOff)
}

// stop ends the proxies and returns what their clients saw.
func (p *realProxies) stop() (*rehearse.Report, error) {
	p.cancel()
	<-p.done
	return p.report, p.err
}

// await waits until the sums of all sharing proxies lie within bounds, and returns the times at which they did.
func (p *realProxies) await(ctx context.Context, sums []SumBound, timeout time.Duration) []int64 {
	known := make([]int64, len(p.statuses))
	missing := len(known)
	for limit := time.Now().Add(timeout); missing > 0 && time.Now().Before(limit); {
		for i, address := range p.statuses {
			if known[i] != 0 {
				continue
			}
			status, err := readStatus(ctx, address)
			if err == nil && status.isWithin(sums) {
				known[i] = time.Now().UnixNano()
				missing--
			}
		}
		if sleep(ctx, statusPeriod) != nil {
			break
		}
	}
	return known
}

// proxyStatus is the part of a proxy's status that the run reads.
type proxyStatus struct {
	Sums []struct {
		Name  string
		Value float64
	}
}

func readStatus(ctx context.Context, address string) (status proxyStatus, err error) {
	return status, readJSON(ctx, address, &status)
}

func (s proxyStatus) isWithin(sums []SumBound) bool {
	return !slices.ContainsFunc(sums, func(bound SumBound) bool {
		value := s.value(bound.Name)
		return value < bound.AtLeast || value > bound.AtMost
	})
}

// value returns the sum of a name of a listener, 0 if the proxy has none.
func (s proxyStatus) value(name string) float64 {
	key := listenerKey(name)
	for _, sum := range s.Sums {
		if sum.Name == name || sum.Name == key {
			return sum.Value
		}
	}
	return 0
}
