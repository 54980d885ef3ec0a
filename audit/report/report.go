// Package report renders audit events as an HTML page with a plot that shows who did what on each calendar day. Its
// only state is the counts of a report, and its only output is the writer that the caller provides.
package report

import (
	"cmp"
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

	"dewlift/audit"
	"dewlift/internal/chart"
)

// Report counts events by day. Zone must be set; the other fields are ready at their zero values.
type Report struct {
	Zone        *time.Location // of the days
	days        map[string]map[EventKind]*EventCount
	eventTotal  uint64
	controllers map[string]bool
}

// EventKind is a kind of events that are counted together.
type EventKind struct{ Who, Verb, Outcome string }

// EventCount is the number of events of a kind on a day.
type EventCount struct {
	EventKind
	Count   uint64
	Objects []string // the first maxObjectsShown
	More    bool     // there are further objects
}

// maxObjectsShown bounds the objects that a row names, so that it stays readable.
const maxObjectsShown = 3

// Appearance of the plot.
const (
	maxLevelLabels = 8             // days with horizontal labels, which overlap if there are more
	labelRotation  = 0.7           // rad, of the labels if there are more days
	titlePadding   = vg.Length(10) // points
	plotWidth      = 380           // points for all bars
	minBarWidth    = 4             // points
	legendShare    = 0.2           // of the days: the width left free for the legend
	minLegendDays  = 0.5           // least width left free for the legend
)

// Add counts an event on its calendar day in the report's zone.
func (r *Report) Add(event *audit.Event) {
	if r.days == nil {
		r.days, r.controllers = map[string]map[EventKind]*EventCount{}, map[string]bool{}
	}
	day := event.At.In(r.Zone).Format(time.DateOnly)
	if r.days[day] == nil {
		r.days[day] = map[EventKind]*EventCount{}
	}
	kind := EventKind{cmp.Or(event.Identity, "(the service)"), event.Verb, event.Outcome}
	if event.Identity == "" && event.Outcome == audit.OutcomeRefused {
		kind.Who = "(nobody known)"
	}
	eventCount := r.days[day][kind]
	if eventCount == nil {
		eventCount = &EventCount{EventKind: kind}
		r.days[day][kind] = eventCount
	}
	eventCount.Count += uint64(event.Count)
	r.eventTotal += uint64(event.Count)
	r.controllers[event.Node] = true
	switch {
	case slices.Contains(eventCount.Objects, event.Object):
	case len(eventCount.Objects) < maxObjectsShown:
		eventCount.Objects = append(eventCount.Objects, event.Object)
	default:
		eventCount.More = true
	}
}

// Days returns the days with events, in order.
func (r *Report) Days() []string { return slices.Sorted(maps.Keys(r.days)) }

// CountsOn returns the counts of a day, ordered by identity, verb and outcome.
func (r *Report) CountsOn(day string) []*EventCount {
	out := slices.Collect(maps.Values(r.days[day]))
	slices.SortFunc(out, func(a, b *EventCount) int {
		return cmp.Or(cmp.Compare(a.Who, b.Who), cmp.Compare(a.Verb, b.Verb), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}

// pageTemplate is the page. It is self-contained.
var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>dewlift: who did what</title>
<style>body{font:15px/1.45 sans-serif;margin:2em auto;max-width:62em;color:#222}` +
	`table{border-collapse:collapse;margin:.5em 0 1.5em;width:100%}
td,th{border:1px solid #ccc;padding:.25em .6em;text-align:left}th{background:#f3f3f3}` +
	`td.n{text-align:right}tr.refused td{color:#a00}img{max-width:100%}</style>
<h1>Who did what</h1>
<p>{{.Acts}} acts on {{len .Days}} days, recorded by {{.Nodes}} controllers. Days are those of {{.Zone}}. {{.Note}}</p>
{{with .Plot}}<p><img alt="acts by day and verb" src="{{.}}"></p>{{end}}
{{range .Days}}<h2>{{.Day}}</h2>
<table><tr><th>who<th>did<th>outcome<th>times<th>what</tr>
{{range .Lines}}<tr class="{{.Outcome}}"><td>{{.Who}}<td>{{.Verb}}<td>{{.Outcome}}<td class="n">{{.Count}}<td>` +
	`{{range $i, $o := .Objects}}{{if $i}}, {{end}}{{$o}}{{end}}{{if .More}}, ...{{end}}</tr>
{{end}}</table>
{{end}}`))

// WriteHTML writes the page, with a note next to the counts.
func (r *Report) WriteHTML(w io.Writer, note string) error {
	type day struct {
		Day   string
		Lines []*EventCount
	}
	var days []day
	for _, date := range r.Days() {
		days = append(days, day{date, r.CountsOn(date)})
	}
	image, err := r.plot()
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
			"Plot":  image,
			"Note":  note,
		},
	)
}

// plot draws the events of each day as stacked bars: one for each verb and one for denials. It returns the image as
// a data URL.
func (r *Report) plot() (template.URL, error) {
	days := r.Days()
	if len(days) == 0 {
		return "", nil
	}
	canvas := plot.New()
	canvas.Title.Text, canvas.Title.Padding = "Acts by day", titlePadding
	canvas.Y.Label.Text = "acts"
	canvas.Y.Min = 0
	canvas.Add(plotter.NewGrid())
	canvas.NominalX(days...)
	if len(days) > maxLevelLabels {
		canvas.X.Tick.Label.Rotation = labelRotation
		canvas.X.Tick.Label.XAlign = -1
	}
	values := r.valuesByVerb(days)
	width := vg.Points(max(minBarWidth, plotWidth/float64(len(days)+1)))
	var below *plotter.BarChart
	for i, verb := range slices.Sorted(maps.Keys(values)) {
		bars, err := plotter.NewBarChart(values[verb], width)
		if err != nil {
			return "", fmt.Errorf("bars of %s: %w", verb, err)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		canvas.Add(bars)
		canvas.Legend.Add(verb, bars)
	}
	canvas.Legend.Top = true
	canvas.X.Max += max(minLegendDays, legendShare*float64(len(days)))
	return chart.PNGDataURL(canvas)
}

// valuesByVerb returns the number of events on each day by verb. Denials of all verbs are counted together.
func (r *Report) valuesByVerb(days []string) map[string]plotter.Values {
	values := map[string]plotter.Values{}
	for i, day := range days {
		for kind, eventCount := range r.days[day] {
			verb := kind.Verb
			if kind.Outcome == audit.OutcomeRefused {
				verb = audit.OutcomeRefused
			}
			if values[verb] == nil {
				values[verb] = make(plotter.Values, len(days))
			}
			values[verb][i] += float64(eventCount.Count)
		}
	}
	return values
}
