package scale

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// FaultReport is what a fault did.
type FaultReport struct {
	Fault
	Seconds     float64            `json:"lasted_seconds"`
	Change      Spread             `json:"change_of_a_count_meanwhile"` // among the members that are not cut off
	CutOff      int                `json:"members_cut_off"`
	Recovery    Spread             `json:"all_sums_right_after_its_end"` // of all members
	Member      MemberUsage        `json:"hollow_member"`                // the mean while it lasted
	Aggregators []AggregatorReport `json:"aggregators"`                  // the same; without those that were killed
	Sum         Sums               `json:"sum_at_its_end"`
	Restarts    int                `json:"restarts"`
}

// sumTolerance is the share by which a member's sum may be off to count as right: small changes go down in turn.
const sumTolerance = 0.01

func (r *run) runFaults(ctx context.Context) error {
	for _, fault := range r.plan.Faults {
		report, err := r.runFault(ctx, fault)
		if err != nil {
			return err
		}
		r.report.Faults = append(r.report.Faults, report)
	}
	return nil
}

func (r *run) runFault(ctx context.Context, f Fault) (report FaultReport, err error) {
	report.Fault = f
	marker := r.markerBeside(f)
	before, aggregatorsBefore, err := r.measureAll(ctx, true)
	if err != nil {
		return report, err
	}
	began := time.Now()
	if err := r.begin(f, marker); err != nil {
		return report, err
	}
	skip := r.plan.cutZones(f)
	report.Change, _, report.CutOff, err = r.changeCount(ctx, marker, skip, f.For.D())
	if err != nil {
		return report, err
	}
	if err := sleep(ctx, time.Until(began.Add(f.For.D()))); err != nil {
		return report, err
	}
	after, aggregatorsAfter, err := r.measureAll(ctx, false)
	if err != nil {
		return report, err
	}
	report.Member = memberMean(before, after)
	report.Restarts = restarts(after) - restarts(before)
	report.Aggregators = r.aggregators.report(aggregatorsBefore, aggregatorsAfter)
	if report.Sum, err = r.readSums(); err != nil {
		return report, err
	}
	report.Seconds = seconds(time.Since(began))
	if err := r.end(ctx, f); err != nil {
		return report, err
	}
	report.Recovery, err = r.awaitSums(ctx, r.plan.Timeout.D())
	return report, err
}

func restarts(usages []*Usage) (n int) {
	for _, usage := range usages {
		n += usage.Restarts
	}
	return n
}

// markerBeside returns a member whose change is not kept from others by a fault.
func (r *run) markerBeside(f Fault) int {
	unheard := r.plan.unheardZones(f)
	for {
		member := r.rng.Intn(r.hollow)
		if !slices.Contains(unheard, r.plan.zoneOf(member)) && !slices.Contains(r.plan.Mute, member) {
			return member
		}
	}
}

func (r *run) begin(f Fault, marker int) error {
	switch f.Kind {
	case FaultLossy:
		r.aggregators.impair(f.Share, never)
		return r.impairMembers(Impairment{Lost: f.Share, Doubled: f.Share, Reordered: f.Share})
	case FaultZoneCut:
		return r.impairMembers(Impairment{CutIn: []int{f.Zone}, CutOut: []int{f.Zone}})
	case FaultZoneCutOut:
		return r.impairMembers(Impairment{CutOut: []int{f.Zone}})
	case FaultRegionCut:
		r.aggregators.impair(0, func(from, to int) bool { return from != to && (from == f.Region || to == f.Region) })
	case FaultRegionCutOut:
		r.aggregators.impair(0, func(from, to int) bool { return from != to && from == f.Region })
	case FaultRestart:
		return r.restartMembers(f.Share, f.For.D(), marker)
	case FaultStartAll:
		return r.restartMembers(1, 0, marker)
	case FaultAggregatorKill:
		r.aggregators.each[f.Aggregator].kill()
	case FaultAggregatorFreeze:
		return r.aggregators.each[f.Aggregator].signal(syscall.SIGSTOP)
	}
	return nil
}

func never(int, int) bool { return false }

func (r *run) end(ctx context.Context, f Fault) error {
	switch f.Kind {
	case FaultLossy, FaultZoneCut, FaultZoneCutOut, FaultRegionCut, FaultRegionCutOut:
		r.aggregators.impair(0, never)
		return r.impairMembers(Impairment{})
	case FaultAggregatorKill:
		a := r.aggregators.each[f.Aggregator]
		if err := a.start(); err != nil {
			return err
		}
		return a.ready(ctx)
	case FaultAggregatorFreeze:
		return r.aggregators.each[f.Aggregator].signal(syscall.SIGCONT)
	}
	return nil
}

func (r *run) impairMembers(impairment Impairment) error {
	_, err := askAll(r.workers, func(int) Request { return Request{Impair: &impairment} })
	return err
}

func (r *run) restartMembers(share float64, within time.Duration, keep int) error {
	_, err := askAll(r.workers, func(i int) Request {
		return Request{Restart: &Restart{Share: share, Within: within, Seed: r.plan.Seed + int64(i), Keep: keep}}
	})
	return err
}

// awaitSums waits until the sums of all members are right, or for a time at most.
func (r *run) awaitSums(ctx context.Context, timeout time.Duration) (Spread, error) {
	truth := float64(r.hollow) * commonHeld
	bounds := []SumBound{{Name: commonName, AtLeast: truth * (1 - sumTolerance), AtMost: truth * (1 + sumTolerance)}}
	hollow, _, _, err := r.await(ctx, AwaitChange{Sums: bounds, Timeout: timeout}, func() (int64, error) {
		return time.Now().UnixNano(), nil
	})
	return hollow, err
}

// memberMean is what a hollow member used between two measurements, with its share of its process.
func memberMean(before, after []*Usage) (m MemberUsage) {
	members := 0.0
	for i := 1; i < len(after); i++ {
		was, is := before[i], after[i]
		span := float64(is.At-was.At) / 1e9
		members += float64(is.Members)
		m.CPUShare += (is.CPU - was.CPU).Seconds() / span
		m.MemoryBytes += float64(is.Resident)
		m.BytesIn += float64(is.Sharing.BytesIn-was.Sharing.BytesIn) / span
		m.BytesOut += float64(is.Sharing.BytesOut-was.Sharing.BytesOut) / span
		m.PacketsIn += float64(is.Sharing.PacketsIn-was.Sharing.PacketsIn) / span
		m.PacketsOut += float64(is.Sharing.PacketsOut-was.Sharing.PacketsOut) / span
	}
	for _, sum := range []*float64{&m.CPUShare, &m.MemoryBytes, &m.BytesIn, &m.BytesOut, &m.PacketsIn, &m.PacketsOut} {
		*sum /= members
	}
	m.Processes, m.PayloadOnly = len(after)-1, true
	return m
}
