package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// session is one session as its client saw it.
type session struct {
	id       string
	proxy    string
	openedAt time.Duration // when the OPEN line was sent
	answer   string        // "" if the connection ended without one
	answerAt time.Duration
	end      string // how an open session ended
	endAt    time.Duration
	done     chan struct{} // closed when the session is over
}

// clients makes sessions and keeps what became of them.
type clients struct {
	play *play
	// messageEvery is the time between two lines of a client.
	messageEvery time.Duration

	mu       sync.Mutex
	count    int
	sessions []*session
	running  sync.WaitGroup
}

// open begins a session through a proxy, in a goroutine of its own. pairs are the named values of the OPEN line without d; life is
// how long the client stays once it is served.
func (c *clients) open(x *proxy, pairs string, dialTimeout, life time.Duration) *session {
	c.mu.Lock()
	c.count++
	s := &session{id: fmt.Sprintf("%016x", 0x9b1f03aa00000000+uint64(c.count)), proxy: x.name, done: make(chan struct{})}
	key := uint64(c.count) * 0x9e3779b97f4a7c15
	c.sessions = append(c.sessions, s)
	c.mu.Unlock()
	line := fmt.Sprintf("OPEN %s %016x %s,d=%d", s.id, key, pairs, dialTimeout.Milliseconds())
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.play.logf("client %s: to %s, %q", s.id, x.name, line)
		defer close(s.done)
		c.run(s, x.address, line, dialTimeout, life)
		c.play.logf("client %s: answer %q after %.3f s, end %q at %.3f", s.id, s.answer, (s.answerAt - s.openedAt).Seconds(), s.end,
			s.endAt.Seconds())
	}()
	return s
}

func (c *clients) run(s *session, address, line string, dialTimeout, life time.Duration) {
	s.openedAt = c.play.now()
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		s.answerAt, s.end, s.endAt = c.play.now(), "no connection: "+err.Error(), c.play.now()
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, line+"\r\n")
	conn.SetReadDeadline(time.Now().Add(dialTimeout + time.Second))
	reader := bufio.NewReader(conn)
	answer, err := reader.ReadString('\n')
	s.answerAt = c.play.now()
	if err != nil {
		s.end, s.endAt = "no answer: "+err.Error(), c.play.now()
		return
	}
	s.answer = strings.TrimSuffix(answer, "\r\n")
	if !strings.HasPrefix(s.answer, "UP ") {
		s.end, s.endAt = "refused or failed", c.play.now()
		return
	}
	over := c.play.now() + life
	conn.SetReadDeadline(time.Now().Add(life))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(c.messageEvery):
				fmt.Fprint(conn, "SEND\r\n")
			}
		}
	}()
	for {
		text, err := reader.ReadString('\n')
		switch {
		case err != nil && c.play.now() >= over:
			s.end, s.endAt = "the client left", c.play.now()
			return
		case err != nil:
			s.end, s.endAt = "cut off: "+err.Error(), c.play.now()
			return
		case text == "MOVE\r\n" || text == "BYE\r\n":
			s.end, s.endAt = strings.TrimSpace(text), c.play.now()
			return
		}
	}
}

// find returns the session with an id, or nil.
func (c *clients) find(id string) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		if s.id == id {
			return s
		}
	}
	return nil
}
