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

// TestMain runs the tests, or, if the arguments say so, the command of a child process: the proxies under test and the
// aggregators and workers of a scale run are started from the test's own program. A proxy with injected faults executes
// itself once more under a seccomp filter.
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

// runScenario runs a built-in scenario and checks its verdict, that all scheduled sessions were sent, and that each attempt
// has exactly one result.
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
	for _, violation := range r.Rules {
		t.Error(violation)
	}
	if r.Sessions != int64(r.Scheduled) {
		t.Errorf("%d of %d scheduled sessions were sent", r.Sessions, r.Scheduled)
	}
	c := r.Clients
	if sum := c.Accepted + c.Refused + c.Failed + c.ConnectionLost + c.Unanswered + c.NoProxy + c.Interrupted; sum != c.Attempts {
		t.Errorf("%d attempts, %d results", c.Attempts, sum)
	}
	return r
}

// The three scenarios below have seeded schedules. Their verdicts depend on rules and counts, not on speed.

// TestStallNight checks that a stall of 200 ms shows in the p99 of the messages of its second, that a hanging and a slow node
// break no rule, and that the proxies' logs contain the sessions.
func TestStallNight(t *testing.T) {
	t.Parallel()
	logs := t.TempDir()
	r := runScenario(t, "stall", logs)
	for _, window := range r.MessageWindows {
		if window.FromMs == 2000 && window.P99 < 100 {
			t.Errorf("the stall of 200 ms does not show in %+v", window)
		}
	}
	var logged []trace.Session
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
		logged = append(logged, sessions...)
	}
	refused := 0
	for _, s := range logged {
		if s.Answer == "refused" {
			refused++
		}
	}
	if c := r.Clients; len(logged) > int(c.Attempts) || int64(len(logged)) < c.Attempts-int64(r.OpenAtEnd) ||
		int64(refused) < c.Refused || int64(refused) > c.Refused+c.Interrupted {
		t.Errorf("%d sessions in the logs, %d refused; %d attempts, %d refused, %d open when the proxies were killed", len(logged), refused,
			c.Attempts, c.Refused, r.OpenAtEnd)
	}
}

// TestBadClientsNight checks that thousands of bad clients do not affect the regular ones, and that the proxies stay within
// their limit of descriptors.
func TestBadClientsNight(t *testing.T) {
	t.Parallel()
	if r := runScenario(t, "bad-clients", ""); r.BadClients.Sent < 4000 {
		t.Errorf("too few bad clients: %+v, want 4000 sent", r.BadClients)
	}
}

// TestSurgeAndDrainNight adds nodes, drains others, and kills a proxy while it leaves. It checks that the proxy was restarted
// and that sessions were moved.
func TestSurgeAndDrainNight(t *testing.T) {
	t.Parallel()
	r := runScenario(t, "surge-and-drain", "")
	if r.Proxies[0].Starts != 2 || r.Clients.Migrated == 0 {
		t.Errorf("%d starts of the killed proxy, want 2; %d sessions migrated, want some", r.Proxies[0].Starts, r.Clients.Migrated)
	}
}
