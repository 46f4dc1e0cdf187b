package sharing

import (
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"chalkferry/internal/aggregation"
)

// TestBroadcast: in every interval each member gets one datagram, however irregularly the slots come, and no slot has
// more than its part of the members.
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
		sent, begun, mostAtOnce := map[aggregation.MemberID]int{}, 0, 0
		for end := now + intervals*interval; now < end; {
			now = min(now+1+time.Duration(random.Int63n(int64(2*slotSpan))), end)
			if b.advance(now) {
				begun++
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
		if begun != intervals {
			t.Errorf("seed %d: %d messages made in %d intervals", seed, begun, intervals)
		}
		if mostAtOnce > members/4 { // 2 of 17 slots at most
			t.Errorf("seed %d: %d of %d members at once", seed, mostAtOnce, members)
		}
	}
}

// TestBroadcastStopped: a process that was stopped for long sends each member one datagram, not those that it missed.
func TestBroadcastStopped(t *testing.T) {
	b := newBroadcast(time.Second)
	b.advance(100 * time.Second)
	sent := 0
	for now := 110 * time.Second; now <= 111*time.Second; now += slotSpan {
		if b.advance(now); b.isDue(12345) {
			sent++
		}
	}
	if sent != 2 { // at once, and in its slot of the interval that begins
		t.Errorf("%d datagrams", sent)
	}
}

// TestAddressBook: addresses are learnt, change, and go; none is lost with another.
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
			t.Fatalf("%d entries, %d in the index, not %d", len(book.entries), len(book.index), len(want))
		}
		for id, address := range want {
			if book.address(id) != address.String() {
				t.Fatalf("%d is at %q, not %s", id, book.address(id), address)
			}
		}
	}
	if book.address(1000) != "" {
		t.Error("a member that never was")
	}
}

// TestPacer: the first tick comes within the interval, and the others an interval apart.
func TestPacer(t *testing.T) {
	const interval = 20 * time.Millisecond
	p := newPacer(interval)
	defer p.stop()
	for range 3 {
		select {
		case <-p.C:
			p.ticked()
		case <-time.After(10 * time.Second):
			t.Fatal("no tick")
		}
	}
	if !p.started || p.interval != interval {
		t.Errorf("the pacer is %+v", p)
	}
}
