package start

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"chalkferry/choice"
)

// Addresses are the proxy's name, the addresses it listens at and those it connects or sends to. Each address is "IP:port".
type Addresses struct {
	Name       string
	Listen     string
	Discovery  string
	PeerListen string   // UDP; "" if proxies do not exchange overload reports
	Peers      []string // one address for each proxy
	PeersAll   string   // one address that reaches all of them, "" if there is none
}

// Limits are the resources that the machine gives a proxy.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// ParseFile parses the configuration file of a proxy. Besides the parts that it stores in its arguments it returns the text
// of the cached list of servers (empty if there is none) and the text of the settings, both unparsed.
func ParseFile(text []byte, addresses *Addresses, limits *Limits, seed *int64) (knownServers, settings []byte, err error) {
	var raw struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Seed       string          `json:"seed"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
		Limits     struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64 `json:"sockets"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, nil, fmt.Errorf("configuration is not valid JSON: %w", err)
	}
	*addresses = Addresses{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, PeerListen: raw.PeerListen,
		Peers: raw.Peers, PeersAll: raw.PeersAll}
	required := map[string]string{"listen": addresses.Listen, "discovery": addresses.Discovery}
	if addresses.PeerListen != "" {
		required["peer_listen"] = addresses.PeerListen
	}
	for i, peer := range addresses.Peers {
		required[fmt.Sprintf("peers[%d]", i)] = peer
	}
	if addresses.PeersAll != "" {
		required["peers_all"] = addresses.PeersAll
	}
	for name, address := range required {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, nil, fmt.Errorf("%s: %q is not an address and a port", name, address)
		}
	}
	bits, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", raw.Seed)
	}
	*seed = int64(bits)
	*limits = Limits{Cores: raw.Limits.Cores, MemoryMB: int(raw.Limits.MemoryMB), Sockets: int(raw.Limits.Sockets)}
	switch {
	case limits.MemoryMB < 16:
		return nil, nil, fmt.Errorf("limits: memory_mb is %d, at least 16 are needed", limits.MemoryMB)
	case limits.Sockets < 64:
		return nil, nil, fmt.Errorf("limits: sockets is %d, at least 64 are needed", limits.Sockets)
	case len(raw.Settings) == 0:
		return nil, nil, fmt.Errorf("settings are missing")
	}
	return raw.Known, raw.Settings, nil
}

// ParseNames fills the maps from the names of listeners, tenants and zones to their IDs, which are their positions in the
// settings. The maps must be empty; duplicate names are an error.
func ParseNames(settings []byte, listeners map[string]choice.ListenerID, tenants map[string]choice.TenantID,
	zones map[string]choice.ZoneID) error {
	type named struct {
		Name string `json:"name"`
	}
	var raw struct {
		Listeners []named  `json:"listeners"`
		Tenants   []named  `json:"tenants"`
		Areas     []string `json:"areas"`
	}
	if err := json.Unmarshal(settings, &raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i, listener := range raw.Listeners {
		listeners[listener.Name] = choice.ListenerID(i)
	}
	for i, tenant := range raw.Tenants {
		tenants[tenant.Name] = choice.TenantID(i)
	}
	for i, zone := range raw.Areas {
		zones[zone] = choice.ZoneID(i)
	}
	switch {
	case len(listeners) < len(raw.Listeners):
		return fmt.Errorf("settings: two listeners have the same name")
	case len(tenants) < len(raw.Tenants):
		return fmt.Errorf("settings: two tenants have the same name")
	case len(zones) < len(raw.Areas):
		return fmt.Errorf("settings: two areas have the same name")
	}
	return nil
}

// ParseConnections reads how long a connection to a server may take to be established, whether sessions pass through the
// proxy or end at it, and whether clients name groups.
func ParseConnections(settings []byte, connectTimeout *time.Duration, passThrough, hasGroups *bool) error {
	var raw struct {
		Ceilings struct {
			ConnectTimeout float64 `json:"connectTimeout"`
		} `json:"ceilings"`
		Domain struct {
			Mode   string `json:"mode"`
			Groups bool   `json:"groups"`
		} `json:"domain"`
	}
	if err := json.Unmarshal(settings, &raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var err error
	if *connectTimeout, err = parseMillis("ceilings.connectTimeout", raw.Ceilings.ConnectTimeout); err != nil {
		return err
	}
	if *connectTimeout == 0 {
		return fmt.Errorf("settings: connectTimeout is 0")
	}
	switch raw.Domain.Mode {
	case "pass", "proxy":
	default:
		return fmt.Errorf("settings: unknown mode %q", raw.Domain.Mode)
	}
	*passThrough, *hasGroups = raw.Domain.Mode == "pass", raw.Domain.Groups
	return nil
}

// ParseDrainGrace reads how long after the notice of a drain new sessions may still be sent to the server. It is 0 if the settings
// do not state it.
func ParseDrainGrace(settings []byte, grace *time.Duration) error {
	var raw struct {
		Invariants struct {
			StopSending float64 `json:"stopSendingWithin"`
		} `json:"invariants"`
	}
	if err := json.Unmarshal(settings, &raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var err error
	*grace, err = parseMillis("invariants.stopSendingWithin", raw.Invariants.StopSending)
	return err
}

// ParseServerReports reads what servers report on open sessions, a session's load and the delay of its messages, and whether
// the speeds of server models are learnt from that.
func ParseServerReports(settings []byte, reportLoad, reportDelay, learnModels *bool) error {
	var raw struct {
		LearnModels bool `json:"learnModels"`
		Domain      struct {
			ReportsLoad  bool `json:"tellsLoad"`
			ReportsDelay bool `json:"tellsDelay"`
		} `json:"domain"`
	}
	if err := json.Unmarshal(settings, &raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	*reportLoad, *reportDelay, *learnModels = raw.Domain.ReportsLoad, raw.Domain.ReportsDelay, raw.LearnModels
	return nil
}
