package aggregation

import (
	"fmt"
	"time"
)

// ConfigError reports an invalid field of a MemberConfig or AggregatorConfig.
type ConfigError struct {
	Field  string
	Reason string
}

func (e *ConfigError) Error() string { return fmt.Sprintf("aggregation: %s: %s", e.Field, e.Reason) }

// MemberConfig configures a Member.
type MemberConfig struct {
	ID          MemberID
	Region      string
	Zone        string
	Incarnation Incarnation
	Aggregators []AggregatorID // all aggregators of the region, at least one
	MaxKeys     int            // limit on the keys of the own table, and on those of each digest table
	ChangeShare float64        // 0 to 1; a value that changed by a larger share of what was last sent goes into the next report
	Freshness   time.Duration  // how long a sender counts in full after it was last heard
	Decay       time.Duration  // how long its weight then takes to fall linearly to 0
}

// Peer identifies another aggregator and its region.
type Peer struct {
	ID     AggregatorID
	Region string
}

// AggregatorConfig configures an Aggregator. Fields that MemberConfig has too mean the same.
type AggregatorConfig struct {
	ID            AggregatorID
	Region        string
	Incarnation   Incarnation
	Peers         []Peer // all other aggregators, of all regions
	MaxMembers    int    // limit on the known members of the region
	MaxKeys       int    // limit on the keys of the fleet's sums
	MaxMemberKeys int    // limit on the keys of one member
	ChangeShare   float64
	Freshness     time.Duration
	Decay         time.Duration
}

// Validate returns a *ConfigError for the first field that can't be.
func (c *MemberConfig) Validate() error {
	switch {
	case !validName(c.Region):
		return &ConfigError{"Region", nameLengthRule}
	case !validName(c.Zone):
		return &ConfigError{"Zone", nameLengthRule}
	case c.Incarnation == 0:
		return &ConfigError{"Incarnation", "is 0"}
	case len(c.Aggregators) == 0:
		return &ConfigError{"Aggregators", "at least one is required"}
	}
	seen := map[AggregatorID]bool{0: true}
	for _, id := range c.Aggregators {
		if seen[id] {
			return &ConfigError{"Aggregators", fmt.Sprintf("ID %d is 0 or listed twice", id)}
		}
		seen[id] = true
	}
	return validateCommonFields(c.MaxKeys, c.ChangeShare, c.Freshness, c.Decay)
}

// Validate returns a *ConfigError for the first field that can't be.
func (c *AggregatorConfig) Validate() error {
	switch {
	case c.ID == 0:
		return &ConfigError{"ID", "is 0"}
	case !validName(c.Region):
		return &ConfigError{"Region", nameLengthRule}
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
			return &ConfigError{"Peers", fmt.Sprintf("ID %d is 0, this aggregator's own or listed twice", peer.ID)}
		}
		if !validName(peer.Region) {
			return &ConfigError{"Peers", "region: " + nameLengthRule}
		}
		seen[peer.ID], regions[peer.Region] = true, true
	}
	if len(regions) > MaxRegions {
		return &ConfigError{"Peers", fmt.Sprintf("%d regions, at most %d are allowed", len(regions), MaxRegions)}
	}
	return validateCommonFields(c.MaxKeys, c.ChangeShare, c.Freshness, c.Decay)
}

const nameLengthRule = "must have 1 to 32 bytes"

func validName(name string) bool { return len(name) > 0 && len(name) <= MaxNameBytes }

// maxMembersLimit and maxDecay keep the products in regionSums within 64 bits, see maxMemberValue.
const (
	maxMembersLimit = 1 << 15
	maxDecay        = 10 * time.Minute
)

// maxTableKeys bounds the configurable table sizes. It is far more keys than a table could send in a useful time.
const maxTableKeys = 1 << 20

func validateCommonFields(maxKeys int, changeShare float64, freshness, decay time.Duration) error {
	switch {
	case maxKeys < 1 || maxKeys > maxTableKeys:
		return &ConfigError{"MaxKeys", fmt.Sprintf("is not within 1 to %d", maxTableKeys)}
	case !(changeShare >= 0 && changeShare <= 1):
		return &ConfigError{"ChangeShare", "is not within 0 to 1"}
	case freshness <= 0 || freshness > time.Hour:
		return &ConfigError{"Freshness", "must be above 0 and at most 1h"}
	case decay < decayTick || decay > maxDecay:
		return &ConfigError{"Decay", fmt.Sprintf("is not within %v to %v", decayTick, maxDecay)}
	}
	return nil
}

// decayTick is the unit of time in which regionSums computes the weights of fading members.
const decayTick = 10 * time.Millisecond
