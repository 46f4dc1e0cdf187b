package sharing

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
)

// TestDigestAsMade: a digest that is sent later in its interval keeps the head from the time when its entries were made,
// except for the ages. With a newer head it would claim that all members are heard, although the entries lack those of
// the latest member.
func TestDigestAsMade(t *testing.T) {
	config := DefaultAggregatorConfig()
	config.Name, config.Region, config.Listen = "west-a", "west", loopback
	state, err := newAggregatorState(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	end, err := listen(loopback, 8, newDropLog(zerolog.Nop(), time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer end.conn.Close()
	go end.read()
	a := &Aggregator{config: config, log: zerolog.Nop(), state: state, endpoint: end, members: newAddressBook(),
		digests: newBroadcast(config.DigestInterval), heartbeats: newBroadcast(config.HeartbeatInterval)}
	const later = 100 * time.Millisecond
	subscriber := aggregation.MemberID(later) // an ID whose instant in the interval is later
	report := func(now time.Duration, member aggregation.MemberID) {
		outcome, _ := state.ReceiveReport(now, aggregation.Report{Member: member, Incarnation: 1, Number: 1, Zone: "west-1",
			Keys: 1, Subscribe: aggregatorID("west-a"), Entries: []aggregation.Entry{{Kind: aggregation.ByServer, ID: 1, Value: 3}}})
		if outcome != aggregation.Accepted {
			t.Fatalf("outcome of a report: %v", outcome)
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
			t.Errorf("digest with the entries of one member: %+v", digest)
		}
	case <-time.After(waitLimit):
		t.Fatalf("no digest within %v", waitLimit)
	}
}
