package capacity

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// slopePrefix is the prefix of the benchmarks to which slopes are fitted, such as BenchmarkSlopeListParse/servers=100-8.
const slopePrefix = "BenchmarkSlope"

// step is one result line of a benchmark.
type step struct {
	benchmark, variable string
	x                   float64            // value of the variable
	values              map[string]float64 // measured values, by unit
}

// FromBenchmarks reads the output of `go test -bench`, takes the least value of each step over its repetitions, and fits a
// slope for each benchmark and unit. If a benchmark's name has several variables, the last one is the slope's and the others
// are part of the slope's name; such a combination with too few steps for a fit is skipped. A "cpu:" line gives the machine
// unless the origin names it. Other lines are ignored.
func FromBenchmarks(output io.Reader, origin Origin) ([]*Slope, error) {
	byName := map[string]*Slope{}
	repetitions := map[string]map[float64]int{}
	combined := map[string]bool{} // names of slopes that contain other variables
	var names []string
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		if cpu, ok := strings.CutPrefix(lines.Text(), "cpu: "); ok && origin.Machine == "" {
			origin.Machine = cpu
		}
		s, ok, err := parseStep(lines.Text())
		if err != nil {
			return nil, err
		}
		if !ok {
			continue
		}
		for unit, y := range s.values {
			name := s.benchmark + "." + unit
			if byName[name] == nil {
				byName[name] = &Slope{Name: name, Unit: unit, Variable: s.variable}
				repetitions[name] = map[float64]int{}
				names = append(names, name)
				combined[name] = strings.Contains(s.benchmark, "/")
			}
			byName[name].addMinimum(s.x, y)
			repetitions[name][s.x]++
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	var slopes []*Slope
	for _, name := range names {
		s := byName[name]
		s.Origin = origin
		for _, n := range repetitions[name] {
			s.Runs = max(s.Runs, n)
		}
		if len(s.Points) < minFitPoints && combined[name] {
			continue
		}
		if err := s.Fit(); err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// addMinimum adds a point, or keeps the smaller y if there is a point at x.
func (s *Slope) addMinimum(x, y float64) {
	for i := range s.Points {
		if s.Points[i].X == x {
			s.Points[i].Y = min(s.Points[i].Y, y)
			return
		}
	}
	s.Points = append(s.Points, Point{x, y})
}

// parseStep reads one line of output; ok is false for a line that is not a result of a slope benchmark. The error reports such
// a result that cannot be read.
func parseStep(text string) (s step, ok bool, err error) {
	fields := strings.Fields(text)
	if len(fields) < 4 || len(fields)%2 != 0 || !strings.HasPrefix(fields[0], slopePrefix) {
		return s, false, nil
	}
	benchmark, rest, found := strings.Cut(strings.TrimPrefix(fields[0], slopePrefix), "/")
	if !found {
		return s, false, nil
	}
	if last := strings.LastIndexByte(rest, '/'); last >= 0 {
		benchmark, rest = benchmark+"/"+rest[:last], rest[last+1:]
	}
	variable, number, found := strings.Cut(rest, "=")
	if dash := strings.LastIndexByte(number, '-'); dash > 0 { // a suffix with GOMAXPROCS
		number = number[:dash]
	}
	x, err := strconv.ParseFloat(number, 64)
	if !found || err != nil {
		return s, false, fmt.Errorf("%s: want variable=number after the slash", fields[0])
	}
	s = step{benchmark: benchmark, variable: variable, x: x, values: map[string]float64{}}
	for i := 2; i+1 < len(fields); i += 2 {
		y, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return s, false, fmt.Errorf("%s: %w", fields[0], err)
		}
		s.values[fields[i+1]] = y
	}
	return s, true, nil
}
