package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand"
	"reflect"
	"testing"
	"testing/fstest"
)

// writeSegments returns a folder of three segments, their names, and the tables after each batch.
func writeSegments(t *testing.T, seed int64) (fstest.MapFS, []string, []map[string]map[string][]byte) {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	folder, names := fstest.MapFS{}, []string{}
	model := &Recovered{Tables: map[string]map[string][]byte{}}
	states := []map[string]map[string][]byte{{}}
	seq := Seq(1)
	for range 3 {
		text := appendHeader(nil, seq)
		name := fmt.Sprintf("%016x%s", seq, segmentSuffix)
		for range 2 + rng.Intn(3) {
			var ops []Op
			for range 1 + rng.Intn(3) {
				ops = append(ops, Op{Table: string(rune('a' + rng.Intn(2))), Key: string(rune('k' + rng.Intn(3))),
					Value: []byte(fmt.Sprint(rng.Intn(1000))), Delete: rng.Intn(4) == 0})
			}
			var err error
			if text, err = appendBatch(text, seq, ops); err != nil {
				t.Fatal(err)
			}
			model.apply(ops)
			copied := &Recovered{Tables: map[string]map[string][]byte{}}
			for table, keys := range model.Tables {
				for key, value := range keys {
					copied.apply([]Op{{Table: table, Key: key, Value: value}})
				}
			}
			states = append(states, copied.Tables)
			seq++
		}
		folder[name] = &fstest.MapFile{Data: text}
		names = append(names, name)
	}
	return folder, names, states
}

// equalTables compares tables; a table without keys equals a missing one.
func equalTables(a, b map[string]map[string][]byte) bool {
	for _, pair := range [][2]map[string]map[string][]byte{{a, b}, {b, a}} {
		for table, keys := range pair[0] {
			if len(keys) > 0 && !reflect.DeepEqual(keys, pair[1][table]) {
				return false
			}
		}
	}
	return true
}

// TestCutAndFlipped cuts each file at every byte and flips a bit of each byte. What is recovered must be a prefix of what was
// appended, or the folder is refused with an error that names the file.
func TestCutAndFlipped(t *testing.T) {
	folder, names, states := writeSegments(t, 1)
	whole, err := Recover(folder)
	if err != nil || whole.Torn != "" || int(whole.Last) != len(states)-1 || !equalTables(whole.Tables, states[whole.Last]) {
		t.Fatal(err, whole)
	}
	refused, torn := 0, 0
	try := func(description, name string, text []byte, isLast bool) {
		damaged := fstest.MapFS{}
		for n, f := range folder {
			damaged[n] = f
		}
		damaged[name] = &fstest.MapFile{Data: text}
		r, err := Recover(damaged)
		var damage *Damage
		switch {
		case errors.As(err, &damage):
			if refused++; damage.Segment == "" || int(damage.GoodUntil) >= len(states) {
				t.Fatalf("%s: %v", description, err)
			}
		case err != nil:
			t.Fatalf("%s: %v", description, err)
		case !isLast && r.Last != whole.Last:
			t.Fatalf("%s: recovered up to batch %d though segments follow", description, r.Last)
		case !equalTables(r.Tables, states[r.Last]):
			t.Fatalf("%s: %d batches recovered, with tables that never existed: %v", description, r.Last, r.Tables)
		case r.Torn != "":
			torn++
		}
	}
	for i, name := range names {
		text, isLast := folder[name].Data, i == len(names)-1
		for at := range text {
			try(fmt.Sprintf("%s cut at %d", name, at), name, text[:at], isLast)
			flipped := append([]byte(nil), text...)
			flipped[at] ^= 1 << (at % 8)
			try(fmt.Sprintf("%s flipped at %d", name, at), name, flipped, isLast)
		}
	}
	if refused == 0 || torn == 0 {
		t.Fatalf("%d folders refused, %d recovered with a torn end, want some of each", refused, torn)
	}
	delete(folder, names[1])
	var damage *Damage
	if _, err := Recover(folder); !errors.As(err, &damage) {
		t.Fatalf("segment in the middle missing: %v", err)
	}
}

// TestLater checks that a folder of a later version is refused with ErrNewerVersion, and a batch that is too large with
// ErrTooLarge.
func TestLater(t *testing.T) {
	text := appendHeader(nil, 1)
	text[4] = Version + 1
	binary.LittleEndian.PutUint32(text[headerSize-4:], crc32.Checksum(text[:headerSize-4], castagnoli))
	if _, err := Recover(fstest.MapFS{"1" + segmentSuffix: {Data: text}}); !errors.Is(err, ErrNewerVersion) {
		t.Fatal(err)
	}
	if _, err := appendBatch(nil, 1, []Op{{Value: make([]byte, maxBatchBytes)}}); !errors.Is(err, ErrTooLarge) {
		t.Fatal(err)
	}
}

// FuzzReadBatch checks that a batch that can be read is written and read again without a change, and that arbitrary data does
// not crash the reader.
func FuzzReadBatch(f *testing.F) {
	good, _ := appendBatch(nil, 7, []Op{{Table: "t", Key: "k", Value: []byte("v")}, {Table: "t", Key: "x", Delete: true}})
	f.Add(good)
	f.Fuzz(func(t *testing.T, text []byte) {
		seq, ops, size, err := readBatch(text)
		if err != nil {
			return
		}
		again, err := appendBatch(nil, seq, ops)
		if err != nil || size > len(text) {
			t.Fatal(err, size)
		}
		if s, o, _, err := readBatch(again); err != nil || s != seq || !reflect.DeepEqual(o, ops) {
			t.Fatal(err, s, o, ops)
		}
	})
}
