package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"chalkferry/internal/failure"
)

// closePatience is how long Close goes on trying while the disk fails for a moment.
const closePatience = 5 * time.Second

// Writer appends batches. Pending batches share one sync (group commit): each is acknowledged after the sync that made it
// durable, in the order in which they were appended. While the disk fails for a moment they stay pending, and are written
// again. It never blocks its caller.
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
	context         context.Context // done once the disk is not waited for any more
	giveUp          context.CancelFunc

	// Used by the committing goroutine only.
	file     File
	isListed bool // the file's name is durable
	isDirty  bool // a write was begun and is not durable: part of it may be there
	size     int  // bytes of the file that are durable
	last     Seq
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
	w.context, w.giveUp = context.WithCancel(context.Background())
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

// Close commits the pending batches and ends the writer. While the disk fails for a moment it tries for up to 5 s; what is
// pending then is reported as failed.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	limit := time.AfterFunc(closePatience, w.giveUp)
	defer limit.Stop()
	<-w.ended
	w.giveUp()
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

// commit writes all pending batches and syncs once. What fails for a moment is written again from what is durable on: a sync
// that succeeds later does not bring back what a failed one has lost. After any other failure nothing is written any more.
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
		failed = failure.Retry(w.context, failure.WriteFile, nil, func() error { return w.write(first, data) })
		if failed != nil {
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

// write makes data durable behind what is. It may be called again with the same data after a failure.
func (w *Writer) write(first Seq, data []byte) error {
	if err := w.openSegment(first); err != nil {
		return err
	}
	if w.isDirty {
		if err := w.file.Truncate(int64(w.size)); err != nil {
			return err
		}
	}
	w.isDirty = true
	if w.size == 0 {
		data = append(appendHeader(nil, first), data...)
	}
	if _, err := w.file.Write(data); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.isDirty = false
	w.size += len(data)
	return nil
}

// openSegment opens the segment that the next batches go to, and makes its name durable.
func (w *Writer) openSegment(first Seq) error {
	if w.file != nil && !w.isDirty && w.size >= w.maxSegmentBytes {
		w.file.Close() // all that it holds is durable, whatever this returns
		w.file = nil
	}
	if w.file == nil {
		file, err := w.disk.Create(fmt.Sprintf("%016x%s", uint64(first), segmentSuffix))
		if err != nil {
			return err
		}
		w.file, w.isListed, w.isDirty, w.size = file, false, false, 0
	}
	if !w.isListed {
		if err := w.disk.SyncFolder(); err != nil {
			return err
		}
		w.isListed = true
	}
	return nil
}
