package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// holder starts a proxy whose known list is old and lacks a server, and brings connections that are open at that server
// (at=s4) as soon as the proxy has answered PING. Discovery answers its calls after 0.8 s.
func holder(rec *record, dir string) bool {
	const clients = 6
	var mu sync.Mutex
	elsewhere, foreign := 0, 0
	d := newDiscovery(rec)
	for i := 1; i <= 4; i++ {
		id := fmt.Sprintf("s%d", i)
		server := newServer(id, func(conn net.Conn) {
			defer conn.Close()
			r := bufio.NewReader(conn)
			text, err := readLine(r)
			name := openID(text)
			if err != nil || name == "" {
				return
			}
			rec.line("%s: got %q", id, text)
			if pair(text, "at") != id {
				mu.Lock()
				elsewhere++
				mu.Unlock()
			}
			fmt.Fprintf(conn, "UP %s-%s\r\n", id, name)
			for {
				text, err := readLine(r)
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "%s\r\n", text)
			}
		})
		d.set(server.entry())
	}
	known := d.snapshot()
	if trouble {
		known.Revision--
		known.Members = slices.DeleteFunc(known.Members, func(m member) bool { return m.ID == "s4" })
		d.delay = 800 * time.Millisecond
	}
	rec.line("known: revision %d, %d servers", known.Revision, len(known.Members))
	d.up()
	p := newProxy(dir, "n1", d.address, known, settings("proxy", "ask",
		[]listener{{name: "page", effect: "read_like", group: "all", dialTimeout: 2000, target: 500, remembers: 5000}}, nil))
	p.start(rec)
	if !p.awaitPong(10 * time.Second) {
		cannotRun("no PONG")
	}
	rec.line("proxy n1: PONG")
	var done sync.WaitGroup
	for i := 1; i <= clients; i++ {
		done.Add(1)
		go func() {
			defer done.Done()
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				cannotRun("the client can't connect: %v", err)
			}
			defer conn.Close()
			line := fmt.Sprintf("OPEN c%d %016x c=page,d=2000,at=s4", i, i)
			fmt.Fprintf(conn, "%s\r\n", line)
			rec.line("client: sent %q", line)
			conn.SetDeadline(time.Now().Add(5 * time.Second))
			text, err := readLine(bufio.NewReader(conn))
			rec.line("client: session c%d: got %q, %v", i, text, err)
			if err == nil && text[:2] == "UP" && text != fmt.Sprintf("UP s4-c%d", i) {
				mu.Lock()
				foreign++
				mu.Unlock()
			}
		}()
	}
	done.Wait()
	p.kill(rec)
	summary := fmt.Sprintf("%d connections open at s4; lines sent to another server: %d; clients that got the UP of another server: %d", clients,
		elsewhere, foreign)
	rec.line("%s", summary)
	fmt.Println(summary)
	return elsewhere == 0 && foreign == 0
}
