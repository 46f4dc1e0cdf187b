package node

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// drainSteps is the number of steps in which a draining node migrates its sessions.
const drainSteps = 20

// Hang makes the node accept connections and read, but answer nothing. Its process keeps running and still reports loads.
func (n *Node) Hang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.enterState(hung) {
		n.reportSilence()
	}
}

// reportSilence reports to the judge that the node no longer answers any session. The caller must hold n.mu.
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
		n.enterState(running)
	}
}

// SetSlowdown divides the node's speed by a factor; 1 restores its usual speed.
func (n *Node) SetSlowdown(factor float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model != nil {
		n.model.Advance(n.now())
		n.model.SetSlowdown(factor)
	}
}

// Stall holds back everything that the node sends for a duration. It is sent afterwards; nothing is lost.
func (n *Node) Stall(d time.Duration) {
	n.stalledUntil.Store(max(n.stalledUntil.Load(), int64(n.now()+d)))
}

// Kill ends the node's process: open connections are reset, and new ones are refused.
func (n *Node) Kill() { n.stop(dead) }

// stop ends the node's process and enters the next state, dead or failed.
func (n *Node) stop(next state) {
	n.mu.Lock()
	if !n.enterState(next) {
		n.mu.Unlock()
		return
	}
	n.closeListener()
	n.closeBlackhole()
	n.isolated.Store(false)
	ended := n.conns
	n.conns, n.delayReporter = map[*conn]bool{}, nil
	clear(n.orphans)
	for c := range ended {
		c.reportReset()
	}
	n.mu.Unlock()
	for c := range ended {
		reset(c.conn)
	}
}

// Vanish simulates the loss of the node's machine: open connections stay open and silent, and new ones are never
// established.
func (n *Node) Vanish() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.enterState(vanished) {
		return nil
	}
	n.isolated.Store(true)
	n.reportSilence()
	n.closeListener()
	var err error
	n.blackhole, err = openBlackhole(n.Address)
	return err
}

// closeBlackhole closes the blackhole, if there is one. The caller must hold n.mu.
func (n *Node) closeBlackhole() {
	if n.blackhole != nil {
		n.blackhole.close()
		n.blackhole = nil
	}
}

// Restore brings a vanished machine back. Like a machine after a reboot, it resets its former connections, which it no
// longer knows, and starts cold.
func (n *Node) Restore() error {
	n.mu.Lock()
	previous := n.state
	n.mu.Unlock()
	if previous != vanished {
		return nil
	}
	n.Kill()
	return n.Start(false)
}

// HalfOpen makes a share of the open sessions (0 to 1) go silent without closing their connections. The node itself
// keeps working.
func (n *Node) HalfOpen(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.established && n.rand.Float64() < share {
			c.muted = true
			n.judge.ServerEnded(n.now(), c.id, false)
		}
	}
}

// Drain makes the node refuse new sessions and migrate the open ones, spread evenly over a duration, or all at its end.
// It returns after the duration or when the context ends.
func (n *Node) Drain(ctx context.Context, duration time.Duration, allAtEnd bool) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	for i := range drainSteps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(duration / drainSteps):
		}
		if isLast := i == drainSteps-1; isLast || !allAtEnd {
			n.migrate(1 / float64(drainSteps-i))
		}
	}
}

// migrate ends a random share of the sessions (0 to 1) with MOVE, which asks their clients to reconnect elsewhere.
func (n *Node) migrate(share float64) {
	n.mu.Lock()
	var leaving []*conn
	for c := range n.conns {
		if c.established && !c.muted && n.state == running && n.rand.Float64() < share {
			leaving = append(leaving, c)
		}
	}
	n.mu.Unlock()
	for _, c := range leaving {
		c.endSession("MOVE\r\n")
	}
}

// blackhole is a listener whose accept queue is full, so that the kernel drops further SYNs as if the network were down.
type blackhole struct {
	fd      int
	fillers []net.Conn // connections that fill the queue
}

const (
	// blackholeQueueLimit is the backlog of the listener, in connections.
	blackholeQueueLimit = 0
	// blackholeFillers is how many connections are dialled to fill the queue: with a backlog of 0 the kernel still
	// queues one, and the second takes any room that is left.
	blackholeFillers  = 2
	fillerDialTimeout = 20 * time.Millisecond
)

// openBlackhole listens at an address and fills the accept queue.
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
