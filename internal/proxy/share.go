package proxy

import (
	"chalkferry/choice"
	"chalkferry/internal/line"
	"chalkferry/internal/sharing"
)

// Share has the number of open sessions by server, listener and tenant published once per reportInterval. It must be called
// before Run. publish runs on the event loop and must not block. Without Share nothing is counted.
func (p *Proxy) Share(publish func([]sharing.SessionCount)) { p.publishFacts = publish }

// startTally starts the periodic publication of the tally of open sessions.
func (p *Proxy) startTally() { p.publishTally(sharing.NewTally()) }

// publishTally counts the open sessions, publishes the result and schedules itself again after reportInterval.
func (p *Proxy) publishTally(tally *sharing.Tally) {
	tally.Begin()
	p.table.ForEachOpen(func(server choice.ServerID, session *line.Open) { tally.Add(server, session) })
	p.publishFacts(tally.Finish(p.serverName))
	p.timers.After(reportInterval, func() { p.publishTally(tally) })
}

// serverName returns the name under which a server is listed.
func (p *Proxy) serverName(id choice.ServerID) (name string, known bool) {
	server := p.directory.servers[id]
	if server == nil {
		return "", false
	}
	return server.name, true
}
