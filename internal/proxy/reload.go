package proxy

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"chalkferry/internal/peers"
)

// Reload takes over what may change of a new configuration: the settings, discovery's address, whom words go to, and
// the limits. The whole file is checked as at a start, and one that is wrong changes nothing. Sessions go on. It
// returns once the loop has taken all over, between two events.
func (p *Proxy) Reload(text []byte) error {
	next, err := New(text, zerolog.Nop())
	if err != nil {
		return err
	}
	<-p.ready
	p.reloading <- struct{}{} // one after the other: two at once would open the same end for words
	defer func() { <-p.reloading }()
	receives := make(chan bool)
	p.execute(func() { receives <- p.peers != nil })
	var end *peers.Conn
	if !<-receives { // opened before anything changes, as it may fail; nothing else opens or closes one meanwhile
		if end, err = p.listenPeers(next.at, next.terms); err != nil {
			return err
		}
	}
	taken := make(chan struct{})
	p.execute(func() {
		defer close(taken)
		differ := changed(p.text, text)
		p.text = text
		p.limitMemory(next.limits)
		p.connectionLimit.Take(p.limits.Sockets - next.limits.Sockets)
		p.limits = next.limits
		if end != nil {
			p.peers = end
			differ = slices.DeleteFunc(differ, func(name string) bool { return name == "peer_listen" })
		}
		settings := !bytes.Equal(compact(p.settings), compact(next.settings))
		if settings {
			p.change(next.terms)
			p.settings = next.settings
		}
		if p.peers != nil {
			p.peers.SetDestinations(next.at.PeersAll, next.at.Peers)
		}
		p.at.PeersAll, p.at.Peers = next.at.PeersAll, next.at.Peers
		if next.at.Discovery != p.at.Discovery {
			// Asked at once: that the watch at hand ends may take long, and so may the pause after one that failed.
			p.at.Discovery, p.failed = next.at.Discovery, 0
			p.watcher.SetAddress(next.at.Discovery)
			p.balancer.ResubscribeList(p.now())
		}
		p.log.Info().Str("discovery", p.at.Discovery).Bool("settings", settings).Strs("at_next_start", differ).
			Msg("configuration read again")
	})
	<-taken
	return nil
}

// change takes other terms, on the loop between two events. Sessions go on: the module keeps each by the terms it came
// under, and lines that are out are answered by those who have them.
func (p *Proxy) change(t *terms) {
	p.terms = t
	p.connector.Change(t.connect)
	p.table.Change(t.connect, t.still, t.mark, t.tellsLoad, t.tellsDelay)
	p.clients.Change(t.hello, t.listenerIDs, t.tenantIDs, t.groups)
	p.directory.change(t.zones, t.list.OnlyDrainsExclude, t.models)
	p.watcher.SetTimeouts(t.ask, t.answer)
	if !t.words.Enabled && p.peers != nil {
		p.peers.Close()
		p.peers = nil
	}
	p.balancer.Reconfigure(p.now(), t.listeners, t.dials, t.budget, t.list, t.cold, t.words)
}

// changed names the parts of a configuration that differ and are read at a start only. The list of servers that
// the file has is one for starts, too, but it differs each time.
func changed(was, is []byte) []string {
	var parts [2]map[string]json.RawMessage
	for i, text := range [][]byte{was, is} {
		json.Unmarshal(text, &parts[i]) // both were read whole before
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

func compact(text []byte) []byte {
	var to bytes.Buffer
	json.Compact(&to, text)
	return to.Bytes()
}
