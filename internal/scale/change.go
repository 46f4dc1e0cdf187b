package scale

import (
	"context"
	"math"
	"time"
)

// workerOf returns the process that holds a member.
func (r *stepRun) workerOf(member int) *child {
	index := 0
	for i, first := range r.firstMembers {
		if member >= first {
			index = i
		}
	}
	return r.workers[index]
}

// await makes a change and has all workers wait until their members know of it. For a change of a sum it waits for the real
// proxies as well. skipped is the number of members that were not waited for.
func (r *stepRun) await(ctx context.Context, request AwaitChange, change func() (changedAt int64, err error)) (hollow, real PropagationTimes, skipped int, err error) {
	changedAt, err := change()
	if err != nil {
		return hollow, real, 0, err
	}
	knownReal := make(chan []int64, 1)
	go func() {
		if r.real == nil || request.Revision > 0 { // real proxies watch a server list of their own
			knownReal <- nil
			return
		}
		knownReal <- r.real.await(ctx, request.Sums, request.Timeout)
	}()
	replies, err := askAll(r.workers, func(int) Request { return Request{Await: &request} })
	real = newPropagationTimes(changedAt, <-knownReal)
	if err != nil {
		return hollow, real, 0, err
	}
	var known []int64
	for _, reply := range replies {
		known = append(known, reply.Known...)
		skipped += reply.Skipped
	}
	return newPropagationTimes(changedAt, known), real, skipped, nil
}

// Changes of the marked count. Each multiplies the sum by markGrowthFactor, far above the share of change that
// aggregators send at once. A change counts as known from knownGrowthShare of the growth on, not from all of it: up to
// half of the members that held some of the count before may be restarting.
const (
	initialMark      = 10  // sessions that the first change adds
	markGrowthFactor = 3   // ratio of the sum after a change to the sum before
	knownGrowthShare = 0.4 // share of the growth that a sum must show for the change to be known
)

// changeCount has a member hold more of the marked count, and waits until all members outside skipZones know of it.
func (r *stepRun) changeCount(ctx context.Context, changingMember int, skipZones []int, timeout time.Duration) (hollow, real PropagationTimes, skipped int, err error) {
	previous := r.marked
	growth := uint32(initialMark)
	if previous > 0 {
		growth = (markGrowthFactor - 1) * previous
	}
	r.marked += growth
	r.marks[changingMember] += growth
	bound := SumBound{Name: markedName, AtLeast: float64(previous) + knownGrowthShare*float64(growth), AtMost: math.MaxFloat64}
	return r.await(ctx, AwaitChange{Sums: []SumBound{bound}, SkipZones: skipZones, Timeout: timeout}, func() (int64, error) {
		reply, err := r.workerOf(changingMember).ask(Request{Publish: &PublishMark{Member: changingMember, Value: r.marks[changingMember]}})
		return reply.At, err
	})
}

// changeCounts runs the plan's trials: changes of the marked count, one after the other, with a second in between.
func (r *stepRun) changeCounts(ctx context.Context) error {
	changingMember := r.pickChangingMember(Fault{})
	for range r.plan.Trials {
		times, real, _, err := r.changeCount(ctx, changingMember, nil, r.plan.Timeout.D())
		if err != nil {
			return err
		}
		r.report.CountChanges = append(r.report.CountChanges, times)
		if r.real != nil {
			r.report.RealChanges = append(r.report.RealChanges, real)
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

// changeList runs the plan's trials on the server list: the first server's phase alternates between draining and ready.
func (r *stepRun) changeList(ctx context.Context) error {
	for n := range r.plan.Trials {
		r.revision++
		phase := "draining"
		if n%2 == 1 {
			phase = "ready"
		}
		times, _, _, err := r.await(ctx, AwaitChange{Revision: r.revision, Timeout: r.plan.Timeout.D()}, func() (int64, error) {
			reply, err := r.list.ask(Request{Change: &ChangeList{Server: 0, Phase: phase}})
			return reply.At, err
		})
		if err != nil {
			return err
		}
		r.report.ListChanges = append(r.report.ListChanges, times)
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

// applySettings has all members read settings and records the mean time per member.
func (r *stepRun) applySettings(context.Context) error {
	settings, err := memberSettings(r.hollow, r.plan.Zones)
	if err != nil {
		return err
	}
	replies, err := askAll(r.workers, func(int) Request { return Request{Apply: &ApplySettings{Settings: settings}} })
	if err != nil {
		return err
	}
	var total time.Duration
	for _, reply := range replies {
		for _, took := range reply.Took {
			total += took
		}
	}
	r.report.SettingsMicroseconds = float64(total.Nanoseconds()) / 1e3 / float64(r.hollow)
	return nil
}
