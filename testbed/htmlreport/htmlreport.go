// Package htmlreport writes the result of a rehearsal as one self-contained HTML page: its figures, the results of the
// six rules, and charts of service, rungs, deliveries, answers, loads and times to first frame, with the faults shaded.
package htmlreport

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gullrail/testbed"
	"gullrail/testbed/audit"
	"gullrail/testbed/trace"
)

const binSeconds = 2.0 // seconds of the trace that one point of a curve covers

// series is one curve. Bins without a value have no point.
type series struct {
	name   string
	values map[int]float64
}

type chart struct {
	Title  string
	unit   string
	yMax   float64 // upper end of the y axis; 0 fits it to the curves
	curves []series
	SVG    template.HTML
}

// binSums holds a sum for each bin.
type binSums map[int]float64

func binAt(t int64) int { return int(float64(t) / 1e6 / binSeconds) }

// ratio returns the curve of part over total.
func ratio(name string, part, total binSums) series {
	s := series{name, map[int]float64{}}
	for b, n := range total {
		if n > 0 {
			s.values[b] = part[b] / n
		}
	}
	return s
}

// buildCharts computes the charts of a trace.
func buildCharts(scenario *testbed.Scenario, events []trace.Event) []*chart {
	service := &scenario.Service
	type ask struct {
		t          int64
		importance float64
		target     float64
		answered   bool
	}
	first, byID := map[string]*ask{}, map[int64]trace.Event{}
	askedImportance, servedImportance := binSums{}, binSums{}
	plays, declined, failed := binSums{}, binSums{}, binSums{}
	segments, underRate := binSums{}, binSums{}
	rungs := make([]binSums, len(service.RatesKB))
	for i := range rungs {
		rungs[i] = binSums{}
	}
	firstFrameMs := map[int][]float64{}
	links, uplinks := map[int][]float64{}, map[int][]float64{}
	reasons, reasonNames := map[string]binSums{}, []string(nil)
	for _, e := range events {
		b := binAt(e.T)
		switch e.Kind {
		case trace.RequestSent:
			byID[e.ID] = e
			if n, ok := service.ProductNumber(e.Product); ok && e.First {
				p := service.Products[n]
				first[e.Viewer] = &ask{e.T, p.Importance, p.TargetMs * 1000, false}
				askedImportance[b] += p.Importance
			}
		case trace.Answer:
			asked, ok := byID[e.ID]
			switch {
			case !ok:
			case e.Status == 200 && e.Play != asked.Play:
				plays[b]++
				if request := first[asked.Viewer]; request != nil && !request.answered {
					request.answered = true
					if float64(e.T-request.t) <= request.target {
						servedImportance[binAt(request.t)] += request.importance
					}
					firstFrameMs[binAt(request.t)] = append(firstFrameMs[binAt(request.t)], float64(e.T-request.t)/1000)
				}
			case e.Status == 503:
				declined[b]++
				reason := strings.TrimPrefix(e.Note, "declined: ")
				if reasons[reason] == nil {
					reasons[reason], reasonNames = binSums{}, append(reasonNames, reason)
				}
				reasons[reason][b]++
			case e.Status == 502 || e.Status == 504:
				failed[b]++
			}
		case trace.Load:
			links[b], uplinks[b] = append(links[b], e.Share), append(uplinks[b], e.Uplink)
		case trace.Served:
			segments[b]++
			if e.Share > 0 && e.Share < 0.98 {
				underRate[b]++
			}
			if e.Rung >= 0 && e.Rung < len(rungs) {
				rungs[e.Rung][b]++
			}
		}
	}
	percentiles := func(samples map[int][]float64, percent int, medianName, percentileName string) []series {
		median, high := series{medianName, map[int]float64{}}, series{percentileName, map[int]float64{}}
		for b, values := range samples {
			sort.Float64s(values)
			median.values[b], high.values[b] = values[len(values)/2], values[min(len(values)-1, len(values)*percent/100)]
		}
		return []series{median, high}
	}
	byRung := &chart{Title: "Segments by rung", unit: "share", yMax: 1}
	for i, r := range rungs {
		byRung.curves = append(byRung.curves, ratio(fmt.Sprintf("rung %d, %.0f kB/s", i, service.RatesKB[i]), r, segments))
	}
	rate := func(name string, c binSums) series {
		s := series{name, map[int]float64{}}
		for b := range askedImportance {
			s.values[b] = c[b] / binSeconds
		}
		return s
	}
	sort.Strings(reasonNames)
	byReason := &chart{Title: "Declined, by reason", unit: "per second"}
	for _, r := range reasonNames {
		name := r
		if name == "" {
			name = "no reason given"
		}
		byReason.curves = append(byReason.curves, rate(name, reasons[r]))
	}
	loads := append(percentiles(links, 90, "links, median", "links, 90th percentile"), percentiles(uplinks, 90, "uplinks, median", "uplinks, 90th percentile")...)
	return []*chart{
		{Title: "Service: share of importance answered within the first-frame target, by time of request", unit: "share", yMax: 1,
			curves: []series{ratio("service", servedImportance, askedImportance)}},
		{Title: "Answers", unit: "per second", curves: []series{rate("plays", plays), rate("declined", declined), rate("failed", failed)}},
		byReason,
		byRung,
		{Title: "Load of links and uplinks over their capacity", unit: "ratio", curves: loads},
		{Title: "Segments delivered under 98% of their rate", unit: "share", yMax: 1, curves: []series{ratio("under 98%", underRate, segments)}},
		{Title: "Time to first frame, from the viewer's first request", unit: "ms", curves: percentiles(firstFrameMs, 99, "median", "99th percentile")},
	}
}

// faultBand is the time span of a fault, in seconds.
type faultBand struct {
	from, to float64
	name     string
}

func faultBands(scenario *testbed.Scenario, events []trace.Event) (out []faultBand) {
	duration := map[string]float64{}
	for _, f := range scenario.Faults {
		duration[f.String()] = max(1, f.Duration)
		if f.Action == "drain" {
			duration[f.String()] = f.Amount + f.Duration
		}
	}
	for _, e := range events {
		if e.Kind == trace.Fault {
			t := float64(e.T) / 1e6
			out = append(out, faultBand{t, t + duration[e.Note], e.Note})
		}
	}
	return out
}

var palette = []color.RGBA{{31, 90, 160, 255}, {200, 80, 30, 255}, {40, 130, 60, 255}, {120, 60, 150, 255}, {90, 90, 90, 255}, {160, 130, 20, 255}}

func (c *chart) draw(faults []faultBand) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", c.unit
	p.Y.Min = 0
	xMax, yMax := 0.0, c.yMax
	for _, s := range c.curves {
		for b, v := range s.values {
			xMax = max(xMax, float64(b+1)*binSeconds)
			if c.yMax == 0 {
				yMax = max(yMax, v*1.05)
			}
		}
	}
	if yMax == 0 {
		yMax = 1
	}
	for _, f := range faults {
		poly, err := plotter.NewPolygon(plotter.XYs{{X: f.from, Y: 0}, {X: min(f.to, xMax), Y: 0}, {X: min(f.to, xMax), Y: yMax}, {X: f.from, Y: yMax}})
		if err != nil {
			return err
		}
		poly.Color, poly.LineStyle.Width = color.NRGBA{200, 60, 60, 22}, 0
		p.Add(poly)
	}
	p.Add(plotter.NewGrid())
	for i, s := range c.curves {
		var bins []int
		for b := range s.values {
			bins = append(bins, b)
		}
		sort.Ints(bins)
		xy := make(plotter.XYs, len(bins))
		for k, b := range bins {
			xy[k] = plotter.XY{X: (float64(b) + 0.5) * binSeconds, Y: s.values[b]}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.Legend.Top = true
	p.Y.Max = yMax
	w, err := p.WriterTo(22*vg.Centimeter, 6.5*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return err
	}
	svg := out.String()
	if i := strings.Index(svg, "<svg"); i >= 0 {
		svg = svg[i:]
	}
	c.SVG = template.HTML(svg)
	return nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:left}.broken{color:#b00;font-weight:bold}svg{max-width:100%;height:auto}</style></head>
<body><h1>{{.Title}}</h1>
<table><tr><th>service</th><td>{{printf "%.3f" .Report.Service}}</td></tr><tr><th>worth</th><td>{{printf "%.3f" .Report.Worth}}</td></tr>
<tr><th>plays asked</th><td>{{.Report.Asked}}</td></tr><tr><th>plays</th><td>{{.Report.Plays}}</td></tr>
<tr><th>declined</th><td>{{.Report.Declined}}</td></tr><tr><th>failed</th><td>{{.Report.Failed}}</td></tr>
<tr><th>allocations doubled</th><td>{{.Report.Doubled}}</td></tr><tr><th>further allocations</th><td>{{.Report.Reallocated}}</td></tr></table>
<h2>The six rules</h2><table>{{range .Report.Rules}}<tr><td>{{.Name}}</td><td>{{if .Violations}}<span class="broken">broken {{len .Violations}} times: {{index .Violations 0}}</span>{{else}}kept{{end}}</td></tr>{{end}}</table>
{{range .Charts}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>Faults</h2><table>{{range .Faults}}<tr><td>{{printf "%.1f s" .From}}</td><td>{{.Name}}</td></tr>{{end}}</table>
</body></html>
`))

// Write writes the report of one run of a scenario.
func Write(w io.Writer, title string, scenario *testbed.Scenario, events []trace.Event, report *audit.Report) error {
	faults := faultBands(scenario, events)
	charts := buildCharts(scenario, events)
	for _, c := range charts {
		if err := c.draw(faults); err != nil {
			return fmt.Errorf("htmlreport: draw chart %q: %w", c.Title, err)
		}
	}
	type row struct {
		From float64
		Name string
	}
	var rows []row
	for _, f := range faults {
		rows = append(rows, row{f.from, f.name})
	}
	if err := pageTemplate.Execute(w, map[string]any{"Title": title, "Report": report, "Charts": charts, "Faults": rows}); err != nil {
		return fmt.Errorf("htmlreport: execute template: %w", err)
	}
	return nil
}
