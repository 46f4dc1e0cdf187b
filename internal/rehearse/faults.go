package rehearse

import (
	"context"
	"time"

	"chalkferry/internal/standin/judge"
	"chalkferry/internal/standin/list"
)

// startFaults schedules the faults, each in a goroutine of its own. Faults may overlap, even on the same node.
func (r *rehearsal) startFaults(ctx context.Context) {
	for _, f := range r.scenario.Faults {
		r.faultsRunning.Go(func() {
			if r.sleep(ctx, f.At.D()-r.now()) {
				r.inject(ctx, f)
			}
		})
	}
}

// sleep waits for d. It returns false if the context ends first.
func (r *rehearsal) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(max(d, 0)):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject injects one fault, and undoes it after its duration.
func (r *rehearsal) inject(ctx context.Context, f Fault) {
	var undo []func()
	addUndo := func(call func()) {
		if call != nil {
			undo = append(undo, call)
		}
	}
	for _, i := range f.Nodes {
		addUndo(r.injectAtNode(ctx, f, i))
	}
	for _, i := range f.Proxies {
		addUndo(r.injectAtProxy(ctx, f, i))
	}
	addUndo(r.injectAtPlatform(ctx, f))
	if len(undo) > 0 && f.Duration > 0 && r.sleep(ctx, f.At.D()+f.Duration.D()-r.now()) {
		for _, call := range undo {
			call()
		}
	}
}

// injectAtNode injects a fault at one node. It returns a function that undoes it, or nil.
func (r *rehearsal) injectAtNode(ctx context.Context, f Fault, i int) (undo func()) {
	target, id := r.nodes[i], judge.NodeID(i)
	switch f.Kind {
	case faultHang:
		target.Hang()
		return target.Recover
	case faultSlow:
		target.SetSlowdown(f.Factor)
		return func() { target.SetSlowdown(1) }
	case faultStall:
		target.Stall(f.Duration.D())
	case faultKill:
		target.Kill()
		r.list.Update(id, list.Gone, "", time.Time{})
		return func() { r.relist(i, target.Start(false)) }
	case faultRestart:
		target.Kill()
		r.relist(i, target.Start(false))
	case faultVanish:
		if err := target.Vanish(); err != nil {
			r.addRunError("node %d could not be made to vanish: %v", i, err)
		}
		return func() { r.relist(i, target.Restore()) }
	case faultHalfOpen:
		target.HalfOpen(f.Share)
	case faultDrain:
		r.list.Update(id, list.Draining, "", time.Time{})
		r.faultsRunning.Go(func() {
			target.Drain(ctx, f.Duration.D(), f.AtOnce)
			if ctx.Err() == nil {
				target.Kill()
				r.list.Update(id, list.Gone, "", time.Time{})
			}
		})
	}
	return nil
}

// injectAtProxy injects a fault at one proxy. It returns a function that undoes it, or nil.
func (r *rehearsal) injectAtProxy(ctx context.Context, f Fault, i int) (undo func()) {
	restart := func() { r.restartProxy(i) }
	switch f.Kind {
	case faultProxyKill:
		r.judge.ProxyDied(judge.ProxyID(i))
		r.processes[i].kill()
		return restart
	case faultProxyLeave:
		r.stopProxy(ctx, i)
		return restart
	case faultProxyReload:
		r.reloadProxy(i, false)
	}
	return nil
}

// injectAtPlatform injects a fault that concerns discovery, clients or all proxies. It returns a function that undoes it,
// or nil.
func (r *rehearsal) injectAtPlatform(ctx context.Context, f Fault) (undo func()) {
	switch f.Kind {
	case faultAdd:
		r.addNodes(f.Count)
	case faultListLate:
		r.list.SetDelay(f.ListDelay.D())
		return func() { r.list.SetDelay(r.scenario.Platform.ListLate.D()) }
	case faultListDown:
		r.list.SetDown(true)
		return func() { r.list.SetDown(false) }
	case faultListCut:
		r.list.SetReset(true)
		return func() { r.list.SetReset(false) }
	case faultListStale:
		r.list.SetStale(true)
		return func() { r.list.SetStale(false) }
	case faultListMoved:
		for i := range r.processes {
			r.reloadProxy(i, true)
		}
	case faultClientsDrop:
		r.clients.DisconnectShare(f.Share)
	case faultBadClients, faultSilentClients:
		r.badClients.send(ctx, r, f)
	case faultRollingRestart:
		r.rollingRestart(ctx)
	}
	return nil
}

// rollingRestart restarts all proxies in turn, with a pause of two detection delays between them.
func (r *rehearsal) rollingRestart(ctx context.Context) {
	for i := range r.processes {
		r.stopProxy(ctx, i)
		if ctx.Err() != nil {
			return
		}
		r.restartProxy(i)
		if !r.sleep(ctx, 2*r.front.DetectionDelay()) {
			return
		}
	}
}

// relist publishes a node that was started again as ready, with its address and start time. err is the error of its start.
func (r *rehearsal) relist(i int, err error) {
	if err != nil {
		r.addRunError("node %d could not be restarted: %v", i, err)
		return
	}
	n := r.nodes[i]
	r.list.Update(judge.NodeID(i), list.Ready, n.Address, time.Unix(0, r.startedAt.Load()).Add(n.StartedAt()))
}

// addNodes starts the next spare nodes, cold.
func (r *rehearsal) addNodes(count int) {
	r.mu.Lock()
	from := r.scenario.Platform.Nodes + r.addedNodes
	r.addedNodes += count
	r.mu.Unlock()
	for i := from; i < min(from+count, len(r.nodes)); i++ {
		r.relist(i, r.nodes[i].Start(false))
	}
}
