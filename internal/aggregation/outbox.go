package aggregation

import "slices"

// turnsKept is how many whole turns back a receiver keeps what it has of a key: it loses a key that the sender still
// has only if that many datagrams in a row with it were lost.
const turnsKept = 3

// minEntryBytes is the size of the smallest entry.
const minEntryBytes = 4

// outbox is a sender's table: the value of each key and what was last sent of it. It chooses the entries of each
// datagram: first those that changed most, then all in turn, in the order of their keys, as any datagram may be lost.
type outbox struct {
	dictionary  *dictionary
	max         int
	changeShare float64
	slots       []outboxSlot // by index of the dictionary
	order       []uint32     // indexes of the keys in the table, in the order of the keys
	number      uint32       // of the latest datagram
	turn        uint32
	turnStarts  [turnsKept + 1]uint32 // numbers at which the present turn and those before it began
	inTurn      bool                  // the present turn is not over
	last        Key                   // sent last in the present turn
	candidates  urgentHeap
}

type outboxSlot struct {
	value    uint64
	sent     uint64
	number   uint32 // of the datagram that had it last; 0: never sent
	zeroTurn uint32 // in which it was first sent as 0; 0: not
	present  bool
}

// change is the difference between the value and what was last sent.
func (s *outboxSlot) change() uint64 {
	if s.value > s.sent {
		return s.value - s.sent
	}
	return s.sent - s.value
}

// batch is what one datagram carries.
type batch struct {
	number  uint64
	since   uint64
	keys    uint32 // of the table that are not 0
	slack   uint64 // largest change that is not sent
	entries []Entry
}

func newOutbox(dictionary *dictionary, max int, changeShare float64) *outbox {
	return &outbox{dictionary: dictionary, max: max, changeShare: changeShare}
}

// set sets the value of a key. It returns false if there is no room for it.
func (o *outbox) set(key Key, value uint64) bool {
	if index, known := o.dictionary.find(key); known && o.has(index) {
		o.update(index, value)
		return true
	}
	if value == 0 {
		return true
	}
	if !o.makeRoom() {
		return false
	}
	index, ok := o.dictionary.acquire(key)
	if ok {
		o.insert(index, value)
	}
	return ok
}

// setIndex is set for an index that some other table of the dictionary has.
func (o *outbox) setIndex(index uint32, value uint64) bool {
	if o.has(index) {
		o.update(index, value)
		return true
	}
	if value == 0 {
		return true
	}
	if !o.makeRoom() {
		return false
	}
	o.dictionary.retain(index)
	o.insert(index, value)
	return true
}

func (o *outbox) has(index uint32) bool {
	return int(index) < len(o.slots) && o.slots[index].present
}

func (o *outbox) update(index uint32, value uint64) {
	slot := &o.slots[index]
	slot.value = value
	if value != 0 {
		slot.zeroTurn = 0
	}
}

func (o *outbox) insert(index uint32, value uint64) {
	for len(o.slots) <= int(index) {
		o.slots = append(o.slots, outboxSlot{})
	}
	o.slots[index] = outboxSlot{value: value, present: true}
	at, _ := o.position(o.dictionary.keys[index])
	o.order = slices.Insert(o.order, at, index)
}

// value returns the value of a key.
func (o *outbox) value(key Key) uint64 {
	if index, known := o.dictionary.find(key); known && o.has(index) {
		return o.slots[index].value
	}
	return 0
}

// position returns where a key is in the order, or would be.
func (o *outbox) position(key Key) (at int, found bool) {
	return slices.BinarySearchFunc(o.order, key, func(index uint32, key Key) int {
		return o.dictionary.keys[index].Compare(key)
	})
}

// makeRoom returns whether one more key may come. Where the table is full, a key that is 0 goes: one that was never
// sent, or else the one that was sent the longest ago. A receiver that still has it drops it when Since passes.
func (o *outbox) makeRoom() bool {
	if len(o.order) < o.max {
		return true
	}
	oldest := -1
	for at, index := range o.order {
		slot := &o.slots[index]
		if slot.value == 0 && (oldest < 0 || slot.number < o.slots[o.order[oldest]].number) {
			oldest = at
		}
	}
	if oldest < 0 {
		return false
	}
	o.remove(o.order[oldest])
	o.order = slices.Delete(o.order, oldest, oldest+1)
	return true
}

func (o *outbox) remove(index uint32) {
	o.slots[index] = outboxSlot{}
	o.dictionary.release(index)
}

// removeZeros drops all keys that are 0, to make room in the dictionary.
func (o *outbox) removeZeros() {
	o.order = slices.DeleteFunc(o.order, func(index uint32) bool {
		if o.slots[index].value != 0 {
			return false
		}
		o.remove(index)
		return true
	})
}

// next returns the entries of the next datagram, which take byteBudget bytes at most.
func (o *outbox) next(byteBudget int) batch {
	o.number++
	if !o.inTurn {
		o.beginTurn()
	}
	entries := o.takeUrgent(byteBudget / 2)
	used := 0
	for _, entry := range entries {
		used += EntrySize(entry)
	}
	entries = o.takeInTurn(entries, byteBudget-used)
	keys, slack := o.unsent()
	return batch{
		number:  uint64(o.number),
		since:   uint64(o.turnStarts[turnsKept]),
		keys:    keys,
		slack:   slack,
		entries: entries,
	}
}

// beginTurn starts with the first key. Keys that were sent as 0 for a whole turn after they first were, or that became
// 0 before they were ever sent, go.
func (o *outbox) beginTurn() {
	o.turn++
	copy(o.turnStarts[1:], o.turnStarts[:])
	o.turnStarts[0] = o.number
	o.inTurn, o.last = true, Key{}
	o.order = slices.DeleteFunc(o.order, func(index uint32) bool {
		slot := &o.slots[index]
		zeroWasSent := slot.zeroTurn > 0 && slot.zeroTurn+1 < o.turn
		if slot.value != 0 || slot.number > 0 && !zeroWasSent {
			return false
		}
		o.remove(index)
		return true
	})
}

// takeUrgent takes the keys that changed by more than the change share, those of the largest share first.
func (o *outbox) takeUrgent(byteBudget int) (entries []Entry) {
	o.candidates = o.candidates[:0]
	most := byteBudget / minEntryBytes
	for index := range o.slots { // those that are not in the table have no change
		slot := &o.slots[index]
		change := slot.change()
		if change == 0 {
			continue
		}
		share := float64(change) / float64(max(slot.sent, 1))
		if share > o.changeShare {
			o.candidates.offer(urgentKey{share: share, index: uint32(index)}, most)
		}
	}
	for _, candidate := range o.candidates.descending() {
		entry := o.entry(candidate.index)
		size := EntrySize(entry)
		if size > byteBudget {
			break
		}
		byteBudget -= size
		entries = append(entries, entry)
		o.markSent(candidate.index)
	}
	return entries
}

// takeInTurn appends the next keys in turn, up to the end of the turn. Those that were sent in this turn already, as they
// were urgent, have had their turn.
func (o *outbox) takeInTurn(entries []Entry, byteBudget int) []Entry {
	at, found := o.position(o.last)
	if found {
		at++
	}
	for ; at < len(o.order); at++ {
		index := o.order[at]
		if o.slots[index].number < o.turnStarts[0] {
			entry := o.entry(index)
			size := EntrySize(entry)
			if size > byteBudget {
				return entries
			}
			byteBudget -= size
			entries = append(entries, entry)
			o.markSent(index)
		}
		o.last = o.dictionary.keys[index]
	}
	o.inTurn = false
	return entries
}

func (o *outbox) entry(index uint32) Entry {
	key := o.dictionary.keys[index]
	return Entry{Kind: key.Kind, ID: key.ID, Value: o.slots[index].value}
}

func (o *outbox) markSent(index uint32) {
	slot := &o.slots[index]
	slot.sent, slot.number = slot.value, o.number
	if slot.value == 0 && slot.zeroTurn == 0 {
		slot.zeroTurn = o.turn
	}
}

// unsent returns how many keys are not 0, and the largest change that was not sent.
func (o *outbox) unsent() (keys uint32, slack uint64) {
	for index := range o.slots {
		slot := &o.slots[index]
		if slot.value != 0 {
			keys++
		}
		slack = max(slack, slot.change())
	}
	return keys, slack
}

// restart makes all keys unsent: the receivers drop what they had.
func (o *outbox) restart() {
	for _, index := range o.order {
		slot := &o.slots[index]
		slot.sent, slot.number, slot.zeroTurn = 0, 0, 0
	}
	o.inTurn = false
}
