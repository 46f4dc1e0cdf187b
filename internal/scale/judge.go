package scale

import "fmt"

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
		fail(e.CPUShare > 0 && u.CPUShare > e.CPUShare, "a real proxy takes %.2f%% of a core for its shared state, %.2f%% are allowed",
			100*u.CPUShare, 100*e.CPUShare)
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
