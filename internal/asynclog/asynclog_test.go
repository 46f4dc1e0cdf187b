package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// gate is a destination that waits until it is opened, and may then fail.
type gate struct {
	opened chan struct{}
	text   bytes.Buffer
	err    error
}

func (g *gate) Write(line []byte) (int, error) {
	<-g.opened
	if g.err != nil {
		return 0, g.err
	}
	return g.text.Write(line)
}

// TestBlockedReader: a destination that waits holds nobody up; later there are the newest lines, and the number of those
// that were dropped.
func TestBlockedReader(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	w := New(g)
	const lines = 3 * queueLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write waits for the reader")
	}
	began := time.Now()
	w.Close(50 * time.Millisecond)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("Close takes %v", took)
	}
	close(g.opened)
	w.Close(10 * time.Second)
	text := g.text.String()
	if !strings.HasSuffix(text, fmt.Sprintf("line %d\n", lines-1)) {
		t.Errorf("the last line is not there: %q", text[max(len(text)-60, 0):])
	}
	if !strings.Contains(text, "log lines were dropped") {
		t.Error("no line says that lines were dropped")
	}
}

// TestFailedWrite: a write that fails loses its line and no more.
func TestFailedWrite(t *testing.T) {
	g := &gate{opened: make(chan struct{}), err: errors.New("no space")}
	close(g.opened)
	w := New(g)
	fmt.Fprintln(w, "lost")
	w.Close(5 * time.Second)
	if g.text.Len() > 0 {
		t.Errorf("%q", g.text.String())
	}
}
