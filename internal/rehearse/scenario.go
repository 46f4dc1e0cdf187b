// Package rehearse runs a night on a stand-in platform: it reads a scenario, starts real proxies as processes of
// their own, sends sessions at them on a fixed schedule, brings about the faults, judges the rules and reports.
package rehearse

import (
	"embed"
	"fmt"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/strict"
	"chalkferry/internal/trace"
)

//go:embed scenarios/*.toml
var builtIn embed.FS

// Scenario is a night as its file has it. docs/rehearsal.md explains each key.
type Scenario struct {
	Name      string
	About     string
	Seed      int64
	Length    strict.Span // arrivals and faults happen within
	Settle    strict.Span // sessions go on for so long after
	LateBound strict.Span `toml:"late_bound"` // beyond which a send of the generator's counts as late
	Window    strict.Span // of the report's curves

	Platform  Platform
	Proxies   Proxies
	Clients   Clients
	Listeners []Listener `toml:"listener"`
	Arrivals  []Arrivals
	Faults    []Fault `toml:"fault"`
	Trace     Trace
	Expect    Expect
}

// Platform is the nodes, their rules and discovery.
type Platform struct {
	Nodes           int
	Spare           int // nodes beyond those, switched on by a fault "add"
	Zones           []string
	Cores           []float64   // each node has one of them
	Speed           []float64   // least and most
	SessionsPerCore float64     `toml:"sessions_per_core"`
	MaxSessions     int         `toml:"most_sessions"`
	GroupCost       float64     `toml:"group_cost"`
	HandshakeWork   strict.Span `toml:"handshake_work"`
	ColdFrom        float64     `toml:"cold_from"`
	ColdSpan        strict.Span `toml:"cold_span"`
	FallMultiple    float64     `toml:"fall_multiple"`
	FallWindow      strict.Span `toml:"fall_window"`
	DrainGrace      strict.Span `toml:"drain_grace"`
	MustAsk         strict.Span `toml:"must_ask"`
	ListLate        strict.Span `toml:"list_late"`
	ReportsLoad     bool        `toml:"tells_load"`
	ReportsDelay    bool        `toml:"tells_delay"`
	Probes          bool
}

// Proxies are the processes under test, and what each gets.
type Proxies struct {
	Count    int
	MemoryMB int `toml:"memory_mb"`
	Sockets  int
	Pin      bool        // each to a core of its own
	Passes   bool        // sessions pass through and outlive them
	Notice   strict.Span // until the front knows that one is dead
	Dials    int         // most for one session
}

// Clients are their manners.
type Clients struct {
	Retries      int
	Backoff      strict.Span
	Rejoin       []strict.Span // least and most
	MessageEvery strict.Span   `toml:"message_every"`
	Groups       int
	Titles       []string
	ZoneSkew     float64     `toml:"zone_skew"` // 0 to 1: how much more the first zone has
	LoadSpread   float64     `toml:"load_spread"`
	LoadChanges  strict.Span `toml:"load_changes"`
}

// Listener is one kind of session.
type Listener struct {
	Name            string
	Share           float64
	Load            float64     // in usual sessions
	Life            strict.Span // mean
	HandshakeTarget strict.Span `toml:"handshake_target"`
	DialTimeout     strict.Span `toml:"dial_timeout"`
	MessageTarget   strict.Span `toml:"message_target"`
	Utility         float64
	Effect          string
	Group           string
	RepeatWindow    strict.Span `toml:"repeat_window"`
}

// Arrivals are one stream of sessions.
type Arrivals struct {
	Shape    string // poisson, steady, steps, burst, municipalities
	From     strict.Span
	To       strict.Span
	Rate     float64 // a second
	ToRate   float64 `toml:"to_rate"`
	Steps    int
	Count    int         // of a burst, or of each municipality's
	Half     strict.Span // in which half of a burst has come
	Places   int         // municipalities that report
	Listener string      // "" for all by their shares
}

// Trace is a recorded night in place of arrivals.
type Trace struct {
	File  string
	Speed float64
	Scale float64
}

// Fault is one entry of the timeline.
type Fault struct {
	Kind    string
	At      strict.Span
	For     strict.Span
	Nodes   []int
	Share   float64 // of nodes, of sessions or of clients, by the kind
	Factor  float64 // of a slow node
	By      strict.Span
	Proxies []int
	Count   int  // of bad clients
	AtOnce  bool `toml:"at_once"`
}

// Expect are counts that the run is held to beside the rules.
type Expect struct {
	MinAccepted float64 `toml:"accepted_least"` // share of sessions that were accepted at least once
	NoCutOff    bool    `toml:"no_cut_off"`
}

// faults are the kinds, what each acts on and what it needs.
var faults = map[string]struct {
	nodes, proxies bool
	needs          string // another key that must not be 0
	lasts          bool   // has an end
}{
	"hang":            {nodes: true, lasts: true},
	"slow":            {nodes: true, lasts: true, needs: "factor"},
	"stall":           {nodes: true, lasts: true},
	"kill":            {nodes: true, lasts: true},
	"vanish":          {nodes: true, lasts: true},
	"half-open":       {nodes: true, needs: "share"},
	"drain":           {nodes: true, lasts: true},
	"restart":         {nodes: true},
	"add":             {needs: "count"},
	"list-late":       {lasts: true, needs: "by"},
	"list-down":       {lasts: true},
	"list-cut":        {lasts: true},
	"list-stale":      {lasts: true},
	"list-moved":      {},
	"proxy-kill":      {proxies: true, lasts: true},
	"proxy-leave":     {proxies: true, lasts: true},
	"proxy-reload":    {proxies: true},
	"clients-drop":    {needs: "share"},
	"bad-clients":     {needs: "count", lasts: true},
	"silent-clients":  {needs: "count", lasts: true},
	"rolling-restart": {},
}

// BuiltIn names the scenarios that come with the program.
func BuiltIn() []string {
	entries, _ := builtIn.ReadDir("scenarios") // embedded: it can't fail
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Load reads a scenario: a built-in one's name, or a file.
func Load(name string) (*Scenario, error) {
	if slices.Contains(BuiltIn(), name) {
		file := "scenarios/" + name + ".toml"
		text, err := builtIn.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return Parse(file, text)
	}
	text, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, fmt.Errorf("no scenario %q: neither a file nor one of %s", name, strings.Join(BuiltIn(), ", "))
	}
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads a scenario and checks it; what is wrong is a *strict.Error with the line.
func Parse(file string, text []byte) (*Scenario, error) {
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(file), ".toml"), Seed: 1,
		LateBound: strict.Span(20 * time.Millisecond), Window: strict.Span(time.Second),
		Settle: strict.Span(time.Second),
		Platform: Platform{Nodes: 8, Zones: []string{"here"}, Cores: []float64{2, 3}, Speed: []float64{0.9, 1.4},
			SessionsPerCore: 16, MaxSessions: 2000, GroupCost: 2, HandshakeWork: strict.Span(2 * time.Millisecond), ColdFrom: 0.2,
			ColdSpan: strict.Span(15 * time.Second), FallMultiple: 3, FallWindow: strict.Span(3 * time.Second),
			DrainGrace: strict.Span(time.Second), MustAsk: strict.Span(4 * time.Second),
			ListLate: strict.Span(500 * time.Millisecond), ReportsLoad: true, Probes: true},
		Proxies: Proxies{Count: 2, MemoryMB: 96, Sockets: 2048, Pin: true, Notice: strict.Span(1500 * time.Millisecond), Dials: 4},
		Clients: Clients{Retries: 2, Backoff: strict.Span(50 * time.Millisecond),
			Rejoin:       []strict.Span{strict.Span(50 * time.Millisecond), strict.Span(time.Second)},
			MessageEvery: strict.Span(2 * time.Second), Groups: 20, LoadSpread: 0.6},
		Trace: Trace{Speed: 1, Scale: 1},
	}
	f, err := strict.Parse(file, text, s)
	if err != nil {
		return nil, err
	}
	return s, s.check(f)
}

// check holds a scenario against what can be run.
func (s *Scenario) check(f *strict.File) error {
	p := &s.Platform
	for _, v := range []struct {
		path string
		bad  bool
		text string
	}{
		{"length", s.Length <= 0, "must be above 0"},
		{"settle", s.Settle < 0, "must not be negative"},
		{"late_bound", s.LateBound <= 0, "must be above 0"},
		{"window", s.Window < strict.Span(10*time.Millisecond), "must be 10ms or more"},
		{"platform.nodes", p.Nodes < 1 || p.Nodes > 1000, "must be 1 to 1000"},
		{"platform.spare", p.Spare < 0 || p.Nodes+p.Spare > 1000, "must be 0 or more, 1000 with the nodes"},
		{"platform.zones", len(p.Zones) == 0, "must name one"},
		{"platform.cores", len(p.Cores) == 0 || slices.Min(p.Cores) <= 0, "must be above 0"},
		{"platform.speed", len(p.Speed) != 2 || p.Speed[0] <= 0 || p.Speed[1] < p.Speed[0], "must be the least and the most"},
		{"platform.sessions_per_core", p.SessionsPerCore <= 0, "must be above 0"},
		{"platform.most_sessions", p.MaxSessions < 1, "must be 1 or more"},
		{"platform.group_cost", p.GroupCost < 0, "must not be negative"},
		{"platform.handshake_work", p.HandshakeWork < 0, "must not be negative"},
		{"platform.cold_from", p.ColdFrom <= 0 || p.ColdFrom > 1, "must be above 0, 1 at most"},
		{"platform.cold_span", p.ColdSpan <= 0, "must be above 0"},
		{"platform.fall_multiple", p.FallMultiple <= 1, "must be above 1"},
		{"platform.fall_window", p.FallWindow <= 0, "must be above 0"},
		{"platform.drain_grace", p.DrainGrace < 0, "must not be negative"},
		{"platform.must_ask", p.MustAsk <= 0, "must be above 0"},
		{"platform.list_late", p.ListLate < 0, "must not be negative"},
		{"proxies.count", s.Proxies.Count < 1 || s.Proxies.Count > 64, "must be 1 to 64"},
		{"proxies.memory_mb", s.Proxies.MemoryMB < 16, "must be 16 or more"},
		{"proxies.sockets", s.Proxies.Sockets < 64, "must be 64 or more"},
		{"proxies.notice", s.Proxies.Notice < 0, "must not be negative"},
		{"proxies.dials", s.Proxies.Dials < 1, "must be 1 or more"},
		{"clients.retries", s.Clients.Retries < 0, "must not be negative"},
		{"clients.backoff", s.Clients.Backoff < 0, "must not be negative"},
		{"clients.rejoin", len(s.Clients.Rejoin) != 2 || s.Clients.Rejoin[0] < 0 || s.Clients.Rejoin[1] < s.Clients.Rejoin[0], "must be the least and the most"},
		{"clients.message_every", s.Clients.MessageEvery < 0, "must not be negative"},
		{"clients.groups", s.Clients.Groups < 0, "must not be negative"},
		{"clients.zone_skew", s.Clients.ZoneSkew < 0 || s.Clients.ZoneSkew > 1, "must be 0 to 1"},
		{"clients.load_spread", s.Clients.LoadSpread < 0 || s.Clients.LoadSpread > 3, "must be 0 to 3"},
		{"trace.speed", s.Trace.Speed < 1 || s.Trace.Speed > 100, "must be 1 to 100"},
		{"trace.scale", s.Trace.Scale <= 0 || s.Trace.Scale > 1000, "must be above 0, 1000 at most"},
		{"expect.accepted_least", s.Expect.MinAccepted < 0 || s.Expect.MinAccepted > 1, "must be 0 to 1"},
		{"listener", len(s.Listeners) == 0, "there is none"},
		{"arrivals", len(s.Arrivals) == 0 && s.Trace.File == "", "there are none, and no trace"},
	} {
		if v.bad {
			return f.Wrong(v.path, "%s", v.text)
		}
	}
	if err := s.checkListeners(f); err != nil {
		return err
	}
	if err := s.checkArrivals(f); err != nil {
		return err
	}
	return s.checkFaults(f)
}

func (s *Scenario) checkListeners(f *strict.File) error {
	shares := 0.0
	for i := range s.Listeners {
		l := &s.Listeners[i]
		if l.Effect == "" {
			l.Effect = string(judge.Repeatable)
		}
		if l.Load == 0 {
			l.Load = 1
		}
		if l.Utility == 0 {
			l.Utility = 1
		}
		at := fmt.Sprintf("listener[%d]", i)
		for _, v := range []struct {
			key  string
			bad  bool
			text string
		}{
			{"name", l.Name == "" || strings.ContainsAny(l.Name, " ,=\r\n"), "must be a word without , and ="},
			{"name", slices.ContainsFunc(s.Listeners[:i], func(o Listener) bool { return o.Name == l.Name }), "stands twice"},
			{"share", l.Share < 0, "must not be negative"},
			{"load", l.Load < 0, "must not be negative"},
			{"life", l.Life <= 0, "must be above 0"},
			{"dial_timeout", l.DialTimeout < strict.Span(50*time.Millisecond), "must be 50ms or more"},
			{"handshake_target", l.HandshakeTarget <= 0 || l.HandshakeTarget > l.DialTimeout, "must be above 0 and at most the dial timeout"},
			{"message_target", l.MessageTarget < 0, "must not be negative"},
			{"utility", l.Utility < 0, "must not be negative"},
			{"effect", !slices.Contains([]string{"repeatable", "referenced", "once-only"}, l.Effect), "must be repeatable, referenced or once-only"},
			{"group", !slices.Contains([]string{"", "all", "zone", "cell"}, l.Group), "must be all, zone or cell"},
			{"repeat_window", l.RepeatWindow < 0 || l.Effect == "referenced" && l.RepeatWindow == 0, "is needed by a referenced listener, and not negative"},
		} {
			if v.bad {
				return f.Wrong(at+"."+v.key, "%s", v.text)
			}
		}
		shares += l.Share
	}
	if shares <= 0 {
		return f.Wrong("listener", "no listener has a share")
	}
	return nil
}

func (s *Scenario) listener(name string) int {
	return slices.IndexFunc(s.Listeners, func(l Listener) bool { return l.Name == name })
}

func (s *Scenario) checkArrivals(f *strict.File) error {
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		if a.To == 0 {
			a.To = s.Length
		}
		if a.ToRate == 0 {
			a.ToRate = a.Rate
		}
		if a.Steps == 0 {
			a.Steps = 4
		}
		isBurst := a.Shape == "burst" || a.Shape == "municipalities"
		at := fmt.Sprintf("arrivals[%d]", i)
		for _, v := range []struct {
			key  string
			bad  bool
			text string
		}{
			{"shape", !slices.Contains([]string{"poisson", "steady", "steps", "burst", "municipalities"}, a.Shape), "must be poisson, steady, steps, burst or municipalities"},
			{"from", a.From < 0 || a.From >= s.Length, "must lie within the length"},
			{"to", a.To <= a.From || a.To > s.Length, "must lie behind from and within the length"},
			{"rate", a.Rate < 0 || !isBurst && a.Rate == 0 || a.Rate > 1e5, "must be above 0, 100000 at most"},
			{"to_rate", a.ToRate < 0 || a.ToRate > 1e5, "must be 0 to 100000"},
			{"steps", a.Steps < 1, "must be 1 or more"},
			{"count", a.Count < 0 || isBurst && a.Count == 0, "must be above 0"},
			{"half", a.Half < 0 || isBurst && a.Half == 0, "must be above 0"},
			{"places", a.Places < 0 || a.Shape == "municipalities" && a.Places == 0, "must be above 0"},
			{"listener", a.Listener != "" && s.listener(a.Listener) < 0, "there is no such listener"},
		} {
			if v.bad {
				return f.Wrong(at+"."+v.key, "%s", v.text)
			}
		}
	}
	return nil
}

func (s *Scenario) checkFaults(f *strict.File) error {
	for i := range s.Faults {
		c := &s.Faults[i]
		at := fmt.Sprintf("fault[%d]", i)
		kind, known := faults[c.Kind]
		if !known {
			var names []string
			for name := range faults {
				names = append(names, name)
			}
			slices.Sort(names)
			return f.Wrong(at+".kind", "%q is none of %s", c.Kind, strings.Join(names, ", "))
		}
		outside := func(ids []int, most int) bool {
			return slices.ContainsFunc(ids, func(id int) bool { return id < 0 || id >= most })
		}
		for _, v := range []struct {
			key  string
			bad  bool
			text string
		}{
			{"at", c.At < 0 || c.At >= s.Length, fmt.Sprintf("must lie within the length of %v", s.Length)},
			{"for", c.For < 0 || c.At+c.For > s.Length+s.Settle, "the fault must end with the run"},
			{"for", c.For > 0 && !kind.lasts, "a " + c.Kind + " has no end"},
			{"nodes", outside(c.Nodes, s.Platform.Nodes+s.Platform.Spare), fmt.Sprintf("there are nodes 0 to %d", s.Platform.Nodes+s.Platform.Spare-1)},
			{"nodes", len(c.Nodes) > 0 && !kind.nodes, "a " + c.Kind + " acts on no node"},
			{"nodes", kind.nodes && len(c.Nodes) == 0 && (c.Share == 0 || c.Kind == "half-open"), "must be named, or a share be given"},
			{"proxies", outside(c.Proxies, s.Proxies.Count), fmt.Sprintf("there are proxies 0 to %d", s.Proxies.Count-1)},
			{"proxies", len(c.Proxies) > 0 && !kind.proxies, "a " + c.Kind + " acts on no proxy"},
			{"proxies", kind.proxies && len(c.Proxies) == 0, "must be named"},
			{"share", c.Share < 0 || c.Share > 1 || kind.needs == "share" && c.Share == 0, "must be above 0, 1 at most"},
			{"factor", c.Factor < 0 || kind.needs == "factor" && c.Factor == 0, "must be above 0"},
			{"by", c.By < 0 || kind.needs == "by" && c.By == 0, "must be above 0"},
			{"count", c.Count < 0 || kind.needs == "count" && c.Count == 0 || c.Kind == "add" && c.Count > s.Platform.Spare, "must be above 0, and there must be as many spare nodes to add"},
		} {
			if v.bad {
				return f.Wrong(at+"."+v.key, "%s", v.text)
			}
		}
		if c.Share > 0 && kind.nodes && len(c.Nodes) == 0 {
			rng := rand.New(rand.NewSource(s.Seed + int64(i)))
			n := max(1, int(math.Round(c.Share*float64(s.Platform.Nodes))))
			c.Nodes = rng.Perm(s.Platform.Nodes)[:n]
		}
	}
	return nil
}

// Schedule is all that will arrive, the same for the same scenario and seed.
func (s *Scenario) Schedule() ([]trace.Session, error) {
	rng := rand.New(rand.NewSource(s.Seed))
	if s.Trace.File != "" {
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
			sessions = trace.Scale(sessions, s.Trace.Scale, time.Second, rng)
		}
		sessions = trace.Cut(trace.Speed(sessions, s.Trace.Speed), 0, s.Length.D())
		for i, each := range sessions {
			if s.listener(each.Listener) < 0 {
				return nil, fmt.Errorf("%s: session %d is for listener %q, which the scenario does not have", s.Trace.File, i+1, each.Listener)
			}
			s.fillDefaults(&sessions[i], rng)
		}
		return sessions, nil
	}
	var all [][]trace.Session
	for _, a := range s.Arrivals {
		switch from, to := a.From.D(), a.To.D(); a.Shape {
		case "poisson":
			all = append(all, s.sessions(load.Poisson(rng, from, to, a.Rate, a.ToRate), a.Listener, "", rng))
		case "steady":
			all = append(all, s.sessions(load.Steady(from, to, a.Rate), a.Listener, "", rng))
		case "steps":
			all = append(all, s.sessions(load.Steps(rng, from, to, a.Rate, a.ToRate, a.Steps), a.Listener, "", rng))
		case "burst":
			all = append(all, s.sessions(load.Burst(rng, from, a.Half.D(), to, a.Count), a.Listener, "", rng))
		case "municipalities": // each reports at a time of its own, and its readers come together
			for n := range a.Places {
				at := from + time.Duration(rng.Float64()*float64(to-from)*0.8)
				all = append(all, s.sessions(load.Burst(rng, at, a.Half.D(), to, a.Count), a.Listener, fmt.Sprintf("c%03x", n+1), rng))
			}
		}
	}
	return trace.Merge(all...), nil
}

func (s *Scenario) sessions(times []time.Duration, listener, group string, rng *rand.Rand) []trace.Session {
	sessions := make([]trace.Session, len(times))
	for i, at := range times {
		w := &sessions[i]
		w.AtMs, w.Listener, w.Group = float64(at)/float64(time.Millisecond), listener, group
		w.Key = fmt.Sprintf("%016x", rng.Uint64()|1)
		if w.Listener == "" {
			w.Listener = s.anyListener(rng)
		}
		if w.Group == "" && s.Clients.Groups > 0 {
			// Few groups have many of the sessions, after Zipf.
			n := int(math.Exp(rng.Float64()*math.Log(float64(s.Clients.Groups)+1))) - 1
			w.Group = fmt.Sprintf("%x", 0x5c00+min(n, s.Clients.Groups-1))
		}
		if n := len(s.Clients.Titles); n > 0 {
			w.Tenant = s.Clients.Titles[rng.Intn(n)]
		}
		s.fillDefaults(w, rng)
	}
	return sessions
}

// fill draws what a session does not tell.
func (s *Scenario) fillDefaults(w *trace.Session, rng *rand.Rand) {
	l := s.Listeners[s.listener(w.Listener)]
	if w.LifetimeMs == 0 {
		w.LifetimeMs = rng.ExpFloat64() * float64(l.Life) / float64(time.Millisecond)
	}
	if w.Load == 0 {
		spread := s.Clients.LoadSpread // log-normal with a mean of the listener's load
		w.Load = l.Load * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
	}
	if w.Zone == "" {
		zones := s.Platform.Zones
		if rng.Float64() < s.Clients.ZoneSkew {
			w.Zone = zones[0]
		} else {
			w.Zone = zones[rng.Intn(len(zones))]
		}
	}
}

func (s *Scenario) anyListener(rng *rand.Rand) string {
	all := 0.0
	for _, l := range s.Listeners {
		all += l.Share
	}
	at := rng.Float64() * all
	for _, l := range s.Listeners {
		if at -= l.Share; at < 0 {
			return l.Name
		}
	}
	return s.Listeners[len(s.Listeners)-1].Name
}

// Shorten gives the scenario another length; streams of arrivals that went on to the end go on to the new one.
func (s *Scenario) Shorten(length time.Duration) error {
	was := s.Length
	s.Length = strict.Span(length)
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		if a.To == was || a.To > s.Length {
			a.To = s.Length
		}
		if a.From >= a.To {
			return fmt.Errorf("arrivals %d begin at %v, after a length of %v", i, a.From, length)
		}
	}
	for _, f := range s.Faults {
		if f.At >= s.Length || f.At+f.For > s.Length+s.Settle {
			return fmt.Errorf("the fault at %v (%s) does not fit a length of %v", f.At, f.Kind, length)
		}
	}
	return nil
}
