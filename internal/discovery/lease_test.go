package discovery

import (
	"testing"
	"time"
)

// TestLease checks each event's effect on the lease against the sentences of the protocol page and of the standing test's page.
func TestLease(t *testing.T) {
	const (
		sec = time.Second
		now = 100 * sec
	)
	const asked, pushed = false, true
	started := func(pushed bool) Lease { return NewLease(pushed, sec) }
	received := func(pushed bool) Lease {
		l := started(pushed)
		l.Received(now)
		return l
	}
	for name, test := range map[string]struct {
		lease Lease
		event func(l *Lease)
		want  time.Duration
	}{
		"start, asked":                       {started(asked), func(*Lease) {}, 7 * sec},
		"start, pushed":                      {started(pushed), func(*Lease) {}, 0},
		"list, asked":                        {received(asked), func(*Lease) {}, now + 6*sec},
		"list, pushed":                       {received(pushed), func(*Lease) {}, now + 6*sec},
		"older data is handled later":        {received(asked), func(l *Lease) { l.Received(now - sec) }, now + 6*sec},
		"watch ends, asked":                  {received(asked), func(l *Lease) { l.WatchEnded(now + sec) }, now + 6*sec},
		"watch ends, pushed":                 {received(pushed), func(l *Lease) { l.WatchEnded(now + sec) }, now + sec},
		"discovery down, asked":              {received(asked), func(l *Lease) { l.FoundDown(now + 9*sec) }, now + 15*sec},
		"discovery down, pushed":             {received(pushed), func(l *Lease) { l.FoundDown(now + 9*sec) }, now + 9*sec},
		"discovery down at the start":        {started(pushed), func(l *Lease) { l.FoundDown(2 * sec) }, 2 * sec},
		"down once the watch was silent":     {received(pushed), func(l *Lease) { l.FoundDown(now + 3*sec) }, now + 6*sec},
		"SIGHUP, asked":                      {received(asked), func(l *Lease) { l.Moved(now + sec) }, now + 6*sec},
		"SIGHUP, pushed":                     {received(pushed), func(l *Lease) { l.Moved(now + sec) }, now + 5*sec},
		"SIGHUP, pushed, after a long quiet": {received(pushed), func(l *Lease) { l.Moved(now + 3*sec) }, now + 6*sec},
		"SIGHUP after the end of the lease":  {received(asked), func(l *Lease) { l.Moved(now + 9*sec) }, now + 6*sec},
	} {
		if test.event(&test.lease); test.lease.ExpiresAt() != test.want {
			t.Errorf("%s: the lease ends at %v, want %v", name, test.lease.ExpiresAt(), test.want)
		}
	}
}
