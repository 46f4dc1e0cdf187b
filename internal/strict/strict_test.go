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

const good = "name = \"x\"\n[part]\nrate = 2.5\n\n[[fault]]\nkind = \"hang\"\nat = \"1.5s\"\n[[fault]]\nkind = \"kill\"\n"

func TestLines(t *testing.T) {
	var f file
	at, err := Parse("a.toml", []byte(good), &f)
	if err != nil || f.Fault[0].At.D() != 1500*time.Millisecond {
		t.Fatal(err, f)
	}
	for path, line := range map[string]string{"part.rate": "a.toml:3: ", "fault[0].at": "a.toml:7: ",
		"fault[1].kind": "a.toml:9: ", "fault[1].at": "a.toml:8: ", "part": "a.toml:2: ", "nowhere": "a.toml: "} {
		if got := at.Wrong(path, "no").Error(); !strings.HasPrefix(got, line+path) {
			t.Errorf("%s: %s", path, got)
		}
	}
}

func TestRefused(t *testing.T) {
	for text, want := range map[string]string{
		"name = \"x\"\nnome = 1\n":          "a.toml:2: unknown key \"nome\"",
		"[part]\nrate = \"fast\"\n":         "a.toml:2: ",
		"[[fault]]\n\nat = \"soon\"\n":      "a.toml:3: ",
		"name = \"x\"\n[part\nrate = 1.0\n": "a.toml:2: ",
	} {
		if _, err := Parse("a.toml", []byte(text), new(file)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
