package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// Prefixes of the slopes that scale runs give, by the mechanism that was run. All are by hollow members.
const (
	scaleFlat        = "ScaleFlat."
	scaleAggregation = "ScaleAggregation."
	variableMembers  = "members"
)

// What follows the prefix. Of a member, where no role is named.
const (
	scaleCPU            = "cpu-share"
	scaleMemory         = "memory-B"
	scaleBytesIn        = "in-B/s"
	scaleBytesOut       = "out-B/s"
	scaleKnown99        = "known99-s" // a change of a count, at 99 in 100 members; the slowest change of a step
	scaleKnownAll       = "known-all-s"
	scaleList99         = "list99-s" // a change of the list
	scaleDiscoveryCPU   = "discovery-cpu-share"
	scaleDiscoveryOut   = "discovery-out-B/s"
	scaleAggregatorCPU  = "aggregator-cpu-share" // of the busiest one
	scaleAggregatorSize = "aggregator-memory-B"
	scaleAggregatorIn   = "aggregator-in-B/s"
	scaleAggregatorOut  = "aggregator-out-B/s"
)

// scaleReport is the part of a report of `chalkferry scale --json` that is read here.
type scaleReport struct {
	Command   string      `json:"command"`
	Commit    string      `json:"commit"`
	Cores     int         `json:"cores"`
	At        time.Time   `json:"at"`
	Mechanism string      `json:"mechanism"`
	Steps     []scaleStep `json:"steps"`
}

type scaleStep struct {
	Hollow int  `json:"hollow_members"`
	Void   bool `json:"void"` // the generator was late
	Member struct {
		CPUShare    float64 `json:"cpu_share"`
		MemoryBytes float64 `json:"memory_bytes"`
		BytesIn     float64 `json:"bytes_in_per_second"`
		BytesOut    float64 `json:"bytes_out_per_second"`
	} `json:"hollow_member"`
	Discovery    scaleRole     `json:"stand_in_discovery"`
	Aggregators  []scaleRole   `json:"aggregators"`
	CountChanges []scaleSpread `json:"count_changes"`
	ListChanges  []scaleSpread `json:"list_changes"`
}

type scaleRole struct {
	CPUShare float64 `json:"cpu_share"`
	MemoryMB float64 `json:"memory_mb"`
	BytesIn  float64 `json:"bytes_in_per_second"`
	BytesOut float64 `json:"bytes_out_per_second"`
}

type scaleSpread struct {
	P99 float64 `json:"known_99"` // seconds; -1: never
	All float64 `json:"all"`
}

// FromScaleRun fits slopes to the steps of a scale run. Steps whose generator was late do not count, and a time that
// some members never reached is left out of its slope. A figure with fewer than three steps is known at these only.
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
		return nil, fmt.Errorf("%s names no command or no commit", name)
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
			s.keepLeast(float64(step.Hollow), figure.value)
		}
	}
	var slopes []*Slope
	for _, name := range names {
		s := byName[name]
		s.Exact = len(s.Points) < leastPoints
		if err := s.Fit(); err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// commitDigits are as many of a commit as tell it apart.
const commitDigits = 7

func shortCommit(commit string) string { return commit[:min(len(commit), commitDigits)] }

type scaleFigure struct {
	name  string
	value float64 // -1: there is none
}

// figures of one step: those of members are means, those of a role are of the one that used most.
func (s *scaleStep) figures() []scaleFigure {
	figures := []scaleFigure{
		{scaleCPU, s.Member.CPUShare}, {scaleMemory, s.Member.MemoryBytes}, {scaleBytesIn, s.Member.BytesIn}, {scaleBytesOut, s.Member.BytesOut},
		{scaleKnown99, slowest(s.CountChanges, func(c scaleSpread) float64 { return c.P99 })},
		{scaleKnownAll, slowest(s.CountChanges, func(c scaleSpread) float64 { return c.All })},
		{scaleList99, slowest(s.ListChanges, func(c scaleSpread) float64 { return c.P99 })},
		{scaleDiscoveryCPU, s.Discovery.CPUShare}, {scaleDiscoveryOut, s.Discovery.BytesOut},
	}
	if len(s.Aggregators) == 0 {
		return figures
	}
	var most scaleRole
	for _, a := range s.Aggregators {
		most.CPUShare, most.MemoryMB = max(most.CPUShare, a.CPUShare), max(most.MemoryMB, a.MemoryMB)
		most.BytesIn, most.BytesOut = max(most.BytesIn, a.BytesIn), max(most.BytesOut, a.BytesOut)
	}
	return append(figures, scaleFigure{scaleAggregatorCPU, most.CPUShare}, scaleFigure{scaleAggregatorSize, most.MemoryMB * bytesInMB},
		scaleFigure{scaleAggregatorIn, most.BytesIn}, scaleFigure{scaleAggregatorOut, most.BytesOut})
}

// slowest is the longest of the times, -1 if there is none or some members never knew.
func slowest(changes []scaleSpread, of func(scaleSpread) float64) float64 {
	most := -1.0
	for _, c := range changes {
		if of(c) < 0 {
			return -1
		}
		most = max(most, of(c))
	}
	return most
}
