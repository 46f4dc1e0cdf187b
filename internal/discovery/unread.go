package discovery

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

// watchConn is the connection of a watch. It reports whether data was received on it that has not been read yet.
type watchConn struct {
	net.Conn
	isReading atomic.Bool // a Read is in progress: the reader has handed on all data of earlier reads
}

func (c *watchConn) Read(buffer []byte) (int, error) {
	c.isReading.Store(true)
	defer c.isReading.Store(false)
	return c.Conn.Read(buffer)
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
