package fleet

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestCounts drives fleets by chance: reports lost, doubled, late, passed on by others, cuts, restarts. A view never has
// of a member what that member did not have in that incarnation, and once the faults are over all views agree.
func TestCounts(t *testing.T) {
	const lately, fade, keys = 2 * sec, 4 * sec, 30
	for seed := range int64(30) {
		chance := rand.New(rand.NewSource(seed))
		n := 2 + chance.Intn(8)
		views := make([]*Counts, n)
		type had struct {
			incarnation Incarnation
			count       Count
		}
		ever := make([]map[had]bool, n)
		holds := make([][keys]uint32, n)
		incarnations := make([]Incarnation, n)
		now := time.Duration(0)
		start := func(i int) {
			var err error
			incarnations[i]++
			if views[i], err = NewCounts(now, MemberID(i), n, incarnations[i], lately, fade, keys); err != nil {
				t.Fatal(err)
			}
			holds[i] = [keys]uint32{}
		}
		for i := range n {
			ever[i] = map[had]bool{}
			start(i)
		}
		type word struct {
			at time.Duration
			to int
			Report
		}
		var words []word
		cut := 0
		send := func(from int, r Report, faults bool) {
			for to := range n {
				if faults && (chance.Intn(4) == 0 || (to < cut) != (from < cut)) {
					continue
				}
				for range 1 + chance.Intn(2) {
					late := time.Duration(0)
					if faults {
						late = time.Duration(chance.Int63n(int64(6 * sec)))
					}
					words = append(words, word{now + late, to, r})
				}
			}
		}
		for step := range 3000 {
			now += time.Duration(chance.Int63n(int64(20 * time.Millisecond)))
			faults := step < 2000
			i := chance.Intn(n)
			switch k := chance.Intn(100); {
			case k < 40 && faults:
				key := chance.Intn(keys)
				holds[i][key] = uint32(chance.Intn(5))
				views[i].Set(CountKey{ByServer, uint64(key)}, holds[i][key])
				for _, c := range views[i].members[i].counts {
					ever[i][had{incarnations[i], c}] = true
				}
			case k == 40 && faults:
				start(i)
			case k == 41 && faults:
				cut = chance.Intn(n)
			case k < 80:
				send(i, views[i].Tell(8), faults)
			default:
				if r, ok := views[i].PassOn(now, MemberID(chance.Intn(n)), chance.Intn(keys), 8); ok {
					send(i, r, faults)
				}
			}
			for j := 0; j < len(words); j++ {
				if w := words[j]; w.at <= now {
					words[j] = words[len(words)-1]
					words = words[:len(words)-1]
					j--
					views[w.to].Hear(now, w.Report)
				}
			}
			for of, m := range views[i].members {
				for _, c := range m.counts {
					if !ever[of][had{m.incarnation, c}] {
						t.Fatalf("seed %d step %d: member %d has %+v of %d, which that never had", seed, step, i, c, of)
					}
				}
			}
		}
		for i, v := range views {
			for key := range keys {
				truth := 0.0
				for of := range n {
					truth += float64(holds[of][key])
				}
				if f := v.Of(now, CountKey{ByServer, uint64(key)}); f.Value != truth || f.Heard < 0.999 || f.Age > lately {
					t.Errorf("seed %d: member %d has %+v of %d, not %v", seed, i, f, key, truth)
				}
			}
		}
	}
}

// TestCountsFade: what a member held that is heard of no more counts in full for a while, then less, then nothing, and
// a process that comes back under its name begins with nothing.
func TestCountsFade(t *testing.T) {
	key := CountKey{ByTenant, 3}
	a, _ := NewCounts(0, 0, 2, 1, 2*sec, 4*sec, 9)
	b, _ := NewCounts(0, 1, 2, 1, 2*sec, 4*sec, 9)
	a.Set(key, 5)
	b.Set(key, 10)
	old := b.Tell(9)
	a.Hear(0, old)
	for after, want := range map[time.Duration]Figure{
		0:       {15, 0, 1},
		2 * sec: {15, 2 * sec, 1},
		4 * sec: {10, 4 * sec, 0.5},
		6 * sec: {5, 0, 0.5},
	} {
		if f := a.Of(after, key); math.Abs(f.Value-want.Value) > 1e-9 || f.Age != want.Age || f.Heard != want.Heard {
			t.Errorf("after %v: %+v, not %+v", after, f, want)
		}
	}
	if a.Hear(7*sec, old) || a.Of(7*sec, key).Value != 5 {
		t.Error("an old report that comes again counts anew")
	}
	b, _ = NewCounts(8*sec, 1, 2, 2, 2*sec, 4*sec, 9)
	b.Set(key, 1)
	if a.Hear(8*sec, b.Tell(9)); a.Of(8*sec, key).Value != 6 {
		t.Errorf("after a restart %+v", a.Of(8*sec, key))
	}
	if a.Hear(8*sec, old) || a.Of(8*sec, key).Value != 6 {
		t.Error("a report of the process before counts")
	}
	for id := range uint64(1000) { // words without end
		a.Hear(8*sec, Report{Of: 1, Incarnation: 2, Number: 1, Counts: []Count{{CountKey{ByServer, id}, 1, 1}}})
	}
	if n := len(a.members[1].counts); n != 9 {
		t.Errorf("%d keys of 9", n)
	}
	for id := range uint64(20) { // servers come and go under new names
		b.Set(CountKey{ByServer, id}, 3)
		b.Set(CountKey{ByServer, id}, 0)
	}
	b.Set(CountKey{ByServer, 99}, 4)
	if at, known := b.members[1].find(CountKey{ByServer, 99}); !known || b.members[1].counts[at].Value != 4 || len(b.members[1].counts) != 9 {
		t.Errorf("no room for a new server: %+v", b.members[1].counts)
	}
	for _, r := range []Report{{Of: -1}, {Of: 2}, {Of: 0, Incarnation: 9}, {Of: 1, Incarnation: 2, Age: -1}} {
		if a.Hear(8*sec, r) {
			t.Errorf("%+v is news", r)
		}
	}
}
