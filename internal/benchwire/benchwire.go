// Package benchwire reads and writes the frames of the bench's wire.
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

// InstanceID numbers a proxy on the wire.
type InstanceID uint16

// Codes of what is received.
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

// Codes of what is sent.
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

var errShort = errors.New("record ends early")

// Batch is one frame received.
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

func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// Next reads the next batch. It returns io.EOF only between batches. The batch is good until the next call.
func (r *Reader) Next() (Batch, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r.from, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, err
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	clock, err := millis(math.Float64frombits(binary.LittleEndian.Uint64(head[:])))
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

// Record takes the next record off the batch.
func (b *Batch) Record() (code byte, fields Fields, err error) {
	if len(b.body) < recordHeader {
		return 0, Fields{}, errShort
	}
	code = b.body[0]
	size := uint64(binary.LittleEndian.Uint32(b.body[1:]))
	rest := b.body[recordHeader:]
	if size > uint64(len(rest)) {
		return 0, Fields{}, errShort
	}
	b.body = rest[size:]
	return code, Fields{left: rest[:size]}, nil
}

// End reports bytes that no record claims.
func (b *Batch) End() error {
	if len(b.body) != 0 {
		return fmt.Errorf("%d bytes behind the last record", len(b.body))
	}
	return nil
}

// Fields reads the fields of a record one after another; the first fault sticks.
type Fields struct {
	left []byte
	err  error
}

func (f *Fields) take(n int) []byte {
	if f.err == nil && n > len(f.left) {
		f.err = errShort
	}
	if f.err != nil {
		return nil
	}
	b := f.left[:n]
	f.left = f.left[n:]
	return b
}

// End returns the first fault, or what is wrong with the record's length.
func (f *Fields) End() error {
	if f.err == nil && len(f.left) != 0 {
		f.err = fmt.Errorf("%d bytes too many in a record", len(f.left))
	}
	return f.err
}

func (f *Fields) U8() uint8 {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *Fields) U16() uint16 {
	if b := f.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *Fields) U32() uint32 {
	if b := f.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *Fields) U64() uint64 {
	if b := f.take(8); b != nil {
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

func (f *Fields) F32() float64 { return f.finite(float64(math.Float32frombits(f.U32()))) }
func (f *Fields) F64() float64 { return f.finite(math.Float64frombits(f.U64())) }

// Span reads a time in milliseconds.
func (f *Fields) Duration() time.Duration {
	d, err := millis(f.F64())
	if f.err == nil {
		f.err = err
	}
	return d
}

// Bytes reads a counted run of bytes, good until the next batch.
func (f *Fields) Bytes(countWidth int) []byte {
	n := 0
	if countWidth == 2 {
		n = int(f.U16())
	} else {
		n = int(f.U32())
	}
	return f.take(n)
}

// Report passes over a load report, which nothing reads.
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
	if f.err == nil && n*entrySize != uint64(len(f.left)) {
		f.err = fmt.Errorf("%d entries in %d bytes", n, len(f.left))
	}
	for i := uint64(0); i < n && f.err == nil; i++ {
		e := choice.Entry{Size: f.F32(), Cell: choice.CellID(f.U16()), Zone: choice.ZoneID(f.U16()),
			ID: choice.ServerID(f.U32()), Standing: choice.Standing(f.U8()),
			Model: choice.ModelID(f.U16())}
		since := f.Duration()
		e.Started, e.Since = since != 0, since-start
		if f.err == nil && e.Standing > choice.Draining {
			f.err = fmt.Errorf("unknown standing %d", e.Standing)
		}
		into = append(into, e)
	}
	return kind, into
}

func millis(ms float64) (time.Duration, error) {
	if !(math.Abs(ms) < 1e12) {
		return 0, fmt.Errorf("time %v is out of range", ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}

// Reply collects what the instances answer to one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Start empties the reply and addresses it to a batch.
func (r *Reply) Start(number uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	binary.LittleEndian.PutUint32(r.buf[8:], number)
	r.count = 0
}

// WriteTo sends the reply.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.buf, r.count)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeader))
	n, err := w.Write(r.buf)
	return int64(n), err
}

func (r *Reply) record(code byte, size int, inst InstanceID) {
	r.count++
	r.buf = append(r.buf, code)
	r.u32(uint32(size))
	r.u16(uint16(inst))
}

func (r *Reply) u16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) duration(d time.Duration) {
	r.buf = binary.LittleEndian.AppendUint64(r.buf, math.Float64bits(float64(d)/float64(time.Millisecond)))
}

func (r *Reply) Dial(inst InstanceID, id choice.SessionID, to choice.ServerID, limit time.Duration) {
	r.record(codeDial, 18, inst)
	r.u32(uint32(id))
	r.duration(limit)
	r.u32(uint32(to))
}

func (r *Reply) Refuse(inst InstanceID, id choice.SessionID, retryAfter time.Duration) {
	r.record(codeRefuse, 14, inst)
	r.u32(uint32(id))
	r.duration(retryAfter)
}

func (r *Reply) TearDown(inst InstanceID, id choice.SessionID) {
	r.record(codeTearDown, 6, inst)
	r.u32(uint32(id))
}

func (r *Reply) Move(inst InstanceID, id choice.SessionID) {
	r.record(codeMove, 6, inst)
	r.u32(uint32(id))
}

func (r *Reply) Timer(inst InstanceID, after time.Duration, token choice.Token) {
	r.record(codeTimer, 14, inst)
	r.duration(after)
	r.u32(uint32(token))
}

func (r *Reply) Watch(inst InstanceID) {
	r.record(codeWatch, 3, inst)
	r.buf = append(r.buf, 1)
}

// A word between proxies is a server's id and its messages' delay in milliseconds.
const (
	WordSize    = 6
	FullMessage = 256
	allPeers    = 0xffff
)

func (r *Reply) Publish(inst InstanceID, at choice.ServerID, delay time.Duration) {
	r.record(codePublish, 6+WordSize, inst)
	r.u16(allPeers)
	r.u16(WordSize)
	r.buf = AppendWord(r.buf, at, delay)
}

// AppendWord writes a word to other proxies.
func AppendWord(to []byte, at choice.ServerID, delay time.Duration) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(at))
	return binary.LittleEndian.AppendUint16(to, uint16(min(delay/time.Millisecond, math.MaxUint16)))
}

// Word reads what another proxy told.
func Word(data []byte) (at choice.ServerID, delay time.Duration, err error) {
	if len(data) != WordSize {
		return 0, 0, fmt.Errorf("%d bytes", len(data))
	}
	return choice.ServerID(binary.LittleEndian.Uint32(data)),
		time.Duration(binary.LittleEndian.Uint16(data[4:])) * time.Millisecond, nil
}

func (r *Reply) Log(inst InstanceID, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	r.record(codeLog, 4+len(line), inst)
	r.u16(uint16(len(line)))
	r.buf = append(r.buf, line...)
}
