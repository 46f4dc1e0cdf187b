package scale

import (
	"context"
	"errors"

	"chalkferry/internal/aggregation"
)

// endReal ends the real proxies and takes what their clients saw.
func (r *run) endReal(context.Context) error {
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

func (r *run) measure() ([]*Usage, error) {
	replies, err := askAll(append([]*child{r.list}, r.workers...), func(int) Request { return Request{Measure: &Measure{}} })
	if err != nil {
		return nil, err
	}
	usages := make([]*Usage, len(replies))
	for i, reply := range replies {
		if usages[i] = reply.Usage; usages[i] == nil {
			return nil, errors.New("a process did not say what it uses")
		}
	}
	return usages, nil
}

// measureAll measures list service, workers and aggregators on one side of a window.
func (r *run) measureAll(ctx context.Context, isBefore bool) ([]*Usage, []aggregatorUsage, error) {
	var aggregators []aggregatorUsage
	if isBefore {
		aggregators = r.aggregators.usage(ctx, true)
	}
	usages, err := r.measure()
	if !isBefore {
		aggregators = r.aggregators.usage(ctx, false)
	}
	return usages, aggregators, err
}

func (r *run) measureCalm(ctx context.Context) error {
	before, aggregatorsBefore, err := r.measureAll(ctx, true)
	if err != nil {
		return err
	}
	realBefore, err := r.measureReal()
	if err != nil {
		return err
	}
	if err := sleep(ctx, r.plan.For.D()); err != nil {
		return err
	}
	realAfter, err := r.measureReal()
	if err != nil {
		return err
	}
	after, aggregatorsAfter, err := r.measureAll(ctx, false)
	if err != nil {
		return err
	}
	if r.real != nil {
		r.report.RealProxy = &RealUsage{}
		r.report.RealProxy.measure(realBefore, realAfter)
	}
	r.report.calm(before, after)
	r.report.Aggregators = r.aggregators.report(aggregatorsBefore, aggregatorsAfter)
	r.report.Sum, err = r.readSums()
	return err
}

func (r *run) readSums() (Sums, error) {
	replies, err := askAll(r.workers, func(int) Request { return Request{Sums: &ReadSums{}} })
	if err != nil {
		return Sums{}, err
	}
	var sums []aggregation.Figure
	for _, reply := range replies {
		sums = append(sums, reply.Sums...)
	}
	return newSums(sums, float64(r.hollow)*commonHeld), nil
}

func (r *run) measureReal() (realUsage, error) {
	if r.real == nil {
		return realUsage{}, nil
	}
	return r.real.usage()
}

func (r *run) measureLateness(context.Context) error {
	usages, err := r.measure()
	if err != nil {
		return err
	}
	r.report.lateness(usages[1:])
	return nil
}
