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
	draws = flag.Int("crossings", 24, "how many crossings TestDrawn draws")
	from  = flag.Int64("crossings.seed", 1, "the seed of the first of them")
)

const (
	drawnWait = 1500 * time.Millisecond // dial timeout of the drawn sessions
	window    = 200 * time.Millisecond  // for repeats of referenced ones, within their zone
	slack     = 150 * time.Millisecond  // of what this test's own readers see
	leftFor   = 300 * time.Millisecond  // after which nothing of a client that has left may reach a server
)

// judge looks from the outside: at what servers get, and what clients do and hear.
type judge struct {
	*testing.T
	what     string
	mu       sync.Mutex
	sessions map[string]*seen
	drains   map[string]time.Time // servers, by their addresses, since the proxy has the drain
	zones    map[string]string    // of servers, the same
	fates    map[net.Conn]*fate
}

// seen is one session.
type seen struct {
	dials, out int
	mayRun     bool
	ranAt      time.Time // when the first dial that may have run came
	ranIn      string    // and its zone
	left       time.Time
}

type fate struct {
	of    *seen
	ended bool // the dial is not out any more
}

func (j *judge) wrong(format string, args ...any) {
	j.Errorf("%s: %s", j.what, fmt.Sprintf(format, args...))
}

func (j *judge) session(id string) *seen {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sessions[id] == nil {
		j.sessions[id] = &seen{}
	}
	return j.sessions[id]
}

// end tells that a dial is not out any more.
func (j *judge) end(conn net.Conn) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f := j.fates[conn]; f != nil && !f.ended {
		f.ended = true
		f.of.out--
	}
}

// dial takes a first line that has reached a server. A dial given up is out until its server hears the end, which may
// be read after the next first line.
func (j *judge) dial(at string, conn *net.TCPConn, first string) *seen {
	words, came := strings.Fields(first), time.Now()
	s := j.session(words[1])
	for range 200 {
		j.mu.Lock()
		out := s.out
		j.mu.Unlock()
		if out == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if s.out > 0 {
		j.wrong("two dials of %s are out", words[1])
	}
	if s.mayRun && strings.Contains(first, "c=once") {
		j.wrong("%s is sent again after a dial that may have run", words[1])
	}
	if s.mayRun && strings.Contains(first, "c=keep") {
		if late := came.Sub(s.ranAt); late > window+slack {
			j.wrong("%s is sent again after %v, its window is %v", words[1], late, window)
		}
		if zone := j.zones[at]; zone != s.ranIn {
			j.wrong("%s is sent again in zone %q, not %q", words[1], zone, s.ranIn)
		}
	}
	if since, is := j.drains[at]; is && came.Sub(since) > 50*time.Millisecond {
		j.wrong("%s is sent to a server that drains", words[1])
	}
	if !s.left.IsZero() && came.Sub(s.left) > leftFor {
		j.wrong("%s is sent %v after its client left", words[1], came.Sub(s.left))
	}
	s.dials++
	s.out++
	if !s.mayRun { // it is known by its answer
		s.ranAt, s.ranIn = came, j.zones[at]
	}
	j.fates[conn] = &fate{of: s}
	return s
}

// answers are what a server may do with a first line, and whether the session may have run then.
var answers = []struct {
	text   string
	mayRun bool
	end    string
}{
	{"UP 7\r\n", true, ""}, {"UP 7\r\n", true, ""}, {"UP 7\r\nM 1\r\n", true, ""}, {"UP 7\r\n", true, "fin"}, {"UP 7\r\nMOVE\r\n", true, "fin"},
	{"BUSY\r\n", false, "fin"}, {"BUSY\r\nUP 1\r\n", false, "rst"}, {"ERR\r\n", true, "fin"}, {"BYE\r\n", true, "rst"}, {"", true, "rst"},
	{"", true, "fin"}, {"", true, ""}, {strings.Repeat("U", 6000), true, ""}, {"U", true, "rst"},
}

// does is what servers do, by the session and the dial, so that a seed plays the same.
func (j *judge) does(seed int64) func(conn *net.TCPConn, nth int, first string) {
	return func(conn *net.TCPConn, _ int, first string) {
		s := j.dial(conn.LocalAddr().String(), conn, first)
		h := rand.New(rand.NewSource(seed + int64(len(first))*7919 + int64(s.dials)*104729 + int64(first[len("OPEN ")+4])))
		a := answers[h.Intn(len(answers))]
		j.mu.Lock()
		s.mayRun = s.mayRun || a.mayRun
		j.mu.Unlock()
		if a.text != "" && !strings.HasPrefix(a.text, "U") {
			j.end(conn) // its answer ends it
		}
		fmt.Fprint(conn, a.text)
		switch a.end {
		case "rst":
			j.end(conn)
			conn.SetLinger(0)
			conn.Close()
		case "fin":
			j.end(conn)
			conn.CloseWrite()
		}
	}
}

// client is one session from its first byte to its end, by a plan.
func (j *judge) client(at, id string, h *rand.Rand, mayFail bool) {
	conn, err := net.Dial("tcp", at)
	if err != nil {
		if !mayFail {
			j.wrong("%v", err)
		}
		return
	}
	defer conn.Close()
	d := dialog{Conn: conn}
	listener := []string{"chat", "keep", "once"}[h.Intn(3)]
	line := fmt.Sprintf("OPEN %s %d c=%s,d=%d,g=%d\r\n", id, h.Intn(50), listener, drawnWait/time.Millisecond, h.Intn(4))
	plan, cut := h.Intn(6), h.Intn(len(line))
	s := j.session(id)
	if h.Intn(3) == 0 {
		fmt.Fprint(conn, strings.Repeat("PING\r\n", h.Intn(20)))
	}
	fmt.Fprint(conn, line[:cut])
	if plan == 0 { // gone with half a line
		return
	}
	if h.Intn(3) == 0 {
		time.Sleep(time.Duration(h.Intn(5)) * time.Millisecond)
	}
	fmt.Fprint(conn, line[cut:])
	asked := time.Now()
	leave := leaves[[]string{"fin", "close", "rst"}[h.Intn(3)]]
	if plan == 1 || plan == 2 { // it goes right behind its line, or a little later
		time.Sleep(time.Duration(plan-1) * time.Duration(h.Intn(30)) * time.Millisecond)
		leave(d)
		j.mu.Lock()
		s.left = time.Now()
		j.mu.Unlock()
		if plan == 2 {
			io.Copy(io.Discard, conn)
		}
		return
	}
	conn.SetReadDeadline(asked.Add(drawnWait + 500*time.Millisecond)) // by the standing page it is lost from then on
	buf, heard := make([]byte, 4096), ""
	for {
		n, err := conn.Read(buf)
		heard += string(buf[:n])
		if !strings.HasSuffix(heard, "\n") && err == nil {
			continue
		}
		if heard = strings.ReplaceAll(heard, "PONG\r\n", ""); heard != "" {
			break
		}
		if err != nil {
			j.wrong("%s gets no answer: %v", id, err)
			return
		}
	}
	first, rest, _ := strings.Cut(heard, "\n")
	switch {
	case strings.HasPrefix(first, "UP"):
		fmt.Fprint(conn, "M 1\r\n")
		conn.SetReadDeadline(time.Now().Add(time.Duration(h.Intn(40)) * time.Millisecond))
		more, _ := io.ReadAll(conn)
		rest += string(more)
		for _, last := range []string{"MOVE\r\n", "BYE\r\n"} {
			if i := strings.Index(rest, last); i >= 0 && i+len(last) < len(rest) {
				j.wrong("%s gets %q", id, rest)
			}
		}
		leave(d)
	case strings.HasPrefix(first, "BUSY"), strings.HasPrefix(first, "ERR"), strings.HasPrefix(first, "BYE"):
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if more, err := io.ReadAll(conn); rest+string(more) != "" || err != nil {
			j.wrong("%s gets %q after %q, %v", id, rest+string(more), first, err)
		}
	default:
		j.wrong("%s gets %q", id, heard)
	}
}

// TestDrawn draws crossings of all kinds, with the rules checked from the outside after each: clients that leave at any
// moment, ends of the process, lists that change under dials, servers that answer in every way, half lines and PINGs,
// other settings under all of it; the loop stands still for a while in each, so that much comes due at once.
func TestDrawn(t *testing.T) {
	usual := []string{`"dialTimeout":800`, fmt.Sprintf(`"dialTimeout":%d`, drawnWait/time.Millisecond), `"messageAim":[100]`, `"messageAim":[100,100,100]`,
		`"listeners":[`, fmt.Sprintf(`"listeners":[{"name":"keep","dialTimeout":%d,"effect":"idempotency_key","group":"zone","repeatWindow":%d},`+
			`{"name":"once","dialTimeout":%d,"effect":"non_idempotent"},`, drawnWait/time.Millisecond, window/time.Millisecond, drawnWait/time.Millisecond)}
	const workers = 4
	before := runtime.NumGoroutine()
	t.Run("", func(t *testing.T) {
		for w := range workers {
			t.Run(fmt.Sprint(w), func(t *testing.T) {
				t.Parallel()
				var r *rig
				var servers []*post
				j := &judge{T: t}
				revision := 0
				for n := w; n < *draws; n += workers {
					seed := *from + int64(n)
					h := rand.New(rand.NewSource(seed))
					kind := n / workers % 6
					j.mu.Lock()
					j.what, j.sessions, j.drains, j.fates = fmt.Sprintf("seed %d, kind %d", seed, kind), map[string]*seen{}, map[string]time.Time{}, map[net.Conn]*fate{}
					j.zones = map[string]string{}
					j.mu.Unlock()
					if r == nil || kind == 1 {
						r, servers, revision = rigged(t, append(usual, `"proxy"`, []string{`"proxy"`, `"pass"`}[h.Intn(2)])...), nil, 0
						for range 3 {
							servers = append(servers, posted(t, nil))
						}
					}
					list := func(phases ...string) {
						revision++
						var entries []string
						for i, s := range servers {
							zone := []string{"a", "a", "elsewhere"}[i] // the settings name the first
							entries = append(entries, strings.Replace(member(fmt.Sprint("s-", i), s.at, phases[i]), `"locality":"a"`, fmt.Sprintf(`"locality":%q`, zone), 1))
							j.mu.Lock()
							j.zones[s.at] = zone
							j.mu.Unlock()
						}
						r.listed(revision, entries...)
						for i, s := range servers {
							j.mu.Lock()
							if delete(j.drains, s.at); phases[i] != "ready" {
								j.drains[s.at] = time.Now()
							}
							j.mu.Unlock()
						}
					}
					for _, s := range servers {
						s.mu.Lock()
						s.does, s.gone = j.does(seed), j.end
						s.mu.Unlock()
					}
					list("ready", "ready", "ready")
					takeBack := func() {}
					if kind == 3 {
						takeBack = r.slowConnects(seed, drawnWait*2/3)
					}
					var clients sync.WaitGroup
					release := func() {}
					for i := range 4 + h.Intn(5) {
						if i == 2 {
							release = r.stall()
						}
						own := rand.New(rand.NewSource(seed<<8 + int64(i)))
						clients.Go(func() { j.client(r.at, fmt.Sprintf("%x%02x", 0xa00000+seed, i), own, kind == 1) })
					}
					time.Sleep(time.Duration(h.Intn(60)) * time.Millisecond)
					told, took := time.Now(), make(chan time.Duration, 1)
					var reloaded sync.WaitGroup
					switch kind {
					case 1:
						go func(ended chan error) {
							if err := <-ended; err != nil {
								j.wrong("the process ends: %v", err)
							}
							took <- time.Since(told)
						}(r.ended)
						for range 2 {
							reloaded.Go(r.p.Leave)
						}
					case 2:
						release()
						release = func() {}
						list("draining", "ready", "ready")
					case 5:
						text := strings.Replace(r.text, `"name":"once"`, `"name":"later"`, 1)
						for range 2 {
							reloaded.Go(func() {
								if err := r.p.Reload([]byte(text)); err != nil {
									j.wrong("%v", err)
								}
							})
						}
						reloaded.Go(func() { r.p.execute(func() { r.p.table.MoveSome(1) }) })
					}
					release()
					clients.Wait()
					takeBack()
					reloaded.Wait()
					if kind == 1 {
						select {
						case took := <-took:
							if took < arrivalsAfterTerm || took > drawnWait+killMargin {
								j.wrong("the process ends after %v", took)
							}
						case <-time.After(5 * time.Second):
							j.wrong("the process does not end")
						}
						r = nil
						continue
					}
					if kind == 5 {
						if err := r.p.Reload([]byte(r.text)); err != nil {
							j.wrong("%v", err)
						}
					}
					r.over()
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
