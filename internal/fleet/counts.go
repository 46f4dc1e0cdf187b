package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// CountKind says what is counted.
type CountKind uint8

const (
	ByServer CountKind = iota + 1
	ByTenant
	ByListener
)

// CountKey names one count.
type CountKey struct {
	Kind CountKind `cbor:"0,keyasint"`
	ID   uint64    `cbor:"1,keyasint"`
}

func (k CountKey) String() string { return fmt.Sprintf("%d/%016x", k.Kind, k.ID) }

func (k CountKey) compare(o CountKey) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.ID, o.ID))
}

// Count is what a member has of one key, as of its change of that number.
type Count struct {
	Key     CountKey `cbor:"0,keyasint"`
	Value   uint32   `cbor:"1,keyasint"` // sessions held
	Version uint64   `cbor:"2,keyasint"`
}

// Report is what one member told of its own counts, as old as Age when it is sent. Another member may pass it on.
type Report struct {
	Of          MemberID      `cbor:"0,keyasint"`
	Incarnation Incarnation   `cbor:"1,keyasint"`
	Number      uint64        `cbor:"2,keyasint"` // of the member's reports
	Age         time.Duration `cbor:"3,keyasint"`
	Counts      []Count       `cbor:"4,keyasint"`
}

// Figure is a count over the fleet. What members have that were not heard of lately counts less and less, so Value
// lies below what they hold by at most what the share of 1 - Heard of the fleet holds, and above it by at most what
// was given up since Age by those heard.
type Figure struct {
	Value float64
	Age   time.Duration // of the oldest part that counts
	Heard float64       // share of the configured members that were heard of lately
}

// Counts adds up what the members of a fleet hold. Each member tells its own numbers, so a word that comes twice,
// late or from before a restart changes nothing.
type Counts struct {
	me      MemberID
	lately  time.Duration
	fade    time.Duration
	most    int
	changes uint64
	told    int // of the own counts, the next to tell again
	members []reported
}

type reported struct {
	incarnation Incarnation
	known       bool
	number      uint64        // of its latest report
	asOf        time.Duration // when that was told, by this process's clock
	counts      []Count       // in the order of their keys
}

// NewCounts makes the counts of one process among as many members as are configured. A member counts in full for the
// span lately since it was heard of, and then less, evenly, to nothing after the span fade. No member may have more
// than most keys that are not 0: more are passed over, as they would cost memory without end. The error tells which argument can't be.
func NewCounts(now time.Duration, me MemberID, members int, incarnation Incarnation, lately, fade time.Duration,
	most int) (*Counts, error) {
	switch {
	case members < 1 || me < 0 || int(me) >= members:
		return nil, fmt.Errorf("member %d of %d", me, members)
	case lately <= 0 || fade <= 0 || most < 1:
		return nil, fmt.Errorf("lately %v, fading %v, %d keys", lately, fade, most)
	}
	c := &Counts{me: me, lately: lately, fade: fade, most: most, members: make([]reported, members)}
	c.members[me] = reported{incarnation: incarnation, known: true, asOf: now}
	return c, nil
}

// Set takes this process's own number. One that has fallen to 0 stays told, so that others hear of it.
func (c *Counts) Set(key CountKey, value uint32) {
	own := &c.members[c.me]
	at, known := own.find(key)
	switch {
	case known && own.counts[at].Value == value, !known && (value == 0 || !own.hasRoom(c.most)):
		return
	case !known:
		at, _ = own.find(key)
		own.counts = slices.Insert(own.counts, at, Count{Key: key})
	}
	c.changes++
	own.counts[at].Value, own.counts[at].Version = value, c.changes
}

// Tell returns up to n of the own counts: the latest changes, one in two places for those in turn, as any word may
// be lost.
func (c *Counts) Tell(n int) Report {
	own := &c.members[c.me]
	own.number++
	report := Report{Of: c.me, Incarnation: own.incarnation, Number: own.number}
	if n >= len(own.counts) {
		report.Counts = slices.Clone(own.counts)
		return report
	}
	latest := slices.Clone(own.counts)
	slices.SortFunc(latest, func(a, b Count) int { return cmp.Compare(b.Version, a.Version) })
	report.Counts = latest[:n/2]
	for len(report.Counts) < n {
		c.told = (c.told + 1) % len(own.counts)
		report.Counts = append(report.Counts, own.counts[c.told])
	}
	return report
}

// PassOn returns up to n of what is known of another member, from a key on, for those who do not hear it.
func (c *Counts) PassOn(now time.Duration, of MemberID, from, n int) (report Report, ok bool) {
	if of < 0 || int(of) >= len(c.members) || of == c.me || !c.members[of].known {
		return Report{}, false
	}
	m := &c.members[of]
	from = min(max(from, 0), len(m.counts))
	return Report{of, m.incarnation, m.number, now - m.asOf, slices.Clone(m.counts[from:min(from+n, len(m.counts))])}, true
}

// Hear takes a report. It tells whether anything in it was new.
func (c *Counts) Hear(now time.Duration, r Report) (news bool) {
	if r.Of < 0 || int(r.Of) >= len(c.members) || r.Of == c.me || r.Age < 0 {
		return false
	}
	m := &c.members[r.Of]
	switch {
	case !m.known || r.Incarnation > m.incarnation: // what the process before held went with it
		*m = reported{incarnation: r.Incarnation, known: true, number: r.Number, asOf: now - r.Age}
		news = true
	case r.Incarnation < m.incarnation:
		return false
	case r.Number > m.number: // an old one that comes again must not make a dead member look alive
		m.number, m.asOf, news = r.Number, now-r.Age, true
	}
	for _, count := range r.Counts {
		at, known := m.find(count.Key)
		switch {
		case !known && m.hasRoom(c.most):
			at, _ = m.find(count.Key)
			m.counts = slices.Insert(m.counts, at, count)
			news = true
		case known && count.Version > m.counts[at].Version:
			m.counts[at], news = count, true
		}
	}
	return news
}

// Of adds up one key over the fleet.
func (c *Counts) Of(now time.Duration, key CountKey) (f Figure) {
	for i := range c.members {
		m := &c.members[i]
		weight, age := c.weight(now, MemberID(i))
		if weight == 1 {
			f.Heard += 1 / float64(len(c.members))
		}
		if at, known := m.find(key); known && weight > 0 {
			f.Value += weight * float64(m.counts[at].Value)
			f.Age = max(f.Age, age)
		}
	}
	return f
}

// Keys are all that any member was heard to count, in their order.
func (c *Counts) Keys() (keys []CountKey) {
	for i := range c.members {
		for _, count := range c.members[i].counts {
			keys = append(keys, count.Key)
		}
	}
	slices.SortFunc(keys, CountKey.compare)
	return slices.Compact(keys)
}

// Member tells how long ago a member was heard of, and which of its processes.
func (c *Counts) Member(now time.Duration, of MemberID) (process Incarnation, age time.Duration, known bool) {
	if of < 0 || int(of) >= len(c.members) || !c.members[of].known {
		return 0, 0, false
	}
	_, age = c.weight(now, of)
	return c.members[of].incarnation, age, true
}

func (c *Counts) weight(now time.Duration, of MemberID) (weight float64, age time.Duration) {
	m := &c.members[of]
	switch age = now - m.asOf; {
	case of == c.me:
		return 1, 0
	case !m.known:
		return 0, 0
	case age <= c.lately:
		return 1, age
	}
	return max(0, 1-float64(age-c.lately)/float64(c.fade)), age
}

// hasRoom tells whether one more key may come. It drops the count that has been 0 for longest where there is none:
// servers come and go under new names. Whoever then hears only an old number of that key counts it until the member's
// process ends, so there should be room for several times what a member holds at a time.
func (m *reported) hasRoom(most int) bool {
	if len(m.counts) < most {
		return true
	}
	oldest := -1
	for i, count := range m.counts {
		if count.Value == 0 && (oldest < 0 || count.Version < m.counts[oldest].Version) {
			oldest = i
		}
	}
	if oldest >= 0 {
		m.counts = slices.Delete(m.counts, oldest, oldest+1)
	}
	return oldest >= 0
}

func (m *reported) find(key CountKey) (at int, known bool) {
	return slices.BinarySearchFunc(m.counts, key, func(c Count, key CountKey) int { return c.Key.compare(key) })
}
