package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chalkferry/internal/sharing"
	"chalkferry/internal/standin/udplink"
)

// TestFleet runs three proxies in two regions, with two aggregators in each, as processes with simulated network links
// between them. It checks that all proxies agree on the sum of their sessions: under loss, duplication and delay of
// datagrams, while some links are cut, while a proxy is stopped, after one was killed and restarted, after a replay of its
// old datagrams, and after ten thousand malformed datagrams.
func TestFleet(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chalkferry")
	buildProgram(t, binary)
	f := newTestFleet(t, binary)
	first := f.proxies[0].open(t, 3, "aaaaaaaa")
	f.proxies[1].open(t, 2, "bbbbbbbb")
	f.proxies[2].open(t, 1, "cccccccc")
	f.expectWhole("at the start", 6, 0, 1, 2)

	f.forEachLink(func(link *udplink.Link) { link.SetFaults(1.0/3, 1.0/2, 300*time.Millisecond) })
	f.proxies[1].open(t, 2, "dddddddd")
	f.expect("with a third of the datagrams lost, half duplicated, and delays up to 300 ms", 8, 0, 1, 2)
	f.forEachLink(func(link *udplink.Link) { link.SetFaults(0, 0, 0) })

	f.links[0][westA].cut(true) // proxy 0 has only west-b, and west-a and west-b reach each other only through the other region
	f.exchanges[westA][westB].SetDown(true)
	f.exchanges[westB][westA].SetDown(true)
	first[0].Close()
	f.expectWhole("with one aggregator cut off from proxy 0 and from its peer", 7, 0, 1, 2)

	f.cutProxy(0, true)
	f.expectPart("proxy 0 cut off", 2, 0)
	f.expect("proxy 0 cut off", 5, 1, 2)
	f.forEachLink(func(link *udplink.Link) { link.SetDown(false) })
	f.expectWhole("links restored", 7, 0, 1, 2)

	f.proxies[2].cmd.Process.Signal(syscall.SIGSTOP)
	f.expect("proxy 2 stopped", 6, 0, 1)
	f.proxies[2].cmd.Process.Signal(syscall.SIGCONT)
	f.expectWhole("proxy 2 continued", 7, 0, 1, 2)

	f.proxies[1].kill()
	f.expect("proxy 1 killed", 3, 0, 2)
	f.replayProxy(1)
	f.hold("during the replay of its old datagrams", 3, time.Second, 0, 2)
	f.expect("after the replay of its old datagrams", 3, 0, 2)
	f.proxies[1].start(t, binary)
	f.proxies[1].open(t, 1, "eeeeeeee")
	f.expectWhole("proxy 1 restarted without its old sessions", 4, 0, 1, 2)

	f.sendMalformed()
	f.expectWhole("after ten thousand malformed datagrams", 4, 0, 1, 2)
	f.hold("after ten thousand malformed datagrams", 4, time.Second, 0, 1, 2)
	s, _ := f.memberStatus(0)
	if s.Datagrams.Accepted == 0 || s.Datagrams.Sent == 0 || s.Datagrams.Malformed == 0 {
		t.Errorf("datagrams of proxy 0: %+v", s.Datagrams)
	}
	a, _ := f.aggregatorStatus(westA)
	if a.Datagrams.Accepted == 0 || a.Datagrams.Sent == 0 || a.Datagrams.Malformed == 0 {
		t.Errorf("datagrams of aggregator west-a: %+v", a.Datagrams)
	}
	for file, want := range map[string]string{
		f.proxies[0].args[3]:         "member proxy-0 in west",
		f.aggregators[eastB].args[1]: "aggregator east-b in east",
	} {
		if out, err := exec.Command(binary, "fleet", "status", file).Output(); err != nil || !bytes.Contains(out, []byte(want)) {
			t.Errorf("fleet status: %v: %s", err, out)
		}
	}
}

// replayProxy sends the first and the latest datagrams of a proxy again.
func (f *testFleet) replayProxy(i int) {
	for _, l := range f.links[i] {
		if l != nil {
			l.up.Replay()
			l.replay()
		}
	}
}

// sendMalformed sends ten thousand malformed datagrams to an aggregator, and as many to a proxy.
func (f *testFleet) sendMalformed() {
	for _, datagram := range [][]byte{{}, {0xff}, bytes.Repeat([]byte{0}, 60000), {0xa2, 0, 9, 1, 1}, {0xa2, 0, 1, 1, 7}} {
		for range 2000 {
			f.exchanges[eastA][westA].Send(datagram)
			f.links[0][westA].down.Send(datagram)
		}
	}
}

// TestFleetIsOff checks that the run command of deploy/balancer.toml, which has no --fleet, does not share anything even if
// valid member and aggregator files lie in its working folder and environment variables name one: the process opens no UDP
// socket, sends no datagram and logs nothing about it.
func TestFleetIsOff(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "bin", "chalkferry")
	buildProgram(t, binary)
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(deploy), `run = "`)
	run, _, ok := strings.Cut(rest, `"`)
	if !ok {
		t.Fatal("the deploy file has no run entry")
	}
	folder := filepath.Dir(filepath.Dir(binary))
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	member := fmt.Sprintf("name = \"proxy-0\"\nregion = \"west\"\nzone = \"west-1\"\nlisten = %q\nreport_interval = \"10ms\"\n"+
		"aggregators = [{name = \"west-a\", address = %q}]\n", unusedAddress(t, "udp4"), receiver.LocalAddr())
	aggregator := fmt.Sprintf("name = \"west-a\"\nregion = \"west\"\nlisten = %q\nexchange_interval = \"10ms\"\n"+
		"peers = [{name = \"west-b\", region = \"west\", address = %q}]\n", unusedAddress(t, "udp4"), receiver.LocalAddr())
	for name, text := range map[string]string{"fleet.toml": member, "chalkferry.toml": member, "config.toml": member,
		"member.toml": member, "aggregator.toml": aggregator, "aggregate.toml": aggregator} {
		os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600)
	}
	for name, read := range map[string]func(string) error{
		"fleet.toml":      func(name string) error { _, err := sharing.ReadMember(name); return err },
		"aggregator.toml": func(name string) error { _, err := sharing.ReadAggregator(name); return err },
	} { // with invalid files the test would prove nothing
		if err := read(filepath.Join(folder, name)); err != nil {
			t.Fatal(err)
		}
	}
	p := &fleetProcess{listen: unusedAddress(t, "tcp4")}
	config := filepath.Join(folder, "config.json")
	os.WriteFile(config, []byte(fmt.Sprintf(configuration, p.listen, startPlatform(t))), 0o600)
	p.cmd = exec.Command("sh", "-c", run)
	p.cmd.Dir = folder
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+config, "FLEET="+filepath.Join(folder, "fleet.toml"),
		"CHALKFERRY_FLEET="+filepath.Join(folder, "fleet.toml"))
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stopped := false
	defer func() {
		if !stopped {
			p.kill()
		}
	}()
	p.open(t, 2, "ffffffff")
	p.cmd.Process.Signal(syscall.SIGHUP)
	receiver.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if n, err := receiver.Read(make([]byte, 2000)); err == nil {
		t.Errorf("received a datagram of %d bytes", n)
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	udp, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, fd := range fds {
		fdTarget, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", p.cmd.Process.Pid, fd.Name()))
		if inode := strings.TrimSuffix(strings.TrimPrefix(fdTarget, "socket:["), "]"); inode != fdTarget && strings.Contains(string(udp), " "+inode+" ") {
			t.Errorf("the process has a UDP socket: %s", fdTarget)
		}
	}
	p.kill()
	stopped = true
	if strings.Contains(p.log.String(), "fleet") || strings.Contains(p.log.String(), "aggregat") || !strings.Contains(p.log.String(), "serving") {
		t.Errorf("the log mentions the fleet, or does not say that the proxy serves: %s", p.log.String())
	}
}
