package aggregation

import "slices"

// retainedTurns is for how many whole turns a receiver keeps a key that it does not receive again: it loses a key that
// the sender still has only if that many consecutive datagrams with the key were lost.
const retainedTurns = 3

// minEntryBytes is the size of the smallest entry in CBOR, in bytes.
const minEntryBytes = 4

// sendTable is a sender's table: the current value of each key and the value last sent. It selects the entries of each
// datagram: first the keys that changed most (urgent), then the next keys of the turn. A turn is one pass over all keys
// in key order; it sends unchanged keys again, as any datagram may be lost.
type sendTable struct {
	dictionary       *dictionary
	maxKeys          int
	changeShare      float64
	slots            []sendSlot // by dictionary index
	sortedIndexes    []uint32   // dictionary indexes of the keys in the table, in key order
	latestNumber     uint32     // of the latest datagram sent
	turn             uint32
	turnStarts       [retainedTurns + 1]uint32 // numbers of the first datagrams of the current turn and of those before it
	turnInProgress   bool                      // the current turn has not reached the last key
	lastKey          Key                       // last key that the current turn has passed
	urgentCandidates urgentHeap
}

// sendSlot is the state of one key.
type sendSlot struct {
	value         uint64
	sentValue     uint64
	sentNumber    uint32 // of the latest datagram with the key; 0: never sent
	firstZeroTurn uint32 // turn in which the value 0 was first sent; 0: not sent as 0
	inTable       bool
}

// change returns the absolute difference between the value and the value last sent.
func (s *sendSlot) change() uint64 {
	if s.value > s.sentValue {
		return s.value - s.sentValue
	}
	return s.sentValue - s.value
}

// batch is the contents of one datagram.
type batch struct {
	number  uint64
	since   uint64
	keys    uint32 // number of keys with a value other than 0
	slack   uint64 // largest change that was not sent
	entries []Entry
}

func newSendTable(dictionary *dictionary, maxKeys int, changeShare float64) *sendTable {
	return &sendTable{dictionary: dictionary, maxKeys: maxKeys, changeShare: changeShare}
}

// set sets the value of a key. It returns false if there is no room for it. A new key with value 0 is not added.
func (t *sendTable) set(key Key, value uint64) bool {
	if index, known := t.dictionary.find(key); known && t.contains(index) {
		t.update(index, value)
		return true
	}
	if value == 0 {
		return true
	}
	if !t.makeRoom() {
		return false
	}
	index, ok := t.dictionary.acquire(key)
	if ok {
		t.insert(index, value)
	}
	return ok
}

// setIndex is like set for a key that another table with the same dictionary already holds, given by its index.
func (t *sendTable) setIndex(index uint32, value uint64) bool {
	if t.contains(index) {
		t.update(index, value)
		return true
	}
	if value == 0 {
		return true
	}
	if !t.makeRoom() {
		return false
	}
	t.dictionary.retain(index)
	t.insert(index, value)
	return true
}

func (t *sendTable) contains(index uint32) bool {
	return int(index) < len(t.slots) && t.slots[index].inTable
}

// update sets the value of a key in the table; its last sent value stays.
func (t *sendTable) update(index uint32, value uint64) {
	slot := &t.slots[index]
	slot.value = value
	if value != 0 {
		slot.firstZeroTurn = 0
	}
}

func (t *sendTable) insert(index uint32, value uint64) {
	for len(t.slots) <= int(index) {
		t.slots = append(t.slots, sendSlot{})
	}
	t.slots[index] = sendSlot{value: value, inTable: true}
	position, _ := t.position(t.dictionary.keys[index])
	t.sortedIndexes = slices.Insert(t.sortedIndexes, position, index)
}

// value returns the value of a key; 0 if it is not in the table.
func (t *sendTable) value(key Key) uint64 {
	if index, known := t.dictionary.find(key); known && t.contains(index) {
		return t.slots[index].value
	}
	return 0
}

// position returns the position of a key in sortedIndexes, or where it would be inserted.
func (t *sendTable) position(key Key) (position int, found bool) {
	return slices.BinarySearchFunc(t.sortedIndexes, key, func(index uint32, key Key) int {
		return t.dictionary.keys[index].Compare(key)
	})
}

// makeRoom returns whether there is room for one more key. If the table is full, it removes a key with value 0: one
// that was never sent, or else the one sent longest ago. A receiver that still has that key drops it when Since passes
// it.
func (t *sendTable) makeRoom() bool {
	if len(t.sortedIndexes) < t.maxKeys {
		return true
	}
	oldest := -1
	for position, index := range t.sortedIndexes {
		slot := &t.slots[index]
		if slot.value == 0 && (oldest < 0 || slot.sentNumber < t.slots[t.sortedIndexes[oldest]].sentNumber) {
			oldest = position
		}
	}
	if oldest < 0 {
		return false
	}
	t.remove(t.sortedIndexes[oldest])
	t.sortedIndexes = slices.Delete(t.sortedIndexes, oldest, oldest+1)
	return true
}

func (t *sendTable) remove(index uint32) {
	t.slots[index] = sendSlot{}
	t.dictionary.release(index)
}

// removeZeros removes all keys with value 0, to make room in the dictionary.
func (t *sendTable) removeZeros() {
	t.sortedIndexes = slices.DeleteFunc(t.sortedIndexes, func(index uint32) bool {
		if t.slots[index].value != 0 {
			return false
		}
		t.remove(index)
		return true
	})
}

// nextBatch returns the contents of the next datagram, with entries of at most byteBudget bytes: urgent keys in up to
// half of it, and the next keys of the turn in the rest.
func (t *sendTable) nextBatch(byteBudget int) batch {
	t.latestNumber++
	if !t.turnInProgress {
		t.beginTurn()
	}
	entries := t.takeUrgent(byteBudget / 2)
	used := 0
	for _, entry := range entries {
		used += EntrySize(entry)
	}
	entries = t.takeInTurn(entries, byteBudget-used)
	keys, slack := t.nonzeroKeysAndSlack()
	return batch{
		number:  uint64(t.latestNumber),
		since:   uint64(t.turnStarts[retainedTurns]),
		keys:    keys,
		slack:   slack,
		entries: entries,
	}
}

// beginTurn starts a turn at the first key. It removes the keys with value 0 that were sent as 0 for one whole turn
// after the turn of the first 0, and those that became 0 before they were ever sent.
func (t *sendTable) beginTurn() {
	t.turn++
	copy(t.turnStarts[1:], t.turnStarts[:])
	t.turnStarts[0] = t.latestNumber
	t.turnInProgress, t.lastKey = true, Key{}
	t.sortedIndexes = slices.DeleteFunc(t.sortedIndexes, func(index uint32) bool {
		slot := &t.slots[index]
		zeroWasSent := slot.firstZeroTurn > 0 && slot.firstZeroTurn+1 < t.turn
		if slot.value != 0 || slot.sentNumber > 0 && !zeroWasSent {
			return false
		}
		t.remove(index)
		return true
	})
}

// takeUrgent returns entries for the keys whose value changed by more than changeShare of the value last sent, those
// with the largest share first, up to the budget in bytes. It marks them as sent.
func (t *sendTable) takeUrgent(byteBudget int) (entries []Entry) {
	t.urgentCandidates = t.urgentCandidates[:0]
	maxCandidates := byteBudget / minEntryBytes
	for index := range t.slots { // slots that are not in the table are zero and have no change
		slot := &t.slots[index]
		change := slot.change()
		if change == 0 {
			continue
		}
		share := float64(change) / float64(max(slot.sentValue, 1))
		if share > t.changeShare {
			t.urgentCandidates.offer(urgentKey{changeShare: share, index: uint32(index)}, maxCandidates)
		}
	}
	for _, candidate := range t.urgentCandidates.sortDescending() {
		entry := t.entryAt(candidate.index)
		size := EntrySize(entry)
		if size > byteBudget {
			break
		}
		byteBudget -= size
		entries = append(entries, entry)
		t.markSent(candidate.index)
	}
	return entries
}

// takeInTurn appends entries for the next keys of the turn, up to the budget in bytes or the end of the turn. It skips
// keys that this turn already sent as urgent.
func (t *sendTable) takeInTurn(entries []Entry, byteBudget int) []Entry {
	position, found := t.position(t.lastKey)
	if found {
		position++
	}
	for ; position < len(t.sortedIndexes); position++ {
		index := t.sortedIndexes[position]
		if t.slots[index].sentNumber < t.turnStarts[0] {
			entry := t.entryAt(index)
			size := EntrySize(entry)
			if size > byteBudget {
				return entries
			}
			byteBudget -= size
			entries = append(entries, entry)
			t.markSent(index)
		}
		t.lastKey = t.dictionary.keys[index]
	}
	t.turnInProgress = false
	return entries
}

func (t *sendTable) entryAt(index uint32) Entry {
	key := t.dictionary.keys[index]
	return Entry{Kind: key.Kind, ID: key.ID, Value: t.slots[index].value}
}

// markSent records that the latest datagram contains the current value of a key.
func (t *sendTable) markSent(index uint32) {
	slot := &t.slots[index]
	slot.sentValue, slot.sentNumber = slot.value, t.latestNumber
	if slot.value == 0 && slot.firstZeroTurn == 0 {
		slot.firstZeroTurn = t.turn
	}
}

// nonzeroKeysAndSlack returns the number of keys with a value other than 0, and the largest change that was not sent.
func (t *sendTable) nonzeroKeysAndSlack() (keys uint32, slack uint64) {
	for index := range t.slots {
		slot := &t.slots[index]
		if slot.value != 0 {
			keys++
		}
		slack = max(slack, slot.change())
	}
	return keys, slack
}

// markAllUnsent marks all keys as never sent, for a new incarnation: the receivers drop the values of the one before.
func (t *sendTable) markAllUnsent() {
	for _, index := range t.sortedIndexes {
		slot := &t.slots[index]
		slot.sentValue, slot.sentNumber, slot.firstZeroTurn = 0, 0, 0
	}
	t.turnInProgress = false
}
