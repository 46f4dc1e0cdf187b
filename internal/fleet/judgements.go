package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// ServerID is a server's, as in the list.
type ServerID uint64

// Verdict is what a member says of a server.
type Verdict uint8

const (
	Late Verdict = iota + 1
	Failing
	Full
	SendsAway
	Draining // once told, it holds for this start of the server
)

// Start tells a server's starts apart: the time of it that the list tells, in any unit that grows.
type Start int64

// Judgement is one member's word on one start of a server.
type Judgement struct {
	Of       ServerID
	Start    Start
	Verdict  Verdict
	By       MemberID
	Process  Incarnation
	Sessions uint32 // on which it was seen
	Number   uint64 // of this process's judgements: a later one takes the place of all before it on the same
	Age      time.Duration
	Over     bool // it is taken back
}

// Opinion is what the fleet holds of a server.
type Opinion struct {
	Weight    float64       // 0 to 1: 1 once enough witnesses agree
	Witnesses int           // who count in full or in part
	Age       time.Duration // of the latest
}

// Judgements combine what members saw, so that no single one closes a server for all: a witness alone counts in part,
// the more the fewer there are who could see anything, and each word fades.
type Judgements struct {
	me       MemberID
	members  int
	process  Incarnation
	fade     time.Duration
	share    float64
	most     int
	number   uint64
	kept     []kept // in the order of server, verdict and witness
	starts   []startOf
	heard    []numbers // of each member
	tellFrom int
}

// numbers tell words that are older than any that counts, whatever age they come with.
type numbers struct {
	process   Incarnation
	stale     uint64 // and all before: heard longer ago than a word lasts, or told before such a one
	then, now uint64 // the highest heard up to since, and by now
	since     time.Duration
}

type kept struct {
	Judgement
	asOf time.Duration // by this process's clock
}

type startOf struct {
	server  ServerID
	start   Start
	drained bool
}

// NewJudgements makes the judgements of one process. A word fades evenly to nothing over the span fade; a server
// counts as judged once the witnesses are the share of those who hold sessions there, and two at least where there
// are two. At most so many words are kept: more are passed over until others have faded. The error tells which
// argument can't be.
func NewJudgements(me MemberID, members int, process Incarnation, fade time.Duration, share float64, most int) (*Judgements, error) {
	switch {
	case members < 1 || me < 0 || int(me) >= members:
		return nil, fmt.Errorf("member %d of %d", me, members)
	case fade <= 0 || !(share > 0 && share <= 1) || most < 1:
		return nil, fmt.Errorf("fading %v, a share of %v, %d words", fade, share, most)
	}
	j := &Judgements{me: me, members: members, process: process, fade: fade, share: share, most: most,
		heard: make([]numbers, members)}
	return j, nil
}

// Listed takes what the list tells of a server's start. A later start ends all that was said of earlier ones.
func (j *Judgements) Listed(server ServerID, start Start) {
	at, known := j.start(server)
	switch {
	case !known:
		j.starts = slices.Insert(j.starts, at, startOf{server: server, start: start})
	case start > j.starts[at].start:
		j.starts[at] = startOf{server: server, start: start}
	default:
		return
	}
	j.kept = slices.DeleteFunc(j.kept, func(k kept) bool { return k.Of == server && k.Start < start })
}

// Gone forgets a server that the list has no more.
func (j *Judgements) Gone(server ServerID) {
	if at, known := j.start(server); known {
		j.starts = slices.Delete(j.starts, at, at+1)
	}
	j.kept = slices.DeleteFunc(j.kept, func(k kept) bool { return k.Of == server })
}

// See notes what this process saw itself, or takes it back, and returns the word for others; none on a server that
// is not listed.
func (j *Judgements) See(now time.Duration, server ServerID, verdict Verdict, sessions uint32, isOver bool) (word Judgement, ok bool) {
	at, known := j.start(server)
	if !known || verdict < Late || verdict > Draining {
		return Judgement{}, false
	}
	j.number++
	word = Judgement{Of: server, Start: j.starts[at].start, Verdict: verdict, By: j.me, Process: j.process,
		Sessions: sessions, Number: j.number, Over: isOver && verdict != Draining}
	return word, j.keep(now, word)
}

// Hear takes another's word, at first hand or passed on with its age. It tells whether it was new: of a start that
// the list has not told yet it is passed over, and comes again.
func (j *Judgements) Hear(now time.Duration, word Judgement) (news bool) {
	if word.By < 0 || int(word.By) >= j.members || word.By == j.me || word.Age < 0 || word.Verdict < Late ||
		word.Verdict > Draining || word.Process < j.heard[word.By].process {
		return false
	}
	at, known := j.start(word.Of)
	if !known || word.Start != j.starts[at].start {
		return false
	}
	from := &j.heard[word.By]
	if word.Process > from.process { // what its process before saw is nobody's word any more, but for drains
		*from = numbers{process: word.Process, since: now}
		j.kept = slices.DeleteFunc(j.kept, func(k kept) bool { return k.By == word.By && k.Process < word.Process })
	}
	if now-from.since >= j.fade {
		from.stale, from.then, from.since = from.then, from.now, now
	}
	from.now = max(from.now, word.Number)
	return (word.Number > from.stale || word.Verdict == Draining) && j.keep(now, word)
}

func (j *Judgements) keep(now time.Duration, word Judgement) bool {
	if word.Verdict == Draining {
		at, _ := j.start(word.Of)
		news := !j.starts[at].drained
		j.starts[at].drained = true
		return news
	}
	if word.Age >= j.fade {
		return false
	}
	at, known := slices.BinarySearchFunc(j.kept, word, func(k kept, word Judgement) int {
		return cmp.Or(cmp.Compare(k.Of, word.Of), cmp.Compare(k.Verdict, word.Verdict), cmp.Compare(k.By, word.By))
	})
	switch {
	case known && word.Number <= j.kept[at].Number:
		return false
	case known:
		j.kept[at] = kept{word, now - word.Age}
		return true
	case len(j.kept) >= j.most:
		if j.forget(now); len(j.kept) >= j.most {
			return false
		}
		return j.keep(now, word)
	}
	j.kept = slices.Insert(j.kept, at, kept{word, now - word.Age})
	return true
}

// Of is what the fleet holds of a server where so many members have sessions there, as far as is known; this one's
// own sight counts like another's, the caller weighs it beside.
func (j *Judgements) Of(now time.Duration, server ServerID, verdict Verdict, holders int) (o Opinion) {
	if at, known := j.start(server); known && verdict == Draining && j.starts[at].drained {
		return Opinion{Weight: 1}
	}
	needed := max(j.share*float64(holders), 2)
	if j.members == 1 {
		needed = 1
	}
	o.Age = j.fade
	for i := range j.kept {
		k := &j.kept[i]
		if age := now - k.asOf; k.Of == server && k.Verdict == verdict && !k.Over && age < j.fade {
			o.Witnesses++
			o.Weight += (1 - float64(age)/float64(j.fade)) / needed
			o.Age = min(o.Age, age)
		}
	}
	o.Weight = min(o.Weight, 1)
	return o
}

// Tell returns up to n words to tell again, own and others', in turn, as any may be lost; each with its age.
func (j *Judgements) Tell(now time.Duration, n int) (words []Judgement) {
	j.forget(now)
	for range min(n, len(j.kept)) {
		j.tellFrom = (j.tellFrom + 1) % len(j.kept)
		word := j.kept[j.tellFrom].Judgement
		word.Age = now - j.kept[j.tellFrom].asOf
		words = append(words, word)
	}
	return words
}

// forget drops what has faded. A word that was taken back stays as long, so that an older one does not come again.
func (j *Judgements) forget(now time.Duration) {
	j.kept = slices.DeleteFunc(j.kept, func(k kept) bool { return now-k.asOf >= j.fade })
}

func (j *Judgements) start(server ServerID) (at int, known bool) {
	return slices.BinarySearchFunc(j.starts, server, func(s startOf, id ServerID) int { return cmp.Compare(s.server, id) })
}
