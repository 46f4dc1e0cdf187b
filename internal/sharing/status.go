package sharing

import (
	"fmt"
	"time"

	"chalkferry/internal/aggregation"
)

// Role says which kind of process a status is of.
type Role string

const (
	RoleMember     Role = "member"
	RoleAggregator Role = "aggregator"
)

// StatusHead is what the two kinds of status begin with.
type StatusHead struct {
	Role        Role                    `json:"role"`
	Name        string                  `json:"name"`
	Region      string                  `json:"region"`
	Zone        string                  `json:"zone,omitempty"`
	Listen      string                  `json:"listen"`
	Incarnation aggregation.Incarnation `json:"incarnation"`
}

// MemberStatus is what a proxy believes of its fleet.
type MemberStatus struct {
	StatusHead
	Superseded  bool               `json:"superseded"` // a later process has the same name
	Aggregators []AggregatorStatus `json:"aggregators"`
	Regions     []RegionStatus     `json:"regions"`
	Sums        []SumStatus        `json:"sums"`
	Datagrams   Datagrams          `json:"datagrams"`
	Dropped     DroppedStatus      `json:"dropped"`
}

// AggregatorProcessStatus is what an aggregator believes of its region and of the fleet.
type AggregatorProcessStatus struct {
	StatusHead
	Members      MembersStatus      `json:"members"`
	Peers        []AggregatorStatus `json:"peers"`
	Regions      []RegionStatus     `json:"regions"`
	Sums         []SumStatus        `json:"sums"`
	Limits       LimitsStatus       `json:"limits"`
	Datagrams    Datagrams          `json:"datagrams"`
	Dropped      DroppedStatus      `json:"dropped"`
	SocketBuffer int                `json:"socket_buffer_bytes"` // as the kernel granted it
}

// AggregatorStatus is one aggregator as another process knows it.
type AggregatorStatus struct {
	Name        string                  `json:"name"`
	Region      string                  `json:"region"`
	Address     string                  `json:"address"`
	Known       bool                    `json:"known"` // a datagram of it was accepted
	Incarnation aggregation.Incarnation `json:"incarnation,omitempty"`
	AgeMS       int64                   `json:"age_ms"`
	InUse       bool                    `json:"in_use"`     // its sums count
	Subscribed  bool                    `json:"subscribed"` // digests are asked of it
	Members     uint32                  `json:"members"`    // that its sums are about
	Heard       float64                 `json:"heard"`      // share of them that is fresh and fully received
	Keys        int                     `json:"keys"`       // received of it
	KeysSent    uint32                  `json:"keys_sent"`  // that it says it has
}

// RegionStatus is one region: where its sums come from and how good they are.
type RegionStatus struct {
	Region  string  `json:"region"`
	Source  string  `json:"source"` // an aggregator's name, or its number where this process does not know the name
	Members uint32  `json:"members"`
	Heard   float64 `json:"heard"`
	AgeMS   int64   `json:"age_ms"`
	Slack   uint64  `json:"slack"`  // bound on the error by what was not sent
	Weight  float64 `json:"weight"` // 1: its sums count in full
	Fading  uint64  `json:"fading"` // bound on the error by what is no longer heard
}

// SumStatus is a sum over the fleet.
type SumStatus struct {
	Kind  string  `json:"kind"`
	Name  string  `json:"name"` // a number where this process has not published the name itself
	Value float64 `json:"value"`
	Error float64 `json:"error"`
	AgeMS int64   `json:"age_ms"`
	Heard float64 `json:"heard"`
}

// MembersStatus is how many members an aggregator knows, and each of them.
type MembersStatus struct {
	Known int                 `json:"known"`
	Fresh int                 `json:"fresh"` // count in full
	Each  []KnownMemberStatus `json:"each"`
}

// KnownMemberStatus is one member as an aggregator knows it. Reports have a number made of the name, not the name.
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

// LimitsStatus are the limits of an aggregator.
type LimitsStatus struct {
	Members    int `json:"members"`
	MemberKeys int `json:"member_keys"`
	Keys       int `json:"keys"`
}

// DroppedStatus is what was dropped at a limit, and what the process found out about itself.
type DroppedStatus struct {
	Keys         uint64 `json:"keys"`         // entries for which there was no room
	Members      uint64 `json:"members"`      // reports of members for which there was no room
	Incarnations uint64 `json:"incarnations"` // how often a larger incarnation was taken than the one of the start
	Stalls       uint64 `json:"stalls"`       // how often the process had been stopped for a while
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

// aggregatorNames has the configured aggregators by their numbers.
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

func newIncarnation() aggregation.Incarnation {
	return aggregation.Incarnation(time.Now().UnixNano())
}
