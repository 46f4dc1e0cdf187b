package rehearse

import (
	"fmt"

	"chalkferry/internal/strict"
)

// FaultKind names what a fault does, as scenarios have it.
type FaultKind string

// The faults. docs/rehearsal.md says what each does.
const (
	faultHang           FaultKind = "hang"
	faultSlow           FaultKind = "slow"
	faultStall          FaultKind = "stall"
	faultKill           FaultKind = "kill"
	faultVanish         FaultKind = "vanish"
	faultHalfOpen       FaultKind = "half-open"
	faultDrain          FaultKind = "drain"
	faultRestart        FaultKind = "restart"
	faultAdd            FaultKind = "add"
	faultListLate       FaultKind = "list-late"
	faultListDown       FaultKind = "list-down"
	faultListCut        FaultKind = "list-cut"
	faultListStale      FaultKind = "list-stale"
	faultListMoved      FaultKind = "list-moved"
	faultProxyKill      FaultKind = "proxy-kill"
	faultProxyLeave     FaultKind = "proxy-leave"
	faultProxyReload    FaultKind = "proxy-reload"
	faultClientsDrop    FaultKind = "clients-drop"
	faultBadClients     FaultKind = "bad-clients"
	faultSilentClients  FaultKind = "silent-clients"
	faultRollingRestart FaultKind = "rolling-restart"
)

// faultTraits are what a kind acts on and which keys it takes.
type faultTraits struct {
	onNodes, onProxies bool
	requiredKey        string // another key that must not be 0
	hasDuration        bool   // takes a duration
}

var faultKinds = map[FaultKind]faultTraits{
	faultHang:           {onNodes: true, hasDuration: true},
	faultSlow:           {onNodes: true, hasDuration: true, requiredKey: "factor"},
	faultStall:          {onNodes: true, hasDuration: true},
	faultKill:           {onNodes: true, hasDuration: true},
	faultVanish:         {onNodes: true, hasDuration: true},
	faultHalfOpen:       {onNodes: true, requiredKey: "share"},
	faultDrain:          {onNodes: true, hasDuration: true},
	faultRestart:        {onNodes: true},
	faultAdd:            {requiredKey: "count"},
	faultListLate:       {hasDuration: true, requiredKey: "by"},
	faultListDown:       {hasDuration: true},
	faultListCut:        {hasDuration: true},
	faultListStale:      {hasDuration: true},
	faultListMoved:      {},
	faultProxyKill:      {onProxies: true, hasDuration: true},
	faultProxyLeave:     {onProxies: true, hasDuration: true},
	faultProxyReload:    {onProxies: true},
	faultClientsDrop:    {requiredKey: "share"},
	faultBadClients:     {requiredKey: "count", hasDuration: true},
	faultSilentClients:  {requiredKey: "count", hasDuration: true},
	faultRollingRestart: {},
}

// Fault is one entry of the timeline.
type Fault struct {
	Kind      FaultKind
	At        strict.Span
	Duration  strict.Span `toml:"for"` // 0 for one that is not undone
	Nodes     []int
	Share     float64     // of nodes, of sessions or of clients, by the kind
	Factor    float64     // of a slow node
	ListDelay strict.Span `toml:"by"`
	Proxies   []int
	Count     int  // of nodes or of clients, by the kind
	AtOnce    bool `toml:"at_once"`
}

func (f Fault) String() string {
	text := fmt.Sprintf("%v: %s", f.At, f.Kind)
	if len(f.Nodes) > 0 {
		text += fmt.Sprintf(" of nodes %v", f.Nodes)
	}
	if len(f.Proxies) > 0 {
		text += fmt.Sprintf(" of proxies %v", f.Proxies)
	}
	if f.Duration > 0 {
		text += fmt.Sprintf(" for %v", f.Duration)
	}
	return text
}
