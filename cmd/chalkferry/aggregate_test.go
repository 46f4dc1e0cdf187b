package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkferry/internal/aggregation"
	"chalkferry/internal/sharing"
	"chalkferry/internal/standin/udplink"
)

// TestAggregators runs fleets of processes through faults of aggregators, and through datagrams of unknown senders. The
// tests check sums and bounds, not how fast the fleet gets there.
func TestAggregators(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chalkferry")
	buildProgram(t, binary)
	for _, c := range []struct {
		name string
		test func(*testFleet)
	}{
		{"OneKilled", testOneKilled},
		{"BothKilledAndBack", testBothKilled},
		{"RestartedEmpty", testRestartedEmpty},
		{"Frozen", testFrozen},
		{"RegionCutOff", testRegionCutOff},
		{"Strangers", testStrangers},
		{"TwoProcessesOfOneName", testTwoProcesses},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, binary)
			f.proxies[0].open(t, 2, "aaaaaaaa")
			f.proxies[1].open(t, 1, "bbbbbbbb")
			f.proxies[2].open(t, 1, "cccccccc")
			f.expectWhole("at the start", 4, 0, 1, 2)
			c.test(f)
		})
	}
}

// testOneKilled checks that, while one aggregator of a region is dead, the other one carries all changes of the region.
func testOneKilled(f *testFleet) {
	f.aggregators[westA].kill()
	f.proxies[0].open(f.t, 1, "dddddddd")
	f.expectWhole("one aggregator of a region killed", 5, 0, 1, 2)
	f.aggregators[eastB].kill()
	f.proxies[2].open(f.t, 1, "eeeeeeee")
	f.expectWhole("one aggregator of each region killed", 6, 0, 1, 2)
}

// testBothKilled checks that, while both aggregators of a region are dead, each proxy there has only its own sessions, the
// other region has its own sum, and both report that the sum does not cover all members. After a restart all have the sum.
func testBothKilled(f *testFleet) {
	f.aggregators[westA].kill()
	f.aggregators[westB].kill()
	f.proxies[2].open(f.t, 1, "dddddddd")
	f.expectPart("own aggregators killed", 2, 0)
	f.expectPart("own aggregators killed", 1, 1)
	f.expectPart("the other region's aggregators killed", 2, 2)
	f.aggregators[westA].start(f.t, f.binary)
	f.aggregators[westB].start(f.t, f.binary)
	f.expectWhole("both aggregators restarted", 5, 0, 1, 2)
}

// testRestartedEmpty checks that an aggregator which restarts with no state, beside one with the full state, causes no wrong
// sum that is reported as covering all members.
func testRestartedEmpty(f *testFleet) {
	for _, i := range []int{westA, westB} {
		f.aggregators[i].kill()
		f.aggregators[i].start(f.t, f.binary)
		f.hold("restarted empty: "+aggregatorNames[i], 4, testFreshness, 0, 1, 2)
		f.expectWhole("restarted empty: "+aggregatorNames[i], 4, 0, 1, 2)
	}
}

// testFrozen checks that an aggregator which was stopped (SIGSTOP) and continues, with old sums and a socket buffer full of old
// reports, does not publish these.
func testFrozen(f *testFleet) {
	f.aggregators[westA].cmd.Process.Signal(syscall.SIGSTOP)
	f.proxies[0].open(f.t, 3, "dddddddd")
	time.Sleep(testFreshness / 10) // reports collect in its socket buffer meanwhile
	f.proxies[1].kill()
	f.expect("one aggregator stopped, one proxy killed", 6, 0, 2)
	time.Sleep(testFreshness)
	f.aggregators[westA].cmd.Process.Signal(syscall.SIGCONT)
	f.hold("while the aggregator continues", 6, testFreshness+testDecay, 0, 2)
	f.expect("after the aggregator continued", 6, 0, 2)
	if s, ok := f.aggregatorStatus(westA); !ok || s.Dropped.Stalls == 0 || s.Members.Known != 1 {
		f.t.Errorf("status of the aggregator after the stop: %+v; want dropped stalls and 1 known member", s)
	}
}

// testRegionCutOff checks that regions which can't reach each other have their own sums, report that these do not cover all
// members, and agree again once the network has recovered.
func testRegionCutOff(f *testFleet) {
	f.cutRegions(true)
	f.proxies[0].open(f.t, 1, "dddddddd")
	f.proxies[2].open(f.t, 2, "eeeeeeee")
	f.expectPart("regions cut off", 4, 0, 1)
	f.expectPart("regions cut off", 3, 2)
	for i := range f.proxies {
		s, _ := f.memberStatus(i)
		for _, region := range s.Regions {
			if isOwn := region.Region == proxyRegions[i]; isOwn != (region.Heard == 1) || isOwn != (region.Weight == 1) {
				f.t.Errorf("proxy %d reports for a region: %+v", i, region)
			}
		}
	}
	f.cutRegions(false)
	f.expectWhole("regions connected again", 7, 0, 1, 2)
}

// Of testStrangers: datagrams in all and in one batch, and the pause after a batch. Together they take about a second.
const (
	strangerDatagrams = 10000
	strangerBatch     = 100
	strangerPause     = 10 * time.Millisecond
)

// testStrangers checks that ten thousand datagrams within a second (from unknown senders, of a later version, of 65000 bytes,
// malformed, and replayed ones) change no sum, and that status and log report them by reason.
func testStrangers(f *testFleet) {
	entries := []aggregation.Entry{{Kind: aggregation.ByListener, ID: 7, Value: 1000}}
	const unknownAggregator, someRegion = 4711, "west"
	datagrams := [][]byte{
		envelope(f.t, 2, 2, aggregation.RegionSum{Aggregator: unknownAggregator, Region: someRegion, Incarnation: 1, Number: 1, Members: 9, Heard: 1, Keys: 1, Entries: entries}),
		envelope(f.t, 2, 3, aggregation.Digest{Aggregator: unknownAggregator, Region: someRegion, Incarnation: 1, Number: 1, Heartbeat: 1, Keys: 1, Entries: entries}),
		envelope(f.t, 2, 4, aggregation.Refusal{Aggregator: unknownAggregator, Member: 1, Incarnation: 1 << 62}),
		envelope(f.t, 3, 1, "a later version"),
		bytes.Repeat([]byte{0xa3}, 65000),
		bytes.Repeat([]byte{0xa3}, 300),
	}
	for sent := 0; sent < strangerDatagrams; sent += strangerBatch {
		for i := range strangerBatch / 2 {
			datagram := datagrams[(sent/2+i)%len(datagrams)]
			f.exchanges[eastA][westA].Send(datagram)
			f.links[0][westA].down.Send(datagram)
		}
		f.forEachLink((*udplink.Link).Replay) // replays the first eight packets of each link
		f.replayProxy(0)
		time.Sleep(strangerPause)
	}
	f.hold("after datagrams of unknown senders", 4, time.Second, 0, 1, 2)
	f.expectWhole("after datagrams of unknown senders", 4, 0, 1, 2)
	proxy, _ := f.memberStatus(0)
	aggregator, _ := f.aggregatorStatus(westA)
	for name, d := range map[string]sharing.Datagrams{"proxy": proxy.Datagrams, "aggregator": aggregator.Datagrams} {
		if d.UnknownSender == 0 || d.OtherVersion == 0 || d.TooLong == 0 || d.Malformed == 0 || d.Duplicate+d.Obsolete == 0 {
			f.t.Errorf("%s: some reason was not counted: %+v", name, d)
		}
	}
	if aggregator.Members.Known != 2 {
		f.t.Errorf("the aggregator knows members %+v, want 2", aggregator.Members)
	}
	for _, p := range []*fleetProcess{f.proxies[0], f.aggregators[westA]} {
		for _, reason := range []string{"unknown sender", "other version", "too long", "malformed"} {
			if n := strings.Count(p.log.String(), `"reason":"`+reason+`"`); n < 1 || n > 10 {
				f.t.Errorf("%v logs %q %d times", p.args, reason, n)
			}
		}
	}
}

// envelope encodes a datagram in the form of docs/fleet.md: a CBOR map of version, message type and body.
func envelope(t *testing.T, version, messageType uint, body any) []byte {
	t.Helper()
	datagram, err := cbor.Marshal(map[int]any{0: version, 1: messageType, 2: body})
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

// testTwoProcesses checks that, of two proxies with the same member name, only the one started later counts, and that the
// earlier one reports that it was superseded.
func testTwoProcesses(f *testFleet) {
	first := f.proxies[0]
	second := &fleetProcess{listen: unusedAddress(f.t, "tcp4"), shares: unusedAddress(f.t, "udp4"), status: unusedAddress(f.t, "tcp4")}
	text, err := os.ReadFile(first.args[3])
	if err != nil {
		f.t.Fatal(err)
	}
	memberFile := strings.NewReplacer(first.shares, second.shares, first.status, second.status).Replace(string(text))
	config, err := os.ReadFile(first.args[1])
	if err != nil {
		f.t.Fatal(err)
	}
	second.args = []string{"serve", f.write("second.json", strings.Replace(string(config), first.listen, second.listen, 1)),
		"--fleet", f.write("second.toml", memberFile)}
	second.start(f.t, f.binary)
	f.t.Cleanup(second.kill)
	second.open(f.t, 5, "dddddddd")
	f.expectWhole("two proxies of one name", 7, 1, 2)
	f.hold("two proxies of one name", 7, time.Second, 1, 2)
	if s, ok := f.memberStatus(0); !ok || !s.Superseded {
		f.t.Errorf("status of the earlier process: %+v; want superseded", s)
	}
	if n := strings.Count(first.log.String(), "a later process has this member's name"); n != 1 {
		f.t.Errorf("the earlier process logs %d times that it was superseded, want 1", n)
	}
	second.kill()
	f.expect("the later process killed", 2, 1, 2)
}

// TestAggregate checks that aggregate --check and check report an invalid file with its line, and start nothing.
func TestAggregate(t *testing.T) {
	name := filepath.Join(t.TempDir(), "west-a.toml")
	listen := unusedAddress(t, "udp4")
	good := fmt.Sprintf("name = \"west-a\"\nregion = \"west\"\nlisten = %q\n", listen)
	for text, want := range map[string]string{good: "", good + "members = 0\n": "west-a.toml:4: members: 0"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		for command, err := range map[string]error{
			"aggregate": (&aggregateCmd{File: name, Check: true}).Run(),
			"check":     (&checkCmd{Aggregator: name}).Run(),
		} {
			if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %v, want %q", command, err, want)
			}
		}
	}
	if err := (&checkCmd{Fleet: name}).Run(); err == nil {
		t.Error("check --fleet accepts an aggregator's file, without a configuration")
	}
}
