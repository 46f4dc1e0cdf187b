package discovery

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

// Reception is when the latest data of a watch arrived: between the beginning and the end of the read that returned it. The two
// differ by the time that this process stood still, if it did, besides the wait for the data.
type Reception struct{ Began, Ended time.Time }

// watchConn is the connection of a watch. It reports whether data was received on it that has not been read yet, and when it
// last received some.
type watchConn struct {
	net.Conn
	connectedAt time.Time                 // when it was established, before any request is sent
	isReading   atomic.Bool               // a Read is in progress: the reader has handed on all data of earlier reads
	last        atomic.Pointer[Reception] // of the latest Read that returned data; nil before
}

func (c *watchConn) Read(buffer []byte) (int, error) {
	c.isReading.Store(true)
	defer c.isReading.Store(false)
	began := time.Now()
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.last.Store(&Reception{Began: began, Ended: time.Now()})
	}
	return n, err
}

// lastReception returns when the latest data arrived. The data that the reader of an HTTP body was given last is part of it, as
// the connection is read again only once everything before was handed on.
func (c *watchConn) lastReception() Reception {
	if c != nil {
		if last := c.last.Load(); last != nil {
			return *last
		}
	}
	now := time.Now()
	return Reception{Began: now, Ended: now}
}

// isDrained reports whether all received data was read and handed on. If the kernel can't be asked for unread data, the
// connection counts as drained while a Read is in progress.
func (c *watchConn) isDrained() bool { return c.isReading.Load() && !c.hasUnread() }

// hasUnread reports whether the kernel holds received data that was not read, or the end of the connection. It only
// peeks, so that data stays for the next Read.
func (c *watchConn) hasUnread() bool {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	var peeked [1]byte
	meaning := failure.NotReady
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		meaning = failure.Classify(failure.Read, err)
	})
	return err == nil && meaning == failure.None
}
