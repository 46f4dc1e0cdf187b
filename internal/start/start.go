// Package start parses the configuration and the settings of a proxy and checks their values, for the proxy itself and for
// the adapter that runs the balancer in a benchmark. Results go to variables that the caller passes in. It opens nothing and
// applies nothing.
package start

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
)

// balancerSettings is the balancer's part of the settings as written in JSON; times are in milliseconds.
type balancerSettings struct {
	Discovery string             `json:"discovery"`
	Listeners []listenerSettings `json:"listeners"`
	Ceilings  struct {
		MostDials     int     `json:"mostDials"`
		MaxRetryAfter float64 `json:"maxRetryAfter"`
		RetryAfter    bool    `json:"retryAfter"`
		Peers         bool    `json:"peers"`
	} `json:"ceilings"`
	Invariants struct {
		Cold              float64 `json:"cold"`
		ColdFrom          float64 `json:"coldFrom"`
		FallMultiple      float64 `json:"fallMultiple"`
		TipAfter          float64 `json:"tipAfter"`
		MustAskIn         float64 `json:"mustAskIn"`
		OnlyDrainsExclude bool    `json:"drainBindsAlone"`
		StopSending       float64 `json:"stopSendingWithin"`

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

// listenerSettings is one listener's entry in the settings; times are in milliseconds.
type listenerSettings struct {
	Name            string  `json:"name"`
	DialTimeout     float64 `json:"dialTimeout"`
	HandshakeTarget float64 `json:"handshakeTarget"`
	RepeatWindow    float64 `json:"repeatWindow"`
	Effect          string  `json:"effect"`
	Group           string  `json:"group"`
	Utility         float64 `json:"utility"`
}

// ParseBalancer parses the balancer's part of the settings. Listeners are appended; all else is overwritten. On an error
// some of the results may have been set.
func ParseBalancer(text []byte, listeners *[]choice.Listener, dials *choice.DialLimits, budget *choice.RetryBudget,
	list *choice.ListSettings, cold *choice.ColdSettings, peerReports *choice.PeerReportSettings) error {
	var settings balancerSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	switch settings.Discovery {
	case "", "ask", "push":
	default:
		return fmt.Errorf("settings: unknown discovery %q", settings.Discovery)
	}
	var durations durationReader
	parsed, err := settings.listeners(&durations)
	if err != nil {
		return err
	}
	*listeners = append(*listeners, parsed...)
	*dials = settings.dialLimits(&durations)
	if err := parseRetryBudget(settings.Invariants.FreeResends, settings.Invariants.FurtherRatio,
		settings.Invariants.BudgetWindow, budget); err != nil {
		return err
	}
	*list = settings.listSettings(&durations)
	*cold = settings.coldSettings(&durations)
	*peerReports = choice.PeerReportSettings{Enabled: settings.Ceilings.Peers,
		CostPerMessage: settings.Penalties.Peer * benchwire.DelayReportSize / benchwire.FullMessageSize}
	if durations.err != nil {
		return durations.err
	}
	return settings.check(*listeners, *list, *cold)
}

// durationReader converts times and keeps the first error, so that callers can check once at the end.
type durationReader struct{ err error }

// millis converts a time of the settings; name is its path there, for the error.
func (r *durationReader) millis(name string, ms float64) time.Duration {
	duration, err := parseMillis(name, ms)
	if err != nil && r.err == nil {
		r.err = err
	}
	return duration
}

func (s *balancerSettings) listeners(durations *durationReader) ([]choice.Listener, error) {
	if len(s.Listeners) == 0 {
		return nil, fmt.Errorf("settings: no listeners")
	}
	var listeners []choice.Listener
	for i, raw := range s.Listeners {
		listener, err := raw.listener(i, durations)
		if err != nil {
			return nil, err
		}
		if i < len(s.Domain.MessageAim) {
			listener.MessageTarget = durations.millis(fmt.Sprintf("domain.messageAim[%d]", i), s.Domain.MessageAim[i])
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func (l *listenerSettings) listener(index int, durations *durationReader) (choice.Listener, error) {
	field := func(name string) string { return fmt.Sprintf("listeners[%d].%s", index, name) }
	listener := choice.Listener{
		Name:            l.Name,
		HandshakeTarget: durations.millis(field("handshakeTarget"), l.HandshakeTarget),
		DialTimeout:     durations.millis(field("dialTimeout"), l.DialTimeout),
		DedupWindow:     durations.millis(field("repeatWindow"), l.RepeatWindow),
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

func (s *balancerSettings) dialLimits(durations *durationReader) choice.DialLimits {
	limits := choice.DialLimits{MaxDials: max(s.Ceilings.MostDials, 1)}
	if s.Ceilings.RetryAfter {
		limits.MaxRetryAfter = durations.millis("ceilings.maxRetryAfter", s.Ceilings.MaxRetryAfter)
	}
	return limits
}

func (s *balancerSettings) listSettings(durations *durationReader) choice.ListSettings {
	list := choice.ListSettings{
		NeedsSubscription: s.Discovery == "ask",
		MaxPollInterval:   durations.millis("invariants.mustAskIn", s.Invariants.MustAskIn),
		OnlyDrainsExclude: s.Invariants.OnlyDrainsExclude,
	}
	// A pushed change counts as known whether or not a watch is open, so a broken watch must be back by then.
	if !list.NeedsSubscription {
		list.MaxRetryBackoff = durations.millis("invariants.stopSendingWithin", s.Invariants.StopSending) / 2
	}
	return list
}

func (s *balancerSettings) coldSettings(durations *durationReader) choice.ColdSettings {
	return choice.ColdSettings{
		RampDuration:     durations.millis("invariants.cold", s.Invariants.Cold),
		InitialShare:     s.Invariants.ColdFrom,
		OverloadMultiple: s.Invariants.FallMultiple,
		OverloadWindow:   durations.millis("invariants.tipAfter", s.Invariants.TipAfter),
		ProxyCount:       max(s.GroupSize, 1),
		ProxyIndex:       s.Me,
	}
}

// check returns an error for values that are out of range or contradict one another.
func (s *balancerSettings) check(listeners []choice.Listener, list choice.ListSettings, cold choice.ColdSettings) error {
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
		return fmt.Errorf("settings: tipAfter is 0, a cold ramp needs more")
	case cold.InitialShare <= 0 && cold.RampDuration > 0 || cold.InitialShare > 1:
		return fmt.Errorf("settings: coldFrom is %v, not above 0 and at most 1", cold.InitialShare)
	case list.NeedsSubscription && list.MaxPollInterval == 0:
		return fmt.Errorf("settings: discovery \"ask\" needs mustAskIn")
	}
	for i, l := range listeners {
		if l.DialTimeout == 0 {
			return fmt.Errorf("settings: listener %d has no dialTimeout", i)
		}
	}
	return nil
}

// parseRetryBudget reads the budget of dials beyond each session's first. Its three settings must all be given or all be
// absent; without them there is no budget.
func parseRetryBudget(freeRetries, retriesPerSession, window *float64, budget *choice.RetryBudget) error {
	if freeRetries == nil && retriesPerSession == nil && window == nil {
		*budget = choice.RetryBudget{}
		return nil
	}
	for _, field := range []struct {
		name  string
		value *float64
	}{{"freeResends", freeRetries}, {"furtherRatio", retriesPerSession}, {"budgetWindow", window}} {
		if field.value == nil {
			return fmt.Errorf("settings: the retry budget lacks %s", field.name)
		}
		if *field.value < 0 || field.value == window && *window == 0 {
			return fmt.Errorf("settings: %s is %v, out of range", field.name, *field.value)
		}
	}
	duration, err := parseMillis("invariants.budgetWindow", *window)
	if err != nil || duration == 0 {
		return fmt.Errorf("settings: budgetWindow is %v, out of range", *window)
	}
	*budget = choice.RetryBudget{FreeRetries: *freeRetries, RetriesPerSession: *retriesPerSession, Window: duration}
	return nil
}

// parseMillis converts milliseconds to a duration, rounded to a microsecond. The value must be in [0, 1e12).
func parseMillis(name string, ms float64) (time.Duration, error) {
	if !(ms >= 0 && ms < 1e12) {
		return 0, fmt.Errorf("settings: %s is %v ms, out of range", name, ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}
