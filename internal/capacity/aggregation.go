package capacity

import "chalkferry/internal/sharing"

// Names of the slopes of the benchmarks of counts by aggregators. What whole processes use is measured by the scale run.
const (
	slopeMemberState         = "SumsMemberState.held-B"            // by keys
	slopeMemberReport        = "SumsMemberReport.ns/op"            // by keys: to make one report
	slopeReportBytes         = "SumsMemberReport.report-B"         // by keys
	slopeReportTurn          = "SumsMemberReport.reports/turn"     // by keys: reports until each key was sent
	slopeMemberDigest        = "SumsMemberDigest.ns/op"            // by keys: to take one digest in
	slopeMemberFigure        = "SumsMemberFigure.ns/op"            // by keys
	slopeAggregatorState     = "SumsAggregatorState.held-B"        // by counts: members times the keys of each
	slopeAggregatorReport    = "SumsAggregatorReport.ns/op"        // by members: to take one report in
	slopeAggregatorDigest    = "SumsAggregatorDigest.ns/op"        // by keys: to make one digest
	slopeDigestBytes         = "SumsAggregatorDigest.digest-B"     // by keys
	slopeDigestTurn          = "SumsAggregatorDigest.digests/turn" // by keys: digests until each key was sent
	slopeAggregatorRegionSum = "SumsAggregatorRegionSum.ns/op"     // by keys: to make one region sum
	slopeRegionSumTurn       = "SumsAggregatorRegionSum.sums/turn" // by keys: region sums until each key was sent
)

// aggregatorsPerRegion is the number of aggregators in each region; each member reports to all of its region.
const aggregatorsPerRegion = 2.0

// Defaults of members and aggregators, used when their files set no value.
var (
	memberDefaults     = sharing.DefaultMemberConfig()
	aggregatorDefaults = sharing.DefaultAggregatorConfig()

	reportInterval       = memberDefaults.ReportInterval.Seconds()       // seconds between reports to each aggregator of the region
	digestInterval       = aggregatorDefaults.DigestInterval.Seconds()   // seconds between digests to each subscriber
	exchangeInterval     = aggregatorDefaults.ExchangeInterval.Seconds() // seconds between region sums to each other aggregator
	maxMemberKeys        = float64(memberDefaults.MaxKeys)
	maxAggregatorMembers = float64(aggregatorDefaults.MaxMembers)
)

// membersPerAggregator returns how many members report to each aggregator: all of its region, as each member reports to every
// aggregator there.
func membersPerAggregator(c *Case) float64 { return c.Proxies / c.Regions }

func aggregationRole() Role {
	return Role{
		Name: "Counts over the fleet: aggregators", Mechanism: "two aggregators in each region, without election; reports, region sums and digests at constant rates",
		Notes: []string{"Benchmarks measure the logic without sockets and encoding; what a member takes with them is measured by the scale run, as far as it has gone. One turn is until each key was sent once; what has changed by more than a tenth goes before its turn."},
		Quantities: []Quantity{
			{Label: "keys of a member", Unit: Number, Ceiling: Ceiling{func(*Case) float64 { return maxMemberKeys }, "a member's, as its file leaves it out"}, Computed: func(c *Case) float64 { return c.Keys }, Note: "keys"},
			{Label: "state of a member, with both digests", Unit: Bytes, Ceiling: controlMemoryCeiling, Part: controlMemory,
				Terms: func(c *Case) []Term { return []Term{termAt(slopeMemberState, c.Keys)} }},
			{Label: "processor time of a member: reports and digests", Unit: Cores, Ceiling: controlCoreCeiling, Part: controlCores,
				Terms: func(c *Case) []Term {
					return []Term{timeTerm(slopeMemberReport, c.Keys, 1/reportInterval), timeTerm(slopeMemberDigest, c.Keys, 1/digestInterval)}
				}},
			{Label: "processor time of a hollow member, its sockets too", Unit: Cores, Ceiling: controlCoreCeiling, Note: "with as many keys as that run has",
				Terms: func(c *Case) []Term { return []Term{termAt(scaleAggregation+scaleCPU, c.Proxies)} }},
			{Label: "bytes of a member: reports to both, digests of one", Unit: TrafficPerSecond, Ceiling: controlBytesCeiling, Part: controlTraffic, Note: "without envelopes and headers",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeReportBytes, X: c.Keys, Multiplier: aggregatorsPerRegion / reportInterval}, {Slope: slopeDigestBytes, X: c.Keys, Multiplier: 1 / digestInterval}}
				}},
			{Label: "bytes of a hollow member, in and out", Unit: TrafficPerSecond, Ceiling: controlBytesCeiling,
				Terms: func(c *Case) []Term {
					return []Term{termAt(scaleAggregation+scaleBytesIn, c.Proxies), termAt(scaleAggregation+scaleBytesOut, c.Proxies)}
				}},
			{Label: "a change known to 99 in 100 hollow members", Unit: Seconds, Ceiling: changeTimeCeiling, Note: "0.5 to 4.1 s in single trials, the most at the smallest size",
				Terms: func(c *Case) []Term { return []Term{termAt(scaleAggregation+scaleKnown99, c.Proxies)} }},
			{Label: "one turn of all keys: report, region sum, digest", Unit: Seconds, Ceiling: changeTimeCeiling, Note: "as long as a change of less than a tenth, or what a member holds at its start, may take",
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeReportTurn, X: c.Keys, Multiplier: reportInterval}, {Slope: slopeRegionSumTurn, X: c.Keys, Multiplier: exchangeInterval},
						{Slope: slopeDigestTurn, X: c.Keys, Multiplier: digestInterval}}
				}},
			{Label: "one key's figure", Unit: Seconds, Terms: func(c *Case) []Term { return []Term{timeTerm(slopeMemberFigure, c.Keys, 1)} }},
			{Label: "members of an aggregator", Unit: Number, Ceiling: Ceiling{func(*Case) float64 { return maxAggregatorMembers }, "an aggregator's, as its file leaves it out"}, Computed: membersPerAggregator, Note: "proxies / regions"},
			{Label: "state of an aggregator", Unit: Bytes,
				Terms: func(c *Case) []Term { return []Term{termAt(slopeAggregatorState, membersPerAggregator(c)*c.Keys)} }},
			{Label: "processor time of an aggregator: reports, region sums, digests", Unit: Cores, Note: "no ceiling is given for these machines",
				Terms: func(c *Case) []Term {
					return []Term{timeTerm(slopeAggregatorReport, membersPerAggregator(c), membersPerAggregator(c)/reportInterval),
						timeTerm(slopeAggregatorRegionSum, c.Keys, 1/exchangeInterval), timeTerm(slopeAggregatorDigest, c.Keys, 1/digestInterval)}
				}},
			{Label: "processor time of an aggregator's process", Unit: Cores, Note: "in the scale run, which has the aggregators of all regions",
				Terms: func(c *Case) []Term { return []Term{termAt(scaleAggregation+scaleAggregatorCPU, c.Proxies)} }},
		},
	}
}

func controlMachinesRole() Role {
	return Role{
		Name: "The machines set aside for control", Mechanism: "aggregators, two in each region; nothing else of the program runs there",
		Quantities: []Quantity{
			{Label: "proxies to each", Unit: Number, Computed: func(c *Case) float64 { return c.ProxiesPerControlMachine() }, Note: "proxies / machines"},
			{Label: "members that each hears, two in a region", Unit: Number, Computed: membersPerAggregator, Note: "proxies / regions, as each reports to both"},
			{Label: "reports that each takes", Unit: PerSecond, Computed: func(c *Case) float64 { return membersPerAggregator(c) / reportInterval }, Note: "members / the interval of reports"},
			{Label: "bytes in: reports", Unit: TrafficPerSecond,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeReportBytes, X: c.Keys, Multiplier: membersPerAggregator(c) / reportInterval}}
				}},
			{Label: "bytes out: digests to half of the region's members", Unit: TrafficPerSecond, Ceiling: controlMachineCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeDigestBytes, X: c.Keys, Multiplier: membersPerAggregator(c) / aggregatorsPerRegion / digestInterval}}
				}},
			{Label: "the same to all of them, as its pair is down", Unit: TrafficPerSecond, Ceiling: controlMachineCeiling,
				Terms: func(c *Case) []Term {
					return []Term{{Slope: slopeDigestBytes, X: c.Keys, Multiplier: membersPerAggregator(c) / digestInterval}}
				}},
			{Label: "memory of an aggregator's process", Unit: Bytes, Terms: func(c *Case) []Term { return []Term{termAt(scaleAggregation+scaleAggregatorSize, c.Proxies)} }},
			{Label: "bytes in and out of an aggregator's process", Unit: TrafficPerSecond, Terms: func(c *Case) []Term {
				return []Term{termAt(scaleAggregation+scaleAggregatorIn, c.Proxies), termAt(scaleAggregation+scaleAggregatorOut, c.Proxies)}
			}},
		},
	}
}
