package capacity

import "fmt"

// What the code fixes, by the packages that it stands in. The flat counts are replaced: theirs is what internal/sharing
// had at the commits that measured them.
const (
	roundsPerSecond      = 0.5         // choice: roundInterval
	sweepsPerSecond      = 10.0        // internal/proxy: sweeps in a noteSpan
	sumsPerSecond        = 1.0         // internal/proxy: noteSpan
	flatInterval         = 0.5         // seconds between datagrams, as the file left it out
	flatFanOut           = 4.0         // members told at a time
	flatMaxMembers       = 512.0       // of a file
	flatEntries          = 24.0        // counts in a report
	flatMaxDatagram      = 1200.0      // bytes
	maxListBytes         = 4 << 20     // internal/discovery: mostList
	coldSpanSeconds      = 20.0        // of the cold rule in the benchmark
	nanosecond           = 1e-9        // in seconds
	listChangesOfRestart = 3.0         // drains, gone, ready
	flatFadeSeconds      = 5.0 + 2*5.0 // seconds, as the file left them out
	goneDays             = 30.0        // after which the state of servers that have gone is shown
	eventLoops           = 1.0         // of a proxy
)

// at is a term at a value of the slope's variable, counted once.
func at(slope string, x float64) Term { return Term{Slope: slope, At: x, Times: 1} }

// timed is processor time: nanoseconds at x, so many times a second.
func timed(slope string, x, perSecond float64) Term {
	return Term{Slope: slope, At: x, Times: perSecond, Scale: nanosecond}
}

var (
	controlCore   = Ceiling{func(c *Case) float64 { return c.ControlCores }, "control's share of a core"}
	controlMem    = Ceiling{func(c *Case) float64 { return c.MemoryBytes() }, "control's memory"}
	controlBytes  = Ceiling{func(c *Case) float64 { return c.ControlBytes }, "control's bytes a second"}
	withinBytes   = Ceiling{func(c *Case) float64 { return c.BytesWithin() }, "control's bytes in the time for a change"}
	withinTime    = Ceiling{func(c *Case) float64 { return c.ChangedWithin.D().Seconds() }, "the time for a change"}
	loopCore      = Ceiling{func(*Case) float64 { return eventLoops }, "a core: there is one event loop"}
	loopStall     = Ceiling{func(c *Case) float64 { return c.DeliveryWithin.D().Seconds() }, "the time for a delivery, which waits as long"}
	machineBytes  = Ceiling{func(c *Case) float64 { return c.MachineBytes() }, "what follows for each control machine"}
	coldSpanLimit = Ceiling{func(*Case) float64 { return coldSpanSeconds }, "the span in which a server is cold"}
)

// Roles are all jobs, in the order of the page.
func Roles() []Role {
	return []Role{connections(), placement(), listOnProxy(), discoverySide(), settings(), flatCounts(), ownSum(), aggregation(),
		budgets(), probes(), logs(), controlMachines()}
}

func connections() Role {
	return Role{
		Name: "Client connections on a proxy", Mechanism: "one event loop, one table of sessions; the front deals connections out",
		About: []string{"Not control: these are a proxy's own sessions. Memory and processor time are those of a real process on loopback; a *message* there is a client's line with its answer, so two lines passed, and a delivery, which is one line, costs less."},
		Quantities: []Quantity{
			{What: "connections", Unit: Number, Worked: func(c *Case) float64 { return c.ConnectionsEach() }, Note: "connections / proxies"},
			{What: "descriptors", Unit: Number, Terms: func(c *Case) []Term { return []Term{at(SlopeProcessDescriptors, c.ConnectionsEach())} }},
			{What: "memory of the process", Unit: Bytes, Terms: func(c *Case) []Term { return []Term{at(SlopeProcessMemory, c.ConnectionsEach())} }},
			{What: "of it on the heap: table and module", Unit: Bytes, Terms: func(c *Case) []Term { return []Term{at("TableState.held-B", c.ConnectionsEach())} }},
			{What: "deliveries", Unit: PerSecond, Worked: func(c *Case) float64 { return c.DeliveriesEach() }, Note: "deliveries / proxies"},
			{What: "processor time of deliveries", Unit: Cores, Ceiling: loopCore, Note: "no more than a message's",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: SlopeMessageTime, Times: c.DeliveriesEach(), PerUnit: true}}
				}},
			{What: "processor time of sessions that begin and end", Unit: Cores, Ceiling: loopCore,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: SlopeSessionTime, Times: c.SessionsEach(), PerUnit: true}}
				}},
			{What: "sweep over sessions that wait for an answer", Unit: Cores, Ceiling: loopCore, Note: "if each delivery answers a line that waits as long as it may",
				Terms: func(c *Case) []Term {
					return []Term{timed("TableSweep.ns/op", c.DeliveriesEach()*c.DeliveryWithin.D().Seconds(), sweepsPerSecond)}
				}},
		},
	}
}

func placement() Role {
	return Role{
		Name: "Placement (the module)", Mechanism: "weighted rendezvous hashing over all ready servers, each proxy by itself",
		Quantities: []Quantity{
			{What: "sessions that begin", Unit: PerSecond, Worked: func(c *Case) float64 { return c.SessionsEach() }, Note: "connections of a proxy x renewals"},
			{What: "processor time to place them", Unit: Cores, Ceiling: loopCore,
				Terms: func(c *Case) []Term { return []Term{timed("ModuleSession.ns/op", c.Servers, c.SessionsEach())} }},
			{What: "processor time of rounds, by servers", Unit: Cores, Ceiling: controlCore, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timed("ModuleRoundByServers.ns/op", c.Servers, roundsPerSecond)}
				}},
			{What: "a round with all sessions, on 2,000 servers", Unit: Seconds, Ceiling: loopStall,
				Terms: func(c *Case) []Term {
					return []Term{timed("ModuleRoundBySessions.ns/op", c.ConnectionsEach(), 1)}
				}},
			{What: "state of sessions", Unit: Bytes, Note: "not control; part of the heap above",
				Terms: func(c *Case) []Term { return []Term{at("ModuleStateBySessions.held-B", c.ConnectionsEach())} }},
			{What: "of it state of groups", Unit: Bytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "ModuleStateByGroups.held-B", At: c.ConnectionsEach() / c.SessionsPerGroup, Times: c.ConnectionsEach() / c.SessionsPerGroup, PerUnit: true}}
				}},
		},
	}
}

func listOnProxy() Role {
	return Role{
		Name: "The list of servers on a proxy", Mechanism: "delta watch over HTTP with resume by revision, heartbeat each 2 s, last known list in the configuration",
		Quantities: []Quantity{
			{What: "state: module and directory", Unit: Bytes, Ceiling: controlMem, Part: controlMemory,
				Terms: func(c *Case) []Term {
					return []Term{at("ModuleStateByServers.held-B", c.Servers), at("DirectoryWholeList.held-B", c.Servers)}
				}},
			{What: fmt.Sprintf("state after %.0f days of restarts under new names", goneDays), Unit: Bytes, Ceiling: controlMem, Note: "servers that have gone are never forgotten",
				Terms: func(c *Case) []Term {
					gone := c.Restarts * goneDays
					return []Term{at("ModuleStateByServers.held-B", c.Servers), at("DirectoryWholeList.held-B", c.Servers),
						{Slope: "ModuleGone.held-B", At: gone, Times: gone, PerUnit: true}, {Slope: "DirectoryGone.held-B", At: gone, Times: gone, PerUnit: true}}
				}},
			{What: "changes", Unit: PerSecond, Worked: func(c *Case) float64 { return c.ListChanges }, Note: "list_changes a day"},
			{What: "processor time of changes, one server each", Unit: Cores, Ceiling: controlCore, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timed("ModuleListDelta.ns/op", c.Servers, c.ListChanges), timed("DirectoryDelta.ns/op", c.Servers, c.ListChanges)}
				}},
			{What: "bytes of changes", Unit: TrafficPerSecond, Ceiling: controlBytes, Part: controlTraffic,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryDelta.answer-B", At: c.Servers, Times: c.ListChanges}}
				}},
			{What: "loop held by a change of one server", Unit: Seconds, Ceiling: loopStall,
				Terms: func(c *Case) []Term {
					return []Term{timed("ModuleListDelta.ns/op", c.Servers, 1), timed("DirectoryDelta.ns/op", c.Servers, 1)}
				}},
			{What: "whole list (a start, a new discovery)", Unit: Traffic, Ceiling: withinBytes,
				Terms: func(c *Case) []Term { return []Term{at("DiscoveryWholeList.answer-B", c.Servers)} }},
			{What: "whole list against the largest that is taken", Unit: Traffic,
				Ceiling: Ceiling{func(*Case) float64 { return maxListBytes }, "4 MiB, internal/discovery"},
				Terms:   func(c *Case) []Term { return []Term{at("ListParse.list-B", c.Servers)} }},
			{What: "whole list read, beside the loop", Unit: Seconds, Terms: func(c *Case) []Term { return []Term{timed("ListParse.ns/op", c.Servers, 1)} }},
			{What: "loop held by a whole list", Unit: Seconds, Ceiling: loopStall,
				Terms: func(c *Case) []Term {
					return []Term{timed("ModuleWholeList.ns/op", c.Servers, 1), timed("DirectoryWholeList.ns/op", c.Servers, 1)}
				}},
		},
	}
}

func discoverySide() Role {
	return Role{
		Name: "Discovery's side of the list", Mechanism: "one answer for each watch and change",
		About: []string{"Measured on the stand-in of `internal/standin/list`; the operators' discovery is another program. As if the control machines served the list and nothing else."},
		Quantities: []Quantity{
			{What: "watches for each machine", Unit: Number, Worked: func(c *Case) float64 { return c.ProxiesToMachine() }, Note: "proxies / control machines"},
			{What: "answers", Unit: PerSecond, Worked: func(c *Case) float64 { return c.ListChanges * c.ProxiesToMachine() }, Note: "changes x watches of a machine"},
			{What: "processor time of a machine", Unit: Cores,
				Terms: func(c *Case) []Term {
					return []Term{timed("DiscoveryDelta.ns/op", c.Servers, c.ListChanges*c.ProxiesToMachine())}
				}},
			{What: "bytes out of a machine", Unit: TrafficPerSecond, Ceiling: machineBytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryDelta.answer-B", At: c.Servers, Times: c.ListChanges * c.ProxiesToMachine()}}
				}},
			{What: "all its proxies ask for the whole list at once: time to send it", Unit: Seconds, Ceiling: withinTime,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "DiscoveryWholeList.answer-B", At: c.Servers, Times: c.ProxiesToMachine() / c.MachineBytes()}}
				}},
			{What: "the same: processor time to make it, each answer by itself", Unit: Seconds, Ceiling: withinTime,
				Terms: func(c *Case) []Term {
					return []Term{timed("DiscoveryWholeList.ns/op", c.Servers, c.ProxiesToMachine())}
				}},
		},
	}
}

func settings() Role {
	return Role{
		Name: "Settings and their changes", Mechanism: "on a proxy: the whole file checked and taken over at SIGHUP; from where a change is made to the proxies: **none**",
		Quantities: []Quantity{
			{What: "changes", Unit: PerSecond, Worked: func(c *Case) float64 { return c.ChangesEach() }, Note: "changes a day; a release or a zone's loss brings more at once"},
			{What: "until a change is in force at all proxies", Unit: Seconds, Ceiling: withinTime, Note: "no mechanism of the program's carries it"},
			{What: "bytes, the change alone", Unit: TrafficPerSecond, Ceiling: controlBytes, Part: controlTraffic, Worked: func(c *Case) float64 { return c.ChangesEach() * c.SettingsBytes },
				Note: "changes x settings_bytes"},
			{What: "bytes, the file with its known list", Unit: TrafficPerSecond, Ceiling: controlBytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "Configuration.text-B", At: c.Servers, Times: c.ChangesEach()}}
				}},
			{What: "processor time, the file with its known list", Unit: Cores, Ceiling: controlCore,
				Terms: func(c *Case) []Term { return []Term{timed("Configuration.ns/op", c.Servers, c.ChangesEach())} }},
			{What: "processor time, 100 listeners and no list", Unit: Cores, Ceiling: controlCore, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timed("Settings.ns/op", 100, c.ChangesEach()), timed("ModuleSwitch.ns/op", c.Servers, c.ChangesEach())}
				}},
			{What: "loop held by a change", Unit: Seconds, Ceiling: loopStall,
				Terms: func(c *Case) []Term { return []Term{timed("ModuleSwitch.ns/op", c.Servers, 1)} }},
		},
	}
}

func flatCounts() Role {
	return Role{
		Name: "Counts over the fleet, before: flat", Mechanism: "each member keeps each other's counts; datagrams to four members in turn",
		About: []string{"The mechanism as it stood when this page was begun. Its rows stay for comparison, with the commit at which they were measured."},
		Quantities: []Quantity{
			{What: "members", Unit: Number, Ceiling: Ceiling{func(*Case) float64 { return flatMaxMembers }, "internal/sharing, as it was"},
				Worked: func(c *Case) float64 { return c.Proxies }, Note: "proxies"},
			{What: "state", Unit: Bytes, Ceiling: controlMem,
				Terms: func(c *Case) []Term { return []Term{at("FlatCountsState.held-B", c.Proxies*c.Keys)} }},
			{What: "until all have heard at first hand", Unit: Seconds, Ceiling: withinTime,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "FlatCountsReach.datagrams", At: c.Proxies, Times: flatInterval / flatFanOut}}
				}},
			{What: "a change known to 99 in 100 hollow members", Unit: Seconds, Ceiling: withinTime,
				Terms: func(c *Case) []Term { return []Term{at(scaleFlat+scaleKnown99, c.Proxies)} }},
			{What: "processor time of a hollow member", Unit: Cores, Ceiling: controlCore, Note: "with 100 keys",
				Terms: func(c *Case) []Term { return []Term{at(scaleFlat+scaleCPU, c.Proxies)} }},
			{What: "until all have heard all own keys at first hand", Unit: Seconds, Ceiling: withinTime, Note: "24 counts in a datagram",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "FlatCountsReach.datagrams", At: c.Proxies, Times: flatInterval / flatFanOut * c.Keys / flatEntries}}
				}},
			{What: "bytes out", Unit: TrafficPerSecond, Ceiling: controlBytes, Worked: func(*Case) float64 { return flatMaxDatagram * flatFanOut / flatInterval }, Note: "four datagrams of 1,200 bytes each 500 ms; as many in"},
			{What: "processor time to make them", Unit: Cores, Ceiling: controlCore, Note: "the choice of counts only",
				Terms: func(c *Case) []Term { return []Term{timed("FlatCountsTell.ns/op", c.Keys, 1/flatInterval)} }},
			{What: "processor time to take them", Unit: Cores, Ceiling: controlCore, Note: "one report of each datagram, after it was decoded",
				Terms: func(c *Case) []Term {
					return []Term{timed("FlatCountsReceive.ns/op", c.Proxies, flatFanOut/flatInterval)}
				}},
			{What: "one key's figure", Unit: Seconds, Terms: func(c *Case) []Term { return []Term{timed("FlatCountsFigure.ns/op", c.Proxies, 1)} }},
			{What: "all own keys' figures, as a status tells them", Unit: Seconds,
				Terms: func(c *Case) []Term { return []Term{timed("FlatCountsFigure.ns/op", c.Proxies, c.Keys)} }},
		},
	}
}

func ownSum() Role {
	return Role{
		Name: "The sum over a proxy's own sessions", Mechanism: "a walk over all open sessions once a second, on the event loop, that counts anew only what has changed (with `--fleet` only)",
		About: []string{"*Before* is the walk that counted all sessions anew each second; its rows stay for comparison."},
		Quantities: []Quantity{
			{What: "processor time, before", Unit: Cores, Ceiling: controlCore, Before: true,
				Terms: func(c *Case) []Term {
					return []Term{timed("SumOfSessions.ns/op", c.ConnectionsEach(), sumsPerSecond)}
				}},
			{What: "loop held by it, before", Unit: Seconds, Ceiling: loopStall, Before: true,
				Terms: func(c *Case) []Term { return []Term{timed("SumOfSessions.ns/op", c.ConnectionsEach(), 1)} }},
			{What: "processor time, nothing has changed", Unit: Cores, Ceiling: controlCore, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timed("TallyWalk.ns/op", c.ConnectionsEach(), sumsPerSecond)}
				}},
			{What: "loop held by it, all sessions are new", Unit: Seconds, Ceiling: loopStall,
				Terms: func(c *Case) []Term { return []Term{timed("TallyFirstWalk.ns/op", c.ConnectionsEach(), 1)} }},
			{What: "state", Unit: Bytes, Ceiling: controlMem, Part: controlMemory,
				Terms: func(c *Case) []Term { return []Term{at("TallyWalk.held-B", c.ConnectionsEach())} }},
		},
	}
}

func budgets() Role {
	return Role{
		Name: "Cold-start and dial budgets", Mechanism: "turns by rendezvous hash of server and frame, each proxy a place of its own; dials beyond the first by each proxy's own sessions",
		About: []string{"The number of proxies is a setting (`groupSize`): a proxy that joins or leaves is a change of settings at all others."},
		Quantities: []Quantity{
			{What: "a proxy's first turn at a cold server", Unit: Seconds, Ceiling: coldSpanLimit, Note: "at 42.75 sessions for each server on a proxy (low), 4.275 (high)",
				Terms: func(c *Case) []Term { return []Term{at(coldSlope(c)+".first-s", c.Proxies)} }},
			{What: "share of its usual sessions that its turns allow while the server is cold", Unit: Share,
				Terms: func(c *Case) []Term { return []Term{at(coldSlope(c)+".allowed-share", c.Proxies)} }},
			{What: "budget of further dials: state, a minute's sessions", Unit: Bytes, Ceiling: controlMem, Part: controlMemory,
				Terms: func(c *Case) []Term { return []Term{at("DialBudget.held-B", 60*c.SessionsEach())} }},
			{What: "the same, processor time of one question", Unit: Seconds, Ceiling: loopStall,
				Terms: func(c *Case) []Term { return []Term{timed("DialBudget.ns/op", 60*c.SessionsEach(), 1)} }},
		},
	}
}

// coldSlope is the benchmark with about as many sessions for each server as a proxy has: many where servers are few.
func coldSlope(c *Case) string {
	if c.ConnectionsEach()/c.Servers > 20 {
		return "ColdTurnsMany"
	}
	return "ColdTurnsFew"
}

func probes() Role {
	return Role{
		Name: "The front's probes", Mechanism: "a connection with PING, answered on the event loop",
		Quantities: []Quantity{
			{What: "probes", Unit: PerSecond, Worked: func(c *Case) float64 { return c.Probes }, Note: "probes"},
			{What: "processor time", Unit: Cores, Ceiling: controlCore, Part: controlCores, Note: "both ends' time, the proxy's own is less",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "Probes.cpu-ns", Times: c.Probes, Scale: nanosecond, PerUnit: true}}
				}},
		},
	}
}

func logs() Role {
	return Role{
		Name: "Logs and metrics", Mechanism: "a line of JSON on standard output for each session that ends and each change of the list; metrics: **none**",
		Quantities: []Quantity{
			{What: "bytes of sessions' lines", Unit: TrafficPerSecond, Ceiling: controlBytes, Part: controlTraffic, Note: "if they are sent away from the machine",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "SessionLog.log-B", Times: c.SessionsEach(), PerUnit: true}}
				}},
			{What: "bytes of all proxies in a day", Unit: Traffic,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: "SessionLog.log-B", Times: c.SessionsEach() * c.Proxies * secondsInDay, PerUnit: true}}
				}},
			{What: "metrics", Unit: TrafficPerSecond, Note: "there are none but the log and the status of `--fleet`"},
		},
	}
}
