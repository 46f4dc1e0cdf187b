package scale

import (
	"context"
	"math"
	"time"
)

// workerOf returns the process that has a member.
func (r *run) workerOf(member int) *child {
	at := 0
	for i, first := range r.first {
		if member >= first {
			at = i
		}
	}
	return r.workers[at]
}

// await makes a change and has all workers wait until their members know of it, real proxies too where it is a sum's.
func (r *run) await(ctx context.Context, request AwaitChange, change func() (at int64, err error)) (hollow, real Spread, skipped int, err error) {
	at, err := change()
	if err != nil {
		return hollow, real, 0, err
	}
	knownReal := make(chan []int64, 1)
	go func() {
		if r.real == nil || request.Revision > 0 { // real ones watch a list of their own
			knownReal <- nil
			return
		}
		knownReal <- r.real.await(ctx, request.Sums, request.Timeout)
	}()
	replies, err := askAll(r.workers, func(int) Request { return Request{Await: &request} })
	real = newSpread(at, <-knownReal)
	if err != nil {
		return hollow, real, 0, err
	}
	var known []int64
	for _, reply := range replies {
		known = append(known, reply.Known...)
		skipped += reply.Skipped
	}
	return newSpread(at, known), real, skipped, nil
}

// Changes of the marked count: each makes its sum so many times what it was, far beyond the share that aggregators send
// at once. Half of the members that held some of it before may just be starting again.
const (
	firstMark     = 10
	markGrowth    = 3
	seenFromShare = 0.4 // of the growth, for the change to be known
)

// changeCount has a member hold more of the marked count, and waits until all members that are not skipped know.
func (r *run) changeCount(ctx context.Context, marker int, skipZones []int, timeout time.Duration) (hollow, real Spread, skipped int, err error) {
	was := r.marked
	grows := uint32(firstMark)
	if was > 0 {
		grows = (markGrowth - 1) * was
	}
	r.marked += grows
	r.marks[marker] += grows
	bound := SumBound{Name: markedName, AtLeast: float64(was) + seenFromShare*float64(grows), AtMost: math.MaxFloat64}
	return r.await(ctx, AwaitChange{Sums: []SumBound{bound}, SkipZones: skipZones, Timeout: timeout}, func() (int64, error) {
		reply, err := r.workerOf(marker).ask(Request{Publish: &PublishMark{Member: marker, Value: r.marks[marker]}})
		return reply.At, err
	})
}

func (r *run) changeCounts(ctx context.Context) error {
	marker := r.markerBeside(Fault{})
	for range r.plan.Trials {
		spread, real, _, err := r.changeCount(ctx, marker, nil, r.plan.Timeout.D())
		if err != nil {
			return err
		}
		r.report.CountChanges = append(r.report.CountChanges, spread)
		if r.real != nil {
			r.report.RealChanges = append(r.report.RealChanges, real)
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) changeList(ctx context.Context) error {
	for n := range r.plan.Trials {
		r.revision++
		phase := "draining"
		if n%2 == 1 {
			phase = "ready"
		}
		spread, _, _, err := r.await(ctx, AwaitChange{Revision: r.revision, Timeout: r.plan.Timeout.D()}, func() (int64, error) {
			reply, err := r.list.ask(Request{Change: &ChangeList{Server: 0, Phase: phase}})
			return reply.At, err
		})
		if err != nil {
			return err
		}
		r.report.ListChanges = append(r.report.ListChanges, spread)
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) applySettings(context.Context) error {
	settings, err := memberSettings(r.hollow, r.plan.Zones)
	if err != nil {
		return err
	}
	replies, err := askAll(r.workers, func(int) Request { return Request{Apply: &ApplySettings{Settings: settings}} })
	if err != nil {
		return err
	}
	var all time.Duration
	for _, reply := range replies {
		for _, took := range reply.Took {
			all += took
		}
	}
	r.report.SettingsMicroseconds = float64(all.Nanoseconds()) / 1e3 / float64(r.hollow)
	return nil
}
