package failure

import (
	"context"
	"net"
)

// Listener wraps a net.Listener so that Accept continues after temporary failures, with a back-off, until the listener is
// closed. Without it net/http stops serving after some of them.
type Listener struct {
	net.Listener
	Log *Log // records the failures; may be nil
}

// Accept waits for the next connection. It returns an error only when the listener is closed or fails permanently.
func (l Listener) Accept() (conn net.Conn, err error) {
	err = Retry(context.Background(), Accept, l.Log, func() (err error) {
		conn, err = l.Listener.Accept()
		return err
	})
	return conn, err
}
