// Package failure decides what a failed system call means: whether the caller repeats it, at once or after a back-off, whether
// one connection is lost, and how, or whether nothing more can be done. It is the only place where that is decided, by call and
// errno; callers act on the Meaning alone. The classification follows the Linux manual pages of the calls. The package also
// counts and logs failures and offers a back-off and a retry loop.
package failure

import (
	"errors"
	"syscall"
)

// Call is a kind of system call. The same errno has the same Meaning for all calls of a kind.
type Call int

// Kinds of system calls. Their String values are used in the log.
const (
	Accept    Call = iota // accept4(2) on the listener
	Read                  // read(2) and recvfrom(2) on a connection
	Write                 // write(2) on a connection
	Register              // epoll_ctl(2)
	Wake                  // write(2) on the eventfd that wakes the event loop
	Connect               // socket(2) and connect(2)
	HandOver              // fcntl(2) that duplicates a descriptor for the event loop
	Option                // setsockopt(2) and shutdown(2)
	Listen                // calls that open a listener: socket(2), bind(2), listen(2), epoll_create1(2), eventfd(2)
	OpenFile              // open(2) and read(2) of a file
	WriteFile             // calls that make data durable: open(2), write(2), ftruncate(2), fsync(2)
	callCount
)

// String returns the name that the log uses.
func (c Call) String() string {
	return [...]string{Accept: "accept", Read: "read", Write: "write", Register: "epoll_ctl", Wake: "wake",
		Connect: "connect", HandOver: "hand-over", Option: "option", Listen: "listen", OpenFile: "open", WriteFile: "write file"}[c]
}

// Meaning says how a caller has to handle a failure.
type Meaning int

// Meanings. Their String values are used in the log.
const (
	None        Meaning = iota // the call has succeeded
	Interrupted                // by a signal: the call is repeated at once
	NotReady                   // the call is repeated once the descriptor is ready
	Exhausted                  // lack of a resource that may become free: the call is repeated after a back-off
	Unrouted                   // connect only: there is no route at the moment; the call is repeated after a back-off
	Discarded                  // accept only: the connection at the head of the queue is gone, the next one may be usable
	Ended                      // the peer has closed or reset the connection
	Broken                     // the network path has failed: the peer has not closed the connection and may still be running
	Permanent                  // a repeated call will fail as well
)

// String returns the name that the log uses.
func (m Meaning) String() string {
	return [...]string{None: "none", Interrupted: "interrupted", NotReady: "not ready", Exhausted: "exhausted",
		Unrouted: "unrouted", Discarded: "discarded", Ended: "ended", Broken: "broken", Permanent: "permanent"}[m]
}

// IsTemporary reports whether the same call may succeed a moment later.
func (m Meaning) IsTemporary() bool {
	return m == Interrupted || m == NotReady || m == Exhausted || m == Unrouted || m == Discarded
}

// commonMeanings are the meanings of an errno for each call that has no entry of its own in meaningsByCall.
var commonMeanings = map[syscall.Errno]Meaning{
	syscall.EINTR:  Interrupted,
	syscall.EAGAIN: NotReady,
	syscall.ENFILE: Exhausted, syscall.EMFILE: Exhausted, syscall.ENOBUFS: Exhausted, syscall.ENOMEM: Exhausted,
	syscall.ENOSPC: Exhausted,
}

// pathErrnos are the errnos of a network path that has failed.
var pathErrnos = [...]syscall.Errno{
	syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.ENETDOWN, syscall.ENETRESET,
	syscall.ENONET, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ECONNABORTED,
}

// meaningsByCall are the meanings by call where they differ from commonMeanings.
var meaningsByCall [callCount]map[syscall.Errno]Meaning

// defaultMeanings are the meanings by call of an errno without an entry in either table.
var defaultMeanings = [callCount]Meaning{
	Accept:   Exhausted, // the listener must stay in use: an unknown failure may be temporary, so accept is repeated with a back-off
	Read:     Broken,
	Write:    Broken,
	Register: Permanent,
	Wake:     Exhausted, // a loop that is not woken makes no progress, so the write is repeated
	Connect:  Permanent,
	HandOver: Permanent,
	Option:   Permanent,
	Listen:   Permanent,
	OpenFile: Permanent,

	WriteFile: Permanent,
}

func init() {
	meaningsByCall[Accept] = map[syscall.Errno]Meaning{
		syscall.EPERM:      Discarded, // forbidden by a firewall rule
		syscall.ECONNRESET: Discarded, // reset by the client while it was queued
	}
	meaningsByCall[Read] = map[syscall.Errno]Meaning{syscall.ECONNRESET: Ended, syscall.EPIPE: Ended}
	meaningsByCall[Write] = map[syscall.Errno]Meaning{syscall.ECONNRESET: Ended, syscall.EPIPE: Ended}
	meaningsByCall[Connect] = map[syscall.Errno]Meaning{
		syscall.EADDRNOTAVAIL: Exhausted, // no local port is free
		syscall.EAGAIN:        Exhausted, // no free local port, or no space in the routing cache
		syscall.EADDRINUSE:    Exhausted,
		syscall.ENETUNREACH:   Unrouted, // the route may be in the middle of a replacement
		syscall.ENETDOWN:      Unrouted,
	}
	meaningsByCall[Listen] = map[syscall.Errno]Meaning{syscall.EADDRNOTAVAIL: Exhausted, syscall.EAGAIN: Exhausted}
	meaningsByCall[OpenFile] = map[syscall.Errno]Meaning{syscall.EIO: Exhausted, syscall.EAGAIN: Exhausted, syscall.ESTALE: Exhausted,
		syscall.ETIMEDOUT: Exhausted}
	meaningsByCall[WriteFile] = map[syscall.Errno]Meaning{syscall.EIO: Exhausted, syscall.EDQUOT: Exhausted, syscall.EAGAIN: Exhausted,
		syscall.ETIMEDOUT: Exhausted}
	for _, errno := range pathErrnos {
		meaningsByCall[Accept][errno] = Discarded // pending network errors of the new connection, which accept4 returns
		meaningsByCall[Read][errno] = Broken
		meaningsByCall[Write][errno] = Broken
	}
}

// Classify returns the Meaning of a call's error. An error without an errno, such as a timeout set by this process, is
// Permanent.
func Classify(call Call, err error) Meaning {
	if err == nil {
		return None
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return Permanent
	}
	if meaning, known := meaningsByCall[call][errno]; known {
		return meaning
	}
	if meaning, known := commonMeanings[errno]; known {
		return meaning
	}
	return defaultMeanings[call]
}
