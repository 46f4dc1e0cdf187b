package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestIsDrained guards against a watch that counts as drained while a received list has not been handed to the event loop.
func TestIsDrained(t *testing.T) {
	lines, done := make(chan string), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case line := <-lines:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-done:
				return
			}
		}
	}))
	defer server.Close()
	defer close(done)
	received, release := make(chan uint64), make(chan struct{})
	execute := func(call func()) { // an event loop that runs nothing until the test releases it
		<-release
		call()
	}
	w := New(server.Listener.Addr().String(), time.Second, time.Second, execute, func(list List) { received <- list.Revision }, func(error) {})
	defer close(release)
	defer w.Stop()
	awaitDrained := func(want bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); w.IsDrained() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("IsDrained does not become %v", want)
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
			t.Errorf("got revision %d, want %d", got, revision)
		}
		awaitDrained(true)
	}
}
