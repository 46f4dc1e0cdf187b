package peers

import (
	"net"
	"testing"
	"time"
)

// TestWords: a datagram reaches all others, one that is too long none, and a full queue never blocks.
func TestWords(t *testing.T) {
	received := make(chan string, 8)
	free := func() string {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	one, two, three := free(), free(), free()
	receive := func(name string) func([]byte) { return func(payload []byte) { received <- name + string(payload) } }
	for at, name := range map[string]string{two: "two ", three: "three "} {
		if _, err := Listen(at, "", nil, receive(name)); err != nil {
			t.Fatal(err)
		}
	}
	p, err := Listen(one, "", []string{two, three}, receive("one "))
	if err != nil {
		t.Fatal(err)
	}
	p.Send(make([]byte, MaxDatagram+1))
	p.Send([]byte("late"))
	got := map[string]bool{}
	for range 2 {
		select {
		case payload := <-received:
			got[payload] = true
		case <-time.After(5 * time.Second):
			t.Fatalf("only %v", got)
		}
	}
	if !got["two late"] || !got["three late"] {
		t.Errorf("%v", got)
	}
	for range 10 * sendQueueLength {
		p.Send([]byte("late"))
	}
}
