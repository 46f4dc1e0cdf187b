package proxy

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestHandshakeAtStopAccepting guards against a client whose handshake crosses the end of accepting, and which then gets neither an
// answer nor a close. TCP_DEFER_ACCEPT makes its first data the last packet of the handshake.
func TestHandshakeAtStopAccepting(t *testing.T) {
	const deferFor = 10 // seconds
	r := startTestProxy(t)
	s := startTestServer(t, func(conn *net.TCPConn, _ int, _ string) { fmt.Fprint(conn, "UP 1\r\n") })
	r.applyList(1, serverEntry("s-1", s.address, "ready"))
	r.onLoop(func() {
		if err := unix.SetsockoptInt(r.p.loop.ListenerFD(), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferFor); err != nil {
			t.Error(err)
		}
	})
	client := connect(t, r.address)
	r.onLoop(func() {
		if idle := r.p.clients.IdleCount(); idle > 0 {
			t.Errorf("%d connections were accepted before their handshake was complete", idle)
		}
		if !r.p.stopAccepting() {
			t.Error("accepting is not stopped")
		}
	})
	client.SetDeadline(time.Now().Add(2 * time.Second))
	client.sendAndExpect(openLine(), "UP 1\r\n")
	if conn, err := net.DialTimeout("tcp", r.address, 200*time.Millisecond); err == nil {
		conn.Close()
		t.Error("a connection is established after the end of accepting")
	}
}
