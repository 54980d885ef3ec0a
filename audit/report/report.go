// Package report renders what the audit record holds as an HTML page with a plot: who did what, by calendar day.
package report

import (
	"cmp"
	"dewlift/audit"
	"dewlift/internal/chart"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report counts acts by day. Its zero value is ready.
type Report struct {
	Zone        *time.Location
	days        map[string]map[EventKind]*EventCount
	eventTotal  uint64
	controllers map[string]bool
}

// EventKind is what is counted together.
type EventKind struct{ Who, Verb, Outcome string }

// EventCount is how often somebody did something on a day.
type EventCount struct {
	EventKind
	Count   uint64
	Objects []string // the first of them
	More    bool     // there are others
}

const maxObjectsShown = 3

// Add counts an act, on the calendar day that its time has in the report's zone.
func (r *Report) Add(a *audit.Event) {
	if r.days == nil {
		r.days, r.controllers = map[string]map[EventKind]*EventCount{}, map[string]bool{}
	}
	day := a.At.In(r.Zone).Format(time.DateOnly)
	if r.days[day] == nil {
		r.days[day] = map[EventKind]*EventCount{}
	}
	k := EventKind{cmp.Or(a.Identity, "(the service)"), a.Verb, a.Outcome}
	if a.Identity == "" && a.Outcome == audit.OutcomeRefused {
		k.Who = "(nobody known)"
	}
	l := r.days[day][k]
	if l == nil {
		l = &EventCount{EventKind: k}
		r.days[day][k] = l
	}
	l.Count += uint64(a.Count)
	r.eventTotal += uint64(a.Count)
	r.controllers[a.Node] = true
	switch {
	case slices.Contains(l.Objects, a.Object):
	case len(l.Objects) < maxObjectsShown:
		l.Objects = append(l.Objects, a.Object)
	default:
		l.More = true
	}
}

// Days lists the days with acts, in order.
func (r *Report) Days() []string { return slices.Sorted(maps.Keys(r.days)) }

// CountsOn lists what was done on a day, by who and verb.
func (r *Report) CountsOn(day string) []*EventCount {
	out := slices.Collect(maps.Values(r.days[day]))
	slices.SortFunc(out, func(a, b *EventCount) int {
		return cmp.Or(cmp.Compare(a.Who, b.Who), cmp.Compare(a.Verb, b.Verb), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>dewlift: who did what</title>
<style>body{font:15px/1.45 sans-serif;margin:2em auto;max-width:62em;color:#222}table{border-collapse:collapse;margin:.5em 0 1.5em;width:100%}
td,th{border:1px solid #ccc;padding:.25em .6em;text-align:left}th{background:#f3f3f3}td.n{text-align:right}tr.refused td{color:#a00}img{max-width:100%}</style>
<h1>Who did what</h1>
<p>{{.Acts}} acts on {{len .Days}} days, recorded by {{.Nodes}} controllers. Days are those of {{.Zone}}. {{.Note}}</p>
{{with .Plot}}<p><img alt="acts by day and verb" src="{{.}}"></p>{{end}}
{{range .Days}}<h2>{{.Day}}</h2>
<table><tr><th>who<th>did<th>outcome<th>times<th>what</tr>
{{range .Lines}}<tr class="{{.Outcome}}"><td>{{.Who}}<td>{{.Verb}}<td>{{.Outcome}}<td class="n">{{.Count}}<td>{{range $i, $o := .Objects}}{{if $i}}, {{end}}{{$o}}{{end}}{{if .More}}, ...{{end}}</tr>
{{end}}</table>
{{end}}`))

// WriteHTML writes the page, which needs nothing beside itself. note is put beside the counts.
func (r *Report) WriteHTML(w io.Writer, note string) error {
	type day struct {
		Day   string
		Lines []*EventCount
	}
	var days []day
	for _, d := range r.Days() {
		days = append(days, day{d, r.CountsOn(d)})
	}
	img, err := r.plot()
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return pageTemplate.Execute(
		w,
		map[string]any{
			"Acts":  r.eventTotal,
			"Days":  days,
			"Nodes": len(r.controllers),
			"Zone":  r.Zone.String(),
			"Plot":  img,
			"Note":  note,
		},
	)
}

// plot draws the acts of each day, one bar for each verb upon the other; refusals are one of them.
func (r *Report) plot() (template.URL, error) {
	days := r.Days()
	if len(days) == 0 {
		return "", nil
	}
	values := map[string]plotter.Values{}
	for i, d := range days {
		for k, l := range r.days[d] {
			verb := k.Verb
			if k.Outcome == audit.OutcomeRefused {
				verb = audit.OutcomeRefused
			}
			if values[verb] == nil {
				values[verb] = make(plotter.Values, len(days))
			}
			values[verb][i] += float64(l.Count)
		}
	}
	p := plot.New()
	p.Title.Text, p.Title.Padding = "Acts by day", vg.Points(10)
	p.Y.Label.Text = "acts"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	p.NominalX(days...)
	if len(days) > 8 {
		p.X.Tick.Label.Rotation = 0.7
		p.X.Tick.Label.XAlign = -1
	}
	width := vg.Points(max(4, 380/float64(len(days)+1)))
	var below *plotter.BarChart
	for i, verb := range slices.Sorted(maps.Keys(values)) {
		b, err := plotter.NewBarChart(values[verb], width)
		if err != nil {
			return "", err
		}
		b.Color, b.LineStyle.Width = plotutil.Color(i), 0
		if below != nil {
			b.StackOn(below)
		}
		below = b
		p.Add(b)
		p.Legend.Add(verb, b)
	}
	p.Legend.Top = true
	p.X.Max += max(0.5, 0.2*float64(len(days))) // room for the legend
	return chart.PNGDataURL(p)
}
