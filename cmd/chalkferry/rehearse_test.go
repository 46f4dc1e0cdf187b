package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"chalkferry/internal/faultinject"
	"chalkferry/internal/rehearse"
	"chalkferry/internal/trace"
)

// TestMain is also the proxy under test, and the aggregators and child processes of a scale run: they are the test's own
// program. A proxy under faults executes itself once more, behind the filter.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" && faultinject.Enabled() {
		fmt.Fprintln(os.Stderr, faultinject.Exec(os.Args[0], os.Args[1:]))
		os.Exit(1)
	}
	if len(os.Args) > 1 && slices.Contains([]string{"serve", "aggregate", "scale-worker"}, os.Args[1]) {
		main()
		return
	}
	os.Exit(m.Run())
}

func runScenario(t *testing.T, name, logs string) *rehearse.Report {
	t.Helper()
	s, err := rehearse.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rehearse.Run(context.Background(), s, rehearse.Options{Proxy: self, Logs: logs})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range r.Failed {
		t.Error(text)
	}
	for _, b := range r.Rules {
		t.Error(b)
	}
	if r.Sessions != int64(r.Scheduled) {
		t.Errorf("%d of %d sessions were sent", r.Sessions, r.Scheduled)
	}
	c := r.Clients
	if sum := c.Accepted + c.Refused + c.Failed + c.ConnectionLost + c.Unanswered + c.NoProxy + c.Interrupted; sum != c.Attempts {
		t.Errorf("%d tries, %d endings", c.Attempts, sum)
	}
	return r
}

// Three scenarios with seeded schedules; the verdict is by rules and counts alone.

// A stall of 200 ms is in the p99 of the second it lies in, and the hang and the slow node break no rule. The proxies'
// own logs give back the sessions.
func TestStallNight(t *testing.T) {
	t.Parallel()
	logs := t.TempDir()
	r := runScenario(t, "stall", logs)
	for _, w := range r.MessageWindows {
		if w.FromMs == 2000 && w.P99 < 100 {
			t.Errorf("the stall of 200 ms is not seen in %+v", w)
		}
	}
	var all []trace.Session
	for _, name := range []string{"n0.log", "n1.log"} {
		file, err := os.Open(filepath.Join(logs, name))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		sessions, _, _, err := trace.FromLog(name, file)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, sessions...)
	}
	refused := 0
	for _, s := range all {
		if s.Answer == "refused" {
			refused++
		}
	}
	if c := r.Clients; len(all) > int(c.Attempts) || int64(len(all)) < c.Attempts-int64(r.OpenAtEnd) ||
		int64(refused) < c.Refused || int64(refused) > c.Refused+c.Interrupted {
		t.Errorf("%d sessions in the logs, %d refused; %d tries, %d refused, %d open when the proxies were killed", len(all), refused,
			c.Attempts, c.Refused, r.OpenAtEnd)
	}
}

// Bad clients by thousands cost no usual one anything, and the proxies keep to their descriptors.
func TestBadClientsNight(t *testing.T) {
	t.Parallel()
	if r := runScenario(t, "bad-clients", ""); r.BadClients.Sent < 4000 {
		t.Errorf("only %+v", r.BadClients)
	}
}

// Nodes are added, others drain, and a proxy is killed as it leaves.
func TestSurgeAndDrainNight(t *testing.T) {
	t.Parallel()
	r := runScenario(t, "surge-and-drain", "")
	if r.Proxies[0].Starts != 2 || r.Clients.Migrated == 0 {
		t.Errorf("%d starts of the proxy that is killed, %d moves", r.Proxies[0].Starts, r.Clients.Migrated)
	}
}
