package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// bootedWith starts a proxy whose connects to its own listener are the test's.
func bootedWith(t *testing.T, dialOwn func(p *Proxy, address string) (net.Conn, error)) (p *Proxy, address string, ended chan error) {
	t.Helper()
	address = free(t)
	p, err := New(fmt.Appendf(nil, configuration, address, free(t), 256), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	p.dialOwn = func(_, address string) (net.Conn, error) { return dialOwn(p, address) }
	ended = make(chan error, 1)
	go func() { ended <- p.Run() }()
	return p, address, ended
}

// TestOwnConnectFails: the proxy's first connection, to its own listener, is accepted and closed before the connecting
// side has looked, so that its dial fails; or it is refused at first. The proxy serves all the same.
func TestOwnConnectFails(t *testing.T) {
	for name, dialOwn := range map[string]func(attempt int, p *Proxy, address string) (net.Conn, error){
		"closed before it is looked at": func(_ int, p *Proxy, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			<-p.ready
			conn.Close()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.EPIPE}
		},
		"closed at once, the loop not looked at": func(_ int, _ *Proxy, address string) (net.Conn, error) {
			if conn, err := net.Dial("tcp", address); err == nil {
				conn.Close()
			}
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.EPIPE}
		},
		"refused at first": func(attempt int, _ *Proxy, address string) (net.Conn, error) {
			if attempt < 3 {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
			}
			return net.Dial("tcp", address)
		},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := 0
			p, address, ended := bootedWith(t, func(p *Proxy, address string) (net.Conn, error) {
				attempts++
				return dialOwn(attempts, p, address)
			})
			select {
			case <-p.ready:
			case err := <-ended:
				t.Fatalf("Run ends with %v", err)
			case <-time.After(5 * time.Second):
				t.Fatal("the loop does not run")
			}
			t.Cleanup(p.stopEngine)
			d := connect(t, address)
			d.say("PING\r\n", "PONG\r\n")
			select {
			case err := <-ended:
				t.Errorf("Run ends with %v", err)
			case <-time.After(4 * ownConnectPause): // a further failure would have been seen by now
			}
		})
	}
}

// TestOwnListenerUnreachable: a proxy that can't reach its own listener has no loop; that is an error of Run, which
// leaves the process alone and the listener closed.
func TestOwnListenerUnreachable(t *testing.T) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	_, address, ended := bootedWith(t, func(*Proxy, string) (net.Conn, error) { return nil, refused })
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("Run ends with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Run does not end")
	}
	if conn, err := net.Dial("tcp", address); err == nil {
		conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadAll(conn); err == nil {
			t.Error("a client is still let in")
		}
		conn.Close()
	}
}

// TestOwnConnectGoesElsewhere: the port can be shared, so the proxy's first connection may go to another process that
// still listens there. The event loop runs all the same, without a client.
func TestOwnConnectGoesElsewhere(t *testing.T) {
	other, err := net.Listen("tcp", free(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	attempts := 0
	p, address, ended := bootedWith(t, func(_ *Proxy, address string) (net.Conn, error) {
		if attempts++; attempts <= 2 {
			return net.Dial("tcp", other.Addr().String())
		}
		return net.Dial("tcp", address)
	})
	select {
	case <-p.ready:
	case err := <-ended:
		t.Fatalf("Run ends with %v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("the loop does not run")
	}
	t.Cleanup(p.stopEngine)
	connect(t, address).say("PING\r\n", "PONG\r\n")
}
