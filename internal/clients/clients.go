// Package clients is the client side of sessions: the connections that clients open, the first line on each (OPEN or PING), and
// the lines relayed while a session is open. It limits connections that ask for nothing, and writes a log line for each connection
// that ends. Which server a session goes to, and what its client is answered, is decided elsewhere: see packages exchange and choice.
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
	// descriptorsPerSession is how many descriptors a session takes at most besides its client's: two while the server is being
	// connected to, and the one that the event loop takes over from it, counted together for a moment.
	descriptorsPerSession = 3
	// answerTimeShare is the part of a client's waiting time, one in so many, that is set aside for the way of the OPEN line and
	// of the answer.
	answerTimeShare = 64
)

// Clients is the state shared by all client connections of a proxy. It is used on the event loop only.
type Clients struct {
	table           *exchange.Table
	timers          *timers.Timers
	connectionLimit *socket.ConnectionLimit
	now             func() time.Duration
	openTimeout     time.Duration                     // an idle connection is closed after this time
	findHolder      func(name []byte) choice.ServerID // the server named by an OPEN line's "at"; 0 if there is none
	listeners       map[string]choice.ListenerID      // by name
	tenants         map[string]choice.TenantID        // by name
	usesGroups      bool                              // sessions of one group are placed together
	byID            map[string]*Client                // by the session's id; waiting and relaying connections
	idleClients     map[*Client]bool                  // connections that have not asked for a session
	holdsPings      bool                              // a PING waits for AnswerPings
	heldPongs       list.List                         // of *Client: the connections with PINGs that wait
	log             zerolog.Logger
}

// New makes the client side of a proxy. Connections that have not asked for a session within openTimeout are closed. findHolder
// returns the server that an OPEN line names as the session's holder, or 0.
func New(table *exchange.Table, t *timers.Timers, connectionLimit *socket.ConnectionLimit, now func() time.Duration,
	openTimeout time.Duration, findHolder func(name []byte) choice.ServerID, listeners map[string]choice.ListenerID,
	tenants map[string]choice.TenantID, usesGroups bool, log zerolog.Logger) *Clients {
	return &Clients{table: table, timers: t, connectionLimit: connectionLimit, now: now, openTimeout: openTimeout, findHolder: findHolder,
		listeners: listeners, tenants: tenants, usesGroups: usesGroups, byID: map[string]*Client{}, idleClients: map[*Client]bool{}, log: log}
}

// Reconfigure applies new settings. Connections that have asked for a session are not affected.
func (c *Clients) Reconfigure(openTimeout time.Duration, listeners map[string]choice.ListenerID,
	tenants map[string]choice.TenantID, usesGroups bool) {
	c.openTimeout, c.listeners, c.tenants, c.usesGroups = openTimeout, listeners, tenants, usesGroups
}

// IdleCount returns the number of connections that have not asked for a session.
func (c *Clients) IdleCount() int { return len(c.idleClients) }

// CloseIdle gracefully closes all connections that have not asked for a session.
func (c *Clients) CloseIdle() {
	for client := range c.idleClients { // the order doesn't matter: connections are independent
		client.closeIdle()
	}
}

type state int

const (
	idle     state = iota // has not asked for a session
	waiting               // has asked for a session and waits for the answer
	relaying              // the session is open
	ended
)

// Client is one connection of a client. It implements exchange.Client and socket.Owner.
type Client struct {
	clients     *Clients
	conn        *socket.Conn
	state       state
	session     *exchange.Session
	openLine    *line.Open // nil before the OPEN line
	id          string     // of the session, from the OPEN line
	connectedAt time.Duration
	openedAt    time.Duration // when the session was opened; 0 before
	idleTimer   *timers.Timer
	spareEntry  *list.Element // in the connection limit, while idle
	pingCount   int           // PINGs received
	pongsDue    int           // PINGs that have not been answered
	heldEntry   *list.Element // in heldPongs, while PINGs wait there
}

// New makes the client side of a connection that was just accepted. SetConn must be called next.
func (c *Clients) New() *Client {
	client := &Client{clients: c, connectedAt: c.now()}
	client.restartIdleTimer()
	c.idleClients[client] = true
	client.spareEntry = c.connectionLimit.AddSpare(func() { client.drop("crowded-out") })
	return client
}

// restartIdleTimer has the connection closed after openTimeout if it is still idle then. Clients that connect and send nothing,
// or never end a line, would otherwise hold their descriptors for good.
func (c *Client) restartIdleTimer() {
	c.clients.timers.Stop(c.idleTimer)
	if c.state == idle {
		c.idleTimer = c.clients.timers.After(c.clients.openTimeout, c.closeIdle)
	}
}

// closeIdle gracefully closes the connection if it is idle. An OPEN line that crosses the BUSY on its way is answered by it: the
// session has not run, and the client may retry it.
func (c *Client) closeIdle() {
	if c.state == idle {
		c.Finish([]byte("BUSY\r\n"), "idle")
	}
}

// drop closes the connection at once if it is idle, to free its descriptor.
func (c *Client) drop(reason string) {
	if c.state == idle {
		c.recordEnd(socket.Finished, reason)
		c.conn.Drop([]byte("BUSY\r\n"))
	}
}

// Admit frees a descriptor for the new connection if they run short, or drops the connection if the limit is exceeded: serving
// it would put all other connections at risk.
func (c *Client) Admit() {
	if c.clients.connectionLimit.EvictSpare(); c.clients.connectionLimit.Free() < 0 {
		c.drop("no-room")
	}
}

// SetConn sets the connection that this is the client side of.
func (c *Client) SetConn(conn *socket.Conn) { c.conn = conn }

// Read implements socket.Owner: it handles the whole lines in the buffer. All PINGs in a row are answered by one write.
func (c *Client) Read(buf []byte) int {
	used := 0
	for c.state == idle {
		text, size, err := line.Next(buf[used:])
		used += size
		if string(text) == "PING" {
			c.countPing()
			continue
		}
		c.sendPongs()
		if err != nil {
			c.reject(err)
		}
		if size == 0 {
			break
		}
		c.handleFirstLine(text, len(buf) > used)
	}
	switch c.state {
	case waiting:
		if len(buf) > used { // a client must not send anything before its answer
			c.endSession(socket.Finished)
			c.reject(line.ErrMalformed)
		}
	case relaying:
		used += c.relay(buf[used:])
	}
	if c.state == ended {
		return len(buf)
	}
	return used
}

// reject closes the connection over a line that is malformed, comes too early, or names an unknown listener or tenant.
func (c *Client) reject(err error) {
	c.clients.log.Debug().Err(err).Msg("a client's line is refused")
	c.Finish([]byte("ERR\r\n"), "malformed")
}

// handleFirstLine handles a line of an idle connection. hasMore is set if more bytes follow it in the buffer.
func (c *Client) handleFirstLine(text []byte, hasMore bool) {
	openLine, err := line.ParseOpen(text)
	if err == nil && hasMore { // a client must not send anything before its answer
		err = line.ErrMalformed
	}
	if err != nil {
		c.reject(err)
		return
	}
	arrival, isKnown := c.clients.arrivalOf(&openLine)
	switch {
	case !isKnown:
		c.reject(line.ErrMalformed)
	case c.clients.isIDInUse(&openLine):
		c.Finish([]byte("ERR\r\n"), "id-in-use")
	case c.clients.connectionLimit.Free() < descriptorsPerSession: // no server could be dialed
		c.Finish([]byte("BUSY\r\n"), "no-room")
	default:
		c.startSession(&openLine, text, arrival)
	}
}

// arrivalOf returns the session that an OPEN line asks for. isKnown is false if the settings don't have its listener or tenant.
func (c *Clients) arrivalOf(openLine *line.Open) (arrival choice.Arrival, isKnown bool) {
	listener, isListenerKnown := c.listeners[string(openLine.Listener)]
	tenant, isTenantKnown := c.tenants[string(openLine.Tenant)]
	if !isListenerKnown || !isTenantKnown && openLine.Tenant != nil {
		return choice.Arrival{}, false
	}
	arrival = choice.Arrival{
		Listener:    listener,
		Tenant:      tenant,
		TimeLeft:    openLine.Remaining - openLine.Remaining/answerTimeShare,
		Load:        openLine.Load / 1000, // from thousandths of a core
		Client:      choice.Key(line.NumericKey(openLine.Key)),
		MidFlow:     openLine.MidFlow,
		Reconnected: openLine.Returned,
	}
	if c.usesGroups {
		arrival.Group = choice.Key(line.NumericKey(openLine.Group))
	}
	return arrival, true
}

// isIDInUse reports whether another connection has a session of the same id. Each connection uses a new one, except for a session in
// mid-flow whose packets a load balancer in front of the proxies sends to another proxy for a while.
func (c *Clients) isIDInUse(openLine *line.Open) bool {
	return c.byID[string(openLine.ID)] != nil && !openLine.MidFlow
}

// startSession ends the idle state and has the session placed. text is that of the OPEN line.
func (c *Client) startSession(openLine *line.Open, text []byte, arrival choice.Arrival) {
	var holder choice.ServerID
	if openLine.Holder != nil {
		holder = c.clients.findHolder(openLine.Holder)
	}
	c.state, c.id = waiting, string(openLine.ID)
	c.clients.byID[c.id] = c
	c.leaveIdle()
	c.openLine = openLine // refers to the read buffer; needed for the log if StartSession ends the connection at once
	c.session = c.clients.table.StartSession(c, arrival, text, holder)
	c.openLine = c.session.OpenLine()
}

// leaveIdle ends the idle state: it stops the idle timer and takes the connection off the lists of idle and spare ones.
func (c *Client) leaveIdle() {
	c.clients.timers.Stop(c.idleTimer)
	c.releasePongs()
	c.clients.connectionLimit.RemoveSpare(c.spareEntry)
	c.spareEntry = nil
	delete(c.clients.idleClients, c)
}

// relay passes all whole lines in the buffer on to the session, in one call. A malformed one behind them ends the session.
func (c *Client) relay(buf []byte) int {
	used, n := 0, 0
	var malformed error
	for {
		_, size, err := line.Next(buf[used:])
		if size == 0 {
			malformed = err
			break
		}
		used += size
		n++
	}
	if n > 0 {
		c.session.RelayFromClient(buf[:used], n)
	}
	if malformed != nil {
		c.endSession(socket.Finished)
		c.reject(malformed)
		return len(buf)
	}
	return used
}

// endSession ends the connection's session, if it has one.
func (c *Client) endSession(how socket.End) {
	if c.session != nil {
		c.session.HandleClientEnd(how)
	}
}

// HandleEnd implements socket.Owner: the client has ended the connection, or the network has broken it. In the second case the
// client may still be there, so it is sent a last line.
func (c *Client) HandleEnd(how socket.End) {
	if c.state == ended {
		return
	}
	if how == socket.Broken {
		c.handleBroken()
		return
	}
	reason := "client-left"
	if c.state == idle {
		reason = "unused"
	}
	c.End(how, reason)
	c.endSession(how)
}

// HandleOverflow implements socket.Owner: the client reads too slowly, so that it would not read a last line either; or this proxy is
// short of memory, and the client has sent a large part of its first line and not the rest.
func (c *Client) HandleOverflow() {
	if c.state == idle && c.conn.Unsent() == 0 {
		c.drop("overflow")
		return
	}
	c.End(socket.Reset, "overflow")
	c.endSession(socket.Reset)
}

// handleBroken ends a connection that the network has broken, with the last line that fits its state.
func (c *Client) handleBroken() {
	switch c.state {
	case idle:
		c.Finish(line.FormatBusy(0), "client-broken")
	case waiting:
		lastLine := []byte("ERR\r\n")
		if c.session != nil { // it is nil while StartSession runs
			lastLine = c.session.FailureLine()
		}
		c.endSession(socket.Reset)
		c.Finish(lastLine, "client-broken")
	case relaying:
		c.session.HandleClientBroken()
	}
}

// HasStoppedWaiting implements exchange.Client. It asks the kernel, which may know more than the event loop has read.
func (c *Client) HasStoppedWaiting() bool {
	return c.state != waiting || c.conn.PeerState() != socket.PeerWaiting
}

// EnsureWaiting implements exchange.Client. It asks the kernel, and handles at once what the event loop would find when it next
// reads.
func (c *Client) EnsureWaiting() bool {
	if c.state != waiting {
		return false
	}
	switch c.conn.PeerState() {
	case socket.PeerLeft:
		c.HandleEnd(socket.Finished)
	case socket.PeerPathFailed:
		c.HandleEnd(socket.Broken)
	case socket.PeerSent: // a client must not send anything before its answer
		c.endSession(socket.Finished)
		c.reject(line.ErrMalformed)
	}
	return c.state == waiting
}

// Write implements exchange.Client.
func (c *Client) Write(lines []byte) { c.conn.Write(lines) }

// StartRelay implements exchange.Client. Lines may be in the read buffer already.
func (c *Client) StartRelay() {
	if c.state == waiting {
		c.state, c.openedAt = relaying, c.clients.now()
		c.conn.ReadAgain()
	}
}

// Finish implements exchange.Client: it sends a last line and closes the connection gracefully.
func (c *Client) Finish(lastLine []byte, reason string) {
	if c.state != ended {
		c.recordEnd(socket.Finished, reason)
		c.conn.Finish(lastLine)
	}
}

// End implements exchange.Client.
func (c *Client) End(how socket.End, reason string) {
	if c.state != ended {
		c.recordEnd(how, reason)
		c.conn.EndAs(how)
	}
}
