package proxy

import (
	"time"
)

// startClock turns the times at which servers started, which the list tells by the wall clock, into spans of the
// monotonic clock, by the wall clock as it was at the process's start.
type startClock struct {
	began time.Time            // of the process
	now   func() time.Duration // since then, monotonic
	wall  func() time.Time

	lists      int           // that were taken, the one that the process starts with included
	lastListAt time.Duration // when the latest of them was taken
	listAt     time.Duration // the one at hand
}

// begin is to be called as a list is taken.
func (c *startClock) begin() {
	c.lists++
	c.lastListAt, c.listAt = c.listAt, c.now()
}

// since is when a server started that was listed with that start.
func (c *startClock) since(upSinceMs float64) time.Duration {
	return time.UnixMicro(int64(upSinceMs * 1000)).Sub(c.began.Round(0))
}
