package scale

import (
	"fmt"
	"io"
)

// Print writes the report as text for operators.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "scale run %q: %s, commit %s, %d cores\n", r.Name, r.Mechanism, r.Commit, r.Cores)
	for _, s := range r.Steps {
		s.print(w)
	}
	for _, f := range r.Fits {
		fmt.Fprintf(w, "fit over %d to %d members: %s = %.4g + %.4g a member, r2 %.3f\n", f.From, f.To, f.Figure, f.Intercept, f.Slope, f.RSquared)
	}
	switch {
	case r.Interrupted:
		fmt.Fprintln(w, "INTERRUPTED: the steps that ran until then are above")
	case r.OK():
		fmt.Fprintln(w, "GOOD: all expectations were met")
	default:
		fmt.Fprintln(w, "FAILED: see above")
	}
}

// print writes one step.
func (s *StepReport) print(w io.Writer) {
	fmt.Fprintf(w, "%d hollow members (simulated: no clients, no servers), %d real proxies\n", s.Hollow, s.Real)
	if s.Interrupted != "" {
		fmt.Fprintf(w, "  interrupted while it %s\n", s.Interrupted)
	}
	m := &s.Member
	fmt.Fprintf(w, "  hollow member       %.3f%% of a core  %.2f MB  in %.0f B/s %.1f packets/s  out %.0f B/s %.1f packets/s  list %.0f B/s\n",
		100*m.CPUShare, m.MemoryBytes/(1<<20), m.BytesIn, m.PacketsIn, m.BytesOut, m.PacketsOut, m.ListBytesIn)
	fmt.Fprintf(w, "  stand-in discovery  %.1f%% of a core  %.1f MB  out %.0f B/s\n", 100*s.Discovery.CPUShare, s.Discovery.MemoryMB, s.Discovery.BytesOut)
	if u := s.RealProxy; u != nil {
		fmt.Fprintf(w, "  real proxy          %+.3f%% of a core  %+.1f MB by sharing (%d with it: %.2f%%, %.1f MB; %d without: %.2f%%, %.1f MB); %d sessions, %d rules broken\n",
			100*u.CPUShare, u.MemoryMB, u.With, 100*u.CPUWith, u.MemoryMBWith, u.Without, 100*u.CPUWithout, u.MemoryMBWithout, u.Sessions, u.RulesBroken)
	}
	fmt.Fprintf(w, "  sum over the fleet  %.0f held, members say %.0f to %.0f, median %.0f; age to %.1f s, heard from %.0f%%\n",
		s.Sum.True, s.Sum.Min, s.Sum.Max, s.Sum.Median, s.Sum.MaxAge, 100*s.Sum.MinHeard)
	fmt.Fprintf(w, "  sums right after the last start: %v\n", s.Filled)
	printAggregators(w, "  ", s.Aggregators)
	for i, c := range s.CountChanges {
		fmt.Fprintf(w, "  change %d of a count  %v\n", i+1, c)
	}
	for i, c := range s.RealChanges {
		fmt.Fprintf(w, "  change %d, real proxies %v\n", i+1, c)
	}
	for i, c := range s.ListChanges {
		fmt.Fprintf(w, "  change %d of the list %v\n", i+1, c)
	}
	for i := range s.Faults {
		s.Faults[i].print(w)
	}
	fmt.Fprintf(w, "  settings read in %.0f us a member; no mechanism delivers them to members\n", s.SettingsMicroseconds)
	fmt.Fprintf(w, "  generator late at %d of %d ticks, worst p99 %.1f ms, max %.1f ms\n", s.Lateness.Late, s.Lateness.Ticks, s.Lateness.P99, s.Lateness.Max)
	for _, text := range s.Failed {
		fmt.Fprintf(w, "  FAILED %s\n", text)
	}
}

// printAggregators writes one line for each aggregator.
func printAggregators(w io.Writer, indent string, reports []AggregatorReport) {
	for _, a := range reports {
		fmt.Fprintf(w, "%s%s (%s)  %.1f%% of a core  %.1f MB  in %.0f B/s %.0f packets/s  out %.0f B/s %.0f packets/s  %d members, %d fresh, %d keys; dropped %d in its queue, %d in the kernel\n",
			indent, a.Name, a.Region, 100*a.CPUShare, a.MemoryMB, a.BytesIn, a.PacketsIn, a.BytesOut, a.PacketsOut, a.Members, a.Fresh, a.Keys, a.QueueFull, a.SocketDropped)
	}
}

// print writes one fault.
func (f *FaultReport) print(w io.Writer) {
	fmt.Fprintf(w, "  fault %s, %.1f s\n", f.Kind, f.Seconds)
	fmt.Fprintf(w, "    change of a count meanwhile %v; %d members cut off\n", f.Change, f.CutOff)
	fmt.Fprintf(w, "    sums at its end: %.0f held, members say %.0f to %.0f, median %.0f; %d members restarted\n", f.Sum.True, f.Sum.Min, f.Sum.Max, f.Sum.Median, f.Restarts)
	fmt.Fprintf(w, "    sums right after its end: %v\n", f.Recovery)
	fmt.Fprintf(w, "    hollow member %.3f%% of a core, in %.0f B/s, out %.0f B/s\n", 100*f.Member.CPUShare, f.Member.BytesIn, f.Member.BytesOut)
	printAggregators(w, "    ", f.Aggregators)
}

// String returns the times as text for operators.
func (s PropagationTimes) String() string {
	text := func(seconds float64) string {
		if seconds < 0 {
			return "never"
		}
		return fmt.Sprintf("%.1f s", seconds)
	}
	return fmt.Sprintf("known to half after %s, to 99 in 100 after %s, to all after %s (%d of %d)", text(s.P50), text(s.P99), text(s.All), s.Known, s.Members)
}
