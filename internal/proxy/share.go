package proxy

import (
	"chalkferry/choice"
	"chalkferry/internal/line"
	"chalkferry/internal/sharing"
)

// Share has what this proxy holds published to the fleet, once in a note's span. It is to be called before Run;
// publish must not wait for anything. Without it nothing is counted.
func (p *Proxy) Share(publish func([]sharing.SessionCount)) { p.share = publish }

// shareHeld begins to publish what is held by server, listener and tenant.
func (p *Proxy) shareHeld() { p.publishHeld(sharing.NewTally()) }

// publishHeld walks over the open sessions, on the event loop, and comes again after a note's span.
func (p *Proxy) publishHeld(tally *sharing.Tally) {
	tally.Begin()
	p.table.EachOpen(func(at choice.ServerID, of *line.Open) { tally.Add(at, of) })
	p.share(tally.Finish(p.serverName))
	p.timers.After(noteSpan, func() { p.publishHeld(tally) })
}

// serverName is the name that a server came under.
func (p *Proxy) serverName(at choice.ServerID) (name string, known bool) {
	place := p.directory.servers[at]
	if place == nil {
		return "", false
	}
	return place.name, true
}
