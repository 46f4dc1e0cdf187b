package scale

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"chalkferry/internal/aggregation"
)

// newPropagationTimes returns how long a change took to be known. changedAt and known are Unix times in ns; known has one for
// each member, 0 for never. Quantiles are over all members; one that includes a member that never knew is -1.
func newPropagationTimes(changedAt int64, known []int64) PropagationTimes {
	var delays []float64
	for _, knownAt := range known {
		if knownAt != 0 {
			delays = append(delays, seconds(time.Duration(max(knownAt-changedAt, 0))))
		}
	}
	slices.Sort(delays)
	quantile := func(share float64) float64 {
		n := int(math.Ceil(share * float64(len(known))))
		if n > len(delays) || n == 0 {
			return -1
		}
		return delays[n-1]
	}
	return PropagationTimes{Members: len(known), Known: len(delays), P50: quantile(0.5), P99: quantile(0.99), All: quantile(1)}
}

// newSumAccuracy compares the members' sums with the true one.
func newSumAccuracy(sums []aggregation.Figure, trueSum float64) SumAccuracy {
	s := SumAccuracy{True: trueSum, Min: math.Inf(1), MinHeard: 1}
	values := make([]float64, len(sums))
	for i, sum := range sums {
		values[i] = sum.Value
		s.Min, s.Max = min(s.Min, sum.Value), max(s.Max, sum.Value)
		s.MaxError, s.MaxAge = max(s.MaxError, sum.Error), max(s.MaxAge, seconds(sum.Age))
		s.MinHeard = min(s.MinHeard, sum.Heard)
		// Half a session beyond the stated error is tolerated.
		if math.Abs(sum.Value-trueSum) > sum.Error+0.5 {
			s.BeyondStatedError++
		}
	}
	slices.Sort(values)
	s.Median = values[len(values)/2]
	return s
}

// recordUsage sets the usage of the discovery service and of a hollow member from two measurements without changes. The cost
// of a member is the slope over the processes' numbers of members, if those differ enough, else the mean without the memory
// of an empty process.
func (s *StepReport) recordUsage(before, after []*Usage) {
	list := after[0]
	span := float64(list.At-before[0].At) / 1e9
	s.Discovery = RoleUsage{CPUShare: (list.CPU - before[0].CPU).Seconds() / span, MemoryMB: float64(list.Resident) / (1 << 20),
		BytesIn: float64(list.List.BytesIn-before[0].List.BytesIn) / span, BytesOut: float64(list.List.BytesOut-before[0].List.BytesOut) / span,
		PacketsIn: float64(list.List.PacketsIn-before[0].List.PacketsIn) / span, PacketsOut: float64(list.List.PacketsOut-before[0].List.PacketsOut) / span}
	m := &s.Member
	var sizes, cpu, memory []float64
	m.MinMembersPerProcess = math.MaxInt
	members := 0
	for i := 1; i < len(after); i++ {
		first, last := before[i], after[i]
		span := float64(last.At-first.At) / 1e9
		sizes = append(sizes, float64(last.Members))
		cpu = append(cpu, (last.CPU-first.CPU).Seconds()/span)
		memory = append(memory, float64(last.Resident))
		m.BytesIn += float64(last.Sharing.BytesIn-first.Sharing.BytesIn) / span
		m.BytesOut += float64(last.Sharing.BytesOut-first.Sharing.BytesOut) / span
		m.PacketsIn += float64(last.Sharing.PacketsIn-first.Sharing.PacketsIn) / span
		m.PacketsOut += float64(last.Sharing.PacketsOut-first.Sharing.PacketsOut) / span
		m.MaxMembersPerProcess, m.MinMembersPerProcess = max(m.MaxMembersPerProcess, last.Members), min(m.MinMembersPerProcess, last.Members)
		members += last.Members
		s.WorkerBytes += last.Resident
		s.watching += last.Watching
		s.silent += last.Silent
	}
	s.started = members
	for _, sum := range []*float64{&m.BytesIn, &m.BytesOut, &m.PacketsIn, &m.PacketsOut} {
		*sum /= float64(members)
	}
	m.ListBytesIn, m.PayloadOnly, m.Processes = s.Discovery.BytesOut/float64(members), true, len(sizes)
	empty := float64(s.base[1].Resident)
	if m.MaxMembersPerProcess < 2*m.MinMembersPerProcess { // too narrow a range of sizes for a slope
		m.CPUShare = stat.Mean(cpu, nil) * float64(len(cpu)) / float64(members)
		m.MemoryBytes = (stat.Mean(memory, nil) - empty) * float64(len(memory)) / float64(members)
		m.ProcessMemoryMB = empty / (1 << 20)
		return
	}
	m.SlopeOverMembers = true
	m.ProcessCPU, m.CPUShare = stat.LinearRegression(sizes, cpu, nil, false)
	var residuals []float64
	for i, size := range sizes {
		residuals = append(residuals, (cpu[i]-m.ProcessCPU-m.CPUShare*size)/size)
	}
	m.CPUResidual = stat.StdDev(residuals, nil)
	m.ProcessMemoryMB, m.MemoryBytes = stat.LinearRegression(sizes, memory, nil, false)
	m.ProcessMemoryMB /= 1 << 20
}

// recordLateness adds up the workers' lateness. One worker that is too late makes the whole step void.
func (s *StepReport) recordLateness(workers []*Usage) {
	for _, usage := range workers {
		s.Lateness.Ticks += usage.Ticks
		s.Lateness.Late += usage.Late
		s.Lateness.P99 = max(s.Lateness.P99, usage.LateP99)
		s.Lateness.Max = max(s.Lateness.Max, usage.LateMax)
		s.Void = s.Void || usage.TooLate
	}
}
