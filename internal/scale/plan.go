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

// Plan configures a scale run. Its keys in the TOML file are explained in docs/scale.md: counts of members, servers and
// processes, durations, faults and bounds on the result.
type Plan struct {
	Name      string // of the report
	Seed      int64  // of all draws of the run
	Hollow    int    // number of hollow members: without clients and servers
	Steps     []int  // numbers of hollow members to run one after the other; replaces Hollow
	Real      int    // number of real proxies with shared state; as many again run without it, for comparison
	Regions   int
	Zones     int
	Servers   int         // number of servers in the list
	Keys      int         // number of counts that each member publishes
	Workers   int         // number of processes that hold the hollow members; 0 derives it from the number of members
	Ramp      strict.Span // time over which the members are started
	Settle    strict.Span // longest wait until all sums are right, before the first measurement
	For       strict.Span // length of the measurement of processor time and traffic without changes
	Trials    int         // number of changes of a count, and of changes of the list
	Timeout   strict.Span // longest wait for a change to be known to all members
	LateBound strict.Span `toml:"late_bound"` // delay above which a tick of the generator counts as late
	Faults    []Fault     `toml:"fault"`      // injected one after the other, after the measurement without faults
	Mute      []int       // IDs of members that never publish anything, so that a run with wrong sums can be tested
	Expect    Expect
}

// Expect holds upper bounds on the measured figures. A bound of 0 is not checked.
type Expect struct {
	CPUShare       float64     `toml:"cpu_share"`        // share of a core, for one member
	MemoryMB       float64     `toml:"memory_mb"`        // MiB, for one member
	BytesPerSecond float64     `toml:"bytes_per_second"` // in and out together, of one member
	Known99        strict.Span `toml:"known_99"`         // time until 99 in 100 members know of a change
	SumError       float64     `toml:"sum_error"`        // share by which a member's sum may be off without faults
}

// Upper bounds of a plan's values.
const (
	maxHollow  = 20000
	maxReal    = 16
	maxServers = 100000
	maxTrials  = 4
	maxFaults  = 12 // each fault and trial triples the marked count, which has to stay within a uint32
	maxWorkers = 64

	// Without Workers, the number of processes follows from the number of members: at most membersPerWorker in each, but at
	// least minWorkersForSlope processes, as the slope over processes needs several, unless that leaves fewer than
	// minMembersPerWorker members in each.
	membersPerWorker    = 1000
	minMembersPerWorker = 20
	minWorkersForSlope  = 3
)

// Durations of faults.
const (
	minFaultSpan       = strict.Span(time.Second)
	defaultFaultSpan   = strict.Span(20 * time.Second)
	defaultRestartSpan = strict.Span(time.Minute)
)

// DefaultPlan returns a small run. Its expectations are the bounds that operators have for one proxy.
func DefaultPlan() *Plan {
	return &Plan{Name: "default", Seed: 1, Hollow: 200, Real: 3, Regions: 3, Zones: 10, Servers: 1000, Keys: 100,
		Ramp: strict.Span(5 * time.Second), Settle: strict.Span(15 * time.Second), For: strict.Span(20 * time.Second), Trials: 2,
		Timeout: strict.Span(60 * time.Second), LateBound: strict.Span(100 * time.Millisecond),
		Expect: Expect{CPUShare: 0.014, MemoryMB: 32, BytesPerSecond: 20000, Known99: strict.Span(18 * time.Second), SumError: 0.05}}
}

// LoadPlan reads a plan from a TOML file; keys that are missing keep their default. An invalid key or value is a
// *strict.Error with the line.
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

// Check validates the plan's values and sets Steps if it is empty. f is the file that the values come from and gives errors
// their lines.
func (p *Plan) Check(f *strict.File) error {
	if len(p.Steps) == 0 {
		p.Steps = []int{p.Hollow}
	}
	outside := func(n, least, most int) bool { return n < least || n > most }
	for _, v := range []struct {
		key     string
		invalid bool
		text    string
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
		if v.invalid {
			return f.Errorf(v.key, "%s", v.text)
		}
	}
	if len(p.Faults) > maxFaults {
		return f.Errorf(fmt.Sprintf("fault[%d]", maxFaults), "there are more than %d", maxFaults)
	}
	return p.checkFaults(f)
}

// zoneOf returns the zone of a member: members are spread evenly over zones.
func (p *Plan) zoneOf(member int) int { return member % p.Zones }

// regionOf returns the region of a zone: zones are spread evenly over regions.
func (p *Plan) regionOf(zone int) int { return zone % p.Regions }

// splitMembers returns the number of members of each worker process. With several processes the sizes range from half of
// the mean to one and a half times the mean, so that the cost of a member is the slope over the members of a process.
func (p *Plan) splitMembers(members int) []int {
	workers := p.Workers
	if workers == 0 {
		workers = max((members+membersPerWorker-1)/membersPerWorker, min(minWorkersForSlope, members/minMembersPerWorker), 1)
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
