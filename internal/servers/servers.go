// Package servers is the side of the servers: dials, their connections and what comes back on them.
package servers

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"chalkferry/choice"
	"chalkferry/internal/exchange"
	"chalkferry/internal/line"
	"chalkferry/internal/socket"
	"chalkferry/internal/timers"
)

// connecting costs two descriptors, as the event loop has its own copy for a moment.
const connecting = 2

// Directory knows the servers as they were listed last.
type Directory interface {
	Address(at choice.ServerID) (address, name string, known bool)
	Ready(at choice.ServerID) bool
	// Edition is another number once the server is listed at another address, or as started anew.
	Edition(at choice.ServerID) int
}

// Connector connects beside the event loop.
type Connector struct {
	Loop    gnet.EventLoop
	execute func(func()) // on the event loop
	timers  *timers.Timers
	room    *socket.Room
	take    func(gnet.Conn, socket.Owner) *socket.Conn
	timeout time.Duration
	out     int           // under way
	stopped chan struct{} // closed once the event loop may answer nothing more
	// Dial connects; a test may put its own here before the first dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func NewConnector(execute func(func()), t *timers.Timers, room *socket.Room,
	take func(gnet.Conn, socket.Owner) *socket.Conn, timeout time.Duration) *Connector {
	return &Connector{execute: execute, timers: t, room: room, take: take, timeout: timeout,
		stopped: make(chan struct{}),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}}
}

// Change sets another time for connections to stand.
func (c *Connector) Change(timeout time.Duration) { c.timeout = timeout }

// Out is how many connects are under way.
func (c *Connector) Out() int { return c.out }

// Stop is to be called once the event loop ends: a connection that is still handed over to it is not waited for.
func (c *Connector) Stop() { close(c.stopped) }

// Opener takes over a connection that stands.
type Opener interface {
	// Open is called on the event loop.
	Open(conn gnet.Conn)
}

// connect calls either opener.Open or failed, on the event loop.
func (c *Connector) connect(address string, opener Opener, failed func(error)) context.CancelFunc {
	c.room.Take(connecting)
	c.out++
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	dial := c.Dial
	go func() {
		defer cancel()
		conn, err := dial(ctx, address)
		if err == nil {
			var joined <-chan gnet.RegisteredResult
			if joined, err = c.Loop.Enroll(gnet.NewContext(context.Background(), opener), conn); err != nil {
				conn.Close()
			} else {
				select {
				case result := <-joined:
					err = result.Err
				case <-c.stopped: // guards against a loop that has ended with the hand-over still before it
					return
				}
			}
		}
		c.execute(func() {
			c.out--
			c.room.Give(connecting)
			if err != nil {
				failed(err)
			}
		})
	}()
	return cancel
}

type state int

const (
	reaching state = iota // the connection does not stand yet
	asked                 // the first line is out
	up
	over
)

// Dial is one dial of a session.
type Dial struct {
	servers *Servers
	ex      *exchange.Exchange
	at      choice.ServerID
	state   state
	edition int // of the server that was chosen
	since   time.Duration
	wait    time.Duration // from then on
	limit   *timers.Timer
	cancel  context.CancelFunc
	conn    *socket.Conn
	parting choice.Outcome // what the server's last line has announced

	connectErr error // why the connection was never established
}

// Servers makes dials.
type Servers struct {
	connector *Connector
	directory Directory
	timers    *timers.Timers
	room      *socket.Room
	now       func() time.Duration
	log       zerolog.Logger
}

func New(connector *Connector, directory Directory, t *timers.Timers, room *socket.Room, now func() time.Duration,
	log zerolog.Logger) *Servers {
	return &Servers{connector: connector, directory: directory, timers: t, room: room, now: now, log: log}
}

// Dial starts a dial. The limit covers connecting and the answer.
func (s *Servers) Dial(at choice.ServerID, limit time.Duration, ex *exchange.Exchange) exchange.Server {
	address, _, known := s.directory.Address(at)
	if !known || s.room.Free() < connecting {
		return nil
	}
	d := &Dial{servers: s, ex: ex, at: at, edition: s.directory.Edition(at), since: s.now(), wait: limit}
	d.limit = s.timers.After(limit, d.late)
	d.cancel = s.connector.connect(address, d, func(err error) {
		d.connectErr = err
		d.fail(choice.Unreachable, socket.Reset, "unreachable")
	})
	return d
}

// Open sends the first line. A server that has left the list by now takes nothing new, one that is listed anew is not
// the one that was chosen, of a client that has left no byte goes out, and what the dial was placed by must still hold.
func (d *Dial) Open(conn gnet.Conn) {
	d.conn = d.servers.connector.take(conn, d)
	switch {
	case d.state != reaching:
		d.conn.Reset()
		return
	case !d.servers.directory.Ready(d.at) && !d.ex.Resumes():
		d.fail(choice.Unreachable, socket.Reset, "drains")
		return
	case d.servers.directory.Edition(d.at) != d.edition:
		d.fail(choice.NotSent, socket.Reset, "listed-anew")
		return
	case !d.ex.ClientWaits():
		return // it has ended this dial, too
	case d.servers.now()-d.since >= d.wait:
		d.late()
		return
	case !d.ex.Goes():
		d.fail(choice.NotSent, socket.Reset, "too-late")
		return
	}
	d.state = asked
	d.conn.Write(d.ex.FirstLine(d.since + d.wait - d.servers.now())) // its connection has taken some of it
}

func (d *Dial) late() {
	switch {
	case d.state == reaching, d.state == asked && d.conn.Unsent() > 0: // the line is cut, and can't be whole any more
		d.fail(choice.Unreachable, socket.Reset, "unreachable")
	case d.state == asked:
		// Reset, as what this machine still holds for a server that is cut off would reach it once it is back.
		d.fail(choice.Unanswered, socket.Reset, "unanswered")
	}
}

// fail ends a dial that brought nothing up.
func (d *Dial) fail(outcome choice.Outcome, how socket.End, reason string) {
	if d.state == reaching || d.state == asked {
		d.End(how, reason)
		d.ex.Failed(outcome)
	}
}

func (d *Dial) Write(lines []byte) { d.conn.Write(lines) }

// End ends the dial for good; nothing that still comes counts.
func (d *Dial) End(how socket.End, reason string) {
	was := d.state
	if was == over {
		return
	}
	d.state = over
	d.cancel()
	d.servers.timers.Stop(d.limit)
	switch {
	case d.conn == nil:
	case was == asked && d.conn.Unsent() > 0: // the rest of a first line given up must not go out later
		d.conn.Cut()
	default:
		d.conn.EndAs(how)
	}
	d.logEnd(how, reason)
}

// logEnd leaves the line about a dial that ends.
func (d *Dial) logEnd(how socket.End, reason string) {
	_, name, _ := d.servers.directory.Address(d.at)
	e := d.servers.log.Info().Str("side", "server").Str("server", name).Str("id", d.ex.Name()).Str("reason", reason).
		Stringer("end", how).Dur("ms", d.servers.now()-d.since)
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
	if d.state == asked {
		text, size, err := line.Next(buf)
		if err != nil {
			d.fail(choice.Failed, socket.Reset, "malformed")
			return len(buf)
		}
		if size == 0 {
			return 0
		}
		d.answer(text, buf[:size])
		used = size
	}
	if d.state != up {
		return len(buf)
	}
	return used + d.pass(buf[used:])
}

// answer takes the first line that comes back.
func (d *Dial) answer(text, whole []byte) {
	switch string(line.Verb(text)) {
	case "UP":
		d.state = up
		d.servers.timers.Stop(d.limit)
		d.ex.Opened(whole)
	case "BUSY":
		d.fail(choice.Full, socket.Finished, "full")
	case "BYE":
		d.End(socket.Finished, "ended")
		d.ex.Ended(whole)
	case "MOVE":
		d.fail(choice.Cancelled, socket.Finished, "sent-away")
	case "ERR":
		d.fail(choice.Failed, socket.Finished, "error")
	default:
		d.servers.log.Warn().Str("side", "server").Bytes("line", text[:min(len(text), 80)]).Msg("unknown answer")
		d.fail(choice.Failed, socket.Finished, "malformed")
	}
}

// pass hands all whole lines on at once.
func (d *Dial) pass(buf []byte) int {
	used, answers := 0, 0
	for {
		text, size, err := line.Next(buf[used:])
		if err != nil {
			d.gone(choice.Broken, socket.Reset, "malformed")
			return len(buf)
		}
		if size == 0 {
			break
		}
		used += size
		d.parting = 0
		switch string(line.Verb(text)) {
		case "LOAD":
			if level, ok := line.Level(text); ok {
				d.ex.Told(level)
			}
			continue
		case "BYE":
			d.parting = choice.Accepted
		case "MOVE":
			d.parting = choice.Cancelled
		default:
			answers++
		}
	}
	if used > 0 && d.state == up {
		d.ex.FromServer(buf[:used], answers)
	}
	return used
}

// gone tells both sides that the server has ended an open session.
func (d *Dial) gone(outcome choice.Outcome, how socket.End, reason string) {
	d.End(how, reason)
	d.ex.ServerEnded(outcome, how, reason)
}

// Ended tells that the server has ended the connection.
func (d *Dial) Ended(how socket.End) {
	switch {
	case d.state == asked && d.conn.Unsent() > 0: // the line's last byte was never written
		d.fail(choice.Unreachable, how, "unreachable")
	case d.state == asked:
		d.fail(choice.Broken, how, "broken")
	case d.state == up && d.parting == choice.Accepted:
		d.gone(choice.Accepted, how, "ended")
	case d.state == up && d.parting == choice.Cancelled:
		d.gone(choice.Cancelled, how, "sent-away")
	case d.state == up:
		d.gone(choice.Broken, how, "broken")
	}
}
