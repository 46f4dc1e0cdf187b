package failure

import (
	"context"
	"time"
)

// Back-off between calls that fail for want of a resource.
const (
	minBackOff = time.Millisecond
	maxBackOff = 10 * time.Millisecond // a hundred calls a second cost little, and clients wait meanwhile
)

// BackOff is a pause that doubles with each failure in a row. The zero value is ready.
type BackOff struct{ last time.Duration }

// Next returns the next pause, 1 to 10 ms.
func (b *BackOff) Next() time.Duration {
	b.last = min(max(2*b.last, minBackOff), maxBackOff)
	return b.last
}

// Reset is to be called after a success.
func (b *BackOff) Reset() { b.last = 0 }

// Retry makes a call again while its failure passes, with a back-off, until the context is done. It returns the last error.
// It blocks, and so is not for the event loop.
func Retry(ctx context.Context, call Call, log *Log, do func() error) error {
	var pause BackOff
	for {
		err := do()
		meaning := Classify(call, err)
		if meaning == None {
			return nil
		}
		log.Note(call, err, meaning)
		if !meaning.Passes() {
			return err
		}
		timer := time.NewTimer(pause.Next())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// RetryFor is Retry with a limit of time.
func RetryFor(limit time.Duration, call Call, log *Log, do func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return Retry(ctx, call, log, do)
}
