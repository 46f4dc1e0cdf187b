package rehearse

import (
	"fmt"

	"chalkferry/internal/strict"
)

// FaultKind is the kind of a fault. Its values are the names used in scenarios.
type FaultKind string

// The kinds of faults: of nodes, of discovery (list-), of proxies and of clients. docs/rehearsal.md describes each.
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

// faultTraits describes which targets and keys a kind of fault takes.
type faultTraits struct {
	onNodes, onProxies bool   // it acts on chosen nodes or proxies
	requiredKey        string // a key that must not be 0, "" for none
	hasDuration        bool   // it may have a duration
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

// Fault is one fault that is injected during a run.
type Fault struct {
	Kind      FaultKind
	At        strict.Span // since the start of the run
	Duration  strict.Span `toml:"for"` // after which it is undone; 0 for never
	Nodes     []int       // indexes
	Share     float64     // of nodes, sessions or clients, depending on the kind; 0 to 1
	Factor    float64     // by which a node is slower
	ListDelay strict.Span `toml:"by"` // delay until discovery publishes a change
	Proxies   []int       // indexes
	Count     int         // of nodes or clients, depending on the kind
	AtOnce    bool        `toml:"at_once"` // a drain migrates all sessions at its end
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
