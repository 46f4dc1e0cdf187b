package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const docs = "../../docs"

func readCommitted(t *testing.T) (*Size, *Slopes) {
	t.Helper()
	size, err := ReadSize(filepath.Join(docs, "capacity", "size.toml"))
	if err != nil {
		t.Fatal(err)
	}
	slopes, err := ReadSlopes(filepath.Join(docs, "capacity", "slopes.json"))
	if err != nil {
		t.Fatal(err)
	}
	return size, slopes
}

// TestPageIsPrinted: the page has what the command prints for the size and slopes that lie beside it.
func TestPageIsPrinted(t *testing.T) {
	size, slopes := readCommitted(t)
	var want strings.Builder
	if err := Table(&want, size, slopes); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := PagePart(string(page))
	if err != nil {
		t.Fatal(err)
	}
	if got == want.String() {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want.String(), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d of the part between the markers is\n%s\nand should be\n%s\n(chalkferry capacity docs/capacity/size.toml --page docs/CAPACITY.md)", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%d lines between the markers, %d are printed", len(gotLines), len(wantLines))
}

// TestSlopesNameTheirRuns: each slope that a figure is worked out from names the command, commit, date and machine of
// its run, and its fit is that of its points.
func TestSlopesNameTheirRuns(t *testing.T) {
	size, slopes := readCommitted(t)
	measured := 0
	for _, name := range UsedSlopes(size) {
		s := slopes.Get(name)
		if s == nil {
			continue // the page says "not measured"
		}
		measured++
		if s.Origin.Command == "" || s.Origin.Commit == "" || s.Origin.Date == "" || s.Origin.Machine == "" || s.Variable == "" || s.Runs < 1 {
			t.Errorf("%s does not name its run: %+v", name, s.Origin)
		}
		again := *s
		if err := again.Fit(); err != nil {
			t.Error(err)
			continue
		}
		_, most := s.Range()
		for _, x := range []float64{most / 3, most} {
			if fit, refit := s.At(x), again.At(x); fit < refit*(1-1e-9) || fit > refit*(1+1e-9) {
				t.Errorf("%s at %v is %v by the file and %v by its points", name, x, fit, refit)
			}
		}
	}
	if measured == 0 {
		t.Error("no slope is measured")
	}
}

// TestEachUnknownIsAsked: each unknown parameter is a question in the page of questions.
func TestEachUnknownIsAsked(t *testing.T) {
	size, _ := readCommitted(t)
	text, err := os.ReadFile(filepath.Join(docs, "questions.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range size.Unknown.all() {
		found := false
		for _, line := range strings.Split(string(text), "\n") {
			number, question, _ := strings.Cut(line, ". ")
			found = found || number == significant(float64(u.Question)) && strings.Contains(question, "`"+u.key+"`")
		}
		if !found {
			t.Errorf("question %d does not name `%s`", u.Question, u.key)
		}
	}
}
