package sharing

import (
	"chalkferry/choice"
	"chalkferry/internal/aggregation"
	"chalkferry/internal/line"
)

// Tally counts open sessions by server, listener and tenant. The caller walks over all open sessions repeatedly. The
// counts are kept between walks, so that a session that was in the walk before, at the same position, costs one
// comparison.
//
//	tally.Begin()
//	for each open session { tally.Add(server, opening) }
//	counts := tally.Finish(nameOf)
//
// Walks in the same order are cheapest: a session at another position than before is removed and counted again.
type Tally struct {
	sessions  []countedSession // in the order of the latest walk
	walkIndex int              // number of sessions added in the current walk
	servers   map[choice.ServerID]*sessionCounter
	listeners map[string]*sessionCounter
	tenants   map[string]*sessionCounter
}

// countedSession is one session as it was counted. Sessions are compared by the pointer opening. It also keeps the
// session from being garbage collected until the next walk, so that no other session can have the same address.
type countedSession struct {
	opening          *line.Open
	serverID         choice.ServerID
	server           *sessionCounter
	listener, tenant *sessionCounter // tenant is nil for a session without a tenant
}

// sessionCounter is the number of sessions of a server, listener or tenant. All of these sessions point to it.
type sessionCounter struct {
	open uint32
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{servers: map[choice.ServerID]*sessionCounter{}, listeners: map[string]*sessionCounter{},
		tenants: map[string]*sessionCounter{}}
}

// Begin starts a walk over all open sessions.
func (t *Tally) Begin() { t.walkIndex = 0 }

// Add counts the next session of the walk. opening identifies the session: it is the same pointer in each walk.
func (t *Tally) Add(server choice.ServerID, opening *line.Open) {
	if t.walkIndex == len(t.sessions) {
		t.sessions = append(t.sessions, t.count(server, opening))
	} else if known := &t.sessions[t.walkIndex]; known.opening != opening || known.serverID != server {
		removed := *known
		*known = t.count(server, opening)
		removed.uncount()
	}
	t.walkIndex++
}

// Finish ends the walk and returns the counts that are above 0. Sessions at a server that nameOf does not know count for
// their listener and tenant only.
func (t *Tally) Finish(nameOf func(choice.ServerID) (name string, known bool)) []SessionCount {
	for i := t.walkIndex; i < len(t.sessions); i++ {
		t.sessions[i].uncount()
	}
	clear(t.sessions[t.walkIndex:])
	t.sessions = t.sessions[:t.walkIndex]

	counts := make([]SessionCount, 0, len(t.servers)+len(t.listeners)+len(t.tenants))
	for server, counter := range t.servers { // the order does not matter
		if counter.open == 0 {
			delete(t.servers, server)
			continue
		}
		if name, known := nameOf(server); known {
			counts = append(counts, SessionCount{Kind: aggregation.ByServer, Name: name, Sessions: counter.open})
		}
	}
	counts = appendCounts(counts, aggregation.ByListener, t.listeners)
	return appendCounts(counts, aggregation.ByTenant, t.tenants)
}

// appendCounts appends the counts by name and removes the counters that are 0.
func appendCounts(counts []SessionCount, kind aggregation.Kind, counters map[string]*sessionCounter) []SessionCount {
	for name, counter := range counters { // the order does not matter
		if counter.open == 0 {
			delete(counters, name)
			continue
		}
		counts = append(counts, SessionCount{Kind: kind, Name: name, Sessions: counter.open})
	}
	return counts
}

// count adds a session to the counters of its server, listener and tenant.
func (t *Tally) count(serverID choice.ServerID, opening *line.Open) countedSession {
	server := t.servers[serverID]
	if server == nil {
		server = &sessionCounter{}
		t.servers[serverID] = server
	}
	session := countedSession{opening: opening, serverID: serverID, server: server,
		listener: counterOf(t.listeners, opening.Listener)}
	server.open++
	session.listener.open++
	if opening.Tenant != nil {
		session.tenant = counterOf(t.tenants, opening.Tenant)
		session.tenant.open++
	}
	return session
}

// counterOf returns the counter of a name, which it adds if there is none.
func counterOf(counters map[string]*sessionCounter, name []byte) *sessionCounter {
	if counter := counters[string(name)]; counter != nil { // a lookup by string(name) does not copy the name
		return counter
	}
	counter := &sessionCounter{}
	counters[string(name)] = counter
	return counter
}

// uncount removes a session from its counters.
func (s *countedSession) uncount() {
	s.server.open--
	s.listener.open--
	if s.tenant != nil {
		s.tenant.open--
	}
}
