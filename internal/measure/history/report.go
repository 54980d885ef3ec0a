package main

import (
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"runtime"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dewlift/internal/chart"
	"dewlift/internal/measure/process"
)

// pageTemplate is the HTML report. It uses the field names of StartCost and ArchivingCost.
//
//nolint:lll // a line of the template is a row of a table
var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>dewlift: cost of a long history</title>
<style>body{font:15px/1.45 sans-serif;margin:2em auto;max-width:62em;color:#222}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}th{background:#f3f3f3}td:first-child,td:nth-child(2){text-align:left}img{max-width:100%}.bad{color:#a00}</style>
<h1>Cost of a long history for a controller</h1>
<p>The built program was started against a fake state service on loopback with {{.Live}} live jobs and the given number of ended jobs.
<em>records</em>: each ended job has its own key. <em>archive</em>: ended jobs are stored in compact blocks. At production share: the least time
that the start takes with {{.Share}} of a core. {{.Machine}}.</p>
{{range .Plots}}<p><img alt="plot" src="{{.}}"></p>{{end}}
<table><tr><th>version<th>form<th>ended jobs<th>requests per second<th>healthy after, s<th>at production share, s<th>peak memory, MB<th>requests<th>stored, B per job<th>memory, B per job<th>median poll, ms<th>wrong responses</tr>
{{range .Starts}}<tr><td>{{.Version}}<td>{{.Form}}<td>{{.Jobs}}<td>{{.RPS}}
{{if .Ended}}<td class="bad" colspan="8">{{.Ended}}{{else}}<td>{{printf "%.1f" .HealthyS}}<td>{{printf "%.1f" .ShareS}}<td>{{printf "%.0f" .PeakMB}}<td>{{.Requests}}<td>{{printf "%.1f" .StoreB}}<td>{{printf "%.1f" .MemoryB}}<td>{{printf "%.0f" .PollMS}}<td>{{.Wrong}} of {{.Polls}}{{end}}</tr>
{{end}}</table>
{{with .Moved}}<h2>Archiving records</h2><p>{{.Jobs}} records were archived in {{printf "%.0f" .TookS}} s, with a limit of 1000 writes per second: {{printf "%.3f" .PerJob}} writes per job, {{printf "%.3f" .Beyond}} of
them in addition to the deletion of its record. {{.Blocks}} blocks, {{printf "%.1f" .BytesPerJob}} bytes per job; peak memory {{printf "%.0f" .PeakMB}} MB. Jobs were polled meanwhile: {{.Wrong}} of {{.Polls}} responses were wrong.</p>{{end}}
`))

// metric is a plotted value of a start.
type metric struct {
	title, unit string
	limit       float64 // target that the plot shows; 0: none
	value       func(cost *StartCost) float64
}

var metrics = []metric{
	{"Peak memory", "MB", 120, func(cost *StartCost) float64 { return cost.PeakMB }},
	{"Time to healthy, at production share of a core", "s", 60, func(cost *StartCost) float64 { return cost.ShareS }},
}

// plotStarts plots a metric of the starts with one request limit against the number of ended jobs.
func plotStarts(m metric, starts []*StartCost, rps float64) (template.URL, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %v requests per second", m.title, rps)
	p.Title.Padding = vg.Points(10)
	p.X.Label.Text, p.Y.Label.Text = "ended jobs", m.unit
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	lines, names := map[string]plotter.XYs{}, []string{}
	minJobs, maxJobs := math.Inf(1), 0.0
	for _, cost := range starts {
		if cost.RPS != rps || cost.Ended != "" {
			continue
		}
		name := cost.Version + ", " + cost.Form
		if lines[name] == nil {
			names = append(names, name)
		}
		jobs := float64(cost.Jobs)
		lines[name] = append(lines[name], plotter.XY{X: jobs, Y: m.value(cost)})
		minJobs, maxJobs = min(minJobs, jobs), max(maxJobs, jobs)
	}
	for i, name := range names {
		line, points, err := plotter.NewLinePoints(lines[name])
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", name, err)
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		line.Width = vg.Points(2)
		p.Add(line, points)
		p.Legend.Add(name, line, points)
	}
	if m.limit > 0 && maxJobs > 0 {
		line, err := plotter.NewLine(plotter.XYs{{X: minJobs, Y: m.limit}, {X: maxJobs, Y: m.limit}})
		if err != nil {
			return "", fmt.Errorf("plot limit: %w", err)
		}
		line.Color, line.Dashes = color.Gray{90}, []vg.Length{4, 4}
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("target: %v", m.limit), line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return chart.PNGDataURL(p)
}

// writeReport writes the report as a self-contained HTML page.
func writeReport(path string, starts []*StartCost, archiving *ArchivingCost) error {
	var plots []template.URL
	plotted := map[float64]bool{} // by request limit
	for _, cost := range starts {
		if plotted[cost.RPS] {
			continue
		}
		plotted[cost.RPS] = true
		for _, m := range metrics {
			image, err := plotStarts(m, starts, cost.RPS)
			if err != nil {
				return err
			}
			plots = append(plots, image)
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	err = pageTemplate.Execute(file, map[string]any{
		"Starts": starts, "Moved": archiving, "Plots": plots, "Live": liveJobs, "Share": process.CoreShare,
		"Machine": fmt.Sprintf("Measured on %d processors, %s", runtime.NumCPU(), runtime.Version()),
	})
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
