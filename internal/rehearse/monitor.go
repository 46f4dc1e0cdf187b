package rehearse

import (
	"context"
	"fmt"
	"io"
	"time"

	"chalkferry/internal/standin/judge"
)

// monitor drives the nodes and the judge, samples the processes and prints the progress until the context ends.
func (r *rehearsal) monitor(ctx context.Context, sessions int, progress io.Writer) {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	sampled := r.now()
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		for _, each := range r.nodes {
			each.Tick()
		}
		r.judge.Check(r.now())
		if r.now()-sampled < sampleInterval {
			continue
		}
		sampled = r.now()
		r.checkIntruder()
		sample := r.sample()
		if progress != nil {
			r.printProgress(progress, sample, sessions)
		}
	}
}

// sample records a sample of the nodes and processes, and reports crashed processes to the judge.
func (r *rehearsal) sample() Sample {
	for i, p := range r.processes {
		p.sample()
		if p.hasCrashed() {
			r.judge.ProxyDied(judge.ProxyID(i))
		}
	}
	s := Sample{AtMs: float64(r.now().Milliseconds()), OpenSessions: r.clients.OpenSessions()}
	for _, each := range r.nodes {
		stats := each.Stats()
		s.SessionsByNode = append(s.SessionsByNode, stats.Sessions)
		if stats.Capacity > 0 {
			s.MaxLoad = max(s.MaxLoad, stats.Demand/stats.Capacity)
		}
	}
	for _, p := range r.processes {
		p.mu.Lock()
		s.FDs = append(s.FDs, p.fds)
		s.RSSMB = append(s.RSSMB, float64(p.rss)/bytesPerMB)
		p.mu.Unlock()
	}
	r.mu.Lock()
	r.samples = append(r.samples, s)
	r.mu.Unlock()
	return s
}

// printProgress overwrites the progress line.
func (r *rehearsal) printProgress(out io.Writer, sample Sample, sessions int) {
	counts := r.clients.Counts()
	_, byRule := r.judge.Violations()
	violations := 0
	for _, n := range byRule {
		violations += n
	}
	length := (r.scenario.Length + r.scenario.Settle).D()
	fmt.Fprintf(out, "\r%s  %4.1f of %.1f s  sessions %d of %d  open %d  refused %d  rules broken %d \x1b[K", r.scenario.Name,
		r.now().Seconds(), length.Seconds(), counts.Sessions, sessions, sample.OpenSessions, counts.Refused, violations)
}
