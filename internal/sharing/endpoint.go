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

// datagram is a message that was received.
type datagram struct {
	from    netip.AddrPort
	content message
}

// endpoint is the UDP socket of a member or aggregator, and what became of its datagrams.
type endpoint struct {
	conn     Socket
	received chan datagram
	counters datagramCounters
	warnings *warnings
}

// datagramCounters are written by the goroutine that reads the socket and the one that owns the state.
type datagramCounters struct {
	sent, notSent                      atomic.Uint64
	sentBytes, receivedBytes           atomic.Uint64
	accepted                           atomic.Uint64
	tooLong, malformed, otherVersion   atomic.Uint64
	unknownSender, duplicate, obsolete atomic.Uint64
	refused, noRoom, queueFull         atomic.Uint64
}

// Datagrams counts datagrams by what became of them.
type Datagrams struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sent_bytes"`     // without the headers of UDP and IP
	ReceivedBytes uint64 `json:"received_bytes"` // the same, of all that was read from the socket
	NotSent       uint64 `json:"not_sent"`       // the network refused them
	Accepted      uint64 `json:"accepted"`
	Duplicate     uint64 `json:"duplicate"`
	Obsolete      uint64 `json:"obsolete"`
	Refused       uint64 `json:"refused"`
	UnknownSender uint64 `json:"unknown_sender"`
	NoRoom        uint64 `json:"no_room"`
	TooLong       uint64 `json:"too_long"`
	Malformed     uint64 `json:"malformed"`
	OtherVersion  uint64 `json:"other_version"`
	QueueFull     uint64 `json:"queue_full"`     // dropped by this process, as more came than it could take
	SocketDropped uint64 `json:"socket_dropped"` // dropped by the kernel, as the socket's buffer was full
}

func (c *datagramCounters) snapshot() Datagrams {
	return Datagrams{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(), NotSent: c.notSent.Load(), Accepted: c.accepted.Load(), Duplicate: c.duplicate.Load(),
		Obsolete: c.obsolete.Load(), Refused: c.refused.Load(), UnknownSender: c.unknownSender.Load(),
		NoRoom: c.noRoom.Load(), TooLong: c.tooLong.Load(), Malformed: c.malformed.Load(),
		OtherVersion: c.otherVersion.Load(), QueueFull: c.queueFull.Load(),
	}
}

// listen opens the socket and begins to read it into a queue of so many messages.
func listen(address netip.AddrPort, queue int, warnings *warnings) (*endpoint, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	return &endpoint{conn: conn, received: make(chan datagram, queue), warnings: warnings}, nil
}

// address is where the socket is bound.
func (e *endpoint) address() netip.AddrPort { return e.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// read decodes what comes until the socket is closed. Messages that find the queue full are dropped: a flood costs
// what is in the queue and no more memory.
func (e *endpoint) read() {
	buffer := make([]byte, maxDatagramBytes+1) // what is longer is cut, and dropped as too long
	var pause failure.BackOff
	for {
		size, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an earlier datagram found nobody, or a resource is short; the next one may do better
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

// send sends a datagram, which may be lost like any.
func (e *endpoint) send(encoded []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(encoded, to); err != nil {
		e.counters.notSent.Add(1)
		return
	}
	e.counters.sent.Add(1)
	e.counters.sentBytes.Add(uint64(len(encoded)))
}

// countError counts a datagram that can't be read.
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
	e.warnings.dropped(reason.Error(), from, err)
}

// countOutcome counts a message by what the logic made of it.
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
		e.warnings.dropped(outcome.String(), from, nil)
	case aggregation.NoRoom:
		e.counters.noRoom.Add(1)
		e.warnings.dropped(outcome.String(), from, nil)
	case aggregation.UnknownSender:
		e.counters.unknownSender.Add(1)
		e.warnings.dropped(errUnknownSender.Error(), from, nil)
	default:
		e.counters.malformed.Add(1)
		e.warnings.dropped(errMalformed.Error(), from, nil)
	}
}

// warnings logs one dropped datagram of each reason in a span, so that a flood doesn't fill the log.
type warnings struct {
	log  zerolog.Logger
	span time.Duration

	mu   sync.Mutex
	last map[string]time.Duration
}

func newWarnings(log zerolog.Logger, span time.Duration) *warnings {
	return &warnings{log: log, span: span, last: map[string]time.Duration{}}
}

func (w *warnings) dropped(reason string, from netip.AddrPort, err error) {
	now := boot()
	w.mu.Lock()
	last, known := w.last[reason]
	isDue := !known || now-last >= w.span
	if isDue {
		w.last[reason] = now
	}
	w.mu.Unlock()
	if isDue {
		w.log.Warn().Err(err).Str("reason", reason).Stringer("from", from).Msg("a datagram of the fleet is dropped")
	}
}
