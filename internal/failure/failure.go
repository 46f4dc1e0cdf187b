// Package failure decides what a failed system call means for the program: whether it is made again, at once or after a
// back-off, whether it ends one connection, and how, or whether nothing more can be done. It is the one place where that is
// decided, by call and errno; callers only act on the meaning. The sources are the calls' Linux manual pages.
package failure

import (
	"errors"
	"syscall"
)

// Call is a kind of system call. Calls of one kind fail with the same meanings.
type Call int

// Calls.
const (
	Accept    Call = iota // accept4(2) on the listener
	Read                  // read(2) and recvfrom(2) on a connection
	Write                 // write(2) on a connection
	Register              // epoll_ctl(2)
	Wake                  // write(2) on the event loop's eventfd
	Connect               // socket(2) and connect(2)
	HandOver              // fcntl(2) that gives the event loop its own descriptor
	Option                // setsockopt(2) and shutdown(2)
	Listen                // what opens a listener: socket(2), bind(2), listen(2), epoll_create1(2), eventfd(2)
	OpenFile              // open(2) and read(2) of a file
	WriteFile             // what makes data durable: open(2), write(2), ftruncate(2), fsync(2)
	callCount
)

func (c Call) String() string {
	return [...]string{Accept: "accept", Read: "read", Write: "write", Register: "epoll_ctl", Wake: "wake",
		Connect: "connect", HandOver: "hand-over", Option: "option", Listen: "listen", OpenFile: "open", WriteFile: "write file"}[c]
}

// Meaning is what a failure means.
type Meaning int

// Meanings.
const (
	None        Meaning = iota // no failure
	Interrupted                // the call is made again at once
	NotReady                   // the call is made again once the descriptor is ready
	Exhausted                  // a resource is short for a moment: the call is made again after a back-off
	Unrouted                   // connect only: there is no route for a moment; the call is made again after a back-off
	Discarded                  // accept only: the connection at the head of the queue is gone, the next may be good
	Ended                      // the other end has ended or reset the connection
	Broken                     // the path has failed: the other end has said nothing and may still be there
	Permanent                  // the same call will fail again
)

func (m Meaning) String() string {
	return [...]string{None: "none", Interrupted: "interrupted", NotReady: "not ready", Exhausted: "exhausted",
		Unrouted: "unrouted", Discarded: "discarded", Ended: "ended", Broken: "broken", Permanent: "permanent"}[m]
}

// Passes reports whether the same call may succeed a moment later.
func (m Meaning) Passes() bool {
	return m == Interrupted || m == NotReady || m == Exhausted || m == Unrouted || m == Discarded
}

// common are the meanings that an errno has for every call without an entry of its own.
var common = map[syscall.Errno]Meaning{
	syscall.EINTR:  Interrupted,
	syscall.EAGAIN: NotReady,
	syscall.ENFILE: Exhausted, syscall.EMFILE: Exhausted, syscall.ENOBUFS: Exhausted, syscall.ENOMEM: Exhausted,
	syscall.ENOSPC: Exhausted,
}

// network are the errnos of a path that has failed.
var network = [...]syscall.Errno{
	syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.ENETDOWN, syscall.ENETRESET,
	syscall.ENONET, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ECONNABORTED,
}

// byCall are the meanings by call, where they differ from the common ones.
var byCall [callCount]map[syscall.Errno]Meaning

// otherwise is what an errno without an entry means to a call.
var otherwise = [callCount]Meaning{
	Accept:   Exhausted, // the listener is not given up: an unknown failure may pass, and is tried with a back-off
	Read:     Broken,
	Write:    Broken,
	Register: Permanent,
	Wake:     Exhausted, // a loop that is not woken stands still
	Connect:  Permanent,
	HandOver: Permanent,
	Option:   Permanent,
	Listen:   Permanent,
	OpenFile: Permanent,

	WriteFile: Permanent,
}

func init() {
	byCall[Accept] = map[syscall.Errno]Meaning{syscall.EPERM: Discarded, syscall.ECONNRESET: Discarded} // a firewall's rule; reset in the queue
	byCall[Read] = map[syscall.Errno]Meaning{syscall.ECONNRESET: Ended, syscall.EPIPE: Ended}
	byCall[Write] = map[syscall.Errno]Meaning{syscall.ECONNRESET: Ended, syscall.EPIPE: Ended}
	byCall[Connect] = map[syscall.Errno]Meaning{
		syscall.EADDRNOTAVAIL: Exhausted, // no local port is free
		syscall.EAGAIN:        Exhausted, // the same, or no space in the routing cache
		syscall.EADDRINUSE:    Exhausted,
		syscall.ENETUNREACH:   Unrouted, // a route that is being replaced
		syscall.ENETDOWN:      Unrouted,
	}
	byCall[Listen] = map[syscall.Errno]Meaning{syscall.EADDRNOTAVAIL: Exhausted, syscall.EAGAIN: Exhausted}
	byCall[OpenFile] = map[syscall.Errno]Meaning{syscall.EIO: Exhausted, syscall.EAGAIN: Exhausted, syscall.ESTALE: Exhausted,
		syscall.ETIMEDOUT: Exhausted}
	byCall[WriteFile] = map[syscall.Errno]Meaning{syscall.EIO: Exhausted, syscall.EDQUOT: Exhausted, syscall.EAGAIN: Exhausted,
		syscall.ETIMEDOUT: Exhausted}
	for _, errno := range network {
		byCall[Accept][errno] = Discarded // errors of the new connection, which accept4 passes on
		byCall[Read][errno] = Broken
		byCall[Write][errno] = Broken
	}
}

// Classify returns what the error of a call means. An error that has no errno, such as a time-out of this process's own, is
// Permanent.
func Classify(call Call, err error) Meaning {
	if err == nil {
		return None
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return Permanent
	}
	if meaning, known := byCall[call][errno]; known {
		return meaning
	}
	if meaning, known := common[errno]; known {
		return meaning
	}
	return otherwise[call]
}
