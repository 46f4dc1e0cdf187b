package sharing

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/fleet"
)

const (
	countsTold  = 24 // of one report
	fanOut      = 4  // members that are told at a time
	passedOn    = 8  // reports of others, in a word
	waitingMost = 64 // words heard and not taken yet; more are passed over
)

// Sharing is one proxy's end. One goroutine has its state; all others reach it by channels.
type Sharing struct {
	terms  *Terms
	log    zerolog.Logger
	conn   *net.UDPConn
	door   net.Listener // of the status, nil for none
	facts  chan []Fact
	heard  chan []byte
	asks   chan chan FlatStatus
	ends   chan struct{}
	counts *fleet.Counts
	names  map[fleet.CountKey]string
	next   int // member that is told next
	pass   int // member whose report is passed on next
	from   []int
	words  map[string]int
	warned map[string]time.Duration

	crowded atomic.Int64 // words passed over as too many came at once
}

// Start opens the socket, and the status where the file names an address, and begins to tell and hear. Errors are
// those of the two addresses.
func Start(t *Terms, log zerolog.Logger) (*Sharing, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.members[t.me]))
	if err != nil {
		return nil, err
	}
	s := &Sharing{terms: t, log: log, conn: conn, facts: make(chan []Fact, 1), heard: make(chan []byte, waitingMost),
		asks: make(chan chan FlatStatus), ends: make(chan struct{}), names: map[fleet.CountKey]string{},
		from: make([]int, len(t.members)), words: map[string]int{}, warned: map[string]time.Duration{}}
	// A later start has a later time of day; one that does not, as a clock was set back, is not heard until it has.
	s.counts, err = fleet.NewCounts(boot(), t.me, len(t.members), fleet.Incarnation(time.Now().UnixNano()), t.lately, t.fade, t.keys)
	if err == nil && t.status.IsValid() {
		s.door, err = net.Listen("tcp4", t.status.String())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	go s.read()
	go s.run()
	if s.door != nil {
		go http.Serve(s.door, http.HandlerFunc(s.answer)) // ends with the door
	}
	log.Info().Int("me", int(t.me)).Int("members", len(t.members)).Str("status", t.Status()).Msg("sharing with the fleet is on")
	return s, nil
}

// Tell takes what this proxy holds now. It never waits: facts that come before the last were taken are passed over,
// as the next come soon.
func (s *Sharing) Tell(facts []Fact) {
	select {
	case s.facts <- facts:
	default:
	}
}

// Close ends it.
func (s *Sharing) Close() {
	close(s.ends)
	s.conn.Close()
	if s.door != nil {
		s.door.Close()
	}
}

func (s *Sharing) read() {
	for {
		text := make([]byte, mostBytes+1)
		n, _, err := s.conn.ReadFromUDPAddrPort(text)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of a peer that is not there: its next word says more
		}
		select {
		case s.heard <- text[:n]:
		default: // a flood costs what waits and no more
			s.crowded.Add(1)
		}
	}
}

func (s *Sharing) run() {
	ticker := time.NewTicker(s.terms.every)
	defer ticker.Stop()
	for {
		select {
		case <-s.ends:
			return
		case facts := <-s.facts:
			s.take(facts)
		case text := <-s.heard:
			s.hear(boot(), text)
		case <-ticker.C:
			s.tell(boot())
		case ask := <-s.asks:
			ask <- s.status(boot())
		}
	}
}

// key of a name is the same at all proxies.
func flatKey(kind fleet.CountKind, name string) fleet.CountKey {
	h := fnv.New64a()
	h.Write([]byte(name))
	return fleet.CountKey{Kind: kind, ID: h.Sum64()}
}

func (s *Sharing) take(facts []Fact) {
	held := map[fleet.CountKey]bool{}
	for _, f := range facts {
		k := flatKey(fleet.CountKind(f.Kind), f.Name)
		held[k], s.names[k] = true, f.Name
		s.counts.Set(k, f.Held)
	}
	for k := range s.names { // what is held no more; the order does not matter
		if !held[k] {
			s.counts.Set(k, 0)
			if len(s.names) > s.terms.keys {
				delete(s.names, k) // the status tells its number then
			}
		}
	}
}

func (s *Sharing) hear(now time.Duration, text []byte) {
	w, err := flatRead(text, s.terms.me, len(s.terms.members))
	if err != nil {
		s.passOver(now, err)
		return
	}
	s.words["heard"]++
	for _, r := range w.Reports {
		s.counts.Hear(now, r)
	}
}

// passOver counts a word that is not taken, and logs one of a kind in the span in which a member is forgotten.
func (s *Sharing) passOver(now time.Duration, err error) {
	reason := err
	for _, known := range []error{errLong, errUnread, errVersion, errStranger} {
		if errors.Is(err, known) {
			reason = known
		}
	}
	s.words[reason.Error()]++
	if last, warned := s.warned[reason.Error()]; !warned || now-last > s.terms.lately+s.terms.fade {
		s.warned[reason.Error()] = now
		s.log.Warn().Err(err).Str("reason", reason.Error()).Msg("a word from the fleet is passed over")
	}
}

// tell sends what this proxy holds to the next few members, with what is known of others: so those hear it too who
// don't hear its first teller.
func (s *Sharing) tell(now time.Duration) {
	reports := []fleet.Report{s.counts.Tell(countsTold)}
	for range min(passedOn, len(s.terms.members)-1) {
		s.pass = (s.pass + 1) % len(s.terms.members)
		r, ok := s.counts.PassOn(now, fleet.MemberID(s.pass), s.from[s.pass], countsTold)
		if ok {
			if s.from[s.pass] += countsTold; len(r.Counts) < countsTold {
				s.from[s.pass] = 0
			}
			reports = append(reports, r)
		}
	}
	text, _, err := fill(s.terms.me, reports)
	if err != nil || text == nil {
		s.passOver(now, errors.Join(errUnread, err))
		return
	}
	for range min(fanOut, len(s.terms.members)-1) {
		if s.next = (s.next + 1) % len(s.terms.members); s.next == int(s.terms.me) {
			s.next = (s.next + 1) % len(s.terms.members)
		}
		if _, err := s.conn.WriteToUDPAddrPort(text, s.terms.members[s.next]); err != nil {
			s.words["not sent"]++
			continue
		}
		s.words["sent"]++
	}
}

// FlatStatus is what a proxy believes of its fleet.
type FlatStatus struct {
	Me      fleet.MemberID `json:"me"`
	Members []FlatMember   `json:"members"`
	Counts  []CountStatus  `json:"counts"`
	Words   map[string]int `json:"words"`
}

// FlatMember is one member as it was heard of last.
type FlatMember struct {
	Member  fleet.MemberID    `json:"member"`
	Address netip.AddrPort    `json:"address"`
	Known   bool              `json:"known"`
	Process fleet.Incarnation `json:"process,omitempty"`
	AgeMS   int64             `json:"age_ms,omitempty"`
}

// CountStatus is a count over the fleet.
type CountStatus struct {
	Kind  string  `json:"kind"`
	Name  string  `json:"name"` // a number where no session of this proxy has told the name
	Held  float64 `json:"held"`
	AgeMS int64   `json:"age_ms"`
	Heard float64 `json:"heard"`
}

var flatKinds = map[fleet.CountKind]string{fleet.ByServer: "server", fleet.ByTenant: "tenant", fleet.ByListener: "listener"}

func (s *Sharing) status(now time.Duration) FlatStatus {
	st := FlatStatus{Me: s.terms.me, Words: map[string]int{}}
	for reason, n := range s.words {
		st.Words[reason] = n
	}
	if n := s.crowded.Load(); n > 0 {
		st.Words["too many at once"] = int(n)
	}
	for i, at := range s.terms.members {
		process, age, known := s.counts.Member(now, fleet.MemberID(i))
		st.Members = append(st.Members, FlatMember{fleet.MemberID(i), at, known, process, age.Milliseconds()})
	}
	for _, k := range s.counts.Keys() {
		f := s.counts.Of(now, k)
		name, known := s.names[k]
		if !known {
			name = k.String()
		}
		st.Counts = append(st.Counts, CountStatus{flatKinds[k.Kind], name, f.Value, f.Age.Milliseconds(), f.Heard})
	}
	return st
}

func (s *Sharing) answer(w http.ResponseWriter, r *http.Request) {
	ask := make(chan FlatStatus, 1)
	select {
	case s.asks <- ask:
	case <-s.ends:
		return
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(<-ask) // a client that has gone needs none
}
