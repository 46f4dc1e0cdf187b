package sharing

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/failure"
)

// datagram is a received message with its source address.
type datagram struct {
	from    netip.AddrPort
	content message
}

// endpoint is the UDP socket of a member or aggregator, with counters of its datagrams.
type endpoint struct {
	conn     Socket
	received chan datagram
	counters datagramCounters
	drops    *dropLog
}

// datagramCounters are atomic as both the goroutine that reads the socket and the one that owns the state write them.
type datagramCounters struct {
	sent, notSent                      atomic.Uint64
	sentBytes, receivedBytes           atomic.Uint64
	accepted                           atomic.Uint64
	tooLong, malformed, otherVersion   atomic.Uint64
	unknownSender, duplicate, obsolete atomic.Uint64
	refused, noRoom, queueFull         atomic.Uint64
}

// Datagrams counts datagrams since the start by their outcome.
type Datagrams struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sent_bytes"`     // payload, without UDP and IP headers
	ReceivedBytes uint64 `json:"received_bytes"` // payload of all datagrams read from the socket
	NotSent       uint64 `json:"not_sent"`       // the send call returned an error
	Accepted      uint64 `json:"accepted"`
	Duplicate     uint64 `json:"duplicate"`
	Obsolete      uint64 `json:"obsolete"`
	Refused       uint64 `json:"refused"`
	UnknownSender uint64 `json:"unknown_sender"`
	NoRoom        uint64 `json:"no_room"`
	TooLong       uint64 `json:"too_long"`
	Malformed     uint64 `json:"malformed"`
	OtherVersion  uint64 `json:"other_version"`
	QueueFull     uint64 `json:"queue_full"`     // dropped by this process because its receive queue was full
	SocketDropped uint64 `json:"socket_dropped"` // dropped by the kernel because the socket's receive buffer was full
}

func (c *datagramCounters) snapshot() Datagrams {
	return Datagrams{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(), NotSent: c.notSent.Load(),
		Accepted: c.accepted.Load(), Duplicate: c.duplicate.Load(),
		Obsolete: c.obsolete.Load(), Refused: c.refused.Load(), UnknownSender: c.unknownSender.Load(),
		NoRoom: c.noRoom.Load(), TooLong: c.tooLong.Load(), Malformed: c.malformed.Load(),
		OtherVersion: c.otherVersion.Load(), QueueFull: c.queueFull.Load(),
	}
}

// listen opens the socket with a receive queue of queueLength messages. It does not start to read.
func listen(address netip.AddrPort, queueLength int, drops *dropLog) (*endpoint, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	return &endpoint{conn: conn, received: make(chan datagram, queueLength), drops: drops}, nil
}

// address returns the local address of the socket.
func (e *endpoint) address() netip.AddrPort { return e.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// read decodes datagrams into the queue until the socket is closed. Messages are dropped while the queue is full, so that
// a flood takes no more memory than the queue.
func (e *endpoint) read() {
	buffer := make([]byte, maxDatagramBytes+1) // a longer datagram is truncated, and dropped as too long
	var pause failure.BackOff
	for {
		size, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an earlier datagram was not delivered, or a resource is exhausted; later reads may succeed
			time.Sleep(pause.Next())
			continue
		}
		pause.Reset()
		e.counters.receivedBytes.Add(uint64(size))
		content, err := decode(buffer[:size])
		if err != nil {
			e.countError(from, err)
			continue
		}
		select {
		case e.received <- datagram{from: from, content: content}:
		default:
			e.counters.queueFull.Add(1)
		}
	}
}

// send sends a datagram. Errors are only counted, as any datagram may be lost.
func (e *endpoint) send(encoded []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(encoded, to); err != nil {
		e.counters.notSent.Add(1)
		return
	}
	e.counters.sent.Add(1)
	e.counters.sentBytes.Add(uint64(len(encoded)))
}

// countError counts and logs a datagram that can't be decoded.
func (e *endpoint) countError(from netip.AddrPort, err error) {
	reason := errMalformed
	switch {
	case errors.Is(err, errTooLong):
		reason = errTooLong
		e.counters.tooLong.Add(1)
	case errors.Is(err, errOtherVersion):
		reason = errOtherVersion
		e.counters.otherVersion.Add(1)
	default:
		e.counters.malformed.Add(1)
	}
	e.drops.logDropped(reason.Error(), from, err)
}

// countOutcome counts a message by its outcome in package aggregation, and logs it unless it was accepted, a duplicate or
// obsolete.
func (e *endpoint) countOutcome(from netip.AddrPort, outcome aggregation.Outcome) {
	switch outcome {
	case aggregation.Accepted:
		e.counters.accepted.Add(1)
	case aggregation.Duplicate:
		e.counters.duplicate.Add(1)
	case aggregation.Obsolete:
		e.counters.obsolete.Add(1)
	case aggregation.Refused:
		e.counters.refused.Add(1)
		e.drops.logDropped(outcome.String(), from, nil)
	case aggregation.NoRoom:
		e.counters.noRoom.Add(1)
		e.drops.logDropped(outcome.String(), from, nil)
	case aggregation.UnknownSender:
		e.counters.unknownSender.Add(1)
		e.drops.logDropped(errUnknownSender.Error(), from, nil)
	default:
		e.counters.malformed.Add(1)
		e.drops.logDropped(errMalformed.Error(), from, nil)
	}
}

// dropLog logs dropped datagrams, at most one per reason and interval, so that a flood doesn't fill the log.
type dropLog struct {
	log      zerolog.Logger
	interval time.Duration

	mu         sync.Mutex
	lastLogged map[string]time.Duration // by reason
}

func newDropLog(log zerolog.Logger, interval time.Duration) *dropLog {
	return &dropLog{log: log, interval: interval, lastLogged: map[string]time.Duration{}}
}

func (w *dropLog) logDropped(reason string, from netip.AddrPort, err error) {
	now := bootTime()
	w.mu.Lock()
	last, known := w.lastLogged[reason]
	isDue := !known || now-last >= w.interval
	if isDue {
		w.lastLogged[reason] = now
	}
	w.mu.Unlock()
	if isDue {
		w.log.Warn().Err(err).Str("reason", reason).Stringer("from", from).Msg("a datagram of the fleet is dropped")
	}
}
