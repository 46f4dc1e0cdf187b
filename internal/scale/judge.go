package scale

import "fmt"

// checkExpectations adds to Failed each way in which the step is incomplete or exceeds a bound of the plan.
func (s *StepReport) checkExpectations(p *Plan) {
	fail := func(failed bool, format string, args ...any) {
		if failed {
			s.Failed = append(s.Failed, fmt.Sprintf(format, args...))
		}
	}
	expect := &p.Expect
	fail(s.Void, "void: the generator was late at %d of %d ticks", s.Lateness.Late, s.Lateness.Ticks)
	fail(s.started != s.Hollow, "%d of %d hollow members run", s.started, s.Hollow)
	fail(s.watching != s.Hollow, "%d of %d hollow members watch the list", s.watching, s.Hollow)
	fail(s.silent > 0, "%d hollow members have sent nothing", s.silent)
	s.checkFaultResults(expect, fail)
	m := &s.Member
	fail(expect.CPUShare > 0 && m.CPUShare > expect.CPUShare, "a hollow member takes %.2f%% of a core, %.2f%% are allowed", 100*m.CPUShare, 100*expect.CPUShare)
	fail(expect.MemoryMB > 0 && m.MemoryBytes > expect.MemoryMB*(1<<20), "a hollow member takes %.1f MB, %.1f are allowed", m.MemoryBytes/(1<<20), expect.MemoryMB)
	bytes := m.BytesIn + m.BytesOut + m.ListBytesIn
	fail(expect.BytesPerSecond > 0 && bytes > expect.BytesPerSecond, "a hollow member has %.0f bytes a second, %.0f are allowed", bytes, expect.BytesPerSecond)
	if u := s.RealProxy; u != nil {
		fail(expect.CPUShare > 0 && u.CPUShare > expect.CPUShare, "a real proxy takes %.2f%% of a core for its shared state, %.2f%% are allowed",
			100*u.CPUShare, 100*expect.CPUShare)
		fail(u.RulesBroken > 0, "the real proxies broke %d rules", u.RulesBroken)
		fail(expect.MemoryMB > 0 && u.MemoryMB > expect.MemoryMB, "a real proxy takes %.1f MB for its shared state, %.1f are allowed", u.MemoryMB, expect.MemoryMB)
	}
	fail(expect.SumError > 0 && (s.Sum.Min < s.Sum.True*(1-expect.SumError) || s.Sum.Max > s.Sum.True*(1+expect.SumError)),
		"members' sums are %.0f to %.0f where %.0f is held", s.Sum.Min, s.Sum.Max, s.Sum.True)
	for _, kind := range []struct {
		name    string
		results []PropagationTimes
	}{{"count", s.CountChanges}, {"count at real proxies", s.RealChanges}, {"list", s.ListChanges}} {
		for i, times := range kind.results {
			fail(times.Known < times.Members, "change %d of the %s: known to %d of %d members", i+1, kind.name, times.Known, times.Members)
			fail(expect.Known99 > 0 && (times.P99 < 0 || times.P99 > expect.Known99.D().Seconds()),
				"change %d of the %s: known to 99 in 100 after %.1f s, %v is allowed", i+1, kind.name, times.P99, expect.Known99)
		}
	}
}

// checkFaultResults checks how far a change was known while each fault lasted, and whether all sums were right after its end.
func (s *StepReport) checkFaultResults(expect *Expect, fail func(failed bool, format string, args ...any)) {
	for _, f := range s.Faults {
		bound := expect.Known99.D().Seconds()
		fail(bound > 0 && (f.Change.P99 < 0 || f.Change.P99 > bound), "%s: a change of a count known to 99 in 100 after %.1f s, %.1f are allowed",
			f.Kind, f.Change.P99, bound)
		fail(f.Recovery.Known < f.Recovery.Members, "%s: the sums of %d of %d members are right after its end", f.Kind, f.Recovery.Known, f.Recovery.Members)
		bytes := f.Member.BytesIn + f.Member.BytesOut
		fail(expect.BytesPerSecond > 0 && bytes > expect.BytesPerSecond, "%s: a hollow member has %.0f bytes a second, %.0f are allowed", f.Kind, bytes, expect.BytesPerSecond)
	}
}
