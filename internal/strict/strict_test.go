package strict

import (
	"strings"
	"testing"
	"time"
)

type file struct {
	Name  string
	Part  struct{ Rate float64 }
	Fault []struct {
		Kind string
		At   Span
	}
}

// validText has two elements of the array fault; only the first has the key "at".
const validText = "name = \"x\"\n[part]\nrate = 2.5\n\n[[fault]]\nkind = \"hang\"\nat = \"1.5s\"\n[[fault]]\nkind = \"kill\"\n"

// TestLines: errors on values have the line of their key, of the table around a missing key, or no line.
func TestLines(t *testing.T) {
	var content file
	parsed, err := Parse("a.toml", []byte(validText), &content)
	if err != nil || content.Fault[0].At.D() != 1500*time.Millisecond {
		t.Fatal(err, content)
	}
	for path, position := range map[string]string{"part.rate": "a.toml:3: ", "fault[0].at": "a.toml:7: ",
		"fault[1].kind": "a.toml:9: ", "fault[1].at": "a.toml:8: ", "part": "a.toml:2: ", "nowhere": "a.toml: "} {
		if got := parsed.Errorf(path, "invalid").Error(); !strings.HasPrefix(got, position+path) {
			t.Errorf("error for %s is %q, want prefix %q", path, got, position+path)
		}
	}
}

// TestRefused: unknown keys, values of the wrong type and invalid TOML are refused with their line.
func TestRefused(t *testing.T) {
	for text, want := range map[string]string{
		"name = \"x\"\nnome = 1\n":          "a.toml:2: unknown key \"nome\"",
		"[part]\nrate = \"fast\"\n":         "a.toml:2: ",
		"[[fault]]\n\nat = \"soon\"\n":      "a.toml:3: ",
		"name = \"x\"\n[part\nrate = 1.0\n": "a.toml:2: ",
	} {
		if _, err := Parse("a.toml", []byte(text), new(file)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want prefix %q", text, err, want)
		}
	}
}

// TestBareNumberIsNoSpan: a duration without a unit is refused with its line, not taken for nanoseconds.
func TestBareNumberIsNoSpan(t *testing.T) {
	if _, err := Parse("a.toml", []byte("[[fault]]\nat = 5\n"), new(file)); err == nil || !strings.HasPrefix(err.Error(), "a.toml:2: ") {
		t.Errorf("error %v, want prefix %q", err, "a.toml:2: ")
	}
}

// TestValuesInside guards against bare numbers for spans, and numbers that are not finite, which are accepted inside arrays, inline
// tables and maps.
func TestValuesInside(t *testing.T) {
	type inner struct {
		Wait  Span `toml:"longest_wait"`
		Share float64
	}
	type content struct {
		Waits  []Span
		Shares []float64
		Inner  *inner
		Named  map[string]inner
		Each   []inner
	}
	const needsUnit = "must have a unit"
	for text, want := range map[string]string{
		"waits = [\"1s\", 2]":                      "a.toml:1: waits: " + needsUnit,
		"shares = [0.5, inf]":                      "a.toml:1: shares: inf is not a finite number",
		"\n[inner]\nlongest_wait = 1":              "a.toml:3: inner.longest_wait: " + needsUnit,
		"inner.longest_wait = 1":                   "a.toml:1: inner.longest_wait: " + needsUnit,
		"inner = {share = -inf}":                   "a.toml:1: inner: -inf is not a finite number",
		"inner = {longest_wait = 0}":               "a.toml:1: inner: " + needsUnit,
		"[named.some]\nlongest_wait = 1":           "a.toml:2: named.some.longest_wait: " + needsUnit,
		"[[each]]\n[[each]]\nshare = +nan":         "a.toml:3: each[1].share: NaN is not a finite number",
		"each = [{share = 1}, {Longest_Wait = 3}]": "a.toml:1: each: " + needsUnit,
	} {
		if _, err := Parse("a.toml", []byte(text), new(content)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want prefix %q", text, err, want)
		}
	}
	valid := "waits = [\"1s\"]\nshares = [1, 0.5, 1e3]\n[inner]\nlongest_wait = \"1ms\"\nshare = 2\n[named.some]\nshare = 1\n"
	if _, err := Parse("a.toml", []byte(valid), new(content)); err != nil {
		t.Errorf("valid values: %v", err)
	}
}
