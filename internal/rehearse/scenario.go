// Package rehearse runs scenarios on a simulated platform: it reads a scenario, starts real proxies as separate processes,
// sends them sessions on a fixed schedule, injects the faults, checks the rules and writes a report. It implements the
// commands rehearse, compare and load. The verdict depends on rules and counts only; latencies are reported, but do not
// make a run fail.
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

// Scenario describes a run, as read from a scenario file. Fields without a tag are keys by their own names in lower case.
// docs/rehearsal.md explains each key.
type Scenario struct {
	Name      string
	About     string
	Seed      int64
	Length    strict.Span // the period in which arrivals and faults happen
	Settle    strict.Span // the period after Length in which sessions continue
	LateBound strict.Span `toml:"late_bound"` // delay beyond which a send of the load generator counts as late
	Window    strict.Span // length of the windows by which the report's curves show latencies

	Platform  Platform
	Proxies   Proxies
	Clients   Clients
	Listeners []Listener `toml:"listener"`
	Arrivals  []Arrivals
	Faults    []Fault `toml:"fault"`
	Trace     Trace
	Expect    Expect
}

// Platform describes the nodes, the platform's rules for them, and discovery.
type Platform struct {
	Nodes           int
	Spare           int // further nodes, started by a fault "add"
	Zones           []string
	Cores           []float64   // cores of a node, one of these values by random choice
	Speed           []float64   // lowest and highest speed of a core, relative to the reference core
	SessionsPerCore float64     `toml:"sessions_per_core"` // average sessions that a reference core can serve
	MaxSessions     int         `toml:"most_sessions"`     // of one node
	GroupCost       float64     `toml:"group_cost"`        // of each group with a session on a node, in average sessions
	HandshakeWork   strict.Span `toml:"handshake_work"`    // time that a handshake takes on a reference core
	ColdFrom        float64     `toml:"cold_from"`         // share of its capacity that a node starts with
	ColdSpan        strict.Span `toml:"cold_span"`         // after which a started node has full capacity
	FallMultiple    float64     `toml:"fall_multiple"`     // a cold node fails if its demand exceeds this multiple of its capacity
	FallWindow      strict.Span `toml:"fall_window"`       // for this long
	DrainGrace      strict.Span `toml:"drain_grace"`       // for which a proxy may dial a node after it was sent the drain
	MustAsk         strict.Span `toml:"must_ask"`          // longest allowed interval between a proxy's polls of discovery
	ListLate        strict.Span `toml:"list_late"`         // delay until discovery publishes a change
	ReportsLoad     bool        `toml:"tells_load"`        // nodes report the load of each session
	ReportsDelay    bool        `toml:"tells_delay"`       // nodes report the delay of their messages
	Probes          bool        // nodes answer health probes
}

// meanLoad returns the load of an average session, in cores.
func (p *Platform) meanLoad() float64 { return 1 / p.SessionsPerCore }

// Proxies describes the processes under test and their limits.
type Proxies struct {
	Count          int
	MemoryMB       int         `toml:"memory_mb"` // resident memory in MiB, beyond which one is killed
	Sockets        int         // limit of file descriptors
	Pin            bool        // bind each to a CPU of its own
	PassThrough    bool        `toml:"passes"` // another proxy can resume the sessions of one that has stopped
	DetectionDelay strict.Span `toml:"notice"` // until the front detects that one is dead
	MaxDials       int         `toml:"dials"`  // for one session
}

// Clients describes the behavior that all clients share.
type Clients struct {
	Retries      int
	Backoff      strict.Span   // before the first retry, doubled each time
	Rejoin       []strict.Span // shortest and longest wait before a reconnect
	MessageEvery strict.Span   `toml:"message_every"` // interval between a session's lines, 0 for no lines
	Groups       int           // number of groups among which sessions are drawn, 0 for no groups
	Tenants      []string      `toml:"titles"`
	ZoneSkew     float64       `toml:"zone_skew"`    // 0 to 1: share of the clients put into the first zone; the others get a random one
	LoadSpread   float64       `toml:"load_spread"`  // standard deviation of the logarithm of a session's load
	LoadChanges  strict.Span   `toml:"load_changes"` // mean time between changes of a session's load, 0 for no changes
}

// Listener describes one kind of session.
type Listener struct {
	Name            string
	Share           float64     // weight among the listeners
	Load            float64     // mean, in average sessions
	Lifetime        strict.Span `toml:"life"` // mean
	HandshakeTarget strict.Span `toml:"handshake_target"`
	DialTimeout     strict.Span `toml:"dial_timeout"`
	MessageTarget   strict.Span `toml:"message_target"`
	Utility         float64     // passed on to the proxies
	Effect          string      // a judge.Effect
	Group           string      // nodes that recognise repeats of a referenced session: "all", "zone" or "cell"
	RepeatWindow    strict.Span `toml:"repeat_window"` // within which they recognise them
}

// Values of Arrivals.Shape.
const (
	shapePoisson        = "poisson"
	shapeSteady         = "steady"
	shapeSteps          = "steps"
	shapeBurst          = "burst"
	shapeMunicipalities = "municipalities"
)

// Arrivals describes one stream of arriving sessions.
type Arrivals struct {
	Shape    string
	From     strict.Span
	To       strict.Span // 0 for the end of the scenario's length
	Rate     float64     // sessions per second, at the start
	ToRate   float64     `toml:"to_rate"` // sessions per second at the end, 0 for Rate
	Steps    int         // number of steps between the two rates
	Count    int         // sessions of a burst, or of each municipality
	Half     strict.Span // in which half of a burst has arrived
	Places   int         // number of municipalities
	Listener string      // "" for a random listener by the shares
}

// Trace selects a recorded run that replaces the arrivals.
type Trace struct {
	File  string  // "" for none
	Speed float64 // factor by which it is replayed faster
	Scale float64 // factor by which the number of sessions is scaled
}

// Expect lists requirements on counts that a run must meet beside the rules.
type Expect struct {
	MinAccepted float64 `toml:"accepted_least"` // least share of sessions that are accepted at least once
	NoCutOff    bool    `toml:"no_cut_off"`     // no established session may be cut off
}

// BuiltIn returns the names of the scenarios that are embedded in the program.
func BuiltIn() []string {
	entries, _ := builtIn.ReadDir("scenarios") // can't fail: the folder is embedded
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Load reads a built-in scenario by its name, or a scenario file.
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

// Parse reads a scenario from the text of a file and validates it. An error in the text is a *strict.Error with its line.
func Parse(file string, text []byte) (*Scenario, error) {
	s := defaultScenario()
	s.Name = strings.TrimSuffix(filepath.Base(file), ".toml")
	f, err := strict.Parse(file, text, s)
	if err != nil {
		return nil, err
	}
	return s, s.check(f)
}

// defaultScenario returns a scenario with the defaults of the keys that a file may leave out.
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

// Shorten changes the scenario's length. Streams of arrivals that lasted to the end, or would exceed the new length, end
// with it. It fails if arrivals or a fault would lie outside the new length.
func (s *Scenario) Shorten(length time.Duration) error {
	previousLength := s.Length
	s.Length = strict.Span(length)
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		if a.To == previousLength || a.To > s.Length {
			a.To = s.Length
		}
		if a.From >= a.To {
			return fmt.Errorf("arrivals[%d] begin at %v, not within a length of %v", i, a.From, length)
		}
	}
	for _, f := range s.Faults {
		if f.At >= s.Length || f.At+f.Duration > s.Length+s.Settle {
			return fmt.Errorf("the fault at %v (%s) does not fit a length of %v", f.At, f.Kind, length)
		}
	}
	return nil
}

// SetRate replaces all arrivals by one Poisson stream of the given rate per second, and drops the expected counts.
func (s *Scenario) SetRate(rate float64) {
	s.Arrivals = []Arrivals{{Shape: shapePoisson, To: s.Length, Rate: rate, ToRate: rate}}
	s.Expect = Expect{}
}

// Replay replaces all arrivals by a trace, and drops the expected counts. It reads the trace once to check it.
func (s *Scenario) Replay(file string, speed, scale float64) error {
	if speed < 1 || speed > 100 || scale <= 0 {
		return fmt.Errorf("a trace is replayed at 1 to 100 times its speed and at a scale above 0, not %g and %g", speed, scale)
	}
	s.Trace, s.Expect = Trace{File: file, Speed: speed, Scale: scale}, Expect{}
	_, err := s.Schedule()
	return err
}
