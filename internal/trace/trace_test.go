package trace

import (
	"bytes"
	"errors"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawTrace draws a trace with sessions in the order of arrival.
func drawTrace(t *rapid.T) []Session {
	var sessions []Session
	at := 0.0
	for range rapid.IntRange(0, 30).Draw(t, "n") {
		at += rapid.Float64Range(0, 500).Draw(t, "gap")
		sessions = append(sessions, Session{AtMs: at, Listener: rapid.SampledFrom([]string{"page", "studio"}).Draw(t, "listener"),
			Key: rapid.StringMatching(`[0-9a-f]{1,16}`).Draw(t, "key"), LifetimeMs: rapid.Float64Range(0, 1e5).Draw(t, "life"),
			Returned: rapid.Bool().Draw(t, "returned")})
	}
	return sessions
}

// TestRoundTrip checks that a trace is read as it was written, and that cutting, speeding up, scaling and merging keep the
// number of sessions that they should and their order.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := drawTrace(t)
		var text bytes.Buffer
		if err := Write(&text, "test", written); err != nil {
			t.Fatal(err)
		}
		read, err := Read("t", &text)
		if err != nil || len(read) != len(written) || len(written) > 0 && !reflect.DeepEqual(read, written) {
			t.Fatal(err, read, written)
		}
		mid := time.Duration(rapid.IntRange(0, 5000).Draw(t, "mid")) * time.Millisecond
		head, tail := Cut(written, 0, mid), Cut(written, mid, time.Hour)
		if len(head)+len(tail) != len(written) {
			t.Fatalf("cut into %d and %d of %d sessions", len(head), len(tail), len(written))
		}
		for _, s := range Merge(head, tail) {
			if s.AtMs < 0 {
				t.Fatal(s)
			}
		}
		for i, s := range Speed(written, 10) {
			if s.AtMs != written[i].AtMs/10 || s.LifetimeMs != written[i].LifetimeMs {
				t.Fatal(s, written[i])
			}
		}
		n := rapid.IntRange(0, 4).Draw(t, "factor")
		scaled := Scale(written, float64(n), time.Second, rand.New(rand.NewSource(1)))
		if len(scaled) != n*len(written) {
			t.Fatalf("%d sessions for %d times %d", len(scaled), n, len(written))
		}
		for i := 1; i < len(scaled); i++ {
			if scaled[i].AtMs < scaled[i-1].AtMs {
				t.Fatal("sessions are out of order")
			}
		}
	})
}

// TestRefusedWithLine checks that an invalid trace is refused with the number of the invalid line.
func TestRefusedWithLine(t *testing.T) {
	const head = `{"chalkferry_trace":1,"unit":"ms"}` + "\n"
	for text, line := range map[string]int{
		"":                                   1,
		`{"chalkferry_trace":2,"unit":"ms"}`: 1,
		`{"chalkferry_trace":1,"unit":"s"}`:  1,
		head + `{"at":1,"listener":"page","key":"a"}` + "\n" + `{"at":0,"listener":"page","key":"a"}`: 3,
		head + "\n" + `{"at":1,"listener":"page","key":"a","colour":"red"}`:                           3,
		head + `{"at":-1,"listener":"page","key":"a"}`:                                                2,
		head + `{"at":1,"listener":"pa ge","key":"a"}`:                                                2,
		head + `{"at":1,"listener":"page"}`:                                                           2,
		head + `{"at":1,"listener":"page","key":"a"} {}`:                                              2,
		head + `{"at":1`: 2,
		head + strings.Repeat("x", 2*maxLineBytes): 2,
	} {
		_, err := Read("t", strings.NewReader(text))
		var wrong *Error
		if !errors.As(err, &wrong) || wrong.Line != line {
			t.Errorf("%.60q: %v, want line %d", text, err, line)
		}
	}
}

// TestFromLog checks which log lines become sessions, their times and order, and that a last line that is cut off is skipped.
func TestFromLog(t *testing.T) {
	const log = `{"level":"info","message":"serving","time":"2026-12-01T20:00:00.000Z"}
{"level":"info","side":"client","reason":"ended","ms":1500,"up_ms":100,"id":"b","listener":"page","title":"t","key":"7f","group":"5c","wait_ms":800,"time":"2026-12-01T20:00:02.250Z"}
{"level":"info","side":"client","reason":"refused","ms":2,"id":"a","listener":"page","key":"7e","time":"2026-12-01T20:00:00.502Z"}
{"level":"info","side":"client","reason":"idle","ms":2,"time":"2026-12-01T20:00:00.502Z"}
{"level":"info","side":"cl`
	got, start, skipped, err := FromLog("log", strings.NewReader(log))
	want := []Session{{AtMs: 0, Listener: "page", Key: "7e", Answer: "refused"},
		{AtMs: 250, Listener: "page", Tenant: "t", Key: "7f", Group: "5c", DialTimeoutMs: 800, LifetimeMs: 1400, Answer: "ended"}}
	if err != nil || skipped != 3 || start.Format("05.000") != "00.500" || !reflect.DeepEqual(got, want) {
		t.Fatal(err, skipped, got)
	}
	var wrong *Error
	if _, _, _, err := FromLog("log", strings.NewReader("{}\nnonsense\n{}\n")); !errors.As(err, &wrong) || wrong.Line != 2 {
		t.Fatal(err)
	}
}
