// Package counts aggregates the logs of many proxies, for the count command: events by second, dials by server, and how
// late each revision of the list reached the proxies. It reads logs after the fact and does not judge what it counts.
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

// Fleet aggregates the logs of all proxies.
type Fleet struct {
	proxies     int
	first, last time.Time
	events      map[string][]time.Time // by the name of a row in the table
	dials       map[string][]time.Time // by server, of dials that have ended
	lists       map[string][]logLine   // by proxy, in the order of its log
	Skipped     int                    // lines that are no log lines
}

// New makes an empty aggregate.
func New() *Fleet {
	return &Fleet{events: map[string][]time.Time{}, dials: map[string][]time.Time{}, lists: map[string][]logLine{}}
}

// logLine is what is read of a line of a proxy's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Side     string    `json:"side"`
	Reason   string    `json:"reason"`
	Server   string    `json:"server"`
	ID       string    `json:"id"`
	Ms       float64   `json:"ms"`
	Returned bool      `json:"returned"`
	Message  string    `json:"message"`
	Revision uint64    `json:"revision"`
}

// Add reads one proxy's log. Each line may have a prefix before its JSON, such as a supervisor's time.
func (f *Fleet) Add(proxy string, log io.Reader) error {
	f.proxies++
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 0, 16<<10), 1<<20)
	for lines.Scan() {
		var e logLine
		brace := bytes.IndexByte(lines.Bytes(), '{')
		if brace < 0 || json.Unmarshal(lines.Bytes()[brace:], &e) != nil || e.Time.IsZero() {
			f.Skipped++
			continue
		}
		f.addLine(proxy, e)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", proxy, err)
	}
	return nil
}

// failedDialReasons are the reasons of dials that established no session; the others end with their client's reason.
var failedDialReasons = []string{"unanswered", "unreachable", "full", "error", "drains"}

// addLine counts one line.
func (f *Fleet) addLine(proxy string, e logLine) {
	if f.first.IsZero() || e.Time.Before(f.first) {
		f.first = e.Time
	}
	if e.Time.After(f.last) {
		f.last = e.Time
	}
	start := e.Time.Add(-time.Duration(e.Ms * float64(time.Millisecond)))
	count := func(kind string, at time.Time) { f.events[kind] = append(f.events[kind], at) }
	switch {
	case e.Side == "client" && e.ID != "":
		count("came", start)
		if e.Returned {
			count("returned", start)
		}
		count(e.Reason, e.Time)
	case e.Side == "server":
		f.dials[e.Server] = append(f.dials[e.Server], start)
		if slices.Contains(failedDialReasons, e.Reason) {
			count(e.Reason, e.Time)
		}
	case e.Message == "list":
		count("list", e.Time)
		f.lists[proxy] = append(f.lists[proxy], e)
	case e.Message == "the watch of the list failed":
		count("list failed", e.Time)
	case strings.Contains(e.Message, "messages late or sessions dropped"):
		count("late", e.Time)
	}
}

// RevisionLateness is how late a revision of the list reached the proxies.
type RevisionLateness struct {
	Revision uint64
	First    time.Duration // since the first line of any log
	Half     time.Duration // after the first proxy, until half of them had it or a newer one; -1: never
	All      time.Duration
	Never    int // proxies that had neither by the end
}

// ListLateness returns, by revision, how late the proxies had it. A proxy that restarts from nothing had it before.
func (f *Fleet) ListLateness() (all []RevisionLateness) {
	revisions := map[uint64]bool{}
	for _, lists := range f.lists {
		for _, e := range lists {
			revisions[e.Revision] = true
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(revisions)) {
		var times []time.Time
		for _, lists := range f.lists {
			if i := slices.IndexFunc(lists, func(e logLine) bool { return e.Revision >= revision }); i >= 0 {
				times = append(times, lists[i].Time)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		l := RevisionLateness{Revision: revision, First: times[0].Sub(f.first), Half: -1, All: -1, Never: f.proxies - len(times)}
		if half := (f.proxies + 1) / 2; len(times) >= half {
			l.Half = times[half-1].Sub(times[0])
		}
		if l.Never == 0 {
			l.All = times[len(times)-1].Sub(times[0])
		}
		all = append(all, l)
	}
	return all
}

// PerSecond are the counts of a kind of event, by second.
func (f *Fleet) PerSecond(kind string) []int { return f.countPerSecond(f.events[kind]) }

// DialsPerSecond are the dials to a server, by the second in which they began.
func (f *Fleet) DialsPerSecond(server string) []int { return f.countPerSecond(f.dials[server]) }

func (f *Fleet) countPerSecond(times []time.Time) []int {
	row := make([]int, int(f.last.Sub(f.first)/time.Second)+1)
	for _, at := range times {
		row[max(int(at.Sub(f.first)/time.Second), 0)]++
	}
	return row
}

// Servers are all that were dialed, the busiest first.
func (f *Fleet) Servers() []string {
	return slices.SortedFunc(maps.Keys(f.dials), func(a, c string) int {
		return cmp.Or(len(f.dials[c])-len(f.dials[a]), cmp.Compare(a, c))
	})
}

// Write prints the aggregate.
func (f *Fleet) Write(out io.Writer) {
	fmt.Fprintf(out, "%d proxies, %.1f s, %d lines that are no log lines\n", f.proxies, f.last.Sub(f.first).Seconds(), f.Skipped)
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
	for _, kind := range slices.Sorted(maps.Keys(f.events)) {
		printRow(kind, f.PerSecond(kind))
	}
	fmt.Fprintln(out, "\ndials by server, of those that have ended")
	for _, server := range f.Servers() {
		printRow(server, f.DialsPerSecond(server))
	}
	fmt.Fprintln(out, "\nlists: when the first proxy had it, how much later half and all had it or a newer one")
	for _, l := range f.ListLateness() {
		fmt.Fprintf(out, "revision %-6d %7.2f s  half %s  all %s  never %d\n", l.Revision, l.First.Seconds(), formatDelay(l.Half),
			formatDelay(l.All), l.Never)
	}
}

func formatDelay(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}
