// Package way simulates a one-way network link between two proxies, for tests of what they share: a relay of packets on
// loopback that drops, duplicates, delays and replays them as it is asked to. It needs no rights for packet filters, and
// does not look into packets.
package way

import (
	"bytes"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// replayCount is how many of the first packets are kept for a replay.
	replayCount   = 8
	maxPacketSize = 1 << 16
)

// Way relays what arrives at its address to another.
type Way struct {
	conn        *net.UDPConn
	destination netip.AddrPort

	mu                        sync.Mutex
	rng                       *rand.Rand
	cut                       bool
	lossShare, duplicateShare float64
	maxDelay                  time.Duration
	replayable                [][]byte
}

// Open opens a link from an address (port 0: any) to another, with a seed for its random faults.
func Open(from, to string, seed int64) (*Way, error) {
	at, err := netip.ParseAddrPort(from)
	if err != nil {
		return nil, err
	}
	w := &Way{rng: rand.New(rand.NewSource(seed))}
	if w.destination, err = netip.ParseAddrPort(to); err != nil {
		return nil, err
	}
	if w.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	go w.relay()
	return w, nil
}

// Address is where packets are received.
func (w *Way) Address() string { return w.conn.LocalAddr().String() }

// Close ends it; delayed packets are dropped.
func (w *Way) Close() { w.conn.Close() }

// Cut drops all packets, or relays them again.
func (w *Way) Cut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
}

// Faulty drops and duplicates shares of the packets at random, and delays each by up to maxDelay, so that they are
// reordered.
func (w *Way) Faulty(lossShare, duplicateShare float64, maxDelay time.Duration) {
	w.mu.Lock()
	w.lossShare, w.duplicateShare, w.maxDelay = lossShare, duplicateShare, maxDelay
	w.mu.Unlock()
}

// Again replays the first packets that ever arrived, cut or not.
func (w *Way) Again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, packet := range w.replayable {
		w.conn.WriteToUDPAddrPort(packet, w.destination) // may be lost like any
	}
}

// Send sends a packet of the caller's, cut or not.
func (w *Way) Send(packet []byte) { w.conn.WriteToUDPAddrPort(packet, w.destination) }

func (w *Way) relay() {
	text := make([]byte, maxPacketSize)
	for {
		n, _, err := w.conn.ReadFromUDPAddrPort(text)
		if err != nil {
			return
		}
		packet := bytes.Clone(text[:n])
		for _, delay := range w.copies(packet) {
			if delay == 0 {
				w.Send(packet)
				continue
			}
			time.AfterFunc(delay, func() { w.Send(packet) })
		}
	}
}

// copies draws the delay of each copy of a packet that is relayed, none for one that is dropped.
func (w *Way) copies(packet []byte) (delays []time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.replayable) < replayCount {
		w.replayable = append(w.replayable, packet)
	}
	if w.cut || w.rng.Float64() < w.lossShare {
		return nil
	}
	n := 1
	if w.rng.Float64() < w.duplicateShare {
		n = 2
	}
	for range n {
		delays = append(delays, time.Duration(w.rng.Int63n(int64(w.maxDelay)+1)))
	}
	return delays
}
