package scale

import (
	"fmt"
	"slices"
	"strings"

	"chalkferry/internal/strict"
)

// FaultKind names a kind of fault, as in the plan and the report.
type FaultKind string

// Kinds of faults. A zone or region that is cut off loses its aggregators or the other regions; it still reaches the
// discovery service.
const (
	FaultLossy            FaultKind = "lossy"             // of all datagrams, equal shares are lost, duplicated and reordered
	FaultZoneCut          FaultKind = "zone-cut"          // a zone's members and their aggregators don't reach each other
	FaultZoneCutOut       FaultKind = "zone-cut-out"      // a zone's members don't reach their aggregators but receive from them
	FaultRegionCut        FaultKind = "region-cut"        // a region's aggregators and those of other regions don't reach each other
	FaultRegionCutOut     FaultKind = "region-cut-out"    // a region's aggregators don't reach those of other regions but receive from them
	FaultRestart          FaultKind = "restart"           // a share of the members is restarted, spread over the fault's duration
	FaultStartAll         FaultKind = "start-all"         // all members are restarted at once
	FaultAggregatorKill   FaultKind = "aggregator-kill"   // SIGKILL; started again without state at the end
	FaultAggregatorFreeze FaultKind = "aggregator-freeze" // SIGSTOP; SIGCONT at the end
)

// faultKeys lists which of the optional keys each kind takes.
var faultKeys = map[FaultKind]struct {
	share, zone, region, aggregator bool
}{
	FaultLossy:            {share: true},
	FaultZoneCut:          {zone: true},
	FaultZoneCutOut:       {zone: true},
	FaultRegionCut:        {region: true},
	FaultRegionCutOut:     {region: true},
	FaultRestart:          {share: true},
	FaultStartAll:         {},
	FaultAggregatorKill:   {aggregator: true},
	FaultAggregatorFreeze: {aggregator: true},
}

// Fault is one fault of a plan. The faults of a step are injected one after the other, each after recovery from the one
// before. Which of Share, Zone, Region and Aggregator apply depends on Kind.
type Fault struct {
	Kind       FaultKind   `json:"kind"`
	For        strict.Span `json:"for"`                  // duration
	Share      float64     `json:"share,omitempty"`      // of the datagrams or members
	Zone       int         `json:"zone,omitempty"`       // index
	Region     int         `json:"region,omitempty"`     // index
	Aggregator int         `json:"aggregator,omitempty"` // index
}

// Default values of a fault that is given by its kind alone.
const (
	defaultLoss    = 0.05 // share of the datagrams
	defaultRestart = 0.17 // share of the members
	lastRegion     = 1    // counted from the end: the first region has the member that changes a count
)

// DefaultFault returns a fault of a kind with default values. ok is false for an unknown kind.
func (p *Plan) DefaultFault(kind string) (f Fault, ok bool) {
	f = Fault{Kind: FaultKind(kind), For: defaultFaultSpan}
	keys, ok := faultKeys[f.Kind]
	switch f.Kind {
	case FaultLossy:
		f.Share = defaultLoss
	case FaultRestart:
		f.Share, f.For = defaultRestart, defaultRestartSpan
	}
	if keys.region {
		f.Region = p.Regions - lastRegion
	}
	if keys.zone {
		f.Zone = p.Zones - 1
	}
	return f, ok
}

// FaultKinds returns all kinds, sorted.
func FaultKinds() []string {
	var kinds []string
	for kind := range faultKeys {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return kinds
}

// checkFaults validates the plan's faults: their kinds, ranges, and that each has only the keys of its kind.
func (p *Plan) checkFaults(f *strict.File) error {
	for i, fault := range p.Faults {
		prefix := fmt.Sprintf("fault[%d].", i)
		keys, known := faultKeys[fault.Kind]
		if !known {
			return f.Errorf(prefix+"kind", "%q is none of %s", fault.Kind, strings.Join(FaultKinds(), ", "))
		}
		for _, v := range []struct {
			key     string
			invalid bool
			text    string
		}{
			{"for", fault.For < minFaultSpan, "must be 1s or more"},
			{"share", keys.share && (fault.Share <= 0 || fault.Share > 1), "must be above 0, 1 at most"},
			{"share", !keys.share && fault.Share != 0, "a " + string(fault.Kind) + " has none"},
			{"zone", fault.Zone < 0 || fault.Zone >= p.Zones, "there is no such zone"},
			{"zone", !keys.zone && fault.Zone != 0, "a " + string(fault.Kind) + " has none"},
			{"region", fault.Region < 0 || fault.Region >= p.Regions, "there is no such region"},
			{"region", !keys.region && fault.Region != 0, "a " + string(fault.Kind) + " has none"},
			{"aggregator", fault.Aggregator < 0 || fault.Aggregator >= p.Regions*aggregatorsPerRegion, "there is no such aggregator"},
			{"aggregator", !keys.aggregator && fault.Aggregator != 0, "a " + string(fault.Kind) + " has none"},
		} {
			if v.invalid {
				return f.Errorf(prefix+v.key, "%s", v.text)
			}
		}
	}
	return nil
}

// cutZones returns the zones whose members can't learn of a change elsewhere while the fault lasts.
func (p *Plan) cutZones(f Fault) (zones []int) {
	for zone := range p.Zones {
		switch {
		case (f.Kind == FaultZoneCut || f.Kind == FaultZoneCutOut) && zone == f.Zone,
			f.Kind == FaultRegionCut && p.regionOf(zone) == f.Region:
			zones = append(zones, zone)
		}
	}
	return zones
}

// unheardZones returns the zones whose members' counts don't reach all others while the fault lasts.
func (p *Plan) unheardZones(f Fault) (zones []int) {
	for zone := range p.Zones {
		if f.Kind == FaultRegionCutOut && p.regionOf(zone) == f.Region {
			zones = append(zones, zone)
		}
	}
	return append(zones, p.cutZones(f)...)
}
