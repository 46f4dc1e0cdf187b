package proxy

import (
	"testing"
	"time"

	"chalkferry/internal/discovery"
)

// startClockAt is a clock by the machine's own, for a process that began then.
func startClockAt(began time.Time) startClock {
	return startClock{began: began, now: func() time.Duration { return time.Since(began) }, wall: time.Now}
}

// TestSteppedClock: however the wall clock is stepped, this machine's alone or all machines', no server that has just started
// is taken for older than the lists leave open, and none for one that is still to start. A server that was known before the
// step keeps its age.
func TestSteppedClock(t *testing.T) {
	const (
		runs = 10 * time.Minute // of the process, up to the step
		late = 2 * time.Second  // of the list
		slip = time.Millisecond // of times that are listed in whole milliseconds
	)
	for name, step := range map[string]struct{ own, listed time.Duration }{
		"none":                            {},
		"own clock an hour ahead":         {own: time.Hour},
		"own clock an hour back":          {own: -time.Hour},
		"own clock seconds ahead":         {own: 5 * time.Second},
		"all clocks an hour ahead":        {own: time.Hour, listed: time.Hour},
		"all clocks an hour back":         {own: -time.Hour, listed: -time.Hour},
		"the others' an hour ahead":       {listed: time.Hour},
		"the others' clocks an hour back": {listed: -time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			var now, ownStep time.Duration
			d := newDirectory(nil, startClock{began: began, now: func() time.Duration { return now },
				wall: func() time.Time { return began.Add(now + ownStep) }}, false, false)
			upSince := func(at time.Duration) float64 { return float64(began.Add(at).UnixMicro()) / 1000 }
			list := func(servers ...discovery.Server) map[string]time.Duration {
				ages := map[string]time.Duration{}
				for i, e := range d.entriesOf(discovery.List{Complete: true, Servers: servers}) {
					ages[servers[i].ID] = now - e.StartedAt
				}
				return ages
			}
			entry := func(id string, ms float64) discovery.Server {
				return discovery.Server{ID: id, Phase: discovery.Ready, HostPort: "127.0.0.1:1", UpSinceMs: ms}
			}
			old := entry("a-old", upSince(-time.Hour))
			list(old)
			now = runs - time.Second
			list(old)
			list(old)
			now, ownStep = runs, step.own
			ages := list(old, entry("b-new", upSince(runs-late+step.listed)))
			if age := ages["a-old"]; age < runs+time.Hour-slip || age > runs+time.Hour+slip {
				t.Errorf("the server known before is %v old", age)
			}
			if age, most := ages["b-new"], time.Second+discovery.StalenessLimit; age < 0 || age > most {
				t.Errorf("the new server is %v old, at most %v can be", age, most)
			}
			if step.own == 0 && step.listed == 0 && (ages["b-new"] < late-slip || ages["b-new"] > late+slip) {
				t.Errorf("without a step the new server is %v old", ages["b-new"])
			}
			now += 20 * time.Second
			again := list(old, entry("b-new", upSince(runs-late+step.listed)))
			if got := again["b-new"] - ages["b-new"]; got != 20*time.Second {
				t.Errorf("in 20 s the new server has aged by %v", got)
			}
		})
	}
}
