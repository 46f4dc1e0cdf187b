package proxy

import (
	"time"

	"chalkferry/internal/discovery"
)

// startClock turns the times at which servers started, which the list tells by the wall clock, into spans of the monotonic
// clock. The wall clock may be stepped, this machine's alone or all machines' together, so that two readings of it may
// differ; then the one counts by which the server is younger: a server that is taken for warm too early can be pushed over,
// one that is taken for cold only gets less for a while.
type startClock struct {
	began time.Time            // of the process
	now   func() time.Duration // since then, monotonic
	wall  func() time.Time

	lists      int           // that were taken, the one that the process starts with included
	lastListAt time.Duration // when the latest of them was taken
	listAt     time.Duration // the one at hand
}

// firstComparable is the number of the first list to which a later one can be compared: the process starts with one of
// unknown age, and the next tells what has changed since then.
const firstComparable = 2

// begin is to be called as a list is taken.
func (c *startClock) begin() {
	c.lists++
	c.lastListAt, c.listAt = c.listAt, c.now()
}

// since is when a server started that the list at hand names with a start that was not known before. Each start is to be
// turned once, at its first sight: a step of the clock afterwards does not change it.
func (c *startClock) since(upSinceMs float64) time.Duration {
	started := time.UnixMicro(int64(upSinceMs * 1000))
	wallBegan := c.began.Round(0)
	byStart := started.Sub(wallBegan)
	byNow := c.listAt - c.wall().Round(0).Sub(started)
	since := max(byStart, byNow)
	if c.lists > firstComparable { // it has started since the list before, which may have been late
		since = max(since, c.lastListAt-discovery.StalenessLimit)
	}
	return min(since, c.listAt)
}
