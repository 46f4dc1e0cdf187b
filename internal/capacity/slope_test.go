package capacity

import (
	"math"
	"path/filepath"
	"strings"
	"testing"
)

var someOrigin = Origin{Command: "go test -bench Slope ./x", Commit: "abc1234", Date: "2026-12-02"}

// TestFromBenchmarks: the least value of each step counts, each unit is a slope of its own, other lines are ignored.
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
		t.Errorf("of two variables: %+v", s)
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
	if math.Abs(s.At(30)-3000) > 1 || s.Spread > 1e-6 || s.Beyond(80) != 2 || s.Beyond(15) != 1 {
		t.Errorf("at 30: %v, spread %v, beyond %v", s.At(30), s.Spread, s.Beyond(80))
	}
	for _, bad := range []string{"BenchmarkSlopeX/servers-8 1 1 ns/op", "BenchmarkSlopeX/n=1-8 1 1 ns/op", "BenchmarkSlopeX/n=1-8 1 x ns/op"} {
		if slopes, err := FromBenchmarks(strings.NewReader(bad+"\n"), someOrigin); err == nil {
			t.Errorf("%q is read as %+v", bad, slopes)
		}
	}
}

// TestFit: a line where a line is good enough, a power law where it is much better.
func TestFit(t *testing.T) {
	line, power, flat, falls := &Slope{Name: "line"}, &Slope{Name: "power"}, &Slope{Name: "flat"}, &Slope{Name: "falls"}
	for _, x := range []float64{1, 10, 100, 1000, 10000} {
		line.Points = append(line.Points, Point{x, 50 + 3*x})
		power.Points = append(power.Points, Point{x, 2 * math.Pow(x, 1.4)})
		flat.Points = append(flat.Points, Point{x, 7})
		falls.Points = append(falls.Points, Point{x, 7 - x/10000})
	}
	for _, s := range []*Slope{line, power, flat, falls} {
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
	if falls.At(100) < falls.At(10000) || falls.At(1e9) != falls.At(10000) {
		t.Errorf("a falling line is carried on: %v, %v, %v", falls.At(100), falls.At(10000), falls.At(1e9))
	}
	if flat.Power != 0 || math.Abs(flat.At(1e6)-7) > 0.01 || flat.R2 != 1 {
		t.Errorf("flat: %+v", flat)
	}
}
