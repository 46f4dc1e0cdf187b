package list

import (
	"bufio"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"chalkferry/internal/standin/judge"
)

// Two proxies watch; a drain that is written to one only counts as published to that one, and what discovery does when it
// is late, down, cut and stale is seen by those who ask.
func TestToldAndFaults(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	const grace = 10 * time.Millisecond
	j := judge.New(0, grace, time.Hour, false, []judge.Place{{}, {}})
	l := New(now, j, 0, []Member{{ID: "a", HostPort: "127.0.0.1:1", Phase: "ready"}, {ID: "b", HostPort: "127.0.0.1:2", Phase: "ready"}})
	t.Cleanup(l.Close)
	var endpoints [2]*Endpoint
	for i := range endpoints {
		d, err := l.OpenEndpoint(judge.ProxyID(i), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		endpoints[i] = d
	}
	watch := func(d *Endpoint, after string) (*http.Response, *bufio.Scanner) {
		t.Helper()
		r, err := http.Get("http://" + d.Address + "/api/targets?watch=1&after=" + after)
		if err != nil {
			return nil, nil
		}
		t.Cleanup(func() { r.Body.Close() })
		return r, bufio.NewScanner(r.Body)
	}
	next := func(lines *bufio.Scanner) (a answer) {
		t.Helper()
		for lines.Scan() {
			if len(lines.Bytes()) > 0 {
				if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
					t.Fatal(err)
				}
				return a
			}
		}
		t.Fatal("the watch ended")
		return
	}
	_, lines := watch(endpoints[0], "0")
	if a := next(lines); !a.Complete || len(a.Members) != 2 || a.Revision != 1 {
		t.Fatalf("%+v", a)
	}
	l.Update(0, "draining", "", time.Time{})
	if a := next(lines); a.Complete || len(a.Members) != 1 || a.Members[0].Phase != "draining" || a.Revision != 2 {
		t.Fatalf("%+v", a)
	}
	time.Sleep(5 * grace)
	for proxy := range endpoints { // both dial the node that drains; it was published to the first
		id := judge.SessionID(rune('x' + proxy))
		j.Requested(now(), id, judge.ProxyID(proxy), judge.Terms{DialTimeout: time.Second, Effect: judge.Repeatable})
		j.DialArrived(now(), now(), id, 0, false)
	}
	if found, _ := j.Violations(); len(found) != 1 || found[0].Proxy != 0 || found[0].Rule != judge.DrainIgnored {
		t.Fatalf("%v", found)
	}

	l.SetStale(true)
	_, lines = watch(endpoints[1], "2")
	if a := next(lines); a.Revision >= 2 || !a.Complete {
		t.Errorf("stale: %+v", a)
	}
	l.SetStale(false)
	l.SetDown(true)
	if r, _ := watch(endpoints[1], "2"); r == nil || r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("down: %v", r)
	}
	l.SetDown(false)
	l.SetReset(true)
	if r, _ := watch(endpoints[1], "2"); r != nil {
		t.Errorf("cut: %v", r.Status)
	}
	l.SetReset(false)
	endpoints[1].Close(0)
	if r, _ := watch(endpoints[1], "2"); r != nil {
		t.Errorf("closed: %v", r.Status)
	}
}
