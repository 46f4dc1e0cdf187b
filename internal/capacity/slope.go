// Package capacity works out what each role of the program costs at a given size of a fleet, from slopes that runs have
// measured, and prints it as the table of docs/CAPACITY.md. It measures nothing itself, and a proxy does not use it.
package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	leastPoints  = 3    // of a fit
	linearSpread = 0.10 // up to which a straight line is good enough
	powerGain    = 0.8  // of the line's spread that a power law must come down to, to be taken in its place
)

// Point is one step of a run: the variable, and the least value of all runs of that step.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Origin says which run a slope comes from.
type Origin struct {
	Command string `json:"command"`
	Commit  string `json:"commit"`
	Date    string `json:"date"`
	Machine string `json:"machine"`
	Note    string `json:"note,omitempty"`
}

// Slope is how one measured value grows with one variable: Intercept + PerUnit * x, or Factor * x^Power where Power is
// not 0.
type Slope struct {
	Name      string  `json:"name"` // of the benchmark and its unit, "ListParse.ns/op"
	Unit      string  `json:"unit"`
	Variable  string  `json:"variable"`
	Origin    Origin  `json:"origin"`
	Runs      int     `json:"runs"` // of each step; the least value is its point
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	Factor    float64 `json:"factor,omitempty"`
	Power     float64 `json:"power,omitempty"`
	Spread    float64 `json:"spread"` // root mean square of the points' distance from the fit, as a share of the fit
	R2        float64 `json:"r2"`
	Exact     bool    `json:"exact,omitempty"` // too few points for a fit: only the points themselves are known
}

// At is the value at x by the fit; it is never below 0. A fit that falls is not carried on beyond the measured range:
// what costs less and less for each step within it (or is noise) is not free further on.
func (s *Slope) At(x float64) float64 {
	if s.Exact {
		y, _ := s.pointAt(x)
		return y
	}
	if _, most := s.Range(); s.PerUnit < 0 || s.Power < 0 {
		x = min(x, most)
	}
	if s.Power != 0 {
		return s.Factor * math.Pow(x, s.Power)
	}
	return max(0, s.Intercept+s.PerUnit*x)
}

// Range is what was measured of the variable.
func (s *Slope) Range() (least, most float64) {
	return s.Points[0].X, s.Points[len(s.Points)-1].X
}

// Beyond is how many times further than the measured range x lies: 1 within it.
func (s *Slope) Beyond(x float64) float64 {
	_, most := s.Range()
	return max(1, x/most)
}

// nearEnough is how far from a point x may be, as a share, for an exact slope to tell its value.
const nearEnough = 0.01

// Knows tells whether there is a value at x. Only a slope with too few points for a fit does not have one everywhere.
func (s *Slope) Knows(x float64) bool {
	_, known := s.pointAt(x)
	return known || !s.Exact
}

func (s *Slope) pointAt(x float64) (y float64, known bool) {
	for _, p := range s.Points {
		if math.Abs(p.X-x) <= nearEnough*p.X {
			return p.Y, true
		}
	}
	return 0, false
}

// Fit fills in the fit to the points, which are sorted by it. Relative distances count, so that the small steps of a
// range over several orders of magnitude do too.
func (s *Slope) Fit() error {
	slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	if s.Exact && len(s.Points) > 0 {
		return nil
	}
	if len(s.Points) < leastPoints {
		return fmt.Errorf("%s: %d points, at least %d are needed", s.Name, len(s.Points), leastPoints)
	}
	var xs, ys, weights, logX, logY []float64
	for _, p := range s.Points {
		if p.X <= 0 || p.Y < 0 {
			return fmt.Errorf("%s: impossible point %v, %v", s.Name, p.X, p.Y)
		}
		y := max(p.Y, math.SmallestNonzeroFloat32)
		xs, ys = append(xs, p.X), append(ys, p.Y)
		weights = append(weights, 1/(y*y))
		logX, logY = append(logX, math.Log(p.X)), append(logY, math.Log(y))
	}
	s.Factor, s.Power = 0, 0
	s.Intercept, s.PerUnit = stat.LinearRegression(xs, ys, weights, false)
	s.Spread = s.spread()
	if s.Spread > linearSpread {
		s.takePowerIfBetter(logX, logY)
	}
	s.R2 = stat.RSquaredFrom(s.fitted(xs), ys, nil)
	if math.IsNaN(s.R2) || math.IsInf(s.R2, 0) { // all values are the same
		s.R2 = 1
	}
	return nil
}

func (s *Slope) takePowerIfBetter(logX, logY []float64) {
	line := *s
	logFactor, power := stat.LinearRegression(logX, logY, nil, false)
	s.Factor, s.Power, s.Intercept, s.PerUnit = math.Exp(logFactor), power, 0, 0
	if s.Spread = s.spread(); s.Spread > powerGain*line.Spread {
		*s = line
	}
}

func (s *Slope) fitted(xs []float64) (ys []float64) {
	for _, x := range xs {
		ys = append(ys, s.At(x))
	}
	return ys
}

func (s *Slope) spread() float64 {
	sum := 0.0
	for _, p := range s.Points {
		fit := s.At(p.X)
		if p.Y == fit {
			continue
		}
		off := (p.Y - fit) / max(fit, math.SmallestNonzeroFloat32)
		sum += off * off
	}
	return math.Sqrt(sum / float64(len(s.Points)))
}

// Slopes is the file that runs write.
type Slopes struct {
	Slopes []*Slope `json:"slopes"` // in the order of their names
}

// ReadSlopes reads the file; one that does not exist has no slopes.
func ReadSlopes(name string) (*Slopes, error) {
	all := &Slopes{}
	text, err := os.ReadFile(name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return all, nil
	case err != nil:
		return nil, err
	}
	if err := json.Unmarshal(text, all); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	for _, s := range all.Slopes {
		if len(s.Points) < leastPoints && !(s.Exact && len(s.Points) > 0) {
			return nil, fmt.Errorf("%s: %s has %d points", name, s.Name, len(s.Points))
		}
	}
	return all, nil
}

// Put takes a slope in, in place of one of its name.
func (all *Slopes) Put(s *Slope) {
	at, known := slices.BinarySearchFunc(all.Slopes, s.Name, func(s *Slope, name string) int { return cmp.Compare(s.Name, name) })
	if known {
		all.Slopes[at] = s
		return
	}
	all.Slopes = slices.Insert(all.Slopes, at, s)
}

// Get finds a slope by its name, nil where no run has measured it.
func (all *Slopes) Get(name string) *Slope {
	for _, s := range all.Slopes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Write writes the file, with each slope fitted anew to its points.
func (all *Slopes) Write(name string) error {
	for _, s := range all.Slopes {
		if err := s.Fit(); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(text, '\n'), 0o644)
}
