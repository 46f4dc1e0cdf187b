// Package way is a stand-in for the network between two proxies: a relay of packets on loopback, one way, that cuts,
// loses, doubles, delays and plays old ones again as it is told. There are no rights for packet filters.
package way

import (
	"bytes"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

const replayCount = 8 // of the first packets, to be played again

// Way carries what comes to its address on to another.
type Way struct {
	conn *net.UDPConn
	to   netip.AddrPort

	mu                        sync.Mutex
	chance                    *rand.Rand
	cut                       bool
	lossShare, duplicateShare float64
	maxDelay                  time.Duration
	replayable                [][]byte
}

// Open opens a way from an address (port 0: any) to another; the seed is that of its chance.
func Open(from, to string, seed int64) (*Way, error) {
	at, err := netip.ParseAddrPort(from)
	if err != nil {
		return nil, err
	}
	w := &Way{chance: rand.New(rand.NewSource(seed))}
	if w.to, err = netip.ParseAddrPort(to); err != nil {
		return nil, err
	}
	if w.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	go w.relay()
	return w, nil
}

// Address is where packets are taken.
func (w *Way) Address() string { return w.conn.LocalAddr().String() }

// Close ends it; packets that are late do not come any more.
func (w *Way) Close() { w.conn.Close() }

// Cut lets nothing pass, or all again.
func (w *Way) Cut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
}

// Faulty loses and doubles packets by chance, as shares, and has each come up to a span late, so that they overtake.
func (w *Way) Faulty(lost, doubled float64, late time.Duration) {
	w.mu.Lock()
	w.lossShare, w.duplicateShare, w.maxDelay = lost, doubled, late
	w.mu.Unlock()
}

// Again sends the first packets that ever came once more, cut or not.
func (w *Way) Again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, packet := range w.replayable {
		w.conn.WriteToUDPAddrPort(packet, w.to) // may be lost like any
	}
}

// Send sends a packet that nobody told, cut or not.
func (w *Way) Send(packet []byte) { w.conn.WriteToUDPAddrPort(packet, w.to) }

func (w *Way) relay() {
	text := make([]byte, 1<<16)
	for {
		n, _, err := w.conn.ReadFromUDPAddrPort(text)
		if err != nil {
			return
		}
		packet := bytes.Clone(text[:n])
		for _, late := range w.copies(packet) {
			if late == 0 {
				w.Send(packet)
				continue
			}
			time.AfterFunc(late, func() { w.Send(packet) })
		}
	}
}

// fate is how late each copy of a packet comes.
func (w *Way) copies(packet []byte) (copies []time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.replayable) < replayCount {
		w.replayable = append(w.replayable, packet)
	}
	if w.cut || w.chance.Float64() < w.lossShare {
		return nil
	}
	n := 1
	if w.chance.Float64() < w.duplicateShare {
		n = 2
	}
	for range n {
		copies = append(copies, time.Duration(w.chance.Int63n(int64(w.maxDelay)+1)))
	}
	return copies
}
