package proxy

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// leaveGrace is how long after a client has left a connect for its session may still begin, by the operators' requirements.
const leaveGrace = 100 * time.Millisecond

// countConnects counts the connects to servers that start from now on.
func (r *testProxy) countConnects() *atomic.Int64 {
	var connects atomic.Int64
	r.onLoop(func() {
		originalDial := r.p.connector.Dial
		r.p.connector.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			connects.Add(1)
			return originalDial(ctx, address)
		}
	})
	return &connects
}

// TestLeftBeforeFirstAttempt stalls the event loop while clients connect, send their first line and leave. No connect may
// start for any of them, and a client that still waits must be served.
func TestLeftBeforeFirstAttempt(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			r := startTestProxy(t)
			s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			connects := r.countConnects()
			release := r.stallLoop()
			for range 20 {
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, openLine())
				leave(d)
			}
			waiting := connect(t, r.address)
			fmt.Fprint(waiting.Conn, openLine())
			time.Sleep(leaveGrace * 3 / 2)
			release()
			waiting.expectLine("UP 1\r\n")
			r.waitFor("only the waiting client's session is left", func() bool { return r.p.table.SessionCount() == 1 && r.p.connector.ConnectCount() == 0 })
			if count := connects.Load(); count != 1 {
				t.Errorf("%d connects for one waiting client", count)
			}
			waiting.Close()
		})
	}
}

// TestLeftBeforeFurtherAttempt stalls the event loop while a server answers a session with an error and its client leaves, in
// both orders. Another server could take the session, but no connect may start for it.
func TestLeftBeforeFurtherAttempt(t *testing.T) {
	for name, leave := range waysToLeave {
		for _, leftFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(name, leftFirst), func(t *testing.T) {
				r := startTestProxy(t, `"dialTimeout":800`, `"dialTimeout":4000`)
				lineReceived, answerNow, answered := make(chan bool, 1), make(chan bool), make(chan bool)
				s := startTestServer(t, func(conn *net.TCPConn, nth int, _ string) {
					if nth < 100 { // one of the sessions that warm up the balancer
						fmt.Fprint(conn, "UP 1\r\n")
						return
					}
					lineReceived <- true
					<-answerNow
					fmt.Fprint(conn, "ERR\r\n")
					close(answered)
				})
				r.applyList(1, serverEntry("s-1", s.address, "ready"), serverEntry("s-2", s.address, "ready"))
				r.warmUp("UP 1\r\n")
				s.numberFirstLinesFrom(100)
				connects := r.countConnects()
				d := connect(t, r.address)
				fmt.Fprint(d.Conn, strings.Replace(openLine(), "800", "4000", 1))
				<-lineReceived
				release := r.stallLoop()
				if leftFirst {
					leave(d)
				}
				close(answerNow)
				<-answered
				if !leftFirst {
					leave(d)
				}
				time.Sleep(leaveGrace * 3 / 2)
				release()
				r.waitFor("the session is over", func() bool { return r.p.table.SessionCount() == 0 && r.p.connector.ConnectCount() == 0 })
				if count := connects.Load(); count != 1 {
					t.Errorf("%d connects, want only the one before the client left", count)
				}
				d.Close()
				r.expectIdle()
			})
		}
	}
}

// TestLeftBeforeNextTry: a session waits for another try at the server that holds it. The event loop is stalled while that
// try becomes due and the client leaves. No connect may start.
func TestLeftBeforeNextTry(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			r, holder := startTestProxy(t), freeAddress(t)
			r.applyList(1, serverEntry("s-1", holder, "ready"))
			d := connect(t, r.address)
			fmt.Fprint(d.Conn, "OPEN aa 1 c=chat,d=800,at=s-1\r\n")
			r.waitFor("the session waits for another try", func() bool {
				return r.p.table.SessionCount() == 1 && r.p.connector.ConnectCount() == 0
			})
			connects := r.countConnects()
			release := r.stallLoop()
			before := connects.Load() // the try may have become due just now
			leave(d)
			time.Sleep(2 * r.p.settings.connectTimeout)
			release()
			r.waitFor("the session is over", func() bool { return r.p.table.SessionCount() == 0 && r.p.connector.ConnectCount() == 0 })
			if count := connects.Load(); count != before {
				t.Errorf("%d connects after the client left", count-before)
			}
			d.Close()
			r.expectIdle()
		})
	}
}
