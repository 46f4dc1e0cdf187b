// Package trace reads, writes and edits recorded arrivals of sessions, for rehearsals and the trace command. A trace is a
// text of JSON lines: a header, then one session a line in the order of their arrival. docs/rehearsal.md has the format.
// It replays nothing: that is the rehearsal's.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"time"
)

// Version is the version of the format that is written; later ones are refused.
const Version = 1

// Session is one arrival. Times are in milliseconds.
type Session struct {
	AtMs          float64 `json:"at"`                 // since the trace's start
	Listener      string  `json:"listener"`           //
	Tenant        string  `json:"title,omitempty"`    //
	Zone          string  `json:"zone,omitempty"`     // of the client
	Key           string  `json:"key"`                // of the client, hexadecimal
	Group         string  `json:"group,omitempty"`    //
	DialTimeoutMs float64 `json:"wait,omitempty"`     // its dial timeout; 0: the listener's
	Load          float64 `json:"load,omitempty"`     // in average sessions; 0: not known
	LifetimeMs    float64 `json:"life,omitempty"`     // how long it was established; 0: not known
	Answer        string  `json:"answer,omitempty"`   // how it ended when it was recorded
	Returned      bool    `json:"returned,omitempty"` // its client reconnected after a broken connection or a migration
}

// ArrivesAt is when the session arrives, since the trace's start.
func (s Session) ArrivesAt() time.Duration { return time.Duration(s.AtMs * float64(time.Millisecond)) }

type header struct {
	Trace  int    `json:"chalkferry_trace"`
	Unit   string `json:"unit"`
	Source string `json:"source,omitempty"`
}

// Error is what is wrong with a line of a trace.
type Error struct {
	Name string
	Line int // from 1
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.Name, e.Line, e.Text) }

const (
	// unit is that of all times in a trace.
	unit         = "ms"
	maxLineBytes = 64 << 10
)

// Read reads a whole trace; what is wrong with it is an *Error with the line's number.
func Read(name string, from io.Reader) ([]Session, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	var sessions []Session
	n := 0
	for lines.Scan() {
		n++
		text := bytes.TrimSpace(lines.Bytes())
		if n == 1 {
			if err := checkHeader(text); err != nil {
				return nil, &Error{name, n, err.Error()}
			}
			continue
		}
		if len(text) == 0 {
			continue
		}
		s, err := parseSession(text)
		if err != nil {
			return nil, &Error{name, n, err.Error()}
		}
		if len(sessions) > 0 && s.AtMs < sessions[len(sessions)-1].AtMs {
			return nil, &Error{name, n, fmt.Sprintf("arrives at %v ms, before the line above", s.AtMs)}
		}
		sessions = append(sessions, s)
	}
	if err := lines.Err(); err != nil {
		return nil, &Error{name, n + 1, err.Error()}
	}
	if n == 0 {
		return nil, &Error{name, 1, "empty, not even a header"}
	}
	return sessions, nil
}

// checkHeader reports a header that this build can't read.
func checkHeader(text []byte) error {
	var h header
	err := decodeStrict(text, &h)
	switch {
	case err != nil:
		return fmt.Errorf("no header of a trace: %v", err)
	case h.Trace < 1 || h.Trace > Version:
		return fmt.Errorf("version %d of the format; this build reads up to %d", h.Trace, Version)
	case h.Unit != unit:
		return fmt.Errorf("unit is %q, not %s", h.Unit, unit)
	}
	return nil
}

func parseSession(text []byte) (Session, error) {
	var s Session
	if err := decodeStrict(text, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

// decodeStrict decodes one JSON value whose keys must all be known.
func decodeStrict(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("more than one value on the line")
	}
	return nil
}

// check reports a value that can't occur in a first line.
func (s Session) check() error {
	for _, v := range []struct {
		name  string
		value float64
	}{{"at", s.AtMs}, {"wait", s.DialTimeoutMs}, {"load", s.Load}, {"life", s.LifetimeMs}} {
		if v.value < 0 || v.value > 1e12 || math.IsNaN(v.value) {
			return fmt.Errorf("%s is %v", v.name, v.value)
		}
	}
	for _, v := range []struct{ name, text string }{{"listener", s.Listener}, {"title", s.Tenant}, {"zone", s.Zone},
		{"key", s.Key}, {"group", s.Group}} {
		if bytes.ContainsFunc([]byte(v.text), func(r rune) bool { return r <= ' ' || r > '~' || r == ',' || r == '=' }) {
			return fmt.Errorf("%s %q can't stand in a first line", v.name, v.text)
		}
	}
	if s.Listener == "" || s.Key == "" {
		return fmt.Errorf("without a listener or a key")
	}
	return nil
}

// Write writes a trace; source says where it comes from.
func Write(to io.Writer, source string, sessions []Session) error {
	w := bufio.NewWriter(to)
	e := json.NewEncoder(w)
	if err := e.Encode(header{Version, unit, source}); err != nil {
		return err
	}
	for _, s := range sessions {
		if err := e.Encode(s); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Cut keeps what arrives from one time to before another, counted from the first.
func Cut(sessions []Session, from, to time.Duration) []Session {
	var kept []Session
	for _, s := range sessions {
		if at := s.ArrivesAt(); at >= from && at < to {
			s.AtMs -= float64(from) / float64(time.Millisecond)
			kept = append(kept, s)
		}
	}
	return kept
}

// Scale makes a trace of factor times as many sessions: each occurs as often as the whole part of the factor says, and
// once more with the probability of the rest. Copies have keys of their own, and arrive up to the spread later, so that
// they form no wave that never was.
func Scale(sessions []Session, factor float64, spread time.Duration, rng *rand.Rand) []Session {
	var scaled []Session
	for _, s := range sessions {
		n := int(factor)
		if rng.Float64() < factor-float64(n) {
			n++
		}
		for copied := range n {
			c := s
			if copied > 0 {
				c.Key = rekey(s.Key, copied)
				c.AtMs += rng.Float64() * float64(spread) / float64(time.Millisecond)
			}
			scaled = append(scaled, c)
		}
	}
	sortByArrival(scaled)
	return scaled
}

// rekey is the key of a session's copy, the same for all sessions of its client.
func rekey(key string, n int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", key, n)
	return strconv.FormatUint(h.Sum64(), 16)
}

// Speed makes a trace play so many times as fast; dial timeouts and lifetimes stay.
func Speed(sessions []Session, times float64) []Session {
	faster := slices.Clone(sessions)
	for i := range faster {
		faster[i].AtMs /= times
	}
	return faster
}

// Merge combines traces.
func Merge(traces ...[]Session) []Session {
	all := slices.Concat(traces...)
	sortByArrival(all)
	return all
}

// sortByArrival keeps the order of sessions that arrive together.
func sortByArrival(sessions []Session) {
	slices.SortStableFunc(sessions, func(a, b Session) int {
		switch {
		case a.AtMs < b.AtMs:
			return -1
		case a.AtMs > b.AtMs:
			return 1
		}
		return 0
	})
}

// logLine is what the proxy's log says of a session's client side.
type logLine struct {
	Time     time.Time `json:"time"`
	Side     string    `json:"side"`
	Reason   string    `json:"reason"`
	Ms       float64   `json:"ms"`
	UpMs     float64   `json:"up_ms"`
	ID       string    `json:"id"`
	Listener string    `json:"listener"`
	Title    string    `json:"title"`
	Key      string    `json:"key"`
	Group    string    `json:"group"`
	WaitMs   float64   `json:"wait_ms"`
	Returned bool      `json:"returned"`
}

// session is the arrival that a line of the log records, false for a line of another kind.
func (l *logLine) session() (Session, bool) {
	if l.Side != "client" || l.Listener == "" || l.Key == "" {
		return Session{}, false
	}
	s := Session{Listener: l.Listener, Tenant: l.Title, Key: l.Key, Group: l.Group, DialTimeoutMs: l.WaitMs,
		Answer: l.Reason, Returned: l.Returned}
	if l.UpMs > 0 {
		s.LifetimeMs = max(l.Ms-l.UpMs, 1)
	}
	return s, true
}

// arrived is when the session arrived; the line was written when it ended.
func (l *logLine) arrived() time.Time {
	return l.Time.Add(-time.Duration(l.Ms * float64(time.Millisecond)))
}

// FromLog makes a trace of a proxy's log. Lines of other kinds are skipped and counted; a line that is not JSON is an
// *Error, but for a last one that is cut off. start is when the first session arrived.
func FromLog(name string, from io.Reader) (sessions []Session, start time.Time, skipped int, err error) {
	lines := bufio.NewReader(from)
	var arrivals []time.Time
	for n, isLast := 1, false; !isLast; n++ {
		text, readErr := lines.ReadBytes('\n')
		if readErr != nil && readErr != io.EOF {
			return nil, start, skipped, readErr
		}
		isLast = readErr == io.EOF
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal(text, &l); err != nil {
			if isLast { // the process was killed as it wrote
				skipped++
				break
			}
			return nil, start, skipped, &Error{name, n, err.Error()}
		}
		s, ok := l.session()
		if !ok {
			skipped++
			continue
		}
		if err := s.check(); err != nil {
			return nil, start, skipped, &Error{name, n, err.Error()}
		}
		sessions = append(sessions, s)
		arrivals = append(arrivals, l.arrived())
	}
	if len(arrivals) > 0 {
		start = slices.MinFunc(arrivals, time.Time.Compare)
		for i := range sessions {
			sessions[i].AtMs = float64(arrivals[i].Sub(start)) / float64(time.Millisecond)
		}
		sortByArrival(sessions)
	}
	return sessions, start, skipped, nil
}

// Shift makes all sessions arrive later.
func Shift(sessions []Session, by time.Duration) []Session {
	later := slices.Clone(sessions)
	for i := range later {
		later[i].AtMs += float64(by) / float64(time.Millisecond)
	}
	return later
}
