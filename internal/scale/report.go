package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"chalkferry/internal/aggregation"
)

// Report is what a run has measured. Figures of hollow members, of stand-ins and of real processes are kept apart.
type Report struct {
	Name        string        `json:"name"`
	Command     string        `json:"command"`
	Commit      string        `json:"commit"`
	Go          string        `json:"go"`
	Cores       int           `json:"cores"`
	At          string        `json:"at"`
	Mechanism   string        `json:"mechanism"`
	Plan        *Plan         `json:"plan"`
	Interrupted bool          `json:"interrupted,omitempty"`
	Steps       []*StepReport `json:"steps"`
	Fits        []Fit         `json:"fits,omitempty"`
}

// StepReport is one number of members.
type StepReport struct {
	Hollow      int     `json:"hollow_members"`
	Real        int     `json:"real_proxies"`
	Estimate    Need    `json:"estimate"`
	StartedIn   float64 `json:"started_in_seconds"`
	Phases      []Phase `json:"phases"`
	Interrupted string  `json:"interrupted_while,omitempty"`

	Member      MemberUsage        `json:"hollow_member"` // one of them, by the slope over members of a process
	Discovery   RoleUsage          `json:"stand_in_discovery"`
	Aggregators []AggregatorReport `json:"aggregators"`
	RealProxy   *RealUsage         `json:"real_proxy,omitempty"`
	WorkerBytes uint64             `json:"workers_resident_bytes"` // all together
	Filled      Spread             `json:"all_sums_right_after_the_last_start"`

	Sum                  Sums          `json:"sum"` // of the count that all members hold
	CountChanges         []Spread      `json:"count_changes"`
	RealChanges          []Spread      `json:"count_changes_at_real_proxies,omitempty"`
	ListChanges          []Spread      `json:"list_changes"`
	Faults               []FaultReport `json:"faults,omitempty"`
	SettingsMicroseconds float64       `json:"settings_read_microseconds"` // one member's reading, without any way of them to it

	Lateness Lateness `json:"generator_lateness"`
	Void     bool     `json:"void"` // the generator was late: no figure of this step counts
	Failed   []string `json:"failed,omitempty"`

	base     []*Usage // of list service and workers, before the first member
	started  int
	watching int
	silent   int
}

// Phase is a part of a step, and how long it took.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// MemberUsage is what one hollow member uses.
type MemberUsage struct {
	CPUShare         float64 `json:"cpu_share"` // of a core
	MemoryBytes      float64 `json:"memory_bytes"`
	BytesIn          float64 `json:"bytes_in_per_second"`
	BytesOut         float64 `json:"bytes_out_per_second"`
	PacketsIn        float64 `json:"packets_in_per_second"`
	PacketsOut       float64 `json:"packets_out_per_second"`
	ListBytesIn      float64 `json:"list_bytes_in_per_second"`
	CPUResidual      float64 `json:"cpu_share_residual,omitempty"` // standard deviation around the slope
	Processes        int     `json:"processes"`
	ProcessCPU       float64 `json:"process_cpu_share"`       // that an empty process would use, by the intercept
	ProcessMemoryMB  float64 `json:"process_memory_mb"`       // of an empty process
	SlopeOverMembers bool    `json:"slope_over_members"`      // false: the difference from an empty process
	PayloadOnly      bool    `json:"bytes_are_udp_payload"`   // without headers
	MostInAProcess   int     `json:"most_members_of_process"` // of the slope's range
	LeastInAProcess  int     `json:"least_members_of_process"`
}

// RoleUsage is what a control role uses.
type RoleUsage struct {
	CPUShare   float64 `json:"cpu_share"`
	MemoryMB   float64 `json:"memory_mb"`
	BytesIn    float64 `json:"bytes_in_per_second"`
	BytesOut   float64 `json:"bytes_out_per_second"`
	PacketsIn  float64 `json:"packets_in_per_second"`
	PacketsOut float64 `json:"packets_out_per_second"`
}

// Sums is how members' sums over the fleet differ from what all hold.
type Sums struct {
	True       float64 `json:"true"`
	Median     float64 `json:"median"`
	Least      float64 `json:"least"`
	Most       float64 `json:"most"`
	MostError  float64 `json:"most_stated_error"`
	MostAge    float64 `json:"most_age_seconds"`
	LeastHeard float64 `json:"least_heard"`
	Beyond     int     `json:"members_beyond_stated_error"`
}

// Spread is how long a change took until members knew of it, in seconds; -1 where so many never did.
type Spread struct {
	Members int     `json:"members"`
	Known   int     `json:"known"`
	Half    float64 `json:"half"`
	P99     float64 `json:"known_99"`
	All     float64 `json:"all"`
}

// Lateness is how far the generator was behind its own schedule, over all its processes.
type Lateness struct {
	Ticks int64   `json:"ticks"`
	Late  int64   `json:"late"`
	P99   float64 `json:"worst_p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Fit is a straight line over the steps' numbers of members.
type Fit struct {
	Figure    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope_per_member"`
	RSquared  float64 `json:"r_squared"`
	From      int     `json:"from_members"`
	To        int     `json:"to_members"`
}

func newReport(p *Plan, commit string) *Report {
	if commit == "" {
		commit = builtFrom()
	}
	return &Report{Name: p.Name, Command: strings.Join(append([]string{"chalkferry"}, os.Args[1:]...), " "), Commit: commit, Go: runtime.Version(),
		Cores: runtime.NumCPU(), At: time.Now().UTC().Format(time.RFC3339), Mechanism: mechanism, Plan: p}
}

// builtFrom returns the commit that is stamped into the program, where the build has no name for it.
func builtFrom() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}

func newSpread(at int64, known []int64) Spread {
	var took []float64
	for _, then := range known {
		if then != 0 {
			took = append(took, seconds(time.Duration(max(then-at, 0))))
		}
	}
	slices.Sort(took)
	quantile := func(share float64) float64 {
		n := int(math.Ceil(share * float64(len(known))))
		if n > len(took) || n == 0 {
			return -1
		}
		return took[n-1]
	}
	return Spread{Members: len(known), Known: len(took), Half: quantile(0.5), P99: quantile(0.99), All: quantile(1)}
}

func newSums(sums []aggregation.Figure, truth float64) Sums {
	s := Sums{True: truth, Least: math.Inf(1), LeastHeard: 1}
	values := make([]float64, len(sums))
	for i, sum := range sums {
		values[i] = sum.Value
		s.Least, s.Most = min(s.Least, sum.Value), max(s.Most, sum.Value)
		s.MostError, s.MostAge = max(s.MostError, sum.Error), max(s.MostAge, seconds(sum.Age))
		s.LeastHeard = min(s.LeastHeard, sum.Heard)
		if math.Abs(sum.Value-truth) > sum.Error+0.5 {
			s.Beyond++
		}
	}
	slices.Sort(values)
	s.Median = values[len(values)/2]
	return s
}

// calm takes what list service and workers used between two measurements.
func (s *StepReport) calm(before, after []*Usage) {
	list := after[0]
	span := float64(list.At-before[0].At) / 1e9
	s.Discovery = RoleUsage{CPUShare: (list.CPU - before[0].CPU).Seconds() / span, MemoryMB: float64(list.Resident) / (1 << 20),
		BytesIn: float64(list.List.BytesIn-before[0].List.BytesIn) / span, BytesOut: float64(list.List.BytesOut-before[0].List.BytesOut) / span,
		PacketsIn: float64(list.List.PacketsIn-before[0].List.PacketsIn) / span, PacketsOut: float64(list.List.PacketsOut-before[0].List.PacketsOut) / span}
	m := &s.Member
	var sizes, cpu, memory []float64
	m.LeastInAProcess = math.MaxInt
	members := 0
	for i := 1; i < len(after); i++ {
		was, is := before[i], after[i]
		span := float64(is.At-was.At) / 1e9
		sizes = append(sizes, float64(is.Members))
		cpu = append(cpu, (is.CPU-was.CPU).Seconds()/span)
		memory = append(memory, float64(is.Resident))
		m.BytesIn += float64(is.Sharing.BytesIn-was.Sharing.BytesIn) / span
		m.BytesOut += float64(is.Sharing.BytesOut-was.Sharing.BytesOut) / span
		m.PacketsIn += float64(is.Sharing.PacketsIn-was.Sharing.PacketsIn) / span
		m.PacketsOut += float64(is.Sharing.PacketsOut-was.Sharing.PacketsOut) / span
		m.MostInAProcess, m.LeastInAProcess = max(m.MostInAProcess, is.Members), min(m.LeastInAProcess, is.Members)
		members += is.Members
		s.WorkerBytes += is.Resident
		s.watching += is.Watching
		s.silent += is.Silent
	}
	s.started = members
	for _, sum := range []*float64{&m.BytesIn, &m.BytesOut, &m.PacketsIn, &m.PacketsOut} {
		*sum /= float64(members)
	}
	m.ListBytesIn, m.PayloadOnly, m.Processes = s.Discovery.BytesOut/float64(members), true, len(sizes)
	empty := float64(s.base[1].Resident)
	if m.MostInAProcess < 2*m.LeastInAProcess { // no range for a slope
		m.CPUShare = stat.Mean(cpu, nil) * float64(len(cpu)) / float64(members)
		m.MemoryBytes = (stat.Mean(memory, nil) - empty) * float64(len(memory)) / float64(members)
		m.ProcessMemoryMB = empty / (1 << 20)
		return
	}
	m.SlopeOverMembers = true
	m.ProcessCPU, m.CPUShare = stat.LinearRegression(sizes, cpu, nil, false)
	var rest []float64
	for i, size := range sizes {
		rest = append(rest, (cpu[i]-m.ProcessCPU-m.CPUShare*size)/size)
	}
	m.CPUResidual = stat.StdDev(rest, nil)
	m.ProcessMemoryMB, m.MemoryBytes = stat.LinearRegression(sizes, memory, nil, false)
	m.ProcessMemoryMB /= 1 << 20
}

func (s *StepReport) lateness(workers []*Usage) {
	for _, usage := range workers {
		s.Lateness.Ticks += usage.Ticks
		s.Lateness.Late += usage.Late
		s.Lateness.P99 = max(s.Lateness.P99, usage.LateP99)
		s.Lateness.Max = max(s.Lateness.Max, usage.LateMax)
		s.Void = s.Void || usage.TooLate
	}
}

// judge holds what was measured against what is expected.
func (s *StepReport) judge(p *Plan) {
	fail := func(bad bool, format string, args ...any) {
		if bad {
			s.Failed = append(s.Failed, fmt.Sprintf(format, args...))
		}
	}
	e := &p.Expect
	fail(s.Void, "void: the generator was late at %d of %d ticks", s.Lateness.Late, s.Lateness.Ticks)
	fail(s.started != s.Hollow, "%d of %d hollow members run", s.started, s.Hollow)
	fail(s.watching != s.Hollow, "%d of %d hollow members watch the list", s.watching, s.Hollow)
	fail(s.silent > 0, "%d hollow members have sent nothing", s.silent)
	s.judgeFaults(e, fail)
	m := &s.Member
	fail(e.CPUShare > 0 && m.CPUShare > e.CPUShare, "a hollow member takes %.2f%% of a core, %.2f%% are allowed", 100*m.CPUShare, 100*e.CPUShare)
	fail(e.MemoryMB > 0 && m.MemoryBytes > e.MemoryMB*(1<<20), "a hollow member takes %.1f MB, %.1f are allowed", m.MemoryBytes/(1<<20), e.MemoryMB)
	bytes := m.BytesIn + m.BytesOut + m.ListBytesIn
	fail(e.BytesPerSecond > 0 && bytes > e.BytesPerSecond, "a hollow member has %.0f bytes a second, %.0f are allowed", bytes, e.BytesPerSecond)
	if u := s.RealProxy; u != nil {
		fail(u.RulesBroken > 0, "the real proxies broke %d rules", u.RulesBroken)
		fail(e.MemoryMB > 0 && u.MemoryMB > e.MemoryMB, "a real proxy takes %.1f MB for its shared state, %.1f are allowed", u.MemoryMB, e.MemoryMB)
	}
	fail(e.SumError > 0 && (s.Sum.Least < s.Sum.True*(1-e.SumError) || s.Sum.Most > s.Sum.True*(1+e.SumError)),
		"members' sums are %.0f to %.0f where %.0f is held", s.Sum.Least, s.Sum.Most, s.Sum.True)
	for _, kind := range []struct {
		name    string
		spreads []Spread
	}{{"count", s.CountChanges}, {"count at real proxies", s.RealChanges}, {"list", s.ListChanges}} {
		for i, spread := range kind.spreads {
			fail(spread.Known < spread.Members, "change %d of the %s: known to %d of %d members", i+1, kind.name, spread.Known, spread.Members)
			fail(e.Known99 > 0 && (spread.P99 < 0 || spread.P99 > e.Known99.D().Seconds()),
				"change %d of the %s: known to 99 in 100 after %.1f s, %v is allowed", i+1, kind.name, spread.P99, e.Known99)
		}
	}
}

// judgeFaults judges how far a change was known while a fault lasted, and whether all sums were right after its end.
func (s *StepReport) judgeFaults(e *Expect, fail func(bad bool, format string, args ...any)) {
	for _, f := range s.Faults {
		bound := e.Known99.D().Seconds()
		fail(bound > 0 && (f.Change.P99 < 0 || f.Change.P99 > bound), "%s: a change of a count known to 99 in 100 after %.1f s, %.1f are allowed",
			f.Kind, f.Change.P99, bound)
		fail(f.Recovery.Known < f.Recovery.Members, "%s: the sums of %d of %d members are right after its end", f.Kind, f.Recovery.Known, f.Recovery.Members)
		bytes := f.Member.BytesIn + f.Member.BytesOut
		fail(e.BytesPerSecond > 0 && bytes > e.BytesPerSecond, "%s: a hollow member has %.0f bytes a second, %.0f are allowed", f.Kind, bytes, e.BytesPerSecond)
	}
}

// finish fits lines over the steps.
func (r *Report) finish() {
	var steps []*StepReport
	for _, s := range r.Steps {
		if s.Interrupted == "" && !s.Void {
			steps = append(steps, s)
		}
	}
	if len(steps) < 3 {
		return
	}
	var sizes []float64
	for _, s := range steps {
		sizes = append(sizes, float64(s.Hollow))
	}
	for _, figure := range []struct {
		name string
		of   func(*StepReport) float64
	}{
		{"hollow_member.cpu_share", func(s *StepReport) float64 { return s.Member.CPUShare }},
		{"hollow_member.memory_bytes", func(s *StepReport) float64 { return s.Member.MemoryBytes }},
		{"hollow_member.bytes_in_and_out_per_second", func(s *StepReport) float64 { return s.Member.BytesIn + s.Member.BytesOut }},
		{"stand_in_discovery.cpu_share", func(s *StepReport) float64 { return s.Discovery.CPUShare }},
		{"stand_in_discovery.memory_mb", func(s *StepReport) float64 { return s.Discovery.MemoryMB }},
	} {
		var values []float64
		for _, s := range steps {
			values = append(values, figure.of(s))
		}
		f := Fit{Figure: figure.name, From: steps[0].Hollow, To: steps[len(steps)-1].Hollow}
		f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
		f.RSquared = stat.RSquared(sizes, values, nil, f.Intercept, f.Slope)
		if !math.IsNaN(f.RSquared) && !math.IsInf(f.RSquared, 0) {
			r.Fits = append(r.Fits, f)
		}
	}
}

// OK tells whether all steps ran and kept to what is expected.
func (r *Report) OK() bool {
	return !r.Interrupted && !slices.ContainsFunc(r.Steps, func(s *StepReport) bool { return len(s.Failed) > 0 })
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(file string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

// Print writes the report for operators.
func (r *Report) Print(to io.Writer) {
	fmt.Fprintf(to, "scale run %q: %s, commit %s, %d cores\n", r.Name, r.Mechanism, r.Commit, r.Cores)
	for _, s := range r.Steps {
		s.print(to)
	}
	for _, f := range r.Fits {
		fmt.Fprintf(to, "fit over %d to %d members: %s = %.4g + %.4g a member, r2 %.3f\n", f.From, f.To, f.Figure, f.Intercept, f.Slope, f.RSquared)
	}
	switch {
	case r.Interrupted:
		fmt.Fprintln(to, "INTERRUPTED: the steps until then are above")
	case r.OK():
		fmt.Fprintln(to, "GOOD: all that was expected was kept")
	default:
		fmt.Fprintln(to, "FAILED: see above")
	}
}

func (s *StepReport) print(to io.Writer) {
	fmt.Fprintf(to, "%d hollow members (simulated: no clients, no servers), %d real proxies\n", s.Hollow, s.Real)
	if s.Interrupted != "" {
		fmt.Fprintf(to, "  interrupted while it %s\n", s.Interrupted)
	}
	m := &s.Member
	fmt.Fprintf(to, "  hollow member       %.3f%% of a core  %.2f MB  in %.0f B/s %.1f packets/s  out %.0f B/s %.1f packets/s  list %.0f B/s\n",
		100*m.CPUShare, m.MemoryBytes/(1<<20), m.BytesIn, m.PacketsIn, m.BytesOut, m.PacketsOut, m.ListBytesIn)
	fmt.Fprintf(to, "  stand-in discovery  %.1f%% of a core  %.1f MB  out %.0f B/s\n", 100*s.Discovery.CPUShare, s.Discovery.MemoryMB, s.Discovery.BytesOut)
	if u := s.RealProxy; u != nil {
		fmt.Fprintf(to, "  real proxy          %+.3f%% of a core  %+.1f MB by sharing (%d with it: %.2f%%, %.1f MB; %d without: %.2f%%, %.1f MB); %d sessions, %d rules broken\n",
			100*u.CPUShare, u.MemoryMB, u.With, 100*u.CPUWith, u.MBWith, u.Without, 100*u.CPUWithout, u.MBWithout, u.Sessions, u.RulesBroken)
	}
	fmt.Fprintf(to, "  sum over the fleet  %.0f held, members say %.0f to %.0f, median %.0f; age to %.1f s, heard from %.0f%%\n",
		s.Sum.True, s.Sum.Least, s.Sum.Most, s.Sum.Median, s.Sum.MostAge, 100*s.Sum.LeastHeard)
	fmt.Fprintf(to, "  sums right after the last start: %v\n", s.Filled)
	printAggregators(to, "  ", s.Aggregators)
	for i, c := range s.CountChanges {
		fmt.Fprintf(to, "  change %d of a count  %v\n", i+1, c)
	}
	for i, c := range s.RealChanges {
		fmt.Fprintf(to, "  change %d, real proxies %v\n", i+1, c)
	}
	for i, c := range s.ListChanges {
		fmt.Fprintf(to, "  change %d of the list %v\n", i+1, c)
	}
	for i := range s.Faults {
		s.Faults[i].print(to)
	}
	fmt.Fprintf(to, "  settings read in %.0f us a member; no mechanism brings them to it\n", s.SettingsMicroseconds)
	fmt.Fprintf(to, "  generator late at %d of %d ticks, worst p99 %.1f ms, max %.1f ms\n", s.Lateness.Late, s.Lateness.Ticks, s.Lateness.P99, s.Lateness.Max)
	for _, text := range s.Failed {
		fmt.Fprintf(to, "  FAILED %s\n", text)
	}
}

func printAggregators(to io.Writer, indent string, reports []AggregatorReport) {
	for _, a := range reports {
		fmt.Fprintf(to, "%s%s (%s)  %.1f%% of a core  %.1f MB  in %.0f B/s %.0f packets/s  out %.0f B/s %.0f packets/s  %d members, %d fresh, %d keys; dropped %d in its queue, %d in the kernel\n",
			indent, a.Name, a.Region, 100*a.CPUShare, a.MemoryMB, a.BytesIn, a.PacketsIn, a.BytesOut, a.PacketsOut, a.Members, a.Fresh, a.Keys, a.QueueFull, a.SocketDropped)
	}
}

func (f *FaultReport) print(to io.Writer) {
	fmt.Fprintf(to, "  fault %s, %.1f s\n", f.Kind, f.Seconds)
	fmt.Fprintf(to, "    change of a count meanwhile %v; %d members cut off\n", f.Change, f.CutOff)
	fmt.Fprintf(to, "    sums at its end: %.0f held, members say %.0f to %.0f, median %.0f; %d members restarted\n", f.Sum.True, f.Sum.Least, f.Sum.Most, f.Sum.Median, f.Restarts)
	fmt.Fprintf(to, "    sums right after its end: %v\n", f.Recovery)
	fmt.Fprintf(to, "    hollow member %.3f%% of a core, in %.0f B/s, out %.0f B/s\n", 100*f.Member.CPUShare, f.Member.BytesIn, f.Member.BytesOut)
	printAggregators(to, "    ", f.Aggregators)
}

func (s Spread) String() string {
	text := func(seconds float64) string {
		if seconds < 0 {
			return "never"
		}
		return fmt.Sprintf("%.1f s", seconds)
	}
	return fmt.Sprintf("known to half after %s, to 99 in 100 after %s, to all after %s (%d of %d)", text(s.Half), text(s.P99), text(s.All), s.Known, s.Members)
}
