package rehearse

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"chalkferry/internal/load"
)

// maxPrintedViolations is the number of violations that are printed in detail.
const maxPrintedViolations = 10

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	if r.Late {
		fmt.Fprintf(out, "LATE: the generator was behind its own schedule: %d of %d sends by more than %g ms (p99 %.1f ms). "+
			"The times below are its own as well as the proxies'.\n", r.LateSends, r.Lateness.N, r.LateBoundMs, r.Lateness.P99)
	}
	if r.Unbound != "" {
		fmt.Fprintf(out, "NOT BOUND: the proxies had no processors of their own: %s. The times and the CPU below are not those of proxies that have.\n",
			r.Unbound)
	}
	if r.Interrupted {
		fmt.Fprintf(out, "interrupted: the results cover the time until then\n")
	}
	r.printSessions(out)
	printLatencies(out, "handshake", r.Handshakes)
	printLatencies(out, "message", r.Messages)
	printLatencies(out, "lateness", r.Lateness)
	for _, p := range r.Proxies {
		fmt.Fprintf(out, "proxy %s: %.1f MB of %d, %d descriptors of %d, %.2f s of CPU, %d starts\n", p.Name, p.PeakRSSMB, p.MemoryMB,
			p.Descriptors, p.Sockets, p.CPUSeconds, p.Starts)
	}
	if bad := r.BadClients; bad.Sent > 0 {
		fmt.Fprintf(out, "bad clients: %d, %d answered, %d closed on, %d left with neither\n", bad.Sent, bad.Answered, bad.Closed,
			bad.Unanswered)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(out, "fault %s\n", f)
	}
	r.printVerdict(out)
}

func (r *Report) printSessions(out io.Writer) {
	counts := r.Clients
	fmt.Fprintf(out, "%s (seed %d): %d sessions of %d, %d tries: %d accepted, %d refused, %d torn down, %d broken, %d unanswered\n",
		r.Scenario, r.Seed, r.Sessions, r.Scheduled, counts.Attempts, counts.Accepted, counts.Refused, counts.Failed, counts.ConnectionLost, counts.Unanswered)
	fmt.Fprintf(out, "%d sessions were accepted at least once; then %d completed, %d moved, %d cut off, %d resumed through another proxy, %d open at the end; %d gave up\n",
		counts.Served, counts.Completed, counts.Migrated, counts.CutOff, counts.Resumed, r.OpenAtEnd, counts.GivenUp)
}

func printLatencies(out io.Writer, name string, latencies load.Summary) {
	fmt.Fprintf(out, "%-12s n %7d  p50 %8.2f  p90 %8.2f  p99 %8.2f  p99.9 %8.2f  max %8.2f ms\n", name, latencies.N, latencies.P50, latencies.P90, latencies.P99,
		latencies.P999, latencies.Max)
}

func (r *Report) printVerdict(out io.Writer) {
	for i, v := range r.Rules {
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "and %d more\n", len(r.Rules)-maxPrintedViolations)
			break
		}
		fmt.Fprintf(out, "broken at %s\n", v)
	}
	if len(r.Failed) == 0 {
		fmt.Fprintln(out, "all rules kept")
	}
	for _, text := range r.Failed {
		fmt.Fprintf(out, "FAILED: %s\n", text)
	}
}

// WriteJSON writes the report to a file as JSON.
func (r *Report) WriteJSON(file string) error { return writeJSON(file, r) }

// writeJSON writes a value, indented, to a file.
func writeJSON(file string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
