// Package counts aggregates the logs of many proxies for the count command: events per second, dials per second and
// server, and how late each revision of the list of servers reached the proxies. It reads finished logs, matches lines
// by their keys and messages, and only counts: it does not evaluate the result.
package counts

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Fleet aggregates the logs of all proxies. Its times are those of the logs, so the proxies' clocks must agree.
type Fleet struct {
	proxies             int
	firstTime, lastTime time.Time
	eventTimes          map[string][]time.Time // times of events, by the name of their row in the output
	dialStarts          map[string][]time.Time // start times of the dials that have ended, by server
	listLines           map[string][]logLine   // lines about received lists, by proxy, in log order
	Skipped             int                    // number of lines that could not be parsed as log lines
}

// New returns an empty Fleet.
func New() *Fleet {
	return &Fleet{eventTimes: map[string][]time.Time{}, dialStarts: map[string][]time.Time{}, listLines: map[string][]logLine{}}
}

// logLine holds the keys used of a line of a proxy's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Side     string    `json:"side"`
	Reason   string    `json:"reason"`
	Server   string    `json:"server"`
	ID       string    `json:"id"`
	Ms       float64   `json:"ms"` // duration of the session or dial in milliseconds
	Returned bool      `json:"returned"`
	Message  string    `json:"message"`
	Revision uint64    `json:"revision"`
}

const (
	initialLineBufferBytes = 16 << 10
	maxLineBytes           = 1 << 20
)

// Add reads one proxy's log. Each line may have a prefix before its JSON, such as a timestamp of a supervisor. Lines
// without JSON or without a time are counted in Skipped. It returns an error if reading fails or a line exceeds
// maxLineBytes.
func (f *Fleet) Add(proxy string, log io.Reader) error {
	f.proxies++
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, initialLineBufferBytes), maxLineBytes)
	for scanner.Scan() {
		var entry logLine
		jsonStart := bytes.IndexByte(scanner.Bytes(), '{')
		if jsonStart < 0 || json.Unmarshal(scanner.Bytes()[jsonStart:], &entry) != nil || entry.Time.IsZero() {
			f.Skipped++
			continue
		}
		f.addLine(proxy, entry)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", proxy, err)
	}
	return nil
}

// failedDialReasons are the reasons with which dials end that established no session. Other dials end with the reason
// of their client's session, which is counted with the client.
var failedDialReasons = []string{"unanswered", "unreachable", "full", "error", "drains"}

// addLine counts the events of one line. Sessions and dials are logged when they end; ms is their duration.
func (f *Fleet) addLine(proxy string, entry logLine) {
	if f.firstTime.IsZero() || entry.Time.Before(f.firstTime) {
		f.firstTime = entry.Time
	}
	if entry.Time.After(f.lastTime) {
		f.lastTime = entry.Time
	}
	start := entry.Time.Add(-time.Duration(entry.Ms * float64(time.Millisecond)))
	addEvent := func(name string, eventTime time.Time) { f.eventTimes[name] = append(f.eventTimes[name], eventTime) }
	switch {
	case entry.Side == "client" && entry.ID != "":
		addEvent("came", start)
		if entry.Returned {
			addEvent("returned", start)
		}
		addEvent(entry.Reason, entry.Time)
	case entry.Side == "server":
		f.dialStarts[entry.Server] = append(f.dialStarts[entry.Server], start)
		if slices.Contains(failedDialReasons, entry.Reason) {
			addEvent(entry.Reason, entry.Time)
		}
	case entry.Message == "list":
		addEvent("list", entry.Time)
		f.listLines[proxy] = append(f.listLines[proxy], entry)
	case entry.Message == "the watch of the list failed":
		addEvent("list failed", entry.Time)
	case strings.Contains(entry.Message, "messages late or sessions dropped"):
		addEvent("late", entry.Time)
	}
}

// RevisionLateness describes how late a revision of the list reached the proxies.
type RevisionLateness struct {
	Revision uint64
	First    time.Duration // when the first proxy had it, since the first line of any log
	Half     time.Duration // time after First until half of the proxies had it or a newer one; -1: never
	All      time.Duration // likewise for all proxies
	Never    int           // number of proxies that had neither by the end of their logs
}

// ListLateness returns how late each revision reached the proxies, in order of revisions. Per proxy only the first
// receipt counts: a proxy that restarts without state and receives the revision again had it before.
func (f *Fleet) ListLateness() (latenesses []RevisionLateness) {
	revisions := map[uint64]bool{}
	for _, lines := range f.listLines {
		for _, line := range lines {
			revisions[line.Revision] = true
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(revisions)) {
		var receiveTimes []time.Time
		for _, lines := range f.listLines {
			if i := slices.IndexFunc(lines, func(line logLine) bool { return line.Revision >= revision }); i >= 0 {
				receiveTimes = append(receiveTimes, lines[i].Time)
			}
		}
		slices.SortFunc(receiveTimes, time.Time.Compare)
		lateness := RevisionLateness{Revision: revision, First: receiveTimes[0].Sub(f.firstTime), Half: -1, All: -1, Never: f.proxies - len(receiveTimes)}
		if half := (f.proxies + 1) / 2; len(receiveTimes) >= half {
			lateness.Half = receiveTimes[half-1].Sub(receiveTimes[0])
		}
		if lateness.Never == 0 {
			lateness.All = receiveTimes[len(receiveTimes)-1].Sub(receiveTimes[0])
		}
		latenesses = append(latenesses, lateness)
	}
	return latenesses
}

// PerSecond returns the number of events of a row of the output, by second since the first line of any log.
func (f *Fleet) PerSecond(event string) []int { return f.countPerSecond(f.eventTimes[event]) }

// DialsPerSecond returns the number of ended dials to a server, by the second in which they started.
func (f *Fleet) DialsPerSecond(server string) []int { return f.countPerSecond(f.dialStarts[server]) }

// countPerSecond counts times by second. Times before the first line count in the first second.
func (f *Fleet) countPerSecond(times []time.Time) []int {
	counts := make([]int, int(f.lastTime.Sub(f.firstTime)/time.Second)+1)
	for _, eventTime := range times {
		counts[max(int(eventTime.Sub(f.firstTime)/time.Second), 0)]++
	}
	return counts
}

// Servers returns all dialed servers, those with the most ended dials first, then by name.
func (f *Fleet) Servers() []string {
	return slices.SortedFunc(maps.Keys(f.dialStarts), func(a, b string) int {
		return cmp.Or(len(f.dialStarts[b])-len(f.dialStarts[a]), cmp.Compare(a, b))
	})
}

// Write prints the counts as a table, one row per event and server and one column per second, and the list revisions.
func (f *Fleet) Write(out io.Writer) {
	fmt.Fprintf(out, "%d proxies, %.1f s, %d lines that are no log lines\n", f.proxies, f.lastTime.Sub(f.firstTime).Seconds(), f.Skipped)
	printRow := func(name string, counts []int) {
		fmt.Fprintf(out, "%-14s", name)
		for _, n := range counts {
			fmt.Fprintf(out, " %4d", n)
		}
		fmt.Fprintln(out)
	}
	seconds := f.countPerSecond(nil)
	for i := range seconds {
		seconds[i] = i
	}
	printRow("second", seconds)
	for _, event := range slices.Sorted(maps.Keys(f.eventTimes)) {
		printRow(event, f.PerSecond(event))
	}
	fmt.Fprintln(out, "\ndials by server, of those that have ended")
	for _, server := range f.Servers() {
		printRow(server, f.DialsPerSecond(server))
	}
	fmt.Fprintln(out, "\nlists: when the first proxy had it, how much later half and all had it or a newer one")
	for _, lateness := range f.ListLateness() {
		fmt.Fprintf(out, "revision %-6d %7.2f s  half %s  all %s  never %d\n", lateness.Revision, lateness.First.Seconds(), formatDelay(lateness.Half),
			formatDelay(lateness.All), lateness.Never)
	}
}

// formatDelay formats a delay in seconds, or "never" if it is negative.
func formatDelay(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}
