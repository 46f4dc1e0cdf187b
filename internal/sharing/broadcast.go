package sharing

import (
	"fmt"
	"net/netip"
	"time"

	"chalkferry/internal/aggregation"
)

// broadcast spreads datagrams to many members over an interval: each member has an instant in it by its number.
type broadcast struct {
	interval time.Duration
	last     time.Duration // of the latest call of advance
	started  bool
	from, to time.Duration // the instants of the interval that have come since the call before; from may be above to
	isWhole  bool          // all have
}

func newBroadcast(interval time.Duration) *broadcast { return &broadcast{interval: interval} }

// advance moves on to now. It tells whether a new interval has begun, of which a new message is to be made. Intervals
// that were missed, as the process was stopped, are not made up for.
func (b *broadcast) advance(now time.Duration) (isNew bool) {
	isNew = !b.started || now/b.interval != b.last/b.interval
	b.isWhole = !b.started || now-b.last >= b.interval
	b.from, b.to = b.last%b.interval, now%b.interval
	b.last, b.started = now, true
	return isNew
}

// isDue tells whether a member's instant has come.
func (b *broadcast) isDue(id aggregation.MemberID) bool {
	instant := time.Duration(uint64(id) % uint64(b.interval))
	switch {
	case b.isWhole:
		return true
	case b.from <= b.to:
		return b.from < instant && instant <= b.to
	}
	return b.from < instant || instant <= b.to
}

// memberAddress is where a member is reached.
type memberAddress struct {
	id      aggregation.MemberID
	address netip.AddrPort
}

// addressBook has the members' addresses as their reports came from them. Its size is bounded by the members that the
// logic knows.
type addressBook struct {
	entries []memberAddress // in any order
	index   map[aggregation.MemberID]int
}

func newAddressBook() *addressBook { return &addressBook{index: map[aggregation.MemberID]int{}} }

// learn notes where a member's latest report came from.
func (b *addressBook) learn(id aggregation.MemberID, address netip.AddrPort) {
	if at, known := b.index[id]; known {
		b.entries[at].address = address
		return
	}
	b.index[id] = len(b.entries)
	b.entries = append(b.entries, memberAddress{id: id, address: address})
}

// forget drops the members that are gone.
func (b *addressBook) forget(isGone func(aggregation.MemberID) bool) {
	for at := len(b.entries) - 1; at >= 0; at-- {
		entry := b.entries[at]
		if !isGone(entry.id) {
			continue
		}
		last := b.entries[len(b.entries)-1]
		b.entries[at], b.index[last.id] = last, at
		b.entries = b.entries[:len(b.entries)-1]
		delete(b.index, entry.id)
	}
}

// address of a member, "" if it is not known.
func (b *addressBook) address(id aggregation.MemberID) string {
	if at, known := b.index[id]; known {
		return b.entries[at].address.String()
	}
	return ""
}

// memberNumber is how the status writes a member whose name is not known.
func memberNumber(id aggregation.MemberID) string { return fmt.Sprintf("%016x", uint64(id)) }
