package exchange

import (
	"strings"
	"testing"
	"time"
)

// TestLineThatMovesItsSession guards against lines that are lost because they move the session that they belong to, by the delay
// of an answer or by a LOAD line.
func TestLineThatMovesItsSession(t *testing.T) {
	const sessions, messageTime = 20, 290 * ms // three times the message target, below silenceLimit
	for name, load := range map[string]float64{"the answer": 0, "LOAD behind the answer": 900} {
		r := newRig(1)
		r.delays.reconfigure(33*ms, false, true)
		r.now = sec
		for range sessions {
			c, _ := r.newOpenSession()
			r.runEvent(func() { c.session.RelayFromClient([]byte("M 1\r\n"), 1) })
		}
		r.advance(messageTime)
		for _, d := range r.dials {
			if d.ended {
				continue // moved by the line of another session
			}
			d.sent = "M 1\r\n"
			r.runEvent(func() {
				if load > 0 {
					d.sent += "LOAD 900\r\n"
					d.session.HandleLoadReport(load)
				}
				d.session.RelayFromServer([]byte(d.sent), 1)
			})
		}
		r.checkInvariants()
		if r.fault != "" || r.OpenCount() == sessions {
			t.Errorf("%s: %d of %d sessions are still open; %s", name, r.OpenCount(), sessions, r.fault)
		}
	}
}

// TestUnreadLinesOfMovedSession guards against lines that are lost because the proxy has not read them when it moves their session,
// and against a MOVE behind the server's BYE.
func TestUnreadLinesOfMovedSession(t *testing.T) {
	moves := map[string]func(r *rig, c *client){
		"the Balancer":       func(r *rig, c *client) { r.Move(c.session.arrival.ID) },
		"the proxy leaves":   func(r *rig, _ *client) { r.MoveSome(1) },
		"the proxy ends":     func(r *rig, _ *client) { r.MoveAll() },
		"the server hangs":   func(r *rig, c *client) { r.abandonServer(c.session.serverID, sec) },
		"the client's break": func(_ *rig, c *client) { c.session.HandleClientBroken() },
	}
	for name, move := range moves {
		for _, lines := range []string{"", "M 1\r\n", "M 1\r\nBYE\r\n"} {
			r := newRig(1)
			c, d := r.newOpenSession()
			if lines != "" {
				d.sendUnread(lines)
			}
			r.runEvent(func() {
				move(r, c)
				move(r, c)
			})
			r.checkInvariants()
			isServed := strings.HasSuffix(lines, "BYE\r\n")
			want := "UP 1\r\n" + lines
			if !isServed {
				want += "MOVE\r\n"
			}
			if c.received != want || !c.ended || r.OpenCount() != 0 || r.fault != "" {
				t.Errorf("%s, %q unread: the client gets %q, has ended: %v; %s", name, lines, c.received, c.ended, r.fault)
			}
		}
	}
}

// TestEndlessServerIsMoved guards against a move that is held up by a server that sends without end.
func TestEndlessServerIsMoved(t *testing.T) {
	r := newRig(1)
	c, d := r.newOpenSession()
	for range 1000 {
		d.sendUnread("M 1\r\n")
	}
	r.runEvent(func() { r.MoveSome(1) })
	if c.ended {
		t.Fatal("the session is moved though more lines have come")
	}
	for waited := time.Duration(0); !c.ended; waited += ms {
		if waited > maxMoveDelay+ms {
			t.Fatalf("the session is still open after %v", waited)
		}
		r.advance(ms)
	}
	if c.lastLine != "MOVE\r\n" {
		t.Errorf("the client's last line is %q", c.lastLine)
	}
}

// TestOverflowDuringMove guards against a server that is blamed for the end of a session that this proxy has no memory for.
func TestOverflowDuringMove(t *testing.T) {
	r := newRig(1)
	c, d := r.newOpenSession()
	for range 1000 {
		d.sendUnread("M 1\r\n")
	}
	r.runEvent(c.session.HandleServerOverflow)
	if c.ended {
		t.Fatal("the session is moved though more lines have come")
	}
	for range 2 { // the second call finds the session ended
		r.runEvent(c.session.HandleServerOverflow)
	}
	if c.lastLine != "MOVE\r\n" || c.reason != "overflow" || r.OpenCount() != 0 || r.fault != "" {
		t.Errorf("the client's last line is %q with reason %s; %s", c.lastLine, c.reason, r.fault)
	}
}
