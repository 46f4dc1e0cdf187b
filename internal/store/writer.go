package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"chalkferry/internal/failure"
)

// closeTimeout is how long Close retries while the disk has temporary errors.
const closeTimeout = 5 * time.Second

// Writer appends batches. Pending batches share one sync (group commit). Each is acknowledged after the sync that made it
// durable, in the order of the appends. On a temporary error of the disk they stay pending and are written again. Append
// never blocks its caller.
type Writer struct {
	disk            Disk
	maxPending      int // largest number of batches that wait
	maxSegmentBytes int // size after which the next commit starts another segment
	mu              sync.Mutex
	pending         []pendingBatch
	shed            int   // batches refused with ErrFull
	failed          error // lasting error, after which nothing is written
	closed          bool
	wake            chan struct{}      // signals the committing goroutine; closed by Close
	stopped         chan struct{}      // closed when the committing goroutine has ended
	retryContext    context.Context    // ends the retries of a temporary error
	cancelRetries   context.CancelFunc // cancels retryContext

	// Fields that only the committing goroutine uses.
	file          File
	isNameDurable bool // the file's name is durable
	isDirty       bool // a write was started and is not known to be durable: the file may hold a part of it
	size          int  // bytes of the file that are durable
	last          Seq  // sequence number of the last batch
}

// pendingBatch is a batch that waits for its commit.
type pendingBatch struct {
	ops  []Op
	done func(Seq, error)
}

var (
	// ErrFull is returned by Append if too many batches are pending.
	ErrFull = errors.New("too many batches are pending")
	// ErrClosed is returned by Append after Close.
	ErrClosed = errors.New("store is closed")
)

// NewWriter returns a writer that continues after the recovered batches, in a new segment: it never overwrites a torn end. At
// most maxPending batches wait. A segment that has reached maxSegmentBytes is followed by another.
func NewWriter(disk Disk, r *Recovered, maxPending, maxSegmentBytes int) (*Writer, error) {
	w := &Writer{disk: disk, maxPending: maxPending, maxSegmentBytes: maxSegmentBytes, last: r.Last, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	w.retryContext, w.cancelRetries = context.WithCancel(context.Background())
	if r.Torn != "" {
		return nil, fmt.Errorf("the end is torn, repair it first: %s", r.Torn)
	}
	if n := len(r.Segments); n > 0 && r.Segments[n-1].Last == 0 {
		return nil, fmt.Errorf("%s holds no batch, repair it first", r.Segments[n-1].Name)
	}
	go w.run()
	return w, nil
}

// Append queues a batch. done is called from another goroutine: with the sequence number once the batch is durable, or
// with an error if it may not be. done must not block. If maxPending batches are pending, the batch is refused with
// ErrFull and counted.
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

// ShedCount returns how many batches were refused because too many were pending.
func (w *Writer) ShedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shed
}

// Close commits the pending batches and stops the writer. While the disk has temporary errors it retries for up to 5 s;
// batches that are still pending then are reported as failed.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	retryTimer := time.AfterFunc(closeTimeout, w.cancelRetries)
	defer retryTimer.Stop()
	<-w.stopped
	w.cancelRetries()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// run commits pending batches whenever it is woken, and once more after Close.
func (w *Writer) run() {
	defer close(w.stopped)
	for range w.wake {
		w.commit()
	}
	w.commit()
	if w.file != nil {
		w.file.Close()
	}
}

// commit writes all pending batches and syncs once. After a temporary error all data behind the durable part is written
// again, because a later sync that succeeds does not restore what a failed one has lost. After any other error nothing is
// written any more.
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
		failed = failure.Retry(w.retryContext, failure.WriteFile, nil, func() error { return w.write(first, data) })
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

// write appends data to the current segment and makes it durable. After an error it may be called again with the same data.
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

// openSegment opens the segment for the next batches, if there is none or the current one is full, and makes its name
// durable.
func (w *Writer) openSegment(first Seq) error {
	if w.file != nil && !w.isDirty && w.size >= w.maxSegmentBytes {
		w.file.Close() // an error is of no interest: all data is durable already
		w.file = nil
	}
	if w.file == nil {
		file, err := w.disk.Create(fmt.Sprintf("%016x%s", uint64(first), segmentSuffix))
		if err != nil {
			return err
		}
		w.file, w.isNameDurable, w.isDirty, w.size = file, false, false, 0
	}
	if !w.isNameDurable {
		if err := w.disk.SyncFolder(); err != nil {
			return err
		}
		w.isNameDurable = true
	}
	return nil
}
