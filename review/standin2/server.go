package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// arrival is a first line that reached a server.
type arrival struct {
	at   time.Duration
	id   string // of the session
	line string
}

// server is a push server: it answers OPEN with UP after a moment and each later line with a line.
type server struct {
	play    *play
	name    string
	address string

	mu         sync.Mutex
	listener   net.Listener
	arrivals   []arrival
	receipts   int
	isDraining bool
}

// newServer starts a server at a free loopback address.
func (p *play) newServer(name string) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{play: p, name: name, address: listener.Addr().String(), listener: listener}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// handshakeTime is how long a server takes to answer a first line.
const handshakeTime = 3 * time.Millisecond

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := reader.Peek(1); err != nil { // for drains a send counts from its first byte
		return
	}
	firstByteAt := s.play.now()
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	line = strings.TrimSuffix(line, "\r\n")
	fields := strings.Fields(line)
	if len(fields) < 2 || fields[0] != "OPEN" {
		fmt.Fprint(conn, "SYNTAX\r\n")
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{firstByteAt, fields[1], line})
	s.receipts++
	answer := fmt.Sprintf("UP %s-%d", s.name, s.receipts)
	if s.isDraining {
		answer = "BUSY"
	}
	s.mu.Unlock()
	time.Sleep(handshakeTime)
	s.play.logf("%s: gets %q, answers %q", s.name, line, answer)
	fmt.Fprint(conn, answer+"\r\n")
	if !strings.HasPrefix(answer, "UP ") {
		return
	}
	for n := 1; ; n++ {
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		fmt.Fprintf(conn, "OK %d\r\n", n)
	}
}

// drain has the server turn new sessions away. Open sessions go on.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
}

// arrivalsSince returns the first lines that arrived at a time or later.
func (s *server) arrivalsSince(t time.Duration) (later []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at >= t {
			later = append(later, a)
		}
	}
	return later
}
