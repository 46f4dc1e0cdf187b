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

// realScenario is the rehearsal scenario that loads the real proxies, without seed, length and number of proxies.
//
//go:embed real.toml
var realScenario string

const (
	realRunDuration    = 30 * time.Minute       // longer than any step: the proxies are stopped at the end of the step
	realStartTimeout   = 30 * time.Second       // for all real proxies to answer
	statusTimeout      = 2 * time.Second        // for one status request
	statusPollInterval = 200 * time.Millisecond // between two polls of a status
	fleetFlag          = "--fleet"
)

// realProxies holds the serve processes with all parts on the stand-in platform. Half of them share state with the hollow
// members; the other half, under the same load, do not.
type realProxies struct {
	program  string
	files    []string // configuration of those that share state
	statuses []string // status addresses of those that share state
	cancel   context.CancelFunc
	done     chan struct{}    // closed when report and err are set
	report   *rehearse.Report // what the proxies' clients saw
	err      error
}

// startRealProxies starts twice as many proxies as there are files, and waits until they are ready.
func startRealProxies(ctx context.Context, program string, files, statuses []string, seed int64) (*realProxies, error) {
	text := fmt.Sprintf("seed = %d\nlength = %q\n%s\n[proxies]\ncount = %d\npin = false\n", seed, realRunDuration, realScenario, 2*len(files))
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
	return p, p.waitReady(ctx)
}

// waitReady waits until all proxies run and those that share state answer.
func (p *realProxies) waitReady(ctx context.Context) error {
	for deadline := time.Now().Add(realStartTimeout); time.Now().Before(deadline); {
		select {
		case <-p.done:
			return fmt.Errorf("the real proxies: %w", p.err)
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		sharing, plain, err := p.processes()
		if err != nil {
			return err
		}
		if len(sharing) == len(p.files) && len(plain) == len(p.files) && !slices.ContainsFunc(p.statuses, func(address string) bool {
			_, err := readStatus(ctx, address)
			return err != nil
		}) {
			return nil
		}
	}
	return fmt.Errorf("the real proxies are not ready after %v", realStartTimeout)
}

// processes returns the proxies' processes: those that share state, and the others.
func (p *realProxies) processes() (sharing, plain []procfs.Proc, err error) {
	all, err := procfs.AllProcs()
	if err != nil {
		return nil, nil, err
	}
	for _, process := range all {
		info, err := process.Stat()
		if err != nil || info.PPID != os.Getpid() {
			continue // exited meanwhile, or not a child of this process
		}
		command, err := process.CmdLine()
		if err != nil || len(command) < 2 || command[1] != "serve" {
			continue
		}
		if slices.Contains(command, fleetFlag) {
			sharing = append(sharing, process)
		} else {
			plain = append(plain, process)
		}
	}
	return sharing, plain, nil
}

// realUsage is the cumulative usage of the real proxies, those that share state and those that do not, each in the order in
// which procfs lists the processes.
type realUsage struct {
	at             time.Time
	sharing, plain []processUsage
}

// processUsage is the cumulative usage of a process.
type processUsage struct {
	cpu      float64 // seconds of user and system time
	resident float64 // bytes of resident memory
}

// measure reads the usage of all proxies. It fails if one has exited.
func (p *realProxies) measure() (u realUsage, err error) {
	sharing, plain, err := p.processes()
	if err != nil {
		return u, err
	}
	u.at = time.Now()
	for _, group := range []struct {
		from []procfs.Proc
		to   *[]processUsage
	}{{sharing, &u.sharing}, {plain, &u.plain}} {
		for _, process := range group.from {
			used, err := usageOf(process)
			if err != nil {
				return u, err
			}
			*group.to = append(*group.to, used)
		}
	}
	if len(u.sharing) != len(p.files) || len(u.plain) != len(p.files) {
		return u, fmt.Errorf("%d and %d real proxies run, %d each were started", len(u.sharing), len(u.plain), len(p.files))
	}
	return u, nil
}

// usageOf reads the cumulative usage of a process.
func usageOf(process procfs.Proc) (processUsage, error) {
	info, err := process.Stat()
	if err != nil {
		return processUsage{}, err
	}
	return processUsage{cpu: info.CPUTime(), resident: float64(info.ResidentMemory())}, nil
}

// RealUsage is what shared state costs a real proxy: the difference between the means of the proxies with and without it,
// under the same load.
type RealUsage struct {
	With            int     `json:"with_shared_state"` // number of proxies
	Without         int     `json:"without"`           // number of proxies
	CPUWith         float64 `json:"cpu_share_with"`    // shares of a core
	CPUWithout      float64 `json:"cpu_share_without"`
	CPUShare        float64 `json:"cpu_share"`      // difference of the means
	MemoryMBWith    float64 `json:"memory_mb_with"` // MiB
	MemoryMBWithout float64 `json:"memory_mb_without"`
	MemoryMB        float64 `json:"memory_mb"`  // difference of the means
	CPURangeWithout float64 `json:"cpu_spread"` // largest minus smallest share of a proxy without shared state
	Sessions        int64   `json:"sessions"`
	RulesBroken     int     `json:"rules_broken"` // by all proxies under their load
}

// setDifference sets the usage from two measurements.
func (u *RealUsage) setDifference(before, after realUsage) {
	span := after.at.Sub(before.at).Seconds()
	shares := func(first, last []processUsage) (cpu, memory []float64) {
		for i := range last {
			cpu = append(cpu, (last[i].cpu-first[i].cpu)/span)
			memory = append(memory, last[i].resident/(1<<20))
		}
		return cpu, memory
	}
	cpuSharing, memorySharing := shares(before.sharing, after.sharing)
	cpuPlain, memoryPlain := shares(before.plain, after.plain)
	u.With, u.Without = len(cpuSharing), len(cpuPlain)
	u.CPUWith, u.CPUWithout = stat.Mean(cpuSharing, nil), stat.Mean(cpuPlain, nil)
	u.MemoryMBWith, u.MemoryMBWithout = stat.Mean(memorySharing, nil), stat.Mean(memoryPlain, nil)
	u.CPUShare, u.MemoryMB = u.CPUWith-u.CPUWithout, u.MemoryMBWith-u.MemoryMBWithout
	u.CPURangeWithout = slices.Max(cpuPlain) - slices.Min(cpuPlain)
}

// stop ends the proxies and returns what their clients saw.
func (p *realProxies) stop() (*rehearse.Report, error) {
	p.cancel()
	<-p.done
	return p.report, p.err
}

// await polls the proxies that share state until all their sums lie within bounds, or for the timeout. It returns the Unix
// times in ns at which each did, 0 for never.
func (p *realProxies) await(ctx context.Context, sums []SumBound, timeout time.Duration) []int64 {
	known := make([]int64, len(p.statuses))
	missing := len(known)
	for deadline := time.Now().Add(timeout); missing > 0 && time.Now().Before(deadline); {
		for i, address := range p.statuses {
			if known[i] != 0 {
				continue
			}
			status, err := readStatus(ctx, address)
			if err == nil && status.sumsWithin(sums) {
				known[i] = time.Now().UnixNano()
				missing--
			}
		}
		if sleep(ctx, statusPollInterval) != nil {
			break
		}
	}
	return known
}

// proxyStatus is the part of a proxy's status page that the run reads.
type proxyStatus struct {
	Sums []struct {
		Name  string
		Value float64
	}
}

func readStatus(ctx context.Context, address string) (status proxyStatus, err error) {
	return status, readJSON(ctx, address, &status)
}

// sumsWithin reports whether each sum lies within its bound.
func (s proxyStatus) sumsWithin(sums []SumBound) bool {
	return !slices.ContainsFunc(sums, func(bound SumBound) bool {
		value := s.value(bound.Name)
		return value < bound.AtLeast || value > bound.AtMost
	})
}

// value returns the sum of a count by listener, 0 if the proxy has none. The status shows a count under its key, not its
// name, if the proxy has not published that count itself.
func (s proxyStatus) value(name string) float64 {
	key := listenerKey(name)
	for _, sum := range s.Sums {
		if sum.Name == name || sum.Name == key {
			return sum.Value
		}
	}
	return 0
}
