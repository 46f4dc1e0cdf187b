package rehearse

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"time"

	"chalkferry/internal/load"
	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/judge"
)

// Sample is the state of a night at a moment.
type Sample struct {
	AtMs           float64   `json:"at_ms"`
	OpenSessions   int       `json:"open"`
	SessionsByNode []int     `json:"held"`      // sessions, by node
	MaxLoad        float64   `json:"most_load"` // of the node that is asked for most of what it can do
	FDs            []int     `json:"fds"`       // by proxy
	RSSMB          []float64 `json:"rss_mb"`    // the same
}

// ProxyUse is what one proxy used.
type ProxyUse struct {
	Name        string   `json:"name"`
	PeakRSSMB   float64  `json:"peak_rss_mb"`
	MemoryMB    int      `json:"memory_mb"` // its limit
	Descriptors int      `json:"descriptors"`
	Sockets     int      `json:"sockets"` // its limit of descriptors
	CPUSeconds  float64  `json:"cpu_seconds"`
	Starts      int      `json:"starts"`
	Crashes     []string `json:"crashes,omitempty"`
}

// Short counts what failed for want of descriptors, by who was short.
type Shortages struct {
	Generator int64 `json:"generator"`
	StandIns  int   `json:"standins"`
	Proxies   int   `json:"proxies"` // samples at the limit, and sessions that a proxy had no room for
}

// BadClients are how clients in bad faith were dealt with.
type BadClients struct {
	Sent       int64 `json:"sent"`
	Answered   int64 `json:"answered"` // ERR or BUSY
	Closed     int64 `json:"closed"`
	Unanswered int64 `json:"unanswered"` // neither, within 3 s
	Failed     int64 `json:"no_connection"`
}

// Report is what was seen.
type Report struct {
	Scenario    string             `json:"scenario"`
	Seed        int64              `json:"seed"`
	Cores       int                `json:"cores"` // of the machine
	LengthMs    float64            `json:"length_ms"`
	Interrupted bool               `json:"interrupted"`
	Scheduled   int                `json:"scheduled"`
	Sessions    int64              `json:"sessions"`
	Answers     map[string]int64   `json:"answers"`
	Clients     client.Counts      `json:"clients"`
	OpenAtEnd   int                `json:"open_at_end"`
	Rules       []judge.Violation  `json:"rules_broken"`
	RuleCounts  map[judge.Rule]int `json:"rules_counted"`
	Late        bool               `json:"late"` // the generator was; the latencies are its own as well
	LateSends   int64              `json:"late_sends"`
	LateBoundMs float64            `json:"late_bound_ms"`
	Lateness    load.Summary       `json:"lateness_ms"`
	Connects    load.Summary       `json:"connect_ms"`
	Messages    load.Summary       `json:"message_ms"`
	ConnectBy   []load.Window      `json:"connect_windows"`
	MessageBy   []load.Window      `json:"message_windows"`
	Quantiles   []float64          `json:"quantiles"`
	ConnectAt   []float64          `json:"connect_at_quantiles_ms"`
	MessageAt   []float64          `json:"message_at_quantiles_ms"`
	Proxies     []ProxyUse         `json:"proxies"`
	Short       Shortages          `json:"short_of_descriptors"`
	BadClients  BadClients         `json:"bad_clients"`
	Faults      []string           `json:"faults"`
	Samples     []Sample           `json:"samples"`
	Trouble     []string           `json:"trouble,omitempty"` // of the rehearsal itself
	Failed      []string           `json:"failed"`            // why the verdict is no, by rules and counts
}

var quantiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

func (n *rehearsal) report(scheduled int, interrupted bool) *Report {
	s := n.scenario
	r := &Report{Scenario: s.Name, Seed: s.Seed, Cores: runtime.NumCPU(), LengthMs: float64(s.Length.D().Milliseconds()),
		Interrupted: interrupted, Scheduled: scheduled, Clients: n.clients.Counts(), Trouble: n.troubles, Samples: n.samples,
		Connects: n.clients.Connects.Summary(), Messages: n.clients.Messages.Summary(),
		ConnectBy: n.clients.Connects.Windows(), MessageBy: n.clients.Messages.Windows(),
		Quantiles: quantiles, ConnectAt: n.clients.Connects.AtQuantiles(quantiles), MessageAt: n.clients.Messages.AtQuantiles(quantiles),
		LateBoundMs: float64(s.LateBound.D()) / float64(time.Millisecond)}
	c := r.Clients
	r.Sessions = c.Sessions
	r.Answers = map[string]int64{"accepted": c.Accepted, "refused": c.Refused, "torn_down": c.Failed, "broken": c.ConnectionLost,
		"unanswered": c.Unanswered, "no_proxy": c.NoProxy}
	r.Rules, r.RuleCounts = n.judge.Violations()
	if r.Rules == nil {
		r.Rules = []judge.Violation{}
	}
	r.LateSends, r.Late, r.Lateness = n.clients.Lateness.Result()
	r.Short.Generator = c.NoSocket
	for _, each := range n.nodes {
		r.Short.StandIns += each.Stats().DescriptorShortages
	}
	r.OpenAtEnd = n.openAtEnd
	for i, p := range n.processes {
		p.mu.Lock()
		r.Proxies = append(r.Proxies, ProxyUse{Name: fmt.Sprintf("n%d", i), PeakRSSMB: float64(p.peakRSS) / (1 << 20), MemoryMB: p.memory,
			Descriptors: p.peakFDs, Sockets: p.sockets, CPUSeconds: (p.finishedCPU + p.cpuTime).Seconds(), Starts: p.starts, Crashes: p.crashReasons})
		r.Short.Proxies += p.samplesAtFDLimit
		p.mu.Unlock()
		r.Short.Proxies += countDescriptorRefusals(filepath.Join(p.folder, "log"))
	}
	r.BadClients = BadClients{n.badClients.sent.Load(), n.badClients.answered.Load(), n.badClients.closed.Load(), n.badClients.unanswered.Load(), n.badClients.failed.Load()}
	for _, f := range s.Faults {
		r.Faults = append(r.Faults, f.String())
	}
	r.evaluate(s)
	return r
}

// noRoom counts the sessions that a proxy turned away for want of descriptors, by its log.
func countDescriptorRefusals(file string) int {
	text, err := os.ReadFile(file)
	if err != nil { // it never started
		return 0
	}
	return strings.Count(string(text), `"reason":"no-room"`)
}

// judge gives the verdict: by rules and counts alone, not by times.
func (r *Report) evaluate(s *Scenario) {
	r.Failed = []string{}
	no := func(format string, args ...any) { r.Failed = append(r.Failed, fmt.Sprintf(format, args...)) }
	var rules []string
	for rule := range r.RuleCounts {
		rules = append(rules, string(rule))
	}
	sort.Strings(rules)
	for _, rule := range rules {
		no("rule broken, %s: %d times", rule, r.RuleCounts[judge.Rule(rule)])
	}
	for _, p := range r.Proxies {
		for _, why := range p.Crashes {
			no("proxy %s crashed: %s", p.Name, why)
		}
		if p.Descriptors > p.Sockets {
			no("proxy %s held %d descriptors of %d", p.Name, p.Descriptors, p.Sockets)
		}
	}
	if r.BadClients.Unanswered > 0 {
		no("%d of %d bad clients got neither an error nor a close", r.BadClients.Unanswered, r.BadClients.Sent)
	}
	if least := s.Expect.MinAccepted; !r.Interrupted && float64(r.Clients.Served) < least*float64(r.Sessions) {
		no("%d of %d sessions were accepted, at least a share of %g was wanted", r.Clients.Served, r.Sessions, least)
	}
	if s.Expect.NoCutOff && r.Clients.CutOff > 0 {
		no("%d open sessions were cut off", r.Clients.CutOff)
	}
	if r.Short.Generator > 0 {
		no("the generator ran out of descriptors or ports %d times", r.Short.Generator)
	}
	if r.Short.StandIns > 0 {
		no("the stand-ins ran out of descriptors %d times", r.Short.StandIns)
	}
	for _, text := range r.Trouble {
		no("%s", text)
	}
}

// OK tells whether the proxies did what they had to, and the generator what it was to.
func (r *Report) OK() bool { return len(r.Failed) == 0 && !r.Late }

// Print writes the report for people.
func (r *Report) Print(to io.Writer) {
	if r.Late {
		fmt.Fprintf(to, "LATE: the generator was behind its own schedule: %d of %d sends by more than %g ms (p99 %.1f ms). "+
			"The times below are its own as well as the proxies'.\n", r.LateSends, r.Lateness.N, r.LateBoundMs, r.Lateness.P99)
	}
	if r.Interrupted {
		fmt.Fprintf(to, "interrupted: what was seen until then\n")
	}
	c := r.Clients
	fmt.Fprintf(to, "%s (seed %d): %d sessions of %d, %d tries: %d accepted, %d refused, %d torn down, %d broken, %d unanswered\n",
		r.Scenario, r.Seed, r.Sessions, r.Scheduled, c.Attempts, c.Accepted, c.Refused, c.Failed, c.ConnectionLost, c.Unanswered)
	fmt.Fprintf(to, "%d sessions were accepted at least once; then %d completed, %d moved, %d cut off, %d went on by another proxy, %d open at the end; %d gave up\n",
		c.Served, c.Completed, c.Migrated, c.CutOff, c.Resumed, r.OpenAtEnd, c.GivenUp)
	row := func(name string, f load.Summary) {
		fmt.Fprintf(to, "%-12s n %7d  p50 %8.2f  p90 %8.2f  p99 %8.2f  p99.9 %8.2f  max %8.2f ms\n", name, f.N, f.P50, f.P90, f.P99, f.P999, f.Max)
	}
	row("handshake", r.Connects)
	row("message", r.Messages)
	row("lateness", r.Lateness)
	for _, p := range r.Proxies {
		fmt.Fprintf(to, "proxy %s: %.1f MB of %d, %d descriptors of %d, %.2f s of CPU, %d starts\n", p.Name, p.PeakRSSMB, p.MemoryMB,
			p.Descriptors, p.Sockets, p.CPUSeconds, p.Starts)
	}
	if r.BadClients.Sent > 0 {
		fmt.Fprintf(to, "bad clients: %d, %d answered, %d closed on, %d left with neither\n", r.BadClients.Sent, r.BadClients.Answered, r.BadClients.Closed, r.BadClients.Unanswered)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(to, "fault %s\n", f)
	}
	const most = 10
	for i, b := range r.Rules {
		if i == most {
			fmt.Fprintf(to, "and %d more\n", len(r.Rules)-most)
			break
		}
		fmt.Fprintf(to, "broken at %s\n", b)
	}
	if len(r.Failed) == 0 {
		fmt.Fprintln(to, "all rules kept")
	}
	for _, text := range r.Failed {
		fmt.Fprintf(to, "FAILED: %s\n", text)
	}
}

// WriteJSON keeps the report in a file.
func (r *Report) WriteJSON(file string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
