package fleet

import (
	"math"
	"testing"
	"time"
)

func judges(t *testing.T, n int) (all []*Judgements) {
	for me := range MemberID(n) {
		j, err := NewJudgements(me, n, 1, 10*sec, 0.3, 50)
		if err != nil {
			t.Fatal(err)
		}
		j.Listed(7, 1)
		all = append(all, j)
	}
	return all
}

// TestWitnesses: one member whose judgements are all wrong closes no server for others; a share of independent ones
// does; two that say the opposite are heard each for itself; words fade, and one taken back is gone at once.
func TestWitnesses(t *testing.T) {
	all := judges(t, 10)
	at := all[9]
	near := func(what string, now time.Duration, want float64) {
		t.Helper()
		if o := at.Of(now, 7, Late, 10); math.Abs(o.Weight-want) > 1e-9 {
			t.Errorf("%s: %+v, not %v", what, o, want)
		}
	}
	var words []Judgement
	for i, j := range all[:3] {
		word, ok := j.See(0, 7, Late, 4, false)
		if !ok {
			t.Fatalf("member %d has no word", i)
		}
		words = append(words, word)
	}
	for range 20 { // again and again
		at.Hear(0, words[0])
	}
	near("one witness of ten", 0, 1.0/3)
	at.Hear(0, words[1])
	at.Hear(0, words[2])
	near("three", 0, 1)
	near("three, half faded", 5*sec, 0.5)
	over, _ := all[0].See(sec, 7, Late, 4, true)
	at.Hear(sec, over)
	at.Hear(sec, words[0])
	near("one has taken it back, its old word comes again", sec, 2*0.9/3)
	near("all faded", 11*sec, 0)
	if o := at.Of(0, 7, Failing, 10); o.Weight != 0 || o.Witnesses != 0 {
		t.Errorf("another verdict: %+v", o)
	}
}

// TestStarts: a judgement dies with the start that it is of, whenever its words come; a drain holds for its start,
// whoever takes it back; one of a start not listed yet is passed over.
func TestStarts(t *testing.T) {
	all := judges(t, 4)
	a, b := all[0], all[1]
	late, _ := a.See(0, 7, Late, 1, false)
	drain, _ := a.See(0, 7, Draining, 1, false)
	b.Hear(0, late)
	b.Hear(0, drain)
	if o := b.Of(sec, 7, Draining, 4); o.Weight != 1 {
		t.Errorf("a drain told by a peer: %+v", o)
	}
	undrained, _ := a.See(sec, 7, Draining, 1, true)
	b.Hear(sec, undrained)
	b.Listed(7, 1)
	if o := b.Of(100*sec, 7, Draining, 4); o.Weight != 1 {
		t.Errorf("a drain that was taken back: %+v", o)
	}
	b.Listed(7, 2)
	for _, word := range []Judgement{late, drain, undrained} {
		if b.Hear(2*sec, word) {
			t.Errorf("of the start before: %+v", word)
		}
	}
	if late, drains := b.Of(2*sec, 7, Late, 4), b.Of(2*sec, 7, Draining, 4); late.Weight != 0 || drains.Weight != 0 {
		t.Errorf("the new start is judged: %+v, %+v", late, drains)
	}
	all[2].Listed(7, 2)
	early, _ := all[2].See(2*sec, 7, Late, 1, false)
	if all[3].Hear(2*sec, early) {
		t.Error("of a start that is not listed yet")
	}
	if all[3].Listed(7, 2); !all[3].Hear(2*sec, early) {
		t.Error("the same, listed")
	}
	b.Gone(7)
	if b.Hear(2*sec, early) {
		t.Error("of a server that is gone")
	}
}

// TestOldWords: a word from yesterday, played again as if it were new, and words of a process that is no more, count
// for nothing; endless words cost what is kept and no more.
func TestOldWords(t *testing.T) {
	all := judges(t, 4)
	a, b := all[0], all[1]
	yesterday, _ := a.See(0, 7, Late, 1, false)
	b.Hear(0, yesterday)
	for now := sec; now < 40*sec; now += sec {
		word, _ := a.See(now, 7, Full, 1, false)
		b.Hear(now, word)
	}
	if b.Hear(40*sec, yesterday) || b.Of(40*sec, 7, Late, 2).Weight != 0 {
		t.Error("yesterday's word counts")
	}
	anew, _ := NewJudgements(0, 4, 2, 10*sec, 0.3, 50)
	anew.Listed(7, 1)
	word, _ := anew.See(40*sec, 7, Failing, 1, false)
	b.Hear(40*sec, word)
	if b.Of(40*sec, 7, Full, 2).Weight != 0 {
		t.Error("words of the process before outlive it")
	}
	if late, _ := a.See(40*sec, 7, Full, 1, false); b.Hear(40*sec, late) {
		t.Error("a process that is no more is heard")
	}
	for server := ServerID(100); server < 1100; server++ {
		b.Listed(server, 1)
		b.Hear(41*sec, Judgement{Of: server, Start: 1, Verdict: Late, By: 2, Process: 1, Number: uint64(server)})
	}
	if len(b.kept) != 50 {
		t.Errorf("%d words kept of 50", len(b.kept))
	}
	if words := b.Tell(41*sec, 20); len(words) != 20 || words[0].Age < 0 {
		t.Errorf("tells %d words of 20", len(words))
	}
	for _, word := range []Judgement{{}, {Of: 7, Start: 1, Verdict: Late, By: 4}, {Of: 7, Start: 1, Verdict: Late, By: 1},
		{Of: 7, Start: 1, Verdict: 9, By: 2}, {Of: 7, Start: 1, Verdict: Late, By: 2, Process: 1, Number: 2000, Age: -1}} {
		if b.Hear(41*sec, word) {
			t.Errorf("%+v is news", word)
		}
	}
}
