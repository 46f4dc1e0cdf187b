package capacity

// Names of the slopes of sums by aggregators. The scale run or benchmarks may measure them; until one has, their rows
// say so.
const (
	slopeMemberState      = "MemberState.held-B"      // by keys
	slopeAggregatorState  = "AggregatorState.held-B"  // by counts: members x their own keys
	slopeMemberReport     = "MemberReport.ns/op"      // by keys: one datagram made
	slopeMemberDigest     = "MemberDigest.ns/op"      // by keys: one datagram taken
	slopeAggregatorReport = "AggregatorReport.ns/op"  // by counts: one datagram taken
	slopeAggregatorDigest = "AggregatorDigest.ns/op"  // by keys: one datagram made
	slopeEntries          = "MemberReport.entries/op" // by keys: in one datagram
)

// Intervals of the design, as the files leave them out.
const (
	reportsPerSecond     = 2.5       // of a member, to each of its region's two aggregators
	digestsPerSecond     = 1 / 0.170 // to each subscriber
	aggregatorsPerRegion = 2.0
)

func aggregation() Role {
	return Role{
		Name: "Counts over the fleet: aggregators", Mechanism: "two aggregators in each region, without election; reports, region sums and digests at constant rates",
		Quantities: []Quantity{
			{What: "state of a member", Unit: Bytes, Ceiling: controlMem, Part: controlMemory,
				Terms: terms(func(c *Case) []Term { return []Term{at(slopeMemberState, c.Keys)} })},
			{What: "processor time of a member: reports and digests", Unit: Cores, Ceiling: controlCore, Part: controlCores, Note: "the logic, without sockets and codec",
				Terms: terms(func(c *Case) []Term {
					return []Term{timed(slopeMemberReport, c.Keys, reportsPerSecond), timed(slopeMemberDigest, c.Keys, digestsPerSecond)}
				})},
			{What: "state of an aggregator", Unit: Bytes,
				Terms: terms(func(c *Case) []Term { return []Term{at(slopeAggregatorState, c.Proxies/c.Regions*c.Keys)} })},
			{What: "processor time of an aggregator: reports and digests", Unit: Cores, Note: "the logic, without sockets and codec",
				Terms: terms(func(c *Case) []Term {
					return []Term{timed(slopeAggregatorReport, c.Proxies/c.Regions*c.Keys, reportsPerSecond*c.Proxies/c.Regions), timed(slopeAggregatorDigest, c.Keys, digestsPerSecond)}
				})},
		},
	}
}

func controlMachines() Role {
	return Role{
		Name: "The machines set aside for control", Mechanism: "aggregators, two in each region; nothing else of the program runs there",
		Quantities: []Quantity{
			{What: "proxies to each", Unit: Number, Worked: func(c *Case) float64 { return c.ProxiesToMachine() }, Note: "proxies / machines"},
			{What: "members that each hears, two in a region", Unit: Number, Worked: func(c *Case) float64 { return c.Proxies / c.Regions }, Note: "proxies / regions, as each reports to both"},
			{What: "reports that each takes", Unit: PerSecond, Worked: func(c *Case) float64 { return c.Proxies / c.Regions * reportsPerSecond }, Note: "members x 2.5"},
			{What: "bytes in and out, memory, processor time of the process", Unit: TrafficPerSecond, Note: "the scale run measures them"},
		},
	}
}
