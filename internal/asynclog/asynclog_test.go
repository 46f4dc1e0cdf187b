package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// blockedWriter is a destination whose writes block until it is opened, and then may fail.
type blockedWriter struct {
	opened chan struct{}
	text   bytes.Buffer
	err    error
}

func (g *blockedWriter) Write(line []byte) (int, error) {
	<-g.opened
	if g.err != nil {
		return 0, g.err
	}
	return g.text.Write(line)
}

// TestBlockedReader checks that a blocked destination blocks neither Write nor Close, and that once it is unblocked the newest
// lines and the number of dropped ones are written.
func TestBlockedReader(t *testing.T) {
	g := &blockedWriter{opened: make(chan struct{})}
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
		t.Fatal("Write blocks while the destination does")
	}
	began := time.Now()
	w.Close(50 * time.Millisecond)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("Close takes %v with a limit of 50ms", took)
	}
	close(g.opened)
	w.Close(10 * time.Second)
	text := g.text.String()
	if !strings.HasSuffix(text, fmt.Sprintf("line %d\n", lines-1)) {
		t.Errorf("the output does not end with the last line: %q", text[max(len(text)-60, 0):])
	}
	if !strings.Contains(text, "log lines were dropped") {
		t.Error("no line reports that lines were dropped")
	}
}

// TestFailedWrite checks that a failed write loses its line and does not block Close.
func TestFailedWrite(t *testing.T) {
	g := &blockedWriter{opened: make(chan struct{}), err: errors.New("no space")}
	close(g.opened)
	w := New(g)
	fmt.Fprintln(w, "lost")
	w.Close(5 * time.Second)
	if g.text.Len() > 0 {
		t.Errorf("output %q after a failed write, want none", g.text.String())
	}
}

// lineSignal is a destination that signals each write.
type lineSignal chan struct{}

func (s lineSignal) Write(line []byte) (int, error) {
	s <- struct{}{}
	return len(line), nil
}

// TestEveryLineIsWritten guards against a line that is queued while the queue's reader goes to sleep and then waits there
// for the next line.
func TestEveryLineIsWritten(t *testing.T) {
	const lines = 300_000
	const lineTimeout = 10 * time.Second
	const longestSpin = 64 // steps between two lines, so that one is queued at each moment of the reader's way to sleep
	written := make(lineSignal, 1)
	w := New(written)
	defer w.Close(10 * time.Second)
	timeout := time.NewTimer(lineTimeout)
	for i := range lines {
		timeout.Reset(lineTimeout)
		fmt.Fprintln(w, "line")
		select {
		case <-written:
		case <-timeout.C:
			t.Fatalf("line %d was not written within %v", i, lineTimeout)
		}
		for range i % longestSpin {
			runtime.Gosched()
		}
	}
}

// TestCloseWritesLastLine guards against a last line that is lost because Close is called while the queue's reader goes to
// sleep.
func TestCloseWritesLastLine(t *testing.T) {
	const writers = 50_000
	for i := range writers {
		var text bytes.Buffer
		w := New(&text)
		for range i % 3 {
			runtime.Gosched()
		}
		fmt.Fprintln(w, "last line")
		w.Close(10 * time.Second)
		if text.String() != "last line\n" {
			t.Fatalf("after Close of writer %d the output is %q, want the last line", i, text.String())
		}
	}
}
