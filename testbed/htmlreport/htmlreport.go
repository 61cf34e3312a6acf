// Package htmlreport writes the result of a rehearsal as one self-contained HTML page: its figures, the six rules,
// and how service, rungs, deliveries, answers and first frames went over time, with the faults as bands.
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

const bin = 2.0 // seconds that one point of a curve stands for

// series is one curve: a value for each bin, or none.
type series struct {
	name string
	at   map[int]float64
}

type chart struct {
	Title  string
	unit   string
	most   float64 // top of the axis; 0 fits the curves
	curves []series
	SVG    template.HTML
}

// counts sums something by bin.
type counts map[int]float64

func binOf(t int64) int { return int(float64(t) / 1e6 / bin) }

// ratio is a curve of one sum over another.
func ratio(name string, part, whole counts) series {
	s := series{name, map[int]float64{}}
	for b, n := range whole {
		if n > 0 {
			s.at[b] = part[b] / n
		}
	}
	return s
}

// charts works the curves out of a trace.
func charts(day *testbed.Scenario, lines []trace.Event) []*chart {
	set := &day.Service
	type ask struct {
		t          int64
		importance float64
		target     float64
		answered   bool
	}
	first, byID := map[string]*ask{}, map[int64]trace.Event{}
	asked, served := counts{}, counts{}
	plays, declined, failed := counts{}, counts{}, counts{}
	segments, short := counts{}, counts{}
	rungs := make([]counts, len(set.RatesKB))
	for i := range rungs {
		rungs[i] = counts{}
	}
	took := map[int][]float64{}
	links, uplinks := map[int][]float64{}, map[int][]float64{}
	reasons, why := map[string]counts{}, []string(nil)
	for _, l := range lines {
		b := binOf(l.T)
		switch l.Kind {
		case trace.Ask:
			byID[l.ID] = l
			if n, ok := set.ProductNumber(l.Product); ok && l.First {
				p := set.Products[n]
				first[l.Viewer] = &ask{l.T, p.Importance, p.TargetMs * 1000, false}
				asked[b] += p.Importance
			}
		case trace.Answer:
			from, ok := byID[l.ID]
			switch {
			case !ok:
			case l.Status == 200 && l.Play != from.Play:
				plays[b]++
				if a := first[from.Viewer]; a != nil && !a.answered {
					a.answered = true
					if float64(l.T-a.t) <= a.target {
						served[binOf(a.t)] += a.importance
					}
					took[binOf(a.t)] = append(took[binOf(a.t)], float64(l.T-a.t)/1000)
				}
			case l.Status == 503:
				declined[b]++
				reason := strings.TrimPrefix(l.Note, "declined: ")
				if reasons[reason] == nil {
					reasons[reason], why = counts{}, append(why, reason)
				}
				reasons[reason][b]++
			case l.Status == 502 || l.Status == 504:
				failed[b]++
			}
		case trace.Load:
			links[b], uplinks[b] = append(links[b], l.Share), append(uplinks[b], l.Uplink)
		case trace.Served:
			segments[b]++
			if l.Share > 0 && l.Share < 0.98 {
				short[b]++
			}
			if l.Rung >= 0 && l.Rung < len(rungs) {
				rungs[l.Rung][b]++
			}
		}
	}
	spread := func(of map[int][]float64, part int, middle, high string) []series {
		median, late := series{middle, map[int]float64{}}, series{high, map[int]float64{}}
		for b, t := range of {
			sort.Float64s(t)
			median.at[b], late.at[b] = t[len(t)/2], t[min(len(t)-1, len(t)*part/100)]
		}
		return []series{median, late}
	}
	byRung := &chart{Title: "Segments by rung", unit: "share", most: 1}
	for i, r := range rungs {
		byRung.curves = append(byRung.curves, ratio(fmt.Sprintf("rung %d, %.0f kB/s", i, set.RatesKB[i]), r, segments))
	}
	rate := func(name string, c counts) series {
		s := series{name, map[int]float64{}}
		for b := range asked {
			s.at[b] = c[b] / bin
		}
		return s
	}
	sort.Strings(why)
	byReason := &chart{Title: "Declined, by reason", unit: "a second"}
	for _, r := range why {
		name := r
		if name == "" {
			name = "no reason told"
		}
		byReason.curves = append(byReason.curves, rate(name, reasons[r]))
	}
	loads := append(spread(links, 90, "links, median", "links, 90th percentile"), spread(uplinks, 90, "uplinks, median", "uplinks, 90th percentile")...)
	return []*chart{
		{Title: "Service: importance answered within the first-frame target, by the time of asking", unit: "share", most: 1,
			curves: []series{ratio("service", served, asked)}},
		{Title: "Answers", unit: "a second", curves: []series{rate("plays", plays), rate("declined", declined), rate("failed", failed)}},
		byReason,
		byRung,
		{Title: "What is asked of links and uplinks over what they give", unit: "ratio", curves: loads},
		{Title: "Segments delivered under 98% of their rate", unit: "share", most: 1, curves: []series{ratio("short", short, segments)}},
		{Title: "First frame, from the viewer's first try on", unit: "ms", curves: spread(took, 99, "median", "99th percentile")},
	}
}

// band is a fault's time.
type band struct {
	from, to float64
	name     string
}

func bands(day *testbed.Scenario, lines []trace.Event) (out []band) {
	lasts := map[string]float64{}
	for _, f := range day.Faults {
		lasts[f.String()] = max(1, f.Duration)
		if f.Action == "drain" {
			lasts[f.String()] = f.Amount + f.Duration
		}
	}
	for _, l := range lines {
		if l.Kind == trace.Fault {
			t := float64(l.T) / 1e6
			out = append(out, band{t, t + lasts[l.Note], l.Note})
		}
	}
	return out
}

var inks = []color.RGBA{{31, 90, 160, 255}, {200, 80, 30, 255}, {40, 130, 60, 255}, {120, 60, 150, 255}, {90, 90, 90, 255}, {160, 130, 20, 255}}

func (c *chart) draw(faults []band) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", c.unit
	p.Y.Min = 0
	last, top := 0.0, c.most
	for _, s := range c.curves {
		for b, v := range s.at {
			last = max(last, float64(b+1)*bin)
			if c.most == 0 {
				top = max(top, v*1.05)
			}
		}
	}
	if top == 0 {
		top = 1
	}
	for _, f := range faults {
		poly, err := plotter.NewPolygon(plotter.XYs{{X: f.from, Y: 0}, {X: min(f.to, last), Y: 0}, {X: min(f.to, last), Y: top}, {X: f.from, Y: top}})
		if err != nil {
			return err
		}
		poly.Color, poly.LineStyle.Width = color.NRGBA{200, 60, 60, 22}, 0
		p.Add(poly)
	}
	p.Add(plotter.NewGrid())
	for i, s := range c.curves {
		var bins []int
		for b := range s.at {
			bins = append(bins, b)
		}
		sort.Ints(bins)
		xy := make(plotter.XYs, len(bins))
		for k, b := range bins {
			xy[k] = plotter.XY{X: (float64(b) + 0.5) * bin, Y: s.at[b]}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = inks[i%len(inks)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.Legend.Top = true
	p.Y.Max = top
	w, err := p.WriterTo(22*vg.Centimeter, 6.5*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return err
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	c.SVG = template.HTML(text)
	return nil
}

var whole = template.Must(template.New("page").Parse(`<!doctype html>
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

// Write writes the page of a day that was played.
func Write(w io.Writer, title string, day *testbed.Scenario, lines []trace.Event, rep *audit.Report) error {
	faults := bands(day, lines)
	all := charts(day, lines)
	for _, c := range all {
		if err := c.draw(faults); err != nil {
			return fmt.Errorf("page: %s: %w", c.Title, err)
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
	if err := whole.Execute(w, map[string]any{"Title": title, "Report": rep, "Charts": all, "Faults": rows}); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}
