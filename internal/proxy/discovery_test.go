package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"chalkferry/internal/discovery"
)

// The ways in which a call to discovery may fail at once.
var failedCalls = []func(c call){
	func(c call) {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	func(c call) { fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") },
	func(c call) { c.Close() },
	func(c call) { c.opens("not a list") },
	func(c call) { c.opens(entry(1, "127.0.0.1:1", "ready")) }, // older than the list at hand
}

// next waits for a call.
func next(t *testing.T, calls <-chan call, within time.Duration) call {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(within):
		t.Fatalf("no call within %v", within)
		return call{}
	}
}

// TestCallsAgainInTime: however many calls have failed, in whichever way, and however long the settings let a proxy not
// ask, the next one comes early enough to have its answer within the time after which a change counts as known.
func TestCallsAgainInTime(t *testing.T) {
	for name, set := range map[string][]string{
		"asked":        {`"mustAskIn":4000`, `"mustAskIn":120000`},
		"asked often":  {},
		"pushed":       {`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":60000`},
		"pushed, soon": {`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, calls := desk(t)
			r := riggedAt(t, address, set...)
			first := next(t, calls, time.Second)
			first.opens(entry(2, "127.0.0.1:1", "ready"))
			r.until("the list is known", func() bool { return r.p.revision == 2 })
			first.Close()
			failed := time.Now()
			for i, fail := range append(failedCalls, failedCalls[:2]...) {
				c := next(t, calls, 20*time.Second)
				if pause := c.at.Sub(failed); pause > discovery.StalenessLimit/2+300*time.Millisecond {
					t.Errorf("call %d comes %v after the one before has failed", i, pause)
				}
				fail(c)
				failed = time.Now()
			}
			next(t, calls, 20*time.Second).opens(entry(3, "127.0.0.1:1", "draining"))
			r.until("the drain is known", func() bool { return r.p.revision == 3 })
			if took := time.Since(failed); took > discovery.StalenessLimit {
				t.Errorf("the drain is known %v after discovery could be reached", took)
			}
		})
	}
}

// TestCallWithNoAnswer: a call that is taken and never answered is given up early enough for the next one, which comes
// with no pause.
func TestCallWithNoAnswer(t *testing.T) {
	for name, set := range map[string][]string{
		"asked":  {`"mustAskIn":4000`, `"mustAskIn":120000`},
		"pushed": {`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":60000`, `"dialTimeout":800`, `"dialTimeout":20000`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, calls := desk(t)
			r := riggedAt(t, address, set...)
			lost := next(t, calls, time.Second)
			for i := range 2 {
				again := next(t, calls, 10*time.Second)
				if pause := again.at.Sub(lost.at); pause > discovery.StalenessLimit-500*time.Millisecond || pause < discovery.StalenessLimit/2 {
					t.Errorf("call %d comes %v after the one before", i, pause)
				}
				lost = again
			}
			lost.opens(entry(1, "127.0.0.1:1", "draining"))
			r.until("the drain is known", func() bool { return r.p.revision == 1 })
		})
	}
}

// TestPausesFit: whatever the settings say, a connect that is not established and the longest pause after it leave time
// for the next call.
func TestPausesFit(t *testing.T) {
	_, settings, _ := strings.Cut(fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:2", 256), `"settings":`)
	settings = strings.TrimSuffix(settings, "}")
	for _, mode := range []string{"ask", "push"} {
		for _, connect := range []int{1, 150, 5000} {
			for _, asking := range []int{200, 4000, 10000, 600000} {
				text := strings.NewReplacer(`"ask"`, fmt.Sprintf("%q", mode), `"connectTimeout":100`, fmt.Sprintf(`"connectTimeout":%d`, connect),
					`"mustAskIn":4000`, fmt.Sprintf(`"mustAskIn":%d,"stopSendingWithin":%d`, asking, asking)).Replace(settings)
				terms, err := read([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				if terms.list.MaxRetryBackoff <= 0 || terms.ask <= 0 || terms.answer <= 0 {
					t.Errorf("%s, connects of %d ms, asking in %d ms: %+v", mode, connect, asking, terms.list)
				}
				if spent := terms.ask + 2*terms.list.MaxRetryBackoff; spent > discovery.StalenessLimit*3/4 {
					t.Errorf("%s, connects of %d ms, asking in %d ms: %v are spent before the next call", mode, connect, asking, spent)
				}
				if terms.answer >= discovery.StalenessLimit {
					t.Errorf("%s, asking in %d ms: a call may wait for %v", mode, asking, terms.answer)
				}
			}
		}
	}
}
