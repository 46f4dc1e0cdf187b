// Package choice decides where the sessions of one proxy go: which server each dial tries, what a client is answered when
// no server will do, when an open session is moved, and how the list of servers is followed. It opens no sockets, reads no
// clock, starts no goroutine and depends on no map order, so that the same calls with the same random source give the same
// decisions.
//
// New makes one Balancer for one proxy. The owner of the sockets calls its exported methods, one at a time, each with the
// time since New; ApplyList comes first. The Balancer answers through the Front. Front and the types of all parameters are
// in types.go.
//
// In the ordinary case a dial goes to the ready server with the highest weight * keyHash(key, server), see topScores (the
// paper behind the algorithm calls these x and g). After each round of load samples adaptWeights may lower the weights of
// servers above a load threshold by one common factor (or raise those of servers below it, if the fleet is above full
// load). The weight of a server that has just started ramps up, see updateWeights. Everything else is an exception;
// docs/design.md says when each applies.
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

// Throughout this file a server's load is a fraction of what it can carry (1: full load), and a session's load is the
// number of cores that it keeps busy. A carried load is the sum over this proxy's sessions, in cores, too. An average
// session is a unit of load: the mean of the sessions' loads as reported last. A server is late if its messages take longer
// than their target, or if it drops sessions; else it is in time.

// Intervals and lifetimes.
const (
	roundInterval       = 2 * time.Second             // between two load samples, each of which is followed by new weights
	delayReportInterval = roundInterval / 2           // between two delays that are recorded for a server while it is late
	delayReportLifetime = delayReportInterval * 3 / 2 // a report of a message delay counts for this long
	minReportElapsed    = delayReportInterval / 2     // least divisor for the growth of the delay between two reports
	lateShareLifetime   = delayReportInterval / 4     // lifetime of the result of lateShare, which takes a pass over the fleet
	maxLateRetryPause   = 30 * roundInterval          // the longest that a proxy sends nothing to a late server
)

// Sizes of buffers, in entries.
const (
	loadSamplesKept  = 8       // for each server; after smoothing, older samples have hardly any weight
	sessionLoadsKept = 64      // reports of session loads that count in an average
	clientLoadsKept  = 1 << 14 // clients whose last load is kept for their next session; when full, all are dropped
	triedServersKept = 8       // for each session: servers that it has dialed and does not dial again
	minRingCapacity  = 8       // of a timeRing when it first grows
)

// Weights, which follow the servers' loads.
const (
	smoothingDivisor  = 3        // a new load sample has a weight of 1/smoothingDivisor (r in the paper)
	hysteresis        = 0.1      // least distance of the threshold from the mean load, as a share of it (eps in the paper)
	minKeyShare       = 1.0 / 32 // a lowered weight leaves a server this share of its keys at least
	assumedLoad       = 0.5      // load of the fleet while servers report none
	modelLearningRate = 0.25     // a model's speed falls by the factor e^-0.25 for each late report beyond the model's part
	maxModelSpeed     = 4.0      // a model's speed stays between 1/4 of the listed one and 4 times it
)

// Late servers.
const (
	maxAdmissionLoad   = 2.0 / 3 // observed load from which a server gets nothing new: messages take a third of their target
	maxDelayRatio      = 3       // a message delay counts as 3 times the target at most
	usualDelayDivisor  = 3       // messages at a server without a backlog are taken to need a third of their target
	minLoadRatio       = 0.5     // least ratio of load to capacity that two reports of a delay can show
	maxLoadRatio       = 2       // greatest such ratio
	limitMargin        = 0.85    // the limit learnt from a late server, as a share of the load that it could carry
	limitRecovery      = 0.05    // share by which a limit rises in a round, for each round since the server was late
	maxBacklogShare    = 0.4     // most of a late server's capacity that is kept free for its backlog
	dropDivisor        = 4       // a server is late if it drops more than 1/4 of its sessions within a delayReportInterval
	lateRetryIntervals = 4       // delayReportIntervals in which proxies without a session there send a late server its fair share
	lateSharePrior     = 2.0     // servers in time that lateShare adds, so that one late server of few says little
	minUtility         = 1e-9    // replaces a utility of 0 where it divides
)

// Candidates of a dial: the servers with the highest scores for the session's key, of which one with room is chosen.
const (
	maxCandidates            = 16 // for any session
	minGroupCandidates       = 2  // for a session of a group, and
	groupCandidatesPerServer = 2  // further ones for each server that the group's sessions would fill, while no server is late
)

// Split groups. A group is split where proxies are many and each observes few servers, see splitGroup.
const (
	groupParts             = 2 // parts of a split group
	splitProxiesPerServer  = 3 // proxies for each server, at least
	splitServersPerSession = 8 // servers for each session of this proxy (with 2 sessions added), at least
)

// Dials and retries.
const (
	minDialDivisor     = 16 // no dial goes out if less than 1/16 of the handshake target is left
	dialTimeDivisor    = 2  // a dial with time kept for retries gets 1/2 of the handshake target at least, if that is left
	shedRatio          = 2  // dials are shed if recent failed ones are more than twice the opened ones
	maxAvoidTimeouts   = 4  // most dial timeouts for which a server that does not answer is avoided
	toleratedErrors    = 1  // more failed dials count as unanswered, if this proxy holds no session at the server
	windowSlackDivisor = 64 // 1/64 of the retry budget's window is the slack for other clocks that measure the window
)

// Cold servers, draining servers, subscriptions and overload reports.
const (
	quotaTolerance   = 1e-9 // average sessions: rounding errors of the loads sent in a slot
	drainMoveDivisor = 2    // each round moves 1/2 of the load that a draining server carries
	backoffDoublings = 3    // the backoff doubles with each failed subscription in a row, and is at its longest from the 3rd on
	peerReportBudget = 0.01 // share of the worth of this proxy's sessions that its overload reports may cost
)

// Timer tokens.
const (
	tokenRound     TimerToken = iota // of the timer that ends a round
	tokenSubscribe                   // plus the number of the timer to subscribe, from 1: only the latest counts
)

type sessionState int

const (
	statePending    sessionState = iota // no dial is out, and the client is owed an answer
	stateDialing                        // one dial is out
	stateOpen                           // a server holds the session
	stateMoving                         // closed by Front.Move; the end of its dial is yet to be reported
	stateClientGone                     // the client has gone; the end of its dial is yet to be reported
	stateEnded                          // final
)

// validTransitions holds the states that may follow each state.
var validTransitions = [...][]sessionState{
	statePending:    {stateDialing, stateOpen, stateEnded},
	stateDialing:    {statePending, stateOpen, stateClientGone, stateEnded},
	stateOpen:       {stateMoving, stateClientGone, stateEnded},
	stateMoving:     {stateEnded},
	stateClientGone: {stateEnded},
	stateEnded:      {},
}

// listenerSettings are the settings of one listener. A session keeps those that it arrived under when they change.
type listenerSettings struct {
	Listener
	DialLimits
	averageLoad *movingAverage // cores for each of the listener's sessions; kept across a change of settings
}

type session struct {
	Arrival
	*listenerSettings
	placementKey Key // hashed with a server's id for the session's score there
	state        sessionState
	deadline     time.Duration             // for the client's answer, in time since New
	dials        int                       // dials so far
	triedServers [triedServersKept]*server // servers of the last dials, as a ring
	server       *server                   // of the dial that is out, or the holder of the open session
	countedLoad  float64                   // cores counted for it in carriedLoad of its server and of the Balancer
	moveRank     float64                   // sessions of the highest rank are moved off their server first
	listIndex    int                       // index in the dialing or held list of its server
	dialedAt     time.Duration             // of the last dial; -1: the client left an open session
	mayHaveRun   bool                      // some dial may have run the session
	firstServer  *server                   // of the first dial that may have run the session
	firstDialAt  time.Duration             // when that dial went out
}

// model holds what is learnt of the servers of one hardware model. A listed size is a number of cores or the like, and does
// not say how fast these cores are.
type model struct {
	id              ModelID
	speed           float64 // multiplies the listed sizes of its servers
	lateReports     float64 // reports of late messages from its servers, this round
	observedServers float64 // its servers of which this proxy observes anything, at the end of the round
}

type server struct {
	Entry
	model         *model
	effectiveSize float64                  // the listed size times the model's speed, scaled to the fleet's listed sum
	lastList      int                      // number of the last list that named it
	baseWeight    float64                  // weight by which servers get keys in proportion to their effective sizes
	adaptFactor   float64                  // multiplies baseWeight; adaptWeights sets it by the load samples
	weight        float64                  // baseWeight * adaptFactor, or by the ramp; as of the last list or round
	loadSamples   [loadSamplesKept]float64 // the last loads, one for each round, as a ring
	sampleCount   int                      // samples since the server's start
	dialing       []*session               // sessions that have a dial to it out
	held          []*session               // open sessions

	carriedLoad      float64       // cores, of this proxy's sessions that are dialing or held
	loadLimit        float64       // the carriedLoad that counts as full load; 0: not known, as it was never late
	messageDelay     time.Duration // that a message takes, as reported last
	delayReportedAt  time.Duration // when messageDelay was reported
	lateAt           time.Duration // when it was last seen late; 0: never
	loggedAt         time.Duration // when a line about it was last logged; 0: never
	drainNoticeUntil time.Duration // gets nothing new until then, as it has moved a session away by itself
	unansweredDials  int           // dials without an answer since it last answered one with other than an error
	failedDials      int           // dials since then that failed with an error while this proxy held no session there
	avoidUntil       time.Duration // gets nothing until then, as it did not answer
	drainListed      bool          // a list showed it draining; only a later start ends that
	drainedStart     time.Duration // the start of the process that drains; the least Duration if unknown

	// This proxy's quota of load while the server is cold, see updateSlotQuota.
	quotaSlot    int     // number of the time slot that the quota is for, plus 1; 0: none
	slotQuota    float64 // load that this proxy may send in the slot, in average sessions
	slotKeyShare float64 // share of this proxy's keys that pickColdServer sends to the server in the slot
	slotSent     float64 // used of slotQuota by dials in the slot, in average sessions

	droppedSessions int           // sessions that it dropped since dropsSince
	dropsSince      time.Duration // when that count began
}

// Balancer makes the decisions of one proxy. It is not safe for concurrent use.
type Balancer struct {
	front        Front
	rng          *rand.Rand
	listeners    []*listenerSettings // by ListenerID
	retryBudget  RetryBudget
	listSettings ListSettings
	coldSettings ColdSettings
	peerReports  PeerReportSettings

	now              time.Duration // time since New, as given by the last call
	listCount        int           // lists applied so far
	servers          []*server     // ordered by id, Gone ones too
	serverByID       map[ServerID]*server
	ready            []*server // servers that the list lets be dialed, ordered by id
	models           []*model
	bySize           []*server    // the ready servers, the smallest effective size first
	scoring          []scoringRow // of the ready servers, in the same order
	totalSize        float64      // of the ready servers, the same for listed and effective sizes
	meanAdaptFactor  float64      // of the ready servers
	loadThreshold    float64      // load up to which selectServer prefers a server, as of the last round
	sustainedDensity float64      // the most sessions of this proxy for each unit of size that servers in time can carry

	refusalLoggedAt     time.Duration // when the last line of a kind was logged, see logLimited
	listFailureLoggedAt time.Duration
	peerReportLoggedAt  time.Duration

	clientLoads         map[Key]float64           // cores, of each client's session that reported last
	groupSessions       map[Key]int               // number of sessions dialing or held, by group
	carriedLoad         float64                   // cores, of all sessions dialing or held
	sessionLoads        [sessionLoadsKept]float64 // cores, as reported last, as a ring
	sessionLoadCount    int                       // reports of session loads so far
	averageSessionLoad  float64                   // mean of sessionLoads in cores; 1 without reports
	sessions            map[SessionID]*session
	rampingServers      []*server     // the ready servers that are cold
	coldBlockedUntil    time.Duration // cold servers get nothing until then
	arrivalTimes        timeRing      // of sessions, for the retry budget
	retryTimes          timeRing      // of dials beyond their session's first, for the retry budget
	retriesBlockedUntil time.Duration // no retry until then
	recentOpened        float64       // dials that opened a session, halved each round
	recentFailed        float64       // dials that failed or timed out, halved each round
	subscribed          bool          // a subscription to the list is open
	newSessions         int           // sessions so far, without those that reconnected
	publishedReports    int           // overload reports so far
	subscribeFailures   int           // failed subscriptions in a row
	subscribeTimers     TimerToken    // timers to subscribe so far; only the last counts
	cachedLateShare     float64       // result of lateShare at lateShareComputedAt
	lateShareComputedAt time.Duration
	maxDialTimeout      time.Duration               // the longest of all listeners
	minMessageTarget    time.Duration               // the shortest of all listeners that have one
	scoreBuffer         [maxCandidates]scoredServer // result of the last topScores
}

// scoredServer is a server with its score for one session.
type scoredServer struct {
	*server
	score float64
}

// New returns a Balancer for one proxy, starts its rounds and subscribes to the list of servers if that needs it. All
// random choices are drawn from rng.
func New(front Front, rng *rand.Rand, listeners []Listener, dials DialLimits, budget RetryBudget,
	list ListSettings, cold ColdSettings, peerReports PeerReportSettings) *Balancer {
	b := &Balancer{front: front, rng: rng, serverByID: map[ServerID]*server{},
		sessions: map[SessionID]*session{}, clientLoads: map[Key]float64{}, groupSessions: map[Key]int{},
		meanAdaptFactor: 1, averageSessionLoad: 1, loadThreshold: thresholdFor(assumedLoad)}
	b.applySettings(listeners, dials, budget, list, cold, peerReports)
	b.front.StartTimer(roundInterval, tokenRound)
	b.subscribe()
	return b
}

// Reconfigure replaces the settings. What was learnt stays, and each session keeps the settings that it arrived under; a
// ListenerID belongs to the new settings from now on. If the cold settings change, all quotas for cold servers are worked
// out anew, and nothing goes there for the longer of the two overload windows, so that no window meets quotas by both
// settings.
func (b *Balancer) Reconfigure(now time.Duration, listeners []Listener, dials DialLimits, budget RetryBudget,
	list ListSettings, cold ColdSettings, peerReports PeerReportSettings) {
	b.now = now
	if windowGrowth := budget.Window - b.retryBudget.Window; windowGrowth > 0 { // retries before the old window are forgotten
		b.retriesBlockedUntil = max(b.retriesBlockedUntil, now+windowGrowth)
	}
	if cold != b.coldSettings {
		b.coldBlockedUntil = now + max(cold.OverloadWindow, b.coldSettings.OverloadWindow)
		for _, srv := range b.servers {
			srv.quotaSlot = 0
		}
	}
	subscriptionNeeded := b.listSettings.NeedsSubscription
	b.applySettings(listeners, dials, budget, list, cold, peerReports)
	b.rebuildReady()
	if !subscriptionNeeded {
		b.subscribe()
	}
}

// SessionSettings returns the present settings of a listener, to be kept with a session that arrives now.
func (b *Balancer) SessionSettings(listener ListenerID) SessionSettings {
	return SessionSettings{b.listeners[listener]}
}

// applySettings takes all settings over. Listeners that keep their name keep the average load of their sessions.
func (b *Balancer) applySettings(listeners []Listener, dials DialLimits, budget RetryBudget, list ListSettings,
	cold ColdSettings, peerReports PeerReportSettings) {
	previous := b.listeners
	b.listeners, b.retryBudget, b.listSettings, b.coldSettings, b.peerReports = nil, budget, list, cold, peerReports
	b.maxDialTimeout, b.minMessageTarget = 0, math.MaxInt64
	for _, listener := range listeners {
		next := &listenerSettings{listener, dials, &movingAverage{}}
		if index := slices.IndexFunc(previous, func(old *listenerSettings) bool {
			return old.Name == listener.Name
		}); index >= 0 {
			next.averageLoad = previous[index].averageLoad
		}
		b.listeners = append(b.listeners, next)
		b.maxDialTimeout = max(b.maxDialTimeout, listener.DialTimeout)
		if listener.MessageTarget > 0 {
			b.minMessageTarget = min(b.minMessageTarget, listener.MessageTarget)
		}
	}
}

// Weights and scores.

// keyHash hashes a key and a server to a number within (0,1), the same at all proxies (g in the paper).
func keyHash(key Key, id ServerID) float64 {
	return combineHashes(mixBits(uint64(key)), mixBits(uint64(id)+1))
}

// mixBits spreads the bits of a number over all 64 bits (the finalizer of SplitMix64).
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// combineHashes folds two numbers from mixBits into one within (0,1).
func combineHashes(key, seed uint64) float64 {
	high, low := bits.Mul64(key^seed, 0x9e3779b97f4a7c15)
	return (float64((high^low)>>11) + 0.5) / (1 << 53)
}

// scoringRow is what topScores reads of a server. All rows lie side by side in memory, as each dial reads them all.
type scoringRow struct {
	seed   uint64  // hash of the server's id
	weight float64 // as in server
}

// updateWeights sets the weight of every ready server, once for each list and round. A cold server's share of the keys
// should grow with its capacity share. With n servers a share of keys goes with about the (n-1)th power of the weight, so
// the weight follows that root of the capacity share. A cold server has the fleet's mean factor in place of its own.
func (b *Balancer) updateWeights() {
	b.meanAdaptFactor = 1
	if count := len(b.ready); count > 0 {
		sum := 0.0
		for _, srv := range b.ready {
			sum += srv.adaptFactor
		}
		b.meanAdaptFactor = sum / float64(count)
	}
	b.rampingServers = b.rampingServers[:0]
	for i, srv := range b.ready {
		srv.weight = srv.baseWeight * srv.adaptFactor
		if capacity := b.capacityShare(srv); capacity < 1 {
			b.rampingServers = append(b.rampingServers, srv)
			srv.weight = srv.baseWeight * b.meanAdaptFactor * math.Pow(capacity, 1/float64(max(len(b.ready)-1, 1)))
		}
		b.scoring[i].weight = srv.weight
	}
}

// topScores returns the ready servers with the highest scores for the session's key, in falling order: of those that
// eligible lets pass, limit at most. It takes one pass over the fleet. The result is valid until the next call.
func (b *Balancer) topScores(s *session, limit int, eligible func(*Balancer, *session, *server) bool) []scoredServer {
	top, key := b.scoreBuffer[:0], mixBits(uint64(s.placementKey))
	limit = min(limit, len(b.scoreBuffer))
	lowest := 0.0
	for i := range b.scoring {
		score := b.scoring[i].weight * combineHashes(key, b.scoring[i].seed)
		if score <= lowest || !eligible(b, s, b.ready[i]) {
			continue
		}
		if len(top) < limit {
			top = top[:len(top)+1]
		}
		position := len(top) - 1
		for ; position > 0 && top[position-1].score < score; position-- {
			top[position] = top[position-1]
		}
		top[position] = scoredServer{b.ready[i], score}
		if len(top) == limit {
			lowest = top[limit-1].score
		}
	}
	return top
}

// pick returns the eligible server with the highest score, or nil.
func (b *Balancer) pick(s *session, eligible func(*Balancer, *session, *server) bool) *server {
	if top := b.topScores(s, 1, eligible); len(top) > 0 {
		return top[0].server
	}
	return nil
}

// computeBaseWeights sets the base weights of the ready servers, so that each gets keys in proportion to its effective
// size: Ross's recursion, as in CARP (cache array routing protocol), from the smallest share of the fleet up. Only the
// difference from the next smaller share adds to a weight. An effective size is the listed one times the model's speed,
// scaled so that all together are the sum of the listed ones.
func (b *Balancer) computeBaseWeights() {
	b.bySize = append(b.bySize[:0], b.ready...)
	speedTotal := 0.0
	b.totalSize = 0
	for _, srv := range b.ready {
		b.totalSize += srv.Size
		speedTotal += srv.Size * srv.model.speed
	}
	for _, srv := range b.ready {
		srv.effectiveSize = srv.Size * srv.model.speed * b.totalSize / speedTotal
	}
	slices.SortStableFunc(b.bySize, func(a, c *server) int { return cmp.Compare(a.effectiveSize, c.effectiveSize) })
	// The product is of all weights so far; share and weight are those of the next smaller server.
	product, previousShare, weight := 1.0, 0.0, 0.0
	for i, srv := range b.bySize {
		// remaining counts the servers that have no weight yet, this one included.
		remaining, share := float64(len(b.bySize)-i), srv.effectiveSize/b.totalSize
		if share > previousShare { // servers of equal size have equal weights
			weight = math.Pow(remaining*(share-previousShare)/product+math.Pow(weight, remaining), 1/remaining)
		}
		product *= weight
		previousShare = share
		srv.baseWeight = weight
	}
}

// updateModelSpeeds guards against listed sizes that say nothing of a server's speed. Servers of a slow model are late more
// often than others with as many sessions, but each proxy observes too few servers to learn this of every one.
// So a model's speed falls with each late report that it has beyond its part, and rises with each one below, where the part
// is what it would have if all observed servers were late equally often.
func (b *Balancer) updateModelSpeeds() {
	lateReports, observedServers := 0.0, 0.0
	for _, m := range b.models {
		lateReports += m.lateReports
	}
	if lateReports == 0 {
		return
	}
	for _, srv := range b.ready {
		if len(srv.held) > 0 || srv.lateAt > b.now-roundInterval {
			srv.model.observedServers++
			observedServers++
		}
	}
	for _, m := range b.models {
		if observedServers > 0 {
			m.speed *= math.Exp(-modelLearningRate * (m.lateReports - lateReports*m.observedServers/observedServers))
			m.speed = min(max(m.speed, 1/maxModelSpeed), maxModelSpeed) // even if one model is late for long by chance
		}
		m.lateReports, m.observedServers = 0, 0
	}
	b.computeBaseWeights()
}

// smoothedLoad is the exponentially smoothed load over the kept samples (rho-bar in the paper).
func (srv *server) smoothedLoad() float64 {
	first := max(srv.sampleCount-loadSamplesKept, 0)
	load := srv.loadSamples[first%loadSamplesKept]
	for i := first + 1; i < srv.sampleCount; i++ {
		load = srv.loadSamples[i%loadSamplesKept]/smoothingDivisor + load*(smoothingDivisor-1)/smoothingDivisor
	}
	return load
}

// addLoadSample records the server's load in this round.
func (srv *server) addLoadSample(load float64) {
	srv.loadSamples[srv.sampleCount%loadSamplesKept] = load
	srv.sampleCount++
}

// thresholdFor returns the load beyond which adaptWeights acts, for a mean load of the fleet (rho in the paper): halfway
// between the mean and full load, and off the mean by the hysteresis at least. It lies above a mean up to 1, and below a
// higher one.
func thresholdFor(meanLoad float64) float64 {
	if meanLoad <= 1 {
		return max((1+meanLoad)/2, (1+hysteresis)*meanLoad)
	}
	return min((1+meanLoad)/2, (1-hysteresis)*meanLoad)
}

// adaptWeights multiplies the weights of all servers beyond the threshold by one factor, which is to bring the nearest of
// them to the threshold: the ratio of the threshold to that server's load, of which it takes the root of order
// log2(servers). A weight stays high enough for the server to keep minKeyShare of the keys that the mean factor would bring;
// a share of keys goes with the (servers-1)th power of the weight, see updateWeights.
func (b *Balancer) adaptWeights() {
	if len(b.ready) == 0 {
		return
	}
	sum, serverCount := 0.0, float64(len(b.ready))
	for _, srv := range b.ready {
		sum += srv.smoothedLoad()
	}
	meanLoad := sum / serverCount
	threshold := thresholdFor(meanLoad)
	b.loadThreshold = max(threshold, meanLoad) // above full load the threshold is below the mean
	beyond := func(srv *server) bool {
		return meanLoad <= 1 && srv.smoothedLoad() > threshold || meanLoad > 1 && srv.smoothedLoad() < threshold
	}
	nearestLoad := 0.0
	for _, srv := range b.ready {
		if beyond(srv) && (nearestLoad == 0 || (srv.smoothedLoad() < nearestLoad) == (meanLoad <= 1)) {
			nearestLoad = srv.smoothedLoad()
		}
	}
	if nearestLoad <= 0 {
		return
	}
	scale := math.Pow(threshold/nearestLoad, 1/math.Log2(serverCount))
	minFactor := math.Pow(minKeyShare, 1/(serverCount-1))
	for _, srv := range b.ready {
		if beyond(srv) {
			srv.adaptFactor = max(srv.adaptFactor*scale, minFactor*b.meanAdaptFactor)
		}
	}
}

// observedLoad returns a server's load by its learnt limit and its reported delay, whichever shows more; 0 if neither is
// known. A delay of 0 counts as a load of 1/2, one on target as full, and one of three times the target as 2.
func (b *Balancer) observedLoad(srv *server) float64 {
	load := 0.0
	if srv.loadLimit > 0 {
		load = srv.carriedLoad / srv.loadLimit
	}
	if b.now-srv.delayReportedAt < delayReportLifetime {
		load = max(load, (1+min(float64(srv.messageDelay)/float64(b.minMessageTarget), maxDelayRatio))/2)
	}
	return load
}

// estimatedLoad returns a server's load, if it is given extraLoad cores: what is observed, or what this proxy's sessions
// there suggest, if that is more. For the latter, a server that carries its fair part of this proxy's load, by capacity, is
// taken to run at assumedLoad.
func (b *Balancer) estimatedLoad(srv *server, extraLoad float64) float64 {
	if b.carriedLoad == 0 {
		return b.observedLoad(srv)
	}
	fairLoad := b.fleetShare(srv) * b.capacityShare(srv) * (b.carriedLoad + extraLoad)
	return max(b.observedLoad(srv), assumedLoad*(srv.carriedLoad+extraLoad)/fairLoad)
}

// handleLate learns from late messages and dropped sessions how much a server can carry, and moves the excess away. growth
// is the change of the message delay, in seconds for each second. While there is a backlog, the delay grows as fast as load
// exceeds capacity, and shrinks as fast as load falls short of it, so the load is 1+growth times the capacity. The backlog,
// given as the time that it takes to work off at full capacity, keeps all messages late until it is gone. So the server is
// relieved of more than the excess, to work it off within one delayReportInterval if maxBacklogShare allows.
func (b *Balancer) handleLate(srv *server, growth float64, backlog time.Duration) {
	srv.lateAt = b.now
	sustainableLoad := srv.carriedLoad / min(max(1+growth, minLoadRatio), maxLoadRatio)
	if limit := limitMargin * sustainableLoad; srv.loadLimit == 0 || limit < srv.loadLimit {
		srv.loadLimit = limit
	}
	b.logLimited(&srv.loggedAt, "server %d: messages late or sessions dropped, %d held", srv.ID, len(srv.held))
	b.relieveServer(srv, sustainableLoad*(1-min(float64(backlog)/float64(delayReportInterval), maxBacklogShare)))
}

// recordDrop counts a session whose connection broke. One that the network broke must not count against the server, so this
// is taken for a sign of overload or of a crash only if the server drops a good part of its sessions at once, or is known
// to be loaded.
func (b *Balancer) recordDrop(srv *server) {
	if b.now-srv.dropsSince > delayReportInterval {
		srv.droppedSessions, srv.dropsSince = 0, b.now
	}
	if srv.droppedSessions++; srv.droppedSessions*dropDivisor > len(srv.held) || b.observedLoad(srv) > b.loadThreshold {
		b.handleLate(srv, 0, 0)
	}
}

// fleetShare returns a server's share of the total size of the ready servers.
func (b *Balancer) fleetShare(srv *server) float64 { return srv.effectiveSize / b.totalSize }

// Cold servers.

// capacityShare returns the share of its full capacity that a server has at least: 1 once it is warm. A cold server warms
// no slower than linearly over the ramp.
func (b *Balancer) capacityShare(srv *server) float64 {
	if !srv.StartKnown || b.coldSettings.RampDuration <= 0 || b.now-srv.StartedAt >= b.coldSettings.RampDuration {
		return 1
	}
	age := max(b.now-srv.StartedAt, 0)
	return b.coldSettings.InitialShare +
		(1-b.coldSettings.InitialShare)*float64(age)/float64(b.coldSettings.RampDuration)
}

// exceedsSlotQuota guards against overloading a cold server: it reports whether the session would exceed what this proxy
// may send there now. All proxies together must send a cold server no more than a multiple of its present capacity within
// any overload window, whatever arrives, and without messages between them. So the time since the server's start, which the
// list gives to all proxies alike, is divided into slots of one overload window. Each proxy has a position in a slot's order,
// and only the first positions have a quota. A window overlaps two slots at most, whose quotas add up to what is allowed in
// a window.
func (b *Balancer) exceedsSlotQuota(s *session, srv *server) bool {
	if b.capacityShare(srv) >= 1 {
		return false
	}
	b.updateSlotQuota(srv)
	return srv.slotQuota == 0 || b.now < b.coldBlockedUntil || srv.slotSent+b.relativeLoad(s) > srv.slotQuota+quotaTolerance
}

// slotAt returns the number of a cold server's time slot at an instant, from 0.
func (b *Balancer) slotAt(srv *server, instant time.Duration) int {
	return int(max(instant-srv.StartedAt, 0) / b.coldSettings.OverloadWindow)
}

// updateSlotQuota works out this proxy's quota for a cold server, once in each slot. quota is what all proxies together may
// send in any overload window, in average sessions, by the rule at ColdSettings. The capacity of the warm server is not
// known; it is safe to assume that over its ramp it can be filled with as many sessions for its size as servers in time
// have held: sustainedDensity is that of this proxy, and all proxies are taken to be alike. The quota is dealt to the
// proxies by their positions, in units of one session. Loads differ by listener, so each pair of slots takes the next
// listener's usual load as the unit, and sessions of that load or less fit: light sessions have more slots than heavy ones.
func (b *Balancer) updateSlotQuota(srv *server) {
	slot := b.slotAt(srv, b.now)
	if srv.quotaSlot == slot+1 {
		return
	}
	srv.quotaSlot, srv.slotSent, srv.slotQuota, srv.slotKeyShare = slot+1, 0, 0, 0
	// The capacity share at the start of the slot.
	capacity := b.coldSettings.InitialShare +
		(1-b.coldSettings.InitialShare)*float64(slot)*b.coldSettings.OverloadWindow.Seconds()/b.coldSettings.RampDuration.Seconds()
	// The density is at least what runRound would work out if this proxy held one session.
	quota := b.coldSettings.OverloadMultiple * b.coldSettings.OverloadWindow.Seconds() / b.coldSettings.RampDuration.Seconds() *
		capacity * max(b.sustainedDensity, 1/maxAdmissionLoad/b.totalSize) * srv.effectiveSize * float64(b.coldSettings.ProxyCount)
	if quota < float64(b.coldSettings.ProxyCount) {
		// Few of many proxies have a session for their quota, so warm servers are taken to run at assumedLoad instead.
		quota *= maxAdmissionLoad / assumedLoad
	}
	unit := b.listenerRelativeLoad(b.listeners[(slot/2)%len(b.listeners)])
	for _, listener := range b.listeners { // a small quota is dealt to light sessions, as more of them fit
		if load := b.listenerRelativeLoad(listener); quota < 2*unit && load < unit {
			unit = load
		}
	}
	units := int(quota / unit)
	if unit <= 1 { // a part of a unit counts as one, except where the unit is heavier than an average session
		units = int(math.Ceil(quota / unit))
	}
	units = (units + 1 - slot%2) / 2 // half for each of the two slots that a window overlaps
	// Each slot begins at another position, moved on by the golden ratio, so that all proxies have their turn.
	_, offset := math.Modf(keyHash(0, srv.ID) + float64(slot)*(math.Phi-1))
	position := (b.coldSettings.ProxyIndex + int(offset*float64(b.coldSettings.ProxyCount))) % b.coldSettings.ProxyCount
	if units > position {
		srv.slotQuota = unit * float64((units-position+b.coldSettings.ProxyCount-1)/b.coldSettings.ProxyCount)
		// The share of keys that the ramp would bring if all proxies took part, times the proxies for each unit.
		srv.slotKeyShare = min(b.fleetShare(srv)*capacity*float64(b.coldSettings.ProxyCount)/float64(units), 1)
	}
}

// pickColdServer returns a cold server for a session because this proxy has a quota there, or nil. It guards against cold
// servers that stand idle: where few of many proxies have a quota, few of them would see a key for which the ramp puts the
// cold server on top. So the proxies with a quota send it the keys of the highest hashes there, in all about as many as the
// ramp would bring.
func (b *Balancer) pickColdServer(s *session) *server {
	var best *server
	bestScore := 0.0
	for _, srv := range b.rampingServers {
		hash := keyHash(s.placementKey, srv.ID)
		// Hashes are uniform within (0,1), so a share slotKeyShare of the keys passes.
		if b.exceedsSlotQuota(s, srv) || hash <= 1-srv.slotKeyShare || srv.baseWeight*hash <= bestScore {
			continue
		}
		if b.isEligible(s, srv) && !b.isTooLoaded(srv) && b.hasRoom(s, srv) {
			best, bestScore = srv, srv.baseWeight*hash
		}
	}
	return best
}

// relativeLoad returns a session's load in average sessions: its listener's average, or its own if that is more. Its own
// alone could be far too low, as a client's last report may be of a moment in which it asked for nothing.
func (b *Balancer) relativeLoad(s *session) float64 {
	listenerLoad := b.listenerRelativeLoad(s.listenerSettings)
	if s.Load > 0 && b.sessionLoadCount > 0 {
		return max(s.Load/b.averageSessionLoad, listenerLoad)
	}
	return listenerLoad
}

// listenerRelativeLoad returns the average load of a listener's sessions, in average sessions of all listeners; 1 without
// reports.
func (b *Balancer) listenerRelativeLoad(listener *listenerSettings) float64 {
	return cmp.Or(listener.averageLoad.value/b.averageSessionLoad, 1)
}

// movingAverage is the mean of the values so far, and from sessionLoadsKept values on an exponential average. count is the
// number of values, up to sessionLoadsKept.
type movingAverage struct{ value, count float64 }

func (m *movingAverage) add(value float64) {
	m.count = min(m.count+1, sessionLoadsKept)
	m.value += (value - m.value) / m.count
}

// The list of servers.

// subscribe opens the subscription to the list, if the list needs one.
func (b *Balancer) subscribe() {
	if !b.listSettings.NeedsSubscription {
		return
	}
	b.front.SubscribeList()
	b.scheduleSubscribe(b.listSettings.MaxPollInterval / 2) // in case this call is never answered
}

// ResubscribeList subscribes to the list at once, as discovery has moved or a call was given up: earlier failures and their
// backoff no longer count.
func (b *Balancer) ResubscribeList(now time.Duration) {
	b.now, b.subscribeFailures, b.subscribed = now, 0, false
	b.subscribe()
}

// scheduleSubscribe sets when to subscribe next if no subscription is open by then. Only the timer set last counts. If
// earlier ones did too, each failed call would leave two timers behind, and calls would double until discovery accepts
// none.
func (b *Balancer) scheduleSubscribe(delay time.Duration) {
	b.subscribeTimers++
	b.front.StartTimer(delay, tokenSubscribe+b.subscribeTimers)
}

// ApplyList applies a list of servers from discovery, or the failure of the subscription. After a failure it subscribes
// again with exponential backoff and jitter.
func (b *Balancer) ApplyList(now time.Duration, kind ListKind, entries []Entry) {
	b.now = now
	if kind == ListFailed {
		b.subscribed = false
		b.subscribeFailures++
		b.logLimited(&b.listFailureLoggedAt, "list: the subscription failed, %d times in a row", b.subscribeFailures)
		backoff := cmp.Or(b.listSettings.MaxRetryBackoff, b.listSettings.MaxPollInterval/4) /
			(1 << backoffDoublings) << min(b.subscribeFailures, backoffDoublings)
		b.scheduleSubscribe(backoff + time.Duration(b.rng.Int63n(int64(backoff)+1)))
		return
	}
	if kind != ListCached {
		b.subscribed, b.subscribeFailures = true, 0
	}
	b.listCount++
	for _, entry := range entries {
		b.applyEntry(entry)
	}
	for _, srv := range b.servers {
		if kind != ListDelta && srv.lastList != b.listCount {
			srv.Status = Gone
		}
	}
	b.rebuildReady()
}

// rebuildReady collects the servers that may be dialed, and works out their weights.
func (b *Balancer) rebuildReady() {
	b.ready, b.scoring = b.ready[:0], b.scoring[:0]
	for _, srv := range b.servers {
		if b.mayBeDialed(srv) {
			b.ready = append(b.ready, srv)
			b.scoring = append(b.scoring, scoringRow{seed: mixBits(uint64(srv.ID) + 1)})
		}
	}
	b.computeBaseWeights()
	b.updateWeights()
}

// applyEntry takes over the entry of one server. A server that has restarted begins with nothing learnt, but for the mean
// factor of the fleet.
func (b *Balancer) applyEntry(entry Entry) {
	srv := b.serverByID[entry.ID]
	if srv == nil {
		srv = &server{adaptFactor: b.meanAdaptFactor}
		b.serverByID[entry.ID] = srv
		index, _ := slices.BinarySearchFunc(b.servers, entry.ID, func(s *server, id ServerID) int {
			return cmp.Compare(s.ID, id)
		})
		b.servers = slices.Insert(b.servers, index, srv)
	} else if entry.Status == Ready && (srv.Status == Gone && !b.listSettings.OnlyDrainsExclude ||
		entry.StartKnown && (!srv.StartKnown || entry.StartedAt > srv.StartedAt)) { // restarted
		srv.adaptFactor = b.meanAdaptFactor
		srv.sampleCount, srv.unansweredDials, srv.failedDials, srv.avoidUntil = 0, 0, 0, 0
		srv.quotaSlot, srv.loadLimit, srv.lateAt, srv.delayReportedAt, srv.drainNoticeUntil = 0, 0, 0, 0, 0
	}
	switch {
	case entry.Status == Draining:
		srv.drainListed, srv.drainedStart = true, time.Duration(math.MinInt64) // without a start, any known one is later
		if entry.StartKnown {
			srv.drainedStart = entry.StartedAt
		}
	case srv.drainListed && entry.StartKnown && entry.StartedAt > srv.drainedStart:
		srv.drainListed = false
	case srv.drainListed && entry.Status == Ready: // an older list may be delivered again
		entry.Status = Draining
	}
	if srv.StartKnown && entry.StartedAt < srv.StartedAt {
		entry.StartKnown, entry.StartedAt = true, srv.StartedAt // an older list, or one without the start: the process is the same
	}
	srv.Entry, srv.lastList = entry, b.listCount
	srv.Size = cmp.Or(max(entry.Size, 0), 1) // 0 if the list does not say
	index := slices.IndexFunc(b.models, func(m *model) bool { return m.id == entry.Model })
	if index < 0 {
		index = len(b.models)
		b.models = append(b.models, &model{id: entry.Model, speed: 1})
	}
	srv.model = b.models[index]
}

// mayBeDialed reports whether the list lets a server be dialed. With OnlyDrainsExclude a list that shows servers as gone
// proves nothing: a server that was once listed stays, and the outcomes of dials to it decide.
func (b *Balancer) mayBeDialed(srv *server) bool {
	return srv.Status == Ready || b.listSettings.OnlyDrainsExclude && srv.Status == Gone && !srv.drainListed
}

// logLimited logs a line, at most one about the same subject within a RampDuration. loggedAt is when the last one was
// logged, 0 if never; it is updated.
func (b *Balancer) logLimited(loggedAt *time.Duration, format string, args ...any) {
	if *loggedAt == 0 || b.now-*loggedAt >= b.coldSettings.RampDuration {
		*loggedAt = b.now + 1 // not 0 even if now is
		b.front.Log(fmt.Sprintf(format, args...))
	}
}

// Sessions.

// setState is the only place where a session changes its state. It keeps the lists and loads of servers up to date. It
// panics on a transition that is not valid. srv is the server of the new state, nil if that has none.
func (b *Balancer) setState(s *session, newState sessionState, srv *server) {
	if !slices.Contains(validTransitions[s.state], newState) {
		panic(fmt.Sprintf("session %d: invalid transition from state %d to state %d", s.ID, s.state, newState))
	}
	if oldList := s.serverList(); oldList != nil {
		b.countLoad(s, 0)
		if b.groupSessions[s.Group]--; b.groupSessions[s.Group] == 0 {
			delete(b.groupSessions, s.Group)
		}
		last := len(*oldList) - 1
		(*oldList)[s.listIndex] = (*oldList)[last]
		(*oldList)[s.listIndex].listIndex = s.listIndex
		*oldList = (*oldList)[:last]
	}
	s.state, s.server = newState, srv
	if newList := s.serverList(); newList != nil {
		b.countLoad(s, b.expectedLoad(s))
		b.groupSessions[s.Group]++
		s.listIndex = len(*newList)
		*newList = append(*newList, s)
	}
	if newState == stateEnded {
		delete(b.sessions, s.ID)
	}
}

// countLoad counts a session's load, in cores, in place of what was counted for it before.
func (b *Balancer) countLoad(s *session, load float64) {
	s.server.carriedLoad += load - s.countedLoad
	b.carriedLoad += load - s.countedLoad
	s.countedLoad = load
}

// expectedLoad returns a session's load in cores, or the average of all sessions if its own is not known.
func (b *Balancer) expectedLoad(s *session) float64 {
	if s.Load > 0 {
		return s.Load
	}
	return b.averageSessionLoad
}

// serverList returns the list of its server that holds the session in its present state, or nil.
func (s *session) serverList() *[]*session {
	switch {
	case s.state == stateDialing || s.state == stateClientGone && s.dialedAt >= 0:
		return &s.server.dialing
	case s.state == stateOpen:
		return &s.server.held
	}
	return nil
}

// PlaceSession takes a new session and dials a server for it, or gives its final answer. The error is a fault of the
// caller.
func (b *Balancer) PlaceSession(now time.Duration, arrival Arrival) error {
	s, err := b.addSession(now, arrival)
	if err != nil {
		return err
	}
	if b.retryBudget.Window > 0 { // adopted sessions do not count as arrivals
		b.arrivalTimes.add(now, now-b.retryBudget.Window)
	}
	b.dialNext(s)
	return nil
}

// AdoptSession takes a session that is already open at a server, such as one that another proxy opened. The error is a
// fault of the caller.
func (b *Balancer) AdoptSession(now time.Duration, arrival Arrival, holder ServerID) error {
	srv := b.serverByID[holder]
	if srv == nil {
		return fmt.Errorf("session %d is held by server %d, which no list has named", arrival.ID, holder)
	}
	s, err := b.addSession(now, arrival)
	if err != nil {
		return err
	}
	s.dials, s.mayHaveRun = 1, true // HandleDialEnd takes it to have dial 0
	b.setState(s, stateOpen, srv)
	return nil
}

// addSession makes a session that is pending. The error is a fault of the caller.
func (b *Balancer) addSession(now time.Duration, arrival Arrival) (*session, error) {
	b.now = now
	settings := arrival.Settings.listener
	if settings == nil {
		if int(arrival.Listener) >= len(b.listeners) {
			return nil, fmt.Errorf("session %d: listener %d does not exist, there are %d",
				arrival.ID, arrival.Listener, len(b.listeners))
		}
		settings = b.listeners[arrival.Listener]
	}
	if b.sessions[arrival.ID] != nil {
		return nil, fmt.Errorf("session %d comes twice", arrival.ID)
	}
	if arrival.Load == 0 {
		arrival.Load = b.clientLoads[arrival.Client]
	}
	if !arrival.Reconnected {
		b.newSessions++
	}
	s := &session{Arrival: arrival, listenerSettings: settings, deadline: now + arrival.TimeLeft}
	s.placementKey = cmp.Or(arrival.Group, arrival.Client, Key(arrival.ID))
	if arrival.Group != 0 {
		s.placementKey = b.splitGroup(arrival.Group, cmp.Or(arrival.Client, Key(arrival.ID)))
	}
	b.sessions[arrival.ID] = s
	return s, nil
}

// splitGroup returns the key by which a session of a group is placed: the group's, or where a group is split by its
// clients, the key of the client's part. Groups are split where proxies are several times the servers and each observes few
// of them, one for each of its sessions at most; two are added, so no group is split over fewer than 16 servers. Such a
// proxy can't see which groups are large, all proxies would send a group to its one server however large it is, and few
// would learn that this server is late. The first part has the group's own key, the other another order of servers. The
// price is that each server that holds sessions of a group has the group's cost.
func (b *Balancer) splitGroup(group, client Key) Key {
	if b.coldSettings.ProxyCount < splitProxiesPerServer*len(b.ready) ||
		(len(b.sessions)+2)*splitServersPerSession > len(b.ready) {
		return group
	}
	if part := int(combineHashes(mixBits(uint64(client)), mixBits(uint64(group))) * groupParts); part > 0 {
		return Key(mixBits(uint64(group) + uint64(part)))
	}
	return group
}

// dialNext dials the best server for a session, or gives the session up.
func (b *Balancer) dialNext(s *session) {
	timeout := s.deadline - b.now
	if s.dials >= s.MaxDials || timeout < s.HandshakeTarget/minDialDivisor || !b.mayDialAgain(s) || b.shouldShed(s) ||
		s.dials > 0 && !b.hasRetryBudget() {
		b.giveUp(s)
		return
	}
	var srv *server
	if s.MidFlow && s.dials == 0 {
		// The holder, which alone can continue the session, is most likely the top score. Its load does not matter.
		srv = b.pick(s, (*Balancer).isEligibleHolder)
	}
	if srv == nil {
		srv = b.pickColdServer(s)
	}
	if srv == nil {
		srv = b.selectServer(s)
	}
	if srv == nil && !slices.ContainsFunc(b.ready, b.isTrusted) {
		// With no server that has answered, the fault may be this proxy's.
		srv = b.pick(s, (*Balancer).isEligibleLastResort)
	}
	if srv == nil {
		b.logLimited(&b.refusalLoggedAt, "no server has room, refusing; %d ready", len(b.ready))
		b.giveUp(s)
		return
	}
	if s.Idempotency == Idempotent && b.hasRetryBudget() { // any other dial gets all the time that is left
		timeout = max(timeout/time.Duration(s.MaxDials-s.dials), min(timeout, s.HandshakeTarget/dialTimeDivisor))
	}
	if b.capacityShare(srv) < 1 {
		srv.slotSent += b.relativeLoad(s)
	}
	if s.dials > 0 && b.retryBudget.Window > 0 {
		b.retryTimes.add(b.now, b.now-b.retryBudget.Window)
	}
	s.triedServers[s.dials%len(s.triedServers)] = srv
	s.dials++
	s.dialedAt = b.now
	b.setState(s, stateDialing, srv)
	b.front.Dial(s.ID, srv.ID, timeout)
}

// selectServer returns the server with the highest score that has room and a load up to the threshold, out of the next few.
// Without any, it returns one that has room: the least loaded if the session's load is known, else that with the highest
// score; or nil. With the highest score alone, a hot group would fill its server while others stand idle. Each server that
// holds sessions of a group has the group's cost, so no more than candidateCount servers are considered. A client that
// reconnects, probably moved off a late server, skips a server that this proxy does not observe, with the probability that
// an observed one is late: otherwise such clients would all go to the few servers that nobody has seen late yet, and make
// them late.
func (b *Balancer) selectServer(s *session) *server {
	var fallback *server
	for _, candidate := range b.topScores(s, b.candidateCount(s), (*Balancer).isEligible) {
		switch srv := candidate.server; {
		case b.exceedsSlotQuota(s, srv):
		case b.isTooLoaded(srv) || !b.hasRoom(s, srv):
		case s.Reconnected && s.state != stateOpen && len(srv.held) == 0 && b.rng.Float64() < b.lateShare():
		case b.estimatedLoad(srv, s.Load) <= b.loadThreshold:
			return srv
		case fallback == nil || s.Load > 0 && b.estimatedLoad(srv, s.Load) < b.estimatedLoad(fallback, s.Load):
			fallback = srv
		}
	}
	return fallback
}

// lateShare returns the share of late servers among those that this proxy observes: those that hold a session of its own,
// and those that are too loaded. lateSharePrior servers in time are added.
func (b *Balancer) lateShare() float64 {
	if b.now-b.lateShareComputedAt > lateShareLifetime {
		lateServers, timelyServers := 0.0, lateSharePrior
		for _, srv := range b.ready {
			if b.isTooLoaded(srv) {
				lateServers++
			} else if len(srv.held) > 0 {
				timelyServers++
			}
		}
		b.cachedLateShare, b.lateShareComputedAt = lateServers/(lateServers+timelyServers), b.now
	}
	return b.cachedLateShare
}

// candidateCount returns how many servers of the highest scores a session may go to: in proportion to the number of servers
// that its group would fill, which is the group's share of this proxy's sessions times the servers. Of few sessions, one of
// the group says little, so as many others as there are servers are added. The more servers are late, the fewer: each
// further server that holds sessions of the group makes the overload worse.
func (b *Balancer) candidateCount(s *session) int {
	if s.Group == 0 {
		return maxCandidates
	}
	filledServers := float64(len(b.ready)*b.groupSessions[s.Group]) / float64(len(b.sessions)+len(b.ready))
	return minGroupCandidates + int(math.Ceil(groupCandidatesPerServer*filledServers*(1-b.lateShare())))
}

// inDedupScope reports whether the server may get the session again: one that may have run, and relies on servers to drop
// repeats, must stay with the zone or cell of its first server. This holds for every dial, whatever exception leads to it.
func (b *Balancer) inDedupScope(s *session, srv *server) bool {
	return !s.mayHaveRun || s.Idempotency != IdempotencyKeyed ||
		(s.listenerSettings.DedupScope != DedupZone || srv.Zone == s.firstServer.Zone) &&
			(s.listenerSettings.DedupScope != DedupCell || srv.Cell == s.firstServer.Cell)
}

// isUntriedInScope reports whether the session's earlier dials allow the server: it was not dialed, and is inDedupScope.
func (b *Balancer) isUntriedInScope(s *session, srv *server) bool {
	return !slices.Contains(s.triedServers[:min(s.dials, len(s.triedServers))], srv) && b.inDedupScope(s, srv)
}

// isEligible reports whether an ordinary dial of the session may go to the server: it answers, as far as is known, and
// earlier dials allow it. An open session, which is to be moved, may go to any that answers but its own.
func (b *Balancer) isEligible(s *session, srv *server) bool {
	if s.state == stateOpen { // its client would come back as a new session, with no server tried
		return srv != s.server && b.isTrusted(srv)
	}
	return b.isTrusted(srv) && b.isUntriedInScope(s, srv)
}

// isEligibleLastResort reports whether a session may go to a server that has not answered: nothing else speaks against it.
func (b *Balancer) isEligibleLastResort(s *session, srv *server) bool {
	return !b.isTooLoaded(srv) && b.isUntriedInScope(s, srv) && !b.exceedsSlotQuota(s, srv)
}

// isEligibleHolder reports whether a server may hold a mid-flow session, even if it is too loaded.
func (b *Balancer) isEligibleHolder(s *session, srv *server) bool {
	return b.inDedupScope(s, srv) && !b.exceedsSlotQuota(s, srv)
}

// hasRoom reports whether the server would stay within its load limit with the session. One without sessions of this proxy
// always has room.
func (b *Balancer) hasRoom(s *session, srv *server) bool {
	return srv.loadLimit == 0 || srv.carriedLoad == 0 || srv.carriedLoad+b.expectedLoad(s) <= srv.loadLimit
}

// isTooLoaded reports whether a server gets nothing new, as it would serve none of its sessions in time if it had more: its
// observed load is too high, or it was late a short while ago. A proxy that holds no session at a late server observes
// nothing of it. If many such proxies all tried it again every few seconds, they would keep it late. So such a proxy pauses
// for longer, the smaller its own fair number of sessions there is.
func (b *Balancer) isTooLoaded(srv *server) bool {
	pause := delayReportInterval
	if len(srv.held) == 0 {
		fairSessions := b.fleetShare(srv) * float64(max(len(b.sessions), 1))
		pause = min(time.Duration(lateRetryIntervals*float64(delayReportInterval)/fairSessions), maxLateRetryPause)
	}
	return srv.lateAt > 0 && b.now-srv.lateAt < pause || b.observedLoad(srv) >= maxAdmissionLoad
}

// isTrusted reports whether a server is expected to answer. It is false for a while after a dial went unanswered, and from
// then on for all but one dial at a time until one is answered. It guards against a hung server, which stays in the list.
// It is false for a while after a drain notice, too.
func (b *Balancer) isTrusted(srv *server) bool {
	return b.now >= max(srv.avoidUntil, srv.drainNoticeUntil) && (srv.unansweredDials == 0 || len(srv.dialing) == 0)
}

// shouldShed guards against dials that keep down something that all servers need to open a session, such as a shared store.
// If more than two in three recent dials failed or timed out, whatever the server, some dials are given up by chance, so
// that about three go out for each that opens. A few bad servers alone never cause that. Mid-flow sessions
// are not shed.
func (b *Balancer) shouldShed(s *session) bool {
	return !s.MidFlow && b.recentFailed > shedRatio*b.recentOpened &&
		b.rng.Float64() < (b.recentFailed-shedRatio*b.recentOpened)/(b.recentFailed+1)
}

// hasRetryBudget reports whether the retry budget of the window that ends now allows one more dial. The window is taken a
// little longer for retries and a little shorter for arrivals, as whoever checks the budget may have a slightly different
// clock.
func (b *Balancer) hasRetryBudget() bool {
	window, slack := b.retryBudget.Window, b.retryBudget.Window/windowSlackDivisor
	if window == 0 {
		return true
	}
	allowed := b.retryBudget.FreeRetries +
		b.retryBudget.RetriesPerSession*float64(b.arrivalTimes.countSince(b.now-window+slack))
	return b.now >= b.retriesBlockedUntil && float64(b.retryTimes.countSince(b.now-window-slack)+1) <= allowed
}

// timeRing holds the times of events within a window, in order. It grows as needed.
type timeRing struct {
	times        []time.Duration
	first, count int // index of the first time, and how many there are
}

// add appends an instant and drops those before windowStart by more than the slack for other clocks.
func (r *timeRing) add(instant, windowStart time.Duration) {
	for r.count > 0 && r.times[r.first] < windowStart-(instant-windowStart)/windowSlackDivisor {
		r.first, r.count = (r.first+1)%len(r.times), r.count-1
	}
	if r.count == len(r.times) {
		grown := make([]time.Duration, max(2*r.count, minRingCapacity))
		copy(grown[copy(grown, r.times[r.first:]):], r.times[:r.first])
		r.times, r.first = grown, 0
	}
	r.times[(r.first+r.count)%len(r.times)] = instant
	r.count++
}

// countSince returns how many times are at start or later.
func (r *timeRing) countSince(start time.Duration) int {
	return r.count - sort.Search(r.count, func(i int) bool { return r.times[(r.first+i)%len(r.times)] >= start })
}

// mayDialAgain reports whether a session may be dialed again after dials that may have run it.
func (b *Balancer) mayDialAgain(s *session) bool {
	return !s.mayHaveRun || s.Idempotency == Idempotent ||
		s.Idempotency == IdempotencyKeyed && b.now-s.firstDialAt < s.DedupWindow
}

// giveUp ends a session with its final answer, at once. Refuse promises that the session did no harm and can be tried
// again, so a session that may have run is aborted, unless it is idempotent or every server drops its repeats. The advised
// pause is one to two handshake targets, by chance, so that clients don't all come back at once, and MaxRetryAfter at most.
func (b *Balancer) giveUp(s *session) {
	b.setState(s, stateEnded, nil)
	if s.mayHaveRun && (s.Idempotency == NonIdempotent ||
		s.Idempotency == IdempotencyKeyed && s.listenerSettings.DedupScope != DedupAll) {
		b.front.Abort(s.ID)
		return
	}
	retryAfter := time.Duration(float64(s.HandshakeTarget) * (1 + b.rng.Float64()))
	b.front.Refuse(s.ID, min(retryAfter, s.MaxRetryAfter))
}

// MaySend reports whether the first line of the session's dial may be sent, now that its connection is established. It
// guards against connections that take long: the window for repeats, or the slot of a cold server that the dial was counted
// in, may have passed. If a retry's connection took longer than the slack of the retry budget's window, the retry is
// counted again now. If the session has no dial out, the answer is true.
func (b *Balancer) MaySend(now time.Duration, id SessionID) bool {
	b.now = now
	s := b.sessions[id]
	if s == nil || s.state != stateDialing {
		return true
	}
	if !b.mayDialAgain(s) {
		return false
	}
	srv := s.server
	if b.capacityShare(srv) < 1 && b.slotAt(srv, s.dialedAt) != b.slotAt(srv, now) {
		if b.exceedsSlotQuota(s, srv) {
			return false
		}
		srv.slotSent += b.relativeLoad(s)
	}
	if s.dials > 1 && b.retryBudget.Window > 0 && now-s.dialedAt > b.retryBudget.Window/windowSlackDivisor {
		b.retryTimes.add(now, now-b.retryBudget.Window)
	}
	return true
}

// HandleOpened records that a dial's server has accepted the session. A call for an earlier dial is ignored. The server and
// the time that the dial took have no effect.
func (b *Balancer) HandleOpened(now time.Duration, id SessionID, _ ServerID, dial DialNumber, _ time.Duration) {
	b.now = now
	s := b.sessions[id]
	if s == nil || s.state != stateDialing || int(dial) != s.dials-1 {
		return
	}
	s.mayHaveRun = true
	s.server.recordAnswer()
	b.recentOpened++
	b.setState(s, stateOpen, s.server)
}

// HandleDialEnd records how a dial ended. With sessionEnded, or once the session was opened or its client has gone, the
// session ends too. Otherwise the next dial goes out, or the session gets its final answer. A call for an earlier dial is
// ignored. The time that the dial took has no effect.
func (b *Balancer) HandleDialEnd(now time.Duration, id SessionID, dial DialNumber, serverID ServerID, outcome Outcome,
	_ time.Duration, sessionEnded bool) {
	b.now = now
	srv := b.serverByID[serverID]
	s := b.sessions[id]
	if s == nil || srv == nil || int(dial) != s.dials-1 {
		return
	}
	previous := s.state
	if outcome == ConnectionLost {
		b.recordDrop(srv)
	}
	if sessionEnded || previous != stateDialing {
		if previous == stateDialing && outcome == Accepted {
			srv.recordAnswer()
		}
		b.setState(s, stateEnded, nil)
		return
	}
	if !outcome.ProvesNotRun() && !s.mayHaveRun {
		s.mayHaveRun, s.firstServer, s.firstDialAt = true, srv, s.dialedAt
	}
	b.setState(s, statePending, nil)
	if outcome == ServerFull {
		srv.recordAnswer()
	}
	if outcome == TimedOut || outcome == Failed {
		b.recentFailed++
	}
	if outcome == Failed && len(srv.held) == 0 {
		srv.failedDials++
	}
	if outcome == TimedOut || outcome == Unreachable ||
		outcome == Failed && srv.failedDials > toleratedErrors { // what only answers with errors may be no server at all
		srv.unansweredDials++
		srv.avoidUntil = now + b.maxDialTimeout*time.Duration(min(srv.unansweredDials, maxAvoidTimeouts))
		if srv.unansweredDials == 2 {
			b.logLimited(&srv.loggedAt, "server %d: two dials in a row without an answer, avoided", srv.ID)
		}
	}
	b.dialNext(s)
}

// recordAnswer records that the server has answered a dial with other than an error, so it is neither hung nor no server at all.
func (srv *server) recordAnswer() {
	srv.unansweredDials, srv.failedDials, srv.avoidUntil = 0, 0, 0
}

// HandleDrainNotice records that a server has moved a session away by itself. It is draining, though the list may show that
// much later if discovery is overloaded. The server gets nothing new for one MaxPollInterval, within which a list must have
// come.
func (b *Balancer) HandleDrainNotice(now time.Duration, serverID ServerID) {
	b.now = now
	if srv := b.serverByID[serverID]; srv != nil {
		srv.drainNoticeUntil = now + b.listSettings.MaxPollInterval
	}
}

// HandleClientGone records that a session's client has gone, or that its answer is overdue. A dial that is out still counts
// at its server until it ends.
func (b *Balancer) HandleClientGone(now time.Duration, id SessionID) {
	b.now = now
	if s := b.sessions[id]; s != nil && (s.state == stateDialing || s.state == stateOpen) {
		if s.state == stateOpen {
			s.dialedAt = -1 // no dial is out
		}
		b.setState(s, stateClientGone, s.server)
	}
}

// Reports of load and delay.

// RecordSessionLoad records a session's load, in cores. It also counts for the client's next session and in the averages.
// The number of the dial has no effect.
func (b *Balancer) RecordSessionLoad(now time.Duration, id SessionID, _ DialNumber, load float64) {
	b.now = now
	if s := b.sessions[id]; s != nil {
		s.Load = load
		if len(b.clientLoads) >= clientLoadsKept {
			clear(b.clientLoads)
		}
		b.clientLoads[s.Client] = load
		b.sessionLoads[b.sessionLoadCount%sessionLoadsKept] = load
		b.sessionLoadCount++
		sum, n := 0.0, min(b.sessionLoadCount, sessionLoadsKept)
		for _, load := range b.sessionLoads[:n] {
			sum += load
		}
		b.averageSessionLoad = cmp.Or(sum/float64(n), 1)
		s.averageLoad.add(load)
		if s.serverList() != nil {
			b.countLoad(s, load)
		}
	}
}

// RecordServerDelay records how long a server takes to answer a message. If that is late, sessions may be moved off the
// server and an overload report published. Without a recent report to compare with, messages are taken to have been without
// a backlog one delayReportInterval ago.
func (b *Balancer) RecordServerDelay(now time.Duration, serverID ServerID, delay time.Duration) {
	b.now = now
	if srv := b.serverByID[serverID]; srv != nil {
		previousDelay, elapsed := b.minMessageTarget/usualDelayDivisor, delayReportInterval
		if now-srv.delayReportedAt < delayReportLifetime {
			previousDelay, elapsed = srv.messageDelay, max(now-srv.delayReportedAt, minReportElapsed)
		}
		srv.messageDelay, srv.delayReportedAt = delay, now
		if delay >= b.minMessageTarget {
			srv.model.lateReports++
			b.maybePublishOverload(srv)
			b.handleLate(srv, float64(delay-previousDelay)/float64(elapsed), delay-b.minMessageTarget/usualDelayDivisor)
		}
	}
}

// maybePublishOverload publishes an overload report, by chance so that about one of the proxies that observe a late server
// does. It does so only if reports are enabled, and cost no more than a small share of what this proxy's sessions are
// worth.
func (b *Balancer) maybePublishOverload(srv *server) {
	otherProxies := float64(b.coldSettings.ProxyCount - 1)
	// About as many proxies as there are sessions at the server, if all proxies hold as many as this one.
	observers := b.fleetShare(srv) * float64(len(b.sessions)*b.coldSettings.ProxyCount)
	affordable := float64(b.publishedReports+1)*otherProxies*b.peerReports.CostPerMessage <=
		peerReportBudget*float64(b.newSessions)
	if b.peerReports.Enabled && affordable && b.rng.Float64()*observers < 1 {
		b.publishedReports++
		b.front.PublishOverload(srv.ID, srv.messageDelay)
	}
}

// ReceiveOverload records another proxy's overload report. It counts only if this proxy holds no session at the server, and
// so has no reports of its own.
func (b *Balancer) ReceiveOverload(now time.Duration, serverID ServerID, delay time.Duration) {
	b.now = now
	srv := b.serverByID[serverID]
	if srv == nil || !b.mayBeDialed(srv) {
		b.logLimited(&b.peerReportLoggedAt, "a word of server %d is ignored, as the list does not have it ready", serverID)
		return
	}
	if len(srv.held) == 0 {
		srv.messageDelay, srv.delayReportedAt = delay, now
	}
}

// HandleTimer is called when a timer started with Front.StartTimer fires.
func (b *Balancer) HandleTimer(now time.Duration, token TimerToken) {
	b.now = now
	switch token {
	case tokenSubscribe + b.subscribeTimers:
		if !b.subscribed {
			b.subscribe()
		}
	case tokenRound:
		b.front.StartTimer(roundInterval, tokenRound)
		b.runRound()
	}
}

// runRound takes a load sample of each ready server, lets load limits recover, moves sessions off draining servers and
// updates the weights.
func (b *Balancer) runRound() {
	b.recentOpened, b.recentFailed = b.recentOpened/2, b.recentFailed/2
	timelySessions, timelySize := 0.0, 0.0 // of the warm servers in time
	timelyCount := 0
	for _, srv := range b.ready {
		if b.capacityShare(srv) >= 1 && (srv.lateAt == 0 || b.now-srv.lateAt >= roundInterval) {
			timelySessions += float64(len(srv.held))
			timelySize += srv.effectiveSize
			timelyCount++
		}
		if b.now-srv.lateAt > roundInterval {
			// A limit learnt in a short jam, or before this proxy took the clients of a lost one, must not bind for long.
			srv.loadLimit *= 1 + limitRecovery*float64((b.now-srv.lateAt)/roundInterval)
		}
		srv.addLoadSample(b.estimatedLoad(srv, 0))
	}
	if timelyCount == len(b.ready) { // while no server is late, they run at maxAdmissionLoad at most, and could hold more
		timelySessions /= maxAdmissionLoad
	}
	if timelySize > b.totalSize/2 {
		b.sustainedDensity = max(b.sustainedDensity, timelySessions/timelySize)
	}
	for _, srv := range b.servers {
		if srv.drainListed { // sessions that it still holds when it stops are cut off
			b.moveSessions(srv, srv.carriedLoad/drainMoveDivisor, func(*session) float64 { return 1 })
		}
	}
	b.updateModelSpeeds()
	b.adaptWeights()
	b.updateWeights()
}

// relieveServer moves the load that a server carries beyond targetLoad, in cores. First go sessions for which another
// server has room, in the order in which falling weights would move their keys, so that groups leave whole and all proxies
// choose alike. Above full load no session is served in time, so what remains is moved too, the most load for the least
// utility first: the rank of a session is the ratio of the two.
func (b *Balancer) relieveServer(srv *server, targetLoad float64) {
	remaining := b.moveSessions(srv, srv.carriedLoad-targetLoad, func(s *session) float64 {
		target := b.selectServer(s)
		if target == nil || b.estimatedLoad(target, s.Load) > b.loadThreshold {
			return 0
		}
		// The ratio of the scores: the key moves once the weight of srv falls by this factor.
		return target.weight * keyHash(s.placementKey, target.ID) / (srv.weight * keyHash(s.placementKey, srv.ID))
	})
	b.moveSessions(srv, remaining, func(s *session) float64 {
		return s.countedLoad / max(s.Utility, minUtility)
	})
}

// moveSessions moves sessions of the given load, in cores, off a server: those of the highest rank first, none of rank 0.
// It returns the load for which there were no sessions. A session with more load than is left to move goes by chance, in
// proportion: each of many proxies may hold just one session there, and all together must move about the excess.
func (b *Balancer) moveSessions(srv *server, load float64, rank func(*session) float64) float64 {
	if load <= 0 {
		return 0
	}
	if len(srv.held) == 1 && b.rng.Float64()*srv.carriedLoad > load {
		return 0 // drawn before ranking, which costs a pass over the fleet
	}
	for _, s := range srv.held {
		s.moveRank = rank(s)
	}
	for load > 0 {
		var candidate *session
		for _, s := range srv.held {
			if s.moveRank > 0 && (candidate == nil || s.moveRank > candidate.moveRank) {
				candidate = s
			}
		}
		if candidate == nil {
			return load
		}
		if len(srv.held) > 1 && candidate.countedLoad > load && b.rng.Float64()*candidate.countedLoad > load {
			return 0
		}
		load -= candidate.countedLoad
		b.setState(candidate, stateMoving, srv)
		b.front.Move(candidate.ID)
	}
	return 0
}
