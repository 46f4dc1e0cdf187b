package failure

import (
	"context"
	"net"
)

// Listener is a listener whose Accept goes on through failures that pass, with a back-off, until it is closed. net/http
// stops serving after some of them.
type Listener struct {
	net.Listener
	Log *Log // nil for none
}

// Accept returns the next connection, or the error with which the listener has ended. It blocks.
func (l Listener) Accept() (conn net.Conn, err error) {
	err = Retry(context.Background(), Accept, l.Log, func() (err error) {
		conn, err = l.Listener.Accept()
		return err
	})
	return conn, err
}
