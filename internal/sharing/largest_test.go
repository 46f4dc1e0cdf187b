package sharing

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"chalkferry/internal/aggregation"
)

const maxU64 = math.MaxUint64

var longName = strings.Repeat("r", aggregation.MaxNameBytes)

// TestLargestMessages: a message with the largest value in each field and the largest number of entries that package
// aggregation puts into it fits into a datagram.
func TestLargestMessages(t *testing.T) {
	member, aggregator := largestState(t)
	report, sum, digest, heartbeat := member.Report(0), aggregator.RegionSum(0), aggregator.Digest(0), aggregator.Heartbeat(0)
	report.Member, report.Incarnation, report.Number, report.Since = maxU64, maxU64, maxU64, maxU64
	report.Keys, report.Slack, report.Subscribe = math.MaxUint32, maxU64, maxU64
	sum.Aggregator, sum.Incarnation, sum.Number, sum.Since = maxU64, maxU64, maxU64, maxU64
	sum.Members, sum.Heard, sum.Age, sum.Slack = math.MaxUint32, 1.0/3, math.MaxInt64, maxU64
	sum.Fading, sum.Keys = maxU64, math.MaxUint32
	fillDigest := func(d *aggregation.Digest) {
		d.Aggregator, d.Incarnation, d.Number, d.Since = maxU64, maxU64, maxU64, maxU64
		d.Heartbeat, d.Keys, d.Slack = maxU64, math.MaxUint32, maxU64
		for i := range d.Regions {
			d.Regions[i] = aggregation.RegionState{Region: longName, Source: maxU64, Members: math.MaxUint32,
				Heard: 1.0 / 3, Weight: 1.0 / 3, Age: math.MaxInt64, Slack: maxU64, Fading: maxU64}
		}
	}
	fillDigest(&digest)
	fillDigest(&heartbeat)
	for name, c := range map[string]struct {
		content message
		entries []aggregation.Entry
	}{
		"report": {report, report.Entries}, "region sum": {sum, sum.Entries}, "digest": {digest, digest.Entries},
		"heartbeat": {heartbeat, nil},
		"refusal":   {aggregation.Refusal{Aggregator: maxU64, Member: maxU64, Incarnation: maxU64}, nil},
	} {
		datagram, err := encode(c.content)
		if err != nil {
			t.Errorf("%s with %d entries: %v", name, len(c.entries), err)
			continue
		}
		t.Logf("%s: %d entries, %d bytes", name, len(c.entries), len(datagram))
		if c.entries != nil && len(datagram) < maxDatagramBytes/2 {
			t.Errorf("%s: only %d bytes, so this is not the largest", name, len(datagram))
		}
		if received, err := decode(datagram); err != nil || !reflect.DeepEqual(received, c.content) {
			t.Errorf("%s: decoded as %+v: %v", name, received, err)
		}
	}
}

// largestState returns a member with more keys than fit into a datagram, and an aggregator that has received them and
// has the largest number of regions.
func largestState(t *testing.T) (*aggregation.Member, *aggregation.Aggregator) {
	t.Helper()
	const keys = 500
	member, err := aggregation.NewMember(0, aggregation.MemberConfig{ID: maxU64, Region: longName, Zone: longName,
		Incarnation: maxU64, Aggregators: []aggregation.AggregatorID{maxU64}, MaxKeys: keys, ChangeShare: 0.1,
		Freshness: time.Second, Decay: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(keys) {
		member.Set(aggregation.Key{Kind: aggregation.ByServer, ID: maxU64 - i}, 1<<40)
	}
	config := aggregation.AggregatorConfig{ID: maxU64, Region: longName, Incarnation: maxU64, MaxMembers: 1,
		MaxKeys: keys, MaxMemberKeys: keys, ChangeShare: 0.1, Freshness: time.Second, Decay: time.Second}
	for i := range aggregation.MaxRegions - 1 {
		region := strings.Repeat(string(rune('a'+i)), aggregation.MaxNameBytes)
		config.Peers = append(config.Peers, aggregation.Peer{ID: aggregation.AggregatorID(i + 1), Region: region})
	}
	aggregator, err := aggregation.NewAggregator(0, config)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if outcome, _ := aggregator.ReceiveReport(0, member.Report(0)); outcome != aggregation.Accepted {
			t.Fatalf("outcome of a report: %v", outcome)
		}
	}
	return member, aggregator
}
