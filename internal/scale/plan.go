package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"chalkferry/internal/strict"
)

// Plan is what a scale run does, as its TOML file has it; docs/scale.md explains each key.
type Plan struct {
	Name      string
	Seed      int64
	Hollow    int   // members without clients and servers
	Steps     []int // numbers of hollow members to run one after the other, in place of Hollow
	Real      int   // proxies with all parts; as many again run without shared state, for comparison
	Regions   int
	Zones     int
	Servers   int // in the list
	Keys      int // counts that each member holds
	Workers   int // processes that hold the hollow members, 0 for as many as their number needs
	Ramp      strict.Span
	Settle    strict.Span // at most, until all sums are right, before the first measurement
	For       strict.Span // the measurement of processor time and traffic without changes
	Trials    int         // changes of a count, and of the list
	Timeout   strict.Span // for a change to be known to all
	LateBound strict.Span `toml:"late_bound"` // beyond which the generator's tick counts as late
	Faults    []Fault     `toml:"fault"`      // one after the other, after the measurement without them
	Mute      []int       // members that are broken on purpose: they never publish anything
	Expect    Expect
}

// Expect is what a run must keep to. A bound of 0 is not judged.
type Expect struct {
	CPUShare       float64     `toml:"cpu_share"` // of a core, of one member
	MemoryMB       float64     `toml:"memory_mb"`
	BytesPerSecond float64     `toml:"bytes_per_second"` // in and out together
	Known99        strict.Span `toml:"known_99"`         // until 99 in 100 know of a change
	SumError       float64     `toml:"sum_error"`        // share by which a member's sum may be off without faults
}

// Bounds of a plan.
const (
	maxHollow  = 20000
	maxReal    = 16
	maxServers = 100000
	maxTrials  = 4
	maxFaults  = 12 // with the trials: the marked count triples at each
	maxWorkers = 64

	// Hollow members of a process, and processes at least, unless the plan says how many there are: the slope over
	// processes needs some.
	perWorker        = 1000
	minPerWorker     = 20
	workersForASlope = 3
)

// Spans of faults.
const (
	minFaultSpan       = strict.Span(time.Second)
	defaultFaultSpan   = strict.Span(20 * time.Second)
	defaultRestartSpan = strict.Span(time.Minute)
)

// DefaultPlan returns a small run; its expectations are the operators' ceilings for one proxy.
func DefaultPlan() *Plan {
	return &Plan{Name: "default", Seed: 1, Hollow: 200, Real: 3, Regions: 3, Zones: 10, Servers: 1000, Keys: 100,
		Ramp: strict.Span(5 * time.Second), Settle: strict.Span(15 * time.Second), For: strict.Span(20 * time.Second), Trials: 2,
		Timeout: strict.Span(60 * time.Second), LateBound: strict.Span(100 * time.Millisecond),
		Expect: Expect{CPUShare: 0.014, MemoryMB: 32, BytesPerSecond: 20000, Known99: strict.Span(18 * time.Second), SumError: 0.05}}
}

// LoadPlan reads a plan from a TOML file, in place of what the default has. What is wrong is a *strict.Error with the line.
func LoadPlan(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := DefaultPlan()
	p.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	f, err := strict.Parse(file, text, p)
	if err != nil {
		return nil, err
	}
	return p, p.Check(f)
}

// Check holds a plan against what can be run. The file is where its values come from, and gives errors their lines.
func (p *Plan) Check(f *strict.File) error {
	if len(p.Steps) == 0 {
		p.Steps = []int{p.Hollow}
	}
	outside := func(n, least, most int) bool { return n < least || n > most }
	for _, v := range []struct {
		key  string
		bad  bool
		text string
	}{
		{"hollow", outside(p.Hollow, 2, maxHollow), "must be 2 to 20000"},
		{"steps", slices.Min(p.Steps) < 2 || slices.Max(p.Steps) > maxHollow, "must be 2 to 20000 each"},
		{"real", outside(p.Real, 0, maxReal), "must be 0 to 16"},
		{"regions", outside(p.Regions, 1, 3), "must be 1 to 3"},
		{"zones", p.Zones < p.Regions || p.Zones > 100, "must be as many as regions or more, 100 at most"},
		{"servers", outside(p.Servers, 1, maxServers), "must be 1 to 100000"},
		{"keys", outside(p.Keys, 1, p.Servers), "must be 1 or more, and no more than servers"},
		{"workers", outside(p.Workers, 0, maxWorkers), "must be 0 to 64"},
		{"ramp", p.Ramp < 0, "must not be negative"},
		{"settle", p.Settle < 0, "must not be negative"},
		{"for", p.For < strict.Span(time.Second), "must be 1s or more"},
		{"trials", outside(p.Trials, 0, maxTrials), "must be 0 to 4"},
		{"timeout", p.Timeout < strict.Span(time.Second), "must be 1s or more"},
		{"late_bound", p.LateBound <= 0, "must be above 0"},
		{"mute", len(p.Mute) > 0 && (slices.Min(p.Mute) < 0 || slices.Max(p.Mute) >= slices.Min(p.Steps)), "must name hollow members"},
		{"expect.cpu_share", p.Expect.CPUShare < 0, "must not be negative"},
		{"expect.memory_mb", p.Expect.MemoryMB < 0, "must not be negative"},
		{"expect.bytes_per_second", p.Expect.BytesPerSecond < 0, "must not be negative"},
		{"expect.known_99", p.Expect.Known99 < 0, "must not be negative"},
		{"expect.sum_error", p.Expect.SumError < 0, "must not be negative"},
	} {
		if v.bad {
			return f.Errorf(v.key, "%s", v.text)
		}
	}
	if len(p.Faults) > maxFaults {
		return f.Errorf(fmt.Sprintf("fault[%d]", maxFaults), "there are more than %d", maxFaults)
	}
	return p.checkFaults(f)
}

// zoneOf and regionOf spread members over zones, and zones over regions.
func (p *Plan) zoneOf(member int) int { return member % p.Zones }

func (p *Plan) regionOf(zone int) int { return zone % p.Regions }

// split spreads members over worker processes. Where there are several their sizes differ, from half of the mean to
// one and a half, so that what a member adds is the slope over the members of a process.
func (p *Plan) split(members int) []int {
	workers := p.Workers
	if workers == 0 {
		workers = max((members+perWorker-1)/perWorker, min(workersForASlope, members/minPerWorker), 1)
	}
	workers = min(workers, members)
	sizes, left := make([]int, workers), members
	for i := range sizes {
		share := 1.0
		if workers > 1 {
			share = 0.5 + float64(i)/float64(workers-1)
		}
		sizes[i] = max(1, min(left-(workers-1-i), int(share*float64(members)/float64(workers))))
		left -= sizes[i]
	}
	sizes[workers-1] += left
	return sizes
}
