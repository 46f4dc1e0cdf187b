package sharing

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// boot is the time since the machine started. It goes on while the process is stopped and while the machine sleeps, as
// what others hold goes on, too.
func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has it
	}
	return time.Duration(t.Nano())
}

// pacer ticks at a constant rate from a random offset on, so that processes that start at once don't send at once.
// Ticks that were missed, as the process was stopped, are not made up for.
type pacer struct {
	C        <-chan time.Time
	ticker   *time.Ticker
	interval time.Duration
	started  bool
}

func newPacer(interval time.Duration) *pacer {
	offset := rand.N(interval) + 1 // a ticker's interval is above 0
	ticker := time.NewTicker(offset)
	return &pacer{C: ticker.C, ticker: ticker, interval: interval}
}

// ticked is to be called after each tick that was received.
func (p *pacer) ticked() {
	if !p.started {
		p.started = true
		p.ticker.Reset(p.interval)
	}
}

func (p *pacer) stop() { p.ticker.Stop() }
