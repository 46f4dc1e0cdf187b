package rehearse

import (
	"encoding/json"
	"time"

	"chalkferry/internal/standin/client"
	"chalkferry/internal/standin/judge"
	"chalkferry/internal/strict"
)

// proxyConfig is a proxy's configuration file. The keys are those of the proxy's own page.
type proxyConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limitsConfig    `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  settingsConfig  `json:"settings"`
}

type limitsConfig struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settingsConfig is what a proxy knows of the platform. Times are in milliseconds.
type settingsConfig struct {
	Areas      []string         `json:"areas"`
	Discovery  string           `json:"discovery"`
	GroupSize  int              `json:"groupSize"` // proxies
	Me         int              `json:"me"`
	Ceilings   ceilingsConfig   `json:"ceilings"`
	Domain     domainConfig     `json:"domain"`
	Invariants invariantsConfig `json:"invariants"`
	Listeners  []listenerConfig `json:"listeners"`
	Tenants    []tenantConfig   `json:"tenants"`
}

type ceilingsConfig struct {
	ConnectTimeout float64 `json:"connectTimeout"`
	ConnIdle       float64 `json:"connIdle"`
	MaxDials       int     `json:"mostDials"`
	Probes         bool    `json:"probes"`
}

type domainConfig struct {
	Mode           string    `json:"mode"`
	Groups         bool      `json:"groups"`
	MessageTargets []float64 `json:"messageAim"` // by listener
	ReportsLoad    bool      `json:"tellsLoad"`
	ReportsDelay   bool      `json:"tellsDelay"`
}

type invariantsConfig struct {
	MustAskIn      float64 `json:"mustAskIn"`
	ColdSpan       float64 `json:"cold"`
	ColdFrom       float64 `json:"coldFrom"`
	FallMultiple   float64 `json:"fallMultiple"`
	OverloadWindow float64 `json:"tipAfter"`
}

type listenerConfig struct {
	Name            string  `json:"name"`
	DialTimeout     float64 `json:"dialTimeout"`
	HandshakeTarget float64 `json:"handshakeTarget"`
	RepeatWindow    float64 `json:"repeatWindow"`
	Effect          string  `json:"effect"`
	Group           string  `json:"group"`
	Utility         float64 `json:"utility"`
}

type tenantConfig struct {
	Name string `json:"name"`
}

// Values of a proxy's settings.
const (
	discoveryByWatch = "ask"
	modeTerminating  = "proxy"
	modePassThrough  = "pass"
	connectTimeoutMs = 150
	connIdleMs       = 10000
)

// effectNames are the settings' names for the effects.
var effectNames = map[judge.Effect]string{
	judge.Repeatable: "read_like",
	judge.Referenced: "idempotency_key",
	judge.OnceOnly:   "non_idempotent",
}

// settings are what a proxy, one of the scenario's, knows of the platform.
func (s *Scenario) settings(proxy int) settingsConfig {
	p := &s.Platform
	mode := modeTerminating
	if s.Proxies.PassThrough {
		mode = modePassThrough
	}
	c := settingsConfig{
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
		c.Listeners = append(c.Listeners, listenerConfig{
			Name:            l.Name,
			DialTimeout:     toMillis(l.DialTimeout),
			HandshakeTarget: toMillis(l.HandshakeTarget),
			RepeatWindow:    toMillis(l.RepeatWindow),
			Effect:          effectNames[judge.Effect(l.Effect)],
			Group:           l.Group,
			Utility:         l.Utility,
		})
		c.Domain.MessageTargets = append(c.Domain.MessageTargets, toMillis(l.MessageTarget))
	}
	for _, name := range s.Clients.Tenants {
		c.Tenants = append(c.Tenants, tenantConfig{Name: name})
	}
	return c
}

func toMillis(d strict.Span) float64 { return float64(d.D()) / float64(time.Millisecond) }

// clientBehavior is what the scenario's clients have in common.
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
