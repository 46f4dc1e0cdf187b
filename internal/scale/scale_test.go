package scale

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/sharing"
	"chalkferry/internal/strict"
)

// writePlan writes a plan file and returns its path.
func writePlan(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestPlanIsStrict checks that an unknown key or an invalid value is refused with its line.
func TestPlanIsStrict(t *testing.T) {
	for text, wantText := range map[string]string{
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
		"[[fault]]\nkind = \"lossy\"\nfor = \"5s\"\nshare = 0.05\n":                 "",
		"[[fault]]\nkind = \"flood\"\nfor = \"5s\"\n":                               "plan.toml:2: fault[0].kind",
		"[[fault]]\nkind = \"lossy\"\nfor = \"5s\"\n":                               "fault[0].share",
		"[[fault]]\nkind = \"zone-cut\"\nfor = \"5s\"\nzone = 10\n":                 "plan.toml:4: fault[0].zone",
		"[[fault]]\nkind = \"start-all\"\nfor = \"5s\"\nregion = 1\n":               "plan.toml:4: fault[0].region",
		"[[fault]]\nkind = \"aggregator-kill\"\nfor = \"5s\"\naggregator = 6\n":     "plan.toml:4: fault[0].aggregator",
		"[[fault]]\nkind = \"aggregator-freeze\"\nfor = \"10ms\"\naggregator = 5\n": "plan.toml:3: fault[0].for",
	} {
		_, err := LoadPlan(writePlan(t, text))
		var wrong *strict.Error
		if (err == nil) != (wantText == "") || err != nil && (!errors.As(err, &wrong) || !strings.Contains(err.Error(), wantText)) {
			t.Errorf("%q: %v, want %q", text, err, wantText)
		}
	}
}

// TestRefusals checks that a run that needs more than the machine has is refused before anything is started.
func TestRefusals(t *testing.T) {
	p := DefaultPlan()
	if err := p.Check(&strict.File{}); err != nil {
		t.Fatal(err)
	}
	need := p.EstimateResources(200)
	roomy := Machine{Memory: need.Memory * memoryDivisor, Descriptors: uint64(need.Descriptors)}
	if err := p.CheckResources(200, roomy); err != nil {
		t.Errorf("a run that needs just what the machine has is refused: %v", err)
	}
	for want, m := range map[error]Machine{
		ErrMemory:      {Memory: need.Memory*memoryDivisor - 2, Descriptors: roomy.Descriptors},
		ErrDescriptors: {Memory: roomy.Memory, Descriptors: roomy.Descriptors - 1},
	} {
		if err := p.CheckResources(200, m); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	p.Workers, p.Real = maxWorkers, (maxProcesses-maxWorkers)/2
	if err := p.CheckResources(200, Machine{Memory: 1 << 50, Descriptors: 1 << 20}); !errors.Is(err, ErrProcesses) {
		t.Errorf("%v, want %v", err, ErrProcesses)
	}
	options := Options{Program: "/nonexistent"}
	p = DefaultPlan()
	p.Steps, p.Servers, p.Keys = []int{maxHollow}, maxServers, maxServers
	if _, err := Run(t.Context(), p, options); !errors.Is(err, ErrMemory) {
		t.Errorf("%v, want %v before any process is started", err, ErrMemory)
	}
}

// TestSplit checks that all members are assigned to processes, and that the sizes differ where there are several processes.
func TestSplit(t *testing.T) {
	p := DefaultPlan()
	for members, workers := range map[int]int{2: 1, 200: 2, 999: 7, 7600: 0, 5: 5, 3: 9} {
		p.Workers = workers
		sizes, sum := p.splitMembers(members), 0
		for _, size := range sizes {
			sum += size
			if size < 1 {
				t.Errorf("%d members: a process without members in %v", members, sizes)
			}
		}
		if sum != members || workers > 0 && len(sizes) != min(workers, members) {
			t.Errorf("%d members are split into %v", members, sizes)
		}
		if members >= 200 && sizes[0] == sizes[len(sizes)-1] {
			t.Errorf("all processes have the same size: %v", sizes)
		}
	}
}

// TestSpread checks that quantiles are over all members, including those that never knew of the change.
func TestSpread(t *testing.T) {
	at := time.Now().UnixNano()
	known := make([]int64, 100)
	for i := range known {
		known[i] = at + int64(time.Duration(i+1)*time.Second)
	}
	if got := newPropagationTimes(at, known); got != (PropagationTimes{Members: 100, Known: 100, P50: 50, P99: 99, All: 100}) {
		t.Errorf("%+v", got)
	}
	known[3], known[7] = 0, 0
	if got := newPropagationTimes(at, known); got.Known != 98 || got.P99 != -1 || got.All != -1 || got.P50 != 52 {
		t.Errorf("two members never knew: %+v", got)
	}
}

// TestLatenessVoids checks that a step whose generator was late is void and fails, even if all else is as expected.
func TestLatenessVoids(t *testing.T) {
	p := DefaultPlan()
	for _, test := range []struct {
		late int
		void bool
	}{{0, false}, {9, false}, {11, true}} {
		lateness := load.NewLateness(p.LateBound.D())
		for i := range 1000 {
			delay := time.Millisecond
			if i < test.late {
				delay = 2 * p.LateBound.D()
			}
			lateness.Record(delay)
		}
		w := &worker{lateness: lateness}
		usage, err := w.usage()
		if err != nil {
			t.Fatal(err)
		}
		s := goodStep()
		s.recordLateness([]*Usage{usage})
		s.checkExpectations(p)
		r := &Report{Steps: []*StepReport{s}}
		if s.Void != test.void || r.OK() == test.void {
			t.Errorf("%d of 1000 ticks late: void %t, failed %q", test.late, s.Void, s.Failed)
		}
	}
}

// goodStep returns a step that meets all expectations of the default plan.
func goodStep() *StepReport {
	all := PropagationTimes{Members: 10, Known: 10, P50: 1, P99: 2, All: 3}
	return &StepReport{Hollow: 10, started: 10, watching: 10, CountChanges: []PropagationTimes{all}, ListChanges: []PropagationTimes{all},
		Member: MemberUsage{CPUShare: 0.001, MemoryBytes: 1 << 20, BytesIn: 100, BytesOut: 100},
		Faults: []FaultReport{{Fault: Fault{Kind: FaultLossy}, Change: all, Recovery: all}},
		Sum:    SumAccuracy{True: 70, Min: 70, Max: 70}, RealProxy: &RealUsage{With: 1, Without: 1}}
}

// TestJudge checks that a step fails for each bound that is exceeded, with a message that names it.
func TestJudge(t *testing.T) {
	p := DefaultPlan()
	for name, modify := range map[string]func(*StepReport){
		"":                           func(*StepReport) {},
		"run":                        func(s *StepReport) { s.started = 9 },
		"watch the list":             func(s *StepReport) { s.watching = 9 },
		"sent nothing":               func(s *StepReport) { s.silent = 1 },
		"of a core":                  func(s *StepReport) { s.Member.CPUShare = 0.0141 },
		"MB, 32.0":                   func(s *StepReport) { s.Member.MemoryBytes = 33 << 20 },
		"bytes a second":             func(s *StepReport) { s.Member.BytesIn = 20000 },
		"sums are":                   func(s *StepReport) { s.Sum.Min = 63 },
		"known to 9 of 10":           func(s *StepReport) { s.CountChanges[0].Known = 9 },
		"18s is allowed":             func(s *StepReport) { s.ListChanges[0].P99 = 18.1 },
		"after -1.0 s":               func(s *StepReport) { s.ListChanges[0].P99 = -1 },
		"broke 2 rules":              func(s *StepReport) { s.RealProxy.RulesBroken = 2 },
		"of a core for its":          func(s *StepReport) { s.RealProxy.CPUShare = 0.0141 },
		"lossy: a change":            func(s *StepReport) { s.Faults[0].Change.P99 = -1 },
		"lossy: the sums of 9 of 10": func(s *StepReport) { s.Faults[0].Recovery.Known = 9 },
		"lossy: a hollow member has": func(s *StepReport) { s.Faults[0].Member.BytesIn = 20001 },
		"for its shared state":       func(s *StepReport) { s.RealProxy.MemoryMB = 33 },
	} {
		s := goodStep()
		modify(s)
		s.checkExpectations(p)
		failures := strings.Join(s.Failed, "; ")
		if (failures == "") != (name == "") || !strings.Contains(failures, name) {
			t.Errorf("%q: failed %q", name, failures)
		}
	}
}

// TestUnknownRequest checks that an unknown request is answered with an error and that the process goes on.
func TestUnknownRequest(t *testing.T) {
	var replies strings.Builder
	if err := RunWorker(strings.NewReader(`{"Later":{}}{"Measure":{}}`), &replies); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(replies.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], errUnknownRequest.Error()) || !strings.Contains(lines[1], "Usage") {
		t.Errorf("%q", lines)
	}
}

// TestFit checks the regression over the steps, and that void steps are left out.
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
	r.fitSteps()
	if len(r.Fits) == 0 {
		t.Fatal("no fit")
	}
	if f := r.Fits[0]; fmt.Sprintf("%.3f %.3f %.3f", f.Intercept, f.Slope, f.RSquared) != "0.500 0.250 1.000" || f.From != 10 || f.To != 80 {
		t.Errorf("%+v", f)
	}
}

// fakeSocket returns the packets of in to the reader and collects what is written in out.
type fakeSocket struct {
	sharing.Socket
	in  [][]byte
	mu  sync.Mutex // guards out: reordered datagrams are written by timers
	out [][]byte
}

func (s *fakeSocket) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	if len(s.in) == 0 {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	next := s.in[0]
	s.in = s.in[1:]
	return copy(buffer, next), loopback, nil
}

func (s *fakeSocket) WriteToUDPAddrPort(datagram []byte, _ netip.AddrPort) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = append(s.out, datagram)
	return len(datagram), nil
}

// passDatagrams sends 100 datagrams in each direction through a link. It returns how many arrive, and whether those that come
// in are in order.
func passDatagrams(t *testing.T, impairment *Impairment) (in, out int, inOrder bool) {
	t.Helper()
	n := &network{}
	n.impairment.Store(impairment)
	socket, l := &fakeSocket{}, &link{network: n, zone: 2}
	for i := range 100 {
		socket.in = append(socket.in, []byte{byte(i)})
	}
	wrapped := l.wrap(socket)
	for range 100 {
		if _, err := wrapped.WriteToUDPAddrPort([]byte("x"), loopback); err != nil {
			t.Fatal(err)
		}
	}
	inOrder = true
	last := -1
	for buffer := make([]byte, 8); ; in++ {
		if _, _, err := wrapped.ReadFromUDPAddrPort(buffer); err != nil {
			break
		}
		inOrder = inOrder && int(buffer[0]) >= last
		last = int(buffer[0])
	}
	if l.traffic() != (Traffic{BytesIn: 100, BytesOut: 100, PacketsIn: 100, PacketsOut: 100}) {
		t.Errorf("counted %+v", l.traffic())
	}
	socket.mu.Lock()
	defer socket.mu.Unlock()
	return in, len(socket.out), inOrder
}

// TestLink checks that a member's link counts its traffic, and loses, duplicates, reorders and blocks it by the impairment.
func TestLink(t *testing.T) {
	for name, test := range map[string]struct {
		impairment *Impairment
		in, out    int
		inOrder    bool
	}{
		"none":                                   {nil, 100, 100, true},
		"cut":                                    {&Impairment{CutIn: []int{2}, CutOut: []int{1, 2}}, 0, 0, true},
		"cut out":                                {&Impairment{CutOut: []int{2}}, 100, 0, true},
		"cut elsewhere":                          {&Impairment{CutIn: []int{3}, CutOut: []int{3}}, 100, 100, true},
		"all are lost":                           {&Impairment{Lost: 1}, 0, 0, true},
		"all are duplicated":                     {&Impairment{Doubled: 1}, 200, 200, true},
		"each second is reordered, all are late": {&Impairment{Reordered: 1}, 100, 0, false},
	} {
		if in, out, inOrder := passDatagrams(t, test.impairment); in != test.in || out != test.out || inOrder != test.inOrder {
			t.Errorf("%s: %d in, %d out, in order %t", name, in, out, inOrder)
		}
	}
	if in, out, _ := passDatagrams(t, &Impairment{Lost: 0.5}); in < 10 || in > 90 || out < 10 || out > 90 {
		t.Errorf("a loss share of 0.5: %d in, %d out", in, out)
	}
}

// TestPlacesOfFaults checks which zones a fault cuts off, whose members are not asked for a change, and which zones' members
// can't make a change known, so that none of them is chosen to make it.
func TestPlacesOfFaults(t *testing.T) {
	p := DefaultPlan() // zones 0, 3, 6, 9 are in region 0, 1, 4, 7 in 1, 2, 5, 8 in 2
	for _, test := range []struct {
		kind         FaultKind
		cut, unheard string
	}{
		{FaultZoneCut, "[9]", "[9]"}, {FaultZoneCutOut, "[9]", "[9]"}, {FaultRegionCut, "[2 5 8]", "[2 5 8]"},
		{FaultRegionCutOut, "[]", "[2 5 8]"}, {FaultLossy, "[]", "[]"}, {FaultStartAll, "[]", "[]"},
	} {
		fault, ok := p.DefaultFault(string(test.kind))
		if cut, unheard := fmt.Sprint(p.cutZones(fault)), fmt.Sprint(p.unheardZones(fault)); !ok || cut != test.cut || unheard != test.unheard {
			t.Errorf("%s: cut off zones %s, unheard zones %s", test.kind, cut, unheard)
		}
	}
}
