package proxy

import (
	"chalkferry/internal/eventloop"
	"chalkferry/internal/servers"
	"chalkferry/internal/socket"
)

// OnOpen handles a new connection on the event loop: one that was made to a server, or one accepted from a client.
func (p *Proxy) OnOpen(conn *eventloop.Conn) {
	p.beginEvent()
	defer p.endEvent()
	if opener, ok := conn.Context().(servers.Opener); ok {
		opener.Open(conn)
		return
	}
	p.connectionArrived = true
	client := p.clients.New()
	c := p.take(conn, client)
	client.SetConn(c)
	client.Admit()
}

// take wraps a connection of the event loop for its owner and counts its descriptor.
func (p *Proxy) take(conn *eventloop.Conn, owner socket.Owner) *socket.Conn {
	p.connectionLimit.Acquire(1)
	c := socket.New(conn, owner, p.connectionLimit, p.timers, p.afterEvent, p.lingerTimeout(), maxUnsentBytes)
	conn.SetContext(c)
	return c
}

// OnTraffic handles received bytes.
func (p *Proxy) OnTraffic(conn *eventloop.Conn) {
	p.beginEvent()
	defer p.endEvent()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.HandleTraffic()
	}
}

// OnBroken reports an I/O error to the owner of the connection.
func (p *Proxy) OnBroken(conn *eventloop.Conn, err error) {
	p.beginEvent()
	defer p.endEvent()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.HandleBroken(err)
	}
}

// OnClose reports the end of a connection to its owner.
func (p *Proxy) OnClose(conn *eventloop.Conn, err error) {
	p.beginEvent()
	defer p.endEvent()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.HandleClose(err)
	}
}

// OnOverflow ends a connection that holds most of the buffered bytes, as there are too many.
func (p *Proxy) OnOverflow(conn *eventloop.Conn) {
	p.beginEvent()
	defer p.endEvent()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.Evict()
	}
}
