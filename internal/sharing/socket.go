package sharing

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Socket is the part of *net.UDPConn that a member or aggregator uses.
type Socket interface {
	ReadFromUDPAddrPort(buffer []byte) (size int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (size int, err error)
	LocalAddr() net.Addr
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
	SyscallConn() (syscall.RawConn, error)
	Close() error
}

// setBuffers requests socket buffers of a size in bytes for each direction. The kernel may grant less, by its limits
// net.core.rmem_max and net.core.wmem_max.
func (e *endpoint) setBuffers(bytes int) error {
	if err := e.conn.SetReadBuffer(bytes); err != nil {
		return err
	}
	return e.conn.SetWriteBuffer(bytes)
}

// socketState returns the number of datagrams that the kernel dropped because the receive buffer was full, and the size
// of that buffer in bytes. A value that the kernel does not provide is 0.
func (e *endpoint) socketState() (dropped uint64, bufferBytes int) {
	raw, err := e.conn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	var stat unix.Stat_t
	err = raw.Control(func(fd uintptr) {
		bufferBytes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
		unix.Fstat(int(fd), &stat) // on an error stat.Ino stays 0, which no socket has
	})
	if err != nil {
		return 0, 0
	}
	return dropsOfInode(stat.Ino), bufferBytes
}

// dropsOfInode returns the number of datagrams that were dropped at the UDP socket with an inode, or 0 if not known.
func dropsOfInode(inode uint64) uint64 {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return 0
	}
	sockets, err := proc.NetUDP()
	if err != nil {
		return 0
	}
	for _, socket := range sockets {
		if socket.Inode == inode && socket.Drops != nil {
			return *socket.Drops
		}
	}
	return 0
}
