package sharing

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started. This clock keeps running while the process is stopped and while
// the machine sleeps, because what other processes hold ages meanwhile, too.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux always has this clock
	}
	return time.Duration(t.Nano())
}

// pacer ticks at a constant rate, with a random delay before the first tick so that processes that start at the same time
// don't send at the same time. Ticks that are missed while the process is stopped are not made up for.
type pacer struct {
	C        <-chan time.Time
	ticker   *time.Ticker
	interval time.Duration
	started  bool // the first tick was received
}

func newPacer(interval time.Duration) *pacer {
	offset := rand.N(interval) + 1 // NewTicker requires a positive duration
	ticker := time.NewTicker(offset)
	return &pacer{C: ticker.C, ticker: ticker, interval: interval}
}

// ticked must be called after each tick received from C.
func (p *pacer) ticked() {
	if !p.started {
		p.started = true
		p.ticker.Reset(p.interval)
	}
}

func (p *pacer) stop() { p.ticker.Stop() }
