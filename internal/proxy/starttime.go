package proxy

import (
	"time"

	"chalkferry/internal/discovery"
)

// startClock converts the start times of servers, which the list gives by the wall clock, to the proxy's monotonic clock.
// The wall clock may be stepped, on this machine alone or on all machines, so the conversion by the wall clock at the
// process's start and the one by the wall clock now may differ; the one by which the server is younger counts. A server that
// is wrongly taken for warm can be overloaded; one that is wrongly taken for cold only gets less load for a while.
type startClock struct {
	processStart time.Time            // wall and monotonic time of the process's start
	sinceStart   func() time.Duration // time since processStart by the monotonic clock
	wallClock    func() time.Time

	listCount      int           // lists applied, including the cached one that the process starts with
	previousListAt time.Duration // when the list before the current one was applied
	currentListAt  time.Duration // when the current list was applied
}

// firstComparableList is the number of the first list that a later one can be compared with: list 1 is the cached one, of
// unknown age, and list 2 has all that changed since then.
const firstComparableList = 2

// beginList must be called before the entries of a list are converted.
func (c *startClock) beginList() {
	c.listCount++
	c.previousListAt, c.currentListAt = c.currentListAt, c.sinceStart()
}

// serverStart converts a start time that the current list gives for the first time, in milliseconds of Unix time. Each
// start time must be converted only once, so that later steps of the wall clock do not change the result.
func (c *startClock) serverStart(upSinceMs float64) time.Duration {
	started := time.UnixMicro(int64(upSinceMs * 1000))
	processStartWall := c.processStart.Round(0)
	byProcessStart := started.Sub(processStartWall)
	byWallNow := c.currentListAt - c.wallClock().Round(0).Sub(started)
	serverStart := max(byProcessStart, byWallNow)
	if c.listCount > firstComparableList { // the server has started since the previous list, which may have been late by StalenessLimit
		serverStart = max(serverStart, c.previousListAt-discovery.StalenessLimit)
	}
	return min(serverStart, c.currentListAt)
}
