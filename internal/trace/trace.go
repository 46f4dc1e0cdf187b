// Package trace reads, writes and edits recorded arrivals of sessions, for rehearsals and the trace command. A trace is a
// text of JSON lines: a header, then one session per line in the order of arrival. docs/rehearsal.md has the format. The
// package does not replay traces; package rehearse does.
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

// Version is the version of the format that Write produces. Read refuses later ones.
const Version = 1

// Session is one recorded arrival of a session. Times are in milliseconds.
type Session struct {
	AtMs          float64 `json:"at"`                 // time of arrival since the trace's start
	Listener      string  `json:"listener"`           // name
	Tenant        string  `json:"title,omitempty"`    // name, "" if not known
	Zone          string  `json:"zone,omitempty"`     // of the client, "" if not known
	Key           string  `json:"key"`                // of the client, hexadecimal
	Group         string  `json:"group,omitempty"`    // key of the group, "" for none
	DialTimeoutMs float64 `json:"wait,omitempty"`     // the session's dial timeout; 0 for the listener's
	Load          float64 `json:"load,omitempty"`     // in units of an average session; 0 if not known
	LifetimeMs    float64 `json:"life,omitempty"`     // time from establishment to the end; 0 if not known
	Answer        string  `json:"answer,omitempty"`   // reason with which it ended when it was recorded
	Returned      bool    `json:"returned,omitempty"` // whether its client reconnected after a broken connection or a migration
}

// ArrivesAt returns the time of arrival since the trace's start.
func (s Session) ArrivesAt() time.Duration { return time.Duration(s.AtMs * float64(time.Millisecond)) }

// header is the first line of a trace.
type header struct {
	Trace  int    `json:"chalkferry_trace"` // version of the format
	Unit   string `json:"unit"`
	Source string `json:"source,omitempty"` // where the trace comes from, for people
}

// Error describes an invalid line of a trace or log.
type Error struct {
	Name string // of the file
	Line int    // counted from 1
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.Name, e.Line, e.Text) }

const (
	// unit is the unit of all times in a trace, as the header states it.
	unit         = "ms"
	maxLineBytes = 64 << 10 // longest line that Read accepts
	maxNumber    = 1e12     // largest time in ms, about 32 years, and largest load that is accepted
)

// Read reads a whole trace. name is the file's name for errors. An invalid line is an *Error with its number.
func Read(name string, input io.Reader) ([]Session, error) {
	lines := bufio.NewScanner(input)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	var sessions []Session
	lineNumber := 0
	for lines.Scan() {
		lineNumber++
		line := bytes.TrimSpace(lines.Bytes())
		if lineNumber == 1 {
			if err := checkHeader(line); err != nil {
				return nil, &Error{name, lineNumber, err.Error()}
			}
			continue
		}
		if len(line) == 0 {
			continue
		}
		s, err := parseSession(line)
		if err != nil {
			return nil, &Error{name, lineNumber, err.Error()}
		}
		if len(sessions) > 0 && s.AtMs < sessions[len(sessions)-1].AtMs {
			return nil, &Error{name, lineNumber, fmt.Sprintf("arrives at %v ms, before the line above", s.AtMs)}
		}
		sessions = append(sessions, s)
	}
	if err := lines.Err(); err != nil {
		return nil, &Error{name, lineNumber + 1, err.Error()}
	}
	if lineNumber == 0 {
		return nil, &Error{name, 1, "empty: the header is missing"}
	}
	return sessions, nil
}

// checkHeader returns an error for a header that this build can't read.
func checkHeader(text []byte) error {
	var h header
	err := decodeStrict(text, &h)
	switch {
	case err != nil:
		return fmt.Errorf("not a header of a trace: %v", err)
	case h.Trace < 1 || h.Trace > Version:
		return fmt.Errorf("format version %d; this build reads up to %d", h.Trace, Version)
	case h.Unit != unit:
		return fmt.Errorf("unit is %q instead of %s", h.Unit, unit)
	}
	return nil
}

// parseSession decodes and validates a line after the header.
func parseSession(text []byte) (Session, error) {
	var s Session
	if err := decodeStrict(text, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

// decodeStrict decodes exactly one JSON value and refuses unknown keys.
func decodeStrict(text []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("more than one value on the line")
	}
	return nil
}

// check returns an error for a value that can't occur in the first line that a client sends to open a session: numbers out of
// range, or texts with spaces, commas, equals signs or non-ASCII characters.
func (s Session) check() error {
	for _, v := range []struct {
		name  string
		value float64
	}{{"at", s.AtMs}, {"wait", s.DialTimeoutMs}, {"load", s.Load}, {"life", s.LifetimeMs}} {
		if v.value < 0 || v.value > maxNumber || math.IsNaN(v.value) {
			return fmt.Errorf("%s is %v", v.name, v.value)
		}
	}
	for _, v := range []struct{ name, text string }{{"listener", s.Listener}, {"title", s.Tenant}, {"zone", s.Zone},
		{"key", s.Key}, {"group", s.Group}} {
		if bytes.ContainsFunc([]byte(v.text), func(r rune) bool { return r <= ' ' || r > '~' || r == ',' || r == '=' }) {
			return fmt.Errorf("%s %q has a character that a first line can't contain", v.name, v.text)
		}
	}
	if s.Listener == "" || s.Key == "" {
		return fmt.Errorf("no listener or no key")
	}
	return nil
}

// Write writes a trace; source says where it comes from, for people who read the file.
func Write(output io.Writer, source string, sessions []Session) error {
	w := bufio.NewWriter(output)
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

// Cut returns the sessions that arrive from one time to before another, with arrivals counted from the first of the two
// times.
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

// Scale returns a trace with factor times as many sessions: each session occurs as often as the integer part of factor, and
// once more with the probability of the fraction. Copies have keys of their own and arrive up to spread later, so that they
// don't form bursts that were not in the recording.
func Scale(sessions []Session, factor float64, spread time.Duration, rng *rand.Rand) []Session {
	var scaled []Session
	for _, s := range sessions {
		copies := int(factor)
		if rng.Float64() < factor-float64(copies) {
			copies++
		}
		for copyNumber := range copies {
			copied := s
			if copyNumber > 0 {
				copied.Key = rekey(s.Key, copyNumber)
				copied.AtMs += rng.Float64() * float64(spread) / float64(time.Millisecond)
			}
			scaled = append(scaled, copied)
		}
	}
	sortByArrival(scaled)
	return scaled
}

// rekey returns the key of the nth copy of a session: the same for all sessions of one client.
func rekey(key string, copyNumber int) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d", key, copyNumber)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// Speed returns a trace whose sessions arrive so many times as fast. Dial timeouts and lifetimes are unchanged.
func Speed(sessions []Session, factor float64) []Session {
	faster := slices.Clone(sessions)
	for i := range faster {
		faster[i].AtMs /= factor
	}
	return faster
}

// Merge combines traces into one, ordered by arrival.
func Merge(traces ...[]Session) []Session {
	all := slices.Concat(traces...)
	sortByArrival(all)
	return all
}

// sortByArrival sorts sessions by arrival and keeps the order of those that arrive at the same time.
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

// logLine holds the fields that are read from a line of the proxy's log. Such a line is written when a session ends.
type logLine struct {
	Time     time.Time `json:"time"`
	Side     string    `json:"side"`
	Reason   string    `json:"reason"`
	Ms       float64   `json:"ms"`    // from the arrival to the line's time
	UpMs     float64   `json:"up_ms"` // from the arrival to the establishment, 0 if it was not established
	ID       string    `json:"id"`
	Listener string    `json:"listener"`
	Title    string    `json:"title"`
	Key      string    `json:"key"`
	Group    string    `json:"group"`
	WaitMs   float64   `json:"wait_ms"` // dial timeout
	Returned bool      `json:"returned"`
}

// session returns the arrival that a line records, false for a line that is not of a session's client side.
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

// arrivedAt returns when the session arrived; the line was written when it ended.
func (l *logLine) arrivedAt() time.Time {
	return l.Time.Add(-time.Duration(l.Ms * float64(time.Millisecond)))
}

// FromLog makes a trace from a proxy's log. Lines of other kinds are skipped and counted. A line that is not JSON is an
// *Error, except for a last one that is cut off. start is when the first session arrived.
func FromLog(name string, input io.Reader) (sessions []Session, start time.Time, skipped int, err error) {
	lines := bufio.NewReader(input)
	var arrivals []time.Time
	for lineNumber, isLast := 1, false; !isLast; lineNumber++ {
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
			if isLast { // the process was killed while it wrote the line
				skipped++
				break
			}
			return nil, start, skipped, &Error{name, lineNumber, err.Error()}
		}
		s, ok := l.session()
		if !ok {
			skipped++
			continue
		}
		if err := s.check(); err != nil {
			return nil, start, skipped, &Error{name, lineNumber, err.Error()}
		}
		sessions = append(sessions, s)
		arrivals = append(arrivals, l.arrivedAt())
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

// Shift returns the sessions with all arrivals delayed.
func Shift(sessions []Session, by time.Duration) []Session {
	later := slices.Clone(sessions)
	for i := range later {
		later[i].AtMs += float64(by) / float64(time.Millisecond)
	}
	return later
}
