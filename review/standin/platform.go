package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// started is the instant from which all times in the record count.
var started = time.Now()

// since is the time since the start of the case, in seconds.
func since() float64 { return time.Since(started).Seconds() }

// record is the file record.txt of the case.
type record struct {
	mu   sync.Mutex
	file *os.File
}

// line writes one line to the record, with its time.
func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", since(), text)
}

// member is one server in the list, in the form of discovery.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
	revision  int
}

// message is one object of discovery.
type message struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the service that lists the servers.
type discovery struct {
	mu       sync.Mutex
	revision int
	members  map[string]member
	changed  chan struct{}
	address  string
	server   *http.Server
	delay    time.Duration // before a call is answered
	rec      *record
}

// newDiscovery makes a service that does not listen yet.
func newDiscovery(rec *record) *discovery {
	return &discovery{revision: 1, members: map[string]member{}, changed: make(chan struct{}), address: freeAddress(), rec: rec}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// set lists a server, or changes its entry.
func (d *discovery) set(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	m.revision = d.revision
	d.members[m.ID] = m
	close(d.changed)
	d.changed = make(chan struct{})
	d.rec.line("list: revision %d: %s is %s", d.revision, m.ID, m.Phase)
}

// after returns the changes since a revision, or the whole list, and a channel that is closed at the next change.
func (d *discovery) after(revision int) (message, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := message{Revision: d.revision, Complete: revision == 0 || revision > d.revision, Members: []member{}}
	for _, entry := range d.members {
		if m.Complete && entry.Phase != "gone" || !m.Complete && entry.revision > revision {
			m.Members = append(m.Members, entry)
		}
	}
	return m, d.changed
}

// snapshot returns the whole list as it is now.
func (d *discovery) snapshot() message {
	m, _ := d.after(0)
	return m
}

// up starts the service at its address.
func (d *discovery) up() {
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		cannotRun("discovery can't listen: %v", err)
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	d.rec.line("discovery is up")
}

// ServeHTTP answers a call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	watch := r.URL.Query().Get("watch") == "1"
	if !watch {
		after = 0
	}
	if d.delay > 0 {
		time.Sleep(d.delay)
	}
	m, changed := d.after(after)
	for {
		text, _ := json.Marshal(m)
		if _, err := w.Write(append(text, '\n')); err != nil {
			return
		}
		if !watch {
			return
		}
		w.(http.Flusher).Flush()
		d.rec.line("list: revision %d was written to a watch", m.Revision)
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				if _, err := w.Write([]byte("\n")); err != nil {
					return
				}
				w.(http.Flusher).Flush()
			}
		}
		m, changed = d.after(m.Revision)
	}
}

// proxyProcess is one proxy, started as the deploy file has it.
type proxyProcess struct {
	command *exec.Cmd
	done    chan struct{}
	listen  string
	config  map[string]any
	file    string
	log     string
}

// newProxy makes a proxy with the given settings and list of known servers. It is not started.
func newProxy(dir, name, discoveryAddress string, known message, settings map[string]any) *proxyProcess {
	p := &proxyProcess{listen: freeAddress(), file: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	p.config = map[string]any{"name": name, "listen": p.listen, "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	return p
}

// writeConfig writes the configuration file.
func (p *proxyProcess) writeConfig() {
	text, err := json.MarshalIndent(p.config, "", " ")
	if err == nil {
		err = os.WriteFile(p.file, text, 0o600)
	}
	if err != nil {
		cannotRun("configuration: %v", err)
	}
}

// start starts the proxy by the command "run" of the deploy file.
func (p *proxyProcess) start(rec *record) {
	var deploy struct {
		Run string `toml:"run"`
	}
	text, err := os.ReadFile("deploy/balancer.toml")
	if err == nil {
		err = toml.Unmarshal(text, &deploy)
	}
	if err != nil || deploy.Run == "" {
		cannotRun("deploy/balancer.toml: %v", err)
	}
	p.writeConfig()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	p.command = exec.Command("/bin/sh", "-c", deploy.Run)
	p.command.Env = append(os.Environ(), "RELAY_NAME="+p.config["name"].(string), "RELAY_LISTEN="+p.listen,
		"RELAY_DISCOVERY="+p.config["discovery"].(string), "RELAY_CONFIG="+p.file)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		cannotRun("the proxy does not start: %v", err)
	}
	output.Close()
	p.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		command.Wait()
		close(done)
	}(p.command, p.done)
	rec.line("proxy %s: started", p.config["name"])
}

// kill ends the proxy with SIGKILL and waits for its end.
func (p *proxyProcess) kill(rec *record) {
	p.command.Process.Kill()
	<-p.done
	rec.line("proxy %s: killed", p.config["name"])
}

// awaitPong asks the proxy with PING, as the front does, until it answers or the limit has passed.
func (p *proxyProcess) awaitPong(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", p.listen)
		if err != nil {
			continue
		}
		conn.SetDeadline(deadline)
		fmt.Fprint(conn, "PING\r\n")
		text, _ := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if text == "PONG\r\n" {
			return true
		}
	}
	return false
}

// openID returns the id in an OPEN line, or "".
func openID(text string) string {
	if fields := strings.Fields(text); len(fields) == 4 && fields[0] == "OPEN" {
		return fields[1]
	}
	return ""
}

// nodeServer is one server: handle is called for each connection.
type nodeServer struct {
	id       string
	listener net.Listener
}

// newServer starts a server.
func newServer(id string, handle func(conn net.Conn)) *nodeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("server: %v", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return &nodeServer{id, listener}
}

// entry returns the server's entry in the list.
func (s *nodeServer) entry() member {
	return member{ID: s.id, HostPort: s.listener.Addr().String(), Locality: "north", Flavor: "m2", Phase: "ready", Size: 2}
}

// readLine reads one line without its end.
func readLine(r *bufio.Reader) (string, error) {
	text, err := r.ReadString('\n')
	if err != nil {
		if text != "" && err == io.EOF {
			return "", io.ErrUnexpectedEOF
		}
		return "", err
	}
	return strings.TrimSuffix(text, "\r\n"), nil
}

// cannotRun ends the program: the case could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	if tempDir != "" {
		os.RemoveAll(tempDir)
	}
	os.Exit(2)
}

// listener is one listener of the settings.
type listener struct {
	name, effect, group            string
	dialTimeout, target, remembers float64
}

// settings returns settings like those of a small deployment.
func settings(mode, discoveryMode string, listeners []listener, change func(map[string]any)) map[string]any {
	entries, aims := []any{}, []any{}
	for _, l := range listeners {
		entries = append(entries, map[string]any{"name": l.name, "effect": l.effect, "group": l.group, "dialTimeout": l.dialTimeout,
			"handshakeTarget": l.target, "repeatWindow": l.remembers, "utility": 1.0, "overdueUtility": 0.0, "stream": true})
		aims = append(aims, 100.0)
	}
	s := map[string]any{
		"areas": []string{"north"}, "az": 0, "discovery": discoveryMode, "groupSize": 1, "me": 0, "tick": 2.0, "tier": 0,
		"tiers": []string{"hosts"}, "skus": []string{"m2"}, "utilityBy": "request", "weights": "nominal", "domainType": "conn",
		"ceilings": map[string]any{"cancel": true, "connIdle": 10000.0, "connectTimeout": 150.0, "maxRetryAfter": 1500.0, "mostDials": 4,
			"mostHeld": 1000000, "parallelTries": false, "peers": false, "probes": false, "retryAfter": false},
		"domain": map[string]any{"groups": false, "messageAim": aims, "mode": mode, "park": 0.0, "tellsDelay": false, "tellsLoad": false},
		"invariants": map[string]any{"answerSlack": 8.0, "cold": 22000.0, "coldFrom": 0.15, "fallMultiple": 3.0, "mustAskIn": 10000.0,
			"stopSendingWithin": 1000.0, "tipAfter": 3000.0},
		"listeners": entries, "tenants": []any{}, "telemetry": map[string]any{"fields": []any{}, "how": "off"},
	}
	if change != nil {
		change(s)
	}
	return s
}
