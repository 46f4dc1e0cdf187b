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

// Impairment describes faults of the simulated network between hollow members and aggregators. Lost, Doubled and Reordered
// are shares of the datagrams, in each direction.
type Impairment struct {
	Lost      float64
	Doubled   float64 // duplicated
	Reordered float64
	CutIn     []int // zones whose members receive nothing
	CutOut    []int // zones from whose members nothing is sent
}

func (i *Impairment) isZero() bool {
	return i.Lost == 0 && i.Doubled == 0 && i.Reordered == 0 && len(i.CutIn) == 0 && len(i.CutOut) == 0
}

// network is the simulated network of a worker process, shared by its members.
type network struct {
	impairment atomic.Pointer[Impairment] // nil for none
}

// link is the connection of one member to the simulated network. It counts datagrams, and loses, duplicates, reorders and
// blocks them by the network's impairment.
type link struct {
	network *network
	zone    int

	bytesIn, bytesOut, packetsIn, packetsOut atomic.Int64
}

// memberReorderDelay is how late a datagram is sent that others are to overtake: several of its member's send intervals.
const memberReorderDelay = time.Second

// traffic returns what the member has sent and received.
func (l *link) traffic() Traffic {
	return Traffic{BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(), PacketsIn: l.packetsIn.Load(), PacketsOut: l.packetsOut.Load()}
}

// add adds the traffic of the member that this one replaces after a restart.
func (l *link) add(t Traffic) {
	l.bytesIn.Add(t.BytesIn)
	l.bytesOut.Add(t.BytesOut)
	l.packetsIn.Add(t.PacketsIn)
	l.packetsOut.Add(t.PacketsOut)
}

// wrap returns a socket whose traffic passes the link.
func (l *link) wrap(socket sharing.Socket) sharing.Socket {
	return &linkSocket{Socket: socket, link: l}
}

// linkSocket is a member's socket. One goroutine reads it; several may write.
type linkSocket struct {
	sharing.Socket
	link *link

	delayed *packet  // received, and delivered after the next one
	pending []packet // received, and delivered before the socket is read again

}

type packet struct {
	content []byte
	from    netip.AddrPort
}

// ReadFromUDPAddrPort returns the next packet that the impairment lets through. All received packets are counted.
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
		if impairment == nil && s.delayed == nil {
			return size, from, nil
		}
		if impairment == nil {
			impairment = &Impairment{}
		}
		if slices.Contains(impairment.CutIn, s.link.zone) || rand.Float64() < impairment.Lost {
			continue
		}
		s.deliver(packet{slices.Clone(buffer[:size]), from}, impairment)
	}
}

// deliver queues a received packet for the reader, duplicated or reordered by the impairment.
func (s *linkSocket) deliver(p packet, impairment *Impairment) {
	if s.delayed == nil && rand.Float64() < impairment.Reordered {
		s.delayed = &p
		return
	}
	s.pending = append(s.pending, p)
	if rand.Float64() < impairment.Doubled {
		s.pending = append(s.pending, p)
	}
	if s.delayed != nil {
		s.pending = append(s.pending, *s.delayed)
		s.delayed = nil
	}
}

// WriteToUDPAddrPort sends a datagram by the impairment. A datagram that is lost is counted, and reported as sent.
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
		time.AfterFunc(memberReorderDelay, func() { s.Socket.WriteToUDPAddrPort(later, to) }) // fails if the socket is closed by then: the datagram is lost
		return len(datagram), nil
	}
	if rand.Float64() < impairment.Doubled {
		s.Socket.WriteToUDPAddrPort(datagram, to)
	}
	return s.Socket.WriteToUDPAddrPort(datagram, to)
}
