// Package asynclog writes log lines from a goroutine of its own, so that a reader that is slow, stops or has gone holds up
// nobody who logs. Lines that find the queue full are dropped, the oldest first, and counted in a line of their own once
// there is room. The queue is zerolog's diode.
package asynclog

import (
	"fmt"
	"io"
	stdlog "log"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// queueLines is how many lines wait at most.
const queueLines = 4096

// Writer is a destination of log lines that never blocks.
type Writer struct {
	queue diode.Writer
	to    *counted
}

// counted writes lines, and before them what was dropped.
type counted struct {
	to      io.Writer
	dropped int  // of the writing goroutine
	isTorn  bool // the last write ended within a line
}

// New makes a writer of lines to another. Failed writes are not repeated: the line is lost.
func New(to io.Writer) *Writer {
	destination := &counted{to: to}
	// The alert comes from the goroutine that writes, before the next line.
	return &Writer{queue: diode.NewWriter(destination, queueLines, 0, func(missed int) { destination.dropped += missed }),
		to: destination}
}

// Logger makes a logger that writes here, and has the standard library's default logger write here, too: the queue and
// net/http use that one, and standard error may be the same pipe that nobody reads.
func (w *Writer) Logger(level zerolog.Level) zerolog.Logger {
	log := zerolog.New(w).Level(level).With().Timestamp().Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("from", "library").Logger())
	return log
}

// Write queues one line.
func (w *Writer) Write(line []byte) (int, error) { return w.queue.Write(line) }

// Close writes what waits, for as long as the limit at most.
func (w *Writer) Close(limit time.Duration) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		w.queue.Close()
	}()
	select {
	case <-written:
	case <-time.After(limit):
	}
}

func (c *counted) Write(line []byte) (int, error) {
	if c.dropped > 0 {
		if _, err := fmt.Fprintf(c.to, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n",
			c.dropped); err == nil {
			c.dropped = 0
		}
	}
	if c.isTorn {
		line = append([]byte{'\n'}, line...)
	}
	n, err := c.to.Write(line)
	c.isTorn = err != nil && (n > 0 || c.isTorn)
	return n, err
}
