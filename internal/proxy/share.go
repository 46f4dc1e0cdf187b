package proxy

import (
	"chalkferry/choice"
	"chalkferry/internal/fleet"
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
	tenants := map[choice.TenantID]string{}
	for text, id := range p.terms.tenantIDs {
		tenants[id] = text
	}
	p.table.EachOpen(func(at choice.ServerID, of choice.Arrival) {
		if place := p.directory.servers[at]; place != nil {
			held[name{fleet.ByServer, place.name}]++
		}
		if int(of.Listener) < len(p.terms.listeners) {
			held[name{fleet.ByListener, p.terms.listeners[of.Listener].Name}]++
		}
		if text, known := tenants[of.Tenant]; known {
			held[name{fleet.ByTenant, text}]++
		}
	})
	facts := make([]sharing.Fact, 0, len(held))
	for n, sessions := range held { // each stands for itself, in any order
		facts = append(facts, sharing.Fact{Kind: n.kind, Name: n.name, Held: sessions})
	}
	p.share(facts)
	p.timers.After(noteSpan, p.tellFleet)
}
