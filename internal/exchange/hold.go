package exchange

import (
	"time"

	"chalkferry/internal/line"
)

// A new session is held while the list of servers may be out of date, and placed once it is current again.

// holdShare is the part of its client's time, one in so many, that a session is held at most: the client gets its answer early
// enough to try again elsewhere.
const holdShare = 2

// staleListReason is the reason in the log for sessions that are refused because the list of servers may be out of date.
const staleListReason = "stale-list"

// AwaitList calls back once everything that discovery has sent is applied to the list of servers, and for a session that is new to
// the servers once the list is current besides; at once if that is so. cancel drops the call.
type AwaitList func(isNew bool, callback func()) (cancel func())

// placeWhenListCurrent has the session placed once the list is current, and refused if that takes too long.
func (s *Session) placeWhenListCurrent() {
	s.isHeld = true
	cancel := s.table.awaitList(true, func() {
		if s.isHeld {
			s.isHeld = false
			s.place()
		}
	})
	if !s.isHeld {
		return
	}
	s.cancelHold = cancel
	s.table.startTimer((s.deadline-s.table.now())/holdShare, func() {
		if s.isHeld {
			s.enter(ended)
			s.client.Finish(line.FormatBusy(0), staleListReason)
		}
	})
}

// endHold ends the hold of a session, if it is held.
func (s *Session) endHold() {
	if s.isHeld {
		s.isHeld = false
		s.cancelHold()
	}
}

// place has the Balancer place the session with what is left of its client's time.
func (s *Session) place() {
	t := s.table
	s.arrival.TimeLeft = max(s.deadline-t.now(), time.Duration(0))
	if err := t.balancer.PlaceSession(t.now(), s.arrival); err != nil { // only a bug in this program makes it fail
		s.enter(ended)
		s.client.Finish([]byte("ERR\r\n"), "module")
	}
}

// NeedsCurrentList reports whether the session is new to the servers, so that it may go to none that drains. One that a server
// holds already, as this proxy resumes it or its packets came through another proxy before, goes to that server in any state.
func (s *Session) NeedsCurrentList() bool { return s.state != resuming && !s.arrival.MidFlow }
