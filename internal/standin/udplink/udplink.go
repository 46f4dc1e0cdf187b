// Package udplink simulates a one-way network link for tests: a UDP relay on loopback that drops, duplicates, delays and
// replays datagrams on request. It needs no privileges, unlike packet filters, and does not interpret the datagrams.
package udplink

import (
	"bytes"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// replayCount is how many of the first packets are kept for Replay.
	replayCount = 8
	// maxPacketSize is the size of the receive buffer in bytes, enough for any UDP datagram.
	maxPacketSize = 1 << 16
)

// Link relays the packets that arrive at its address to another address. It drops nothing until SetFaults or SetDown is called.
type Link struct {
	conn        *net.UDPConn
	destination netip.AddrPort

	mu                        sync.Mutex // guards all below
	rng                       *rand.Rand
	down                      bool    // all packets are dropped
	lossShare, duplicateShare float64 // of the packets, 0 to 1
	maxDelay                  time.Duration
	replayable                [][]byte // the first packets that arrived, replayCount at most
}

// Open opens a link that listens at one address (port 0: any free port) and relays to another. The seed is that of its
// random faults.
func Open(from, to string, seed int64) (*Link, error) {
	listenAddress, err := netip.ParseAddrPort(from)
	if err != nil {
		return nil, err
	}
	l := &Link{rng: rand.New(rand.NewSource(seed))}
	if l.destination, err = netip.ParseAddrPort(to); err != nil {
		return nil, err
	}
	if l.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddress)); err != nil {
		return nil, err
	}
	go l.relay()
	return l, nil
}

// Address returns the host:port at which the link receives packets.
func (l *Link) Address() string { return l.conn.LocalAddr().String() }

// Close closes the link. Packets that are still delayed are dropped.
func (l *Link) Close() { l.conn.Close() }

// SetDown makes the link drop all packets, or relay them again.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
}

// SetFaults makes the link drop and duplicate the given shares of packets at random, and delay each by a random time of
// up to maxDelay, which reorders them.
func (l *Link) SetFaults(lossShare, duplicateShare float64, maxDelay time.Duration) {
	l.mu.Lock()
	l.lossShare, l.duplicateShare, l.maxDelay = lossShare, duplicateShare, maxDelay
	l.mu.Unlock()
}

// Replay sends the first packets that ever arrived once more, even while the link is down.
func (l *Link) Replay() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, packet := range l.replayable {
		l.conn.WriteToUDPAddrPort(packet, l.destination) // an error counts as a lost packet
	}
}

// Send sends a packet made by the caller to the destination, even while the link is down.
func (l *Link) Send(packet []byte) { l.conn.WriteToUDPAddrPort(packet, l.destination) }

// relay relays packets until the connection is closed.
func (l *Link) relay() {
	buffer := make([]byte, maxPacketSize)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet := bytes.Clone(buffer[:n])
		for _, delay := range l.drawCopyDelays(packet) {
			if delay == 0 {
				l.Send(packet)
				continue
			}
			time.AfterFunc(delay, func() { l.Send(packet) })
		}
	}
}

// drawCopyDelays draws one delay for each copy of a packet to relay, none if the packet is dropped.
func (l *Link) drawCopyDelays(packet []byte) (delays []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.replayable) < replayCount {
		l.replayable = append(l.replayable, packet)
	}
	if l.down || l.rng.Float64() < l.lossShare {
		return nil
	}
	n := 1
	if l.rng.Float64() < l.duplicateShare {
		n = 2
	}
	for range n {
		delays = append(delays, time.Duration(l.rng.Int63n(int64(l.maxDelay)+1)))
	}
	return delays
}
