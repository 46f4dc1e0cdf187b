package sharing

import (
	"fmt"
	"net/netip"
	"time"

	"chalkferry/internal/aggregation"
)

// broadcast spreads datagrams to many members evenly over an interval: each member has a fixed instant in the interval,
// which is determined by its ID.
type broadcast struct {
	interval       time.Duration
	advancedAt     time.Duration // when advance was called last
	started        bool          // advance was called
	from, to       time.Duration // the instants that came between the two latest calls; from > to if the interval wrapped
	coversInterval bool          // all instants came between the two latest calls
}

func newBroadcast(interval time.Duration) *broadcast { return &broadcast{interval: interval} }

// advance moves to now and returns whether a new interval has begun, for which the caller makes a new message. Intervals
// that are missed while the process is stopped are not made up for.
func (b *broadcast) advance(now time.Duration) (isNew bool) {
	isNew = !b.started || now/b.interval != b.advancedAt/b.interval
	b.coversInterval = !b.started || now-b.advancedAt >= b.interval
	b.from, b.to = b.advancedAt%b.interval, now%b.interval
	b.advancedAt, b.started = now, true
	return isNew
}

// isDue returns whether a member's instant came between the two latest calls of advance.
func (b *broadcast) isDue(id aggregation.MemberID) bool {
	instant := time.Duration(uint64(id) % uint64(b.interval))
	switch {
	case b.coversInterval:
		return true
	case b.from <= b.to:
		return b.from < instant && instant <= b.to
	}
	return b.from < instant || instant <= b.to
}

// memberAddress is the address that datagrams to a member are sent to.
type memberAddress struct {
	id      aggregation.MemberID
	address netip.AddrPort
}

// addressBook has the members' addresses, which are the source addresses of their reports. Its size is bounded by the
// limit on members: only members of accepted reports are added, and those that the aggregator forgets are removed.
type addressBook struct {
	entries []memberAddress              // in no particular order
	index   map[aggregation.MemberID]int // into entries
}

func newAddressBook() *addressBook { return &addressBook{index: map[aggregation.MemberID]int{}} }

// learn sets the address of a member to the source of its latest report.
func (b *addressBook) learn(id aggregation.MemberID, address netip.AddrPort) {
	if i, known := b.index[id]; known {
		b.entries[i].address = address
		return
	}
	b.index[id] = len(b.entries)
	b.entries = append(b.entries, memberAddress{id: id, address: address})
}

// forget removes the members for which isGone returns true.
func (b *addressBook) forget(isGone func(aggregation.MemberID) bool) {
	for i := len(b.entries) - 1; i >= 0; i-- {
		entry := b.entries[i]
		if !isGone(entry.id) {
			continue
		}
		last := b.entries[len(b.entries)-1]
		b.entries[i], b.index[last.id] = last, i
		b.entries = b.entries[:len(b.entries)-1]
		delete(b.index, entry.id)
	}
}

// address returns the address of a member as text, or "" if it is not known.
func (b *addressBook) address(id aggregation.MemberID) string {
	if i, known := b.index[id]; known {
		return b.entries[i].address.String()
	}
	return ""
}

// formatMemberID returns a member's ID as the status shows it. Reports don't contain the member's name.
func formatMemberID(id aggregation.MemberID) string { return fmt.Sprintf("%016x", uint64(id)) }
