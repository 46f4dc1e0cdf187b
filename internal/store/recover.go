package store

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
)

// Segment is what is known of one file of a store.
type Segment struct {
	Name      string
	First     Seq
	Last      Seq // 0 for none
	GoodBytes int // bytes that hold whole batches, from the start
	Size      int
}

// Recovered is what a folder holds: always a prefix of what was appended, in order, and nothing else.
type Recovered struct {
	Tables   map[string]map[string][]byte
	Segments []Segment
	Last     Seq
	Torn     string // what of the last segment is no whole batch, "" for nothing
}

// Damage is why a folder is not opened: something in its middle is missing or wrong, so that what follows can't be
// trusted to follow.
type Damage struct {
	Segment   string
	Offset    int // bytes from its start
	GoodUntil Seq // up to which all is good
	Text      string
}

func (d *Damage) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; good up to batch %d", d.Segment, d.Offset, d.Text, d.GoodUntil)
}

// segmentSuffix ends the names of segments, which begin with their first sequence.
const segmentSuffix = ".segment"

// Recover reads all segments of a folder. A last segment that ends within a batch is what a loss of power leaves: its
// whole batches count, and Torn says what does not. Anything else that is wrong is a *Damage.
func Recover(folder fs.FS) (*Recovered, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), segmentSuffix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names) // by their first sequence, which they are named for
	r := &Recovered{Tables: map[string]map[string][]byte{}}
	for i, name := range names {
		text, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, err
		}
		if err := r.recoverSegment(name, text, i == 0, i == len(names)-1); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// recoverSegment reads the next segment.
func (r *Recovered) recoverSegment(name string, text []byte, isFirst, isLast bool) error {
	damage := func(at int, format string, args ...any) error {
		return &Damage{name, at, r.Last, fmt.Sprintf(format, args...)}
	}
	first, err := readHeader(text)
	if err != nil {
		if isLast && len(text) < headerSize { // it was being made
			r.Segments = append(r.Segments, Segment{Name: name, Size: len(text)})
			r.Torn = fmt.Sprintf("%s: %v", name, err)
			return nil
		}
		if errors.Is(err, ErrNewerVersion) {
			return fmt.Errorf("%s: %w", name, err)
		}
		return damage(0, "%v", err)
	}
	if isFirst {
		r.Last = max(first, 1) - 1
	} else if first != r.Last+1 {
		return damage(0, "it begins with batch %d, batch %d is missing", first, r.Last+1)
	}
	s := Segment{Name: name, First: first, GoodBytes: headerSize, Size: len(text)}
	for s.GoodBytes < len(text) {
		seq, ops, size, err := readBatch(text[s.GoodBytes:])
		if err != nil {
			if !isLast || laterBatchFollows(text[s.GoodBytes+1:], r.Last) {
				return damage(s.GoodBytes, "%v, and others follow", err)
			}
			r.Torn = fmt.Sprintf("%s: %v from byte %d of %d", name, err, s.GoodBytes, len(text))
			break
		}
		if seq != r.Last+1 {
			return damage(s.GoodBytes, "batch %d where %d is due", seq, r.Last+1)
		}
		r.apply(ops)
		r.Last, s.Last = seq, seq
		s.GoodBytes += size
	}
	r.Segments = append(r.Segments, s)
	return nil
}

// laterBatchFollows reports whether a whole batch of a later number occurs anywhere in the data: then what is before it
// is not a torn end, but damage in the middle.
func laterBatchFollows(text []byte, last Seq) bool {
	for at := range text {
		if seq, _, _, err := readBatch(text[at:]); err == nil && seq > last {
			return true
		}
	}
	return false
}

// apply applies a batch to the tables.
func (r *Recovered) apply(ops []Op) {
	for _, op := range ops {
		t := r.Tables[op.Table]
		if op.Delete {
			delete(t, op.Key)
			continue
		}
		if t == nil {
			t = map[string][]byte{}
			r.Tables[op.Table] = t
		}
		t[op.Key] = slices.Clone(op.Value)
	}
}

// Names are the tables, in order.
func (r *Recovered) Names() []string {
	return slices.Sorted(maps.Keys(r.Tables))
}
