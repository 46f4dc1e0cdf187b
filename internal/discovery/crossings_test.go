package discovery

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// call is one call of a proxy, answered by the test itself, byte by byte if it likes.
type call struct {
	net.Conn
	query string
}

// watcher calls on the loop, as the proxy does.
type watcher struct {
	*Watcher
	loop chan func()
}

func (w watcher) Watch(after uint64) { w.loop <- func() { w.Watcher.Watch(after) } }
func (w watcher) Again(after uint64) { w.loop <- func() { w.Watcher.Again(after) } }
func (w watcher) Drop()              { w.loop <- w.Watcher.Drop }
func (w watcher) Move(to string)     { w.loop <- func() { w.Watcher.Move(to) } }

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (c call) chunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// watched starts a watcher whose lists and failures come as words, and shows the calls that it makes.
func watched(t *testing.T, answer time.Duration) (w watcher, calls chan call, told chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var taken []net.Conn // kept until the test's end: one that nothing holds is closed when its memory is collected
	var mu sync.Mutex
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range taken {
			conn.Close()
		}
	})
	calls, told = make(chan call, 8), make(chan string, 64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			taken = append(taken, conn)
			mu.Unlock()
			buf := make([]byte, 4096)
			n, _ := conn.Read(buf)
			query, _, _ := strings.Cut(string(buf[:n]), " HTTP")
			calls <- call{conn, query}
		}
	}()
	loop := make(chan func(), 64)
	go func() {
		for call := range loop {
			call()
		}
	}()
	w.Watcher, w.loop = New(l.Addr().String(), time.Second, answer, func(call func()) { loop <- call },
		func(l List) { told <- fmt.Sprint("list ", l.Revision) }, func(err error) { told <- fmt.Sprint("failed: ", err) }), loop
	return w, calls, told
}

func hear(t *testing.T, told chan string, want string, within time.Duration) {
	t.Helper()
	select {
	case got := <-told:
		if got != want && !(want == "failed" && strings.HasPrefix(got, want)) {
			t.Errorf("%s, want %s", got, want)
		}
	case <-time.After(within):
		t.Errorf("nothing within %v, want %s", within, want)
	}
}

// TestForms: a list may stand on one line or on many, come in pieces of one byte, two in one segment, or be large.
func TestForms(t *testing.T) {
	indented := "{\n  \"revision\": %d,\n  \"complete\": true,\n\n  \"members\": [\n    {\"id\": \"s-1\", \"phase\": \"gone\"}\n  ]\n}\n"
	var many strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&many, `%s{"id":"s-%d","host_port":"10.0.0.1:80","phase":"ready","size":1}`, strings.Repeat(",", min(i, 1)), i)
	}
	w, calls, told := watched(t, time.Second)
	w.Watch(0)
	c := <-calls
	fmt.Fprint(c, head)
	c.chunk(fmt.Sprintf(indented, 1))
	hear(t, told, "list 1", time.Second)
	for _, b := range []byte(fmt.Sprintf(indented, 2)) {
		c.chunk(string(b))
	}
	hear(t, told, "list 2", time.Second)
	c.chunk("{\"revision\":3}\n{\"revision\":4,\"complete\":false}\n\n")
	hear(t, told, "list 3", time.Second)
	hear(t, told, "list 4", time.Second)
	c.chunk(`{"revision":5,"complete":true,"members":[` + many.String() + "]}\n")
	hear(t, told, "list 5", 5*time.Second)
	c.chunk(`{"revision":6,"members":[` + strings.Repeat(" ", 5<<20))
	hear(t, told, "failed", 5*time.Second)
}

// TestSilent: a watch that falls silent, wherever that is, is known to be dead in time for the next one, and that one,
// which may say nothing at all, in time for a third, before what is missed counts as told: 6 s by the protocol, whatever
// the settings give for an answer. (That a whole proxy keeps this, its pauses between calls too, is TestSilentWatch's.)
func TestSilent(t *testing.T) {
	for name, say := range map[string]func(c call){
		"after the header": func(c call) { fmt.Fprint(c, head) },
		"after a list": func(c call) {
			fmt.Fprint(c, head)
			c.chunk("{\"revision\":1}\n")
		},
		"within a line": func(c call) {
			fmt.Fprint(c, head)
			c.chunk("{\"revision\":1}\n{\"revision\":2,")
		},
	} {
		for second, half := range map[string]string{"no word": "", "half a header": head[:20], "a header alone": head} {
			t.Run(name+", then "+second, func(t *testing.T) {
				t.Parallel()
				w, calls, told := watched(t, time.Minute)
				began := time.Now()
				w.Watch(0)
				say(<-calls)
				if name != "after the header" {
					hear(t, told, "list 1", time.Second)
				}
				hear(t, told, "failed: "+ErrSilent.Error(), 4*time.Second)
				w.Again(1)
				fmt.Fprint(<-calls, half)
				hear(t, told, "failed: "+ErrUnopened.Error(), 4*time.Second)
				if took := time.Since(began); took > SilenceLimit-300*time.Millisecond {
					t.Errorf("two dead watches take %v", took)
				}
			})
		}
	}
}

// TestSlowToBegin: a watch that follows none that has fallen silent may wait its turn for as long as it is given, and
// no longer.
func TestSlowToBegin(t *testing.T) {
	t.Parallel()
	const answer = 3200 * time.Millisecond
	w, calls, told := watched(t, answer)
	w.Watch(0)
	c := <-calls
	time.Sleep(answer - 200*time.Millisecond)
	fmt.Fprint(c, head)
	c.chunk("{\"revision\":1}\n")
	hear(t, told, "list 1", time.Second)
	w.Watch(1)
	<-calls
	began := time.Now()
	hear(t, told, "failed: "+ErrUnanswered.Error(), answer+time.Second)
	if took := time.Since(began); took < answer-100*time.Millisecond {
		t.Errorf("given up after %v", took)
	}
}

// TestBeats: empty lines keep a watch alive past the time in which silence would end it.
func TestBeats(t *testing.T) {
	t.Parallel()
	w, calls, told := watched(t, time.Second)
	w.Watch(0)
	c := <-calls
	fmt.Fprint(c, head)
	for range 3 {
		time.Sleep(Heartbeat)
		c.chunk("\n")
	}
	c.chunk("{\"revision\":7}\n")
	hear(t, told, "list 7", time.Second)
}

// TestCut: a watch reset with a line half read tells nothing of it, and the next one asks for what came after.
func TestCut(t *testing.T) {
	w, calls, told := watched(t, time.Second)
	w.Watch(3)
	c := <-calls
	fmt.Fprint(c, head)
	c.chunk("{\"revision\":4}\n{\"revision\":5")
	hear(t, told, "list 4", time.Second)
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	hear(t, told, "failed", time.Second)
	w.Watch(4)
	if c := <-calls; !strings.HasSuffix(c.query, "after=4") {
		t.Error(c.query)
	}
}

// TestMoved: discovery moves while a call is in flight and again at once: one watch is left, and of the others nothing
// is told. A watch may be dropped before there is one.
func TestMoved(t *testing.T) {
	w, calls, told := watched(t, time.Second)
	w.Drop()
	address := w.address
	for range 3 {
		w.Move(address)
		w.Watch(0)
	}
	var open []call
	for range 3 {
		select {
		case c := <-calls:
			open = append(open, c)
		case <-time.After(300 * time.Millisecond): // the first ones may be given up before they connect
		}
	}
	for i, c := range open {
		fmt.Fprint(c, head)
		c.chunk(fmt.Sprintf("{\"revision\":%d}\n", 10+i))
	}
	heard := []string{}
	for wait := time.After(500 * time.Millisecond); wait != nil; {
		select {
		case word := <-told:
			heard = append(heard, word)
		case <-wait:
			wait = nil
		}
	}
	if len(heard) != 1 || !strings.HasPrefix(heard[0], "list") {
		t.Errorf("%v", heard)
	}
}
