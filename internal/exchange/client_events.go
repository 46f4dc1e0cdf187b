package exchange

import (
	"chalkferry/choice"
	"chalkferry/internal/socket"
)

// Events of the client's side.

// RelayFromClient passes whole lines on to the server of an open session; n is their number.
func (s *Session) RelayFromClient(lines []byte, n int) {
	if s.state != open {
		return
	}
	if s.unanswered == 0 {
		s.waitingSince = s.table.now()
	}
	s.setUnanswered(s.unanswered + n)
	s.server.Write(lines)
}

// HandleClientEnd ends the session, and its dial or server connection, after its client has gone.
func (s *Session) HandleClientEnd(how socket.End) {
	previous := s.state
	if previous == ended {
		return
	}
	s.enter(ended)
	if previous != open {
		how = socket.Reset // a first line still in this machine's send buffer must not reach the server after the client has left
	}
	if previous != resuming {
		s.table.balancer.HandleClientGone(s.table.now(), s.arrival.ID)
	}
	if previous != placing && s.server != nil {
		s.server.End(how, "client-left")
	}
	if previous == dialing || previous == open {
		s.reportDialEnd(choice.Cancelled, true)
	}
}

// HandleClientBroken moves an open session whose client connection was broken by the network. The client has not ended it, and
// reconnects if it is still there.
func (s *Session) HandleClientBroken() {
	if s.state == open {
		s.startMove("client-broken")
	}
}
