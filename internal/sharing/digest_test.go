package sharing

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
)

// TestDigestAsMade: a digest that goes out later in its interval has the head of when its entries were made, but for
// its ages: with a later head it would say that all members are heard, though the entries lack the last one's.
func TestDigestAsMade(t *testing.T) {
	config := DefaultAggregatorConfig()
	config.Name, config.Region, config.Listen = "west-a", "west", loopback
	state, err := newAggregatorState(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	end, err := listen(loopback, 8, newWarnings(zerolog.Nop(), time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer end.conn.Close()
	go end.read()
	a := &Aggregator{config: config, log: zerolog.Nop(), state: state, endpoint: end, members: newAddressBook(),
		digests: newBroadcast(config.DigestInterval), heartbeats: newBroadcast(config.HeartbeatInterval)}
	const later = 100 * time.Millisecond
	subscriber := aggregation.MemberID(later) // whose instant of the interval that is
	report := func(now time.Duration, member aggregation.MemberID) {
		outcome, _ := state.ReceiveReport(now, aggregation.Report{Member: member, Incarnation: 1, Number: 1, Zone: "west-1",
			Keys: 1, Subscribe: aggregatorID("west-a"), Entries: []aggregation.Entry{{Kind: aggregation.ByServer, ID: 1, Value: 3}}})
		if outcome != aggregation.Accepted {
			t.Fatalf("a report is %v", outcome)
		}
	}
	start := 1000 * config.DigestInterval
	a.digests.advance(start - time.Millisecond)
	a.heartbeats.advance(start - time.Millisecond)
	report(start, subscriber)
	a.members.learn(subscriber, end.address())
	a.sendSlots(start)
	report(start+later/2, subscriber+1)
	a.sendSlots(start + later + time.Millisecond)
	select {
	case d := <-end.received:
		digest, ok := d.content.(aggregation.Digest)
		if !ok || len(digest.Entries) != 1 || len(digest.Regions) != 1 {
			t.Fatalf("received %+v", d.content)
		}
		if region := digest.Regions[0]; digest.Entries[0].Value != 3 || region.Members != 1 || region.Age < later {
			t.Errorf("of one member's entries it says %+v", digest)
		}
	case <-time.After(waitLimit):
		t.Fatal("no digest")
	}
}
