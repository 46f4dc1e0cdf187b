package sharing

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"

	"chalkferry/choice"
	"chalkferry/internal/aggregation"
	"chalkferry/internal/line"
)

// session is one that a proxy holds, as large as there.
type session struct {
	_       [12]uint64
	opening line.Open
	at      choice.ServerID
	_       [10]uint64
}

func newSession(t testing.TB, number, server, tenants int) *session {
	text := fmt.Sprintf("OPEN %016x %016x c=chat%d,d=800", number, number, number%4)
	if number%10 > 0 {
		text += fmt.Sprintf(",t=tenant%03d", number%tenants)
	}
	opening, err := line.ParseOpen([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &session{opening: opening, at: choice.ServerID(server)}
}

// serverName is known for all servers but 0.
func serverName(at choice.ServerID) (string, bool) { return fmt.Sprintf("server-%05d", at), at != 0 }

type factName struct {
	kind aggregation.Kind
	name string
}

// countAll counts the sessions one by one, without what was counted before.
func countAll(sessions []*session, nameOf func(choice.ServerID) (string, bool)) map[factName]uint32 {
	held := map[factName]uint32{}
	for _, s := range sessions {
		if name, known := nameOf(s.at); known {
			held[factName{aggregation.ByServer, name}]++
		}
		held[factName{aggregation.ByListener, string(s.opening.Listener)}]++
		if s.opening.Tenant != nil {
			held[factName{aggregation.ByTenant, string(s.opening.Tenant)}]++
		}
	}
	return held
}

func walk(tally *Tally, sessions []*session) []Fact {
	tally.Begin()
	for _, s := range sessions {
		tally.Session(s.at, &s.opening)
	}
	return tally.Facts(serverName)
}

// TestTally: whatever sessions come, end, move in the table or change their server between two walks, the facts are
// those that counting all of them gives.
func TestTally(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		tally := NewTally()
		var sessions []*session
		number := 0
		for step := range 60 {
			for range random.Intn(40) {
				sessions = append(sessions, newSession(t, number, random.Intn(8), 5))
				number++
			}
			for range random.Intn(45) {
				if len(sessions) > 0 { // the table fills a gap with its last session
					at, last := random.Intn(len(sessions)), len(sessions)-1
					sessions[at] = sessions[last]
					sessions = sessions[:last]
				}
			}
			if step%7 == 0 {
				random.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
			}
			if step%5 == 0 && len(sessions) > 0 {
				sessions[0].at = choice.ServerID(random.Intn(8))
			}
			if step == 40 {
				sessions = nil
			}
			got := map[factName]uint32{}
			for _, fact := range walk(tally, sessions) {
				if _, isDouble := got[factName{fact.Kind, fact.Name}]; isDouble || fact.Held == 0 {
					t.Fatalf("seed %d step %d: %+v is there twice or 0", seed, step, fact)
				}
				got[factName{fact.Kind, fact.Name}] = fact.Held
			}
			if want := countAll(sessions, serverName); !maps.Equal(got, want) {
				t.Fatalf("seed %d step %d: %v, not %v", seed, step, got, want)
			}
		}
	}
}

// TestTallyAllocates: a walk over sessions that were there before allocates nothing for each of them.
func TestTallyAllocates(t *testing.T) {
	var sessions []*session
	for number := range 5000 {
		sessions = append(sessions, newSession(t, number, 1+number%50, 20))
	}
	tally := NewTally()
	walk(tally, sessions)
	perWalk := testing.AllocsPerRun(10, func() {
		tally.Begin()
		for _, s := range sessions {
			tally.Session(s.at, &s.opening)
		}
		tally.Facts(func(choice.ServerID) (string, bool) { return "one", true })
	})
	if perWalk > 5 {
		t.Errorf("%.0f allocations in a walk", perWalk)
	}
}

// proxySessions is what a proxy holds at the fleet's size.
const proxySessions = 85500

func benchmarkSessions(b *testing.B, servers int) []*session {
	random := rand.New(rand.NewSource(1))
	var sessions []*session
	for number := range proxySessions {
		sessions = append(sessions, newSession(b, number, 1+random.Intn(servers), 100))
	}
	random.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
	return sessions
}

// BenchmarkPublish is what a publication costs a proxy each second: "walk" and "count all" on the event loop (the
// first is used, the second was before), "take" on the goroutine that owns the member's state.
func BenchmarkPublish(b *testing.B) {
	for _, servers := range []int{500, 10000} {
		sessions := benchmarkSessions(b, servers)
		names := make([]string, servers+1)
		for i := range names {
			names[i], _ = serverName(choice.ServerID(i))
		}
		nameOf := func(at choice.ServerID) (string, bool) { return names[at], true }
		tally := NewTally()
		facts := walk(tally, sessions)
		b.Run(fmt.Sprintf("walk/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tally.Begin()
				for _, s := range sessions {
					tally.Session(s.at, &s.opening)
				}
				facts = tally.Facts(nameOf)
			}
		})
		b.Run(fmt.Sprintf("count all/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				countAll(sessions, nameOf)
			}
		})
		b.Run(fmt.Sprintf("take/servers=%d", servers), func(b *testing.B) {
			state, err := newMemberState(benchmarkMember())
			if err != nil {
				b.Fatal(err)
			}
			set := newFactSet(defaultMemberKeys)
			b.ReportAllocs()
			for b.Loop() {
				set.publish(facts, func(k aggregation.Key, value uint64) { state.Set(k, value) })
			}
		})
	}
}

func benchmarkMember() MemberConfig {
	config := DefaultMemberConfig()
	config.Name, config.Region, config.Zone = "member", "west", "west-1"
	config.Aggregators = []AggregatorAddress{{Name: "west-a"}}
	return config
}
