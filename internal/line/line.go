// Package line parses and formats the lines of text that clients, proxies and servers exchange. It does no I/O and keeps
// no state. What it returns are slices of the buffer that it was given.
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

// MaxLength is the size of the longest line in bytes, its end included.
const MaxLength = 4096

// What may be wrong with a line.
var (
	ErrLong      = errors.New("line is too long")
	ErrEnd       = errors.New("line does not end in CRLF")
	ErrMalformed = errors.New("malformed line")
)

// Next returns the first line of a buffer: its text, and its size with its end. The size is 0 while the line is not whole.
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

// Verb is the first field of a line.
func Verb(text []byte) []byte {
	if i := bytes.IndexByte(text, ' '); i >= 0 {
		return text[:i]
	}
	return text
}

// Rest is what follows the verb.
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
	Load                                 float64 // as the client gave it, 0 without
	Returned, MidFlow                    bool
	leftStart, leftEnd                   int
}

const (
	// maxPairs is the largest number of pairs in an OPEN line.
	maxPairs = 32
	// maxLeftMs bounds the time that a client may wait, in milliseconds.
	maxLeftMs = 1e9
)

// ParseOpen reads the text of an OPEN line. Unknown names are ignored; none may occur twice, as the server might read the
// other one.
func ParseOpen(text []byte) (Open, error) {
	var o Open
	fields := bytes.Split(text, []byte(" "))
	if len(fields) != 4 || string(fields[0]) != "OPEN" || len(fields[1]) == 0 || len(fields[2]) == 0 {
		return o, ErrMalformed
	}
	offset := len(text) - len(fields[3])
	if !isPlainASCII(text[:offset]) {
		return o, ErrMalformed
	}
	o.ID, o.Key = fields[1], fields[2]
	var names [maxPairs][]byte
	for i, pair := range bytes.Split(fields[3], []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || i == maxPairs || slices.ContainsFunc(names[:i], func(n []byte) bool { return bytes.Equal(n, name) }) {
			return o, ErrMalformed
		}
		names[i] = name
		if !o.set(name, value, offset) {
			return o, ErrMalformed
		}
		offset += len(pair) + 1
	}
	if o.leftEnd == 0 || o.Listener == nil {
		return o, ErrMalformed
	}
	return o, nil
}

// set takes one pair, which begins at an offset of the line. It reports whether the pair is well formed.
func (o *Open) set(name, value []byte, offset int) bool {
	switch string(name) {
	case "c", "t", "at": // named in settings and lists, in any script
		if !isPrintable(value) {
			return false
		}
	default:
		if !isPlainASCII(name) || !isPlainASCII(value) {
			return false
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
		o.Load = load
		return ok
	case "d":
		ms, ok := parseDecimal(value)
		if !ok || !(ms > 0 && ms < maxLeftMs) {
			return false
		}
		o.Left = time.Duration(ms * float64(time.Millisecond))
		o.leftStart = offset + len("d=")
		o.leftEnd = o.leftStart + len(value)
	}
	return true
}

// isPlainASCII reports whether a text consists of printable ASCII.
func isPlainASCII(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' })
}

// isPrintable reports whether a text consists of printable characters of any script.
func isPrintable(text []byte) bool {
	return utf8.Valid(text) && !bytes.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

// parseDecimal reads digits with at most one point among them. The library's parser also takes signs, exponents,
// hexadecimal, underscores, Inf and NaN, which no client writes in good faith and a server may read otherwise.
func parseDecimal(text []byte) (float64, bool) {
	if bytes.ContainsFunc(text, func(r rune) bool { return r != '.' && (r < '0' || r > '9') }) {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil
}

// AppendOpen appends the OPEN line as a server is to see it: unchanged but for the time left.
func (o *Open) AppendOpen(dst, text []byte, left time.Duration) []byte {
	dst = append(dst, text[:o.leftStart]...)
	dst = strconv.AppendInt(dst, max(int64(left/time.Millisecond), 1), 10)
	dst = append(dst, text[o.leftEnd:]...)
	return append(dst, '\r', '\n')
}

// Key maps a key to a number that is the same at every proxy; only that of an absent key is 0.
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

// Busy formats a refusal, with the time after which to retry if there is one.
func Busy(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("BUSY "), max(int64(retryAfter/time.Millisecond), 1), 10), '\r', '\n')
}
