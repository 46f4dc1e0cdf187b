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

// Module takes from the text of the settings what the named parts of the module want.
func Module(text []byte, listeners *[]choice.Listener, dials *choice.DialLimits, budget *choice.DialBudget,
	list *choice.ListRules, cold *choice.ColdRule, words *choice.WordRule) error {
	var told struct {
		Discovery string `json:"discovery"`
		Listeners []struct {
			Name            string  `json:"name"`
			DialTimeout     float64 `json:"dialTimeout"`
			HandshakeTarget float64 `json:"handshakeTarget"`
			RepeatWindow    float64 `json:"repeatWindow"`
			Effect          string  `json:"effect"`
			Group           string  `json:"group"`
			Utility         float64 `json:"utility"`
		} `json:"listeners"`
		Ceilings struct {
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
	if err := json.Unmarshal(text, &told); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var bad error
	span := func(name string, ms float64) time.Duration {
		d, err := millis(name, ms)
		if err != nil && bad == nil {
			bad = err
		}
		return d
	}
	switch told.Discovery {
	case "", "ask", "push":
	default:
		return fmt.Errorf("settings: unknown discovery %q", told.Discovery)
	}
	for i, l := range told.Listeners {
		of := func(name string) string { return fmt.Sprintf("listeners[%d].%s", i, name) }
		next := choice.Listener{Name: l.Name, HandshakeTarget: span(of("handshakeTarget"), l.HandshakeTarget), DialTimeout: span(of("dialTimeout"), l.DialTimeout),
			RepeatWindow: span(of("repeatWindow"), l.RepeatWindow), Utility: l.Utility}
		if i < len(told.Domain.MessageAim) {
			next.MessageTarget = span(fmt.Sprintf("domain.messageAim[%d]", i), told.Domain.MessageAim[i])
		}
		switch l.Effect {
		case "read_like":
		case "idempotency_key":
			next.Effect = choice.Referenced
		case "non_idempotent":
			next.Effect = choice.OnceOnly
		default:
			return fmt.Errorf("settings: unknown effect %q", l.Effect)
		}
		switch l.Group {
		case "", "all":
		case "zone":
			next.Group = choice.GroupZone
		case "cell":
			next.Group = choice.GroupCell
		default:
			return fmt.Errorf("settings: unknown group %q", l.Group)
		}
		*listeners = append(*listeners, next)
	}
	if len(*listeners) == 0 {
		return fmt.Errorf("settings: no listeners")
	}
	*dials = choice.DialLimits{MostDials: max(told.Ceilings.MostDials, 1)}
	if told.Ceilings.RetryAfter {
		dials.MaxComeBack = span("ceilings.maxRetryAfter", told.Ceilings.MaxRetryAfter)
	}
	if err := furtherDials(told.Invariants.FreeResends, told.Invariants.FurtherRatio, told.Invariants.BudgetWindow,
		budget); err != nil {
		return err
	}
	*list = choice.ListRules{MustWatch: told.Discovery == "ask", MustAskIn: span("invariants.mustAskIn", told.Invariants.MustAskIn),
		DrainsBindAlone: told.Invariants.DrainsAlone}
	if !list.MustWatch { // what is pushed counts as told, whether or not a watch is open: a broken one is back by then
		list.AskAgainIn = span("invariants.stopSendingWithin", told.Invariants.StopSending) / 2
	}
	*cold = choice.ColdRule{Span: span("invariants.cold", told.Invariants.Cold), From: told.Invariants.ColdFrom,
		Multiple: told.Invariants.FallMultiple, Window: span("invariants.tipAfter", told.Invariants.TipAfter),
		Proxies: max(told.GroupSize, 1), Me: told.Me}
	*words = choice.WordRule{Allowed: told.Ceilings.Peers, Price: told.Penalties.Peer * benchwire.WordSize / benchwire.FullMessage}
	switch {
	case bad != nil:
		return bad
	case told.Penalties.Peer < 0:
		return fmt.Errorf("settings: penalties.peer is %v, below 0", told.Penalties.Peer)
	case told.GroupSize < 0:
		return fmt.Errorf("settings: groupSize is %d, below 0", told.GroupSize)
	case told.Me < 0 || told.Me >= cold.Proxies:
		return fmt.Errorf("settings: me is %d of %d proxies", told.Me, cold.Proxies)
	case cold.Multiple < 0:
		return fmt.Errorf("settings: fallMultiple is %v, below 0", cold.Multiple)
	case cold.Span > 0 && cold.Window == 0:
		return fmt.Errorf("settings: tipAfter is 0")
	case cold.From <= 0 && cold.Span > 0 || cold.From > 1:
		return fmt.Errorf("settings: coldFrom is %v, no share", cold.From)
	case list.MustWatch && list.MustAskIn == 0:
		return fmt.Errorf("settings: discovery by asking without mustAskIn")
	}
	for i, l := range *listeners {
		if l.DialTimeout == 0 {
			return fmt.Errorf("settings: listener %d has no dialTimeout", i)
		}
	}
	return nil
}

// furtherDials takes the budget of dials beyond each session's first: stated whole, or not at all.
func furtherDials(free, ratio, window *float64, budget *choice.DialBudget) error {
	if free == nil && ratio == nil && window == nil {
		*budget = choice.DialBudget{}
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
	*budget = choice.DialBudget{Free: *free, Share: *ratio, Window: span}
	return nil
}

func millis(name string, ms float64) (time.Duration, error) {
	if !(ms >= 0 && ms < 1e12) {
		return 0, fmt.Errorf("settings: %s is %v ms, out of range", name, ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, nil
}
