package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkferry/internal/faultinject"
)

// firstScriptedRevision is the revision of the first scripted list. It is above that of the list that a proxy starts with,
// which startPlatform serves, so that the proxy applies it.
const firstScriptedRevision = 100

// platformTimeout is how long a proxy may take to become ready and to use the scripted platform.
const platformTimeout = 10 * time.Second

// scriptedPlatform holds the servers and the discovery service of one proxy. A test changes them while the proxy runs.
type scriptedPlatform struct {
	*testing.T
	proxy *proxyProcess

	mu       sync.Mutex
	revision int
	members  map[string]string   // JSON entries of the list, by server id
	changed  chan struct{}       // closed at the next change of the list
	opened   map[string][]string // ids of the sessions that each server was sent
	isSilent map[string]bool     // servers that answer nothing
	accepted []net.Conn          // of the sessions that servers have accepted, in the order in which they did
}

// startScripted starts a proxy with one server, "one", and returns once the proxy dials it. replace holds pairs of an old and
// a new text for the configuration.
func startScripted(t *testing.T, replace ...string) *scriptedPlatform {
	t.Helper()
	return startScriptedUnderFaults(t, nil, replace...)
}

// startScriptedUnderFaults does so with a proxy whose system calls fail as planned; nil for none.
func startScriptedUnderFaults(t *testing.T, plan *faultinject.Plan, replace ...string) *scriptedPlatform {
	t.Helper()
	p := &scriptedPlatform{T: t, revision: firstScriptedRevision, members: map[string]string{}, changed: make(chan struct{}),
		opened: map[string][]string{}, isSilent: map[string]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go http.Serve(listener, http.HandlerFunc(p.watch))
	p.proxy = startProxyProcess(t, nil, plan, replace...)
	p.proxy.waitReady(platformTimeout)
	p.addServer("one")
	p.proxy.configure(listener.Addr().String())
	p.proxy.cmd.Process.Signal(syscall.SIGHUP)
	for deadline := time.Now().Add(platformTimeout); len(p.sessionsAt("one")) == 0; time.Sleep(20 * time.Millisecond) {
		if p.proxy.ask(openLine(), time.Second); time.Now().After(deadline) {
			t.Fatal("the proxy does not dial the server")
		}
	}
	return p
}

// watch answers a request to discovery: the list now and after each change, and an empty line as a heartbeat.
func (p *scriptedPlatform) watch(w http.ResponseWriter, r *http.Request) {
	const heartbeat = 500 * time.Millisecond
	text, changed := p.list()
	for r.Context().Err() == nil {
		fmt.Fprintln(w, text)
		w.(http.Flusher).Flush()
		select {
		case <-changed:
			text, changed = p.list()
		case <-time.After(heartbeat):
			text = ""
		case <-r.Context().Done():
		}
	}
}

// list returns the whole list as JSON, and a channel that is closed at its next change.
func (p *scriptedPlatform) list() (text string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := slices.Collect(maps.Values(p.members))
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, p.revision, strings.Join(members, ",")), p.changed
}

// setMember adds or replaces a server's entry in the list, and publishes the list.
func (p *scriptedPlatform) setMember(id, address, phase string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members[id] = fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","phase":%q,"size":1}`, id, address, phase)
	p.revision++
	close(p.changed)
	p.changed = make(chan struct{})
}

// addServer starts a server and lists it as ready.
func (p *scriptedPlatform) addServer(id string) (address string) {
	p.Helper()
	address = serveConns(p.T, func(conn net.Conn) { p.serve(id, conn) })
	p.setMember(id, address, "ready")
	return address
}

// serve answers as a server: it accepts each session, unless the server is silent.
func (p *scriptedPlatform) serve(id string, conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "OPEN" {
			continue
		}
		p.mu.Lock()
		p.opened[id] = append(p.opened[id], fields[1])
		isSilent := p.isSilent[id]
		if !isSilent {
			p.accepted = append(p.accepted, conn)
		}
		p.mu.Unlock()
		if !isSilent {
			fmt.Fprintf(conn, "UP %s\r\n", id)
		}
	}
}

// silence makes a server stop answering new sessions.
func (p *scriptedPlatform) silence(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isSilent[id] = true
}

// sessionsAt returns the ids of the sessions that a server was sent so far.
func (p *scriptedPlatform) sessionsAt(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.opened[id])
}

// requestSessions connects clients that each request a session with a dial timeout, and does not wait for answers.
func (p *scriptedPlatform) requestSessions(count int, dialTimeout time.Duration) (conns []net.Conn) {
	p.Helper()
	for range count {
		conn, err := net.DialTimeout("tcp", p.proxy.listen, platformTimeout)
		if err != nil {
			p.Fatal(err)
		}
		p.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, strings.Replace(openLine(), "d=800", fmt.Sprintf("d=%d", dialTimeout.Milliseconds()), 1))
		conns = append(conns, conn)
	}
	return conns
}

// countAnswers reads the next line of each client and counts the lines by their first word, "" for none within the timeout.
func countAnswers(conns []net.Conn, timeout time.Duration) map[string]int {
	deadline, counts := time.Now().Add(timeout), map[string]int{}
	for _, conn := range conns {
		conn.SetReadDeadline(deadline)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		counts[word]++
	}
	return counts
}

// countLastLines reads all lines of each client until its connection ends or the timeout passes, and counts the last lines by
// their first word, "" for none.
func countLastLines(conns []net.Conn, timeout time.Duration) map[string]int {
	deadline, counts := time.Now().Add(timeout), map[string]int{}
	for _, conn := range conns {
		conn.SetReadDeadline(deadline)
		word := ""
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			word, _, _ = strings.Cut(lines.Text(), " ")
		}
		counts[word]++
	}
	return counts
}
