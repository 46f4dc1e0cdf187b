package proxy

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"chalkferry/internal/peers"
)

// Reload applies those parts of a new configuration that may change while the proxy runs: the settings, the address of
// discovery, the addresses that overload reports are sent to, and the limits. The whole file is checked as at the start,
// and an invalid one changes nothing. Sessions continue. It returns once the event loop has applied everything, between two
// events.
func (p *Proxy) Reload(configText []byte) error {
	next, err := New(configText, zerolog.Nop())
	if err != nil {
		return err
	}
	<-p.ready
	p.reloading <- struct{}{} // one at a time: two at once would open the same socket for overload reports
	defer func() { <-p.reloading }()
	peersOpen := make(chan bool)
	p.execute(func() { peersOpen <- p.peers != nil })
	var endpoint *peers.Conn
	if !<-peersOpen { // opened before anything changes, as it may fail; no other reload opens or closes one meanwhile
		if endpoint, err = p.listenPeers(next.addresses, next.settings); err != nil {
			return err
		}
	}
	applied := make(chan struct{})
	p.execute(func() {
		defer close(applied)
		changedNames := changedStartFields(p.configText, configText)
		p.configText = configText
		p.limitMemory(next.limits)
		p.loop.SetMaxBufferedBytes(maxBufferedBytes(next.limits))
		p.connectionLimit.Acquire(p.limits.Sockets - next.limits.Sockets)
		p.limits = next.limits
		if endpoint != nil {
			p.peers = endpoint
			changedNames = slices.DeleteFunc(changedNames, func(name string) bool { return name == "peer_listen" })
		}
		settingsChanged := !bytes.Equal(compact(p.settingsText), compact(next.settingsText))
		if settingsChanged {
			p.applySettings(next.settings)
			p.settingsText = next.settingsText
		}
		if p.peers != nil {
			p.peers.SetDestinations(next.addresses.PeersAll, next.addresses.Peers)
		}
		p.addresses.PeersAll, p.addresses.Peers = next.addresses.PeersAll, next.addresses.Peers
		if next.addresses.Discovery != p.addresses.Discovery {
			// Subscribe at once: the current watch may take long to end, and so may the pause after a failed one.
			p.addresses.Discovery, p.failedWatches = next.addresses.Discovery, 0
			p.watcher.SetAddress(next.addresses.Discovery)
			p.lease.Moved(p.now())
			p.balancer.ResubscribeList(p.now())
		}
		p.log.Info().Str("discovery", p.addresses.Discovery).Bool("settings", settingsChanged).Strs("at_next_start", changedNames).
			Msg("configuration read again")
	})
	<-applied
	return nil
}

// applySettings switches to new settings, on the event loop between two events. Sessions continue: the balancer keeps each
// session under the settings that it arrived under, and first lines that were sent are still answered by their servers.
func (p *Proxy) applySettings(settings *runtimeSettings) {
	p.settings = settings
	p.connector.SetTimeout(settings.connectTimeout)
	p.table.Reconfigure(settings.connectTimeout, settings.serverSilenceLimit, settings.slowMessageThreshold,
		settings.serversReportLoad, settings.serversReportDelay)
	p.clients.Reconfigure(settings.helloTimeout, settings.listenerIDs, settings.tenantIDs, settings.hasGroups)
	p.directory.applySettings(settings.zones, settings.list.OnlyDrainsExclude, settings.learnModels)
	p.lease.SetPushed(settings.leasePushed)
	p.watcher.SetTimeouts(settings.discoveryConnectTimeout, settings.watchAnswerTimeout)
	if !settings.peerReports.Enabled && p.peers != nil {
		p.peers.Close()
		p.peers = nil
	}
	p.balancer.Reconfigure(p.now(), settings.listeners, settings.dials, settings.budget, settings.list,
		settings.cold, settings.peerReports)
}

// changedStartFields names the top-level fields that differ between two configurations and are read at the start only. The
// cached list of servers ("known") is left out, though read at the start only: it differs in every file.
func changedStartFields(oldText, newText []byte) []string {
	var parts [2]map[string]json.RawMessage
	for i, text := range [][]byte{oldText, newText} {
		json.Unmarshal(text, &parts[i]) // both texts were parsed before
	}
	names := maps.Clone(parts[0])
	maps.Copy(names, parts[1])
	for _, name := range []string{"discovery", "limits", "known", "settings", "peers", "peers_all"} {
		delete(names, name)
	}
	maps.DeleteFunc(names, func(name string, _ json.RawMessage) bool {
		return bytes.Equal(compact(parts[0][name]), compact(parts[1][name]))
	})
	return slices.Sorted(maps.Keys(names))
}

// compact removes insignificant white space from JSON.
func compact(text []byte) []byte {
	var compacted bytes.Buffer
	json.Compact(&compacted, text)
	return compacted.Bytes()
}
