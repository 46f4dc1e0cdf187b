package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/strict"
)

func writePlan(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestPlanIsStrict: a plan with an unknown key or a value that can't be is refused with its line.
func TestPlanIsStrict(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "hollow = 300\nkeys = 5\n": "", "steps = [10, 20]\n[expect]\nknown_99 = \"9s\"\n": "",
		"hollows = 3\n":                    "plan.toml:1: unknown key",
		"seed = 2\nhollow = 1\n":           "plan.toml:2: hollow: must be 2 to 20000",
		"steps = [10, 1]\n":                "plan.toml:1: steps",
		"regions = 4\n":                    "plan.toml:1: regions",
		"zones = 2\n":                      "plan.toml:1: zones",
		"servers = 5\nkeys = 6\n":          "plan.toml:2: keys",
		"for = \"10ms\"\n":                 "plan.toml:1: for",
		"for = 3\n":                        "plan.toml:1",
		"trials = 9\n":                     "plan.toml:1: trials",
		"late_bound = \"0s\"\n":            "plan.toml:1: late_bound",
		"mute = [200]\n":                   "plan.toml:1: mute",
		"[expect]\nmemory_mb = -1.0\n":     "plan.toml:2: expect.memory_mb",
		"[expect]\nmemory = 1.0\n":         "plan.toml:2: unknown key",
		"hollow = 30\n[[fault]]\nat = 3\n": "unknown key",
	} {
		_, err := LoadPlan(writePlan(t, text))
		var wrong *strict.Error
		if (err == nil) != (want == "") || err != nil && (!errors.As(err, &wrong) || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// TestRefusals: what does not fit the machine is refused before anything is started.
func TestRefusals(t *testing.T) {
	p := DefaultPlan()
	if err := p.Check(&strict.File{}); err != nil {
		t.Fatal(err)
	}
	need := p.Need(200)
	roomy := Machine{Memory: need.Memory * memoryPart, Descriptors: uint64(need.Descriptors)}
	if err := p.Fits(200, roomy); err != nil {
		t.Errorf("%v, though there is just enough", err)
	}
	for want, m := range map[error]Machine{
		ErrMemory:      {Memory: need.Memory*memoryPart - 2, Descriptors: roomy.Descriptors},
		ErrDescriptors: {Memory: roomy.Memory, Descriptors: roomy.Descriptors - 1},
	} {
		if err := p.Fits(200, m); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	p.Workers, p.Real = maxWorkers, (maxProcesses-maxWorkers)/2
	if err := p.Fits(200, Machine{Memory: 1 << 50, Descriptors: 1 << 20}); !errors.Is(err, ErrProcesses) {
		t.Errorf("%v, want %v", err, ErrProcesses)
	}
	options := Options{Program: "/nonexistent"}
	p = DefaultPlan()
	p.Steps, p.Servers, p.Keys = []int{maxHollow}, maxServers, maxServers
	if _, err := Run(t.Context(), p, options); !errors.Is(err, ErrMemory) {
		t.Errorf("%v, want %v before the program is looked for", err, ErrMemory)
	}
}

// TestSplit: all members are spread, over different sizes where there are several processes.
func TestSplit(t *testing.T) {
	p := DefaultPlan()
	for members, workers := range map[int]int{2: 1, 200: 2, 999: 7, 7600: 0, 5: 5, 3: 9} {
		p.Workers = workers
		sizes, sum := p.split(members), 0
		for _, size := range sizes {
			sum += size
			if size < 1 {
				t.Errorf("%d members: an empty process in %v", members, sizes)
			}
		}
		if sum != members || workers > 0 && len(sizes) != min(workers, members) {
			t.Errorf("%d members are spread as %v", members, sizes)
		}
		if members >= 200 && sizes[0] == sizes[len(sizes)-1] {
			t.Errorf("no range of sizes in %v", sizes)
		}
	}
}

// TestSpread: quantiles are over all members, also those that never knew.
func TestSpread(t *testing.T) {
	at := time.Now().UnixNano()
	known := make([]int64, 100)
	for i := range known {
		known[i] = at + int64(time.Duration(i+1)*time.Second)
	}
	if got := newSpread(at, known); got != (Spread{Members: 100, Known: 100, Half: 50, P99: 99, All: 100}) {
		t.Errorf("%+v", got)
	}
	known[3], known[7] = 0, 0
	if got := newSpread(at, known); got.Known != 98 || got.P99 != -1 || got.All != -1 || got.Half != 52 {
		t.Errorf("two never knew: %+v", got)
	}
}

// TestLatenessVoids: a step whose generator was late fails, whatever else was measured.
func TestLatenessVoids(t *testing.T) {
	p := DefaultPlan()
	for _, c := range []struct {
		late int
		void bool
	}{{0, false}, {9, false}, {11, true}} {
		lateness := load.NewLateness(p.LateBound.D())
		for i := range 1000 {
			by := time.Millisecond
			if i < c.late {
				by = 2 * p.LateBound.D()
			}
			lateness.Sent(by)
		}
		w := &worker{lateness: lateness}
		usage, err := w.usage()
		if err != nil {
			t.Fatal(err)
		}
		s := goodStep()
		s.lateness([]*Usage{usage})
		s.judge(p)
		r := &Report{Steps: []*StepReport{s}}
		if s.Void != c.void || r.OK() == c.void {
			t.Errorf("%d of 1000 late: void %t, failed %q", c.late, s.Void, s.Failed)
		}
	}
}

func goodStep() *StepReport {
	all := Spread{Members: 10, Known: 10, Half: 1, P99: 2, All: 3}
	return &StepReport{Hollow: 10, started: 10, watching: 10, CountChanges: []Spread{all}, ListChanges: []Spread{all},
		Member: MemberUsage{CPUShare: 0.001, MemoryBytes: 1 << 20, BytesIn: 100, BytesOut: 100},
		Sum:    Sums{True: 70, Least: 70, Most: 70}, RealProxy: &RealUsage{With: 1, Without: 1}}
}

// TestJudge: each bound that is passed fails a step.
func TestJudge(t *testing.T) {
	p := DefaultPlan()
	for name, spoil := range map[string]func(*StepReport){
		"":                     func(*StepReport) {},
		"run":                  func(s *StepReport) { s.started = 9 },
		"watch the list":       func(s *StepReport) { s.watching = 9 },
		"sent nothing":         func(s *StepReport) { s.silent = 1 },
		"of a core":            func(s *StepReport) { s.Member.CPUShare = 0.0141 },
		"MB, 32.0":             func(s *StepReport) { s.Member.MemoryBytes = 33 << 20 },
		"bytes a second":       func(s *StepReport) { s.Member.BytesIn = 20000 },
		"sums are":             func(s *StepReport) { s.Sum.Least = 63 },
		"known to 9 of 10":     func(s *StepReport) { s.CountChanges[0].Known = 9 },
		"18s is allowed":       func(s *StepReport) { s.ListChanges[0].P99 = 18.1 },
		"after -1.0 s":         func(s *StepReport) { s.ListChanges[0].P99 = -1 },
		"broke 2 rules":        func(s *StepReport) { s.RealProxy.RulesBroken = 2 },
		"for its shared state": func(s *StepReport) { s.RealProxy.MemoryMB = 33 },
	} {
		s := goodStep()
		spoil(s)
		s.judge(p)
		said := strings.Join(s.Failed, "; ")
		if (said == "") != (name == "") || !strings.Contains(said, name) {
			t.Errorf("%q: failed %q", name, said)
		}
	}
}

// TestUnknownRequest: a request that a process does not know is answered with an error, and the process goes on.
func TestUnknownRequest(t *testing.T) {
	var replies strings.Builder
	if err := Serve(strings.NewReader(`{"Later":{}}{"Measure":{}}`), &replies); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(replies.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], errNoRequest.Error()) || !strings.Contains(lines[1], "Usage") {
		t.Errorf("%q", lines)
	}
}

// TestFit: the steps' figures are fitted, without those that are void.
func TestFit(t *testing.T) {
	r := &Report{}
	for _, hollow := range []int{10, 20, 40, 80} {
		s := goodStep()
		s.Hollow, s.Member.CPUShare = hollow, 0.5+0.25*float64(hollow)
		if hollow == 40 {
			s.Void, s.Member.CPUShare = true, 7
		}
		r.Steps = append(r.Steps, s)
	}
	r.finish()
	if len(r.Fits) == 0 {
		t.Fatal("no fit")
	}
	if f := r.Fits[0]; fmt.Sprintf("%.3f %.3f %.3f", f.Intercept, f.Slope, f.RSquared) != "0.500 0.250 1.000" || f.From != 10 || f.To != 80 {
		t.Errorf("%+v", f)
	}
}
