package sharing

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodMember = `name = "proxy-1"
region = "west"
zone = "west-1"
listen = "127.0.0.1:7400"
aggregators = [{name = "west-a", address = "127.0.0.1:7001"}, {name = "west-b", address = "127.0.0.1:7002"}]
`

const goodAggregator = `name = "west-a"
region = "west"
listen = "127.0.0.1:7001"

[[peers]]
name = "west-b"
region = "west"
address = "127.0.0.1:7002"

[[peers]]
name = "east-a"
region = "east"
address = "127.0.0.1:7003"
`

// writeFile writes a text to a file f.toml and returns its path. Errors contain this name.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "f.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// expectError fails the test unless the error contains want, or is nil if want is "".
func expectError(t *testing.T, err error, want string) {
	t.Helper()
	if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want %q", err, want)
	}
}

// TestReadMember: a valid member's file is read, and an invalid one is refused with line and reason.
func TestReadMember(t *testing.T) {
	replaced := func(old, new string) string { return strings.Replace(goodMember, old, new, 1) }
	for text, want := range map[string]string{
		goodMember: "",
		goodMember + "status = \"127.0.0.1:7100\"\nreport_interval = \"100ms\"\nfreshness = \"1s\"\ndecay = \"2s\"\nkeys = 9\nchange_share = 0.5\n": "",
		replaced("proxy-1", ""):                                     "f.toml:1: name: ",
		replaced("proxy-1", strings.Repeat("x", 65)):                "f.toml:1: name: ",
		replaced("\"west\"", "\"\""):                                "f.toml:2: region: ",
		replaced("west-1", strings.Repeat("x", 33)):                 "f.toml:3: zone: ",
		replaced("127.0.0.1:7400", "x"):                             "f.toml:4: listen: ",
		replaced("127.0.0.1:7400", "[::1]:7400"):                    "f.toml:4: listen: ",
		replaced("127.0.0.1:7001", "x"):                             "f.toml:5: aggregators[0].address: ",
		replaced("127.0.0.1:7002", "127.0.0.1:0"):                   "f.toml:5: aggregators[1].address: ",
		replaced("127.0.0.1:7002", "127.0.0.1:7001"):                "f.toml:5: aggregators[1].address: 127.0.0.1:7001 is there twice",
		replaced("west-b", "west-a"):                                "f.toml:5: aggregators[1].name: \"west-a\" is there twice",
		replaced("aggregators = [{", "aggregators = [] # [{"):       "f.toml:5: aggregators: there are 0",
		replaced("\"west-b\",", "\"west-b\", region = \"east\","):   "f.toml:5: unknown key",
		goodMember + "mode = 3\n":                                   "f.toml:6: unknown key",
		goodMember + "peers = []\n":                                 "f.toml:6: unknown key",
		goodMember + "status = \"10.0.0.1:7100\"\n":                 "f.toml:6: status: ",
		goodMember + "report_interval = \"1ms\"\n":                  "f.toml:6: report_interval: 1ms",
		goodMember + "report_interval = \"2m\"\n":                   "f.toml:6: report_interval: 2m0s",
		goodMember + "report_interval = \"soon\"\n":                 "f.toml:6: ",
		goodMember + "freshness = \"1900ms\"\n":                     "f.toml:6: freshness: 1.9s",
		goodMember + "freshness = \"2h\"\n":                         "f.toml:6: freshness: 2h0m0s",
		goodMember + "decay = \"-1s\"\n":                            "f.toml:6: decay: -1s",
		goodMember + "keys = 0\n":                                   "f.toml:6: keys: 0",
		goodMember + "keys = 2000000\n":                             "f.toml:6: keys: 2000000",
		goodMember + "change_share = 0.0\n":                         "f.toml:6: change_share: 0",
		goodMember + "change_share = 1.5\n":                         "f.toml:6: change_share: 1.5",
		goodMember + "change_share = nan\n":                         "f.toml:6: change_share: NaN",
		goodMember + "freshness = \"1s\"\nreport_interval = \"1s\"": "f.toml:6: freshness: 1s",
	} {
		config, err := ReadMember(writeFile(t, text))
		expectError(t, err, want)
		if err == nil && (config.Name != "proxy-1" || config.Zone != "west-1" || len(config.Aggregators) != 2) {
			t.Errorf("read as %+v", config)
		}
	}
}

// TestReadAggregator: a valid aggregator's file is read, and an invalid one is refused with line and reason.
func TestReadAggregator(t *testing.T) {
	replaced := func(old, new string) string { return strings.Replace(goodAggregator, old, new, 1) }
	added := func(line string) string { return line + "\n" + goodAggregator }
	for text, want := range map[string]string{
		goodAggregator: "",
		added("status = \"127.0.0.1:7100\"\nmembers = 5\nmember_keys = 6\nkeys = 7\nchange_share = 1.0"):                         "",
		added("digest_interval = \"20ms\"\nexchange_interval = \"20ms\"\nheartbeat_interval = \"100ms\"\nfreshness = \"400ms\""): "",
		replaced("west-a", ""):                              "f.toml:1: name: ",
		replaced("listen = \"127.0.0.1:7001\"\n", ""):       "f.toml: listen: ",
		replaced("127.0.0.1:7002", "x"):                     "f.toml:8: peers[0].address: ",
		replaced("west-b", "west-a"):                        "f.toml:6: peers[0].name: \"west-a\" is there twice",
		replaced("east-a", "west-b"):                        "f.toml:11: peers[1].name: \"west-b\" is there twice",
		replaced("127.0.0.1:7003", "127.0.0.1:7001"):        "f.toml:13: peers[1].address: 127.0.0.1:7001 is there twice",
		replaced("127.0.0.1:7003", "127.0.0.1:7002"):        "f.toml:13: peers[1].address: 127.0.0.1:7002 is there twice",
		replaced("region = \"east\"\n", ""):                 "f.toml:10: peers[1].region: ",
		added("zone = \"west-1\""):                          "f.toml:1: unknown key",
		added("status = \"192.168.0.1:7100\""):              "f.toml:1: status: ",
		added("digest_interval = \"0s\""):                   "f.toml:1: digest_interval: 0s",
		added("exchange_interval = \"1ms\""):                "f.toml:1: exchange_interval: 1ms",
		added("heartbeat_interval = \"2s\""):                "freshness: 5s, 4 times heartbeat_interval (2s)",
		added("freshness = \"300ms\""):                      "f.toml:1: freshness: 300ms",
		added("decay = \"0s\""):                             "f.toml:1: decay: 0s",
		added("members = 0"):                                "f.toml:1: members: 0",
		added("member_keys = -1"):                           "f.toml:1: member_keys: -1",
		added("keys = 1048577"):                             "f.toml:1: keys: 1048577",
		added("change_share = -0.1"):                        "f.toml:1: change_share: -0.1",
		goodAggregator + "[[peers]]\nname = \"x\"\nregion=": "f.toml:16: ",
	} {
		config, err := ReadAggregator(writeFile(t, text))
		expectError(t, err, want)
		if err == nil && (config.Region != "west" || len(config.Peers) != 2 || config.Peers[1].Region != "east") {
			t.Errorf("read as %+v", config)
		}
	}
}

// TestReadStatusAddress: the address is read from both kinds of files, and other files are refused.
func TestReadStatusAddress(t *testing.T) {
	for text, want := range map[string]string{
		"status = \"127.0.0.1:7100\"\n" + goodMember:     "",
		"status = \"127.0.0.1:7100\"\n" + goodAggregator: "",
		goodMember: "names no status address",
		"me = 1\n": "neither a member's file nor an aggregator's",
	} {
		address, err := ReadStatusAddress(writeFile(t, text))
		expectError(t, err, want)
		if err == nil && address.String() != "127.0.0.1:7100" {
			t.Errorf("read as %s", address)
		}
	}
}

// TestDefaults: the defaults are valid and are those that docs/fleet.md documents.
func TestDefaults(t *testing.T) {
	member, err := ReadMember(writeFile(t, goodMember))
	if err != nil {
		t.Fatal(err)
	}
	if member.ReportInterval != 400*time.Millisecond || member.Freshness != 5*time.Second ||
		member.Decay != 10*time.Second || member.MaxKeys != 32768 || member.ChangeShare != 0.1 {
		t.Errorf("a member's defaults: %+v", member)
	}
	aggregator, err := ReadAggregator(writeFile(t, goodAggregator))
	if err != nil {
		t.Fatal(err)
	}
	if aggregator.DigestInterval != 170*time.Millisecond || aggregator.ExchangeInterval != 50*time.Millisecond ||
		aggregator.HeartbeatInterval != time.Second || aggregator.Freshness != 5*time.Second ||
		aggregator.Decay != 10*time.Second || aggregator.ChangeShare != 0.1 || aggregator.MaxMembers != 6000 ||
		aggregator.MaxMemberKeys != 32768 || aggregator.MaxKeys != 32768 {
		t.Errorf("an aggregator's defaults: %+v", aggregator)
	}
}

// TestExamples: the example files in deploy/fleet are valid.
func TestExamples(t *testing.T) {
	if _, err := ReadMember("../../deploy/fleet/member.toml"); err != nil {
		t.Error(err)
	}
	if _, err := ReadAggregator("../../deploy/fleet/aggregator.toml"); err != nil {
		t.Error(err)
	}
}
