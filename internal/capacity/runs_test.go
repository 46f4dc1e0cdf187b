package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeFile writes a file in a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestFromScaleRun checks that void steps and times that were never reached are left out, that the slowest change and the
// busiest aggregator count, and that a report without a commit is refused.
func TestFromScaleRun(t *testing.T) {
	step := func(members int, known99 float64, void bool) string {
		return fmt.Sprintf(`{"hollow_members":%d,"void":%v,"hollow_member":{"cpu_share":%v,"memory_bytes":7},"stand_in_discovery":{},
"aggregators":[{"cpu_share":0.1,"memory_mb":1},{"cpu_share":0.2,"memory_mb":2}],"count_changes":[{"known_99":1,"all":1},{"known_99":%v,"all":-1}],"list_changes":[]}`,
			members, void, float64(members)/1000, known99)
	}
	steps := strings.Join([]string{step(100, 2, false), step(200, 4, false), step(400, 8, false), step(800, 99, true)}, ",")
	report := `{"command":"chalkferry scale --steps 100,200,400,800","commit":"%s","cores":8,"at":"2026-12-02T04:53:56Z","mechanism":"flat counts: x","steps":[` + steps + `]}`
	slopes, err := FromScaleRun(writeFile(t, "scale.json", fmt.Sprintf(report, "0123456789abcdef")), "", "")
	if err != nil {
		t.Fatal(err)
	}
	all := &Slopes{}
	for _, s := range slopes {
		all.Put(s)
	}
	known, cpu, busiest := all.Get(scaleFlat+scaleKnown99), all.Get(scaleFlat+scaleCPU), all.Get(scaleFlat+scaleAggregatorCPU)
	if known == nil || cpu == nil || busiest == nil {
		t.Fatalf("%+v", slopes)
	}
	if value := known.ValueAt(400); value < 7.99 || value > 8.01 || len(known.Points) != 3 || known.Origin.Commit != "0123456" {
		t.Errorf("time until a change is known at 400 members: %v, want 8; %+v", value, known)
	}
	if value := cpu.ValueAt(200); value < 0.199 || value > 0.201 {
		t.Errorf("processor time at 200 members: %v, want 0.2", value)
	}
	if value := busiest.ValueAt(200); value < 0.199 || value > 0.201 {
		t.Errorf("busiest aggregator at 200 members: %v, want 0.2", value)
	}
	for _, never := range []string{scaleKnownAll, scaleList99} {
		if s := all.Get(scaleFlat + never); s != nil {
			t.Errorf("%s has a slope though it was never reached: %+v", never, s)
		}
	}
	single := `{"command":"chalkferry scale","commit":"0123456","at":"2026-12-02T04:53:56Z","mechanism":"aggregators","steps":[` + step(7600, 3, false) + `]}`
	slopes, err = FromScaleRun(writeFile(t, "single.json", single), "", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range slopes {
		if s.Name == scaleAggregation+scaleKnown99 && (!s.HasValueAt(7601) || s.ValueAt(7601) != 3 || s.HasValueAt(6000)) {
			t.Errorf("a single step has values elsewhere or none at its point: %v", s.Points)
		}
	}
	if slopes, err := FromScaleRun(writeFile(t, "scale.json", fmt.Sprintf(report, "unknown")), "", ""); err == nil {
		t.Errorf("a run without a commit gives %+v", slopes)
	}
}

// TestFromRehearsals checks that memory and descriptors depend on the most sessions open at a time, and processor time on all
// sessions begun.
func TestFromRehearsals(t *testing.T) {
	report := func(sessions, open int, megabytes float64) string {
		return writeFile(t, "r.json", fmt.Sprintf(`{"sessions":%d,"message_ms":{"n":%d},"samples":[{"open":%d},{"open":1}],
"proxies":[{"peak_rss_mb":%v,"descriptors":%d,"cpu_seconds":%v}]}`, sessions, sessions*10, open, megabytes, 2*open+20, float64(sessions)/1000))
	}
	files := []string{report(100, 50, 15), report(200, 150, 25), report(400, 250, 35)}
	slopes, err := FromRehearsals(files, files, someOrigin)
	if err != nil || len(slopes) != 4 {
		t.Fatalf("%d slopes, %v", len(slopes), err)
	}
	want := map[string][2]float64{SlopeProcessMemory: {150, 25 << 20}, SlopeProcessDescriptors: {150, 320}, SlopeSessionTime: {200, 0.2}, SlopeMessageTime: {2000, 0.2}}
	for _, s := range slopes {
		if x, y := want[s.Name][0], want[s.Name][1]; s.ValueAt(x) < 0.99*y || s.ValueAt(x) > 1.01*y {
			t.Errorf("%s at %v is %v, want %v", s.Name, x, s.ValueAt(x), y)
		}
	}
	two := writeFile(t, "two.json", `{"proxies":[{},{}]}`)
	if _, err := FromRehearsals([]string{two}, nil, someOrigin); err == nil {
		t.Error("a rehearsal of two proxies is accepted")
	}
}

// TestReadSize checks that invalid values are refused with the name of the file and the line.
func TestReadSize(t *testing.T) {
	good, err := os.ReadFile(filepath.Join(docs, "capacity", "size.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for old, replacement := range map[string]string{
		"proxies = 7600":               "proxies = 0",
		"zones = 10":                   "zones = 1",
		"regions = 3":                  "regions = 3\nsectors = 2",
		"low = 2_000":                  "low = -1",
		"unit = \"servers\"":           "unit = \"\"",
		"changed_within = \"18s\"":     "changed_within = \"soon\"",
		"control_memory_mb = 32":       "control_memory_mb = \"32\"",
		"deliveries = 54_000_000":      "deliveries = 54e",
		"[unknown.list_changes]\nunit": "[unknown.list_changes]\nsize",
	} {
		text := strings.Replace(string(good), old, replacement, 1)
		if text == string(good) {
			t.Fatalf("%q is not in the size file", old)
		}
		if _, err := ReadSize(writeFile(t, "size.toml", text)); err == nil || !strings.Contains(err.Error(), "size.toml:") {
			t.Errorf("%q: error %v, want one with the line", replacement, err)
		}
	}
}

// TestNothingWithoutARun checks that without slopes each figure that needs one is "not measured".
func TestNothingWithoutARun(t *testing.T) {
	size, _ := readCommitted(t)
	for _, c := range size.Cases() {
		for _, role := range append(Roles(), Failures()...) {
			for _, q := range role.Quantities {
				if f := q.evaluate(c, &Slopes{}); f.known && q.Computed == nil || q.Computed == nil && q.verdict(c, f) != "not measured" {
					t.Errorf("%s, %s: %+v", role.Name, q.Label, f)
				}
			}
		}
	}
}

// TestOtherSizes checks that a table for a tenth of the size is computed from that size.
func TestOtherSizes(t *testing.T) {
	size, slopes := readCommitted(t)
	tenth := *size
	tenth.Proxies, tenth.Connections = size.Proxies/10, size.Connections/10
	var fullTable, tenthTable strings.Builder
	if err := Table(&fullTable, size, slopes); err != nil {
		t.Fatal(err)
	}
	if err := Table(&tenthTable, &tenth, slopes); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(tenthTable.String(), "| 760 proxies, 65,000,000 connections | 85,500 connections on a proxy |") || tenthTable.String() == fullTable.String() {
		t.Error("the table for a tenth of the size is not computed from it")
	}
}
