package rehearse

import (
	"context"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Ratio compares a figure of one build with the same of another, over pairs of runs: the geometric mean of the
// pairs' ratios, with the interval in which it lies with 95% certainty if the pairs' logarithms are spread normally.
type Ratio struct {
	Figure string    `json:"figure"`
	A      float64   `json:"a"` // mean
	B      float64   `json:"b"`
	Ratio  float64   `json:"ratio"` // B over A
	Low    float64   `json:"low"`
	High   float64   `json:"high"`
	Noise  bool      `json:"noise"` // the interval has 1 in it
	Pairs  []float64 `json:"pairs"` // each pair's ratio
}

// comparedFigure is a figure of a run, of which less is better.
type comparedFigure struct {
	name  string
	value func(r *Report) float64
}

var comparedFigures = []comparedFigure{
	{"handshake p50, ms", func(r *Report) float64 { return r.Handshakes.P50 }},
	{"handshake p99, ms", func(r *Report) float64 { return r.Handshakes.P99 }},
	{"message p50, ms", func(r *Report) float64 { return r.Messages.P50 }},
	{"message p99, ms", func(r *Report) float64 { return r.Messages.P99 }},
	{"not accepted, share", func(r *Report) float64 { return 1 - float64(r.Clients.Served)/r.sessionsOrOne() }},
	{"CPU a session, ms", func(r *Report) float64 { return 1000 * r.cpuSeconds() / r.sessionsOrOne() }},
	{"peak memory, MB", (*Report).peakMemoryMB},
}

// sessionsOrOne is the number of sessions as a divisor.
func (r *Report) sessionsOrOne() float64 { return float64(max(r.Clients.Sessions, 1)) }

// peakMemoryMB is that of the proxy that used most.
func (r *Report) peakMemoryMB() float64 {
	peak := 0.0
	for _, p := range r.Proxies {
		peak = max(peak, p.PeakRSSMB)
	}
	return peak
}

// Comparison is two builds on one scenario.
type Comparison struct {
	Scenario string   `json:"scenario"`
	Pairs    int      `json:"pairs"`
	Ratios   []Ratio  `json:"ratios"`
	Failed   []string `json:"failed"`  // runs that broke a rule, or in which the generator was late
	Unbound  []string `json:"unbound"` // runs whose proxies had no processors of their own, with the reason
}

// buildNames are those of the two builds in what is printed.
var buildNames = [2]string{"A", "B"}

// Compare runs a scenario by two builds in pairs, each pair with a seed of its own and in alternating order, so that
// drift of the machine affects both alike.
func Compare(ctx context.Context, s *Scenario, a, b string, pairs int, progress io.Writer) (*Comparison, error) {
	c := &Comparison{Scenario: s.Name, Pairs: pairs, Failed: []string{}, Unbound: []string{}}
	values := make([][2][]float64, len(comparedFigures))
	for pair := range pairs {
		reports, err := c.runPair(ctx, s, pair, [2]string{a, b}, progress)
		if err != nil {
			return nil, err
		}
		for i, figure := range comparedFigures {
			for build, report := range reports {
				values[i][build] = append(values[i][build], figure.value(report))
			}
		}
	}
	for i, figure := range comparedFigures {
		c.Ratios = append(c.Ratios, ratio(figure.name, values[i][0], values[i][1]))
	}
	return c, nil
}

// runPair runs the scenario once by each build, and notes failed runs.
func (c *Comparison) runPair(ctx context.Context, s *Scenario, pair int, builds [2]string, progress io.Writer) (reports [2]*Report, err error) {
	for turn := range builds {
		build := (turn + pair) % 2
		run := *s
		run.Seed += int64(pair)
		report, err := Run(ctx, &run, Options{Proxy: builds[build], Progress: progress})
		if err != nil {
			return reports, err
		}
		if ctx.Err() != nil {
			return reports, ctx.Err()
		}
		for _, text := range report.Failed {
			c.Failed = append(c.Failed, fmt.Sprintf("pair %d, %s: %s", pair+1, buildNames[build], text))
		}
		if report.Late {
			c.Failed = append(c.Failed, fmt.Sprintf("pair %d, %s: the generator was late", pair+1, buildNames[build]))
		}
		if report.Unbound != "" {
			c.Unbound = append(c.Unbound, fmt.Sprintf("pair %d, %s: %s", pair+1, buildNames[build], report.Unbound))
		}
		reports[build] = report
	}
	return reports, nil
}

// ratio works out one figure's ratio from its values in each pair. Where one of a pair is 0 there is none.
func ratio(name string, a, b []float64) Ratio {
	r := Ratio{Figure: name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Noise: true}
	var logs []float64
	for i := range a {
		if a[i] > 0 && b[i] > 0 {
			logs = append(logs, math.Log(b[i]/a[i]))
			r.Pairs = append(r.Pairs, b[i]/a[i])
		}
	}
	if len(logs) < 2 {
		return r
	}
	mean, deviation := stat.MeanStdDev(logs, nil)
	tQuantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(logs) - 1)}.Quantile(0.975)
	margin := tQuantile * deviation / math.Sqrt(float64(len(logs)))
	r.Ratio, r.Low, r.High = math.Exp(mean), math.Exp(mean-margin), math.Exp(mean+margin)
	r.Noise = r.Low <= 1 && r.High >= 1
	return r
}

// conclusion says what the ratio shows.
func (r Ratio) conclusion() string {
	switch {
	case len(r.Pairs) < 2:
		return "no ratio"
	case r.Noise:
		return "noise"
	case r.Ratio < 1:
		return fmt.Sprintf("B is %.0f%% lower", 100*(1-r.Ratio))
	}
	return fmt.Sprintf("B is %.0f%% higher", 100*(r.Ratio-1))
}

// Print writes the comparison for people.
func (c *Comparison) Print(out io.Writer) {
	fmt.Fprintf(out, "%s, %d pairs; B over A, with the interval of 95%%\n", c.Scenario, c.Pairs)
	for _, r := range c.Ratios {
		fmt.Fprintf(out, "%-20s A %9.3f  B %9.3f  ratio %.3f (%.3f to %.3f)  %s\n", r.Figure, r.A, r.B, r.Ratio, r.Low, r.High, r.conclusion())
	}
	for _, text := range c.Unbound {
		fmt.Fprintf(out, "NOT BOUND: %s\n", text)
	}
	for _, text := range c.Failed {
		fmt.Fprintf(out, "FAILED: %s\n", text)
	}
}

// WriteJSON keeps the comparison in a file.
func (c *Comparison) WriteJSON(file string) error { return writeJSON(file, c) }
