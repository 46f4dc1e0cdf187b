package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// switchedSession is what the client of one session saw.
type switchedSession struct {
	mu      sync.Mutex
	answers int
	gotMove bool
	endedAt float64 // 0: still open
}

// switched opens sessions in mode "proxy", where they end at the proxy, changes the settings of the running proxy to mode
// "pass" by SIGHUP, and restarts it as planned a few seconds later (SIGTERM). Only sessions from before the change count.
func switched(rec *record, dir string) bool {
	const clients = 40
	const dialTimeout = 2 * time.Second
	d := newDiscovery(rec)
	for i := 1; i <= 4; i++ {
		id := fmt.Sprintf("s%d", i)
		server := newServer(id, func(conn net.Conn) { // it serves each session until the proxy ends it
			defer conn.Close()
			r := bufio.NewReader(conn)
			text, err := readLine(r)
			name := openID(text)
			if err != nil || name == "" {
				return
			}
			rec.line("%s: got %q", id, text)
			fmt.Fprintf(conn, "UP r-%s\r\n", name)
			for {
				text, err := readLine(r)
				if err != nil {
					rec.line("%s: session %s: the proxy ended it: %v", id, name, err)
					return
				}
				fmt.Fprintf(conn, "answer %s\r\n", text)
			}
		})
		d.set(server.entry())
	}
	d.up()
	shape := func(mode string) map[string]any {
		return settings(mode, "ask", []listener{{name: "page", effect: "read_like", group: "all",
			dialTimeout: float64(dialTimeout / time.Millisecond), target: 500, remembers: 5000}}, func(s map[string]any) {
			if mode == "pass" {
				s["domain"].(map[string]any)["park"] = 7000.0
			}
		})
	}
	p := newProxy(dir, "n1", d.address, d.snapshot(), shape("proxy"))
	p.start(rec)
	if !p.awaitPong(10 * time.Second) {
		cannotRun("no PONG")
	}
	sessions := map[string]*switchedSession{}
	for i := 1; i <= clients; i++ {
		id := fmt.Sprintf("c%d", i)
		s := &switchedSession{}
		sessions[id] = s
		if !s.open(rec, p.listen, id, i) {
			cannotRun("session %s was not opened", id)
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		p.config["settings"] = shape("pass")
	}
	p.writeConfig()
	p.command.Process.Signal(syscall.SIGHUP)
	rec.line("proxy n1: SIGHUP, the file has mode %q", p.config["settings"].(map[string]any)["domain"].(map[string]any)["mode"])
	time.Sleep(5 * time.Second)
	before := 0
	for _, s := range sessions {
		s.mu.Lock()
		if s.endedAt == 0 && s.answers >= 3 {
			before++
		}
		s.mu.Unlock()
	}
	rec.line("sessions that are open and answered: %d", before)
	p.command.Process.Signal(syscall.SIGTERM)
	rec.line("proxy n1: SIGTERM")
	select {
	case <-p.done:
		rec.line("proxy n1: has ended by itself")
	case <-time.After(dialTimeout + 700*time.Millisecond): // the longest deadline and 0.7 s
		p.kill(rec)
	}
	time.Sleep(200 * time.Millisecond) // the clients read their ends
	moved, cut := 0, 0
	for _, s := range sessions {
		s.mu.Lock()
		switch {
		case s.gotMove:
			moved++
		default:
			cut++
		}
		s.mu.Unlock()
	}
	summary := fmt.Sprintf("%d sessions from before the change, %d open and answered at SIGTERM: %d got MOVE, %d were cut off without it", clients, before,
		moved, cut)
	rec.line("%s", summary)
	fmt.Println(summary)
	return cut == 0
}

// open opens the session and keeps it open, with a line every 2 s, until the other end ends it.
func (s *switchedSession) open(rec *record, address, id string, key int) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	line := fmt.Sprintf("OPEN %s %016x c=page,d=2000", id, key)
	fmt.Fprintf(conn, "%s\r\n", line)
	r := bufio.NewReader(conn)
	text, err := readLine(r)
	rec.line("client: sent %q, got %q", line, text)
	if err != nil || text != "UP r-"+id {
		return false
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer conn.Close()
		for {
			text, err := readLine(r)
			s.mu.Lock()
			switch {
			case err != nil:
				s.endedAt = since()
				rec.line("client: session %s: ended (%v), MOVE before: %v, answers: %d", id, err, s.gotMove, s.answers)
				s.mu.Unlock()
				return
			case text == "MOVE":
				s.gotMove = true
			default:
				s.answers++
			}
			s.mu.Unlock()
		}
	}()
	go func() {
		for n := 1; ; n++ {
			fmt.Fprintf(conn, "line %d\r\n", n)
			select {
			case <-ended:
				return
			case <-time.After(2 * time.Second):
			}
		}
	}()
	return true
}
