package main

import (
	"flag"
	"fmt"
	"math/rand"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkferry/internal/faultinject"
	"chalkferry/internal/rehearse"
)

var (
	soakFirst = flag.Int64("soak.first", 1, "the first seed of TestSoak")
	soakSeeds = flag.Int64("soak.seeds", 5, "how many seeds TestSoak runs, one after the other")
	soakLogs  = flag.String("soak.logs", "", "a folder that keeps the proxies' logs by seed")
)

// soakDraw draws one run.
type soakDraw struct {
	*rand.Rand
	text strings.Builder
}

func (d *soakDraw) write(format string, args ...any) { fmt.Fprintf(&d.text, format+"\n", args...) }

// chance reports true in one of n draws.
func (d *soakDraw) chance(n int) bool { return d.Intn(n) == 0 }

// event writes one entry of the timeline.
func (d *soakDraw) event(kind string, atMs int, more ...string) {
	d.write("[[fault]]\nkind = %q\nat = \"%dms\"", kind, atMs)
	for _, line := range more {
		d.write("%s", line)
	}
}

// Times of a soak run, in milliseconds.
const (
	soakLengthMs = 7000
	soakSettleMs = 1000
	soakBusyMs   = 2500 // until when what happens beside restarts begins
)

// scenario draws the platform, the clients and the timeline. Proxies are told to end and are killed as early as the protocol
// page allows, while clients go on using open connections.
func (d *soakDraw) scenario(t *testing.T, seed int64) *rehearse.Scenario {
	t.Helper()
	proxies, isCrowded := 2+d.Intn(3), d.chance(3)
	d.write("about = \"Drawn by TestSoak.\"\nseed = %d\nlength = \"%dms\"\nsettle = \"%dms\"", seed, soakLengthMs, soakSettleMs)
	d.write("[proxies]\ncount = %d\npin = false\npasses = %t", proxies, d.chance(3))
	if isCrowded {
		d.write("sockets = 384")
	}
	d.write("[platform]\nnodes = 8\nspare = 2\nzones = [\"north\", \"south\"]")
	d.write("[clients]\ntitles = [\"noord\", \"zuid\"]\nmessage_every = \"%dms\"", 100+d.Intn(400))
	effects := []string{"repeatable", "referenced", "once-only"}
	d.write("[[listener]]\nname = \"page\"\nshare = 0.6\nload = 0.5\nlife = \"%dms\"\nhandshake_target = \"500ms\"\n"+
		"dial_timeout = \"%dms\"\nmessage_target = \"100ms\"", 500+d.Intn(9500), 800+d.Intn(2200))
	d.write("[[listener]]\nname = \"studio\"\nshare = 0.4\nload = 1\nlife = \"%dms\"\nhandshake_target = \"300ms\"\n"+
		"dial_timeout = \"%dms\"\nmessage_target = \"150ms\"\nutility = 3\neffect = %q\nrepeat_window = \"2s\"",
		500+d.Intn(9500), 600+d.Intn(1000), effects[d.Intn(len(effects))])
	d.write("[[arrivals]]\nshape = \"poisson\"\nrate = %d", 15+d.Intn(25))
	d.signals(proxies)
	d.trouble(isCrowded)
	s, err := rehearse.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(d.text.String()))
	if err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, d.text.String())
	}
	return s
}

// signals draws series of SIGHUP, and planned restarts with SIGHUP around them.
func (d *soakDraw) signals(proxies int) {
	for p := range proxies {
		at := 200 + d.Intn(soakBusyMs)
		for range d.Intn(12) { // some milliseconds apart, and at once
			d.event("proxy-reload", at, fmt.Sprintf("proxies = [%d]", p))
			at += d.Intn(3) * d.Intn(20)
		}
	}
	if d.chance(3) {
		d.event("rolling-restart", 1000+d.Intn(1500))
		return
	}
	for p := range 1 + d.Intn(proxies) {
		at := 500 + d.Intn(soakBusyMs)
		for range d.Intn(5) {
			d.event("proxy-reload", at, fmt.Sprintf("proxies = [%d]", p))
		}
		d.event("proxy-leave", at, fmt.Sprintf("proxies = [%d]", p), "for = \"100ms\"")
		if d.chance(2) {
			d.event("proxy-reload", at+d.Intn(600), fmt.Sprintf("proxies = [%d]", p))
		}
	}
}

// trouble draws what goes wrong at servers, discovery and other clients.
func (d *soakDraw) trouble(isCrowded bool) {
	at := func() int { return 300 + d.Intn(soakBusyMs) }
	if isCrowded {
		d.event("silent-clients", at(), "for = \"2s\"", fmt.Sprintf("count = %d", 300+d.Intn(900)))
		d.event("bad-clients", at(), "for = \"2s\"", fmt.Sprintf("count = %d", 50+d.Intn(250)))
	}
	for _, draw := range []func(){
		func() { d.event("hang", at(), "for = \"2s\"", "nodes = [0]") },
		func() { d.event("kill", at(), "for = \"1s\"", "nodes = [1]") },
		func() {
			d.event("drain", at(), "for = \"2s\"", "nodes = [2]", fmt.Sprintf("at_once = %t", d.chance(2)))
		},
		func() { d.event("vanish", at(), "for = \"2s\"", "nodes = [3]") },
		func() { d.event("add", at(), "count = 2") },
		func() { d.event("list-down", at(), "for = \"1s\"") },
		func() { d.event("list-cut", at(), "for = \"500ms\"") },
		func() { d.event("list-moved", at()) },
		func() { d.event("clients-drop", at(), "share = 0.3") },
	} {
		if d.chance(4) {
			draw()
		}
	}
}

// plan draws what fails in each proxy.
func (d *soakDraw) plan(seed int64) faultinject.Plan {
	plan := faultinject.Plan{Seed: seed}
	for _, f := range soakFaults {
		if d.chance(3) {
			f.Every *= 1 + d.Intn(4)
			f.Run = 1 + d.Intn(4)
			plan.Faults = append(plan.Faults, f)
		}
	}
	if d.chance(3) {
		plan.Faults = append(plan.Faults, d.outage())
	}
	return plan
}

// outage draws a span in which each call of a kind fails: what the kernel reports comes again and again meanwhile.
func (d *soakDraw) outage() faultinject.Fault {
	f := soakOutages[d.Intn(len(soakOutages))]
	f.Every, f.Run = 1, 1
	f.From = time.Duration(500+d.Intn(soakBusyMs)) * time.Millisecond
	f.To = f.From + time.Duration(50+d.Intn(200))*time.Millisecond
	return f
}

// soakOutages are the calls that may fail each time for a while.
var soakOutages = []faultinject.Fault{
	{Call: unix.SYS_ACCEPT4, Errno: unix.ENFILE},
	{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.ENOMEM},
	{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.EAGAIN},
	{Call: unix.SYS_WRITE, Target: faultinject.Socket, Errno: unix.ENOBUFS},
	{Call: unix.SYS_EPOLL_CTL, Target: faultinject.NotEventFD, Errno: unix.ENOMEM},
	{Call: unix.SYS_SOCKET, Errno: unix.ENFILE},
	{Call: unix.SYS_FCNTL, Target: faultinject.Socket, Errno: unix.EMFILE},
	{Call: unix.SYS_GETSOCKOPT, Target: faultinject.Socket, Errno: unix.ENOBUFS},
}

// soakFaults are what TestSoak draws from, each at its most frequent.
var soakFaults = []faultinject.Fault{
	{Call: unix.SYS_ACCEPT4, Errno: unix.ENFILE, Every: 10}, {Call: unix.SYS_ACCEPT4, Errno: unix.EMFILE, Every: 10},
	{Call: unix.SYS_ACCEPT4, Errno: unix.ECONNABORTED, Every: 10}, {Call: unix.SYS_ACCEPT4, Errno: unix.ENOBUFS, Every: 10},
	{Call: unix.SYS_ACCEPT4, Errno: unix.EPROTO, Every: 10}, {Call: unix.SYS_ACCEPT4, Errno: unix.EINTR, Every: 10},
	{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.EINTR, Every: 10},
	{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.ENOMEM, Every: 10},
	{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: faultinject.Partial, Every: 2},
	{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.ETIMEDOUT, Every: 150},
	{Call: unix.SYS_READ, Target: faultinject.Socket, Errno: unix.EHOSTUNREACH, Every: 150},
	{Call: unix.SYS_WRITE, Target: faultinject.Socket, Errno: unix.EINTR, Every: 10},
	{Call: unix.SYS_WRITE, Target: faultinject.Socket, Errno: unix.EAGAIN, Every: 10},
	{Call: unix.SYS_WRITE, Target: faultinject.Socket, Errno: unix.ENOBUFS, Every: 10},
	{Call: unix.SYS_WRITE, Target: faultinject.Socket, Errno: faultinject.Partial, Every: 2},
	{Call: unix.SYS_WRITE, Target: faultinject.Socket, Errno: unix.EHOSTUNREACH, Every: 150},
	{Call: unix.SYS_WRITE, Target: faultinject.EventFD, Errno: unix.EINTR, Every: 10},
	{Call: unix.SYS_EPOLL_CTL, Target: faultinject.NotEventFD, Errno: unix.ENOMEM, Every: 10, From: 200e6},
	{Call: unix.SYS_EPOLL_CTL, Target: faultinject.NotEventFD, Errno: unix.ENOSPC, Every: 10, From: 200e6},
	{Call: unix.SYS_EPOLL_WAIT, Errno: unix.EINTR, Every: 5}, {Call: unix.SYS_EPOLL_PWAIT, Errno: unix.EINTR, Every: 5},
	{Call: unix.SYS_SOCKET, Errno: unix.ENFILE, Every: 5}, {Call: unix.SYS_SOCKET, Errno: unix.ENOBUFS, Every: 5},
	{Call: unix.SYS_CONNECT, Errno: unix.EADDRNOTAVAIL, Every: 5}, {Call: unix.SYS_CONNECT, Errno: unix.ENETUNREACH, Every: 5},
	{Call: unix.SYS_CONNECT, Errno: unix.EINTR, Every: 5},
	{Call: unix.SYS_FCNTL, Target: faultinject.Socket, Errno: unix.EMFILE, Every: 5},
	{Call: unix.SYS_GETPEERNAME, Target: faultinject.Socket, Errno: unix.ENOBUFS, Every: 10},
	{Call: unix.SYS_SETSOCKOPT, Target: faultinject.Socket, Errno: unix.ENOMEM, Every: 10},
	{Call: unix.SYS_SHUTDOWN, Target: faultinject.Socket, Errno: unix.ENOBUFS, Every: 5},
	{Call: unix.SYS_RECVFROM, Target: faultinject.Socket, Errno: unix.EINTR, Every: 5},
	{Call: unix.SYS_RECVFROM, Target: faultinject.Socket, Errno: unix.EHOSTUNREACH, Every: 50},
	{Call: unix.SYS_OPENAT, Target: faultinject.OpenedConfig, Errno: unix.EIO, Every: 3},
	{Call: unix.SYS_WRITE, Target: faultinject.StandardOutput, Errno: unix.ENOSPC, Every: 5},
	{Call: unix.SYS_WRITE, Target: faultinject.StandardOutput, Errno: unix.EIO, Every: 5},
	{Call: unix.SYS_GETSOCKOPT, Target: faultinject.Socket, Errno: unix.ENOBUFS, Every: 10},
	{Call: unix.SYS_GETSOCKNAME, Target: faultinject.Socket, Errno: unix.ENOBUFS, Every: 10},
	{Call: unix.SYS_NANOSLEEP, Errno: unix.EINTR, Every: 5},
	{Call: unix.SYS_MADVISE, Errno: unix.ENOMEM, Every: 5},
}

// TestSoak runs drawn scenarios under drawn faults, with signals in series and, in some, a crowd: whatever meets, no rule is
// broken and no proxy ends by itself. More seeds are run by hand:
//
//	go test -run TestSoak ./cmd/chalkferry -soak.first 1000 -soak.seeds 50
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			d := &soakDraw{Rand: rand.New(rand.NewSource(seed))}
			s := d.scenario(t, seed)
			logs := ""
			if *soakLogs != "" {
				logs = filepath.Join(*soakLogs, fmt.Sprint(seed))
			}
			underFaults(t, s, d.plan(seed), logs)
			if t.Failed() {
				t.Log(d.text.String())
			}
		})
	}
}
