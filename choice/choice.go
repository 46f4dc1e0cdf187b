// Package choice decides where sessions go: which server each dial tries, what is answered when none will
// do, how the list of servers is followed, and when an open session is moved.
// How it is called: New makes one Balancer for one proxy. Whoever owns the sockets calls its exported
// methods, one at a time, each with the time since New; ApplyList comes first. The Balancer answers through the
// Front in types.go, which also has the types of all that goes in. No clock, goroutine or map order.
//
// The ordinary path: best finds the ready server with the highest x * g(key, server). A round of load samples
// may lower (above full load: raise) the x of some servers by one common factor: adapt. A server that started
// a short while ago ramps up: setWeights. All else is an exception; docs/design.md says when each acts.
package choice

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand"
	"slices"
	"sort"
	"time"
)

const (
	roundSpan   = 2 * time.Second // rounds of load samples
	noteSpan    = roundSpan / 2   // messages' delay is told this often while it is long
	smoothing   = 3               // r: a new sample counts for one r-th
	wordShare   = 0.01            // of the utility of a proxy's sessions, for its words to other proxies
	hysteresis  = 0.1             // eps
	samplesKept = 8               // per server; smoothing forgets what is older
	loadsKept   = 64              // of sessions, to know the usual one
	clientsKept = 1 << 14         // whose loads are remembered
	triesRest   = 4               // seconds in which all proxies together try a late server's fair sessions
	mostRest    = 30 * roundSpan
	mostDepth   = 16       // of scores that any session may go down
	leastDepth  = 2        // that a group may go down
	parts       = 2        // of a group, where there are
	someProxies = 3        // for each server, or more, and each
	heardOf     = 8        // hears of less than one server in so many
	spread      = 2        // and more for each server that its part would fill, while servers are in time
	leastShare  = 1.0 / 32 // a lowered weight leaves this share of the usual one
	backOff     = 0.85     // of what a late server carries, for the next time
	mostDrain   = 0.4      // of what a server can do, kept free for what is piled up
	regain      = 0.05     // of a learnt limit, for each round that a server has been quiet
	assumedLoad = 0.5      // of a server about which nothing is told
	dropShare   = 4        // one in so many of its sessions, dropped in a note's span, shows a server in trouble
	fullLoad    = 2.0 / 3  // known load that takes nothing new, as when messages take a third of the target
	modelStep   = 0.25     // of a model's speed, for each late server more than others' servers would have had
	windowEdge  = 64       // a window may be cut a part of it earlier or later
	mostSpeed   = 4.0      // times what the listed size tells, or that part of it
)

const (
	tokenRound TimerToken = iota
	tokenAsk              // and on: each timer to ask for the list voids the ones before
)

type state int

const (
	arrived state = iota // placed nowhere; an answer is owed
	dialing              // one dial is out
	open                 // a server holds it
	moving               // sent away in good order; the end of its dial is awaited
	left                 // the client has gone, a dial is out
	over                 // nothing more is sent
)

var mayEnter = [...][]state{
	arrived: {dialing, open, over},
	dialing: {arrived, open, left, over},
	open:    {moving, left, over},
	moving:  {over},
	left:    {over},
	over:    {},
}

// terms are what a session comes under, and keeps when the settings change.
type terms struct {
	Listener
	DialLimits
	loads *mean // of the listener's sessions
}

type session struct {
	Arrival
	*terms
	mark     Key // by which it is placed
	state    state
	deadline time.Duration
	dials    int
	tried    [8]*server
	server   *server       // of the dial that is out, or the holder
	weighed  float64       // its load as counted in
	rank     float64       // in the order of leaving its server
	slot     int           // place among the server's sessions
	dialedAt time.Duration // of the dial that is out
	mayRun   bool          // some dial may have run
	first    *server       // of the first dial that may have run
	firstAt  time.Duration
}

// model is what is learnt of the servers of one model: a listed size tells cores, not how fast they are.
type model struct {
	id          ModelID
	speed       float64 // by which listed sizes count, as against other models'
	late, heard float64 // of its servers, since the last round
}

type server struct {
	Entry
	model          *model
	able           float64 // its size, by what its model is known to do
	listed         int     // the last list that named it
	base, factor   float64 // multiplier from the listed sizes, and what adapting made of it
	x              float64 // both, or the ramp, as of the last list or round
	samples        [samplesKept]float64
	sampled        int
	dialing, held  []*session
	carried        float64       // load of this proxy's sessions there
	full           float64       // what it could carry of them, 0 while never seen late
	delay, delayAt time.Duration // of messages, as noted last
	lateAt         time.Duration // when it was last seen late
	saidAt         time.Duration // when a line about it was logged
	awayUntil      time.Duration // while it sends its own sessions away
	missed         int           // dials unanswered since the last answer
	errors         int           // dials that failed since, with no session held
	avoidUntil     time.Duration
	drained        bool          // a drain was told, which is never untold; a later start ends it
	drainOf        time.Duration // the start that the drain is of
	frame          int           // of the window that the turn is worked out for
	turn           float64       // load in usual sessions that this proxy may send in it
	lift           float64       // share of keys that it takes for that
	sent           float64       // of the turn
	drops          int           // of sessions, in the span since droppedAt
	droppedAt      time.Duration
}

// Balancer decides for one proxy.
type Balancer struct {
	front  Front
	chance *rand.Rand
	terms  []*terms // by listeners' ids
	budget RetryBudget
	list   ListSettings
	cold   ColdSettings
	words  PeerReportSettings

	now                            time.Duration
	lists                          int
	servers                        []*server // in the order of their ids, gone ones too
	byID                           map[ServerID]*server
	ready                          []*server
	models                         []*model
	bySize                         []*server // ready ones, the smallest first
	lanes                          []lane    // of the ready ones
	sizes                          float64   // of all ready servers together, listed or able
	meanFactor                     float64
	limit                          float64            // the threshold of the last round
	calm                           float64            // most sessions for each unit of size in time
	saidAt, saidListAt, saidWordAt time.Duration      // when refusing, a failed subscription, a word were logged
	loadOf                         map[Key]float64    // of clients, as noted last
	groups                         map[Key]int        // sessions dialing or held
	carried                        float64            // load of all sessions dialing or held
	loads                          [loadsKept]float64 // of sessions, as noted last
	noted                          int
	usualLoad                      float64 // mean of those, 1 with none
	sessions                       map[SessionID]*session
	ramping                        []*server     // ready and cold
	coldHeld                       time.Duration // cold servers get nothing until then
	taken, further                 ring          // times of sessions, and of dials beyond their first
	furtherHeld                    time.Duration // no further dials until then
	opened, failed                 float64       // dials, each round half of them forgotten
	watching                       bool          // the list is subscribed to
	arrivals, told                 int           // sessions that did not come back, words to other proxies
	askFails                       int
	asks                           TimerToken // timers to ask for the list, so far
	lateOfHeard                    float64    // as of lateShareAt
	lateShareAt                    time.Duration
	longestWait                    time.Duration // dial timeout of the most patient listener
	messageTarget                  time.Duration // the shortest
	top                            [mostDepth]scored
}

type scored struct {
	*server
	score float64
}

// New makes a balancer and starts following the list.
func New(front Front, chance *rand.Rand, listeners []Listener, dials DialLimits, budget RetryBudget,
	list ListSettings, cold ColdSettings, words PeerReportSettings) *Balancer {
	b := &Balancer{front: front, chance: chance, byID: map[ServerID]*server{},
		sessions: map[SessionID]*session{}, loadOf: map[Key]float64{}, groups: map[Key]int{},
		meanFactor: 1, usualLoad: 1, limit: threshold(assumedLoad)}
	b.take(listeners, dials, budget, list, cold, words)
	b.front.StartTimer(roundSpan, tokenRound)
	b.ask()
	return b
}

// Reconfigure takes other settings. What was learnt stays, and each session keeps its terms; ids of listeners are
// by the new settings from now on. Turns at cold servers are dealt anew, and nothing goes there for a window,
// so that none meets turns by both rules.
func (b *Balancer) Reconfigure(now time.Duration, listeners []Listener, dials DialLimits, budget RetryBudget,
	list ListSettings, cold ColdSettings, words PeerReportSettings) {
	b.now = now
	if more := budget.Window - b.budget.Window; more > 0 { // what was dialed then is not known any more
		b.furtherHeld = max(b.furtherHeld, now+more)
	}
	if cold != b.cold {
		b.coldHeld = now + max(cold.OverloadWindow, b.cold.OverloadWindow)
		for _, srv := range b.servers {
			srv.frame = 0
		}
	}
	watched := b.list.NeedsSubscription
	b.take(listeners, dials, budget, list, cold, words)
	b.listReady()
	if !watched {
		b.ask()
	}
}

// SessionSettings returns the present settings of a listener, to be kept with a session that arrives now.
func (b *Balancer) SessionSettings(l ListenerID) SessionSettings { return SessionSettings{b.terms[l]} }

func (b *Balancer) take(listeners []Listener, dials DialLimits, budget RetryBudget, list ListSettings,
	cold ColdSettings, words PeerReportSettings) {
	was := b.terms
	b.terms, b.budget, b.list, b.cold, b.words = nil, budget, list, cold, words
	b.longestWait, b.messageTarget = 0, math.MaxInt64
	for _, l := range listeners {
		next := &terms{l, dials, &mean{}}
		if at := slices.IndexFunc(was, func(t *terms) bool { return t.Name == l.Name }); at >= 0 {
			next.loads = was[at].loads
		}
		b.terms = append(b.terms, next)
		b.longestWait = max(b.longestWait, l.DialTimeout)
		if l.MessageTarget > 0 {
			b.messageTarget = min(b.messageTarget, l.MessageTarget)
		}
	}
}

// The ordinary path.

// draw is g: a fixed mix of key and server into (0,1), the same at all proxies.
func draw(key Key, id ServerID) float64 { return unit(mix(uint64(key)), mix(uint64(id)+1)) }

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// unit folds two mixed numbers into (0,1).
func unit(key, seed uint64) float64 {
	high, low := bits.Mul64(key^seed, 0x9e3779b97f4a7c15)
	return (float64((high^low)>>11) + 0.5) / (1 << 53)
}

// lane is what a pick reads of a server; all lanes stand side by side, as a pick must cost little.
type lane struct {
	seed uint64
	x    float64
}

// setWeights sets every x, once for each list and round. A cold server's share of keys grows with what it can
// do, so its x follows the root of the share.
func (b *Balancer) setWeights() {
	b.meanFactor = 1
	if m := len(b.ready); m > 0 {
		sum := 0.0
		for _, srv := range b.ready {
			sum += srv.factor
		}
		b.meanFactor = sum / float64(m)
	}
	b.ramping = b.ramping[:0]
	for i, srv := range b.ready {
		srv.x = srv.base * srv.factor
		if warmth := b.warmth(srv); warmth < 1 {
			b.ramping = append(b.ramping, srv)
			srv.x = srv.base * b.meanFactor * math.Pow(warmth, 1/float64(max(len(b.ready)-1, 1)))
		}
		b.lanes[i].x = srv.x
	}
}

// best returns the highest scores for the session's key among the ready servers that may pass, at most depth
// of them, in one pass over the fleet. They are good until the next call.
func (b *Balancer) best(s *session, depth int, may func(*Balancer, *session, *server) bool) []scored {
	top, key := b.top[:0], mix(uint64(s.mark))
	depth = min(depth, len(b.top))
	least := 0.0
	for i := range b.lanes {
		score := b.lanes[i].x * unit(key, b.lanes[i].seed)
		if score <= least || !may(b, s, b.ready[i]) {
			continue
		}
		if len(top) < depth {
			top = top[:len(top)+1]
		}
		at := len(top) - 1
		for ; at > 0 && top[at-1].score < score; at-- {
			top[at] = top[at-1]
		}
		top[at] = scored{b.ready[i], score}
		if len(top) == depth {
			least = top[depth-1].score
		}
	}
	return top
}

// pick returns the top score, or nil.
func (b *Balancer) pick(s *session, may func(*Balancer, *session, *server) bool) *server {
	if top := b.best(s, 1, may); len(top) > 0 {
		return top[0].server
	}
	return nil
}

// multipliers sets base from the sizes, which are shares: Ross's recursion, from the smallest share up. Sizes
// are the listed ones times their model's speed, and in sum the listed ones.
func (b *Balancer) multipliers() {
	b.bySize = append(b.bySize[:0], b.ready...)
	able := 0.0
	b.sizes = 0
	for _, srv := range b.ready {
		b.sizes += srv.Size
		able += srv.Size * srv.model.speed
	}
	for _, srv := range b.ready {
		srv.able = srv.Size * srv.model.speed * b.sizes / able
	}
	slices.SortStableFunc(b.bySize, func(a, c *server) int { return cmp.Compare(a.able, c.able) })
	product, before, x := 1.0, 0.0, 0.0
	for i, srv := range b.bySize {
		rest, share := float64(len(b.bySize)-i), srv.able/b.sizes
		if share > before { // among equals it stays
			x = math.Pow(rest*(share-before)/product+math.Pow(x, rest), 1/rest)
		}
		product *= x
		before = share
		srv.base = x
	}
}

// learnModels guards against sizes that tell nothing of speed: servers of a slow model are late more often
// than others that hold as much, and each proxy hears of too few to learn it of every one. A model's speed
// falls with each late server more, and rises with each less, than if all models' were late alike.
func (b *Balancer) learnModels() {
	late, heard := 0.0, 0.0
	for _, m := range b.models {
		late += m.late
	}
	if late == 0 {
		return
	}
	for _, srv := range b.ready {
		if len(srv.held) > 0 || srv.lateAt > b.now-roundSpan {
			srv.model.heard++
			heard++
		}
	}
	for _, m := range b.models {
		if heard > 0 {
			m.speed *= math.Exp(-modelStep * (m.late - late*m.heard/heard))
			m.speed = min(max(m.speed, 1/mostSpeed), mostSpeed) // however long one model has the bad luck
		}
		m.late, m.heard = 0, 0
	}
	b.multipliers()
}

// smoothed is rho-bar over the kept samples.
func (srv *server) smoothed() float64 {
	first := max(srv.sampled-samplesKept, 0)
	rho := srv.samples[first%samplesKept]
	for i := first + 1; i < srv.sampled; i++ {
		rho = srv.samples[i%samplesKept]/smoothing + rho*(smoothing-1)/smoothing
	}
	return rho
}

func (srv *server) sample(rho float64) {
	srv.samples[srv.sampled%samplesKept] = rho
	srv.sampled++
}

// threshold is the load beyond which adapting acts, for a mean load rho.
func threshold(rho float64) float64 {
	if rho <= 1 {
		return max((1+rho)/2, (1+hysteresis)*rho)
	}
	return min((1+rho)/2, (1-hysteresis)*rho)
}

// adapt multiplies the weights of all servers beyond the threshold by one factor.
func (b *Balancer) adapt() {
	if len(b.ready) == 0 {
		return
	}
	sum, m := 0.0, float64(len(b.ready))
	for _, srv := range b.ready {
		sum += srv.smoothed()
	}
	rho := sum / m
	limit := threshold(rho)
	b.limit = max(limit, rho)
	beyond := func(srv *server) bool {
		return rho <= 1 && srv.smoothed() > limit || rho > 1 && srv.smoothed() < limit
	}
	nearest := 0.0
	for _, srv := range b.ready {
		if beyond(srv) && (nearest == 0 || (srv.smoothed() < nearest) == (rho <= 1)) {
			nearest = srv.smoothed()
		}
	}
	if nearest <= 0 {
		return
	}
	c := math.Pow(limit/nearest, 1/math.Log2(m))
	least := math.Pow(leastShare, 1/(m-1))
	for _, srv := range b.ready {
		if beyond(srv) {
			srv.factor = max(srv.factor*c, least*b.meanFactor)
		}
	}
}

// known is a server's load by what it told or showed, 0 if nothing.
func (b *Balancer) known(srv *server) float64 {
	rho := 0.0
	if srv.full > 0 {
		rho = srv.carried / srv.full
	}
	if b.now-srv.delayAt < noteSpan*3/2 {
		rho = max(rho, (1+min(float64(srv.delay)/float64(b.messageTarget), 3))/2)
	}
	return rho
}

// loaded is a server's load as far as it can be told, with some more: also by this proxy's sessions there.
func (b *Balancer) loaded(srv *server, more float64) float64 {
	if b.carried == 0 {
		return b.known(srv)
	}
	fair := b.part(srv) * b.warmth(srv) * (b.carried + more)
	return max(b.known(srv), assumedLoad*(srv.carried+more)/fair)
}

// late learns from late messages and dropped sessions how much a server can carry. While work is piled up the
// delay grows by the load beyond capacity, and shrinks by what is short of it. What is piled up keeps all
// sessions late, so the server is relieved of more until that has gone.
func (b *Balancer) late(srv *server, growth float64, piledUp time.Duration) {
	srv.lateAt = b.now
	able := srv.carried / min(max(1+growth, 0.5), 2)
	if full := backOff * able; srv.full == 0 || full < srv.full {
		srv.full = full
	}
	b.say(&srv.saidAt, "server %d: messages late or sessions dropped, %d held", srv.ID, len(srv.held))
	b.relieve(srv, able*(1-min(float64(piledUp)/float64(noteSpan), mostDrain)))
}

// dropped guards against taking a connection that the network broke for a server with too much piled up, or
// lost: that one drops a good part of its sessions at once, or is known to be loaded.
func (b *Balancer) dropped(srv *server) {
	if b.now-srv.droppedAt > noteSpan {
		srv.drops, srv.droppedAt = 0, b.now
	}
	if srv.drops++; srv.drops*dropShare > len(srv.held) || b.known(srv) > b.limit {
		b.late(srv, 0, 0)
	}
}

// part is a server's share of the fleet.
func (b *Balancer) part(srv *server) float64 { return srv.able / b.sizes }

// Cold servers.

// warmth is the share of its work that a server can surely do: it never warms slower than evenly over the
// span.
func (b *Balancer) warmth(srv *server) float64 {
	if !srv.StartKnown || b.cold.RampDuration <= 0 || b.now-srv.StartedAt >= b.cold.RampDuration {
		return 1
	}
	age := max(b.now-srv.StartedAt, 0)
	return b.cold.InitialShare + (1-b.cold.InitialShare)*float64(age)/float64(b.cold.RampDuration)
}

// overBudget guards against pushing a cold server over. All proxies together send it no more than a multiple
// of what it can surely do, in every window and whatever comes, without a word between them: time since its
// start, which all are told alike, goes in frames of a window, each proxy has a place of its own in a frame's
// order, and only the first few places have a turn. A window meets two frames, whose turns add up to the
// budget.
func (b *Balancer) overBudget(s *session, srv *server) bool {
	if b.warmth(srv) >= 1 {
		return false
	}
	b.takeTurn(srv)
	return srv.turn == 0 || b.now < b.coldHeld || srv.sent+b.weight(s) > srv.turn+1e-9
}

// frameAt is the number of a cold server's frame.
func (b *Balancer) frameAt(srv *server, at time.Duration) int {
	return int(max(at-srv.StartedAt, 0) / b.cold.OverloadWindow)
}

// takeTurn works out a cold server's turn, once in each frame. What it could do warm is not told: it is sure
// that while it warms it can be filled with as many sessions as its size had on servers that were in time.
// Listeners' loads differ: each pair of frames has turns for sessions of one listener's load or less, so that
// light ones have more.
func (b *Balancer) takeTurn(srv *server) {
	frame := b.frameAt(srv, b.now)
	if srv.frame == frame+1 {
		return
	}
	srv.frame, srv.sent, srv.turn, srv.lift = frame+1, 0, 0, 0
	warmth := b.cold.InitialShare + (1-b.cold.InitialShare)*float64(frame)*b.cold.OverloadWindow.Seconds()/b.cold.RampDuration.Seconds()
	all := b.cold.OverloadMultiple * b.cold.OverloadWindow.Seconds() / b.cold.RampDuration.Seconds() * warmth *
		max(b.calm, 1/fullLoad/b.sizes) * srv.able * float64(b.cold.ProxyCount)
	if all < float64(b.cold.ProxyCount) { // few of many proxies have a session to place in their turns
		all *= fullLoad / assumedLoad
	}
	each := b.usualWeight(b.terms[(frame/2)%len(b.terms)])
	for _, t := range b.terms { // a small budget goes to light sessions, of which it holds more
		if light := b.usualWeight(t); all < 2*each && light < each {
			each = light
		}
	}
	turns := int(all / each)
	if each <= 1 { // a part of a turn counts as one, but for sessions heavier than usual
		turns = int(math.Ceil(all / each))
	}
	turns = (turns + 1 - frame%2) / 2
	_, at := math.Modf(draw(0, srv.ID) + float64(frame)*(math.Phi-1))
	place := (b.cold.ProxyIndex + int(at*float64(b.cold.ProxyCount))) % b.cold.ProxyCount
	if turns > place {
		srv.turn = each * float64((turns-place+b.cold.ProxyCount-1)/b.cold.ProxyCount)
		srv.lift = min(b.part(srv)*warmth*float64(b.cold.ProxyCount)/float64(turns), 1)
	}
}

// inTurn is the cold server that takes a new session because it is this proxy's turn there: of few turns
// among many proxies, few would meet the keys that have it on top by its ramp, and it would stand idle. The
// keys nearest to it go there, of all that come to proxies in turn about as many as the ramp would bring.
func (b *Balancer) inTurn(s *session) *server {
	var best *server
	most := 0.0
	for _, srv := range b.ramping {
		g := draw(s.mark, srv.ID)
		if b.overBudget(s, srv) || g <= 1-srv.lift || srv.base*g <= most {
			continue
		}
		if b.answering(s, srv) && !b.isFull(srv) && b.fits(s, srv) {
			best, most = srv, srv.base*g
		}
	}
	return best
}

// weight is a session's load in usual ones, by its listener's where loads are told, or its own if that is
// more: the last word on a client's load may be of a moment in which it asked for nothing.
func (b *Balancer) weight(s *session) float64 {
	usual := b.usualWeight(s.terms)
	if s.Load > 0 && b.noted > 0 {
		return max(s.Load/b.usualLoad, usual)
	}
	return usual
}

func (b *Balancer) usualWeight(t *terms) float64 {
	return cmp.Or(t.loads.value/b.usualLoad, 1)
}

// mean is that of the last few.
type mean struct{ value, n float64 }

func (m *mean) add(value float64) {
	m.n = min(m.n+1, loadsKept)
	m.value += (value - m.value) / m.n
}

// The list of servers.

func (b *Balancer) ask() {
	if !b.list.NeedsSubscription {
		return
	}
	b.front.SubscribeList()
	b.askIn(b.list.MaxPollInterval / 2) // guards against a call that is never answered
}

// ResubscribeList subscribes to the list at once, as discovery has moved or a call was given up: earlier failures and their
// backoff no longer count.
func (b *Balancer) ResubscribeList(now time.Duration) {
	b.now, b.askFails, b.watching = now, 0, false
	b.ask()
}

// askIn sets when the list is asked for next. Only the timer set last counts: if those of earlier calls still
// did, each failed call would leave two behind, and calls would double until discovery takes none.
func (b *Balancer) askIn(after time.Duration) {
	b.asks++
	b.front.StartTimer(after, tokenAsk+b.asks)
}

// ApplyList applies a list of servers, or a failed subscription, from discovery.
func (b *Balancer) ApplyList(now time.Duration, kind ListKind, entries []Entry) {
	b.now = now
	if kind == ListFailed {
		b.watching = false
		b.askFails++
		b.say(&b.saidListAt, "list: the subscription failed, %d times in a row", b.askFails)
		span := cmp.Or(b.list.MaxRetryBackoff, b.list.MaxPollInterval/4) / 8 << min(b.askFails, 3)
		b.askIn(span + time.Duration(b.chance.Int63n(int64(span)+1)))
		return
	}
	if kind != ListCached {
		b.watching, b.askFails = true, 0
	}
	b.lists++
	for _, e := range entries {
		b.entry(e)
	}
	for _, srv := range b.servers {
		if kind != ListDelta && srv.listed != b.lists {
			srv.Status = Gone
		}
	}
	b.listReady()
}

// listReady takes up all servers that may be dialed.
func (b *Balancer) listReady() {
	b.ready, b.lanes = b.ready[:0], b.lanes[:0]
	for _, srv := range b.servers {
		if b.usable(srv) {
			b.ready = append(b.ready, srv)
			b.lanes = append(b.lanes, lane{seed: mix(uint64(srv.ID) + 1)})
		}
	}
	b.multipliers()
	b.setWeights()
}

func (b *Balancer) entry(e Entry) {
	srv := b.byID[e.ID]
	if srv == nil {
		srv = &server{factor: b.meanFactor}
		b.byID[e.ID] = srv
		at, _ := slices.BinarySearchFunc(b.servers, e.ID, func(s *server, id ServerID) int {
			return cmp.Compare(s.ID, id)
		})
		b.servers = slices.Insert(b.servers, at, srv)
	} else if e.Status == Ready && (srv.Status == Gone && !b.list.OnlyDrainsExclude ||
		e.StartKnown && (!srv.StartKnown || e.StartedAt > srv.StartedAt)) { // restarted
		srv.factor = b.meanFactor
		srv.sampled, srv.missed, srv.errors, srv.avoidUntil = 0, 0, 0, 0
		srv.frame, srv.full, srv.lateAt, srv.delayAt, srv.awayUntil = 0, 0, 0, 0, 0
	}
	switch {
	case e.Status == Draining:
		srv.drained, srv.drainOf = true, time.Duration(math.MinInt64) // a start long ago
		if e.StartKnown {
			srv.drainOf = e.StartedAt
		}
	case srv.drained && e.StartKnown && e.StartedAt > srv.drainOf:
		srv.drained = false
	case srv.drained && e.Status == Ready: // an older list may come again
		e.Status = Draining
	}
	if srv.StartKnown && e.StartedAt < srv.StartedAt {
		e.StartKnown, e.StartedAt = true, srv.StartedAt // the same
	}
	srv.Entry, srv.listed = e, b.lists
	srv.Size = cmp.Or(max(e.Size, 0), 1) // 0 if not told
	at := slices.IndexFunc(b.models, func(m *model) bool { return m.id == e.Model })
	if at < 0 {
		at = len(b.models)
		b.models = append(b.models, &model{id: e.Model, speed: 1})
	}
	srv.model = b.models[at]
}

// usable tells whether the list lets a server be dialed. Where drains alone bind, a list that calls servers
// gone proves nothing: one that was named stays in, and what dials to it show counts.
func (b *Balancer) usable(srv *server) bool {
	return srv.Status == Ready || b.list.OnlyDrainsExclude && srv.Status == Gone && !srv.drained
}

// say logs a line, the same subject no more than once in the span of a cold start.
func (b *Balancer) say(last *time.Duration, format string, args ...any) {
	if *last == 0 || b.now-*last >= b.cold.RampDuration {
		*last = b.now + 1
		b.front.Log(fmt.Sprintf(format, args...))
	}
}

// Sessions.

// enter is the one place where a session changes its state.
func (b *Balancer) enter(s *session, next state, srv *server) {
	if !slices.Contains(mayEnter[s.state], next) {
		panic(fmt.Sprintf("session %d goes from state %d to %d", s.ID, s.state, next))
	}
	if was := s.place(); was != nil {
		b.weigh(s, 0)
		if b.groups[s.Group]--; b.groups[s.Group] == 0 {
			delete(b.groups, s.Group)
		}
		last := len(*was) - 1
		(*was)[s.slot] = (*was)[last]
		(*was)[s.slot].slot = s.slot
		*was = (*was)[:last]
	}
	s.state, s.server = next, srv
	if is := s.place(); is != nil {
		b.weigh(s, b.usual(s))
		b.groups[s.Group]++
		s.slot = len(*is)
		*is = append(*is, s)
	}
	if next == over {
		delete(b.sessions, s.ID)
	}
}

// weigh counts a session's load in.
func (b *Balancer) weigh(s *session, load float64) {
	s.server.carried += load - s.weighed
	b.carried += load - s.weighed
	s.weighed = load
}

// usual is a session's load, or the mean of those noted last where its own is not told.
func (b *Balancer) usual(s *session) float64 {
	if s.Load > 0 {
		return s.Load
	}
	return b.usualLoad
}

// place is the server's list in which the session stands in its present state.
func (s *session) place() *[]*session {
	switch {
	case s.state == dialing || s.state == left && s.dialedAt >= 0:
		return &s.server.dialing
	case s.state == open:
		return &s.server.held
	}
	return nil
}

// PlaceSession takes a new session and dials a server for it, or gives its final answer. The error is a fault of the caller.
func (b *Balancer) PlaceSession(now time.Duration, a Arrival) error {
	s, err := b.admit(now, a)
	if err != nil {
		return err
	}
	if b.budget.Window > 0 { // those held from before are not taken anew
		b.taken.add(now, now-b.budget.Window)
	}
	b.place(s)
	return nil
}

// AdoptSession takes a session that is already open at a server, such as one that another proxy opened. The error is a fault
// of the caller.
func (b *Balancer) AdoptSession(now time.Duration, a Arrival, at ServerID) error {
	srv := b.byID[at]
	if srv == nil {
		return fmt.Errorf("session %d is held by server %d, which no list has named", a.ID, at)
	}
	s, err := b.admit(now, a)
	if err != nil {
		return err
	}
	s.dials, s.mayRun = 1, true
	b.enter(s, open, srv)
	return nil
}

func (b *Balancer) admit(now time.Duration, a Arrival) (*session, error) {
	b.now = now
	under := a.Settings.terms
	if under == nil {
		if int(a.Listener) >= len(b.terms) {
			return nil, fmt.Errorf("session %d names listener %d of %d", a.ID, a.Listener, len(b.terms))
		}
		under = b.terms[a.Listener]
	}
	if b.sessions[a.ID] != nil {
		return nil, fmt.Errorf("session %d comes twice", a.ID)
	}
	if a.Load == 0 {
		a.Load = b.loadOf[a.Client]
	}
	if !a.Reconnected {
		b.arrivals++
	}
	s := &session{Arrival: a, terms: under, deadline: now + a.TimeLeft}
	s.mark = cmp.Or(a.Group, a.Client, Key(a.ID))
	if a.Group != 0 {
		s.mark = b.partOf(a.Group, cmp.Or(a.Client, Key(a.ID)))
	}
	b.sessions[a.ID] = s
	return s, nil
}

// partOf parts a group by its clients where proxies are several times the servers and each hears of few, of
// one for each session at most and two more: it can't see which groups are large, all would send a group to
// its one server however much it is, and few hear that the server is late. The first part is the group's own,
// the other has an order of servers of its own. Harm: each server that holds any of a group pays for it.
func (b *Balancer) partOf(group, client Key) Key {
	if b.cold.ProxyCount < someProxies*len(b.ready) || (len(b.sessions)+2)*heardOf > len(b.ready) {
		return group
	}
	if part := int(unit(mix(uint64(client)), mix(uint64(group))) * parts); part > 0 {
		return Key(mix(uint64(group) + uint64(part)))
	}
	return group
}

// place dials the best server for a session, or gives the session up.
func (b *Balancer) place(s *session) {
	wait := s.deadline - b.now
	if s.dials >= s.MaxDials || wait < s.HandshakeTarget/16 || !b.mayRerun(s) || b.spare(s) ||
		s.dials > 0 && !b.affords() {
		b.giveUp(s)
		return
	}
	var srv *server
	if s.MidFlow && s.dials == 0 {
		srv = b.pick(s, (*Balancer).holding) // only its holder can go on with it
	}
	if srv == nil {
		srv = b.inTurn(s)
	}
	if srv == nil {
		srv = b.next(s)
	}
	if srv == nil && !slices.ContainsFunc(b.ready, b.trusted) {
		// With no server left to trust, the fault may be this proxy's.
		srv = b.pick(s, (*Balancer).lastResort)
	}
	if srv == nil {
		b.say(&b.saidAt, "no server has room, refusing; %d ready", len(b.ready))
		b.giveUp(s)
		return
	}
	if s.Idempotency == Idempotent && b.affords() { // one that no other can follow gets all the time
		wait = max(wait/time.Duration(s.MaxDials-s.dials), min(wait, s.HandshakeTarget/2))
	}
	if b.warmth(srv) < 1 {
		srv.sent += b.weight(s)
	}
	if s.dials > 0 && b.budget.Window > 0 {
		b.further.add(b.now, b.now-b.budget.Window)
	}
	s.tried[s.dials%len(s.tried)] = srv
	s.dials++
	s.dialedAt = b.now
	b.enter(s, dialing, srv)
	b.front.Dial(s.ID, srv.ID, wait)
}

// next takes the top score, or one of the next few that has room where the top has none: a hot group would
// fill its server while others idle. Each server that holds any of a group pays for it, so a group goes no
// deeper.
func (b *Balancer) next(s *session) *server {
	var able *server
	for _, c := range b.best(s, b.depth(s), (*Balancer).answering) {
		switch srv := c.server; {
		case b.overBudget(s, srv):
		case b.isFull(srv) || !b.fits(s, srv):
		case s.Reconnected && s.state != open && len(srv.held) == 0 && b.chance.Float64() < b.lateShare():
		case b.loaded(srv, s.Load) <= b.limit:
			return srv
		case able == nil || s.Load > 0 && b.loaded(srv, s.Load) < b.loaded(able, s.Load):
			able = srv
		}
	}
	return able
}

// lateShare is the share of late servers among those it hears of, as only its sessions bring word.
func (b *Balancer) lateShare() float64 {
	if b.now-b.lateShareAt > noteSpan/4 {
		late, heard := 0.0, 2.0 // in time, and two more, so that one of few tells little
		for _, srv := range b.ready {
			if b.isFull(srv) {
				late++
			} else if len(srv.held) > 0 {
				heard++
			}
		}
		b.lateOfHeard, b.lateShareAt = late/(late+heard), b.now
	}
	return b.lateOfHeard
}

// depth is how many of its best scores a session may go down: as its group's part of the sessions demands. Of
// a few sessions one of its group tells little, so as many others as there are servers are added. Where
// many servers are late it goes less deep: each one more that holds of the group makes the overload worse.
func (b *Balancer) depth(s *session) int {
	if s.Group == 0 {
		return mostDepth
	}
	fills := float64(len(b.ready)*b.groups[s.Group]) / float64(len(b.sessions)+len(b.ready))
	return leastDepth + int(math.Ceil(spread*fills*(1-b.lateShare())))
}

// allowed holds the rules that no exception may break.
func (b *Balancer) allowed(s *session, srv *server) bool {
	return !s.mayRun || s.Idempotency != IdempotencyKeyed || (s.terms.DedupScope != DedupZone || srv.Zone == s.first.Zone) &&
		(s.terms.DedupScope != DedupCell || srv.Cell == s.first.Cell)
}

func (b *Balancer) untried(s *session, srv *server) bool {
	return !slices.Contains(s.tried[:min(s.dials, len(s.tried))], srv) && b.allowed(s, srv)
}

// answering leaves out servers that have not answered, for a while.
func (b *Balancer) answering(s *session, srv *server) bool {
	if s.state == open { // its client would come as a new session
		return srv != s.server && b.trusted(srv)
	}
	return b.trusted(srv) && b.untried(s, srv)
}

func (b *Balancer) lastResort(s *session, srv *server) bool {
	return !b.isFull(srv) && b.untried(s, srv) && !b.overBudget(s, srv)
}

func (b *Balancer) holding(s *session, srv *server) bool {
	return b.allowed(s, srv) && !b.overBudget(s, srv)
}

// fits tells whether a session's load would stay within what the server was learnt to carry.
func (b *Balancer) fits(s *session, srv *server) bool {
	return srv.full == 0 || srv.carried == 0 || srv.carried+b.usual(s) <= srv.full
}

// isFull keeps sessions from servers that would serve none of theirs in time with more. A proxy without a
// session at a late server hears nothing of it; if all of many tried it again each few seconds they would
// keep it late, so it rests for longer the less of it is this proxy's.
func (b *Balancer) isFull(srv *server) bool {
	rest := noteSpan
	if len(srv.held) == 0 {
		fair := b.part(srv) * float64(max(len(b.sessions), 1))
		rest = min(time.Duration(triesRest*float64(noteSpan)/fair), mostRest)
	}
	return srv.lateAt > 0 && b.now-srv.lateAt < rest || b.known(srv) >= fullLoad
}

// trusted is false for a while after a dial went unanswered, and then for all but one dial at a time until
// one is answered: a hung server stays in the list.
func (b *Balancer) trusted(srv *server) bool {
	return b.now >= max(srv.avoidUntil, srv.awayUntil) && (srv.missed == 0 || len(srv.dialing) == 0)
}

// spare guards against dials that together keep down what all servers need to open a session: where more than
// two in three that were sent lately failed or had no answer, whatever the server, some are given up, so that
// about three go out for each that opens. A few bad servers alone never come to that.
func (b *Balancer) spare(s *session) bool {
	return !s.MidFlow && b.failed > 2*b.opened && b.chance.Float64() < (b.failed-2*b.opened)/(b.failed+1)
}

// affords tells whether the budget of dials beyond each session's first has one left: in the window that ends
// now, and a little longer for dials and shorter for sessions, as others' clocks may cut it elsewhere.
func (b *Balancer) affords() bool {
	window, edge := b.budget.Window, b.budget.Window/windowEdge
	if window == 0 {
		return true
	}
	most := b.budget.FreeRetries + b.budget.RetriesPerSession*float64(b.taken.since(b.now-window+edge))
	return b.now >= b.furtherHeld && float64(b.further.since(b.now-window-edge)+1) <= most
}

// ring has times in their order, as many as there are in a window.
type ring struct {
	at       []time.Duration
	first, n int
}

// add takes a time in and forgets those well before since.
func (r *ring) add(at, since time.Duration) {
	for r.n > 0 && r.at[r.first] < since-(at-since)/windowEdge {
		r.first, r.n = (r.first+1)%len(r.at), r.n-1
	}
	if r.n == len(r.at) {
		grown := make([]time.Duration, max(2*r.n, samplesKept))
		copy(grown[copy(grown, r.at[r.first:]):], r.at[:r.first])
		r.at, r.first = grown, 0
	}
	r.at[(r.first+r.n)%len(r.at)] = at
	r.n++
}

// since is how many times there are from then on.
func (r *ring) since(then time.Duration) int {
	return r.n - sort.Search(r.n, func(i int) bool { return r.at[(r.first+i)%len(r.at)] >= then })
}

// mayRerun tells whether another dial may go out after those that may have run.
func (b *Balancer) mayRerun(s *session) bool {
	return !s.mayRun || s.Idempotency == Idempotent || s.Idempotency == IdempotencyKeyed && b.now-s.firstAt < s.DedupWindow
}

// giveUp answers at once what no server will take.
func (b *Balancer) giveUp(s *session) {
	b.enter(s, over, nil)
	if s.mayRun && (s.Idempotency == NonIdempotent || s.Idempotency == IdempotencyKeyed && s.terms.DedupScope != DedupAll) {
		b.front.Abort(s.ID)
		return
	}
	comeBack := time.Duration(float64(s.HandshakeTarget) * (1 + b.chance.Float64()))
	b.front.Refuse(s.ID, min(comeBack, s.MaxRetryAfter))
}

// MaySend reports whether the first line of the session's dial may be sent, now that its connection is established. It guards
// against connections that take long: what the dial was placed by may have passed meanwhile, the window for
// repeats or this proxy's turn at a cold server, and the budget's window has to count it from now on.
func (b *Balancer) MaySend(now time.Duration, id SessionID) bool {
	b.now = now
	s := b.sessions[id]
	if s == nil || s.state != dialing {
		return true
	}
	if !b.mayRerun(s) {
		return false
	}
	srv := s.server
	if b.warmth(srv) < 1 && b.frameAt(srv, s.dialedAt) != b.frameAt(srv, now) {
		if b.overBudget(s, srv) {
			return false
		}
		srv.sent += b.weight(s)
	}
	if s.dials > 1 && b.budget.Window > 0 && now-s.dialedAt > b.budget.Window/windowEdge {
		b.further.add(now, now-b.budget.Window)
	}
	return true
}

// HandleOpened records that a dial's server has accepted the session.
func (b *Balancer) HandleOpened(now time.Duration, id SessionID, _ ServerID, no DialNumber, _ time.Duration) {
	b.now = now
	s := b.sessions[id]
	if s == nil || s.state != dialing || int(no) != s.dials-1 {
		return
	}
	s.mayRun = true
	s.server.missed, s.server.errors, s.server.avoidUntil = 0, 0, 0
	b.opened++
	b.enter(s, open, s.server)
}

// HandleDialEnd records how a dial ended. With isOver, or after the session was opened, the session ends too; otherwise the
// next dial goes out or the session gets its final answer.
func (b *Balancer) HandleDialEnd(now time.Duration, id SessionID, no DialNumber, at ServerID, outcome Outcome,
	_ time.Duration, isOver bool) {
	b.now = now
	srv := b.byID[at]
	s := b.sessions[id]
	if s == nil || srv == nil || int(no) != s.dials-1 {
		return
	}
	was := s.state
	if outcome == ConnectionLost {
		b.dropped(srv)
	}
	if isOver || was != dialing {
		if was == dialing && outcome == Accepted {
			srv.missed, srv.avoidUntil = 0, 0
		}
		b.enter(s, over, nil)
		return
	}
	if !outcome.ProvesNotRun() && !s.mayRun {
		s.mayRun, s.first, s.firstAt = true, srv, s.dialedAt
	}
	b.enter(s, arrived, nil)
	if outcome == TimedOut || outcome == Failed {
		b.failed++
	}
	if outcome == Failed && len(srv.held) == 0 {
		srv.errors++
	}
	if outcome == TimedOut || outcome == Unreachable ||
		outcome == Failed && srv.errors > 1 { // one that only answers errors may be none
		srv.missed++
		srv.avoidUntil = now + b.longestWait*time.Duration(min(srv.missed, 4))
		if srv.missed == 2 {
			b.say(&srv.saidAt, "server %d: two dials in a row without an answer, avoided", srv.ID)
		}
	}
	b.place(s)
}

// HandleDrainNotice records that a server has moved a session away by itself: it drains, though the list may say so much
// later where discovery has more calls than it can take. It gets nothing new until the list must have come.
func (b *Balancer) HandleDrainNotice(now time.Duration, at ServerID) {
	b.now = now
	if srv := b.byID[at]; srv != nil {
		srv.awayUntil = now + b.list.MaxPollInterval
	}
}

// HandleClientGone records that a session's client has gone, or that its answer is overdue.
func (b *Balancer) HandleClientGone(now time.Duration, id SessionID) {
	b.now = now
	if s := b.sessions[id]; s != nil && (s.state == dialing || s.state == open) {
		if s.state == open {
			s.dialedAt = -1
		}
		b.enter(s, left, s.server)
	}
}

// What is seen of load.

// RecordSessionLoad records an open session's load, in cores.
func (b *Balancer) RecordSessionLoad(now time.Duration, id SessionID, _ DialNumber, load float64) {
	b.now = now
	if s := b.sessions[id]; s != nil {
		s.Load = load
		if len(b.loadOf) >= clientsKept {
			clear(b.loadOf)
		}
		b.loadOf[s.Client] = load
		b.loads[b.noted%loadsKept] = load
		b.noted++
		sum, n := 0.0, min(b.noted, loadsKept)
		for _, load := range b.loads[:n] {
			sum += load
		}
		b.usualLoad = cmp.Or(sum/float64(n), 1)
		s.loads.add(load)
		if s.place() != nil {
			b.weigh(s, load)
		}
	}
}

// RecordServerDelay records how long a server takes to answer a message.
func (b *Balancer) RecordServerDelay(now time.Duration, at ServerID, delay time.Duration) {
	b.now = now
	if srv := b.byID[at]; srv != nil {
		was, span := b.messageTarget/3, noteSpan
		if now-srv.delayAt < noteSpan*3/2 {
			was, span = srv.delay, max(now-srv.delayAt, noteSpan/2)
		}
		srv.delay, srv.delayAt = delay, now
		if delay >= b.messageTarget {
			srv.model.late++
			b.tell(srv)
			b.late(srv, float64(delay-was)/float64(span), delay-b.messageTarget/3)
		}
	}
}

// tell lets about one of the proxies that hear of a late server tell the others, where words are allowed and
// cost no more than a small share of what this proxy's sessions are worth.
func (b *Balancer) tell(srv *server) {
	others := float64(b.cold.ProxyCount - 1)
	hearing := b.part(srv) * float64(len(b.sessions)*b.cold.ProxyCount)
	affords := float64(b.told+1)*others*b.words.CostPerMessage <= wordShare*float64(b.arrivals)
	if b.words.Enabled && affords && b.chance.Float64()*hearing < 1 {
		b.told++
		b.front.PublishOverload(srv.ID, srv.delay)
	}
}

// ReceiveOverload takes another proxy's overload report. It counts only if this proxy has no session at the server, and so
// no reports of its own.
func (b *Balancer) ReceiveOverload(now time.Duration, at ServerID, delay time.Duration) {
	b.now = now
	srv := b.byID[at]
	if srv == nil || !b.usable(srv) {
		b.say(&b.saidWordAt, "a word of server %d is ignored, as the list does not have it ready", at)
		return
	}
	if len(srv.held) == 0 {
		srv.delay, srv.delayAt = delay, now
	}
}

// HandleTimer is called when a timer started with Front.StartTimer fires.
func (b *Balancer) HandleTimer(now time.Duration, token TimerToken) {
	b.now = now
	switch token {
	case tokenAsk + b.asks:
		if !b.watching {
			b.ask()
		}
	case tokenRound:
		b.front.StartTimer(roundSpan, tokenRound)
		b.round()
	}
}

// round ends one round of load samples and starts the next.
func (b *Balancer) round() {
	b.opened, b.failed = b.opened/2, b.failed/2
	held, sizes := 0.0, 0.0 // of the servers in time
	for _, srv := range b.ready {
		if b.warmth(srv) >= 1 && (srv.lateAt == 0 || b.now-srv.lateAt >= roundSpan) {
			held += float64(len(srv.held))
			sizes += srv.able
		}
		if b.now-srv.lateAt > roundSpan {
			// after a short jam, or with the clients of a lost proxy, the limit must not bind for long
			srv.full *= 1 + regain*float64((b.now-srv.lateAt)/roundSpan)
		}
		srv.sample(b.loaded(srv, 0))
	}
	if sizes == b.sizes { // while no server is late they can do more than that
		held /= fullLoad
	}
	if sizes > b.sizes/2 {
		b.calm = max(b.calm, held/sizes)
	}
	for _, srv := range b.servers {
		if srv.drained { // what it still holds when it stops is cut off
			b.send(srv, srv.carried/2, func(*session) float64 { return 1 })
		}
	}
	b.learnModels()
	b.adapt()
	b.setWeights()
}

// relieve moves what a server carries beyond what it is able to, in the order in which falling weights would
// move keys, so that groups leave whole and all proxies pick the same; only what another has room for. Above
// full load none is served in time, so the rest goes too, least utility for its load first.
func (b *Balancer) relieve(srv *server, able float64) {
	rest := b.send(srv, srv.carried-able, func(s *session) float64 {
		to := b.next(s)
		if to == nil || b.loaded(to, s.Load) > b.limit {
			return 0
		}
		return to.x * draw(s.mark, to.ID) / (srv.x * draw(s.mark, srv.ID))
	})
	b.send(srv, rest, func(s *session) float64 {
		return s.weighed / max(s.Utility, 1e-9)
	})
}

// send moves sessions of the given load off a server, those that rank highest first, none that ranks 0, and
// returns the load for which there were none. A session that is more than what is left goes by chance in
// proportion: of many proxies each may hold one there, and all together move about the excess.
func (b *Balancer) send(srv *server, load float64, rank func(*session) float64) float64 {
	if load <= 0 {
		return 0
	}
	if len(srv.held) == 1 && b.chance.Float64()*srv.carried > load {
		return 0 // ranking costs a pick
	}
	for _, s := range srv.held {
		s.rank = rank(s)
	}
	for load > 0 {
		var next *session
		for _, s := range srv.held {
			if s.rank > 0 && (next == nil || s.rank > next.rank) {
				next = s
			}
		}
		if next == nil {
			return load
		}
		if len(srv.held) > 1 && next.weighed > load && b.chance.Float64()*next.weighed > load {
			return 0
		}
		load -= next.weighed
		b.enter(next, moving, srv)
		b.front.Move(next.ID)
	}
	return 0
}
