// Package peers carries words between proxies over UDP. They may be lost.
package peers

import (
	"errors"
	"net"
	"net/netip"
)

// MostBytes of a word.
const MaxDatagram = 256

const sendQueueLength = 64 // words to be sent; more are dropped, as any may be lost

// Peers is one proxy's end.
type Peers struct {
	conn *net.UDPConn
	to   []netip.AddrPort
	out  chan datagram
}

type datagram struct {
	word []byte
	to   []netip.AddrPort
}

// Listen hears words at an address. Words are told to all at once where there is an address for that, else to
// each of the others.
func Listen(listen, all string, others []string, hear func(word []byte)) (*Peers, error) {
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	p := &Peers{out: make(chan datagram, sendQueueLength)}
	if err := p.Address(all, others); err != nil {
		return nil, err
	}
	if p.conn, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	go p.read(hear)
	go p.write()
	return p, nil
}

// Address names whom words go to from now on, as Listen does.
func (p *Peers) Address(all string, others []string) error {
	if all != "" {
		others = []string{all}
	}
	var to []netip.AddrPort
	for _, other := range others {
		next, err := netip.ParseAddrPort(other)
		if err != nil {
			return err
		}
		to = append(to, next)
	}
	p.to = to
	return nil
}

// Close hears and tells nothing more.
func (p *Peers) Close() {
	p.conn.Close()
	close(p.out)
}

func (p *Peers) read(hear func([]byte)) {
	buf := make([]byte, MaxDatagram+1)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if _, ok := err.(net.Error); ok && !errors.Is(err, net.ErrClosed) { // a word that did not arrive may be told here
				continue
			}
			return
		}
		if n <= MaxDatagram {
			hear(append([]byte(nil), buf[:n]...))
		}
	}
}

func (p *Peers) write() {
	for m := range p.out {
		for _, to := range m.to {
			p.conn.WriteToUDPAddrPort(m.word, to)
		}
	}
}

// Tell sends a word; it never blocks.
func (p *Peers) Tell(word []byte) {
	select {
	case p.out <- datagram{word, p.to}:
	default:
	}
}
