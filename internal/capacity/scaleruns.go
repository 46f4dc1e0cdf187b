package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// Prefixes of the names of slopes fitted to scale runs, by the mechanism that was run. Their variable is the number of hollow
// members, which run a proxy's control code and serve no clients, see internal/scale.
const (
	scaleFlat        = "ScaleFlat."
	scaleAggregation = "ScaleAggregation."
	variableMembers  = "members"
)

// Rest of the names after the prefix. Without a role in the name the value is that of one member.
const (
	scaleCPU            = "cpu-share"
	scaleMemory         = "memory-B"
	scaleBytesIn        = "in-B/s"
	scaleBytesOut       = "out-B/s"
	scaleKnown99        = "known99-s"   // seconds until 99 in 100 members know a change of a count; the slowest change of a step
	scaleKnownAll       = "known-all-s" // seconds until all members know it
	scaleList99         = "list99-s"    // seconds until 99 in 100 members know a change of the list
	scaleDiscoveryCPU   = "discovery-cpu-share"
	scaleDiscoveryOut   = "discovery-out-B/s"
	scaleAggregatorCPU  = "aggregator-cpu-share" // of the busiest aggregator
	scaleAggregatorSize = "aggregator-memory-B"
	scaleAggregatorIn   = "aggregator-in-B/s"
	scaleAggregatorOut  = "aggregator-out-B/s"
)

// scaleReport holds the part of a report of `chalkferry scale --json` that this package reads.
type scaleReport struct {
	Command   string      `json:"command"`
	Commit    string      `json:"commit"`
	Cores     int         `json:"cores"`
	At        time.Time   `json:"at"`
	Mechanism string      `json:"mechanism"`
	Steps     []scaleStep `json:"steps"`
}

// scaleStep is the result at one number of members.
type scaleStep struct {
	Hollow int  `json:"hollow_members"`
	Void   bool `json:"void"` // the load generator was late, so the step does not count
	Member struct {
		CPUShare    float64 `json:"cpu_share"` // processor time as a share of a core
		MemoryBytes float64 `json:"memory_bytes"`
		BytesIn     float64 `json:"bytes_in_per_second"`
		BytesOut    float64 `json:"bytes_out_per_second"`
	} `json:"hollow_member"`
	Discovery    scaleRole          `json:"stand_in_discovery"`
	Aggregators  []scaleRole        `json:"aggregators"`
	CountChanges []scalePropagation `json:"count_changes"`
	ListChanges  []scalePropagation `json:"list_changes"`
}

// scaleRole is what one process of a role used.
type scaleRole struct {
	CPUShare float64 `json:"cpu_share"`
	MemoryMB float64 `json:"memory_mb"`
	BytesIn  float64 `json:"bytes_in_per_second"`
	BytesOut float64 `json:"bytes_out_per_second"`
}

// scalePropagation says how long one change took to reach the members.
type scalePropagation struct {
	P99 float64 `json:"known_99"` // seconds until 99 in 100 members knew it; -1 for never
	All float64 `json:"all"`      // seconds until all members knew it; -1 for never
}

// FromScaleRun fits slopes to the steps of a scale run. Steps with a late load generator do not count, and a time that some
// members never reached is left out of its slope. A value with fewer than minFitPoints steps is known at these steps only.
func FromScaleRun(name string, machine, note string) ([]*Slope, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	report := &scaleReport{}
	if err := json.Unmarshal(text, report); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if report.Command == "" || report.Commit == "" || report.Commit == "unknown" {
		return nil, fmt.Errorf("%s: the report has no command or no commit", name)
	}
	prefix := scaleAggregation
	if strings.HasPrefix(report.Mechanism, "flat counts") {
		prefix = scaleFlat
	}
	origin := Origin{Command: report.Command, Commit: shortCommit(report.Commit), Date: report.At.Format(time.DateOnly), Machine: machine, Note: note}
	if origin.Machine == "" {
		origin.Machine = fmt.Sprintf("%d cores", report.Cores)
	}
	var names []string
	byName := map[string]*Slope{}
	for _, step := range report.Steps {
		if step.Void {
			continue
		}
		for _, figure := range step.figures() {
			if figure.value < 0 {
				continue
			}
			s := byName[figure.name]
			if s == nil {
				s = &Slope{Name: prefix + figure.name, Unit: figure.name, Variable: variableMembers, Origin: origin, Runs: 1}
				byName[figure.name] = s
				names = append(names, figure.name)
			}
			s.addMinimum(float64(step.Hollow), figure.value)
		}
	}
	var slopes []*Slope
	for _, name := range names {
		s := byName[name]
		s.Exact = len(s.Points) < minFitPoints
		if err := s.Fit(); err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// shortCommitLength is how many digits of a commit hash identify the commit.
const shortCommitLength = 7

func shortCommit(commit string) string { return commit[:min(len(commit), shortCommitLength)] }

// scaleFigure is one value of a step, by the rest of its slope's name.
type scaleFigure struct {
	name  string
	value float64 // -1 for no value
}

// figures returns the values of a step: those of members are means, those of a role are of the process that used most.
func (s *scaleStep) figures() []scaleFigure {
	figures := []scaleFigure{
		{scaleCPU, s.Member.CPUShare}, {scaleMemory, s.Member.MemoryBytes}, {scaleBytesIn, s.Member.BytesIn}, {scaleBytesOut, s.Member.BytesOut},
		{scaleKnown99, slowest(s.CountChanges, func(c scalePropagation) float64 { return c.P99 })},
		{scaleKnownAll, slowest(s.CountChanges, func(c scalePropagation) float64 { return c.All })},
		{scaleList99, slowest(s.ListChanges, func(c scalePropagation) float64 { return c.P99 })},
		{scaleDiscoveryCPU, s.Discovery.CPUShare}, {scaleDiscoveryOut, s.Discovery.BytesOut},
	}
	if len(s.Aggregators) == 0 {
		return figures
	}
	var busiest scaleRole
	for _, a := range s.Aggregators {
		busiest.CPUShare, busiest.MemoryMB = max(busiest.CPUShare, a.CPUShare), max(busiest.MemoryMB, a.MemoryMB)
		busiest.BytesIn, busiest.BytesOut = max(busiest.BytesIn, a.BytesIn), max(busiest.BytesOut, a.BytesOut)
	}
	return append(figures, scaleFigure{scaleAggregatorCPU, busiest.CPUShare}, scaleFigure{scaleAggregatorSize, busiest.MemoryMB * bytesInMB},
		scaleFigure{scaleAggregatorIn, busiest.BytesIn}, scaleFigure{scaleAggregatorOut, busiest.BytesOut})
}

// slowest returns the longest time of the changes, -1 if there is none or some members never knew of a change.
func slowest(changes []scalePropagation, timeOf func(scalePropagation) float64) float64 {
	longest := -1.0
	for _, c := range changes {
		if timeOf(c) < 0 {
			return -1
		}
		longest = max(longest, timeOf(c))
	}
	return longest
}
