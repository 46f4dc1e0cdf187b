package aggregation

import (
	"fmt"
	"time"
)

// ConfigError says which field of a configuration can't be.
type ConfigError struct {
	Field  string
	Reason string
}

func (e *ConfigError) Error() string { return fmt.Sprintf("aggregation: %s: %s", e.Field, e.Reason) }

// MemberConfig is what a member is made of.
type MemberConfig struct {
	ID          MemberID
	Region      string
	Zone        string
	Incarnation Incarnation
	Aggregators []AggregatorID // of its region, at least one
	MaxKeys     int            // of its own values, and of the fleet's sums
	ChangeShare float64        // a value that changed by a larger share than this is sent at once
	Freshness   time.Duration  // what is not heard counts in full for so long
	Decay       time.Duration  // and then less, linearly, to nothing
}

// Peer is another aggregator.
type Peer struct {
	ID     AggregatorID
	Region string
}

// AggregatorConfig is what an aggregator is made of.
type AggregatorConfig struct {
	ID            AggregatorID
	Region        string
	Incarnation   Incarnation
	Peers         []Peer // all others, of all regions
	MaxMembers    int
	MaxKeys       int // of the fleet's sums
	MaxMemberKeys int // of one member
	ChangeShare   float64
	Freshness     time.Duration
	Decay         time.Duration
}

// Validate returns a *ConfigError for the first field that can't be.
func (c *MemberConfig) Validate() error {
	switch {
	case !validName(c.Region):
		return &ConfigError{"Region", nameRule}
	case !validName(c.Zone):
		return &ConfigError{"Zone", nameRule}
	case c.Incarnation == 0:
		return &ConfigError{"Incarnation", "is 0"}
	case len(c.Aggregators) == 0:
		return &ConfigError{"Aggregators", "none is named"}
	}
	seen := map[AggregatorID]bool{0: true}
	for _, id := range c.Aggregators {
		if seen[id] {
			return &ConfigError{"Aggregators", fmt.Sprintf("%d is 0 or named twice", id)}
		}
		seen[id] = true
	}
	return validBounds(c.MaxKeys, c.ChangeShare, c.Freshness, c.Decay)
}

// Validate returns a *ConfigError for the first field that can't be.
func (c *AggregatorConfig) Validate() error {
	switch {
	case c.ID == 0:
		return &ConfigError{"ID", "is 0"}
	case !validName(c.Region):
		return &ConfigError{"Region", nameRule}
	case c.Incarnation == 0:
		return &ConfigError{"Incarnation", "is 0"}
	case c.MaxMembers < 1 || c.MaxMembers > maxMembersLimit:
		return &ConfigError{"MaxMembers", fmt.Sprintf("is not within 1 to %d", maxMembersLimit)}
	case c.MaxMemberKeys < 1 || c.MaxMemberKeys > maxTableKeys:
		return &ConfigError{"MaxMemberKeys", fmt.Sprintf("is not within 1 to %d", maxTableKeys)}
	}
	seen := map[AggregatorID]bool{0: true, c.ID: true}
	regions := map[string]bool{c.Region: true}
	for _, peer := range c.Peers {
		if seen[peer.ID] {
			return &ConfigError{"Peers", fmt.Sprintf("%d is 0, this aggregator's or named twice", peer.ID)}
		}
		if !validName(peer.Region) {
			return &ConfigError{"Peers", "region: " + nameRule}
		}
		seen[peer.ID], regions[peer.Region] = true, true
	}
	if len(regions) > MaxRegions {
		return &ConfigError{"Peers", fmt.Sprintf("%d regions, at most %d are possible", len(regions), MaxRegions)}
	}
	return validBounds(c.MaxKeys, c.ChangeShare, c.Freshness, c.Decay)
}

const nameRule = "must have 1 to 32 bytes"

func validName(name string) bool { return len(name) > 0 && len(name) <= MaxNameBytes }

// maxMembersLimit and maxDecay bound the sums over fading members, see regionSums.
const (
	maxMembersLimit = 1 << 15
	maxDecay        = 10 * time.Minute
)

// maxTableKeys is far above what a table can send in a useful time.
const maxTableKeys = 1 << 20

func validBounds(maxKeys int, changeShare float64, freshness, decay time.Duration) error {
	switch {
	case maxKeys < 1 || maxKeys > maxTableKeys:
		return &ConfigError{"MaxKeys", fmt.Sprintf("is not within 1 to %d", maxTableKeys)}
	case !(changeShare >= 0 && changeShare <= 1):
		return &ConfigError{"ChangeShare", "is not within 0 to 1"}
	case freshness <= 0 || freshness > time.Hour:
		return &ConfigError{"Freshness", "is not above 0 and at most an hour"}
	case decay < decayTick || decay > maxDecay:
		return &ConfigError{"Decay", fmt.Sprintf("is not within %v to %v", decayTick, maxDecay)}
	}
	return nil
}

// decayTick is the step in which weights fall.
const decayTick = 10 * time.Millisecond
