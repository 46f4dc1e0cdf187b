package failure

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// minLogInterval is the shortest time between two log lines of the same kind of failure.
const minLogInterval = time.Second

// Log counts failures by call and errno. It logs each kind at most once in minLogInterval, with the count so far. Its methods
// may be called from any goroutine. Record may be called on a nil Log and does nothing.
type Log struct {
	logger zerolog.Logger

	mu          sync.Mutex
	statsByKind map[failureKind]*failureStats
}

// failureKind identifies failures that are counted and logged together.
type failureKind struct {
	call  Call
	errno syscall.Errno // 0 for an error without an errno
}

// failureStats holds the count of one kind of failure.
type failureStats struct {
	count    uint64    // since the start of the process
	loggedAt time.Time // time of the last log line, zero for none
}

// NewLog creates a Log that writes to a logger.
func NewLog(logger zerolog.Logger) *Log {
	return &Log{logger: logger, statsByKind: map[failureKind]*failureStats{}}
}

// Record counts a failure of a call, and logs it unless the same kind was logged less than minLogInterval ago.
func (l *Log) Record(call Call, err error, meaning Meaning) {
	if l == nil {
		return
	}
	key := failureKind{call: call}
	errors.As(err, &key.errno)
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.statsByKind[key]
	if stats == nil {
		stats = &failureStats{}
		l.statsByKind[key] = stats
	}
	stats.count++
	if now := time.Now(); stats.loggedAt.IsZero() || now.Sub(stats.loggedAt) >= minLogInterval {
		stats.loggedAt = now
		l.logger.Warn().Stringer("call", call).AnErr("cause", err).Stringer("meaning", meaning).Uint64("count", stats.count).
			Msg("a system call failed")
	}
}

// Count returns how many failures of a call with an errno were recorded, with errno 0 for those without one.
func (l *Log) Count(call Call, errno syscall.Errno) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stats := l.statsByKind[failureKind{call, errno}]; stats != nil {
		return stats.count
	}
	return 0
}
