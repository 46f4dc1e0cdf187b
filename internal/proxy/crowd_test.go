package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"chalkferry/internal/discovery"
)

// crowd connects clients that say nothing, until it is told to stop; each that is turned away is followed by another.
func crowd(t *testing.T, address string, clients int) (stop func()) {
	ends, ended := make(chan bool), make(chan bool)
	for range clients {
		go func() {
			defer func() { ended <- true }()
			for {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					select {
					case <-ends:
						return
					case <-time.After(10 * time.Millisecond):
						continue
					}
				}
				gone := make(chan bool)
				go func() {
					defer close(gone)
					io.Copy(io.Discard, conn)
				}()
				select {
				case <-ends:
					conn.Close()
					<-gone
					return
				case <-gone:
					conn.Close()
				}
				time.Sleep(time.Second)
			}
		}()
	}
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			close(ends)
			for range clients {
				<-ended
			}
		}
	}
	t.Cleanup(stop)
	return stop
}

// servedAmong asks on new connections until one has the answer: among a crowd one may be shut before its line is read, and is
// told so by BUSY. It is tried again for less time than an idle client may hold its descriptor.
func (r *rig) servedAmong(line func() string, want string) dialog {
	r.Helper()
	const soon = 400 * time.Millisecond
	for began := time.Now(); ; {
		d := connect(r.T, r.at)
		fmt.Fprint(d.Conn, line())
		got, err := d.ReadString('\n')
		if got == want {
			return d
		}
		d.Close()
		if got != "BUSY\r\n" && !errors.Is(err, syscall.ECONNRESET) || time.Since(began) > soon {
			r.Fatalf("%q, %v after %v, want %q", got, err, time.Since(began), want)
		}
	}
}

// TestCrowdWhileDiscoveryIsDown: idle clients take all descriptors that there are for clients, again and again, while
// discovery refuses calls, or takes them and says nothing. Open sessions go on, PING is answered and a usual client is
// served (what a busy machine does to messages is not judged, so their target is long), and the watch is back soon after discovery is; what it tells then binds.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 96
	for name, fail := range map[string]func(c call){
		"refuses": failedCalls[0], "answers 503": failedCalls[1], "says nothing": func(call) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, calls := desk(t)
			r := riggedAt(t, address, `"messageAim":[100]`, `"messageAim":[10000]`, `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets))
			server := serve(t)
			watch := next(t, calls, time.Second)
			watch.opens(entry(1, server, "ready"))
			r.until("the list is known", func() bool { return r.p.revision == 1 })
			var open []dialog
			for range 5 {
				d := connect(t, r.at)
				d.say(opening(), "UP 1\r\n")
				open = append(open, d)
			}
			failedCalls[0](watch)
			stop := crowd(t, r.at, 400)
			r.until("descriptors are short", func() bool { return r.p.connectionLimit.Free() <= (sockets-keptSockets)/8 })
			for step := range 4 {
				for i, d := range open {
					d.say(fmt.Sprintf("M %d\r\n", step), fmt.Sprintf("M %d\r\n", step))
					if i == step { // its client goes, and comes again
						d.say("BYE\r\n", "BYE\r\n")
						d.ends(io.EOF)
						open[i] = r.servedAmong(opening, "UP 1\r\n")
					}
				}
				r.servedAmong(func() string { return "PING\r\n" }, "PONG\r\n").Close()
				fail(next(t, calls, discovery.StalenessLimit))
			}
			back := time.Now()
			next(t, calls, discovery.StalenessLimit).opens(entry(2, server, "draining"))
			r.until("the drain is known", func() bool { return r.p.revision == 2 })
			if took := time.Since(back); took > discovery.StalenessLimit {
				t.Errorf("the drain is known %v after discovery is back", took)
			}
			connect(t, r.at).say(opening(), "BUSY\r\n")
			for _, d := range open {
				d.say("M 9\r\n", "M 9\r\n")
			}
			stop()
			for _, d := range open {
				d.Close()
			}
			r.over()
		})
	}
}
