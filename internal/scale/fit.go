package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a linear regression of one figure over the numbers of hollow members of a run's steps.
type Fit struct {
	Figure    string  `json:"figure"`           // path of the figure in the report
	Intercept float64 `json:"intercept"`        // in the figure's unit
	Slope     float64 `json:"slope_per_member"` // in the figure's unit per member
	RSquared  float64 `json:"r_squared"`
	From      int     `json:"from_members"` // members of the first step
	To        int     `json:"to_members"`   // members of the last step
}

// fitSteps adds a regression of each figure over the steps that count: those neither interrupted nor void. Fewer than three
// steps give none.
func (r *Report) fitSteps() {
	var steps []*StepReport
	for _, s := range r.Steps {
		if s.Interrupted == "" && !s.Void {
			steps = append(steps, s)
		}
	}
	if len(steps) < 3 {
		return
	}
	var sizes []float64
	for _, s := range steps {
		sizes = append(sizes, float64(s.Hollow))
	}
	for _, figure := range []struct {
		name    string
		valueOf func(*StepReport) float64
	}{
		{"hollow_member.cpu_share", func(s *StepReport) float64 { return s.Member.CPUShare }},
		{"hollow_member.memory_bytes", func(s *StepReport) float64 { return s.Member.MemoryBytes }},
		{"hollow_member.bytes_in_and_out_per_second", func(s *StepReport) float64 { return s.Member.BytesIn + s.Member.BytesOut }},
		{"aggregator.cpu_share", func(s *StepReport) float64 { return s.meanAggregator().CPUShare }},
		{"aggregator.memory_mb", func(s *StepReport) float64 { return s.meanAggregator().MemoryMB }},
		{"aggregator.bytes_in_per_second", func(s *StepReport) float64 { return s.meanAggregator().BytesIn }},
		{"aggregator.bytes_out_per_second", func(s *StepReport) float64 { return s.meanAggregator().BytesOut }},
		{"stand_in_discovery.cpu_share", func(s *StepReport) float64 { return s.Discovery.CPUShare }},
		{"stand_in_discovery.memory_mb", func(s *StepReport) float64 { return s.Discovery.MemoryMB }},
	} {
		var values []float64
		for _, s := range steps {
			values = append(values, figure.valueOf(s))
		}
		f := Fit{Figure: figure.name, From: steps[0].Hollow, To: steps[len(steps)-1].Hollow}
		f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
		f.RSquared = stat.RSquared(sizes, values, nil, f.Intercept, f.Slope)
		if !math.IsNaN(f.RSquared) && !math.IsInf(f.RSquared, 0) {
			r.Fits = append(r.Fits, f)
		}
	}
}

// meanAggregator returns the mean over the aggregators that were measured. Each serves the members of its region only.
func (s *StepReport) meanAggregator() (mean RoleUsage) {
	for _, a := range s.Aggregators {
		n := float64(len(s.Aggregators))
		mean.CPUShare += a.CPUShare / n
		mean.MemoryMB += a.MemoryMB / n
		mean.BytesIn += a.BytesIn / n
		mean.BytesOut += a.BytesOut / n
		mean.PacketsIn += a.PacketsIn / n
		mean.PacketsOut += a.PacketsOut / n
	}
	return mean
}
