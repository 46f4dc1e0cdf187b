// Package servers is the server side of sessions: it connects to servers, sends each session's first line, reads the answer and
// relays lines while the session is open. It writes a log line for each dial that ends. Which server is dialed, and what follows a
// dial that fails, is decided elsewhere: see packages exchange and choice.
package servers

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"chalkferry/choice"
	"chalkferry/internal/eventloop"
	"chalkferry/internal/exchange"
	"chalkferry/internal/failure"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
	"chalkferry/internal/timers"
)

// descriptorsPerConnect is how many descriptors a connect takes: the event loop duplicates the one of the connection, and for a
// moment both are open.
const descriptorsPerConnect = 2

// maxLoggedBytes is how much of a line that is not understood goes into the log.
const maxLoggedBytes = 80

// Directory has the servers as the list showed them last.
type Directory interface {
	// Address returns the server's host and port, and its name in the list.
	Address(server choice.ServerID) (address, name string, known bool)
	// Ready reports whether the server takes new sessions.
	Ready(server choice.ServerID) bool
	// Edition returns a number that changes when the server is listed at another address or with another start time.
	Edition(server choice.ServerID) int
}

// Loop is the part of eventloop.Loop that takes over established connections.
type Loop interface {
	// Adopt hands a connection over to the loop, from any goroutine. done is called on the loop after the handler's OnOpen.
	Adopt(conn net.Conn, context any, done func()) error
}

// Connector connects to servers in goroutines of its own, as the event loop must not block.
type Connector struct {
	// Loop takes the connections over. It must be set before the first dial.
	Loop            Loop
	execute         func(func()) // runs a function on the event loop
	connectionLimit *socket.ConnectionLimit
	wrap            func(*eventloop.Conn, socket.Owner) *socket.Conn // counts the connection in connectionLimit
	timeout         time.Duration                                    // of a connect
	failures        *failure.Log
	connectCount    int // connects under way
	// Dial connects to an address. A test may replace it before the first dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewConnector makes a connector whose connects fail after the timeout. execute runs a function on the event loop; wrap makes a
// socket.Conn of a connection and counts it in the limit.
func NewConnector(execute func(func()), connectionLimit *socket.ConnectionLimit, wrap func(*eventloop.Conn, socket.Owner) *socket.Conn,
	timeout time.Duration, failures *failure.Log) *Connector {
	return &Connector{execute: execute, connectionLimit: connectionLimit, wrap: wrap, timeout: timeout, failures: failures,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}}
}

// SetTimeout sets the timeout of later connects.
func (c *Connector) SetTimeout(timeout time.Duration) { c.timeout = timeout }

// ConnectCount returns the number of connects under way.
func (c *Connector) ConnectCount() int { return c.connectCount }

// Opener is the context of a connection that the loop adopts: who it is for.
type Opener interface {
	// Open is called on the event loop with the established connection.
	Open(conn *eventloop.Conn)
}

// connect starts a connect and returns a function that cancels it. Either opener.Open or failed is called on the event loop.
func (c *Connector) connect(address string, opener Opener, failed func(error)) context.CancelFunc {
	c.connectionLimit.Acquire(descriptorsPerConnect)
	c.connectCount++
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	done := func() {
		c.connectCount--
		c.connectionLimit.Release(descriptorsPerConnect)
	}
	dial := c.Dial
	go func() {
		defer cancel()
		if err := c.establish(ctx, dial, address, opener, done); err != nil {
			c.execute(func() {
				done()
				failed(err)
			})
		}
	}()
	return cancel
}

// establish connects and hands the connection over to the event loop. Temporary failures are retried until the context is done.
// Such a retry counts neither as a dial of the session nor against the retry budget, as no byte has been sent to the server.
func (c *Connector) establish(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string,
	opener Opener, done func()) error {
	var conn net.Conn
	err := failure.Retry(ctx, failure.Connect, c.failures, func() (err error) {
		conn, err = dial(ctx, address)
		return err
	})
	if err != nil {
		return err
	}
	defer conn.Close()
	return failure.Retry(ctx, failure.HandOver, c.failures, func() error { return c.Loop.Adopt(conn, opener, done) })
}

type state int

const (
	connecting     state = iota // the first line has not been sent: the connection is being established, or the list is awaited
	awaitingAnswer              // the first line has been sent
	open                        // the server has answered UP
	ended
)

// Dial is one dial of a session. It implements exchange.Server, socket.Owner and Opener.
type Dial struct {
	servers   *Servers
	session   *exchange.Session
	serverID  choice.ServerID
	state     state
	edition   int // of the server when it was chosen
	startedAt time.Duration
	timeout   time.Duration // for the answer, from startedAt on
	timer     *timers.Timer
	cancel    context.CancelFunc
	conn      *socket.Conn
	announced choice.Outcome // how the session ends according to the server's last line; 0 if that was neither BYE nor MOVE

	cancelWait func()    // ends the wait for a current list; nil while the dial does not wait for one
	connectErr error     // why no connection was established
	lastRead   *lastRead // of the last RelayAvailable; nil if there was none
}

// lastRead is what a read ahead of the end of a session has come to.
type lastRead struct {
	bytes        int  // received
	partialBytes int  // of them, behind the last whole line; these are not relayed
	mayHaveMore  bool // the server may have sent more
}

// addTo adds the fields that say what was read, and what was not relayed, to the log line of a dial.
func (r *lastRead) addTo(e *zerolog.Event) *zerolog.Event {
	if r == nil {
		return e
	}
	return e.Int("last_bytes", r.bytes).Int("partial_bytes", r.partialBytes).Bool("may_have_more", r.mayHaveMore)
}

// Servers starts the dials of a proxy. It implements exchange.Dialer, and is used on the event loop only.
type Servers struct {
	connector       *Connector
	directory       Directory
	timers          *timers.Timers
	connectionLimit *socket.ConnectionLimit
	now             func() time.Duration
	awaitList       exchange.AwaitList
	log             zerolog.Logger
}

// New makes the server side of a proxy.
func New(connector *Connector, directory Directory, t *timers.Timers, connectionLimit *socket.ConnectionLimit, now func() time.Duration,
	awaitList exchange.AwaitList, log zerolog.Logger) *Servers {
	return &Servers{connector: connector, directory: directory, timers: t, connectionLimit: connectionLimit, now: now,
		awaitList: awaitList, log: log}
}

// Dial implements exchange.Dialer. The timeout covers the connect and the server's answer.
func (s *Servers) Dial(server choice.ServerID, timeout time.Duration, session *exchange.Session) exchange.Server {
	address, _, known := s.directory.Address(server)
	if !known || s.connectionLimit.Free() < descriptorsPerConnect {
		return nil
	}
	d := &Dial{servers: s, session: session, serverID: server, edition: s.directory.Edition(server), startedAt: s.now(), timeout: timeout}
	d.timer = s.timers.After(timeout, d.handleTimeout)
	d.cancel = s.connector.connect(address, d, func(err error) {
		d.connectErr = err
		if failure.Classify(failure.Connect, err) == failure.Exhausted { // a shortage on this machine, not a fault of the server
			d.fail(choice.NotSent, socket.Reset, "no-resource")
			return
		}
		d.fail(choice.Unreachable, socket.Reset, "unreachable")
	})
	return d
}

// Open implements Opener: it takes the connection over, and sends the first line once the directory is up to date.
func (d *Dial) Open(conn *eventloop.Conn) {
	d.conn = d.servers.connector.wrap(conn, d)
	if d.state != connecting {
		d.conn.Reset()
		return
	}
	isWaiting := true
	cancel := d.servers.awaitList(d.session.NeedsCurrentList(), func() {
		isWaiting, d.cancelWait = false, nil
		d.sendFirstLine()
	})
	if isWaiting {
		d.cancelWait = cancel
	}
}

// sendFirstLine sends the first line unless something has changed while the connection was established: the server may no longer
// take sessions, may have another address or have restarted, so that it is not the one that was chosen; the client may have left;
// the dial's time may be up; or the Balancer's reasons for the dial may no longer hold.
func (d *Dial) sendFirstLine() {
	switch {
	case d.state != connecting:
		return
	case !d.servers.directory.Ready(d.serverID) && !d.session.IsResuming():
		d.fail(choice.Unreachable, socket.Reset, "drains")
		return
	case d.servers.directory.Edition(d.serverID) != d.edition:
		d.fail(choice.NotSent, socket.Reset, "listed-anew")
		return
	case !d.session.EnsureClientWaiting():
		return // EnsureClientWaiting has ended the session and this dial
	case d.servers.now()-d.startedAt >= d.timeout:
		d.handleTimeout()
		return
	case !d.session.MaySendFirstLine():
		d.fail(choice.NotSent, socket.Reset, "too-late")
		return
	}
	d.state = awaitingAnswer
	d.conn.Write(d.session.FirstLine(d.startedAt + d.timeout - d.servers.now())) // the connect has taken part of the timeout
}

// handleTimeout ends a dial that was not answered in time.
func (d *Dial) handleTimeout() {
	switch {
	case d.cancelWait != nil: // this proxy's list was out of date for too long
		d.fail(choice.NotSent, socket.Reset, "stale-list")
	case d.state == connecting, d.state == awaitingAnswer && d.conn.Unsent() > 0: // the server has not got the whole line, and won't
		d.fail(choice.Unreachable, socket.Reset, "unreachable")
	case d.state == awaitingAnswer:
		// Reset, as the line in this machine's send buffer would otherwise reach a server that is cut off once it is reachable again.
		d.fail(choice.TimedOut, socket.Reset, "unanswered")
	}
}

// fail ends a dial without opening its session.
func (d *Dial) fail(outcome choice.Outcome, how socket.End, reason string) {
	if d.state == connecting || d.state == awaitingAnswer {
		d.End(how, reason)
		d.session.HandleDialFailure(outcome)
	}
}

// Write implements exchange.Server.
func (d *Dial) Write(lines []byte) { d.conn.Write(lines) }

// RelayAvailable implements exchange.Server.
func (d *Dial) RelayAvailable() exchange.RelayResult {
	size, result := d.conn.ReadAvailable()
	d.lastRead = &lastRead{bytes: size, partialBytes: d.conn.PendingSize(), mayHaveMore: result == eventloop.ReadSome}
	switch {
	case d.state != open || result == eventloop.ReadEnded:
		return exchange.RelayEnded
	case d.announced != 0:
		d.endAnnounced(socket.Finished)
		return exchange.RelayEnded
	case result == eventloop.ReadSome:
		return exchange.RelayedSome
	}
	return exchange.RelayedAll
}

// End implements exchange.Server. Anything that the server sends from then on is ignored.
func (d *Dial) End(how socket.End, reason string) {
	previous := d.state
	if previous == ended {
		return
	}
	d.state = ended
	d.cancel()
	if d.cancelWait != nil {
		d.cancelWait()
		d.cancelWait = nil
	}
	d.servers.timers.Stop(d.timer)
	switch {
	case d.conn == nil:
	case previous == awaitingAnswer && d.conn.Unsent() > 0: // the rest of the first line must not be sent after all
		d.conn.Reset()
	default:
		d.conn.EndAs(how)
	}
	d.logEnd(how, reason)
}

// logEnd writes the log line of a dial that has ended.
func (d *Dial) logEnd(how socket.End, reason string) {
	_, name, _ := d.servers.directory.Address(d.serverID)
	e := d.servers.log.Info().Str("side", "server").Str("server", name).Str("id", d.session.ID()).Str("reason", reason).
		Stringer("end", how).Dur("ms", d.servers.now()-d.startedAt)
	if d.conn != nil && d.conn.Err() != nil {
		e = e.AnErr("cause", d.conn.Err())
	}
	if d.connectErr != nil {
		e = e.AnErr("cause", d.connectErr)
	}
	d.lastRead.addTo(e).Send()
}

// Read implements socket.Owner: it handles the whole lines in the buffer.
func (d *Dial) Read(buf []byte) int {
	used := 0
	if d.state == awaitingAnswer {
		text, size, err := line.Next(buf)
		if err != nil {
			d.fail(choice.Failed, socket.Reset, "malformed")
			return len(buf)
		}
		if size == 0 {
			return 0
		}
		d.handleAnswer(text, buf[:size])
		used = size
	}
	if d.state != open {
		return len(buf)
	}
	return used + d.relay(buf[used:])
}

// handleAnswer handles the server's first line: its text, and the whole line with its end.
func (d *Dial) handleAnswer(text, wholeLine []byte) {
	switch string(line.Verb(text)) {
	case "UP":
		d.state = open
		d.servers.timers.Stop(d.timer)
		d.session.HandleOpened(wholeLine)
	case "BUSY":
		d.fail(choice.ServerFull, socket.Finished, "full")
	case "BYE":
		d.End(socket.Finished, "ended")
		d.session.HandleEndBeforeOpen(wholeLine)
	case "MOVE":
		d.fail(choice.Cancelled, socket.Finished, "sent-away")
	case "ERR":
		d.fail(choice.Failed, socket.Finished, "error")
	default:
		d.servers.log.Warn().Str("side", "server").Bytes("line", text[:min(len(text), maxLoggedBytes)]).Msg("unknown answer")
		d.fail(choice.Failed, socket.Finished, "malformed")
	}
}

// relay passes all whole lines in the buffer on to the session, in one call. A malformed one behind them ends the session.
func (d *Dial) relay(buf []byte) int {
	used, answers := 0, 0
	var malformed error
	for {
		text, size, err := line.Next(buf[used:])
		if size == 0 {
			malformed = err
			break
		}
		used += size
		d.announced = 0
		switch string(line.Verb(text)) {
		case "LOAD":
			if level, ok := line.ParseLoad(text); ok {
				d.session.HandleLoadReport(level)
			}
			continue
		case "BYE":
			d.announced = choice.Accepted
		case "MOVE":
			d.announced = choice.Cancelled
		default:
			answers++
		}
	}
	if used > 0 {
		d.session.RelayFromServer(buf[:used], answers)
	}
	switch {
	case malformed == nil:
		return used
	case d.announced != 0:
		d.endAnnounced(socket.Finished)
	default:
		d.endOpenSession(choice.ConnectionLost, socket.Reset, "malformed")
	}
	return len(buf)
}

// endOpenSession ends the dial and its open session, which the server has ended.
func (d *Dial) endOpenSession(outcome choice.Outcome, how socket.End, reason string) {
	d.End(how, reason)
	d.session.HandleServerEnd(outcome, how, reason)
}

// endAnnounced ends the dial and its open session as the server's last line says.
func (d *Dial) endAnnounced(how socket.End) {
	reason := "ended"
	if d.announced == choice.Cancelled {
		reason = "sent-away"
	}
	d.endOpenSession(d.announced, how, reason)
}

// HandleEnd implements socket.Owner: the server has ended the connection, or the network has broken it.
func (d *Dial) HandleEnd(how socket.End) {
	if how == socket.Broken && d.state == open {
		d.RelayAvailable() // a write may have found the path broken while lines of the server waited to be read
	}
	switch {
	case d.state == connecting: // the first line was not sent
		d.fail(choice.Unreachable, how, "unreachable")
	case d.state == awaitingAnswer && d.conn.Unsent() > 0: // the first line was not sent completely
		d.fail(choice.Unreachable, how, "unreachable")
	case d.state == awaitingAnswer:
		d.fail(choice.ConnectionLost, how, "broken")
	case d.state == open && d.announced != 0:
		d.endAnnounced(afterLastLine(how))
	case d.state == open:
		d.endOpenSession(choice.ConnectionLost, how, "broken")
	}
}

// HandleOverflow implements socket.Owner: the server reads more slowly than the session's client sends, or this proxy is short of
// memory. Neither is the server's fault.
func (d *Dial) HandleOverflow() {
	switch {
	case d.state == open:
		d.session.HandleServerOverflow()
	case d.state == awaitingAnswer && d.conn.Unsent() > 0: // the first line was not sent completely
		d.fail(choice.NotSent, socket.Reset, "overflow")
	default:
		d.HandleEnd(socket.Reset)
	}
}

// afterLastLine returns how the client's connection ends after the server's last line was passed on. If the server's connection
// broke only after that line, the client's ends gracefully all the same, as it has got everything.
func afterLastLine(how socket.End) socket.End {
	if how == socket.Broken {
		return socket.Finished
	}
	return how
}
