// Package asynclog writes log lines from a separate goroutine, so that a reader of the log that is slow, blocked or gone never
// blocks the code that logs. When the queue is full, the oldest lines are dropped; their number is written as a line of its
// own once there is room.
package asynclog

import (
	"fmt"
	"io"
	stdlog "log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLines is the capacity of the queue in lines.
	queueLines = 4096
	// newLineBytes is the capacity of a new line buffer in bytes, enough for most lines.
	newLineBytes = 512
	// maxReusedBytes is the capacity in bytes of the largest line buffer that is kept for another line.
	maxReusedBytes = 1 << 16
)

// Writer is an io.Writer for log lines whose Write never blocks. Its methods may be called from any goroutine.
type Writer struct {
	queue       chan *[]byte // is never closed, as late writers may still send
	dropped     atomic.Int64 // lines not reported yet
	closeOnce   sync.Once
	closing     chan struct{} // is closed when no more lines are expected
	written     chan struct{} // is closed when the queue was written after that
	destination lineWriter
}

// lineBuffers holds line buffers (*[]byte) that can be used again.
var lineBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, newLineBytes)
	return &buffer
}}

// New makes a Writer that passes lines on to output. A failed write is not repeated: the line is lost.
func New(output io.Writer) *Writer {
	w := &Writer{
		queue:       make(chan *[]byte, queueLines),
		closing:     make(chan struct{}),
		written:     make(chan struct{}),
		destination: lineWriter{output: output},
	}
	go w.relay()
	return w
}

// Logger makes a logger that writes here. It also redirects the standard library's default logger here: net/http uses that
// one, and standard error may be the same pipe that nobody reads.
func (w *Writer) Logger(level zerolog.Level) zerolog.Logger {
	log := zerolog.New(w).Level(level).With().Timestamp().Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("from", "library").Logger())
	return log
}

// Write queues a copy of one line without blocking. It drops the oldest lines of a full queue and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	buffer := lineBuffers.Get().(*[]byte)
	*buffer = append((*buffer)[:0], line...)
	for {
		select {
		case w.queue <- buffer:
			return len(line), nil
		default:
			w.dropOldest()
		}
	}
}

// dropOldest makes room for one line.
func (w *Writer) dropOldest() {
	select {
	case buffer := <-w.queue:
		w.dropped.Add(1)
		release(buffer)
	default: // the relay has made room meanwhile
	}
}

// Close writes the queued lines and waits for that until the limit at most. Lines of later calls of Write are lost.
func (w *Writer) Close(limit time.Duration) {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.written:
	case <-time.After(limit):
	}
}

// relay passes lines on to the destination until Close is called and the queue is empty.
func (w *Writer) relay() {
	defer close(w.written)
	for {
		select {
		case buffer := <-w.queue:
			w.pass(buffer)
		case <-w.closing:
			w.passRest()
			return
		}
	}
}

// passRest passes on the lines that are queued when Close is called.
func (w *Writer) passRest() {
	for {
		select {
		case buffer := <-w.queue:
			w.pass(buffer)
		default:
			return
		}
	}
}

// pass writes one line, and before it the number of lines that were dropped.
func (w *Writer) pass(buffer *[]byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		if err := w.destination.reportDropped(dropped); err != nil {
			w.dropped.Add(dropped)
		}
	}
	w.destination.write(*buffer)
	release(buffer)
}

// release makes a line buffer available for another line.
func release(buffer *[]byte) {
	if cap(*buffer) <= maxReusedBytes {
		lineBuffers.Put(buffer)
	}
}

// lineWriter writes lines to an output whose writes may fail in the middle of a line.
type lineWriter struct {
	output     io.Writer
	unfinished bool // the last write failed in the middle of a line
}

// reportDropped writes a line with the number of dropped lines.
func (l *lineWriter) reportDropped(lines int64) error {
	return l.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n", lines))
}

// write writes one line. It starts a new line first if the last write failed in the middle of one.
func (l *lineWriter) write(line []byte) error {
	if l.unfinished {
		line = append([]byte{'\n'}, line...)
	}
	n, err := l.output.Write(line)
	l.unfinished = err != nil && (n > 0 || l.unfinished)
	return err
}
