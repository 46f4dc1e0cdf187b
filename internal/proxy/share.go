package proxy

import (
	"chalkferry/choice"
	"chalkferry/internal/fleet"
	"chalkferry/internal/line"
	"chalkferry/internal/sharing"
)

// Share has what this proxy holds told to the fleet, once in a note's span. It is to be called before Run; tell must
// not wait for anything. Without it nothing is counted.
func (p *Proxy) Share(tell func([]sharing.Fact)) { p.share = tell }

// tellFleet adds up what is held by server, listener and tenant.
func (p *Proxy) tellFleet() {
	type name struct {
		kind fleet.CountKind
		name string
	}
	held := map[name]uint32{}
	p.table.EachOpen(func(at choice.ServerID, of *line.Open) { // by the names that they came under
		if place := p.directory.servers[at]; place != nil {
			held[name{fleet.ByServer, place.name}]++
		}
		held[name{fleet.ByListener, string(of.Listener)}]++
		if of.Tenant != nil {
			held[name{fleet.ByTenant, string(of.Tenant)}]++
		}
	})
	facts := make([]sharing.Fact, 0, len(held))
	for n, sessions := range held { // each stands for itself, in any order
		facts = append(facts, sharing.Fact{Kind: n.kind, Name: n.name, Held: sessions})
	}
	p.share(facts)
	p.timers.After(noteSpan, p.tellFleet)
}
