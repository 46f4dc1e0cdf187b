package rehearse

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"chalkferry/internal/standin/judge"
)

// Times of a planned restart, as the platform has them.
const (
	arrivalsAfterTerm    = 300 * time.Millisecond // in which connections still arrive after SIGTERM
	maxDialTimeoutWaited = 3 * time.Second
	killAfter            = 700 * time.Millisecond // SIGKILL comes no sooner than this after the longest dial timeout
	endpointLinger       = 1500 * time.Millisecond
)

// stopProxy ends a proxy as the platform does at a planned restart: SIGTERM while connections still arrive for a moment,
// and SIGKILL no sooner than the longest dial timeout and killAfter.
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
	if ctx.Err() != nil { // the run is over; the proxy may go on leaving
		return
	}
	if r.scenario.Proxies.PassThrough { // its sessions continue by another
		r.judge.ProxyDied(id)
		p.kill()
		return
	}
	p.kill()
	r.sleep(ctx, 2*leeway) // its sessions are lost, so it is not dead to the judge before that was seen
	r.judge.Check(r.now())
	r.judge.ProxyDied(id)
}

// restartProxy starts a proxy again with the list as it is now.
func (r *rehearsal) restartProxy(i int) {
	p := r.processes[i]
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	p.kill()
	p.config.Known = r.list.Snapshot()
	r.judge.ProxyStarted(r.now(), judge.ProxyID(i))
	r.front.SetLeaving(judge.ProxyID(i), false)
	if err := p.start(); err != nil {
		r.addRunError("proxy %d does not start again: %v", i, err)
	}
}

// reloadProxy replaces a proxy's configuration and sends it SIGHUP; discoveryMoved gives discovery another address.
func (r *rehearsal) reloadProxy(i int, discoveryMoved bool) {
	p := r.processes[i]
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	if discoveryMoved {
		next, err := r.list.OpenEndpoint(p.id, "127.0.0.1:0")
		if err != nil {
			r.addRunError("discovery can't move for proxy %d: %v", i, err)
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
	p.signal(syscall.SIGHUP, false)
}

// stopAllProxies has all proxies leave, and waits for them.
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

// keepLogs copies the proxies' logs to a folder.
func (r *rehearsal) keepLogs(folder string) (errorTexts []string) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return []string{err.Error()}
	}
	for i, p := range r.processes {
		text, err := os.ReadFile(p.logFile())
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, fmt.Sprintf("n%d.log", i)), text, 0o644)
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			errorTexts = append(errorTexts, err.Error())
		}
	}
	return errorTexts
}
