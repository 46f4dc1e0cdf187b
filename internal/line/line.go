// Package line reads and writes the lines of text that clients, proxies and servers exchange. What it returns
// are slices of the buffer that it was given.
package line

import (
	"bytes"
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
	"unicode"
	"unicode/utf8"
)

// Most bytes of a line, its end included.
const MaxLength = 4096

var (
	ErrLong      = errors.New("line is too long")
	ErrEnd       = errors.New("line does not end in CRLF")
	ErrMalformed = errors.New("malformed line")
)

// Next cuts the first line off a buffer: its text, and how many bytes it takes with its end. It takes none
// while the line is not whole.
func Next(buf []byte) (text []byte, size int, err error) {
	end := bytes.IndexByte(buf, '\n')
	switch {
	case end < 0 && len(buf) >= MaxLength || end >= MaxLength:
		return nil, 0, ErrLong
	case end < 0:
		return nil, 0, nil
	case end == 0 || buf[end-1] != '\r':
		return nil, 0, ErrEnd
	}
	return buf[:end-1], end + 1, nil
}

// Verb is the first word of a line.
func Verb(text []byte) []byte {
	if i := bytes.IndexByte(text, ' '); i >= 0 {
		return text[:i]
	}
	return text
}

// Rest is what follows the first word.
func Rest(text []byte) []byte {
	if i := bytes.IndexByte(text, ' '); i >= 0 {
		return text[i+1:]
	}
	return nil
}

// Open is the line that a session begins with.
type Open struct {
	ID, Key, Listener, Tenant, Group, At []byte
	Left                                 time.Duration
	Load                                 float64 // as told, 0 without
	Returned, MidFlow                    bool
	leftAt, leftEnd                      int
}

// mostPairs of an OPEN line.
const maxPairs = 32

// ParseOpen reads the text of an OPEN line. Names that it does not know are passed over; none may come twice, as
// the server might read the other one.
func ParseOpen(text []byte) (Open, error) {
	var o Open
	words := bytes.Split(text, []byte(" "))
	if len(words) != 4 || string(words[0]) != "OPEN" || len(words[1]) == 0 || len(words[2]) == 0 {
		return o, ErrMalformed
	}
	if !isPlainASCII(text[:len(text)-len(words[3])]) {
		return o, ErrMalformed
	}
	o.ID, o.Key = words[1], words[2]
	at := len(text) - len(words[3])
	var names [maxPairs][]byte
	for i, pair := range bytes.Split(words[3], []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || i == maxPairs || slices.ContainsFunc(names[:i], func(n []byte) bool { return bytes.Equal(n, name) }) {
			return o, ErrMalformed
		}
		names[i] = name
		switch string(name) {
		case "c", "t", "at": // named in settings and lists, in any script
			if !isPrintable(value) {
				return o, ErrMalformed
			}
		default:
			if !isPlainASCII(pair) {
				return o, ErrMalformed
			}
		}
		switch string(name) {
		case "c":
			o.Listener = value
		case "t":
			o.Tenant = value
		case "g":
			o.Group = value
		case "at":
			o.At = value
		case "again":
			o.Returned = string(value) == "1"
		case "mid":
			o.MidFlow = string(value) == "1"
		case "h":
			load, ok := parseDecimal(value)
			if !ok {
				return o, ErrMalformed
			}
			o.Load = load
		case "d":
			ms, ok := parseDecimal(value)
			if !ok || !(ms > 0 && ms < 1e9) {
				return o, ErrMalformed
			}
			o.Left = time.Duration(ms * float64(time.Millisecond))
			o.leftAt, o.leftEnd = at+len("d="), at+len(pair)
		}
		at += len(pair) + 1
	}
	if o.leftEnd == 0 || o.Listener == nil {
		return o, ErrMalformed
	}
	return o, nil
}

// plain tells whether a text has nothing but what can be seen of ASCII.
func isPlainASCII(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' })
}

// printable tells whether it has nothing but what can be seen of any script.
func isPrintable(text []byte) bool {
	return utf8.Valid(text) && !bytes.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

// decimal reads digits with at most one point among them. The library's parser also takes signs, exponents,
// hexadecimal, underscores, Inf and NaN, which no client writes in good faith and a server may read otherwise.
func parseDecimal(text []byte) (float64, bool) {
	if bytes.ContainsFunc(text, func(r rune) bool { return r != '.' && (r < '0' || r > '9') }) {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil
}

// AppendOpen writes the OPEN line as a server is to see it: unchanged but for the time left.
func (o *Open) AppendOpen(to, text []byte, left time.Duration) []byte {
	to = append(to, text[:o.leftAt]...)
	to = strconv.AppendInt(to, max(int64(left/time.Millisecond), 1), 10)
	to = append(to, text[o.leftEnd:]...)
	return append(to, '\r', '\n')
}

// Key turns a key into a number that is the same at every proxy; only an absent one is 0.
func Key(text []byte) uint64 {
	if len(text) == 0 {
		return 0
	}
	if len(text) <= 16 {
		if key, err := strconv.ParseUint(string(text), 16, 64); err == nil && key != 0 {
			return key
		}
	}
	h := fnv.New64a()
	h.Write(text)
	return max(h.Sum64(), 1)
}

// Level reads the number of a LOAD line.
func Level(text []byte) (float64, bool) {
	return parseDecimal(Rest(text))
}

// Busy writes a refusal, with the time after which to come back if there is one.
func Busy(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("BUSY "), max(int64(retryAfter/time.Millisecond), 1), 10), '\r', '\n')
}
