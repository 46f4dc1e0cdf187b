package eventloop

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// TestMaxBufferedBytes checks that connections whose peers don't read hold no more than the limit, that those that hold most are closed,
// and that one that holds little goes on.
func TestMaxBufferedBytes(t *testing.T) {
	const (
		maxBuffered = 256 << 10
		greedy      = 8
	)
	l, address := startLoop(t, &echoHandler{})
	onLoop := func(call func()) {
		done := make(chan bool)
		l.Execute(func() {
			call()
			close(done)
		})
		<-done
	}
	onLoop(func() { l.SetMaxBufferedBytes(maxBuffered) })
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	modest := dial()
	modest.Write([]byte("half a line"))
	ended := make(chan bool)
	for range greedy {
		conn := dial()
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		go func() {
			line := append(bytes.Repeat([]byte{'x'}, 1000), '\n')
			for {
				if _, err := conn.Write(line); err != nil {
					ended <- true
					return
				}
			}
		}()
	}
	for range greedy {
		onLoop(func() {
			// What is over the limit is given back in a task of its own, and each connection may have read once before.
			if held := l.BufferedBytes(); held > maxBuffered+greedy*maxReadBytes {
				t.Errorf("%d bytes are held", held)
			}
		})
		<-ended
	}
	modest.Write([]byte(", and the rest\n"))
	answer := make([]byte, 100)
	if n, err := modest.Read(answer); string(answer[:n]) != "half a line, and the rest\n" {
		t.Errorf("got %q, %v", answer[:n], err)
	}
	modest.Close()
	for range 100 {
		held := 0
		onLoop(func() { held = l.BufferedBytes() })
		if held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("bytes are held after the end of all connections")
}
