package discovery

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// request is one request of the watcher. The test itself writes the response, byte by byte if it needs to.
type request struct {
	net.Conn
	line string // the request line, without the HTTP version
}

// watcher makes its calls on the event loop, as the proxy does.
type watcher struct {
	*Watcher
	loop chan func()
}

func (w watcher) Watch(after uint64)         { w.loop <- func() { w.Watcher.Watch(after) } }
func (w watcher) ReplaceSilent(after uint64) { w.loop <- func() { w.Watcher.ReplaceSilent(after) } }
func (w watcher) Stop()                      { w.loop <- w.Watcher.Stop }
func (w watcher) SetAddress(address string)  { w.loop <- func() { w.Watcher.SetAddress(address) } }

const responseHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// sendChunk sends text as one chunk of the response's body.
func (r request) sendChunk(text string) { fmt.Fprintf(r, "%x\r\n%s\r\n", len(text), text) }

// startWatcher returns a watcher that has no watch yet, the requests that it makes, and its lists and failures as text:
// "list REVISION" or "failed: ERROR".
func startWatcher(t *testing.T, startTimeout time.Duration) (w watcher, requests chan request, reports chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted []net.Conn // referenced until the test ends: the garbage collector closes an unreferenced connection
	var mu sync.Mutex
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range accepted {
			conn.Close()
		}
	})
	requests, reports = make(chan request, 8), make(chan string, 64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, conn)
			mu.Unlock()
			buf := make([]byte, 4096)
			n, _ := conn.Read(buf)
			line, _, _ := strings.Cut(string(buf[:n]), " HTTP")
			requests <- request{conn, line}
		}
	}()
	loop := make(chan func(), 64)
	go func() {
		for call := range loop {
			call()
		}
	}()
	w.Watcher, w.loop = New(l.Addr().String(), time.Second, startTimeout, func(call func()) { loop <- call },
		func(l List) { reports <- fmt.Sprint("list ", l.Revision) }, func(err error) { reports <- fmt.Sprint("failed: ", err) }), loop
	return w, requests, reports
}

// expectReport expects the watcher's next list or failure within a time. "failed" stands for any failure.
func expectReport(t *testing.T, reports chan string, want string, within time.Duration) {
	t.Helper()
	select {
	case got := <-reports:
		if got != want && !(want == "failed" && strings.HasPrefix(got, want)) {
			t.Errorf("got %q, want %q", got, want)
		}
	case <-time.After(within):
		t.Errorf("nothing reported within %v, want %q", within, want)
	}
}

// TestListFraming checks that a list may stand on one line or on several, arrive byte by byte, share a chunk with another
// list, or be large, and that one of over maxListBytes is a failure.
func TestListFraming(t *testing.T) {
	indented := "{\n  \"revision\": %d,\n  \"complete\": true,\n\n  \"members\": [\n    {\"id\": \"s-1\", \"phase\": \"gone\"}\n  ]\n}\n"
	var many strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&many, `%s{"id":"s-%d","host_port":"10.0.0.1:80","phase":"ready","size":1}`, strings.Repeat(",", min(i, 1)), i)
	}
	w, requests, reports := startWatcher(t, time.Second)
	w.Watch(0)
	r := <-requests
	fmt.Fprint(r, responseHeader)
	r.sendChunk(fmt.Sprintf(indented, 1))
	expectReport(t, reports, "list 1", time.Second)
	for _, b := range []byte(fmt.Sprintf(indented, 2)) {
		r.sendChunk(string(b))
	}
	expectReport(t, reports, "list 2", time.Second)
	r.sendChunk("{\"revision\":3}\n{\"revision\":4,\"complete\":false}\n\n")
	expectReport(t, reports, "list 3", time.Second)
	expectReport(t, reports, "list 4", time.Second)
	r.sendChunk(`{"revision":5,"complete":true,"members":[` + many.String() + "]}\n")
	expectReport(t, reports, "list 5", 5*time.Second)
	r.sendChunk(`{"revision":6,"members":[` + strings.Repeat(" ", 5<<20))
	expectReport(t, reports, "failed", 5*time.Second)
}

// TestSilent guards against a list that is older than StalenessLimit: a watch that stops receiving data, at whatever point,
// fails early enough for a replacement, and a replacement that doesn't start fails early enough for a third watch to start
// within the limit, whatever the start timeout. TestSilentWatch checks the same of a whole proxy, with its pauses between
// watches.
func TestSilent(t *testing.T) {
	for name, respond := range map[string]func(r request){
		"after the header": func(r request) { fmt.Fprint(r, responseHeader) },
		"after a list": func(r request) {
			fmt.Fprint(r, responseHeader)
			r.sendChunk("{\"revision\":1}\n")
		},
		"within a line": func(r request) {
			fmt.Fprint(r, responseHeader)
			r.sendChunk("{\"revision\":1}\n{\"revision\":2,")
		},
	} {
		for second, response := range map[string]string{"no word": "", "half a header": responseHeader[:20], "a header alone": responseHeader} {
			t.Run(name+", then "+second, func(t *testing.T) {
				t.Parallel()
				w, requests, reports := startWatcher(t, time.Minute)
				began := time.Now()
				w.Watch(0)
				respond(<-requests)
				if name != "after the header" {
					expectReport(t, reports, "list 1", time.Second)
				}
				expectReport(t, reports, "failed: "+ErrHeartbeatTimeout.Error(), 4*time.Second)
				w.ReplaceSilent(1)
				fmt.Fprint(<-requests, response)
				expectReport(t, reports, "failed: "+ErrReplacementTimeout.Error(), 4*time.Second)
				if took := time.Since(began); took > StalenessLimit-300*time.Millisecond {
					t.Errorf("two dead watches took %v, want at most 300 ms less than %v", took, StalenessLimit)
				}
			})
		}
	}
}

// TestSlowToBegin checks that a watch that replaces no silent one may take as long to start as the start timeout allows,
// and no longer.
func TestSlowToBegin(t *testing.T) {
	t.Parallel()
	const startTimeout = 3200 * time.Millisecond
	w, requests, reports := startWatcher(t, startTimeout)
	w.Watch(0)
	r := <-requests
	time.Sleep(startTimeout - 200*time.Millisecond)
	fmt.Fprint(r, responseHeader)
	r.sendChunk("{\"revision\":1}\n")
	expectReport(t, reports, "list 1", time.Second)
	w.Watch(1)
	<-requests
	began := time.Now()
	expectReport(t, reports, "failed: "+ErrStartTimeout.Error(), startTimeout+time.Second)
	if took := time.Since(began); took < startTimeout-100*time.Millisecond {
		t.Errorf("the watch failed after %v, before the start timeout of %v", took, startTimeout)
	}
}

// TestBeats checks that heartbeats (empty lines) keep a watch alive for longer than heartbeatTimeout.
func TestBeats(t *testing.T) {
	t.Parallel()
	w, requests, reports := startWatcher(t, time.Second)
	w.Watch(0)
	r := <-requests
	fmt.Fprint(r, responseHeader)
	for range 3 {
		time.Sleep(Heartbeat)
		r.sendChunk("\n")
	}
	r.sendChunk("{\"revision\":7}\n")
	expectReport(t, reports, "list 7", time.Second)
}

// TestResetWithinLine checks that a watch that is reset in the middle of a list doesn't report that list, and that the next
// watch asks for the changes after the last complete one.
func TestResetWithinLine(t *testing.T) {
	w, requests, reports := startWatcher(t, time.Second)
	w.Watch(3)
	r := <-requests
	fmt.Fprint(r, responseHeader)
	r.sendChunk("{\"revision\":4}\n{\"revision\":5")
	expectReport(t, reports, "list 4", time.Second)
	r.Conn.(*net.TCPConn).SetLinger(0)
	r.Close()
	expectReport(t, reports, "failed", time.Second)
	w.Watch(4)
	if r := <-requests; !strings.HasSuffix(r.line, "after=4") {
		t.Errorf("request %q, want one for changes after revision 4", r.line)
	}
}

// TestMoved checks that one watch is left when discovery's address changes several times at once while requests are in
// flight, and that nothing is reported of the other watches. Stop may be called before there is a watch.
func TestMoved(t *testing.T) {
	w, requests, reports := startWatcher(t, time.Second)
	w.Stop()
	address := w.address
	for range 3 {
		w.SetAddress(address)
		w.Watch(0)
	}
	var open []request
	for range 3 {
		select {
		case r := <-requests:
			open = append(open, r)
		case <-time.After(300 * time.Millisecond): // the first ones may be cancelled before they connect
		}
	}
	for i, r := range open {
		fmt.Fprint(r, responseHeader)
		r.sendChunk(fmt.Sprintf("{\"revision\":%d}\n", 10+i))
	}
	got := []string{}
	for wait := time.After(500 * time.Millisecond); wait != nil; {
		select {
		case report := <-reports:
			got = append(got, report)
		case <-wait:
			wait = nil
		}
	}
	if len(got) != 1 || !strings.HasPrefix(got[0], "list") {
		t.Errorf("got %q, want one list", got)
	}
}
