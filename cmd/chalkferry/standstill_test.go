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

// stop stops the proxy, as a machine does that gives it no processor, and has something happen meanwhile.
func (p *scriptedPlatform) stop(length time.Duration, meanwhile func()) {
	began := time.Now()
	p.proxy.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond) // until all its threads have stopped
	meanwhile()
	time.Sleep(time.Until(began.Add(length)))
	p.proxy.cmd.Process.Signal(syscall.SIGCONT)
}

// Of the tests of a proxy that was stopped.
const (
	stoppedClients   = 40
	dialTimeout      = 800 * time.Millisecond // as the configuration has it
	killMargin       = 700 * time.Millisecond // the kill follows SIGTERM after that and the dial timeout
	settleTime       = time.Second
	largeListServers = 3000
)

// TestStandstill guards against a proxy that breaks a rule by what came while its process got no processor.
func TestStandstill(t *testing.T) {
	t.Run("no attempt for clients that have left", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		before := len(p.sessionsAt("one"))
		p.stop(*standstillLength, func() {
			for _, conn := range p.askForSessions(stoppedClients, dialTimeout) {
				conn.Close()
			}
		})
		time.Sleep(settleTime)
		if after := len(p.sessionsAt("one")); after != before {
			t.Errorf("%d attempts", after-before)
		}
	})
	t.Run("no further attempt for clients that have left", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		p.silence("one")
		conns := p.askForSessions(stoppedClients/4, dialTimeout)
		time.Sleep(100 * time.Millisecond) // they are at the server
		p.addServer("two")
		p.stop(*standstillLength, func() {
			for _, conn := range conns {
				conn.Close()
			}
		})
		time.Sleep(settleTime)
		if sessions := p.sessionsAt("two"); len(sessions) > 0 {
			t.Errorf("%d further attempts", len(sessions))
		}
	})
	t.Run("an answer for each client that waits", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		conns := p.askForSessions(0, 0)
		p.stop(*standstillLength, func() { conns = p.askForSessions(stoppedClients, dialTimeout) })
		if counts := answers(conns, settleTime); counts[""] > 0 {
			t.Errorf("%v", counts)
		}
	})
	t.Run("no effect twice", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t, `"read_like"`, `"non_idempotent"`)
		p.silence("one")
		conns := p.askForSessions(stoppedClients/4, dialTimeout)
		time.Sleep(100 * time.Millisecond) // they are at the server
		p.addServer("two")
		p.stop(*standstillLength, func() {})
		if counts := answers(conns, settleTime); counts["ERR"] != len(conns) || len(p.sessionsAt("two")) > 0 {
			t.Errorf("%v, %d sessions again", counts, len(p.sessionsAt("two")))
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
			p.askForSessions(stoppedClients, *standstillLength+settleTime)
		})
		time.Sleep(settleTime)
		if after := len(p.sessionsAt("one")); after != before {
			t.Errorf("%d sessions at a server that has drained for %v", after-before, *standstillLength)
		}
	})
	t.Run("a server that was started anew", func(t *testing.T) {
		t.Parallel()
		p := startScripted(t)
		p.listLarge()
		before := len(p.sessionsAt("one"))
		p.stop(*standstillLength, func() {
			p.setMember("one", "127.0.0.9:9", "ready")
			p.askForSessions(stoppedClients, *standstillLength+settleTime)
		})
		time.Sleep(settleTime)
		if after := len(p.sessionsAt("one")); after != before {
			t.Errorf("%d sessions at an address that was given up %v before", after-before, *standstillLength)
		}
	})
	t.Run("SIGTERM", func(t *testing.T) {
		for _, length := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1300 * time.Millisecond} {
			t.Run(length.String(), func(t *testing.T) {
				t.Parallel()
				p := startScripted(t)
				conns := p.askForSessions(stoppedClients/2, dialTimeout)
				established := answers(conns, settleTime)["UP"]
				var signaled time.Time
				var waiting []net.Conn
				p.stop(length, func() {
					signaled = time.Now()
					p.proxy.cmd.Process.Signal(syscall.SIGTERM)
					waiting = p.askForSessions(stoppedClients/2, dialTimeout)
				})
				kill := time.AfterFunc(time.Until(signaled.Add(dialTimeout+killMargin)), func() { p.proxy.cmd.Process.Kill() })
				defer kill.Stop()
				if counts := lastWords(conns, 2*time.Second); counts["MOVE"] != established || established == 0 {
					t.Errorf("%d open sessions, %v", established, counts)
				}
				if counts := lastWords(waiting, time.Second); counts[""] > 0 || counts["UP"] > 0 {
					t.Errorf("new sessions: %v", counts)
				}
			})
		}
	})
}

// listLarge lists thousands of draining servers, so that a list takes some time to read.
func (p *scriptedPlatform) listLarge() {
	p.mu.Lock()
	for i := range largeListServers {
		id := fmt.Sprintf("draining-%d", i)
		p.members[id] = fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.9:%d","locality":"a","phase":"draining","size":1}`, id, i+1)
	}
	p.mu.Unlock()
	p.addServer("three")
	time.Sleep(settleTime) // until it is known
}
