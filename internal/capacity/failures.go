package capacity

import "time"

// lost is what a failure takes away: so many proxies of all, with their connections.
type lost struct {
	name, often string
	proxies     func(*Case) float64
	meanwhile   string
}

// Failures are the roles' rows of days that are not calm, in the order of the page.
func Failures() []Role {
	return []Role{
		comesAgain(lost{"A proxy's machine fails", "on an ordinary day, see the size", func(*Case) float64 { return 1 },
			"The front deals its clients out to the others once probes have failed. With flat counts its numbers count in full for 5 s and fade over 10 s more; the others do nothing else."}),
		restarts(),
		comesAgain(lost{"A rack or a switch", "every week", func(c *Case) float64 { return c.Rack },
			"As for one machine. Servers in the rack are listed as gone; until a proxy has the list, dials to them fail and go elsewhere."}),
		zoneLoss(),
		regionsApart(),
	}
}

// comesAgain is how the clients of lost proxies come to those that are left.
func comesAgain(l lost) Role {
	return Role{Name: l.name, Mechanism: "the front's probes and clients that come again", About: []string{"How often: " + l.often + ".", "Meanwhile: " + l.meanwhile},
		Quantities: clientRows(l.proxies)}
}

func clientRows(proxies func(*Case) float64) []Quantity {
	each := func(c *Case) float64 { return proxies(c) * c.ConnectionsEach() / (c.Proxies - proxies(c)) }
	return []Quantity{
		{What: "clients that come again", Unit: Number, Worked: func(c *Case) float64 { return proxies(c) * c.ConnectionsEach() }, Note: "lost proxies x connections of one"},
		{What: "of them at each proxy that is left", Unit: Number, Worked: each, Note: "by equal shares"},
		{What: "at each, while they come", Unit: PerSecond, Worked: func(c *Case) float64 { return each(c) * c.ReturnRate }, Note: "x return_rate"},
		{What: "for", Unit: Seconds, Worked: func(c *Case) float64 { return 1 / c.ReturnRate }, Note: "1 / return_rate"},
		{What: "processor time at each: connections, dials, first lines", Unit: Cores, Ceiling: loopCore,
			Terms: func(c *Case) []Term {
				return []Term{{Slope: SlopeSessionTime, Times: each(c) * c.ReturnRate, PerUnit: true}}
			}},
		{What: "processor time at each: placing", Unit: Cores, Ceiling: loopCore,
			Terms: func(c *Case) []Term {
				return []Term{timed("ModuleSession.ns/op", c.Servers, each(c)*c.ReturnRate)}
			}},
	}
}

func restarts() Role {
	perSecond := func(c *Case) float64 { return c.Restarts / secondsInDay }
	return Role{
		Name: "Restarts and replacements on an ordinary day", Mechanism: "SIGTERM hands sessions on; last known list, whole list by the watch; none for names that go",
		About: []string{"As if all of them were proxies.", "Meanwhile: a proxy that starts serves by the list in its configuration and counts from nothing; with flat counts a member is heard of again by its next reports."},
		Quantities: []Quantity{
			{What: "restarts of proxies, if all were", Unit: PerSecond, Worked: perSecond, Note: "restarts a day"},
			{What: "clients moved, at each other proxy", Unit: PerSecond, Worked: func(c *Case) float64 {
				return perSecond(c) * c.ConnectionsEach() * c.Proxies / (c.Proxies - 1) / c.Proxies
			},
				Note: "restarts x connections of one, by equal shares"},
			{What: "processor time at each: connections, dials, first lines", Unit: Cores, Ceiling: loopCore,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: SlopeSessionTime, Times: perSecond(c) * c.ConnectionsEach() / (c.Proxies - 1), PerUnit: true}}
				}},
			{What: "whole lists out of a control machine", Unit: TrafficPerSecond, Ceiling: machineBytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryWholeList.answer-B", At: c.Servers, Times: perSecond(c) / c.ControlMachines}}
				}},
			{What: "until a proxy has the whole list at the bytes that control may take", Unit: Seconds, Ceiling: withinTime,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryWholeList.answer-B", At: c.Servers, Times: 1 / c.ControlBytes}}
				}},
		},
	}
}

func zoneLoss() Role {
	proxies := func(c *Case) float64 { return c.Proxies / c.Zones }
	role := comesAgain(lost{"A zone is lost", "every other month", proxies,
		"The proxies that are left place what comes by their last list; servers of the zone that the list still has are dialed until it has come or their dials have failed twice. With flat counts a tenth of the members fades over 15 s."})
	role.Quantities = append(role.Quantities,
		Quantity{What: "connections on each proxy that is left", Unit: Number, Worked: func(c *Case) float64 { return c.Connections / (c.Proxies - proxies(c)) }, Note: "connections / proxies left"},
		Quantity{What: "memory of its process", Unit: Bytes, Terms: func(c *Case) []Term {
			return []Term{at(SlopeProcessMemory, c.Connections/(c.Proxies-proxies(c)))}
		}},
		Quantity{What: "list: bytes to each proxy, the zone's servers in deltas", Unit: Traffic, Ceiling: withinBytes,
			Terms: func(c *Case) []Term {
				return []Term{{Slope: "ListParse.list-B", At: c.Servers / c.Zones, Times: c.Servers / c.Zones, PerUnit: true}}
			}},
		Quantity{What: "loop held by them, one change each", Unit: Seconds, Note: "spread over as many changes; in one change it is held as by a whole list",
			Terms: func(c *Case) []Term {
				return []Term{timed("ModuleListDelta.ns/op", c.Servers, c.Servers/c.Zones), timed("DirectoryDelta.ns/op", c.Servers, c.Servers/c.Zones)}
			}},
		Quantity{What: "bytes out of a control machine for it, within the time for a change", Unit: TrafficPerSecond, Ceiling: machineBytes,
			Terms: func(c *Case) []Term {
				return []Term{{Slope: "ListParse.list-B", At: c.Servers / c.Zones, Times: c.Servers / c.Zones * c.ProxiesToMachine() / c.ChangedWithin.D().Seconds(), PerUnit: true}}
			}})
	return role
}

func regionsApart() Role {
	hours := func(c *Case) float64 { return c.RegionsApart.D().Hours() }
	missedList := func(c *Case) float64 {
		return min(c.Servers, c.ListChanges*hours(c)*time.Hour.Seconds()/listChangesOfRestart)
	}
	return Role{
		Name: "Two regions apart, and their return", Mechanism: "resume by revision; constant-rate reports",
		About: []string{"How often: now and then; for how long, see the size.",
			"Meanwhile: a proxy goes on by its last list and settings. One whose discovery is on the other side asks again with growing pauses, dials servers that have gone since, and does not learn of drains. Counts of the other region grow stale: with flat counts they fade to nothing after 15 s, and figures then lack that region, which `of members heard` tells."},
		Quantities: []Quantity{
			{What: "for", Unit: Seconds, Worked: func(c *Case) float64 { return c.RegionsApart.D().Seconds() }, Note: "regions_apart"},
			{What: "changes of configuration missed", Unit: Number, Worked: func(c *Case) float64 { return c.Changes / 24 * hours(c) }, Note: "changes a day x the time apart"},
			{What: "servers changed that a watch resumes with", Unit: Number, Worked: missedList, Note: "each once, three changes of the list for each"},
			{What: "bytes to a proxy at the return", Unit: Traffic, Ceiling: withinBytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "ListParse.list-B", At: missedList(c), Times: missedList(c), PerUnit: true}}
				}},
			{What: "bytes out of a control machine, a region at once within the time for a change", Unit: TrafficPerSecond, Ceiling: machineBytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "ListParse.list-B", At: missedList(c), Times: missedList(c) * c.ProxiesToMachine() / c.ChangedWithin.D().Seconds(), PerUnit: true}}
				}},
			{What: "loop held at the return by one delta with all of it", Unit: Seconds, Ceiling: loopStall, Note: "no more than by a whole list",
				Terms: func(c *Case) []Term {
					return []Term{timed("ModuleWholeList.ns/op", c.Servers, 1), timed("DirectoryWholeList.ns/op", c.Servers, 1)}
				}},
			{What: "staleness of flat counts", Unit: Seconds, Worked: func(c *Case) float64 { return min(flatFadeSeconds, c.RegionsApart.D().Seconds()) }, Note: "fresh for 5 s, faded after 10 s more: then nothing is told of the region"},
		},
	}
}
