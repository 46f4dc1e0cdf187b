package capacity

import (
	"math"
	"path/filepath"
	"strings"
	"testing"
)

var someOrigin = Origin{Command: "go test -bench Slope ./x", Commit: "abc1234", Date: "2026-12-02"}

// TestFromBenchmarks checks that the least value of each step counts, that each unit has a slope of its own, and that other
// lines are ignored.
func TestFromBenchmarks(t *testing.T) {
	const output = `goos: linux
cpu: Some Processor
BenchmarkPick/16-8   	    1	   5.0 ns/op
BenchmarkSlopeList/servers=10-8   	     100	     1100 ns/op	      200.0 held-B
BenchmarkSlopeList/servers=10-8   	     100	     1000 ns/op	      200.0 held-B
BenchmarkSlopeList/servers=20-8   	     100	     2000 ns/op	      400.0 held-B
BenchmarkSlopeList/servers=40-8   	     100	     4000 ns/op	      800.0 held-B
BenchmarkSlopeTwo/members=3/keys=10-8   	     100	     1000 ns/op
BenchmarkSlopeTwo/members=3/keys=20-8   	     100	     2000 ns/op
BenchmarkSlopeTwo/members=3/keys=30-8   	     100	     3000 ns/op
BenchmarkSlopeTwo/members=9/keys=30-8   	     100	     9000 ns/op
PASS
`
	slopes, err := FromBenchmarks(strings.NewReader(output), someOrigin)
	if err != nil || len(slopes) != 3 {
		t.Fatalf("%d slopes, %v", len(slopes), err)
	}
	all := &Slopes{}
	for _, s := range slopes {
		all.Put(s)
	}
	if s := all.Get("Two/members=3.ns/op"); s == nil || s.Variable != "keys" || len(s.Points) != 3 {
		t.Errorf("slope of two variables: %+v", s)
	}
	name := filepath.Join(t.TempDir(), "slopes.json")
	if err := all.Write(name); err != nil {
		t.Fatal(err)
	}
	again, err := ReadSlopes(name)
	if err != nil {
		t.Fatal(err)
	}
	s := again.Get("List.ns/op")
	if s == nil || s.Variable != "servers" || s.Runs != 2 || s.Origin.Machine != "Some Processor" || s.Origin.Commit != "abc1234" {
		t.Fatalf("%+v", s)
	}
	if math.Abs(s.ValueAt(30)-3000) > 1 || s.Spread > 1e-6 || s.ExtrapolationFactor(80) != 2 || s.ExtrapolationFactor(15) != 1 {
		t.Errorf("value at 30 is %v, spread %v, extrapolation factor at 80 is %v", s.ValueAt(30), s.Spread, s.ExtrapolationFactor(80))
	}
	for _, bad := range []string{"BenchmarkSlopeX/servers-8 1 1 ns/op", "BenchmarkSlopeX/n=1-8 1 1 ns/op", "BenchmarkSlopeX/n=1-8 1 x ns/op"} {
		if slopes, err := FromBenchmarks(strings.NewReader(bad+"\n"), someOrigin); err == nil {
			t.Errorf("%q is accepted as %+v", bad, slopes)
		}
	}
}

// TestFit checks that a straight line is fitted where it fits well enough, a power law where it fits much better, and that a
// falling line is not extrapolated.
func TestFit(t *testing.T) {
	line, power, flat, falling := &Slope{Name: "line"}, &Slope{Name: "power"}, &Slope{Name: "flat"}, &Slope{Name: "falls"}
	for _, x := range []float64{1, 10, 100, 1000, 10000} {
		line.Points = append(line.Points, Point{x, 50 + 3*x})
		power.Points = append(power.Points, Point{x, 2 * math.Pow(x, 1.4)})
		flat.Points = append(flat.Points, Point{x, 7})
		falling.Points = append(falling.Points, Point{x, 7 - x/10000})
	}
	for _, s := range []*Slope{line, power, flat, falling} {
		if err := s.Fit(); err != nil {
			t.Fatal(err)
		}
	}
	if line.Power != 0 || math.Abs(line.Intercept-50) > 0.01 || math.Abs(line.PerUnit-3) > 0.01 || line.R2 < 0.999 {
		t.Errorf("line: %+v", line)
	}
	if math.Abs(power.Power-1.4) > 0.01 || math.Abs(power.Factor-2) > 0.01 || power.Spread > 0.01 {
		t.Errorf("power: %+v", power)
	}
	if falling.ValueAt(100) < falling.ValueAt(10000) || falling.ValueAt(1e9) != falling.ValueAt(10000) {
		t.Errorf("a falling line is extrapolated: %v, %v, %v", falling.ValueAt(100), falling.ValueAt(10000), falling.ValueAt(1e9))
	}
	if flat.Power != 0 || math.Abs(flat.ValueAt(1e6)-7) > 0.01 || flat.R2 != 1 {
		t.Errorf("flat: %+v", flat)
	}
}
