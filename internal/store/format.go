// Package store keeps what must outlast a restart: records by table and key in append-only segments, with an index in
// memory. docs/store.md has the format and what each promise means.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Seq numbers batches from 1, without gaps over all segments.
type Seq uint64

// Version of the format that is written. A folder of a later one is refused.
const Version = 1

const (
	magic         = "CKFS"
	headerSize    = 4 + 2 + 2 + 8 + 4 // magic, version, reserved, first sequence, CRC-32C of what is before
	frameSize     = 4 + 4 + 8         // length of the payload, CRC-32C of sequence and payload, sequence
	maxBatchBytes = 1 << 20           // bytes of a payload
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTooLarge is what a batch beyond 1 MiB is refused with.
var ErrTooLarge = errors.New("batch is over 1 MiB")

// Op is one change: a value put under a key of a table, or the key deleted.
type Op struct {
	Table  string
	Key    string
	Value  []byte
	Delete bool
}

func appendHeader(to []byte, first Seq) []byte {
	begin := len(to)
	to = append(to, magic...)
	to = binary.LittleEndian.AppendUint16(to, Version)
	to = binary.LittleEndian.AppendUint16(to, 0)
	to = binary.LittleEndian.AppendUint64(to, uint64(first))
	return binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[begin:], castagnoli))
}

// readHeader gives the first sequence of a segment.
func readHeader(text []byte) (Seq, error) {
	switch {
	case len(text) < headerSize:
		return 0, errors.New("header is cut off")
	case string(text[:4]) != magic:
		return 0, errors.New("not a segment of a store")
	case crc32.Checksum(text[:headerSize-4], castagnoli) != binary.LittleEndian.Uint32(text[headerSize-4:]):
		return 0, errors.New("header is damaged")
	}
	if version := binary.LittleEndian.Uint16(text[4:]); version > Version {
		return 0, fmt.Errorf("%w: it is of version %d, this build reads up to %d", ErrNewerVersion, version, Version)
	}
	return Seq(binary.LittleEndian.Uint64(text[8:])), nil
}

// ErrLater tells that a folder was written by a later build.
var ErrNewerVersion = errors.New("folder of a later version")

// appendBatch frames a batch.
func appendBatch(to []byte, seq Seq, ops []Op) ([]byte, error) {
	var payload []byte
	payload = binary.AppendUvarint(payload, uint64(len(ops)))
	text := func(s string) {
		payload = binary.AppendUvarint(payload, uint64(len(s)))
		payload = append(payload, s...)
	}
	for _, op := range ops {
		kind := byte(0)
		if op.Delete {
			kind = 1
		}
		payload = append(payload, kind)
		text(op.Table)
		text(op.Key)
		if !op.Delete {
			text(string(op.Value))
		}
	}
	if len(payload) > maxBatchBytes {
		return to, ErrTooLarge
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	sum := crc32.Update(0, castagnoli, binary.LittleEndian.AppendUint64(nil, uint64(seq)))
	to = binary.LittleEndian.AppendUint32(to, crc32.Update(sum, castagnoli, payload))
	to = binary.LittleEndian.AppendUint64(to, uint64(seq))
	return append(to, payload...), nil
}

// errTorn tells that a text ends within a batch, or in one that is damaged.
var errTorn = errors.New("batch is cut off or damaged")

// readBatch reads the batch that a text begins with, and gives its size. Its values are slices of the text.
func readBatch(text []byte) (seq Seq, ops []Op, size int, err error) {
	if len(text) < frameSize {
		return 0, nil, 0, errTorn
	}
	n := binary.LittleEndian.Uint32(text)
	if n > maxBatchBytes || len(text) < frameSize+int(n) {
		return 0, nil, 0, errTorn
	}
	size = frameSize + int(n)
	if crc32.Checksum(text[8:size], castagnoli) != binary.LittleEndian.Uint32(text[4:]) {
		return 0, nil, 0, errTorn
	}
	seq = Seq(binary.LittleEndian.Uint64(text[8:]))
	ops, err = readOps(text[frameSize:size])
	return seq, ops, size, err
}

func readOps(payload []byte) ([]Op, error) {
	number := func() (uint64, bool) {
		v, n := binary.Uvarint(payload)
		if n <= 0 {
			return 0, false
		}
		payload = payload[n:]
		return v, true
	}
	text := func() ([]byte, bool) {
		n, ok := number()
		if !ok || n > uint64(len(payload)) {
			return nil, false
		}
		t := payload[:n]
		payload = payload[n:]
		return t, true
	}
	n, ok := number()
	if !ok || n > uint64(len(payload)) {
		return nil, errTorn
	}
	ops := make([]Op, 0, n)
	for range n {
		if len(payload) == 0 || payload[0] > 1 {
			return nil, errTorn
		}
		op := Op{Delete: payload[0] == 1}
		payload = payload[1:]
		table, okTable := text()
		key, okKey := text()
		op.Table, op.Key = string(table), string(key)
		if !op.Delete {
			value, okValue := text()
			okKey, op.Value = okKey && okValue, value
		}
		if !okTable || !okKey {
			return nil, errTorn
		}
		ops = append(ops, op)
	}
	if len(payload) > 0 {
		return nil, errTorn
	}
	return ops, nil
}
