package counts

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 1, 21, 4, 0, 0, time.UTC)

func line(at float64, rest string) string {
	when := start.Add(time.Duration(at * float64(time.Second))).Format("2006-01-02T15:04:05.000Z")
	return fmt.Sprintf("%.3f {%s,\"time\":%q}\n", at, rest, when)
}

// TestCounts makes logs of a fleet by chance and holds the counts against what went in.
func TestCounts(t *testing.T) {
	for seed := range int64(20) {
		chance := rand.New(rand.NewSource(seed))
		logs := make([]string, 40)
		for i := range logs {
			logs[i] = line(0, `"message":"serving"`)
		}
		logs[0] += line(29.9, `"message":"leaving"`) // the end of the table
		want := map[string][]int{}
		note := func(kind string, at float64) {
			if want[kind] == nil {
				want[kind] = make([]int, 30)
			}
			want[kind][int(at)]++
		}
		for range 500 {
			i, at := chance.Intn(len(logs)), float64(chance.Intn(29000))/1000+0.5
			switch chance.Intn(4) {
			case 0:
				logs[i] += line(at, `"side":"client","id":"a","reason":"refused","ms":0,"returned":true`)
				note("came", at)
				note("returned", at)
				note("refused", at)
			case 1:
				logs[i] += line(at, `"side":"server","server":"s-1","id":"a","reason":"unanswered","ms":250`)
				note("unanswered", at)
				note("s-1", at-0.25)
			case 2:
				logs[i] += line(at, `"message":"the watch of the list failed","failures":1`)
				note("list failed", at)
			case 3:
				logs[i] += "not a line of ours\n"
			}
		}
		f := New()
		for i, log := range logs {
			if err := f.Add(fmt.Sprint("n", i), strings.NewReader(log)); err != nil {
				t.Fatal(err)
			}
		}
		for kind, counts := range want {
			got := f.Seconds(kind)
			if kind == "s-1" {
				got = f.Dials(kind)
			}
			if !slices.Equal(got, counts) {
				t.Errorf("seed %d: %s %v, want %v", seed, kind, got, counts)
			}
		}
		if f.Skipped != strings.Count(strings.Join(logs, ""), "not a line") {
			t.Errorf("seed %d: %d lines skipped", seed, f.Skipped)
		}
	}
}

// TestLearnt: a proxy that skips a revision has learnt of it with the next; one that has neither is told.
func TestLearnt(t *testing.T) {
	f := New()
	for proxy, log := range map[string]string{
		"n0": line(0, `"message":"serving"`) + line(1, `"message":"list","revision":4`) + line(2, `"message":"list","revision":5`),
		"n1": line(3, `"message":"list","revision":5`),
		"n2": line(1.5, `"message":"list","revision":4`),
	} {
		if err := f.Add(proxy, strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	want := []Lateness{
		{Revision: 4, First: time.Second, Half: time.Second / 2, All: 2 * time.Second},
		{Revision: 5, First: 2 * time.Second, Half: time.Second, All: -1, Never: 1},
	}
	if got := f.Learnt(); !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
