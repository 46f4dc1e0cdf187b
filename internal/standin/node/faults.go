package node

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// drainSteps is in how many steps a draining node migrates its sessions.
const drainSteps = 20

// Hang makes the node accept and read, and answer nothing. Its process runs.
func (n *Node) Hang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.enter(hung) {
		n.reportSilence()
	}
}

// reportSilence tells the judge that no session is answered any more. It needs the lock.
func (n *Node) reportSilence() {
	for c := range n.conns {
		if c.established {
			n.judge.ServerEnded(n.now(), c.id, false)
		}
	}
}

// Recover ends a hang.
func (n *Node) Recover() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == hung {
		n.enter(running)
	}
}

// SetSlowdown makes the node slower by a factor; 1 is its usual speed.
func (n *Node) SetSlowdown(factor float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model != nil {
		n.model.Advance(n.now())
		n.model.SetSlowdown(factor)
	}
}

// Stall holds back all that the node sends for a while; afterwards it continues where it was.
func (n *Node) Stall(d time.Duration) {
	n.pausedUntil.Store(max(n.pausedUntil.Load(), int64(n.now()+d)))
}

// Kill ends the process: connections are reset, new ones refused.
func (n *Node) Kill() { n.stop(dead) }

// stop ends the process and enters a state in which there is none.
func (n *Node) stop(next state) {
	n.mu.Lock()
	if !n.enter(next) {
		n.mu.Unlock()
		return
	}
	n.closeListener()
	n.closeBlackhole()
	n.cutOff.Store(false)
	ended := n.conns
	n.conns, n.delayReporter = map[*conn]bool{}, nil
	clear(n.orphans)
	for c := range ended {
		c.reportKilled()
	}
	n.mu.Unlock()
	for c := range ended {
		reset(c.conn)
	}
}

// Vanish cuts the node's machine off: open connections stay open and silent, new ones are never established.
func (n *Node) Vanish() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.enter(vanished) {
		return nil
	}
	n.cutOff.Store(true)
	n.reportSilence()
	n.closeListener()
	var err error
	n.blackhole, err = openBlackhole(n.Address)
	return err
}

// closeBlackhole needs the lock.
func (n *Node) closeBlackhole() {
	if n.blackhole != nil {
		n.blackhole.close()
		n.blackhole = nil
	}
}

// Return brings a vanished machine back: it resets the connections that it does not know any more, and starts cold.
func (n *Node) Return() error {
	n.mu.Lock()
	was := n.state
	n.mu.Unlock()
	if was != vanished {
		return nil
	}
	n.Kill()
	return n.Start(false)
}

// HalfOpen makes a share of the open sessions carry nothing any more, though the node is well.
func (n *Node) HalfOpen(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.established && n.rand.Float64() < share {
			c.mute = true
			n.judge.ServerEnded(n.now(), c.id, false)
		}
	}
}

// Drain makes the node refuse new sessions and migrate the others, spread over a duration, or all at its end.
func (n *Node) Drain(ctx context.Context, over time.Duration, allAtEnd bool) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	for i := range drainSteps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(over / drainSteps):
		}
		if isLast := i == drainSteps-1; isLast || !allAtEnd {
			n.migrate(1 / float64(drainSteps-i))
		}
	}
}

// migrate asks the clients of a share of the sessions to move.
func (n *Node) migrate(share float64) {
	n.mu.Lock()
	var leaving []*conn
	for c := range n.conns {
		if c.established && !c.mute && n.state == running && n.rand.Float64() < share {
			leaving = append(leaving, c)
		}
	}
	n.mu.Unlock()
	for _, c := range leaving {
		c.end("MOVE\r\n")
	}
}

// blackhole is a listener with a full queue, so that the kernel ignores further SYNs as if the line were cut.
type blackhole struct {
	fd      int
	fillers []net.Conn // connections that fill the queue
}

const (
	blackholeFillers    = 2 // a queue of length 0 takes one; the second fills what is left, if anything
	fillerDialTimeout   = 20 * time.Millisecond
	blackholeQueueLimit = 0
)

func openBlackhole(address string) (*blackhole, error) {
	tcpAddress, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	err = unix.Bind(fd, &unix.SockaddrInet4{Port: tcpAddress.Port, Addr: [4]byte(tcpAddress.IP.To4())})
	if err == nil {
		err = unix.Listen(fd, blackholeQueueLimit)
	}
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	b := &blackhole{fd: fd}
	for range blackholeFillers {
		if c, err := net.DialTimeout("tcp", address, fillerDialTimeout); err == nil {
			b.fillers = append(b.fillers, c)
		}
	}
	return b, nil
}

func (b *blackhole) close() {
	unix.Close(b.fd)
	for _, c := range b.fillers {
		c.Close()
	}
}
