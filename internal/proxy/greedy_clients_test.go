package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// floodLength is how long the tests of this file have clients send at full speed.
const floodLength = 2 * time.Second

// startFlood has clients send a text at full speed for floodLength, on a new connection when one has ended. first is called with
// each connection before.
func startFlood(r *testProxy, clients int, text string, first func(conn net.Conn)) {
	until := time.Now().Add(floodLength)
	chunk := bytes.Repeat([]byte(text), 64<<10/len(text))
	for range clients {
		go func() {
			for time.Now().Before(until) {
				conn, err := net.Dial("tcp", r.address)
				if err != nil {
					return // the proxy has ended
				}
				conn.SetDeadline(until)
				first(conn)
				for err == nil {
					_, err = conn.Write(chunk)
				}
				conn.Close()
			}
		}()
	}
}

// readAll reads what the proxy answers on a connection.
func readAll(conn net.Conn) { go io.Copy(io.Discard, conn) }

// openSession opens a session on a connection.
func openSession(conn net.Conn) {
	fmt.Fprint(conn, openLine())
	conn.Read(make([]byte, len("UP 1\r\n")))
}

// manyCores gives the test's program, which plays the clients and servers too, more threads than a proxy gets. Connects, which run
// beside the loop, may be slow there.
var manyCores = []string{`"cores":1`, `"cores":7`, `"connectTimeout":100`, `"connectTimeout":700`}

// handshakeTarget is the target of the configuration's listener.
const handshakeTarget = 200 * time.Millisecond

// expectServed opens sessions for floodLength and checks that the clients get UP in time, half of them within handshakeTarget.
func expectServed(r *testProxy) {
	r.Helper()
	var took []time.Duration
	for until := time.Now().Add(floodLength); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		began := time.Now()
		d := connect(r.T, r.address)
		d.sendAndExpect(openLine(), "UP 1\r\n")
		took = append(took, time.Since(began))
		d.Close()
	}
	slices.Sort(took)
	if median := took[len(took)/2]; median > handshakeTarget {
		r.Errorf("of %d sessions beside the flood half take over %v", len(took), median)
	}
}

// TestFloodOfPings guards against clients that send PING at full speed and hold up all others: the answers of one read were written
// one by one.
func TestFloodOfPings(t *testing.T) {
	r := startTestProxy(t, manyCores...)
	r.applyList(1, serverEntry("s-1", startEchoServer(t), "ready"))
	startFlood(r, 8, "PING\r\n", readAll)
	expectServed(r)
}

// TestFloodOfShortLines guards against open sessions whose clients send short lines at full speed and hold up all others: one read
// took twenty thousand lines.
func TestFloodOfShortLines(t *testing.T) {
	r := startTestProxy(t, append(manyCores, `"messageAim":[100]`, `"messageAim":[10000]`)...)
	r.applyList(1, serverEntry("s-1", startEchoServer(t), "ready"))
	startFlood(r, 8, "x\r\n", func(conn net.Conn) {
		openSession(conn)
		readAll(conn)
	})
	expectServed(r)
}

// heapSize returns the size of all reachable objects.
func heapSize() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestFloodOfHeldPings guards against memory that grows with the number of PINGs whose answers are held back until a list comes,
// and against a loop that is held up as they are all answered.
func TestFloodOfHeldPings(t *testing.T) {
	discoveryAddress, calls := startManualDiscovery(t)
	r := startTestProxyWithDiscovery(t, discoveryAddress, pushedWithGrace...)
	call := <-calls
	waiting := connect(t, r.address)
	fmt.Fprint(waiting.Conn, strings.Repeat("PING\r\n", 3))
	before := heapSize()
	startFlood(r, 2, "PING\r\n", readAll)
	time.Sleep(floodLength)
	if grown := int64(heapSize()) - int64(before); grown > 8<<20 {
		t.Errorf("the heap has grown by %d bytes", grown)
	}
	call.sendFirstList(listWithOneServer(1, startEchoServer(t), "ready"))
	for range 3 {
		waiting.expectLine("PONG\r\n")
	}
	waiting.sendAndExpect("PING\r\nPING\r\n"+openLine(), "PONG\r\n")
	waiting.expectLine("PONG\r\n")
	waiting.expectLine("UP 1\r\n")
	r.expectIdleAfter(waiting)
}

// expectIdleAfter closes a client's connection and waits until nothing is left.
func (r *testProxy) expectIdleAfter(client clientConn) {
	r.Helper()
	client.Close()
	r.expectIdle()
}

// TestFloodOfUnreadLines guards against memory over the limit: clients of open sessions send long lines at full speed and read
// nothing, so that up to 512 KB waited in this process for each of them.
func TestFloodOfUnreadLines(t *testing.T) {
	const clients = 90
	r := startTestProxy(t, append(manyCores, `"messageAim":[100]`, `"messageAim":[10000]`)...)
	r.applyList(1, serverEntry("s-1", startEchoServer(t), "ready"))
	quiet := connect(t, r.address)
	quiet.sendAndExpect(openLine(), "UP 1\r\n")
	before := heapSize()
	until := time.Now().Add(floodLength)
	startFlood(r, clients, strings.Repeat("x", 4000)+"\r\n", openSession)
	for ; time.Now().Before(until); time.Sleep(floodLength / 64) {
		if grown := int64(heapSize()) - int64(before); grown > 8<<20 {
			t.Errorf("the heap has grown by %d bytes", grown)
		}
		quiet.sendAndExpect("M 1\r\n", "M 1\r\n")
	}
}

// TestHalfLines checks that clients that stop in the middle of their first lines hold no more than the limit: those that hold most
// are answered BUSY, and others are served.
func TestHalfLines(t *testing.T) {
	const (
		maxBuffered = 64 << 10
		lineSize    = 3 << 10
		clients     = 40
	)
	r := startTestProxy(t)
	r.applyList(1, serverEntry("s-1", startEchoServer(t), "ready"))
	r.onLoop(func() { r.p.loop.SetMaxBufferedBytes(maxBuffered) })
	answers := make(chan string, clients)
	for range clients {
		d := connect(t, r.address)
		fmt.Fprint(d.Conn, "OPEN "+strings.Repeat("x", lineSize))
		go func() {
			answer, _ := d.ReadString('\n')
			answers <- answer
		}()
	}
	for range clients - maxBuffered/lineSize {
		if answer := <-answers; answer != "BUSY\r\n" {
			t.Errorf("a client gets %q", answer)
		}
	}
	r.waitFor("the limit is met", func() bool { return r.p.loop.BufferedBytes() <= maxBuffered })
	connect(t, r.address).sendAndExpect(openLine(), "UP 1\r\n")
}

// TestServerReadsNothing guards against blame for a server whose session's client sends faster than it reads: the session is moved,
// and the server goes on getting others.
func TestServerReadsNothing(t *testing.T) {
	r := startTestProxy(t, `"messageAim":[100]`, `"messageAim":[10000]`)
	l := listenWithSmallBuffer(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 100)) // the first line
			fmt.Fprint(conn, "UP 1\r\n")
			t.Cleanup(func() { conn.Close() }) // it stays open, unread
		}
	}()
	r.applyList(1, serverEntry("s-1", l.Addr().String(), "ready"))
	for range 3 {
		d := connect(t, r.address)
		d.sendAndExpect(openLine(), "UP 1\r\n")
		go func() {
			for {
				if _, err := fmt.Fprint(d.Conn, strings.Repeat("x", 4000)+"\r\n"); err != nil {
					return
				}
			}
		}()
		d.expectLine("MOVE\r\n")
	}
	connect(t, r.address).sendAndExpect(openLine(), "UP 1\r\n")
}

// TestOpenBehindPingsOfLeftClient checks that no OPEN line is sent on that waited unread behind PINGs as its client left.
func TestOpenBehindPingsOfLeftClient(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, s := startTestProxy(t), startTestServer(t, nil)
			r.applyList(1, serverEntry("s-1", s.address, "ready"))
			for _, stall := range []bool{false, true} {
				release := func() {}
				if stall {
					release = r.stallLoop()
				}
				var clients []clientConn
				for range 20 {
					d := connect(t, r.address)
					fmt.Fprint(d.Conn, strings.Repeat("PING\r\n", 5000)+openLine())
					clients = append(clients, d)
				}
				for _, d := range clients {
					leave(d)
				}
				left := time.Now()
				if !stall {
					time.Sleep(100 * time.Millisecond) // by which a client that has left must be noticed
				}
				_, noticed, _ := s.summary()
				release()
				time.Sleep(time.Until(left.Add(time.Second)))
				if _, firstLines, _ := s.summary(); firstLines != noticed {
					t.Errorf("%d first lines of clients that have left", firstLines-noticed)
				}
			}
		})
	}
}
