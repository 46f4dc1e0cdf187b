// Package clients is the side of the clients: what they send before a session stands, and while it does.
package clients

import (
	"container/list"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/choice"
	"chalkferry/internal/exchange"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
	"chalkferry/internal/timers"
)

const (
	perSession = 3 // descriptors that a session needs beside its client's
)

// Clients has what all clients share.
type Clients struct {
	table           *exchange.Table
	timers          *timers.Timers
	connectionLimit *socket.ConnectionLimit
	now             func() time.Duration
	hello           time.Duration // for a connection to ask for a session
	holder          func(name []byte) choice.ServerID
	listeners       map[string]choice.ListenerID
	tenants         map[string]choice.TenantID
	groups          bool
	ids             map[string]*Client // of sessions that wait for an answer or are open
	idle            map[*Client]bool   // those that have asked for nothing
	delaysPings     bool               // they are not answered yet
	delayedPings    []*Client          // the client of each
	log             zerolog.Logger
}

func New(table *exchange.Table, t *timers.Timers, connectionLimit *socket.ConnectionLimit, now func() time.Duration,
	hello time.Duration, holder func(name []byte) choice.ServerID, listeners map[string]choice.ListenerID,
	tenants map[string]choice.TenantID, groups bool, log zerolog.Logger) *Clients {
	return &Clients{table: table, timers: t, connectionLimit: connectionLimit, now: now, hello: hello, holder: holder,
		listeners: listeners, tenants: tenants, groups: groups, ids: map[string]*Client{}, idle: map[*Client]bool{}, log: log}
}

// Change takes what other settings say; connections that have asked for a session go on with it.
func (c *Clients) Change(hello time.Duration, listeners map[string]choice.ListenerID,
	tenants map[string]choice.TenantID, groups bool) {
	c.hello, c.listeners, c.tenants, c.groups = hello, listeners, tenants, groups
}

// DelayPings has PINGs wait for AnswerPings: the front deals out connections to a proxy that has answered one, and to
// one that starts what the list has to tell may count as told before it has come.
func (c *Clients) DelayPings() { c.delaysPings = true }

// AnswerPings answers those that wait, and others at once from now on.
func (c *Clients) AnswerPings() {
	c.delaysPings = false
	for _, client := range c.delayedPings {
		client.waitsToAsk()
		client.pong()
	}
	c.delayedPings = nil
}

// Idle is how many connections have asked for nothing.
func (c *Clients) Idle() int { return len(c.idle) }

// Dismiss ends those in good order.
func (c *Clients) Dismiss() {
	for client := range c.idle { // each stands for itself, in any order
		client.dismiss()
	}
}

type state int

const (
	idle   state = iota // nothing has been asked
	waits               // for its answer
	passes              // lines pass
	over
)

// Client is one connection of a client.
type Client struct {
	clients       *Clients
	conn          *socket.Conn
	state         state
	ex            *exchange.Exchange
	opening       *line.Open // of the session asked for
	id            string     // that it gave its session
	since         time.Duration
	establishedAt time.Duration // since when lines pass
	idle          *timers.Timer
	spare         *list.Element // while nothing has been asked
	pings         int
}

// New makes the side for a connection that is about to be taken over.
func (c *Clients) New() *Client {
	client := &Client{clients: c, since: c.now()}
	client.waitsToAsk()
	c.idle[client] = true
	client.spare = c.connectionLimit.Spare(func() { client.drop("crowded-out") })
	return client
}

// waitsToAsk guards against clients that connect and say nothing, or never end a line: each holds a descriptor.
func (c *Client) waitsToAsk() {
	c.clients.timers.Stop(c.idle)
	if c.state == idle {
		c.idle = c.clients.timers.After(c.clients.hello, c.dismiss)
	}
}

// dismiss ends in good order what has asked for nothing: a line that crosses the answer costs the client nothing.
func (c *Client) dismiss() {
	if c.state == idle {
		c.Answer([]byte("BUSY\r\n"), "idle")
	}
}

// drop ends at once what has asked for nothing.
func (c *Client) drop(reason string) {
	if c.state == idle {
		c.logEnd(socket.Finished, reason)
		c.conn.Drop([]byte("BUSY\r\n"))
	}
}

// Admit makes room for a connection that has just come, or turns it away: it could not be read any more without
// risk to all others.
func (c *Client) Admit() {
	if c.clients.connectionLimit.Relieve(); c.clients.connectionLimit.Free() < 0 {
		c.drop("no-room")
	}
}

// Serve names the connection.
func (c *Client) Serve(conn *socket.Conn) { c.conn = conn }

// Read takes whole lines.
func (c *Client) Read(buf []byte) int {
	used := 0
	for c.state == idle {
		text, size, err := line.Next(buf[used:])
		if err != nil {
			c.wrong(err)
		}
		if size == 0 {
			break
		}
		used += size
		c.first(text, len(buf) > used)
	}
	switch c.state {
	case waits:
		if len(buf) > used { // it was to wait for its answer
			c.ended(socket.Finished)
			c.wrong(line.ErrMalformed)
		}
	case passes:
		used += c.pass(buf[used:])
	}
	if c.state == over {
		return len(buf)
	}
	return used
}

// wrong answers what cannot be read.
func (c *Client) wrong(err error) {
	c.clients.log.Debug().Err(err).Msg("a client's line is refused")
	c.Answer([]byte("ERR\r\n"), "malformed")
}

// first takes the line that a connection begins with; more tells that something has come behind it.
func (c *Client) first(text []byte, more bool) {
	if string(text) == "PING" { // as many as it likes: the connection ends unless it asks for a session soon
		c.pings++
		if c.clients.delaysPings { // it is this proxy that lets it wait
			c.clients.timers.Stop(c.idle)
			c.clients.delayedPings = append(c.clients.delayedPings, c)
			return
		}
		c.pong()
		return
	}
	opening, err := line.ParseOpen(text)
	if err != nil {
		c.wrong(err)
		return
	}
	listener, known := c.clients.listeners[string(opening.Listener)]
	tenant, usual := c.clients.tenants[string(opening.Tenant)]
	if !known || more || !usual && opening.Tenant != nil {
		c.wrong(line.ErrMalformed)
		return
	}
	// An id is new with every connection, but for packets that the front sends through another proxy for a while.
	if c.clients.ids[string(opening.ID)] != nil && !opening.MidFlow {
		c.Answer([]byte("ERR\r\n"), "id-in-use")
		return
	}
	if c.clients.connectionLimit.Free() < perSession { // it could not be sent anywhere
		c.Answer([]byte("BUSY\r\n"), "no-room")
		return
	}
	a := choice.Arrival{Listener: listener, Tenant: tenant,
		TimeLeft: opening.Remaining - opening.Remaining/64, // some of it is gone by now, and the answer needs some
		Load:     opening.Load / 1000, Client: choice.Key(line.NumericKey(opening.Key)), MidFlow: opening.MidFlow,
		Reconnected: opening.Returned}
	if c.clients.groups {
		a.Group = choice.Key(line.NumericKey(opening.Group))
	}
	var holder choice.ServerID
	if opening.Holder != nil {
		holder = c.clients.holder(opening.Holder)
	}
	c.state, c.id = waits, string(opening.ID)
	c.clients.ids[c.id] = c
	c.asked()
	c.opening = &opening // good while its text is; the answer may come at once
	c.ex = c.clients.table.Begin(c, a, text, holder)
	c.opening = c.ex.Opening()
}

func (c *Client) pong() {
	if c.state == idle {
		c.conn.Write([]byte("PONG\r\n"))
	}
}

// asked takes the connection from those that have asked for nothing.
func (c *Client) asked() {
	c.clients.timers.Stop(c.idle)
	c.clients.connectionLimit.Keep(c.spare)
	c.spare = nil
	delete(c.clients.idle, c)
}

// pass hands all whole lines on at once.
func (c *Client) pass(buf []byte) int {
	used, n := 0, 0
	for {
		_, size, err := line.Next(buf[used:])
		if err != nil {
			c.ended(socket.Finished)
			c.wrong(err)
			return len(buf)
		}
		if size == 0 {
			break
		}
		used += size
		n++
	}
	if n > 0 {
		c.ex.FromClient(buf[:used], n)
	}
	return used
}

func (c *Client) ended(how socket.End) {
	if c.ex != nil {
		c.ex.ClientEnded(how)
	}
}

// Ended tells that the client has ended the connection, or that it is broken. A client behind one that is broken may be
// well, and gets its last line.
func (c *Client) Ended(how socket.End) {
	if c.state == over {
		return
	}
	if how == socket.Broken {
		c.broken()
		return
	}
	reason := "client-left"
	if c.state == idle {
		reason = "unused"
	}
	c.End(how, reason)
	c.ended(how)
}

// broken ends a connection that is broken, with the answer that its state is due.
func (c *Client) broken() {
	switch c.state {
	case idle:
		c.Answer(line.FormatBusy(0), "client-broken")
	case waits:
		last := []byte("ERR\r\n")
		if c.ex != nil { // it is not there yet while the module places the session
			last = c.ex.FailureLine()
		}
		c.ended(socket.Reset)
		c.Answer(last, "client-broken")
	case passes:
		c.ex.ClientBroken()
	}
}

// Gone tells whether the client no longer waits for its answer, as its machine knows it.
func (c *Client) Gone() bool { return c.state != waits || c.conn.Peer() != socket.Waits }

// Waits tells whether the client still waits for its answer, as its machine knows it. What the loop would find when
// it comes to read is done at once.
func (c *Client) Waits() bool {
	if c.state != waits {
		return false
	}
	switch c.conn.Peer() {
	case socket.Left:
		c.Ended(socket.Finished)
	case socket.PathFailed:
		c.Ended(socket.Broken)
	case socket.Speaks: // it was to wait
		c.ended(socket.Finished)
		c.wrong(line.ErrMalformed)
	}
	return c.state == waits
}

func (c *Client) Write(lines []byte) { c.conn.Write(lines) }

// Up lets lines pass; some may have come already.
func (c *Client) Up() {
	if c.state == waits {
		c.state, c.establishedAt = passes, c.clients.now()
		c.conn.Again()
	}
}

// Answer sends a last line and ends the connection in good order.
func (c *Client) Answer(last []byte, reason string) {
	if c.state != over {
		c.logEnd(socket.Finished, reason)
		c.conn.Finish(last)
	}
}

func (c *Client) End(how socket.End, reason string) {
	if c.state != over {
		c.logEnd(how, reason)
		c.conn.EndAs(how)
	}
}

// logEnd leaves the line about a connection that ends.
func (c *Client) logEnd(how socket.End, reason string) {
	c.state = over
	c.asked()
	if c.clients.ids[c.id] == c {
		delete(c.clients.ids, c.id)
	}
	if reason == "unused" && c.pings > 0 {
		reason = "ping"
	}
	e := c.clients.log.Info().Str("side", "client").Str("reason", reason).Stringer("end", how).
		Dur("ms", c.clients.now()-c.since)
	if err := c.conn.Err(); err != nil {
		e = e.AnErr("cause", err)
	}
	if c.id != "" {
		e = e.Str("id", c.id)
	}
	if o := c.opening; o != nil { // what a trace is made of
		e = e.Bytes("listener", o.Listener).Bytes("key", o.Key).Dur("wait_ms", o.Remaining)
		if o.Tenant != nil {
			e = e.Bytes("title", o.Tenant)
		}
		if o.Group != nil {
			e = e.Bytes("group", o.Group)
		}
		if o.Returned {
			e = e.Bool("returned", true)
		}
		if c.establishedAt > 0 {
			e = e.Dur("up_ms", c.establishedAt-c.since)
		}
	}
	e.Send()
}
