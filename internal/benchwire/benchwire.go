// Package benchwire reads and writes the binary frames of the simulator's wire, for cmd/benchlink. It checks that frames
// are well formed; what an event means is the decision module's. Delay reports have the same form between real proxies.
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

// InstanceID identifies a proxy on the wire.
type InstanceID uint16

// Codes of the records that are received.
const (
	CodeProbed   = 0
	CodeNote     = 1
	CodeArrival  = 2
	CodeTick     = 3
	CodePeer     = 4
	CodeStart    = 5
	CodeOpenHeld = 6
	CodeStop     = 7
	CodeSettled  = 8
	CodeOpened   = 9
	CodeList     = 10
	CodeLeft     = 11
)

// Codes of the records that are sent.
const (
	codeTimer    = 3
	codeWatch    = 4
	codeLog      = 5
	codeRefuse   = 7
	codePublish  = 9
	codeTearDown = 10
	codeMove     = 11
	codeDial     = 12
)

const (
	batchHeader   = 20
	replyHeader   = 12
	recordHeader  = 5
	entrySize     = 23
	maxLoadValues = 4 // of a load report
)

var errTruncated = errors.New("record ends early")

// Batch is one frame of events.
type Batch struct {
	Clock   time.Duration
	Records int
	Number  uint32
	body    []byte
}

// Reader reads batches from a stream.
type Reader struct {
	from io.Reader
	body bytes.Buffer
}

// NewReader reads from a stream.
func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// Next reads the next batch. It returns io.EOF only between batches. The batch is valid until the next call.
func (r *Reader) Next() (Batch, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r.from, head[:]); err != nil {
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
	if _, err := io.CopyN(&r.body, r.from, size); err != nil {
		return Batch{}, fmt.Errorf("batch body: %w", io.ErrUnexpectedEOF)
	}
	return Batch{
		Clock:   clock,
		Records: int(binary.LittleEndian.Uint32(head[12:])),
		Number:  binary.LittleEndian.Uint32(head[16:]),
		body:    r.body.Bytes(),
	}, nil
}

// Record takes the next record off the batch: its code, and its fields.
func (b *Batch) Record() (code byte, fields Fields, err error) {
	if len(b.body) < recordHeader {
		return 0, Fields{}, errTruncated
	}
	code = b.body[0]
	size := uint64(binary.LittleEndian.Uint32(b.body[1:]))
	rest := b.body[recordHeader:]
	if size > uint64(len(rest)) {
		return 0, Fields{}, errTruncated
	}
	b.body = rest[size:]
	return code, Fields{rest: rest[:size]}, nil
}

// End reports bytes that no record claims.
func (b *Batch) End() error {
	if len(b.body) != 0 {
		return fmt.Errorf("%d bytes behind the last record", len(b.body))
	}
	return nil
}

// Fields reads the fields of a record one after another. The first error sticks; values read after it are 0.
type Fields struct {
	rest []byte
	err  error
}

func (f *Fields) next(n int) []byte {
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

// End returns the first error, or one about fields that were not read.
func (f *Fields) End() error {
	if f.err == nil && len(f.rest) != 0 {
		f.err = fmt.Errorf("%d bytes too many in a record", len(f.rest))
	}
	return f.err
}

// U8 reads an unsigned integer of 8 bits.
func (f *Fields) U8() uint8 {
	if b := f.next(1); b != nil {
		return b[0]
	}
	return 0
}

// U16 reads an unsigned integer of 16 bits.
func (f *Fields) U16() uint16 {
	if b := f.next(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

// U32 reads an unsigned integer of 32 bits.
func (f *Fields) U32() uint32 {
	if b := f.next(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

// U64 reads an unsigned integer of 64 bits.
func (f *Fields) U64() uint64 {
	if b := f.next(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (f *Fields) finite(v float64) float64 {
	if f.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		f.err = errors.New("number is not finite")
	}
	return v
}

// F32 reads a finite number of 32 bits.
func (f *Fields) F32() float64 { return f.finite(float64(math.Float32frombits(f.U32()))) }

// F64 reads a finite number of 64 bits.
func (f *Fields) F64() float64 { return f.finite(math.Float64frombits(f.U64())) }

// Duration reads a time in milliseconds.
func (f *Fields) Duration() time.Duration {
	d, err := fromMillis(f.F64())
	if f.err == nil {
		f.err = err
	}
	return d
}

// Bytes reads bytes behind their count, of 2 or 4 bytes. They are valid until the next batch.
func (f *Fields) Bytes(countWidth int) []byte {
	n := 0
	if countWidth == 2 {
		n = int(f.U16())
	} else {
		n = int(f.U32())
	}
	return f.next(n)
}

// SkipLoadReport skips a load report, which nothing reads.
func (f *Fields) SkipLoadReport() {
	n := f.U8()
	if f.err == nil && n > maxLoadValues {
		f.err = fmt.Errorf("load report of %d values", n)
	}
	for ; n > 0 && f.err == nil; n-- {
		f.F32()
	}
}

// Outcome reads an outcome code.
func (f *Fields) Outcome() choice.Outcome {
	o := choice.Outcome(f.U16())
	if f.err == nil && (o < choice.Accepted || o > choice.NotSent) {
		f.err = fmt.Errorf("unknown outcome %d", o)
	}
	return o
}

// List reads the kind and the entries of a list of servers; since turns a clock time into a span.
func (f *Fields) List(into []choice.Entry, start time.Duration) (choice.ListKind, []choice.Entry) {
	kind := choice.ListKind(f.U8())
	f.U64()
	n := uint64(f.U32())
	if f.err == nil && kind > choice.ListFailed {
		f.err = fmt.Errorf("unknown kind of list %d", kind)
	}
	if f.err == nil && n*entrySize != uint64(len(f.rest)) {
		f.err = fmt.Errorf("%d entries in %d bytes", n, len(f.rest))
	}
	for i := uint64(0); i < n && f.err == nil; i++ {
		e := choice.Entry{Size: f.F32(), Cell: choice.CellID(f.U16()), Zone: choice.ZoneID(f.U16()),
			ID: choice.ServerID(f.U32()), Status: choice.ServerStatus(f.U8()),
			Model: choice.ModelID(f.U16())}
		since := f.Duration()
		e.StartKnown, e.StartedAt = since != 0, since-start
		if f.err == nil && e.Status > choice.Draining {
			f.err = fmt.Errorf("unknown standing %d", e.Status)
		}
		into = append(into, e)
	}
	return kind, into
}

func fromMillis(ms float64) (time.Duration, error) {
	if !(math.Abs(ms) < 1e12) {
		return 0, fmt.Errorf("time %v is out of range", ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}
