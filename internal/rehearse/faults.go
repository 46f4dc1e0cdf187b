package rehearse

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"chalkferry/internal/standin/judge"
)

// timeline brings about the faults, each in its own time; several may overlap, also on one node.
func (n *rehearsal) startFaults(ctx context.Context) {
	for _, f := range n.scenario.Faults {
		n.faultsRunning.Go(func() {
			if n.sleep(ctx, f.At.D()-n.now()) {
				n.inject(ctx, f)
			}
		})
	}
}

// sleep waits; it tells whether the time passed before the night's end.
func (n *rehearsal) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(max(d, 0)):
		return true
	case <-ctx.Done():
		return false
	}
}

// bring brings one fault about, and ends it after its time.
func (n *rehearsal) inject(ctx context.Context, f Fault) {
	var undo []func()
	end := func(call func()) { undo = append(undo, call) }
	for _, i := range f.Nodes {
		each, id := n.nodes[i], judge.NodeID(i)
		switch f.Kind {
		case "hang":
			each.Hang()
			end(each.Recover)
		case "slow":
			each.SetSlowdown(f.Factor)
			end(func() { each.SetSlowdown(1) })
		case "stall":
			each.Stall(f.For.D())
		case "kill":
			each.Kill()
			n.list.Update(id, "gone", "", time.Time{})
			end(func() { n.listAgain(i, each.Start(false)) })
		case "restart":
			each.Kill()
			n.listAgain(i, each.Start(false))
		case "vanish":
			if err := each.Vanish(); err != nil {
				n.addTrouble("node %d can't vanish: %v", i, err)
			}
			end(func() { n.listAgain(i, each.Return()) })
		case "half-open":
			each.HalfOpen(f.Share)
		case "drain":
			n.list.Update(id, "draining", "", time.Time{})
			n.faultsRunning.Go(func() {
				each.Drain(ctx, f.For.D(), f.AtOnce)
				if ctx.Err() == nil {
					each.Kill()
					n.list.Update(id, "gone", "", time.Time{})
				}
			})
		}
	}
	for _, i := range f.Proxies {
		switch f.Kind {
		case "proxy-kill":
			n.judge.ProxyDied(judge.ProxyID(i))
			n.processes[i].kill()
			if f.For > 0 {
				end(func() { n.restartProxy(i) })
			}
		case "proxy-leave":
			n.stopProxy(ctx, i)
			if f.For > 0 {
				end(func() { n.restartProxy(i) })
			}
		case "proxy-reload":
			n.reloadProxy(i, false)
		}
	}
	switch f.Kind {
	case "add":
		n.addNodes(f.Count)
	case "list-late":
		n.list.SetDelay(f.By.D())
		end(func() { n.list.SetDelay(n.scenario.Platform.ListLate.D()) })
	case "list-down":
		n.list.SetDown(true)
		end(func() { n.list.SetDown(false) })
	case "list-cut":
		n.list.SetReset(true)
		end(func() { n.list.SetReset(false) })
	case "list-stale":
		n.list.SetStale(true)
		end(func() { n.list.SetStale(false) })
	case "list-moved":
		for i := range n.processes {
			n.reloadProxy(i, true)
		}
	case "clients-drop":
		n.clients.Drop(f.Share)
	case "bad-clients", "silent-clients":
		n.badClients.run(ctx, n, f)
	case "rolling-restart":
		for i := range n.processes {
			n.stopProxy(ctx, i)
			if ctx.Err() != nil {
				return
			}
			n.restartProxy(i)
			if !n.sleep(ctx, 2*n.front.DetectionDelay()) {
				return
			}
		}
	}
	if len(undo) > 0 && f.For > 0 && n.sleep(ctx, f.At.D()+f.For.D()-n.now()) {
		for _, call := range undo {
			call()
		}
	}
}

// back lists a node that has started again, at whatever address it has.
func (n *rehearsal) listAgain(i int, err error) {
	if err != nil {
		n.addTrouble("node %d does not start again: %v", i, err)
		return
	}
	each := n.nodes[i]
	n.list.Update(judge.NodeID(i), "ready", each.Address, time.Unix(0, n.start.Load()).Add(each.StartedAt()))
}

// add switches spare nodes on, cold.
func (n *rehearsal) addNodes(count int) {
	n.mu.Lock()
	from := n.scenario.Platform.Nodes + n.spareNodesAdded
	n.spareNodesAdded += count
	n.mu.Unlock()
	for i := from; i < min(from+count, len(n.nodes)); i++ {
		n.listAgain(i, n.nodes[i].Start(false))
	}
}

// leave ends a proxy as the platform does at a planned restart: SIGTERM while connections still come for a moment,
// and SIGKILL no sooner than the longest dial timeout and 0.7 s after.
func (n *rehearsal) stopProxy(ctx context.Context, i int) {
	p := n.processes[i]
	n.judge.ProxyLeaving(judge.ProxyID(i))
	p.signal(syscall.SIGTERM, true)
	n.sleep(ctx, 300*time.Millisecond)
	n.front.SetLeaving(judge.ProxyID(i), true)
	var patience time.Duration
	for _, l := range n.scenario.Listeners {
		patience = max(patience, l.DialTimeout.D())
	}
	within, cancel := context.WithTimeout(ctx, min(patience, 3*time.Second)+700*time.Millisecond)
	defer cancel()
	p.waitExit(within)
	if ctx.Err() != nil { // the night is over; it may go on leaving
		return
	}
	if n.scenario.Proxies.Passes { // what it holds goes on by another
		n.judge.ProxyDied(judge.ProxyID(i))
		p.kill()
		return
	}
	p.kill()
	n.sleep(ctx, 2*leeway) // what it held is lost, so it is not dead to the judge before that was seen
	n.judge.Check(n.now())
	n.judge.ProxyDied(judge.ProxyID(i))
}

// restart starts a proxy again with the list as it is now.
func (n *rehearsal) restartProxy(i int) {
	p := n.processes[i]
	p.kill()
	p.config["known"] = n.list.Snapshot()
	n.judge.ProxyStarted(n.now(), judge.ProxyID(i))
	n.front.SetLeaving(judge.ProxyID(i), false)
	if err := p.start(); err != nil {
		n.addTrouble("proxy %d does not start again: %v", i, err)
	}
}

// reload replaces a proxy's configuration and sends it SIGHUP; moved gives discovery another address.
func (n *rehearsal) reloadProxy(i int, moved bool) {
	p := n.processes[i]
	if moved {
		door, err := n.list.OpenEndpoint(p.id, "127.0.0.1:0")
		if err != nil {
			n.addTrouble("discovery can't move for proxy %d: %v", i, err)
			return
		}
		was := p.endpoint
		p.endpoint = door
		p.config["discovery"] = door.Address
		defer was.Close(1500 * time.Millisecond)
	}
	p.config["known"] = n.list.Snapshot()
	if _, err := p.writeConfig(); err != nil {
		n.addTrouble("proxy %d's configuration: %v", i, err)
		return
	}
	p.signal(syscall.SIGHUP, false)
}

// badClients counts what clients in bad faith were given.
type badClients struct {
	sent, answered, closed, unanswered, failed atomic.Int64
}

// owed is how long a bad client may be left with neither an error nor a close.
const badClientTimeout = 3 * time.Second

// nonsense is what bad clients send.
func invalidInput(rng *rand.Rand, listener string) []byte {
	choices := [][]byte{
		[]byte("HELLO\r\n"),
		[]byte("OPEN\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",d=-5\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",d=99999999999999999999\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",d=soon\r\n"),
		[]byte("OPEN 1 2 c=nothing,d=500\r\n"),
		[]byte("OPEN  2 c=" + listener + ",d=500\r\n"),
		[]byte("OPEN 1 2 c=" + listener + ",c=" + listener + ",d=500\r\n"),
		[]byte("OPEN 1 2 c=" + listener),
		bytes.Repeat([]byte("A"), 1<<16),
		bytes.Repeat([]byte("PING\r\n"), 300),
		{0, 1, 2, 3, 0xff, 0xfe, '\r', '\n'},
		[]byte("OPEN 1 2 c=" + listener + ",d=500\r\nM 1\r\nM 2\r\n"),
	}
	return choices[rng.Intn(len(choices))]
}

// run sends a number of bad clients over the fault's time: such that send nonsense, or such that say nothing.
func (b *badClients) run(ctx context.Context, n *rehearsal, f Fault) {
	rng := rand.New(rand.NewSource(n.scenario.Seed + int64(f.At)))
	over := max(f.For.D(), time.Second)
	gaps := make([]time.Duration, f.Count)
	for i := range gaps {
		gaps[i] = time.Duration(rng.Float64() * float64(over))
	}
	slices.Sort(gaps)
	began := n.now()
	for i, gap := range gaps {
		if !n.sleep(ctx, began+gap-n.now()) {
			return
		}
		address := n.processes[i%len(n.processes)].address
		if f.Kind == "silent-clients" {
			n.faultsRunning.Go(func() { b.runOne(ctx, address, nil) })
		} else {
			text := invalidInput(rng, n.scenario.Listeners[0].Name)
			n.faultsRunning.Go(func() { b.runOne(ctx, address, text) })
		}
	}
}

// one is a bad client; it reads what it is sent.
func (b *badClients) runOne(ctx context.Context, address string, text []byte) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		b.failed.Add(1)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	b.sent.Add(1)
	conn.SetDeadline(time.Now().Add(badClientTimeout))
	conn.Write(text) // it may be closed on already
	got := make([]byte, 64)
	for heard := 0; ; {
		k, err := conn.Read(got)
		heard += k
		if bytes.Contains(got[:k], []byte("ERR")) || bytes.Contains(got[:k], []byte("BUSY")) {
			b.answered.Add(1)
			return
		}
		if err == nil {
			continue
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			if ctx.Err() == nil {
				b.unanswered.Add(1)
			}
		} else {
			b.closed.Add(1)
		}
		return
	}
}

func (f Fault) String() string {
	text := fmt.Sprintf("%v: %s", f.At, f.Kind)
	if len(f.Nodes) > 0 {
		text += fmt.Sprintf(" of nodes %v", f.Nodes)
	}
	if len(f.Proxies) > 0 {
		text += fmt.Sprintf(" of proxies %v", f.Proxies)
	}
	if f.For > 0 {
		text += fmt.Sprintf(" for %v", f.For)
	}
	return text
}
