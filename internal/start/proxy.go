package start

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"chalkferry/choice"
)

// Addresses are where a proxy listens, and whom it asks and tells.
type Addresses struct {
	Name       string
	Listen     string
	Discovery  string
	PeerListen string   // "" where proxies do not talk
	Peers      []string // one for each proxy
	PeersAll   string   // one that reaches all of them, "" without
}

// Limits are what the machine gives a proxy.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// File reads the configuration file of a real proxy: besides the named parts the list of servers as last
// held, and the text of the settings.
func File(text []byte, at *Addresses, limits *Limits, seed *int64) (known, settings []byte, err error) {
	var told struct {
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
	if err := json.Unmarshal(text, &told); err != nil {
		return nil, nil, fmt.Errorf("not a configuration: %w", err)
	}
	*at = Addresses{Name: told.Name, Listen: told.Listen, Discovery: told.Discovery, PeerListen: told.PeerListen,
		Peers: told.Peers, PeersAll: told.PeersAll}
	needed := map[string]string{"listen": at.Listen, "discovery": at.Discovery}
	if at.PeerListen != "" {
		needed["peer_listen"] = at.PeerListen
	}
	for i, peer := range at.Peers {
		needed[fmt.Sprintf("peers[%d]", i)] = peer
	}
	if at.PeersAll != "" {
		needed["peers_all"] = at.PeersAll
	}
	for name, address := range needed {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, nil, fmt.Errorf("%s: %q is not an address and a port", name, address)
		}
	}
	bits, err := strconv.ParseUint(told.Seed, 16, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", told.Seed)
	}
	*seed = int64(bits)
	*limits = Limits{Cores: told.Limits.Cores, MemoryMB: int(told.Limits.MemoryMB), Sockets: int(told.Limits.Sockets)}
	switch {
	case limits.MemoryMB < 16:
		return nil, nil, fmt.Errorf("limits: memory_mb is %d, at least 16 are needed", limits.MemoryMB)
	case limits.Sockets < 64:
		return nil, nil, fmt.Errorf("limits: sockets is %d, at least 64 are needed", limits.Sockets)
	case len(told.Settings) == 0:
		return nil, nil, fmt.Errorf("settings are missing")
	}
	return told.Known, told.Settings, nil
}

// Names gives the ids of what the settings name.
func Names(settings []byte, listeners map[string]choice.ListenerID, tenants map[string]choice.TenantID,
	zones map[string]choice.ZoneID) error {
	type named struct {
		Name string `json:"name"`
	}
	var told struct {
		Listeners []named  `json:"listeners"`
		Tenants   []named  `json:"tenants"`
		Areas     []string `json:"areas"`
	}
	if err := json.Unmarshal(settings, &told); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i, l := range told.Listeners {
		listeners[l.Name] = choice.ListenerID(i)
	}
	for i, t := range told.Tenants {
		tenants[t.Name] = choice.TenantID(i)
	}
	for i, zone := range told.Areas {
		zones[zone] = choice.ZoneID(i)
	}
	switch {
	case len(listeners) < len(told.Listeners):
		return fmt.Errorf("settings: two listeners of one name")
	case len(tenants) < len(told.Tenants):
		return fmt.Errorf("settings: two tenants of one name")
	case len(zones) < len(told.Areas):
		return fmt.Errorf("settings: two areas of one name")
	}
	return nil
}

// Connections tells how long a connection may take to stand, whether sessions pass through the proxy or end at
// it, and whether they have groups.
func Connections(settings []byte, connect *time.Duration, passes, groups *bool) error {
	var told struct {
		Ceilings struct {
			ConnectTimeout float64 `json:"connectTimeout"`
		} `json:"ceilings"`
		Domain struct {
			Mode   string `json:"mode"`
			Groups bool   `json:"groups"`
		} `json:"domain"`
	}
	if err := json.Unmarshal(settings, &told); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var err error
	if *connect, err = millis("ceilings.connectTimeout", told.Ceilings.ConnectTimeout); err != nil {
		return err
	}
	if *connect == 0 {
		return fmt.Errorf("settings: connectTimeout is 0")
	}
	switch told.Domain.Mode {
	case "pass", "proxy":
	default:
		return fmt.Errorf("settings: unknown mode %q", told.Domain.Mode)
	}
	*passes, *groups = told.Domain.Mode == "pass", told.Domain.Groups
	return nil
}

// Notes tells what servers say on open sessions, a session's load and the delay of messages, and whether speeds of
// models are learnt from that.
func Notes(settings []byte, load, delay, models *bool) error {
	var told struct {
		LearnModels bool `json:"learnModels"`
		Domain      struct {
			TellsLoad  bool `json:"tellsLoad"`
			TellsDelay bool `json:"tellsDelay"`
		} `json:"domain"`
	}
	if err := json.Unmarshal(settings, &told); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	*load, *delay, *models = told.Domain.TellsLoad, told.Domain.TellsDelay, told.LearnModels
	return nil
}
