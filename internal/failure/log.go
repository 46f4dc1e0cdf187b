package failure

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// logSpan is how often one kind of failure is logged at most.
const logSpan = time.Second

// Log counts failures by call and errno, and logs each kind once in a span with its count. Its methods may be called from
// any goroutine; nil is a Log that does nothing.
type Log struct {
	log zerolog.Logger

	mu    sync.Mutex
	kinds map[kind]*tally
}

type kind struct {
	call  Call
	errno syscall.Errno // 0 for an error without one
}

type tally struct {
	count  uint64
	logged time.Time
}

// NewLog makes a log that writes to another.
func NewLog(log zerolog.Logger) *Log { return &Log{log: log, kinds: map[kind]*tally{}} }

// Note counts a failure of a call.
func (l *Log) Note(call Call, err error, meaning Meaning) {
	if l == nil {
		return
	}
	k := kind{call: call}
	errors.As(err, &k.errno)
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.kinds[k]
	if t == nil {
		t = &tally{}
		l.kinds[k] = t
	}
	t.count++
	if now := time.Now(); t.logged.IsZero() || now.Sub(t.logged) >= logSpan {
		t.logged = now
		l.log.Warn().Stringer("call", call).AnErr("cause", err).Stringer("meaning", meaning).Uint64("count", t.count).
			Msg("a system call failed")
	}
}

// Count returns how many failures of a call with an errno were noted.
func (l *Log) Count(call Call, errno syscall.Errno) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.kinds[kind{call, errno}]; t != nil {
		return t.count
	}
	return 0
}
