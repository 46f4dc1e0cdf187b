package main

import (
	"bufio"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/faultinject"
)

// TestMovesUnderFaults guards against lines that are lost because reads fail while the proxy moves their session.
func TestMovesUnderFaults(t *testing.T) {
	const (
		sessions     = 12
		outageFrom   = 4 * time.Second // since the process's start
		outageLength = 200 * time.Millisecond
		linesAt      = outageFrom + outageLength/10
		leaveAt      = outageFrom + outageLength/2 - dialTimeout/2 // the first session is moved in the middle of the outage
	)
	for name, errno := range map[string]unix.Errno{"interrupted": unix.EINTR, "not ready": unix.EAGAIN, "no memory": unix.ENOMEM,
		"in parts": faultinject.Partial} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			p := startScriptedUnderFaults(t, &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{{Call: unix.SYS_READ,
				Target: faultinject.Socket, Errno: errno, Every: 1, From: outageFrom, To: outageFrom + outageLength}}})
			conns := p.requestSessions(sessions, dialTimeout)
			clients := make([]*bufio.Reader, sessions)
			for i, conn := range conns {
				conn.SetReadDeadline(began.Add(platformTimeout))
				clients[i] = bufio.NewReader(conn)
				if answer, err := clients[i].ReadString('\n'); answer != "UP one\r\n" {
					t.Fatalf("a session is answered %q, %v", answer, err)
				}
			}
			if passed := time.Since(began); passed > leaveAt {
				t.Fatalf("the sessions are open after %v, want %v at most", passed, leaveAt)
			}
			time.Sleep(time.Until(began.Add(leaveAt)))
			p.proxy.cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(time.Until(began.Add(linesAt)))
			p.mu.Lock()
			for _, conn := range p.accepted {
				fmt.Fprint(conn, "M 1\r\nM 2\r\n")
			}
			p.mu.Unlock()
			for _, client := range clients {
				if got, err := io.ReadAll(client); string(got) != "M 1\r\nM 2\r\nMOVE\r\n" {
					t.Errorf("a client gets %q, %v", got, err)
				}
			}
			if failures := p.proxy.controller.Failures(); len(failures) == 0 {
				t.Error("no call has failed")
			}
		})
	}
}
