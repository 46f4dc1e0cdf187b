package rehearse

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chalkferry/internal/standin/judge"
)

// TestMain also runs as the proxy under test: the rehearsal starts this test's program through a symbolic link, whose name
// selects the behavior.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "serve" {
		serveAsTestProxy(filepath.Base(os.Args[0]), os.Args[2])
	}
	os.Exit(m.Run())
}

// serveAsTestProxy serves as a proxy that dials the nodes in turn. The behavior names the rule that it breaks and how;
// "correct" breaks none.
func serveAsTestProxy(behavior, file string) {
	var config struct {
		Listen, Discovery string
		Known             struct {
			Members []struct {
				HostPort string `json:"host_port"`
			}
		}
	}
	signal.Ignore(syscall.SIGHUP) // changes of the configuration are not needed here
	text, _ := os.ReadFile(file)
	if json.Unmarshal(text, &config) != nil {
		os.Exit(3)
	}
	go func() { // receives changes from discovery and ignores them
		if answer, err := http.Get("http://" + config.Discovery + "/api/targets?watch=1&after=1"); err == nil {
			for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
			}
		}
	}()
	l, err := net.Listen("tcp", config.Listen)
	if err != nil {
		os.Exit(4)
	}
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			os.Exit(5)
		}
		nodes := config.Known.Members
		if len(nodes) == 0 {
			c.Close()
			continue
		}
		index := n
		if behavior == "cold" || behavior == "drain" {
			index = 0
		}
		go serveTestClient(behavior, c, nodes[index%len(nodes)].HostPort, nodes[(index+1)%len(nodes)].HostPort)
	}
}

// serveTestClient serves one client of the test proxy.
func serveTestClient(behavior string, c net.Conn, firstNode, secondNode string) {
	defer c.Close()
	lines := bufio.NewReader(c)
	open, err := lines.ReadString('\n')
	if open == "PING\r\n" {
		fmt.Fprint(c, "PONG\r\n")
		return
	}
	if err != nil {
		return
	}
	dial := func(to string) (net.Conn, *bufio.Reader, string) {
		s, err := net.Dial("tcp", to)
		if err != nil {
			return nil, nil, ""
		}
		fmt.Fprint(s, open)
		r := bufio.NewReader(s)
		answer, _ := r.ReadString('\n')
		return s, r, answer
	}
	switch behavior {
	case "silent":
		time.Sleep(5 * time.Second)
		return
	case "two-answers":
		fmt.Fprint(c, "BUSY\r\nBUSY\r\n")
		return
	case "made-up":
		fmt.Fprint(c, "UP mine\r\n")
		return
	case "gives-up":
		return
	}
	server, serverLines, answer := dial(firstNode)
	if server == nil {
		fmt.Fprint(c, "BUSY\r\n")
		return
	}
	defer server.Close()
	switch behavior {
	case "two-dials":
		other, _, _ := dial(secondNode)
		if other != nil {
			defer other.Close()
		}
		time.Sleep(150 * time.Millisecond)
	case "again": // dials again after a dial that may have run the session
		server.Close()
		if server, serverLines, answer = dial(secondNode); server == nil {
			return
		}
		defer server.Close()
	}
	fmt.Fprint(c, answer)
	if behavior == "cuts-off" {
		time.Sleep(200 * time.Millisecond)
		return
	}
	if behavior == "holds-back" {
		time.Sleep(1500 * time.Millisecond)
	}
	go func() {
		lines.WriteTo(server)
		server.(*net.TCPConn).CloseWrite()
	}()
	serverLines.WriteTo(c)
}

// smallScenarioTemplate is a scenario with places for its length, further keys of the platform, the listener's effect, and
// faults.
const smallScenarioTemplate = `length = "%s"
[proxies]
count = 1
[platform]
nodes = 2
spare = 1
cold_from = 0.1
fall_window = "1s"
list_late = "50ms"
drain_grace = "300ms"
%s
[clients]
message_every = "200ms"
retries = 0
[[listener]]
name = "page"
share = 1.0
life = "10s"
handshake_target = "200ms"
dial_timeout = "800ms"
effect = "%s"
[[arrivals]]
shape = "steady"
rate = 20
%s`

// Each rule that a faulty proxy breaks is reported; the same proxy without a fault gives no violation.
func TestWickedProxies(t *testing.T) {
	drain := "[[fault]]\nkind = \"drain\"\nat = \"200ms\"\nfor = \"2s\"\nnodes = [0]\n"
	restart := "[[fault]]\nkind = \"restart\"\nat = \"100ms\"\nnodes = [0]\n"
	for _, c := range []struct {
		behavior, effect, faults, platform string
		rule                               judge.Rule
	}{
		{"correct", "repeatable", "", "", ""},
		{"correct", "once-only", "", "", ""},
		{"silent", "repeatable", "", "", judge.SessionLost},
		{"two-answers", "repeatable", "", "", judge.SessionLost},
		{"made-up", "repeatable", "", "", judge.SessionLost},
		{"gives-up", "repeatable", "", "", judge.SessionLost},
		{"cuts-off", "repeatable", "", "", judge.SessionLost},
		{"holds-back", "repeatable", "", "", judge.SessionLost},
		{"two-dials", "repeatable", "", "", judge.DuplicateEffect},
		{"again", "once-only", "", "", judge.DuplicateEffect},
		{"drain", "repeatable", drain, "", judge.DrainIgnored},
		{"cold", "repeatable", restart, "sessions_per_core = 4", judge.ColdNodeOverloaded},
	} {
		t.Run(c.behavior+" "+c.effect, func(t *testing.T) {
			t.Parallel()
			s, err := Parse("small.toml", fmt.Appendf(nil, smallScenarioTemplate, "3s", c.platform, c.effect, c.faults))
			if err != nil {
				t.Fatal(err)
			}
			r := runWithTestProxy(t, context.Background(), s, c.behavior)
			if r.Scheduled != 60 || c.rule == "" && len(r.Rules) > 0 {
				t.Fatalf("%d sessions scheduled, want 60; violations %v", r.Scheduled, r.Rules)
			}
			if c.rule == "" {
				return
			}
			if r.RuleCounts[c.rule] == 0 || r.OK() {
				t.Fatalf("no violation of %q: violations %v, failures %v, clients %+v, samples %+v", c.rule, r.RuleCounts, r.Failed, r.Clients, r.Samples)
			}
			for _, violation := range r.Rules {
				if violation.Rule == c.rule && c.rule != judge.ColdNodeOverloaded && (violation.Session == "" || violation.AtMs <= 0) {
					t.Errorf("violation without session or time: %v", violation)
				}
			}
		})
	}
}

// runWithTestProxy runs a scenario with this test's program as the proxy, with the given behavior.
func runWithTestProxy(t *testing.T, ctx context.Context, s *Scenario, behavior string) *Report {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	binary := filepath.Join(t.TempDir(), behavior)
	if err := os.Symlink(self, binary); err != nil {
		t.Fatal(err)
	}
	r, err := Run(ctx, s, Options{Proxy: binary})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// An interrupted run must report what it has seen, and leave no process behind.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	s, err := Parse("small.toml", fmt.Appendf(nil, smallScenarioTemplate, "20s", "", "repeatable", ""))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r := runWithTestProxy(t, ctx, s, "correct")
	if !r.Interrupted || r.Sessions == 0 || r.Sessions >= int64(r.Scheduled) || len(r.Rules) > 0 {
		t.Fatalf("interrupted %v, %d of %d sessions, violations %v", r.Interrupted, r.Sessions, r.Scheduled, r.Rules)
	}
	for _, pid := range proxyPIDs(t) {
		t.Errorf("process %d is left behind", pid)
	}
	for _, write := range []func(string) error{r.WriteJSON, r.WriteHTML} {
		file := filepath.Join(t.TempDir(), "report")
		if err := write(file); err != nil {
			t.Error(err)
		}
		if text, _ := os.ReadFile(file); !bytes.Contains(text, []byte("small")) {
			t.Errorf("%s does not name the scenario", file)
		}
	}
}

// If the proxy program exits at once, Run must return an error that says so.
func TestNoProxy(t *testing.T) {
	s, err := Parse("small.toml", fmt.Appendf(nil, smallScenarioTemplate, "2s", "", "repeatable", ""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), s, Options{Proxy: "/bin/false"}); err == nil || !strings.Contains(err.Error(), "does not serve") {
		t.Fatalf("error %v, want one that says the proxy does not serve", err)
	}
}

// A scenario with a mistake must be refused with the mistake's line. Two schedules of one seed must be equal.
func TestRefusedScenarios(t *testing.T) {
	validText := fmt.Sprintf(smallScenarioTemplate, "3s", "", "repeatable", "")
	lines := strings.Count(validText, "\n") + 1
	for _, c := range []struct {
		text, want string
	}{
		{strings.Replace(validText, "nodes = 2", "nodes = 2\ncolour = 1", 1), "bad.toml:6: unknown key"},
		{strings.Replace(validText, "nodes = 2", "nodes = 0", 1), "bad.toml:5: platform.nodes: "},
		{strings.Replace(validText, "rate = 20", "rate = -1.0", 1), fmt.Sprintf("bad.toml:%d: arrivals[0].rate: ", lines-1)},
		{strings.Replace(validText, `"repeatable"`, `"sometimes"`, 1), "effect"},
		{validText + "[[fault]]\nkind = \"hang\"\nat = \"4s\"\nnodes = [0]", fmt.Sprintf("bad.toml:%d: fault[0].at: ", lines+2)},
		{validText + "[[fault]]\nkind = \"hang\"\nat = \"1s\"\nfor = \"9s\"\nnodes = [0]", fmt.Sprintf("bad.toml:%d: fault[0].for: ", lines+3)},
		{validText + "[[fault]]\nkind = \"hang\"\nat = \"1s\"\nnodes = [7]", fmt.Sprintf("bad.toml:%d: fault[0].nodes: there are nodes 0 to 2", lines+3)},
		{validText + "[[fault]]\nkind = \"hang\"\nat = \"1s\"", fmt.Sprintf("bad.toml:%d: fault[0].nodes: must be named", lines)},
		{validText + "[[fault]]\nkind = \"sulk\"\nat = \"1s\"", fmt.Sprintf("bad.toml:%d: fault[0].kind: ", lines+1)},
		{validText + "[[fault]]\nkind = \"proxy-kill\"\nat = \"1s\"\nproxies = [3]", "proxies 0 to 0"},
		{validText + "[trace]\nspeed = 1000.0", "trace.speed"},
		{`length = "3s"`, "listener: there is none"},
	} {
		if _, err := Parse("bad.toml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want %q", err, c.want)
		}
	}
	for _, name := range BuiltIn() {
		s, err := Load(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		a, errA := s.Schedule()
		b, errB := s.Schedule()
		if errA != nil || errB != nil || len(a) == 0 || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("%s: two schedules of one seed: %d and %d sessions, %v, %v", name, len(a), len(b), errA, errB)
		}
	}
}

// Ratios near 1 are reported as noise, a clear difference is not, and pairs with a 0 have no ratio.
func TestRatio(t *testing.T) {
	same := ratio("x", []float64{10, 11, 9, 10, 12}, []float64{11, 10, 9.5, 10.5, 11})
	lower := ratio("x", []float64{10, 11, 9, 10, 12}, []float64{5, 5.6, 4.4, 5.1, 6})
	if !same.Noise || lower.Noise || lower.Ratio < 0.45 || lower.Ratio > 0.55 || lower.Low > lower.Ratio || lower.High < lower.Ratio {
		t.Fatalf("similar values: %+v, want noise; halved values: %+v, want a ratio of about 0.5", same, lower)
	}
	if none := ratio("x", []float64{0, 0}, []float64{1, 0}); !none.Noise || len(none.Pairs) > 0 {
		t.Fatalf("values of 0: %+v, want noise and no pairs", none)
	}
}

// TestNaNShareIsRefused: a share that is not a number is refused; comparisons with NaN are all false.
func TestNaNShareIsRefused(t *testing.T) {
	valid := fmt.Sprintf(smallScenarioTemplate, "3s", "", "repeatable", "")
	text := strings.Replace(valid, "share = 1.0", "share = nan", 1)
	if text == valid {
		t.Fatal("the scenario has no share to replace")
	}
	if _, err := Parse("bad.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), "share") {
		t.Errorf("error %v, want one on the share", err)
	}
}
