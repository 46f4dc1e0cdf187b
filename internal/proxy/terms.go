package proxy

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/discovery"
	"chalkferry/internal/start"
)

// What discovery has counts as known so long (discovery.StalenessLimit) after it could be reached, however a call before has
// ended and however long the settings let a proxy not ask. A call may have begun just before that moment, so each way for
// one to fail, and the pause after it, leave time within it for the next call.
const (
	longestAsk    = discovery.StalenessLimit / 4     // for a connection to be established
	longestPause  = discovery.StalenessLimit / 2     // after a call that failed
	longestAnswer = discovery.StalenessLimit * 5 / 6 // for a call to be answered; the next one follows with no pause
)

// terms are what a configuration says of the platform. All of them may change while the proxy runs.
type terms struct {
	listeners []choice.Listener
	dials     choice.DialLimits
	budget    choice.RetryBudget
	list      choice.ListSettings
	cold      choice.ColdSettings
	words     choice.PeerReportSettings

	listenerIDs    map[string]choice.ListenerID
	tenantIDs      map[string]choice.TenantID
	zones          map[string]choice.ZoneID
	connect        time.Duration
	passes, groups bool
	tellsLoad      bool
	tellsDelay     bool
	models         bool // servers of one model are learnt of together
	pushed         bool // what discovery has to tell counts as told, watched or not

	ask      time.Duration // for a connection to discovery to be established
	answer   time.Duration // for a watch of the list to begin
	patience time.Duration // the longest dial timeout
	hello    time.Duration // for a connection to ask for a session
	mark     time.Duration // a message that takes longer is noted
	still    time.Duration // a server that says nothing for so long is left
}

// read takes the terms from the text of the settings.
func read(settings []byte) (*terms, error) {
	t := &terms{listenerIDs: map[string]choice.ListenerID{}, tenantIDs: map[string]choice.TenantID{},
		zones: map[string]choice.ZoneID{}, hello: maxHelloWait, still: maxSilence}
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
	t.pushed, t.list.NeedsSubscription = !t.list.NeedsSubscription, true
	if t.list.MaxPollInterval == 0 { // no asking is asked for; calls may wait their turn all the same
		t.list.MaxPollInterval = max(4*t.patience, 2*longestAnswer)
	}
	t.answer = min(t.list.MaxPollInterval/2, longestAnswer) // the module asks anew after that half, too
	if t.list.MaxRetryBackoff == 0 {
		t.list.MaxRetryBackoff = t.list.MaxPollInterval / 4
	}
	t.list.MaxRetryBackoff = min(t.list.MaxRetryBackoff, longestPause/2) // the module's longest pause is twice that
	t.ask = min(2*t.connect, longestAsk)
	return t, nil
}
