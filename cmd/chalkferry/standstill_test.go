package main

import (
	"flag"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

var standstillLength = flag.Duration("standstill.length", 3500*time.Millisecond, "how long the proxies of TestStandstill are stopped")

// stop stops the proxy with SIGSTOP for a time, like a machine that gives it no CPU time, and calls meanwhile once it is
// stopped.
func (p *scriptedPlatform) stop(length time.Duration, meanwhile func()) {
	start := time.Now()
	p.proxy.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond) // until all threads have stopped
	meanwhile()
	time.Sleep(time.Until(start.Add(length)))
	p.proxy.cmd.Process.Signal(syscall.SIGCONT)
}

// Sizes and times of TestStandstill.
const (
	stoppedClients   = 40                     // clients that connect while the proxy is stopped
	dialTimeout      = 800 * time.Millisecond // as in the configuration
	killMargin       = 700 * time.Millisecond // a supervisor kills the process this long and the dial timeout after SIGTERM
	settleTime       = time.Second            // within which the proxy works off what happened during the stop
	largeListServers = 3000
)

// TestStandstill guards against a proxy that got no CPU time for seconds and then acts on what is outdated: it must not dial
// for clients that have left, run a session twice, or use servers that the list has withdrawn, and it must answer every
// client that still waits.
func TestStandstill(t *testing.T) {
	t.Run("no attempt for clients that have left", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		before := len(p.sessionsAt("one"))
		p.stop(*standstillLength, func() {
			for _, conn := range p.requestSessions(stoppedClients, dialTimeout) {
				conn.Close()
			}
		})
		time.Sleep(settleTime)
		if after := len(p.sessionsAt("one")); after != before {
			t.Errorf("%d dials for clients that have left", after-before)
		}
	})
	t.Run("no further attempt for clients that have left", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		p.silence("one")
		conns := p.requestSessions(stoppedClients/4, dialTimeout)
		time.Sleep(100 * time.Millisecond) // until the server has the sessions
		p.addServer("two")
		p.stop(*standstillLength, func() {
			for _, conn := range conns {
				conn.Close()
			}
		})
		time.Sleep(settleTime)
		if sessions := p.sessionsAt("two"); len(sessions) > 0 {
			t.Errorf("%d more dials for clients that have left", len(sessions))
		}
	})
	t.Run("an answer for each client that waits", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		conns := p.requestSessions(0, 0)
		p.stop(*standstillLength, func() { conns = p.requestSessions(stoppedClients, dialTimeout) })
		if counts := countAnswers(conns, settleTime); counts[""] > 0 {
			t.Errorf("clients without an answer; answers: %v", counts)
		}
	})
	t.Run("no effect twice", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t, `"read_like"`, `"non_idempotent"`)
		p.silence("one")
		conns := p.requestSessions(stoppedClients/4, dialTimeout)
		time.Sleep(100 * time.Millisecond) // until the server has the sessions
		p.addServer("two")
		p.stop(*standstillLength, func() {})
		if counts := countAnswers(conns, settleTime); counts["ERR"] != len(conns) || len(p.sessionsAt("two")) > 0 {
			t.Errorf("answers %v, want only ERR; %d sessions sent to the second server", counts, len(p.sessionsAt("two")))
		}
	})
	t.Run("a drain is kept", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		address := p.addServer("one")
		p.addServer("two")
		p.listLarge()
		before := len(p.sessionsAt("one"))
		p.stop(*standstillLength, func() {
			p.setMember("one", address, "draining")
			p.requestSessions(stoppedClients, *standstillLength+settleTime)
		})
		time.Sleep(settleTime)
		if after := len(p.sessionsAt("one")); after != before {
			t.Errorf("%d sessions sent to a server that had been draining for %v", after-before, *standstillLength)
		}
	})
	t.Run("a server that was started anew", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		p.listLarge()
		before := len(p.sessionsAt("one"))
		p.stop(*standstillLength, func() {
			p.setMember("one", "127.0.0.9:9", "ready")
			p.requestSessions(stoppedClients, *standstillLength+settleTime)
		})
		time.Sleep(settleTime)
		if after := len(p.sessionsAt("one")); after != before {
			t.Errorf("%d sessions sent to an address that the list had replaced %v before", after-before, *standstillLength)
		}
	})
	t.Run("SIGTERM", func(t *testing.T) {
		for _, length := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1300 * time.Millisecond} {
			t.Run(length.String(), func(t *testing.T) {
				t.Parallel()
				p := startScripted(t)
				conns := p.requestSessions(stoppedClients/2, dialTimeout)
				established := countAnswers(conns, settleTime)["UP"]
				var signaled time.Time
				var waiting []net.Conn
				p.stop(length, func() {
					signaled = time.Now()
					p.proxy.cmd.Process.Signal(syscall.SIGTERM)
					waiting = p.requestSessions(stoppedClients/2, dialTimeout)
				})
				kill := time.AfterFunc(time.Until(signaled.Add(dialTimeout+killMargin)), func() { p.proxy.cmd.Process.Kill() })
				defer kill.Stop()
				if counts := countLastLines(conns, 2*time.Second); counts["MOVE"] != established || established == 0 {
					t.Errorf("%d open sessions, last lines %v; want a MOVE for each", established, counts)
				}
				if counts := countLastLines(waiting, time.Second); counts[""] > 0 || counts["UP"] > 0 {
					t.Errorf("new sessions: last lines %v; want an answer for each, and no UP", counts)
				}
			})
		}
	})
}

// listLarge adds thousands of draining servers to the list, so that reading the list takes some time.
func (p *scriptedPlatform) listLarge() {
	p.mu.Lock()
	for i := range largeListServers {
		id := fmt.Sprintf("draining-%d", i)
		p.members[id] = fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.9:%d","locality":"a","phase":"draining","size":1}`, id, i+1)
	}
	p.mu.Unlock()
	p.addServer("three")
	time.Sleep(settleTime) // until the proxy has the list
}
