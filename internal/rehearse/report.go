package rehearse

import (
	"os"
	"runtime"
	"slices"
	"strings"

	"chalkferry/internal/load"
	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/judge"
)

// Sample is the state of a run at one time.
type Sample struct {
	AtMs           float64   `json:"at_ms"` // milliseconds since the start of the run
	OpenSessions   int       `json:"open"`
	SessionsByNode []int     `json:"held"`      // by node
	MaxLoad        float64   `json:"most_load"` // highest ratio of demand to capacity of any node
	FDs            []int     `json:"fds"`       // open file descriptors by proxy
	RSSMB          []float64 `json:"rss_mb"`    // by proxy
}

// ProxyUse is the resource usage of one proxy over all its starts. Memory is in MiB.
type ProxyUse struct {
	Name        string   `json:"name"`
	PeakRSSMB   float64  `json:"peak_rss_mb"`
	MemoryMB    int      `json:"memory_mb"`   // its limit
	Descriptors int      `json:"descriptors"` // peak number of open file descriptors
	Sockets     int      `json:"sockets"`     // its limit of file descriptors
	CPUSeconds  float64  `json:"cpu_seconds"`
	Starts      int      `json:"starts"`
	Crashes     []string `json:"crashes,omitempty"` // the reason of each crash
}

// Shortages counts failures for lack of file descriptors or ports, by who lacked them.
type Shortages struct {
	Generator int64 `json:"generator"`
	Nodes     int   `json:"standins"`
	Proxies   int   `json:"proxies"` // samples at the limit, and sessions that a proxy refused for lack of descriptors
}

// BadClients counts clients that sent invalid input or nothing, by what the proxies did.
type BadClients struct {
	Sent       int64 `json:"sent"`
	Answered   int64 `json:"answered"` // ERR or BUSY
	Closed     int64 `json:"closed"`
	Unanswered int64 `json:"unanswered"` // neither answered nor closed within badClientTimeout
	Failed     int64 `json:"no_connection"`

	UnansweredClients []UnansweredClient `json:"unanswered_clients,omitempty"`
}

// Report is the result of a run.
type Report struct {
	Scenario             string             `json:"scenario"`
	Seed                 int64              `json:"seed"`
	Cores                int                `json:"cores"` // of the machine that ran the rehearsal
	LengthMs             float64            `json:"length_ms"`
	Interrupted          bool               `json:"interrupted"`
	Unbound              string             `json:"unbound,omitempty"` // why proxies that should have processors of their own had none
	Scheduled            int                `json:"scheduled"`
	Sessions             int64              `json:"sessions"`
	Answers              map[string]int64   `json:"answers"`
	Clients              client.Counts      `json:"clients"`
	OpenAtEnd            int                `json:"open_at_end"`
	Rules                []judge.Violation  `json:"rules_broken"`
	RuleCounts           map[judge.Rule]int `json:"rules_counted"`
	Late                 bool               `json:"late"` // the load generator was late, so the latencies include its own delays
	LateSends            int64              `json:"late_sends"`
	LateBoundMs          float64            `json:"late_bound_ms"`
	Lateness             load.Summary       `json:"lateness_ms"`
	Handshakes           load.Summary       `json:"connect_ms"`
	Messages             load.Summary       `json:"message_ms"`
	HandshakeWindows     []load.Window      `json:"connect_windows"`
	MessageWindows       []load.Window      `json:"message_windows"`
	Quantiles            []float64          `json:"quantiles"`
	HandshakeAtQuantiles []float64          `json:"connect_at_quantiles_ms"`
	MessageAtQuantiles   []float64          `json:"message_at_quantiles_ms"`
	Proxies              []ProxyUse         `json:"proxies"`
	DescriptorShortages  Shortages          `json:"short_of_descriptors"`
	BadClients           BadClients         `json:"bad_clients"`
	Faults               []string           `json:"faults"`
	Samples              []Sample           `json:"samples"`
	RunErrors            []string           `json:"trouble,omitempty"` // failures of the rehearsal itself
	Failed               []string           `json:"failed"`            // reasons why the run failed, by rules and counts; Late is not among them
}

// quantiles are the percentiles at which the report lists latencies.
var quantiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// report assembles the report of a finished run.
func (r *rehearsal) report(scheduled int, interrupted bool) *Report {
	s := r.scenario
	counts := r.clients.Counts()
	report := &Report{
		Scenario:    s.Name,
		Seed:        s.Seed,
		Cores:       runtime.NumCPU(),
		LengthMs:    float64(s.Length.D().Milliseconds()),
		Interrupted: interrupted,
		Scheduled:   scheduled,
		Sessions:    counts.Sessions,
		Answers: map[string]int64{
			"accepted":   counts.Accepted,
			"refused":    counts.Refused,
			"torn_down":  counts.Failed,
			"broken":     counts.ConnectionLost,
			"unanswered": counts.Unanswered,
			"no_proxy":   counts.NoProxy,
		},
		Clients:              counts,
		OpenAtEnd:            r.openAtEnd,
		LateBoundMs:          toMillis(s.LateBound),
		Handshakes:           r.clients.Handshakes.Summary(),
		Messages:             r.clients.Messages.Summary(),
		HandshakeWindows:     r.clients.Handshakes.Windows(),
		MessageWindows:       r.clients.Messages.Windows(),
		Quantiles:            quantiles,
		HandshakeAtQuantiles: r.clients.Handshakes.LatenciesAtQuantiles(quantiles),
		MessageAtQuantiles:   r.clients.Messages.LatenciesAtQuantiles(quantiles),
		BadClients:           r.badClients.report(),
		Samples:              r.samples,
		RunErrors:            r.runErrors,
		Unbound:              r.unboundReason,
	}
	report.Rules, report.RuleCounts = r.judge.Violations()
	if report.Rules == nil {
		report.Rules = []judge.Violation{}
	}
	report.LateSends, report.Late, report.Lateness = r.clients.Lateness.Result()
	report.DescriptorShortages.Generator = counts.NoSocket
	for _, each := range r.nodes {
		report.DescriptorShortages.Nodes += each.Stats().DescriptorShortages
	}
	for _, p := range r.processes {
		use, samplesAtLimit := p.use()
		report.Proxies = append(report.Proxies, use)
		report.DescriptorShortages.Proxies += samplesAtLimit + countDescriptorRefusals(p.logFile())
	}
	for _, f := range s.Faults {
		report.Faults = append(report.Faults, f.String())
	}
	report.evaluate(s)
	return report
}

// use returns the resource usage of the process, and the number of samples in which it was at its limit of descriptors.
func (p *process) use() (use ProxyUse, samplesAtLimit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ProxyUse{
		Name:        proxyName(p.id),
		PeakRSSMB:   float64(p.peakRSS) / bytesPerMB,
		MemoryMB:    p.memoryMB,
		Descriptors: p.peakFDs,
		Sockets:     p.sockets,
		CPUSeconds:  (p.finishedCPU + p.cpuTime).Seconds(),
		Starts:      p.starts,
		Crashes:     p.crashReasons,
	}, p.samplesAtFDLimit
}

// report returns the counts so far.
func (b *badClients) report() BadClients {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BadClients{
		Sent:       b.sent.Load(),
		Answered:   b.answered.Load(),
		Closed:     b.closed.Load(),
		Unanswered: int64(len(b.unanswered)),
		Failed:     b.failed.Load(),

		UnansweredClients: slices.Clone(b.unanswered),
	}
}

// countDescriptorRefusals counts the sessions that a proxy refused for lack of descriptors, according to its log.
func countDescriptorRefusals(file string) int {
	text, err := os.ReadFile(file)
	if err != nil { // it never started
		return 0
	}
	return strings.Count(string(text), `"reason":"no-room"`)
}

// cpuSeconds returns the CPU time of all proxies together.
func (r *Report) cpuSeconds() float64 {
	total := 0.0
	for _, p := range r.Proxies {
		total += p.CPUSeconds
	}
	return total
}
