package exchange

import (
	"time"

	"chalkferry/choice"
)

// Delays turns what messages take into notes at the pace of the wire: one a span and server while it is over
// the mark, and one more when it is back under.
type Delays struct {
	balancer *choice.Balancer
	mark     time.Duration
	span     time.Duration
	servers  map[choice.ServerID]noted

	tellsLoad, tellsDelay bool
	beats                 map[choice.ServerID]time.Duration // within a span, of the delays that a server tells
}

type noted struct {
	at   time.Duration
	over bool
}

func NewDelays(mark, span time.Duration, tellsLoad, tellsDelay bool) *Delays {
	return &Delays{mark: mark, span: span, servers: map[choice.ServerID]noted{}, tellsLoad: tellsLoad,
		tellsDelay: tellsDelay, beats: map[choice.ServerID]time.Duration{}}
}

// change takes what other settings say; beats are those of servers that tell both.
func (d *Delays) change(mark time.Duration, tellsLoad, tellsDelay bool) {
	d.mark, d.tellsLoad, d.tellsDelay = mark, tellsLoad, tellsDelay
	clear(d.beats)
}

const (
	mostDelay = 10 // spans that a server may tell as a delay
	offBeat   = 64 // a note may be off its beat by the span over this
)

// levels is what a server has told on one connection.
type levels struct {
	n      int
	at     time.Duration
	load   float64 // last told
	before float64 // and the one before
}

// isDelay tells what a LOAD line means. Servers send the load of a connection, in microseconds of work a second,
// and the delay of their messages, in milliseconds, in the same words. A delay comes in a beat of one a span, on
// one connection; a load comes once the session stands, and then at any time. So a number is a delay from the
// second in a beat on, and any later one of that server on its beat.
func (d *Delays) isDelay(now time.Duration, at choice.ServerID, l *levels, level float64) (is, newly bool) {
	if !d.tellsDelay || !d.tellsLoad {
		return d.tellsDelay, false
	}
	most := mostDelay * float64(d.span/time.Millisecond)
	if l.n == 0 || level > most {
		return false, false
	}
	if beat, known := d.beats[at]; known && d.near(now-beat) {
		return true, false
	}
	if gap := now - l.at; l.n > 1 && l.load <= most && gap < d.span*3/2 && d.near(gap) {
		d.beats[at] = now % d.span
		return true, true
	}
	return false, false
}

// mayBe tells whether a number that is not known to be a delay looks like a server's first: small for a load, and
// as much as a delay grows to within a span. It counts as less than a late message: that keeps new sessions away
// for a moment, and moves none if it was a load after all.
func (d *Delays) mayBe(l *levels, level float64) (time.Duration, bool) {
	took := time.Duration(level * float64(time.Millisecond))
	return min(took, d.nearlyLate()), d.tellsDelay && d.tellsLoad && l.n > 0 && took > d.mark && took < d.span/4
}

// nearlyLate is the longest delay that is not late.
func (d *Delays) nearlyLate() time.Duration { return 3*d.mark - time.Millisecond }

// near tells whether a time is about a whole number of spans.
func (d *Delays) near(t time.Duration) bool {
	t = (t + d.span/2) % d.span
	return (t - d.span/2).Abs() <= d.span/offBeat
}

// Seen takes what a message has taken.
func (d *Delays) Seen(now time.Duration, at choice.ServerID, took time.Duration) {
	last, known := d.servers[at]
	over := took > d.mark
	switch {
	case over && known && last.over && now-last.at < d.span:
		return
	case !over && !last.over:
		return
	case !over && now-last.at < d.span/2: // a quick message beside slow ones
		return
	}
	d.servers[at] = noted{now, over}
	d.balancer.RecordServerDelay(now, at, took)
}

// Waiting takes how long a message has been out.
func (d *Delays) Waiting(now time.Duration, at choice.ServerID, waited time.Duration) {
	if waited > d.mark {
		d.Seen(now, at, waited)
	}
}
