package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// printer writes the page's table and keeps the first error.
type printer struct {
	to     io.Writer
	slopes *Slopes
	cases  [2]*Case
	err    error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format+"\n", args...)
	}
}

// Table prints what each role costs at the size, from the slopes, as markdown.
func Table(to io.Writer, size *Size, slopes *Slopes) error {
	p := &printer{to: to, slopes: slopes, cases: size.Cases()}
	p.implied(size)
	p.unknowns(size)
	p.summary()
	for _, role := range Roles() {
		p.role("###", role)
	}
	p.line("## Failures\n")
	p.line("What each does to messages, processor time and staleness, and what a proxy does meanwhile.\n")
	for _, failure := range Failures() {
		p.role("###", failure)
	}
	p.runs()
	return p.err
}

func (p *printer) implied(size *Size) {
	p.line("## What the size implies\n")
	p.line("| given | worked out |\n| --- | --- |")
	p.line("| %s proxies, %s connections | %s connections on a proxy |", grouped(size.Proxies), grouped(size.Connections), significant(size.ConnectionsEach()))
	p.line("| %s deliveries a second, within %v for 99 in 100 | %s deliveries a second on a proxy |", grouped(size.Deliveries), size.DeliveryWithin, significant(size.DeliveriesEach()))
	p.line("| %s shards of topics, the largest topic has %s listeners | %s shards and %s of its listeners to a proxy |", grouped(size.Shards), grouped(size.LargestTopic),
		significant(size.Shards/size.Proxies), significant(size.LargestTopic/size.Proxies))
	p.line("| %s changes of configuration a day, in force everywhere within %v | %s a second on the mean; a zone's loss, a release or a region's return bring many at once, see there |",
		grouped(size.Changes), size.ChangedWithin, significant(size.ChangesEach()))
	p.line("| for control, a proxy spends at most %s of a core, %s MiB, %s bytes a second | %s to a proxy within %v |", strings.TrimSuffix(Cores.format(size.ControlCores), " of a core"),
		significant(size.ControlMemoryMB), grouped(size.ControlBytes), Traffic.format(size.BytesWithin()), size.ChangedWithin)
	p.line("| %s machines for control | %s proxies to each; %s out of each if they alone feed the proxies all they may take |", significant(size.ControlMachines),
		significant(size.ProxiesToMachine()), TrafficPerSecond.format(size.MachineBytes()))
	p.line("| %s machines fail, %s are restarted or replaced in a day; regions are apart for %v now and then | one fails in %s, one is restarted in %s |", significant(size.MachinesFail),
		grouped(size.Restarts), size.RegionsApart, Seconds.format(secondsInDay/size.MachinesFail), Seconds.format(secondsInDay/size.Restarts))
	p.line("| %s regions, %s zones | %s proxies in a zone, %s in a region, %s connections in a zone |", significant(size.Regions), significant(size.Zones),
		significant(size.Proxies/size.Zones), significant(size.Proxies/size.Regions), significant(size.Connections/size.Zones))
	p.line("")
}

func (p *printer) unknowns(size *Size) {
	p.line("## What is not known\n")
	p.line("Each of these is a question in [questions.md](questions.md) and has a column for its low and for its high value, the one that costs less and the one that costs more; all are low in the first column and high in the second.\n")
	p.line("| parameter | what | low | high | why these | question |\n| --- | --- | --- | --- | --- | --- |")
	for _, u := range size.Unknown.all() {
		p.line("| `%s` | %s | %s | %s | %s | %d |", u.key, u.Unit, significant(u.Low), significant(u.High), u.Reason, u.Question)
	}
	p.line("")
}

// summary names for each role the figure that is the nearest to its ceiling, or the furthest beyond. What stands for
// comparison only is passed over.
func (p *printer) summary() {
	p.line("## Roles\n")
	p.line("By its figure that is nearest to its ceiling or furthest beyond, in each column.\n")
	p.line("| role | mechanism | low | high |\n| --- | --- | --- | --- |")
	for _, role := range Roles() {
		p.line("| %s | %s | %s | %s |", role.Name, role.Mechanism, p.binding(role, p.cases[0]), p.binding(role, p.cases[1]))
	}
	p.line("")
	p.controlSums()
}

func (p *printer) binding(role Role, c *Case) string {
	most, text, missing := 0.0, "no ceiling given", 0
	for _, q := range role.Quantities {
		if q.Before {
			continue
		}
		f := q.at(c, p.slopes)
		if !f.known {
			missing++
			continue
		}
		if ratio := q.ratio(c, f); ratio > most {
			most = ratio
			text = fmt.Sprintf("%s: %s, %s (ceiling %s)", q.verdict(c, f), q.What, q.text(f), q.Unit.format(q.Ceiling.Value(c)))
		}
	}
	switch {
	case most == 0 && missing > 0:
		text = "not measured"
	case missing > 0:
		text += fmt.Sprintf(" (%d not measured)", missing)
	}
	return text
}

// controlSums adds up what all roles take of control, without the flat counts, which are not meant to stay.
func (p *printer) controlSums() {
	p.line("All that is measured of control on a proxy, added up (without the flat counts):\n")
	p.line("| | low | high | ceiling |\n| --- | --- | --- | --- |")
	for _, sum := range []struct {
		name    string
		part    ControlPart
		unit    Unit
		ceiling Ceiling
	}{{"memory", controlMemory, Bytes, controlMem}, {"processor time", controlCores, Cores, controlCore}, {"bytes", controlTraffic, TrafficPerSecond, controlBytes}} {
		var texts [2]string
		for i, c := range p.cases {
			total, missing := 0.0, 0
			for _, role := range Roles() {
				for _, q := range role.Quantities {
					if q.Part != sum.part {
						continue
					}
					if f := q.at(c, p.slopes); f.known {
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
		p.line("| %s | %s | %s | %s |", sum.name, texts[0], texts[1], sum.unit.format(sum.ceiling.Value(p.cases[0])))
	}
	p.line("")
}

func (p *printer) role(heading string, role Role) {
	p.line("%s %s\n", heading, role.Name)
	p.line("Mechanism: %s.\n", role.Mechanism)
	for _, text := range role.About {
		p.line("%s\n", text)
	}
	p.line("| what | low | high | ceiling | verdict, low | high | from |\n| --- | --- | --- | --- | --- | --- | --- |")
	for _, q := range role.Quantities {
		low, high := q.at(p.cases[0], p.slopes), q.at(p.cases[1], p.slopes)
		p.line("| %s | %s | %s | %s | %s | %s | %s |", q.What, q.text(low), q.text(high), q.ceilingText(p.cases[0]),
			q.verdict(p.cases[0], low), q.verdict(p.cases[1], high), q.sources(p.cases, p.slopes))
	}
	p.line("")
}

func (q *Quantity) ceilingText(c *Case) string {
	if q.Ceiling.Value == nil {
		return ""
	}
	return q.Unit.format(q.Ceiling.Value(c)) + " (" + q.Ceiling.Says + ")"
}

// UsedSlopes names all slopes that any figure is worked out from, in the order of the alphabet.
func UsedSlopes(size *Size) (names []string) {
	for _, c := range size.Cases() {
		for _, role := range slices.Concat(Roles(), Failures()) {
			names = append(names, role.slopesOf(c)...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// runs lists the slopes in use with the runs that they are from.
func (p *printer) runs() {
	p.line("## The runs\n")
	p.line("Least of several repetitions for each point. *Spread* is the root mean square of the points' distance from the fit, as a share of it. A fit that falls is not carried on beyond what was measured. Points and machine: [capacity/slopes.json](capacity/slopes.json).\n")
	p.line("| slope | fit | measured | spread | repetitions | run |\n| --- | --- | --- | --- | --- | --- |")
	var origins []Origin
	for _, name := range UsedSlopes(p.cases[0].Size) {
		s := p.slopes.Get(name)
		if s == nil {
			p.line("| `%s` | not measured | | | | |", name)
			continue
		}
		at := slices.Index(origins, s.Origin)
		if at < 0 {
			at = len(origins)
			origins = append(origins, s.Origin)
		}
		least, most := s.Range()
		p.line("| `%s` | %s | %s to %s %s | %s | %d | [%d] |", name, s.formula(), significant(least), significant(most), s.Variable,
			Share.format(s.Spread), s.Runs, at+1)
	}
	p.line("")
	for i, origin := range origins {
		text := fmt.Sprintf("%d. `%s`, commit %s, %s, %s.", i+1, origin.Command, origin.Commit, origin.Date, origin.Machine)
		if origin.Note != "" {
			text += " " + origin.Note
		}
		p.line("%s", text)
	}
}

// formula prints the fit.
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
