package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// docs is the directory of the pages, relative to this package.
const docs = "../../docs"

// readCommitted reads the size and the slopes from the pages.
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

// TestPageIsPrinted checks that the page contains the table that the command prints for the size and slopes beside it. It
// guards against a page that was not updated after a change of the code, the size or the slopes.
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
	got, err := TableOfPage(string(page))
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

// TestSlopesNameTheirRuns checks that each slope in use names the command, commit, date and machine of its run, and that its
// fit is that of its points.
func TestSlopesNameTheirRuns(t *testing.T) {
	size, slopes := readCommitted(t)
	measured := 0
	for _, name := range UsedSlopes(size) {
		s := slopes.Get(name)
		if s == nil {
			continue // the page prints "not measured"
		}
		measured++
		if s.Origin.Command == "" || s.Origin.Commit == "" || s.Origin.Date == "" || s.Origin.Machine == "" || s.Variable == "" || s.Runs < 1 {
			t.Errorf("%s does not identify its run: %+v", name, s.Origin)
		}
		again := *s
		if err := again.Fit(); err != nil {
			t.Error(err)
			continue
		}
		_, largest := s.Range()
		for _, x := range []float64{largest / 3, largest} {
			if fit, refit := s.ValueAt(x), again.ValueAt(x); fit < refit*(1-1e-9) || fit > refit*(1+1e-9) {
				t.Errorf("%s at %v is %v by the fit in the file and %v by a new fit to its points", name, x, fit, refit)
			}
		}
	}
	if measured == 0 {
		t.Error("no slope is measured")
	}
}

// TestEachUnknownIsAsked checks that each unknown parameter is asked for on the page of questions, under the number that the
// size file gives.
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
