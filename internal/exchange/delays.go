package exchange

import (
	"time"

	"chalkferry/choice"
)

// DelayTracker decides which message delays are recorded in the Balancer, and distinguishes delays from loads in LOAD lines. While
// a server's delays are over a threshold it records one per interval, the pace at which servers report delays themselves, and
// one more once they are back under the threshold.
type DelayTracker struct {
	balancer        *choice.Balancer
	reportThreshold time.Duration // a third of the shortest message target; longer delays are recorded
	reportInterval  time.Duration // at most one long delay is recorded per server and interval; also the period of servers' reports
	lastReports     map[choice.ServerID]delayReport

	// Whether LOAD lines carry the load of a session, the message delay of a server, or both.
	reportsLoad, reportsDelay bool
	// reportPhases has the time within an interval at which a server reports delays, where its lines carry both.
	reportPhases map[choice.ServerID]time.Duration
}

// delayReport is the last delay that was recorded for a server.
type delayReport struct {
	recordedAt time.Duration
	isOver     bool // the delay was over the threshold
}

// NewDelayTracker makes a tracker that records delays over reportThreshold, at most one per server and reportInterval. The flags
// say what the LOAD lines of servers carry.
func NewDelayTracker(reportThreshold, reportInterval time.Duration, reportsLoad, reportsDelay bool) *DelayTracker {
	return &DelayTracker{reportThreshold: reportThreshold, reportInterval: reportInterval, lastReports: map[choice.ServerID]delayReport{}, reportsLoad: reportsLoad,
		reportsDelay: reportsDelay, reportPhases: map[choice.ServerID]time.Duration{}}
}

// reconfigure applies new settings. Phases are dropped: they hold only for servers whose lines carry loads and delays.
func (d *DelayTracker) reconfigure(reportThreshold time.Duration, reportsLoad, reportsDelay bool) {
	d.reportThreshold, d.reportsLoad, d.reportsDelay = reportThreshold, reportsLoad, reportsDelay
	clear(d.reportPhases)
}

const (
	// maxDelayIntervals is the longest delay, in report intervals, that a LOAD line may carry; a greater number is a load.
	maxDelayIntervals = 10
	// phaseToleranceDivisor divides the report interval to give the most by which a report may be off its phase.
	phaseToleranceDivisor = 64
)

// loadReports is what a server has reported in LOAD lines on one connection, delays excepted.
type loadReports struct {
	count    int           // numbers taken for loads
	lastAt   time.Duration // when the last one came
	last     float64       // microseconds of work per second
	previous float64       // the one before it
}

// isDelay reports whether the number of a LOAD line is a delay. Servers send the load of a session, in microseconds of work per
// second, and the delay of their messages, in milliseconds, in the same form. A server reports its delay once per interval,
// all on one connection; it reports a load once the session is open, and then at any time. So the second of two numbers that are
// about one interval apart is a delay, as is any later number of that server at the same phase of the interval. isPhaseNew is
// set if the phase has just been found, which means that the connection's previous number was a delay too.
func (d *DelayTracker) isDelay(now time.Duration, server choice.ServerID, reports *loadReports, level float64) (isDelay, isPhaseNew bool) {
	if !d.reportsDelay || !d.reportsLoad {
		return d.reportsDelay, false
	}
	maxLevel := maxDelayIntervals * float64(d.reportInterval/time.Millisecond)
	if reports.count == 0 || level > maxLevel {
		return false, false
	}
	if phase, known := d.reportPhases[server]; known && d.isNearMultiple(now-phase) {
		return true, false
	}
	if gap := now - reports.lastAt; reports.count > 1 && reports.last <= maxLevel && gap < d.reportInterval*3/2 && d.isNearMultiple(gap) {
		d.reportPhases[server] = now % d.reportInterval
		return true, true
	}
	return false, false
}

// mayBeDelay reports whether a number that is not known to be a delay looks like the first one that a server reports: small for
// a load, and no more than a delay grows to within one interval. The delay returned is capped below the message target: it keeps
// new sessions away from the server for a moment, and moves none if the number was a load after all.
func (d *DelayTracker) mayBeDelay(reports *loadReports, level float64) (time.Duration, bool) {
	delay := time.Duration(level * float64(time.Millisecond))
	return min(delay, d.maxInTimeDelay()), d.reportsDelay && d.reportsLoad && reports.count > 0 && delay > d.reportThreshold && delay < d.reportInterval/4
}

// maxInTimeDelay returns the longest delay that is still below the message target, which is three times the threshold.
func (d *DelayTracker) maxInTimeDelay() time.Duration { return 3*d.reportThreshold - time.Millisecond }

// isNearMultiple reports whether a duration is about a whole number of report intervals.
func (d *DelayTracker) isNearMultiple(duration time.Duration) bool {
	duration = (duration + d.reportInterval/2) % d.reportInterval
	return (duration - d.reportInterval/2).Abs() <= d.reportInterval/phaseToleranceDivisor
}

// RecordAnswer takes the delay of a message that was answered, or that is still out, and records it in the Balancer where due.
func (d *DelayTracker) RecordAnswer(now time.Duration, server choice.ServerID, delay time.Duration) {
	last, known := d.lastReports[server]
	isOver := delay > d.reportThreshold
	switch {
	case isOver && known && last.isOver && now-last.recordedAt < d.reportInterval:
		return
	case !isOver && !last.isOver:
		return
	case !isOver && now-last.recordedAt < d.reportInterval/2: // one fast message among slow ones
		return
	}
	d.lastReports[server] = delayReport{now, isOver}
	d.balancer.RecordServerDelay(now, server, delay)
}

// RecordWaiting takes how long an unanswered message has been out so far; it counts only over the threshold.
func (d *DelayTracker) RecordWaiting(now time.Duration, server choice.ServerID, waited time.Duration) {
	if waited > d.reportThreshold {
		d.RecordAnswer(now, server, waited)
	}
}
