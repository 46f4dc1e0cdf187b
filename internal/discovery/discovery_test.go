package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	list, err := Parse([]byte(`{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:80",
		"locality":"a","flavor":"m2","cell":3,"phase":"ready","size":1.5,"up_since_ms":12,"new":1}]}`))
	want := Server{ID: "s-1", HostPort: "127.0.0.1:80", Zone: "a", Model: "m2", Cell: 3, Phase: Ready, Size: 1.5, UpSinceMs: 12}
	if err != nil || list.Revision != 41 || !list.Complete || len(list.Servers) != 1 || list.Servers[0] != want {
		t.Errorf("got %+v, %v; want one server %+v", list, err, want)
	}
	for _, bad := range []string{``, `[]`, `{"revision":-1}`, `{"revision":1,"members":[{}]}`,
		`{"members":[{"id":"s","host_port":"x","phase":"ready"}]}`,
		`{"members":[{"id":"s","host_port":"127.0.0.1:80","phase":"up"}]}`,
		`{"members":[{"id":"s","host_port":"127.0.0.1:80","phase":"ready","size":-1}]}`,
		`{"members":[{"id":"s","host_port":"127.0.0.1:80","phase":"ready","up_since_ms":-1}]}`,
		`{"members":[{"id":"s","phase":"gone"},{"id":"s","phase":"gone"}]}`} {
		if list, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%s is parsed as %+v, want an error", bad, list)
		}
	}
}

// TestWatch checks that lists are reported in order, that the end of a watch, a response status other than 200 and a
// malformed list are reported as failures, and that nothing is reported of a watch that was replaced.
func TestWatch(t *testing.T) {
	lines := make(chan string)
	queries := make(chan string, 4)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.String()
		if r.URL.Query().Get("after") == "9" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for {
			select {
			case line := <-lines:
				if line == "end" {
					return
				}
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	defer s.Close()
	defer s.CloseClientConnections()
	reports := make(chan string, 8)
	calls := make(chan func(), 8)
	w := New(s.Listener.Addr().String(), time.Second, time.Second, func(call func()) { calls <- call },
		func(l List) { reports <- fmt.Sprint("list ", l.Revision) }, func(error) { reports <- "failed" })
	expect := func(want string) { // runs the calls for the event loop until something is reported
		t.Helper()
		for {
			select {
			case call := <-calls:
				call()
			case got := <-reports:
				if got != want {
					t.Fatalf("got %q, want %q", got, want)
				}
				return
			case <-time.After(10 * time.Second):
				t.Fatalf("nothing reported, want %q", want)
			}
		}
	}
	w.Watch(41)
	if q := <-queries; q != "/api/targets?watch=1&after=41" {
		t.Error(q)
	}
	lines <- `{"revision":42,"complete":true}`
	lines <- ``
	lines <- `{"revision":43}`
	expect("list 42")
	expect("list 43")
	lines <- "end"
	expect("failed")
	w.Watch(43)
	lines <- `{"revision":`
	expect("failed")
	w.Watch(43)
	<-queries
	<-queries
	lines <- `{"revision":44}`
	call := <-calls // of a watch that is replaced before the call runs
	w.Watch(9)
	call()
	expect("failed")
}
