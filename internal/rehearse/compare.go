package rehearse

import (
	"context"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Ratio is how a figure of one build stands to the same of another, over pairs of runs: the geometric mean of the
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

// figures that are compared; less is better in all of them.
var compared = []struct {
	name string
	of   func(r *Report) float64
}{
	{"handshake p50, ms", func(r *Report) float64 { return r.Connects.P50 }},
	{"handshake p99, ms", func(r *Report) float64 { return r.Connects.P99 }},
	{"message p50, ms", func(r *Report) float64 { return r.Messages.P50 }},
	{"message p99, ms", func(r *Report) float64 { return r.Messages.P99 }},
	{"not accepted, share", func(r *Report) float64 {
		return 1 - float64(r.Clients.Served)/float64(max(r.Clients.Sessions, 1))
	}},
	{"CPU a session, ms", func(r *Report) float64 {
		cpu := 0.0
		for _, p := range r.Proxies {
			cpu += p.CPUSeconds
		}
		return 1000 * cpu / float64(max(r.Clients.Sessions, 1))
	}},
	{"peak memory, MB", func(r *Report) float64 {
		peak := 0.0
		for _, p := range r.Proxies {
			peak = max(peak, p.PeakRSSMB)
		}
		return peak
	}},
}

// Comparison is two builds on one scenario.
type Comparison struct {
	Scenario string   `json:"scenario"`
	Pairs    int      `json:"pairs"`
	Ratios   []Ratio  `json:"ratios"`
	Failed   []string `json:"failed"` // runs that broke a rule, or in which the generator was late
}

// Compare runs a scenario by two builds in pairs, each pair with a seed of its own and the order turned round from one
// to the next, so that what drifts on the machine meets both alike.
func Compare(ctx context.Context, s *Scenario, a, b string, pairs int, progress io.Writer) (*Comparison, error) {
	c := &Comparison{Scenario: s.Name, Pairs: pairs, Failed: []string{}}
	values := make([][2][]float64, len(compared))
	seed := s.Seed
	for n := range pairs {
		var reports [2]*Report
		for turn := range 2 {
			which := (turn + n) % 2
			again := *s
			again.Seed = seed + int64(n)
			r, err := Run(ctx, &again, Options{Proxy: []string{a, b}[which], Progress: progress})
			if err != nil {
				return nil, err
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			for _, text := range r.Failed {
				c.Failed = append(c.Failed, fmt.Sprintf("pair %d, %s: %s", n+1, []string{"A", "B"}[which], text))
			}
			if r.Late {
				c.Failed = append(c.Failed, fmt.Sprintf("pair %d, %s: the generator was late", n+1, []string{"A", "B"}[which]))
			}
			reports[which] = r
		}
		for i, each := range compared {
			values[i][0] = append(values[i][0], each.of(reports[0]))
			values[i][1] = append(values[i][1], each.of(reports[1]))
		}
	}
	for i, each := range compared {
		c.Ratios = append(c.Ratios, ratio(each.name, values[i][0], values[i][1]))
	}
	return c, nil
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
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(logs) - 1)}.Quantile(0.975)
	half := t * deviation / math.Sqrt(float64(len(logs)))
	r.Ratio, r.Low, r.High = math.Exp(mean), math.Exp(mean-half), math.Exp(mean+half)
	r.Noise = r.Low <= 1 && r.High >= 1
	return r
}

// Print writes the comparison for people.
func (c *Comparison) Print(to io.Writer) {
	fmt.Fprintf(to, "%s, %d pairs; B over A, with the interval of 95%%\n", c.Scenario, c.Pairs)
	for _, r := range c.Ratios {
		word := "noise"
		switch {
		case len(r.Pairs) < 2:
			word = "no ratio"
		case !r.Noise && r.Ratio < 1:
			word = fmt.Sprintf("B is %.0f%% lower", 100*(1-r.Ratio))
		case !r.Noise:
			word = fmt.Sprintf("B is %.0f%% higher", 100*(r.Ratio-1))
		}
		fmt.Fprintf(to, "%-20s A %9.3f  B %9.3f  ratio %.3f (%.3f to %.3f)  %s\n", r.Figure, r.A, r.B, r.Ratio, r.Low, r.High, word)
	}
	for _, text := range c.Failed {
		fmt.Fprintf(to, "FAILED: %s\n", text)
	}
}
