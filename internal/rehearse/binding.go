package rehearse

import (
	"errors"
	"fmt"
	"time"

	"chalkferry/internal/affinity"
)

// intruderCheckInterval is the interval at which a run looks for foreign processes on its proxies' processors.
const intruderCheckInterval = time.Second

// binding holds the processors that a run's proxies are bound to, one for each proxy.
type binding struct {
	reservation *affinity.Reservation // nil if the proxies are not bound
	lastCheckAt time.Duration
}

// bindProxies reserves a processor for each proxy. If too few are free, the run continues with unbound proxies and its
// report says so. An error comes from a failed system call. release ends the reservation.
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

// processorOf returns the processor to which a proxy is bound, anyCPU for none.
func (b *binding) processorOf(proxy int) int {
	if b.reservation == nil {
		return anyCPU
	}
	return b.reservation.Processors()[proxy]
}

// checkIntruder unbinds all proxies once a foreign process is bound to one of their processors. From then on measurements
// of the proxy there would be wrong, and it would take time from that process.
func (r *rehearsal) checkIntruder() {
	b := &r.binding
	if b.reservation == nil || r.now()-b.lastCheckAt < intruderCheckInterval {
		return
	}
	b.lastCheckAt = r.now()
	intruder, err := b.reservation.ForeignProcess()
	if err != nil || intruder == "" {
		return // without /proc foreign processes can't be found
	}
	r.mu.Lock()
	r.unboundReason = fmt.Sprintf("from %.1f s on: %s", r.now().Seconds(), intruder)
	r.mu.Unlock()
	for i, p := range r.processes {
		if err := p.unbind(b.reservation); err != nil {
			r.addRunError("proxy %d could not be unbound: %v", i, err)
		}
	}
	b.reservation.Release()
	b.reservation = nil
}

// unbind lets a proxy use all processors, in its present process and after later starts.
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
