// Package peers exchanges datagrams between proxies over UDP, for the proxy's event loop. A datagram may be lost,
// duplicated or reordered, and its sender is not authenticated: the receiver decides what it means and whether to trust
// it.
package peers

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"chalkferry/internal/failure"
)

// MaxDatagram is the largest size of a datagram's payload, in bytes. Longer ones are ignored by the receiver.
const MaxDatagram = 256

// sendQueueLength is how many datagrams can wait to be sent. More are dropped, which is allowed as any datagram may be
// lost.
const sendQueueLength = 64

// Conn is one proxy's UDP socket, with the destinations of its datagrams.
type Conn struct {
	conn         *net.UDPConn
	destinations []netip.AddrPort
	queue        chan datagram
}

// datagram is a payload that waits to be sent, with the destinations at the time of Send.
type datagram struct {
	payload      []byte
	destinations []netip.AddrPort
}

// Listen opens a socket at the address listen and begins to receive. Datagrams are sent to the address broadcast, which
// reaches all proxies, or if that is "", to each of the addresses in others. receive is called on another goroutine and
// may keep the payload.
func Listen(listen, broadcast string, others []string, receive func(payload []byte)) (*Conn, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	c := &Conn{queue: make(chan datagram, sendQueueLength)}
	if err := c.SetDestinations(broadcast, others); err != nil {
		return nil, err
	}
	if c.conn, err = net.ListenUDP("udp", address); err != nil {
		return nil, err
	}
	go c.read(receive)
	go c.write()
	return c, nil
}

// SetDestinations replaces the destinations of later datagrams; the arguments are as for Listen. On an error the
// destinations stay as they are. It must not be called concurrently with Send.
func (c *Conn) SetDestinations(broadcast string, others []string) error {
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
	c.destinations = destinations
	return nil
}

// Close closes the socket, which ends receiving. The sending goroutine ends once the queue is empty. Send must not be
// called after it.
func (c *Conn) Close() {
	c.conn.Close()
	close(c.queue)
}

// Send sends a datagram to all destinations. It never blocks: if the queue is full, the datagram is dropped. The payload
// must not be changed after the call.
func (c *Conn) Send(payload []byte) {
	select {
	case c.queue <- datagram{payload, c.destinations}:
	default:
	}
}

// read passes received datagrams to receive until the socket is closed.
func (c *Conn) read(receive func([]byte)) {
	buffer := make([]byte, MaxDatagram+1) // one byte more than allowed, to recognize longer datagrams
	var pause failure.BackOff
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		var netErr net.Error
		switch {
		case err == nil && n <= MaxDatagram:
			pause.Reset()
			receive(append([]byte(nil), buffer[:n]...))
		case err == nil: // too long
		case errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed): // reports that an earlier datagram was not delivered
			time.Sleep(pause.Next())
		default:
			return
		}
	}
}

// write sends the queued datagrams until the queue is closed.
func (c *Conn) write() {
	for d := range c.queue {
		for _, destination := range d.destinations {
			c.conn.WriteToUDPAddrPort(d.payload, destination) // errors are ignored: any datagram may be lost
		}
	}
}
