package sharing

import (
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"chalkferry/internal/aggregation"
)

// TestBroadcast: each member gets one datagram per interval, however irregular the calls of advance are, and no call has
// to send to more than a fraction of the members.
func TestBroadcast(t *testing.T) {
	const members, interval, intervals = 2000, 170 * time.Millisecond, 50
	for seed := range int64(10) {
		random := rand.New(rand.NewSource(seed))
		var ids []aggregation.MemberID
		for range members {
			ids = append(ids, aggregation.MemberID(random.Uint64()))
		}
		b := newBroadcast(interval)
		now := time.Duration(random.Int63())/2 + interval
		b.advance(now)
		sent, intervalCount, mostAtOnce := map[aggregation.MemberID]int{}, 0, 0
		for end := now + intervals*interval; now < end; {
			now = min(now+1+time.Duration(random.Int63n(int64(2*slotInterval))), end)
			if b.advance(now) {
				intervalCount++
			}
			atOnce := 0
			for _, id := range ids {
				if b.isDue(id) {
					sent[id]++
					atOnce++
				}
			}
			mostAtOnce = max(mostAtOnce, atOnce)
		}
		for _, id := range ids {
			if sent[id] != intervals {
				t.Fatalf("seed %d: a member got %d datagrams in %d intervals", seed, sent[id], intervals)
			}
		}
		if intervalCount != intervals {
			t.Errorf("seed %d: %d messages created in %d intervals", seed, intervalCount, intervals)
		}
		if mostAtOnce > members/4 { // a call covers at most 2 of 17 slots
			t.Errorf("seed %d: %d of %d members are due in one call", seed, mostAtOnce, members)
		}
	}
}

// TestBroadcastStopped: a process that was stopped for several intervals sends one datagram to each member at once, not
// one for each missed interval.
func TestBroadcastStopped(t *testing.T) {
	b := newBroadcast(time.Second)
	b.advance(100 * time.Second)
	sent := 0
	for now := 110 * time.Second; now <= 111*time.Second; now += slotInterval {
		if b.advance(now); b.isDue(12345) {
			sent++
		}
	}
	if sent != 2 { // at once, and at the member's instant of the next interval
		t.Errorf("%d datagrams sent, want 2", sent)
	}
}

// TestAddressBook: after random additions, changes and removals the book has the same entries as a map.
func TestAddressBook(t *testing.T) {
	book := newAddressBook()
	address := func(port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
	}
	random := rand.New(rand.NewSource(1))
	want := map[aggregation.MemberID]netip.AddrPort{}
	for range 1000 {
		id := aggregation.MemberID(random.Intn(50))
		if random.Intn(4) > 0 {
			want[id] = address(1 + random.Intn(60000))
			book.learn(id, want[id])
		} else {
			delete(want, id)
			book.forget(func(other aggregation.MemberID) bool { return other == id })
		}
		if len(book.entries) != len(want) || len(book.index) != len(want) {
			t.Fatalf("%d entries and %d in the index, want %d", len(book.entries), len(book.index), len(want))
		}
		for id, address := range want {
			if book.address(id) != address.String() {
				t.Fatalf("the address of %d is %q, want %s", id, book.address(id), address)
			}
		}
	}
	if book.address(1000) != "" {
		t.Error("a member that was never added has an address")
	}
}

// TestPacer: ticks come, and after the first one the pacer runs at its interval.
func TestPacer(t *testing.T) {
	const interval = 20 * time.Millisecond
	p := newPacer(interval)
	defer p.stop()
	for range 3 {
		select {
		case <-p.C:
			p.ticked()
		case <-time.After(10 * time.Second):
			t.Fatal("no tick within 10 s")
		}
	}
	if !p.started || p.interval != interval {
		t.Errorf("the pacer is %+v", p)
	}
}
