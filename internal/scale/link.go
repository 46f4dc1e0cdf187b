package scale

import (
	"math/rand"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"chalkferry/internal/sharing"
)

// Traffic counts datagrams and their payload bytes.
type Traffic struct {
	BytesIn    int64
	BytesOut   int64
	PacketsIn  int64
	PacketsOut int64
}

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{BytesIn: t.BytesIn + o.BytesIn, BytesOut: t.BytesOut + o.BytesOut, PacketsIn: t.PacketsIn + o.PacketsIn,
		PacketsOut: t.PacketsOut + o.PacketsOut}
}

// Impairment is what is wrong with the network between hollow members and aggregators.
type Impairment struct {
	Lost      float64 // shares of the datagrams, in each direction
	Doubled   float64
	Reordered float64
	CutIn     []int // zones whose members receive nothing
	CutOut    []int // zones whose members reach nobody
}

func (i *Impairment) isNone() bool {
	return i.Lost == 0 && i.Doubled == 0 && i.Reordered == 0 && len(i.CutIn) == 0 && len(i.CutOut) == 0
}

// network is the one of a worker process.
type network struct {
	impairment atomic.Pointer[Impairment] // nil: none
}

// link is one member's socket: it counts, and loses, doubles and reorders as the network says.
type link struct {
	network *network
	zone    int

	bytesIn, bytesOut, packetsIn, packetsOut atomic.Int64
}

// overtakeDelay is how late a datagram that is to be overtaken is sent: some of its member's intervals.
const overtakeDelay = time.Second

func (l *link) traffic() Traffic {
	return Traffic{BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(), PacketsIn: l.packetsIn.Load(), PacketsOut: l.packetsOut.Load()}
}

// count adds what a member before this one has sent and received.
func (l *link) count(t Traffic) {
	l.bytesIn.Add(t.BytesIn)
	l.bytesOut.Add(t.BytesOut)
	l.packetsIn.Add(t.PacketsIn)
	l.packetsOut.Add(t.PacketsOut)
}

func (l *link) wrap(socket sharing.Socket) sharing.Socket {
	return &linkSocket{Socket: socket, link: l}
}

// linkSocket is read by one goroutine and may be written by several.
type linkSocket struct {
	sharing.Socket
	link *link

	held    *packet  // received, to come after the next one
	pending []packet // to come before the socket is read again

}

type packet struct {
	content []byte
	from    netip.AddrPort
}

func (s *linkSocket) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	for {
		if len(s.pending) > 0 {
			next := s.pending[0]
			s.pending = s.pending[1:]
			return copy(buffer, next.content), next.from, nil
		}
		size, from, err := s.Socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return size, from, err
		}
		s.link.bytesIn.Add(int64(size))
		s.link.packetsIn.Add(1)
		impairment := s.link.network.impairment.Load()
		if impairment == nil && s.held == nil {
			return size, from, nil
		}
		if impairment == nil {
			impairment = &Impairment{}
		}
		if slices.Contains(impairment.CutIn, s.link.zone) || rand.Float64() < impairment.Lost {
			continue
		}
		s.arrive(packet{slices.Clone(buffer[:size]), from}, impairment)
	}
}

// arrive puts a packet in its place among those to be received.
func (s *linkSocket) arrive(p packet, impairment *Impairment) {
	if s.held == nil && rand.Float64() < impairment.Reordered {
		s.held = &p
		return
	}
	s.pending = append(s.pending, p)
	if rand.Float64() < impairment.Doubled {
		s.pending = append(s.pending, p)
	}
	if s.held != nil {
		s.pending = append(s.pending, *s.held)
		s.held = nil
	}
}

func (s *linkSocket) WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error) {
	s.link.bytesOut.Add(int64(len(datagram)))
	s.link.packetsOut.Add(1)
	impairment := s.link.network.impairment.Load()
	if impairment == nil {
		return s.Socket.WriteToUDPAddrPort(datagram, to)
	}
	if slices.Contains(impairment.CutOut, s.link.zone) || rand.Float64() < impairment.Lost {
		return len(datagram), nil
	}
	if rand.Float64() < impairment.Reordered {
		later := slices.Clone(datagram)
		time.AfterFunc(overtakeDelay, func() { s.Socket.WriteToUDPAddrPort(later, to) }) // lost if the socket is closed by then
		return len(datagram), nil
	}
	if rand.Float64() < impairment.Doubled {
		s.Socket.WriteToUDPAddrPort(datagram, to)
	}
	return s.Socket.WriteToUDPAddrPort(datagram, to)
}
