package proxy

import (
	"testing"
	"time"

	"chalkferry/internal/discovery"
)

// startClockAt is a startClock by the machine's clocks for a process that started at began.
func startClockAt(began time.Time) startClock {
	return startClock{processStart: began, sinceStart: func() time.Duration { return time.Since(began) }, wallClock: time.Now}
}

// TestSteppedClock steps the wall clock of this machine, of the others or of all. A server that has just started must not be
// taken for older than the time since the previous list allows, nor get a start time in the future. A server that was known
// before the step keeps its age.
func TestSteppedClock(t *testing.T) {
	const (
		runTime       = 10 * time.Minute // of the process before the step
		listDelay     = 2 * time.Second  // between the new server's start and the list that names it
		roundingError = time.Millisecond // of listed start times
	)
	for name, step := range map[string]struct{ own, others time.Duration }{
		"none":                            {},
		"own clock an hour ahead":         {own: time.Hour},
		"own clock an hour back":          {own: -time.Hour},
		"own clock seconds ahead":         {own: 5 * time.Second},
		"all clocks an hour ahead":        {own: time.Hour, others: time.Hour},
		"all clocks an hour back":         {own: -time.Hour, others: -time.Hour},
		"the others' an hour ahead":       {others: time.Hour},
		"the others' clocks an hour back": {others: -time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			var now, ownStep time.Duration
			d := newDirectory(nil, startClock{processStart: began, sinceStart: func() time.Duration { return now },
				wallClock: func() time.Time { return began.Add(now + ownStep) }}, false, false)
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
			now = runTime - time.Second
			list(old)
			list(old)
			now, ownStep = runTime, step.own
			ages := list(old, entry("b-new", upSince(runTime-listDelay+step.others)))
			if age := ages["a-old"]; age < runTime+time.Hour-roundingError || age > runTime+time.Hour+roundingError {
				t.Errorf("the server known before is %v old", age)
			}
			if age, most := ages["b-new"], time.Second+discovery.StalenessLimit; age < 0 || age > most {
				t.Errorf("the new server is %v old, at most %v can be", age, most)
			}
			if step.own == 0 && step.others == 0 && (ages["b-new"] < listDelay-roundingError || ages["b-new"] > listDelay+roundingError) {
				t.Errorf("without a step the new server is %v old", ages["b-new"])
			}
			now += 20 * time.Second
			later := list(old, entry("b-new", upSince(runTime-listDelay+step.others)))
			if got := later["b-new"] - ages["b-new"]; got != 20*time.Second {
				t.Errorf("in 20 s the new server has aged by %v", got)
			}
		})
	}
}
