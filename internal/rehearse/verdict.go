package rehearse

import (
	"fmt"
	"maps"
	"slices"
)

// evaluate sets the reasons for which the run failed. Only rules and counts matter, not latencies.
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
		r.fail("%d of %d bad clients got neither an error nor a close, the first: %v", r.BadClients.Unanswered, r.BadClients.Sent,
			r.BadClients.UnansweredClients[0])
	}
	share := s.Expect.MinAccepted
	if !r.Interrupted && float64(r.Clients.Served) < share*float64(r.Sessions) {
		r.fail("%d of %d sessions were accepted, want a share of %g or more", r.Clients.Served, r.Sessions, share)
	}
	if s.Expect.NoCutOff && r.Clients.CutOff > 0 {
		r.fail("%d open sessions were cut off", r.Clients.CutOff)
	}
}

// evaluateRehearsal checks for failures of the rehearsal itself, which make its result invalid.
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

// fail adds a reason for which the run failed.
func (r *Report) fail(format string, args ...any) {
	r.Failed = append(r.Failed, fmt.Sprintf(format, args...))
}

// OK reports whether the run passed and the load generator kept its schedule.
func (r *Report) OK() bool { return len(r.Failed) == 0 && !r.Late }
