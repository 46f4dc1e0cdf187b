// Package store keeps records that must survive a restart, by table and key, in append-only segments. It decides which
// part of a folder can be trusted after a crash, and acknowledges a batch once it is durable. It has no compaction and no
// snapshots, and the proxy does not use it yet. docs/store.md describes the format and the guarantees.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Seq is the sequence number of a batch: from 1, without gaps across all segments.
type Seq uint64

// Version is the version of the format that is written. A folder of a later version is refused.
const Version = 1

// Sizes of the format, in bytes.
const (
	magic           = "CKFS"
	headerSize      = 4 + 2 + 2 + 8 + 4 // magic, version, reserved, first sequence number, CRC-32C of all before it
	batchHeaderSize = 4 + 4 + 8         // payload length, CRC-32C of sequence number and payload, sequence number
	maxBatchBytes   = 1 << 20           // largest payload
)

// Kinds of operations in a payload.
const (
	opPut    = 0
	opDelete = 1
)

// castagnoli is the table of CRC-32C, the checksum of headers and batches.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTooLarge is returned for a batch whose payload is over 1 MiB.
var ErrTooLarge = errors.New("batch is over 1 MiB")

// Op is one change: it puts a value under a key of a table, or deletes the key.
type Op struct {
	Table  string
	Key    string
	Value  []byte
	Delete bool
}

// appendHeader appends the header of a segment whose first batch has a sequence number.
func appendHeader(dst []byte, first Seq) []byte {
	begin := len(dst)
	dst = append(dst, magic...)
	dst = binary.LittleEndian.AppendUint16(dst, Version)
	dst = binary.LittleEndian.AppendUint16(dst, 0)
	dst = binary.LittleEndian.AppendUint64(dst, uint64(first))
	return binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[begin:], castagnoli))
}

// readHeader returns the sequence number of a segment's first batch.
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

// ErrNewerVersion is returned for a folder that a later build has written.
var ErrNewerVersion = errors.New("folder of a later version")

// appendBatch appends a batch: its header and its payload.
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
	checksum := crc32.Update(0, castagnoli, binary.LittleEndian.AppendUint64(nil, uint64(seq)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Update(checksum, castagnoli, payload))
	dst = binary.LittleEndian.AppendUint64(dst, uint64(seq))
	return append(dst, payload...), nil
}

// errTorn is returned if the data ends within a batch, or the batch is damaged.
var errTorn = errors.New("batch is cut off or damaged")

// readBatch decodes the batch at the start of the data. size is its length in bytes. The values of ops share memory with
// data.
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

// readOps decodes a payload, which must have no bytes left over.
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

// opReader decodes the values of a payload one by one. Its methods return ok false if the payload holds no such value next.
type opReader struct{ rest []byte }

// number decodes an unsigned varint.
func (r *opReader) number() (v uint64, ok bool) {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		return 0, false
	}
	r.rest = r.rest[n:]
	return v, true
}

// bytes decodes a length and as many bytes, which share memory with the payload.
func (r *opReader) bytes() (b []byte, ok bool) {
	n, ok := r.number()
	if !ok || n > uint64(len(r.rest)) {
		return nil, false
	}
	b = r.rest[:n]
	r.rest = r.rest[n:]
	return b, true
}

// op decodes one operation.
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
