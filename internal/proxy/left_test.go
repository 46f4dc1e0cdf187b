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

// leftSpan is how long after its client has left an attempt may still begin, by the operators' terms.
const leftSpan = 100 * time.Millisecond

// countConnects counts the connects to servers that begin from now on.
func (r *rig) countConnects() *atomic.Int64 {
	var begun atomic.Int64
	r.on(func() {
		usual := r.p.connector.Dial
		r.p.connector.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			begun.Add(1)
			return usual(ctx, address)
		}
	})
	return &begun
}

// TestLeftBeforeFirstAttempt: the loop stands still while clients connect, send their line and leave: for none of them
// does so much as a connect begin, and a client that waits is served.
func TestLeftBeforeFirstAttempt(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			r := rigged(t)
			s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
			r.listed(1, member("s-1", s.at, "ready"))
			begun := r.countConnects()
			release := r.stall()
			for range 20 {
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, opening())
				leave(d)
			}
			waits := connect(t, r.at)
			fmt.Fprint(waits.Conn, opening())
			time.Sleep(leftSpan * 3 / 2)
			release()
			waits.hear("UP 1\r\n")
			r.until("only that one is left", func() bool { return r.p.table.Len() == 1 && r.p.connector.Out() == 0 })
			if n := begun.Load(); n != 1 {
				t.Errorf("%d connects begin for one client that waits", n)
			}
			waits.Close()
		})
	}
}

// TestLeftBeforeFurtherAttempt: the loop stands still while a server answers a session with an error and its client
// leaves, in both orders; another server could take the session, and no connect begins for it.
func TestLeftBeforeFurtherAttempt(t *testing.T) {
	for name, leave := range leaves {
		for _, leftFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(name, leftFirst), func(t *testing.T) {
				r := rigged(t, `"dialTimeout":800`, `"dialTimeout":4000`)
				asked, answer, answered := make(chan bool, 1), make(chan bool), make(chan bool)
				s := posted(t, func(conn *net.TCPConn, nth int, _ string) {
					if nth < 100 { // of the sessions that come first
						fmt.Fprint(conn, "UP 1\r\n")
						return
					}
					asked <- true
					<-answer
					fmt.Fprint(conn, "ERR\r\n")
					close(answered)
				})
				r.listed(1, member("s-1", s.at, "ready"), member("s-2", s.at, "ready"))
				r.served("UP 1\r\n")
				s.from(100)
				begun := r.countConnects()
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, strings.Replace(opening(), "800", "4000", 1))
				<-asked
				release := r.stall()
				if leftFirst {
					leave(d)
				}
				close(answer)
				<-answered
				if !leftFirst {
					leave(d)
				}
				time.Sleep(leftSpan * 3 / 2)
				release()
				r.until("the session is over", func() bool { return r.p.table.Len() == 0 && r.p.connector.Out() == 0 })
				if n := begun.Load(); n != 1 {
					t.Errorf("%d connects begin, one before the client has left", n)
				}
				d.Close()
				r.over()
			})
		}
	}
}

// TestLeftBeforeNextTry: a session waits for a later try at its holder; the loop stands still while that comes due and
// the client leaves: no connect begins.
func TestLeftBeforeNextTry(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			r, holder := rigged(t), free(t)
			r.listed(1, member("s-1", holder, "ready"))
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, "OPEN aa 1 c=chat,d=800,at=s-1\r\n")
			r.until("the session waits for a later try", func() bool {
				return r.p.table.Len() == 1 && r.p.connector.Out() == 0
			})
			begun := r.countConnects()
			release := r.stall()
			before := begun.Load() // it may have come due just now
			leave(d)
			time.Sleep(2 * r.p.terms.connect)
			release()
			r.until("the session is over", func() bool { return r.p.table.Len() == 0 && r.p.connector.Out() == 0 })
			if n := begun.Load(); n != before {
				t.Errorf("%d connects begin after the client has left", n-before)
			}
			d.Close()
			r.over()
		})
	}
}
