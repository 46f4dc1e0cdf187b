package capacity

import "chalkferry/internal/sharing"

// Names of the benchmarks' slopes of sums by aggregators. What whole processes use is measured by the scale run.
const (
	slopeMemberState         = "SumsMemberState.held-B"        // by keys
	slopeMemberReport        = "SumsMemberReport.ns/op"        // by keys: one report made
	slopeReportBytes         = "SumsMemberReport.report-B"     // by keys
	slopeReportTurn          = "SumsMemberReport.reports/turn" // by keys: until each was sent
	slopeMemberDigest        = "SumsMemberDigest.ns/op"        // by keys: one digest taken
	slopeMemberFigure        = "SumsMemberFigure.ns/op"        // by keys
	slopeAggregatorState     = "SumsAggregatorState.held-B"    // by counts: members x their own keys
	slopeAggregatorReport    = "SumsAggregatorReport.ns/op"    // by members: one report taken
	slopeAggregatorDigest    = "SumsAggregatorDigest.ns/op"    // by keys: one digest made
	slopeDigestBytes         = "SumsAggregatorDigest.digest-B" // by keys
	slopeDigestTurn          = "SumsAggregatorDigest.digests/turn"
	slopeAggregatorRegionSum = "SumsAggregatorRegionSum.ns/op" // by keys: one region sum made
	slopeRegionSumTurn       = "SumsAggregatorRegionSum.sums/turn"
)

// aggregatorsPerRegion is how many there are in the design; each member reports to all of its region.
const aggregatorsPerRegion = 2.0

// What files of members and aggregators leave out.
var (
	memberDefaults     = sharing.DefaultMemberConfig()
	aggregatorDefaults = sharing.DefaultAggregatorConfig()

	reportInterval       = memberDefaults.ReportInterval.Seconds()       // to each of the region's aggregators
	digestInterval       = aggregatorDefaults.DigestInterval.Seconds()   // to each subscriber
	exchangeInterval     = aggregatorDefaults.ExchangeInterval.Seconds() // a region sum to each other aggregator
	maxMemberKeys        = float64(memberDefaults.MaxKeys)
	maxAggregatorMembers = float64(aggregatorDefaults.MaxMembers)
)

// regionMembers is how many members report to each aggregator, as each reports to both of its region.
func regionMembers(c *Case) float64 { return c.Proxies / c.Regions }

func aggregation() Role {
	return Role{
		Name: "Counts over the fleet: aggregators", Mechanism: "two aggregators in each region, without election; reports, region sums and digests at constant rates",
		About: []string{"Benchmarks measure the logic without sockets and encoding; what a member takes with them is measured by the scale run, as far as it has gone. One turn is until each key was sent once; what has changed by more than a tenth goes before its turn."},
		Quantities: []Quantity{
			{What: "keys of a member", Unit: Number, Ceiling: Ceiling{func(*Case) float64 { return maxMemberKeys }, "a member's, as its file leaves it out"}, Worked: func(c *Case) float64 { return c.Keys }, Note: "keys"},
			{What: "state of a member, with both digests", Unit: Bytes, Ceiling: controlMem, Part: controlMemory,
				Terms: func(c *Case) []Term { return []Term{at(slopeMemberState, c.Keys)} }},
			{What: "processor time of a member: reports and digests", Unit: Cores, Ceiling: controlCore, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timed(slopeMemberReport, c.Keys, 1/reportInterval), timed(slopeMemberDigest, c.Keys, 1/digestInterval)}
				}},
			{What: "processor time of a hollow member, its sockets too", Unit: Cores, Ceiling: controlCore, Note: "with as many keys as that run has",
				Terms: func(c *Case) []Term { return []Term{at(scaleAggregation+scaleCPU, c.Proxies)} }},
			{What: "bytes of a member: reports to both, digests of one", Unit: TrafficPerSecond, Ceiling: controlBytes, Part: controlTraffic, Note: "without envelopes and headers",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeReportBytes, At: c.Keys, Times: aggregatorsPerRegion / reportInterval}, {Slope: slopeDigestBytes, At: c.Keys, Times: 1 / digestInterval}}
				}},
			{What: "bytes of a hollow member, in and out", Unit: TrafficPerSecond, Ceiling: controlBytes,
				Terms: func(c *Case) []Term {
					return []Term{at(scaleAggregation+scaleBytesIn, c.Proxies), at(scaleAggregation+scaleBytesOut, c.Proxies)}
				}},
			{What: "a change known to 99 in 100 hollow members", Unit: Seconds, Ceiling: withinTime, Note: "0.5 to 4.1 s in single trials, the most at the smallest size",
				Terms: func(c *Case) []Term { return []Term{at(scaleAggregation+scaleKnown99, c.Proxies)} }},
			{What: "one turn of all keys: report, region sum, digest", Unit: Seconds, Ceiling: withinTime, Note: "as long as a change of less than a tenth, or what a member holds at its start, may take",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeReportTurn, At: c.Keys, Times: reportInterval}, {Slope: slopeRegionSumTurn, At: c.Keys, Times: exchangeInterval},
						{Slope: slopeDigestTurn, At: c.Keys, Times: digestInterval}}
				}},
			{What: "one key's figure", Unit: Seconds, Terms: func(c *Case) []Term { return []Term{timed(slopeMemberFigure, c.Keys, 1)} }},
			{What: "members of an aggregator", Unit: Number, Ceiling: Ceiling{func(*Case) float64 { return maxAggregatorMembers }, "an aggregator's, as its file leaves it out"}, Worked: regionMembers, Note: "proxies / regions"},
			{What: "state of an aggregator", Unit: Bytes,
				Terms: func(c *Case) []Term { return []Term{at(slopeAggregatorState, regionMembers(c)*c.Keys)} }},
			{What: "processor time of an aggregator: reports, region sums, digests", Unit: Cores, Note: "no ceiling is given for these machines",
				Terms: func(c *Case) []Term {
					return []Term{timed(slopeAggregatorReport, regionMembers(c), regionMembers(c)/reportInterval),
						timed(slopeAggregatorRegionSum, c.Keys, 1/exchangeInterval), timed(slopeAggregatorDigest, c.Keys, 1/digestInterval)}
				}},
			{What: "processor time of an aggregator's process", Unit: Cores, Note: "in the scale run, which has the aggregators of all regions",
				Terms: func(c *Case) []Term { return []Term{at(scaleAggregation+scaleAggregatorCPU, c.Proxies)} }},
		},
	}
}

func controlMachines() Role {
	return Role{
		Name: "The machines set aside for control", Mechanism: "aggregators, two in each region; nothing else of the program runs there",
		Quantities: []Quantity{
			{What: "proxies to each", Unit: Number, Worked: func(c *Case) float64 { return c.ProxiesToMachine() }, Note: "proxies / machines"},
			{What: "members that each hears, two in a region", Unit: Number, Worked: regionMembers, Note: "proxies / regions, as each reports to both"},
			{What: "reports that each takes", Unit: PerSecond, Worked: func(c *Case) float64 { return regionMembers(c) / reportInterval }, Note: "members / the interval of reports"},
			{What: "bytes in: reports", Unit: TrafficPerSecond,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeReportBytes, At: c.Keys, Times: regionMembers(c) / reportInterval}}
				}},
			{What: "bytes out: digests to half of the region's members", Unit: TrafficPerSecond, Ceiling: machineBytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeDigestBytes, At: c.Keys, Times: regionMembers(c) / aggregatorsPerRegion / digestInterval}}
				}},
			{What: "the same to all of them, as its pair is down", Unit: TrafficPerSecond, Ceiling: machineBytes,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeDigestBytes, At: c.Keys, Times: regionMembers(c) / digestInterval}}
				}},
			{What: "memory of an aggregator's process", Unit: Bytes, Terms: func(c *Case) []Term { return []Term{at(scaleAggregation+scaleAggregatorSize, c.Proxies)} }},
			{What: "bytes in and out of an aggregator's process", Unit: TrafficPerSecond, Terms: func(c *Case) []Term {
				return []Term{at(scaleAggregation+scaleAggregatorIn, c.Proxies), at(scaleAggregation+scaleAggregatorOut, c.Proxies)}
			}},
		},
	}
}
