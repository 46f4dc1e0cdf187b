package scale

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"chalkferry/internal/aggregation"
)

func newSpread(at int64, known []int64) Spread {
	var took []float64
	for _, then := range known {
		if then != 0 {
			took = append(took, seconds(time.Duration(max(then-at, 0))))
		}
	}
	slices.Sort(took)
	quantile := func(share float64) float64 {
		n := int(math.Ceil(share * float64(len(known))))
		if n > len(took) || n == 0 {
			return -1
		}
		return took[n-1]
	}
	return Spread{Members: len(known), Known: len(took), Half: quantile(0.5), P99: quantile(0.99), All: quantile(1)}
}

func newSums(sums []aggregation.Figure, truth float64) Sums {
	s := Sums{True: truth, Least: math.Inf(1), LeastHeard: 1}
	values := make([]float64, len(sums))
	for i, sum := range sums {
		values[i] = sum.Value
		s.Least, s.Most = min(s.Least, sum.Value), max(s.Most, sum.Value)
		s.MostError, s.MostAge = max(s.MostError, sum.Error), max(s.MostAge, seconds(sum.Age))
		s.LeastHeard = min(s.LeastHeard, sum.Heard)
		if math.Abs(sum.Value-truth) > sum.Error+0.5 {
			s.Beyond++
		}
	}
	slices.Sort(values)
	s.Median = values[len(values)/2]
	return s
}

// calm takes what list service and workers used between two measurements.
func (s *StepReport) calm(before, after []*Usage) {
	list := after[0]
	span := float64(list.At-before[0].At) / 1e9
	s.Discovery = RoleUsage{CPUShare: (list.CPU - before[0].CPU).Seconds() / span, MemoryMB: float64(list.Resident) / (1 << 20),
		BytesIn: float64(list.List.BytesIn-before[0].List.BytesIn) / span, BytesOut: float64(list.List.BytesOut-before[0].List.BytesOut) / span,
		PacketsIn: float64(list.List.PacketsIn-before[0].List.PacketsIn) / span, PacketsOut: float64(list.List.PacketsOut-before[0].List.PacketsOut) / span}
	m := &s.Member
	var sizes, cpu, memory []float64
	m.LeastInAProcess = math.MaxInt
	members := 0
	for i := 1; i < len(after); i++ {
		was, is := before[i], after[i]
		span := float64(is.At-was.At) / 1e9
		sizes = append(sizes, float64(is.Members))
		cpu = append(cpu, (is.CPU-was.CPU).Seconds()/span)
		memory = append(memory, float64(is.Resident))
		m.BytesIn += float64(is.Sharing.BytesIn-was.Sharing.BytesIn) / span
		m.BytesOut += float64(is.Sharing.BytesOut-was.Sharing.BytesOut) / span
		m.PacketsIn += float64(is.Sharing.PacketsIn-was.Sharing.PacketsIn) / span
		m.PacketsOut += float64(is.Sharing.PacketsOut-was.Sharing.PacketsOut) / span
		m.MostInAProcess, m.LeastInAProcess = max(m.MostInAProcess, is.Members), min(m.LeastInAProcess, is.Members)
		members += is.Members
		s.WorkerBytes += is.Resident
		s.watching += is.Watching
		s.silent += is.Silent
	}
	s.started = members
	for _, sum := range []*float64{&m.BytesIn, &m.BytesOut, &m.PacketsIn, &m.PacketsOut} {
		*sum /= float64(members)
	}
	m.ListBytesIn, m.PayloadOnly, m.Processes = s.Discovery.BytesOut/float64(members), true, len(sizes)
	empty := float64(s.base[1].Resident)
	if m.MostInAProcess < 2*m.LeastInAProcess { // no range for a slope
		m.CPUShare = stat.Mean(cpu, nil) * float64(len(cpu)) / float64(members)
		m.MemoryBytes = (stat.Mean(memory, nil) - empty) * float64(len(memory)) / float64(members)
		m.ProcessMemoryMB = empty / (1 << 20)
		return
	}
	m.SlopeOverMembers = true
	m.ProcessCPU, m.CPUShare = stat.LinearRegression(sizes, cpu, nil, false)
	var rest []float64
	for i, size := range sizes {
		rest = append(rest, (cpu[i]-m.ProcessCPU-m.CPUShare*size)/size)
	}
	m.CPUResidual = stat.StdDev(rest, nil)
	m.ProcessMemoryMB, m.MemoryBytes = stat.LinearRegression(sizes, memory, nil, false)
	m.ProcessMemoryMB /= 1 << 20
}

func (s *StepReport) lateness(workers []*Usage) {
	for _, usage := range workers {
		s.Lateness.Ticks += usage.Ticks
		s.Lateness.Late += usage.Late
		s.Lateness.P99 = max(s.Lateness.P99, usage.LateP99)
		s.Lateness.Max = max(s.Lateness.Max, usage.LateMax)
		s.Void = s.Void || usage.TooLate
	}
}
