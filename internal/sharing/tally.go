package sharing

import (
	"chalkferry/choice"
	"chalkferry/internal/aggregation"
	"chalkferry/internal/line"
)

// Tally counts open sessions by server, listener and tenant. It is walked over all of them time and again and keeps its
// counts between walks, so that a session that was there before costs one comparison.
//
//	tally.Begin()
//	for each open session { tally.Session(server, opening) }
//	facts := tally.Facts(nameOf)
//
// Walks in the same order are cheapest: a session that stands at another place than before is counted anew.
type Tally struct {
	sessions  []tallied // in the order of the latest walk
	walked    int
	servers   map[choice.ServerID]*heldCount
	listeners map[string]*heldCount
	tenants   map[string]*heldCount
}

// tallied is one session as it was counted. The pointer keeps it from being collected until the next walk, so that no
// other session can have its address.
type tallied struct {
	opening          *line.Open
	at               choice.ServerID
	server           *heldCount
	listener, tenant *heldCount // tenant is nil for a session without
}

// heldCount is a count that several sessions point to.
type heldCount struct {
	held uint32
}

// NewTally returns one that has counted nothing.
func NewTally() *Tally {
	return &Tally{servers: map[choice.ServerID]*heldCount{}, listeners: map[string]*heldCount{},
		tenants: map[string]*heldCount{}}
}

// Begin begins a walk.
func (t *Tally) Begin() { t.walked = 0 }

// Session takes the next session of the walk.
func (t *Tally) Session(at choice.ServerID, opening *line.Open) {
	if t.walked == len(t.sessions) {
		t.sessions = append(t.sessions, t.added(at, opening))
	} else if known := &t.sessions[t.walked]; known.opening != opening || known.at != at {
		removed := *known
		*known = t.added(at, opening)
		removed.uncount()
	}
	t.walked++
}

// Facts ends the walk and returns what is held now. Sessions at a server that nameOf does not know count for their
// listener and tenant only.
func (t *Tally) Facts(nameOf func(choice.ServerID) (name string, known bool)) []Fact {
	for i := t.walked; i < len(t.sessions); i++ {
		t.sessions[i].uncount()
	}
	clear(t.sessions[t.walked:])
	t.sessions = t.sessions[:t.walked]

	facts := make([]Fact, 0, len(t.servers)+len(t.listeners)+len(t.tenants))
	for at, count := range t.servers { // each stands for itself, in any order
		if count.held == 0 {
			delete(t.servers, at)
			continue
		}
		if name, known := nameOf(at); known {
			facts = append(facts, Fact{Kind: aggregation.ByServer, Name: name, Held: count.held})
		}
	}
	facts = appendNamed(facts, aggregation.ByListener, t.listeners)
	return appendNamed(facts, aggregation.ByTenant, t.tenants)
}

func appendNamed(facts []Fact, kind aggregation.Kind, counts map[string]*heldCount) []Fact {
	for name, count := range counts { // in any order
		if count.held == 0 {
			delete(counts, name)
			continue
		}
		facts = append(facts, Fact{Kind: kind, Name: name, Held: count.held})
	}
	return facts
}

// added counts a session.
func (t *Tally) added(at choice.ServerID, opening *line.Open) tallied {
	server := t.servers[at]
	if server == nil {
		server = &heldCount{}
		t.servers[at] = server
	}
	session := tallied{opening: opening, at: at, server: server, listener: countOf(t.listeners, opening.Listener)}
	server.held++
	session.listener.held++
	if opening.Tenant != nil {
		session.tenant = countOf(t.tenants, opening.Tenant)
		session.tenant.held++
	}
	return session
}

func countOf(counts map[string]*heldCount, name []byte) *heldCount {
	if count := counts[string(name)]; count != nil { // without a copy of the name
		return count
	}
	count := &heldCount{}
	counts[string(name)] = count
	return count
}

func (s *tallied) uncount() {
	s.server.held--
	s.listener.held--
	if s.tenant != nil {
		s.tenant.held--
	}
}
