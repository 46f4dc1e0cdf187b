package proxy

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/discovery"
	"chalkferry/internal/start"
)

// Limits for calls to discovery. A change in discovery counts as known to the proxy discovery.StalenessLimit after discovery
// became reachable, however the call before ended and whatever poll interval the settings allow. A call may have begun just
// before that moment, so each way for one to fail, plus the pause after it, leaves time for the next call within that limit.
const (
	maxDiscoveryConnect = discovery.StalenessLimit / 4     // for a connection to discovery to be established
	maxWatchPause       = discovery.StalenessLimit / 2     // pause after a failed call
	maxWatchAnswerWait  = discovery.StalenessLimit * 5 / 6 // for a call to be answered; the next one follows without a pause
)

// runtimeSettings are the settings of a configuration with what is derived from them. All of them may change while the proxy
// runs.
type runtimeSettings struct {
	listeners   []choice.Listener
	dials       choice.DialLimits
	budget      choice.RetryBudget
	list        choice.ListSettings
	cold        choice.ColdSettings
	peerReports choice.PeerReportSettings

	listenerIDs            map[string]choice.ListenerID // by name, as are the next two
	tenantIDs              map[string]choice.TenantID
	zones                  map[string]choice.ZoneID
	connectTimeout         time.Duration // for a connection to a server to be established
	passThrough, hasGroups bool          // sessions pass through the proxy instead of ending at it; clients name groups
	serversReportLoad      bool          // servers send the load of open sessions
	serversReportDelay     bool          // servers send the delay of their messages
	learnModels            bool          // servers of the same model share what is learnt of their speed
	// listPushed: discovery pushes lists (setting "push"), so a change counts as known whether or not a watch is open.
	listPushed  bool
	leasePushed bool          // as listPushed, where the settings state drainGrace
	drainGrace  time.Duration // from when a drain counts as known until nothing new may be sent to the server; 0 if not stated

	discoveryConnectTimeout time.Duration // for a connection to discovery to be established
	watchAnswerTimeout      time.Duration // for a watch of the list to be answered
	longestDialTimeout      time.Duration // of all listeners
	helloTimeout            time.Duration // for a client to ask for a session after it connected
	slowMessageThreshold    time.Duration // a message that takes longer counts as slow; 0 if no listener has a target
	serverSilenceLimit      time.Duration // a server that is silent for longer loses its sessions
}

// parseSettings parses and checks the text of the settings.
func parseSettings(text []byte) (*runtimeSettings, error) {
	settings := &runtimeSettings{listenerIDs: map[string]choice.ListenerID{}, tenantIDs: map[string]choice.TenantID{},
		zones: map[string]choice.ZoneID{}, helloTimeout: maxHelloWait, serverSilenceLimit: maxServerSilence}
	if err := start.ParseBalancer(text, &settings.listeners, &settings.dials, &settings.budget,
		&settings.list, &settings.cold, &settings.peerReports); err != nil {
		return nil, err
	}
	if err := start.ParseNames(text, settings.listenerIDs, settings.tenantIDs, settings.zones); err != nil {
		return nil, err
	}
	if err := start.ParseConnections(text, &settings.connectTimeout, &settings.passThrough, &settings.hasGroups); err != nil {
		return nil, err
	}
	if err := start.ParseServerReports(text, &settings.serversReportLoad, &settings.serversReportDelay,
		&settings.learnModels); err != nil {
		return nil, err
	}
	if err := start.ParseDrainGrace(text, &settings.drainGrace); err != nil {
		return nil, err
	}
	var longestMessageTarget time.Duration
	for _, l := range settings.listeners {
		settings.longestDialTimeout = max(settings.longestDialTimeout, l.DialTimeout)
		if l.MessageTarget > 0 && (settings.slowMessageThreshold == 0 || l.MessageTarget/3 < settings.slowMessageThreshold) {
			settings.slowMessageThreshold = l.MessageTarget / 3
		}
		longestMessageTarget = max(longestMessageTarget, l.MessageTarget)
	}
	// The listener, and so its own dial timeout, is known only from the client's first line.
	settings.helloTimeout = min(settings.helloTimeout, settings.longestDialTimeout)
	if longestMessageTarget > 0 {
		// A message that is later than that is of no use to any listener.
		settings.serverSilenceLimit = min(settings.serverSilenceLimit, 2*longestMessageTarget)
	}
	// A real list must always be watched, also with setting "push", under which the benchmark delivers lists itself.
	settings.listPushed, settings.list.NeedsSubscription = !settings.list.NeedsSubscription, true
	// Without a stated grace there is no time by which a pushed change binds.
	settings.leasePushed = settings.listPushed && settings.drainGrace > 0
	if settings.list.MaxPollInterval == 0 { // the settings ask for no polling; calls may still have to wait for their turn
		settings.list.MaxPollInterval = max(4*settings.longestDialTimeout, 2*maxWatchAnswerWait)
	}
	// The balancer subscribes again after half of MaxPollInterval, too.
	settings.watchAnswerTimeout = min(settings.list.MaxPollInterval/2, maxWatchAnswerWait)
	if settings.list.MaxRetryBackoff == 0 {
		settings.list.MaxRetryBackoff = settings.list.MaxPollInterval / 4
	}
	// The balancer's longest pause is twice MaxRetryBackoff.
	settings.list.MaxRetryBackoff = min(settings.list.MaxRetryBackoff, maxWatchPause/2)
	settings.discoveryConnectTimeout = min(2*settings.connectTimeout, maxDiscoveryConnect)
	return settings, nil
}
