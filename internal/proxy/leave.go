package proxy

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

const (
	shutdownSteps       = 16  // steps in which sessions are moved; also divides other intervals of the shutdown
	passThroughEndShare = 0.8 // fraction of shutdownTime(1) until a proxy whose sessions pass through may end
	firstMoveShare      = 0.5 // fraction until the first sessions are moved, where they end at the proxy
	moveSpanShare       = 0.4 // fraction between the first and the last move
)

// phase is the state of the shutdown. Phases follow one another in this order.
type phase int

const (
	serving phase = iota
	leaving       // SIGTERM was received; new connections are still served
	closing       // no new connections are accepted; those that came still get an answer, and final lines are sent
	gone          // the process is ending
)

func (p phase) String() string {
	return [...]string{serving: "serving", leaving: "leaving", closing: "closing", gone: "gone"}[p]
}

// enterPhase changes the phase and logs it. It panics unless next directly follows the current phase.
func (p *Proxy) enterPhase(next phase) {
	if next != p.phase+1 {
		panic(fmt.Sprintf("the proxy goes from phase %d to %d", p.phase, next))
	}
	p.phase = next
	p.log.Info().Stringer("phase", next).Int("sessions", p.table.SessionCount()).Int("open", p.table.OpenCount()).
		Int("idle", p.clients.IdleCount()).Int("connecting", p.connector.ConnectCount()).Msg("phase")
}

// Leave starts the shutdown (SIGTERM) once the event loop runs; further calls do nothing. New connections are still served.
// Where sessions end at the proxy (mode "proxy"), they are moved before the process ends, spread out so that their clients
// don't all reconnect at once; where they pass through it (mode "pass"), other proxies take over. Neither happens at once:
// new connections still arrive here, those of moved clients among them, and in a rolling restart the proxy that was
// restarted before may not be back. Nor does it wait until the kill: by then the next proxy has been asked to leave, too.
func (p *Proxy) Leave() {
	<-p.ready
	p.execute(func() {
		if p.phase != serving {
			return
		}
		p.enterPhase(leaving)
		p.log.Info().Int("sessions", p.table.SessionCount()).Msg("leaving")
		stoodStillFor := p.recentStandstill()
		p.timers.After(p.shutdownTime(1)+killMargin/2, p.endBeforeKill)
		if stoodStillFor > 0 { // the signal may have been sent that much earlier, and the kill comes that much earlier
			killAt := p.now() + p.shutdownTime(1) + killMargin - stoodStillFor
			p.timers.After(p.shutdownTime(1)+killMargin/2-stoodStillFor, func() { p.answerUntilKill(killAt) })
		}
		if p.settings.passThrough {
			p.timers.After(max(p.shutdownTime(passThroughEndShare), arrivalsAfterTerm*5/4), p.endWhenIdle)
			return
		}
		p.timers.After(max(p.shutdownTime(firstMoveShare), arrivalsAfterTerm)-stoodStillFor, func() { p.moveSessions(shutdownSteps) })
	})
}

// shutdownTime is a fraction of the time that a proxy is guaranteed to have after SIGTERM, without killMargin.
func (p *Proxy) shutdownTime(share float64) time.Duration {
	return time.Duration(share * float64(min(p.settings.longestDialTimeout, maxDialTimeout)))
}

// moveSessions moves an equal part of the open sessions in each of the remaining steps, and sessions that have come since
// in further steps. Once none is left it goes on with endWhenIdle.
func (p *Proxy) moveSessions(stepsLeft int) {
	if stepsLeft <= 0 && p.table.SessionCount() == 0 {
		p.endWhenIdle()
		return
	}
	if open := p.table.OpenCount(); open > 0 {
		p.table.MoveSome((open + max(stepsLeft, 1) - 1) / max(stepsLeft, 1))
	}
	p.timers.After(p.shutdownTime(moveSpanShare)/shutdownSteps, func() { p.moveSessions(stepsLeft - 1) })
}

// endWhenIdle checks periodically what is left to do before the process may end: first sessions that wait for an answer,
// then clients in the kernel's accept queue, then final lines that are not sent yet. Open sessions that pass through the
// proxy are not ended: another proxy carries their packets on.
func (p *Proxy) endWhenIdle() {
	waiting := p.table.SessionCount() - p.table.OpenCount()
	switch {
	case p.phase == gone:
		return
	case waiting > 0:
	case !p.settings.passThrough && p.table.OpenCount() > 0: // opened since the last move
		p.table.MoveSome(p.table.OpenCount())
	case p.phase == leaving:
		if p.stopAccepting() {
			p.enterPhase(closing)
			p.closingDeadline = p.now() + arrivalsAfterTerm/2
			p.connectionArrived = true // the accept queue counts as empty after two checks without a new connection
		}
	case p.loop.HasQueuedConnections(): // accept may have failed temporarily
		p.connectionArrived = true
	case p.connectionArrived:
		p.connectionArrived = false
	case p.clients.IdleCount() > 0: // the answer also covers a line that the client sends at the same time
		p.clients.CloseIdle()
	case p.now() < p.closingDeadline && (p.connectionLimit.SpareCount() > 0 || p.connector.ConnectCount() > 0):
	default:
		p.exit()
		return
	}
	p.timers.After(p.shutdownTime(1)/shutdownSteps/shutdownSteps, p.endWhenIdle)
}

// stopAccepting attaches a socket filter that has the kernel drop the first packet (SYN) of new connections, while those in its
// accept queue are still accepted: closing the listener would reset them with their first line unread. The last packet of a
// handshake must pass. Its client is connected already, and one that sends nothing would never learn that the proxy is not. It
// returns false if that failed temporarily and is worth another try.
func (p *Proxy) stopAccepting() bool {
	err := unix.SetsockoptSockFprog(p.loop.ListenerFD(), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]})
	meaning := failure.Classify(failure.Option, err)
	if meaning != failure.None {
		p.failures.Record(failure.Option, err, meaning)
	}
	return !meaning.IsTemporary()
}

const (
	tcpFlagsOffset = 13 // in bytes, of the flags in a TCP header (RFC 9293, section 3.1)
	tcpFlagSYN     = 0x02
)

// dropSYN is a classic BPF program (socket(7), SO_ATTACH_FILTER) for a TCP listener, whose packets begin with the TCP header. It
// drops packets with the SYN flag and passes all others whole.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 0, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
}

// endBeforeKill ends the process before it is killed, whatever is still pending: waiting clients are answered and sessions
// moved where they may be.
func (p *Proxy) endBeforeKill() {
	if p.phase == gone {
		return
	}
	p.log.Warn().Int("sessions", p.table.SessionCount()).Int("open", p.table.OpenCount()).Msg("last call")
	p.answerAndMoveAll()
	p.timers.After(killMargin/8, func() { // time for the final lines to be sent
		if p.phase != gone {
			p.answerAndMoveAll() // connections from the accept queue that were accepted since
		}
		if p.phase == leaving {
			p.enterPhase(closing)
		}
		if p.phase == closing {
			p.exit()
		}
	})
}

// answerUntilKill answers and moves everything as endBeforeKill does, and repeats that for new arrivals until killAt, the
// earliest time of the kill. A proxy that is still running after that received its signal later, and serves until
// endBeforeKill.
func (p *Proxy) answerUntilKill(killAt time.Duration) {
	if p.phase == gone || p.now() > killAt {
		return
	}
	p.answerAndMoveAll()
	p.timers.After(killMargin/shutdownSteps, func() { p.answerUntilKill(killAt) })
}

// answerAndMoveAll gives each waiting client its answer and, where sessions end at the proxy, moves all open ones.
func (p *Proxy) answerAndMoveAll() {
	p.table.AbortPending()
	p.clients.CloseIdle()
	if !p.settings.passThrough {
		p.table.MoveAll()
	}
}

// exit has Run return: at once with open connections left as they are where sessions pass through the proxy, else by
// stopping the event loop.
func (p *Proxy) exit() {
	p.enterPhase(gone)
	p.log.Info().Int("sessions", p.table.SessionCount()).Msg("left")
	if p.settings.passThrough {
		close(p.exitNow)
		return
	}
	go p.stopLoop()
}
