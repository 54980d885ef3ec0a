// Command scale measures at what cluster size a controller reaches its limits. The scheduling cores of three
// controllers run a seeded cluster in simulated time. The number of services and arrays is proportional to the number
// of machines, with about ten tasks on each machine. The command measures CPU time, memory, store writes and network
// traffic per simulated second, then partitions a zone, and writes a table, JSON, an HTML report and a plot. By
// default writes are not limited, so that the figures show the demand. HTTP handling is not included; the command in
// internal/measure/fleet covers it.
package main

import (
	"encoding/json"
	"errors"
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

	"dewlift/internal/chart"
	"dewlift/internal/eventqueue"
)

// Limits that the measured costs are compared with, and parameters of the load.
const (
	controllerCoreLimit     = 0.25  // cores of each controller
	controllerMemoryLimitMB = 200.0 // of each controller
	clusterWriteRateLimit   = 20.0  // writes per second of all controllers together

	servicesPerMachine     = 0.5
	arraysPerMachine       = 0.0012 // per second
	serviceSubmitTime      = 3 * time.Second
	serviceSubmitSpread    = 30 * time.Second // period over which the submissions of services are spread
	arraySubmitTime        = 20 * time.Second
	firstArrayNumber       = 500_000 // matches firstArrayID
	warmUpTime             = 100 * time.Second
	measuredTime           = 30 * time.Second
	zoneLossDuration       = time.Minute
	zoneLossSampleInterval = 250 * time.Millisecond
	replacedFraction       = 0.95 // of the lost replicas, for LostReplacedIn
	minMachines            = 100
)

var (
	batchValues     bool    // store the records of small jobs in shared values
	storeWriteLimit float64 // in the controllers' settings, per second; the simulated store does not enforce it
)

// SizeCost is the cost of one cluster size per simulated second. Each cost of a controller is the highest of all
// controllers, except that inputs are those of the controller with the highest CoreS and that memory is measured for
// one controller only. Writes are those of all controllers together. The report's template uses its field names.
type SizeCost struct {
	Machines int `json:"machines"`
	Tasks    int `json:"tasks"`

	CoreS      float64 `json:"core_s"`     // CPU seconds in the scheduling core
	CodecS     float64 `json:"codec_s"`    // CPU seconds to encode and decode messages between controllers
	InputUS    float64 `json:"input_us"`   // CPU microseconds in the scheduling core per input
	Inputs     float64 `json:"inputs"`     // per second
	Messages   float64 `json:"messages"`   // per second, to other controllers
	KB         float64 `json:"message_kb"` // per second
	MB         float64 `json:"memory_mb"`
	MachineB   float64 `json:"machine_b"` // memory per machine, including its tasks
	Changes    float64 `json:"changes"`   // writes per second, of all controllers
	PerJob     float64 `json:"changes_per_job"`
	PerTask    float64 `json:"changes_per_task"`
	RefusedPct float64 `json:"refused_percent"` // start commands refused for lack of capacity

	LostReplicas int     `json:"lost_replicas"`
	PerReplica   float64 `json:"changes_per_lost_replica"`
	LostCoreS    float64 `json:"lost_core_s"` // CPU seconds per second in the minute after the loss of a zone
	LostChanges  float64 `json:"lost_changes"`
	// LostReplacedIn is the time from the loss until 95% of the lost replicas were started elsewhere; 0: not within
	// a minute.
	LostReplacedIn float64 `json:"lost_replaced_in_s"`

	Binds string  `json:"binds"` // the limit of which the largest fraction is used
	Part  float64 // the used fraction of that limit
}

func main() {
	log.SetFlags(0)
	sizes := flag.String("machines", "500,1500,3000,6000,10000", "numbers of machines, separated by commas")
	out := flag.String("out", "scale", "output folder for figures.json, report.html and curve.svg")
	flag.Float64Var(
		&storeWriteLimit,
		"changes",
		unlimitedRate,
		"writes per second that the state service accepts in all; unlimited by default, to show the demand",
	)
	flag.BoolVar(&batchValues, "shared", false, "store the records of small jobs in shared values")
	seed := flag.Uint64("seed", 1, "seed")
	factor := flag.Float64(
		"crush",
		0,
		"instead simulate an overload: arrays at this multiple of the first size's capacity, and the loss of a zone",
	)
	profile := flag.String("profile", "", "output file for a CPU profile of the overload")
	flag.Parse()
	if *factor > 0 {
		machines, err := strconv.Atoi(strings.Split(*sizes, ",")[0])
		if err == nil {
			err = runOverload(machines, *factor, *seed, *profile)
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

// run measures all cluster sizes and writes the report.
func run(sizes, out string, seed uint64) error {
	var figures []*SizeCost
	for _, size := range strings.Split(sizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil || machines < minMachines {
			return fmt.Errorf("number of machines must be an integer of at least %d: %q", minMachines, size)
		}
		startedAt := time.Now()
		cost := measureSize(machines, seed)
		figures = append(figures, cost)
		cost.log(time.Since(startedAt))
	}
	return writeReport(out, figures)
}

func (c *SizeCost) log(took time.Duration) {
	log.Printf(
		"%d machines, %d tasks: %.3f of a core (%.3f for messages), %.0f MB, %.1f writes/s, %.2f/job, %.4f/task, "+
			"%.1f%% of starts refused; zone loss: %d replicas, %.2f writes/replica, 95 percent replaced in %.0f s; "+
			"nearest limit: %s (%.0f%%); measurement took %.0f s",
		c.Machines,
		c.Tasks,
		c.CoreS+c.CodecS,
		c.CodecS,
		c.MB,
		c.Changes,
		c.PerJob,
		c.PerTask,
		c.RefusedPct,
		c.LostReplicas,
		c.PerReplica,
		c.LostReplacedIn,
		c.Binds,
		100*c.Part,
		took.Seconds(),
	)
}

// measureSize simulates a cluster of one size: a warm-up, steady load, and the loss of a zone.
func measureSize(machines int, seed uint64) *SizeCost {
	s := newSimCluster(machines, seed)
	s.scheduleLoad(machines)
	s.runUntil(warmUpTime)
	cost := &SizeCost{Machines: len(s.machines)}
	for _, m := range s.machines {
		cost.Tasks += len(m.tasks)
	}
	s.measureSteady(cost)
	s.measureZoneLoss(cost)
	s.measureMemory(cost)
	cost.findNearestLimit()
	return cost
}

// scheduleLoad schedules the submissions of services at the start and of arrays at a constant rate.
func (s *simCluster) scheduleLoad(machines int) {
	services := int(servicesPerMachine * float64(machines))
	for i := range services {
		at := serviceSubmitTime + time.Duration(i)*serviceSubmitSpread/time.Duration(services)
		s.schedule(at, func() { s.submitJob(i, true) })
	}
	next := firstArrayNumber
	interval := time.Duration(float64(time.Second) / (arraysPerMachine * float64(machines)))
	var submitNext func()
	submitNext = func() {
		next++
		s.submitJob(next, false)
		s.schedule(interval, submitNext)
	}
	s.schedule(arraySubmitTime, submitNext)
}

// nodeCosts returns a copy of the costs of all controllers so far.
func (s *simCluster) nodeCosts() (costs []simController) {
	for _, n := range s.controllers {
		costs = append(costs, *n)
	}
	return costs
}

// measureSteady measures the costs under steady load.
func (s *simCluster) measureSteady(cost *SizeCost) {
	before := s.nodeCosts()
	s.counters = eventCounts{}
	s.runUntil(warmUpTime + measuredTime)
	seconds := measuredTime.Seconds()
	for i, n := range s.controllers {
		coreTime := (n.coreTime - before[i].coreTime).Seconds()
		inputs := float64(n.inputs - before[i].inputs)
		if perSecond := coreTime / seconds; perSecond > cost.CoreS {
			cost.CoreS, cost.Inputs, cost.InputUS = perSecond, inputs/seconds, 1e6*coreTime/inputs
		}
		cost.CodecS = max(cost.CodecS, (n.codecTime-before[i].codecTime).Seconds()/seconds)
		cost.Messages = max(cost.Messages, float64(n.messagesSent-before[i].messagesSent)/seconds)
		cost.KB = max(cost.KB, float64(n.bytesSent-before[i].bytesSent)/1e3/seconds)
	}
	counters := s.counters
	cost.Changes = float64(counters.writes) / seconds
	cost.PerJob = float64(counters.writes) / float64(max(1, counters.accepted))
	cost.PerTask = float64(counters.writes) / float64(max(1, counters.started))
	cost.RefusedPct = 100 * float64(counters.refused) / float64(max(1, counters.refused+counters.started))
}

// measureZoneLoss partitions a zone and measures the costs while the controllers scale in its machines and start the
// lost replicas elsewhere.
func (s *simCluster) measureZoneLoss(cost *SizeCost) {
	before := s.nodeCosts()
	s.counters = eventCounts{}
	lostAt := s.now
	s.partitionedZone = machineType.Zones[1]
	type step struct {
		at       time.Duration
		replaced int
	}
	var steps []step
	for s.now < lostAt+zoneLossDuration {
		s.runUntil(s.now + zoneLossSampleInterval)
		steps = append(steps, step{s.now - lostAt, s.counters.replaced})
	}
	for _, step := range steps { // only now is the number of lost replicas known
		if float64(step.replaced) >= replacedFraction*float64(s.counters.lost) {
			cost.LostReplacedIn = step.at.Seconds()
			break
		}
	}
	seconds := zoneLossDuration.Seconds()
	for i, n := range s.controllers {
		busy := n.coreTime + n.codecTime - before[i].coreTime - before[i].codecTime
		cost.LostCoreS = max(cost.LostCoreS, busy.Seconds()/seconds)
	}
	writes := float64(s.counters.writes)
	cost.LostReplicas, cost.LostChanges = s.counters.lost, writes/seconds
	cost.PerReplica = (writes - seconds*cost.Changes) / float64(max(1, s.counters.lost))
}

// measureMemory measures the memory of one controller's scheduling core by releasing it. The cluster can't run
// afterwards.
func (s *simCluster) measureMemory(cost *SizeCost) {
	before := heapBytes()
	released := s.controllers[2]
	s.controllers, s.events = s.controllers[:2:2], eventqueue.Queue{} // scheduled events refer to the core
	released.core, released.pendingRequests, released.pendingInputs = nil, nil, nil
	cost.MB = (before - heapBytes()) / 1e6
	cost.MachineB = cost.MB * 1e6 / float64(cost.Machines)
	runtime.KeepAlive(s)
}

// limitUsage is a limit, by its name, and the fraction of it that a cluster size uses.
type limitUsage struct {
	name     string
	fraction func(cost *SizeCost) float64
}

// Used fractions of the limits.
var (
	coreFraction   = func(cost *SizeCost) float64 { return (cost.CoreS + cost.CodecS) / controllerCoreLimit }
	memoryFraction = func(cost *SizeCost) float64 { return cost.MB / controllerMemoryLimitMB }
	writeFraction  = func(cost *SizeCost) float64 { return cost.Changes / clusterWriteRateLimit }
)

// findNearestLimit sets the limit of which the largest fraction is used.
func (c *SizeCost) findNearestLimit() {
	for _, limit := range []limitUsage{
		{"the processor", coreFraction},
		{"memory", memoryFraction},
		{"changes", writeFraction},
	} {
		if fraction := limit.fraction(c); fraction > c.Part {
			c.Binds, c.Part = limit.name, fraction
		}
	}
}

// pageTemplate is the HTML report. It uses the field names of SizeCost.
//
//nolint:lll // a line of the template is a row of a table
var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>dewlift: cluster size and controller limits</title>
<style>body{font:15px/1.45 sans-serif;margin:2em auto;max-width:66em;color:#222}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}th{background:#f3f3f3}img{max-width:100%}</style>
<h1>Cluster size at which a controller reaches its limits</h1>
<p>The scheduling cores of three controllers run a seeded cluster of simulated machines in simulated time. All seconds are simulated ones. HTTP handling is not included. Changes are writes to the store. {{.Machine}}.</p>
<p><img alt="used fractions of the limits by number of machines" src="{{.Plot}}"></p>
<table><tr><th>machines<th>tasks<th>CPU, cores<th>message encoding, cores<th>µs per input<th>inputs/s<th>messages/s<th>message KB/s<th>memory, MB<th>bytes per machine<th>writes/s<th>writes per job<th>writes per task<th>starts refused<th>nearest limit</tr>
{{range .Figures}}<tr><td>{{.Machines}}<td>{{.Tasks}}<td>{{printf "%.3f" .CoreS}}<td>{{printf "%.3f" .CodecS}}<td>{{printf "%.0f" .InputUS}}<td>{{printf "%.0f" .Inputs}}<td>{{printf "%.0f" .Messages}}<td>{{printf "%.0f" .KB}}<td>{{printf "%.0f" .MB}}<td>{{printf "%.0f" .MachineB}}<td>{{printf "%.1f" .Changes}}<td>{{printf "%.2f" .PerJob}}<td>{{printf "%.4f" .PerTask}}<td>{{printf "%.1f%%" .RefusedPct}}<td>{{.Binds}}</tr>
{{end}}</table>
<h2>Loss of a zone</h2>
<table><tr><th>machines<th>lost replicas<th>writes per replica<th>95% are replaced after, s<th>CPU in that minute, cores<th>writes/s</tr>
{{range .Figures}}<tr><td>{{.Machines}}<td>{{.LostReplicas}}<td>{{printf "%.2f" .PerReplica}}<td>{{printf "%.0f" .LostReplacedIn}}<td>{{printf "%.3f" .LostCoreS}}<td>{{printf "%.1f" .LostChanges}}</tr>
{{end}}</table>
`))

// writeReport writes the figures as JSON, the plot and the HTML report.
func writeReport(out string, figures []*SizeCost) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return fmt.Errorf("create folder for report: %w", err)
	}
	raw, err := json.MarshalIndent(figures, "", " ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "figures.json"), append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	curve, err := plotLimitUsage(figures)
	if err != nil {
		return fmt.Errorf("plot limit usage: %w", err)
	}
	if err := curve.Save(8*vg.Inch, 4*vg.Inch, filepath.Join(out, "curve.svg")); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	image, err := chart.PNGDataURL(curve)
	if err != nil {
		return fmt.Errorf("encode plot: %w", err)
	}
	return writePage(filepath.Join(out, "report.html"), figures, image)
}

// plotLimitUsage plots the used fractions of the limits against the number of machines.
func plotLimitUsage(figures []*SizeCost) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Used fraction of a controller's limits by number of machines (simulated)"
	p.Title.Padding = vg.Points(8)
	p.X.Label.Text, p.Y.Label.Text = "machines", "fraction of the limit"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, limit := range []limitUsage{
		{fmt.Sprintf("CPU (%v of a core)", controllerCoreLimit), coreFraction},
		{fmt.Sprintf("memory (%v MB)", controllerMemoryLimitMB), memoryFraction},
		{fmt.Sprintf("writes (%v per second)", clusterWriteRateLimit), writeFraction},
	} {
		var values plotter.XYs
		for _, cost := range figures {
			values = append(values, plotter.XY{X: float64(cost.Machines), Y: limit.fraction(cost)})
		}
		line, points, err := plotter.NewLinePoints(values)
		if err != nil {
			return nil, err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(limit.name, line, points)
	}
	whole := plotter.NewFunction(func(float64) float64 { return 1 })
	whole.Dashes = plotutil.Dashes(1)
	p.Add(whole)
	p.Legend.Add("the limit", whole)
	p.Legend.Top, p.Legend.Left = true, true
	return p, nil
}

// writePage writes the report as a self-contained HTML page.
func writePage(path string, figures []*SizeCost, image template.URL) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	err = pageTemplate.Execute(file, map[string]any{
		"Figures": figures, "Plot": image,
		"Machine": fmt.Sprintf(
			"%s, %s/%s, %d processors",
			runtime.Version(),
			runtime.GOOS,
			runtime.GOARCH,
			runtime.NumCPU(),
		),
	})
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
