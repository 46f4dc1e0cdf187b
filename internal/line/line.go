// Package line parses and formats the lines of the text protocol that clients, proxies and servers speak. It does no I/O
// and keeps no state. Parsed texts are slices of the buffer that they were parsed from and are valid as long as it is.
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

// MaxLength is the maximum size of a line in bytes, including its CRLF.
const MaxLength = 4096

// Errors of the parsers.
var (
	ErrTooLong     = errors.New("line is too long")
	ErrMissingCRLF = errors.New("line does not end in CRLF")
	ErrMalformed   = errors.New("malformed line")
)

// Next returns the text of the first line in a buffer, without its CRLF, and the line's size in bytes with the CRLF. The
// size is 0 while the line is incomplete. It fails with ErrTooLong or ErrMissingCRLF.
func Next(buf []byte) (text []byte, size int, err error) {
	end := bytes.IndexByte(buf, '\n')
	switch {
	case end < 0 && len(buf) >= MaxLength || end >= MaxLength:
		return nil, 0, ErrTooLong
	case end < 0:
		return nil, 0, nil
	case end == 0 || buf[end-1] != '\r':
		return nil, 0, ErrMissingCRLF
	}
	return buf[:end-1], end + 1, nil
}

// Verb returns the first field of a line's text.
func Verb(text []byte) []byte {
	if i := bytes.IndexByte(text, ' '); i >= 0 {
		return text[:i]
	}
	return text
}

// Arguments returns the text after the verb and its space, nil if there is none.
func Arguments(text []byte) []byte {
	if i := bytes.IndexByte(text, ' '); i >= 0 {
		return text[i+1:]
	}
	return nil
}

// Open is a parsed OPEN line, the first line of a session: "OPEN ID KEY name=value,name=value...". Of the named values, c
// and d are required; byte slices of absent ones are nil.
type Open struct {
	// ID names the session, Key the client; c names the listener, t the tenant, g the group key and at the server that
	// holds the session already.
	ID, Key, Listener, Tenant, Group, Holder []byte
	// Remaining (d) is how long the client still waits for an answer.
	Remaining time.Duration
	// Load (h) is the expected load in thousandths of a core (milliseconds of work per second), 0 if absent.
	Load float64
	// Returned (again=1) says that the client had a session before, MidFlow (mid=1) that the session is open already and
	// its packets come through another proxy than before.
	Returned, MidFlow            bool
	remainingStart, remainingEnd int // byte offsets of the value of d in the line's text
}

const (
	// openFields is the number of fields of an OPEN line, which are separated by spaces.
	openFields = 4
	// maxPairs is the maximum number of name=value pairs in an OPEN line.
	maxPairs = 32
	// maxRemainingMs is the exclusive upper bound of the time that a client may wait, in milliseconds.
	maxRemainingMs = 1e9
)

// ParseOpen parses the text of an OPEN line. It ignores unknown names. No name may occur twice, as the server might read
// the other value. All its errors are ErrMalformed.
func ParseOpen(text []byte) (Open, error) {
	var open Open
	fields := bytes.SplitN(text, []byte(" "), openFields+1)
	if len(fields) != openFields || string(fields[0]) != "OPEN" || len(fields[1]) == 0 || len(fields[2]) == 0 {
		return open, ErrMalformed
	}
	offset := len(text) - len(fields[3])
	if !isPlainASCII(text[:offset]) {
		return open, ErrMalformed
	}
	open.ID, open.Key = fields[1], fields[2]
	var names [maxPairs][]byte
	i := 0
	for pair := range bytes.SplitSeq(fields[3], []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || i == maxPairs || slices.ContainsFunc(names[:i], func(n []byte) bool { return bytes.Equal(n, name) }) {
			return open, ErrMalformed
		}
		names[i] = name
		if !open.set(name, value, offset) {
			return open, ErrMalformed
		}
		offset += len(pair) + 1
		i++
	}
	if open.remainingEnd == 0 || open.Listener == nil {
		return open, ErrMalformed
	}
	return open, nil
}

// set stores the value of one pair, which starts at a byte offset of the line's text. It reports whether the pair is well
// formed.
func (o *Open) set(name, value []byte, offset int) bool {
	switch string(name) {
	case "c", "t", "at": // names from settings and server lists, in any script
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
		o.Holder = value
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
		if !ok || !(ms > 0 && ms < maxRemainingMs) {
			return false
		}
		o.Remaining = time.Duration(ms * float64(time.Millisecond))
		o.remainingStart = offset + len("d=")
		o.remainingEnd = o.remainingStart + len(value)
	}
	return true
}

// isPlainASCII reports whether a text consists of printable ASCII characters.
func isPlainASCII(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' })
}

// isPrintable reports whether a text consists of printable characters of any script.
func isPrintable(text []byte) bool {
	return utf8.Valid(text) && !bytes.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

// parseDecimal parses digits with at most one decimal point. The library's parser also accepts signs, exponents,
// hexadecimal, underscores, Inf and NaN, which no well-behaved client sends and which a server may read differently.
func parseDecimal(text []byte) (float64, bool) {
	if bytes.ContainsFunc(text, func(r rune) bool { return r != '.' && (r < '0' || r > '9') }) {
		return 0, false
	}
	value, err := strconv.ParseFloat(string(text), 64)
	return value, err == nil
}

// AppendOpen appends to dst the OPEN line that is sent to a server: the text that o was parsed from, with d replaced by
// the remaining time in whole milliseconds, at least 1.
func (o *Open) AppendOpen(dst, text []byte, remaining time.Duration) []byte {
	dst = append(dst, text[:o.remainingStart]...)
	dst = strconv.AppendInt(dst, max(int64(remaining/time.Millisecond), 1), 10)
	dst = append(dst, text[o.remainingEnd:]...)
	return append(dst, '\r', '\n')
}

// maxHexDigits is the number of hexadecimal digits in 64 bits.
const maxHexDigits = 16

// NumericKey maps the text of a key to a number that is the same at every proxy: the value of up to 16 hexadecimal digits
// if that isn't 0, else the FNV-1a hash. It is 0 for an absent key and for no other.
func NumericKey(text []byte) uint64 {
	if len(text) == 0 {
		return 0
	}
	if len(text) <= maxHexDigits {
		if key, err := strconv.ParseUint(string(text), 16, 64); err == nil && key != 0 {
			return key
		}
	}
	hash := fnv.New64a()
	hash.Write(text)
	return max(hash.Sum64(), 1)
}

// ParseLoad parses the number of a LOAD line and reports whether it is well formed. The number may be a load in microseconds
// of work per second or a message delay in milliseconds; the caller has to distinguish them.
func ParseLoad(text []byte) (float64, bool) {
	return parseDecimal(Arguments(text))
}

// FormatBusy formats the line that refuses a session, with the time in whole milliseconds after which the client should
// retry, at least 1. Without such a time (retryAfter <= 0) the line is the verb alone.
func FormatBusy(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("BUSY "), max(int64(retryAfter/time.Millisecond), 1), 10), '\r', '\n')
}
