// Package benchwire reads and writes the binary frames that cmd/benchlink exchanges with the simulator: batches of events
// in, replies with actions out. All numbers are little-endian; times are milliseconds, as float64 outside delay reports. The
// package checks that frames are well formed; it does not interpret events, which package choice does. Real proxies
// exchange delay reports in the same form.
package benchwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"chalkferry/choice"
)

// InstanceID identifies one simulated proxy on the wire.
type InstanceID uint16

// Codes of the event records received from the simulator.
const (
	CodeProbeResult   = 0
	CodeMeasurement   = 1
	CodeArrival       = 2
	CodeTimerFired    = 3
	CodePeerMessage   = 4
	CodeStartInstance = 5
	CodeAdoptSession  = 6
	CodeStopInstance  = 7
	CodeDialEnd       = 8
	CodeSessionOpened = 9
	CodeList          = 10
	CodeClientGone    = 11
)

// Codes of the action records sent to the simulator.
const (
	codeStartTimer      = 3
	codeSubscribeList   = 4
	codeLog             = 5
	codeRefuse          = 7
	codePublishOverload = 9
	codeAbort           = 10
	codeMove            = 11
	codeDial            = 12
)

// Sizes in bytes, unless a comment says otherwise.
const (
	batchHeaderSize  = 20
	replyHeaderSize  = 12
	recordHeaderSize = 5
	entrySize        = 23 // of one server in a list
	maxLoadValues    = 4  // values in a load report
)

var errTruncated = errors.New("record ends early")

// Batch is one frame of event records, which all happen at the same time.
type Batch struct {
	Clock       time.Duration // simulated time of the events, on the simulator's clock
	RecordCount int           // records that the header announces
	Number      uint32        // sequence number, repeated in the reply
	body        []byte        // records not read yet
}

// Reader reads batches from a stream.
type Reader struct {
	stream io.Reader
	body   bytes.Buffer
}

// NewReader returns a Reader of the batches in stream.
func NewReader(stream io.Reader) *Reader { return &Reader{stream: stream} }

// Next reads the next batch. It returns io.EOF if the stream ends between two batches, and another error if it ends within
// one. The batch is valid until the next call.
func (r *Reader) Next() (Batch, error) {
	var head [batchHeaderSize]byte
	if _, err := io.ReadFull(r.stream, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, err
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	clock, err := fromMillis(math.Float64frombits(binary.LittleEndian.Uint64(head[:])))
	if err != nil {
		return Batch{}, fmt.Errorf("batch clock: %w", err)
	}
	size := int64(binary.LittleEndian.Uint32(head[8:]))
	r.body.Reset()
	if _, err := io.CopyN(&r.body, r.stream, size); err != nil {
		return Batch{}, fmt.Errorf("batch body: %w", io.ErrUnexpectedEOF)
	}
	return Batch{
		Clock:       clock,
		RecordCount: int(binary.LittleEndian.Uint32(head[12:])),
		Number:      binary.LittleEndian.Uint32(head[16:]),
		body:        r.body.Bytes(),
	}, nil
}

// NextRecord removes the next record from the batch and returns its code and its fields.
func (b *Batch) NextRecord() (code byte, fields Fields, err error) {
	if len(b.body) < recordHeaderSize {
		return 0, Fields{}, errTruncated
	}
	code = b.body[0]
	size := uint64(binary.LittleEndian.Uint32(b.body[1:]))
	rest := b.body[recordHeaderSize:]
	if size > uint64(len(rest)) {
		return 0, Fields{}, errTruncated
	}
	b.body = rest[size:]
	return code, Fields{rest: rest[:size]}, nil
}

// CheckEnd returns an error if bytes follow the last record that was read.
func (b *Batch) CheckEnd() error {
	if len(b.body) != 0 {
		return fmt.Errorf("%d bytes after the last record", len(b.body))
	}
	return nil
}

// Fields reads the fields of a record one after another. The first error is kept, and values read after it are 0; call
// CheckEnd before using any value.
type Fields struct {
	rest []byte // bytes not read yet
	err  error  // first error
}

// take returns the next n bytes, or nil if there was an error or fewer than n are left.
func (f *Fields) take(n int) []byte {
	if f.err == nil && n > len(f.rest) {
		f.err = errTruncated
	}
	if f.err != nil {
		return nil
	}
	b := f.rest[:n]
	f.rest = f.rest[n:]
	return b
}

// CheckEnd returns the first error, or an error if bytes of the record were not read.
func (f *Fields) CheckEnd() error {
	if f.err == nil && len(f.rest) != 0 {
		f.err = fmt.Errorf("%d bytes too many in a record", len(f.rest))
	}
	return f.err
}

// U8 reads an 8-bit unsigned integer.
func (f *Fields) U8() uint8 {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

// U16 reads a 16-bit unsigned integer.
func (f *Fields) U16() uint16 {
	if b := f.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

// U32 reads a 32-bit unsigned integer.
func (f *Fields) U32() uint32 {
	if b := f.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

// U64 reads a 64-bit unsigned integer.
func (f *Fields) U64() uint64 {
	if b := f.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

// requireFinite records an error if v is NaN or infinite.
func (f *Fields) requireFinite(v float64) float64 {
	if f.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		f.err = errors.New("number is not finite")
	}
	return v
}

// F32 reads a 32-bit floating-point number, which must be finite.
func (f *Fields) F32() float64 { return f.requireFinite(float64(math.Float32frombits(f.U32()))) }

// F64 reads a 64-bit floating-point number, which must be finite.
func (f *Fields) F64() float64 { return f.requireFinite(math.Float64frombits(f.U64())) }

// Duration reads a time in milliseconds, as a 64-bit floating-point number.
func (f *Fields) Duration() time.Duration {
	d, err := fromMillis(f.F64())
	if f.err == nil {
		f.err = err
	}
	return d
}

// Bytes reads a byte count, which takes countWidth (2 or 4) bytes itself, and then as many bytes. The result is valid until
// the next batch.
func (f *Fields) Bytes(countWidth int) []byte {
	n := 0
	if countWidth == 2 {
		n = int(f.U16())
	} else {
		n = int(f.U32())
	}
	return f.take(n)
}

// SkipLoadReport skips a load report, which is part of some records but not used.
func (f *Fields) SkipLoadReport() {
	n := f.U8()
	if f.err == nil && n > maxLoadValues {
		f.err = fmt.Errorf("load report of %d values", n)
	}
	for ; n > 0 && f.err == nil; n-- {
		f.F32()
	}
}

// Outcome reads the code of how a dial ended. An unknown code is an error.
func (f *Fields) Outcome() choice.Outcome {
	o := choice.Outcome(f.U16())
	if f.err == nil && (o < choice.Accepted || o > choice.NotSent) {
		f.err = fmt.Errorf("unknown outcome %d", o)
	}
	return o
}

// List reads the kind and the entries of a list of servers, and appends the entries to dst. On the wire the start of a server
// is a time on the simulator's clock, 0 if unknown; instanceStart, the time on that clock when the instance started, is
// subtracted from it.
func (f *Fields) List(dst []choice.Entry, instanceStart time.Duration) (choice.ListKind, []choice.Entry) {
	kind := choice.ListKind(f.U8())
	f.U64()
	n := uint64(f.U32())
	if f.err == nil && kind > choice.ListFailed {
		f.err = fmt.Errorf("unknown list kind %d", kind)
	}
	if f.err == nil && n*entrySize != uint64(len(f.rest)) {
		f.err = fmt.Errorf("%d entries in %d bytes", n, len(f.rest))
	}
	for i := uint64(0); i < n && f.err == nil; i++ {
		e := choice.Entry{Size: f.F32(), Cell: choice.CellID(f.U16()), Zone: choice.ZoneID(f.U16()),
			ID: choice.ServerID(f.U32()), Status: choice.ServerStatus(f.U8()),
			Model: choice.ModelID(f.U16())}
		startClock := f.Duration()
		e.StartKnown, e.StartedAt = startClock != 0, startClock-instanceStart
		if f.err == nil && e.Status > choice.Draining {
			f.err = fmt.Errorf("unknown server status %d", e.Status)
		}
		dst = append(dst, e)
	}
	return kind, dst
}

// fromMillis converts milliseconds to a Duration, rounded to microseconds. NaN and magnitudes of 1e12 ms (about 32 years)
// or more are errors; a Duration overflows at about nine times that.
func fromMillis(ms float64) (time.Duration, error) {
	if !(math.Abs(ms) < 1e12) {
		return 0, fmt.Errorf("time %v is out of range", ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}
