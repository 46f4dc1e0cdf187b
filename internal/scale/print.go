package scale

import (
	"fmt"
	"io"
)

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
