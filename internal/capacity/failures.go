package capacity

import "time"

// proxyLoss is a failure that takes some proxies away, with their connections.
type proxyLoss struct {
	name, frequency string
	proxies         func(*Case) float64 // how many proxies are lost
	meanwhile       string              // what the remaining proxies do, for the page
}

// Failures returns the roles' costs during failures and restarts, in the order of the page.
func Failures() []Role {
	return []Role{
		reconnectRole(proxyLoss{"A proxy's machine fails", "on an ordinary day, see the size", func(*Case) float64 { return 1 },
			"The front deals its clients out to the others once probes have failed. With flat counts its numbers count in full for 5 s and fade over 10 s more; the others do nothing else."}),
		restartsRole(),
		reconnectRole(proxyLoss{"A rack or a switch", "every week", func(c *Case) float64 { return c.Rack },
			"As for one machine. Servers in the rack are listed as gone; until a proxy has the list, dials to them fail and go elsewhere."}),
		zoneLossRole(),
		regionsApartRole(),
	}
}

// reconnectRole returns the cost, for the remaining proxies, of the clients of lost proxies that connect again.
func reconnectRole(loss proxyLoss) Role {
	return Role{Name: loss.name, Mechanism: "the front's probes and clients that come again", Notes: []string{"How often: " + loss.frequency + ".", "Meanwhile: " + loss.meanwhile},
		Quantities: reconnectRows(loss.proxies)}
}

// reconnectRows returns the quantities of clients that connect again after the loss of some proxies.
func reconnectRows(proxies func(*Case) float64) []Quantity {
	clientsPerProxy := func(c *Case) float64 { return proxies(c) * c.ConnectionsPerProxy() / (c.Proxies - proxies(c)) }
	return []Quantity{
		{Label: "clients that come again", Unit: Number, Computed: func(c *Case) float64 { return proxies(c) * c.ConnectionsPerProxy() }, Note: "lost proxies x connections of one"},
		{Label: "of them at each proxy that is left", Unit: Number, Computed: clientsPerProxy, Note: "by equal shares"},
		{Label: "at each, while they come", Unit: PerSecond, Computed: func(c *Case) float64 { return clientsPerProxy(c) * c.ReturnRate }, Note: "x return_rate"},
		{Label: "for", Unit: Seconds, Computed: func(c *Case) float64 { return 1 / c.ReturnRate }, Note: "1 / return_rate"},
		{Label: "processor time at each: connections, dials, first lines", Unit: Cores, Ceiling: loopCoreCeiling,
			Terms: func(c *Case) []Term {
				return []Term{{Slope: SlopeSessionTime, Multiplier: clientsPerProxy(c) * c.ReturnRate, PerUnit: true}}
			}},
		{Label: "processor time at each: placing", Unit: Cores, Ceiling: loopCoreCeiling,
			Terms: func(c *Case) []Term {
				return []Term{timeTerm("ModuleSession.ns/op", c.Servers, clientsPerProxy(c)*c.ReturnRate)}
			}},
	}
}

func restartsRole() Role {
	perSecond := func(c *Case) float64 { return c.Restarts / secondsInDay }
	return Role{
		Name: "Restarts and replacements on an ordinary day", Mechanism: "SIGTERM hands sessions on; last known list, whole list by the watch; none for names that go",
		Notes: []string{"As if all of them were proxies.", "Meanwhile: a proxy that starts serves by the list in its configuration and counts from nothing; with flat counts a member is heard of again by its next reports."},
		Quantities: []Quantity{
			{Label: "restarts of proxies, if all were", Unit: PerSecond, Computed: perSecond, Note: "restarts a day"},
			{Label: "clients moved, at each other proxy", Unit: PerSecond, Computed: func(c *Case) float64 {
				return perSecond(c) * c.ConnectionsPerProxy() * c.Proxies / (c.Proxies - 1) / c.Proxies
			},
				Note: "restarts x connections of one, by equal shares"},
			{Label: "processor time at each: connections, dials, first lines", Unit: Cores, Ceiling: loopCoreCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: SlopeSessionTime, Multiplier: perSecond(c) * c.ConnectionsPerProxy() / (c.Proxies - 1), PerUnit: true}}
				}},
			{Label: "whole lists out of a control machine", Unit: TrafficPerSecond, Ceiling: controlMachineCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryWholeList.answer-B", X: c.Servers, Multiplier: perSecond(c) / c.ControlMachines}}
				}},
			{Label: "until a proxy has the whole list at the bytes that control may take", Unit: Seconds, Ceiling: changeTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryWholeList.answer-B", X: c.Servers, Multiplier: 1 / c.ControlBytes}}
				}},
		},
	}
}

func zoneLossRole() Role {
	proxies := func(c *Case) float64 { return c.Proxies / c.Zones }
	role := reconnectRole(proxyLoss{"A zone is lost", "every other month", proxies,
		"The proxies that are left place what comes by their last list; servers of the zone that the list still has are dialed until it has come or their dials have failed twice. With flat counts a tenth of the members fades over 15 s."})
	role.Quantities = append(role.Quantities,
		Quantity{Label: "connections on each proxy that is left", Unit: Number, Computed: func(c *Case) float64 { return c.Connections / (c.Proxies - proxies(c)) }, Note: "connections / proxies left"},
		Quantity{Label: "memory of its process", Unit: Bytes, Terms: func(c *Case) []Term {
			return []Term{termAt(SlopeProcessMemory, c.Connections/(c.Proxies-proxies(c)))}
		}},
		Quantity{Label: "list: bytes to each proxy, the zone's servers in deltas", Unit: Traffic, Ceiling: changeBytesCeiling,
			Terms: func(c *Case) []Term {
				return []Term{{Slope: "ListParse.list-B", X: c.Servers / c.Zones, Multiplier: c.Servers / c.Zones, PerUnit: true}}
			}},
		Quantity{Label: "loop held by them, one change each", Unit: Seconds, Note: "spread over as many changes; in one change it is held as by a whole list",
			Terms: func(c *Case) []Term {
				return []Term{timeTerm("ModuleListDelta.ns/op", c.Servers, c.Servers/c.Zones), timeTerm("DirectoryDelta.ns/op", c.Servers, c.Servers/c.Zones)}
			}},
		Quantity{Label: "bytes out of a control machine for it, within the time for a change", Unit: TrafficPerSecond, Ceiling: controlMachineCeiling,
			Terms: func(c *Case) []Term {
				return []Term{{Slope: "ListParse.list-B", X: c.Servers / c.Zones, Multiplier: c.Servers / c.Zones * c.ProxiesPerControlMachine() / c.ChangedWithin.D().Seconds(), PerUnit: true}}
			}})
	return role
}

func regionsApartRole() Role {
	hours := func(c *Case) float64 { return c.RegionsApart.D().Hours() }
	missedList := func(c *Case) float64 {
		return min(c.Servers, c.ListChanges*hours(c)*time.Hour.Seconds()/listChangesPerRestart)
	}
	return Role{
		Name: "Two regions apart, and their return", Mechanism: "resume by revision; constant-rate reports",
		Notes: []string{"How often: now and then; for how long, see the size.",
			"Meanwhile: a proxy goes on by its last list and settings. One whose discovery is on the other side asks again with growing pauses, dials servers that have gone since, and does not learn of drains. Counts of the other region grow stale: with flat counts they fade to nothing after 15 s, and figures then lack that region, which `of members heard` tells."},
		Quantities: []Quantity{
			{Label: "for", Unit: Seconds, Computed: func(c *Case) float64 { return c.RegionsApart.D().Seconds() }, Note: "regions_apart"},
			{Label: "changes of configuration missed", Unit: Number, Computed: func(c *Case) float64 { return c.Changes / hoursInDay * hours(c) }, Note: "changes a day x the time apart"},
			{Label: "servers changed that a watch resumes with", Unit: Number, Computed: missedList, Note: "each once, three changes of the list for each"},
			{Label: "bytes to a proxy at the return", Unit: Traffic, Ceiling: changeBytesCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "ListParse.list-B", X: missedList(c), Multiplier: missedList(c), PerUnit: true}}
				}},
			{Label: "bytes out of a control machine, a region at once within the time for a change", Unit: TrafficPerSecond, Ceiling: controlMachineCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "ListParse.list-B", X: missedList(c), Multiplier: missedList(c) * c.ProxiesPerControlMachine() / c.ChangedWithin.D().Seconds(), PerUnit: true}}
				}},
			{Label: "loop held at the return by one delta with all of it", Unit: Seconds, Ceiling: deliveryTimeCeiling, Note: "no more than by a whole list",
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("ModuleWholeList.ns/op", c.Servers, 1), timeTerm("DirectoryWholeList.ns/op", c.Servers, 1)}
				}},
			{Label: "staleness of flat counts", Unit: Seconds, Computed: func(c *Case) float64 { return min(flatCountsLifetimeSeconds, c.RegionsApart.D().Seconds()) }, Note: "fresh for 5 s, faded after 10 s more: then nothing is told of the region"},
		},
	}
}
