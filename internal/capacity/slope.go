// Package capacity computes what each role of the program costs at a given size of a fleet, from slopes fitted to measurements,
// and prints the table of docs/CAPACITY.md. It measures nothing itself, and a proxy does not use it.
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
	minFitPoints        = 3    // the fewest points for a fit
	maxLinearSpread     = 0.10 // the largest spread with which a straight line is accepted
	maxPowerSpreadRatio = 0.8  // a power law replaces the line if its spread is at most this share of the line's
)

// Point is one step of a run: the value of the variable, and the least measured value over all repetitions of that step.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Origin identifies the run that measured a slope.
type Origin struct {
	Command string `json:"command"`
	Commit  string `json:"commit"`
	Date    string `json:"date"`
	Machine string `json:"machine"`
	Note    string `json:"note,omitempty"`
}

// Slope describes how a measured value grows with one variable x: Intercept + PerUnit * x, or Factor * x^Power if Power is not
// 0.
type Slope struct {
	Name      string  `json:"name"` // the benchmark and its unit, such as "ListParse.ns/op"
	Unit      string  `json:"unit"`
	Variable  string  `json:"variable"`
	Origin    Origin  `json:"origin"`
	Runs      int     `json:"runs"` // repetitions of each step; the least value is its point
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	Factor    float64 `json:"factor,omitempty"`
	Power     float64 `json:"power,omitempty"`
	Spread    float64 `json:"spread"` // root mean square of the points' distance from the fit, as a share of the fit
	R2        float64 `json:"r2"`
	Exact     bool    `json:"exact,omitempty"` // too few points for a fit: the value is known at the points only
}

// ValueAt returns the fitted value at x, 0 at least. A falling fit is not extrapolated beyond the measured range: a cost that
// falls within the range, or only seems to because of noise, does not become free beyond it.
func (s *Slope) ValueAt(x float64) float64 {
	if s.Exact {
		y, _ := s.pointAt(x)
		return y
	}
	if _, largest := s.Range(); s.PerUnit < 0 || s.Power < 0 {
		x = min(x, largest)
	}
	if s.Power != 0 {
		return s.Factor * math.Pow(x, s.Power)
	}
	return max(0, s.Intercept+s.PerUnit*x)
}

// Range returns the smallest and the largest measured value of the variable.
func (s *Slope) Range() (smallest, largest float64) {
	return s.Points[0].X, s.Points[len(s.Points)-1].X
}

// ExtrapolationFactor returns x as a multiple of the largest measured value of the variable, 1 within the measured range.
func (s *Slope) ExtrapolationFactor(x float64) float64 {
	_, largest := s.Range()
	return max(1, x/largest)
}

// exactTolerance is how far x may be from a point, as a share of the point's x, for an exact slope to have a value at x.
const exactTolerance = 0.01

// HasValueAt reports whether the slope has a value at x. Only an exact slope, with too few points for a fit, lacks one
// anywhere.
func (s *Slope) HasValueAt(x float64) bool {
	_, known := s.pointAt(x)
	return known || !s.Exact
}

// pointAt returns the measured value at x, within exactTolerance.
func (s *Slope) pointAt(x float64) (y float64, known bool) {
	for _, p := range s.Points {
		if math.Abs(p.X-x) <= exactTolerance*p.X {
			return p.Y, true
		}
	}
	return 0, false
}

// Fit sorts the points and sets the fit to them. It weights relative distances, so that the small steps of a range over several
// orders of magnitude count as much as the large ones. An exact slope needs no fit. The error reports too few or impossible
// points.
func (s *Slope) Fit() error {
	slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	if s.Exact && len(s.Points) > 0 {
		return nil
	}
	if len(s.Points) < minFitPoints {
		return fmt.Errorf("%s: %d points, at least %d are needed", s.Name, len(s.Points), minFitPoints)
	}
	var xs, ys, weights, logX, logY []float64
	for _, p := range s.Points {
		if p.X <= 0 || p.Y < 0 {
			return fmt.Errorf("%s: invalid point x = %v, y = %v: x must be above 0 and y not below 0", s.Name, p.X, p.Y)
		}
		y := max(p.Y, math.SmallestNonzeroFloat32)
		xs, ys = append(xs, p.X), append(ys, p.Y)
		weights = append(weights, 1/(y*y))
		logX, logY = append(logX, math.Log(p.X)), append(logY, math.Log(y))
	}
	s.Factor, s.Power = 0, 0
	s.Intercept, s.PerUnit = stat.LinearRegression(xs, ys, weights, false)
	s.Spread = s.spread()
	if s.Spread > maxLinearSpread {
		s.fitPowerLaw(logX, logY)
	}
	s.R2 = stat.RSquaredFrom(s.fitted(xs), ys, nil)
	if math.IsNaN(s.R2) || math.IsInf(s.R2, 0) { // undefined when all values are the same
		s.R2 = 1
	}
	return nil
}

// fitPowerLaw replaces the straight line with a power law if that fits much better, see maxPowerSpreadRatio.
func (s *Slope) fitPowerLaw(logX, logY []float64) {
	line := *s
	logFactor, power := stat.LinearRegression(logX, logY, nil, false)
	s.Factor, s.Power, s.Intercept, s.PerUnit = math.Exp(logFactor), power, 0, 0
	if s.Spread = s.spread(); s.Spread > maxPowerSpreadRatio*line.Spread {
		*s = line
	}
}

// fitted returns the fitted values at xs.
func (s *Slope) fitted(xs []float64) (ys []float64) {
	for _, x := range xs {
		ys = append(ys, s.ValueAt(x))
	}
	return ys
}

// spread returns the root mean square of the points' distance from the fit, as a share of the fit.
func (s *Slope) spread() float64 {
	sum := 0.0
	for _, p := range s.Points {
		fit := s.ValueAt(p.X)
		if p.Y == fit {
			continue
		}
		deviation := (p.Y - fit) / max(fit, math.SmallestNonzeroFloat32)
		sum += deviation * deviation
	}
	return math.Sqrt(sum / float64(len(s.Points)))
}

// Slopes is the content of a slopes file.
type Slopes struct {
	Slopes []*Slope `json:"slopes"` // sorted by name
}

// ReadSlopes reads a slopes file. A file that does not exist has no slopes.
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
		if len(s.Points) < minFitPoints && !(s.Exact && len(s.Points) > 0) {
			return nil, fmt.Errorf("%s: %s has %d points", name, s.Name, len(s.Points))
		}
	}
	return all, nil
}

// Put adds a slope, or replaces the one of the same name.
func (all *Slopes) Put(s *Slope) {
	index, known := slices.BinarySearchFunc(all.Slopes, s.Name, func(s *Slope, name string) int { return cmp.Compare(s.Name, name) })
	if known {
		all.Slopes[index] = s
		return
	}
	all.Slopes = slices.Insert(all.Slopes, index, s)
}

// Get returns the slope with a name, nil if no run has measured it.
func (all *Slopes) Get(name string) *Slope {
	for _, s := range all.Slopes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Write fits each slope to its points again and writes the file.
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
