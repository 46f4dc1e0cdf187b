package rehearse

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"

	"chalkferry/internal/standin/judge"
	"chalkferry/internal/strict"
)

// Limits of the values in a scenario.
const (
	maxNodes       = 1000
	maxProxies     = 64
	minMemoryMB    = 16
	minSockets     = 64
	maxRate        = 1e5 // sessions per second
	minWindow      = strict.Span(10 * time.Millisecond)
	minDialTimeout = strict.Span(50 * time.Millisecond)
)

// requirement is a condition on the value of a key.
type requirement struct {
	key      string
	violated bool
	text     string // of the error
}

// firstViolation returns an error at the first key whose requirement is violated, nil for none. The prefix is the path of
// the table that contains the keys, with a final dot, "" for the top level.
func firstViolation(f *strict.File, prefix string, requirements []requirement) error {
	for _, r := range requirements {
		if r.violated {
			return f.Errorf(prefix+r.key, "%s", r.text)
		}
	}
	return nil
}

// check validates a scenario, fills in the defaults that depend on other keys, and draws the nodes of faults that name
// only a share.
func (s *Scenario) check(f *strict.File) error {
	if err := firstViolation(f, "", s.requirements()); err != nil {
		return err
	}
	if err := s.checkListeners(f); err != nil {
		return err
	}
	if err := s.checkArrivals(f); err != nil {
		return err
	}
	return s.checkFaults(f)
}

// requirements returns the requirements of all tables that occur once.
func (s *Scenario) requirements() []requirement {
	return slices.Concat(
		[]requirement{
			{"length", s.Length <= 0, "must be above 0"},
			{"settle", s.Settle < 0, "must not be negative"},
			{"late_bound", s.LateBound <= 0, "must be above 0"},
			{"window", s.Window < minWindow, "must be 10ms or more"},
		},
		s.Platform.requirements(),
		s.Proxies.requirements(),
		s.Clients.requirements(),
		[]requirement{
			{"trace.speed", s.Trace.Speed < 1 || s.Trace.Speed > 100, "must be 1 to 100"},
			{"trace.scale", s.Trace.Scale <= 0 || s.Trace.Scale > 1000, "must be above 0 and at most 1000"},
			{"expect.accepted_least", !isShare(s.Expect.MinAccepted), "must be 0 to 1"},
			{"listener", len(s.Listeners) == 0, "there is none"},
			{"arrivals", len(s.Arrivals) == 0 && s.Trace.File == "", "there must be some, or a trace"},
		},
	)
}

// requirements returns the requirements of the table platform.
func (p *Platform) requirements() []requirement {
	return []requirement{
		{"platform.nodes", p.Nodes < 1 || p.Nodes > maxNodes, "must be 1 to 1000"},
		{"platform.spare", p.Spare < 0 || p.Nodes+p.Spare > maxNodes, "must be 0 or more, 1000 with the nodes"},
		{"platform.zones", len(p.Zones) == 0, "must name at least one zone"},
		{"platform.cores", len(p.Cores) == 0 || slices.Min(p.Cores) <= 0, "must be above 0"},
		{"platform.speed", len(p.Speed) != 2 || p.Speed[0] <= 0 || p.Speed[1] < p.Speed[0], "must be the lowest and the highest value"},
		{"platform.sessions_per_core", p.SessionsPerCore <= 0, "must be above 0"},
		{"platform.most_sessions", p.MaxSessions < 1, "must be 1 or more"},
		{"platform.group_cost", p.GroupCost < 0, "must not be negative"},
		{"platform.handshake_work", p.HandshakeWork < 0, "must not be negative"},
		{"platform.cold_from", p.ColdFrom <= 0 || p.ColdFrom > 1, "must be above 0 and at most 1"},
		{"platform.cold_span", p.ColdSpan <= 0, "must be above 0"},
		{"platform.fall_multiple", p.FallMultiple <= 1, "must be above 1"},
		{"platform.fall_window", p.FallWindow <= 0, "must be above 0"},
		{"platform.drain_grace", p.DrainGrace < 0, "must not be negative"},
		{"platform.must_ask", p.MustAsk <= 0, "must be above 0"},
		{"platform.list_late", p.ListLate < 0, "must not be negative"},
	}
}

// requirements returns the requirements of the table proxies.
func (p *Proxies) requirements() []requirement {
	return []requirement{
		{"proxies.count", p.Count < 1 || p.Count > maxProxies, "must be 1 to 64"},
		{"proxies.memory_mb", p.MemoryMB < minMemoryMB, "must be 16 or more"},
		{"proxies.sockets", p.Sockets < minSockets, "must be 64 or more"},
		{"proxies.notice", p.DetectionDelay < 0, "must not be negative"},
		{"proxies.dials", p.MaxDials < 1, "must be 1 or more"},
	}
}

// requirements returns the requirements of the table clients.
func (c *Clients) requirements() []requirement {
	return []requirement{
		{"clients.retries", c.Retries < 0, "must not be negative"},
		{"clients.backoff", c.Backoff < 0, "must not be negative"},
		{"clients.rejoin", len(c.Rejoin) != 2 || c.Rejoin[0] < 0 || c.Rejoin[1] < c.Rejoin[0], "must be the lowest and the highest value"},
		{"clients.message_every", c.MessageEvery < 0, "must not be negative"},
		{"clients.groups", c.Groups < 0, "must not be negative"},
		{"clients.zone_skew", !isShare(c.ZoneSkew), "must be 0 to 1"},
		{"clients.load_spread", c.LoadSpread < 0 || c.LoadSpread > 3, "must be 0 to 3"},
	}
}

// isShare reports whether v lies in 0 to 1.
func isShare(v float64) bool { return v >= 0 && v <= 1 }

// checkListeners fills in the defaults of the listeners and validates them.
func (s *Scenario) checkListeners(f *strict.File) error {
	shares := 0.0
	for i := range s.Listeners {
		l := &s.Listeners[i]
		l.fillDefaults()
		if err := firstViolation(f, fmt.Sprintf("listener[%d].", i), l.requirements(s.Listeners[:i])); err != nil {
			return err
		}
		shares += l.Share
	}
	if shares <= 0 {
		return f.Errorf("listener", "no listener has a share")
	}
	return nil
}

func (l *Listener) fillDefaults() {
	if l.Effect == "" {
		l.Effect = string(judge.Repeatable)
	}
	if l.Load == 0 {
		l.Load = 1
	}
	if l.Utility == 0 {
		l.Utility = 1
	}
}

// requirements returns the requirements of a listener; earlier are the listeners before it.
func (l *Listener) requirements(earlier []Listener) []requirement {
	sameName := func(other Listener) bool { return other.Name == l.Name }
	effects := []string{string(judge.Repeatable), string(judge.Referenced), string(judge.OnceOnly)}
	needsWindow := l.Effect == string(judge.Referenced)
	return []requirement{
		{"name", l.Name == "" || strings.ContainsAny(l.Name, " ,=\r\n"), "must be a word without , and ="},
		{"name", slices.ContainsFunc(earlier, sameName), "must be unique"},
		{"share", l.Share < 0, "must not be negative"},
		{"load", l.Load < 0, "must not be negative"},
		{"life", l.Lifetime <= 0, "must be above 0"},
		{"dial_timeout", l.DialTimeout < minDialTimeout, "must be 50ms or more"},
		{"handshake_target", l.HandshakeTarget <= 0 || l.HandshakeTarget > l.DialTimeout, "must be above 0 and at most the dial timeout"},
		{"message_target", l.MessageTarget < 0, "must not be negative"},
		{"utility", l.Utility < 0, "must not be negative"},
		{"effect", !slices.Contains(effects, l.Effect), "must be repeatable, referenced or once-only"},
		{"group", !slices.Contains([]string{"", "all", "zone", "cell"}, l.Group), "must be all, zone or cell"},
		{"repeat_window", l.RepeatWindow < 0 || needsWindow && l.RepeatWindow == 0, "must not be negative, and must be above 0 for a referenced listener"},
	}
}

// listenerIndex returns the index of a listener by its name, -1 if the scenario does not have it.
func (s *Scenario) listenerIndex(name string) int {
	return slices.IndexFunc(s.Listeners, func(l Listener) bool { return l.Name == name })
}

// checkArrivals fills in the defaults of the streams of arrivals and validates them.
func (s *Scenario) checkArrivals(f *strict.File) error {
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		s.fillArrivalDefaults(a)
		if err := firstViolation(f, fmt.Sprintf("arrivals[%d].", i), s.arrivalRequirements(a)); err != nil {
			return err
		}
	}
	return nil
}

// defaultSteps is the default of Arrivals.Steps.
const defaultSteps = 4

func (s *Scenario) fillArrivalDefaults(a *Arrivals) {
	if a.To == 0 {
		a.To = s.Length
	}
	if a.ToRate == 0 {
		a.ToRate = a.Rate
	}
	if a.Steps == 0 {
		a.Steps = defaultSteps
	}
}

func (s *Scenario) arrivalRequirements(a *Arrivals) []requirement {
	shapes := []string{shapePoisson, shapeSteady, shapeSteps, shapeBurst, shapeMunicipalities}
	isBurst := a.Shape == shapeBurst || a.Shape == shapeMunicipalities
	return []requirement{
		{"shape", !slices.Contains(shapes, a.Shape), "must be poisson, steady, steps, burst or municipalities"},
		{"from", a.From < 0 || a.From >= s.Length, "must lie within the length"},
		{"to", a.To <= a.From || a.To > s.Length, "must be after from and within the length"},
		{"rate", a.Rate < 0 || !isBurst && a.Rate == 0 || a.Rate > maxRate, "must be above 0 and at most 100000"},
		{"to_rate", a.ToRate < 0 || a.ToRate > maxRate, "must be 0 to 100000"},
		{"steps", a.Steps < 1, "must be 1 or more"},
		{"count", a.Count < 0 || isBurst && a.Count == 0, "must be above 0"},
		{"half", a.Half < 0 || isBurst && a.Half == 0, "must be above 0"},
		{"places", a.Places < 0 || a.Shape == shapeMunicipalities && a.Places == 0, "must be above 0"},
		{"listener", a.Listener != "" && s.listenerIndex(a.Listener) < 0, "there is no such listener"},
	}
}

// checkFaults validates the faults, and draws the nodes of those that name only a share.
func (s *Scenario) checkFaults(f *strict.File) error {
	for i := range s.Faults {
		fault := &s.Faults[i]
		table := fmt.Sprintf("fault[%d].", i)
		traits, known := faultKinds[fault.Kind]
		if !known {
			return f.Errorf(table+"kind", "%q is none of %s", fault.Kind, faultKindNames())
		}
		if err := firstViolation(f, table, s.faultRequirements(fault, traits)); err != nil {
			return err
		}
		if fault.Share > 0 && traits.onNodes && len(fault.Nodes) == 0 {
			fault.Nodes = s.drawNodes(fault.Share, int64(i))
		}
	}
	return nil
}

func faultKindNames() string {
	var names []string
	for _, kind := range slices.Sorted(maps.Keys(faultKinds)) {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// faultRequirements returns the requirements of a fault of a kind with the given traits.
func (s *Scenario) faultRequirements(fault *Fault, traits faultTraits) []requirement {
	outside := func(ids []int, end int) bool {
		return slices.ContainsFunc(ids, func(id int) bool { return id < 0 || id >= end })
	}
	kind := string(fault.Kind)
	nodes, proxies := s.Platform.Nodes+s.Platform.Spare, s.Proxies.Count
	noNodes := len(fault.Nodes) == 0 && (fault.Share == 0 || fault.Kind == faultHalfOpen)
	tooManyAdded := fault.Kind == faultAdd && fault.Count > s.Platform.Spare
	return []requirement{
		{"at", fault.At < 0 || fault.At >= s.Length, fmt.Sprintf("must lie within the length of %v", s.Length)},
		{"for", fault.Duration < 0 || fault.At+fault.Duration > s.Length+s.Settle, "the fault must end with the run"},
		{"for", fault.Duration > 0 && !traits.hasDuration, "a " + kind + " takes no duration"},
		{"nodes", outside(fault.Nodes, nodes), fmt.Sprintf("there are nodes 0 to %d", nodes-1)},
		{"nodes", len(fault.Nodes) > 0 && !traits.onNodes, "a " + kind + " acts on no node"},
		{"nodes", traits.onNodes && noNodes, "must be named, or a share be given"},
		{"proxies", outside(fault.Proxies, proxies), fmt.Sprintf("there are proxies 0 to %d", proxies-1)},
		{"proxies", len(fault.Proxies) > 0 && !traits.onProxies, "a " + kind + " acts on no proxy"},
		{"proxies", traits.onProxies && len(fault.Proxies) == 0, "must be named"},
		{"share", !isShare(fault.Share) || traits.requiredKey == "share" && fault.Share == 0, "must be above 0 and at most 1"},
		{"factor", fault.Factor < 0 || traits.requiredKey == "factor" && fault.Factor == 0, "must be above 0"},
		{"by", fault.ListDelay < 0 || traits.requiredKey == "by" && fault.ListDelay == 0, "must be above 0"},
		{"count", fault.Count < 0 || traits.requiredKey == "count" && fault.Count == 0 || tooManyAdded,
			"must be above 0, and there must be as many spare nodes to add"},
	}
}

// drawNodes draws a share of the nodes, at least one. The draw depends only on the scenario's seed and the salt.
func (s *Scenario) drawNodes(share float64, salt int64) []int {
	rng := rand.New(rand.NewSource(s.Seed + salt))
	n := max(1, int(math.Round(share*float64(s.Platform.Nodes))))
	return rng.Perm(s.Platform.Nodes)[:n]
}
