// Package load generates load on a fixed schedule, whatever becomes of what was sent (an open loop), and records each
// latency from the intended time of its send, so that a stall is not hidden by senders that wait for its end (no
// coordinated omission, after Tene). What is sent is the caller's.
package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 10 * 60 * 1e6    // longer ones count as this
	significantDigits = 3                // of the recorder
	windowDigits      = 2                // of each window, to save memory
	reportUnit        = time.Millisecond // of all figures
)

// Summary has quantiles of latencies, in milliseconds.
type Summary struct {
	N    int64   `json:"n"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Window summarizes what was to be sent within one window of time.
type Window struct {
	FromMs float64 `json:"from_ms"`
	Summary
}

// Recorder keeps latencies, of the whole run and by window. It may be used from any goroutine.
type Recorder struct {
	mu      sync.Mutex
	span    time.Duration
	all     *hdrhistogram.Histogram
	windows []*hdrhistogram.Histogram
}

// NewRecorder makes a recorder with windows of a length; 0 for none.
func NewRecorder(span time.Duration) *Recorder {
	return &Recorder{span: span, all: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// Record records the latency of something that was to begin at a time since the run's start.
func (r *Recorder) Record(intended, took time.Duration) {
	us := min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.RecordValue(us)
	if r.span <= 0 || intended < 0 {
		return
	}
	n := int(intended / r.span)
	for len(r.windows) <= n {
		r.windows = append(r.windows, nil)
	}
	if r.windows[n] == nil {
		r.windows[n] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, windowDigits)
	}
	r.windows[n].RecordValue(us)
}

func summarize(h *hdrhistogram.Histogram) Summary {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / float64(reportUnit/time.Microsecond) }
	return Summary{N: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(h.Max()) / float64(reportUnit/time.Microsecond)}
}

// Summary summarizes the whole run.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return summarize(r.all)
}

// Windows returns each window in which anything was to be sent.
func (r *Recorder) Windows() []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	var windows []Window
	for n, h := range r.windows {
		if h != nil {
			windows = append(windows, Window{float64(time.Duration(n)*r.span) / float64(reportUnit), summarize(h)})
		}
	}
	return windows
}

// AtQuantiles is the latency in milliseconds at each of some quantiles (0 to 100).
func (r *Recorder) AtQuantiles(quantiles []float64) []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	curve := make([]float64, len(quantiles))
	for i, q := range quantiles {
		curve[i] = float64(r.all.ValueAtQuantile(q)) / float64(reportUnit/time.Microsecond)
	}
	return curve
}

// Lateness measures how far a generator is behind its own schedule. What it reports of others is worth nothing while
// it is late itself.
type Lateness struct {
	recorder *Recorder
	bound    time.Duration
	late     atomic.Int64
}

// maxLateShare is the share of sends that may be later than the bound before a run counts as late.
const maxLateShare = 0.01

// NewLateness makes a measure with the bound beyond which a send is late.
func NewLateness(bound time.Duration) *Lateness {
	return &Lateness{recorder: NewRecorder(0), bound: bound}
}

// Record records how late a send was.
func (l *Lateness) Record(by time.Duration) {
	l.recorder.Record(-1, by)
	if by > l.bound {
		l.late.Add(1)
	}
}

// Result is how many sends were later than the bound, whether that is more than a hundredth of them, and the lateness
// of all.
func (l *Lateness) Result() (n int64, tooMany bool, all Summary) {
	all, n = l.recorder.Summary(), l.late.Load()
	return n, float64(n) > maxLateShare*float64(all.N), all
}

// Bound is the delay beyond which a send is late.
func (l *Lateness) Bound() time.Duration { return l.bound }

// Run calls fire for each time of a schedule in its order, in a goroutine of its own, until the last one's or the
// context's end. It never waits for what it has called. It returns how many calls it made.
func Run(ctx context.Context, now func() time.Duration, schedule []time.Duration, fire func(i int)) int {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, due := range schedule {
		if wait := due - now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return i
			}
		} else if ctx.Err() != nil {
			return i
		}
		go fire(i)
	}
	return len(schedule)
}
