package store

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
)

// Segment describes one file of a store.
type Segment struct {
	Name      string
	First     Seq // sequence number of the first batch, as the header states it
	Last      Seq // sequence number of the last whole batch, 0 for none
	GoodBytes int // bytes from the start that hold the header and whole batches
	Size      int // bytes of the file
}

// Recovered holds the content of a folder: always a prefix of the appended batches, in order, and nothing else.
type Recovered struct {
	Tables   map[string]map[string][]byte // values by table and key
	Segments []Segment
	Last     Seq    // sequence number of the last batch
	Torn     string // describes the end of the last segment that is no whole batch, "" if there is none
}

// Damage is the error for a folder that can't be opened: a part in its middle is missing or wrong, so that the order of what
// follows can't be trusted.
type Damage struct {
	Segment   string // name of the file
	Offset    int    // bytes from the start of the segment
	GoodUntil Seq    // last batch before the damage
	Text      string
}

func (d *Damage) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; good up to batch %d", d.Segment, d.Offset, d.Text, d.GoodUntil)
}

// segmentSuffix is the end of a segment's name; the start is the sequence number of its first batch.
const segmentSuffix = ".segment"

// Recover reads all segments of a folder. A loss of power leaves a last segment that ends within a batch: its whole
// batches are recovered, and Torn describes the rest. Any other fault is a *Damage.
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
	slices.Sort(names) // by sequence number: the names start with it in hexadecimal digits of a fixed number
	r := &Recovered{Tables: map[string]map[string][]byte{}}
	for i, name := range names {
		data, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, err
		}
		if err := r.recoverSegment(name, data, i == 0, i == len(names)-1); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// recoverSegment adds the batches of the next segment.
func (r *Recovered) recoverSegment(name string, data []byte, isFirst, isLast bool) error {
	damage := func(offset int, format string, args ...any) error {
		return &Damage{name, offset, r.Last, fmt.Sprintf(format, args...)}
	}
	first, err := readHeader(data)
	if err != nil {
		if isLast && len(data) < headerSize { // the writer was stopped while it wrote the header
			r.Segments = append(r.Segments, Segment{Name: name, Size: len(data)})
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
	s := Segment{Name: name, First: first, GoodBytes: headerSize, Size: len(data)}
	for s.GoodBytes < len(data) {
		seq, ops, size, err := readBatch(data[s.GoodBytes:])
		if err != nil {
			if !isLast || laterBatchFollows(data[s.GoodBytes+1:], r.Last) {
				return damage(s.GoodBytes, "%v, and later batches follow", err)
			}
			r.Torn = fmt.Sprintf("%s: %v from byte %d of %d", name, err, s.GoodBytes, len(data))
			break
		}
		if seq != r.Last+1 {
			return damage(s.GoodBytes, "batch %d instead of batch %d", seq, r.Last+1)
		}
		r.apply(ops)
		r.Last, s.Last = seq, seq
		s.GoodBytes += size
	}
	r.Segments = append(r.Segments, s)
	return nil
}

// laterBatchFollows reports whether the data contains a whole batch with a number above last, at any offset. If so, the
// invalid bytes before it are damage in the middle and not a torn end.
func laterBatchFollows(data []byte, last Seq) bool {
	for offset := range data {
		if seq, _, _, err := readBatch(data[offset:]); err == nil && seq > last {
			return true
		}
	}
	return false
}

// apply applies the changes of a batch to the tables.
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

// TableNames returns the names of the tables, sorted.
func (r *Recovered) TableNames() []string {
	return slices.Sorted(maps.Keys(r.Tables))
}
