package rehearse

import (
	"errors"
	"fmt"
	"time"

	"chalkferry/internal/affinity"
)

// intruderCheckInterval is how often a run looks for others' processes on its proxies' processors.
const intruderCheckInterval = time.Second

// binding is which processors a run's proxies are bound to, each to one of its own.
type binding struct {
	reservation *affinity.Reservation // nil where they are bound to none
	lastCheckAt time.Duration
}

// bindProxies reserves processors for the proxies. Where there are not enough free ones the run goes on without, and its report
// says so. The error is that of a system call.
func (r *rehearsal) bindProxies() (release func(), err error) {
	reservation, err := affinity.Reserve(r.scenario.Proxies.Count)
	var unavailable *affinity.UnavailableError
	if errors.As(err, &unavailable) {
		r.unboundReason = unavailable.Error()
		return affinity.Avoid(unavailable.Reserved)
	}
	if err != nil {
		return nil, err
	}
	r.binding.reservation = reservation
	return reservation.Release, nil
}

// processorOf is the processor that a proxy is to be bound to, anyCPU for none.
func (b *binding) processorOf(proxy int) int {
	if b.reservation == nil {
		return anyCPU
	}
	return b.reservation.Processors()[proxy]
}

// checkIntruder unbinds the proxies once a process of others is bound to a processor of theirs: what they do there would be
// measured wrongly from now on, and taken from that process.
func (r *rehearsal) checkIntruder() {
	b := &r.binding
	if b.reservation == nil || r.now()-b.lastCheckAt < intruderCheckInterval {
		return
	}
	b.lastCheckAt = r.now()
	intruder, err := b.reservation.Intruder()
	if err != nil || intruder == "" {
		return // without /proc nothing is known of others
	}
	r.mu.Lock()
	r.unboundReason = fmt.Sprintf("from %.1f s on: %s", r.now().Seconds(), intruder)
	r.mu.Unlock()
	for i, p := range r.processes {
		if err := p.unbind(b.reservation); err != nil {
			r.addRunError("proxy %d can't be unbound: %v", i, err)
		}
	}
	b.reservation.Release()
	b.reservation = nil
}

// unbind lets a proxy use all processors, in this start and those to come.
func (p *process) unbind(reservation *affinity.Reservation) error {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.cpu = anyCPU
	p.mu.Lock()
	isRunning := p.state == running || p.state == ending
	p.mu.Unlock()
	if !isRunning {
		return nil
	}
	return reservation.Unbind(p.cmd.Process.Pid)
}
