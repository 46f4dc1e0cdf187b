package rehearse

import (
	"context"
	"fmt"
	"io"

	"chalkferry/internal/load"
)

// Step is one rate of a climb.
type CapacityStep struct {
	Rate     float64      `json:"rate"` // sessions a second
	Connects load.Summary `json:"connect_ms"`
	Messages load.Summary `json:"message_ms"`
	CPU      float64      `json:"cpu"` // of the proxies, in cores, while the step lasted
	Refused  int64        `json:"refused"`
	Late     bool         `json:"late"` // the generator was
	Failed   []string     `json:"failed"`
}

// Climb is how far a rate could be raised.
type CapacitySearch struct {
	Scenario string         `json:"scenario"`
	Steps    []CapacityStep `json:"steps"`
	Carried  float64        `json:"carried"` // the highest rate whose p99 was not twice that of the first step
	Why      string         `json:"why"`     // the climb ended
}

// beyond is how many times the first step's p99 ends a climb.
const capacityP99Multiple = 2

// Climbs raises a scenario's rate by a factor from step to step, each a run of its own, until the p99 of the
// handshake has doubled twice in a row, the generator is late, or a rule is broken.
func FindCapacity(ctx context.Context, s *Scenario, o Options, from, factor float64, most int, told io.Writer) (*CapacitySearch, error) {
	c := &CapacitySearch{Scenario: s.Name, Why: "all steps were taken"}
	first, over := 0.0, 0
	for n, rate := 0, from; n < most; n, rate = n+1, rate*factor {
		again := *s
		again.SetRate(rate)
		r, err := Run(ctx, &again, o)
		if err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			c.Why = "interrupted"
			return c, nil
		}
		cpu := 0.0
		for _, p := range r.Proxies {
			cpu += p.CPUSeconds
		}
		step := CapacityStep{rate, r.Connects, r.Messages, cpu / (s.Length + s.Settle).D().Seconds(), r.Clients.Refused, r.Late, r.Failed}
		c.Steps = append(c.Steps, step)
		fmt.Fprintf(told, "%8.0f a second: handshake p50 %7.2f p99 %8.2f ms, message p50 %6.2f p99 %7.2f ms, CPU %.2f, %d refused, lateness p99 %.2f ms\n",
			rate, r.Connects.P50, r.Connects.P99, r.Messages.P50, r.Messages.P99, step.CPU, r.Clients.Refused, r.Lateness.P99)
		if n == 0 {
			first = r.Connects.P99
		}
		switch {
		case r.Late:
			c.Why = "the generator was late"
			return c, nil
		case len(r.Failed) > 0:
			c.Why = r.Failed[0]
			return c, nil
		case r.Connects.P99 <= capacityP99Multiple*first:
			c.Carried, over = rate, 0
			continue
		}
		if over++; over == 2 {
			c.Why = fmt.Sprintf("the p99 of the handshake passed %d times the first step's %.2f ms", capacityP99Multiple, first)
			return c, nil
		}
	}
	return c, nil
}
