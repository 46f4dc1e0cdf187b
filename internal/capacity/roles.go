package capacity

import "fmt"

// Constants of the implementation, with the packages that define them. The flat counts have been replaced: their constants are
// those of internal/sharing at the commits at which they were measured.
const (
	roundsPerSecond           = 0.5         // package choice: one round each roundInterval
	sweepsPerSecond           = 10.0        // internal/proxy: sweeps per reportInterval
	sumsPerSecond             = 1.0         // internal/proxy: one sum each reportInterval
	flatInterval              = 0.5         // seconds between datagrams, the default
	flatFanOut                = 4.0         // members that get a datagram in each interval
	flatMaxMembers            = 512.0       // members in a member file at most
	flatEntries               = 24.0        // counts in a report
	flatMaxDatagram           = 1200.0      // bytes in a datagram
	maxListBytes              = 4 << 20     // bytes, internal/discovery: maxListBytes
	coldSpanSeconds           = 20.0        // seconds that a server is cold, as the benchmark sets it
	nanosecond                = 1e-9        // in seconds
	listChangesPerRestart     = 3.0         // a restarted server drains, is gone, and is ready again
	flatCountsLifetimeSeconds = 5.0 + 2*5.0 // seconds until counts have faded, by default: 5 fresh, 10 fading
	goneServerDays            = 30.0        // the days of restarts for which the state of gone servers is computed
	dialBudgetSeconds         = 60          // window of the budget of further dials, in seconds
	eventLoops                = 1.0         // event loops of a proxy, each on one core at most
)

// termAt returns a term that counts a slope's value at x once.
func termAt(slope string, x float64) Term { return Term{Slope: slope, X: x, Multiplier: 1} }

// timeTerm returns a term of processor time: the nanoseconds of a slope at x, converted to seconds and spent perSecond times a
// second.
func timeTerm(slope string, x, perSecond float64) Term {
	return Term{Slope: slope, X: x, Multiplier: perSecond, Scale: nanosecond}
}

// Ceilings that several quantities have in common.
var (
	controlCoreCeiling    = Ceiling{func(c *Case) float64 { return c.ControlCores }, "control's share of a core"}
	controlMemoryCeiling  = Ceiling{func(c *Case) float64 { return c.ControlMemoryBytes() }, "control's memory"}
	controlBytesCeiling   = Ceiling{func(c *Case) float64 { return c.ControlBytes }, "control's bytes a second"}
	changeBytesCeiling    = Ceiling{func(c *Case) float64 { return c.BytesWithinChangeTime() }, "control's bytes in the time for a change"}
	changeTimeCeiling     = Ceiling{func(c *Case) float64 { return c.ChangedWithin.D().Seconds() }, "the time for a change"}
	loopCoreCeiling       = Ceiling{func(*Case) float64 { return eventLoops }, "a core: there is one event loop"}
	deliveryTimeCeiling   = Ceiling{func(c *Case) float64 { return c.DeliveryWithin.D().Seconds() }, "the time for a delivery, which waits as long"}
	controlMachineCeiling = Ceiling{func(c *Case) float64 { return c.ControlMachineBytes() }, "what follows for each control machine"}
	coldSpanCeiling       = Ceiling{func(*Case) float64 { return coldSpanSeconds }, "the span in which a server is cold"}
)

// Roles returns all roles on an ordinary day, in the order of the page. Each of the functions below returns one role.
func Roles() []Role {
	return []Role{connectionsRole(), placementRole(), listOnProxyRole(), discoverySideRole(), settingsRole(), flatCountsRole(),
		ownSessionSumRole(), aggregationRole(), budgetsRole(), probesRole(), logsRole(), controlMachinesRole()}
}

func connectionsRole() Role {
	return Role{
		Name: "Client connections on a proxy", Mechanism: "one event loop, one table of sessions; the front deals connections out",
		Notes: []string{"Not control: these are a proxy's own sessions. Memory and processor time are those of a real process on loopback; a *message* there is a client's line with its answer, so two lines passed, and a delivery, which is one line, costs less."},
		Quantities: []Quantity{
			{Label: "connections", Unit: Number, Computed: func(c *Case) float64 { return c.ConnectionsPerProxy() }, Note: "connections / proxies"},
			{Label: "descriptors", Unit: Number, Terms: func(c *Case) []Term { return []Term{termAt(SlopeProcessDescriptors, c.ConnectionsPerProxy())} }},
			{Label: "memory of the process", Unit: Bytes, Terms: func(c *Case) []Term { return []Term{termAt(SlopeProcessMemory, c.ConnectionsPerProxy())} }},
			{Label: "of it on the heap: table and module", Unit: Bytes, Terms: func(c *Case) []Term { return []Term{termAt("TableState.held-B", c.ConnectionsPerProxy())} }},
			{Label: "deliveries", Unit: PerSecond, Computed: func(c *Case) float64 { return c.DeliveriesPerProxy() }, Note: "deliveries / proxies"},
			{Label: "processor time of deliveries", Unit: Cores, Ceiling: loopCoreCeiling, Note: "no more than a message's",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: SlopeMessageTime, Multiplier: c.DeliveriesPerProxy(), PerUnit: true}}
				}},
			{Label: "processor time of sessions that begin and end", Unit: Cores, Ceiling: loopCoreCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: SlopeSessionTime, Multiplier: c.SessionsPerSecond(), PerUnit: true}}
				}},
			{Label: "sweep over sessions that wait for an answer", Unit: Cores, Ceiling: loopCoreCeiling, Note: "if each delivery answers a line that waits as long as it may",
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("TableSweep.ns/op", c.DeliveriesPerProxy()*c.DeliveryWithin.D().Seconds(), sweepsPerSecond)}
				}},
		},
	}
}

func placementRole() Role {
	return Role{
		Name: "Placement (the module)", Mechanism: "weighted rendezvous hashing over all ready servers, each proxy by itself",
		Quantities: []Quantity{
			{Label: "sessions that begin", Unit: PerSecond, Computed: func(c *Case) float64 { return c.SessionsPerSecond() }, Note: "connections of a proxy x renewals"},
			{Label: "processor time to place them", Unit: Cores, Ceiling: loopCoreCeiling,
				Terms: func(c *Case) []Term { return []Term{timeTerm("ModuleSession.ns/op", c.Servers, c.SessionsPerSecond())} }},
			{Label: "processor time of rounds, by servers", Unit: Cores, Ceiling: controlCoreCeiling, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("ModuleRoundByServers.ns/op", c.Servers, roundsPerSecond)}
				}},
			{Label: "a round with all sessions, on 2,000 servers", Unit: Seconds, Ceiling: deliveryTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("ModuleRoundBySessions.ns/op", c.ConnectionsPerProxy(), 1)}
				}},
			{Label: "state of sessions", Unit: Bytes, Note: "not control; part of the heap above",
				Terms: func(c *Case) []Term { return []Term{termAt("ModuleStateBySessions.held-B", c.ConnectionsPerProxy())} }},
			{Label: "of it state of groups", Unit: Bytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "ModuleStateByGroups.held-B", X: c.ConnectionsPerProxy() / c.SessionsPerGroup, Multiplier: c.ConnectionsPerProxy() / c.SessionsPerGroup, PerUnit: true}}
				}},
		},
	}
}

func listOnProxyRole() Role {
	return Role{
		Name: "The list of servers on a proxy", Mechanism: "delta watch over HTTP with resume by revision, heartbeat each 2 s, last known list in the configuration",
		Quantities: []Quantity{
			{Label: "state: module and directory", Unit: Bytes, Ceiling: controlMemoryCeiling, Part: controlMemory,
				Terms: func(c *Case) []Term {
					return []Term{termAt("ModuleStateByServers.held-B", c.Servers), termAt("DirectoryWholeList.held-B", c.Servers)}
				}},
			{Label: fmt.Sprintf("state after %.0f days of restarts under new names", goneServerDays), Unit: Bytes, Ceiling: controlMemoryCeiling, Note: "servers that have gone are never forgotten",
				Terms: func(c *Case) []Term {
					gone := c.Restarts * goneServerDays
					return []Term{termAt("ModuleStateByServers.held-B", c.Servers), termAt("DirectoryWholeList.held-B", c.Servers),
						{Slope: "ModuleGone.held-B", X: gone, Multiplier: gone, PerUnit: true}, {Slope: "DirectoryGone.held-B", X: gone, Multiplier: gone, PerUnit: true}}
				}},
			{Label: "changes", Unit: PerSecond, Computed: func(c *Case) float64 { return c.ListChanges }, Note: "list_changes a day"},
			{Label: "processor time of changes, one server each", Unit: Cores, Ceiling: controlCoreCeiling, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("ModuleListDelta.ns/op", c.Servers, c.ListChanges), timeTerm("DirectoryDelta.ns/op", c.Servers, c.ListChanges)}
				}},
			{Label: "bytes of changes", Unit: TrafficPerSecond, Ceiling: controlBytesCeiling, Part: controlTraffic,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryDelta.answer-B", X: c.Servers, Multiplier: c.ListChanges}}
				}},
			{Label: "loop held by a change of one server", Unit: Seconds, Ceiling: deliveryTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("ModuleListDelta.ns/op", c.Servers, 1), timeTerm("DirectoryDelta.ns/op", c.Servers, 1)}
				}},
			{Label: "whole list (a start, a new discovery)", Unit: Traffic, Ceiling: changeBytesCeiling,
				Terms: func(c *Case) []Term { return []Term{termAt("DiscoveryWholeList.answer-B", c.Servers)} }},
			{Label: "whole list against the largest that is taken", Unit: Traffic,
				Ceiling: Ceiling{func(*Case) float64 { return maxListBytes }, "4 MiB, internal/discovery"},
				Terms:   func(c *Case) []Term { return []Term{termAt("ListParse.list-B", c.Servers)} }},
			{Label: "whole list read, beside the loop", Unit: Seconds, Terms: func(c *Case) []Term { return []Term{timeTerm("ListParse.ns/op", c.Servers, 1)} }},
			{Label: "loop held by a whole list", Unit: Seconds, Ceiling: deliveryTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("ModuleWholeList.ns/op", c.Servers, 1), timeTerm("DirectoryWholeList.ns/op", c.Servers, 1)}
				}},
		},
	}
}

func discoverySideRole() Role {
	return Role{
		Name: "Discovery's side of the list", Mechanism: "one answer for each watch and change",
		Notes: []string{"Measured on the stand-in of `internal/standin/list`; the operators' discovery is another program. As if the control machines served the list and nothing else."},
		Quantities: []Quantity{
			{Label: "watches for each machine", Unit: Number, Computed: func(c *Case) float64 { return c.ProxiesPerControlMachine() }, Note: "proxies / control machines"},
			{Label: "answers", Unit: PerSecond, Computed: func(c *Case) float64 { return c.ListChanges * c.ProxiesPerControlMachine() }, Note: "changes x watches of a machine"},
			{Label: "processor time of a machine", Unit: Cores,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("DiscoveryDelta.ns/op", c.Servers, c.ListChanges*c.ProxiesPerControlMachine())}
				}},
			{Label: "bytes out of a machine", Unit: TrafficPerSecond, Ceiling: controlMachineCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryDelta.answer-B", X: c.Servers, Multiplier: c.ListChanges * c.ProxiesPerControlMachine()}}
				}},
			{Label: "all its proxies ask for the whole list at once: time to send it", Unit: Seconds, Ceiling: changeTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryWholeList.answer-B", X: c.Servers, Multiplier: c.ProxiesPerControlMachine() / c.ControlMachineBytes()}}
				}},
			{Label: "the same: processor time to make it, each answer by itself", Unit: Seconds, Ceiling: changeTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("DiscoveryWholeList.ns/op", c.Servers, c.ProxiesPerControlMachine())}
				}},
		},
	}
}

func settingsRole() Role {
	return Role{
		Name: "Settings and their changes", Mechanism: "on a proxy: the whole file checked and taken over at SIGHUP; from where a change is made to the proxies: **none**",
		Quantities: []Quantity{
			{Label: "changes", Unit: PerSecond, Computed: func(c *Case) float64 { return c.ChangesPerSecond() }, Note: "changes a day; a release or a zone's loss brings more at once"},
			{Label: "until a change is in force at all proxies", Unit: Seconds, Ceiling: changeTimeCeiling, Note: "no mechanism of the program's carries it"},
			{Label: "bytes, the change alone", Unit: TrafficPerSecond, Ceiling: controlBytesCeiling, Part: controlTraffic, Computed: func(c *Case) float64 { return c.ChangesPerSecond() * c.SettingsBytes },
				Note: "changes x settings_bytes"},
			{Label: "bytes, the file with its known list", Unit: TrafficPerSecond, Ceiling: controlBytesCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "Configuration.text-B", X: c.Servers, Multiplier: c.ChangesPerSecond()}}
				}},
			{Label: "processor time, the file with its known list", Unit: Cores, Ceiling: controlCoreCeiling,
				Terms: func(c *Case) []Term { return []Term{timeTerm("Configuration.ns/op", c.Servers, c.ChangesPerSecond())} }},
			{Label: "processor time, 100 listeners and no list", Unit: Cores, Ceiling: controlCoreCeiling, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("Settings.ns/op", 100, c.ChangesPerSecond()), timeTerm("ModuleSwitch.ns/op", c.Servers, c.ChangesPerSecond())}
				}},
			{Label: "loop held by a change", Unit: Seconds, Ceiling: deliveryTimeCeiling,
				Terms: func(c *Case) []Term { return []Term{timeTerm("ModuleSwitch.ns/op", c.Servers, 1)} }},
		},
	}
}

func flatCountsRole() Role {
	return Role{
		Name: "Counts over the fleet, before: flat", Mechanism: "each member keeps each other's counts; datagrams to four members in turn",
		Notes: []string{"The mechanism as it stood when this page was begun. Its rows stay for comparison, with the commit at which they were measured."},
		Quantities: []Quantity{
			{Label: "members", Unit: Number, Ceiling: Ceiling{func(*Case) float64 { return flatMaxMembers }, "internal/sharing, as it was"},
				Computed: func(c *Case) float64 { return c.Proxies }, Note: "proxies"},
			{Label: "state", Unit: Bytes, Ceiling: controlMemoryCeiling,
				Terms: func(c *Case) []Term { return []Term{termAt("FlatCountsState.held-B", c.Proxies*c.Keys)} }},
			{Label: "until all have heard at first hand", Unit: Seconds, Ceiling: changeTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "FlatCountsReach.datagrams", X: c.Proxies, Multiplier: flatInterval / flatFanOut}}
				}},
			{Label: "a change known to 99 in 100 hollow members", Unit: Seconds, Ceiling: changeTimeCeiling,
				Terms: func(c *Case) []Term { return []Term{termAt(scaleFlat+scaleKnown99, c.Proxies)} }},
			{Label: "processor time of a hollow member", Unit: Cores, Ceiling: controlCoreCeiling, Note: "with 100 keys",
				Terms: func(c *Case) []Term { return []Term{termAt(scaleFlat+scaleCPU, c.Proxies)} }},
			{Label: "until all have heard all own keys at first hand", Unit: Seconds, Ceiling: changeTimeCeiling, Note: "24 counts in a datagram",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "FlatCountsReach.datagrams", X: c.Proxies, Multiplier: flatInterval / flatFanOut * c.Keys / flatEntries}}
				}},
			{Label: "bytes out", Unit: TrafficPerSecond, Ceiling: controlBytesCeiling, Computed: func(*Case) float64 { return flatMaxDatagram * flatFanOut / flatInterval }, Note: "four datagrams of 1,200 bytes each 500 ms; as many in"},
			{Label: "processor time to make them", Unit: Cores, Ceiling: controlCoreCeiling, Note: "the choice of counts only",
				Terms: func(c *Case) []Term { return []Term{timeTerm("FlatCountsTell.ns/op", c.Keys, 1/flatInterval)} }},
			{Label: "processor time to take them", Unit: Cores, Ceiling: controlCoreCeiling, Note: "one report of each datagram, after it was decoded",
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("FlatCountsReceive.ns/op", c.Proxies, flatFanOut/flatInterval)}
				}},
			{Label: "one key's figure", Unit: Seconds, Terms: func(c *Case) []Term { return []Term{timeTerm("FlatCountsFigure.ns/op", c.Proxies, 1)} }},
			{Label: "all own keys' figures, as a status tells them", Unit: Seconds,
				Terms: func(c *Case) []Term { return []Term{timeTerm("FlatCountsFigure.ns/op", c.Proxies, c.Keys)} }},
		},
	}
}

func ownSessionSumRole() Role {
	return Role{
		Name: "The sum over a proxy's own sessions", Mechanism: "a walk over all open sessions once a second, on the event loop, that counts anew only what has changed (with `--fleet` only)",
		Notes: []string{"*Before* is the walk that counted all sessions anew each second; its rows stay for comparison."},
		Quantities: []Quantity{
			{Label: "processor time, before", Unit: Cores, Ceiling: controlCoreCeiling, IsReplaced: true,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("SumOfSessions.ns/op", c.ConnectionsPerProxy(), sumsPerSecond)}
				}},
			{Label: "loop held by it, before", Unit: Seconds, Ceiling: deliveryTimeCeiling, IsReplaced: true,
				Terms: func(c *Case) []Term { return []Term{timeTerm("SumOfSessions.ns/op", c.ConnectionsPerProxy(), 1)} }},
			{Label: "processor time, nothing has changed", Unit: Cores, Ceiling: controlCoreCeiling, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("TallyWalk.ns/op", c.ConnectionsPerProxy(), sumsPerSecond)}
				}},
			{Label: "loop held by it, all sessions are new", Unit: Seconds, Ceiling: deliveryTimeCeiling,
				Terms: func(c *Case) []Term { return []Term{timeTerm("TallyFirstWalk.ns/op", c.ConnectionsPerProxy(), 1)} }},
			{Label: "state", Unit: Bytes, Ceiling: controlMemoryCeiling, Part: controlMemory,
				Terms: func(c *Case) []Term { return []Term{termAt("TallyWalk.held-B", c.ConnectionsPerProxy())} }},
		},
	}
}

func budgetsRole() Role {
	return Role{
		Name: "Cold-start and dial budgets", Mechanism: "turns by rendezvous hash of server and frame, each proxy a place of its own; dials beyond the first by each proxy's own sessions",
		Notes: []string{"The number of proxies is a setting (`groupSize`): a proxy that joins or leaves is a change of settings at all others."},
		Quantities: []Quantity{
			{Label: "a proxy's first turn at a cold server", Unit: Seconds, Ceiling: coldSpanCeiling, Note: "at 42.75 sessions for each server on a proxy (low), 4.275 (high)",
				Terms: func(c *Case) []Term { return []Term{termAt(coldTurnsBenchmark(c)+".first-s", c.Proxies)} }},
			{Label: "share of its usual sessions that its turns allow while the server is cold", Unit: Share,
				Terms: func(c *Case) []Term { return []Term{termAt(coldTurnsBenchmark(c)+".allowed-share", c.Proxies)} }},
			{Label: "budget of further dials: state, a minute's sessions", Unit: Bytes, Ceiling: controlMemoryCeiling, Part: controlMemory,
				Terms: func(c *Case) []Term {
					return []Term{termAt("DialBudget.held-B", dialBudgetSeconds*c.SessionsPerSecond())}
				}},
			{Label: "the same, processor time of one question", Unit: Seconds, Ceiling: deliveryTimeCeiling,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm("DialBudget.ns/op", dialBudgetSeconds*c.SessionsPerSecond(), 1)}
				}},
		},
	}
}

// manySessionsPerServer is how many sessions a proxy has for each server above which the benchmark with many is used.
const manySessionsPerServer = 20

// coldTurnsBenchmark returns the name of the benchmark with about as many sessions for each server as a proxy has: many if
// there are few servers.
func coldTurnsBenchmark(c *Case) string {
	if c.ConnectionsPerProxy()/c.Servers > manySessionsPerServer {
		return "ColdTurnsMany"
	}
	return "ColdTurnsFew"
}

func probesRole() Role {
	return Role{
		Name: "The front's probes", Mechanism: "a connection with PING, answered on the event loop",
		Quantities: []Quantity{
			{Label: "probes", Unit: PerSecond, Computed: func(c *Case) float64 { return c.Probes }, Note: "probes"},
			{Label: "processor time", Unit: Cores, Ceiling: controlCoreCeiling, Part: controlCores, Note: "both ends' time, the proxy's own is less",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "Probes.cpu-ns", Multiplier: c.Probes, Scale: nanosecond, PerUnit: true}}
				}},
		},
	}
}

func logsRole() Role {
	return Role{
		Name: "Logs and metrics", Mechanism: "a line of JSON on standard output for each session that ends and each change of the list; metrics: **none**",
		Quantities: []Quantity{
			{Label: "bytes of sessions' lines", Unit: TrafficPerSecond, Ceiling: controlBytesCeiling, Part: controlTraffic, Note: "if they are sent away from the machine",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "SessionLog.log-B", Multiplier: c.SessionsPerSecond(), PerUnit: true}}
				}},
			{Label: "bytes of all proxies in a day", Unit: Traffic,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "SessionLog.log-B", Multiplier: c.SessionsPerSecond() * c.Proxies * secondsInDay, PerUnit: true}}
				}},
			{Label: "metrics", Unit: TrafficPerSecond, Note: "there are none but the log and the status of `--fleet`"},
		},
	}
}
