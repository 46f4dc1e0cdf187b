package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/faultinject"
)

// proxyProcess is a proxy with one server that runs as a child process of this test's own program (see TestMain).
type proxyProcess struct {
	*testing.T
	cmd    *exec.Cmd
	file   string     // path of the configuration
	listen string     // address for clients
	ended  chan error // receives the result of Wait when the process ends

	controller *faultinject.Controller // nil without a fault plan

	replace *strings.Replacer // applied to the text of the configuration
}

// startProxyProcess starts a proxy. Its log goes to output, or is dropped if that is nil. plan makes system calls of the proxy
// fail; nil for none. replace holds pairs of an old and a new text for the configuration.
func startProxyProcess(t *testing.T, output *os.File, plan *faultinject.Plan, replace ...string) *proxyProcess {
	t.Helper()
	s := &proxyProcess{T: t, listen: uniqueAddress(t), file: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1),
		replace: strings.NewReplacer(replace...)}
	s.configure(startPlatform(t))
	s.cmd = exec.Command(os.Args[0], "serve", s.file)
	s.cmd.Stdout, s.cmd.Stderr = output, os.Stderr
	if output != nil {
		s.cmd.Stderr = output // supervisors often use one pipe for both
	}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// The race detector delays the exit of a process by 1 s, which the limits of these tests do not allow for.
	s.cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	if plan != nil {
		controller, err := faultinject.New(*plan)
		if err != nil {
			t.Fatal(err)
		}
		s.controller = controller
		t.Cleanup(controller.Close)
		s.cmd.Env = append(s.cmd.Env, faultinject.ControllerVariable+"="+controller.Environment())
	}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { s.ended <- s.cmd.Wait() }()
	t.Cleanup(func() { s.cmd.Process.Kill() })
	return s
}

// addressCount counts the results of uniqueAddress, and sessionCount those of openLine. Both make them unique.
var addressCount, sessionCount atomic.Int64

// uniqueAddress returns an address that no other socket takes: each call in each process uses a loopback address of its own.
func uniqueAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 200+os.Getpid()>>8&31, os.Getpid()&255, 1+addressCount.Add(1)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configure writes the configuration with the address of a discovery service. A running proxy reads it at SIGHUP.
func (s *proxyProcess) configure(discovery string) {
	s.Helper()
	text := s.replace.Replace(fmt.Sprintf(configuration, s.listen, discovery))
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
}

// ask connects as a client, sends one line and returns the line that is answered, "" for none within the timeout.
func (s *proxyProcess) ask(line string, timeout time.Duration) (answer string) {
	conn, err := net.DialTimeout("tcp", s.listen, timeout)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprint(conn, line)
	answer, _ = bufio.NewReader(conn).ReadString('\n')
	return answer
}

// waitReady waits until the proxy answers PING.
func (s *proxyProcess) waitReady(timeout time.Duration) {
	s.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s.ask("PING\r\n", time.Second) == "PONG\r\n" {
			return
		}
	}
	s.Fatalf("the proxy does not answer PING after %v", timeout)
}

// waitSessionAccepted waits until a session is accepted, which shows that the proxy has the list of servers.
func (s *proxyProcess) waitSessionAccepted(timeout time.Duration) {
	s.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if strings.HasPrefix(s.ask(openLine(), time.Second), "UP ") {
			return
		}
	}
	s.Fatalf("no session is accepted after %v", timeout)
}

// openLine returns the line that requests a session, with a new id and a dial timeout of 800 ms.
func openLine() string {
	return fmt.Sprintf("OPEN %016x 0000000000000002 c=chat,d=800\r\n", sessionCount.Add(1))
}

// TestProcessFaults guards against a proxy that hangs or exits for a cause outside its sockets: series of signals, a log that
// nobody reads or whose reader is gone, a configuration that temporarily can't be opened, and system calls that fail
// during the start.
func TestProcessFaults(t *testing.T) {
	t.Run("a series of SIGHUP, then SIGTERM", func(t *testing.T) {
		var proxies []*proxyProcess
		for range 6 {
			s := startProxyProcess(t, nil, nil)
			s.waitReady(10 * time.Second)
			proxies = append(proxies, s)
		}
		for _, s := range proxies {
			for range 400 {
				s.cmd.Process.Signal(syscall.SIGHUP)
			}
			s.cmd.Process.Signal(syscall.SIGTERM)
		}
		// A supervisor kills the process 700 ms and the configuration's dial timeout after SIGTERM.
		const killAfter = 800*time.Millisecond + 700*time.Millisecond
		limit := time.After(killAfter)
		for i, s := range proxies {
			select {
			case <-s.ended:
			case <-limit:
				t.Fatalf("proxy %d still runs %v after SIGTERM", i, killAfter)
			}
		}
	})
	t.Run("a log whose reader has gone", func(t *testing.T) {
		reader, writer := pipe(t)
		s := startProxyProcess(t, writer, nil)
		writer.Close()
		s.waitSessionAccepted(10 * time.Second)
		reader.Close()
		for range 20 {
			if answer := s.ask(openLine(), 2*time.Second); !strings.HasPrefix(answer, "UP ") {
				t.Fatalf("a session is answered %q", answer)
			}
		}
		select {
		case err := <-s.ended:
			t.Fatalf("the proxy exits with %v", err)
		default:
		}
	})
	t.Run("a log that is not read", func(t *testing.T) {
		_, writer := pipe(t)
		s := startProxyProcess(t, writer, nil)
		writer.Close()
		s.waitSessionAccepted(10 * time.Second)
		for i := range 1000 { // each logs two lines, together more than the 64 KiB that a pipe holds
			if answer := s.ask(openLine(), 2*time.Second); !strings.HasPrefix(answer, "UP ") {
				t.Fatalf("session %d is answered %q", i, answer)
			}
		}
		s.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-s.ended:
		case <-time.After(3 * time.Second):
			t.Fatal("the proxy still runs 3 s after SIGTERM")
		}
	})
	t.Run("a configuration that can't be opened for a moment", func(t *testing.T) {
		plan := &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{{Call: unix.SYS_OPENAT, Target: faultinject.OpenedConfig,
			Errno: unix.EIO, Every: 1, From: time.Second, Max: 3}}}
		s := startProxyProcess(t, nil, plan)
		s.waitReady(10 * time.Second)
		newDiscovery, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer newDiscovery.Close()
		s.configure(newDiscovery.Addr().String())
		time.Sleep(1500 * time.Millisecond)
		s.cmd.Process.Signal(syscall.SIGHUP)
		newDiscovery.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := newDiscovery.Accept(); err != nil {
			t.Fatalf("the proxy does not connect to the new discovery service: %v", err)
		}
	})
	t.Run("a start", func(t *testing.T) {
		plan := &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{
			{Call: unix.SYS_OPENAT, Target: faultinject.OpenedConfig, Errno: unix.EIO, Every: 1, Max: 2},
			{Call: unix.SYS_SOCKET, Errno: unix.ENFILE, Every: 1, Max: 3},
			{Call: unix.SYS_BIND, Errno: unix.ENOBUFS, Every: 1, Max: 2},
			{Call: unix.SYS_LISTEN, Errno: unix.ENOBUFS, Every: 1, Max: 1},
			{Call: unix.SYS_EPOLL_CTL, Target: faultinject.NotEventFD, Errno: unix.ENOMEM, Every: 1, Max: 3},
		}}
		s := startProxyProcess(t, nil, plan)
		s.waitReady(5 * time.Second)
		if answer := s.ask(openLine(), 2*time.Second); !strings.HasPrefix(answer, "UP ") && !strings.HasPrefix(answer, "BUSY") {
			t.Errorf("a session is answered %q", answer)
		}
	})
}

// TestLeavesWithQueue checks that a proxy which leaves while its accept calls fail does not exit before it has answered the
// connections in the listen queue, even if it has no other work left.
func TestLeavesWithQueue(t *testing.T) {
	const (
		failFrom = 2 * time.Second // since the process's start
		failTo   = 2600 * time.Millisecond
		leaveAt  = failFrom - 250*time.Millisecond
		comeAt   = failFrom + 100*time.Millisecond // within the 0.4 s after SIGTERM in which new connections may still arrive
		clients  = 10
	)
	plan := &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{
		{Call: unix.SYS_ACCEPT4, Errno: unix.ENFILE, Every: 1, From: failFrom, To: failTo}}}
	began := time.Now()
	s := startProxyProcess(t, nil, plan, `"mode":"proxy"`, `"mode":"pass"`)
	s.waitSessionAccepted(10 * time.Second)
	time.Sleep(time.Until(began.Add(leaveAt)))
	s.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(began.Add(comeAt)))
	answers := make(chan string, clients)
	for range clients {
		go func() { answers <- s.ask(openLine(), 2*time.Second) }()
	}
	for range clients {
		if answer := <-answers; answer == "" {
			t.Error("a client in the listen queue got no answer")
		}
	}
	select {
	case <-s.ended:
	case <-time.After(2 * time.Second):
		t.Error("the proxy does not exit")
	}
}

// pipe returns a pipe whose ends are closed when the test ends, if not before.
func pipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	return reader, writer
}
