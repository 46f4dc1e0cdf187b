// Package rehearse runs scenarios on a simulated platform: it reads a scenario, starts real proxies as processes of their
// own, sends sessions at them on a fixed schedule, injects the faults, has the rules checked and reports. It serves the
// commands rehearse, compare and load. The verdict rests on rules and counts; no latency is judged here.
package rehearse

import (
	"embed"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"chalkferry/internal/strict"
)

//go:embed scenarios/*.toml
var builtIn embed.FS

// Scenario is a run as its file describes it. docs/rehearsal.md explains each key.
type Scenario struct {
	Name      string
	About     string
	Seed      int64
	Length    strict.Span // in which arrivals and faults happen
	Settle    strict.Span // for which sessions continue afterwards
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
	Spare           int // further nodes, started by a fault "add"
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

// meanLoad is the load of an average session, in cores.
func (p *Platform) meanLoad() float64 { return 1 / p.SessionsPerCore }

// Proxies are the processes under test, and their limits.
type Proxies struct {
	Count          int
	MemoryMB       int `toml:"memory_mb"`
	Sockets        int
	Pin            bool        // each to a core of its own
	PassThrough    bool        `toml:"passes"` // sessions pass through and outlive them
	DetectionDelay strict.Span `toml:"notice"` // until the front knows that one is dead
	MaxDials       int         `toml:"dials"`  // for one session
}

// Clients are what all clients have in common.
type Clients struct {
	Retries      int
	Backoff      strict.Span
	Rejoin       []strict.Span // least and most
	MessageEvery strict.Span   `toml:"message_every"`
	Groups       int
	Tenants      []string    `toml:"titles"`
	ZoneSkew     float64     `toml:"zone_skew"` // 0 to 1: how much more the first zone has
	LoadSpread   float64     `toml:"load_spread"`
	LoadChanges  strict.Span `toml:"load_changes"`
}

// Listener is one kind of session.
type Listener struct {
	Name            string
	Share           float64
	Load            float64     // in average sessions
	Lifetime        strict.Span `toml:"life"` // mean
	HandshakeTarget strict.Span `toml:"handshake_target"`
	DialTimeout     strict.Span `toml:"dial_timeout"`
	MessageTarget   strict.Span `toml:"message_target"`
	Utility         float64
	Effect          string
	Group           string
	RepeatWindow    strict.Span `toml:"repeat_window"`
}

// Shapes of a stream of arrivals.
const (
	shapePoisson        = "poisson"
	shapeSteady         = "steady"
	shapeSteps          = "steps"
	shapeBurst          = "burst"
	shapeMunicipalities = "municipalities"
)

// Arrivals are one stream of sessions.
type Arrivals struct {
	Shape    string
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

// Trace is a recorded run in place of arrivals.
type Trace struct {
	File  string
	Speed float64
	Scale float64
}

// Expect are counts that the run is held to beside the rules.
type Expect struct {
	MinAccepted float64 `toml:"accepted_least"` // share of sessions that were accepted at least once
	NoCutOff    bool    `toml:"no_cut_off"`
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
	s := defaultScenario()
	s.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	f, err := strict.Parse(file, text, s)
	if err != nil {
		return nil, err
	}
	return s, s.check(f)
}

// defaultScenario has the values of the keys that a file leaves out.
func defaultScenario() *Scenario {
	return &Scenario{
		Seed:      1,
		LateBound: strict.Span(20 * time.Millisecond),
		Window:    strict.Span(time.Second),
		Settle:    strict.Span(time.Second),
		Platform: Platform{
			Nodes:           8,
			Zones:           []string{"here"},
			Cores:           []float64{2, 3},
			Speed:           []float64{0.9, 1.4},
			SessionsPerCore: 16,
			MaxSessions:     2000,
			GroupCost:       2,
			HandshakeWork:   strict.Span(2 * time.Millisecond),
			ColdFrom:        0.2,
			ColdSpan:        strict.Span(15 * time.Second),
			FallMultiple:    3,
			FallWindow:      strict.Span(3 * time.Second),
			DrainGrace:      strict.Span(time.Second),
			MustAsk:         strict.Span(4 * time.Second),
			ListLate:        strict.Span(500 * time.Millisecond),
			ReportsLoad:     true,
			Probes:          true,
		},
		Proxies: Proxies{
			Count:          2,
			MemoryMB:       96,
			Sockets:        2048,
			Pin:            true,
			DetectionDelay: strict.Span(1500 * time.Millisecond),
			MaxDials:       4,
		},
		Clients: Clients{
			Retries:      2,
			Backoff:      strict.Span(50 * time.Millisecond),
			Rejoin:       []strict.Span{strict.Span(50 * time.Millisecond), strict.Span(time.Second)},
			MessageEvery: strict.Span(2 * time.Second),
			Groups:       20,
			LoadSpread:   0.6,
		},
		Trace: Trace{Speed: 1, Scale: 1},
	}
}

// Shorten gives the scenario another length; streams of arrivals that lasted to the end last to the new one.
func (s *Scenario) Shorten(length time.Duration) error {
	previousLength := s.Length
	s.Length = strict.Span(length)
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		if a.To == previousLength || a.To > s.Length {
			a.To = s.Length
		}
		if a.From >= a.To {
			return fmt.Errorf("arrivals %d begin at %v, after a length of %v", i, a.From, length)
		}
	}
	for _, f := range s.Faults {
		if f.At >= s.Length || f.At+f.Duration > s.Length+s.Settle {
			return fmt.Errorf("the fault at %v (%s) does not fit a length of %v", f.At, f.Kind, length)
		}
	}
	return nil
}

// SetRate replaces all arrivals by one stream of so many a second, at random.
func (s *Scenario) SetRate(rate float64) {
	s.Arrivals = []Arrivals{{Shape: shapePoisson, To: s.Length, Rate: rate, ToRate: rate}}
	s.Expect = Expect{}
}

// Replay replaces all arrivals by a trace.
func (s *Scenario) Replay(file string, speed, scale float64) error {
	if speed < 1 || speed > 100 || scale <= 0 {
		return fmt.Errorf("a trace is replayed at 1 to 100 times its speed and at a scale above 0, not %g and %g", speed, scale)
	}
	s.Trace, s.Expect = Trace{File: file, Speed: speed, Scale: scale}, Expect{}
	_, err := s.Schedule()
	return err
}
