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

// TestFleet runs three proxies and two aggregators in each of two regions as processes, with ways of the test's own
// between them: what the proxies hold adds up at all of them, through loss, doubled and late datagrams, cuts that leave
// one way round, a proxy that is stopped, one that is killed and started again, datagrams of before played again, and
// ten thousand that nobody can read.
func TestFleet(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chalkferry")
	build(t, binary)
	f := newTestFleet(t, binary)
	first := f.proxies[0].open(t, 3, "aaaaaaaa")
	f.proxies[1].open(t, 2, "bbbbbbbb")
	f.proxies[2].open(t, 1, "cccccccc")
	f.expectWhole("at first", 6, 0, 1, 2)

	f.eachWay(func(w *udplink.Link) { w.SetFaults(1.0/3, 1.0/2, 300*time.Millisecond) })
	f.proxies[1].open(t, 2, "dddddddd")
	f.expect("with a third lost, doubled and late datagrams", 8, 0, 1, 2)
	f.eachWay(func(w *udplink.Link) { w.SetFaults(0, 0, 0) })

	f.links[0][westA].cut(true) // a proxy and the regions have one aggregator in common
	f.exchanges[westA][westB].SetDown(true)
	f.exchanges[westB][westA].SetDown(true)
	first[0].Close()
	f.expectWhole("with one way cut", 7, 0, 1, 2)

	f.cutProxy(0, true)
	f.expectPart("alone", 2, 0)
	f.expect("without one", 5, 1, 2)
	f.eachWay(func(w *udplink.Link) { w.SetDown(false) })
	f.expectWhole("healed", 7, 0, 1, 2)

	f.proxies[2].cmd.Process.Signal(syscall.SIGSTOP)
	f.expect("while one is stopped", 6, 0, 1)
	f.proxies[2].cmd.Process.Signal(syscall.SIGCONT)
	f.expectWhole("once it goes on", 7, 0, 1, 2)

	f.proxies[1].kill()
	f.expect("one is dead", 3, 0, 2)
	f.replayProxy(1)
	f.hold("its old datagrams come again", 3, time.Second, 0, 2)
	f.expect("its old datagrams have come again", 3, 0, 2)
	f.proxies[1].start(t, binary)
	f.proxies[1].open(t, 1, "eeeeeeee")
	f.expectWhole("it is back, with nothing of before", 4, 0, 1, 2)

	f.sendNonsense()
	f.expectWhole("after ten thousand datagrams that say nothing", 4, 0, 1, 2)
	f.hold("after ten thousand datagrams that say nothing", 4, time.Second, 0, 1, 2)
	s, _ := f.memberStatus(0)
	if s.Datagrams.Accepted == 0 || s.Datagrams.Sent == 0 || s.Datagrams.Malformed == 0 {
		t.Errorf("a proxy's datagrams: %+v", s.Datagrams)
	}
	a, _ := f.aggregatorStatus(westA)
	if a.Datagrams.Accepted == 0 || a.Datagrams.Sent == 0 || a.Datagrams.Malformed == 0 {
		t.Errorf("an aggregator's datagrams: %+v", a.Datagrams)
	}
	for file, want := range map[string]string{
		f.proxies[0].args[3]:         "member proxy-0 in west",
		f.aggregators[eastB].args[1]: "aggregator east-b in east",
	} {
		if out, err := exec.Command(binary, "fleet", "status", file).Output(); err != nil || !bytes.Contains(out, []byte(want)) {
			t.Errorf("status as text: %v: %s", err, out)
		}
	}
}

// replayProxy plays the first and the latest datagrams of a proxy again, as if they were new.
func (f *testFleet) replayProxy(i int) {
	for _, l := range f.links[i] {
		if l != nil {
			l.up.Replay()
			l.replay()
		}
	}
}

// sendNonsense sends ten thousand datagrams that nobody can read to an aggregator, and as many to a proxy.
func (f *testFleet) sendNonsense() {
	for _, datagram := range [][]byte{{}, {0xff}, bytes.Repeat([]byte{0}, 60000), {0xa2, 0, 9, 1, 1}, {0xa2, 0, 1, 1, 7}} {
		for range 2000 {
			f.exchanges[eastA][westA].Send(datagram)
			f.links[0][westA].down.Send(datagram)
		}
	}
}

// TestFleetIsOff: run, as the deploy file has it, shares nothing, whatever lies beside the configuration and in the
// folder that it runs in: no socket for datagrams, no datagram, and no line on it.
func TestFleetIsOff(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "bin", "chalkferry")
	build(t, binary)
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(deploy), `run = "`)
	run, _, ok := strings.Cut(rest, `"`)
	if !ok {
		t.Fatal("the deploy file has no run")
	}
	folder := filepath.Dir(filepath.Dir(binary))
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	member := fmt.Sprintf("name = \"proxy-0\"\nregion = \"west\"\nzone = \"west-1\"\nlisten = %q\nreport_interval = \"10ms\"\n"+
		"aggregators = [{name = \"west-a\", address = %q}]\n", free(t, "udp4"), other.LocalAddr())
	aggregator := fmt.Sprintf("name = \"west-a\"\nregion = \"west\"\nlisten = %q\nexchange_interval = \"10ms\"\n"+
		"peers = [{name = \"west-b\", region = \"west\", address = %q}]\n", free(t, "udp4"), other.LocalAddr())
	for name, text := range map[string]string{"fleet.toml": member, "chalkferry.toml": member, "config.toml": member,
		"member.toml": member, "aggregator.toml": aggregator, "aggregate.toml": aggregator} {
		os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600)
	}
	for name, read := range map[string]func(string) error{
		"fleet.toml":      func(name string) error { _, err := sharing.ReadMember(name); return err },
		"aggregator.toml": func(name string) error { _, err := sharing.ReadAggregator(name); return err },
	} { // files that could not be used would prove nothing
		if err := read(filepath.Join(folder, name)); err != nil {
			t.Fatal(err)
		}
	}
	p := &running{listen: free(t, "tcp4")}
	config := filepath.Join(folder, "config.json")
	os.WriteFile(config, []byte(fmt.Sprintf(configuration, p.listen, platform(t))), 0o600)
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
	other.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if n, err := other.Read(make([]byte, 2000)); err == nil {
		t.Errorf("a datagram of %d bytes", n)
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
		to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", p.cmd.Process.Pid, fd.Name()))
		if inode := strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]"); inode != to && strings.Contains(string(udp), " "+inode+" ") {
			t.Errorf("a socket for datagrams: %s", to)
		}
	}
	p.kill()
	stopped = true
	if strings.Contains(p.log.String(), "fleet") || strings.Contains(p.log.String(), "aggregat") || !strings.Contains(p.log.String(), "serving") {
		t.Errorf("the log: %s", p.log.String())
	}
}
