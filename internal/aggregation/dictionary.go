package aggregation

import "slices"

// dictionary gives each key a small index, so that many tables can have the key without its 16 bytes. Each table that
// has an index holds a reference; an index without one is given to the next key.
type dictionary struct {
	max        int
	index      map[Key]uint32
	keys       []Key
	references []uint32
	free       []uint32
}

func newDictionary(max int) *dictionary {
	return &dictionary{max: max, index: map[Key]uint32{}}
}

// find returns the index of a key that some table has.
func (d *dictionary) find(key Key) (index uint32, known bool) {
	index, known = d.index[key]
	return index, known
}

// acquire adds a reference to the key, which gets an index if it has none. It returns false if there is no room.
func (d *dictionary) acquire(key Key) (index uint32, ok bool) {
	index, known := d.index[key]
	switch {
	case known:
	case len(d.index) >= d.max:
		return 0, false
	case len(d.free) > 0:
		index = d.free[len(d.free)-1]
		d.free = d.free[:len(d.free)-1]
		d.keys[index] = key
		d.index[key] = index
	default:
		index = uint32(len(d.keys))
		d.keys = append(d.keys, key)
		d.references = append(d.references, 0)
		d.index[key] = index
	}
	d.references[index]++
	return index, true
}

// retain adds a reference to an index that has one already.
func (d *dictionary) retain(index uint32) { d.references[index]++ }

// release takes back a reference.
func (d *dictionary) release(index uint32) {
	d.references[index]--
	if d.references[index] > 0 {
		return
	}
	delete(d.index, d.keys[index])
	d.free = append(d.free, index)
}

// size is one more than the largest index.
func (d *dictionary) size() int { return len(d.keys) }

// sorted returns the keys that some table has, in order.
func (d *dictionary) sorted() []Key {
	keys := make([]Key, 0, len(d.index))
	for index, key := range d.keys {
		if d.references[index] > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, Key.Compare)
	return keys
}
