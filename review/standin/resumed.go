package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// resumed brings once-only connections that were open at a server before the run (at=s1). The first connection of each is
// reset under the request: the server has read the whole line and acted on it, but its answer does not come.
func resumed(rec *record, dir string) bool {
	const clients = 5
	var mu sync.Mutex
	runs := map[string]int{}
	d := newDiscovery(rec)
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("s%d", i)
		server := newServer(id, func(conn net.Conn) {
			defer conn.Close()
			r := bufio.NewReader(conn)
			text, err := readLine(r)
			name := openID(text)
			if err != nil || name == "" {
				return
			}
			mu.Lock()
			runs[name]++
			n := runs[name]
			mu.Unlock()
			rec.line("%s: run %d of session %s: %q", id, n, name, text)
			if trouble && n == 1 {
				conn.(*net.TCPConn).SetLinger(0) // closing resets the connection
				rec.line("%s: connection of session %s reset before UP", id, name)
				return
			}
			fmt.Fprintf(conn, "UP r-%s\r\n", name)
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
	d.up()
	p := newProxy(dir, "n1", d.address, d.snapshot(), settings("proxy", "ask",
		[]listener{{name: "vote", effect: "non_idempotent", group: "all", dialTimeout: 2000, target: 500, remembers: 5000}}, nil))
	p.start(rec)
	if !p.awaitPong(10 * time.Second) {
		cannotRun("no PONG")
	}
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
			line := fmt.Sprintf("OPEN c%d %016x c=vote,d=2000,at=s1", i, i)
			fmt.Fprintf(conn, "%s\r\n", line)
			rec.line("client: sent %q", line)
			conn.SetDeadline(time.Now().Add(5 * time.Second))
			text, err := readLine(bufio.NewReader(conn))
			rec.line("client: session c%d: got %q, %v", i, text, err)
		}()
	}
	done.Wait()
	p.kill(rec)
	most := 0
	for _, n := range runs {
		most = max(most, n)
	}
	summary := fmt.Sprintf("%d once-only sessions; runs of the one that ran most often: %d", len(runs), most)
	rec.line("%s", summary)
	fmt.Println(summary)
	return most <= 1
}
