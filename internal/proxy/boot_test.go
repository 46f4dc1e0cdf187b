package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// startWithoutDiscovery starts a proxy at an address; nothing listens at its discovery address.
func startWithoutDiscovery(t *testing.T, address string) (p *Proxy, ended chan error) {
	t.Helper()
	p, err := New(fmt.Appendf(nil, configuration, address, freeAddress(t), 256), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- p.Run() }()
	return p, ended
}

// awaitLoop waits until the event loop runs.
func awaitLoop(t *testing.T, p *Proxy, ended chan error) {
	t.Helper()
	select {
	case <-p.ready:
	case err := <-ended:
		t.Fatalf("Run ends with %v", err)
	case <-time.After(5 * time.Second):
		t.Fatal("the event loop does not run within 5 s")
	}
	t.Cleanup(p.stopLoop)
}

// sharedListener listens as a proxy does, with SO_REUSEPORT, so that others may listen at the same address.
func sharedListener(t *testing.T, address string) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, controlErr)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestStartsWithoutConnection checks that the event loop runs and the balancer exists before any connection arrives, also
// when another process listens at the same address and may get all connections.
func TestStartsWithoutConnection(t *testing.T) {
	for name, isShared := range map[string]bool{"alone": false, "another process at the address": true} {
		t.Run(name, func(t *testing.T) {
			address := freeAddress(t)
			var accepted chan net.Conn
			if isShared {
				l := sharedListener(t, address)
				accepted = make(chan net.Conn, 16)
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						accepted <- conn
					}
				}()
			}
			p, ended := startWithoutDiscovery(t, address)
			awaitLoop(t, p, ended)
			var unexpected bool
			ran := make(chan struct{})
			p.execute(func() {
				unexpected = p.connectionArrived || p.balancer == nil
				close(ran)
			})
			<-ran
			if unexpected {
				t.Error("a connection has arrived, or there is no balancer")
			}
			select {
			case <-accepted:
				t.Error("the proxy connects to its own address")
			case err := <-ended:
				t.Errorf("Run ends with %v", err)
			case <-time.After(200 * time.Millisecond):
			}
			if !isShared {
				connect(t, address).sendAndExpect("PING\r\n", "PONG\r\n")
			}
		})
	}
}

// TestListenerFails checks that Run returns EADDRINUSE at once if another process has the proxy's address, without ending the
// process or leaving a socket open.
func TestListenerFails(t *testing.T) {
	other, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	_, ended := startWithoutDiscovery(t, other.Addr().String())
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("Run ends with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Run does not end")
	}
	address := other.Addr().String()
	other.Close()
	if conn, err := net.Dial("tcp", address); err == nil {
		conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadAll(conn); err == nil {
			t.Error("the proxy's address still accepts clients")
		}
		conn.Close()
	}
}
