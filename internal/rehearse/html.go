package rehearse

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"slices"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"chalkferry/internal/load"
)

// WriteHTML writes the report to a file as a self-contained HTML page.
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
{{if .Report.Late}}<p class="no">The generator was late: {{.Report.LateSends}} sends by more than {{.Report.LateBoundMs}} ms. The latencies include its own delays.</p>{{end}}
{{if .Report.Interrupted}}<p class="no">Interrupted: the results cover the time until then.</p>{{end}}
{{range .Report.Failed}}<p class="no">{{.}}</p>{{else}}<p class="yes">All rules kept.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
{{if .Report.Rules}}<h2>Rules broken</h2><table><tr><th>rule</th><th>at, ms</th><th>session</th><th>node</th><th>proxy</th><th>text</th></tr>
{{range .Report.Rules}}<tr><td>{{.Rule}}</td><td>{{.AtMs}}</td><td>{{.Session}}</td><td>{{.Node}}</td><td>{{.Proxy}}</td><td>{{.Text}}</td></tr>{{end}}</table>{{end}}
<h2>As text</h2><pre>{{.Text}}</pre>
</body></html>
`))

// plot is one rendered chart of the page.
type plot struct {
	Title string
	SVG   template.HTML
}

// chartSpec is a chart before it is rendered.
type chartSpec struct {
	title  string
	axis   string // label of the value axis
	series []chart.Series
}

func (r *Report) plots() ([]plot, error) {
	var plots []plot
	for _, spec := range r.charts() {
		svg, err := renderSVG(spec.axis, spec.series)
		if err != nil {
			return nil, err
		}
		if svg != "" {
			plots = append(plots, plot{spec.title, svg})
		}
	}
	return plots, nil
}

func (r *Report) charts() []chartSpec {
	charts := []chartSpec{
		{"Handshakes, by their scheduled second", "ms", quantileLines(r.HandshakeWindows)},
		{"Messages, by their scheduled second", "ms", quantileLines(r.MessageWindows)},
	}
	return append(charts, r.sampleCharts()...)
}

// quantileLines returns the curves of p50 and p99 by window.
func quantileLines(windows []load.Window) []chart.Series {
	var seconds, p50, p99 []float64
	for _, w := range windows {
		seconds = append(seconds, w.FromMs/1000)
		p50 = append(p50, w.P50)
		p99 = append(p99, w.P99)
	}
	return []chart.Series{lineSeries("p50", 0, seconds, p50), lineSeries("p99", 1, seconds, p99)}
}

// sampleCharts returns the charts of the samples since the start of the run.
func (r *Report) sampleCharts() []chartSpec {
	var seconds, open, maxSessions, minSessions, maxLoad []float64
	descriptors := make([][]float64, len(r.Proxies))
	for _, s := range r.Samples {
		if s.AtMs < 0 {
			continue
		}
		seconds = append(seconds, s.AtMs/1000)
		open = append(open, float64(s.OpenSessions))
		maxLoad = append(maxLoad, s.MaxLoad)
		low, high := s.sessionRange()
		maxSessions, minSessions = append(maxSessions, float64(high)), append(minSessions, float64(low))
		for i := range descriptors {
			descriptors[i] = append(descriptors[i], float64(s.FDs[i]))
		}
	}
	var proxies []chart.Series
	for i := range descriptors {
		proxies = append(proxies, lineSeries(r.Proxies[i].Name, i, seconds, descriptors[i]))
	}
	return []chartSpec{
		{"Open sessions", "sessions", []chart.Series{lineSeries("all", 0, seconds, open), lineSeries("most at one node", 1, seconds, maxSessions),
			lineSeries("least at one node", 2, seconds, minSessions)}},
		{"Highest load of any node", "demand over capacity", []chart.Series{lineSeries("load", 0, seconds, maxLoad)}},
		{"Descriptors of the proxies", "descriptors", proxies},
	}
}

// sessionRange returns the lowest and the highest number of sessions of any node, -1 and 0 without nodes.
func (s Sample) sessionRange() (low, high int) {
	if len(s.SessionsByNode) == 0 {
		return -1, 0
	}
	return slices.Min(s.SessionsByNode), slices.Max(s.SessionsByNode)
}

// lineSeries returns a curve as a chart series; color is an index into the default colors.
func lineSeries(name string, color int, x, y []float64) chart.Series {
	return chart.ContinuousSeries{Name: name, XValues: x, YValues: y,
		Style: chart.Style{StrokeColor: chart.GetDefaultColor(color), StrokeWidth: 2}}
}

// renderSVG renders series over the seconds of the run. It returns "" if there is nothing to draw.
func renderSVG(valueAxis string, series []chart.Series) (template.HTML, error) {
	maxValue := 0.0
	for _, s := range series {
		curve := s.(chart.ContinuousSeries)
		if len(curve.XValues) < 2 {
			return "", nil
		}
		for _, v := range curve.YValues {
			maxValue = max(maxValue, v)
		}
	}
	if len(series) == 0 {
		return "", nil
	}
	graph := chart.Chart{Width: 960, Height: 280, Background: chart.Style{Padding: chart.Box{Top: 30, Left: 10, Right: 10, Bottom: 10}, FillColor: drawing.ColorWhite},
		XAxis:  chart.XAxis{Name: "s", ValueFormatter: func(v any) string { return fmt.Sprintf("%.0f", v) }},
		YAxis:  chart.YAxis{Name: valueAxis, Range: &chart.ContinuousRange{Min: 0, Max: max(maxValue*1.05, 1)}},
		Series: series}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var svg bytes.Buffer
	if err := graph.Render(chart.SVG, &svg); err != nil {
		return "", err
	}
	return template.HTML(svg.String()), nil // safe: it contains only numbers and names from this program
}
