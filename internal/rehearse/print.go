package rehearse

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"chalkferry/internal/load"
)

// maxPrintedViolations bounds how many violations are printed in detail.
const maxPrintedViolations = 10

// Print writes the report for people.
func (r *Report) Print(to io.Writer) {
	if r.Late {
		fmt.Fprintf(to, "LATE: the generator was behind its own schedule: %d of %d sends by more than %g ms (p99 %.1f ms). "+
			"The times below are its own as well as the proxies'.\n", r.LateSends, r.Lateness.N, r.LateBoundMs, r.Lateness.P99)
	}
	if r.Unbound != "" {
		fmt.Fprintf(to, "NOT BOUND: the proxies had no processors of their own: %s. The times and the CPU below are not those of proxies that have.\n",
			r.Unbound)
	}
	if r.Interrupted {
		fmt.Fprintf(to, "interrupted: what was seen until then\n")
	}
	r.printSessions(to)
	printLatencies(to, "handshake", r.Connects)
	printLatencies(to, "message", r.Messages)
	printLatencies(to, "lateness", r.Lateness)
	for _, p := range r.Proxies {
		fmt.Fprintf(to, "proxy %s: %.1f MB of %d, %d descriptors of %d, %.2f s of CPU, %d starts\n", p.Name, p.PeakRSSMB, p.MemoryMB,
			p.Descriptors, p.Sockets, p.CPUSeconds, p.Starts)
	}
	if bad := r.BadClients; bad.Sent > 0 {
		fmt.Fprintf(to, "bad clients: %d, %d answered, %d closed on, %d left with neither\n", bad.Sent, bad.Answered, bad.Closed,
			bad.Unanswered)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(to, "fault %s\n", f)
	}
	r.printVerdict(to)
}

func (r *Report) printSessions(to io.Writer) {
	c := r.Clients
	fmt.Fprintf(to, "%s (seed %d): %d sessions of %d, %d tries: %d accepted, %d refused, %d torn down, %d broken, %d unanswered\n",
		r.Scenario, r.Seed, r.Sessions, r.Scheduled, c.Attempts, c.Accepted, c.Refused, c.Failed, c.ConnectionLost, c.Unanswered)
	fmt.Fprintf(to, "%d sessions were accepted at least once; then %d completed, %d moved, %d cut off, %d went on by another proxy, %d open at the end; %d gave up\n",
		c.Served, c.Completed, c.Migrated, c.CutOff, c.Resumed, r.OpenAtEnd, c.GivenUp)
}

func printLatencies(to io.Writer, name string, l load.Summary) {
	fmt.Fprintf(to, "%-12s n %7d  p50 %8.2f  p90 %8.2f  p99 %8.2f  p99.9 %8.2f  max %8.2f ms\n", name, l.N, l.P50, l.P90, l.P99,
		l.P999, l.Max)
}

func (r *Report) printVerdict(to io.Writer) {
	for i, v := range r.Rules {
		if i == maxPrintedViolations {
			fmt.Fprintf(to, "and %d more\n", len(r.Rules)-maxPrintedViolations)
			break
		}
		fmt.Fprintf(to, "broken at %s\n", v)
	}
	if len(r.Failed) == 0 {
		fmt.Fprintln(to, "all rules kept")
	}
	for _, text := range r.Failed {
		fmt.Fprintf(to, "FAILED: %s\n", text)
	}
}

// WriteJSON keeps the report in a file.
func (r *Report) WriteJSON(file string) error { return writeJSON(file, r) }

// writeJSON writes a value, indented, to a file.
func writeJSON(file string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
