package clients

import (
	"bytes"

	"chalkferry/internal/line"
)

// maxHeldPongs is how many PINGs of one connection may wait for AnswerPings.
const maxHeldPongs = 256

// pong is the answer to PING.
var pong = []byte("PONG\r\n")

// HoldPings holds the answers to PINGs back until AnswerPings is called. A load balancer in front of the proxies sends
// connections to a proxy as soon as it has answered a PING; a proxy that has just started must not take any before it has the list
// of servers: what the list says may count as known to that proxy before the list has arrived.
func (c *Clients) HoldPings() { c.holdsPings = true }

// AnswerPings answers all PINGs that wait, and has later ones answered at once.
func (c *Clients) AnswerPings() {
	c.holdsPings = false
	for entry := c.heldPongs.Front(); entry != nil; entry = c.heldPongs.Front() {
		client := entry.Value.(*Client)
		client.releasePongs()
		client.restartIdleTimer()
		client.sendPongs()
	}
}

// countPing counts a PING that has to be answered, and ends a connection that sends far more of them than a load balancer does
// while their answers are held back.
func (c *Client) countPing() {
	c.pingCount++
	if c.pongsDue++; c.clients.holdsPings && c.pongsDue > maxHeldPongs {
		c.Finish(line.FormatBusy(0), "too-many-pings")
	}
}

// sendPongs answers the PINGs that have not been answered, by one write, or holds the answers back until AnswerPings. The number of
// PINGs needs no limit otherwise: the idle timer ends the connection. It stops while this proxy keeps the client waiting.
func (c *Client) sendPongs() {
	switch {
	case c.state != idle || c.pongsDue == 0:
	case !c.clients.holdsPings:
		c.conn.Write(bytes.Repeat(pong, c.pongsDue))
		c.pongsDue = 0
	case c.heldEntry == nil:
		c.clients.timers.Stop(c.idleTimer)
		c.heldEntry = c.clients.heldPongs.PushBack(c)
	}
}

// releasePongs takes the connection off the list of those with PINGs that wait.
func (c *Client) releasePongs() {
	if c.heldEntry != nil {
		c.clients.heldPongs.Remove(c.heldEntry)
		c.heldEntry = nil
	}
}
