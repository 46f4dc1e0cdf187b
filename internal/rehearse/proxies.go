package rehearse

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"chalkferry/internal/standin/judge"
)

// Times of a planned restart, as on the platform.
const (
	arrivalsAfterTerm    = 300 * time.Millisecond  // for which connections still arrive after SIGTERM
	maxDialTimeoutWaited = 3 * time.Second         // bounds the dial timeout that is waited for before SIGKILL
	killAfter            = 700 * time.Millisecond  // further wait between the longest dial timeout and SIGKILL
	endpointLinger       = 1500 * time.Millisecond // for which discovery still answers at an address that it has left
)

// stopProxy stops a proxy as the platform does at a planned restart: it sends SIGTERM, lets connections still arrive for a
// short time, and sends SIGKILL after the longest dial timeout and killAfter.
func (r *rehearsal) stopProxy(ctx context.Context, i int) {
	p, id := r.processes[i], judge.ProxyID(i)
	r.judge.ProxyLeaving(id)
	p.signal(syscall.SIGTERM, true)
	r.sleep(ctx, arrivalsAfterTerm)
	r.front.SetLeaving(id, true)
	var dialTimeout time.Duration
	for _, l := range r.scenario.Listeners {
		dialTimeout = max(dialTimeout, l.DialTimeout.D())
	}
	untilKill, cancel := context.WithTimeout(ctx, min(dialTimeout, maxDialTimeoutWaited)+killAfter)
	defer cancel()
	p.waitExit(untilKill)
	if ctx.Err() != nil { // the run is over; close kills the proxy
		return
	}
	if r.scenario.Proxies.PassThrough { // its sessions are resumed through other proxies
		r.judge.ProxyDied(id)
		p.kill()
		return
	}
	p.kill()
	r.sleep(ctx, 2*leeway) // sessions that it still held are lost; the judge must see that before ProxyDied excuses them
	r.judge.Check(r.now())
	r.judge.ProxyDied(id)
}

// restartProxy starts a proxy again, with the current list in its configuration.
func (r *rehearsal) restartProxy(i int) {
	p := r.processes[i]
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.kill()
	p.config.Known = r.list.Snapshot()
	r.judge.ProxyStarted(r.now(), judge.ProxyID(i))
	r.front.SetLeaving(judge.ProxyID(i), false)
	if err := p.start(); err != nil {
		r.addRunError("proxy %d could not be restarted: %v", i, err)
	}
}

// reloadProxy replaces a proxy's configuration and sends it SIGHUP. discoveryMoved moves its discovery endpoint to another
// address first.
func (r *rehearsal) reloadProxy(i int, discoveryMoved bool) {
	p := r.processes[i]
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	if discoveryMoved {
		next, err := r.list.OpenEndpoint(p.id, "127.0.0.1:0")
		if err != nil {
			r.addRunError("discovery could not be moved for proxy %d: %v", i, err)
			return
		}
		previous := p.endpoint
		p.endpoint = next
		p.config.Discovery = next.Address
		defer previous.Close(endpointLinger)
	}
	p.config.Known = r.list.Snapshot()
	if _, err := p.writeConfig(); err != nil {
		r.addRunError("proxy %d's configuration: %v", i, err)
		return
	}
	p.hangUp()
}

// stopAllProxies sends SIGTERM to all proxies and waits for their end, for maxStartTime at most.
func (r *rehearsal) stopAllProxies() {
	ctx, cancel := context.WithTimeout(context.Background(), maxStartTime)
	defer cancel()
	for _, p := range r.processes {
		p.signal(syscall.SIGTERM, true)
	}
	for _, p := range r.processes {
		p.waitExit(ctx)
	}
}

// keepLogs copies the proxies' logs to a folder. It returns the texts of errors.
func (r *rehearsal) keepLogs(folder string) (errorTexts []string) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return []string{err.Error()}
	}
	for i, p := range r.processes {
		text, err := os.ReadFile(p.logFile())
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, proxyName(judge.ProxyID(i))+".log"), text, 0o644)
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			errorTexts = append(errorTexts, err.Error())
		}
	}
	return errorTexts
}
