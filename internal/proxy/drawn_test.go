package proxy

import (
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	crossingCount = flag.Int("crossings", 24, "number of random scenarios that TestDrawn runs")
	firstSeed     = flag.Int64("crossings.seed", 1, "seed of the first scenario of TestDrawn")
)

const (
	drawnDialTimeout    = 1500 * time.Millisecond // dial timeout of the drawn sessions
	dedupWindow         = 200 * time.Millisecond  // for sessions of listener "keep", within their zone
	readerSlack         = 150 * time.Millisecond  // delay of the test's own readers
	sendAfterLeaveLimit = 300 * time.Millisecond  // after a client left, for its first line to reach a server
)

// ruleChecker checks the rules of dialing from the outside: by what servers receive, and what clients send and get.
type ruleChecker struct {
	*testing.T
	scenario      string
	mu            sync.Mutex
	sessions      map[string]*sessionRecord
	drainingSince map[string]time.Time // by server address: when the proxy had applied the drain
	zones         map[string]string    // by server address
	dials         map[net.Conn]*dialRecord
}

// sessionRecord is what was observed of one session.
type sessionRecord struct {
	dials, outstanding int
	mayRun             bool
	firstDialAt        time.Time // arrival of the first dial that may have been executed
	firstDialZone      string    // and its server's zone
	leftAt             time.Time
}

// dialRecord is one dial that has reached a server.
type dialRecord struct {
	session *sessionRecord
	ended   bool // the dial is no longer outstanding
}

// violation reports a broken rule with the scenario.
func (c *ruleChecker) violation(format string, args ...any) {
	c.Errorf("%s: %s", c.scenario, fmt.Sprintf(format, args...))
}

// session returns the record of a session, which it makes on first use.
func (c *ruleChecker) session(id string) *sessionRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[id] == nil {
		c.sessions[id] = &sessionRecord{}
	}
	return c.sessions[id]
}

// endDial records that a dial is no longer outstanding.
func (c *ruleChecker) endDial(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dial := c.dials[conn]; dial != nil && !dial.ended {
		dial.ended = true
		dial.session.outstanding--
	}
}

// recordDial checks and records a first line that has reached a server. An abandoned dial counts as outstanding until its
// server sees the end, which may be read after the next first line; so it waits up to 200 ms for that.
func (c *ruleChecker) recordDial(server string, conn *net.TCPConn, firstLine string) *sessionRecord {
	fields, arrivedAt := strings.Fields(firstLine), time.Now()
	s := c.session(fields[1])
	for range 200 {
		c.mu.Lock()
		outstanding := s.outstanding
		c.mu.Unlock()
		if outstanding == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.outstanding > 0 {
		c.violation("two dials of %s are outstanding", fields[1])
	}
	if s.mayRun && strings.Contains(firstLine, "c=once") {
		c.violation("%s is sent again after a dial that may have been executed", fields[1])
	}
	if s.mayRun && strings.Contains(firstLine, "c=keep") {
		if late := arrivedAt.Sub(s.firstDialAt); late > dedupWindow+readerSlack {
			c.violation("%s is sent again after %v, its dedup window is %v", fields[1], late, dedupWindow)
		}
		if zone := c.zones[server]; zone != s.firstDialZone {
			c.violation("%s is sent again in zone %q, not %q", fields[1], zone, s.firstDialZone)
		}
	}
	if since, draining := c.drainingSince[server]; draining && arrivedAt.Sub(since) > 50*time.Millisecond {
		c.violation("%s is sent to a draining server", fields[1])
	}
	if !s.leftAt.IsZero() && arrivedAt.Sub(s.leftAt) > sendAfterLeaveLimit {
		c.violation("%s is sent %v after its client left", fields[1], arrivedAt.Sub(s.leftAt))
	}
	s.dials++
	s.outstanding++
	if !s.mayRun { // whether this dial may run is known only by its answer
		s.firstDialAt, s.firstDialZone = arrivedAt, c.zones[server]
	}
	c.dials[conn] = &dialRecord{session: s}
	return s
}

// serverAnswers are what a server may do on a first line, whether the session may have been executed then, and how the server
// ends the connection.
var serverAnswers = []struct {
	text   string
	mayRun bool
	end    string
}{
	{"UP 7\r\n", true, ""}, {"UP 7\r\n", true, ""}, {"UP 7\r\nM 1\r\n", true, ""}, {"UP 7\r\n", true, "fin"}, {"UP 7\r\nMOVE\r\n", true, "fin"},
	{"BUSY\r\n", false, "fin"}, {"BUSY\r\nUP 1\r\n", false, "rst"}, {"ERR\r\n", true, "fin"}, {"BYE\r\n", true, "rst"}, {"", true, "rst"},
	{"", true, "fin"}, {"", true, ""}, {strings.Repeat("U", 6000), true, ""}, {"U", true, "rst"},
}

// drawnAnswer returns what servers do on a first line: drawn by the seed, the session and the dial, so that a seed repeats the
// same scenario.
func (c *ruleChecker) drawnAnswer(seed int64) func(conn *net.TCPConn, nth int, first string) {
	return func(conn *net.TCPConn, _ int, first string) {
		s := c.recordDial(conn.LocalAddr().String(), conn, first)
		random := rand.New(rand.NewSource(seed + int64(len(first))*7919 + int64(s.dials)*104729 + int64(first[len("OPEN ")+4])))
		answer := serverAnswers[random.Intn(len(serverAnswers))]
		c.mu.Lock()
		s.mayRun = s.mayRun || answer.mayRun
		c.mu.Unlock()
		if answer.text != "" && !strings.HasPrefix(answer.text, "U") {
			c.endDial(conn) // a whole answer ends the dial
		}
		fmt.Fprint(conn, answer.text)
		switch answer.end {
		case "rst":
			c.endDial(conn)
			conn.SetLinger(0)
			conn.Close()
		case "fin":
			c.endDial(conn)
			conn.CloseWrite()
		}
	}
}

// runClient runs one session from its first byte to its end, by a drawn plan.
func (c *ruleChecker) runClient(address, id string, random *rand.Rand, connectMayFail bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		if !connectMayFail {
			c.violation("the client can't connect: %v", err)
		}
		return
	}
	defer conn.Close()
	d := clientConn{Conn: conn}
	listener := []string{"chat", "keep", "once"}[random.Intn(3)]
	line := fmt.Sprintf("OPEN %s %d c=%s,d=%d,g=%d\r\n", id, random.Intn(50), listener, drawnDialTimeout/time.Millisecond, random.Intn(4))
	plan, splitAt := random.Intn(6), random.Intn(len(line))
	s := c.session(id)
	if random.Intn(3) == 0 {
		fmt.Fprint(conn, strings.Repeat("PING\r\n", random.Intn(20)))
	}
	fmt.Fprint(conn, line[:splitAt])
	if plan == 0 { // leaves within the first line
		return
	}
	if random.Intn(3) == 0 {
		time.Sleep(time.Duration(random.Intn(5)) * time.Millisecond)
	}
	fmt.Fprint(conn, line[splitAt:])
	askedAt := time.Now()
	leave := waysToLeave[[]string{"fin", "close", "rst"}[random.Intn(3)]]
	if plan == 1 || plan == 2 { // leaves right after its line, or a little later
		time.Sleep(time.Duration(plan-1) * time.Duration(random.Intn(30)) * time.Millisecond)
		leave(d)
		c.mu.Lock()
		s.leftAt = time.Now()
		c.mu.Unlock()
		if plan == 2 {
			io.Copy(io.Discard, conn)
		}
		return
	}
	conn.SetReadDeadline(askedAt.Add(drawnDialTimeout + 500*time.Millisecond)) // by the standing page a later answer counts as lost
	buf, received := make([]byte, 4096), ""
	for {
		n, err := conn.Read(buf)
		received += string(buf[:n])
		if !strings.HasSuffix(received, "\n") && err == nil {
			continue
		}
		if received = strings.ReplaceAll(received, "PONG\r\n", ""); received != "" {
			break
		}
		if err != nil {
			c.violation("%s gets no answer: %v", id, err)
			return
		}
	}
	first, rest, _ := strings.Cut(received, "\n")
	switch {
	case strings.HasPrefix(first, "UP"):
		fmt.Fprint(conn, "M 1\r\n")
		conn.SetReadDeadline(time.Now().Add(time.Duration(random.Intn(40)) * time.Millisecond))
		more, _ := io.ReadAll(conn)
		rest += string(more)
		for _, last := range []string{"MOVE\r\n", "BYE\r\n"} {
			if i := strings.Index(rest, last); i >= 0 && i+len(last) < len(rest) {
				c.violation("%s gets %q", id, rest)
			}
		}
		leave(d)
	case strings.HasPrefix(first, "BUSY"), strings.HasPrefix(first, "ERR"), strings.HasPrefix(first, "BYE"):
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if more, err := io.ReadAll(conn); rest+string(more) != "" || err != nil {
			c.violation("%s gets %q after %q, %v", id, rest+string(more), first, err)
		}
	default:
		c.violation("%s gets %q", id, received)
	}
}

// TestDrawn runs random scenarios in which events coincide, and checks the rules of dialing in each: clients leave at any
// moment, the process ends, the list changes during dials, servers answer in every way, clients send half lines and PINGs, and
// the settings are reloaded. The event loop is stalled for a while in each scenario, so that many events become due at once.
// The kind of a scenario selects what else happens: 1 ends the process, 2 drains a server, 3 delays connects, 5 reloads.
func TestDrawn(t *testing.T) {
	replacements := []string{`"dialTimeout":800`, fmt.Sprintf(`"dialTimeout":%d`, drawnDialTimeout/time.Millisecond),
		`"messageAim":[100]`, `"messageAim":[100,100,100]`,
		`"listeners":[`, fmt.Sprintf(`"listeners":[{"name":"keep","dialTimeout":%d,"effect":"idempotency_key","group":"zone","repeatWindow":%d},`+
			`{"name":"once","dialTimeout":%d,"effect":"non_idempotent"},`, drawnDialTimeout/time.Millisecond,
			dedupWindow/time.Millisecond, drawnDialTimeout/time.Millisecond)}
	const workers = 4
	before := runtime.NumGoroutine()
	t.Run("", func(t *testing.T) {
		for w := range workers {
			t.Run(fmt.Sprint(w), func(t *testing.T) {
				t.Parallel()
				var r *testProxy
				var servers []*testServer
				checker := &ruleChecker{T: t}
				revision := 0
				for n := w; n < *crossingCount; n += workers {
					seed := *firstSeed + int64(n)
					random := rand.New(rand.NewSource(seed))
					kind := n / workers % 6
					checker.mu.Lock()
					checker.scenario, checker.sessions = fmt.Sprintf("seed %d, kind %d", seed, kind), map[string]*sessionRecord{}
					checker.drainingSince, checker.dials = map[string]time.Time{}, map[net.Conn]*dialRecord{}
					checker.zones = map[string]string{}
					checker.mu.Unlock()
					if r == nil || kind == 1 {
						r, servers, revision = startTestProxy(t,
							append(replacements, `"proxy"`, []string{`"proxy"`, `"pass"`}[random.Intn(2)])...), nil, 0
						for range 3 {
							servers = append(servers, startTestServer(t, nil))
						}
					}
					list := func(phases ...string) {
						revision++
						var entries []string
						for i, s := range servers {
							zone := []string{"a", "a", "elsewhere"}[i] // the settings name only "a"
							entries = append(entries, strings.Replace(serverEntry(fmt.Sprint("s-", i), s.address, phases[i]),
								`"locality":"a"`, fmt.Sprintf(`"locality":%q`, zone), 1))
							checker.mu.Lock()
							checker.zones[s.address] = zone
							checker.mu.Unlock()
						}
						r.applyList(revision, entries...)
						for i, s := range servers {
							checker.mu.Lock()
							if delete(checker.drainingSince, s.address); phases[i] != "ready" {
								checker.drainingSince[s.address] = time.Now()
							}
							checker.mu.Unlock()
						}
					}
					for _, s := range servers {
						s.mu.Lock()
						s.onFirstLine, s.onEnd = checker.drawnAnswer(seed), checker.endDial
						s.mu.Unlock()
					}
					list("ready", "ready", "ready")
					restore := func() {}
					if kind == 3 {
						restore = r.delayConnects(seed, drawnDialTimeout*2/3)
					}
					var clients sync.WaitGroup
					release := func() {}
					for i := range 4 + random.Intn(5) {
						if i == 2 {
							release = r.stallLoop()
						}
						own := rand.New(rand.NewSource(seed<<8 + int64(i)))
						clients.Go(func() { checker.runClient(r.address, fmt.Sprintf("%x%02x", 0xa00000+seed, i), own, kind == 1) })
					}
					time.Sleep(time.Duration(random.Intn(60)) * time.Millisecond)
					leaveCalledAt, endedAfter := time.Now(), make(chan time.Duration, 1)
					var reloaded sync.WaitGroup
					switch kind {
					case 1:
						go func(ended chan error) {
							if err := <-ended; err != nil {
								checker.violation("Run returns %v", err)
							}
							endedAfter <- time.Since(leaveCalledAt)
						}(r.ended)
						for range 2 {
							reloaded.Go(r.p.Leave)
						}
					case 2:
						release()
						release = func() {}
						list("draining", "ready", "ready")
					case 5:
						text := strings.Replace(r.configText, `"name":"once"`, `"name":"later"`, 1)
						for range 2 {
							reloaded.Go(func() {
								if err := r.p.Reload([]byte(text)); err != nil {
									checker.violation("Reload returns %v", err)
								}
							})
						}
						reloaded.Go(func() { r.p.execute(func() { r.p.table.MoveSome(1) }) })
					}
					release()
					clients.Wait()
					restore()
					reloaded.Wait()
					if kind == 1 {
						select {
						case took := <-endedAfter:
							if took < arrivalsAfterTerm || took > drawnDialTimeout+killMargin {
								checker.violation("Run ends after %v", took)
							}
						case <-time.After(5 * time.Second):
							checker.violation("Run does not end")
						}
						r = nil
						continue
					}
					if kind == 5 {
						if err := r.p.Reload([]byte(r.configText)); err != nil {
							checker.violation("Reload returns %v", err)
						}
					}
					r.expectIdle()
				}
			})
		}
	})
	for range 500 {
		if runtime.NumGoroutine() <= before+workers*8 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	stacks := make([]byte, 1<<20)
	t.Errorf("%d goroutines, %d before:\n%s", runtime.NumGoroutine(), before, stacks[:runtime.Stack(stacks, true)])
}
