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

// session has about the memory size of a session in a proxy.
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

// serverName returns a name for all servers but 0.
func serverName(at choice.ServerID) (string, bool) { return fmt.Sprintf("server-%05d", at), at != 0 }

type countName struct {
	kind aggregation.Kind
	name string
}

// countAll counts all sessions anew, as a reference for Tally.
func countAll(sessions []*session, nameOf func(choice.ServerID) (string, bool)) map[countName]uint32 {
	held := map[countName]uint32{}
	for _, s := range sessions {
		if name, known := nameOf(s.at); known {
			held[countName{aggregation.ByServer, name}]++
		}
		held[countName{aggregation.ByListener, string(s.opening.Listener)}]++
		if s.opening.Tenant != nil {
			held[countName{aggregation.ByTenant, string(s.opening.Tenant)}]++
		}
	}
	return held
}

// tallyAll does one walk over the sessions.
func tallyAll(tally *Tally, sessions []*session) []SessionCount {
	tally.Begin()
	for _, s := range sessions {
		tally.Add(s.at, &s.opening)
	}
	return tally.Finish(serverName)
}

// TestTally: after sessions start, end, move in the table or change their server between walks, the counts are the same as
// those of countAll.
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
				if len(sessions) > 0 { // the proxy's table fills a gap with its last session, too
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
			got := map[countName]uint32{}
			for _, count := range tallyAll(tally, sessions) {
				if _, isDuplicate := got[countName{count.Kind, count.Name}]; isDuplicate || count.Sessions == 0 {
					t.Fatalf("seed %d step %d: %+v is duplicate or 0", seed, step, count)
				}
				got[countName{count.Kind, count.Name}] = count.Sessions
			}
			if want := countAll(sessions, serverName); !maps.Equal(got, want) {
				t.Fatalf("seed %d step %d: counts %v, want %v", seed, step, got, want)
			}
		}
	}
}

// TestTallyAllocates: a walk over the same sessions as before does not allocate per session.
func TestTallyAllocates(t *testing.T) {
	var sessions []*session
	for number := range 5000 {
		sessions = append(sessions, newSession(t, number, 1+number%50, 20))
	}
	tally := NewTally()
	tallyAll(tally, sessions)
	perWalk := testing.AllocsPerRun(10, func() {
		tally.Begin()
		for _, s := range sessions {
			tally.Add(s.at, &s.opening)
		}
		tally.Finish(func(choice.ServerID) (string, bool) { return "one", true })
	})
	if perWalk > 5 {
		t.Errorf("%.0f allocations per walk, want at most 5", perWalk)
	}
}

// proxySessions is the number of sessions of one proxy in a fleet of the intended size.
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

// BenchmarkPublish measures the work of one publication, which a proxy does each second. On the event loop: "walk" (Tally)
// and, for comparison, "count all", the implementation before Tally. On the goroutine that owns the member's state:
// "take".
func BenchmarkPublish(b *testing.B) {
	for _, servers := range []int{500, 10000} {
		sessions := benchmarkSessions(b, servers)
		names := make([]string, servers+1)
		for i := range names {
			names[i], _ = serverName(choice.ServerID(i))
		}
		nameOf := func(at choice.ServerID) (string, bool) { return names[at], true }
		tally := NewTally()
		counts := tallyAll(tally, sessions)
		b.Run(fmt.Sprintf("walk/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tally.Begin()
				for _, s := range sessions {
					tally.Add(s.at, &s.opening)
				}
				counts = tally.Finish(nameOf)
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
			set := newPublishedCounts(defaultMaxMemberKeys)
			b.ReportAllocs()
			for b.Loop() {
				set.publish(counts, func(k aggregation.Key, value uint64) { state.Set(k, value) })
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
