package choice

import (
	"math/rand"
	"slices"
	"time"
)

// step advances the time, delivers what is due, and does one thing at random.
func (r *rig) step(rng *rand.Rand) {
	r.now += randomTime(rng, 120*ms)
	r.expireDials()
	r.notePeak()
	r.fireTimers()
	id := ServerID(1 + rng.Intn(r.maxServers))
	switch rng.Intn(12) {
	case 0, 1, 2:
		r.arriveAtRandom(rng)
	case 3, 4, 5, 6:
		r.settleAtRandom(rng, id)
	case 7:
		r.leaveAtRandom(rng)
	case 8:
		r.changeServerAtRandom(rng, id)
	case 9:
		r.list([]ListKind{ListFull, ListCached}[rng.Intn(2)], 3+rng.Intn(r.maxServers-2))
	case 10:
		report := []func(time.Duration, ServerID, time.Duration){r.b.RecordServerDelay, r.b.ReceiveOverload}[rng.Intn(2)]
		report(r.now, id, randomTime(rng, 8*sec))
	case 11:
		toOther := rng.Intn(8) == 0
		budgets := []RetryBudget{{}, {1, 0.1, 2 * sec}, {0, 0.3, 5 * sec}}
		r.switchSettings(toOther, budgets[rng.Intn(len(budgets))])
	}
	r.checkAnswersDue()
}

func randomTime(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int63n(int64(limit)))
}

// expireDials ends the dials whose limit has passed.
func (r *rig) expireDials() {
	for _, s := range r.order {
		if s.dialing != 0 && s.outUntil <= r.now {
			r.settle(s, TimedOut)
		}
	}
}

// fireTimers calls Tick for the timers that are due; those that it sets are kept.
func (r *rig) fireTimers() {
	timers := slices.Clone(r.timers)
	r.timers = r.timers[:0]
	for _, t := range timers {
		if t.due > r.now {
			r.timers = append(r.timers, t)
		} else {
			r.b.HandleTimer(r.now, t.token)
		}
	}
}

func (r *rig) arriveAtRandom(rng *rand.Rand) {
	for range 1 + rng.Intn(6) {
		listener := ListenerID(rng.Intn(len(r.listeners)))
		client, group := Key(rng.Intn(40)), Key(rng.Intn(8))
		r.arrive(listener, client, group, randomTime(rng, 1500*ms))
	}
}

// settleAtRandom ends a session's dial with any outcome, or reports an end of a dial that there is not.
func (r *rig) settleAtRandom(rng *rand.Rand, id ServerID) {
	if len(r.order) == 0 {
		return
	}
	s := r.order[rng.Intn(len(r.order))]
	if s.dialing != 0 {
		r.settle(s, Outcome(1+rng.Intn(8)))
	} else {
		r.b.HandleDialEnd(r.now, s.id, DialNumber(s.dials), id, Failed, 0, false)
	}
}

// leaveAtRandom lets a client leave.
func (r *rig) leaveAtRandom(rng *rand.Rand) {
	if len(r.order) == 0 {
		return
	}
	if s := r.order[rng.Intn(len(r.order))]; s.answer == "" && !s.clientGone {
		s.clientGone, s.isOpen = true, false
		r.b.HandleClientGone(r.now, s.id)
	}
}

// changeServerAtRandom publishes another state of a server.
func (r *rig) changeServerAtRandom(rng *rand.Rand, id ServerID) {
	e := Entry{ID: id, Size: 2, Zone: ZoneID(id % 3), Cell: CellID(id % 4)}
	e.Status = ServerStatus(rng.Intn(3))
	e.StartKnown, e.StartedAt = true, max(r.listed[id].StartedAt, r.now-randomTime(rng, 30*sec))
	r.publish(ListDelta, []Entry{e})
}

// checkAnswersDue reports sessions for which nothing is under way.
func (r *rig) checkAnswersDue() {
	for _, s := range r.order {
		if s.answer == "" && !s.clientGone && !s.isOpen && s.dialing == 0 {
			r.fail("session %d is owed an answer and nothing is out", s.id)
		}
	}
}
