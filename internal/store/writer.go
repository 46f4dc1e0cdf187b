package store

import (
	"errors"
	"fmt"
	"sync"
)

// Writer appends batches. Pending batches share one sync (group commit): each is acknowledged after the sync that made it
// durable, in the order in which they were appended. It never blocks its caller.
type Writer struct {
	disk            Disk
	maxPending      int // batches
	maxSegmentBytes int // bytes after which the next commit begins another segment
	mu              sync.Mutex
	pending         []pendingBatch
	shed            int
	failed          error
	closed          bool
	wake            chan struct{}
	ended           chan struct{}

	// Used by the committing goroutine only.
	file File
	size int
	last Seq
}

type pendingBatch struct {
	ops  []Op
	done func(Seq, error)
}

var (
	// ErrFull refuses a batch when too many are pending.
	ErrFull = errors.New("too many batches wait")
	// ErrClosed refuses a batch after Close.
	ErrClosed = errors.New("store is closed")
)

// NewWriter continues after what was recovered, in a new segment: a torn end is never overwritten. At most maxPending
// batches wait; a segment that has reached maxSegmentBytes is followed by another.
func NewWriter(disk Disk, r *Recovered, maxPending, maxSegmentBytes int) (*Writer, error) {
	w := &Writer{disk: disk, maxPending: maxPending, maxSegmentBytes: maxSegmentBytes, last: r.Last, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	if r.Torn != "" {
		return nil, fmt.Errorf("the end is torn, repair it first: %s", r.Torn)
	}
	if n := len(r.Segments); n > 0 && r.Segments[n-1].Last == 0 {
		return nil, fmt.Errorf("%s holds no batch, repair it first", r.Segments[n-1].Name)
	}
	go w.run()
	return w, nil
}

// Append queues a batch. done is called from another goroutine once the batch is durable, or with the reason why it may
// not be; it must not block. A batch beyond the limit of pending ones is refused at once with ErrFull, and counted.
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

// Shed is how many batches were refused because too many were pending.
func (w *Writer) Shed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shed
}

// Close commits the pending batches and ends the writer.
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

// commit writes all pending batches and syncs once. After any failure the file is not trusted again: what a failed sync
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
	var data []byte
	var rejections []error
	for _, b := range batches {
		var err error
		if data, err = appendBatch(data, w.last+1, b.ops); err == nil {
			w.last++
		}
		rejections = append(rejections, err)
	}
	if failed == nil && w.last >= first {
		if failed = w.write(first, data); failed != nil {
			w.mu.Lock()
			w.failed = failed
			w.mu.Unlock()
		}
	}
	seq := first
	for i, b := range batches {
		switch {
		case rejections[i] != nil:
			b.done(0, rejections[i])
		case failed != nil:
			b.done(0, failed)
		default:
			b.done(seq, nil)
			seq++
		}
	}
}

func (w *Writer) write(first Seq, data []byte) error {
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
		data = append(appendHeader(nil, first), data...)
	}
	w.size += len(data)
	if _, err := w.file.Write(data); err != nil {
		return err
	}
	return w.file.Sync()
}
