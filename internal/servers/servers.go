// Package servers is the side of the servers: dials, their connections and what comes back on them.
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

// descriptorsPerConnect costs two descriptors, as the event loop has its own copy for a moment.
const descriptorsPerConnect = 2

// Directory knows the servers as they were listed last.
type Directory interface {
	Address(at choice.ServerID) (address, name string, known bool)
	Ready(at choice.ServerID) bool
	// Edition is another number once the server is listed at another address, or as started anew.
	Edition(at choice.ServerID) int
}

// Loop takes over established connections.
type Loop interface {
	// Adopt hands a connection over, from any goroutine; done is called on the loop once it has it.
	Adopt(conn net.Conn, context any, done func()) error
}

// Connector connects beside the event loop.
type Connector struct {
	Loop            Loop
	execute         func(func()) // on the event loop
	connectionLimit *socket.ConnectionLimit
	wrap            func(*eventloop.Conn, socket.Owner) *socket.Conn
	timeout         time.Duration
	failures        *failure.Log
	connectCount    int // under way
	// Dial connects; a test may put its own here before the first dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewConnector makes a connector that gives up after a timeout.
func NewConnector(execute func(func()), connectionLimit *socket.ConnectionLimit, take func(*eventloop.Conn, socket.Owner) *socket.Conn,
	timeout time.Duration, failures *failure.Log) *Connector {
	return &Connector{execute: execute, connectionLimit: connectionLimit, wrap: take, timeout: timeout, failures: failures,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}}
}

// SetTimeout sets another time for connections to be established.
func (c *Connector) SetTimeout(timeout time.Duration) { c.timeout = timeout }

// ConnectCount is how many connects are under way.
func (c *Connector) ConnectCount() int { return c.connectCount }

// Opener takes over a connection that is established.
type Opener interface {
	// Open is called on the event loop.
	Open(conn *eventloop.Conn)
}

// connect calls either opener.Open or failed, on the event loop.
func (c *Connector) connect(address string, opener Opener, failed func(error)) context.CancelFunc {
	c.connectionLimit.Acquire(descriptorsPerConnect)
	c.connectCount++
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	ended := func() {
		c.connectCount--
		c.connectionLimit.Release(descriptorsPerConnect)
	}
	dial := c.Dial
	go func() {
		defer cancel()
		if err := c.establish(ctx, dial, address, opener, ended); err != nil {
			c.execute(func() {
				ended()
				failed(err)
			})
		}
	}()
	return cancel
}

// establish connects and hands the connection over to the event loop. What fails for a moment is tried again until the
// context is done: no byte has gone to the server, so that neither its budget nor the session's dials are touched.
func (c *Connector) establish(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string,
	opener Opener, ended func()) error {
	var conn net.Conn
	err := failure.Retry(ctx, failure.Connect, c.failures, func() (err error) {
		conn, err = dial(ctx, address)
		return err
	})
	if err != nil {
		return err
	}
	defer conn.Close()
	return failure.Retry(ctx, failure.HandOver, c.failures, func() error { return c.Loop.Adopt(conn, opener, ended) })
}

type state int

const (
	connecting     state = iota // the first line is not sent: the connection does not stand yet, or the list is awaited
	awaitingAnswer              // the first line is out
	open
	ended
)

// Dial is one dial of a session.
type Dial struct {
	servers   *Servers
	session   *exchange.Session
	serverID  choice.ServerID
	state     state
	edition   int // of the server that was chosen
	startedAt time.Duration
	timeout   time.Duration // from then on
	timer     *timers.Timer
	cancel    context.CancelFunc
	conn      *socket.Conn
	announced choice.Outcome // what the server's last line has announced

	connectErr error // why the connection was never established
}

// Servers makes dials.
type Servers struct {
	connector       *Connector
	directory       Directory
	timers          *timers.Timers
	connectionLimit *socket.ConnectionLimit
	now             func() time.Duration
	whenListIsKnown func(call func())
	log             zerolog.Logger
}

// New makes the side of the servers. whenListIsKnown calls back at once, or as soon as the directory has what discovery has sent.
func New(connector *Connector, directory Directory, t *timers.Timers, connectionLimit *socket.ConnectionLimit, now func() time.Duration,
	whenListIsKnown func(call func()), log zerolog.Logger) *Servers {
	return &Servers{connector: connector, directory: directory, timers: t, connectionLimit: connectionLimit, now: now,
		whenListIsKnown: whenListIsKnown, log: log}
}

// Dial starts a dial. The limit covers connecting and the answer.
func (s *Servers) Dial(at choice.ServerID, limit time.Duration, session *exchange.Session) exchange.Server {
	address, _, known := s.directory.Address(at)
	if !known || s.connectionLimit.Free() < descriptorsPerConnect {
		return nil
	}
	d := &Dial{servers: s, session: session, serverID: at, edition: s.directory.Edition(at), startedAt: s.now(), timeout: limit}
	d.timer = s.timers.After(limit, d.handleTimeout)
	d.cancel = s.connector.connect(address, d, func(err error) {
		d.connectErr = err
		if failure.Classify(failure.Connect, err) == failure.Exhausted { // that is not the server's doing
			d.fail(choice.NotSent, socket.Reset, "no-resource")
			return
		}
		d.fail(choice.Unreachable, socket.Reset, "unreachable")
	})
	return d
}

// Open takes the connection over, and has the first line sent once the list is known.
func (d *Dial) Open(conn *eventloop.Conn) {
	d.conn = d.servers.connector.wrap(conn, d)
	if d.state != connecting {
		d.conn.Reset()
		return
	}
	d.servers.whenListIsKnown(d.sendFirstLine)
}

// sendFirstLine sends the first line. A server that has left the list by now takes nothing new, one that is listed anew is not
// the one that was chosen, of a client that has left no byte goes out, and what the dial was placed by must still hold.
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
		return // it has ended this dial, too
	case d.servers.now()-d.startedAt >= d.timeout:
		d.handleTimeout()
		return
	case !d.session.MaySendFirstLine():
		d.fail(choice.NotSent, socket.Reset, "too-late")
		return
	}
	d.state = awaitingAnswer
	d.conn.Write(d.session.FirstLine(d.startedAt + d.timeout - d.servers.now())) // its connection has taken some of it
}

func (d *Dial) handleTimeout() {
	switch {
	case d.state == connecting, d.state == awaitingAnswer && d.conn.Unsent() > 0: // the line is cut, and can't be whole any more
		d.fail(choice.Unreachable, socket.Reset, "unreachable")
	case d.state == awaitingAnswer:
		// Reset, as what this machine still holds for a server that is cut off would reach it once it is back.
		d.fail(choice.TimedOut, socket.Reset, "unanswered")
	}
}

// fail ends a dial that brought nothing up.
func (d *Dial) fail(outcome choice.Outcome, how socket.End, reason string) {
	if d.state == connecting || d.state == awaitingAnswer {
		d.End(how, reason)
		d.session.HandleDialFailure(outcome)
	}
}

func (d *Dial) Write(lines []byte) { d.conn.Write(lines) }

// End ends the dial for good; nothing that still comes counts.
func (d *Dial) End(how socket.End, reason string) {
	was := d.state
	if was == ended {
		return
	}
	d.state = ended
	d.cancel()
	d.servers.timers.Stop(d.timer)
	switch {
	case d.conn == nil:
	case was == awaitingAnswer && d.conn.Unsent() > 0: // the rest of a first line given up must not go out later
		d.conn.Reset()
	default:
		d.conn.EndAs(how)
	}
	d.logEnd(how, reason)
}

// logEnd leaves the line about a dial that ends.
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
	e.Send()
}

// Read takes whole lines.
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

// handleAnswer takes the first line that comes back.
func (d *Dial) handleAnswer(text, whole []byte) {
	switch string(line.Verb(text)) {
	case "UP":
		d.state = open
		d.servers.timers.Stop(d.timer)
		d.session.HandleOpened(whole)
	case "BUSY":
		d.fail(choice.ServerFull, socket.Finished, "full")
	case "BYE":
		d.End(socket.Finished, "ended")
		d.session.HandleEndBeforeOpen(whole)
	case "MOVE":
		d.fail(choice.Cancelled, socket.Finished, "sent-away")
	case "ERR":
		d.fail(choice.Failed, socket.Finished, "error")
	default:
		d.servers.log.Warn().Str("side", "server").Bytes("line", text[:min(len(text), 80)]).Msg("unknown answer")
		d.fail(choice.Failed, socket.Finished, "malformed")
	}
}

// relay hands all whole lines on at once.
func (d *Dial) relay(buf []byte) int {
	used, answers := 0, 0
	for {
		text, size, err := line.Next(buf[used:])
		if err != nil {
			d.endOpenSession(choice.ConnectionLost, socket.Reset, "malformed")
			return len(buf)
		}
		if size == 0 {
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
	if used > 0 && d.state == open {
		d.session.RelayFromServer(buf[:used], answers)
	}
	return used
}

// endOpenSession tells both sides that the server has ended an open session.
func (d *Dial) endOpenSession(outcome choice.Outcome, how socket.End, reason string) {
	d.End(how, reason)
	d.session.HandleServerEnd(outcome, how, reason)
}

// HandleEnd tells that the server has ended the connection.
func (d *Dial) HandleEnd(how socket.End) {
	switch {
	case d.state == connecting: // before the first line was sent
		d.fail(choice.Unreachable, how, "unreachable")
	case d.state == awaitingAnswer && d.conn.Unsent() > 0: // the line's last byte was never written
		d.fail(choice.Unreachable, how, "unreachable")
	case d.state == awaitingAnswer:
		d.fail(choice.ConnectionLost, how, "broken")
	case d.state == open && d.announced == choice.Accepted:
		d.endOpenSession(choice.Accepted, afterLastLine(how), "ended")
	case d.state == open && d.announced == choice.Cancelled:
		d.endOpenSession(choice.Cancelled, afterLastLine(how), "sent-away")
	case d.state == open:
		d.endOpenSession(choice.ConnectionLost, how, "broken")
	}
}

// afterLastLine is how the client's side ends once the server's last line has been passed: nothing more is due to a client
// whose server's connection broke only then.
func afterLastLine(how socket.End) socket.End {
	if how == socket.Broken {
		return socket.Finished
	}
	return how
}
