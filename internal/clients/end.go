package clients

import (
	"github.com/rs/zerolog"

	"chalkferry/internal/socket"
)

// recordEnd sets the connection's state to ended, takes it off all lists and writes its log line. The caller ends the socket.
func (c *Client) recordEnd(how socket.End, reason string) {
	c.state = ended
	c.leaveIdle()
	if c.clients.byID[c.id] == c {
		delete(c.clients.byID, c.id)
	}
	if reason == "unused" && c.pingCount > 0 {
		reason = "ping"
	}
	c.logEnd(how, reason)
}

// logEnd writes the log line of a connection that has ended.
func (c *Client) logEnd(how socket.End, reason string) {
	e := c.clients.log.Info().Str("side", "client").Str("reason", reason).Stringer("end", how).
		Dur("ms", c.clients.now()-c.connectedAt)
	if err := c.conn.Err(); err != nil {
		e = e.AnErr("cause", err)
	}
	if c.id != "" {
		e = e.Str("id", c.id)
	}
	if c.openLine != nil {
		e = c.addTraceFields(e)
	}
	e.Send()
}

// addTraceFields adds the fields from which a trace of the sessions can be rebuilt.
func (c *Client) addTraceFields(e *zerolog.Event) *zerolog.Event {
	openLine := c.openLine
	e = e.Bytes("listener", openLine.Listener).Bytes("key", openLine.Key).Dur("wait_ms", openLine.Remaining)
	if openLine.Tenant != nil {
		e = e.Bytes("title", openLine.Tenant)
	}
	if openLine.Group != nil {
		e = e.Bytes("group", openLine.Group)
	}
	if openLine.Returned {
		e = e.Bool("returned", true)
	}
	if c.openedAt > 0 {
		e = e.Dur("up_ms", c.openedAt-c.connectedAt)
	}
	return e
}
