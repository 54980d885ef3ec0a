// Command scale measures at what size a controller's limits end: the cores of three controllers run
// a seeded site in simulated time, with services and arrays that grow with the machines, some ten
// tasks on each. It tells what a simulated second takes of a processor, of memory, of the state
// service's changes and of the network, then loses a zone, and writes a table, JSON, a page and a
// plot. No limit on changes is set, so that what is needed shows. What the edges take (HTTP) is not
// in it; `internal/measure/fleet` runs them.
package main

import (
	"dewlift/internal/chart"
	"dewlift/internal/eventqueue"
	"encoding/json"
	"flag"
	"fmt"
	"html/template"
	"log"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The limits of a controller, and of the changes a second of all, that the curve is compared with.
const (
	limitCore    = 0.25
	limitMB      = 200.0
	limitChanges = 20.0

	servicesPerMachine = 0.5
	arraysPerMachine   = 0.0012 // a second
	warmUpTime         = 100 * time.Second
	measuredTime       = 30 * time.Second
)

var (
	batchValues bool
	writeLimit  float64
)

// SizeCost is what one size takes. A second is a simulated one, of one controller but for changes;
// of the three, the one that needs most.
type SizeCost struct {
	Machines int `json:"machines"`
	Tasks    int `json:"tasks"`

	CoreS      float64 `json:"core_s"`   // of a processor, in the core, a second
	CodecS     float64 `json:"codec_s"`  // the same, to encode and decode messages between controllers
	InputUS    float64 `json:"input_us"` // of a processor, in the core, for one input
	Inputs     float64 `json:"inputs"`   // a second
	Messages   float64 `json:"messages"` // a second, to the others
	KB         float64 `json:"message_kb"`
	MB         float64 `json:"memory_mb"`
	MachineB   float64 `json:"machine_b"` // and its tasks
	Changes    float64 `json:"changes"`   // a second, of all
	PerJob     float64 `json:"changes_per_job"`
	PerTask    float64 `json:"changes_per_task"`
	RefusedPct float64 `json:"refused_percent"` // starts that found no room

	LostReplicas int     `json:"lost_replicas"`
	PerReplica   float64 `json:"changes_per_lost_replica"`
	LostCoreS    float64 `json:"lost_core_s"` // of a processor a second, in the minute after a zone was lost
	LostChanges  float64 `json:"lost_changes"`
	// from the cut until 95% of the lost replicas were started elsewhere; 0: they were not within a minute
	LostReplacedIn float64 `json:"lost_replaced_in_s"`

	Binds string `json:"binds"` // the limit that is nearest, or passed
	Part  float64
}

func main() {
	log.SetFlags(0)
	sizes := flag.String("machines", "500,1500,3000,6000,10000", "numbers of machines")
	out := flag.String("out", "scale", "folder for figures.json, report.html and curve.svg")
	flag.Float64Var(
		&writeLimit,
		"changes",
		unlimitedRate,
		"changes a second that the state service takes of all; without it, what is needed shows",
	)
	flag.BoolVar(&batchValues, "shared", false, "small jobs share values")
	seed := flag.Uint64("seed", 1, "seed")
	factor := flag.Float64(
		"crush",
		0,
		"instead: how many times more arrays come than the first number of machines has room for, while a zone is lost",
	)
	profile := flag.String("profile", "", "file for the processor's profile of that")
	flag.Parse()
	if *factor > 0 {
		n, err := strconv.Atoi(strings.Split(*sizes, ",")[0])
		if err == nil {
			err = runOverload(n, *factor, *seed, *profile)
		}
		if err != nil {
			log.Fatal("scale: ", err)
		}
		return
	}
	if err := run(*sizes, *out, *seed); err != nil {
		log.Fatal("scale: ", err)
	}
}

func run(sizes, out string, seed uint64) error {
	var figures []*SizeCost
	for _, x := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(x)
		if err != nil || n < 100 {
			return fmt.Errorf("not a number of machines from 100 on: %q", x)
		}
		began := time.Now()
		f := measureSize(n, seed)
		figures = append(figures, f)
		log.Printf(
			"%d machines, %d tasks: %.3f of a core (%.3f for messages), %.0f MB, %.1f changes/s, %.2f a job, %.4f a task, %.1f%% refused; zone lost: %d replicas, %.2f changes each, back in %.0f s; %s is nearest (%.0f%%); took %.0f s",
			f.Machines,
			f.Tasks,
			f.CoreS+f.CodecS,
			f.CodecS,
			f.MB,
			f.Changes,
			f.PerJob,
			f.PerTask,
			f.RefusedPct,
			f.LostReplicas,
			f.PerReplica,
			f.LostReplacedIn,
			f.Binds,
			100*f.Part,
			time.Since(began).Seconds(),
		)
	}
	return writeReport(out, figures)
}

// measureSize plays a site of a size.
func measureSize(n int, seed uint64) *SizeCost {
	s := newSimCluster(n, seed)
	services := int(servicesPerMachine * float64(n))
	for i := range services {
		s.schedule(
			3*time.Second+time.Duration(i)*30*time.Second/time.Duration(services),
			func() { s.submitJob(i, true) },
		)
	}
	next := 500_000
	gap := time.Duration(float64(time.Second) / (arraysPerMachine * float64(n)))
	var arrive func()
	arrive = func() {
		next++
		s.submitJob(next, false)
		s.schedule(gap, arrive)
	}
	s.schedule(20*time.Second, arrive)
	s.runUntil(warmUpTime)

	tasks := 0
	for _, m := range s.machines {
		tasks += len(m.tasks)
	}
	f := &SizeCost{Machines: len(s.machines), Tasks: tasks}
	look := func() (from []node) {
		for _, x := range s.nodes {
			from = append(from, *x)
		}
		return from
	}
	from := look()
	s.counters = eventCounts{}
	s.runUntil(warmUpTime + measuredTime)
	secs := measuredTime.Seconds()
	for i, x := range s.nodes {
		busy := (x.coreTime - from[i].coreTime).Seconds() / secs
		inputs := float64(x.inputs - from[i].inputs)
		if busy > f.CoreS {
			f.CoreS, f.Inputs, f.InputUS = busy, inputs/secs, 1e6*(x.coreTime-from[i].coreTime).Seconds()/inputs
		}
		f.CodecS = max(f.CodecS, (x.codecTime-from[i].codecTime).Seconds()/secs)
		f.Messages, f.KB = max(
			f.Messages,
			float64(x.messagesSent-from[i].messagesSent)/secs,
		), max(
			f.KB,
			float64(x.bytesSent-from[i].bytesSent)/1e3/secs,
		)
	}
	c := s.counters
	f.Changes = float64(c.writes) / secs
	f.PerJob, f.PerTask = float64(c.writes)/float64(max(1, c.accepted)), float64(c.writes)/float64(max(1, c.started))
	f.RefusedPct = 100 * float64(c.refused) / float64(max(1, c.refused+c.started))
	quiet := f.Changes

	// A zone is lost; its machines are given up and their replicas started elsewhere.
	from = look()
	s.counters = eventCounts{}
	cut := s.now
	s.cutZone = machineType.Zones[1]
	type step struct {
		at       time.Duration
		replaced int
	}
	var steps []step
	for s.now < cut+time.Minute {
		s.runUntil(s.now + 250*time.Millisecond)
		steps = append(steps, step{s.now - cut, s.counters.replaced})
	}
	for _, x := range steps {
		if float64(x.replaced) >= 0.95*float64(s.counters.lost) {
			f.LostReplacedIn = x.at.Seconds()
			break
		}
	}
	for i, x := range s.nodes {
		f.LostCoreS = max(f.LostCoreS, (x.coreTime+x.codecTime-from[i].coreTime-from[i].codecTime).Seconds()/60)
	}
	f.LostReplicas, f.LostChanges = s.counters.lost, float64(s.counters.writes)/60
	f.PerReplica = (float64(s.counters.writes) - 60*quiet) / float64(max(1, s.counters.lost))

	whole := heapBytes()
	x := s.nodes[2]
	s.nodes, s.events = s.nodes[:2:2], eventqueue.Queue{} // what is on its way holds on to the core
	x.core, x.pendingRequests, x.pendingInputs = nil, nil, nil
	f.MB = (whole - heapBytes()) / 1e6
	f.MachineB = f.MB * 1e6 / float64(f.Machines)
	runtime.KeepAlive(s)
	for _, l := range []struct {
		name string
		part float64
	}{
		{"the processor", (f.CoreS + f.CodecS) / limitCore},
		{"memory", f.MB / limitMB},
		{"changes", f.Changes / limitChanges},
	} {
		if l.part > f.Part {
			f.Binds, f.Part = l.name, l.part
		}
	}
	return f
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>dewlift: at what size the limits end</title>
<style>body{font:15px/1.45 sans-serif;margin:2em auto;max-width:66em;color:#222}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}th{background:#f3f3f3}img{max-width:100%}</style>
<h1>At what size the limits of a controller end</h1>
<p>Cores of three controllers on a seeded site in simulated time; a second is a simulated one. Simulated machines; the edges (HTTP) are not in it. {{.Machine}}.</p>
<p><img alt="parts of the limits by machines" src="{{.Plot}}"></p>
<table><tr><th>machines<th>tasks<th>core<th>messages coded<th>µs an input<th>inputs/s<th>messages/s<th>KB/s<th>memory, MB<th>bytes a machine<th>changes/s<th>a job<th>a task<th>refused<th>nearest limit</tr>
{{range .Figures}}<tr><td>{{.Machines}}<td>{{.Tasks}}<td>{{printf "%.3f" .CoreS}}<td>{{printf "%.3f" .CodecS}}<td>{{printf "%.0f" .InputUS}}<td>{{printf "%.0f" .Inputs}}<td>{{printf "%.0f" .Messages}}<td>{{printf "%.0f" .KB}}<td>{{printf "%.0f" .MB}}<td>{{printf "%.0f" .MachineB}}<td>{{printf "%.1f" .Changes}}<td>{{printf "%.2f" .PerJob}}<td>{{printf "%.4f" .PerTask}}<td>{{printf "%.1f%%" .RefusedPct}}<td>{{.Binds}}</tr>
{{end}}</table>
<h2>A zone is lost</h2>
<table><tr><th>machines<th>lost replicas<th>changes for each<th>95% are back after, s<th>core in that minute<th>changes/s</tr>
{{range .Figures}}<tr><td>{{.Machines}}<td>{{.LostReplicas}}<td>{{printf "%.2f" .PerReplica}}<td>{{printf "%.0f" .LostReplacedIn}}<td>{{printf "%.3f" .LostCoreS}}<td>{{printf "%.1f" .LostChanges}}</tr>
{{end}}</table>
`))

func writeReport(out string, figures []*SizeCost) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(figures, "", " ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "figures.json"), append(raw, '\n'), 0o644); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text, p.Title.Padding = "Parts of a controller's limits by the number of machines (simulated)", vg.Points(
		8,
	)
	p.X.Label.Text, p.Y.Label.Text = "machines", "part of the limit"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, l := range []struct {
		name string
		of   func(*SizeCost) float64
	}{
		{
			fmt.Sprintf("processor (%v of a core)", limitCore),
			func(f *SizeCost) float64 { return (f.CoreS + f.CodecS) / limitCore },
		},
		{fmt.Sprintf("memory (%v MB)", limitMB), func(f *SizeCost) float64 { return f.MB / limitMB }},
		{
			fmt.Sprintf("changes (%v a second)", limitChanges),
			func(f *SizeCost) float64 { return f.Changes / limitChanges },
		},
	} {
		var xy plotter.XYs
		for _, f := range figures {
			xy = append(xy, plotter.XY{X: float64(f.Machines), Y: l.of(f)})
		}
		line, points, err := plotter.NewLinePoints(xy)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(l.name, line, points)
	}
	end := plotter.NewFunction(func(float64) float64 { return 1 })
	end.Dashes = plotutil.Dashes(1)
	p.Add(end)
	p.Legend.Add("the limit", end)
	p.Legend.Top, p.Legend.Left = true, true
	if err := p.Save(8*vg.Inch, 4*vg.Inch, filepath.Join(out, "curve.svg")); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	image, err := chart.PNGDataURL(p)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	f, err := os.Create(filepath.Join(out, "report.html"))
	if err != nil {
		return err
	}
	defer f.Close()
	return pageTemplate.Execute(f, map[string]any{
		"Figures": figures, "Plot": image,
		"Machine": fmt.Sprintf(
			"%s, %s/%s, %d processors",
			runtime.Version(),
			runtime.GOOS,
			runtime.GOARCH,
			runtime.NumCPU(),
		),
	})
}
