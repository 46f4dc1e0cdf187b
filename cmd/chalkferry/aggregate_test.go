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

// TestAggregators runs fleets of processes through the faults of aggregators, and through what strangers send. The
// tests look at sums and bounds; how fast something was is not judged.
func TestAggregators(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chalkferry")
	build(t, binary)
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
			f.expectWhole("at first", 4, 0, 1, 2)
			c.test(f)
		})
	}
}

// testOneKilled: with one aggregator of a region dead, the other carries the region alone, and its changes.
func testOneKilled(f *testFleet) {
	f.aggregators[westA].kill()
	f.proxies[0].open(f.t, 1, "dddddddd")
	f.expectWhole("one aggregator of a region is dead", 5, 0, 1, 2)
	f.aggregators[eastB].kill()
	f.proxies[2].open(f.t, 1, "eeeeeeee")
	f.expectWhole("one aggregator of each region is dead", 6, 0, 1, 2)
}

// testBothKilled: with both dead, the proxies of the region have what they hold themselves, the other region has its
// own, and both say that this is not all; once they are back, all have the sum.
func testBothKilled(f *testFleet) {
	f.aggregators[westA].kill()
	f.aggregators[westB].kill()
	f.proxies[2].open(f.t, 1, "dddddddd")
	f.expectPart("without aggregators", 2, 0)
	f.expectPart("without aggregators", 1, 1)
	f.expectPart("without the other region's aggregators", 2, 2)
	f.aggregators[westA].start(f.t, f.binary)
	f.aggregators[westB].start(f.t, f.binary)
	f.expectWhole("both are back", 5, 0, 1, 2)
}

// testRestartedEmpty: an aggregator that begins with nothing beside one that has all makes no figure wrong that says
// that it is from all members.
func testRestartedEmpty(f *testFleet) {
	for _, i := range []int{westA, westB} {
		f.aggregators[i].kill()
		f.aggregators[i].start(f.t, f.binary)
		f.hold("restarted empty: "+aggregatorNames[i], 4, testFreshness, 0, 1, 2)
		f.expectWhole("restarted empty: "+aggregatorNames[i], 4, 0, 1, 2)
	}
}

// testFrozen: an aggregator that is stopped and goes on with old sums, and with a socket full of old reports, does not
// bring them back.
func testFrozen(f *testFleet) {
	f.aggregators[westA].cmd.Process.Signal(syscall.SIGSTOP)
	f.proxies[0].open(f.t, 3, "dddddddd")
	time.Sleep(testFreshness / 10) // in which reports gather in its socket
	f.proxies[1].kill()
	f.expect("one aggregator is stopped, and a proxy dead", 6, 0, 2)
	time.Sleep(testFreshness)
	f.aggregators[westA].cmd.Process.Signal(syscall.SIGCONT)
	f.hold("it goes on", 6, testFreshness+testDecay, 0, 2)
	f.expect("it has gone on", 6, 0, 2)
	if s, ok := f.aggregatorStatus(westA); !ok || s.Dropped.Stalls == 0 || s.Members.Known != 1 {
		f.t.Errorf("it has %+v", s)
	}
}

// testRegionCutOff: regions that do not hear each other have their own sums and say that these are not all, and agree
// again after it.
func testRegionCutOff(f *testFleet) {
	f.cutRegions(true)
	f.proxies[0].open(f.t, 1, "dddddddd")
	f.proxies[2].open(f.t, 2, "eeeeeeee")
	f.expectPart("cut off", 4, 0, 1)
	f.expectPart("cut off", 3, 2)
	for i := range f.proxies {
		s, _ := f.memberStatus(i)
		for _, region := range s.Regions {
			if isOwn := region.Region == proxyRegions[i]; isOwn != (region.Heard == 1) || isOwn != (region.Weight == 1) {
				f.t.Errorf("proxy %d says of a region: %+v", i, region)
			}
		}
	}
	f.cutRegions(false)
	f.expectWhole("it is back", 7, 0, 1, 2)
}

const (
	strangers      = 10000
	strangersBatch = 100
	strangersPause = 10 * time.Millisecond
)

// testStrangers: ten thousand datagrams in a second of strangers, of a later version, of 64 KB, and recorded ones again
// change no sum, and the status counts them by their reason.
func testStrangers(f *testFleet) {
	entries := []aggregation.Entry{{Kind: aggregation.ByListener, ID: 7, Value: 1000}}
	const stranger, someRegion = 4711, "west"
	datagrams := [][]byte{
		envelope(f.t, 2, 2, aggregation.RegionSum{Aggregator: stranger, Region: someRegion, Incarnation: 1, Number: 1, Members: 9, Heard: 1, Keys: 1, Entries: entries}),
		envelope(f.t, 2, 3, aggregation.Digest{Aggregator: stranger, Region: someRegion, Incarnation: 1, Number: 1, Heartbeat: 1, Keys: 1, Entries: entries}),
		envelope(f.t, 2, 4, aggregation.Refusal{Aggregator: stranger, Member: 1, Incarnation: 1 << 62}),
		envelope(f.t, 3, 1, "a later version"),
		bytes.Repeat([]byte{0xa3}, 65000),
		bytes.Repeat([]byte{0xa3}, 300),
	}
	for sent := 0; sent < strangers; sent += strangersBatch {
		for i := range strangersBatch / 2 {
			datagram := datagrams[(sent/2+i)%len(datagrams)]
			f.exchanges[eastA][westA].Send(datagram)
			f.links[0][westA].down.Send(datagram)
		}
		f.eachWay((*udplink.Link).Replay) // each its first eight
		f.replayProxy(0)
		time.Sleep(strangersPause)
	}
	f.hold("after strangers", 4, time.Second, 0, 1, 2)
	f.expectWhole("after strangers", 4, 0, 1, 2)
	proxy, _ := f.memberStatus(0)
	aggregator, _ := f.aggregatorStatus(westA)
	for name, d := range map[string]sharing.Datagrams{"proxy": proxy.Datagrams, "aggregator": aggregator.Datagrams} {
		if d.UnknownSender == 0 || d.OtherVersion == 0 || d.TooLong == 0 || d.Malformed == 0 || d.Duplicate+d.Obsolete == 0 {
			f.t.Errorf("%s: %+v", name, d)
		}
	}
	if aggregator.Members.Known != 2 {
		f.t.Errorf("the aggregator knows %+v", aggregator.Members)
	}
	for _, p := range []*running{f.proxies[0], f.aggregators[westA]} {
		for _, reason := range []string{"unknown sender", "other version", "too long", "malformed"} {
			if n := strings.Count(p.log.String(), `"reason":"`+reason+`"`); n < 1 || n > 10 {
				f.t.Errorf("%v logs %q %d times", p.args, reason, n)
			}
		}
	}
}

// envelope makes a datagram as docs/fleet.md has it.
func envelope(t *testing.T, version, messageType uint, body any) []byte {
	t.Helper()
	datagram, err := cbor.Marshal(map[int]any{0: version, 1: messageType, 2: body})
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

// testTwoProcesses: of two proxies of one name the later one counts, and the earlier one says that it does not.
func testTwoProcesses(f *testFleet) {
	first := f.proxies[0]
	second := &running{listen: free(f.t, "tcp4"), shares: free(f.t, "udp4"), status: free(f.t, "tcp4")}
	text, err := os.ReadFile(first.args[3])
	if err != nil {
		f.t.Fatal(err)
	}
	plan := strings.NewReplacer(first.shares, second.shares, first.status, second.status).Replace(string(text))
	config, err := os.ReadFile(first.args[1])
	if err != nil {
		f.t.Fatal(err)
	}
	second.args = []string{"serve", f.write("second.json", strings.Replace(string(config), first.listen, second.listen, 1)),
		"--fleet", f.write("second.toml", plan)}
	second.start(f.t, f.binary)
	f.t.Cleanup(second.kill)
	second.open(f.t, 5, "dddddddd")
	f.expectWhole("two of one name", 7, 1, 2)
	f.hold("two of one name", 7, time.Second, 1, 2)
	if s, ok := f.memberStatus(0); !ok || !s.Superseded {
		f.t.Errorf("the earlier one says %+v", s)
	}
	if n := strings.Count(first.log.String(), "a later process has this member's name"); n != 1 {
		f.t.Errorf("the earlier one logs it %d times", n)
	}
	second.kill()
	f.expect("the later one is dead", 2, 1, 2)
}

// TestAggregate: a file that is wrong is refused with its line, with --check nothing starts, and check reads it as well.
func TestAggregate(t *testing.T) {
	name := filepath.Join(t.TempDir(), "west-a.toml")
	listen := free(t, "udp4")
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
				t.Errorf("%s: %v, not %q", command, err, want)
			}
		}
	}
	if err := (&checkCmd{Fleet: name}).Run(); err == nil {
		t.Error("check takes an aggregator's file for a member's, without a configuration")
	}
}
