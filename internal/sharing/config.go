package sharing

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"chalkferry/internal/aggregation"
)

// Bounds of what a configuration may say.
const (
	maxNameBytes        = 64                       // of a member's or an aggregator's name
	maxRegionBytes      = aggregation.MaxNameBytes // of a region's or a zone's name: they go into datagrams
	maxRegions          = aggregation.MaxRegions
	maxAggregators      = 4 // of one region
	maxMembersLimit     = 1 << 16
	maxKeysLimit        = 1 << 20
	minInterval         = 5 * time.Millisecond
	maxInterval         = time.Minute
	maxFreshness        = time.Hour // and of the decay
	intervalsInFresh    = 5         // a process that is silent to itself for a quarter of the freshness counts as stopped
	heartbeatsInFresh   = 4         // a member changes its aggregator after half of the freshness without a datagram
	minDecay            = 10 * time.Millisecond
	maxChangeShare      = 1.0
	defaultChangeShare  = 0.1
	defaultFreshness    = 5 * time.Second
	defaultDecay        = 10 * time.Second
	defaultReport       = 400 * time.Millisecond
	defaultDigest       = 170 * time.Millisecond
	defaultExchange     = 50 * time.Millisecond
	defaultHeartbeat    = time.Second
	defaultMemberKeys   = 32768
	defaultAggregateKey = 32768
	defaultMembers      = 6000
)

// AggregatorAddress names one aggregator of a member's region.
type AggregatorAddress struct {
	Name    string
	Address netip.AddrPort
}

// Peer names another aggregator: the second one of the own region, or one of another region.
type Peer struct {
	Name    string
	Region  string
	Address netip.AddrPort
}

// MemberConfig is what a proxy needs to take part. Times that are 0 are not valid: begin with DefaultMemberConfig.
type MemberConfig struct {
	Name        string // unique in the fleet
	Region      string
	Zone        string
	Listen      netip.AddrPort      // UDP, IPv4; port 0 takes a free one
	Aggregators []AggregatorAddress // those of the region
	Status      netip.AddrPort      // HTTP on loopback; the zero value means none

	ReportInterval time.Duration // between two reports
	Freshness      time.Duration // a sender that was heard within it counts in full
	Decay          time.Duration // and then less and less, to nothing after it
	MaxKeys        int           // of each of the two tables: what is sent, and what is received
	ChangeShare    float64       // a value that changed by more than this share of it is sent ahead of the others

	// WrapSocket, if not nil, returns what is used in place of the member's socket: a run that counts or loses
	// datagrams sets it, a file can't.
	WrapSocket func(Socket) Socket
}

// DefaultMemberConfig has the defaults of all that has one.
func DefaultMemberConfig() MemberConfig {
	return MemberConfig{ReportInterval: defaultReport, Freshness: defaultFreshness, Decay: defaultDecay,
		MaxKeys: defaultMemberKeys, ChangeShare: defaultChangeShare}
}

// AggregatorConfig is what an aggregator needs. Times and limits that are 0 are not valid: begin with
// DefaultAggregatorConfig.
type AggregatorConfig struct {
	Name   string // unique among the aggregators of the fleet
	Region string
	Listen netip.AddrPort // UDP, IPv4; port 0 takes a free one
	Peers  []Peer         // all other aggregators
	Status netip.AddrPort // HTTP on loopback; the zero value means none

	DigestInterval    time.Duration // between two digests to a subscriber
	ExchangeInterval  time.Duration // between two region sums to a peer
	HeartbeatInterval time.Duration // between two heartbeats to a member
	Freshness         time.Duration // as of a member
	Decay             time.Duration // as of a member
	ChangeShare       float64       // as of a member
	MaxMembers        int           // of the region
	MaxMemberKeys     int           // of one member
	MaxKeys           int           // of the region and of the fleet
}

// DefaultAggregatorConfig has the defaults of all that has one.
func DefaultAggregatorConfig() AggregatorConfig {
	return AggregatorConfig{DigestInterval: defaultDigest, ExchangeInterval: defaultExchange,
		HeartbeatInterval: defaultHeartbeat, Freshness: defaultFreshness, Decay: defaultDecay,
		ChangeShare: defaultChangeShare, MaxMembers: defaultMembers, MaxMemberKeys: defaultMemberKeys,
		MaxKeys: defaultAggregateKey}
}

// ConfigError says which field of a configuration is wrong. The field has the name that it has in a file.
type ConfigError struct {
	Field  string
	Reason string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *ConfigError for the first field that is wrong.
func (c *MemberConfig) Validate() error {
	checks := []error{
		checkName("name", c.Name, maxNameBytes),
		checkName("region", c.Region, maxRegionBytes),
		checkName("zone", c.Zone, maxRegionBytes),
		checkListen(c.Listen),
		checkStatus(c.Status),
		c.checkAggregators(),
		checkInterval("report_interval", c.ReportInterval),
		checkFreshness(c.Freshness, intervalsInFresh, "report_interval", c.ReportInterval),
		checkDecay(c.Decay),
		checkLimit("keys", c.MaxKeys, maxKeysLimit),
		checkShare(c.ChangeShare),
	}
	return firstError(checks)
}

func (c *MemberConfig) checkAggregators() error {
	if len(c.Aggregators) == 0 || len(c.Aggregators) > maxAggregators {
		return invalid("aggregators", "there are %d, 1 to %d are possible", len(c.Aggregators), maxAggregators)
	}
	for i, aggregator := range c.Aggregators {
		field := fmt.Sprintf("aggregators[%d]", i)
		others := c.Aggregators[:i]
		if err := checkName(field+".name", aggregator.Name, maxNameBytes); err != nil {
			return err
		}
		if err := checkAddress(field+".address", aggregator.Address); err != nil {
			return err
		}
		if slices.ContainsFunc(others, func(o AggregatorAddress) bool { return o.Name == aggregator.Name }) {
			return invalid(field+".name", "%q is there twice", aggregator.Name)
		}
		if slices.ContainsFunc(others, func(o AggregatorAddress) bool { return o.Address == aggregator.Address }) {
			return invalid(field+".address", "%s is there twice", aggregator.Address)
		}
	}
	return nil
}

// Validate returns a *ConfigError for the first field that is wrong.
func (c *AggregatorConfig) Validate() error {
	checks := []error{
		checkName("name", c.Name, maxNameBytes),
		checkName("region", c.Region, maxRegionBytes),
		checkListen(c.Listen),
		checkStatus(c.Status),
		c.checkPeers(),
		checkInterval("digest_interval", c.DigestInterval),
		checkInterval("exchange_interval", c.ExchangeInterval),
		checkInterval("heartbeat_interval", c.HeartbeatInterval),
		checkFreshness(c.Freshness, intervalsInFresh, "exchange_interval", c.ExchangeInterval),
		checkFreshness(c.Freshness, intervalsInFresh, "digest_interval", c.DigestInterval),
		checkFreshness(c.Freshness, heartbeatsInFresh, "heartbeat_interval", c.HeartbeatInterval),
		checkDecay(c.Decay),
		checkShare(c.ChangeShare),
		checkLimit("members", c.MaxMembers, maxMembersLimit),
		checkLimit("member_keys", c.MaxMemberKeys, maxKeysLimit),
		checkLimit("keys", c.MaxKeys, maxKeysLimit),
	}
	return firstError(checks)
}

func (c *AggregatorConfig) checkPeers() error {
	regions := map[string]int{c.Region: 1}
	for i, peer := range c.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		others := c.Peers[:i]
		if err := checkName(field+".name", peer.Name, maxNameBytes); err != nil {
			return err
		}
		if err := checkName(field+".region", peer.Region, maxRegionBytes); err != nil {
			return err
		}
		if err := checkAddress(field+".address", peer.Address); err != nil {
			return err
		}
		if peer.Name == c.Name || slices.ContainsFunc(others, func(o Peer) bool { return o.Name == peer.Name }) {
			return invalid(field+".name", "%q is there twice", peer.Name)
		}
		if peer.Address == c.Listen || slices.ContainsFunc(others, func(o Peer) bool { return o.Address == peer.Address }) {
			return invalid(field+".address", "%s is there twice", peer.Address)
		}
		if regions[peer.Region]++; regions[peer.Region] > maxAggregators {
			return invalid(field+".region", "more than %d aggregators in %s", maxAggregators, peer.Region)
		}
		if len(regions) > maxRegions {
			return invalid(field+".region", "more than %d regions", maxRegions)
		}
	}
	return nil
}

func firstError(checks []error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, name string, maxBytes int) error {
	if name == "" || len(name) > maxBytes {
		return invalid(field, "%q has %d bytes, 1 to %d are possible", name, len(name), maxBytes)
	}
	return nil
}

func checkListen(address netip.AddrPort) error {
	if !address.Addr().Is4() {
		return invalid("listen", "%q is not an IPv4 address and a port", address)
	}
	return nil
}

func checkAddress(field string, address netip.AddrPort) error {
	if !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return invalid(field, "%q is not an IPv4 address and a port", address)
	}
	return nil
}

func checkStatus(address netip.AddrPort) error {
	if address.IsValid() && (!address.Addr().Is4() || !address.Addr().IsLoopback()) {
		return invalid("status", "%q is not a loopback address and a port", address)
	}
	return nil
}

func checkInterval(field string, interval time.Duration) error {
	if interval < minInterval || interval > maxInterval {
		return invalid(field, "%v, %v to %v are possible", interval, minInterval, maxInterval)
	}
	return nil
}

func checkFreshness(freshness time.Duration, times int, field string, interval time.Duration) error {
	if freshness < time.Duration(times)*interval || freshness > maxFreshness {
		return invalid("freshness", "%v, %d times %s (%v) to %v are possible", freshness, times, field, interval, maxFreshness)
	}
	return nil
}

func checkDecay(decay time.Duration) error {
	if decay < minDecay || decay > maxFreshness {
		return invalid("decay", "%v, %v to %v are possible", decay, minDecay, maxFreshness)
	}
	return nil
}

func checkLimit(field string, limit, most int) error {
	if limit < 1 || limit > most {
		return invalid(field, "%d, 1 to %d are possible", limit, most)
	}
	return nil
}

func checkShare(share float64) error {
	if !(share > 0 && share <= maxChangeShare) {
		return invalid("change_share", "%v, over 0 to %v are possible", share, maxChangeShare)
	}
	return nil
}
