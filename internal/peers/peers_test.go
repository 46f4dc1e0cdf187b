package peers

import (
	"net"
	"testing"
	"time"
)

// TestDatagrams: a datagram reaches all other proxies, one that is too long reaches none, and Send does not block when
// the queue is full.
func TestDatagrams(t *testing.T) {
	received := make(chan string, 8)
	freeAddress := func() string {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	one, two, three := freeAddress(), freeAddress(), freeAddress()
	receive := func(prefix string) func([]byte) {
		return func(payload []byte) { received <- prefix + string(payload) }
	}
	for address, prefix := range map[string]string{two: "two ", three: "three "} {
		if _, err := Listen(address, "", nil, receive(prefix)); err != nil {
			t.Fatal(err)
		}
	}
	c, err := Listen(one, "", []string{two, three}, receive("one "))
	if err != nil {
		t.Fatal(err)
	}
	c.Send(make([]byte, MaxDatagram+1))
	c.Send([]byte("late"))
	got := map[string]bool{}
	for range 2 {
		select {
		case payload := <-received:
			got[payload] = true
		case <-time.After(5 * time.Second):
			t.Fatalf("received only %v after 5 s", got)
		}
	}
	if !got["two late"] || !got["three late"] {
		t.Errorf("received %v, want \"two late\" and \"three late\"", got)
	}
	for range 10 * sendQueueLength {
		c.Send([]byte("late"))
	}
}
