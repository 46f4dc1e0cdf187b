package store

import (
	"errors"
	"fmt"
	"sync"
)

// Writer appends batches. Many that wait share one sync (group commit): each is acknowledged after the sync that made
// it last, in the order in which they came. It never blocks who appends.
type Writer struct {
	disk            Disk
	maxPending      int // batches that may wait
	maxSegmentBytes int // bytes after which the next commit begins another segment
	mu              sync.Mutex
	pending         []pendingBatch
	shed            int
	failed          error
	closed          bool
	wake            chan struct{}
	ended           chan struct{}

	file File // the rest is the committing goroutine's
	size int
	last Seq
}

type pendingBatch struct {
	ops  []Op
	done func(Seq, error)
}

var (
	// ErrFull is what a batch is shed with when too many wait.
	ErrFull = errors.New("too many batches wait")
	// ErrClosed is what a batch is refused with after Close.
	ErrClosed = errors.New("store is closed")
)

// NewWriter goes on behind what was recovered, in a segment of its own: a torn end is never written over. At most so
// many batches wait; a segment that has reached so many bytes is followed by another.
func NewWriter(disk Disk, r *Recovered, most, segment int) (*Writer, error) {
	w := &Writer{disk: disk, maxPending: most, maxSegmentBytes: segment, last: r.Last, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	if r.Torn != "" {
		return nil, fmt.Errorf("the end is torn, repair it first: %s", r.Torn)
	}
	if n := len(r.Segments); n > 0 && r.Segments[n-1].Last == 0 {
		return nil, fmt.Errorf("%s holds no batch, repair it first", r.Segments[n-1].Name)
	}
	go w.run()
	return w, nil
}

// Append hands a batch in. Done is called from another goroutine once it will outlast a loss of power, or with why it
// may not; it must not block. A batch beyond what may wait is shed at once with ErrFull, and counted.
func (w *Writer) Append(ops []Op, done func(Seq, error)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return ErrClosed
	case w.failed != nil:
		return w.failed
	case len(w.pending) >= w.maxPending:
		w.shed++
		return ErrFull
	}
	w.pending = append(w.pending, pendingBatch{ops, done})
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// Shed is how many batches were refused because too many waited.
func (w *Writer) Shed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shed
}

// Close commits what waits and ends the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	<-w.ended
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

func (w *Writer) run() {
	defer close(w.ended)
	for range w.wake {
		w.commit()
	}
	w.commit()
	if w.file != nil {
		w.file.Close()
	}
}

// commit writes all that waits and syncs once. After any failure the file is not trusted again: what a failed sync
// has lost, a later one that succeeds does not bring back.
func (w *Writer) commit() {
	w.mu.Lock()
	batches, failed := w.pending, w.failed
	w.pending = nil
	w.mu.Unlock()
	if len(batches) == 0 {
		return
	}
	first := w.last + 1
	var text []byte
	var refused []error
	for _, b := range batches {
		var err error
		if text, err = appendBatch(text, w.last+1, b.ops); err == nil {
			w.last++
		}
		refused = append(refused, err)
	}
	if failed == nil && w.last >= first {
		if failed = w.write(first, text); failed != nil {
			w.mu.Lock()
			w.failed = failed
			w.mu.Unlock()
		}
	}
	seq := first
	for i, b := range batches {
		switch {
		case refused[i] != nil:
			b.done(0, refused[i])
		case failed != nil:
			b.done(0, failed)
		default:
			b.done(seq, nil)
			seq++
		}
	}
}

func (w *Writer) write(first Seq, text []byte) error {
	if w.file != nil && w.size >= w.maxSegmentBytes {
		file := w.file
		w.file, w.size = nil, 0
		if err := file.Close(); err != nil {
			return err
		}
	}
	if w.file == nil {
		file, err := w.disk.Create(fmt.Sprintf("%016x%s", uint64(first), segmentSuffix))
		if err != nil {
			return err
		}
		if err := w.disk.SyncFolder(); err != nil {
			file.Close()
			return err
		}
		w.file = file
		text = append(appendHeader(nil, first), text...)
	}
	w.size += len(text)
	if _, err := w.file.Write(text); err != nil {
		return err
	}
	return w.file.Sync()
}
