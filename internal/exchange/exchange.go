// Package exchange is where the client side and the server side of a session meet: it turns what either reads
// into calls on the module, and the module's answers into lines.
package exchange

import (
	"fmt"
	"slices"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
)

// Client is the side that the session came from.
type Client interface {
	Write(lines []byte)
	// Up tells that lines may pass from now on.
	Up()
	// Answer sends a last line and ends the connection in good order.
	Answer(last []byte, reason string)
	End(how socket.End, reason string)
	// Waits tells whether the client still waits for its answer. One that has left, or speaks out of turn, is ended
	// by it, though the event loop has not read that yet.
	Waits() bool
	// Gone tells the contrary of Waits, and changes nothing.
	Gone() bool
}

// Server is the side of one dial.
type Server interface {
	Write(lines []byte)
	End(how socket.End, reason string)
}

// Dialer starts dials.
type Dialer interface {
	// Dial connects to the server, sends it the session's first line and ends after the limit if nothing comes
	// back. It returns nil where there is no room for a connection.
	Dial(at choice.ServerID, limit time.Duration, ex *Exchange) Server
}

type state int

const (
	placing  state = iota // with the module; no dial is out
	resuming              // at the server that holds it from before; the module is told when it stands
	dialing
	open
	ended
)

var mayEnter = [...][]state{
	placing:  {dialing, ended},
	resuming: {open, ended},
	dialing:  {placing, open, ended},
	open:     {ended},
	ended:    {},
}

// Exchange is one session.
type Exchange struct {
	table    *Table
	arrival  choice.Arrival
	opening  line.Open
	text     []byte        // of the OPEN line
	until    time.Duration // its client waits for an answer
	state    state
	client   Client
	server   Server
	at       choice.ServerID
	dials    int
	dialedAt time.Duration
	asks     int           // client's lines that nothing has come back for
	askedAt  time.Duration // the first of them
	levels   levels        // that the server has reported on this connection
	slot     int           // among the open ones
	askSlot  int           // among those that nothing has come back for
}

// Table has all sessions of a proxy.
type Table struct {
	balancer *choice.Balancer
	dialer   Dialer
	now      func() time.Duration
	later    func(func())
	after    func(time.Duration, func())
	retry    time.Duration // between tries of a session that is resumed
	delays   *Delays
	stillFor time.Duration                     // after which a server that says nothing to anyone is left
	heard    map[choice.ServerID]time.Duration // when it last answered anyone
	sessions map[choice.SessionID]*Exchange
	open     []*Exchange
	asking   []*Exchange             // the open ones with a line out: few, however many are open
	held     map[choice.ServerID]int // open ones
	silences silences
	suspect  map[choice.ServerID]time.Duration // when it was last silent to one session or dial
	next     choice.SessionID
}

// NewTable makes the table; Serve must be called before anything else.
func NewTable(dialer Dialer, now func() time.Duration, later func(func()), after func(time.Duration, func()),
	retry, stillFor time.Duration, delays *Delays) *Table {
	return &Table{dialer: dialer, now: now, later: later, after: after, retry: retry, stillFor: stillFor,
		held: map[choice.ServerID]int{}, heard: map[choice.ServerID]time.Duration{}, suspect: map[choice.ServerID]time.Duration{},
		silences: silences{servers: map[choice.ServerID]silentServer{}}, delays: delays, sessions: map[choice.SessionID]*Exchange{}}
}

// Serve names the module that decides.
func (t *Table) Serve(b *choice.Balancer) { t.balancer, t.delays.balancer = b, b }

// Change takes what other settings say; each session keeps what it came under.
func (t *Table) Change(retry, stillFor, mark time.Duration, tellsLoad, tellsDelay bool) {
	t.retry, t.stillFor = retry, stillFor
	t.delays.change(mark, tellsLoad, tellsDelay)
}

// Forget drops what is known of a server that has left the list, unless sessions are there.
func (t *Table) Forget(at choice.ServerID) {
	if t.held[at] == 0 {
		delete(t.heard, at)
		delete(t.suspect, at)
		delete(t.delays.servers, at)
		delete(t.delays.beats, at)
	}
}

// GiveUp answers all sessions that wait, as the process is about to end. One that no dial went out for is refused; of
// others it is not told whether they have run.
func (t *Table) GiveUp() {
	for _, ex := range t.sessions { // each stands for itself, in any order
		if ex.state == open {
			continue
		}
		last := ex.FailureLine()
		ex.ClientEnded(socket.Reset)
		ex.client.Answer(last, "proxy-leaves")
	}
}

// FailureLine is the last line of a session that is given up before it is open: BUSY where no dial went out, so that trying
// again is harmless, and ERR where one may have run.
func (ex *Exchange) FailureLine() []byte {
	if ex.dials > 0 || ex.state == resuming {
		return []byte("ERR\r\n")
	}
	return line.FormatBusy(0)
}

// Len is the number of sessions.
func (t *Table) Len() int { return len(t.sessions) }

// enter is the one place where a session changes its state.
func (ex *Exchange) enter(next state) {
	if !slices.Contains(mayEnter[ex.state], next) {
		panic(fmt.Sprintf("session %d goes from state %d to %d", ex.arrival.ID, ex.state, next))
	}
	t := ex.table
	if ex.state == open {
		ex.asked(0)
		last := len(t.open) - 1
		t.open[ex.slot] = t.open[last]
		t.open[ex.slot].slot = ex.slot
		t.open[last] = nil
		t.open = t.open[:last]
		if t.held[ex.at]--; t.held[ex.at] == 0 {
			delete(t.held, ex.at)
		}
	}
	ex.state = next
	switch next {
	case open:
		ex.slot = len(t.open)
		t.open = append(t.open, ex)
		t.held[ex.at]++
	case ended:
		delete(t.sessions, ex.arrival.ID)
	}
}

// asked is the one place where the number of lines changes that nothing has come back for.
func (ex *Exchange) asked(n int) {
	t := ex.table
	switch {
	case ex.asks == 0 && n > 0:
		ex.askSlot = len(t.asking)
		t.asking = append(t.asking, ex)
	case ex.asks > 0 && n == 0:
		last := len(t.asking) - 1
		t.asking[ex.askSlot] = t.asking[last]
		t.asking[ex.askSlot].askSlot = ex.askSlot
		t.asking[last] = nil
		t.asking = t.asking[:last]
	}
	ex.asks = n
}

// Begin takes a session. The text outlives the buffer that it was read into, so it is copied.
func (t *Table) Begin(client Client, a choice.Arrival, text []byte, holder choice.ServerID) *Exchange {
	t.next++
	a.ID = t.next
	ex := &Exchange{table: t, arrival: a, text: slices.Clone(text), client: client, until: t.now() + a.TimeLeft}
	ex.opening, _ = line.ParseOpen(ex.text)
	t.sessions[a.ID] = ex
	if holder != 0 { // the module is told later, perhaps by other settings
		ex.arrival.Settings = t.balancer.SessionSettings(a.Listener)
		ex.state, ex.at = resuming, holder
		ex.resume()
		return ex
	}
	if err := t.balancer.PlaceSession(t.now(), a); err != nil { // only a fault of this program's own
		ex.enter(ended)
		client.Answer([]byte("ERR\r\n"), "module")
	}
	return ex
}

// resume sends a session back to its holder.
func (ex *Exchange) resume() {
	left := ex.until - ex.table.now()
	if ex.state != resuming {
		return
	}
	if left <= 0 {
		ex.enter(ended)
		ex.client.Answer([]byte("ERR\r\n"), "not-resumed")
		return
	}
	if ex.connect(ex.at, left); ex.server == nil {
		ex.resumeLater()
	}
}

func (ex *Exchange) resumeLater() {
	if left := ex.until - ex.table.now(); left > 0 {
		ex.table.after(min(ex.table.retry, left), ex.resume)
	} else {
		ex.resume()
	}
}

// connect begins an attempt, but for a client that has left, as its machine knows it: the event loop may have stood
// still. The session of such a client is ended once the event at hand is through.
func (ex *Exchange) connect(to choice.ServerID, limit time.Duration) {
	if ex.client.Gone() {
		ex.server = nil
		ex.table.later(func() { ex.ClientWaits() })
		return
	}
	ex.server = ex.table.dialer.Dial(to, limit, ex)
}

// What the module answers.

func (t *Table) Dial(id choice.SessionID, to choice.ServerID, limit time.Duration) {
	ex := t.sessions[id]
	ex.enter(dialing)
	ex.at, ex.dialedAt = to, t.now()
	ex.dials++
	if ex.connect(to, limit); ex.server == nil {
		t.later(func() { ex.Failed(choice.NotSent) })
	}
}

func (t *Table) Refuse(id choice.SessionID, comeBack time.Duration) {
	t.answer(id, line.FormatBusy(comeBack), "refused")
}

func (t *Table) Abort(id choice.SessionID) { t.answer(id, []byte("ERR\r\n"), "torn-down") }

func (t *Table) answer(id choice.SessionID, last []byte, reason string) {
	if ex := t.sessions[id]; ex != nil {
		ex.enter(ended)
		ex.client.Answer(last, reason)
	}
}

func (t *Table) Move(id choice.SessionID) {
	if ex := t.sessions[id]; ex != nil && ex.state == open {
		ex.move(choice.Cancelled, "moved")
	}
}

// move sends an open session away in good order; the module is told once it can be called.
func (ex *Exchange) move(outcome choice.Outcome, reason string) {
	ex.enter(ended)
	ex.client.Answer([]byte("MOVE\r\n"), reason)
	ex.server.End(socket.Finished, reason)
	ex.table.later(func() { ex.settled(outcome, true) })
}

func (ex *Exchange) settled(outcome choice.Outcome, isOver bool) {
	t := ex.table
	t.balancer.HandleDialEnd(t.now(), ex.arrival.ID, choice.DialNumber(ex.dials-1), ex.at, outcome, t.now()-ex.dialedAt, isOver)
}

// What the client side reads.

// FromClient passes whole lines on.
func (ex *Exchange) FromClient(lines []byte, n int) {
	if ex.state != open {
		return
	}
	if ex.asks == 0 {
		ex.askedAt = ex.table.now()
	}
	ex.asked(ex.asks + n)
	ex.server.Write(lines)
}

// ClientEnded tells that the client has gone.
func (ex *Exchange) ClientEnded(how socket.End) {
	was := ex.state
	if was == ended {
		return
	}
	ex.enter(ended)
	if was != open {
		how = socket.Reset // a first line that this machine still holds must not follow the client's goodbye
	}
	if was != resuming {
		ex.table.balancer.HandleClientGone(ex.table.now(), ex.arrival.ID)
	}
	if was != placing && ex.server != nil {
		ex.server.End(how, "client-left")
	}
	if was == dialing || was == open {
		ex.settled(choice.Cancelled, true)
	}
}

// ClientBroken tells that the client's connection of an open session is broken though the client has ended nothing. It is
// moved: if it is well it comes again.
func (ex *Exchange) ClientBroken() {
	if ex.state == open {
		ex.move(choice.Cancelled, "client-broken")
	}
}

// ClientWaits tells whether the client still waits; if not, the session has ended.
func (ex *Exchange) ClientWaits() bool { return ex.client.Waits() }

// FirstLine is the line that a server gets which this proxy will wait for so much longer.
func (ex *Exchange) FirstLine(wait time.Duration) []byte {
	return ex.opening.AppendOpen(nil, ex.text, wait)
}

// Goes tells whether the first line may still go to the server, whose connection stands now.
func (ex *Exchange) Goes() bool {
	return ex.state != dialing || ex.table.balancer.MaySend(ex.table.now(), ex.arrival.ID)
}

// What the server side reads.

// Opened passes the server's word that the session stands, unless its client has left by now: what that has sent
// before would be read as a line of an open session, and go on to the server.
func (ex *Exchange) Opened(up []byte) {
	t := ex.table
	t.heard[ex.at] = t.now()
	if ex.state != ended && !ex.ClientWaits() {
		return // it has ended the session
	}
	switch ex.state {
	case dialing:
		ex.enter(open)
		t.balancer.HandleOpened(t.now(), ex.arrival.ID, ex.at, choice.DialNumber(ex.dials-1), t.now()-ex.dialedAt)
	case resuming:
		ex.enter(open)
		ex.dials = 1
		if err := t.balancer.AdoptSession(t.now(), ex.arrival, ex.at); err != nil { // guards against a list without it
			ex.enter(ended)
			ex.server.End(socket.Finished, "not-resumed")
			ex.client.Answer([]byte("ERR\r\n"), "not-resumed")
			return
		}
	default:
		return
	}
	ex.client.Write(up)
	ex.client.Up()
}

// Failed tells how a dial ended that brought no session up.
func (ex *Exchange) Failed(outcome choice.Outcome) {
	if outcome == choice.TimedOut || outcome == choice.Unreachable {
		ex.table.suspect[ex.at] = ex.table.now()
	}
	switch ex.state {
	case dialing:
		ex.server = nil
		ex.enter(placing)
		ex.settled(outcome, false)
	case resuming:
		ex.server = nil
		ex.resumeLater()
	}
}

// Ended tells that a server has accepted the session and ended it before it stood.
func (ex *Exchange) Ended(bye []byte) {
	if was := ex.state; was == dialing || was == resuming {
		ex.enter(ended)
		ex.client.Answer(bye, "ended")
		if was == dialing {
			ex.settled(choice.Accepted, true)
		}
	}
}

// FromServer passes whole lines on. Lines that tell a load or an end are no answer to the client's, and a server that
// hangs goes on sending them.
func (ex *Exchange) FromServer(lines []byte, answers int) {
	if answers > 0 {
		ex.table.heard[ex.at] = ex.table.now()
	}
	if ex.state != open {
		return
	}
	if answers > 0 && ex.asks > 0 {
		ex.table.delays.Seen(ex.table.now(), ex.at, ex.table.now()-ex.askedAt)
		if ex.state != open { // the module may have moved it
			return
		}
		if ex.asked(max(ex.asks-answers, 0)); ex.asks > 0 {
			ex.askedAt = ex.table.now()
		}
	}
	ex.client.Write(lines)
}

// NoteLoad takes the number of a LOAD line.
func (ex *Exchange) NoteLoad(level float64) {
	t := ex.table
	if ex.state != open {
		return
	}
	isDelay, newly := t.delays.isDelay(t.now(), ex.at, &ex.levels, level)
	if newly { // the one before was no load either
		ex.levels.load = ex.levels.before
		ex.loadIs(ex.levels.load)
	}
	if isDelay {
		t.balancer.RecordServerDelay(t.now(), ex.at, time.Duration(level*float64(time.Millisecond)))
		return
	}
	if wait, may := t.delays.mayBe(&ex.levels, level); may {
		t.balancer.RecordServerDelay(t.now(), ex.at, wait)
	}
	ex.levels = levels{ex.levels.n + 1, t.now(), level, ex.levels.load}
	ex.loadIs(level)
}

// loadIs tells the module the load, in microseconds of work a second.
func (ex *Exchange) loadIs(level float64) {
	ex.table.balancer.RecordSessionLoad(ex.table.now(), ex.arrival.ID, choice.DialNumber(ex.dials-1), level/1e6)
}

// ServerEnded tells that the server has ended an open session.
func (ex *Exchange) ServerEnded(outcome choice.Outcome, how socket.End, reason string) {
	if ex.state != open {
		return
	}
	ex.enter(ended)
	if how == socket.Broken { // the server may hold the session still: its client is not cut off without a word
		ex.client.Answer([]byte("MOVE\r\n"), reason)
	} else {
		ex.client.End(how, reason)
	}
	if outcome == choice.Cancelled { // in the server's own words: it drains
		ex.table.balancer.HandleDrainNotice(ex.table.now(), ex.at)
	}
	ex.settled(outcome, true)
}

// MoveSome sends up to n open sessions away before the proxy leaves.
func (t *Table) MoveSome(n int) {
	for ; n > 0 && len(t.open) > 0; n-- {
		t.open[len(t.open)-1].move(choice.Cancelled, "proxy-leaves")
	}
}

// EachOpen calls back with each open session's first line and where it is held.
func (t *Table) EachOpen(call func(at choice.ServerID, of *line.Open)) {
	for _, ex := range t.open {
		call(ex.at, &ex.opening)
	}
}

// Open is the number of open sessions.
func (t *Table) Open() int { return len(t.open) }

// Name is the id that the client gave the session.
func (ex *Exchange) Name() string { return string(ex.opening.ID) }

// Opening is the first line, as the client sent it.
func (ex *Exchange) Opening() *line.Open { return &ex.opening }

// Resumes tells whether the session goes back to its holder, which may drain by now.
func (ex *Exchange) Resumes() bool { return ex.state == resuming }
