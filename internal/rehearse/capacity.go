package rehearse

import (
	"context"
	"fmt"
	"io"

	"chalkferry/internal/load"
)

// CapacityStep is the result of one rate in a search for the capacity.
type CapacityStep struct {
	Rate       float64      `json:"rate"` // sessions per second
	Handshakes load.Summary `json:"connect_ms"`
	Messages   load.Summary `json:"message_ms"`
	CPU        float64      `json:"cpu"` // mean usage of all proxies, in cores
	Refused    int64        `json:"refused"`
	Late       bool         `json:"late"` // the load generator was late
	Failed     []string     `json:"failed"`
	Unbound    string       `json:"unbound,omitempty"` // why the proxies had no processors of their own
}

// CapacitySearch is the result of a search for the highest rate that the proxies sustain.
type CapacitySearch struct {
	Scenario   string         `json:"scenario"`
	Steps      []CapacityStep `json:"steps"`
	MaxRate    float64        `json:"carried"` // highest rate that was not over capacity, in sessions per second
	StopReason string         `json:"why"`     // why the search ended
}

const (
	// capacityP99Multiple: a step whose handshake p99 exceeds the first step's by this factor is over capacity.
	capacityP99Multiple = 2
	// maxStepsOver is the number of consecutive steps over capacity that end the search.
	maxStepsOver = 2
)

// FindCapacity runs a scenario at increasing rates, multiplied by a factor from step to step, until two steps in a row
// have more than twice the first step's handshake p99, the load generator is late, a run fails, or maxSteps steps are
// done. Each step is printed.
func FindCapacity(ctx context.Context, s *Scenario, o Options, from, factor float64, maxSteps int, out io.Writer) (*CapacitySearch, error) {
	c := &CapacitySearch{Scenario: s.Name, StopReason: "all steps were taken"}
	rate, stepsOver := from, 0
	for range maxSteps {
		report, err := runAtRate(ctx, s, o, rate)
		if err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			c.StopReason = "interrupted"
			return c, nil
		}
		c.Steps = append(c.Steps, capacityStep(s, rate, report))
		printStep(out, c.Steps[len(c.Steps)-1], report)
		firstP99 := c.Steps[0].Handshakes.P99
		switch {
		case report.Late:
			c.StopReason = "the generator was late"
			return c, nil
		case len(report.Failed) > 0:
			c.StopReason = report.Failed[0]
			return c, nil
		case report.Handshakes.P99 <= capacityP99Multiple*firstP99:
			c.MaxRate, stepsOver = rate, 0
		default:
			stepsOver++
		}
		if stepsOver == maxStepsOver {
			c.StopReason = fmt.Sprintf("the p99 of the handshake exceeded %d times the first step's %.2f ms", capacityP99Multiple, firstP99)
			return c, nil
		}
		rate *= factor
	}
	return c, nil
}

// runAtRate runs the scenario with Poisson arrivals at a rate, in sessions per second.
func runAtRate(ctx context.Context, s *Scenario, o Options, rate float64) (*Report, error) {
	run := *s
	run.SetRate(rate)
	return Run(ctx, &run, o)
}

func capacityStep(s *Scenario, rate float64, r *Report) CapacityStep {
	length := (s.Length + s.Settle).D()
	return CapacityStep{
		Rate:       rate,
		Handshakes: r.Handshakes,
		Messages:   r.Messages,
		CPU:        r.cpuSeconds() / length.Seconds(),
		Refused:    r.Clients.Refused,
		Late:       r.Late,
		Failed:     r.Failed,
		Unbound:    r.Unbound,
	}
}

func printStep(out io.Writer, step CapacityStep, r *Report) {
	fmt.Fprintf(out, "%8.0f a second: handshake p50 %7.2f p99 %8.2f ms, message p50 %6.2f p99 %7.2f ms, CPU %.2f, %d refused, lateness p99 %.2f ms\n",
		step.Rate, r.Handshakes.P50, r.Handshakes.P99, r.Messages.P50, r.Messages.P99, step.CPU, r.Clients.Refused, r.Lateness.P99)
	if step.Unbound != "" {
		fmt.Fprintf(out, "NOT BOUND: %s\n", step.Unbound)
	}
}

// WriteJSON writes the search to a file as JSON.
func (c *CapacitySearch) WriteJSON(file string) error { return writeJSON(file, c) }
