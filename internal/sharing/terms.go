package sharing

import (
	"net/netip"
	"time"

	"chalkferry/internal/fleet"
	"chalkferry/internal/strict"
)

// Terms are what the file of --fleet says.
type Terms struct {
	me      fleet.MemberID
	members []netip.AddrPort // where each is heard, this one too
	status  netip.AddrPort   // not valid: none
	every   time.Duration    // between words to others
	lately  time.Duration
	fade    time.Duration
	keys    int // most of one member
}

const (
	mostMembers = 512
	mostKeys    = 1 << 16
	fadeSpans   = 2 // of lately, where the file leaves fade out
)

// Read reads the file. Its errors tell the line.
func Read(name string) (*Terms, error) {
	var told struct {
		Me      int         `toml:"me"`
		Members []string    `toml:"members"`
		Status  string      `toml:"status"`
		Every   strict.Span `toml:"every"`
		Lately  strict.Span `toml:"lately"`
		Fade    strict.Span `toml:"fade"`
		Keys    int         `toml:"keys"`
	}
	told.Every, told.Lately, told.Keys = strict.Span(time.Second/2), strict.Span(5*time.Second), 4096
	file, err := strict.Read(name, &told)
	if err != nil {
		return nil, err
	}
	t := &Terms{me: fleet.MemberID(told.Me), every: told.Every.D(), lately: told.Lately.D(), fade: told.Fade.D(), keys: told.Keys}
	if told.Fade == 0 {
		t.fade = fadeSpans * t.lately
	}
	seen := map[netip.AddrPort]bool{}
	for _, text := range told.Members {
		at, err := netip.ParseAddrPort(text)
		if err != nil || !at.Addr().Is4() || at.Port() == 0 {
			return nil, file.Wrong("members", "%q is not an IPv4 address and a port", text)
		}
		if seen[at] {
			return nil, file.Wrong("members", "%s stands twice", text)
		}
		seen[at] = true
		t.members = append(t.members, at)
	}
	switch {
	case len(t.members) < 2 || len(t.members) > mostMembers:
		return nil, file.Wrong("members", "%d members, 2 to %d are possible", len(t.members), mostMembers)
	case told.Me < 0 || told.Me >= len(t.members):
		return nil, file.Wrong("me", "%d of %d members, from 0", told.Me, len(t.members))
	case t.every < 10*time.Millisecond:
		return nil, file.Wrong("every", "%v is below 10ms", t.every)
	case t.lately < 2*t.every:
		return nil, file.Wrong("lately", "%v is below twice every, %v", t.lately, t.every)
	case t.fade < 0:
		return nil, file.Wrong("fade", "%v is below 0", t.fade)
	case t.keys < 1 || t.keys > mostKeys:
		return nil, file.Wrong("keys", "%d, 1 to %d are possible", t.keys, mostKeys)
	}
	if told.Status != "" {
		at, err := netip.ParseAddrPort(told.Status)
		if err != nil || !at.Addr().Is4() || !at.Addr().IsLoopback() {
			return nil, file.Wrong("status", "%q is not a loopback address and a port", told.Status)
		}
		t.status = at
	}
	return t, nil
}

// Status is where the status is told, "" for nowhere.
func (t *Terms) Status() string {
	if !t.status.IsValid() {
		return ""
	}
	return t.status.String()
}
