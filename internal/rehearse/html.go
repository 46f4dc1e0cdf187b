package rehearse

import (
	"bytes"
	"fmt"
	"html/template"
	"os"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"chalkferry/internal/load"
)

// WriteHTML draws the report as one page that needs nothing else.
func (r *Report) WriteHTML(file string) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	var text bytes.Buffer
	r.Print(&text)
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, map[string]any{"Report": r, "Plots": plots, "Text": text.String()}); err != nil {
		return err
	}
	return os.WriteFile(file, page.Bytes(), 0o644)
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Rehearsal: {{.Report.Scenario}}</title>
<style>
body { font-family: sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #222 }
pre { background: #f4f4f4; padding: 1em; overflow-x: auto }
table { border-collapse: collapse } td, th { border: 1px solid #ccc; padding: .3em .6em; text-align: right }
td:first-child, th:first-child { text-align: left }
.no { background: #fbe3e0; padding: .6em 1em } .yes { background: #e3f4e1; padding: .6em 1em }
svg { max-width: 100%; height: auto }
</style></head><body>
<h1>Rehearsal: {{.Report.Scenario}}</h1>
{{if .Report.Late}}<p class="no">The generator was late: {{.Report.LateSends}} sends by more than {{.Report.LateBoundMs}} ms. The times are its own as well as the proxies'.</p>{{end}}
{{if .Report.Interrupted}}<p class="no">Interrupted: what was seen until then.</p>{{end}}
{{range .Report.Failed}}<p class="no">{{.}}</p>{{else}}<p class="yes">All rules kept.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
{{if .Report.Rules}}<h2>Rules broken</h2><table><tr><th>rule</th><th>at, ms</th><th>session</th><th>node</th><th>proxy</th><th>what</th></tr>
{{range .Report.Rules}}<tr><td>{{.Rule}}</td><td>{{.AtMs}}</td><td>{{.Session}}</td><td>{{.Node}}</td><td>{{.Proxy}}</td><td>{{.Text}}</td></tr>{{end}}</table>{{end}}
<h2>In words</h2><pre>{{.Text}}</pre>
</body></html>
`))

type plot struct {
	Title string
	SVG   template.HTML
}

func (r *Report) plots() ([]plot, error) {
	by := func(windows []load.Window, of func(load.Summary) float64) (x, y []float64) {
		for _, w := range windows {
			x, y = append(x, w.FromMs/1000), append(y, of(w.Summary))
		}
		return x, y
	}
	p50 := func(f load.Summary) float64 { return f.P50 }
	p99 := func(f load.Summary) float64 { return f.P99 }
	var times, open, most, least, load []float64
	fds := make([][]float64, len(r.Proxies))
	for _, s := range r.Samples {
		if s.AtMs < 0 {
			continue
		}
		times, open, load = append(times, s.AtMs/1000), append(open, float64(s.OpenSessions)), append(load, s.MaxLoad)
		high, low := 0, -1
		for _, held := range s.SessionsByNode {
			high = max(high, held)
			if low < 0 || held < low {
				low = held
			}
		}
		most, least = append(most, float64(high)), append(least, float64(low))
		for i := range fds {
			fds[i] = append(fds[i], float64(s.FDs[i]))
		}
	}
	var plots []plot
	var failed error
	draw := func(title, axis string, series ...chart.Series) {
		svg, err := svgOf(axis, series)
		if err != nil {
			failed = err
		}
		if svg != "" {
			plots = append(plots, plot{title, svg})
		}
	}
	c50x, c50 := by(r.ConnectBy, p50)
	_, c99 := by(r.ConnectBy, p99)
	draw("Handshakes, by the second in which they were to begin", "ms", line("p50", 0, c50x, c50), line("p99", 1, c50x, c99))
	m50x, m50 := by(r.MessageBy, p50)
	_, m99 := by(r.MessageBy, p99)
	draw("Messages, by the second in which they were to be sent", "ms", line("p50", 0, m50x, m50), line("p99", 1, m50x, m99))
	draw("Open sessions", "sessions", line("all", 0, times, open), line("most at one node", 1, times, most), line("least at one node", 2, times, least))
	draw("The node asked for most of what it can do", "asked over capacity", line("load", 0, times, load))
	var proxies []chart.Series
	for i := range fds {
		proxies = append(proxies, line(r.Proxies[i].Name, i, times, fds[i]))
	}
	draw("Descriptors of the proxies", "descriptors", proxies...)
	return plots, failed
}

func line(name string, color int, x, y []float64) chart.Series {
	return chart.ContinuousSeries{Name: name, XValues: x, YValues: y,
		Style: chart.Style{StrokeColor: chart.GetDefaultColor(color), StrokeWidth: 2}}
}

// svgOf draws series over the seconds of the run; "" where there is nothing to draw.
func svgOf(axis string, series []chart.Series) (template.HTML, error) {
	top := 0.0
	for _, s := range series {
		c := s.(chart.ContinuousSeries)
		if len(c.XValues) < 2 {
			return "", nil
		}
		for _, v := range c.YValues {
			top = max(top, v)
		}
	}
	if len(series) == 0 {
		return "", nil
	}
	graph := chart.Chart{Width: 960, Height: 280, Background: chart.Style{Padding: chart.Box{Top: 30, Left: 10, Right: 10, Bottom: 10}, FillColor: drawing.ColorWhite},
		XAxis:  chart.XAxis{Name: "s", ValueFormatter: func(v any) string { return fmt.Sprintf("%.0f", v) }},
		YAxis:  chart.YAxis{Name: axis, Range: &chart.ContinuousRange{Min: 0, Max: max(top*1.05, 1)}},
		Series: series}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var to bytes.Buffer
	if err := graph.Render(chart.SVG, &to); err != nil {
		return "", err
	}
	return template.HTML(to.String()), nil // made here of numbers and our own names
}
