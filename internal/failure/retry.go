package failure

import (
	"context"
	"time"
)

// Bounds of the back-off between calls that fail for lack of a resource.
const (
	minBackOff = time.Millisecond
	maxBackOff = 10 * time.Millisecond // clients wait meanwhile, and 100 calls a second cost little
)

// BackOff computes a delay that doubles with each failure in a row, from minBackOff to maxBackOff. The zero value is ready to
// use.
type BackOff struct{ last time.Duration }

// Next returns the delay before the next attempt, 1 to 10 ms.
func (b *BackOff) Next() time.Duration {
	b.last = min(max(2*b.last, minBackOff), maxBackOff)
	return b.last
}

// Reset starts again at the shortest delay. It must be called after a success.
func (b *BackOff) Reset() { b.last = 0 }

// Retry repeats a call while its failures are temporary, with a back-off, until it succeeds or the context is done. It returns
// the last error, and records each failure in log, which may be nil. It blocks, so it must not be called on the event loop.
func Retry(ctx context.Context, call Call, log *Log, attempt func() error) error {
	var backOff BackOff
	for {
		err := attempt()
		meaning := Classify(call, err)
		if meaning == None {
			return nil
		}
		log.Record(call, err, meaning)
		if !meaning.IsTemporary() {
			return err
		}
		timer := time.NewTimer(backOff.Next())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// RetryFor is Retry with a time limit, which ends the back-off but not an attempt in progress.
func RetryFor(limit time.Duration, call Call, log *Log, attempt func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return Retry(ctx, call, log, attempt)
}
