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

// connectIdleClients keeps that many clients connected that send nothing, until stop is called. A client whose connection is
// closed connects again after a second.
func connectIdleClients(t *testing.T, address string, clients int) (stop func()) {
	stopClients, clientStopped := make(chan bool), make(chan bool)
	for range clients {
		go func() {
			defer func() { clientStopped <- true }()
			for {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					select {
					case <-stopClients:
						return
					case <-time.After(10 * time.Millisecond):
						continue
					}
				}
				closedByProxy := make(chan bool)
				go func() {
					defer close(closedByProxy)
					io.Copy(io.Discard, conn)
				}()
				select {
				case <-stopClients:
					conn.Close()
					<-closedByProxy
					return
				case <-closedByProxy:
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
			close(stopClients)
			for range clients {
				<-clientStopped
			}
		}
	}
	t.Cleanup(stop)
	return stop
}

// connectUntilServed sends a line on new connections until one gets the wanted answer: while descriptors are short, a
// connection may be closed with BUSY before its line is read. It tries for less time than an idle client may hold its
// descriptor.
func (r *testProxy) connectUntilServed(line func() string, want string) clientConn {
	r.Helper()
	const retryLimit = 400 * time.Millisecond
	for began := time.Now(); ; {
		d := connect(r.T, r.address)
		fmt.Fprint(d.Conn, line())
		got, err := d.ReadString('\n')
		if got == want {
			return d
		}
		d.Close()
		if got != "BUSY\r\n" && !errors.Is(err, syscall.ECONNRESET) || time.Since(began) > retryLimit {
			r.Fatalf("got %q, %v after %v, want %q", got, err, time.Since(began), want)
		}
	}
}

// TestCrowdWhileDiscoveryIsDown has idle clients take all descriptors for clients again and again, while discovery refuses
// calls or accepts them and stays silent. Open sessions must continue, PING must be answered, other clients must be served,
// and the watch must be back soon after discovery is, with its list applied. The message target is long, so that delays on a
// busy machine do not count.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 96
	for name, fail := range map[string]func(c discoveryCall){
		"refuses": failedCalls[0], "answers 503": failedCalls[1], "says nothing": func(discoveryCall) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, calls := startManualDiscovery(t)
			r := startTestProxyWithDiscovery(t, address, `"messageAim":[100]`, `"messageAim":[10000]`,
				`"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets))
			server := startEchoServer(t)
			watch := nextCall(t, calls, time.Second)
			watch.sendFirstList(listWithOneServer(1, server, "ready"))
			r.waitFor("the list is known", func() bool { return r.p.revision == 1 })
			var open []clientConn
			for range 5 {
				d := connect(t, r.address)
				d.sendAndExpect(openLine(), "UP 1\r\n")
				open = append(open, d)
			}
			failedCalls[0](watch)
			stop := connectIdleClients(t, r.address, 400)
			r.waitFor("descriptors are short", func() bool { return r.p.connectionLimit.Free() <= (sockets-reservedSockets)/8 })
			for step := range 4 {
				for i, d := range open {
					d.sendAndExpect(fmt.Sprintf("M %d\r\n", step), fmt.Sprintf("M %d\r\n", step))
					if i == step { // its client ends the session and opens another one
						d.sendAndExpect("BYE\r\n", "BYE\r\n")
						d.expectEnd(io.EOF)
						open[i] = r.connectUntilServed(openLine, "UP 1\r\n")
					}
				}
				r.connectUntilServed(func() string { return "PING\r\n" }, "PONG\r\n").Close()
				fail(nextCall(t, calls, discovery.StalenessLimit))
			}
			recoveredAt := time.Now()
			nextCall(t, calls, discovery.StalenessLimit).sendFirstList(listWithOneServer(2, server, "draining"))
			r.waitFor("the drain is known", func() bool { return r.p.revision == 2 })
			if took := time.Since(recoveredAt); took > discovery.StalenessLimit {
				t.Errorf("the drain is known %v after discovery is back", took)
			}
			connect(t, r.address).sendAndExpect(openLine(), "BUSY\r\n")
			for _, d := range open {
				d.sendAndExpect("M 9\r\n", "M 9\r\n")
			}
			stop()
			for _, d := range open {
				d.Close()
			}
			r.expectIdle()
		})
	}
}
