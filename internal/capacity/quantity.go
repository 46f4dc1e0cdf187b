package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Unit says how a value is printed.
type Unit int

const (
	Number    Unit = iota
	Bytes          // of memory, in powers of 1,024
	Traffic        // bytes on the network, in powers of 1,000
	PerSecond      // events in a second
	TrafficPerSecond
	Cores   // processor time in a second, as a share of a core
	Seconds // of delay
	Share
)

// ControlPart says into which sum of control a quantity goes.
type ControlPart int

const (
	notControl ControlPart = iota
	controlMemory
	controlCores
	controlTraffic
)

// Term is one part of a quantity: Times what a slope says at a value of its variable, or Times what it says for each
// unit of the variable.
type Term struct {
	Slope   string
	At      float64
	Times   float64
	Scale   float64 // of the slope's unit in the quantity's, such as a nanosecond in seconds; 0 for the same unit
	PerUnit bool    // in place of the value at At
}

// Ceiling is what a quantity may come to.
type Ceiling struct {
	Value func(*Case) float64 // nil: none is given
	Says  string              // where it is from
}

// Quantity is one figure of a role. Either its terms come from runs, or it is worked out from the size alone, or it is
// not measured.
type Quantity struct {
	What    string
	Unit    Unit
	Terms   func(*Case) []Term
	Worked  func(*Case) float64
	Ceiling Ceiling
	Part    ControlPart
	Before  bool   // of what has been replaced: for comparison only
	Note    string // how it was worked out, or why it was not measured
}

// Role is one job of the program or of the machines beside it.
type Role struct {
	Name       string
	Mechanism  string // that carries it, "none" where there is none
	About      []string
	Quantities []Quantity
}

// figure is a quantity at one case.
type figure struct {
	value float64
	known bool // all of its slopes are measured
}

func (q *Quantity) at(c *Case, slopes *Slopes) figure {
	if q.Worked != nil {
		return figure{value: q.Worked(c), known: true}
	}
	if q.Terms == nil {
		return figure{}
	}
	f := figure{known: true}
	for _, term := range q.Terms(c) {
		s := slopes.Get(term.Slope)
		if s == nil || !s.Knows(term.At) || s.Exact && term.PerUnit {
			return figure{}
		}
		f.value += term.Times * cmp.Or(term.Scale, 1) * s.term(term)
	}
	return f
}

// term is the value that a term takes of the slope.
func (s *Slope) term(t Term) float64 {
	if !t.PerUnit {
		return s.At(t.At)
	}
	least, most := s.Range()
	return (s.At(most) - s.At(least)) / (most - least)
}

// ratio is a figure as a share of its ceiling, 0 where there is none.
func (q *Quantity) ratio(c *Case, f figure) float64 {
	if !f.known || q.Ceiling.Value == nil {
		return 0
	}
	return f.value / q.Ceiling.Value(c)
}

// verdict is what is printed of a figure and its ceiling.
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

// text prints the figure.
func (q *Quantity) text(f figure) string {
	if !f.known {
		return "not measured"
	}
	return q.Unit.format(f.value)
}

// format prints a value with its unit.
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

func scaled(value, step float64, units ...string) string {
	at := 0
	for value >= step && at < len(units)-1 {
		value, at = value/step, at+1
	}
	return significant(value) + " " + units[at]
}

// significant prints three digits at most, with commas from 1,000 on.
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

// grouped prints a whole number with commas.
func grouped(value float64) string {
	text, sign := fmt.Sprintf("%.0f", math.Abs(value)), ""
	if value < 0 {
		sign = "-"
	}
	for at := len(text) - 3; at > 0; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return sign + text
}

// sources names the slopes behind a quantity with the values of their variables, by the cases.
func (q *Quantity) sources(cases [2]*Case, slopes *Slopes) string {
	if q.Worked != nil {
		return "worked out: " + q.Note
	}
	if q.Terms == nil {
		return q.Note
	}
	var parts []string
	terms := [2][]Term{q.Terms(cases[0]), q.Terms(cases[1])}
	for i, low := range terms[0] {
		parts = append(parts, sourceOf(low, terms[1][i], slopes))
	}
	text := strings.Join(parts, " + ")
	if q.Note != "" {
		text += "; " + q.Note
	}
	return text
}

func sourceOf(low, high Term, slopes *Slopes) string {
	s := slopes.Get(low.Slope)
	if s == nil {
		return fmt.Sprintf("`%s`, which no run has measured", low.Slope)
	}
	text := fmt.Sprintf("`%s`", low.Slope)
	if low.PerUnit {
		text += " for each of " + s.Variable
	} else {
		text += " at " + bothTexts(significant(low.At), significant(high.At)) + " " + s.Variable
	}
	if low.Times != 1 || high.Times != 1 {
		text += ", times " + bothTexts(significant(low.Times), significant(high.Times))
	}
	if beyond := max(s.Beyond(low.At), s.Beyond(high.At)); beyond > worthTelling && !low.PerUnit {
		text += fmt.Sprintf(" (%s times the range)", significant(beyond))
	}
	return text
}

// worthTelling is from how many times the measured range on it is told.
const worthTelling = 1.01

func bothTexts(low, high string) string {
	if low == high {
		return low
	}
	return low + " and " + high
}

// slopesOf names all slopes that a role uses, in order and once each.
func (r *Role) slopesOf(c *Case) (names []string) {
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
