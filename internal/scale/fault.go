package scale

import (
	"fmt"
	"slices"
	"strings"

	"chalkferry/internal/strict"
)

// FaultKind is what goes wrong.
type FaultKind string

// Kinds of faults. Zones and regions are cut off from aggregators and from other regions, not from the list.
const (
	FaultLossy            FaultKind = "lossy"             // a share of all datagrams is lost, as much doubled, as much overtaken
	FaultZoneCut          FaultKind = "zone-cut"          // a zone's members and their aggregators don't reach each other
	FaultZoneCutOut       FaultKind = "zone-cut-out"      // a zone's members don't reach their aggregators, and receive
	FaultRegionCut        FaultKind = "region-cut"        // a region's aggregators and those of others don't reach each other
	FaultRegionCutOut     FaultKind = "region-cut-out"    // a region's aggregators don't reach the others, and receive
	FaultRestart          FaultKind = "restart"           // a share of the members is restarted, spread over the time
	FaultStartAll         FaultKind = "start-all"         // all members are restarted at once
	FaultAggregatorKill   FaultKind = "aggregator-kill"   // kill -9; started again, empty, at the end
	FaultAggregatorFreeze FaultKind = "aggregator-freeze" // SIGSTOP; SIGCONT at the end
)

// faultNeeds says which keys a kind has, and whether a change is not expected to be known everywhere while it lasts.
var faultNeeds = map[FaultKind]struct {
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

// Fault is one fault; a step has them one after the other, each after the one before has healed.
type Fault struct {
	Kind       FaultKind   `json:"kind"`
	For        strict.Span `json:"for"`
	Share      float64     `json:"share,omitempty"`
	Zone       int         `json:"zone,omitempty"`
	Region     int         `json:"region,omitempty"`
	Aggregator int         `json:"aggregator,omitempty"`
}

// Defaults of a fault that is named by its kind alone.
const (
	defaultLoss    = 0.05
	defaultRestart = 0.17
	lastRegion     = 1 // from the end: the first has the member that changes a count
)

// NamedFault returns a fault of a kind as the operators' letter has it; ok is false for an unknown kind.
func (p *Plan) NamedFault(kind string) (f Fault, ok bool) {
	f = Fault{Kind: FaultKind(kind), For: defaultFaultSpan}
	needs, ok := faultNeeds[f.Kind]
	switch f.Kind {
	case FaultLossy:
		f.Share = defaultLoss
	case FaultRestart:
		f.Share, f.For = defaultRestart, defaultRestartSpan
	}
	if needs.region {
		f.Region = p.Regions - lastRegion
	}
	if needs.zone {
		f.Zone = p.Zones - 1
	}
	return f, ok
}

// FaultKinds are all kinds, in order.
func FaultKinds() []string {
	var kinds []string
	for kind := range faultNeeds {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return kinds
}

func (p *Plan) checkFaults(f *strict.File) error {
	for i, fault := range p.Faults {
		at := fmt.Sprintf("fault[%d].", i)
		needs, known := faultNeeds[fault.Kind]
		if !known {
			return f.Errorf(at+"kind", "%q is none of %s", fault.Kind, strings.Join(FaultKinds(), ", "))
		}
		for _, v := range []struct {
			key  string
			bad  bool
			text string
		}{
			{"for", fault.For < minFaultSpan, "must be 1s or more"},
			{"share", needs.share && (fault.Share <= 0 || fault.Share > 1), "must be above 0, 1 at most"},
			{"share", !needs.share && fault.Share != 0, "a " + string(fault.Kind) + " has none"},
			{"zone", fault.Zone < 0 || fault.Zone >= p.Zones, "there is no such zone"},
			{"zone", !needs.zone && fault.Zone != 0, "a " + string(fault.Kind) + " has none"},
			{"region", fault.Region < 0 || fault.Region >= p.Regions, "there is no such region"},
			{"region", !needs.region && fault.Region != 0, "a " + string(fault.Kind) + " has none"},
			{"aggregator", fault.Aggregator < 0 || fault.Aggregator >= p.Regions*aggregatorsPerRegion, "there is no such aggregator"},
			{"aggregator", !needs.aggregator && fault.Aggregator != 0, "a " + string(fault.Kind) + " has none"},
		} {
			if v.bad {
				return f.Errorf(at+v.key, "%s", v.text)
			}
		}
	}
	return nil
}

// cutZones are the zones whose members a fault keeps from knowing of a change elsewhere while it lasts.
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

// unheardZones are the zones whose members' counts a fault keeps from others while it lasts.
func (p *Plan) unheardZones(f Fault) (zones []int) {
	for zone := range p.Zones {
		if f.Kind == FaultRegionCutOut && p.regionOf(zone) == f.Region {
			zones = append(zones, zone)
		}
	}
	return append(zones, p.cutZones(f)...)
}
