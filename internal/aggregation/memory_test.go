package aggregation

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
)

// heapBytes returns the bytes in use after a collection.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func largeMember(t testing.TB, id MemberID) *Member {
	t.Helper()
	m, err := NewMember(0, MemberConfig{
		ID: id, Region: "region0", Zone: "zone0", Incarnation: 1, Aggregators: []AggregatorID{1, 2}, MaxKeys: 16_384,
		ChangeShare: 0.1, Freshness: testFreshness, Decay: testDecay,
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func largeAggregator(t testing.TB, id AggregatorID) *Aggregator {
	t.Helper()
	var peers []Peer
	for i := range AggregatorID(6) {
		if i+1 != id {
			peers = append(peers, Peer{i + 1, fmt.Sprint("region", i/2)})
		}
	}
	a, err := NewAggregator(0, AggregatorConfig{
		ID: id, Region: fmt.Sprint("region", (id-1)/2), Incarnation: 1, Peers: peers,
		MaxMembers: 6000, MaxKeys: 32_768, MaxMemberKeys: 16_384,
		ChangeShare: 0.1, Freshness: testFreshness, Decay: testDecay,
	})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// hashedKeys are like names of servers: their IDs are hashes.
func hashedKeys(n int) (keys []Key) {
	random := rand.New(rand.NewSource(1))
	for range n {
		keys = append(keys, Key{ByServer, random.Uint64()})
	}
	return keys
}

func fillMember(m *Member, keys []Key, random *rand.Rand) {
	for _, key := range keys {
		m.Set(key, uint64(1+random.Intn(40)))
	}
}

// fillAggregator lets members report all their keys.
func fillAggregator(t testing.TB, a *Aggregator, members int, keys []Key) {
	t.Helper()
	random := rand.New(rand.NewSource(2))
	for id := range members {
		m := largeMember(t, MemberID(id))
		fillMember(m, keys, random)
		for m.own.turn < 2 {
			a.ReceiveReport(0, m.Report(0))
		}
	}
}

// fillDigests lets a member have all sums of an aggregator.
func fillDigests(m *Member, a *Aggregator) {
	source := m.source(a.config.ID)
	for source.table.highest == 0 || source.table.complete() < 1 {
		m.ReceiveDigest(0, a.Digest(0))
	}
}

// TestMemberMemory: a member with 10,000 own keys and 10,000 sums of the fleet takes less than 2 MB: of the same keys from
// both aggregators, as while it changes from one to the other, and of other keys from one.
func TestMemberMemory(t *testing.T) {
	keys := hashedKeys(20_000)
	for _, fleet := range []struct {
		keys        []Key
		aggregators AggregatorID
	}{{keys[:10_000], 2}, {keys[10_000:], 1}} {
		var aggregators []*Aggregator
		for id := range fleet.aggregators {
			a := largeAggregator(t, id+1)
			fillAggregator(t, a, 1, fleet.keys)
			a.Digest(0) // its own tables are not the member's
			aggregators = append(aggregators, a)
		}
		before := heapBytes()
		m := largeMember(t, 7)
		fillMember(m, keys[:10_000], rand.New(rand.NewSource(3)))
		m.Report(0)
		for _, a := range aggregators {
			fillDigests(m, a)
		}
		used := heapBytes() - before
		t.Logf("%.0f bytes", used)
		if used > 2_000_000 {
			t.Errorf("a member takes %.0f bytes", used)
		}
		runtime.KeepAlive(m)
		runtime.KeepAlive(aggregators)
	}
}

// TestAggregatorMemory: an aggregator takes less than 16 bytes for each key of each member.
func TestAggregatorMemory(t *testing.T) {
	const members, keys = 200, 1000
	names := hashedKeys(keys)
	before := heapBytes()
	a := largeAggregator(t, 1)
	fillAggregator(t, a, members, names)
	used := (heapBytes() - before) / (members * keys)
	t.Logf("%.1f bytes", used)
	if used > 16 {
		t.Errorf("%.1f bytes for each key of each member", used)
	}
	runtime.KeepAlive(a)
	runtime.KeepAlive(names)
}
