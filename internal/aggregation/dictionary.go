package aggregation

import "slices"

// dictionary maps keys to small indexes, so that many tables can refer to a key without storing its 16 bytes. Each
// table that uses an index holds a reference to it; an index without references is reused for the next new key.
type dictionary struct {
	maxKeys         int
	indexes         map[Key]uint32
	keys            []Key
	referenceCounts []uint32
	freeIndexes     []uint32
}

func newDictionary(maxKeys int) *dictionary {
	return &dictionary{maxKeys: maxKeys, indexes: map[Key]uint32{}}
}

// find returns the index of a key; known is false if no table has it.
func (d *dictionary) find(key Key) (index uint32, known bool) {
	index, known = d.indexes[key]
	return index, known
}

// acquire adds a reference to a key, and assigns it an index if it has none. ok is false if the dictionary is full.
func (d *dictionary) acquire(key Key) (index uint32, ok bool) {
	index, known := d.indexes[key]
	switch {
	case known:
	case len(d.indexes) >= d.maxKeys:
		return 0, false
	case len(d.freeIndexes) > 0:
		index = d.freeIndexes[len(d.freeIndexes)-1]
		d.freeIndexes = d.freeIndexes[:len(d.freeIndexes)-1]
		d.keys[index] = key
		d.indexes[key] = index
	default:
		index = uint32(len(d.keys))
		d.keys = append(d.keys, key)
		d.referenceCounts = append(d.referenceCounts, 0)
		d.indexes[key] = index
	}
	d.referenceCounts[index]++
	return index, true
}

// retain adds a reference to an index that is already in use.
func (d *dictionary) retain(index uint32) { d.referenceCounts[index]++ }

// release removes a reference, and frees the index if it was the last one.
func (d *dictionary) release(index uint32) {
	d.referenceCounts[index]--
	if d.referenceCounts[index] > 0 {
		return
	}
	delete(d.indexes, d.keys[index])
	d.freeIndexes = append(d.freeIndexes, index)
}

// indexLimit returns one more than the largest index ever used.
func (d *dictionary) indexLimit() int { return len(d.keys) }

// sortedKeys returns the keys in use, sorted.
func (d *dictionary) sortedKeys() []Key {
	keys := make([]Key, 0, len(d.indexes))
	for index, key := range d.keys {
		if d.referenceCounts[index] > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, Key.Compare)
	return keys
}
