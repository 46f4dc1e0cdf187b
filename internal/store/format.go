// Package store keeps records that must outlast a restart, by table and key, in append-only segments. It decides what of
// a folder can be trusted after a crash, and acknowledges a batch once it is durable. It has no compaction and no
// snapshots, and nothing in the proxy uses it yet. docs/store.md has the format and the guarantees.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Seq numbers batches from 1, without gaps over all segments.
type Seq uint64

// Version is the version of the format that is written. A folder of a later one is refused.
const Version = 1

// Sizes of the format, in bytes.
const (
	magic           = "CKFS"
	headerSize      = 4 + 2 + 2 + 8 + 4 // magic, version, reserved, first sequence, CRC-32C of what is before
	batchHeaderSize = 4 + 4 + 8         // length of the payload, CRC-32C of sequence and payload, sequence
	maxBatchBytes   = 1 << 20           // bytes of a payload
)

// Kinds of an operation.
const (
	opPut    = 0
	opDelete = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTooLarge refuses a batch of more than 1 MiB.
var ErrTooLarge = errors.New("batch is over 1 MiB")

// Op is one change: a value put under a key of a table, or the key deleted.
type Op struct {
	Table  string
	Key    string
	Value  []byte
	Delete bool
}

// appendHeader appends the header of a segment.
func appendHeader(dst []byte, first Seq) []byte {
	begin := len(dst)
	dst = append(dst, magic...)
	dst = binary.LittleEndian.AppendUint16(dst, Version)
	dst = binary.LittleEndian.AppendUint16(dst, 0)
	dst = binary.LittleEndian.AppendUint64(dst, uint64(first))
	return binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[begin:], castagnoli))
}

// readHeader returns the first sequence of a segment.
func readHeader(data []byte) (Seq, error) {
	switch {
	case len(data) < headerSize:
		return 0, errors.New("header is cut off")
	case string(data[:4]) != magic:
		return 0, errors.New("not a segment of a store")
	case crc32.Checksum(data[:headerSize-4], castagnoli) != binary.LittleEndian.Uint32(data[headerSize-4:]):
		return 0, errors.New("header is damaged")
	}
	if version := binary.LittleEndian.Uint16(data[4:]); version > Version {
		return 0, fmt.Errorf("%w: it is of version %d, this build reads up to %d", ErrNewerVersion, version, Version)
	}
	return Seq(binary.LittleEndian.Uint64(data[8:])), nil
}

// ErrNewerVersion says that a folder was written by a later build.
var ErrNewerVersion = errors.New("folder of a later version")

// appendBatch appends a batch behind its header.
func appendBatch(dst []byte, seq Seq, ops []Op) ([]byte, error) {
	var payload []byte
	payload = binary.AppendUvarint(payload, uint64(len(ops)))
	appendString := func(s string) {
		payload = binary.AppendUvarint(payload, uint64(len(s)))
		payload = append(payload, s...)
	}
	for _, op := range ops {
		kind := byte(opPut)
		if op.Delete {
			kind = opDelete
		}
		payload = append(payload, kind)
		appendString(op.Table)
		appendString(op.Key)
		if !op.Delete {
			appendString(string(op.Value))
		}
	}
	if len(payload) > maxBatchBytes {
		return dst, ErrTooLarge
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	sum := crc32.Update(0, castagnoli, binary.LittleEndian.AppendUint64(nil, uint64(seq)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Update(sum, castagnoli, payload))
	dst = binary.LittleEndian.AppendUint64(dst, uint64(seq))
	return append(dst, payload...), nil
}

// errTorn says that the data end within a batch, or in one that is damaged.
var errTorn = errors.New("batch is cut off or damaged")

// readBatch reads the batch that the data begin with, and its size. Its values are slices of the data.
func readBatch(data []byte) (seq Seq, ops []Op, size int, err error) {
	if len(data) < batchHeaderSize {
		return 0, nil, 0, errTorn
	}
	n := binary.LittleEndian.Uint32(data)
	if n > maxBatchBytes || len(data) < batchHeaderSize+int(n) {
		return 0, nil, 0, errTorn
	}
	size = batchHeaderSize + int(n)
	if crc32.Checksum(data[8:size], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return 0, nil, 0, errTorn
	}
	seq = Seq(binary.LittleEndian.Uint64(data[8:]))
	ops, err = readOps(data[batchHeaderSize:size])
	return seq, ops, size, err
}

// readOps reads a payload, all of it.
func readOps(payload []byte) ([]Op, error) {
	r := opReader{rest: payload}
	n, ok := r.number()
	if !ok || n > uint64(len(r.rest)) {
		return nil, errTorn
	}
	ops := make([]Op, 0, n)
	for range n {
		op, ok := r.op()
		if !ok {
			return nil, errTorn
		}
		ops = append(ops, op)
	}
	if len(r.rest) > 0 {
		return nil, errTorn
	}
	return ops, nil
}

// opReader takes values off a payload; ok is false where there is none.
type opReader struct{ rest []byte }

func (r *opReader) number() (v uint64, ok bool) {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		return 0, false
	}
	r.rest = r.rest[n:]
	return v, true
}

func (r *opReader) bytes() (b []byte, ok bool) {
	n, ok := r.number()
	if !ok || n > uint64(len(r.rest)) {
		return nil, false
	}
	b = r.rest[:n]
	r.rest = r.rest[n:]
	return b, true
}

func (r *opReader) op() (op Op, ok bool) {
	if len(r.rest) == 0 || r.rest[0] > opDelete {
		return op, false
	}
	op.Delete = r.rest[0] == opDelete
	r.rest = r.rest[1:]
	table, tableOK := r.bytes()
	key, keyOK := r.bytes()
	op.Table, op.Key = string(table), string(key)
	valueOK := true
	if !op.Delete {
		op.Value, valueOK = r.bytes()
	}
	return op, tableOK && keyOK && valueOK
}
