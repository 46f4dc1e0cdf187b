// Package asynclog writes log lines from a separate goroutine, so that a reader of the log that is slow, blocked or gone never
// blocks the code that logs. When the queue is full, the oldest lines are dropped; their number is written as a line of its
// own once there is room. The queue is zerolog's diode.
package asynclog

import (
	"fmt"
	"io"
	stdlog "log"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// queueLines is the capacity of the queue in lines.
const queueLines = 4096

// Writer is an io.Writer for log lines whose Write never blocks.
type Writer struct {
	queue       diode.Writer
	destination *countingWriter
}

// countingWriter writes lines, and before the next line the number of lines that were dropped.
type countingWriter struct {
	output         io.Writer
	dropped        int  // lines not reported yet; used by the writing goroutine only
	lineUnfinished bool // the last write failed in the middle of a line
}

// New makes a Writer that passes lines on to output. A failed write is not repeated: the line is lost.
func New(output io.Writer) *Writer {
	destination := &countingWriter{output: output}
	// The diode reports dropped lines on the goroutine that writes, before the next line.
	return &Writer{queue: diode.NewWriter(destination, queueLines, 0, func(missed int) { destination.dropped += missed }),
		destination: destination}
}

// Logger makes a logger that writes here. It also redirects the standard library's default logger here: the diode and net/http
// use that one, and standard error may be the same pipe that nobody reads.
func (w *Writer) Logger(level zerolog.Level) zerolog.Logger {
	log := zerolog.New(w).Level(level).With().Timestamp().Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("from", "library").Logger())
	return log
}

// Write queues one line without blocking.
func (w *Writer) Write(line []byte) (int, error) { return w.queue.Write(line) }

// Close writes the queued lines and waits for that until the limit at most.
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

// Write writes one line. It starts a new line first if the last write failed in the middle of one.
func (c *countingWriter) Write(line []byte) (int, error) {
	if c.dropped > 0 {
		if _, err := fmt.Fprintf(c.output, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n",
			c.dropped); err == nil {
			c.dropped = 0
		}
	}
	if c.lineUnfinished {
		line = append([]byte{'\n'}, line...)
	}
	n, err := c.output.Write(line)
	c.lineUnfinished = err != nil && (n > 0 || c.lineUnfinished)
	return n, err
}
