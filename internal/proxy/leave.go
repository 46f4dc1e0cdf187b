package proxy

import (
	"context"
	"time"
)

const (
	leaveSteps  = 16
	mostPatient = 3 * time.Second // by the protocol, a kill may follow so long after, or after the longest dial timeout
	passShare   = 0.8             // of that time, to the end of a proxy whose sessions pass through
	waitShare   = 0.5             // and to the first move at one where they end
	moveShare   = 0.4             // and from the first to the last
)

// Leave is told that the process is to end: what comes is still served. Where sessions end at the proxy they
// are moved before, spread out so that their clients don't all come again at once; where they pass through it others
// take over. Neither at once: new connections still come here, moved clients among them, and in a rolling restart
// the proxy that left last is not back. Nor as late as the kill: by then the next proxy is told to leave, too.
func (p *Proxy) Leave() {
	<-p.ready
	p.execute(func() {
		if p.leaving {
			return
		}
		p.leaving = true
		p.log.Info().Int("sessions", p.table.Len()).Msg("leaving")
		if p.terms.passes {
			p.timers.After(p.leaveSpan(passShare), p.passOn)
			return
		}
		p.timers.After(p.leaveSpan(waitShare), func() { p.moveSome(leaveSteps) })
	})
}

// leaveSpan is a share of the time that a proxy surely has.
func (p *Proxy) leaveSpan(share float64) time.Duration {
	return time.Duration(share * float64(min(p.terms.patience, mostPatient)))
}

// passOn ends the process once no session waits for its answer. What is open is not ended: its packets go on by
// another proxy.
func (p *Proxy) passOn() {
	if p.table.Len() > p.table.Open() {
		p.timers.After(p.terms.patience/leaveSteps/leaveSteps, p.passOn)
		return
	}
	p.log.Info().Int("sessions", p.table.Len()).Msg("left")
	close(p.left)
}

// moveSome moves a part of what is open in each step, and what has come since in further ones.
func (p *Proxy) moveSome(steps int) {
	if steps <= 0 && p.table.Len() == 0 {
		p.stop()
		return
	}
	if n := p.table.Open(); n > 0 {
		p.table.MoveSome((n + max(steps, 1) - 1) / max(steps, 1))
	}
	p.timers.After(p.leaveSpan(moveShare)/leaveSteps, func() { p.moveSome(steps - 1) })
}

// stop ends the engine once the last lines have had their time.
func (p *Proxy) stop() {
	p.timers.After(p.linger(), func() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			p.engine.Stop(ctx)
		}()
	})
}
