package rehearse

import (
	"context"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Ratio compares a figure of two builds over pairs of runs: the geometric mean of the pairs' ratios, with its 95%
// confidence interval if the logarithms of the ratios are normally distributed.
type Ratio struct {
	Figure string    `json:"figure"`
	A      float64   `json:"a"`     // mean of the first build
	B      float64   `json:"b"`     // mean of the second build
	Ratio  float64   `json:"ratio"` // B over A, 0 if there are fewer than two pairs
	Low    float64   `json:"low"`   // bounds of the interval
	High   float64   `json:"high"`
	Noise  bool      `json:"noise"` // the interval contains 1, or there is no ratio
	Pairs  []float64 `json:"pairs"` // ratio of each pair of which both values are above 0
}

// comparedFigure is a figure of a run that is better the lower it is.
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

// sessionsOrOne returns the number of sessions as a divisor, 1 if there were none.
func (r *Report) sessionsOrOne() float64 { return float64(max(r.Clients.Sessions, 1)) }

// peakMemoryMB returns the peak memory of the proxy that used most, in MiB.
func (r *Report) peakMemoryMB() float64 {
	peak := 0.0
	for _, p := range r.Proxies {
		peak = max(peak, p.PeakRSSMB)
	}
	return peak
}

// Comparison is the result of comparing two builds on one scenario.
type Comparison struct {
	Scenario string   `json:"scenario"`
	Pairs    int      `json:"pairs"`
	Ratios   []Ratio  `json:"ratios"`
	Failed   []string `json:"failed"`  // failures of runs, and runs in which the load generator was late
	Unbound  []string `json:"unbound"` // runs whose proxies had no processors of their own, with the reason
}

// buildNames are the names of the two builds in the output.
var buildNames = [2]string{"A", "B"}

// Compare runs a scenario with two builds of the proxy, given by their paths, in pairs. Each pair has a seed of its own,
// and the order alternates, so that changes of the machine's speed over time affect both builds alike.
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

// runPair runs the scenario once with each build, and records failed and unbound runs.
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

// ratio computes the ratio of one figure from its values in each pair. Pairs with a value of 0 are left out.
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

// conclusion returns the ratio's result as text.
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

// Print writes the comparison as text.
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

// WriteJSON writes the comparison to a file as JSON.
func (c *Comparison) WriteJSON(file string) error { return writeJSON(file, c) }
