package sharing

import (
	"fmt"
	"time"

	"chalkferry/internal/aggregation"
)

// Role is the kind of process that a status comes from.
type Role string

const (
	RoleMember     Role = "member"
	RoleAggregator Role = "aggregator"
)

// StatusHead has the fields that both kinds of status begin with.
type StatusHead struct {
	Role        Role                    `json:"role"`
	Name        string                  `json:"name"`
	Region      string                  `json:"region"`
	Zone        string                  `json:"zone,omitempty"` // of a member
	Listen      string                  `json:"listen"`         // local address of the UDP socket
	Incarnation aggregation.Incarnation `json:"incarnation"`
}

// MemberStatus is a member's view of the fleet.
type MemberStatus struct {
	StatusHead
	Superseded  bool               `json:"superseded"` // a later process has the same name
	Aggregators []AggregatorStatus `json:"aggregators"`
	Regions     []RegionStatus     `json:"regions"`
	Sums        []SumStatus        `json:"sums"`
	Datagrams   Datagrams          `json:"datagrams"`
	Dropped     DroppedStatus      `json:"dropped"`
}

// AggregatorProcessStatus is an aggregator's view of its region and of the fleet.
type AggregatorProcessStatus struct {
	StatusHead
	Members      MembersStatus      `json:"members"`
	Peers        []AggregatorStatus `json:"peers"`
	Regions      []RegionStatus     `json:"regions"`
	Sums         []SumStatus        `json:"sums"`
	Limits       LimitsStatus       `json:"limits"`
	Datagrams    Datagrams          `json:"datagrams"`
	Dropped      DroppedStatus      `json:"dropped"`
	SocketBuffer int                `json:"socket_buffer_bytes"` // of the receive buffer, as granted by the kernel
}

// AggregatorStatus is another process's view of one aggregator.
type AggregatorStatus struct {
	Name        string                  `json:"name"`
	Region      string                  `json:"region"`
	Address     string                  `json:"address"`
	Known       bool                    `json:"known"` // a datagram from it was accepted
	Incarnation aggregation.Incarnation `json:"incarnation,omitempty"`
	AgeMS       int64                   `json:"age_ms"`     // of the latest datagram from it, in milliseconds
	InUse       bool                    `json:"in_use"`     // this process uses its sums
	Subscribed  bool                    `json:"subscribed"` // this member requests digests from it
	Members     uint32                  `json:"members"`    // number of members in its sums
	Heard       float64                 `json:"heard"`      // share of these members whose reports are fresh and complete, 0 to 1
	Keys        int                     `json:"keys"`       // number of keys received from it
	KeysSent    uint32                  `json:"keys_sent"`  // number of keys that it says it has
}

// RegionStatus is the source and the quality of the sums over one region.
type RegionStatus struct {
	Region  string  `json:"region"`
	Source  string  `json:"source"` // the aggregator's name, or its ID if this process does not know the name
	Members uint32  `json:"members"`
	Heard   float64 `json:"heard"`
	AgeMS   int64   `json:"age_ms"`
	Slack   uint64  `json:"slack"`  // bound on the error from changes that were not sent yet, in sessions
	Weight  float64 `json:"weight"` // 0 to 1; 1: its sums count in full
	Fading  uint64  `json:"fading"` // bound on the error from members or a region no longer heard, in sessions
}

// SumStatus is the sum of sessions over the fleet for one server, listener or tenant.
type SumStatus struct {
	Kind  string  `json:"kind"`
	Name  string  `json:"name"` // a hash if this process has not published the name itself
	Value float64 `json:"value"`
	Error float64 `json:"error"` // bound on the difference from the true sum
	AgeMS int64   `json:"age_ms"`
	Heard float64 `json:"heard"`
}

// MembersStatus has the members that an aggregator knows.
type MembersStatus struct {
	Known int                 `json:"known"`
	Fresh int                 `json:"fresh"` // number of members that count in full
	Each  []KnownMemberStatus `json:"each"`
}

// KnownMemberStatus is an aggregator's view of one member. The ID is a hash, as reports don't contain the member's name.
type KnownMemberStatus struct {
	ID          string                  `json:"id"`
	Zone        string                  `json:"zone"`
	Address     string                  `json:"address"`
	Incarnation aggregation.Incarnation `json:"incarnation"`
	AgeMS       int64                   `json:"age_ms"`
	Weight      float64                 `json:"weight"`
	Keys        int                     `json:"keys"`
	KeysSent    uint32                  `json:"keys_sent"`
	Slack       uint64                  `json:"slack"`
	Subscribed  bool                    `json:"subscribed"`
}

// LimitsStatus has the configured limits of an aggregator.
type LimitsStatus struct {
	Members    int `json:"members"`     // of the region
	MemberKeys int `json:"member_keys"` // of one member
	Keys       int `json:"keys"`        // of the region and of the fleet
}

// DroppedStatus counts what was dropped at a limit, and irregularities of the process itself.
type DroppedStatus struct {
	Keys         uint64 `json:"keys"`         // entries dropped at the limit of keys
	Members      uint64 `json:"members"`      // reports dropped at the limit of members
	Incarnations uint64 `json:"incarnations"` // how often the process raised its incarnation above that of its start
	Stalls       uint64 `json:"stalls"`       // how often the process had been stopped, such as by SIGSTOP
}

func droppedStatus(c aggregation.Counters) DroppedStatus {
	return DroppedStatus{Keys: c.DroppedEntries, Members: c.DroppedMemberReports, Incarnations: c.IncarnationChanges, Stalls: c.Stalls}
}

var kindNames = [...]string{
	aggregation.ByServer: "server", aggregation.ByTenant: "tenant", aggregation.ByListener: "listener",
}

func kindName(kind aggregation.Kind) string {
	if int(kind) < len(kindNames) && kindNames[kind] != "" {
		return kindNames[kind]
	}
	return fmt.Sprint(kind)
}

func sumStatus(k aggregation.Key, name string, f aggregation.Figure) SumStatus {
	return SumStatus{Kind: kindName(k.Kind), Name: name, Value: f.Value, Error: f.Error, AgeMS: f.Age.Milliseconds(), Heard: f.Heard}
}

// aggregatorNames has the configured aggregators by their IDs.
type aggregatorNames map[aggregation.AggregatorID]aggregatorName

type aggregatorName struct {
	name    string
	address string
}

func (n aggregatorNames) status(a aggregation.AggregatorStatus) AggregatorStatus {
	configured := n[a.ID]
	return AggregatorStatus{Name: configured.name, Region: a.Region, Address: configured.address, Known: a.Known,
		Incarnation: a.Incarnation, AgeMS: a.Age.Milliseconds(), InUse: a.InUse, Subscribed: a.Subscribed,
		Members: a.Members, Heard: a.Heard, Keys: a.Keys, KeysSent: a.KeysSent}
}

func (n aggregatorNames) regionStatus(r aggregation.RegionState) RegionStatus {
	return RegionStatus{Region: r.Region, Source: n.sourceName(r.Source), Members: r.Members, Heard: r.Heard,
		AgeMS: r.Age.Milliseconds(), Slack: r.Slack, Weight: r.Weight, Fading: r.Fading}
}

func (n aggregatorNames) sourceName(id aggregation.AggregatorID) string {
	if configured, known := n[id]; known {
		return configured.name
	}
	if id == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(id))
}

func aggregatorID(name string) aggregation.AggregatorID { return aggregation.AggregatorID(hash(name)) }

func memberID(name string) aggregation.MemberID { return aggregation.MemberID(hash(name)) }

// newIncarnation returns the current time, which is larger than at any earlier start unless the clock was set back.
func newIncarnation() aggregation.Incarnation {
	return aggregation.Incarnation(time.Now().UnixNano())
}
