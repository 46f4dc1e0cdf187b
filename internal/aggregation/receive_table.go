package aggregation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// receiveTable is the receiver's copy of one sender's table: the latest received value of each key. An entry is applied
// only if its datagram has a larger number than the one that set the key, so duplicated, late or replayed datagrams
// change nothing. The value type is as small as the sender's values allow, as an aggregator has one such table for each
// member.
type receiveTable[Value uint32 | uint64] struct {
	dictionary *dictionary
	maxKeys    int
	onChange   func(index uint32, before, after Value) // called for each changed value, if not nil

	latestNumber uint32  // largest datagram number received
	since        uint32  // largest Since received; entries from earlier datagrams were dropped
	senderKeys   uint32  // number of the sender's keys with a value other than 0, according to the latest datagram
	nonzeroCount int     // number of entries with a value other than 0
	quality      quality // according to the latest datagram that is not a heartbeat
	gaps         []gap

	latestMissing bool // latestNumber is known only from a heartbeat; its digest has not been received

	entries []receivedEntry[Value] // sorted by index
}

// receivedEntry is the latest received value of a key.
type receivedEntry[Value uint32 | uint64] struct {
	index  uint32
	number uint32 // of the datagram that set the value
	value  Value
}

// gap is a range of datagrams that were not received, while later ones were. Entries from before the gap were correct
// when the datagram before it was sent, and may have changed since: the gap keeps the quality of that datagram.
type gap struct {
	first, last  uint32 // datagram numbers, inclusive
	olderEntries int    // number of entries from datagrams before last
	quality      quality
}

// quality bounds the age and error of a sender's values.
type quality struct {
	asOf       time.Duration // time at which the values were correct
	errorBound uint64        // largest error of any value
	heardShare float64       // share of the known members that the values cover, 0 to 1
}

// worstOf returns the worse of each field.
func (q quality) worstOf(other quality) quality {
	return quality{min(q.asOf, other.asOf), max(q.errorBound, other.errorBound), min(q.heardShare, other.heardShare)}
}

// maxGaps is the number of gaps kept separately; beyond it the oldest are merged.
const maxGaps = 32

// tableHeader is the part of a datagram that describes the sender's table as a whole.
type tableHeader struct {
	number      uint32
	since       uint32
	nonzeroKeys uint32
	quality     quality
	isEmpty     bool // no entries, as in a heartbeat, whose number is that of a digest sent before
}

// validNumbers reports whether a datagram's Number and Since are valid. Numbers above 32 bits are not: at 50 datagrams
// a second it takes years to get there.
func validNumbers(number, since uint64) bool {
	return number > 0 && number <= math.MaxUint32 && since <= number
}

// validEntries reports whether the number of entries, their kinds and their values are valid.
func validEntries(entries []Entry, maxValue uint64) bool {
	if len(entries) > MaxDatagramBytes/minEntryBytes {
		return false
	}
	for _, entry := range entries {
		if entry.Kind < ByServer || entry.Kind > ByListener || entry.Value > maxValue {
			return false
		}
	}
	return true
}

// receive processes a datagram. It returns how many entries were dropped because there was no room for their keys.
func (t *receiveTable[Value]) receive(header tableHeader, entries []Entry) (outcome Outcome, dropped int) {
	if header.number < t.since {
		return Obsolete, 0
	}
	outcome = Duplicate
	switch {
	case header.number > t.latestNumber:
		t.acceptHeader(header)
		outcome = Accepted
	case header.number == t.latestNumber && t.latestMissing && !header.isEmpty:
		t.latestMissing, t.quality = false, header.quality
	}
	if len(entries) == 0 {
		return outcome, 0
	}
	changed, dropped := t.applyEntries(header.number, entries)
	t.removeFromGap(header)
	if changed {
		outcome = Accepted
	}
	return outcome, dropped
}

// acceptHeader applies the header of a datagram with a larger number than all received before.
func (t *receiveTable[Value]) acceptHeader(header tableHeader) {
	last := header.number - 1
	if header.isEmpty {
		last = header.number
	}
	if last > t.latestNumber {
		t.addGap(gap{first: t.latestNumber + 1, last: last, olderEntries: len(t.entries), quality: t.qualityBeforeGap()})
	}
	t.latestNumber, t.senderKeys = header.number, header.nonzeroKeys
	t.latestMissing = header.isEmpty
	if !header.isEmpty {
		t.quality = header.quality
	}
	if header.since > t.since {
		t.since = header.since
		t.dropObsolete()
	}
}

// qualityBeforeGap returns the quality of the values received before a new gap. Before the first datagram there are
// none: the best possible quality is returned, so that an entry received late for that gap has the quality of its own
// datagram.
func (t *receiveTable[Value]) qualityBeforeGap() quality {
	if t.latestNumber == 0 {
		return quality{asOf: math.MaxInt64, heardShare: 1}
	}
	return t.quality
}

// addGap adds a range of missing datagrams.
func (t *receiveTable[Value]) addGap(g gap) {
	t.gaps = append(t.gaps, g)
	t.mergeGaps()
}

// mergeGaps merges the two oldest gaps while there are more than maxGaps. The quality of the older one no longer
// matters if no entry is from before it: an entry received late brings the quality of its own datagram.
func (t *receiveTable[Value]) mergeGaps() {
	for len(t.gaps) > maxGaps {
		older, newer := t.gaps[0], &t.gaps[1]
		newer.first = older.first
		if older.olderEntries > 0 {
			newer.quality = newer.quality.worstOf(older.quality)
		}
		t.gaps = slices.Delete(t.gaps, 0, 1)
	}
}

// removeFromGap removes a late datagram from the gap that contains it, which may split the gap. The part after it gets
// the worse of the gap's quality and that of the late datagram, whose values may have changed since.
func (t *receiveTable[Value]) removeFromGap(header tableHeader) {
	position := slices.IndexFunc(t.gaps, func(g gap) bool { return g.first <= header.number && header.number <= g.last })
	if position < 0 {
		return
	}
	beforePart, afterPart := t.gaps[position], t.gaps[position]
	t.gaps = slices.Delete(t.gaps, position, position+1)
	if afterPart.last > header.number {
		afterPart.first = header.number + 1
		afterPart.quality = afterPart.quality.worstOf(header.quality)
		t.gaps = slices.Insert(t.gaps, position, afterPart)
	}
	if beforePart.first < header.number {
		beforePart.last = header.number - 1
		beforePart.olderEntries = t.countEntriesBefore(beforePart.last)
		t.gaps = slices.Insert(t.gaps, position, beforePart)
	}
	t.mergeGaps()
}

// countEntriesBefore returns the number of entries from datagrams before a number.
func (t *receiveTable[Value]) countEntriesBefore(number uint32) (n int) {
	for _, entry := range t.entries {
		if entry.number < number {
			n++
		}
	}
	return n
}

// addToGapCounts counts a new entry in the gaps after its datagram; there are such gaps if the datagram is late.
func (t *receiveTable[Value]) addToGapCounts(number uint32) {
	for i := range t.gaps {
		if number < t.gaps[i].last {
			t.gaps[i].olderEntries++
		}
	}
}

// removeFromGapCounts updates the gaps' counts for an entry whose number changes from before to after; math.MaxUint32
// means that the entry is dropped.
func (t *receiveTable[Value]) removeFromGapCounts(before, after uint32) {
	for i := range t.gaps {
		if before < t.gaps[i].last && t.gaps[i].last <= after {
			t.gaps[i].olderEntries--
		}
	}
}

// applyEntries applies the entries of a datagram whose keys have no value of a later datagram. It returns whether any
// changed the table, and how many were dropped for lack of room.
func (t *receiveTable[Value]) applyEntries(number uint32, entries []Entry) (changed bool, dropped int) {
	var added []receivedEntry[Value]
	position := 0
	for _, entry := range entries {
		index, known := t.dictionary.find(entry.Key())
		found := false
		if known {
			position, found = t.position(index, position)
		}
		switch {
		case found:
			changed = t.updateEntry(position, number, Value(entry.Value)) || changed
		case entry.Value == 0 && len(t.entries)+len(added) >= t.maxKeys:
		case !t.ensureRoom(len(added)):
			dropped++
		default:
			if index, known = t.dictionary.acquire(entry.Key()); !known {
				dropped++
				continue
			}
			added = append(added, receivedEntry[Value]{index: index, number: number, value: Value(entry.Value)})
			changed = true
		}
	}
	t.insertEntries(added)
	return changed, dropped
}

// position returns the position of an index in the entries, or where it would be inserted. It first checks the position
// after the previous one, as senders send their keys in order.
func (t *receiveTable[Value]) position(index uint32, previous int) (position int, found bool) {
	if next := previous + 1; next < len(t.entries) && t.entries[next].index == index {
		return next, true
	}
	return slices.BinarySearchFunc(t.entries, index, func(entry receivedEntry[Value], index uint32) int {
		return cmp.Compare(entry.index, index)
	})
}

// updateEntry sets an entry's value if the datagram is later than the one that set it. It returns whether it was.
func (t *receiveTable[Value]) updateEntry(position int, number uint32, value Value) bool {
	entry := &t.entries[position]
	if number <= entry.number {
		return false
	}
	t.removeFromGapCounts(entry.number, number)
	t.recordChange(entry.index, entry.value, value)
	entry.number, entry.value = number, value
	return true
}

// ensureRoom returns whether there is room for one more key besides the added ones. If not, it drops the keys with
// value 0 and returns whether there were any.
func (t *receiveTable[Value]) ensureRoom(added int) bool {
	return len(t.entries)+added < t.maxKeys || t.dropZeros()
}

// insertEntries inserts new entries at their sorted positions, in one pass.
func (t *receiveTable[Value]) insertEntries(added []receivedEntry[Value]) {
	added = t.sortUnique(added)
	from := len(t.entries) - 1
	t.resize(len(t.entries) + len(added))
	to := len(t.entries) - 1
	for i := len(added) - 1; i >= 0; to-- {
		if from >= 0 && t.entries[from].index > added[i].index {
			t.entries[to] = t.entries[from]
			from--
			continue
		}
		t.entries[to] = added[i]
		t.addToGapCounts(added[i].number)
		t.recordChange(added[i].index, 0, added[i].value)
		i--
	}
}

// sortUnique sorts the added entries by index, and keeps only the first of several entries of the same key.
func (t *receiveTable[Value]) sortUnique(added []receivedEntry[Value]) []receivedEntry[Value] {
	slices.SortStableFunc(added, func(x, y receivedEntry[Value]) int { return cmp.Compare(x.index, y.index) })
	kept := added[:0]
	for _, entry := range added {
		if len(kept) > 0 && kept[len(kept)-1].index == entry.index {
			t.dictionary.release(entry.index)
			continue
		}
		kept = append(kept, entry)
	}
	return kept
}

// resize changes the number of entries. It allocates little spare capacity, as an aggregator has millions of entries.
func (t *receiveTable[Value]) resize(length int) {
	if length <= cap(t.entries) {
		t.entries = t.entries[:length]
		return
	}
	grown := make([]receivedEntry[Value], length, length+length/16+4)
	copy(grown, t.entries)
	t.entries = grown
}

// recordChange updates nonzeroCount for a changed value and calls onChange.
func (t *receiveTable[Value]) recordChange(index uint32, before, after Value) {
	if before == after {
		return
	}
	if before == 0 {
		t.nonzeroCount++
	}
	if after == 0 {
		t.nonzeroCount--
	}
	if t.onChange != nil {
		t.onChange(index, before, after)
	}
}

// dropObsolete drops the entries from before since: the sender no longer has their keys, or it would have sent them
// again.
func (t *receiveTable[Value]) dropObsolete() {
	t.dropEntries(func(entry receivedEntry[Value]) bool { return entry.number < t.since })
	t.gaps = slices.DeleteFunc(t.gaps, func(g gap) bool { return g.last <= t.since })
}

// dropZeros drops the entries with value 0. It returns whether there were any.
func (t *receiveTable[Value]) dropZeros() bool {
	if t.nonzeroCount == len(t.entries) {
		return false
	}
	t.dropEntries(func(entry receivedEntry[Value]) bool { return entry.value == 0 })
	return true
}

// clear drops all entries and resets the numbers, for a new process of the sender.
func (t *receiveTable[Value]) clear() {
	t.dropEntries(func(receivedEntry[Value]) bool { return true })
	t.latestNumber, t.since, t.senderKeys, t.quality = 0, 0, 0, quality{}
	t.gaps, t.entries, t.latestMissing = nil, nil, false
}

// dropEntries drops the entries selected by shouldDrop and releases their indexes.
func (t *receiveTable[Value]) dropEntries(shouldDrop func(receivedEntry[Value]) bool) {
	t.entries = slices.DeleteFunc(t.entries, func(entry receivedEntry[Value]) bool {
		if !shouldDrop(entry) {
			return false
		}
		t.removeFromGapCounts(entry.number, math.MaxUint32)
		t.recordChange(entry.index, entry.value, 0)
		t.dictionary.release(entry.index)
		return true
	})
}

// value returns the value of a key's index; 0 if there is none.
func (t *receiveTable[Value]) value(index uint32) Value {
	if position, found := t.position(index, -1); found {
		return t.entries[position].value
	}
	return 0
}

// qualityOf returns the quality of a key's value: the worst of the latest datagram's and of the gaps after the entry's.
func (t *receiveTable[Value]) qualityOf(index uint32) quality {
	position, found := t.position(index, -1)
	if !found {
		return t.worstQuality()
	}
	worst := t.quality
	for _, g := range t.gaps {
		if t.entries[position].number < g.last {
			worst = worst.worstOf(g.quality)
		}
	}
	return worst
}

// worstQuality returns a quality that holds for all values.
func (t *receiveTable[Value]) worstQuality() quality {
	worst := t.quality
	for _, g := range t.gaps {
		if g.olderEntries > 0 {
			worst = worst.worstOf(g.quality)
		}
	}
	return worst
}

// receivedShare returns the share of the sender's nonzero keys that were received, 0 to 1.
func (t *receiveTable[Value]) receivedShare() float64 {
	if t.nonzeroCount >= int(t.senderKeys) {
		return 1
	}
	return float64(t.nonzeroCount) / float64(t.senderKeys)
}

// largestValue returns the largest value in the table.
func (t *receiveTable[Value]) largestValue() (largest uint64) {
	for _, entry := range t.entries {
		largest = max(largest, uint64(entry.value))
	}
	return largest
}
