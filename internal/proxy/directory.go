package proxy

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"chalkferry/choice"
	"chalkferry/internal/discovery"
)

// directory knows the servers as listed last, by ids that are the same at every proxy.
type directory struct {
	zones   map[string]choice.ZoneID // as they came, of the settings first
	clock   startClock
	ids     map[string]choice.ServerID
	servers map[choice.ServerID]*place
	entries []choice.Entry
	models  map[string]choice.ModelID // as they came, where models are told apart
	apart   bool
	// drainsAlone: what is gone, or left out, without having drained may still be dialed.
	drainsAlone bool
}

type place struct {
	name, address string
	standing      choice.ServerStatus
	drained       bool          // before it was gone
	upSinceMs     float64       // its latest start, as listed
	since         time.Duration // the same, by the proxy's clock
	edition       int
}

func newDirectory(zones map[string]choice.ZoneID, clock startClock, drainsAlone, apart bool) *directory {
	d := &directory{zones: map[string]choice.ZoneID{}, clock: clock, ids: map[string]choice.ServerID{},
		servers: map[choice.ServerID]*place{}, models: map[string]choice.ModelID{}}
	d.change(zones, drainsAlone, apart)
	return d
}

// change takes what other settings say. A zone keeps the id that it got first, as servers stand under it.
func (d *directory) change(zones map[string]choice.ZoneID, drainsAlone, apart bool) {
	for _, name := range slices.SortedFunc(maps.Keys(zones), func(a, b string) int { return cmp.Compare(zones[a], zones[b]) }) {
		if _, known := d.zones[name]; !known {
			d.zones[name] = choice.ZoneID(len(d.zones))
		}
	}
	d.drainsAlone, d.apart = drainsAlone, apart
}

// id of a server: a hash of its name. Where two names meet, the one that came later is hashed on; of one list
// they come in the order of their names, so that proxies agree.
func (d *directory) id(name string) choice.ServerID {
	if id, known := d.ids[name]; known {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := choice.ServerID(h.Sum32())
	for id == 0 || d.servers[id] != nil {
		h.Write([]byte{'+'})
		id = choice.ServerID(h.Sum32())
	}
	d.ids[name] = id
	d.servers[id] = &place{name: name}
	return id
}

// entriesOf turns a list into what the module takes; they are good until the next call.
func (d *directory) entriesOf(list discovery.List) []choice.Entry {
	if list.Complete {
		for _, p := range d.servers {
			p.standing = choice.Gone
		}
	}
	d.clock.begin()
	slices.SortFunc(list.Servers, func(a, b discovery.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.entries = d.entries[:0]
	for _, s := range list.Servers {
		id := d.id(s.ID)
		if _, known := d.models[s.Model]; !known && d.apart {
			d.models[s.Model] = choice.ModelID(len(d.models) + 1)
		}
		if _, known := d.zones[s.Zone]; !known { // the settings may not name all: it is a zone of its own all the same
			d.zones[s.Zone] = choice.ZoneID(len(d.zones))
		}
		e := choice.Entry{ID: id, Size: s.Size, Zone: d.zones[s.Zone], Cell: choice.CellID(s.Cell)}
		if d.apart {
			e.Model = d.models[s.Model]
		}
		switch s.Phase {
		case discovery.Ready:
			e.Status = choice.Ready
		case discovery.Draining:
			e.Status = choice.Draining
		}
		p := d.servers[id]
		p.standing = e.Status
		p.drained = e.Status == choice.Draining || p.drained && e.Status == choice.Gone
		if s.HostPort != "" && s.HostPort != p.address || s.UpSinceMs > 0 && s.UpSinceMs != p.upSinceMs {
			p.edition++
		}
		if s.HostPort != "" {
			p.address = s.HostPort
		}
		if s.UpSinceMs > 0 && s.UpSinceMs != p.upSinceMs { // it may be earlier, where all machines' clocks were stepped
			p.upSinceMs, p.since = s.UpSinceMs, d.clock.since(s.UpSinceMs)
		}
		if s.UpSinceMs > 0 {
			e.StartKnown, e.StartedAt = true, p.since
		}
		d.entries = append(d.entries, e)
	}
	return d.entries
}

// holder is the id of a server that has been listed, 0 for another.
func (d *directory) holder(name []byte) choice.ServerID { return d.ids[string(name)] }

func (d *directory) Address(at choice.ServerID) (address, name string, known bool) {
	if p := d.servers[at]; p != nil && p.address != "" {
		return p.address, p.name, true
	}
	return "", "", false
}

// Edition is another number once the server is listed at another address, or as started anew.
func (d *directory) Edition(at choice.ServerID) int {
	if p := d.servers[at]; p != nil {
		return p.edition
	}
	return 0
}

// eachGone calls back with each server that was listed once and is no more, in any order.
func (d *directory) eachGone(call func(choice.ServerID)) {
	for id, p := range d.servers {
		if p.standing == choice.Gone {
			call(id)
		}
	}
}

// named puts the names of servers into a line of the module, which knows only their ids.
func (d *directory) named(text string) string {
	const word = "server "
	at := strings.Index(text, word) + len(word)
	if at < len(word) {
		return text
	}
	end := at
	for end < len(text) && text[end] >= '0' && text[end] <= '9' {
		end++
	}
	id, err := strconv.ParseUint(text[at:end], 10, 32)
	if err != nil || d.servers[choice.ServerID(id)] == nil {
		return text
	}
	return text[:at] + d.servers[choice.ServerID(id)].name + text[end:]
}

// Ready tells whether a first line may still go to a server, by the list as it is now.
func (d *directory) Ready(at choice.ServerID) bool {
	p := d.servers[at]
	return p != nil && (p.standing == choice.Ready || d.drainsAlone && p.standing == choice.Gone && !p.drained)
}

// count is how many servers are ready and how many drain.
func (d *directory) count() (ready, draining int) {
	for _, p := range d.servers {
		switch p.standing {
		case choice.Ready:
			ready++
		case choice.Draining:
			draining++
		}
	}
	return ready, draining
}
