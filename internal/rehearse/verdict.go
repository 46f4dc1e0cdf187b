package rehearse

import (
	"fmt"
	"maps"
	"slices"
)

// evaluate gives the verdict: by rules and counts alone, not by latencies.
func (r *Report) evaluate(s *Scenario) {
	r.Failed = []string{}
	for _, rule := range slices.Sorted(maps.Keys(r.RuleCounts)) {
		r.fail("rule broken, %s: %d times", rule, r.RuleCounts[rule])
	}
	r.evaluateProxies()
	r.evaluateClients(s)
	r.evaluateRehearsal()
}

func (r *Report) evaluateProxies() {
	for _, p := range r.Proxies {
		for _, reason := range p.Crashes {
			r.fail("proxy %s crashed: %s", p.Name, reason)
		}
		if p.Descriptors > p.Sockets {
			r.fail("proxy %s held %d descriptors of %d", p.Name, p.Descriptors, p.Sockets)
		}
	}
}

func (r *Report) evaluateClients(s *Scenario) {
	if r.BadClients.Unanswered > 0 {
		r.fail("%d of %d bad clients got neither an error nor a close", r.BadClients.Unanswered, r.BadClients.Sent)
	}
	share := s.Expect.MinAccepted
	if !r.Interrupted && float64(r.Clients.Served) < share*float64(r.Sessions) {
		r.fail("%d of %d sessions were accepted, at least a share of %g was wanted", r.Clients.Served, r.Sessions, share)
	}
	if s.Expect.NoCutOff && r.Clients.CutOff > 0 {
		r.fail("%d open sessions were cut off", r.Clients.CutOff)
	}
}

// evaluateRehearsal looks for faults of the rehearsal's own, with which its result is worth nothing.
func (r *Report) evaluateRehearsal() {
	if r.DescriptorShortages.Generator > 0 {
		r.fail("the generator ran out of descriptors or ports %d times", r.DescriptorShortages.Generator)
	}
	if r.DescriptorShortages.Nodes > 0 {
		r.fail("the stand-ins ran out of descriptors %d times", r.DescriptorShortages.Nodes)
	}
	for _, text := range r.RunErrors {
		r.fail("%s", text)
	}
}

func (r *Report) fail(format string, args ...any) {
	r.Failed = append(r.Failed, fmt.Sprintf(format, args...))
}

// OK reports whether the proxies did what they had to, and the generator was in time.
func (r *Report) OK() bool { return len(r.Failed) == 0 && !r.Late }
