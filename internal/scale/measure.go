package scale

import (
	"context"
	"errors"

	"chalkferry/internal/aggregation"
)

// stopRealProxies stops the real proxies and records their number of sessions and of broken rules.
func (r *stepRun) stopRealProxies(context.Context) error {
	if r.real == nil {
		return nil
	}
	report, err := r.real.stop()
	r.real = nil
	if err != nil {
		return err
	}
	r.report.RealProxy.Sessions = report.Sessions
	r.report.RealProxy.RulesBroken = len(report.Rules)
	return nil
}

// measureProcesses returns the usage of the list service, followed by that of the workers in order.
func (r *stepRun) measureProcesses() ([]*Usage, error) {
	replies, err := askAll(append([]*child{r.list}, r.workers...), func(int) Request { return Request{Measure: &Measure{}} })
	if err != nil {
		return nil, err
	}
	usages := make([]*Usage, len(replies))
	for i, reply := range replies {
		if usages[i] = reply.Usage; usages[i] == nil {
			return nil, errors.New("a process replied without its usage")
		}
	}
	return usages, nil
}

// measureAll measures list service, workers and aggregators, before or after a measured interval. The aggregators come first
// before the interval and last after it.
func (r *stepRun) measureAll(ctx context.Context, isBefore bool) ([]*Usage, []aggregatorUsage, error) {
	var aggregators []aggregatorUsage
	if isBefore {
		aggregators = r.aggregators.measure(ctx, true)
	}
	usages, err := r.measureProcesses()
	if !isBefore {
		aggregators = r.aggregators.measure(ctx, false)
	}
	return usages, aggregators, err
}

// measureWithoutChanges records what each role uses while nothing changes, and how exact the members' sums are.
func (r *stepRun) measureWithoutChanges(ctx context.Context) error {
	before, aggregatorsBefore, err := r.measureAll(ctx, true)
	if err != nil {
		return err
	}
	realBefore, err := r.measureRealProxies()
	if err != nil {
		return err
	}
	if err := sleep(ctx, r.plan.For.D()); err != nil {
		return err
	}
	realAfter, err := r.measureRealProxies()
	if err != nil {
		return err
	}
	after, aggregatorsAfter, err := r.measureAll(ctx, false)
	if err != nil {
		return err
	}
	if r.real != nil {
		r.report.RealProxy = &RealUsage{}
		r.report.RealProxy.setDifference(realBefore, realAfter)
	}
	r.report.recordUsage(before, after)
	r.report.Aggregators = r.aggregators.report(aggregatorsBefore, aggregatorsAfter)
	r.report.Sum, err = r.readSums()
	return err
}

// readSums compares the common count's sum at each member with the true one.
func (r *stepRun) readSums() (SumAccuracy, error) {
	replies, err := askAll(r.workers, func(int) Request { return Request{Sums: &ReadSums{}} })
	if err != nil {
		return SumAccuracy{}, err
	}
	var sums []aggregation.Figure
	for _, reply := range replies {
		sums = append(sums, reply.Sums...)
	}
	return newSumAccuracy(sums, float64(r.hollow)*commonHeld), nil
}

// measureRealProxies returns the usage of the real proxies, zero if there are none.
func (r *stepRun) measureRealProxies() (realUsage, error) {
	if r.real == nil {
		return realUsage{}, nil
	}
	return r.real.measure()
}

// measureLateness records how late the generator's ticks were in the worker processes, since their start.
func (r *stepRun) measureLateness(context.Context) error {
	usages, err := r.measureProcesses()
	if err != nil {
		return err
	}
	r.report.recordLateness(usages[1:])
	return nil
}
