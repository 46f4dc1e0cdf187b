// Package exchange holds the sessions of one proxy and connects the two sides of each. It turns what the client and server
// sides read into calls of choice.Balancer, carries out the Balancer's decisions (Dial, Refuse, Abort, Move), relays lines
// between the sides, and derives loads and message delays from the lines that pass. It does no I/O and decides no placement:
// sockets belong to packages clients and servers, decisions to package choice. Everything runs on the event loop.
package exchange

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/socket"
)

// Client is the client's side of a session.
type Client interface {
	// Write sends whole lines.
	Write(lines []byte)
	// StartRelay has the client side relay lines from now on: the session is open.
	StartRelay()
	// Finish sends a last line and closes the connection gracefully. The reason goes into the log.
	Finish(lastLine []byte, reason string)
	// End ends the connection without a last line.
	End(how socket.End, reason string)
	// EnsureWaiting reports whether the client still waits for its answer. If it has left, or has sent something before its
	// answer, which the event loop need not have read yet, the call ends the session.
	EnsureWaiting() bool
	// HasStoppedWaiting reports the opposite of EnsureWaiting, without side effects.
	HasStoppedWaiting() bool
}

// Server is the server's side of one dial.
type Server interface {
	// Write sends whole lines.
	Write(lines []byte)
	// RelayAvailable relays the whole lines that the server of an open session has sent but that have not been read yet. If the
	// last line announces the end of the session, it ends the session. It must not be called while a line is being handled.
	RelayAvailable() RelayResult
	// End ends the dial or the open connection. The reason goes into the log.
	End(how socket.End, reason string)
}

// RelayResult is what a call of Server.RelayAvailable has come to.
type RelayResult int

const (
	RelayedAll  RelayResult = iota // no further line has come
	RelayedSome                    // more lines may have come
	RelayEnded                     // the server has ended the session; HandleServerEnd was called, or is about to be
)

// Dialer starts dials.
type Dialer interface {
	// Dial connects to the server and sends it the session's first line. It times out if the server has not answered within
	// the timeout. It returns nil if the server's address is unknown or no descriptor is free.
	Dial(server choice.ServerID, timeout time.Duration, session *Session) Server
}
