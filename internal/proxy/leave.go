package proxy

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/failure"
)

const (
	leaveSteps = 16
	passShare  = 0.8 // of the time that a proxy surely has, to the end of one whose sessions pass through
	waitShare  = 0.5 // and to the first move at one where they end
	moveShare  = 0.4 // and from the first to the last
)

// phase is how far a proxy is on its way out.
type phase int

const (
	serving phase = iota
	leaving       // told to end; what comes is still served
	closing       // nothing new is let in; what has come still gets its answer, and last lines their time
	gone          // the process ends
)

func (p phase) String() string {
	return [...]string{serving: "serving", leaving: "leaving", closing: "closing", gone: "gone"}[p]
}

// enterPhase is the one place where a proxy's phase changes; each follows the one before.
func (p *Proxy) enterPhase(next phase) {
	if next != p.phase+1 {
		panic(fmt.Sprintf("the proxy goes from phase %d to %d", p.phase, next))
	}
	p.phase = next
	p.log.Info().Stringer("phase", next).Int("sessions", p.table.Len()).Int("open", p.table.Open()).
		Int("idle", p.clients.Idle()).Int("connecting", p.connector.Out()).Msg("phase")
}

// Leave is told that the process is to end: what comes is still served. Where sessions end at the proxy they
// are moved before, spread out so that their clients don't all come again at once; where they pass through it others
// take over. Neither at once: new connections still come here, moved clients among them, and in a rolling restart
// the proxy that left last is not back. Nor as late as the kill: by then the next proxy is told to leave, too.
func (p *Proxy) Leave() {
	<-p.ready
	p.execute(func() {
		if p.phase != serving {
			return
		}
		p.enterPhase(leaving)
		p.log.Info().Int("sessions", p.table.Len()).Msg("leaving")
		standstill := p.standstillJustNow()
		p.timers.After(p.leaveSpan(1)+killMargin/2, p.lastCall)
		if standstill > 0 { // the signal, and so the kill, may be that much older
			killAt := p.now() + p.leaveSpan(1) + killMargin - standstill
			p.timers.After(p.leaveSpan(1)+killMargin/2-standstill, func() { p.answerEarly(killAt) })
		}
		if p.terms.passes {
			p.timers.After(max(p.leaveSpan(passShare), arrivalsAfterTerm*5/4), p.windUp)
			return
		}
		p.timers.After(max(p.leaveSpan(waitShare), arrivalsAfterTerm)-standstill, func() { p.moveSome(leaveSteps) })
	})
}

// leaveSpan is a share of the time that a proxy surely has.
func (p *Proxy) leaveSpan(share float64) time.Duration {
	return time.Duration(share * float64(min(p.terms.patience, maxDialTimeout)))
}

// moveSome moves a part of what is open in each step, and what has come since in further ones.
func (p *Proxy) moveSome(steps int) {
	if steps <= 0 && p.table.Len() == 0 {
		p.windUp()
		return
	}
	if n := p.table.Open(); n > 0 {
		p.table.MoveSome((n + max(steps, 1) - 1) / max(steps, 1))
	}
	p.timers.After(p.leaveSpan(moveShare)/leaveSteps, func() { p.moveSome(steps - 1) })
}

// windUp looks again and again for what is left to do before the process may end: sessions that wait for their
// answers, then clients in the kernel's queue, and last lines on their way. What is open where sessions pass through
// is not ended: its packets go on by another proxy.
func (p *Proxy) windUp() {
	waiting := p.table.Len() - p.table.Open()
	switch {
	case p.phase == gone:
		return
	case waiting > 0:
	case !p.terms.passes && p.table.Open() > 0: // it has come since
		p.table.MoveSome(p.table.Open())
	case p.phase == leaving:
		if p.stopAccepting() {
			p.enterPhase(closing)
			p.endsBy = p.now() + arrivalsAfterTerm/2
			p.came = true // two looks without one show that the queue is empty
		}
	case p.loop.HasWaiting(): // accepting may fail for a moment
		p.came = true
	case p.came:
		p.came = false
	case p.clients.Idle() > 0: // a line that crosses the answer is answered by it
		p.clients.Dismiss()
	case p.now() < p.endsBy && (p.connectionLimit.Spares() > 0 || p.connector.Out() > 0):
	default:
		p.end()
		return
	}
	p.timers.After(p.leaveSpan(1)/leaveSteps/leaveSteps, p.windUp)
}

// stopAccepting has the kernel drop new connections, while those that it has taken are still accepted. To close the listener
// would reset them, with a first line unread. It returns false when that failed for a moment.
func (p *Proxy) stopAccepting() bool {
	none := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	err := unix.SetsockoptSockFprog(p.loop.ListenerFD(), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: 1, Filter: &none})
	meaning := failure.Classify(failure.Option, err)
	if meaning != failure.None {
		p.failures.Note(failure.Option, err, meaning)
	}
	return !meaning.Passes()
}

// lastCall ends the process before it is killed, whatever hangs: what still waits is answered, what may be moved is.
func (p *Proxy) lastCall() {
	if p.phase == gone {
		return
	}
	p.log.Warn().Int("sessions", p.table.Len()).Int("open", p.table.Open()).Msg("last call")
	p.answerAll()
	p.timers.After(killMargin/8, func() { // for the last lines
		if p.phase != gone {
			p.answerAll() // what the kernel had taken before, and has been accepted since
		}
		if p.phase == leaving {
			p.enterPhase(closing)
		}
		if p.phase == closing {
			p.end()
		}
	})
}

// answerEarly answers and moves all as lastCall does, and what still comes again and again until the time of a kill that may be
// near. A proxy that goes on after that was told to leave later, and serves until its last call.
func (p *Proxy) answerEarly(killAt time.Duration) {
	if p.phase == gone || p.now() > killAt {
		return
	}
	p.answerAll()
	p.timers.After(killMargin/leaveSteps, func() { p.answerEarly(killAt) })
}

// answerAll gives each client that waits its answer, and moves what may be moved.
func (p *Proxy) answerAll() {
	p.table.GiveUp()
	p.clients.Dismiss()
	if !p.terms.passes {
		p.table.MoveSome(p.table.Open())
	}
}

// end ends the process, or the event loop where nothing is open any more.
func (p *Proxy) end() {
	p.enterPhase(gone)
	p.log.Info().Int("sessions", p.table.Len()).Msg("left")
	if p.terms.passes {
		close(p.left)
		return
	}
	go p.stopLoop()
}
