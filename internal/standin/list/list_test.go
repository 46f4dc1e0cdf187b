package list

import (
	"bufio"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"chalkferry/internal/standin/judge"
)

// A drain that is sent to only one of two proxies counts as published to that one alone. The faults stale, down, reset and
// a closed endpoint are visible to a proxy that calls.
func TestToldAndFaults(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	const grace = 10 * time.Millisecond
	j := judge.New(0, grace, time.Hour, false, []judge.Place{{}, {}})
	l := New(now, j, 0, []Member{{ID: "a", HostPort: "127.0.0.1:1", Phase: "ready"}, {ID: "b", HostPort: "127.0.0.1:2", Phase: "ready"}})
	t.Cleanup(l.Close)
	var endpoints [2]*Endpoint
	for i := range endpoints {
		endpoint, err := l.OpenEndpoint(judge.ProxyID(i), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		endpoints[i] = endpoint
	}
	watch := func(endpoint *Endpoint, after string) (*http.Response, *bufio.Scanner) {
		t.Helper()
		r, err := http.Get("http://" + endpoint.Address + "/api/targets?watch=1&after=" + after)
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
		t.Fatalf("answer %+v", a)
	}
	l.Update(0, "draining", "", time.Time{})
	if a := next(lines); a.Complete || len(a.Members) != 1 || a.Members[0].Phase != "draining" || a.Revision != 2 {
		t.Fatalf("answer %+v", a)
	}
	time.Sleep(5 * grace)
	for proxy := range endpoints { // both dial the draining node; the drain was published only to the first
		id := judge.SessionID(rune('x' + proxy))
		j.Requested(now(), id, judge.ProxyID(proxy), judge.Terms{DialTimeout: time.Second, Effect: judge.Repeatable})
		j.DialArrived(now(), now(), id, 0, false)
	}
	if violations, _ := j.Violations(); len(violations) != 1 || violations[0].Proxy != 0 || violations[0].Rule != judge.DrainIgnored {
		t.Fatalf("violations %v, want one of %q by proxy 0", violations, judge.DrainIgnored)
	}

	l.SetStale(true)
	_, lines = watch(endpoints[1], "2")
	if a := next(lines); a.Revision >= 2 || !a.Complete {
		t.Errorf("stale list: %+v, want a complete one of a revision below 2", a)
	}
	l.SetStale(false)
	l.SetDown(true)
	if r, _ := watch(endpoints[1], "2"); r == nil || r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("service down: %v, want status 503", r)
	}
	l.SetDown(false)
	l.SetReset(true)
	if r, _ := watch(endpoints[1], "2"); r != nil {
		t.Errorf("connections reset: status %v, want an error", r.Status)
	}
	l.SetReset(false)
	endpoints[1].Close(0)
	if r, _ := watch(endpoints[1], "2"); r != nil {
		t.Errorf("endpoint closed: status %v, want an error", r.Status)
	}
}
