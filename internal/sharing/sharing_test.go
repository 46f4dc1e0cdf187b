package sharing

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkferry/internal/fleet"
)

// TestRead: a file that can't be is refused with its line and what is wrong.
func TestRead(t *testing.T) {
	const good = "me = 1\nmembers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]\n"
	for text, says := range map[string]string{
		good: "",
		good + "status = \"127.0.0.1:7100\"\nevery = \"100ms\"\nlately = \"1s\"\nfade = \"2s\"\nkeys = 9\n": "",
		good + "mode = 3\n":                                      "f.toml:3: unknown key",
		"me = 2\n" + good[7:]:                                    "f.toml:1: me: 2 of 2",
		"me = -1\n" + good[7:]:                                   "me: -1 of 2",
		"me = 0\nmembers = [\"127.0.0.1:7001\"]\n":               "f.toml:2: members: 1 members",
		strings.Replace(good, "7002", "7001", 1):                 "stands twice",
		strings.Replace(good, "127.0.0.1:7002", "x", 1):          "not an IPv4 address",
		strings.Replace(good, "127.0.0.1:7002", "[::1]:7002", 1): "not an IPv4 address",
		good + "status = \"10.0.0.1:7100\"\n":                    "f.toml:3: status",
		good + "every = \"1ms\"\n":                               "every: 1ms",
		good + "lately = \"600ms\"\n":                            "lately: 600ms",
		good + "fade = \"-1s\"\n":                                "fade: -1s",
		good + "keys = 0\n":                                      "keys: 0",
	} {
		name := filepath.Join(t.TempDir(), "f.toml")
		os.WriteFile(name, []byte(text), 0o600)
		if _, err := Read(name); (err == nil) != (says == "") || err != nil && !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, not %q", text, err, says)
		}
	}
}

// TestWords: a word never passes its bytes, holds as many reports as fit, and is read as it was told; others are passed
// over by their reason.
func TestWords(t *testing.T) {
	var reports []fleet.Report
	for of := range fleet.MemberID(300) {
		r := fleet.Report{Of: of, Incarnation: 1 << 60, Number: 1 << 40, Age: 1 << 35}
		for id := range uint64(countsTold) {
			r.Counts = append(r.Counts, fleet.Count{Key: fleet.CountKey{Kind: fleet.ByServer, ID: ^id}, Value: 1 << 20, Version: 1 << 40})
		}
		reports = append(reports, r)
	}
	text, took, err := fill(3, reports)
	if err != nil || took < 1 || len(text) > mostBytes {
		t.Fatalf("%d reports in %d bytes: %v", took, len(text), err)
	}
	w, err := flatRead(text, 1, 300)
	if err != nil || w.From != 3 || len(w.Reports) != took || len(w.Reports[0].Counts) != countsTold || w.Reports[0].Counts[5] != reports[0].Counts[5] {
		t.Errorf("read as %+v: %v", w, err)
	}
	other := append([]byte{}, text...)
	other[2]++ // the version
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"long": {make([]byte, 64<<10), errLong}, "empty": {nil, errUnread}, "half": {text[:len(text)/2], errUnread},
		"later": {other, errVersion}, "own": {text, errStranger},
	} {
		me := fleet.MemberID(1)
		if name == "own" {
			me = 3
		}
		if _, err := flatRead(c.text, me, 300); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := flatRead(text, 1, 3); !errors.Is(err, errStranger) {
		t.Errorf("from no member: %v", err)
	}
}
