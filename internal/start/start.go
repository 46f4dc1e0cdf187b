// Package start reads what a proxy is told at its start.
package start

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
)

// moduleSettings is what the module's part of the settings looks like; times are in milliseconds.
type moduleSettings struct {
	Discovery string             `json:"discovery"`
	Listeners []listenerSettings `json:"listeners"`
	Ceilings  struct {
		MostDials     int     `json:"mostDials"`
		MaxRetryAfter float64 `json:"maxRetryAfter"`
		RetryAfter    bool    `json:"retryAfter"`
		Peers         bool    `json:"peers"`
	} `json:"ceilings"`
	Invariants struct {
		Cold         float64 `json:"cold"`
		ColdFrom     float64 `json:"coldFrom"`
		FallMultiple float64 `json:"fallMultiple"`
		TipAfter     float64 `json:"tipAfter"`
		MustAskIn    float64 `json:"mustAskIn"`
		DrainsAlone  bool    `json:"drainBindsAlone"`
		StopSending  float64 `json:"stopSendingWithin"`

		FreeResends  *float64 `json:"freeResends"`
		FurtherRatio *float64 `json:"furtherRatio"`
		BudgetWindow *float64 `json:"budgetWindow"`
	} `json:"invariants"`
	Domain struct {
		MessageAim []float64 `json:"messageAim"`
	} `json:"domain"`
	Penalties struct {
		Peer float64 `json:"peer"`
	} `json:"penalties"`
	GroupSize int `json:"groupSize"`
	Me        int `json:"me"`
}

type listenerSettings struct {
	Name            string  `json:"name"`
	DialTimeout     float64 `json:"dialTimeout"`
	HandshakeTarget float64 `json:"handshakeTarget"`
	RepeatWindow    float64 `json:"repeatWindow"`
	Effect          string  `json:"effect"`
	Group           string  `json:"group"`
	Utility         float64 `json:"utility"`
}

// Module takes from the text of the settings what the named parts of the module want.
func Module(text []byte, listeners *[]choice.Listener, dials *choice.DialLimits, budget *choice.RetryBudget,
	list *choice.ListSettings, cold *choice.ColdSettings, words *choice.PeerReportSettings) error {
	var settings moduleSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	switch settings.Discovery {
	case "", "ask", "push":
	default:
		return fmt.Errorf("settings: unknown discovery %q", settings.Discovery)
	}
	var spans spanReader
	next, err := settings.listeners(&spans)
	if err != nil {
		return err
	}
	*listeners = append(*listeners, next...)
	*dials = settings.dialLimits(&spans)
	if err := furtherDials(settings.Invariants.FreeResends, settings.Invariants.FurtherRatio,
		settings.Invariants.BudgetWindow, budget); err != nil {
		return err
	}
	*list = settings.listRules(&spans)
	*cold = settings.coldRule(&spans)
	*words = choice.PeerReportSettings{Enabled: settings.Ceilings.Peers,
		CostPerMessage: settings.Penalties.Peer * benchwire.WordSize / benchwire.FullMessage}
	if spans.err != nil {
		return spans.err
	}
	return settings.check(*listeners, *list, *cold)
}

// spanReader reads times and keeps the first error.
type spanReader struct{ err error }

func (r *spanReader) span(name string, ms float64) time.Duration {
	d, err := millis(name, ms)
	if err != nil && r.err == nil {
		r.err = err
	}
	return d
}

func (s *moduleSettings) listeners(spans *spanReader) ([]choice.Listener, error) {
	if len(s.Listeners) == 0 {
		return nil, fmt.Errorf("settings: no listeners")
	}
	var listeners []choice.Listener
	for i, l := range s.Listeners {
		next, err := l.listener(i, spans)
		if err != nil {
			return nil, err
		}
		if i < len(s.Domain.MessageAim) {
			next.MessageTarget = spans.span(fmt.Sprintf("domain.messageAim[%d]", i), s.Domain.MessageAim[i])
		}
		listeners = append(listeners, next)
	}
	return listeners, nil
}

func (l *listenerSettings) listener(number int, spans *spanReader) (choice.Listener, error) {
	field := func(name string) string { return fmt.Sprintf("listeners[%d].%s", number, name) }
	listener := choice.Listener{
		Name:            l.Name,
		HandshakeTarget: spans.span(field("handshakeTarget"), l.HandshakeTarget),
		DialTimeout:     spans.span(field("dialTimeout"), l.DialTimeout),
		DedupWindow:     spans.span(field("repeatWindow"), l.RepeatWindow),
		Utility:         l.Utility,
	}
	switch l.Effect {
	case "read_like":
	case "idempotency_key":
		listener.Idempotency = choice.IdempotencyKeyed
	case "non_idempotent":
		listener.Idempotency = choice.NonIdempotent
	default:
		return listener, fmt.Errorf("settings: unknown effect %q", l.Effect)
	}
	switch l.Group {
	case "", "all":
	case "zone":
		listener.DedupScope = choice.DedupZone
	case "cell":
		listener.DedupScope = choice.DedupCell
	default:
		return listener, fmt.Errorf("settings: unknown group %q", l.Group)
	}
	return listener, nil
}

func (s *moduleSettings) dialLimits(spans *spanReader) choice.DialLimits {
	limits := choice.DialLimits{MaxDials: max(s.Ceilings.MostDials, 1)}
	if s.Ceilings.RetryAfter {
		limits.MaxRetryAfter = spans.span("ceilings.maxRetryAfter", s.Ceilings.MaxRetryAfter)
	}
	return limits
}

func (s *moduleSettings) listRules(spans *spanReader) choice.ListSettings {
	rules := choice.ListSettings{
		NeedsSubscription: s.Discovery == "ask",
		MaxPollInterval:   spans.span("invariants.mustAskIn", s.Invariants.MustAskIn),
		OnlyDrainsExclude: s.Invariants.DrainsAlone,
	}
	if !rules.NeedsSubscription { // what is pushed counts as told, whether or not a watch is open: a broken one is back by then
		rules.MaxRetryBackoff = spans.span("invariants.stopSendingWithin", s.Invariants.StopSending) / 2
	}
	return rules
}

func (s *moduleSettings) coldRule(spans *spanReader) choice.ColdSettings {
	return choice.ColdSettings{
		RampDuration:     spans.span("invariants.cold", s.Invariants.Cold),
		InitialShare:     s.Invariants.ColdFrom,
		OverloadMultiple: s.Invariants.FallMultiple,
		OverloadWindow:   spans.span("invariants.tipAfter", s.Invariants.TipAfter),
		ProxyCount:       max(s.GroupSize, 1),
		ProxyIndex:       s.Me,
	}
}

// check refuses values that are out of range or don't go together.
func (s *moduleSettings) check(listeners []choice.Listener, list choice.ListSettings, cold choice.ColdSettings) error {
	switch {
	case s.Penalties.Peer < 0:
		return fmt.Errorf("settings: penalties.peer is %v, below 0", s.Penalties.Peer)
	case s.GroupSize < 0:
		return fmt.Errorf("settings: groupSize is %d, below 0", s.GroupSize)
	case s.Me < 0 || s.Me >= cold.ProxyCount:
		return fmt.Errorf("settings: me is %d of %d proxies", s.Me, cold.ProxyCount)
	case cold.OverloadMultiple < 0:
		return fmt.Errorf("settings: fallMultiple is %v, below 0", cold.OverloadMultiple)
	case cold.RampDuration > 0 && cold.OverloadWindow == 0:
		return fmt.Errorf("settings: tipAfter is 0")
	case cold.InitialShare <= 0 && cold.RampDuration > 0 || cold.InitialShare > 1:
		return fmt.Errorf("settings: coldFrom is %v, no share", cold.InitialShare)
	case list.NeedsSubscription && list.MaxPollInterval == 0:
		return fmt.Errorf("settings: discovery by asking without mustAskIn")
	}
	for i, l := range listeners {
		if l.DialTimeout == 0 {
			return fmt.Errorf("settings: listener %d has no dialTimeout", i)
		}
	}
	return nil
}

// furtherDials takes the budget of dials beyond each session's first: stated whole, or not at all.
func furtherDials(free, ratio, window *float64, budget *choice.RetryBudget) error {
	if free == nil && ratio == nil && window == nil {
		*budget = choice.RetryBudget{}
		return nil
	}
	for _, of := range []struct {
		name  string
		value *float64
	}{{"freeResends", free}, {"furtherRatio", ratio}, {"budgetWindow", window}} {
		if of.value == nil {
			return fmt.Errorf("settings: a budget of dials without %s", of.name)
		}
		if *of.value < 0 || of.value == window && *window == 0 {
			return fmt.Errorf("settings: %s is %v, out of range", of.name, *of.value)
		}
	}
	span, err := millis("invariants.budgetWindow", *window)
	if err != nil || span == 0 {
		return fmt.Errorf("settings: budgetWindow is %v, out of range", *window)
	}
	*budget = choice.RetryBudget{FreeRetries: *free, RetriesPerSession: *ratio, Window: span}
	return nil
}

func millis(name string, ms float64) (time.Duration, error) {
	if !(ms >= 0 && ms < 1e12) {
		return 0, fmt.Errorf("settings: %s is %v ms, out of range", name, ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}
