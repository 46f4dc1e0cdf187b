package rehearse

import (
	"encoding/json"
	"time"

	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/strict"
)

// proxyConfig is a proxy's configuration file. Its keys are those of the proxy's documented configuration.
type proxyConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limitsConfig    `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  settingsConfig  `json:"settings"`
}

// limitsConfig holds the resource limits of a proxy.
type limitsConfig struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settingsConfig holds the settings of the platform that a proxy needs. Times are in milliseconds.
type settingsConfig struct {
	Areas      []string         `json:"areas"`
	Discovery  string           `json:"discovery"`
	GroupSize  int              `json:"groupSize"` // number of proxies
	Me         int              `json:"me"`        // the proxy's index
	Ceilings   ceilingsConfig   `json:"ceilings"`
	Domain     domainConfig     `json:"domain"`
	Invariants invariantsConfig `json:"invariants"`
	Listeners  []listenerConfig `json:"listeners"`
	Tenants    []tenantConfig   `json:"tenants"`
}

// ceilingsConfig holds the limits on a proxy's dials and connections.
type ceilingsConfig struct {
	ConnectTimeout float64 `json:"connectTimeout"`
	ConnIdle       float64 `json:"connIdle"`
	MaxDials       int     `json:"mostDials"`
	Probes         bool    `json:"probes"`
}

// domainConfig describes the sessions and what the nodes report.
type domainConfig struct {
	Mode           string    `json:"mode"`
	Groups         bool      `json:"groups"`
	MessageTargets []float64 `json:"messageAim"` // by listener
	ReportsLoad    bool      `json:"tellsLoad"`
	ReportsDelay   bool      `json:"tellsDelay"`
}

// invariantsConfig holds the limits of the rules for polling discovery and for cold nodes.
type invariantsConfig struct {
	MustAskIn      float64 `json:"mustAskIn"`
	ColdSpan       float64 `json:"cold"`
	ColdFrom       float64 `json:"coldFrom"`
	FallMultiple   float64 `json:"fallMultiple"`
	OverloadWindow float64 `json:"tipAfter"`
}

// listenerConfig holds the settings of one listener.
type listenerConfig struct {
	Name            string  `json:"name"`
	DialTimeout     float64 `json:"dialTimeout"`
	HandshakeTarget float64 `json:"handshakeTarget"`
	RepeatWindow    float64 `json:"repeatWindow"`
	Effect          string  `json:"effect"`
	Group           string  `json:"group"`
	Utility         float64 `json:"utility"`
}

// tenantConfig holds the settings of one tenant.
type tenantConfig struct {
	Name string `json:"name"`
}

// Values in a proxy's settings.
const (
	discoveryByWatch = "ask" // the proxy watches discovery
	modeTerminating  = "proxy"
	modePassThrough  = "pass"
	connectTimeoutMs = 150
	connIdleMs       = 10000
)

// effectNames maps effects to their names in the proxy's settings.
var effectNames = map[judge.Effect]string{
	judge.Repeatable: "read_like",
	judge.Referenced: "idempotency_key",
	judge.OnceOnly:   "non_idempotent",
}

// settings returns the settings for a proxy, given by its index.
func (s *Scenario) settings(proxy int) settingsConfig {
	p := &s.Platform
	mode := modeTerminating
	if s.Proxies.PassThrough {
		mode = modePassThrough
	}
	settings := settingsConfig{
		Areas:     p.Zones,
		Discovery: discoveryByWatch,
		GroupSize: s.Proxies.Count,
		Me:        proxy,
		Ceilings: ceilingsConfig{ConnectTimeout: connectTimeoutMs, ConnIdle: connIdleMs, MaxDials: s.Proxies.MaxDials,
			Probes: p.Probes},
		Domain: domainConfig{Mode: mode, Groups: s.Clients.Groups > 0, ReportsLoad: p.ReportsLoad,
			ReportsDelay: p.ReportsDelay},
		Invariants: invariantsConfig{MustAskIn: toMillis(p.MustAsk), ColdSpan: toMillis(p.ColdSpan), ColdFrom: p.ColdFrom,
			FallMultiple: p.FallMultiple, OverloadWindow: toMillis(p.FallWindow)},
	}
	for _, l := range s.Listeners {
		settings.Listeners = append(settings.Listeners, listenerConfig{
			Name:            l.Name,
			DialTimeout:     toMillis(l.DialTimeout),
			HandshakeTarget: toMillis(l.HandshakeTarget),
			RepeatWindow:    toMillis(l.RepeatWindow),
			Effect:          effectNames[judge.Effect(l.Effect)],
			Group:           l.Group,
			Utility:         l.Utility,
		})
		settings.Domain.MessageTargets = append(settings.Domain.MessageTargets, toMillis(l.MessageTarget))
	}
	for _, name := range s.Clients.Tenants {
		settings.Tenants = append(settings.Tenants, tenantConfig{Name: name})
	}
	return settings
}

func toMillis(d strict.Span) float64 { return float64(d.D()) / float64(time.Millisecond) }

// clientBehavior returns the behavior that the scenario's clients share.
func (s *Scenario) clientBehavior() client.Behavior {
	return client.Behavior{
		Retries:      s.Clients.Retries,
		Backoff:      s.Clients.Backoff.D(),
		RejoinMin:    s.Clients.Rejoin[0].D(),
		RejoinMax:    s.Clients.Rejoin[1].D(),
		MessageEvery: s.Clients.MessageEvery.D(),
		PassThrough:  s.Proxies.PassThrough,
	}
}
