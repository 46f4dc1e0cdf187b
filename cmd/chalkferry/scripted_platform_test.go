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
)

// firstScriptedRevision is above that of the list that a proxy starts with.
const firstScriptedRevision = 100

// platformPatience is how long a proxy may take to use a scripted platform.
const platformPatience = 10 * time.Second

// scriptedPlatform is a proxy's servers and discovery, which a test changes as it goes on.
type scriptedPlatform struct {
	*testing.T
	proxy *served

	mu       sync.Mutex
	revision int
	members  map[string]string   // of the list, by id
	changed  chan struct{}       // closed with the next change of the list
	opened   map[string][]string // the sessions that each server was asked for
	isSilent map[string]bool     // of servers that answer nothing
}

// startScripted starts a proxy whose only server is called "one". Parts of the proxy's usual configuration may be replaced.
func startScripted(t *testing.T, replace ...string) *scriptedPlatform {
	t.Helper()
	p := &scriptedPlatform{T: t, revision: firstScriptedRevision, members: map[string]string{}, changed: make(chan struct{}),
		opened: map[string][]string{}, isSilent: map[string]bool{}}
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	go http.Serve(door, http.HandlerFunc(p.watch))
	p.proxy = serveOne(t, nil, nil, replace...)
	p.proxy.awaitReady(platformPatience)
	p.addServer("one")
	p.proxy.configure(door.Addr().String())
	p.proxy.cmd.Process.Signal(syscall.SIGHUP)
	for limit := time.Now().Add(platformPatience); len(p.sessionsAt("one")) == 0; time.Sleep(20 * time.Millisecond) {
		if p.proxy.ask(open(), time.Second); time.Now().After(limit) {
			t.Fatal("the proxy does not use the server")
		}
	}
	return p
}

// watch sends the list at each change, and empty lines between.
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

// list is the whole list, and a channel that is closed with the next one.
func (p *scriptedPlatform) list() (text string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := slices.Collect(maps.Values(p.members))
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, p.revision, strings.Join(members, ",")), p.changed
}

// setMember lists a server.
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

func (p *scriptedPlatform) serve(id string, conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 2 || words[0] != "OPEN" {
			continue
		}
		p.mu.Lock()
		p.opened[id] = append(p.opened[id], words[1])
		isSilent := p.isSilent[id]
		p.mu.Unlock()
		if !isSilent {
			fmt.Fprintf(conn, "UP %s\r\n", id)
		}
	}
}

// silence has a server answer nothing from now on.
func (p *scriptedPlatform) silence(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isSilent[id] = true
}

// sessionsAt are the sessions that a server was asked for so far.
func (p *scriptedPlatform) sessionsAt(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.opened[id])
}

// askForSessions connects clients which each ask for a session, with a dial timeout.
func (p *scriptedPlatform) askForSessions(count int, dialTimeout time.Duration) (conns []net.Conn) {
	p.Helper()
	for range count {
		conn, err := net.DialTimeout("tcp", p.proxy.listen, platformPatience)
		if err != nil {
			p.Fatal(err)
		}
		p.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, strings.Replace(open(), "d=800", fmt.Sprintf("d=%d", dialTimeout.Milliseconds()), 1))
		conns = append(conns, conn)
	}
	return conns
}

// answers counts the next lines that clients get by their first words, "" for none within the time.
func answers(conns []net.Conn, within time.Duration) map[string]int {
	limit, counts := time.Now().Add(within), map[string]int{}
	for _, conn := range conns {
		conn.SetReadDeadline(limit)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		counts[word]++
	}
	return counts
}

// lastWords counts the first words of the last lines that clients get before their connections end or the time is over.
func lastWords(conns []net.Conn, within time.Duration) map[string]int {
	limit, counts := time.Now().Add(within), map[string]int{}
	for _, conn := range conns {
		conn.SetReadDeadline(limit)
		word := ""
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			word, _, _ = strings.Cut(lines.Text(), " ")
		}
		counts[word]++
	}
	return counts
}
