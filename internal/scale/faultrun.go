package scale

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// FaultReport holds what was measured during and after one fault.
type FaultReport struct {
	Fault
	Seconds     float64            `json:"lasted_seconds"`
	Change      PropagationTimes   `json:"change_of_a_count_meanwhile"`  // of a count changed during the fault; without the members that are cut off
	CutOff      int                `json:"members_cut_off"`              // number of members that the change is not expected to reach
	Recovery    PropagationTimes   `json:"all_sums_right_after_its_end"` // from the end of the fault until the sums of all members are right
	Member      MemberUsage        `json:"hollow_member"`                // mean over the members, during the fault
	Aggregators []AggregatorReport `json:"aggregators"`                  // during the fault; without aggregators that were killed
	Sum         SumAccuracy        `json:"sum_at_its_end"`               // just before the fault is ended
	Restarts    int                `json:"restarts"`                     // members that were restarted during the fault
}

// sumTolerance is the share by which a member's sum may be off to count as right. It is above 0 because aggregators send
// small changes in turn, so that a sum lags behind them.
const sumTolerance = 0.01

// runFaults injects the plan's faults one after the other.
func (r *stepRun) runFaults(ctx context.Context) error {
	for _, fault := range r.plan.Faults {
		report, err := r.runFault(ctx, fault)
		if err != nil {
			return err
		}
		r.report.Faults = append(r.report.Faults, report)
	}
	return nil
}

// runFault injects one fault, changes the marked count while it lasts, and measures until all sums are right again.
func (r *stepRun) runFault(ctx context.Context, f Fault) (report FaultReport, err error) {
	report.Fault = f
	changingMember := r.pickChangingMember(f)
	before, aggregatorsBefore, err := r.measureAll(ctx, true)
	if err != nil {
		return report, err
	}
	began := time.Now()
	if err := r.beginFault(f, changingMember); err != nil {
		return report, err
	}
	skip := r.plan.cutZones(f)
	report.Change, _, report.CutOff, err = r.changeCount(ctx, changingMember, skip, f.For.D())
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
	if err := r.endFault(ctx, f); err != nil {
		return report, err
	}
	report.Recovery, err = r.awaitSums(ctx, r.plan.Timeout.D())
	return report, err
}

// restarts returns the number of member restarts over all processes.
func restarts(usages []*Usage) (n int) {
	for _, usage := range usages {
		n += usage.Restarts
	}
	return n
}

// pickChangingMember draws a member whose change the fault does not keep from the others, and which is not mute.
func (r *stepRun) pickChangingMember(f Fault) int {
	unheard := r.plan.unheardZones(f)
	for {
		member := r.rng.Intn(r.hollow)
		if !slices.Contains(unheard, r.plan.zoneOf(member)) && !slices.Contains(r.plan.Mute, member) {
			return member
		}
	}
}

// beginFault injects the fault. The changing member is kept from being restarted, as its change would be lost.
func (r *stepRun) beginFault(f Fault, changingMember int) error {
	switch f.Kind {
	case FaultLossy:
		r.aggregators.setImpairment(f.Share, noCut)
		return r.impairMembers(Impairment{Lost: f.Share, Doubled: f.Share, Reordered: f.Share})
	case FaultZoneCut:
		return r.impairMembers(Impairment{CutIn: []int{f.Zone}, CutOut: []int{f.Zone}})
	case FaultZoneCutOut:
		return r.impairMembers(Impairment{CutOut: []int{f.Zone}})
	case FaultRegionCut:
		r.aggregators.setImpairment(0, func(from, to int) bool { return from != to && (from == f.Region || to == f.Region) })
	case FaultRegionCutOut:
		r.aggregators.setImpairment(0, func(from, to int) bool { return from != to && from == f.Region })
	case FaultRestart:
		return r.restartMembers(f.Share, f.For.D(), changingMember)
	case FaultStartAll:
		return r.restartMembers(1, 0, changingMember)
	case FaultAggregatorKill:
		r.aggregators.processes[f.Aggregator].kill()
	case FaultAggregatorFreeze:
		return r.aggregators.processes[f.Aggregator].signal(syscall.SIGSTOP)
	}
	return nil
}

// noCut cuts no link.
func noCut(int, int) bool { return false }

// endFault undoes the fault. Restarts of members need no undoing.
func (r *stepRun) endFault(ctx context.Context, f Fault) error {
	switch f.Kind {
	case FaultLossy, FaultZoneCut, FaultZoneCutOut, FaultRegionCut, FaultRegionCutOut:
		r.aggregators.setImpairment(0, noCut)
		return r.impairMembers(Impairment{})
	case FaultAggregatorKill:
		a := r.aggregators.processes[f.Aggregator]
		if err := a.start(); err != nil {
			return err
		}
		return a.waitReady(ctx)
	case FaultAggregatorFreeze:
		return r.aggregators.processes[f.Aggregator].signal(syscall.SIGCONT)
	}
	return nil
}

// impairMembers changes the simulated network of all hollow members.
func (r *stepRun) impairMembers(impairment Impairment) error {
	_, err := askAll(r.workers, func(int) Request { return Request{Impair: &impairment} })
	return err
}

// restartMembers restarts a share of the members, spread over a time, except the member keep.
func (r *stepRun) restartMembers(share float64, within time.Duration, keep int) error {
	_, err := askAll(r.workers, func(i int) Request {
		return Request{Restart: &Restart{Share: share, Within: within, Seed: r.plan.Seed + int64(i), Keep: keep}}
	})
	return err
}

// awaitSums waits until the sums of the common count are right at all members, for the timeout at most.
func (r *stepRun) awaitSums(ctx context.Context, timeout time.Duration) (PropagationTimes, error) {
	trueSum := float64(r.hollow) * commonHeld
	bounds := []SumBound{{Name: commonName, AtLeast: trueSum * (1 - sumTolerance), AtMost: trueSum * (1 + sumTolerance)}}
	hollow, _, _, err := r.await(ctx, AwaitChange{Sums: bounds, Timeout: timeout}, func() (int64, error) {
		return time.Now().UnixNano(), nil
	})
	return hollow, err
}

// memberMean returns the mean usage of a hollow member between two measurements, including its share of its process.
func memberMean(before, after []*Usage) (m MemberUsage) {
	members := 0.0
	for i := 1; i < len(after); i++ {
		first, last := before[i], after[i]
		span := float64(last.At-first.At) / 1e9
		members += float64(last.Members)
		m.CPUShare += (last.CPU - first.CPU).Seconds() / span
		m.MemoryBytes += float64(last.Resident)
		m.BytesIn += float64(last.Sharing.BytesIn-first.Sharing.BytesIn) / span
		m.BytesOut += float64(last.Sharing.BytesOut-first.Sharing.BytesOut) / span
		m.PacketsIn += float64(last.Sharing.PacketsIn-first.Sharing.PacketsIn) / span
		m.PacketsOut += float64(last.Sharing.PacketsOut-first.Sharing.PacketsOut) / span
	}
	for _, sum := range []*float64{&m.CPUShare, &m.MemoryBytes, &m.BytesIn, &m.BytesOut, &m.PacketsIn, &m.PacketsOut} {
		*sum /= members
	}
	m.Processes, m.PayloadOnly = len(after)-1, true
	return m
}
