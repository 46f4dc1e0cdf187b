// Package load runs calls on a fixed schedule without waiting for earlier ones (an open loop), and records latencies from
// the intended start of each call. A stall of the system under test therefore shows up in the latencies, instead of being
// hidden by senders that wait for it to end (coordinated omission, as described by Gil Tene). Callers decide what is sent.
package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros = 1
	maxLatencyMicros = 10 * 60 * 1e6 // 10 minutes; longer latencies are recorded as this

	totalDigits  = 3 // significant digits of the histogram of the whole run
	windowDigits = 2 // significant digits of each window's histogram; fewer, to save memory

	summaryUnit = time.Millisecond // of all reported latencies and times
)

// Summary holds the count, quantiles and maximum of latencies. Latencies are in milliseconds.
type Summary struct {
	N    int64   `json:"n"` // number of recorded latencies
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Window summarizes the latencies of the calls whose intended start lies within one window of time.
type Window struct {
	FromMs float64 `json:"from_ms"` // start of the window since the start of the run, in milliseconds
	Summary
}

// Recorder records latencies in histograms, for the whole run and for each window. It is safe for concurrent use.
type Recorder struct {
	mu           sync.Mutex
	windowLength time.Duration
	all          *hdrhistogram.Histogram
	windows      []*hdrhistogram.Histogram
}

// NewRecorder returns a recorder with windows of the given length, or without windows if the length is 0.
func NewRecorder(windowLength time.Duration) *Recorder {
	return &Recorder{windowLength: windowLength, all: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, totalDigits)}
}

// Record records the latency of a call. intended is the call's intended start since the start of the run; a negative one
// belongs to no window.
func (r *Recorder) Record(intended, latency time.Duration) {
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.RecordValue(micros)
	if r.windowLength <= 0 || intended < 0 {
		return
	}
	window := int(intended / r.windowLength)
	for len(r.windows) <= window {
		r.windows = append(r.windows, nil)
	}
	if r.windows[window] == nil {
		r.windows[window] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, windowDigits)
	}
	r.windows[window].RecordValue(micros)
}

// summarize returns the summary of a histogram of microseconds.
func summarize(histogram *hdrhistogram.Histogram) Summary {
	quantile := func(q float64) float64 {
		return float64(histogram.ValueAtQuantile(q)) / float64(summaryUnit/time.Microsecond)
	}
	return Summary{N: histogram.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
		Max: float64(histogram.Max()) / float64(summaryUnit/time.Microsecond)}
}

// Summary returns the summary of the whole run.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return summarize(r.all)
}

// Windows returns the windows that have at least one recorded latency, in order of time.
func (r *Recorder) Windows() []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	var windows []Window
	for i, histogram := range r.windows {
		if histogram != nil {
			windows = append(windows, Window{float64(time.Duration(i)*r.windowLength) / float64(summaryUnit), summarize(histogram)})
		}
	}
	return windows
}

// LatenciesAtQuantiles returns the latency of the whole run, in milliseconds, at each of the quantiles (0 to 100).
func (r *Recorder) LatenciesAtQuantiles(quantiles []float64) []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	latencies := make([]float64, len(quantiles))
	for i, q := range quantiles {
		latencies[i] = float64(r.all.ValueAtQuantile(q)) / float64(summaryUnit/time.Microsecond)
	}
	return latencies
}

// Lateness measures how far a load generator is behind its own schedule. The latencies that a generator records are
// meaningless while it is late itself. It is safe for concurrent use.
type Lateness struct {
	recorder  *Recorder     // of the delays; the intended start is not used
	bound     time.Duration // a send delayed by more than this is late
	lateCount atomic.Int64
}

// maxLateShare is the fraction of late sends above which the whole run counts as late.
const maxLateShare = 0.01

// NewLateness returns a Lateness that counts sends delayed by more than bound as late.
func NewLateness(bound time.Duration) *Lateness {
	return &Lateness{recorder: NewRecorder(0), bound: bound}
}

// Record records the delay of a send behind its schedule.
func (l *Lateness) Record(delay time.Duration) {
	l.recorder.Record(-1, delay)
	if delay > l.bound {
		l.lateCount.Add(1)
	}
}

// Result returns the number of late sends, whether they are more than maxLateShare of all, and the delays of all sends.
func (l *Lateness) Result() (late int64, tooMany bool, all Summary) {
	all, late = l.recorder.Summary(), l.lateCount.Load()
	return late, float64(late) > maxLateShare*float64(all.N), all
}

// Bound returns the delay above which a send is late.
func (l *Lateness) Bound() time.Duration { return l.bound }

// Run calls fire(i) at the time schedule[i], each in its own goroutine, until the schedule or the context ends. The schedule
// is in ascending order, on the clock now. Run doesn't wait for calls to return. It returns the number of calls it started.
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
