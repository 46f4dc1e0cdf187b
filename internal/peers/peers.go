// Package peers carries datagrams between proxies over UDP, for the proxy's event loop. A datagram may be lost, doubled
// or reordered, and its sender is not authenticated: what it means, and whether it is believed, is the receiver's.
package peers

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"chalkferry/internal/failure"
)

// MaxDatagram is the size of the largest datagram, in bytes.
const MaxDatagram = 256

// sendQueueLength is how many datagrams wait to be sent; more are dropped, as any may be lost.
const sendQueueLength = 64

// Peers is one proxy's end.
type Peers struct {
	conn         *net.UDPConn
	destinations []netip.AddrPort
	queue        chan datagram
}

type datagram struct {
	payload      []byte
	destinations []netip.AddrPort
}

// Listen receives datagrams at an address. They are sent to broadcast, one address that reaches all proxies, or where
// that is "" to each of the others. receive is called from another goroutine, with a payload that is its own.
func Listen(listen, broadcast string, others []string, receive func(payload []byte)) (*Peers, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	p := &Peers{queue: make(chan datagram, sendQueueLength)}
	if err := p.Address(broadcast, others); err != nil {
		return nil, err
	}
	if p.conn, err = net.ListenUDP("udp", address); err != nil {
		return nil, err
	}
	go p.read(receive)
	go p.write()
	return p, nil
}

// Address sets the destinations from now on, as Listen does. It must not be called together with Send.
func (p *Peers) Address(broadcast string, others []string) error {
	if broadcast != "" {
		others = []string{broadcast}
	}
	var destinations []netip.AddrPort
	for _, other := range others {
		destination, err := netip.ParseAddrPort(other)
		if err != nil {
			return err
		}
		destinations = append(destinations, destination)
	}
	p.destinations = destinations
	return nil
}

// Close ends receiving, and sending once the queue is empty.
func (p *Peers) Close() {
	p.conn.Close()
	close(p.queue)
}

// Send sends a datagram to all destinations. It never blocks; a full queue drops it.
func (p *Peers) Send(payload []byte) {
	select {
	case p.queue <- datagram{payload, p.destinations}:
	default:
	}
}

func (p *Peers) read(receive func([]byte)) {
	buffer := make([]byte, MaxDatagram+1)
	var pause failure.BackOff
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		var netErr net.Error
		switch {
		case err == nil && n <= MaxDatagram:
			pause.Reset()
			receive(append([]byte(nil), buffer[:n]...))
		case err == nil: // too long
		case errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed): // that of an earlier datagram, which did not arrive
			time.Sleep(pause.Next())
		default:
			return
		}
	}
}

func (p *Peers) write() {
	for d := range p.queue {
		for _, destination := range d.destinations {
			p.conn.WriteToUDPAddrPort(d.payload, destination) // may be lost like any
		}
	}
}
