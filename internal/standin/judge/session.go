package judge

import (
	"slices"
	"time"
)

// Answer is the first answer that a client gets for its session.
type Answer string

// The answers. Their values are the names used in reports.
const (
	Accepted Answer = "accepted"
	Refused  Answer = "refused"
	Failed   Answer = "torn-down"
)

// Effect says whether a session may be run again after a dial that may have run it.
type Effect string

// The effects. Their values are the names used in scenarios.
const (
	Repeatable Effect = "repeatable"
	Referenced Effect = "referenced"
	OnceOnly   Effect = "once-only"
)

// Terms are the settings of a session's listener that the rules depend on.
type Terms struct {
	DialTimeout  time.Duration // from the request to the answer
	Effect       Effect
	RepeatWindow time.Duration // within which repeats of a referenced session are recognised
	Group        string        // nodes that recognise repeats: "all", or those of the same "zone" or "cell"
}

// Time limits of the rules.
const (
	maxLineDelay  = time.Second     // for a line to pass through a proxy
	maxEndDelay   = time.Second     // from the end of a session at its server until its client learns of it
	maxUnanswered = 7 * time.Second // without any answer on an established session, before its proxy must end or migrate it
	dialLinger    = time.Second     // for which a session is kept after its end, as its last dial has yet to end
)

// session is the state of one session. Times are durations since the start of the run.
type session struct {
	id            SessionID
	proxy         ProxyID
	terms         Terms
	requestedAt   time.Duration
	answer        Answer // "" before the answer
	dials         []*dial
	receipts      []string      // issued for it by nodes
	established   bool          // it was accepted
	serverEndedAt time.Duration // when its server ended it; 0 before
	clientEnded   bool          // it is over at its client
	isRerouted    bool          // its connection ended with its proxy, and its client resumes it through another proxy
}

// Requested reports that a client has written its complete first line to a connection that the proxy's kernel had
// accepted.
func (j *Judge) Requested(now time.Duration, id SessionID, proxy ProxyID, terms Terms) {
	j.mu.Lock()
	defer j.mu.Unlock()
	previous := j.sessions[id]
	s := &session{id: id, proxy: proxy, terms: terms, requestedAt: now}
	if previous != nil { // resumed through another proxy: receipts of the node that holds it stay valid
		s.receipts = previous.receipts
	}
	j.sessions[id] = s
}

// Answered reports the first line that a client received, with the receipt if the session was accepted.
func (j *Judge) Answered(now time.Duration, id SessionID, answer Answer, receipt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.sessions[id]
	if s == nil {
		return
	}
	if s.answer != "" {
		j.reportLost(now, s, "%s after it was %s", answer, s.answer)
		return
	}
	s.answer = answer
	if elapsed := now - s.requestedAt; elapsed > s.terms.DialTimeout+j.leeway {
		j.reportLost(now, s, "%s after %v, its dial timeout is %v", answer, elapsed.Round(time.Millisecond), s.terms.DialTimeout)
	}
	switch answer {
	case Accepted:
		s.established = true
		if !j.clientsOnly && !slices.Contains(s.receipts, receipt) {
			j.reportLost(now, s, "accepted with receipt %q, which no server issued for it", receipt)
		}
	case Refused:
		j.checkRefusal(now, s)
	}
}

// checkRefusal reports a once-only session that was refused although it may have run. The caller must hold j.mu.
func (j *Judge) checkRefusal(now time.Duration, s *session) {
	if s.terms.Effect != OnceOnly {
		return
	}
	if i := slices.IndexFunc(s.dials, func(d *dial) bool { return d.mayHaveRun }); i >= 0 {
		j.report(now, DuplicateEffect, s.id, s.dials[i].node, s.proxy,
			"refused, though a dial of this once-only session may have run")
	}
}

// UnexpectedLine reports a line that a client received after a refusal or a failure.
func (j *Judge) UnexpectedLine(now time.Duration, id SessionID, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.sessions[id]; s != nil && !s.clientEnded {
		j.reportLost(now, s, "%q came after it was %s", text, s.answer)
	}
}

// Unanswered reports that a client received nothing within its dial timeout and the leeway.
func (j *Judge) Unanswered(now time.Duration, id SessionID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.sessions[id]; s != nil && s.answer == "" && !j.proxyState(s.proxy).dead {
		j.reportLost(now, s, "no answer within its dial timeout of %v", s.terms.DialTimeout)
	}
	j.endSession(now, id)
}

// ClientRerouted reports that the client's connection ended because its proxy left or died, and that the client is about
// to resume the session through another proxy. Until then nothing can notify it that its server has ended the session.
func (j *Judge) ClientRerouted(id SessionID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.sessions[id]; s != nil {
		s.isRerouted = true
	}
}

// ClientLeft reports that the session is over at its client: the client ended it, or was asked to migrate or notified that its
// server ended it.
func (j *Judge) ClientLeft(now time.Duration, id SessionID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.endSession(now, id)
}

// ConnectionLost reports that a client's connection ended without an answer, or without MOVE or BYE once the session was
// established.
func (j *Judge) ConnectionLost(now time.Duration, id SessionID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.sessions[id]
	if s == nil {
		return
	}
	s.clientEnded = true
	switch {
	case s.answer == "":
		j.schedule(now+j.leeway, func(time.Duration) {
			if !j.proxyState(s.proxy).dead {
				j.reportLost(now, s, "its connection ended without an answer")
			}
			j.forget(s)
		})
	case s.established:
		j.schedule(now+j.leeway, func(time.Duration) {
			if p := j.proxyState(s.proxy); !j.clientsOnly && s.serverEndedAt == 0 && !p.dead && !(p.leaving && j.sessionsOutliveProxies) {
				j.reportLost(now, s, "cut off without MOVE while its server held it")
			}
			j.forget(s)
		})
	default:
		j.endSession(now, id)
	}
}

// LineDelayed reports how long a line took to pass through the proxy; more than maxLineDelay counts as a lost session.
func (j *Judge) LineDelayed(now time.Duration, id SessionID, delay time.Duration) {
	if delay <= maxLineDelay+j.leeway {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.sessions[id]; s != nil && !s.clientEnded && !j.proxyState(s.proxy).dead {
		j.reportLost(now, s, "a line was held back for %v", delay.Round(time.Millisecond))
	}
}

// Unresponsive reports for how long the oldest line of an established session has been unanswered. After maxUnanswered
// its proxy should have ended or migrated the session.
func (j *Judge) Unresponsive(now time.Duration, id SessionID, unanswered time.Duration) {
	if unanswered <= maxUnanswered+j.leeway {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.sessions[id]; s != nil && !s.clientEnded && s.established && !j.proxyState(s.proxy).dead {
		j.reportLost(now, s, "nothing came back for %v and it was neither ended nor moved", unanswered.Round(time.Millisecond))
		s.clientEnded = true
	}
}

// ServerEnded reports that a session's server has ended it, is about to, or has stopped answering it for good. closed
// says that the server's connection has ended; the client must then learn of it within maxEndDelay.
func (j *Judge) ServerEnded(now time.Duration, id SessionID, closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.sessions[id]
	if s == nil || s.serverEndedAt != 0 {
		return
	}
	s.serverEndedAt = max(now, 1)
	if !closed {
		return
	}
	j.schedule(now+maxEndDelay+j.leeway, func(due time.Duration) {
		if s.established && !s.clientEnded && !s.isRerouted && j.sessions[id] == s && !j.proxyState(s.proxy).dead {
			j.reportLost(due, s, "its server ended it a second ago and its client was not notified")
		}
	})
}

// reportLost records a lost session. The caller must hold j.mu.
func (j *Judge) reportLost(now time.Duration, s *session, format string, args ...any) {
	j.report(now, SessionLost, s.id, noNode, s.proxy, format, args...)
}

// endSession marks a session as over at its client, and forgets it after dialLinger, in which its last dial can end. A dial
// that comes later has no client and is not checked. The caller must hold j.mu.
func (j *Judge) endSession(now time.Duration, id SessionID) {
	if s := j.sessions[id]; s != nil {
		s.clientEnded = true
		j.schedule(now+dialLinger, func(time.Duration) { j.forget(s) })
	}
}

// forget drops a session, unless a newer one has replaced it under the same id. The caller must hold j.mu.
func (j *Judge) forget(s *session) {
	if j.sessions[s.id] == s {
		delete(j.sessions, s.id)
	}
}
