package proxy

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/discovery"
	"chalkferry/internal/start"
)

// terms are what a configuration says of the platform. All of them may change while the proxy runs.
type terms struct {
	listeners []choice.Listener
	dials     choice.DialLimits
	budget    choice.DialBudget
	list      choice.ListRules
	cold      choice.ColdRule
	words     choice.WordRule

	listenerIDs    map[string]choice.ListenerID
	tenantIDs      map[string]choice.TenantID
	zones          map[string]choice.ZoneID
	connect        time.Duration
	passes, groups bool
	tellsLoad      bool
	tellsDelay     bool
	models         bool // servers of one model are learnt of together
	pushed         bool // what discovery has to tell counts as told, watched or not

	answer   time.Duration // for a watch of the list to begin
	patience time.Duration // the longest dial timeout
	hello    time.Duration // for a connection to ask for a session
	mark     time.Duration // a message that takes longer is noted
	still    time.Duration // a server that says nothing for so long is left
}

// read takes the terms from the text of the settings.
func read(settings []byte) (*terms, error) {
	t := &terms{listenerIDs: map[string]choice.ListenerID{}, tenantIDs: map[string]choice.TenantID{},
		zones: map[string]choice.ZoneID{}, hello: mostHello, still: mostStill}
	if err := start.Module(settings, &t.listeners, &t.dials, &t.budget, &t.list, &t.cold, &t.words); err != nil {
		return nil, err
	}
	if err := start.Names(settings, t.listenerIDs, t.tenantIDs, t.zones); err != nil {
		return nil, err
	}
	if err := start.Connections(settings, &t.connect, &t.passes, &t.groups); err != nil {
		return nil, err
	}
	if err := start.Notes(settings, &t.tellsLoad, &t.tellsDelay, &t.models); err != nil {
		return nil, err
	}
	var longest time.Duration
	for _, l := range t.listeners {
		t.patience = max(t.patience, l.DialTimeout)
		if l.MessageTarget > 0 && (t.mark == 0 || l.MessageTarget/3 < t.mark) {
			t.mark = l.MessageTarget / 3
		}
		longest = max(longest, l.MessageTarget)
	}
	t.hello = min(t.hello, t.patience) // which listener's it is, its line will tell
	if longest > 0 {
		t.still = min(t.still, 2*longest) // a line later than that is of no use to any listener
	}
	// A real list must be watched, also where the bench hands it out.
	t.pushed, t.list.MustWatch = !t.list.MustWatch, true
	t.answer = t.list.MustAskIn / 2
	if t.list.MustAskIn == 0 { // no asking is asked for; calls may wait their turn all the same
		t.list.MustAskIn, t.answer = max(4*t.patience, discovery.Told), discovery.Told
	}
	if t.list.AskAgainIn == 0 { // what a watch misses counts as told by then, however long the settings let one not ask
		t.list.AskAgainIn = min(t.list.MustAskIn/4, discovery.Told/2)
	}
	return t, nil
}
