package choice

import (
	"math/rand"
	"slices"
	"time"
)

// step advances the time, ends dials and fires timers that are due, and makes one random event.
func (r *rig) step(rng *rand.Rand) {
	r.now += randomTime(rng, 120*ms)
	r.expireDials()
	r.updatePeakDensity()
	r.fireTimers()
	id := ServerID(1 + rng.Intn(r.maxServers))
	switch rng.Intn(12) {
	case 0, 1, 2:
		r.arriveAtRandom(rng)
	case 3, 4, 5, 6:
		r.endDialAtRandom(rng, id)
	case 7:
		r.leaveAtRandom(rng)
	case 8:
		r.changeServerAtRandom(rng, id)
	case 9:
		r.publishServers([]ListKind{ListFull, ListCached}[rng.Intn(2)], 3+rng.Intn(r.maxServers-2))
	case 10:
		report := []func(time.Duration, ServerID, time.Duration){r.balancer.RecordServerDelay, r.balancer.ReceiveOverload}[rng.Intn(2)]
		report(r.now, id, randomTime(rng, 8*sec))
	case 11:
		toOther := rng.Intn(8) == 0
		budgets := []RetryBudget{{}, {1, 0.1, 2 * sec}, {0, 0.3, 5 * sec}}
		r.reconfigure(toOther, budgets[rng.Intn(len(budgets))])
	}
	r.checkAnswersDue()
}

// randomTime returns a time from 0 up to the limit.
func randomTime(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int63n(int64(limit)))
}

// expireDials ends the dials whose timeout has passed.
func (r *rig) expireDials() {
	for _, s := range r.arrived {
		if s.dialing != 0 && s.dialDeadline <= r.now {
			r.endDial(s, TimedOut)
		}
	}
}

// fireTimers calls HandleTimer for the timers that are due. Timers that these calls start are kept.
func (r *rig) fireTimers() {
	timers := slices.Clone(r.timers)
	r.timers = r.timers[:0]
	for _, t := range timers {
		if t.due > r.now {
			r.timers = append(r.timers, t)
		} else {
			r.balancer.HandleTimer(r.now, t.token)
		}
	}
}

// arriveAtRandom hands up to six new sessions to the Balancer.
func (r *rig) arriveAtRandom(rng *rand.Rand) {
	for range 1 + rng.Intn(6) {
		listener := ListenerID(rng.Intn(len(r.listeners)))
		client, group := Key(rng.Intn(40)), Key(rng.Intn(8))
		r.arrive(listener, client, group, randomTime(rng, 1500*ms))
	}
}

// endDialAtRandom ends a session's dial with any outcome, or if none is out reports the end of a dial that does not exist.
func (r *rig) endDialAtRandom(rng *rand.Rand, id ServerID) {
	if len(r.arrived) == 0 {
		return
	}
	s := r.arrived[rng.Intn(len(r.arrived))]
	if s.dialing != 0 {
		r.endDial(s, Outcome(1+rng.Intn(8)))
	} else {
		r.balancer.HandleDialEnd(r.now, s.id, DialNumber(s.dials), id, Failed, 0, false)
	}
}

// leaveAtRandom lets a client leave.
func (r *rig) leaveAtRandom(rng *rand.Rand) {
	if len(r.arrived) == 0 {
		return
	}
	if s := r.arrived[rng.Intn(len(r.arrived))]; s.answer == "" && !s.clientGone {
		s.clientGone, s.isOpen = true, false
		r.balancer.HandleClientGone(r.now, s.id)
	}
}

// changeServerAtRandom publishes a delta with another status and start of a server.
func (r *rig) changeServerAtRandom(rng *rand.Rand, id ServerID) {
	entry := Entry{ID: id, Size: 2, Zone: ZoneID(id % 3), Cell: CellID(id % 4)}
	entry.Status = ServerStatus(rng.Intn(3))
	entry.StartKnown, entry.StartedAt = true, max(r.listed[id].StartedAt, r.now-randomTime(rng, 30*sec))
	r.publish(ListDelta, []Entry{entry})
}

// checkAnswersDue fails if a session has no answer and no dial is out for it.
func (r *rig) checkAnswersDue() {
	for _, s := range r.arrived {
		if s.answer == "" && !s.clientGone && !s.isOpen && s.dialing == 0 {
			r.fail("session %d has no answer, and no dial is out", s.id)
		}
	}
}
