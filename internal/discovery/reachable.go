package discovery

import (
	"errors"
	"fmt"
	"time"

	"chalkferry/internal/failure"
)

// maxImmediateFailure is the time from the connection of a call to its failure within which the failure proves that discovery is
// down. A call that fails later may have waited for its turn at a service that works: those give a call up after a second or more.
const maxImmediateFailure = 250 * time.Millisecond

// ErrWatchEnded is the failure of a watch that discovery had answered, unless it fell silent.
var ErrWatchEnded = errors.New("the watch ended")

// DownError is the failure of a call that proves that discovery was down, or could not be reached, at some time after At.
type DownError struct {
	At  time.Time // with a monotonic reading; before discovery can have received the request
	Err error
}

// Error implements error.
func (e *DownError) Error() string { return fmt.Sprintf("discovery is down: %v", e.Err) }

// Unwrap returns the failure itself.
func (e *DownError) Unwrap() error { return e.Err }

// isLocalShortage reports whether a system call failed for want of a resource of this machine, which says nothing of discovery.
func isLocalShortage(call failure.Call, err error) bool {
	switch failure.Classify(call, err) {
	case failure.Exhausted, failure.Interrupted, failure.NotReady:
		return true
	}
	return false
}

// connectFailure makes the error of a connection that could not be established. attemptedAt is the start of the last attempt.
func connectFailure(err error, attemptedAt time.Time) error {
	if isLocalShortage(failure.Connect, err) {
		return err
	}
	return &DownError{At: attemptedAt, Err: err}
}

// callFailure makes the error of a call that failed on its established connection before it was answered. conn is nil if there
// was none.
func callFailure(err error, conn *watchConn) error {
	if conn == nil || isLocalShortage(failure.Read, err) || time.Since(conn.connectedAt) > maxImmediateFailure {
		return err
	}
	return &DownError{At: conn.connectedAt, Err: err}
}
