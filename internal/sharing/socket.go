package sharing

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Socket is what a member or aggregator needs of a *net.UDPConn.
type Socket interface {
	ReadFromUDPAddrPort(buffer []byte) (size int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (size int, err error)
	LocalAddr() net.Addr
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
	SyscallConn() (syscall.RawConn, error)
	Close() error
}

// setBuffers asks for socket buffers of so many bytes in each direction. The kernel grants no more than its limits.
func (e *endpoint) setBuffers(bytes int) error {
	if err := e.conn.SetReadBuffer(bytes); err != nil {
		return err
	}
	return e.conn.SetWriteBuffer(bytes)
}

// socketState returns the datagrams that the kernel dropped as the receive buffer was full, and the bytes of that
// buffer; 0 where the kernel does not say.
func (e *endpoint) socketState() (dropped uint64, bufferBytes int) {
	raw, err := e.conn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	var stat unix.Stat_t
	err = raw.Control(func(fd uintptr) {
		bufferBytes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
		unix.Fstat(int(fd), &stat) // on an error no inode of 0 is found
	})
	if err != nil {
		return 0, 0
	}
	return droppedAt(stat.Ino), bufferBytes
}

// droppedAt returns the drops of the UDP socket with an inode.
func droppedAt(inode uint64) uint64 {
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
