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

// served is one proxy as a process of this test's own program, with one server.
type served struct {
	*testing.T
	cmd    *exec.Cmd
	file   string // its configuration
	listen string
	ended  chan error

	controller *faultinject.Controller // nil without a plan

	replace *strings.Replacer // parts of its configuration
}

// serveOne starts a proxy whose output goes to a file, nil for nowhere; plan may make its calls fail. Parts of the usual
// configuration may be replaced.
func serveOne(t *testing.T, output *os.File, plan *faultinject.Plan, replace ...string) *served {
	t.Helper()
	s := &served{T: t, listen: freshAddress(t), file: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1),
		replace: strings.NewReplacer(replace...)}
	s.configure(platform(t))
	s.cmd = exec.Command(os.Args[0], "serve", s.file)
	s.cmd.Stdout, s.cmd.Stderr = output, os.Stderr
	if output != nil {
		s.cmd.Stderr = output // a supervisor often gives both one pipe
	}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// The race detector has a process sleep for 1 s as it ends; that is no time of the proxy's.
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

var addressesGiven, sessionsOpened atomic.Int64

// freshAddress is an address that no other socket takes: of its own loopback address for each call and process.
func freshAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 200+os.Getpid()>>8&31, os.Getpid()&255, 1+addressesGiven.Add(1)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configure writes the configuration with another discovery.
func (s *served) configure(discovery string) {
	s.Helper()
	text := s.replace.Replace(fmt.Sprintf(configuration, s.listen, discovery))
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
}

// ask sends a first line and returns what comes back, "" for nothing within the time.
func (s *served) ask(line string, within time.Duration) (answer string) {
	conn, err := net.DialTimeout("tcp", s.listen, within)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	fmt.Fprint(conn, line)
	answer, _ = bufio.NewReader(conn).ReadString('\n')
	return answer
}

// awaitReady waits until PING is answered.
func (s *served) awaitReady(within time.Duration) {
	s.Helper()
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if s.ask("PING\r\n", time.Second) == "PONG\r\n" {
			return
		}
	}
	s.Fatalf("the proxy does not serve after %v", within)
}

// awaitSession waits until a session is accepted: the proxy has the list of servers by then.
func (s *served) awaitSession(within time.Duration) {
	s.Helper()
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if strings.HasPrefix(s.ask(open(), time.Second), "UP ") {
			return
		}
	}
	s.Fatalf("no session is accepted after %v", within)
}

// open is the line that asks for a session with a new id.
func open() string {
	return fmt.Sprintf("OPEN %016x 0000000000000002 c=chat,d=800\r\n", sessionsOpened.Add(1))
}

// TestProcessFaults: what a process meets outside its sockets: series of signals, a log that is not read, a configuration
// that can't be opened for a moment, a start in which calls fail.
func TestProcessFaults(t *testing.T) {
	t.Run("a series of SIGHUP, then SIGTERM", func(t *testing.T) {
		var proxies []*served
		for range 6 {
			s := serveOne(t, nil, nil)
			s.awaitReady(10 * time.Second)
			proxies = append(proxies, s)
		}
		for _, s := range proxies {
			for range 400 {
				s.cmd.Process.Signal(syscall.SIGHUP)
			}
			s.cmd.Process.Signal(syscall.SIGTERM)
		}
		const killAfter = 800*time.Millisecond + 700*time.Millisecond // by the configuration's dial timeout
		limit := time.After(killAfter)
		for i, s := range proxies {
			select {
			case <-s.ended:
			case <-limit:
				t.Fatalf("proxy %d goes on %v after SIGTERM", i, killAfter)
			}
		}
	})
	t.Run("a log whose reader has gone", func(t *testing.T) {
		reader, writer := pipe(t)
		s := serveOne(t, writer, nil)
		writer.Close()
		s.awaitSession(10 * time.Second)
		reader.Close()
		for range 20 {
			if answer := s.ask(open(), 2*time.Second); !strings.HasPrefix(answer, "UP ") {
				t.Fatalf("a session is answered %q", answer)
			}
		}
		select {
		case err := <-s.ended:
			t.Fatalf("the proxy ends with %v", err)
		default:
		}
	})
	t.Run("a log that is not read", func(t *testing.T) {
		_, writer := pipe(t)
		s := serveOne(t, writer, nil)
		writer.Close()
		s.awaitSession(10 * time.Second)
		for i := range 1000 { // two lines each; a pipe holds 64 KiB
			if answer := s.ask(open(), 2*time.Second); !strings.HasPrefix(answer, "UP ") {
				t.Fatalf("session %d is answered %q", i, answer)
			}
		}
		s.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-s.ended:
		case <-time.After(3 * time.Second):
			t.Fatal("the proxy goes on after SIGTERM")
		}
	})
	t.Run("a configuration that can't be opened for a moment", func(t *testing.T) {
		plan := &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{{Call: unix.SYS_OPENAT, Target: faultinject.OpenedConfig,
			Errno: unix.EIO, Every: 1, From: time.Second, Max: 3}}}
		s := serveOne(t, nil, plan)
		s.awaitReady(10 * time.Second)
		next, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer next.Close()
		s.configure(next.Addr().String())
		time.Sleep(1500 * time.Millisecond)
		s.cmd.Process.Signal(syscall.SIGHUP)
		next.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := next.Accept(); err != nil {
			t.Fatalf("the new discovery is not asked: %v", err)
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
		s := serveOne(t, nil, plan)
		s.awaitReady(5 * time.Second)
		if answer := s.ask(open(), 2*time.Second); !strings.HasPrefix(answer, "UP ") && !strings.HasPrefix(answer, "BUSY") {
			t.Errorf("a session is answered %q", answer)
		}
	})
}

// TestLeavesWithQueue: accepting fails while a proxy leaves. What the kernel has taken by then is answered, though the proxy has
// nothing else left to do.
func TestLeavesWithQueue(t *testing.T) {
	const (
		failFrom = 2 * time.Second // since the process's start
		failTo   = 2600 * time.Millisecond
		leaveAt  = failFrom - 250*time.Millisecond
		comeAt   = failFrom + 100*time.Millisecond // within the 0.4 s in which connections go on coming
		clients  = 10
	)
	plan := &faultinject.Plan{Seed: 1, Faults: []faultinject.Fault{
		{Call: unix.SYS_ACCEPT4, Errno: unix.ENFILE, Every: 1, From: failFrom, To: failTo}}}
	began := time.Now()
	s := serveOne(t, nil, plan, `"mode":"proxy"`, `"mode":"pass"`)
	s.awaitSession(10 * time.Second)
	time.Sleep(time.Until(began.Add(leaveAt)))
	s.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(began.Add(comeAt)))
	answers := make(chan string, clients)
	for range clients {
		go func() { answers <- s.ask(open(), 2*time.Second) }()
	}
	for range clients {
		if answer := <-answers; answer == "" {
			t.Error("a client that the kernel had taken is not answered")
		}
	}
	select {
	case <-s.ended:
	case <-time.After(2 * time.Second):
		t.Error("the proxy goes on")
	}
}

// pipe is a pipe whose ends are closed with the test, if not before.
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
