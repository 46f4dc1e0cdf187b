package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// printer writes the table and keeps the first error.
type printer struct {
	w      io.Writer // destination
	slopes *Slopes
	cases  [2]*Case // the low and the high column
	err    error    // the first error of a write
}

// printLine writes a formatted line unless an earlier write has failed.
func (p *printer) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// Table writes the table of what each role costs at a size, as markdown. The error is the first one of writing.
func Table(w io.Writer, size *Size, slopes *Slopes) error {
	p := &printer{w: w, slopes: slopes, cases: size.Cases()}
	p.printImplied(size)
	p.printUnknowns(size)
	p.printSummary()
	for _, role := range Roles() {
		p.printRole("###", role)
	}
	p.printLine("## Failures\n")
	p.printLine("What each does to messages, processor time and staleness, and what a proxy does meanwhile.\n")
	for _, failure := range Failures() {
		p.printRole("###", failure)
	}
	p.printRuns()
	return p.err
}

// printImplied prints the given size and what follows from it for one proxy.
func (p *printer) printImplied(size *Size) {
	p.printLine("## What the size implies\n")
	p.printLine("| given | worked out |\n| --- | --- |")
	p.printLine("| %s proxies, %s connections | %s connections on a proxy |", grouped(size.Proxies), grouped(size.Connections), significant(size.ConnectionsPerProxy()))
	p.printLine("| %s deliveries a second, within %v for 99 in 100 | %s deliveries a second on a proxy |", grouped(size.Deliveries), size.DeliveryWithin, significant(size.DeliveriesPerProxy()))
	p.printLine("| %s shards of topics, the largest topic has %s listeners | %s shards and %s of its listeners to a proxy |", grouped(size.Shards), grouped(size.LargestTopic),
		significant(size.Shards/size.Proxies), significant(size.LargestTopic/size.Proxies))
	p.printLine("| %s changes of configuration a day, in force everywhere within %v | %s a second on the mean; a zone's loss, a release or a region's return bring many at once, see there |",
		grouped(size.Changes), size.ChangedWithin, significant(size.ChangesPerSecond()))
	p.printLine("| for control, a proxy spends at most %s of a core, %s MiB, %s bytes a second | %s to a proxy within %v |", strings.TrimSuffix(Cores.format(size.ControlCores), " of a core"),
		significant(size.ControlMemoryMB), grouped(size.ControlBytes), Traffic.format(size.BytesWithinChangeTime()), size.ChangedWithin)
	p.printLine("| %s machines for control | %s proxies to each; %s out of each if they alone feed the proxies all they may take |", significant(size.ControlMachines),
		significant(size.ProxiesPerControlMachine()), TrafficPerSecond.format(size.ControlMachineBytes()))
	p.printLine("| %s machines fail, %s are restarted or replaced in a day; regions are apart for %v now and then | one fails in %s, one is restarted in %s |", significant(size.MachinesFail),
		grouped(size.Restarts), size.RegionsApart, Seconds.format(secondsInDay/size.MachinesFail), Seconds.format(secondsInDay/size.Restarts))
	p.printLine("| %s regions, %s zones | %s proxies in a zone, %s in a region, %s connections in a zone |", significant(size.Regions), significant(size.Zones),
		significant(size.Proxies/size.Zones), significant(size.Proxies/size.Regions), significant(size.Connections/size.Zones))
	p.printLine("")
}

// printUnknowns prints the unknown parameters with their assumed values.
func (p *printer) printUnknowns(size *Size) {
	p.printLine("## What is not known\n")
	p.printLine("Each of these is a question in [questions.md](questions.md) and has a column for its low and for its high value, the one that costs less and the one that costs more; all are low in the first column and high in the second.\n")
	p.printLine("| parameter | what | low | high | why these | question |\n| --- | --- | --- | --- | --- | --- |")
	for _, u := range size.Unknown.all() {
		p.printLine("| `%s` | %s | %s | %s | %s | %d |", u.key, u.Unit, significant(u.Low), significant(u.High), u.Reason, u.Question)
	}
	p.printLine("")
}

// printSummary prints a line for each role, with its figure that is nearest to its ceiling or furthest beyond.
func (p *printer) printSummary() {
	p.printLine("## Roles\n")
	p.printLine("By its figure that is nearest to its ceiling or furthest beyond, in each column.\n")
	p.printLine("| role | mechanism | low | high |\n| --- | --- | --- | --- |")
	for _, role := range Roles() {
		p.printLine("| %s | %s | %s | %s |", role.Name, role.Mechanism, p.bindingFigureText(role, p.cases[0]), p.bindingFigureText(role, p.cases[1]))
	}
	p.printLine("")
	p.printControlSums()
}

// bindingFigureText describes the figure of a role that is nearest to its ceiling or furthest beyond. Quantities of replaced
// mechanisms are skipped.
func (p *printer) bindingFigureText(role Role, c *Case) string {
	highestRatio, text, missing := 0.0, "no ceiling given", 0
	for _, q := range role.Quantities {
		if q.IsReplaced {
			continue
		}
		f := q.evaluate(c, p.slopes)
		if !f.known {
			missing++
			continue
		}
		if ratio := q.ratio(c, f); ratio > highestRatio {
			highestRatio = ratio
			text = fmt.Sprintf("%s: %s, %s (ceiling %s)", q.verdict(c, f), q.Label, q.text(f), q.Unit.format(q.Ceiling.Value(c)))
		}
	}
	switch {
	case highestRatio == 0 && missing > 0:
		text = "not measured"
	case missing > 0:
		text += fmt.Sprintf(" (%d not measured)", missing)
	}
	return text
}

// printControlSums prints the totals of what all roles take for control on a proxy. Flat counts are not part of them, as that
// mechanism is replaced.
func (p *printer) printControlSums() {
	p.printLine("All that is measured of control on a proxy, added up (without the flat counts):\n")
	p.printLine("| | low | high | ceiling |\n| --- | --- | --- | --- |")
	for _, sum := range []struct {
		name    string
		part    ControlPart
		unit    Unit
		ceiling Ceiling
	}{{"memory", controlMemory, Bytes, controlMemoryCeiling}, {"processor time", controlCores, Cores, controlCoreCeiling}, {"bytes", controlTraffic, TrafficPerSecond, controlBytesCeiling}} {
		var texts [2]string
		for i, c := range p.cases {
			total, missing := 0.0, 0
			for _, role := range Roles() {
				for _, q := range role.Quantities {
					if q.Part != sum.part {
						continue
					}
					if f := q.evaluate(c, p.slopes); f.known {
						total += f.value
					} else {
						missing++
					}
				}
			}
			texts[i] = sum.unit.format(total)
			if ratio := total / sum.ceiling.Value(c); ratio > 1 {
				texts[i] += fmt.Sprintf(", **beyond by %s**", significant(ratio))
			}
			if missing > 0 {
				texts[i] += fmt.Sprintf(" (%d parts not measured)", missing)
			}
		}
		p.printLine("| %s | %s | %s | %s |", sum.name, texts[0], texts[1], sum.unit.format(sum.ceiling.Value(p.cases[0])))
	}
	p.printLine("")
}

// printRole prints a role with a row for each of its quantities.
func (p *printer) printRole(heading string, role Role) {
	p.printLine("%s %s\n", heading, role.Name)
	p.printLine("Mechanism: %s.\n", role.Mechanism)
	for _, text := range role.Notes {
		p.printLine("%s\n", text)
	}
	p.printLine("| what | low | high | ceiling | verdict, low | high | from |\n| --- | --- | --- | --- | --- | --- | --- |")
	for _, q := range role.Quantities {
		low, high := q.evaluate(p.cases[0], p.slopes), q.evaluate(p.cases[1], p.slopes)
		p.printLine("| %s | %s | %s | %s | %s | %s | %s |", q.Label, q.text(low), q.text(high), q.ceilingText(p.cases[0]),
			q.verdict(p.cases[0], low), q.verdict(p.cases[1], high), q.sourceText(p.cases, p.slopes))
	}
	p.printLine("")
}

// ceilingText describes the quantity's ceiling, "" for none.
func (q *Quantity) ceilingText(c *Case) string {
	if q.Ceiling.Value == nil {
		return ""
	}
	return q.Unit.format(q.Ceiling.Value(c)) + " (" + q.Ceiling.Source + ")"
}

// UsedSlopes returns the names of all slopes that any figure uses, sorted.
func UsedSlopes(size *Size) (names []string) {
	for _, c := range size.Cases() {
		for _, role := range slices.Concat(Roles(), Failures()) {
			names = append(names, role.slopeNames(c)...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// printRuns prints the slopes in use, with their fits, and the runs that measured them.
func (p *printer) printRuns() {
	p.printLine("## The runs\n")
	p.printLine("Least of several repetitions for each point. *Spread* is the root mean square of the points' distance from the fit, as a share of it. A fit that falls is not carried on beyond what was measured. Points and machine: [capacity/slopes.json](capacity/slopes.json).\n")
	p.printLine("| slope | fit | measured | spread | repetitions | run |\n| --- | --- | --- | --- | --- | --- |")
	var origins []Origin
	for _, name := range UsedSlopes(p.cases[0].Size) {
		s := p.slopes.Get(name)
		if s == nil {
			p.printLine("| `%s` | not measured | | | | |", name)
			continue
		}
		index := slices.Index(origins, s.Origin)
		if index < 0 {
			index = len(origins)
			origins = append(origins, s.Origin)
		}
		smallest, largest := s.Range()
		p.printLine("| `%s` | %s | %s to %s %s | %s | %d | [%d] |", name, s.formula(), significant(smallest), significant(largest), s.Variable,
			Share.format(s.Spread), s.Runs, index+1)
	}
	p.printLine("")
	for i, origin := range origins {
		text := fmt.Sprintf("%d. `%s`, commit %s, %s, %s.", i+1, origin.Command, origin.Commit, origin.Date, origin.Machine)
		if origin.Note != "" {
			text += " " + origin.Note
		}
		p.printLine("%s", text)
	}
}

// formula returns the fit as text.
func (s *Slope) formula() string {
	if s.Exact {
		return "none, too few steps"
	}
	if s.Power != 0 {
		return fmt.Sprintf("%s x %s^%.2f", significant(s.Factor), s.Variable, s.Power)
	}
	sign := "+"
	if s.PerUnit < 0 {
		sign = "-"
	}
	return fmt.Sprintf("%s %s %s x %s", significant(s.Intercept), sign, significant(math.Abs(s.PerUnit)), s.Variable)
}
