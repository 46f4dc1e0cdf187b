package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Unit is the unit of a value and determines how it is printed.
type Unit int

const (
	Number           Unit = iota // a plain number
	Bytes                        // of memory, printed in powers of 1,024
	Traffic                      // bytes on the network, printed in powers of 1,000
	PerSecond                    // events per second
	TrafficPerSecond             // bytes on the network per second
	Cores                        // processor time per second, as a share of a core
	Seconds                      // of a delay
	Share                        // a ratio, printed as a percentage
)

// ControlPart is the total of a proxy's control costs to which a quantity is added.
type ControlPart int

const (
	notControl ControlPart = iota
	controlMemory
	controlCores
	controlTraffic
)

// Term is a summand of a quantity: Multiplier times the value of a slope at X, or, with PerUnit, Multiplier times what the
// slope adds per unit of its variable.
type Term struct {
	Slope      string  // name of the slope
	X          float64 // value of the slope's variable
	Multiplier float64 // how often the slope's value counts, such as times per second
	Scale      float64 // the slope's unit in units of the quantity, such as 1e-9 for a nanosecond in seconds; 0 for the same unit
	PerUnit    bool    // use the slope's mean increase per unit in place of its value at X
}

// Ceiling is the largest value that a quantity may have.
type Ceiling struct {
	Value  func(*Case) float64 // nil for no ceiling
	Source string              // where the ceiling comes from, for the table
}

// Quantity is one figure of a role, a row of its table. It is either the sum of terms that use measured slopes, or computed
// from the size alone, or, with neither, not measured.
type Quantity struct {
	Label      string // the row's label
	Unit       Unit
	Terms      func(*Case) []Term  // the terms to add up, nil if no slopes are used
	Computed   func(*Case) float64 // computes the value from the size alone, nil if slopes are used
	Ceiling    Ceiling
	Part       ControlPart // the total to which the value is added
	IsReplaced bool        // of a mechanism that has been replaced: shown for comparison, not in summaries
	Note       string      // for the table: how the value was computed, or why it was not measured
}

// Role is one job of the program or of the machines beside it, with the figures of its cost.
type Role struct {
	Name       string
	Mechanism  string   // the mechanism that does the job, for the table
	Notes      []string // paragraphs above the role's table
	Quantities []Quantity
}

// figure is the value of a quantity in one case.
type figure struct {
	value float64
	known bool // whether all slopes that it uses have been measured
}

// evaluate computes the quantity in a case. The figure is unknown if a run is missing for one of its slopes.
func (q *Quantity) evaluate(c *Case, slopes *Slopes) figure {
	if q.Computed != nil {
		return figure{value: q.Computed(c), known: true}
	}
	if q.Terms == nil {
		return figure{}
	}
	f := figure{known: true}
	for _, term := range q.Terms(c) {
		s := slopes.Get(term.Slope)
		if s == nil || !s.HasValueAt(term.X) || s.Exact && term.PerUnit {
			return figure{}
		}
		f.value += term.Multiplier * cmp.Or(term.Scale, 1) * s.termValue(term)
	}
	return f
}

// termValue returns the slope's part of a term: its value at X, or its mean increase per unit over the measured range.
func (s *Slope) termValue(t Term) float64 {
	if !t.PerUnit {
		return s.ValueAt(t.X)
	}
	smallest, largest := s.Range()
	return (s.ValueAt(largest) - s.ValueAt(smallest)) / (largest - smallest)
}

// ratio returns a figure as a share of its ceiling, 0 if the figure is unknown or there is no ceiling.
func (q *Quantity) ratio(c *Case, f figure) float64 {
	if !f.known || q.Ceiling.Value == nil {
		return 0
	}
	return f.value / q.Ceiling.Value(c)
}

// verdict returns the text that compares a figure with its ceiling.
func (q *Quantity) verdict(c *Case, f figure) string {
	ratio := q.ratio(c, f)
	switch {
	case !f.known:
		return "not measured"
	case q.Ceiling.Value == nil:
		return "no ceiling given"
	case ratio <= 1:
		return "carried"
	}
	return fmt.Sprintf("**beyond by %s**", significant(ratio))
}

// text formats the figure with its unit.
func (q *Quantity) text(f figure) string {
	if !f.known {
		return "not measured"
	}
	return q.Unit.format(f.value)
}

// format formats a value with the unit.
func (u Unit) format(value float64) string {
	switch u {
	case Bytes:
		return scaled(value, 1024, "B", "KiB", "MiB", "GiB")
	case Traffic:
		return scaled(value, 1000, "B", "kB", "MB", "GB")
	case TrafficPerSecond:
		return scaled(value, 1000, "B", "kB", "MB", "GB") + "/s"
	case PerSecond:
		return significant(value) + "/s"
	case Cores:
		return significant(100*value) + "% of a core"
	case Share:
		return significant(100*value) + "%"
	case Seconds:
		if value > 0 && value < 1 {
			return significant(1000*value) + " ms"
		}
		return significant(value) + " s"
	}
	return significant(value)
}

// scaled formats a value in the largest of the units, each step times the one before it, in which it is 1 or more.
func scaled(value, step float64, units ...string) string {
	unit := 0
	for value >= step && unit < len(units)-1 {
		value, unit = value/step, unit+1
	}
	return significant(value) + " " + units[unit]
}

// significant formats a value with three significant digits at most, and with commas from 1,000 on.
func significant(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	if digits > 0 {
		text := fmt.Sprintf("%.*f", min(digits, 12), value)
		return strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	scale := math.Pow(10, float64(-digits))
	return grouped(math.Round(value/scale) * scale)
}

// grouped formats a whole number with a comma before each group of three digits.
func grouped(value float64) string {
	text, sign := fmt.Sprintf("%.0f", math.Abs(value)), ""
	if value < 0 {
		sign = "-"
	}
	for comma := len(text) - 3; comma > 0; comma -= 3 {
		text = text[:comma] + "," + text[comma:]
	}
	return sign + text
}

// sourceText describes where a quantity comes from: its slopes, with the values of their variables in both cases, and its note.
func (q *Quantity) sourceText(cases [2]*Case, slopes *Slopes) string {
	if q.Computed != nil {
		return "worked out: " + q.Note
	}
	if q.Terms == nil {
		return q.Note
	}
	var parts []string
	terms := [2][]Term{q.Terms(cases[0]), q.Terms(cases[1])}
	for i, low := range terms[0] {
		parts = append(parts, termSourceText(low, terms[1][i], slopes))
	}
	text := strings.Join(parts, " + ")
	if q.Note != "" {
		text += "; " + q.Note
	}
	return text
}

// termSourceText describes where a term comes from, by its values in the low and the high case.
func termSourceText(low, high Term, slopes *Slopes) string {
	s := slopes.Get(low.Slope)
	if s == nil {
		return fmt.Sprintf("`%s`, which no run has measured", low.Slope)
	}
	text := fmt.Sprintf("`%s`", low.Slope)
	if low.PerUnit {
		text += " for each of " + s.Variable
	} else {
		text += " at " + joinDistinct(significant(low.X), significant(high.X)) + " " + s.Variable
	}
	if low.Multiplier != 1 || high.Multiplier != 1 {
		text += ", times " + joinDistinct(significant(low.Multiplier), significant(high.Multiplier))
	}
	if extrapolation := max(s.ExtrapolationFactor(low.X), s.ExtrapolationFactor(high.X)); extrapolation > minReportedExtrapolation && !low.PerUnit {
		text += fmt.Sprintf(" (%s times the range)", significant(extrapolation))
	}
	return text
}

// minReportedExtrapolation is the extrapolation factor above which the table mentions it.
const minReportedExtrapolation = 1.01

// joinDistinct returns both texts, or one if they are the same.
func joinDistinct(low, high string) string {
	if low == high {
		return low
	}
	return low + " and " + high
}

// slopeNames returns the names of all slopes that a role uses, in order of use and once each.
func (r *Role) slopeNames(c *Case) (names []string) {
	for _, q := range r.Quantities {
		if q.Terms == nil {
			continue
		}
		for _, term := range q.Terms(c) {
			if !slices.Contains(names, term.Slope) {
				names = append(names, term.Slope)
			}
		}
	}
	return names
}
