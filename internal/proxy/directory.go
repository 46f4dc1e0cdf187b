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

// directory holds the servers of the current list and those that have left it, by IDs that are the same at every proxy. It
// implements servers.Directory. It is used on the event loop only.
type directory struct {
	zones       map[string]choice.ZoneID // numbered in order of first sight, those that the settings name first
	clock       startClock
	ids         map[string]choice.ServerID
	servers     map[choice.ServerID]*listedServer
	entries     []choice.Entry
	models      map[string]choice.ModelID // numbered from 1 in order of first sight; filled only with learnModels
	learnModels bool
	// onlyDrainsExclude lets a server that has left the list without draining still be dialed.
	onlyDrainsExclude bool
}

// listedServer is what the lists have said of one server.
type listedServer struct {
	name, address string
	status        choice.ServerStatus
	drained       bool          // it drains, or did when it left the list
	upSinceMs     float64       // its latest start as listed, in milliseconds of Unix time; 0 if unknown
	startedAt     time.Duration // the same start by the proxy's monotonic clock
	edition       int
}

func newDirectory(zones map[string]choice.ZoneID, clock startClock, onlyDrainsExclude, learnModels bool) *directory {
	d := &directory{zones: map[string]choice.ZoneID{}, clock: clock, ids: map[string]choice.ServerID{},
		servers: map[choice.ServerID]*listedServer{}, models: map[string]choice.ModelID{}}
	d.applySettings(zones, onlyDrainsExclude, learnModels)
	return d
}

// applySettings takes over new settings. A zone keeps the ID that it got first, because listed servers refer to it.
func (d *directory) applySettings(zones map[string]choice.ZoneID, onlyDrainsExclude, learnModels bool) {
	for _, name := range slices.SortedFunc(maps.Keys(zones), func(a, b string) int { return cmp.Compare(zones[a], zones[b]) }) {
		if _, known := d.zones[name]; !known {
			d.zones[name] = choice.ZoneID(len(d.zones))
		}
	}
	d.onlyDrainsExclude, d.learnModels = onlyDrainsExclude, learnModels
}

// serverID returns the ID of a server: a hash of its name. On a collision the name seen later is extended and hashed
// again; names of one list are handled in sorted order, so that all proxies get the same IDs.
func (d *directory) serverID(name string) choice.ServerID {
	if id, known := d.ids[name]; known {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := choice.ServerID(hash.Sum32())
	for id == 0 || d.servers[id] != nil {
		hash.Write([]byte{'+'})
		id = choice.ServerID(hash.Sum32())
	}
	d.ids[name] = id
	d.servers[id] = &listedServer{name: name}
	return id
}

// entriesOf records a list and converts it into entries for the balancer. It sorts list.Servers; the result is valid until
// the next call.
func (d *directory) entriesOf(list discovery.List) []choice.Entry {
	if list.Complete {
		for _, server := range d.servers {
			server.status = choice.Gone
		}
	}
	d.clock.beginList()
	slices.SortFunc(list.Servers, func(a, b discovery.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.entries = d.entries[:0]
	for _, server := range list.Servers {
		id := d.serverID(server.ID)
		if _, known := d.models[server.Model]; !known && d.learnModels {
			d.models[server.Model] = choice.ModelID(len(d.models) + 1)
		}
		if _, known := d.zones[server.Zone]; !known { // a zone that the settings do not name still gets an ID of its own
			d.zones[server.Zone] = choice.ZoneID(len(d.zones))
		}
		entry := choice.Entry{ID: id, Size: server.Size, Zone: d.zones[server.Zone], Cell: choice.CellID(server.Cell)}
		if d.learnModels {
			entry.Model = d.models[server.Model]
		}
		switch server.Phase {
		case discovery.Ready:
			entry.Status = choice.Ready
		case discovery.Draining:
			entry.Status = choice.Draining
		}
		listed := d.servers[id]
		listed.status = entry.Status
		listed.drained = entry.Status == choice.Draining || listed.drained && entry.Status == choice.Gone
		if server.HostPort != "" && server.HostPort != listed.address || server.UpSinceMs > 0 && server.UpSinceMs != listed.upSinceMs {
			listed.edition++
		}
		if server.HostPort != "" {
			listed.address = server.HostPort
		}
		// Any change counts: the new start may be earlier, where the clocks of all machines were stepped.
		if server.UpSinceMs > 0 && server.UpSinceMs != listed.upSinceMs {
			listed.upSinceMs, listed.startedAt = server.UpSinceMs, d.clock.serverStart(server.UpSinceMs)
		}
		if server.UpSinceMs > 0 {
			entry.StartKnown, entry.StartedAt = true, listed.startedAt
		}
		d.entries = append(d.entries, entry)
	}
	return d.entries
}

// listedID is the ID of a server that has been listed, 0 for an unknown name.
func (d *directory) listedID(name []byte) choice.ServerID { return d.ids[string(name)] }

// Address returns a server's address and name; known is false if no list gave an address.
func (d *directory) Address(id choice.ServerID) (address, name string, known bool) {
	if server := d.servers[id]; server != nil && server.address != "" {
		return server.address, server.name, true
	}
	return "", "", false
}

// Edition is a number that changes whenever the server is listed with another address or another start time.
func (d *directory) Edition(id choice.ServerID) int {
	if server := d.servers[id]; server != nil {
		return server.edition
	}
	return 0
}

// eachGone visits each server that was listed and no longer is, in no particular order.
func (d *directory) eachGone(visit func(choice.ServerID)) {
	for id, server := range d.servers {
		if server.status == choice.Gone {
			visit(id)
		}
	}
}

// nameServers replaces the server ID in a log line of the balancer by the server's name; the balancer knows only IDs.
func (d *directory) nameServers(text string) string {
	const prefix = "server "
	start := strings.Index(text, prefix) + len(prefix)
	if start < len(prefix) {
		return text
	}
	end := start
	for end < len(text) && text[end] >= '0' && text[end] <= '9' {
		end++
	}
	id, err := strconv.ParseUint(text[start:end], 10, 32)
	if err != nil || d.servers[choice.ServerID(id)] == nil {
		return text
	}
	return text[:start] + d.servers[choice.ServerID(id)].name + text[end:]
}

// Ready reports whether a session may still be sent to a server by the current list.
func (d *directory) Ready(id choice.ServerID) bool {
	server := d.servers[id]
	return server != nil && (server.status == choice.Ready || d.onlyDrainsExclude && server.status == choice.Gone && !server.drained)
}

// countByStatus returns how many servers are ready and how many are draining.
func (d *directory) countByStatus() (ready, draining int) {
	for _, server := range d.servers {
		switch server.status {
		case choice.Ready:
			ready++
		case choice.Draining:
			draining++
		}
	}
	return ready, draining
}
