package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestIsDrained guards against a list that has come and is not known: a watch is drained only once all of it was handed on.
func TestIsDrained(t *testing.T) {
	lines, isOver := make(chan string), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case line := <-lines:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-isOver:
				return
			}
		}
	}))
	defer server.Close()
	defer close(isOver)
	received, release := make(chan uint64), make(chan struct{})
	hold := func(call func()) { // the event loop takes nothing until it is released
		<-release
		call()
	}
	w := New(server.Listener.Addr().String(), time.Second, time.Second, hold, func(list List) { received <- list.Revision }, func(error) {})
	defer close(release)
	defer w.Drop()
	awaitDrained := func(is bool) {
		t.Helper()
		for limit := time.Now().Add(5 * time.Second); w.IsDrained() != is; time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("drained is not %v", is)
			}
		}
	}
	awaitDrained(true) // there is no watch yet
	w.Watch(0)
	for revision := range uint64(3) {
		lines <- fmt.Sprintf(`{"revision":%d,"complete":true}`, revision)
		awaitDrained(false)
		time.Sleep(20 * time.Millisecond)
		awaitDrained(false)
		release <- struct{}{}
		if got := <-received; got != revision {
			t.Errorf("revision %d, not %d", got, revision)
		}
		awaitDrained(true)
	}
}
