package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"chalkferry/internal/discovery"
)

// failedCalls are the ways in which a call to discovery may fail at once.
var failedCalls = []func(c discoveryCall){
	func(c discoveryCall) {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	func(c discoveryCall) { fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") },
	func(c discoveryCall) { c.Close() },
	func(c discoveryCall) { c.sendFirstList("not a list") },
	func(c discoveryCall) { c.sendFirstList(listWithOneServer(1, "127.0.0.1:1", "ready")) }, // older than the current list
}

// nextCall waits for a call to discovery.
func nextCall(t *testing.T, calls <-chan discoveryCall, timeout time.Duration) discoveryCall {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(timeout):
		t.Fatalf("no call within %v", timeout)
		return discoveryCall{}
	}
}

// TestCallsAgainInTime checks that after any number and kind of failed calls, and with any poll interval of the settings, the
// next call comes early enough to be answered within discovery.StalenessLimit, after which a change counts as known.
func TestCallsAgainInTime(t *testing.T) {
	for name, replacements := range map[string][]string{
		"asked":        {`"mustAskIn":4000`, `"mustAskIn":120000`},
		"asked often":  {},
		"pushed":       {`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":60000`},
		"pushed, soon": {`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, calls := startManualDiscovery(t)
			r := startTestProxyWithDiscovery(t, address, replacements...)
			first := nextCall(t, calls, time.Second)
			first.sendFirstList(listWithOneServer(2, "127.0.0.1:1", "ready"))
			r.waitFor("the list is known", func() bool { return r.p.revision == 2 })
			first.Close()
			failed := time.Now()
			for i, fail := range append(failedCalls, failedCalls[:2]...) {
				c := nextCall(t, calls, 20*time.Second)
				if pause := c.receivedAt.Sub(failed); pause > discovery.StalenessLimit/2+300*time.Millisecond {
					t.Errorf("call %d comes %v after the previous one failed", i, pause)
				}
				fail(c)
				failed = time.Now()
			}
			nextCall(t, calls, 20*time.Second).sendFirstList(listWithOneServer(3, "127.0.0.1:1", "draining"))
			r.waitFor("the drain is known", func() bool { return r.p.revision == 3 })
			if took := time.Since(failed); took > discovery.StalenessLimit {
				t.Errorf("the drain is known %v after discovery became reachable", took)
			}
		})
	}
}

// TestCallWithNoAnswer checks that a call that is accepted and never answered is abandoned within discovery.StalenessLimit and
// the next one follows without a pause.
func TestCallWithNoAnswer(t *testing.T) {
	for name, replacements := range map[string][]string{
		"asked":  {`"mustAskIn":4000`, `"mustAskIn":120000`},
		"pushed": {`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":60000`, `"dialTimeout":800`, `"dialTimeout":20000`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, calls := startManualDiscovery(t)
			r := startTestProxyWithDiscovery(t, address, replacements...)
			unanswered := nextCall(t, calls, time.Second)
			for i := range 2 {
				again := nextCall(t, calls, 10*time.Second)
				if pause := again.receivedAt.Sub(unanswered.receivedAt); pause > discovery.StalenessLimit-500*time.Millisecond || pause < discovery.StalenessLimit/2 {
					t.Errorf("call %d comes %v after the previous one", i, pause)
				}
				unanswered = again
			}
			unanswered.sendFirstList(listWithOneServer(1, "127.0.0.1:1", "draining"))
			r.waitFor("the drain is known", func() bool { return r.p.revision == 1 })
		})
	}
}

// TestPausesFit checks that for any settings a failed connect and the longest pause after it leave time for the next call
// within discovery.StalenessLimit.
func TestPausesFit(t *testing.T) {
	_, settings, _ := strings.Cut(fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:2", 256), `"settings":`)
	settings = strings.TrimSuffix(settings, "}")
	for _, mode := range []string{"ask", "push"} {
		for _, connect := range []int{1, 150, 5000} {
			for _, mustAskIn := range []int{200, 4000, 10000, 600000} {
				text := strings.NewReplacer(`"ask"`, fmt.Sprintf("%q", mode), `"connectTimeout":100`, fmt.Sprintf(`"connectTimeout":%d`, connect),
					`"mustAskIn":4000`, fmt.Sprintf(`"mustAskIn":%d,"stopSendingWithin":%d`, mustAskIn, mustAskIn)).Replace(settings)
				parsed, err := parseSettings([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				if parsed.list.MaxRetryBackoff <= 0 || parsed.discoveryConnectTimeout <= 0 || parsed.watchAnswerTimeout <= 0 {
					t.Errorf("%s, connectTimeout %d ms, mustAskIn %d ms: %+v", mode, connect, mustAskIn, parsed.list)
				}
				if spent := parsed.discoveryConnectTimeout + 2*parsed.list.MaxRetryBackoff; spent > discovery.StalenessLimit*3/4 {
					t.Errorf("%s, connectTimeout %d ms, mustAskIn %d ms: %v pass before the next call", mode, connect, mustAskIn, spent)
				}
				if parsed.watchAnswerTimeout >= discovery.StalenessLimit {
					t.Errorf("%s, mustAskIn %d ms: a call may wait for %v", mode, mustAskIn, parsed.watchAnswerTimeout)
				}
			}
		}
	}
}
