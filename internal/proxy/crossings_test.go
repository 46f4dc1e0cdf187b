package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/discovery"
)

// TestLeftWhileConnecting: a client goes, in each way, while the connection to its server is not up; it comes up at the
// very moment. No byte of the session reaches the server, and its room is given back.
func TestLeftWhileConnecting(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			r, s := rigged(t), posted(t, nil)
			r.listed(1, member("s-1", s.at, "ready"))
			w := r.way(false, false)
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, opening())
			<-w.reached
			leave(d)
			r.until("the proxy has seen it go", func() bool { return r.p.table.Len() == 0 })
			w.open <- true
			s.nothing(r, 1)
			r.over()
		})
	}
}

// TestLeftWhileStill: the loop stands still, the connection comes up and the client goes meanwhile, so that the loop has
// the connection before it reads the goodbye. Goodbye and connection come in both orders.
func TestLeftWhileStill(t *testing.T) {
	for name, leave := range leaves {
		for _, leftFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(name, leftFirst), func(t *testing.T) {
				r, s := rigged(t), posted(t, nil)
				r.listed(1, member("s-1", s.at, "ready"))
				w := r.way(false, false)
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, opening())
				<-w.reached
				release := r.stall()
				if leftFirst {
					leave(d)
				}
				w.open <- true
				r.handedOver()
				if !leftFirst {
					leave(d)
				}
				release()
				s.nothing(r, 1)
				r.over()
			})
		}
	}
}

// TestSpeaksOutOfTurn: a client that sends more before its answer, and goes, has nothing sent on once the loop can know.
func TestSpeaksOutOfTurn(t *testing.T) {
	r, s := rigged(t), posted(t, nil)
	r.listed(1, member("s-1", s.at, "ready"))
	w := r.way(false, false)
	d := connect(t, r.at)
	fmt.Fprint(d.Conn, opening())
	<-w.reached
	release := r.stall()
	fmt.Fprint(d.Conn, "M 1\r\n")
	leaves["fin"](d)
	w.open <- true
	r.handedOver()
	release()
	s.nothing(r, 1)
	d.hear("ERR\r\n")
	d.ends(io.EOF)
	d.Close()
	r.over()
}

// TestLeftWithLineUnsent: this machine takes nothing more for the server when the first line is to go; the client goes,
// and then the server reads on. Nothing of the line may follow.
func TestLeftWithLineUnsent(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			l, r := narrow(t), rigged(t, `"dialTimeout":800`, `"dialTimeout":4000`)
			r.listed(1, member("s-1", l.Addr().String(), "ready"))
			w := r.way(true, false)
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, strings.Replace(opening(), "d=800", "d=4000", 1)) // filling the way takes its time on a busy machine
			<-w.reached
			w.open <- true
			r.until("the line waits for this machine", func() bool {
				return r.p.table.Len() == 1 && r.p.connector.Out() == 0
			})
			leave(d)
			r.until("the proxy has seen it go", func() bool { return r.p.table.Len() == 0 })
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			all, err := io.ReadAll(conn)
			if rest := strings.Trim(string(all), "x"); rest != "" {
				t.Errorf("%q follows the goodbye, %v", rest, err)
			}
			if name != "fin" {
				r.over()
			}
		})
	}
}

// TestLeftWithLineHeld: this machine has taken the line and can't send it, as to a server that is cut off; the client goes
// at once, or after the dial was given up and another one is out. Then the server can be reached again: nothing comes.
func TestLeftWithLineHeld(t *testing.T) {
	for name, leave := range leaves {
		for _, givenUp := range []bool{false, true} {
			t.Run(fmt.Sprint(name, givenUp), func(t *testing.T) {
				l, r := narrow(t), rigged(t)
				asked := make(chan bool, 1)
				s := posted(t, func(*net.TCPConn, int, string) { asked <- true })
				up := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
				r.listed(1, member("s-0", up.at, "ready"))
				r.served("UP 1\r\n")
				r.listed(2, member("s-1", l.Addr().String(), "ready"))
				w := r.way(true, true)
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, opening())
				<-w.reached
				w.open <- true
				r.until("the line is with this machine", func() bool {
					return r.p.table.Len() == 1 && r.p.connector.Out() == 0
				})
				if givenUp {
					w = r.way(false, false)
					close(w.open)
					r.listed(3, member("s-1", l.Addr().String(), "ready"), member("s-2", s.at, "ready"))
					<-asked
				}
				leave(d)
				r.until("the proxy has seen it go", func() bool { return r.p.table.Len() == 0 })
				conn, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				all, err := io.ReadAll(conn)
				if rest := strings.Trim(string(all), "x"); rest != "" {
					t.Errorf("%q follows the goodbye, %v", rest, err)
				}
			})
		}
	}
}

// TestLeftAsked: the line is out and the server says nothing: the server learns of the goodbye at once, gets nothing
// more, and the module has the session no longer.
func TestLeftAsked(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			asked := make(chan bool, 4)
			r, s := rigged(t), posted(t, func(*net.TCPConn, int, string) { asked <- true })
			r.listed(1, member("s-1", s.at, "ready"))
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, opening())
			<-asked
			leave(d)
			r.until("the server hears the end", func() bool { _, _, all := s.got(); return all })
			if text, firsts, _ := s.got(); firsts != 1 || strings.Count(text, "\n") != 1 {
				t.Errorf("%q", text)
			}
			if name == "fin" { // half closed: left, by the protocol page; it is answered by the end alone
				d.ends(io.EOF)
				d.Close()
			}
			r.over()
		})
	}
}

// TestLeftBeforeUp: the loop stands still while the server says UP and then the client, which still waits, goes, also with
// a line before; the loop reads the UP first. Nothing more of the client reaches the server, which learns of its end.
func TestLeftBeforeUp(t *testing.T) {
	for name, leave := range leaves {
		for _, line := range []string{"", "M 1\r\n"} {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				asked, goes, said := make(chan bool, 1), make(chan bool), make(chan bool)
				r, s := rigged(t, "read_like", "non_idempotent"), posted(t, func(conn *net.TCPConn, _ int, _ string) {
					asked <- true
					<-goes
					fmt.Fprint(conn, "UP 1\r\n")
					close(said)
				})
				r.listed(1, member("s-1", s.at, "ready"))
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, opening())
				<-asked
				release := r.stall()
				close(goes)
				<-said
				fmt.Fprint(d.Conn, line)
				leave(d)
				time.Sleep(350 * time.Millisecond) // over the 0.1 s of the terms
				release()
				r.until("the server hears the end", func() bool { _, _, all := s.got(); return all })
				if text, _, _ := s.got(); strings.Count(text, "\n") != 1 {
					t.Errorf("%q", text)
				}
				d.Close()
				r.over()
			})
		}
	}
}

// TestLeftBeforeItsHolder: a session that goes back to its holder waits for a later try; its client goes; when the
// holder is back, nothing is sent there.
func TestLeftBeforeItsHolder(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			r, s := rigged(t), posted(t, nil)
			gone := free(t)
			r.listed(1, member("s-1", gone, "ready"))
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, "OPEN aa 1 c=chat,d=800,at=s-1\r\n")
			r.until("the session waits for a later try", func() bool {
				return r.p.table.Len() == 1 && r.p.connector.Out() == 0
			})
			leave(d)
			r.until("the proxy has seen it go", func() bool { return r.p.table.Len() == 0 })
			r.listed(2, member("s-1", s.at, "ready"))
			time.Sleep(2 * r.p.terms.connect) // a further try would have come by now
			s.nothing(r, 0)
			if name == "fin" {
				d.ends(io.EOF)
				d.Close()
			}
			r.over()
		})
	}
}

// TestLeaveByTheHundred: clients that send their line and go in the same breath.
func TestLeaveByTheHundred(t *testing.T) {
	r := rigged(t)
	s := posted(t, nil)
	r.listed(1, member("s-1", s.at, "ready"))
	release := r.stall()
	for i := range 100 {
		d := connect(t, r.at)
		fmt.Fprint(d.Conn, opening())
		leaves[[]string{"fin", "close", "rst"}[i%3]](d)
		defer d.Close()
	}
	left := time.Now()
	time.Sleep(3 * leftSpan) // the loop stands still that long
	release()
	r.until("all are gone", func() bool { return r.p.table.Len() == 0 && r.p.connector.Out() == 0 })
	s.nothing(r, 0)
	if took := time.Since(left); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
}

// TestEnds: SIGTERM twice with a new configuration between, in both modes and with settings of several lengths: what
// hangs, waits, comes then or is in the kernel's queue gets its answer, and the process ends before its kill.
func TestEnds(t *testing.T) {
	for _, mode := range []string{"proxy", "pass"} {
		for _, timeout := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(mode, timeout), func(t *testing.T) {
				t.Parallel()
				hangs := fmt.Sprintf(`"dialTimeout":%d`, timeout/time.Millisecond)
				r := rigged(t, `"proxy"`, fmt.Sprintf("%q", mode), `"dialTimeout":800`, hangs)
				s := posted(t, func(*net.TCPConn, int, string) {}) // it never answers
				r.listed(1, member("s-1", s.at, "ready"))
				ask := func() dialog {
					d := connect(t, r.at)
					fmt.Fprint(d.Conn, strings.Replace(opening(), "800", fmt.Sprint(int(timeout/time.Millisecond)), 1))
					return d
				}
				waits := ask()
				r.until("it waits", func() bool { return r.p.table.Len() == 1 })
				told, took := time.Now(), make(chan time.Duration, 1)
				go func() {
					if err := <-r.ended; err != nil {
						t.Error(err)
					}
					took <- time.Since(told)
				}()
				r.p.Leave()
				if err := r.p.Reload([]byte(r.text)); err != nil {
					t.Error(err)
				}
				r.p.Leave()
				time.Sleep(time.Until(told.Add(arrivalsAfterTerm - 20*time.Millisecond)))
				late := ask() // connections go on coming for so long
				for _, d := range []dialog{waits, late} {
					if got, err := d.ReadString('\n'); got != "ERR\r\n" && !strings.HasPrefix(got, "BUSY") {
						t.Errorf("%q, %v", got, err)
					}
				}
				kill := min(timeout, maxDialTimeout) + killMargin
				if took := <-took; took < arrivalsAfterTerm || took > kill {
					t.Errorf("it ended after %v, the kill comes after %v", took, kill)
				}
			})
		}
	}
}

// TestQueuedAtTheEnd: the loop stands still while the proxy's last look at what is left comes due; a client that the
// kernel has taken meanwhile, its line in the buffer, gets its answer; one that only connected, too. So it is with the last
// call, which comes due after the last look.
func TestQueuedAtTheEnd(t *testing.T) {
	for _, c := range []struct {
		mode  string
		until time.Duration // the loop stands still
	}{{"proxy", 1100 * time.Millisecond}, {"pass", 1100 * time.Millisecond}, {"proxy", 1250 * time.Millisecond}, {"pass", 1250 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.mode, c.until), func(t *testing.T) {
			t.Parallel()
			r := rigged(t, `"proxy"`, fmt.Sprintf("%q", c.mode))
			s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
			r.listed(1, member("s-1", s.at, "ready"))
			told := time.Now()
			r.p.Leave()
			time.Sleep(time.Until(told.Add(300 * time.Millisecond)))
			release := r.stall()
			var asks []dialog
			for range 5 {
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, opening())
				asks = append(asks, d)
			}
			silent := connect(t, r.at)
			time.Sleep(time.Until(told.Add(c.until))) // all steps to the end are due
			release()
			for _, d := range asks {
				if got, err := d.ReadString('\n'); got != "UP 1\r\n" && !strings.HasPrefix(got, "BUSY") {
					t.Errorf("%q, %v", got, err)
				}
			}
			silent.hear("BUSY\r\n")
			silent.ends(io.EOF)
			select {
			case err := <-r.ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(5 * time.Second):
				t.Error("the process does not end")
			}
		})
	}
}

// TestNoneLetIn: once nothing new is let in, a connection that the kernel has taken is served, and no further one is.
func TestNoneLetIn(t *testing.T) {
	r := rigged(t)
	s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.listed(1, member("s-1", s.at, "ready"))
	release := r.stall()
	taken := connect(t, r.at)
	r.p.stopAccepting()
	if conn, err := net.DialTimeout("tcp", r.at, 200*time.Millisecond); err == nil {
		conn.Close()
		t.Error("the kernel lets another one in")
	}
	release()
	taken.say(opening(), "UP 1\r\n")
}

// TestStoppedLoop: a connect that is under way when the loop ends leaves no goroutine waiting.
func TestStoppedLoop(t *testing.T) {
	r := rigged(t)
	s := posted(t, nil)
	r.listed(1, member("s-1", s.at, "ready"))
	w := r.way(false, false)
	d := connect(t, r.at)
	fmt.Fprint(d.Conn, opening())
	<-w.reached
	release := r.stall()
	w.open <- true // it is handed over to a loop that stands still
	r.handedOver()
	stack := make([]byte, 1<<20)
	for range 1000 {
		if stack = stack[:cap(stack)]; !strings.Contains(string(stack[:runtime.Stack(stack, true)]), "(*Connector).connect") {
			release()
			d.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the connect waits for a loop that has ended")
	release()
	d.Close()
}

// TestDrainsUnderWay: a server drains, or is listed anew, between choice, connect and first line: it gets nothing, and the
// session, which no other server can take, is refused.
func TestDrainsUnderWay(t *testing.T) {
	up := func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") }
	for name, c := range map[string]struct {
		next func(was, other *post) string
		want string
	}{
		"drains":          {func(was, _ *post) string { return member("s-1", was.at, "draining") }, "BUSY"},
		"another address": {func(_, other *post) string { return member("s-1", other.at, "ready") }, "BUSY"},
		"a later start": {func(was, _ *post) string {
			return strings.Replace(member("s-1", was.at, "ready"), `"size"`, `"up_since_ms":1700000000000,"size"`, 1)
		}, "BUSY"},
	} {
		t.Run(name, func(t *testing.T) {
			r, was, other := rigged(t), posted(t, up), posted(t, up)
			r.listed(1, member("s-1", was.at, "ready"))
			w := r.way(false, false)
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, opening())
			<-w.reached
			r.listed(2, c.next(was, other))
			close(w.open)
			got, err := d.ReadString('\n')
			if !strings.HasPrefix(got, c.want) {
				t.Errorf("%q, %v", got, err)
			}
			was.nothing(r, 1)
			d.Close()
			r.over()
		})
	}
}

// effects are the settings' words, and what becomes of a session whose dial may have run.
var effects = map[string]struct {
	set   string
	rerun bool
}{
	"repeatable": {`"effect":"read_like"`, true},
	"referenced": {`"effect":"idempotency_key","group":"all","repeatWindow":60000`, true},
	"late":       {`"effect":"idempotency_key","group":"all","repeatWindow":0`, false},
	"once-only":  {`"effect":"non_idempotent"`, false},
}

// TestBrokenOff: the first server does this or that with the first line; what the protocol page makes of it decides, for
// each effect, whether the session is sent again, and never while a dial is out.
func TestBrokenOff(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		conn.SetLinger(0)
		conn.Close()
	}
	say := func(text string) func(conn *net.TCPConn) {
		return func(conn *net.TCPConn) { fmt.Fprint(conn, text) }
	}
	both := func(a, b func(conn *net.TCPConn)) func(conn *net.TCPConn) {
		return func(conn *net.TCPConn) { a(conn); b(conn) }
	}
	for name, c := range map[string]struct {
		does func(conn *net.TCPConn)
		ran  string // "never", "may", or what the client gets at once
	}{
		"reset":             {reset, "may"},
		"end":               {func(conn *net.TCPConn) { conn.Close() }, "may"},
		"error":             {say("ERR\r\n"), "may"},
		"full":              {say("BUSY\r\n"), "never"},
		"full, then bytes":  {say("BUSY\r\nUP 1\r\nM 7\r\n"), "never"},
		"full, then reset":  {both(say("BUSY\r\n"), reset), "never"},
		"served, then more": {say("BYE\r\nUP 2\r\nBYE\r\n"), "BYE\r\n"},
		"served, reset":     {both(say("BYE\r\n"), reset), "BYE\r\n"},
		"without end":       {say(strings.Repeat("U", 8000)), "may"},
		"unknown":           {say("WHAT\r\n"), "may"},
		"nothing":           {func(*net.TCPConn) {}, "may"},
		"half an answer":    {both(say("UP"), reset), "may"},
	} {
		for effect, e := range effects {
			t.Run(name+", "+effect, func(t *testing.T) {
				t.Parallel()
				r := rigged(t, `"effect":"read_like"`, e.set)
				s := posted(t, func(conn *net.TCPConn, nth int, _ string) {
					if nth == 1 {
						c.does(conn)
					} else {
						fmt.Fprint(conn, "UP 2\r\n")
					}
				})
				r.listed(1, member("s-1", s.at, "ready"), member("s-2", s.at, "ready"))
				d := connect(t, r.at)
				began := time.Now()
				fmt.Fprint(d.Conn, opening())
				got, err := d.ReadString('\n')
				_, firsts, _ := s.got()
				again := c.ran == "never" || c.ran == "may" && e.rerun
				switch {
				case strings.HasPrefix(c.ran, "B"):
					if got != c.ran || firsts != 1 {
						t.Errorf("%q, %v, %d dials", got, err, firsts)
					}
				case again && (firsts > 2 || (firsts == 2) != (got == "UP 2\r\n") || c.ran == "never" && firsts != 2),
					!again && (firsts != 1 || got != map[bool]string{true: "BUSY\r\n", false: "ERR\r\n"}[effect == "late"]):
					t.Errorf("%q, %v, %d dials", got, err, firsts)
				}
				if took := time.Since(began); took > 1300*time.Millisecond { // by the standing page it is lost from then on
					t.Errorf("answered after %v", took)
				}
				d.Close()
				r.over()
			})
		}
	}
}

// TestBrokenUnwritten: a connection that ends, or is given up, with the first line's last byte unwritten could not
// connect, so that also what must not run twice is sent elsewhere; and when the server reads on, no line comes of it.
func TestBrokenUnwritten(t *testing.T) {
	for effect, e := range effects {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprint(effect, resets), func(t *testing.T) {
				t.Parallel()
				r := rigged(t, `"effect":"read_like"`, e.set, `"dialTimeout":800`, `"dialTimeout":1600`)
				l := narrow(t)
				s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 2\r\n") })
				r.listed(1, member("s-1", l.Addr().String(), "ready"))
				w := r.way(true, false)
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, strings.Replace(opening(), "800", "1600", 1))
				began := time.Now()
				<-w.reached
				w.open <- true
				r.until("the line waits for this machine", func() bool { return r.p.connector.Out() == 0 })
				w = r.way(false, false)
				close(w.open)
				r.listed(2, member("s-1", l.Addr().String(), "ready"), member("s-2", s.at, "ready"))
				conn, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if resets {
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				}
				got, err := d.ReadString('\n')
				if took := time.Since(began); took > 2100*time.Millisecond {
					t.Errorf("%q after %v", got, took)
				}
				if got != "UP 2\r\n" && (resets || !strings.HasPrefix(got, "BUSY")) { // all its time may have gone by
					t.Errorf("%q, %v", got, err)
				}
				if !resets {
					all, _ := io.ReadAll(conn)
					if rest := strings.Trim(string(all), "x"); rest != "" {
						t.Errorf("%q follows", rest)
					}
				}
			})
		}
	}
}

// TestBothDue: the answer and the dial's limit come due while the loop stands still: one answer, and nothing after it.
func TestBothDue(t *testing.T) {
	for _, answer := range []string{"UP 1\r\n", "ERR\r\n", "BUSY\r\n", "BYE\r\n"} {
		t.Run(answer[:2], func(t *testing.T) {
			t.Parallel()
			asked, goes := make(chan bool, 8), make(chan bool)
			r := rigged(t, `"mostDials":3`, `"mostDials":1`, "read_like", "non_idempotent")
			s := posted(t, func(conn *net.TCPConn, _ int, _ string) {
				asked <- true
				<-goes
				fmt.Fprint(conn, answer, "UP 9\r\n")
			})
			r.listed(1, member("s-1", s.at, "ready"))
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, opening())
			<-asked
			release := r.stall()
			close(goes)
			time.Sleep(900 * time.Millisecond) // past the dial timeout
			release()
			got, err := d.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if rest, _ := d.ReadString('\n'); rest != "" && (got != "UP 1\r\n" || rest != "UP 9\r\n") {
				t.Errorf("%q after %q", rest, got)
			}
			if _, firsts, _ := s.got(); firsts != 1 {
				t.Errorf("%d dials", firsts)
			}
		})
	}
}

// TestAnswerAfterAll: an answer that comes after its dial was given up, and a second one, reach nobody.
func TestAnswerAfterAll(t *testing.T) {
	r := rigged(t)
	first := make(chan *net.TCPConn, 1)
	s := posted(t, func(conn *net.TCPConn, nth int, _ string) {
		if nth == 1 {
			first <- conn
			return
		}
		fmt.Fprint(conn, "UP 2\r\n")
	})
	r.listed(1, member("s-1", s.at, "ready"), member("s-2", s.at, "ready"))
	s.from(2)
	r.served("UP 2\r\n")
	s.from(1)
	d := connect(t, r.at)
	fmt.Fprint(d.Conn, opening())
	late := <-first
	d.hear("UP 2\r\n")
	fmt.Fprint(late, "UP 1\r\nM 8\r\n")
	fmt.Fprint(d.Conn, "M 1\r\n")
	d.Conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if more, err := d.ReadString('\n'); !errors.Is(err, errTimeout(err)) {
		t.Errorf("%q, %v", more, err)
	}
}

func errTimeout(err error) error {
	if n, is := err.(net.Error); is && n.Timeout() {
		return err
	}
	return io.ErrNoProgress
}

// TestIdleAndLine: the time for a first line ends, and the line comes, while the loop stands still: the client gets an
// answer and no reset, also with many PINGs before, or with half a line.
func TestIdleAndLine(t *testing.T) {
	for name, before := range map[string]string{"": "", "pings": strings.Repeat("PING\r\n", 40), "half": "OPEN 77"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := rigged(t)
			s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
			r.listed(1, member("s-1", s.at, "ready"))
			d := connect(t, r.at)
			fmt.Fprint(d.Conn, before)
			for range strings.Count(before, "PING") {
				d.hear("PONG\r\n")
			}
			r.until("it is there", func() bool { return r.p.clients.Idle() == 1 })
			release := r.stall()
			time.Sleep(r.p.terms.hello + 100*time.Millisecond)
			fmt.Fprint(d.Conn, strings.TrimPrefix(opening(), before))
			release()
			if got, err := d.ReadString('\n'); err != nil || got != "BUSY\r\n" && got != "UP 1\r\n" && name != "half" {
				t.Errorf("%q, %v", got, err)
			} else if got != "UP 1\r\n" {
				d.ends(io.EOF)
			}
		})
	}
}

// TestPings: a connection may ask as often as it likes whether the proxy is there, and then for a session.
func TestPings(t *testing.T) {
	r := rigged(t)
	s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.listed(1, member("s-1", s.at, "ready"))
	d := connect(t, r.at)
	for range 60 {
		d.say("PING\r\n", "PONG\r\n")
	}
	d.say(opening(), "UP 1\r\n")
}

// TestPushed: where lists are pushed, a proxy that starts is dealt out connections only once it has what discovery has to
// tell, or has heard that there is nothing to be had.
func TestPushed(t *testing.T) {
	r := rigged(t, `"discovery":"ask"`, `"discovery":"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`)
	d := connect(t, r.at)
	fmt.Fprint(d.Conn, "PING\r\n")
	d.Conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := d.ReadString('\n'); err == nil {
		t.Errorf("%q before any list", got)
	}
	d.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	r.listed(1, member("s-1", "127.0.0.1:1", "draining"))
	d.hear("PONG\r\n")
	connect(t, r.at).say("PING\r\n", "PONG\r\n")
	if again := r.p.terms.list.MaxRetryBackoff; again != 150*time.Millisecond {
		t.Errorf("a watch that failed is back after %v", again)
	}
}

// TestPushedAndSilent: with long dial timeouts, a discovery that takes the call and says nothing does not keep a proxy
// that starts from being dealt out connections, and is asked again before its silence would count.
func TestPushedAndSilent(t *testing.T) {
	at, calls := desk(t)
	r := riggedAt(t, at, `"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`, `"dialTimeout":800`, `"dialTimeout":20000`)
	began := (<-calls).at
	d := connect(t, r.at)
	fmt.Fprint(d.Conn, "PING\r\n")
	d.hear("PONG\r\n")
	if took := time.Since(began); took > discovery.StalenessLimit*3/4 {
		t.Errorf("it is ready after %v", took)
	}
	if took := (<-calls).at.Sub(began); took > discovery.StalenessLimit*5/4 {
		t.Errorf("it asks again after %v", took)
	}
}

// TestCrowdedOut: a connection is given up for want of descriptors while its line is in the kernel's buffer: it hears so.
func TestCrowdedOut(t *testing.T) {
	r := rigged(t)
	d := connect(t, r.at)
	r.until("it is there", func() bool { return r.p.clients.Idle() == 1 })
	release := r.stall()
	fmt.Fprint(d.Conn, opening())
	done := make(chan bool)
	r.p.execute(func() {
		r.p.connectionLimit.Take(250)
		r.p.connectionLimit.Spare(func() {})
		r.p.connectionLimit.Relieve()
		r.p.connectionLimit.Give(250)
		close(done)
	})
	release()
	<-done
	d.hear("BUSY\r\n")
	d.ends(io.EOF)
}

// TestServerEndsIdle: a server ends an open session in the moment that a client's line goes out: the client's ends
// within a second, and its line reaches nobody else.
func TestServerEndsIdle(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){"fin": func(c *net.TCPConn) { c.CloseWrite() }, "rst": func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}} {
		r := rigged(t)
		conns := make(chan *net.TCPConn, 1)
		s := posted(t, func(conn *net.TCPConn, _ int, _ string) {
			fmt.Fprint(conn, "UP 1\r\n")
			conns <- conn
		})
		r.listed(1, member("s-1", s.at, "ready"))
		d := connect(t, r.at)
		d.say(opening(), "UP 1\r\n")
		conn := <-conns
		release := r.stall()
		fmt.Fprint(d.Conn, "M 1\r\n")
		end(conn)
		ended := time.Now()
		release()
		if _, err := d.ReadString('\n'); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) || time.Since(ended) > time.Second {
			t.Errorf("%s: %v after %v", name, err, time.Since(ended))
		}
		d.Close()
		r.over()
	}
}

// TestCrossingLines: UP with lines behind it, a client's line that crosses a MOVE, a server's line that crosses it, and
// a BYE that does: each whole, in order, and nothing after the last.
func TestCrossingLines(t *testing.T) {
	r := rigged(t)
	conns := make(chan *net.TCPConn, 1)
	s := posted(t, func(conn *net.TCPConn, _ int, _ string) {
		fmt.Fprint(conn, "UP 1\r\nM 1\r\nM 2\r\n")
		conns <- conn
	})
	r.listed(1, member("s-1", s.at, "ready"))
	for _, crossing := range []string{"M 4\r\n", "BYE\r\n", "MOVE\r\n", "M 5\r"} {
		d := connect(t, r.at)
		d.say(opening(), "UP 1\r\n")
		d.hear("M 1\r\n")
		d.hear("M 2\r\n")
		conn := <-conns
		release := r.stall()
		fmt.Fprint(conn, crossing)
		fmt.Fprint(d.Conn, "M 3\r\n")
		moved := make(chan bool)
		r.p.execute(func() {
			r.p.table.MoveSome(1)
			close(moved)
		})
		release()
		<-moved
		all, err := io.ReadAll(d.Reader)
		want := []string{"MOVE\r\n", crossing, crossing + "MOVE\r\n"}
		if got := string(all); err != nil || got != want[0] && got != want[1] && got != want[2] || strings.HasSuffix(got, "\r") {
			t.Errorf("%q crosses MOVE: %q, %v", crossing, got, err)
		}
		d.Close()
		r.over()
	}
}

// TestRenamed: listeners are renamed, taken out and set before others while a once-only session is dialled, one waits
// for its holder, and one stands: each keeps what it came under; above all, none is sent a second time.
func TestRenamed(t *testing.T) {
	asked := make(chan *net.TCPConn, 8)
	r := rigged(t, "read_like", "non_idempotent")
	s := posted(t, func(conn *net.TCPConn, nth int, _ string) { asked <- conn })
	holder := free(t)
	r.listed(1, member("s-1", s.at, "ready"), member("s-2", s.at, "ready"), member("s-9", holder, "draining"))
	d := connect(t, r.at)
	fmt.Fprint(d.Conn, opening())
	conn := <-asked
	resumes := connect(t, r.at)
	fmt.Fprint(resumes.Conn, "OPEN bb 1 c=chat,d=800,at=s-9\r\n")
	r.until("it waits for its holder", func() bool { return r.p.table.Len() == 2 })
	renamed := strings.NewReplacer(`"listeners":[{"name":"chat"`,
		`"listeners":[{"name":"other","dialTimeout":5000,"effect":"read_like","utility":9},{"name":"talk"`, "non_idempotent", "read_like")
	for _, next := range []string{renamed.Replace(r.text), r.text, renamed.Replace(r.text)} {
		if err := r.p.Reload([]byte(next)); err != nil {
			t.Fatal(err)
		}
	}
	conn.SetLinger(0)
	conn.Close()
	d.hear("ERR\r\n")
	if _, firsts, _ := s.got(); firsts != 1 {
		t.Errorf("%d dials of a once-only session", firsts)
	}
	resumes.hear("ERR\r\n") // its dial timeout is the old one
	d.Close()
	resumes.Close()
	r.over()
}

// TestReloadsAtOnce: two new configurations at once, and words between proxies allowed, refused and allowed again.
func TestReloadsAtOnce(t *testing.T) {
	r := rigged(t)
	words := free(t)
	allowed := strings.NewReplacer(`"mostDials":3`, `"mostDials":3,"peers":true`, `"limits"`, `"peer_listen":"`+words+`","limits"`).Replace(r.text)
	refused := r.text
	for i := range 6 {
		next := []string{allowed, refused}[i%2]
		results := make(chan error, 3)
		for range 3 {
			go func() { results <- r.p.Reload([]byte(next)) }()
		}
		for range 3 {
			if err := <-results; err != nil {
				t.Errorf("reload %d: %v", i, err)
			}
		}
		var hears bool
		r.on(func() { hears = r.p.peers != nil })
		if hears != (i%2 == 0) {
			t.Errorf("after reload %d words are heard: %v", i, hears)
		}
	}
}

// TestNamedFields: a wrong field is refused by its name, at a start and at SIGHUP, where it changes nothing.
func TestNamedFields(t *testing.T) {
	r := rigged(t)
	s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.listed(1, member("s-1", s.at, "ready"))
	for field, wrong := range map[string][2]string{
		"listeners[0].dialTimeout":     {`"dialTimeout":800`, `"dialTimeout":-800`},
		"listeners[0].handshakeTarget": {`"handshakeTarget":200`, `"handshakeTarget":1e300`},
		"ceilings.connectTimeout":      {`"connectTimeout":100`, `"connectTimeout":-1`},
		"invariants.mustAskIn":         {`"mustAskIn":4000`, `"mustAskIn":-4`},
		"invariants.cold":              {`"cold":20000`, `"cold":-2`},
		"domain.messageAim[0]":         {`"messageAim":[100]`, `"messageAim":[-1]`},
		"listeners.dialTimeout":        {`"dialTimeout":800`, `"dialTimeout":"800"`},
		"discovery":                    {`"discovery":"ask"`, `"discovery":"tell"`},
		"tenants":                      {`"areas"`, `"tenants":[{"name":"a"},{"name":"a"}],"areas"`},
		"areas":                        {`["a"]`, `["a","a"]`},
		"effect":                       {"read_like", "any"},
	} {
		text := strings.Replace(r.text, wrong[0], wrong[1], 1)
		_, err := New([]byte(text), zerolog.Nop())
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
		if again := r.p.Reload([]byte(text)); again == nil || err != nil && again.Error() != err.Error() {
			t.Errorf("%s at SIGHUP: %v", field, again)
		}
	}
	r.on(func() {
		if string(r.p.text) != r.text {
			t.Error("a wrong configuration has changed something")
		}
	})
	connect(t, r.at).say(opening(), "UP 1\r\n")
}

// TestToldBeforeReady: SIGTERM and SIGHUP come before the loop runs, and discovery is down: the process ends by itself.
func TestToldBeforeReady(t *testing.T) {
	for _, mode := range []string{"proxy", "pass"} {
		text := strings.Replace(fmt.Sprintf(configuration, free(t), free(t), 256), `"proxy"`, fmt.Sprintf("%q", mode), 1)
		p, err := New([]byte(text), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		reloaded := make(chan error, 1)
		go p.Leave()
		go func() { reloaded <- p.Reload([]byte(text)) }()
		ended := make(chan error, 1)
		go func() { ended <- p.Run() }()
		for _, done := range []chan error{reloaded, ended} {
			select {
			case err := <-done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(3 * time.Second):
				t.Fatal("it hangs")
			}
		}
	}
}

// TestStale: a list older than the one at hand changes nothing, and the next one is asked for.
func TestStale(t *testing.T) {
	r := rigged(t)
	s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.listed(5, member("s-1", s.at, "ready"))
	r.lists <- fmt.Sprintf(`{"revision":3,"complete":true,"members":[%s]}`, member("s-1", s.at, "draining"))
	r.until("the old list is refused", func() bool { return r.p.failed == 1 })
	connect(t, r.at).say(opening(), "UP 1\r\n")
	r.listed(6, member("s-1", s.at, "draining"))
	connect(t, r.at).say(opening(), "BUSY\r\n")
}

// TestSlowReader: a client that reads nothing while its server says its last line, after more than the machine takes at
// once: it gets whole lines in order as far as it goes, and its room is given back in good time.
func TestSlowReader(t *testing.T) {
	for name, c := range map[string]struct {
		lines int
		whole bool
	}{"within bounds": {100, true}, "beyond": {400 << 10 / 100, false}} {
		t.Run(name, func(t *testing.T) {
			r := rigged(t)
			text := strings.Repeat(strings.Repeat("x", 98)+"\r\n", c.lines)
			s := posted(t, func(conn *net.TCPConn, _ int, _ string) {
				fmt.Fprint(conn, "UP 1\r\n")
				for range 60 {
					fmt.Fprint(conn, text)
				}
				fmt.Fprint(conn, "BYE\r\n")
				conn.CloseWrite()
			})
			r.listed(1, member("s-1", s.at, "ready"))
			conn, err := (&net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			}}).Dial("tcp", r.at)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprint(conn, opening())
			if c.whole {
				all, err := io.ReadAll(conn)
				if want := "UP 1\r\n" + strings.Repeat(text, 60) + "BYE\r\n"; string(all) != want || err != nil {
					t.Errorf("%d bytes of %d, %v", len(all), len(want), err)
				}
			}
			r.over()
		})
	}
}

// TestSilentWatch: a watch falls silent, and the call that is to open it anew meets a discovery that takes it and says
// nothing, or one that has others to serve first. By the standing page what is missed counts as told 6 s after the
// silence began, whatever the settings say on asking; a list that a call waits for in turn must not be given up.
func TestSilentWatch(t *testing.T) {
	for _, asking := range []string{`"mustAskIn":4000`, `"mustAskIn":120000`} {
		for name, queue := range map[string]time.Duration{"says nothing": 0, "serves others first": 2 * time.Second} {
			t.Run(fmt.Sprint(asking, " ", name), func(t *testing.T) {
				t.Parallel()
				at, calls := desk(t)
				r := riggedAt(t, at, `"mustAskIn":4000`, asking)
				(<-calls).opens(entry(1, "127.0.0.1:1", "ready"))
				r.until("the list is taken", func() bool { return r.p.revision == 1 })
				silent := time.Now()
				again := <-calls
				if queue == 0 {
					again = <-calls // the one before is left as it is
				} else {
					time.Sleep(queue)
				}
				again.opens(entry(2, "127.0.0.1:1", "draining"))
				r.until("the drain is known", func() bool { return r.p.revision == 2 })
				if took := time.Since(silent); took > discovery.StalenessLimit {
					t.Errorf("it is known %v after the silence began", took)
				}
			})
		}
	}
}

// TestOverbooked: a call that waits its turn for longer than a watch may be silent, or than a dial may take, is answered
// in the end, and is not given up for another, which would wait at the end of the queue.
func TestOverbooked(t *testing.T) {
	for name, c := range map[string]struct {
		queue time.Duration
		set   []string
	}{
		"asked":  {3500 * time.Millisecond, []string{`"mustAskIn":4000`, `"mustAskIn":10000`}},
		"pushed": {3500 * time.Millisecond, []string{`"ask"`, `"push"`, `"mustAskIn":4000`, `"stopSendingWithin":300`, `"dialTimeout":800`, `"dialTimeout":300`}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at, calls := desk(t)
			r := riggedAt(t, at, c.set...)
			first := <-calls
			time.Sleep(c.queue)
			first.opens(entry(1, "127.0.0.1:1", "ready"))
			r.until("the list is taken", func() bool { return r.p.revision == 1 })
			if n := len(calls); n > 0 {
				t.Errorf("%d further calls", n)
			}
		})
	}
}

// TestWatchCut: a watch that is reset is back before what it misses would count as told at the latest, however long the
// settings let a proxy go without asking.
func TestWatchCut(t *testing.T) {
	for _, asking := range []string{`"mustAskIn":4000`, `"mustAskIn":120000`} {
		t.Run(asking, func(t *testing.T) {
			t.Parallel()
			at, calls := desk(t)
			r := riggedAt(t, at, `"mustAskIn":4000`, asking)
			first := <-calls
			first.opens(entry(1, "127.0.0.1:1", "ready"))
			r.until("the list is taken", func() bool { return r.p.revision == 1 })
			first.Conn.(*net.TCPConn).SetLinger(0)
			first.Close()
			cut := time.Now()
			if again := <-calls; again.at.Sub(cut) > discovery.StalenessLimit/2 {
				t.Errorf("it is back after %v", again.at.Sub(cut))
			}
		})
	}
}

// TestWindowPasses: a referenced session's first dial may have run; the connection of the next one stands only after the
// window for repeats has passed, by itself or as the loop stood still: no line goes out on it, and the session gets the
// answer of one that may not be sent again.
func TestWindowPasses(t *testing.T) {
	const window = 400 * time.Millisecond
	for group, want := range map[string]string{"all": "BUSY", "zone": "ERR\r\n"} {
		for _, stands := range []bool{false, true} {
			t.Run(fmt.Sprint(group, stands), func(t *testing.T) {
				t.Parallel()
				r := rigged(t, `"effect":"read_like"`, fmt.Sprintf(`"effect":"idempotency_key","group":%q,"repeatWindow":%d`, group, window.Milliseconds()),
					`"dialTimeout":800`, `"dialTimeout":1600`)
				s := posted(t, func(conn *net.TCPConn, nth int, _ string) {
					fmt.Fprint(conn, map[bool]string{true: "ERR\r\n", false: "UP 2\r\n"}[nth == 1])
				})
				r.listed(1, member("s-1", s.at, "ready"), member("s-2", s.at, "ready"))
				s.from(2)
				r.served("UP 2\r\n")
				s.from(1)
				w := r.way(false, false)
				d := connect(t, r.at)
				fmt.Fprint(d.Conn, strings.Replace(opening(), "800", "1600", 1))
				<-w.reached
				first := time.Now()
				w.open <- true
				<-w.reached // of the next one
				release := func() {}
				if stands {
					release = r.stall()
					w.open <- true
					r.handedOver()
				}
				time.Sleep(time.Until(first.Add(window + 100*time.Millisecond)))
				release()
				if !stands {
					w.open <- true
				}
				got, err := d.ReadString('\n')
				if _, firsts, _ := s.got(); firsts != 1 || !strings.HasPrefix(got, want) {
					t.Errorf("%d lines reach servers, the client gets %q, %v", firsts, got, err)
				}
				d.Close()
				r.over()
			})
		}
	}
}

// TestStartsAtAll: how long sessions may be dialled says nothing of how long a proxy may take to reach its own listener
// at its start, on a machine where hundreds start together.
func TestStartsAtAll(t *testing.T) {
	r := rigged(t, `"dialTimeout":800`, `"dialTimeout":0.001`) // where it can't, the process exits
	r.over()
}

// TestTellsItsWait: a first line tells its server how long the proxy will wait from then on, however long its
// connection took to stand.
func TestTellsItsWait(t *testing.T) {
	const held = 500 * time.Millisecond
	lines := make(chan string, 1)
	r := rigged(t, "read_like", "non_idempotent")
	s := posted(t, func(conn *net.TCPConn, _ int, first string) {
		lines <- first
		fmt.Fprint(conn, "UP 1\r\n")
	})
	r.listed(1, member("s-1", s.at, "ready"))
	w := r.way(false, false)
	d := connect(t, r.at)
	fmt.Fprint(d.Conn, opening())
	<-w.reached
	time.Sleep(held)
	w.open <- true
	d.hear("UP 1\r\n")
	_, wait, _ := strings.Cut(<-lines, "d=")
	wait, _, _ = strings.Cut(wait, ",")
	if ms, err := strconv.Atoi(wait); err != nil || time.Duration(ms)*time.Millisecond > 800*time.Millisecond-held {
		t.Errorf("it tells %s ms, %v", wait, err)
	}
}

// TestUpAndLimit: the connection stands and the dial's limit passes while the loop stands still: no line goes out that
// nobody waits for, and a once-only session is refused, as it can't have run.
func TestUpAndLimit(t *testing.T) {
	for range 3 { // either may come first
		r, s := rigged(t, "read_like", "non_idempotent"), posted(t, nil)
		r.listed(1, member("s-1", s.at, "ready"))
		w := r.way(false, false)
		d := connect(t, r.at)
		fmt.Fprint(d.Conn, opening())
		<-w.reached
		release := r.stall()
		w.open <- true
		r.handedOver()
		time.Sleep(900 * time.Millisecond)
		release()
		d.hear("BUSY\r\n")
		s.nothing(r, 1)
		d.Close()
		r.over()
	}
}

// TestMovedAfterFailures: SIGHUP moves discovery while a call to the old address is due again after several failures. The
// call to the new one is left to wait its turn, and when it fails the next one comes soon: what discovery has counts as
// told 4 s after SIGHUP, and what failed at the old address says nothing of the new one.
func TestMovedAfterFailures(t *testing.T) {
	t.Parallel()
	at, calls := desk(t)
	r := riggedAt(t, at, `"mustAskIn":4000`, `"mustAskIn":10000`)
	for range 3 {
		(<-calls).Close()
	}
	r.until("the failures are known", func() bool { return r.p.failed == 3 })
	next, moved := desk(t)
	if err := r.p.Reload([]byte(strings.Replace(r.text, at, next, 1))); err != nil {
		t.Fatal(err)
	}
	first := <-moved
	time.Sleep(4500 * time.Millisecond) // within half of mustAskIn; the old address's turn has come by then in nearly all draws
	if n := len(moved); n > 0 {
		t.Errorf("%d further calls while one waits", n)
	}
	first.Close()
	failed := time.Now()
	if again := <-moved; again.at.Sub(failed) > 1300*time.Millisecond {
		t.Errorf("the next call comes %v after a first failure", again.at.Sub(failed))
	}
	if n := len(calls); n > 0 {
		t.Errorf("%d calls to the old address", n)
	}
}

// TestForeignZones: a referenced session keeps to its zone, also between servers in zones that the settings do not name.
func TestForeignZones(t *testing.T) {
	in := func(zone, id, at string) string {
		return strings.Replace(member(id, at, "ready"), `"locality":"a"`, fmt.Sprintf(`"locality":%q`, zone), 1)
	}
	for _, zones := range [][2]string{{"a", "b"}, {"b", "c"}, {"a", ""}} {
		t.Run(zones[0]+" "+zones[1], func(t *testing.T) {
			t.Parallel()
			r := rigged(t, `"effect":"read_like"`, `"effect":"idempotency_key","group":"zone","repeatWindow":60000`)
			s := posted(t, func(conn *net.TCPConn, nth int, _ string) {
				fmt.Fprint(conn, map[bool]string{true: "UP 2\r\n", false: "ERR\r\n"}[nth < 100])
			})
			r.listed(1, in(zones[0], "s-1", s.at), in(zones[1], "s-2", s.at))
			r.served("UP 2\r\n")
			for nth := range 8 {
				s.from(100)
				d := connect(t, r.at)
				d.say(opening(), "ERR\r\n")
				if _, firsts, _ := s.got(); firsts != 100 {
					t.Errorf("session %d is dialled %d times, in two zones", nth, firsts-99)
				}
				d.Close()
			}
		})
	}
}

// TestNamesOfSettings: listeners and tenants are asked for by the names that the settings give them, in any script; what
// is not among them, or stands in no name, is refused.
func TestNamesOfSettings(t *testing.T) {
	r := rigged(t, `"name":"chat"`, `"name":"чат-β"`, `"areas"`, `"tenants":[{"name":"Luleå"}],"areas"`)
	s := posted(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.listed(1, member("s-1", s.at, "ready"))
	for line, want := range map[string]string{
		"OPEN 1a 2 c=чат-β,t=Luleå,d=800,g=3":     "UP 1\r\n",
		"OPEN 1b 2 c=чат,t=Luleå,d=800,g=3":       "ERR\r\n",
		"OPEN 1c 2 c=чат-β,t=Lulea,d=800,g=3":     "ERR\r\n",
		"OPEN å 2 c=чат-β,t=Luleå,d=800,g=3":      "ERR\r\n",
		"OPEN 1e å c=чат-β,t=Luleå,d=800,g=3":     "ERR\r\n",
		"OPEN 1f 2 c=чат-β,t=Luleå,d=800,g=å":     "ERR\r\n",
		"OPEN 1g 2 c=чат-β\x01,t=Luleå,d=800":     "ERR\r\n",
		"OPEN 1h 2 c=чат-β,t=Lule\xe5,d=800":      "ERR\r\n",
		"OPEN 1i 2 c=чат-β,t=Luleå,d=800,å=1":     "ERR\r\n",
		"OPEN 1j 2 c=чат-β,t=Luleå,d=800,h=1\x7f": "ERR\r\n",
	} {
		connect(t, r.at).say(line+"\r\n", want)
	}
}
