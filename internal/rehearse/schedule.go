package rehearse

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/trace"
)

const (
	// firstGroup is the name of the first group, as a number. Names of groups are hexadecimal numbers.
	firstGroup = 0x5c00
	// reportingShare is the first part of a stream's time, in which all municipalities report. The rest leaves time for
	// the readers of the last ones.
	reportingShare = 0.8
	// traceScaleSpread is the largest delay of a session that is copied to scale up a trace.
	traceScaleSpread = time.Second
)

// Schedule returns all sessions of a run, ordered by arrival. It depends only on the scenario, its seed and its trace.
func (s *Scenario) Schedule() ([]trace.Session, error) {
	rng := rand.New(rand.NewSource(s.Seed))
	if s.Trace.File != "" {
		return s.traceSchedule(rng)
	}
	var all [][]trace.Session
	for _, a := range s.Arrivals {
		all = append(all, s.streamSchedule(a, rng)...)
	}
	return trace.Merge(all...), nil
}

// traceSchedule reads, scales and speeds up the scenario's trace, and fills in what its sessions leave open.
func (s *Scenario) traceSchedule(rng *rand.Rand) ([]trace.Session, error) {
	file, err := os.Open(s.Trace.File)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	sessions, err := trace.Read(s.Trace.File, file)
	if err != nil {
		return nil, err
	}
	if s.Trace.Scale != 1 {
		sessions = trace.Scale(sessions, s.Trace.Scale, traceScaleSpread, rng)
	}
	sessions = trace.Cut(trace.Speed(sessions, s.Trace.Speed), 0, s.Length.D())
	for i, each := range sessions {
		if s.listenerIndex(each.Listener) < 0 {
			return nil, fmt.Errorf("%s: session %d is for listener %q, which the scenario does not have", s.Trace.File, i+1, each.Listener)
		}
		s.fillDefaults(&sessions[i], rng)
	}
	return sessions, nil
}

// streamSchedule draws the sessions of one stream, as one schedule or one for each municipality.
func (s *Scenario) streamSchedule(a Arrivals, rng *rand.Rand) [][]trace.Session {
	from, to := a.From.D(), a.To.D()
	var times []time.Duration
	switch a.Shape {
	case shapePoisson:
		times = load.Poisson(rng, from, to, a.Rate, a.ToRate)
	case shapeSteady:
		times = load.Steady(from, to, a.Rate)
	case shapeSteps:
		times = load.Steps(rng, from, to, a.Rate, a.ToRate, a.Steps)
	case shapeBurst:
		times = load.Burst(rng, from, a.Half.D(), to, a.Count)
	case shapeMunicipalities:
		return s.municipalities(a, rng)
	}
	return [][]trace.Session{s.sessionsAt(times, a.Listener, "", rng)}
}

// municipalities draws a reporting time for each municipality and a burst of its readers, who form a group, at that time.
func (s *Scenario) municipalities(a Arrivals, rng *rand.Rand) [][]trace.Session {
	from, to := a.From.D(), a.To.D()
	var all [][]trace.Session
	for n := range a.Places {
		reportsAt := from + time.Duration(rng.Float64()*float64(to-from)*reportingShare)
		readers := load.Burst(rng, reportsAt, a.Half.D(), to, a.Count)
		all = append(all, s.sessionsAt(readers, a.Listener, fmt.Sprintf("c%03x", n+1), rng))
	}
	return all
}

// sessionsAt draws a session for each time. If the listener or the group is "", it is drawn for each session.
func (s *Scenario) sessionsAt(times []time.Duration, listener, group string, rng *rand.Rand) []trace.Session {
	sessions := make([]trace.Session, len(times))
	for i, arrivesAt := range times {
		next := &sessions[i]
		next.AtMs, next.Listener, next.Group = float64(arrivesAt)/float64(time.Millisecond), listener, group
		next.Key = fmt.Sprintf("%016x", rng.Uint64()|1)
		if next.Listener == "" {
			next.Listener = s.randomListener(rng)
		}
		if next.Group == "" && s.Clients.Groups > 0 {
			next.Group = s.randomGroup(rng)
		}
		if n := len(s.Clients.Tenants); n > 0 {
			next.Tenant = s.Clients.Tenants[rng.Intn(n)]
		}
		s.fillDefaults(next, rng)
	}
	return sessions
}

// randomGroup draws a group from a Zipf-like distribution, in which a few groups have many of the sessions.
func (s *Scenario) randomGroup(rng *rand.Rand) string {
	n := int(math.Exp(rng.Float64()*math.Log(float64(s.Clients.Groups)+1))) - 1
	return fmt.Sprintf("%x", firstGroup+min(n, s.Clients.Groups-1))
}

// randomListener draws a listener according to the shares.
func (s *Scenario) randomListener(rng *rand.Rand) string {
	total := 0.0
	for _, l := range s.Listeners {
		total += l.Share
	}
	remaining := rng.Float64() * total
	for _, l := range s.Listeners {
		if remaining -= l.Share; remaining < 0 {
			return l.Name
		}
	}
	return s.Listeners[len(s.Listeners)-1].Name
}

// fillDefaults draws the lifetime, load and zone of a session that does not have them.
func (s *Scenario) fillDefaults(session *trace.Session, rng *rand.Rand) {
	l := s.Listeners[s.listenerIndex(session.Listener)]
	if session.LifetimeMs == 0 {
		session.LifetimeMs = rng.ExpFloat64() * float64(l.Lifetime) / float64(time.Millisecond)
	}
	if session.Load == 0 {
		spread := s.Clients.LoadSpread // log-normal, with the listener's load as its mean
		session.Load = l.Load * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
	}
	if session.Zone == "" {
		session.Zone = s.randomZone(rng)
	}
}

// randomZone draws a zone; the skew is the probability that the first one is taken without a draw.
func (s *Scenario) randomZone(rng *rand.Rand) string {
	zones := s.Platform.Zones
	if rng.Float64() < s.Clients.ZoneSkew {
		return zones[0]
	}
	return zones[rng.Intn(len(zones))]
}
