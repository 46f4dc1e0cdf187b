package proxy

import (
	"chalkferry/internal/eventloop"
	"chalkferry/internal/servers"
	"chalkferry/internal/socket"
)

// OnOpen takes a connection over: one to a server that was connected to, or a client's.
func (p *Proxy) OnOpen(conn *eventloop.Conn) {
	p.enter()
	defer p.leave()
	if opener, ok := conn.Context().(servers.Opener); ok {
		opener.Open(conn)
		return
	}
	p.came = true
	client := p.clients.New()
	c := p.take(conn, client)
	client.Serve(c)
	client.Admit()
}

func (p *Proxy) take(conn *eventloop.Conn, owner socket.Owner) *socket.Conn {
	p.connectionLimit.Take(1)
	c := socket.New(conn, owner, p.connectionLimit, p.timers, p.later, p.linger(), maxUnsentBytes)
	conn.SetContext(c)
	return c
}

// OnTraffic reads what has come.
func (p *Proxy) OnTraffic(conn *eventloop.Conn) {
	p.enter()
	defer p.leave()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.Traffic()
	}
}

// OnBroken tells the owner of a connection that is broken.
func (p *Proxy) OnBroken(conn *eventloop.Conn, err error) {
	p.enter()
	defer p.leave()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.Failed(err)
	}
}

// OnClose tells the owner of a connection that has ended.
func (p *Proxy) OnClose(conn *eventloop.Conn, err error) {
	p.enter()
	defer p.leave()
	if c, ok := conn.Context().(*socket.Conn); ok {
		c.Closed(err)
	}
}
