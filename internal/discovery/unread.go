package discovery

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

// watchConn is the connection of a watch, which tells whether something has come on it that was not read yet.
type watchConn struct {
	net.Conn
	isReading atomic.Bool // its reader waits in Read, and has handed on all that it read before
}

func (c *watchConn) Read(buffer []byte) (int, error) {
	c.isReading.Store(true)
	defer c.isReading.Store(false)
	return c.Conn.Read(buffer)
}

// isDrained reports whether all that has come was read and handed on. A connection that can't be asked counts as drained.
func (c *watchConn) isDrained() bool { return c.isReading.Load() && !c.hasUnread() }

// hasUnread reports whether the kernel holds something that was not read, the end of the connection included.
func (c *watchConn) hasUnread() bool {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	var first [1]byte
	meaning := failure.NotReady
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		meaning = failure.Classify(failure.Read, err)
	})
	return err == nil && meaning == failure.None
}
