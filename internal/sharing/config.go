package sharing

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"chalkferry/internal/aggregation"
)

// Limits and defaults of configurations. Intervals must be short against the freshness: a process that did not handle
// anything for a quarter of the freshness is taken to have been stopped, and a member changes to another aggregator after
// half of the freshness without a datagram.
const (
	maxNameBytes              = 64                       // of a member's or an aggregator's name
	maxRegionNameBytes        = aggregation.MaxNameBytes // of a region's or a zone's name, which are sent in datagrams
	maxRegions                = aggregation.MaxRegions
	maxAggregatorsPerRegion   = 4
	maxConfigurableMembers    = 1 << 16
	maxConfigurableKeys       = 1 << 20
	minInterval               = 5 * time.Millisecond
	maxInterval               = time.Minute
	maxFreshness              = time.Hour // also the largest decay
	minIntervalsPerFreshness  = 5         // report, exchange or digest intervals within the freshness
	minHeartbeatsPerFreshness = 4         // heartbeat intervals within the freshness
	minDecay                  = 10 * time.Millisecond
	maxChangeShare            = 1.0
	defaultChangeShare        = 0.1
	defaultFreshness          = 5 * time.Second
	defaultDecay              = 10 * time.Second
	defaultReportInterval     = 400 * time.Millisecond
	defaultDigestInterval     = 170 * time.Millisecond
	defaultExchangeInterval   = 50 * time.Millisecond
	defaultHeartbeatInterval  = time.Second
	defaultMaxMemberKeys      = 32768
	defaultMaxAggregatorKeys  = 32768
	defaultMaxMembers         = 6000
)

// AggregatorAddress is the name and address of an aggregator of a member's region.
type AggregatorAddress struct {
	Name    string
	Address netip.AddrPort
}

// Peer is another aggregator, of the same region or of another one.
type Peer struct {
	Name    string
	Region  string
	Address netip.AddrPort
}

// MemberConfig is the configuration of a Member. Durations and limits of 0 are invalid: start from DefaultMemberConfig.
type MemberConfig struct {
	Name        string // unique in the fleet
	Region      string
	Zone        string
	Listen      netip.AddrPort      // UDP, IPv4; port 0 selects a free port
	Aggregators []AggregatorAddress // all of the region
	Status      netip.AddrPort      // HTTP on loopback; the zero value disables it

	ReportInterval time.Duration // between two reports
	Freshness      time.Duration // a sender counts in full for this long after its latest datagram
	Decay          time.Duration // after the freshness, the time in which a sender's weight falls to 0
	MaxKeys        int           // limit on each of the two tables: of sent values, and of received ones
	ChangeShare    float64       // a value that changed by more than this share of it is sent before others

	// WrapSocket, if not nil, returns the socket to use in place of the member's own. Load tests set it to count or drop
	// datagrams; it can't be set in a file.
	WrapSocket func(Socket) Socket
}

// DefaultMemberConfig returns a configuration with all defaults. Names and addresses have none.
func DefaultMemberConfig() MemberConfig {
	return MemberConfig{ReportInterval: defaultReportInterval, Freshness: defaultFreshness, Decay: defaultDecay,
		MaxKeys: defaultMaxMemberKeys, ChangeShare: defaultChangeShare}
}

// AggregatorConfig is the configuration of an Aggregator. Durations and limits of 0 are invalid: start from
// DefaultAggregatorConfig.
type AggregatorConfig struct {
	Name   string // unique among the aggregators of the fleet
	Region string
	Listen netip.AddrPort // UDP, IPv4; port 0 selects a free port
	Peers  []Peer         // all other aggregators of the fleet
	Status netip.AddrPort // HTTP on loopback; the zero value disables it

	DigestInterval    time.Duration // between two digests to a subscriber
	ExchangeInterval  time.Duration // between two region sums to a peer
	HeartbeatInterval time.Duration // between two heartbeats to a member
	Freshness         time.Duration // as in MemberConfig
	Decay             time.Duration // as in MemberConfig
	ChangeShare       float64       // as in MemberConfig
	MaxMembers        int           // members of the region
	MaxMemberKeys     int           // keys of one member
	MaxKeys           int           // keys of the region, and of the fleet
}

// DefaultAggregatorConfig returns a configuration with all defaults. Names, addresses and peers have none.
func DefaultAggregatorConfig() AggregatorConfig {
	return AggregatorConfig{DigestInterval: defaultDigestInterval, ExchangeInterval: defaultExchangeInterval,
		HeartbeatInterval: defaultHeartbeatInterval, Freshness: defaultFreshness, Decay: defaultDecay,
		ChangeShare: defaultChangeShare, MaxMembers: defaultMaxMembers, MaxMemberKeys: defaultMaxMemberKeys,
		MaxKeys: defaultMaxAggregatorKeys}
}

// ConfigError reports an invalid field of a configuration.
type ConfigError struct {
	Field  string // path of the field in a file, such as "peers[0].name"
	Reason string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Reason }

// invalid returns a *ConfigError.
func invalid(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *ConfigError for the first invalid field, or nil.
func (c *MemberConfig) Validate() error {
	checks := []error{
		checkName("name", c.Name, maxNameBytes),
		checkName("region", c.Region, maxRegionNameBytes),
		checkName("zone", c.Zone, maxRegionNameBytes),
		checkListen(c.Listen),
		checkStatus(c.Status),
		c.checkAggregators(),
		checkInterval("report_interval", c.ReportInterval),
		checkFreshness(c.Freshness, minIntervalsPerFreshness, "report_interval", c.ReportInterval),
		checkDecay(c.Decay),
		checkLimit("keys", c.MaxKeys, maxConfigurableKeys),
		checkShare(c.ChangeShare),
	}
	return firstError(checks)
}

func (c *MemberConfig) checkAggregators() error {
	if len(c.Aggregators) == 0 || len(c.Aggregators) > maxAggregatorsPerRegion {
		return invalid("aggregators", "there are %d, 1 to %d are possible", len(c.Aggregators), maxAggregatorsPerRegion)
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

// Validate returns a *ConfigError for the first invalid field, or nil.
func (c *AggregatorConfig) Validate() error {
	checks := []error{
		checkName("name", c.Name, maxNameBytes),
		checkName("region", c.Region, maxRegionNameBytes),
		checkListen(c.Listen),
		checkStatus(c.Status),
		c.checkPeers(),
		checkInterval("digest_interval", c.DigestInterval),
		checkInterval("exchange_interval", c.ExchangeInterval),
		checkInterval("heartbeat_interval", c.HeartbeatInterval),
		checkFreshness(c.Freshness, minIntervalsPerFreshness, "exchange_interval", c.ExchangeInterval),
		checkFreshness(c.Freshness, minIntervalsPerFreshness, "digest_interval", c.DigestInterval),
		checkFreshness(c.Freshness, minHeartbeatsPerFreshness, "heartbeat_interval", c.HeartbeatInterval),
		checkDecay(c.Decay),
		checkShare(c.ChangeShare),
		checkLimit("members", c.MaxMembers, maxConfigurableMembers),
		checkLimit("member_keys", c.MaxMemberKeys, maxConfigurableKeys),
		checkLimit("keys", c.MaxKeys, maxConfigurableKeys),
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
		if err := checkName(field+".region", peer.Region, maxRegionNameBytes); err != nil {
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
		if regions[peer.Region]++; regions[peer.Region] > maxAggregatorsPerRegion {
			return invalid(field+".region", "more than %d aggregators in %s", maxAggregatorsPerRegion, peer.Region)
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

// checkFreshness checks that the freshness has at least minIntervals of an interval, which the configuration has in field.
func checkFreshness(freshness time.Duration, minIntervals int, field string, interval time.Duration) error {
	if freshness < time.Duration(minIntervals)*interval || freshness > maxFreshness {
		return invalid("freshness", "%v, %d times %s (%v) to %v are possible", freshness, minIntervals, field, interval,
			maxFreshness)
	}
	return nil
}

func checkDecay(decay time.Duration) error {
	if decay < minDecay || decay > maxFreshness {
		return invalid("decay", "%v, %v to %v are possible", decay, minDecay, maxFreshness)
	}
	return nil
}

func checkLimit(field string, limit, largest int) error {
	if limit < 1 || limit > largest {
		return invalid(field, "%d, 1 to %d are possible", limit, largest)
	}
	return nil
}

func checkShare(share float64) error {
	if !(share > 0 && share <= maxChangeShare) {
		return invalid("change_share", "%v, over 0 to %v are possible", share, maxChangeShare)
	}
	return nil
}
